//! The changes that can be made to a layout, and the entries of the replicated log.
use std::sync::Arc;

use super::{District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// Which servers retain a tile's history from before a change of its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HistoryTransfer {
    /// The history moves to the new servers, and the old ones no longer retain it.
    MoveToNew,
    /// The old servers retain the history up to the change. The new servers have only the history since
    /// then.
    StayWithOld,
    /// The old servers retain the history up to the change, and the new servers receive a copy.
    CopyToNew,
}

/// One of the tiles into which a tile is split.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Piece {
    /// The number of the new tile.
    pub tile: TileId,
    /// The part of the split tile's weight that this tile receives; greater than 0.
    pub weight: Weight,
    /// The servers that serve the tile, without duplicates; at least one.
    pub servers: Vec<ReplicaId>,
}

/// A single edit within a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Edit {
    /// Adds a tile without history.
    Add {
        /// The number of the tile, which must not be in use, not even in retained history.
        tile: TileId,
        /// The weight of the tile, as a measure of its area; greater than 0.
        weight: Weight,
        /// The district of the tile.
        district: District,
        /// The servers that serve the tile, without duplicates; at least one.
        servers: Vec<ReplicaId>,
    },
    /// Replaces a tile with pieces whose weights add up to exactly the weight of the tile. The pieces stay
    /// in its district.
    Split {
        /// The tile to replace.
        tile: TileId,
        /// The new tiles; at least two.
        into: Vec<Piece>,
        /// How the history of the tile is transferred.
        history: HistoryTransfer,
    },
    /// Replaces several tiles with one whose weight is the sum of their weights.
    Merge {
        /// The tiles to replace; at least two.
        tiles: Vec<TileId>,
        /// The number of the new tile.
        into: TileId,
        /// The district of the new tile.
        district: District,
        /// The servers that serve the tile, without duplicates; at least one.
        servers: Vec<ReplicaId>,
        /// How the history of the tiles is transferred.
        history: HistoryTransfer,
    },
    /// Moves a tile to other servers.
    Move {
        /// The tile.
        tile: TileId,
        /// The servers that serve the tile from now on, without duplicates; at least one.
        servers: Vec<ReplicaId>,
        /// How the history of the tile is transferred.
        history: HistoryTransfer,
    },
    /// Retires a tile without a replacement.
    Retire {
        /// The tile.
        tile: TileId,
        /// Whether the servers of the tile retain its history.
        keep_history: bool,
    },
    /// Assigns a tile to another district.
    AssignDistrict {
        /// The tile.
        tile: TileId,
        /// The new district of the tile.
        district: District,
    },
    /// Sets the name of a district.
    NameDistrict {
        /// The district.
        district: District,
        /// The new name: 1 to 128 bytes, not used by another district.
        name: Arc<str>,
    },
    /// Records a server's own statement of the span of a tile's history that it retains, which replaces the
    /// derived retention of that server.
    SetRetention {
        /// The tile.
        tile: TileId,
        /// The server that makes the statement.
        server: ReplicaId,
        /// The start of the span, inclusive.
        from: HybridTimestamp,
        /// The end of the span, exclusive. Without an end, the server serves the tile from now on. If the
        /// end equals `from`, the server retains nothing.
        until: Option<HybridTimestamp>,
    },
}

/// A change of the layout. It is applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The number of the version on which the change was planned. It must be the newest version when the
    /// change is applied (compare-and-set).
    pub base: u64,
    /// The number of the lease under which the change was proposed
    /// ([`super::ClosedTimestampPublisher::propose`]).
    pub lease: u64,
    /// The time from which the new version is valid.
    pub valid_from: HybridTimestamp,
    /// The total weight of all live tiles after the change, if the plan states it. It is checked when the
    /// change is applied.
    pub total_weight: Option<Weight>,
    /// The edits in the order in which they are applied; at least one.
    pub edits: Vec<Edit>,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// A change, which creates a new version of the layout.
    Change(Change),
    /// Acquires or renews the lease for an incarnation. Only this incarnation may then propose changes
    /// under the lease number and promise that times up to `until` are closed.
    Lease {
        /// The number of the lease: the current one for a renewal, the next one for a new lease.
        number: u64,
        /// The incarnation that holds the lease, that is, one run of a process.
        incarnation: u64,
        /// The latest time that the holder may promise to be closed.
        until: HybridTimestamp,
        /// The time up to which the entry itself closes all times.
        closed: HybridTimestamp,
    },
    /// Advances the horizon. Versions that were replaced by then need not be retained.
    Horizon {
        /// The new horizon: a closed time that is not before the current horizon.
        at: HybridTimestamp,
    },
}
