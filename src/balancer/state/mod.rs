//! State that a coordinator keeps between rounds, and the validation of its settings. This module
//! makes no decisions and contains no tuning constants; decisions are made in `src/balancer/`.
//!
//! The entities are in `replica.rs`, `zone.rs`, `query.rs` and `part.rs`. The sums and indexes over
//! them are in `replica_index.rs` (replicas), `in_flight.rs` (attempts in flight),
//! `open_queries.rs` (open queries), `sliding_window.rs` (recent events) and `estimate.rs`
//! (decaying values); `timer_queue.rs` orders keys by time. `../bookkeeping.rs` keeps them up to
//! date. Invariant: each index equals a full recount over the entities, which
//! [`Balancer::audit`](crate::Balancer::audit) verifies.
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
