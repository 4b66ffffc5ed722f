//! A plan applied to its base: a topology in which nothing of the base is lost or held twice.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use num_rational::Ratio;

use super::{error_at, parse_weight, CutFile, File, Path, PlanFile, PlanFileError};
use crate::balancer::interface::{ReplicaId, ZoneId};
use crate::topology_forecast::topology::{Server, Tile, Topology};

/// A plan further ahead is one for a demand that nobody has seen: 30 days.
const MAX_AHEAD_MS: u64 = 30 * 86_400_000;

impl PlanFile {
    /// The topology that the plan makes of `base`: each tile of the base stays, or goes in one cut whose pieces weigh as
    /// much, exactly. `now_ms` is cluster time in Unix milliseconds.
    ///
    /// # Errors
    /// The first thing that does not fit the base, and its place in the file.
    pub fn apply(&self, base: &Topology, now_ms: u64) -> Result<Topology, PlanFileError> {
        let error = |path: &Path<'_>, what: String| Err(error_at(&self.text, path, what));
        if base.version() != self.base {
            return error(&[("base", None)], format!("the base is at version {}", base.version()));
        }
        if self.at_ms <= now_ms || self.at_ms - now_ms > MAX_AHEAD_MS {
            return error(&[("at_ms", None)], "must lie ahead, by 30 days at most".into());
        }
        let mut work = Application::new(&self.text, &self.file, base);
        work.add_servers()?;
        work.remove_cut_tiles()?;
        for n in 0..self.file.cuts.len() {
            work.add_pieces(n)?;
        }
        work.move_tiles()?;
        if work.tiles.is_empty() {
            return error(&[("cuts", None)], "a hole: no tile is left".into());
        }
        let servers = work.servers.into_values().collect();
        let tiles = work.tiles.into_values().collect();
        Topology::new(self.base.saturating_add(1), servers, tiles)
            .map_err(|e| error_at(&self.text, &[], e.to_string()))
    }
}

/// A topology in the making.
struct Application<'a> {
    text: &'a str,
    file: &'a File,
    base: &'a Topology,
    servers: BTreeMap<u64, Server>,
    tiles: BTreeMap<u32, Tile>,
    /// Tiles that were cut, made or moved: each may change once.
    touched: BTreeSet<u32>,
}

impl<'a> Application<'a> {
    fn new(text: &'a str, file: &'a File, base: &'a Topology) -> Application<'a> {
        // Tiles of the base that were cut by an earlier plan are tiles as any for this one.
        let own = |tile: &Tile| (tile.tile, Tile { from: Rc::default(), ..tile.clone() });
        Application {
            text,
            file,
            base,
            servers: base.servers().iter().map(|server| (server.id.0, server.clone())).collect(),
            tiles: base.tiles().iter().map(own).collect(),
            touched: BTreeSet::new(),
        }
    }

    fn error(&self, path: &Path<'_>, what: impl Into<String>) -> PlanFileError {
        error_at(self.text, path, what)
    }

    fn add_servers(&mut self) -> Result<(), PlanFileError> {
        for (n, server) in self.file.servers.iter().enumerate() {
            let id = server.id;
            let added = Server { id: ReplicaId(id), zone: ZoneId(server.zone), capacity: server.capacity };
            if self.servers.insert(id, added).is_some() {
                let path = [("servers", Some(n)), ("id", None)];
                return Err(self.error(&path, format!("server {id} stands already")));
            }
        }
        Ok(())
    }

    fn known_holders(&self, list: &[u64], path: &Path<'_>) -> Result<Rc<[ReplicaId]>, PlanFileError> {
        if let Some(unknown) = list.iter().find(|server| !self.servers.contains_key(server)) {
            return Err(self.error(path, format!("unknown server {unknown}")));
        }
        Ok(list.iter().map(|server| ReplicaId(*server)).collect())
    }

    fn remove_cut_tiles(&mut self) -> Result<(), PlanFileError> {
        for (n, cut) in self.file.cuts.iter().enumerate() {
            for (m, tile) in cut.from.iter().enumerate() {
                let path = [("cuts", Some(n)), ("from", Some(m))];
                if !self.touched.insert(*tile) {
                    return Err(self.error(&path, format!("an overlap: tile {tile} goes twice")));
                }
                if self.tiles.remove(tile).is_none() {
                    return Err(self.error(&path, format!("unknown tile {tile}")));
                }
            }
        }
        Ok(())
    }

    /// The pieces of the cut with this index.
    fn add_pieces(&mut self, n: usize) -> Result<(), PlanFileError> {
        let file = self.file;
        let Some(cut) = file.cuts.get(n) else { return Ok(()) };
        let weights = cut.to.iter().map(|tile| parse_weight(&tile.weight)).collect::<Result<Vec<_>, _>>();
        let weights = weights.map_err(|what| self.error(&[("cuts", Some(n)), ("to", None)], what))?;
        if !cut.retire {
            self.check_weights(n, cut, &weights)?;
        }
        for (m, (tile, weight)) in cut.to.iter().zip(weights).enumerate() {
            let path = |key| [("cuts", Some(n)), ("to", Some(m)), (key, None)];
            let holders = self.known_holders(&tile.holders, &path("holders"))?;
            let from = cut.from.clone().into();
            let piece = Tile { tile: tile.tile, district: tile.district, weight, holders, from };
            if self.touched.contains(&tile.tile) || self.tiles.insert(tile.tile, piece).is_some() {
                let what = format!(
                    "an overlap: the number of tile {} is taken; a new piece has a new one",
                    tile.tile
                );
                return Err(self.error(&path("tile"), what));
            }
            self.touched.insert(tile.tile);
        }
        Ok(())
    }

    /// What goes and what comes in its place must weigh as much, exactly.
    fn check_weights(&self, n: usize, cut: &CutFile, new: &[Ratio<u64>]) -> Result<(), PlanFileError> {
        let path = [("cuts", Some(n)), ("to", None)];
        let old = cut.from.iter().filter_map(|tile| self.base.tile(*tile)).map(|tile| tile.weight);
        let (Some(old), Some(new)) = (exact_sum(old), exact_sum(new.iter().copied())) else {
            return Err(self.error(&path, "weights too fine to be summed exactly"));
        };
        if old != new {
            let what = if old > new { "a hole" } else { "an overlap" };
            let what = format!("{what}: the tiles that go weigh {old}, those that come {new}");
            return Err(self.error(&path, what));
        }
        Ok(())
    }

    fn move_tiles(&mut self) -> Result<(), PlanFileError> {
        for (n, moved) in self.file.moves.iter().enumerate() {
            let id = moved.tile;
            let path = [("moves", Some(n)), ("tile", None)];
            if !self.touched.insert(id) {
                return Err(self.error(&path, format!("an overlap: tile {id} is cut or moved already")));
            }
            if !self.tiles.contains_key(&id) {
                return Err(self.error(&path, format!("unknown tile {id}")));
            }
            let holders = moved.holders.as_ref();
            let holders =
                holders.map(|list| self.known_holders(list, &[("moves", Some(n)), ("holders", None)]));
            let holders = holders.transpose()?;
            if let Some(tile) = self.tiles.get_mut(&id) {
                tile.district = moved.district.unwrap_or(tile.district);
                tile.holders = holders.unwrap_or_else(|| tile.holders.clone());
            }
        }
        Ok(())
    }
}

/// An exact sum; `None` where it does not fit 128 bits.
fn exact_sum(weights: impl Iterator<Item = Ratio<u64>>) -> Option<Ratio<u128>> {
    let mut sum = Ratio::new(0u128, 1);
    for weight in weights {
        let numer = u128::from(*weight.numer());
        let denom = u128::from(*weight.denom());
        let scaled = sum.numer().checked_mul(denom)?.checked_add(numer.checked_mul(*sum.denom())?)?;
        sum = Ratio::new(scaled, sum.denom().checked_mul(denom)?);
    }
    Some(sum)
}
