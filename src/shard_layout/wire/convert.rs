//! Converts between the types of the layout and the Protocol Buffers messages. Everything that a peer or a
//! file may contain is validated here or by the state machine.
use super::messages::{self, EditKind, EntryKind, HistoryKind};
use super::WireError;
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;
use crate::shard_layout::change::{Change, Edit, Entry, HistoryTransfer, Piece};
use crate::shard_layout::version::{Retention, Tile};
use crate::shard_layout::{District, TileId, Weight};

pub fn encode_timestamp(time: HybridTimestamp) -> messages::Timestamp {
    messages::Timestamp { ms: time.ms, logical: time.logical }
}

/// Decodes a timestamp. An absent one is the zero timestamp, just as absent numbers are 0 in this encoding.
pub fn decode_timestamp(time: Option<messages::Timestamp>) -> HybridTimestamp {
    decode_optional_timestamp(time).unwrap_or(HybridTimestamp::ZERO)
}

fn decode_optional_timestamp(time: Option<messages::Timestamp>) -> Option<HybridTimestamp> {
    time.map(|time| HybridTimestamp { ms: time.ms, logical: time.logical })
}

pub fn encode_weight(weight: Weight) -> Option<messages::Weight> {
    Some(messages::Weight { numer: *weight.numer(), denom: *weight.denom() })
}

pub fn decode_weight(weight: Option<messages::Weight>) -> Result<Weight, WireError> {
    let weight = weight.filter(|weight| weight.denom > 0);
    let weight = weight.ok_or(WireError::Invalid("weight without a denominator"))?;
    Ok(Weight::new(weight.numer, weight.denom))
}

fn encode_servers(servers: &[ReplicaId]) -> Vec<u64> {
    servers.iter().map(|server| server.0).collect()
}

fn decode_servers(numbers: Vec<u64>) -> Vec<ReplicaId> {
    numbers.into_iter().map(ReplicaId).collect()
}

fn encode_history(history: HistoryTransfer) -> i32 {
    let kind = match history {
        HistoryTransfer::MoveToNew => HistoryKind::MoveToNew,
        HistoryTransfer::StayWithOld => HistoryKind::StayWithOld,
        HistoryTransfer::CopyToNew => HistoryKind::CopyToNew,
    };
    kind.into()
}

fn decode_history(kind: i32) -> Result<HistoryTransfer, WireError> {
    match HistoryKind::try_from(kind) {
        Ok(HistoryKind::MoveToNew) => Ok(HistoryTransfer::MoveToNew),
        Ok(HistoryKind::StayWithOld) => Ok(HistoryTransfer::StayWithOld),
        Ok(HistoryKind::CopyToNew) => Ok(HistoryTransfer::CopyToNew),
        Ok(HistoryKind::Unspecified) | Err(_) => {
            Err(WireError::Invalid("edit that does not specify the transfer of history"))
        }
    }
}

fn encode_piece(piece: &Piece) -> messages::Piece {
    messages::Piece {
        tile: piece.tile,
        weight: encode_weight(piece.weight),
        servers: encode_servers(&piece.servers),
    }
}

fn decode_piece(piece: messages::Piece) -> Result<Piece, WireError> {
    let weight = decode_weight(piece.weight)?;
    Ok(Piece { tile: piece.tile, weight, servers: decode_servers(piece.servers) })
}

pub fn encode_edit(edit: &Edit) -> messages::Edit {
    let with_kind =
        |kind: EditKind, tile: TileId| messages::Edit { kind: kind.into(), tile, ..Default::default() };
    match edit {
        Edit::Add { tile, weight, district, servers } => messages::Edit {
            weight: encode_weight(*weight),
            district: district.0,
            servers: encode_servers(servers),
            ..with_kind(EditKind::Add, *tile)
        },
        Edit::Split { tile, into, history } => messages::Edit {
            into: into.iter().map(encode_piece).collect(),
            history: encode_history(*history),
            ..with_kind(EditKind::Split, *tile)
        },
        Edit::Merge { tiles, into, district, servers, history } => messages::Edit {
            tiles: tiles.clone(),
            district: district.0,
            servers: encode_servers(servers),
            history: encode_history(*history),
            ..with_kind(EditKind::Merge, *into)
        },
        Edit::Move { tile, servers, history } => messages::Edit {
            servers: encode_servers(servers),
            history: encode_history(*history),
            ..with_kind(EditKind::Move, *tile)
        },
        Edit::Retire { tile, keep_history } => {
            messages::Edit { keep_history: *keep_history, ..with_kind(EditKind::Retire, *tile) }
        }
        Edit::AssignDistrict { tile, district } => {
            messages::Edit { district: district.0, ..with_kind(EditKind::AssignDistrict, *tile) }
        }
        Edit::NameDistrict { district, name } => messages::Edit {
            district: district.0,
            name: name.to_string(),
            ..with_kind(EditKind::NameDistrict, 0)
        },
        Edit::SetRetention { tile, server, from, until } => messages::Edit {
            servers: vec![server.0],
            from: Some(encode_timestamp(*from)),
            until: until.map(encode_timestamp),
            ..with_kind(EditKind::SetRetention, *tile)
        },
    }
}

pub fn decode_edit(edit: messages::Edit) -> Result<Edit, WireError> {
    let tile = edit.tile;
    let district = District(edit.district);
    Ok(match EditKind::try_from(edit.kind) {
        Ok(EditKind::Add) => {
            let weight = decode_weight(edit.weight)?;
            Edit::Add { tile, weight, district, servers: decode_servers(edit.servers) }
        }
        Ok(EditKind::Split) => {
            let into = edit.into.into_iter().map(decode_piece).collect::<Result<_, _>>()?;
            Edit::Split { tile, into, history: decode_history(edit.history)? }
        }
        Ok(EditKind::Merge) => Edit::Merge {
            tiles: edit.tiles,
            into: tile,
            district,
            servers: decode_servers(edit.servers),
            history: decode_history(edit.history)?,
        },
        Ok(EditKind::Move) => {
            let servers = decode_servers(edit.servers);
            Edit::Move { tile, servers, history: decode_history(edit.history)? }
        }
        Ok(EditKind::Retire) => Edit::Retire { tile, keep_history: edit.keep_history },
        Ok(EditKind::AssignDistrict) => Edit::AssignDistrict { tile, district },
        Ok(EditKind::NameDistrict) => Edit::NameDistrict { district, name: edit.name.into() },
        Ok(EditKind::SetRetention) => {
            let server = edit.servers.first().ok_or(WireError::Invalid("retention without a server"))?;
            Edit::SetRetention {
                tile,
                server: ReplicaId(*server),
                from: decode_timestamp(edit.from),
                until: decode_optional_timestamp(edit.until),
            }
        }
        Ok(EditKind::Unspecified) | Err(_) => return Err(WireError::Invalid("edit of an unknown kind")),
    })
}

pub fn encode_entry(entry: &Entry) -> EntryKind {
    match entry {
        Entry::Change(change) => EntryKind::Change(messages::Change {
            base: change.base,
            lease: change.lease,
            valid_from: Some(encode_timestamp(change.valid_from)),
            total_weight: change.total_weight.and_then(encode_weight),
            edits: change.edits.iter().map(encode_edit).collect(),
        }),
        Entry::Lease { number, incarnation, until, closed } => EntryKind::Lease(messages::Lease {
            number: *number,
            incarnation: *incarnation,
            until: Some(encode_timestamp(*until)),
            closed: Some(encode_timestamp(*closed)),
        }),
        Entry::Horizon { at } => EntryKind::Horizon(encode_timestamp(*at)),
    }
}

pub fn decode_entry(entry: EntryKind) -> Result<Entry, WireError> {
    Ok(match entry {
        EntryKind::Change(change) => {
            let edits = change.edits.into_iter().map(decode_edit).collect::<Result<_, _>>()?;
            let total_weight = change.total_weight.map(|weight| decode_weight(Some(weight))).transpose()?;
            Entry::Change(Change {
                base: change.base,
                lease: change.lease,
                valid_from: decode_timestamp(change.valid_from),
                total_weight,
                edits,
            })
        }
        EntryKind::Lease(lease) => Entry::Lease {
            number: lease.number,
            incarnation: lease.incarnation,
            until: decode_timestamp(lease.until),
            closed: decode_timestamp(lease.closed),
        },
        EntryKind::Horizon(at) => Entry::Horizon { at: decode_timestamp(Some(at)) },
    })
}

fn encode_retention(retention: &Retention) -> messages::Retention {
    messages::Retention {
        server: retention.server.0,
        from: Some(encode_timestamp(retention.from)),
        until: retention.until.map(encode_timestamp),
    }
}

fn decode_retention(retention: messages::Retention) -> Retention {
    Retention {
        server: ReplicaId(retention.server),
        from: decode_timestamp(retention.from),
        until: decode_optional_timestamp(retention.until),
    }
}

pub fn encode_tile(id: TileId, tile: &Tile) -> messages::Tile {
    messages::Tile {
        tile: id,
        valid_from: Some(encode_timestamp(tile.valid_from)),
        valid_until: tile.valid_until.map(encode_timestamp),
        created_by: tile.created_by,
        weight: encode_weight(tile.weight),
        district: tile.district.0,
        parents: tile.parents.clone(),
        children: tile.children.clone(),
        history_passed_from: tile.history_passed_from.map(encode_timestamp),
        retentions: tile.retentions.iter().map(encode_retention).collect(),
    }
}

pub fn decode_tile(tile: messages::Tile) -> Result<(TileId, Tile), WireError> {
    let decoded = Tile {
        valid_from: decode_timestamp(tile.valid_from),
        valid_until: decode_optional_timestamp(tile.valid_until),
        created_by: tile.created_by,
        weight: decode_weight(tile.weight)?,
        district: District(tile.district),
        parents: tile.parents,
        children: tile.children,
        history_passed_from: decode_optional_timestamp(tile.history_passed_from),
        retentions: tile.retentions.into_iter().map(decode_retention).collect(),
    };
    Ok((tile.tile, decoded))
}
