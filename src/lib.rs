//! A coordinator of queries over replicated shards. It sends each part of a query to a replica of its
//! shard, retries and hedges within limits, and returns one answer before the query's deadline.
//!
//! # Layers
//!
//! Decisions are separated from I/O: the decision modules take events and the current time as input and
//! return actions, so that they can run in a simulator and in tests without sockets.
//!
//! - [`Balancer`] ([`balancer`]) makes the decisions about queries: admission, replica selection, retries,
//!   hedging and outlier detection. [`balancer::interface`] contains its input and output types.
//! - [`send_policy`] makes the decisions at the time of a write or close; [`subsetting`], [`grpc_routing`]
//!   and [`connection_pool`] determine the replicas, routes and connections in use.
//! - [`cluster`] implements consensus and takeover among coordinators; [`shard_layout`] and
//!   [`topology_forecast`] model how shards change over time.
//!
//! The other modules are built on top of these:
//!
//! - [`coordinator`] runs the balancer on one thread and ensures that each query has exactly one final
//!   outcome.
//! - [`net`] contains all code that uses sockets.
//! - [`server`] starts, reloads and stops the process as specified by [`config`] and [`cli`].
//! - [`simulator_wire`] is the interface to the simulator.
#![warn(clippy::match_bool, clippy::too_many_lines, clippy::wildcard_imports)]
#![warn(rustdoc::broken_intra_doc_links)]

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
pub mod simulator_wire;
pub mod subsetting;
pub mod topology_forecast;

pub use balancer::Balancer;

/// Compiles and runs the README's example as a doc test.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
