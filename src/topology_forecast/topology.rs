//! A topology as the forecast reads it: tiles, the districts that they make up, and the servers that hold them.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use num_rational::Ratio;

use crate::balancer::interface::{ReplicaId, ZoneId};

/// The most tiles of a topology: a longer list is taken for a corrupt one.
pub const MAX_TILES: usize = 1 << 20;
/// The most servers of a topology.
pub const MAX_SERVERS: usize = 1 << 16;
/// The most holders of a tile.
pub const MAX_HOLDERS: usize = 64;

/// A server and its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its number.
    pub id: ReplicaId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Parts that it works on at once: what it gets done in a second over what one unit does.
    pub capacity: f64,
}

/// A tile.
#[derive(Clone, Debug, PartialEq)]
pub struct Tile {
    /// Its number.
    pub tile: u32,
    /// The district that it belongs to.
    pub district: u32,
    /// Its exact weight, over 0.
    pub weight: Ratio<u64>,
    /// The servers that hold it.
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

/// Why lists are no topology.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// A list that is longer than its bound; with its name.
    #[error("too many {0}")]
    TooMany(&'static str),
    /// Two tiles of one number.
    #[error("tile {0} stands twice")]
    TileTwice(u32),
    /// Two servers of one number.
    #[error("server {0} stands twice")]
    ServerTwice(u64),
    /// A capacity that is not over 0, or not finite.
    #[error("server {0} has a capacity that is not over 0")]
    Capacity(u64),
    /// A weight of 0.
    #[error("tile {0} has a weight of 0")]
    Weight(u32),
    /// No holders, too many, or one of them twice.
    #[error("tile {0} needs 1 to {MAX_HOLDERS} holders, none twice")]
    Holders(u32),
    /// A holder that is none of the servers.
    #[error("tile {tile} is held by unknown server {server}")]
    UnknownServer {
        /// The tile.
        tile: u32,
        /// Its holder.
        server: u64,
    },
}

impl Topology {
    /// A topology of these lists, in any order.
    ///
    /// # Errors
    /// The first thing in them that breaks the invariant or a bound.
    pub fn new(
        version: u64,
        mut servers: Vec<Server>,
        mut tiles: Vec<Tile>,
    ) -> Result<Topology, TopologyError> {
        if servers.len() > MAX_SERVERS {
            return Err(TopologyError::TooMany("servers"));
        }
        if tiles.len() > MAX_TILES {
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
            if t.holders.is_empty() || t.holders.len() > MAX_HOLDERS || distinct.len() < t.holders.len() {
                return Err(TopologyError::Holders(t.tile));
            }
            let unknown = |h: &&ReplicaId| servers.binary_search_by_key(*h, |s| s.id).is_err();
            if let Some(h) = t.holders.iter().find(unknown) {
                return Err(TopologyError::UnknownServer { tile: t.tile, server: h.0 });
            }
        }
        Ok(Topology { version, servers: servers.into(), tiles: tiles.into() })
    }

    /// The number of the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All servers, in the order of their numbers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// All tiles, in the order of their numbers.
    pub fn tiles(&self) -> &[Tile] {
        &self.tiles
    }

    /// The tile with a number.
    pub fn tile(&self, tile: u32) -> Option<&Tile> {
        self.index(tile).and_then(|n| self.tiles.get(n))
    }

    /// The index of a tile in [`Topology::tiles`].
    pub fn index(&self, tile: u32) -> Option<usize> {
        self.tiles.binary_search_by_key(&tile, |t| t.tile).ok()
    }

    /// The index of a server in [`Topology::servers`].
    pub fn server(&self, id: ReplicaId) -> Option<usize> {
        self.servers.binary_search_by_key(&id, |s| s.id).ok()
    }

    /// The indexes of each tile's holders in [`Topology::servers`].
    pub fn holders(&self) -> Vec<Vec<u32>> {
        let place = |h: &ReplicaId| self.server(*h).and_then(|n| u32::try_from(n).ok());
        self.tiles.iter().map(|t| t.holders.iter().filter_map(place).collect()).collect()
    }

    /// The indexes of the tiles of each district.
    pub fn districts(&self) -> BTreeMap<u32, Vec<usize>> {
        let mut all: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (n, t) in self.tiles.iter().enumerate() {
            all.entry(t.district).or_default().push(n);
        }
        all
    }

    /// What each tile of `base` became here: indexes of tiles. Empty for one that was retired.
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

    /// A hash of the content, equal whatever the version: a reverted plan's base is identified by it.
    pub fn digest(&self) -> u64 {
        use std::hash::{Hash, Hasher};
        let mut h = fnv::FnvHasher::default();
        for s in self.servers.iter() {
            (s.id.0, s.zone.0, s.capacity.to_bits()).hash(&mut h);
        }
        for t in self.tiles.iter() {
            (t.tile, t.district, t.weight.numer(), t.weight.denom()).hash(&mut h);
            t.holders.iter().for_each(|r| r.0.hash(&mut h));
        }
        h.finish()
    }
}
