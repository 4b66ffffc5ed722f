//! Errors for rejected changes and log entries. They depend on the log alone, so that every member returns
//! the same result.
use super::{TileId, Weight};
use crate::cluster::HybridTimestamp;

/// Why the edits of a change do not result in a valid layout.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The change has no edits.
    #[error("the plan has no edits")]
    Empty,
    /// A list exceeds its limit.
    #[error("more than {max} {what}")]
    TooLong {
        /// The kind of list.
        what: &'static str,
        /// The maximum length.
        max: usize,
    },
    /// The tile does not exist or is not live.
    #[error("tile {0} does not exist")]
    UnknownTile(TileId),
    /// A tile with this number is live or has retained history.
    #[error("tile {0} already exists or has retained history")]
    TileExists(TileId),
    /// A tile is changed more than once within one change.
    #[error("tile {0} is changed more than once by the plan")]
    ChangedTwice(TileId),
    /// A tile has no servers or has duplicate servers.
    #[error("tile {0} has no servers or has duplicate servers")]
    InvalidServers(TileId),
    /// A tile has a weight of 0.
    #[error("tile {0} has a weight of zero")]
    ZeroWeight(TileId),
    /// Part of the area is not covered by the new tiles.
    #[error("new tiles leave a gap: their weight is {actual} instead of {expected}")]
    Gap {
        /// The total weight of the new tiles.
        actual: Weight,
        /// The weight that they must have.
        expected: Weight,
    },
    /// Part of the area is covered by more than one of the new tiles.
    #[error("new tiles overlap: their weight is {actual} instead of {expected}")]
    Overlap {
        /// The total weight of the new tiles.
        actual: Weight,
        /// The weight that they must have.
        expected: Weight,
    },
    /// The sum of the weights up to this tile cannot be represented exactly in 64 bits.
    #[error("the sum of weights overflows at tile {0}")]
    WeightOverflow(TileId),
    /// A split or a merge has fewer than two tiles.
    #[error("tile {0}: a split or merge needs at least two tiles")]
    TooFewTiles(TileId),
    /// The name of a district is empty, longer than 128 bytes, or used by another district.
    #[error("'{0}' is not a valid district name: must be unique and have 1 to 128 bytes")]
    InvalidName(String),
    /// A retention span ends before it starts, or lies outside the time in which the tile was valid.
    #[error("retention span of tile {0} ends before it starts or is outside the tile's validity")]
    InvalidSpan(TileId),
}

/// Why an entry of the log was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The index of the entry is already applied.
    #[error("entry is already applied: the log is applied up to {applied}")]
    AlreadyApplied {
        /// The index up to which the log is applied.
        applied: u64,
    },
    /// The change was planned on another version than the newest one (compare-and-set failure).
    #[error("planned on another version than the newest one, {current}")]
    BaseMismatch {
        /// The number of the newest version.
        current: u64,
    },
    /// The entry was proposed under another lease.
    #[error("proposed under another lease than the current one, {current}")]
    LeaseMismatch {
        /// The number of the current lease.
        current: u64,
    },
    /// The change would be valid at or before a closed time.
    #[error("valid at or before the closed timestamp {closed}")]
    AtOrBeforeClosed {
        /// The latest closed time.
        closed: HybridTimestamp,
    },
    /// The change would be valid before the version on which it was planned.
    #[error("valid before the newest version, which is valid from {latest}")]
    BeforeLatestVersion {
        /// The time from which the newest version is valid.
        latest: HybridTimestamp,
    },
    /// The change would be valid more than [`super::state::MAX_AHEAD_MS`] after the latest closed or leased
    /// time.
    #[error("valid too far in the future: the latest allowed time is {max}")]
    TooFarAhead {
        /// The latest time from which a new version may be valid.
        max: HybridTimestamp,
    },
    /// The new horizon is before the current one or at a time that is not closed.
    #[error("horizon must be between {horizon} and {closed}")]
    HorizonOutOfRange {
        /// The current horizon.
        horizon: HybridTimestamp,
        /// The latest closed time.
        closed: HybridTimestamp,
    },
    /// The number of retained versions, or of a holder's changes in flight, has reached its limit.
    /// Advancing the horizon removes versions.
    #[error("limit of {versions} versions or pending changes reached")]
    TooManyVersions {
        /// The number that has reached the limit.
        versions: usize,
    },
    /// The edits of the change do not result in a valid layout.
    #[error(transparent)]
    Plan(#[from] PlanError),
}
