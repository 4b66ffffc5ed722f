//! Figures along one axis of size at a time, all else as it is.
mod discovery;
mod log;
mod together;

pub use discovery::{entries, watches};
pub use log::{rates, restart_all, snapshots, voters, LogSweep, CHANGE};
pub use together::{founding, works, works_a_member};
