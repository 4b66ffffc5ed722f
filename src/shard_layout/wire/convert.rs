//! Between what is decided on and what is written.
use super::change::{Change, Entry, History, Piece};
use super::version::{Keep, Tile};
use super::*;

pub fn to_time(t: HybridTimestamp) -> Time {
    Time { ms: t.ms, logical: t.logical }
}

/// Nothing is the first point in time, as with every number in this encoding.
pub fn time_of(t: Option<Time>) -> HybridTimestamp {
    t.map_or(HybridTimestamp::ZERO, |t| HybridTimestamp { ms: t.ms, logical: t.logical })
}

fn some_time(t: Option<Time>) -> Option<HybridTimestamp> {
    t.map(|t| HybridTimestamp { ms: t.ms, logical: t.logical })
}

pub fn to_amount(w: Weight) -> Option<Amount> {
    Some(Amount { numer: *w.numer(), denom: *w.denom() })
}

pub fn amount(w: Option<Amount>) -> Result<Weight, WireError> {
    let w = w.filter(|w| w.denom > 0).ok_or(WireError::Bad("a weight without a denominator"))?;
    Ok(Weight::new(w.numer, w.denom))
}

fn numbers(servers: &[ReplicaId]) -> Vec<u64> {
    servers.iter().map(|s| s.0).collect()
}

fn servers(numbers: Vec<u64>) -> Vec<ReplicaId> {
    numbers.into_iter().map(ReplicaId).collect()
}

fn past(history: History) -> i32 {
    let past = match history {
        History::Moves => Past::Moves,
        History::Stays => Past::Stays,
        History::Both => Past::Both,
    };
    past.into()
}

fn history(past: i32) -> Result<History, WireError> {
    match Past::try_from(past) {
        Ok(Past::Moves) => Ok(History::Moves),
        Ok(Past::Stays) => Ok(History::Stays),
        Ok(Past::Both) => Ok(History::Both),
        Ok(Past::None) | Err(_) => Err(WireError::Bad("a change that does not say what becomes of history")),
    }
}

pub fn from_edit(edit: &change::Edit) -> Edit {
    use change::Edit as E;
    let plain = |kind: Kind, tile: TileId| Edit { kind: kind.into(), tile, ..Edit::default() };
    match edit {
        E::Add { tile, weight, district, servers } => Edit {
            weight: to_amount(*weight),
            district: district.0,
            servers: numbers(servers),
            ..plain(Kind::Add, *tile)
        },
        E::Split { tile, into, history } => {
            let piece = |p: &Piece| super::Piece {
                tile: p.tile,
                weight: to_amount(p.weight),
                servers: numbers(&p.servers),
            };
            let into = into.iter().map(piece).collect();
            Edit { into, history: past(*history), ..plain(Kind::Split, *tile) }
        }
        E::Merge { tiles, into, district, servers, history } => Edit {
            tiles: tiles.clone(),
            district: district.0,
            servers: numbers(servers),
            history: past(*history),
            ..plain(Kind::Merge, *into)
        },
        E::Move { tile, servers, history } => {
            Edit { servers: numbers(servers), history: past(*history), ..plain(Kind::Move, *tile) }
        }
        E::Retire { tile, keeps } => Edit { keeps: *keeps, ..plain(Kind::Retire, *tile) },
        E::Assign { tile, district } => Edit { district: district.0, ..plain(Kind::Assign, *tile) },
        E::Name { district, name } => {
            Edit { district: district.0, name: name.to_string(), ..plain(Kind::Name, 0) }
        }
        E::Keep { tile, server, from, until } => Edit {
            servers: vec![server.0],
            from: Some(to_time(*from)),
            until: until.map(to_time),
            ..plain(Kind::Keep, *tile)
        },
    }
}

pub fn edit(e: Edit) -> Result<change::Edit, WireError> {
    use change::Edit as E;
    let (tile, district) = (e.tile, District(e.district));
    Ok(match Kind::try_from(e.kind) {
        Ok(Kind::Add) => E::Add { tile, weight: amount(e.weight)?, district, servers: servers(e.servers) },
        Ok(Kind::Split) => {
            let piece = |p: super::Piece| {
                Ok(Piece { tile: p.tile, weight: amount(p.weight)?, servers: servers(p.servers) })
            };
            let into: Result<_, WireError> = e.into.into_iter().map(piece).collect();
            E::Split { tile, into: into?, history: history(e.history)? }
        }
        Ok(Kind::Merge) => E::Merge {
            tiles: e.tiles,
            into: tile,
            district,
            servers: servers(e.servers),
            history: history(e.history)?,
        },
        Ok(Kind::Move) => E::Move { tile, servers: servers(e.servers), history: history(e.history)? },
        Ok(Kind::Retire) => E::Retire { tile, keeps: e.keeps },
        Ok(Kind::Assign) => E::Assign { tile, district },
        Ok(Kind::Name) => E::Name { district, name: e.name.into() },
        Ok(Kind::Keep) => {
            let server = e.servers.first().ok_or(WireError::Bad("history without its keeper"))?;
            E::Keep { tile, server: ReplicaId(*server), from: time_of(e.from), until: some_time(e.until) }
        }
        Ok(Kind::None) | Err(_) => return Err(WireError::Bad("a step of an unknown kind")),
    })
}

pub fn step(entry: &Entry) -> Step {
    match entry {
        Entry::Change(c) => Step::Change(super::Change {
            base: c.base,
            lease: c.lease,
            valid: Some(to_time(c.valid)),
            ground: c.ground.and_then(to_amount),
            edits: c.edits.iter().map(from_edit).collect(),
        }),
        Entry::Lease { number, life, until, closed } => {
            let (until, closed) = (Some(to_time(*until)), Some(to_time(*closed)));
            Step::Lease(Grant { number: *number, life: *life, until, closed })
        }
        Entry::Horizon { at } => Step::Horizon(to_time(*at)),
    }
}

pub fn entry(step: Step) -> Result<Entry, WireError> {
    Ok(match step {
        Step::Change(c) => {
            let edits: Result<_, _> = c.edits.into_iter().map(edit).collect();
            let ground = c.ground.map(|g| amount(Some(g))).transpose()?;
            let valid = time_of(c.valid);
            Entry::Change(Change { base: c.base, lease: c.lease, valid, ground, edits: edits? })
        }
        Step::Lease(g) => Entry::Lease {
            number: g.number,
            life: g.life,
            until: time_of(g.until),
            closed: time_of(g.closed),
        },
        Step::Horizon(at) => Entry::Horizon { at: time_of(Some(at)) },
    })
}

pub fn from_tile(id: TileId, tile: &version::Tile) -> super::Tile {
    let keep = |k: &Keep| super::Keep {
        server: k.server.0,
        from: Some(to_time(k.from)),
        until: k.until.map(to_time),
    };
    super::Tile {
        tile: id,
        born: Some(to_time(tile.born)),
        died: tile.died.map(to_time),
        made: tile.made,
        weight: to_amount(tile.weight),
        district: tile.district.0,
        parents: tile.parents.clone(),
        children: tile.children.clone(),
        passed: tile.passed.map(to_time),
        keeps: tile.keeps.iter().map(keep).collect(),
    }
}

pub fn tile(tile: super::Tile) -> Result<(TileId, Tile), WireError> {
    let keep = |k: super::Keep| Keep {
        server: ReplicaId(k.server),
        from: time_of(k.from),
        until: some_time(k.until),
    };
    let made = Tile {
        born: time_of(tile.born),
        died: some_time(tile.died),
        made: tile.made,
        weight: amount(tile.weight)?,
        district: District(tile.district),
        parents: tile.parents,
        children: tile.children,
        passed: some_time(tile.passed),
        keeps: tile.keeps.into_iter().map(keep).collect(),
    };
    Ok((tile.tile, made))
}
