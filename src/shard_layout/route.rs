//! Routes the parts of a query according to the layout that was valid at the query's time, to the servers
//! that retain that history now.
//!
//! The tiles at a given time are taken from the version that was valid then, which cannot change any more
//! because the time is closed. The holders of their history are taken from the version that is valid now,
//! because history moves between servers. If a tile's own holders are gone, its area is followed to the
//! child tiles, and pieces that end up in the same tile are joined.
//!
//! Invariant: the weights of a part's sources and its lost weight add up to its own weight. A source of
//! unknown weight (area that was merged with other area and then split again) counts only together with all
//! other sources of unknown weight.
use std::collections::btree_map::{BTreeMap, Entry};

use super::state::Layouts;
use super::version::{Tile, Version};
use super::{checked_add, checked_sub, zero, District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// The maximum number of sources of one part. Area that is split further is not followed, and the rest of
/// the part counts as lost.
pub const MAX_SOURCES: usize = 1024;

/// The time that a query refers to (as in SQL's AS OF SYSTEM TIME).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadTimestamp {
    /// The current time whenever the query is executed.
    Now,
    /// A closed time.
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

/// The area that a query asks for.
#[derive(Clone, Copy, Debug)]
pub enum AreaSelector<'a> {
    /// Tiles by their numbers at the query's time. Duplicates count once.
    Tiles(&'a [TileId]),
    /// All tiles of a district.
    District(District),
    /// All tiles of the district that had this name at the query's time.
    Named(&'a str),
    /// All tiles.
    All,
}

/// One of the tiles whose servers together answer a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The tile whose servers are queried: the part's own tile, or one to which its area was passed.
    pub target: TileId,
    /// The weight of the part's area in `target`, if known.
    pub weight: Option<Weight>,
    /// The total weight of `target`.
    pub target_weight: Weight,
    /// The area of `target` that is requested, as the union of these lineages.
    pub lineages: Vec<Lineage>,
    /// The servers that may be queried; never empty.
    pub holders: Vec<ReplicaId>,
}

/// An area described by the tiles that contained it: the area that lay in all of them.
pub type Lineage = Vec<TileId>;

impl Source {
    /// Returns whether all of `target` is requested, so that a server need not leave anything out.
    pub fn covers_target(&self) -> bool {
        self.weight == Some(self.target_weight)
    }
}

/// A requested tile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The tile at the query's time.
    pub tile: TileId,
    /// The weight of the tile.
    pub weight: Weight,
    /// The sources that together answer the part, in the order of their targets.
    pub sources: Vec<Source>,
    /// The weight of the area that no server retains any more.
    pub lost: Weight,
}

/// The plan of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryPlan {
    /// The time that the query refers to.
    pub at: ReadTimestamp,
    /// The number of the version that determines the tiles.
    pub version: u64,
    /// The number of the version that determines their holders.
    pub holder_version: u64,
    /// The parts in the order of districts and tiles, without duplicates.
    pub parts: Vec<Part>,
}

impl QueryPlan {
    /// Returns the tiles of which some area is lost.
    pub fn tiles_with_loss(&self) -> impl Iterator<Item = TileId> + '_ {
        self.parts.iter().filter(|part| *part.lost.numer() > 0).map(|part| part.tile)
    }
}

/// Why a query cannot be planned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The layout at that time is no longer retained.
    #[error("time is before the horizon {horizon}; earlier history is not retained")]
    BeforeHorizon {
        /// The earliest time that can be read.
        horizon: HybridTimestamp,
    },
    /// The time is in the future.
    #[error("time is in the future: the current time is {now}")]
    Future {
        /// The current time of this member.
        now: HybridTimestamp,
    },
    /// The layout at that time may still change, as far as this member knows. The query can be retried once
    /// `closed` has passed its time.
    #[error("the layout after {closed} may still change; retry in {behind_ms} ms")]
    NotClosed {
        /// The latest time that this member knows to be closed.
        closed: HybridTimestamp,
        /// How far `closed` is behind the query's time, in milliseconds; at least 1.
        behind_ms: u64,
    },
    /// The tile did not exist at that time.
    #[error("tile {tile} did not exist at that time")]
    UnknownTile {
        /// The requested tile.
        tile: TileId,
    },
    /// The district did not exist at that time.
    #[error("district '{name}' did not exist at that time")]
    UnknownDistrict {
        /// The name of the district, or its number if it was requested by number.
        name: String,
    },
}

impl Layouts {
    /// Plans a query. `now` is the current time of this member, and `closed` the latest time that it knows
    /// to be closed ([`ClosedTimestampTracker::closed`](super::ClosedTimestampTracker::closed)).
    ///
    /// # Errors
    /// Returns an error if the time cannot be read or the area did not exist then.
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

/// Returns the tiles that a selector matches in a version, in the order of their parts.
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
    // The common case: the tile still has its own holders.
    let own_holders = holder_version.tile(tile).and_then(|tile| holders(tile, at));
    if let Some(holders) = own_holders {
        let source = area.into_source(tile, weight, holders);
        return Part { tile, weight, sources: vec![source], lost: zero() };
    }
    let followed = follow(holder_version, BTreeMap::from([(tile, area)]), weight, at);
    Part { tile, weight, sources: followed.sources, lost: followed.lost }
}

/// An area within a tile.
#[derive(Clone, Debug)]
pub(super) struct Area {
    /// The weight, if known.
    pub weight: Option<Weight>,
    pub lineages: Vec<Lineage>,
}

impl Area {
    fn into_source(self, target: TileId, target_weight: Weight, holders: Vec<ReplicaId>) -> Source {
        Source { target, weight: self.weight, target_weight, lineages: self.lineages, holders }
    }

    /// Returns the part of the area that lies in a child of its tile.
    fn part_in_child(&self, tile: &Tile, child: TileId, child_weight: Option<Weight>) -> Area {
        if tile.children.len() == 1 {
            // A merge: the whole area is contained in the only child.
            return self.clone();
        }
        if self.weight == Some(tile.weight) {
            return Area { weight: child_weight, lineages: vec![vec![child]] };
        }
        // It is unknown how the area is distributed over the children.
        let extended = |lineage: &Lineage| lineage.iter().copied().chain([child]).collect();
        Area { weight: None, lineages: self.lineages.iter().map(extended).collect() }
    }

    fn join(&mut self, other: Area) {
        self.weight = self.weight.zip(other.weight).and_then(|(a, b)| checked_add(a, b));
        self.lineages.extend(other.lineages);
    }
}

/// Returns the servers that can answer for a tile at a time, or `None` if there are none.
fn holders(tile: &Tile, at: ReadTimestamp) -> Option<Vec<ReplicaId>> {
    if at == ReadTimestamp::Now && !tile.is_live() {
        return None;
    }
    let holders = tile.holders(at.as_of());
    (!holders.is_empty()).then_some(holders)
}

/// The current location of an area.
pub(super) struct FollowedArea {
    /// The sources in the order of their targets.
    pub sources: Vec<Source>,
    pub lost: Weight,
}

/// The weight lost while following an area.
struct Loss {
    /// The sum of the known weights, or `None` if it does not fit into 64 bits.
    known: Option<Weight>,
    /// Whether area of unknown weight is lost.
    has_unknown: bool,
}

/// Follows areas to the servers that retain them, through child tiles where a tile's own holders are gone.
/// `total` is the total weight of the areas if all their weights are known.
///
/// Tiles are visited in the order of their creation, so that all areas that end up in a tile have been
/// joined before the tile is visited.
pub(super) fn follow(
    version: &Version,
    areas: BTreeMap<TileId, Area>,
    total: Weight,
    at: ReadTimestamp,
) -> FollowedArea {
    let created_by = |id: TileId| version.tile(id).map_or(0, |tile| tile.created_by);
    let mut queue: BTreeMap<(u64, TileId), Area> =
        areas.into_iter().map(|(id, area)| ((created_by(id), id), area)).collect();
    let mut sources: Vec<Source> = Vec::new();
    let mut loss = Loss { known: Some(zero()), has_unknown: false };
    while let Some(((_, id), mut area)) = queue.pop_first() {
        let tile = version.tile(id);
        if tile.is_some_and(|tile| area.weight == Some(tile.weight)) {
            area.lineages = vec![vec![id]];
        }
        if let Some((tile, holders)) = tile.and_then(|tile| Some((tile, holders(tile, at)?))) {
            sources.push(area.into_source(id, tile.weight, holders));
            continue;
        }
        let has_capacity = queue.len() + sources.len() < MAX_SOURCES && area.lineages.len() < MAX_SOURCES;
        let Some(tile) = tile.filter(|tile| has_capacity && passes_to_children(tile, at)) else {
            loss.add(area.weight);
            continue;
        };
        for child in &tile.children {
            let piece = area.part_in_child(tile, *child, version.tile(*child).map(|child| child.weight));
            match queue.entry((created_by(*child), *child)) {
                Entry::Occupied(mut occupied) => occupied.get_mut().join(piece),
                Entry::Vacant(vacant) => {
                    vacant.insert(piece);
                }
            }
        }
    }
    let lost = loss.total_lost(&mut sources, total);
    sources.sort_by_key(|source| source.target);
    FollowedArea { sources, lost }
}

/// Returns whether a tile's area is followed to its children. A query about the present follows the area
/// itself, one about the past follows its history.
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

    /// Returns the total lost weight. If area of unknown weight is lost, all sources of unknown weight are
    /// discarded as well, because their share of it is not known.
    fn total_lost(&self, sources: &mut Vec<Source>, total: Weight) -> Weight {
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
