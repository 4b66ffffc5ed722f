//! What a coordinator retains between rounds, and the check of its settings. Nothing here decides or holds a
//! tuned value; decisions are in `src/balancer/`.
//!
//! The entities: `replica.rs`, `zone.rs`, `query.rs` and `part.rs`. Sums and indexes over them, which decide
//! nothing: `replica_index.rs` of the replicas, `in_flight.rs` of attempts in flight, `open_queries.rs` of
//! open queries, `sliding_window.rs` of recent events, `estimate.rs` of values that decay; `timer_queue.rs`
//! orders by time. `../bookkeeping.rs` keeps them up to date. Invariant: each index equals a fresh count over
//! the entities, which [`Balancer::audit`](crate::Balancer::audit) compares.
mod audit;
mod estimate;
mod in_flight;
mod latency;
mod open_queries;
mod part;
mod query;
mod replica;
mod replica_index;
mod sliding_window;
mod timer_queue;
mod validation;
mod zone;

pub use self::estimate::{p90_step, Decay, DecayingAverage, PercentileSpread};
pub use self::in_flight::InFlightIndex;
pub use self::latency::{ConcurrencyLimit, LatencyEstimates};
pub use self::open_queries::OpenQueries;
pub use self::part::{Attempt, AttemptReason, InFlightAttempt, Part};
pub use self::query::{Query, QueryDecision};
pub use self::replica::{OutlierState, Replica};
pub use self::replica_index::ReplicaIndex;
pub use self::sliding_window::{RecentActivity, SlidingWindow};
pub use self::validation::validate;
pub use self::zone::{ReplicaStats, ZoneHealth};
