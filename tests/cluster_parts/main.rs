//! Pieces of the cluster by themselves.
mod bootstrap;
#[path = "../common/mod.rs"]
mod common;
mod configuration;
mod first_configuration;
mod hybrid_clock;
mod store_faults;
mod voter_store;
