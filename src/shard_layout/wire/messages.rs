//! The Protocol Buffers messages. Tags, field types and enum numbers are stored in logs and snapshots: they
//! must never change, and a number that is no longer used must not be reused.
use prost::{Message, Oneof};

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Timestamp {
    #[prost(uint64, tag = "1")]
    pub ms: u64,
    #[prost(uint32, tag = "2")]
    pub logical: u32,
}

/// An exact fraction. A denominator of 0 is rejected when it is decoded.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Weight {
    #[prost(uint64, tag = "1")]
    pub numer: u64,
    #[prost(uint64, tag = "2")]
    pub denom: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    #[prost(uint32, tag = "1")]
    pub tile: u32,
    #[prost(message, optional, tag = "2")]
    pub weight: Option<Weight>,
    #[prost(uint64, repeated, tag = "3")]
    pub servers: Vec<u64>,
}

/// An edit. Which of the fields are used depends on `kind`.
#[derive(Clone, PartialEq, Message)]
pub struct Edit {
    #[prost(enumeration = "EditKind", tag = "1")]
    pub kind: i32,
    #[prost(uint32, tag = "2")]
    pub tile: u32,
    #[prost(message, optional, tag = "3")]
    pub weight: Option<Weight>,
    #[prost(uint32, tag = "4")]
    pub district: u32,
    #[prost(uint64, repeated, tag = "5")]
    pub servers: Vec<u64>,
    #[prost(message, repeated, tag = "6")]
    pub into: Vec<Piece>,
    #[prost(uint32, repeated, tag = "7")]
    pub tiles: Vec<u32>,
    #[prost(enumeration = "HistoryKind", tag = "8")]
    pub history: i32,
    #[prost(string, tag = "9")]
    pub name: String,
    #[prost(bool, tag = "10")]
    pub keep_history: bool,
    #[prost(message, optional, tag = "11")]
    pub from: Option<Timestamp>,
    #[prost(message, optional, tag = "12")]
    pub until: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum EditKind {
    Unspecified = 0,
    Add = 1,
    Split = 2,
    Merge = 3,
    Move = 4,
    Retire = 5,
    AssignDistrict = 6,
    NameDistrict = 7,
    SetRetention = 8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum HistoryKind {
    Unspecified = 0,
    MoveToNew = 1,
    StayWithOld = 2,
    CopyToNew = 3,
}

#[derive(Clone, PartialEq, Message)]
pub struct Change {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(uint64, tag = "2")]
    pub lease: u64,
    #[prost(message, optional, tag = "3")]
    pub valid_from: Option<Timestamp>,
    #[prost(message, optional, tag = "4")]
    pub total_weight: Option<Weight>,
    #[prost(message, repeated, tag = "5")]
    pub edits: Vec<Edit>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Lease {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(message, optional, tag = "3")]
    pub until: Option<Timestamp>,
    #[prost(message, optional, tag = "4")]
    pub closed: Option<Timestamp>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    #[prost(oneof = "EntryKind", tags = "1, 2, 3")]
    pub kind: Option<EntryKind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum EntryKind {
    #[prost(message, tag = "1")]
    Change(Change),
    #[prost(message, tag = "2")]
    Lease(Lease),
    #[prost(message, tag = "3")]
    Horizon(Timestamp),
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct ClosedTimestampPromise {
    #[prost(uint64, tag = "1")]
    pub lease: u64,
    #[prost(uint64, tag = "2")]
    pub index: u64,
    #[prost(message, optional, tag = "3")]
    pub closed: Option<Timestamp>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Retention {
    #[prost(uint64, tag = "1")]
    pub server: u64,
    #[prost(message, optional, tag = "2")]
    pub from: Option<Timestamp>,
    #[prost(message, optional, tag = "3")]
    pub until: Option<Timestamp>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Tile {
    #[prost(uint32, tag = "1")]
    pub tile: u32,
    #[prost(message, optional, tag = "2")]
    pub valid_from: Option<Timestamp>,
    #[prost(message, optional, tag = "3")]
    pub valid_until: Option<Timestamp>,
    #[prost(uint64, tag = "4")]
    pub created_by: u64,
    #[prost(message, optional, tag = "5")]
    pub weight: Option<Weight>,
    #[prost(uint32, tag = "6")]
    pub district: u32,
    #[prost(uint32, repeated, tag = "7")]
    pub parents: Vec<u32>,
    #[prost(uint32, repeated, tag = "8")]
    pub children: Vec<u32>,
    #[prost(message, optional, tag = "9")]
    pub history_passed_from: Option<Timestamp>,
    #[prost(message, repeated, tag = "10")]
    pub retentions: Vec<Retention>,
}

#[derive(Clone, PartialEq, Message)]
pub struct DistrictName {
    #[prost(uint32, tag = "1")]
    pub district: u32,
    #[prost(string, tag = "2")]
    pub name: String,
}

/// An applied change. The lease and the base version under which it was proposed are no longer needed.
#[derive(Clone, PartialEq, Message)]
pub struct LoggedChange {
    #[prost(message, optional, tag = "1")]
    pub valid_from: Option<Timestamp>,
    #[prost(uint64, tag = "2")]
    pub index: u64,
    #[prost(message, repeated, tag = "3")]
    pub edits: Vec<Edit>,
}

/// The contents of a snapshot: the first retained version in full, followed by the changes that produce the
/// later ones.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotBody {
    #[prost(uint64, tag = "1")]
    pub applied: u64,
    #[prost(message, optional, tag = "2")]
    pub closed: Option<Timestamp>,
    #[prost(message, optional, tag = "3")]
    pub horizon: Option<Timestamp>,
    #[prost(message, optional, tag = "4")]
    pub lease: Option<Lease>,
    #[prost(uint64, tag = "5")]
    pub number: u64,
    #[prost(message, optional, tag = "6")]
    pub valid_from: Option<Timestamp>,
    #[prost(uint64, tag = "7")]
    pub index: u64,
    #[prost(message, repeated, tag = "8")]
    pub tiles: Vec<Tile>,
    #[prost(message, repeated, tag = "9")]
    pub names: Vec<DistrictName>,
    #[prost(message, repeated, tag = "10")]
    pub later_changes: Vec<LoggedChange>,
    #[prost(message, optional, tag = "11")]
    pub total_weight: Option<Weight>,
}

/// The envelope of a snapshot: `checksum` is the FNV-1a hash of `body`, an encoded [`SnapshotBody`].
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    #[prost(uint32, tag = "1")]
    pub format: u32,
    #[prost(fixed64, tag = "2")]
    pub checksum: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}
