//! The cases, by what happens in them.
pub mod restart;
pub mod starve;
pub mod stop;
pub mod together;
pub mod window;
