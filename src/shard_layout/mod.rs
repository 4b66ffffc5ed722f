//! Shard layouts over time: which tiles are valid at each point of the cluster's time, which servers retain
//! their history, and where the parts of a query about any time are sent. The module contains only
//! decisions and state: it takes entries of the replicated log and timestamps as input and returns query
//! plans. It performs no I/O and uses neither clocks nor random numbers.
//!
//! - [`change`]: the changes that can be made, and the entries of the log.
//! - [`error`]: the reasons for which changes and entries are rejected.
//! - [`version`]: one version of the layout, as a persistent map that shares all unchanged data with its
//!   predecessor.
//! - [`state`]: the state machine that applies the log, with the same result on every member.
//! - [`limits`]: limits on the retained data.
//! - [`closed_timestamp`]: the time up to which no further change is possible, and who may promise it.
//! - [`route`]: the parts of a query at a given time.
//! - [`response_merger`]: the answers of a query across changes of the layout, each piece counted once.
//! - [`wire`]: the encoding of entries, promises and snapshots.
//!
//! Invariants: applying the same log results in the same state on every member; no change is accepted at or
//! before a closed time; for each part of a query, the weights of its sources and the lost weight add up to
//! its own weight.
#![warn(missing_docs)]

pub mod change;
pub mod closed_timestamp;
pub mod error;
pub mod limits;
pub mod response_merger;
pub mod route;
pub mod state;
pub mod version;
pub mod wire;

pub use change::{Change, Edit, Entry, HistoryTransfer, Piece};
pub use closed_timestamp::{ClosedTimestampPromise, ClosedTimestampPublisher, ClosedTimestampTracker};
pub use error::{ApplyError, PlanError};
pub use limits::LayoutLimits;
pub use response_merger::{Coverage, ResponseMerger, TileRequest};
pub use route::{AreaSelector, Part, QueryPlan, ReadError, ReadTimestamp, Source};
pub use state::{ApplyOutcome, Layouts, Lease, SafetyCheck};
pub use version::{Retention, Tile, Version};
pub use wire::WireError;

/// The number of a tile. It is not reused while the history of the tile is retained.
pub type TileId = u32;

/// The number of a district. The name of a district may change, its number does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct District(pub u32);

/// A measure of area as an exact fraction, so that halves and thirds add up to exactly one.
pub type Weight = num_rational::Ratio<u64>;

/// Returns the sum, or `None` if it does not fit into 64 bits.
pub(crate) fn checked_add(a: Weight, b: Weight) -> Option<Weight> {
    num_traits::CheckedAdd::checked_add(&a, &b)
}

/// Returns the difference, or `None` if it is negative or does not fit into 64 bits.
pub(crate) fn checked_sub(a: Weight, b: Weight) -> Option<Weight> {
    num_traits::CheckedSub::checked_sub(&a, &b)
}

pub(crate) fn zero() -> Weight {
    Weight::from_integer(0)
}
