//! The report of one coordinator on the demand in one window. All its tables are bounded, and so is its size.
//!
//! This module defines the counts and their wire form, but does not interpret them.
pub mod json;
mod wire;

use std::collections::BTreeMap;
use std::rc::Rc;

use super::sketch::{DistinctCounter, TimeHistogram};
use crate::cluster::MemberId;

/// The longest report that is decoded, in bytes. A report within the default bounds of
/// [`DemandRecorder`](super::DemandRecorder) has less than half of it.
pub const MAX_BYTES: usize = 1 << 20;
/// The most tiles of a set that is counted as a set; a larger one is nearly a whole district.
pub const MAX_TILES_IN_SET: usize = 64;
/// The most classes that are counted, as each needs two histograms.
pub const MAX_CLASSES: usize = 64;
/// The most servers that are counted.
pub const MAX_SERVERS: usize = 4096;
/// The version of the wire form that is written and read.
const VERSION: u32 = 1;

/// The counts of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassCounts {
    /// Queries, without repeats.
    pub queries: u64,
    /// Arrivals of queries that had arrived before.
    pub repeats: u64,
    /// Bytes of the queries.
    pub bytes_in: u64,
    /// Bytes of the answers.
    pub bytes_out: u64,
    /// First attempts of parts.
    pub first_attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Hedged requests.
    pub hedges: u64,
    /// Parts whose server reported its own work on them.
    pub parts_with_work: u64,
    /// The sum of that work, in microseconds.
    pub work_us: u64,
    /// The times from sending a part to its answer.
    pub part_latency: TimeHistogram,
    /// The times from first sending a query to its answer.
    pub query_latency: TimeHistogram,
}

/// A class, and a district or tile.
pub type Key = (u16, u32);

/// The demand of one class on one district.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Queries for the district.
    pub queries: u64,
    /// Those of them that requested the whole district.
    pub whole_district: u64,
    /// The sum of the tiles that the other queries requested.
    pub parts: u64,
    /// Bytes of the queries.
    pub bytes: u64,
}

/// A set of tiles that queries request together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SetKey {
    /// The query's class.
    pub class: u16,
    /// The query's district.
    pub district: u32,
    /// The tiles, sorted and without duplicates.
    pub tiles: Rc<[u32]>,
}

/// The report of one coordinator on one window. Heavy hitters are given by their count and its error, as
/// defined by [`HeavyHitters`](super::sketch::HeavyHitters).
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The coordinator, by name and incarnation.
    pub member: MemberId,
    /// The number of the window: its start time divided by its length.
    pub window: u64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
    /// The number of events counted so far. Of two reports on the same window, the one with more events
    /// includes the other.
    pub events: u64,
    /// Counts by class.
    pub classes: BTreeMap<u16, ClassCounts>,
    /// Counts by class and district.
    pub rows: BTreeMap<Key, Row>,
    /// Distinct clients by district.
    pub clients: BTreeMap<u32, DistinctCounter>,
    /// Heavy hitters among the tiles, by class.
    pub tiles: BTreeMap<Key, (u64, u64)>,
    /// The largest number of times that a tile that is not among them may have been requested.
    pub untracked_tile_bound: u64,
    /// Heavy hitters among the sets of tiles.
    pub sets: BTreeMap<SetKey, (u64, u64)>,
    /// The largest number of times that a set that is not among them may have been requested.
    pub untracked_set_bound: u64,
    /// Attempts sent to each server.
    pub servers: BTreeMap<u64, u64>,
}

/// Why bytes cannot be decoded as a report.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// They are longer than [`MAX_BYTES`]; with their length.
    #[error("demand report has {0} bytes, at most {MAX_BYTES} are allowed")]
    TooLong(usize),
    /// They are not a Protocol Buffers message of this type.
    #[error("demand report cannot be decoded")]
    Malformed,
    /// The version of the wire form is not supported.
    #[error("demand report has version {0}, only {VERSION} is supported")]
    Version(u32),
    /// A field is incomplete, out of order or out of bounds.
    #[error("demand report has invalid {0}")]
    Field(&'static str),
}

impl Report {
    /// Returns whether this report replaces another one of the same incarnation on the same window. The
    /// report with more events is newer; ties are broken by the encoded bytes. The result therefore does not
    /// depend on the order of arrival.
    pub fn newer_than(&self, other: &Report) -> bool {
        self.events.cmp(&other.events).then_with(|| self.encode().cmp(&other.encode())).is_gt()
    }
}
