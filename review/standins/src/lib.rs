//! Stand-ins and helpers shared by the review's cases. Standard library only.
pub mod h2;
pub mod harness;
pub mod http1;
