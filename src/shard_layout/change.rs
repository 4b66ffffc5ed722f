//! What may be changed in a layout, and the entries of the replicated log.
use std::sync::Arc;

use super::{District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// Who retains a tile's history from before a change of its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HistoryTransfer {
    /// The new servers get it; the old ones retain it no longer.
    MoveToNew,
    /// The old servers retain it up to the change; the new ones have only what comes after.
    StayWithOld,
    /// The old servers retain it up to the change, and the new ones get a copy.
    CopyToNew,
}

/// One of the tiles that another is split into.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Piece {
    /// The new tile's number.
    pub tile: TileId,
    /// Its share of the split tile's weight; more than 0.
    pub weight: Weight,
    /// The servers that serve it, each once; at least one.
    pub servers: Vec<ReplicaId>,
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Edit {
    /// A new tile, without history.
    Add {
        /// Its number; free, also in retained history.
        tile: TileId,
        /// How much area it is; more than 0.
        weight: Weight,
        /// The district that it belongs to.
        district: District,
        /// The servers that serve it, each once; at least one.
        servers: Vec<ReplicaId>,
    },
    /// A tile is replaced by pieces, whose weights add up to exactly its own. They stay in its district.
    Split {
        /// The tile that is replaced.
        tile: TileId,
        /// Two pieces at least.
        into: Vec<Piece>,
        /// What becomes of its history.
        history: HistoryTransfer,
    },
    /// Tiles are replaced by one that weighs as much as they do together.
    Merge {
        /// The tiles that are replaced; two at least.
        tiles: Vec<TileId>,
        /// The new tile's number.
        into: TileId,
        /// The new tile's district.
        district: District,
        /// The servers that serve it, each once; at least one.
        servers: Vec<ReplicaId>,
        /// What becomes of their history.
        history: HistoryTransfer,
    },
    /// A tile is served by other servers from now on.
    Move {
        /// The tile.
        tile: TileId,
        /// The servers that serve it from now on, each once; at least one.
        servers: Vec<ReplicaId>,
        /// What becomes of its history.
        history: HistoryTransfer,
    },
    /// A tile is served no more, and nothing replaces it.
    Retire {
        /// The tile.
        tile: TileId,
        /// Whether its servers retain its history.
        keep_history: bool,
    },
    /// A tile belongs to another district from now on.
    AssignDistrict {
        /// The tile.
        tile: TileId,
        /// Its new district.
        district: District,
    },
    /// A district's name from now on.
    NameDistrict {
        /// The district.
        district: District,
        /// 1 to 128 bytes, and no other district's name.
        name: Arc<str>,
    },
    /// A server's own statement of which span of a tile's history it retains, in place of what was derived for it.
    SetRetention {
        /// The tile.
        tile: TileId,
        /// The server that states it.
        server: ReplicaId,
        /// The start of the span, inclusive.
        from: HybridTimestamp,
        /// Its end, exclusive; without one the server serves the tile from now on. With `from` as the end it retains
        /// nothing.
        until: Option<HybridTimestamp>,
    },
}

/// A change of the layout, applied completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The number of the version that it was planned on; compared when it is applied (compare-and-set).
    pub base: u64,
    /// The lease that it was proposed under ([`super::ClosedTimestampPublisher::propose`]).
    pub lease: u64,
    /// From when on the new version is valid.
    pub valid_from: HybridTimestamp,
    /// What all live tiles weigh together after it, where the plan states it; checked when it is applied.
    pub total_weight: Option<Weight>,
    /// The steps, in their order; at least one.
    pub edits: Vec<Edit>,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// A new version of the layout.
    Change(Change),
    /// An incarnation takes the lease or renews it: it alone may propose changes under that lease number, and promise
    /// that times up to `until` are closed.
    Lease {
        /// The lease's number: the present one for a renewal, the next for a new lease.
        number: u64,
        /// The run of a process that holds it.
        incarnation: u64,
        /// The latest time that its holder may promise to be closed.
        until: HybridTimestamp,
        /// All times up to this are closed by the entry itself.
        closed: HybridTimestamp,
    },
    /// Versions that were replaced by then need not be retained.
    Horizon {
        /// The new horizon; a closed time, not before the present one.
        at: HybridTimestamp,
    },
}
