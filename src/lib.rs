//! A coordinator of queries over replicated shards: it sends each part of a query to a replica of its shard, retries and
//! hedges within bounds, and gives back one answer by the query's deadline.
//!
//! # Layers
//!
//! Decisions stand apart from I/O. They take time and events in and give actions out, so that they run under a simulator
//! and in tests without sockets:
//!
//! - [`Balancer`] ([`balancer`]) decides about queries: admission, replica selection, retries, hedging, outlier
//!   detection. [`balancer::interface`] holds the plain types that go in and come out.
//! - [`send_policy`] decides at the moment of a write or a close; [`subsetting`], [`grpc_routing`] and
//!   [`connection_pool`] decide which replicas, routes and connections there are.
//! - [`cluster`] is the consensus and takeover among coordinators; [`shard_layout`] and [`topology_forecast`] describe
//!   shards over time.
//!
//! On top of them:
//!
//! - [`coordinator`] runs the balancer on one thread and gives each query its one final outcome;
//! - [`net`] is everything that touches a socket;
//! - [`server`] starts, reloads and stops the process, as [`config`] and [`cli`] say;
//! - [`simulator_wire`] is the simulator's way in.
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

/// The README's example, compiled and run under test.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
