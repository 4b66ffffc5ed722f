//! Where the parts of a query go: by the layout that was valid at its time, to whoever keeps that history now.
//!
//! Which tiles there were at a time is told by the version valid then; it can't change any more, since the time is
//! closed. Who keeps their history is told by the version valid now: history moves. Where a tile's own holders are gone
//! the ground is followed to its children, piece by piece, and pieces that meet again are one.
//!
//! Invariant: the weights of a part's sources and what is lost of it come to its weight, no more and no less. A source
//! whose weight is not known (ground that was joined to other ground and then cut anew) counts only together with all
//! others like it.
use std::collections::BTreeMap;
use std::fmt;

use super::state::Layouts;
use super::version::{Tile, Version};
use super::{less, plus, zero, District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// Sources of one part at most: a finer cut is not followed, and what is left of the part is lost.
pub const MOST_SOURCES: usize = 1024;

/// The time that a query is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    Now,
    Past(HybridTimestamp),
}

impl At {
    fn past(self) -> Option<HybridTimestamp> {
        match self {
            At::Now => None,
            At::Past(at) => Some(at),
        }
    }
}

/// The ground that is asked for.
#[derive(Clone, Copy, Debug)]
pub enum Which<'a> {
    /// By numbers, as they were then; each counts once.
    Tiles(&'a [TileId]),
    District(District),
    /// By the name that a district had then.
    Named(&'a str),
    All,
}

/// One of those that together answer for a tile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The tile whose servers are asked: the part's own, or one that its ground has come to.
    pub ask: TileId,
    /// How much of the part's ground lies there, where that is known.
    pub weight: Option<Weight>,
    /// How much the whole of `ask` weighs.
    pub size: Weight,
    /// Which ground of `ask` is meant: all that lay in each tile of one of these chains.
    pub ground: Vec<Chain>,
    /// Never empty.
    pub holders: Vec<ReplicaId>,
}

/// Ground by the tiles that it lay in: what is in all of them.
pub type Chain = Vec<TileId>;

impl Source {
    /// The whole of `ask` is meant: a server needs to leave nothing out.
    pub fn full(&self) -> bool {
        self.weight == Some(self.size)
    }
}

/// A tile that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    pub tile: TileId,
    pub weight: Weight,
    pub sources: Vec<Source>,
    /// How much of it nobody holds any more.
    pub lost: Weight,
}

/// Where a query goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routed {
    pub at: At,
    /// The version that told the tiles, and the one that told who holds them.
    pub version: u64,
    pub holders: u64,
    /// In the order of the districts and tiles, each once.
    pub parts: Vec<Part>,
}

impl Routed {
    /// The tiles of which something is lost.
    pub fn missing(&self) -> impl Iterator<Item = TileId> + '_ {
        self.parts.iter().filter(|p| *p.lost.numer() > 0).map(|p| p.tile)
    }
}

/// Why a query has no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// What was then is kept no more.
    BeforeHorizon {
        horizon: HybridTimestamp,
    },
    /// Not come yet; it is `now` here.
    Future {
        now: HybridTimestamp,
    },
    /// The layout of then may still change, as far as this member knows; it is when `closed` has passed that time.
    NotYet {
        closed: HybridTimestamp,
        behind_ms: u64,
    },
    /// No such tile at that time.
    NoTile {
        tile: TileId,
    },
    NoDistrict {
        name: String,
    },
    /// This member's clock is beyond the bound: it reads nothing of the past.
    Withdrawn {
        ahead_ms: i64,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::BeforeHorizon { horizon } => {
                write!(f, "before {horizon}, from when on history is kept")
            }
            ReadError::Future { now } => write!(f, "a time to come: it is {now}"),
            ReadError::NotYet { closed, behind_ms } => {
                write!(f, "the layout may still change from {closed} on; come back in {behind_ms} ms")
            }
            ReadError::NoTile { tile } => write!(f, "there was no tile {tile} then"),
            ReadError::NoDistrict { name } => write!(f, "there was no district '{name}' then"),
            ReadError::Withdrawn { ahead_ms } => {
                write!(
                    f,
                    "this member's clock is {ahead_ms} ms behind the others': no reads in the past here"
                )
            }
        }
    }
}

impl std::error::Error for ReadError {}

impl Layouts {
    /// Plan a query about a time, or about now. `now` is this member's fleet time, `closed` what it knows to be closed
    /// ([`super::Known::closed`]).
    pub fn route(
        &self,
        which: Which<'_>,
        at: At,
        now: HybridTimestamp,
        closed: HybridTimestamp,
    ) -> Result<Routed, ReadError> {
        if let At::Past(at) = at {
            if at < self.horizon() {
                return Err(ReadError::BeforeHorizon { horizon: self.horizon() });
            }
            if at > now {
                return Err(ReadError::Future { now });
            }
            if at > closed {
                let behind_ms = (at.ms - closed.ms).max(1);
                return Err(ReadError::NotYet { closed, behind_ms });
            }
        }
        let then = self.version_at(at.past().unwrap_or(now));
        let held = self.version_at(now);
        let part = |id: TileId| {
            let tile = then.alive(id).ok_or(ReadError::NoTile { tile: id })?;
            Ok(part(held, id, tile.weight, at))
        };
        let district = |district: Option<District>, name: &dyn Fn() -> String| {
            let there = district.filter(|d| then.district(*d).is_some());
            there.ok_or_else(|| ReadError::NoDistrict { name: name() })
        };
        let parts: Result<Vec<Part>, ReadError> = match which {
            Which::Tiles(tiles) => {
                let mut tiles = tiles.to_vec();
                tiles.sort_unstable();
                tiles.dedup();
                tiles.into_iter().map(part).collect()
            }
            Which::District(d) => then.tiles_of(district(Some(d), &|| d.0.to_string())?).map(part).collect(),
            Which::Named(name) => {
                then.tiles_of(district(then.named(name), &|| name.into())?).map(part).collect()
            }
            Which::All => then.all().map(part).collect(),
        };
        Ok(Routed { at, version: then.number, holders: held.number, parts: parts? })
    }
}

fn part(held: &Version, tile: TileId, weight: Weight, at: At) -> Part {
    let ground = Ground { weight: Some(weight), chains: vec![vec![tile]] };
    // Nearly always: its own holders are there.
    let held_by = held.tile(tile).and_then(|t| holders(t, at));
    if let Some(holders) = held_by {
        return Part { tile, weight, sources: vec![ground.source(tile, weight, holders)], lost: zero() };
    }
    let (sources, lost) = follow(held, BTreeMap::from([(tile, ground)]), weight, at);
    Part { tile, weight, sources, lost }
}

/// Some ground within a tile.
#[derive(Clone, Debug)]
pub(super) struct Ground {
    pub weight: Option<Weight>,
    pub chains: Vec<Chain>,
}

impl Ground {
    fn source(self, ask: TileId, size: Weight, holders: Vec<ReplicaId>) -> Source {
        Source { ask, weight: self.weight, size, ground: self.chains, holders }
    }

    /// What comes of it in a child of its tile, which weighs `size`.
    fn in_child(&self, tile: &Tile, child: TileId, size: Option<Weight>) -> Ground {
        if tile.children.len() == 1 {
            // All of it went there, with more.
            return self.clone();
        }
        if self.weight == Some(tile.weight) {
            return Ground { weight: size, chains: vec![vec![child]] };
        }
        // How much of it came here, and how much to the others, nobody has told.
        let chains = self.chains.iter().map(|c| c.iter().copied().chain([child]).collect()).collect();
        Ground { weight: None, chains }
    }

    fn join(&mut self, other: Ground) {
        self.weight = self.weight.zip(other.weight).and_then(|(a, b)| plus(a, b));
        self.chains.extend(other.chains);
    }
}

fn holders(tile: &Tile, at: At) -> Option<Vec<ReplicaId>> {
    let holders = match at {
        At::Now if tile.died.is_some() => return None,
        at => tile.holders(at.past()),
    };
    (!holders.is_empty()).then_some(holders)
}

/// Follow ground to whoever holds it: through children where a tile's own holders are gone. It comes to `whole`, where
/// all its weights are known. Also tells how much is lost.
///
/// Tiles are taken in the order in which they were made, so that all that meets in one has met before it is looked at.
pub(super) fn follow(
    held: &Version,
    ground: BTreeMap<TileId, Ground>,
    whole: Weight,
    at: At,
) -> (Vec<Source>, Weight) {
    let made = |id: TileId| held.tile(id).map_or(0, |t| t.made);
    let mut open: BTreeMap<(u64, TileId), Ground> =
        ground.into_iter().map(|(id, g)| ((made(id), id), g)).collect();
    let mut sources: Vec<Source> = Vec::new();
    // What is lost for certain; and whether some ground of a weight that is not known is.
    let (mut lost, mut unknown_lost) = (Some(zero()), false);
    while let Some(((_, id), mut ground)) = open.pop_first() {
        let tile = held.tile(id);
        if let Some(tile) = tile.filter(|t| ground.weight == Some(t.weight)) {
            ground = Ground { weight: Some(tile.weight), chains: vec![vec![id]] };
        }
        if let Some((tile, holders)) = tile.and_then(|t| Some((t, holders(t, at)?))) {
            sources.push(ground.source(id, tile.weight, holders));
            continue;
        }
        // A query of now follows the ground itself, one of the past its history.
        let passes = |t: &&Tile| at.past().is_none_or(|at| t.passed.is_some_and(|from| from <= at));
        let parted = tile.filter(passes).filter(|t| !t.children.is_empty());
        let room = open.len() + sources.len() < MOST_SOURCES && ground.chains.len() < MOST_SOURCES;
        let Some(tile) = parted.filter(|_| room) else {
            match ground.weight {
                Some(weight) => lost = lost.and_then(|l| plus(l, weight)),
                None => unknown_lost = true,
            }
            continue;
        };
        for child in &tile.children {
            let piece = ground.in_child(tile, *child, held.tile(*child).map(|c| c.weight));
            match open.get_mut(&(made(*child), *child)) {
                Some(there) => there.join(piece),
                None => drop(open.insert((made(*child), *child), piece)),
            }
        }
    }
    if unknown_lost || lost.is_none() {
        // Which share of what is not known is lost can't be told: all of it is.
        sources.retain(|s| s.weight.is_some());
        let known = sources.iter().try_fold(zero(), |sum, s| plus(sum, s.weight?));
        lost = known.and_then(|known| less(whole, known));
        if lost.is_none() {
            sources.clear();
        }
    }
    sources.sort_by_key(|s| s.ask);
    (sources, lost.unwrap_or(whole))
}
