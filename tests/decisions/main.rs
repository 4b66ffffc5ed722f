//! Scripted events: the ordinary path, and one small test for each failure found.
#[path = "../common/mod.rs"]
mod common;
mod endpoint_lists;
mod faults;
mod health;
mod ordinary;
mod rig;
mod sparse;
mod uncertain_starts;
