//! Configuration: the platform's variables and file, a deployment's settings, and the operator's own file.
pub mod operator;
pub mod platform;
pub mod settings;
