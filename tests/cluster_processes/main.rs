//! Tests of several coordinator processes with faults injected between them. One checker validates what
//! clients observe and what the servers receive.
mod capacity;
mod checker;
mod client;
mod cluster;
#[path = "../common/mod.rs"]
mod common;
mod cuts;
mod history;
mod losses;
mod many;
mod servers;
mod standins;
mod wires;
