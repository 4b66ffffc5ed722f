//! Configuration, read and checked before anything is opened.
//!
//! [`platform`] is what the platform hands a process, [`operator`] the operator's own file, [`settings`] the deployment's
//! settings that both carry.
pub mod operator;
pub mod platform;
pub mod settings;
