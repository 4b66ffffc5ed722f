//! The replicated record of a work item. It only grows: grants and clearings rise, values and the outcome are
//! set once.
//!
//! The prost tags and types are the wire format and stay.
use bytes::Bytes;

/// The longest id of a work item, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The most parts of one work item: far over any query's, and bounded so that a message cannot ask for more
/// memory than its own size warrants.
pub const MAX_PARTS: usize = 16_384;
/// What [`Record::memory_bytes`] charges for each part beside its value.
const PART_OVERHEAD_BYTES: usize = 64;
/// What [`Record::memory_bytes`] charges for each record beside its contents.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// One work item, as its group replicates it. `payload` and `outcome` are opaque here: the executors encode
/// them.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Record {
    /// 1 to [`MAX_ID_BYTES`] bytes.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The class of the query, by its place in the settings.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// The client's deadline, Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub deadline_unix_ms: u64,
    /// What an executor needs to run it.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
    /// In the order of (step, shard), each at most once.
    #[prost(message, repeated, tag = "5")]
    pub parts: Vec<Part>,
    /// The outcome of the executor, once there is one.
    #[prost(bytes = "bytes", optional, tag = "6")]
    pub outcome: Option<Bytes>,
    /// It ended without an outcome: its deadline passed, or it had to be rejected.
    #[prost(bool, tag = "7")]
    pub failed: bool,
    /// Which opening this is, by the opener's rank and its own count. Two openings of one id never mix.
    #[prost(uint64, tag = "8")]
    pub opening_id: u64,
}

/// One part of a work item: a shard's share of one step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    /// At most 255.
    #[prost(uint32, tag = "1")]
    pub step: u32,
    /// The shard's number.
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Attempts that may have been made so far, over all owners; at most 255.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Of those, attempts proved never to have run.
    #[prost(uint32, tag = "4")]
    pub cleared: u32,
    /// The value of the part, until the outcome replaces it.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub value: Option<Bytes>,
    /// The score that came with the value.
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
    /// Whether it has ended, with an outcome or without.
    pub fn is_finished(&self) -> bool {
        self.failed || self.outcome.is_some()
    }

    /// The part of a step and shard, if it has one.
    pub fn part(&self, step: u8, shard: u32) -> Option<&Part> {
        self.position(step, shard).ok().and_then(|at| self.parts.get(at))
    }

    /// The part of a step and shard, added with nothing granted if it is new; `None` if there are too many.
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

    /// Drops the values, which nobody needs once there is an outcome.
    pub(super) fn drop_values(&mut self) {
        self.parts.iter_mut().for_each(|part| part.value = None);
    }

    fn position(&self, step: u8, shard: u32) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&(u32::from(step), shard), |part| (part.step, part.shard))
    }

    /// What makes it invalid, if anything.
    pub(super) fn validation_error(&self) -> Option<&'static str> {
        let sorted = self.parts.windows(2).all(|pair| match pair {
            [a, b] => (a.step, a.shard) < (b.step, b.shard),
            _ => true,
        });
        let in_range = |part: &Part| part.step <= 255 && part.granted <= 255 && part.cleared <= part.granted;
        if self.id.is_empty() || self.id.len() > MAX_ID_BYTES {
            Some("a record whose id is empty or too long")
        } else if self.parts.len() > MAX_PARTS {
            Some("a record with too many parts")
        } else if !sorted {
            Some("a record whose parts are out of order")
        } else if !self.parts.iter().all(in_range) {
            Some("a record with a part out of range")
        } else {
            None
        }
    }

    /// The memory that it is charged with, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let part_bytes = |part: &Part| PART_OVERHEAD_BYTES + part.value.as_ref().map_or(0, Bytes::len);
        let parts: usize = self.parts.iter().map(part_bytes).sum();
        let outcome = self.outcome.as_ref().map_or(0, Bytes::len);
        self.id.len() + self.payload.len() + outcome + parts + RECORD_OVERHEAD_BYTES
    }
}
