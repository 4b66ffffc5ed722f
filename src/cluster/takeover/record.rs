//! The replicated record of a work item. Records only grow: `granted` and `cleared` only increase, and each
//! value and the outcome are set once.
//!
//! The prost tags and types are the wire format and must not change.
use bytes::Bytes;

/// Maximum length of a work item's id, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Maximum number of parts of a work item. Far above what any query needs; the bound prevents a message from
/// claiming more memory than its own size justifies.
pub const MAX_PARTS: usize = 16_384;
/// Memory charged by [`Record::memory_bytes`] for each part in addition to its value.
const PART_OVERHEAD_BYTES: usize = 64;
/// Memory charged by [`Record::memory_bytes`] for each record in addition to its contents.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// A work item as replicated by its group. `payload` and `outcome` are encoded by the executors and opaque
/// here.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Record {
    /// The id, 1 to [`MAX_ID_BYTES`] bytes.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The class of the query, as its index in the settings.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// The client's deadline, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub deadline_unix_ms: u64,
    /// The executor's input.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
    /// The parts, sorted by (step, shard) and unique.
    #[prost(message, repeated, tag = "5")]
    pub parts: Vec<Part>,
    /// The executor's outcome, once there is one.
    #[prost(bytes = "bytes", optional, tag = "6")]
    pub outcome: Option<Bytes>,
    /// Whether the work item ended without an outcome, because its deadline passed or it was rejected.
    #[prost(bool, tag = "7")]
    pub failed: bool,
    /// Identifies the opening, by the opener's rank and a counter of its own. Records of two openings of one
    /// id are never mixed.
    #[prost(uint64, tag = "8")]
    pub opening_id: u64,
}

/// One part of a work item: one shard in one step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// The step, at most 255.
    #[prost(uint32, tag = "1")]
    pub step: u32,
    /// The shard number.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Number of attempts that may have been made so far, over all owners; at most 255.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Number of those attempts that are known never to have run.
    #[prost(uint32, tag = "4")]
    pub cleared: u32,
    /// The value of the part; dropped once there is an outcome.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub value: Option<Bytes>,
    /// The score returned with the value.
    #[prost(double, tag = "6")]
    pub score: f64,
}

impl Eq for Part {}

impl std::hash::Hash for Part {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (self.step, self.shard, self.granted, self.cleared, &self.value).hash(state);
        self.score.to_bits().hash(state);
    }
}

impl Record {
    /// Returns whether the work item has ended, with or without an outcome.
    pub fn is_finished(&self) -> bool {
        self.failed || self.outcome.is_some()
    }

    /// Returns the part for `step` and `shard`, if there is one.
    pub fn part(&self, step: u8, shard: u32) -> Option<&Part> {
        self.position(step, shard).ok().and_then(|at| self.parts.get(at))
    }

    /// Returns the part for `step` and `shard`, inserting one without grants if it is missing; `None` if
    /// there are already [`MAX_PARTS`].
    pub(super) fn part_or_insert(&mut self, step: u8, shard: u32) -> Option<&mut Part> {
        let at = match self.position(step, shard) {
            Ok(at) => at,
            Err(_) if self.parts.len() >= MAX_PARTS => return None,
            Err(at) => {
                self.parts.insert(at, Part { step: step.into(), shard, ..Part::default() });
                at
            }
        };
        self.parts.get_mut(at)
    }

    /// Drops the part values, which are not needed once there is an outcome.
    pub(super) fn drop_values(&mut self) {
        self.parts.iter_mut().for_each(|part| part.value = None);
    }

    fn position(&self, step: u8, shard: u32) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&(u32::from(step), shard), |part| (part.step, part.shard))
    }

    /// Returns why the record is invalid, or `None` if it is valid.
    pub(super) fn validation_error(&self) -> Option<&'static str> {
        let sorted = self.parts.windows(2).all(|pair| match pair {
            [a, b] => (a.step, a.shard) < (b.step, b.shard),
            _ => true,
        });
        let in_range = |part: &Part| part.step <= 255 && part.granted <= 255 && part.cleared <= part.granted;
        if self.id.is_empty() || self.id.len() > MAX_ID_BYTES {
            Some("record id is empty or too long")
        } else if self.parts.len() > MAX_PARTS {
            Some("record has too many parts")
        } else if !sorted {
            Some("record parts are not sorted or not unique")
        } else if !self.parts.iter().all(in_range) {
            Some("record has a part with a value out of range")
        } else {
            None
        }
    }

    /// Returns the memory charged for the record, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let part_bytes = |part: &Part| PART_OVERHEAD_BYTES + part.value.as_ref().map_or(0, Bytes::len);
        let parts: usize = self.parts.iter().map(part_bytes).sum();
        let outcome = self.outcome.as_ref().map_or(0, Bytes::len);
        self.id.len() + self.payload.len() + outcome + parts + RECORD_OVERHEAD_BYTES
    }
}
