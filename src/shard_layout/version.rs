//! One version of the layout: its live tiles and all retired tiles with retained history. The maps are
//! persistent: a version shares all unchanged data with its predecessor, so that a hundred versions need
//! little more memory than one.
//!
//! Invariants, maintained by `Version::next` and checked by [`Version::check_invariants`]: each live tile
//! belongs to exactly one district; the weights of the live tiles add up to `total_weight`; a tile's
//! children were created by a later version than the tile.
use std::collections::BTreeSet;
use std::sync::Arc;

use imbl::{OrdMap, OrdSet};

use super::change::{Edit, HistoryTransfer};
use super::error::PlanError;
use super::limits::LayoutLimits;
use super::{checked_add, zero, District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

mod edit;

/// The maximum length of a district name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A span of the cluster's time for which a server retains a tile's history. If the span has no end, the
/// server also serves the tile now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Retention {
    /// The server.
    pub server: ReplicaId,
    /// The start of the span, inclusive.
    pub from: HybridTimestamp,
    /// The end of the span, exclusive.
    pub until: Option<HybridTimestamp>,
}

impl Retention {
    /// Returns whether the span contains a time.
    pub fn covers(&self, at: HybridTimestamp) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until)
    }

    fn is_serving(&self) -> bool {
        self.until.is_none()
    }
}

/// A tile in one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tile {
    /// The time from which the tile is valid, inclusive.
    pub valid_from: HybridTimestamp,
    /// The time until which the tile was valid, exclusive; `None` for a live tile.
    pub valid_until: Option<HybridTimestamp>,
    /// The number of the version that created the tile. Parents are created before their children.
    pub created_by: u64,
    /// The weight of the tile, as a measure of its area.
    pub weight: Weight,
    /// The district of the tile, or its last one if the tile is retired.
    pub district: District,
    /// The tiles from which it was split or merged.
    pub parents: Vec<TileId>,
    /// The tiles into which it was split or merged.
    pub children: Vec<TileId>,
    /// The time from which its history was passed to the servers of its children, if it was.
    pub history_passed_from: Option<HybridTimestamp>,
    /// The spans of its history that servers retain.
    pub retentions: Vec<Retention>,
}

impl Tile {
    /// Returns the servers that retain the tile's history at a time, or those that serve it now if `at` is
    /// `None`. The list is sorted and has no duplicates.
    pub fn holders(&self, at: Option<HybridTimestamp>) -> Vec<ReplicaId> {
        let holds = |retention: &&Retention| match at {
            Some(at) => retention.covers(at),
            None => retention.is_serving(),
        };
        let mut servers: Vec<ReplicaId> = self.retentions.iter().filter(holds).map(|r| r.server).collect();
        servers.sort();
        servers.dedup();
        servers
    }

    /// Returns whether the tile is valid in this version.
    pub fn is_live(&self) -> bool {
        self.valid_until.is_none()
    }

    /// Returns the time from which new servers have the tile's history after a change at `change_at`: as
    /// far back as the current server with the longest history, or only from the change if no history is
    /// transferred.
    fn transferred_from(&self, history: HistoryTransfer, change_at: HybridTimestamp) -> HybridTimestamp {
        if history == HistoryTransfer::StayWithOld {
            return change_at;
        }
        let serving = self.retentions.iter().filter(|retention| retention.is_serving());
        serving.map(|retention| retention.from).min().unwrap_or(change_at)
    }

    /// Ends the service of the current servers at `at`, except for those in `remaining`.
    fn end_service(&mut self, at: HybridTimestamp, history: HistoryTransfer, remaining: &[ReplicaId]) {
        self.retentions.retain_mut(|retention| {
            if retention.is_serving() && !remaining.contains(&retention.server) {
                match history {
                    HistoryTransfer::MoveToNew => return false,
                    HistoryTransfer::StayWithOld | HistoryTransfer::CopyToNew => retention.until = Some(at),
                }
            }
            retention.until.is_none_or(|until| retention.from < until)
        });
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct DistrictTiles {
    pub name: Option<Arc<str>>,
    pub tiles: OrdSet<TileId>,
}

/// The position of a version in the order of versions: by time, then by log index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VersionPosition {
    pub valid_from: HybridTimestamp,
    pub index: u64,
}

/// An accepted change that is replayed.
pub(super) struct AcceptedChange {
    pub position: VersionPosition,
    pub edits: Arc<[Edit]>,
}

/// How a change is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyMode {
    /// A new change, of which every edit must be valid.
    New,
    /// An accepted change that is replayed on a version that a later horizon has pruned. Statements of
    /// retention about tiles that no longer exist are skipped.
    Replay,
}

/// A version of the layout, valid until the next version becomes valid.
#[derive(Clone, Debug)]
pub struct Version {
    /// The number of the version, which increases by one with each change.
    pub number: u64,
    /// The time from which the version is valid, inclusive.
    pub valid_from: HybridTimestamp,
    /// The log index of the change, which orders versions with the same time.
    pub index: u64,
    /// The total weight of all live tiles.
    pub total_weight: Weight,
    /// The edits that created the version from its predecessor.
    pub(super) edits: Arc<[Edit]>,
    pub(super) tiles: OrdMap<TileId, Arc<Tile>>,
    pub(super) districts: OrdMap<District, DistrictTiles>,
    pub(super) names: OrdMap<Arc<str>, District>,
    pub(super) live_count: usize,
}

impl Version {
    pub(super) fn empty() -> Version {
        Version {
            number: 0,
            valid_from: HybridTimestamp::ZERO,
            index: 0,
            total_weight: zero(),
            edits: Arc::new([]),
            tiles: OrdMap::new(),
            districts: OrdMap::new(),
            names: OrdMap::new(),
            live_count: 0,
        }
    }

    pub(super) fn position(&self) -> VersionPosition {
        VersionPosition { valid_from: self.valid_from, index: self.index }
    }

    /// Returns the number of live tiles.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns a tile that is live, or retired with retained history.
    pub fn tile(&self, tile: TileId) -> Option<&Tile> {
        self.tiles.get(&tile).map(|tile| &**tile)
    }

    /// Returns a live tile.
    pub fn live_tile(&self, tile: TileId) -> Option<&Tile> {
        self.tile(tile).filter(|tile| tile.is_live())
    }

    /// Returns the district with the given name in this version.
    pub fn district_named(&self, name: &str) -> Option<District> {
        self.names.get(name).copied()
    }

    /// Returns whether a district has a name or tiles in this version.
    pub fn has_district(&self, district: District) -> bool {
        self.districts.contains_key(&district)
    }

    /// Returns the live tiles of a district in the order of their numbers.
    pub fn tiles_in(&self, district: District) -> impl Iterator<Item = TileId> + '_ {
        self.districts.get(&district).into_iter().flat_map(|entry| entry.tiles.iter().copied())
    }

    /// Returns all live tiles, grouped by district.
    pub fn live_tiles(&self) -> impl Iterator<Item = TileId> + '_ {
        self.districts.values().flat_map(|entry| entry.tiles.iter().copied())
    }

    /// Returns the version that a change creates from this one, which is not modified.
    pub(super) fn next(
        &self,
        position: VersionPosition,
        edits: &Arc<[Edit]>,
        limits: &LayoutLimits,
        mode: ApplyMode,
    ) -> Result<Version, PlanError> {
        if edits.is_empty() && mode == ApplyMode::New {
            return Err(PlanError::Empty);
        }
        if edits.len() > limits.max_edits {
            return Err(PlanError::TooLong { what: "edits in a change", max: limits.max_edits });
        }
        let mut next = Version {
            number: self.number + 1,
            valid_from: position.valid_from,
            index: position.index,
            edits: edits.clone(),
            ..self.clone()
        };
        let mut touched = BTreeSet::new();
        let mut skipped = Vec::new();
        for (n, edit) in edits.iter().enumerate() {
            match edit {
                Edit::SetRetention { tile, .. }
                    if mode == ApplyMode::Replay && next.tile(*tile).is_none() =>
                {
                    skipped.push(n);
                }
                edit => next.apply_edit(edit, limits, &mut touched)?,
            }
        }
        if !skipped.is_empty() {
            let applied = edits.iter().enumerate().filter(|(n, _)| skipped.binary_search(n).is_err());
            next.edits = applied.map(|(_, edit)| edit.clone()).collect();
        }
        if next.tiles.len() > limits.max_tiles {
            return Err(PlanError::TooLong { what: "tiles", max: limits.max_tiles });
        }
        Ok(next)
    }

    /// Inserts a tile from a snapshot.
    pub(super) fn insert_tile(&mut self, id: TileId, tile: Tile) -> Result<(), PlanError> {
        if tile.is_live() {
            self.live_count += 1;
            self.district_mut(tile.district).tiles.insert(id);
        }
        match self.tiles.insert(id, Arc::new(tile)) {
            None => Ok(()),
            Some(_) => Err(PlanError::TileExists(id)),
        }
    }

    pub(super) fn name_district(&mut self, district: District, name: Arc<str>) -> Result<(), PlanError> {
        let is_free = self.names.get(&name).is_none_or(|owner| *owner == district);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_free {
            return Err(PlanError::InvalidName(name.chars().take(MAX_NAME_BYTES).collect()));
        }
        if let Some(before) = self.district_mut(district).name.replace(name.clone()) {
            self.names.remove(&before);
        }
        self.names.insert(name, district);
        Ok(())
    }

    fn tile_mut(&mut self, tile: TileId) -> Option<&mut Tile> {
        self.tiles.get_mut(&tile).map(Arc::make_mut)
    }

    fn district_mut(&mut self, district: District) -> &mut DistrictTiles {
        self.districts.entry(district).or_default()
    }

    /// Removes a tile from its district, and the district itself if it has neither tiles nor a name.
    fn remove_from_district(&mut self, tile: TileId, district: District) {
        if let Some(entry) = self.districts.get_mut(&district) {
            entry.tiles.remove(&tile);
            if entry.tiles.is_empty() && entry.name.is_none() {
                self.districts.remove(&district);
            }
        }
    }

    /// Returns this version as the first retained one: without the tiles retired by the horizon and the
    /// history that ended by then. No read at or after the horizon starts at such a tile or is followed to
    /// one, since children become valid later than their parents.
    pub(super) fn pruned(&self, horizon: HybridTimestamp) -> Version {
        let mut base = self.clone();
        base.edits = Arc::new([]);
        for (id, tile) in &self.tiles {
            if tile.valid_until.is_some_and(|until| until <= horizon) {
                base.tiles.remove(id);
                continue;
            }
            let expired = |retention: &Retention| retention.until.is_some_and(|until| until <= horizon);
            if tile.retentions.iter().any(expired) {
                if let Some(tile) = base.tile_mut(*id) {
                    tile.retentions.retain(|retention| !expired(retention));
                }
            }
        }
        base
    }

    /// Checks the invariants of the version.
    ///
    /// # Errors
    /// Returns a description of the first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let mut total_weight = Some(zero());
        let mut live_count = 0;
        for (id, tile) in &self.tiles {
            if tile.is_live() {
                live_count += 1;
                total_weight = total_weight.and_then(|sum| checked_add(sum, tile.weight));
                let district = self.districts.get(&tile.district);
                if !district.is_some_and(|district| district.tiles.contains(id)) {
                    return Err(format!("live tile {id} is not in its district"));
                }
            }
            let is_later =
                |child: &TileId| self.tiles.get(child).is_none_or(|child| child.created_by > tile.created_by);
            if !tile.children.iter().all(is_later) {
                return Err(format!("a child of tile {id} was not created after it"));
            }
        }
        let in_districts: usize = self.districts.values().map(|district| district.tiles.len()).sum();
        let weights_differ = total_weight.is_some_and(|sum| sum != self.total_weight);
        if weights_differ || live_count != self.live_count || in_districts != live_count {
            return Err(format!(
                "{live_count} live tiles, {in_districts} tiles in districts, total weight {total_weight:?}"
            ));
        }
        Ok(())
    }
}

/// Checks that a total weight is exactly the expected one.
pub(super) fn check_total(actual: Weight, expected: Weight) -> Result<(), PlanError> {
    match actual.cmp(&expected) {
        std::cmp::Ordering::Less => Err(PlanError::Gap { actual, expected }),
        std::cmp::Ordering::Equal => Ok(()),
        std::cmp::Ordering::Greater => Err(PlanError::Overlap { actual, expected }),
    }
}
