//! Why a change or an entry of the log is rejected. All of it rests on the log alone, so that every member gets the
//! same result.
use super::{TileId, Weight};
use crate::cluster::HybridTimestamp;

/// Why a change's edits make no valid layout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// No edits.
    #[error("the plan changes nothing")]
    Empty,
    /// A list is longer than the limits allow.
    #[error("more than {max} {what}")]
    TooLong {
        /// The list.
        what: &'static str,
        /// Its largest length.
        max: usize,
    },
    /// There is no such live tile.
    #[error("there is no tile {0}")]
    UnknownTile(TileId),
    /// A tile with this number lives, or its history is retained.
    #[error("tile {0} is there, or its history is")]
    TileExists(TileId),
    /// A tile is split, merged, moved or made twice within one change.
    #[error("tile {0} is changed twice by one plan")]
    ChangedTwice(TileId),
    /// No servers, or one of them twice.
    #[error("tile {0} has no server, or one of them twice")]
    InvalidServers(TileId),
    /// A weight of 0.
    #[error("tile {0} weighs nothing")]
    ZeroWeight(TileId),
    /// Some of the area is in none of the new tiles.
    #[error("a hole: the tiles weigh {actual} instead of {expected}")]
    Gap {
        /// What the new tiles weigh.
        actual: Weight,
        /// What they must weigh.
        expected: Weight,
    },
    /// Some of the area is in more than one of the new tiles.
    #[error("tiles overlap: they weigh {actual} instead of {expected}")]
    Overlap {
        /// What the new tiles weigh.
        actual: Weight,
        /// What they must weigh.
        expected: Weight,
    },
    /// The weights up to this tile's can't be added exactly in 64 bits.
    #[error("the weights up to tile {0} cannot be added exactly")]
    WeightOverflow(TileId),
    /// Fewer than two tiles to split into or to merge.
    #[error("tile {0}: it takes two tiles at least")]
    TooFewTiles(TileId),
    /// A district's name that is empty, over 128 bytes, or another district's.
    #[error("'{0}' is no district's name: 1 to 128 bytes, and no other's")]
    InvalidName(String),
    /// A retention span that ends before it starts, or lies outside the time in which the tile was valid.
    #[error("a span of history of tile {0} is outside of its life")]
    InvalidSpan(TileId),
}

/// Why an entry of the log changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The entry's index was applied before.
    #[error("applied before: the log stands at {applied}")]
    AlreadyApplied {
        /// The index up to which the log is applied.
        applied: u64,
    },
    /// It was planned on another version (compare-and-set failed).
    #[error("planned on another version than {current}")]
    BaseMismatch {
        /// The newest version's number.
        current: u64,
    },
    /// It was proposed under another lease.
    #[error("proposed under another lease than {current}")]
    LeaseMismatch {
        /// The present lease's number.
        current: u64,
    },
    /// It would be valid at or before a closed time.
    #[error("valid at or before {closed}, which is closed")]
    AtOrBeforeClosed {
        /// The latest closed time.
        closed: HybridTimestamp,
    },
    /// It would be valid before the version that it was planned on.
    #[error("valid before {latest}, from when the last version is")]
    BeforeLatestVersion {
        /// From when on the newest version is valid.
        latest: HybridTimestamp,
    },
    /// It would be valid more than [`super::state::MAX_AHEAD_MS`] after all that is closed or leased.
    #[error("valid after {max}, which is too far ahead")]
    TooFarAhead {
        /// The latest time from which a version may be valid.
        max: HybridTimestamp,
    },
    /// A horizon before the present one, or at a time that is not closed.
    #[error("a horizon must lie between {horizon} and {closed}")]
    HorizonOutOfRange {
        /// The present horizon.
        horizon: HybridTimestamp,
        /// The latest closed time.
        closed: HybridTimestamp,
    },
    /// As many versions are retained as the limits allow; a later horizon removes some.
    #[error("{versions} versions are kept, as many as may be")]
    TooManyVersions {
        /// How many are retained.
        versions: usize,
    },
    /// The change's edits make no valid layout.
    #[error(transparent)]
    Plan(#[from] PlanError),
}
