//! Configuration, which is read and validated before anything is opened.
//!
//! [`platform`] is the configuration that the platform passes to the process, [`operator`] is the
//! operator's own file, and [`settings`] are the deployment settings that both contain.
pub mod operator;
pub mod platform;
pub mod settings;
