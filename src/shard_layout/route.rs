//! Where the parts of a query go: by the layout that was valid at the query's time, to the servers that retain that
//! history now.
//!
//! Which tiles there were at a time is read from the version valid then; it can't change any more, since the time is
//! closed. Who retains their history is read from the version valid now, since history moves. Where a tile's own holders
//! are gone its area is followed to its children, piece by piece, and pieces that meet again are joined.
//!
//! Invariant: the weights of a part's sources and what is lost of it add up to its own weight. A source of unknown
//! weight (area that was merged with other area and then split again) counts only together with all others like it.
use std::collections::btree_map::{BTreeMap, Entry};

use super::state::Layouts;
use super::version::{Tile, Version};
use super::{checked_add, checked_sub, zero, District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// Sources of one part at most: a finer split is not followed, and what is left of the part counts as lost.
pub const MAX_SOURCES: usize = 1024;

/// The time that a query is about (SQL's AS OF SYSTEM TIME).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadTimestamp {
    /// The present, whenever the query is executed.
    Now,
    /// A time that is closed.
    AsOf(HybridTimestamp),
}

impl ReadTimestamp {
    fn as_of(self) -> Option<HybridTimestamp> {
        match self {
            ReadTimestamp::Now => None,
            ReadTimestamp::AsOf(at) => Some(at),
        }
    }
}

/// The area that is asked for.
#[derive(Clone, Copy, Debug)]
pub enum AreaSelector<'a> {
    /// Tiles by their numbers, as they were then; each counts once.
    Tiles(&'a [TileId]),
    /// All tiles of a district.
    District(District),
    /// All tiles of the district that had this name then.
    Named(&'a str),
    /// All tiles.
    All,
}

/// One of the tiles whose servers together answer for a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The tile whose servers are asked: the part's own, or one that its area has come to.
    pub target: TileId,
    /// How much of the part's area lies there, where that is known.
    pub weight: Option<Weight>,
    /// How much all of `target` weighs.
    pub target_weight: Weight,
    /// Which area of `target` is meant: the union of these lineages.
    pub lineages: Vec<Lineage>,
    /// The servers that may be asked; never empty.
    pub holders: Vec<ReplicaId>,
}

/// Area by the tiles that it was in: what was in all of them.
pub type Lineage = Vec<TileId>;

impl Source {
    /// All of `target` is meant: a server need not leave anything out.
    pub fn covers_target(&self) -> bool {
        self.weight == Some(self.target_weight)
    }
}

/// A tile that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The tile, as it was at the query's time.
    pub tile: TileId,
    /// Its weight.
    pub weight: Weight,
    /// Who together answers for it, in the order of their targets.
    pub sources: Vec<Source>,
    /// How much of it no server retains any more.
    pub lost: Weight,
}

/// Where a query goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryPlan {
    /// The time that the query is about.
    pub at: ReadTimestamp,
    /// The number of the version that says which tiles there were.
    pub version: u64,
    /// The number of the version that says who retains them.
    pub holder_version: u64,
    /// In the order of the districts and tiles, each once.
    pub parts: Vec<Part>,
}

impl QueryPlan {
    /// The tiles of which something is lost.
    pub fn tiles_with_loss(&self) -> impl Iterator<Item = TileId> + '_ {
        self.parts.iter().filter(|part| *part.lost.numer() > 0).map(|part| part.tile)
    }
}

/// Why a query has no plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The layout of that time is not retained any more.
    #[error("before {horizon}, from when on history is kept")]
    BeforeHorizon {
        /// The earliest time that can be read.
        horizon: HybridTimestamp,
    },
    /// The time is still to come.
    #[error("a time to come: it is {now}")]
    Future {
        /// This member's time.
        now: HybridTimestamp,
    },
    /// The layout of that time may still change, as far as this member knows. The query may be repeated once `closed`
    /// has passed its time.
    #[error("the layout may still change from {closed} on; come back in {behind_ms} ms")]
    NotClosed {
        /// The latest time that this member knows to be closed.
        closed: HybridTimestamp,
        /// How far that is behind the query's time, in milliseconds; 1 at least.
        behind_ms: u64,
    },
    /// There was no such tile at that time.
    #[error("there was no tile {tile} then")]
    UnknownTile {
        /// The tile that was asked for.
        tile: TileId,
    },
    /// There was no such district at that time.
    #[error("there was no district '{name}' then")]
    UnknownDistrict {
        /// Its name, or its number where it was asked for by that.
        name: String,
    },
}

impl Layouts {
    /// Plans a query. `now` is this member's time, `closed` what it knows to be closed
    /// ([`ClosedTimestampTracker::closed`](super::ClosedTimestampTracker::closed)).
    ///
    /// # Errors
    /// A time that can't be read, or an area that did not exist then.
    pub fn route(
        &self,
        selector: AreaSelector<'_>,
        at: ReadTimestamp,
        now: HybridTimestamp,
        closed: HybridTimestamp,
    ) -> Result<QueryPlan, ReadError> {
        if let ReadTimestamp::AsOf(at) = at {
            self.check_readable(at, now, closed)?;
        }
        let read_version = self.version_at(at.as_of().unwrap_or(now));
        let holder_version = self.version_at(now);
        let plan_part = |id: TileId| {
            let tile = read_version.live_tile(id).ok_or(ReadError::UnknownTile { tile: id })?;
            Ok(plan_part(holder_version, id, tile.weight, at))
        };
        let parts = select(read_version, selector)?.into_iter().map(plan_part).collect::<Result<_, _>>()?;
        Ok(QueryPlan { at, version: read_version.number, holder_version: holder_version.number, parts })
    }

    fn check_readable(
        &self,
        at: HybridTimestamp,
        now: HybridTimestamp,
        closed: HybridTimestamp,
    ) -> Result<(), ReadError> {
        if at < self.horizon() {
            return Err(ReadError::BeforeHorizon { horizon: self.horizon() });
        }
        if at > now {
            return Err(ReadError::Future { now });
        }
        if at > closed {
            let behind_ms = (at.ms - closed.ms).max(1);
            return Err(ReadError::NotClosed { closed, behind_ms });
        }
        Ok(())
    }
}

/// The tiles that a selector means in a version, in the order of their parts.
fn select(version: &Version, selector: AreaSelector<'_>) -> Result<Vec<TileId>, ReadError> {
    match selector {
        AreaSelector::Tiles(tiles) => {
            let mut tiles = tiles.to_vec();
            tiles.sort_unstable();
            tiles.dedup();
            Ok(tiles)
        }
        AreaSelector::District(district) if version.has_district(district) => {
            Ok(version.tiles_in(district).collect())
        }
        AreaSelector::District(district) => Err(ReadError::UnknownDistrict { name: district.0.to_string() }),
        AreaSelector::Named(name) => {
            let district = version.district_named(name).filter(|district| version.has_district(*district));
            let district = district.ok_or_else(|| ReadError::UnknownDistrict { name: name.into() })?;
            Ok(version.tiles_in(district).collect())
        }
        AreaSelector::All => Ok(version.live_tiles().collect()),
    }
}

fn plan_part(holder_version: &Version, tile: TileId, weight: Weight, at: ReadTimestamp) -> Part {
    let area = Area { weight: Some(weight), lineages: vec![vec![tile]] };
    // The common case: its own holders are there.
    let own_holders = holder_version.tile(tile).and_then(|tile| holders(tile, at));
    if let Some(holders) = own_holders {
        let source = area.into_source(tile, weight, holders);
        return Part { tile, weight, sources: vec![source], lost: zero() };
    }
    let followed = follow(holder_version, BTreeMap::from([(tile, area)]), weight, at);
    Part { tile, weight, sources: followed.sources, lost: followed.lost }
}

/// Some area within a tile.
#[derive(Clone, Debug)]
pub(super) struct Area {
    /// Its weight, where that is known.
    pub weight: Option<Weight>,
    pub lineages: Vec<Lineage>,
}

impl Area {
    fn into_source(self, target: TileId, target_weight: Weight, holders: Vec<ReplicaId>) -> Source {
        Source { target, weight: self.weight, target_weight, lineages: self.lineages, holders }
    }

    /// What comes of it in a child of its tile.
    fn in_child(&self, tile: &Tile, child: TileId, child_weight: Option<Weight>) -> Area {
        if tile.children.len() == 1 {
            // A merge: all of it went there, with more.
            return self.clone();
        }
        if self.weight == Some(tile.weight) {
            return Area { weight: child_weight, lineages: vec![vec![child]] };
        }
        // How much of it came here, and how much to the other children, is not known.
        let extended = |lineage: &Lineage| lineage.iter().copied().chain([child]).collect();
        Area { weight: None, lineages: self.lineages.iter().map(extended).collect() }
    }

    fn join(&mut self, other: Area) {
        self.weight = self.weight.zip(other.weight).and_then(|(a, b)| checked_add(a, b));
        self.lineages.extend(other.lineages);
    }
}

/// The servers that can answer for a tile at a time; `None` where there are none.
fn holders(tile: &Tile, at: ReadTimestamp) -> Option<Vec<ReplicaId>> {
    if at == ReadTimestamp::Now && !tile.is_live() {
        return None;
    }
    let holders = tile.holders(at.as_of());
    (!holders.is_empty()).then_some(holders)
}

/// Where some area is now.
pub(super) struct Followed {
    /// In the order of their targets.
    pub sources: Vec<Source>,
    pub lost: Weight,
}

/// What is lost while area is followed.
struct Loss {
    /// The sum of the known weights; `None` once it does not fit 64 bits.
    known: Option<Weight>,
    /// Whether some area of unknown weight is lost.
    has_unknown: bool,
}

/// Follows area to whoever retains it: through children where a tile's own holders are gone. `total` is what the area
/// weighs together, where all its weights are known.
///
/// Tiles are taken in the order in which they were made, so that all that meets in one has met before it is looked at.
pub(super) fn follow(
    version: &Version,
    areas: BTreeMap<TileId, Area>,
    total: Weight,
    at: ReadTimestamp,
) -> Followed {
    let created_by = |id: TileId| version.tile(id).map_or(0, |tile| tile.created_by);
    let mut open: BTreeMap<(u64, TileId), Area> =
        areas.into_iter().map(|(id, area)| ((created_by(id), id), area)).collect();
    let mut sources: Vec<Source> = Vec::new();
    let mut loss = Loss { known: Some(zero()), has_unknown: false };
    while let Some(((_, id), mut area)) = open.pop_first() {
        let tile = version.tile(id);
        if tile.is_some_and(|tile| area.weight == Some(tile.weight)) {
            area.lineages = vec![vec![id]];
        }
        if let Some((tile, holders)) = tile.and_then(|tile| Some((tile, holders(tile, at)?))) {
            sources.push(area.into_source(id, tile.weight, holders));
            continue;
        }
        let has_capacity = open.len() + sources.len() < MAX_SOURCES && area.lineages.len() < MAX_SOURCES;
        let Some(tile) = tile.filter(|tile| has_capacity && passes_to_children(tile, at)) else {
            loss.add(area.weight);
            continue;
        };
        for child in &tile.children {
            let piece = area.in_child(tile, *child, version.tile(*child).map(|child| child.weight));
            match open.entry((created_by(*child), *child)) {
                Entry::Occupied(mut met) => met.get_mut().join(piece),
                Entry::Vacant(free) => {
                    free.insert(piece);
                }
            }
        }
    }
    let lost = loss.settle(&mut sources, total);
    sources.sort_by_key(|source| source.target);
    Followed { sources, lost }
}

/// A query of now follows the area itself, one of the past its history.
fn passes_to_children(tile: &Tile, at: ReadTimestamp) -> bool {
    let is_passed =
        at.as_of().is_none_or(|at| tile.history_passed_from.is_some_and(|passed_from| passed_from <= at));
    is_passed && !tile.children.is_empty()
}

impl Loss {
    fn add(&mut self, weight: Option<Weight>) {
        match weight {
            Some(weight) => self.known = self.known.and_then(|lost| checked_add(lost, weight)),
            None => self.has_unknown = true,
        }
    }

    /// How much is lost in all. Where that includes area of unknown weight, all sources of unknown weight are given up
    /// too, since their share of it is not known.
    fn settle(&self, sources: &mut Vec<Source>, total: Weight) -> Weight {
        if let (Some(lost), false) = (self.known, self.has_unknown) {
            return lost;
        }
        sources.retain(|source| source.weight.is_some());
        let known = sources.iter().try_fold(zero(), |sum, source| checked_add(sum, source.weight?));
        let lost = known.and_then(|known| checked_sub(total, known));
        if lost.is_none() {
            sources.clear();
        }
        lost.unwrap_or(total)
    }
}
