//! One version of the layout: all its tiles, and all that are gone and whose history is still kept. Persistent maps: a
//! version shares with the one before all that did not change.
//!
//! Invariants, kept by [`Version::edit`] and asserted by [`Version::check`]: the tiles that live are those of the
//! districts, each in one; their weights come to `ground`; a tile's children were made by a later version than the tile.
use std::collections::BTreeSet;
use std::sync::Arc;

use imbl::{OrdMap, OrdSet};

use super::change::{Edit, History, PlanError};
use super::limits::Limits;
use super::{plus, zero, District, TileId, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

mod edit;

/// A server keeps a tile's history over a span of the fleet's time; without an end it also serves it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Keep {
    pub server: ReplicaId,
    pub from: HybridTimestamp,
    pub until: Option<HybridTimestamp>,
}

impl Keep {
    pub fn covers(&self, at: HybridTimestamp) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until)
    }
}

/// A tile, as one version knows it. It is valid from `born` to just before `died`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tile {
    pub born: HybridTimestamp,
    pub died: Option<HybridTimestamp>,
    /// The number of the version that made it: parents come before children.
    pub made: u64,
    pub weight: Weight,
    pub district: District,
    pub parents: Vec<TileId>,
    pub children: Vec<TileId>,
    /// From when on its history went to its children's servers, if it did.
    pub passed: Option<HybridTimestamp>,
    pub keeps: Vec<Keep>,
}

impl Tile {
    /// Who keeps its history over a time, or with none serves it now; each once.
    pub fn holders(&self, at: Option<HybridTimestamp>) -> Vec<ReplicaId> {
        let holds = |k: &&Keep| at.map_or(k.until.is_none(), |at| k.covers(at));
        let mut servers: Vec<ReplicaId> = self.keeps.iter().filter(holds).map(|k| k.server).collect();
        servers.sort();
        servers.dedup();
        servers
    }

    /// From when on the servers of now have its history, by the one that has the most of it.
    fn reach(&self, otherwise: HybridTimestamp) -> HybridTimestamp {
        self.keeps.iter().filter(|k| k.until.is_none()).map(|k| k.from).min().unwrap_or(otherwise)
    }

    /// What those who serve it now keep once they do no more.
    fn leave(&mut self, at: HybridTimestamp, history: History, but: &[ReplicaId]) {
        self.keeps.retain_mut(|k| {
            if k.until.is_none() && !but.contains(&k.server) {
                match history {
                    History::Moves => return false,
                    History::Stays | History::Both => k.until = Some(at),
                }
            }
            k.until.is_none_or(|until| k.from < until)
        });
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Place {
    pub name: Option<Arc<str>>,
    pub tiles: OrdSet<TileId>,
}

/// A layout, valid from a time until the next version's.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub valid: HybridTimestamp,
    /// Its place in the log: the order of versions within one instant.
    pub index: u64,
    /// What all that live weigh.
    pub ground: Weight,
    /// What made it out of the one before.
    pub(super) edits: Arc<[Edit]>,
    pub(super) tiles: OrdMap<TileId, Arc<Tile>>,
    pub(super) districts: OrdMap<District, Place>,
    pub(super) names: OrdMap<Arc<str>, District>,
    pub(super) living: usize,
}

impl Version {
    pub(super) fn empty() -> Version {
        Version {
            number: 0,
            valid: HybridTimestamp::ZERO,
            index: 0,
            ground: zero(),
            edits: Arc::new([]),
            tiles: OrdMap::new(),
            districts: OrdMap::new(),
            names: OrdMap::new(),
            living: 0,
        }
    }

    /// How many tiles live.
    pub fn living(&self) -> usize {
        self.living
    }

    /// A tile that lives, or one that is gone and whose history is kept.
    pub fn tile(&self, tile: TileId) -> Option<&Tile> {
        self.tiles.get(&tile).map(|t| &**t)
    }

    /// A tile that lives.
    pub fn alive(&self, tile: TileId) -> Option<&Tile> {
        self.tile(tile).filter(|t| t.died.is_none())
    }

    /// The district with a name in this version.
    pub fn named(&self, name: &str) -> Option<District> {
        self.names.get(name).copied()
    }

    /// A district's name and how many tiles it has.
    pub fn district(&self, district: District) -> Option<(Option<&str>, usize)> {
        self.districts.get(&district).map(|p| (p.name.as_deref(), p.tiles.len()))
    }

    /// The tiles of a district, in the order of their numbers.
    pub fn tiles_of(&self, district: District) -> impl Iterator<Item = TileId> + '_ {
        self.districts.get(&district).into_iter().flat_map(|p| p.tiles.iter().copied())
    }

    /// All tiles that live, district by district.
    pub fn all(&self) -> impl Iterator<Item = TileId> + '_ {
        self.districts.values().flat_map(|p| p.tiles.iter().copied())
    }

    /// The version that a change makes of this one, which stays as it is. `lenient` leaves out what is said of tiles that are not
    /// known: those that a later horizon let go of.
    pub(super) fn next(
        &self,
        (valid, index): (HybridTimestamp, u64),
        edits: &Arc<[Edit]>,
        limits: &Limits,
        lenient: bool,
    ) -> Result<Version, PlanError> {
        if edits.is_empty() && !lenient {
            return Err(PlanError::Empty);
        }
        if edits.len() > limits.edits {
            return Err(PlanError::Long { what: "steps in a change", most: limits.edits });
        }
        let mut next =
            Version { number: self.number + 1, valid, index, edits: edits.clone(), ..self.clone() };
        let mut touched = BTreeSet::new();
        let mut left_out = Vec::new();
        for (place, edit) in edits.iter().enumerate() {
            match edit {
                Edit::Keep { tile, .. } if lenient && next.tile(*tile).is_none() => left_out.push(place),
                edit => next.edit(edit, limits, &mut touched)?,
            }
        }
        if !left_out.is_empty() {
            let kept = edits.iter().enumerate().filter(|(place, _)| left_out.binary_search(place).is_err());
            next.edits = kept.map(|(_, e)| e.clone()).collect();
        }
        match next.tiles.len() > limits.tiles {
            true => Err(PlanError::Long { what: "tiles", most: limits.tiles }),
            false => Ok(next),
        }
    }

    /// Put a tile in as a snapshot has it.
    pub(super) fn put(&mut self, id: TileId, tile: Tile) -> Result<(), PlanError> {
        if tile.died.is_none() {
            self.living += 1;
            self.place(tile.district).tiles.insert(id);
        }
        match self.tiles.insert(id, Arc::new(tile)) {
            None => Ok(()),
            Some(_) => Err(PlanError::Taken(id)),
        }
    }

    pub(super) fn name(&mut self, district: District, name: Arc<str>) -> Result<(), PlanError> {
        let free = self.names.get(&name).is_none_or(|d| *d == district);
        if name.is_empty() || name.len() > 128 || !free {
            return Err(PlanError::Name(name.chars().take(128).collect()));
        }
        if let Some(before) = self.place(district).name.replace(name.clone()) {
            self.names.remove(&before);
        }
        self.names.insert(name, district);
        Ok(())
    }

    fn change(&mut self, tile: TileId) -> Option<&mut Tile> {
        self.tiles.get_mut(&tile).map(Arc::make_mut)
    }

    fn place(&mut self, district: District) -> &mut Place {
        self.districts.entry(district).or_default()
    }

    /// Take a tile out of its district; one without tiles and name is forgotten.
    fn part(&mut self, tile: TileId, district: District) {
        if let Some(place) = self.districts.get_mut(&district) {
            place.tiles.remove(&tile);
            if place.tiles.is_empty() && place.name.is_none() {
                self.districts.remove(&district);
            }
        }
    }

    /// This version as the first that is kept: without tiles that were gone by the horizon and history that ended by
    /// then. No read at or after it begins at one of those, and none is led there: children live later.
    pub(super) fn pruned(&self, horizon: HybridTimestamp) -> Version {
        let mut base = self.clone();
        base.edits = Arc::new([]);
        for (tile, held) in &self.tiles {
            if held.died.is_some_and(|died| died <= horizon) {
                base.tiles.remove(tile);
                continue;
            }
            let over = |k: &Keep| k.until.is_some_and(|until| until <= horizon);
            if held.keeps.iter().any(over) {
                if let Some(held) = base.change(*tile) {
                    held.keeps.retain(|k| !over(k));
                }
            }
        }
        base
    }

    /// What must hold at any time; for tests.
    pub fn check(&self) -> Result<(), String> {
        let mut ground = Some(zero());
        let mut living = 0;
        for (tile, held) in &self.tiles {
            if held.died.is_none() {
                living += 1;
                ground = ground.and_then(|g| plus(g, held.weight));
                let place = self.districts.get(&held.district);
                if !place.is_some_and(|p| p.tiles.contains(tile)) {
                    return Err(format!("tile {tile} is in no district"));
                }
            }
            let later = |c: &TileId| self.tiles.get(c).is_none_or(|c| c.made > held.made);
            if !held.children.iter().all(later) {
                return Err(format!("a child of tile {tile} is older"));
            }
        }
        let in_districts: usize = self.districts.values().map(|p| p.tiles.len()).sum();
        if ground.is_some_and(|g| g != self.ground) || living != self.living || in_districts != living {
            return Err(format!("{living} tiles live, {in_districts} in districts, {ground:?}"));
        }
        Ok(())
    }
}

/// Weights come to what they should.
pub(super) fn add_up(is: Weight, should: Weight) -> Result<(), PlanError> {
    match is.cmp(&should) {
        std::cmp::Ordering::Less => Err(PlanError::Hole { is, should }),
        std::cmp::Ordering::Equal => Ok(()),
        std::cmp::Ordering::Greater => Err(PlanError::Overlap { is, should }),
    }
}
