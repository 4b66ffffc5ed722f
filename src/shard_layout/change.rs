//! What may be changed in a layout, the entries of the log, and why one is refused.
use std::fmt;
use std::sync::Arc;

use super::{District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// What becomes of a tile's history where its servers change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum History {
    /// The new servers get it; the old ones keep it no longer.
    Moves,
    /// The old servers keep it up to the change; the new ones have what comes after.
    Stays,
    /// The old ones keep it up to the change, and the new ones get it too.
    Both,
}

/// One of the tiles that another is cut into.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Piece {
    pub tile: TileId,
    pub weight: Weight,
    pub servers: Vec<ReplicaId>,
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Edit {
    /// New ground, without a history.
    Add { tile: TileId, weight: Weight, district: District, servers: Vec<ReplicaId> },
    /// The pieces' weights come to the tile's own, no more and no less. They stay in its district.
    Split { tile: TileId, into: Vec<Piece>, history: History },
    /// The new tile weighs what the old ones do together.
    Merge { tiles: Vec<TileId>, into: TileId, district: District, servers: Vec<ReplicaId>, history: History },
    /// The tile is served by these from now on.
    Move { tile: TileId, servers: Vec<ReplicaId>, history: History },
    /// The ground is served no more; its history stays with its servers where `keeps` says so.
    Retire { tile: TileId, keeps: bool },
    /// The tile belongs to another district from now on.
    Assign { tile: TileId, district: District },
    /// A district's name from now on.
    Name { district: District, name: Arc<str> },
    /// A server states from when to when it keeps a tile's history, in place of what was known of it. Without an end
    /// it serves the tile from now on; with an end at its start it keeps nothing.
    Keep { tile: TileId, server: ReplicaId, from: HybridTimestamp, until: Option<HybridTimestamp> },
}

/// A change of the layout, all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The number of the version that it was planned on; compared when it is applied.
    pub base: u64,
    /// The lease that it was proposed under ([`super::Closer::stamp`]).
    pub lease: u64,
    /// From when on it holds.
    pub valid: HybridTimestamp,
    /// What all tiles weigh together after it, where the plan states it.
    pub ground: Option<Weight>,
    pub edits: Vec<Edit>,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    Change(Change),
    /// `life` takes the lease with the number, or renews it: it alone may propose changes under that number, and say
    /// that times up to `until` are closed. All up to `closed` is closed now.
    Lease {
        number: u64,
        life: u64,
        until: HybridTimestamp,
        closed: HybridTimestamp,
    },
    /// What was before need not be kept.
    Horizon {
        at: HybridTimestamp,
    },
}

/// A plan that makes no layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// It says nothing.
    Empty,
    /// A list is longer than it may be.
    Long { what: &'static str, most: usize },
    /// No such tile then.
    Unknown(TileId),
    /// A tile with this number is there, or its history still is.
    Taken(TileId),
    /// A tile is cut, joined, moved or made twice within one change.
    Twice(TileId),
    /// A tile has no server, or one of them twice.
    Servers(TileId),
    /// A weight of nothing.
    Weightless(TileId),
    /// Some of the ground is in none of the new tiles.
    Hole { is: Weight, should: Weight },
    /// Some of the ground is in more than one of the new tiles.
    Overlap { is: Weight, should: Weight },
    /// The weights cannot be added exactly in 64 bits.
    Overflow(TileId),
    /// Too few tiles to be cut into or joined.
    Few(TileId),
    /// A district's name that is empty, over 128 bytes, or another district's.
    Name(String),
    /// A span that ends before it begins, or lies outside the tile's life.
    Span(TileId),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Empty => f.write_str("the plan changes nothing"),
            PlanError::Long { what, most } => write!(f, "more than {most} {what}"),
            PlanError::Unknown(tile) => write!(f, "there is no tile {tile}"),
            PlanError::Taken(tile) => write!(f, "tile {tile} is there, or its history is"),
            PlanError::Twice(tile) => write!(f, "tile {tile} is changed twice by one plan"),
            PlanError::Servers(tile) => write!(f, "tile {tile} has no server, or one of them twice"),
            PlanError::Weightless(tile) => write!(f, "tile {tile} weighs nothing"),
            PlanError::Hole { is, should } => write!(f, "a hole: the tiles weigh {is} instead of {should}"),
            PlanError::Overlap { is, should } => {
                write!(f, "tiles overlap: they weigh {is} instead of {should}")
            }
            PlanError::Overflow(tile) => write!(f, "the weights up to tile {tile} cannot be added exactly"),
            PlanError::Few(tile) => write!(f, "tile {tile}: it takes two tiles at least"),
            PlanError::Name(name) => {
                write!(f, "'{name}' is no district's name: 1 to 128 bytes, and no other's")
            }
            PlanError::Span(tile) => write!(f, "a span of history of tile {tile} is outside of its life"),
        }
    }
}

impl std::error::Error for PlanError {}

/// Why an entry changed nothing. Everywhere the same, since it rests on the log alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Applied before.
    Replayed {
        applied: u64,
    },
    /// It was planned on another version.
    Base {
        now: u64,
    },
    /// It was proposed under another lease.
    Lease {
        now: u64,
    },
    /// It would hold at or before a time that is closed.
    Closed {
        closed: HybridTimestamp,
    },
    /// It would hold before the version that it was planned on.
    Order {
        last: HybridTimestamp,
    },
    /// It would hold more than [`super::state::AHEAD_MS`] after all that is closed or leased.
    Far {
        most: HybridTimestamp,
    },
    /// A horizon behind the present one, or at a time that is not closed.
    Horizon {
        horizon: HybridTimestamp,
        closed: HybridTimestamp,
    },
    /// As many versions as are kept; a later horizon makes room.
    Full {
        versions: usize,
    },
    Plan(PlanError),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Replayed { applied } => write!(f, "applied before: the log stands at {applied}"),
            Refused::Base { now } => write!(f, "planned on another version than {now}"),
            Refused::Lease { now } => write!(f, "proposed under another lease than {now}"),
            Refused::Closed { closed } => write!(f, "valid at or before {closed}, which is closed"),
            Refused::Order { last } => write!(f, "valid before {last}, from when the last version is"),
            Refused::Far { most } => write!(f, "valid after {most}, which is too far ahead"),
            Refused::Horizon { horizon, closed } => {
                write!(f, "a horizon must lie between {horizon} and {closed}")
            }
            Refused::Full { versions } => write!(f, "{versions} versions are kept, as many as may be"),
            Refused::Plan(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Refused {}

impl From<PlanError> for Refused {
    fn from(e: PlanError) -> Refused {
        Refused::Plan(e)
    }
}
