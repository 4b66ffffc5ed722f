//! The topology that a forecast is based on: tiles, the districts that they form, and the servers that hold
//! them.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use num_rational::Ratio;

use crate::balancer::interface::{ReplicaId, ZoneId};

/// The most tiles of a topology. A longer list is considered corrupt.
pub const MAX_TILES: usize = 1 << 20;
/// The most servers of a topology.
pub const MAX_SERVERS: usize = 1 << 16;
/// The most servers that may hold the same tile.
pub const MAX_HOLDERS: usize = 64;

/// A server and its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's number.
    pub id: ReplicaId,
    /// The zone of the server.
    pub zone: ZoneId,
    /// The server's throughput as a multiple of that of a server with capacity 1, such as the number of parts
    /// that it processes in parallel.
    pub capacity: f64,
}

/// A tile.
#[derive(Clone, Debug, PartialEq)]
pub struct Tile {
    /// The tile's number.
    pub tile: u32,
    /// The district that the tile belongs to.
    pub district: u32,
    /// The exact weight of the tile, which is greater than 0.
    pub weight: Ratio<u64>,
    /// The servers that hold the tile.
    pub holders: Rc<[ReplicaId]>,
    /// The tiles of the base topology that this tile was split or merged from. Empty if the base has a tile
    /// with the same number.
    pub from: Rc<[u32]>,
}

/// All tiles and servers at one version. Clones share the lists, and are cheap.
///
/// Invariant, ensured by [`Topology::new`]: tiles and servers are sorted by their numbers without duplicates,
/// and every holder is one of the servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    version: u64,
    servers: Rc<[Server]>,
    tiles: Rc<[Tile]>,
}

/// Why lists of servers and tiles do not form a topology.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// The list with this name is longer than its bound.
    #[error("too many {0}")]
    TooMany(&'static str),
    /// Two tiles have the same number.
    #[error("tile {0} occurs more than once")]
    TileTwice(u32),
    /// Two servers have the same number.
    #[error("server {0} occurs more than once")]
    ServerTwice(u64),
    /// A capacity is not over 0, or not finite.
    #[error("the capacity of server {0} must be finite and over 0")]
    Capacity(u64),
    /// A tile has a weight of 0.
    #[error("tile {0} has a weight of 0")]
    Weight(u32),
    /// A tile has no holders, too many, or the same holder twice.
    #[error("tile {0} needs 1 to {MAX_HOLDERS} distinct holders")]
    Holders(u32),
    /// A holder is not one of the servers.
    #[error("tile {tile} is held by unknown server {server}")]
    UnknownServer {
        /// The tile.
        tile: u32,
        /// Its holder.
        server: u64,
    },
}

impl Topology {
    /// Creates a topology from lists in any order.
    ///
    /// # Errors
    /// Returns the first violation of the invariant or of a bound.
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

    /// Returns the version number.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all servers, sorted by their numbers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns all tiles, sorted by their numbers.
    pub fn tiles(&self) -> &[Tile] {
        &self.tiles
    }

    /// Returns the tile with this number.
    pub fn tile(&self, tile: u32) -> Option<&Tile> {
        self.index(tile).and_then(|n| self.tiles.get(n))
    }

    /// Returns the index of a tile in [`Topology::tiles`].
    pub fn index(&self, tile: u32) -> Option<usize> {
        self.tiles.binary_search_by_key(&tile, |t| t.tile).ok()
    }

    /// Returns the index of a server in [`Topology::servers`].
    pub fn server(&self, id: ReplicaId) -> Option<usize> {
        self.servers.binary_search_by_key(&id, |s| s.id).ok()
    }

    /// Returns the holders of each tile, as indexes into [`Topology::servers`].
    pub fn holders(&self) -> Vec<Vec<u32>> {
        let server_index = |h: &ReplicaId| self.server(*h).and_then(|n| u32::try_from(n).ok());
        self.tiles.iter().map(|t| t.holders.iter().filter_map(server_index).collect()).collect()
    }

    /// Returns the tiles of each district, as indexes into [`Topology::tiles`].
    pub fn districts(&self) -> BTreeMap<u32, Vec<usize>> {
        let mut districts: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (n, t) in self.tiles.iter().enumerate() {
            districts.entry(t.district).or_default().push(n);
        }
        districts
    }

    /// Returns, for each tile of `base`, the tiles of this topology that replace it, as indexes into
    /// [`Topology::tiles`]. The list of a tile that was retired is empty.
    pub fn successors(&self, base: &Topology) -> Vec<Vec<u32>> {
        let mut successors = vec![Vec::new(); base.tiles.len()];
        for (n, t) in (0u32..).zip(self.tiles.iter()) {
            let own = [t.tile];
            let from: &[u32] = if t.from.is_empty() { &own } else { &t.from };
            for old in from.iter().filter_map(|f| base.index(*f)) {
                if let Some(list) = successors.get_mut(old) {
                    list.push(n);
                }
            }
        }
        successors
    }

    /// Returns a hash of the content. It does not depend on the version number, so that it can identify the
    /// base of a reverted plan even after other changes.
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
