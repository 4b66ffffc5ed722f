//! Shard layouts through time: which tiles were valid at each point of the cluster's time, which servers retain their
//! history, and where the parts of a query about any time go. Decisions and state only: entries of the replicated log
//! and timestamps come in, query plans go out. The module never does I/O and reads no clock and no randomness.
//!
//! - [`change`]: what may be changed, and the entries of the log.
//! - [`error`]: why a change or an entry is rejected.
//! - [`version`]: one layout, as a persistent map that shares with its predecessor all that did not change.
//! - [`state`]: the state machine that applies the log, equal on every member.
//! - [`limits`]: bounds of what is retained.
//! - [`closed_timestamp`]: up to which time no change can come any more, and who may promise so.
//! - [`route`]: the parts of a query at a time. [`response_merger`]: a query's answers through changes of the layout,
//!   each piece counted once.
//! - [`wire`]: entries, promises and snapshots as bytes.
//!
//! Invariants: applying the same log gives the same state on every member; no change is accepted at or before a closed
//! time; of each part of a query, what its sources weigh and what is lost add up to its own weight.
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

/// A tile's number. It is not given again while its history is retained.
pub type TileId = u32;

/// A district's number. Its name may change; the number does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct District(pub u32);

/// How much area, as an exact fraction: halves and thirds add up to exactly one.
pub type Weight = num_rational::Ratio<u64>;

/// The sum, or `None` where it does not fit 64 bits.
pub(crate) fn checked_add(a: Weight, b: Weight) -> Option<Weight> {
    num_traits::CheckedAdd::checked_add(&a, &b)
}

/// The difference, or `None` where it is negative or does not fit 64 bits.
pub(crate) fn checked_sub(a: Weight, b: Weight) -> Option<Weight> {
    num_traits::CheckedSub::checked_sub(&a, &b)
}

pub(crate) fn zero() -> Weight {
    Weight::from_integer(0)
}
