//! The report of one coordinator on one window.
pub mod json;
mod wire;

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use super::sketch::{Distinct, Times};
use crate::cluster::MemberId;

/// Longest report that is decoded: the default bounds of [`Keeper`](super::Keeper) come to under half of it.
pub const MOST_BYTES: usize = 1 << 20;
/// Most tiles of one set that is kept, and classes and servers that are counted: a class needs two tables of times, and
/// a longer set is all but a whole district.
pub const MOST_IN_SET: usize = 64;
pub const MOST_CLASSES: usize = 64;
pub const MOST_SERVERS: usize = 4096;
const VERSION: u32 = 1;

/// What one class came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    pub queries: u64,
    pub repeats: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Attempts by why they were sent.
    pub first: u64,
    pub again: u64,
    pub copies: u64,
    /// Parts whose work was told, and that work in microseconds.
    pub worked: u64,
    pub work_us: u64,
    /// From a part's send to its answer, and from a query's first send to its answer.
    pub took: Times,
    pub answers: Times,
}

/// Class, and district or tile.
pub type Key = (u16, u32);

/// What one class asked of one district.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Row {
    pub queries: u64,
    /// Those of them that asked for the whole district.
    pub whole: u64,
    /// Tiles that the others asked for.
    pub parts: u64,
    pub bytes: u64,
}

/// Tiles asked for together, in order and none twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SetKey {
    pub class: u16,
    pub district: u32,
    pub tiles: Rc<[u32]>,
}

/// One coordinator's window. Heavy hitters have their count and its error, as [`Heavy`](super::sketch::Heavy) states it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub member: MemberId,
    /// Number of the window: its start over its length.
    pub window: u64,
    pub window_ms: u64,
    /// Events counted so far: of two reports on one window the one that saw more holds the other.
    pub seen: u64,
    pub classes: BTreeMap<u16, Class>,
    pub rows: BTreeMap<Key, Row>,
    pub clients: BTreeMap<u32, Distinct>,
    pub tiles: BTreeMap<Key, (u64, u64)>,
    pub tiles_least: u64,
    pub sets: BTreeMap<SetKey, (u64, u64)>,
    pub sets_least: u64,
    /// Attempts sent to each server.
    pub servers: BTreeMap<u64, u64>,
}

/// Bytes that are no report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportError {
    TooLong(usize),
    /// No such message.
    Spoilt,
    Version(u32),
    /// A list with a hole, out of order or out of bounds.
    Field(&'static str),
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::TooLong(n) => write!(f, "report of demand of {n} bytes, {MOST_BYTES} at most"),
            ReportError::Spoilt => f.write_str("report of demand cannot be decoded"),
            ReportError::Version(v) => write!(f, "report of demand of version {v}, {VERSION} is known"),
            ReportError::Field(field) => write!(f, "report of demand: bad {field}"),
        }
    }
}

impl std::error::Error for ReportError {}

impl Report {
    /// Another report on the same window of the same life: whichever saw more, and of two that saw as much always the
    /// same one. So any order of coming in ends with one.
    pub fn newer_than(&self, other: &Report) -> bool {
        self.seen.cmp(&other.seen).then_with(|| self.encode().cmp(&other.encode())).is_gt()
    }
}
