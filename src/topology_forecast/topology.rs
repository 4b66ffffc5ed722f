//! A topology as the forecast reads it: tiles, the districts that they make up, and the servers that hold them.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

use num_rational::Ratio;

use crate::balancer::interface::{ReplicaId, ZoneId};

/// Most tiles and servers of a topology, and holders of a tile: more is taken for a spoilt list.
pub const MOST_TILES: usize = 1 << 20;
pub const MOST_SERVERS: usize = 1 << 16;
pub const MOST_HOLDERS: usize = 64;

/// A server and the room it stands in.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub id: ReplicaId,
    pub room: ZoneId,
    /// Parts that it works on at once: what it gets done in a second over what one unit of it does.
    pub capacity: f64,
}

/// A tile, exact weight included.
#[derive(Clone, Debug, PartialEq)]
pub struct Tile {
    pub tile: u32,
    pub district: u32,
    pub weight: Ratio<u64>,
    pub holders: Rc<[ReplicaId]>,
    /// The tiles of the base that it was cut from; empty for one that the base has under the same number.
    pub from: Rc<[u32]>,
}

/// A whole topology. Shared, so that a copy costs nothing.
///
/// Invariant, kept by [`Topology::new`]: tiles and servers stand in the order of their numbers, none twice, and every
/// holder is one of the servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    version: u64,
    servers: Rc<[Server]>,
    tiles: Rc<[Tile]>,
}

/// Lists that are no topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyError {
    TooMany(&'static str),
    TileTwice(u32),
    ServerTwice(u64),
    /// Not over 0, or not a number.
    Capacity(u64),
    Weight(u32),
    /// None, too many, or one twice.
    Holders(u32),
    UnknownServer {
        tile: u32,
        server: u64,
    },
}

impl fmt::Display for TopologyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use TopologyError::*;
        match self {
            TooMany(what) => write!(f, "too many {what}"),
            TileTwice(t) => write!(f, "tile {t} stands twice"),
            ServerTwice(s) => write!(f, "server {s} stands twice"),
            Capacity(s) => write!(f, "server {s} has a capacity that is not over 0"),
            Weight(t) => write!(f, "tile {t} has a weight of 0"),
            Holders(t) => write!(f, "tile {t} needs 1 to {MOST_HOLDERS} holders, none twice"),
            UnknownServer { tile, server } => write!(f, "tile {tile} is held by unknown server {server}"),
        }
    }
}

impl std::error::Error for TopologyError {}

impl Topology {
    pub fn new(
        version: u64,
        mut servers: Vec<Server>,
        mut tiles: Vec<Tile>,
    ) -> Result<Topology, TopologyError> {
        if servers.len() > MOST_SERVERS {
            return Err(TopologyError::TooMany("servers"));
        }
        if tiles.len() > MOST_TILES {
            return Err(TopologyError::TooMany("tiles"));
        }
        servers.sort_by_key(|s| s.id);
        tiles.sort_by_key(|t| t.tile);
        if let Some((a, _)) = servers.iter().zip(servers.iter().skip(1)).find(|(a, b)| a.id == b.id) {
            return Err(TopologyError::ServerTwice(a.id.0));
        }
        if let Some((a, _)) = tiles.iter().zip(tiles.iter().skip(1)).find(|(a, b)| a.tile == b.tile) {
            return Err(TopologyError::TileTwice(a.tile));
        }
        if let Some(s) = servers.iter().find(|s| !(s.capacity > 0.0 && s.capacity.is_finite())) {
            return Err(TopologyError::Capacity(s.id.0));
        }
        for t in &tiles {
            if *t.weight.numer() == 0 || *t.weight.denom() == 0 {
                return Err(TopologyError::Weight(t.tile));
            }
            let distinct: BTreeSet<_> = t.holders.iter().collect();
            if t.holders.is_empty() || t.holders.len() > MOST_HOLDERS || distinct.len() < t.holders.len() {
                return Err(TopologyError::Holders(t.tile));
            }
            let unknown = |h: &&ReplicaId| servers.binary_search_by_key(*h, |s| s.id).is_err();
            if let Some(h) = t.holders.iter().find(unknown) {
                return Err(TopologyError::UnknownServer { tile: t.tile, server: h.0 });
            }
        }
        Ok(Topology { version, servers: servers.into(), tiles: tiles.into() })
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    pub fn tiles(&self) -> &[Tile] {
        &self.tiles
    }

    pub fn tile(&self, tile: u32) -> Option<&Tile> {
        self.index(tile).and_then(|n| self.tiles.get(n))
    }

    /// Its place in [`Topology::tiles`].
    pub fn index(&self, tile: u32) -> Option<usize> {
        self.tiles.binary_search_by_key(&tile, |t| t.tile).ok()
    }

    pub fn server(&self, id: ReplicaId) -> Option<usize> {
        self.servers.binary_search_by_key(&id, |s| s.id).ok()
    }

    /// The places of each tile's holders in [`Topology::servers`].
    pub fn holders(&self) -> Vec<Vec<u32>> {
        let place = |h: &ReplicaId| self.server(*h).and_then(|n| u32::try_from(n).ok());
        self.tiles.iter().map(|t| t.holders.iter().filter_map(place).collect()).collect()
    }

    /// The places of the tiles of each district.
    pub fn districts(&self) -> BTreeMap<u32, Vec<usize>> {
        let mut all: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (n, t) in self.tiles.iter().enumerate() {
            all.entry(t.district).or_default().push(n);
        }
        all
    }

    /// What a tile of `base` became here: places of tiles. Empty for one that was retired.
    pub fn successors(&self, base: &Topology) -> Vec<Vec<u32>> {
        let mut all = vec![Vec::new(); base.tiles.len()];
        for (n, t) in (0u32..).zip(self.tiles.iter()) {
            let own = [t.tile];
            let from: &[u32] = if t.from.is_empty() { &own } else { &t.from };
            for old in from.iter().filter_map(|f| base.index(*f)) {
                if let Some(list) = all.get_mut(old) {
                    list.push(n);
                }
            }
        }
        all
    }

    /// Equal for equal content, whatever the version: what a reverted plan's base is known by.
    pub fn digest(&self) -> u64 {
        use std::hash::{Hash, Hasher};
        let mut h = fnv::FnvHasher::default();
        for s in self.servers.iter() {
            (s.id.0, s.room.0, s.capacity.to_bits()).hash(&mut h);
        }
        for t in self.tiles.iter() {
            (t.tile, t.district, t.weight.numer(), t.weight.denom()).hash(&mut h);
            t.holders.iter().for_each(|r| r.0.hash(&mut h));
        }
        h.finish()
    }
}
