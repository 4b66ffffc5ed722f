//! The steps of a change, made in a version that is not given out before all of them are.
use std::collections::BTreeSet;
use std::sync::Arc;

use super::{add_up, Keep, Tile, Version};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;
use crate::shard_layout::change::{Edit, History, Piece, PlanError};
use crate::shard_layout::limits::Limits;
use crate::shard_layout::{less, plus, zero, District, TileId};

impl Version {
    /// Make one step; `touched` are the tiles of the steps before, each of which may change once. A step that is refused may have
    /// changed some of this version, which is then given up.
    pub(super) fn edit(
        &mut self,
        edit: &Edit,
        limits: &Limits,
        touched: &mut BTreeSet<TileId>,
    ) -> Result<(), PlanError> {
        let mut once = |tile: TileId| match touched.insert(tile) {
            true => Ok(()),
            false => Err(PlanError::Twice(tile)),
        };
        match edit {
            Edit::Add { tile, weight, district, servers } => {
                once(*tile)?;
                self.ground = plus(self.ground, *weight).ok_or(PlanError::Overflow(*tile))?;
                let piece = Piece { tile: *tile, weight: *weight, servers: servers.clone() };
                self.make(&piece, *district, Vec::new(), self.valid, limits)
            }
            Edit::Split { tile, into, history } => {
                once(*tile)?;
                let old = self.alive(*tile).ok_or(PlanError::Unknown(*tile))?.clone();
                if into.len() < 2 {
                    return Err(PlanError::Few(*tile));
                }
                let sum = into.iter().try_fold(zero(), |sum, p| plus(sum, p.weight));
                add_up(sum.ok_or(PlanError::Overflow(*tile))?, old.weight)?;
                let from = self.end(*tile, *history, into.iter().map(|p| p.tile).collect())?;
                for piece in into {
                    once(piece.tile)?;
                    self.make(piece, old.district, vec![*tile], from, limits)?;
                }
                Ok(())
            }
            Edit::Merge { tiles, into, district, servers, history } => {
                once(*into)?;
                if tiles.len() < 2 {
                    return Err(PlanError::Few(*into));
                }
                let (mut weight, mut from) = (zero(), self.valid);
                for tile in tiles {
                    once(*tile)?;
                    let old = self.alive(*tile).ok_or(PlanError::Unknown(*tile))?;
                    weight = plus(weight, old.weight).ok_or(PlanError::Overflow(*tile))?;
                    // What one of them lacks of this is told by its own `passed`.
                    from = from.min(self.end(*tile, *history, vec![*into])?);
                }
                let piece = Piece { tile: *into, weight, servers: servers.clone() };
                self.make(&piece, *district, tiles.clone(), from, limits)
            }
            Edit::Move { tile, servers, history } => {
                once(*tile)?;
                check_servers(*tile, servers, limits)?;
                let valid = self.valid;
                let held = self.change(*tile).filter(|t| t.died.is_none());
                let held = held.ok_or(PlanError::Unknown(*tile))?;
                let from = if *history == History::Stays { valid } else { held.reach(valid) };
                held.leave(valid, *history, servers);
                for server in servers {
                    match held.keeps.iter_mut().find(|k| k.server == *server && k.until.is_none()) {
                        Some(keep) => keep.from = keep.from.min(from),
                        None => held.keeps.push(Keep { server: *server, from, until: None }),
                    }
                }
                fits(*tile, held, limits)
            }
            Edit::Retire { tile, keeps } => {
                once(*tile)?;
                let weight = self.alive(*tile).ok_or(PlanError::Unknown(*tile))?.weight;
                self.ground = less(self.ground, weight).ok_or(PlanError::Overflow(*tile))?;
                let history = if *keeps { History::Stays } else { History::Moves };
                self.end(*tile, history, Vec::new()).map(|_| ())
            }
            Edit::Assign { tile, district } => {
                let held = self.change(*tile).filter(|t| t.died.is_none());
                let held = held.ok_or(PlanError::Unknown(*tile))?;
                let before = std::mem::replace(&mut held.district, *district);
                self.part(*tile, before);
                self.place(*district).tiles.insert(*tile);
                Ok(())
            }
            Edit::Name { district, name } => self.name(*district, name.clone()),
            Edit::Keep { tile, server, from, until } => {
                let valid = self.valid;
                let held = self.change(*tile).ok_or(PlanError::Unknown(*tile))?;
                let end = until.unwrap_or(valid);
                if *from > end || end > held.died.unwrap_or(valid) || (held.died.is_some() && until.is_none())
                {
                    return Err(PlanError::Span(*tile));
                }
                held.keeps.retain(|k| k.server != *server);
                if until.is_none_or(|until| *from < until) {
                    held.keeps.push(Keep { server: *server, from: *from, until: *until });
                }
                fits(*tile, held, limits)
            }
        }
    }

    /// A new tile, with what history comes to it.
    fn make(
        &mut self,
        piece: &Piece,
        district: District,
        parents: Vec<TileId>,
        from: HybridTimestamp,
        limits: &Limits,
    ) -> Result<(), PlanError> {
        let Piece { tile, weight, servers } = piece;
        check_servers(*tile, servers, limits)?;
        if *weight.numer() == 0 {
            return Err(PlanError::Weightless(*tile));
        }
        if self.tiles.contains_key(tile) {
            return Err(PlanError::Taken(*tile));
        }
        let made = Tile {
            born: self.valid,
            died: None,
            made: self.number,
            weight: *weight,
            district,
            parents,
            children: Vec::new(),
            passed: None,
            keeps: servers.iter().map(|s| Keep { server: *s, from, until: None }).collect(),
        };
        self.living += 1;
        self.tiles.insert(*tile, Arc::new(made));
        self.place(district).tiles.insert(*tile);
        Ok(())
    }

    /// A tile's end: from when on its children's servers have its history.
    fn end(
        &mut self,
        tile: TileId,
        history: History,
        children: Vec<TileId>,
    ) -> Result<HybridTimestamp, PlanError> {
        let valid = self.valid;
        let held = self.change(tile).ok_or(PlanError::Unknown(tile))?;
        let from = if history == History::Stays { valid } else { held.reach(valid) };
        held.passed = (history != History::Stays && !children.is_empty()).then_some(from);
        (held.died, held.children) = (Some(valid), children);
        held.leave(valid, history, &[]);
        let district = held.district;
        self.part(tile, district);
        self.living -= 1;
        Ok(from)
    }
}

fn check_servers(tile: TileId, servers: &[ReplicaId], limits: &Limits) -> Result<(), PlanError> {
    if servers.len() > limits.servers {
        return Err(PlanError::Long { what: "servers of a tile", most: limits.servers });
    }
    let different: BTreeSet<_> = servers.iter().collect();
    match servers.is_empty() || different.len() != servers.len() {
        true => Err(PlanError::Servers(tile)),
        false => Ok(()),
    }
}

/// Spans of history that a tile has; a later horizon lets go of old ones.
fn fits(_: TileId, held: &Tile, limits: &Limits) -> Result<(), PlanError> {
    match held.keeps.len() > limits.servers * 4 {
        true => Err(PlanError::Long { what: "spans of a tile's history", most: limits.servers * 4 }),
        false => Ok(()),
    }
}
