//! Applies the edits of a change to a copy of a version. The copy is not published before all edits are
//! applied. A rejected edit may have changed some of the copy, which the caller then discards.
use std::collections::BTreeSet;
use std::sync::Arc;

use super::{check_total, Retention, Tile, Version};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;
use crate::shard_layout::change::{Edit, HistoryTransfer, Piece};
use crate::shard_layout::error::PlanError;
use crate::shard_layout::limits::LayoutLimits;
use crate::shard_layout::{checked_add, checked_sub, zero, District, TileId, Weight};

/// A new tile, which may replace others.
struct NewTile<'a> {
    tile: TileId,
    weight: Weight,
    district: District,
    servers: &'a [ReplicaId],
    parents: Vec<TileId>,
    /// The time from which its servers have its history.
    history_from: HybridTimestamp,
}

impl Version {
    /// Applies one edit. `touched` contains the tiles of the previous edits, since each tile may be changed
    /// only once within a change.
    pub(super) fn apply_edit(
        &mut self,
        edit: &Edit,
        limits: &LayoutLimits,
        touched: &mut BTreeSet<TileId>,
    ) -> Result<(), PlanError> {
        match edit {
            Edit::Add { tile, weight, district, servers } => {
                touch(touched, *tile)?;
                self.add(*tile, *weight, *district, servers, limits)
            }
            Edit::Split { tile, into, history } => {
                touch(touched, *tile)?;
                self.split(*tile, into, *history, limits, touched)
            }
            Edit::Merge { tiles, into, district, servers, history } => {
                touch(touched, *into)?;
                let merged = NewTile {
                    tile: *into,
                    weight: zero(),
                    district: *district,
                    servers,
                    parents: tiles.clone(),
                    history_from: self.valid_from,
                };
                self.merge(merged, *history, limits, touched)
            }
            Edit::Move { tile, servers, history } => {
                touch(touched, *tile)?;
                self.move_tile(*tile, servers, *history, limits)
            }
            Edit::Retire { tile, keep_history } => {
                touch(touched, *tile)?;
                let history =
                    if *keep_history { HistoryTransfer::StayWithOld } else { HistoryTransfer::MoveToNew };
                self.retire(*tile, history)
            }
            Edit::AssignDistrict { tile, district } => self.assign_district(*tile, *district),
            Edit::NameDistrict { district, name } => self.name_district(*district, name.clone()),
            Edit::SetRetention { tile, server, from, until } => {
                let retention = Retention { server: *server, from: *from, until: *until };
                self.set_retention(*tile, retention, limits)
            }
        }
    }

    fn add(
        &mut self,
        tile: TileId,
        weight: Weight,
        district: District,
        servers: &[ReplicaId],
        limits: &LayoutLimits,
    ) -> Result<(), PlanError> {
        self.total_weight = checked_add(self.total_weight, weight).ok_or(PlanError::WeightOverflow(tile))?;
        let history_from = self.valid_from;
        let added = NewTile { tile, weight, district, servers, parents: Vec::new(), history_from };
        self.insert_new(added, limits)
    }

    fn split(
        &mut self,
        tile: TileId,
        into: &[Piece],
        history: HistoryTransfer,
        limits: &LayoutLimits,
        touched: &mut BTreeSet<TileId>,
    ) -> Result<(), PlanError> {
        let old = self.live_tile(tile).ok_or(PlanError::UnknownTile(tile))?;
        let old_weight = old.weight;
        let district = old.district;
        if into.len() < 2 {
            return Err(PlanError::TooFewTiles(tile));
        }
        let sum = into.iter().try_fold(zero(), |sum, piece| checked_add(sum, piece.weight));
        check_total(sum.ok_or(PlanError::WeightOverflow(tile))?, old_weight)?;
        let children = into.iter().map(|piece| piece.tile).collect();
        let history_from = self.end_tile(tile, history, children)?;
        for piece in into {
            touch(touched, piece.tile)?;
            let new = NewTile {
                tile: piece.tile,
                weight: piece.weight,
                district,
                servers: &piece.servers,
                parents: vec![tile],
                history_from,
            };
            self.insert_new(new, limits)?;
        }
        Ok(())
    }

    /// Merges the parents of `merged`, whose weight and history are derived from them.
    fn merge(
        &mut self,
        mut merged: NewTile<'_>,
        history: HistoryTransfer,
        limits: &LayoutLimits,
        touched: &mut BTreeSet<TileId>,
    ) -> Result<(), PlanError> {
        if merged.parents.len() < 2 {
            return Err(PlanError::TooFewTiles(merged.tile));
        }
        for parent in &merged.parents {
            touch(touched, *parent)?;
            let old = self.live_tile(*parent).ok_or(PlanError::UnknownTile(*parent))?;
            merged.weight =
                checked_add(merged.weight, old.weight).ok_or(PlanError::WeightOverflow(*parent))?;
            // A parent that has less history than the others records this in its own `history_passed_from`.
            let passed_from = self.end_tile(*parent, history, vec![merged.tile])?;
            merged.history_from = merged.history_from.min(passed_from);
        }
        self.insert_new(merged, limits)
    }

    fn move_tile(
        &mut self,
        id: TileId,
        servers: &[ReplicaId],
        history: HistoryTransfer,
        limits: &LayoutLimits,
    ) -> Result<(), PlanError> {
        check_servers(id, servers, limits)?;
        let moved_at = self.valid_from;
        let tile = self.tile_mut(id).filter(|tile| tile.is_live()).ok_or(PlanError::UnknownTile(id))?;
        let from = tile.transferred_from(history, moved_at);
        tile.end_service(moved_at, history, servers);
        for server in servers {
            let serving = tile.retentions.iter_mut().find(|r| r.server == *server && r.is_serving());
            match serving {
                Some(retention) => retention.from = retention.from.min(from),
                None => tile.retentions.push(Retention { server: *server, from, until: None }),
            }
        }
        check_retentions(tile, limits)
    }

    fn retire(&mut self, tile: TileId, history: HistoryTransfer) -> Result<(), PlanError> {
        let weight = self.live_tile(tile).ok_or(PlanError::UnknownTile(tile))?.weight;
        self.total_weight = checked_sub(self.total_weight, weight).ok_or(PlanError::WeightOverflow(tile))?;
        self.end_tile(tile, history, Vec::new())?;
        Ok(())
    }

    fn assign_district(&mut self, id: TileId, district: District) -> Result<(), PlanError> {
        let tile = self.tile_mut(id).filter(|tile| tile.is_live()).ok_or(PlanError::UnknownTile(id))?;
        let before = std::mem::replace(&mut tile.district, district);
        self.remove_from_district(id, before);
        self.district_mut(district).tiles.insert(id);
        Ok(())
    }

    fn set_retention(
        &mut self,
        id: TileId,
        retention: Retention,
        limits: &LayoutLimits,
    ) -> Result<(), PlanError> {
        let change_at = self.valid_from;
        let tile = self.tile_mut(id).ok_or(PlanError::UnknownTile(id))?;
        let end = retention.until.unwrap_or(change_at);
        let last_end = tile.valid_until.unwrap_or(change_at);
        let serves_retired = !tile.is_live() && retention.is_serving();
        if retention.from > end || end > last_end || serves_retired {
            return Err(PlanError::InvalidSpan(id));
        }
        tile.retentions.retain(|other| other.server != retention.server);
        if retention.until.is_none_or(|until| retention.from < until) {
            tile.retentions.push(retention);
        }
        check_retentions(tile, limits)
    }

    fn insert_new(&mut self, new: NewTile<'_>, limits: &LayoutLimits) -> Result<(), PlanError> {
        check_servers(new.tile, new.servers, limits)?;
        if *new.weight.numer() == 0 {
            return Err(PlanError::ZeroWeight(new.tile));
        }
        if self.tiles.contains_key(&new.tile) {
            return Err(PlanError::TileExists(new.tile));
        }
        let serving = |server: &ReplicaId| Retention { server: *server, from: new.history_from, until: None };
        let tile = Tile {
            valid_from: self.valid_from,
            valid_until: None,
            created_by: self.number,
            weight: new.weight,
            district: new.district,
            parents: new.parents,
            children: Vec::new(),
            history_passed_from: None,
            retentions: new.servers.iter().map(serving).collect(),
        };
        self.live_count += 1;
        self.tiles.insert(new.tile, Arc::new(tile));
        self.district_mut(new.district).tiles.insert(new.tile);
        Ok(())
    }

    /// Ends the validity of a tile. Returns the time from which the servers of its children have its
    /// history.
    fn end_tile(
        &mut self,
        id: TileId,
        history: HistoryTransfer,
        children: Vec<TileId>,
    ) -> Result<HybridTimestamp, PlanError> {
        let ended_at = self.valid_from;
        let tile = self.tile_mut(id).ok_or(PlanError::UnknownTile(id))?;
        let from = tile.transferred_from(history, ended_at);
        let is_passed = history != HistoryTransfer::StayWithOld && !children.is_empty();
        tile.history_passed_from = is_passed.then_some(from);
        tile.valid_until = Some(ended_at);
        tile.children = children;
        tile.end_service(ended_at, history, &[]);
        let district = tile.district;
        self.remove_from_district(id, district);
        self.live_count -= 1;
        Ok(from)
    }
}

fn touch(touched: &mut BTreeSet<TileId>, tile: TileId) -> Result<(), PlanError> {
    if !touched.insert(tile) {
        return Err(PlanError::ChangedTwice(tile));
    }
    Ok(())
}

fn check_servers(tile: TileId, servers: &[ReplicaId], limits: &LayoutLimits) -> Result<(), PlanError> {
    if servers.len() > limits.max_servers {
        return Err(PlanError::TooLong { what: "servers of a tile", max: limits.max_servers });
    }
    let distinct: BTreeSet<_> = servers.iter().collect();
    if servers.is_empty() || distinct.len() != servers.len() {
        return Err(PlanError::InvalidServers(tile));
    }
    Ok(())
}

fn check_retentions(tile: &Tile, limits: &LayoutLimits) -> Result<(), PlanError> {
    if tile.retentions.len() > limits.max_retentions() {
        return Err(PlanError::TooLong { what: "retention spans of a tile", max: limits.max_retentions() });
    }
    Ok(())
}
