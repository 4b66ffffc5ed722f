//! Applies a plan to its base, and checks that no part of the base is lost or covered twice.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use num_rational::Ratio;

use super::{error_at, parse_weight, CutFile, File, Path, PlanFile, PlanFileError};
use crate::balancer::interface::{ReplicaId, ZoneId};
use crate::topology_forecast::topology::{Server, Tile, Topology};

/// The longest time from now to the earliest adoption of a plan: 30 days. If it were longer, the current
/// demand would say little about the demand at the adoption.
const MAX_AHEAD_MS: u64 = 30 * 86_400_000;

impl PlanFile {
    /// Returns the topology that results from applying the plan to `base`. Each tile of the base is either
    /// kept, or replaced by one cut whose pieces have exactly the same weight in total, or retired. `now_ms`
    /// is cluster time in Unix milliseconds.
    ///
    /// # Errors
    /// Returns the first change that cannot be applied to the base, and its position in the file.
    pub fn apply(&self, base: &Topology, now_ms: u64) -> Result<Topology, PlanFileError> {
        let error = |path: &Path<'_>, reason: String| Err(error_at(&self.text, path, reason));
        if base.version() != self.base {
            return error(&[("base", None)], format!("the base is at version {}", base.version()));
        }
        if self.at_ms <= now_ms || self.at_ms - now_ms > MAX_AHEAD_MS {
            return error(&[("at_ms", None)], "must be in the future, by at most 30 days".into());
        }
        let mut application = Application::new(&self.text, &self.file, base);
        application.add_servers()?;
        application.remove_cut_tiles()?;
        for n in 0..self.file.cuts.len() {
            application.add_pieces(n)?;
        }
        application.move_tiles()?;
        if application.tiles.is_empty() {
            return error(&[("cuts", None)], "a hole: no tile is left".into());
        }
        let servers = application.servers.into_values().collect();
        let tiles = application.tiles.into_values().collect();
        Topology::new(self.base.saturating_add(1), servers, tiles)
            .map_err(|e| error_at(&self.text, &[], e.to_string()))
    }
}

/// The state while a plan is applied.
struct Application<'a> {
    text: &'a str,
    file: &'a File,
    base: &'a Topology,
    servers: BTreeMap<u64, Server>,
    tiles: BTreeMap<u32, Tile>,
    /// The tiles that were cut, created or moved so far. Each tile may change only once.
    touched: BTreeSet<u32>,
}

impl<'a> Application<'a> {
    fn new(text: &'a str, file: &'a File, base: &'a Topology) -> Application<'a> {
        // The tiles that the tiles of the base were created from, by an earlier plan, are not in the base.
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

    fn error(&self, path: &Path<'_>, reason: impl Into<String>) -> PlanFileError {
        error_at(self.text, path, reason)
    }

    fn add_servers(&mut self) -> Result<(), PlanFileError> {
        for (n, server) in self.file.servers.iter().enumerate() {
            let id = server.id;
            let added = Server { id: ReplicaId(id), zone: ZoneId(server.zone), capacity: server.capacity };
            if self.servers.insert(id, added).is_some() {
                let path = [("servers", Some(n)), ("id", None)];
                return Err(self.error(&path, format!("server {id} exists already")));
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
                    return Err(self.error(&path, format!("an overlap: tile {tile} is removed twice")));
                }
                if self.tiles.remove(tile).is_none() {
                    return Err(self.error(&path, format!("unknown tile {tile}")));
                }
            }
        }
        Ok(())
    }

    /// Adds the pieces of the cut with index `n`.
    fn add_pieces(&mut self, n: usize) -> Result<(), PlanFileError> {
        let file = self.file;
        let Some(cut) = file.cuts.get(n) else { return Ok(()) };
        let weights = cut.to.iter().map(|tile| parse_weight(&tile.weight)).collect::<Result<Vec<_>, _>>();
        let weights = weights.map_err(|reason| self.error(&[("cuts", Some(n)), ("to", None)], reason))?;
        if !cut.retire {
            self.check_weights(n, cut, &weights)?;
        }
        for (m, (tile, weight)) in cut.to.iter().zip(weights).enumerate() {
            let path = |key| [("cuts", Some(n)), ("to", Some(m)), (key, None)];
            let holders = self.known_holders(&tile.holders, &path("holders"))?;
            let from = cut.from.clone().into();
            let piece = Tile { tile: tile.tile, district: tile.district, weight, holders, from };
            if self.touched.contains(&tile.tile) || self.tiles.insert(tile.tile, piece).is_some() {
                let reason = format!(
                    "an overlap: the number of tile {} is in use; new pieces need new numbers",
                    tile.tile
                );
                return Err(self.error(&path("tile"), reason));
            }
            self.touched.insert(tile.tile);
        }
        Ok(())
    }

    /// Checks that the tiles that a cut removes and those that it adds have exactly the same weight in total.
    fn check_weights(&self, n: usize, cut: &CutFile, new: &[Ratio<u64>]) -> Result<(), PlanFileError> {
        let path = [("cuts", Some(n)), ("to", None)];
        let old_weights = cut.from.iter().filter_map(|tile| self.base.tile(*tile)).map(|tile| tile.weight);
        let (Some(old), Some(new)) = (exact_sum(old_weights), exact_sum(new.iter().copied())) else {
            return Err(self.error(&path, "the weights cannot be summed exactly"));
        };
        if old != new {
            let defect = if old > new { "a hole" } else { "an overlap" };
            let reason = format!("{defect}: the removed tiles weigh {old}, the new ones {new}");
            return Err(self.error(&path, reason));
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

/// Returns the exact sum of weights, or `None` if it cannot be computed in 128 bits.
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
