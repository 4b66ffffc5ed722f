//! Several processes of the program and faults between them: what a client sees, what the servers are asked, and one
//! checker over it all.
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
