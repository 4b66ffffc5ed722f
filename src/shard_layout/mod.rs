//! Layouts through time: which tiles make up the ground at each point of the fleet's time, which servers hold them and
//! keep their history, and how a query is led by the layout that was valid then. Decisions and state alone: entries
//! of the replicated log and times come in, plans go out; no input, output, clock or randomness.
//!
//! - [`change`]: what may be changed, and why a change is refused.
//! - [`version`]: one layout, as a persistent map that shares all but what changed with the one before.
//! - [`state`]: the state machine that applies the log; the same everywhere.
//! - [`limits`]: bounds of what is kept.
//! - [`closed_timestamp`]: up to when no change can come any more, and who may say so.
//! - [`route`]: the parts of a query at a time. [`tally`]: its ground through changes, each piece counted once.
//! - [`wire`]: entries, promises and snapshots as bytes.
pub mod change;
pub mod closed_timestamp;
pub mod limits;
pub mod route;
pub mod state;
pub mod tally;
pub mod version;
pub mod wire;

pub use change::{Change, Edit, Entry, History, Piece, PlanError, Refused};
pub use closed_timestamp::{Closer, Known, Told};
pub use limits::Limits;
pub use route::{At, Part, ReadError, Routed, Source, Which};
pub use state::{Applied, Guard, Layouts, Lease};
pub use tally::{Request, Share, Tally};
pub use version::{Keep, Tile, Version};
pub use wire::WireError;

/// A tile's number. It is not given again while its history is kept.
pub type TileId = u32;

/// A district's number; its name may change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct District(pub u32);

/// How much ground, exactly: halves and thirds add up to the whole again.
pub type Weight = num_rational::Ratio<u64>;

pub(crate) fn plus(a: Weight, b: Weight) -> Option<Weight> {
    num_traits::CheckedAdd::checked_add(&a, &b)
}

pub(crate) fn less(a: Weight, b: Weight) -> Option<Weight> {
    num_traits::CheckedSub::checked_sub(&a, &b)
}

pub(crate) fn zero() -> Weight {
    Weight::from_integer(0)
}
