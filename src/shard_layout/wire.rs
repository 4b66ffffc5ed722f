//! Entries of the log, promises and snapshots as bytes: Protocol Buffers, bounded before they are decoded, and checked
//! after. What is spoilt, of another format or not possible is an error and changes nothing.
use std::fmt;
use std::hash::Hasher;
use std::sync::Arc;

use prost::{Message, Oneof};

use super::change::{self, PlanError};
use super::limits::Limits;
use super::state::{replay, Layouts, Lease};
use super::version::{self, Version};
use super::{District, TileId, Told, Weight};
use crate::balancer::interface::ReplicaId;
use crate::cluster::HybridTimestamp;

/// The largest entry, in bytes: a frame between members.
pub const MOST_ENTRY: usize = 1 << 20;

/// The largest snapshot, in bytes: a million tiles with two servers each take about a fifth of it.
pub const MOST_SNAPSHOT: usize = 512 << 20;

/// The format of snapshots that is written and read.
const FORMAT: u32 = 1;

/// Bytes that are not what they should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// More bytes than may be.
    Long { bytes: usize, most: usize },
    /// Not a message of this kind.
    Spoilt(String),
    /// Another format than the one that is read here.
    Format(u32),
    /// The checksum does not fit the bytes.
    Sum,
    /// Said, and not possible.
    Bad(&'static str),
    /// The changes of a snapshot do not fit each other.
    Plan(PlanError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Long { bytes, most } => write!(f, "{bytes} bytes, and {most} at most are read"),
            WireError::Spoilt(e) => write!(f, "spoilt: {e}"),
            WireError::Format(n) => write!(f, "format {n}, and {FORMAT} is read"),
            WireError::Sum => f.write_str("spoilt: the checksum does not fit"),
            WireError::Bad(what) => write!(f, "{what} is not possible"),
            WireError::Plan(e) => write!(f, "a change in the snapshot: {e}"),
        }
    }
}

impl std::error::Error for WireError {}

#[derive(Clone, Copy, PartialEq, Message)]
struct Time {
    #[prost(uint64, tag = "1")]
    ms: u64,
    #[prost(uint32, tag = "2")]
    logical: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Amount {
    #[prost(uint64, tag = "1")]
    numer: u64,
    #[prost(uint64, tag = "2")]
    denom: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Piece {
    #[prost(uint32, tag = "1")]
    tile: u32,
    #[prost(message, optional, tag = "2")]
    weight: Option<Amount>,
    #[prost(uint64, repeated, tag = "3")]
    servers: Vec<u64>,
}

/// One step; which fields count goes by its kind.
#[derive(Clone, PartialEq, Message)]
struct Edit {
    #[prost(enumeration = "Kind", tag = "1")]
    kind: i32,
    #[prost(uint32, tag = "2")]
    tile: u32,
    #[prost(message, optional, tag = "3")]
    weight: Option<Amount>,
    #[prost(uint32, tag = "4")]
    district: u32,
    #[prost(uint64, repeated, tag = "5")]
    servers: Vec<u64>,
    #[prost(message, repeated, tag = "6")]
    into: Vec<Piece>,
    #[prost(uint32, repeated, tag = "7")]
    tiles: Vec<u32>,
    #[prost(enumeration = "Past", tag = "8")]
    history: i32,
    #[prost(string, tag = "9")]
    name: String,
    #[prost(bool, tag = "10")]
    keeps: bool,
    #[prost(message, optional, tag = "11")]
    from: Option<Time>,
    #[prost(message, optional, tag = "12")]
    until: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Kind {
    None = 0,
    Add = 1,
    Split = 2,
    Merge = 3,
    Move = 4,
    Retire = 5,
    Assign = 6,
    Name = 7,
    Keep = 8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
enum Past {
    None = 0,
    Moves = 1,
    Stays = 2,
    Both = 3,
}

#[derive(Clone, PartialEq, Message)]
struct Change {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    lease: u64,
    #[prost(message, optional, tag = "3")]
    valid: Option<Time>,
    #[prost(message, optional, tag = "4")]
    ground: Option<Amount>,
    #[prost(message, repeated, tag = "5")]
    edits: Vec<Edit>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Grant {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint64, tag = "2")]
    life: u64,
    #[prost(message, optional, tag = "3")]
    until: Option<Time>,
    #[prost(message, optional, tag = "4")]
    closed: Option<Time>,
}

#[derive(Clone, PartialEq, Message)]
struct Entry {
    #[prost(oneof = "Step", tags = "1, 2, 3")]
    step: Option<Step>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Step {
    #[prost(message, tag = "1")]
    Change(Change),
    #[prost(message, tag = "2")]
    Lease(Grant),
    #[prost(message, tag = "3")]
    Horizon(Time),
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Promise {
    #[prost(uint64, tag = "1")]
    lease: u64,
    #[prost(uint64, tag = "2")]
    index: u64,
    #[prost(message, optional, tag = "3")]
    closed: Option<Time>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Keep {
    #[prost(uint64, tag = "1")]
    server: u64,
    #[prost(message, optional, tag = "2")]
    from: Option<Time>,
    #[prost(message, optional, tag = "3")]
    until: Option<Time>,
}

#[derive(Clone, PartialEq, Message)]
struct Tile {
    #[prost(uint32, tag = "1")]
    tile: u32,
    #[prost(message, optional, tag = "2")]
    born: Option<Time>,
    #[prost(message, optional, tag = "3")]
    died: Option<Time>,
    #[prost(uint64, tag = "4")]
    made: u64,
    #[prost(message, optional, tag = "5")]
    weight: Option<Amount>,
    #[prost(uint32, tag = "6")]
    district: u32,
    #[prost(uint32, repeated, tag = "7")]
    parents: Vec<u32>,
    #[prost(uint32, repeated, tag = "8")]
    children: Vec<u32>,
    #[prost(message, optional, tag = "9")]
    passed: Option<Time>,
    #[prost(message, repeated, tag = "10")]
    keeps: Vec<Keep>,
}

#[derive(Clone, PartialEq, Message)]
struct Named {
    #[prost(uint32, tag = "1")]
    district: u32,
    #[prost(string, tag = "2")]
    name: String,
}

/// A change that was accepted.
#[derive(Clone, PartialEq, Message)]
struct Later {
    #[prost(message, optional, tag = "1")]
    valid: Option<Time>,
    #[prost(uint64, tag = "2")]
    index: u64,
    #[prost(message, repeated, tag = "3")]
    edits: Vec<Edit>,
}

/// The first version that is kept in full, and the changes behind it.
#[derive(Clone, PartialEq, Message)]
struct Body {
    #[prost(uint64, tag = "1")]
    applied: u64,
    #[prost(message, optional, tag = "2")]
    closed: Option<Time>,
    #[prost(message, optional, tag = "3")]
    horizon: Option<Time>,
    #[prost(message, optional, tag = "4")]
    lease: Option<Grant>,
    #[prost(uint64, tag = "5")]
    number: u64,
    #[prost(message, optional, tag = "6")]
    valid: Option<Time>,
    #[prost(uint64, tag = "7")]
    index: u64,
    #[prost(message, repeated, tag = "8")]
    tiles: Vec<Tile>,
    #[prost(message, repeated, tag = "9")]
    names: Vec<Named>,
    #[prost(message, repeated, tag = "10")]
    later: Vec<Later>,
    #[prost(message, optional, tag = "11")]
    ground: Option<Amount>,
}

#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(fixed64, tag = "2")]
    sum: u64,
    #[prost(bytes = "vec", tag = "3")]
    body: Vec<u8>,
}

mod convert;

use convert::{time_of, to_time};

fn decode<M: Message + Default>(bytes: &[u8], most: usize) -> Result<M, WireError> {
    if bytes.len() > most {
        return Err(WireError::Long { bytes: bytes.len(), most });
    }
    M::decode(bytes).map_err(|e| WireError::Spoilt(e.to_string()))
}

impl change::Entry {
    /// An entry as bytes; one over [`MOST_ENTRY`] is an error, since no member would read it.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let bytes = Entry { step: Some(convert::step(self)) }.encode_to_vec();
        match bytes.len() > MOST_ENTRY {
            true => Err(WireError::Long { bytes: bytes.len(), most: MOST_ENTRY }),
            false => Ok(bytes),
        }
    }

    pub fn decode(bytes: &[u8]) -> Result<change::Entry, WireError> {
        let entry: Entry = decode(bytes, MOST_ENTRY)?;
        convert::entry(entry.step.ok_or(WireError::Bad("an empty entry"))?)
    }
}

impl Told {
    pub fn encode(&self) -> Vec<u8> {
        let closed = Some(to_time(self.closed));
        Promise { lease: self.lease, index: self.index, closed }.encode_to_vec()
    }

    pub fn decode(bytes: &[u8]) -> Result<Told, WireError> {
        let told: Promise = decode(bytes, 64)?;
        Ok(Told { lease: told.lease, index: told.index, closed: time_of(told.closed) })
    }
}

fn sum(body: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(body);
    hasher.finish()
}

impl Layouts {
    /// The whole state as bytes, the same on every member that applied the same log.
    pub fn snapshot(&self) -> Vec<u8> {
        let first = self.versions.first().unwrap_or(&self.newest);
        let names = first.names.iter().map(|(n, d)| Named { district: d.0, name: n.to_string() });
        let later = self.versions.iter().skip(1).map(|v| Later {
            valid: Some(to_time(v.valid)),
            index: v.index,
            edits: v.edits.iter().map(convert::from_edit).collect(),
        });
        let Lease { number, life, until } = self.lease;
        let body = Body {
            applied: self.applied,
            closed: Some(to_time(self.closed)),
            horizon: Some(to_time(self.horizon)),
            lease: Some(Grant { number, life, until: Some(to_time(until)), closed: None }),
            number: first.number,
            valid: Some(to_time(first.valid)),
            index: first.index,
            tiles: first.tiles.iter().map(|(id, t)| convert::from_tile(*id, t)).collect(),
            names: names.collect(),
            later: later.collect(),
            ground: convert::to_amount(first.ground),
        }
        .encode_to_vec();
        Snapshot { format: FORMAT, sum: sum(&body), body }.encode_to_vec()
    }

    /// The state out of a snapshot. Each list is checked against the limits, and each change is made anew.
    pub fn restore(bytes: &[u8], limits: Limits) -> Result<Layouts, WireError> {
        let snapshot: Snapshot = decode(bytes, MOST_SNAPSHOT)?;
        if snapshot.format != FORMAT {
            return Err(WireError::Format(snapshot.format));
        }
        if sum(&snapshot.body) != snapshot.sum {
            return Err(WireError::Sum);
        }
        let body: Body = decode(&snapshot.body, MOST_SNAPSHOT)?;
        if body.tiles.len() > limits.tiles || body.later.len() >= limits.versions {
            return Err(WireError::Bad("a snapshot of more than is kept"));
        }
        let mut base = Version::empty();
        (base.number, base.valid, base.index) = (body.number, time_of(body.valid), body.index);
        // Not added up anew: in another order a sum between might not fit.
        base.ground = convert::amount(body.ground)?;
        for tile in body.tiles {
            let (id, tile) = convert::tile(tile)?;
            base.put(id, tile).map_err(WireError::Plan)?;
        }
        for named in body.names {
            base.name(District(named.district), named.name.into()).map_err(WireError::Plan)?;
        }
        base.check().map_err(|_| WireError::Bad("a snapshot whose tiles do not fit each other"))?;
        let mut later = Vec::with_capacity(body.later.len());
        let mut last = (base.valid, base.index);
        for change in body.later {
            let place = (time_of(change.valid), change.index);
            if place.0 < last.0 || place.1 <= last.1 || change.index > body.applied {
                return Err(WireError::Bad("an order of changes"));
            }
            last = place;
            let edits: Result<Vec<_>, _> = change.edits.into_iter().map(convert::edit).collect();
            later.push((place, Arc::from(edits?)));
        }
        let mut layouts = Layouts::new(limits);
        let made = replay(base, later.into_iter(), &layouts.limits).map_err(WireError::Plan)?;
        (layouts.versions, layouts.newest) = made;
        let lease = body.lease.unwrap_or_default();
        layouts.lease = Lease { number: lease.number, life: lease.life, until: time_of(lease.until) };
        layouts.applied = body.applied;
        (layouts.closed, layouts.horizon) = (time_of(body.closed), time_of(body.horizon));
        Ok(layouts)
    }
}
