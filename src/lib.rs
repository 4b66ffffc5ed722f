//! Decisions of a coordinator of queries over replicated shards.
//!
//! [`Balancer`] decides; [`balancer::interface`] holds the plain types that go in and come out.
pub mod balancer;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod connection_pool;
pub mod coordinator;
pub mod grpc_routing;
pub mod net;
pub mod send_policy;
pub mod server;
pub mod shard_layout;
pub mod subsetting;
pub mod topology_forecast;
pub mod wire;

pub use balancer::Balancer;

/// The README's example, compiled and run under test.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
