//! What a group holds of one piece of work. It only grows: grants and clearings rise, values and the outcome are set once.
use bytes::Bytes;

/// The longest id of a piece of work, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Parts of one piece of work at most: far over any query's, and bounded so that a message cannot ask for more memory
/// than its own size warrants.
pub const MAX_PARTS: usize = 16_384;

/// One piece of work. What `text` and `outcome` hold is the fronts' affair.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Record {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// The client's end, Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub ends: u64,
    #[prost(bytes = "bytes", tag = "4")]
    pub text: Bytes,
    /// In the order of (step, shard).
    #[prost(message, repeated, tag = "5")]
    pub parts: Vec<Part>,
    #[prost(bytes = "bytes", optional, tag = "6")]
    pub outcome: Option<Bytes>,
    /// The outcome is that it was not finished by its end, or had to be refused.
    #[prost(bool, tag = "7")]
    pub failed: bool,
    /// Which opening this is: the opener's rank and its own count. Two openings of one id never mix.
    #[prost(uint64, tag = "8")]
    pub opened: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Part {
    #[prost(uint32, tag = "1")]
    pub step: u32,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
    /// Attempts that may have been made so far, over all owners.
    #[prost(uint32, tag = "3")]
    pub granted: u32,
    /// Attempts proved never to have run.
    #[prost(uint32, tag = "4")]
    pub cleared: u32,
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub value: Option<Bytes>,
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
    /// Whether it has an outcome.
    pub fn over(&self) -> bool {
        self.failed || self.outcome.is_some()
    }

    pub fn part(&self, step: u8, shard: u32) -> Option<&Part> {
        self.place(step, shard).ok().and_then(|at| self.parts.get(at))
    }

    /// The part, with nothing granted if it is new. None if there are too many.
    pub(super) fn part_mut(&mut self, step: u8, shard: u32) -> Option<&mut Part> {
        let at = match self.place(step, shard) {
            Ok(at) => at,
            Err(_) if self.parts.len() >= MAX_PARTS => return None,
            Err(at) => {
                self.parts.insert(at, Part { step: step.into(), shard, ..Part::default() });
                at
            }
        };
        self.parts.get_mut(at)
    }

    fn place(&self, step: u8, shard: u32) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&(u32::from(step), shard), |p| (p.step, p.shard))
    }

    /// What makes it unusable, if anything.
    pub(super) fn fault(&self) -> Option<&'static str> {
        let sorted = self.parts.windows(2).all(|w| match w {
            [a, b] => (a.step, a.shard) < (b.step, b.shard),
            _ => true,
        });
        if self.id.is_empty() || self.id.len() > MAX_ID_BYTES {
            Some("a record whose id is empty or too long")
        } else if self.parts.len() > MAX_PARTS {
            Some("a record with too many parts")
        } else if !sorted {
            Some("a record whose parts are out of order")
        } else if self.parts.iter().any(|p| p.step > 255 || p.granted > 255 || p.cleared > p.granted) {
            Some("a record with a part out of range")
        } else {
            None
        }
    }

    /// The memory that it takes, in bytes; 64 for each part's figures.
    pub(super) fn bytes(&self) -> usize {
        let values: usize = self.parts.iter().map(|p| 64 + p.value.as_ref().map_or(0, Bytes::len)).sum();
        self.id.len() + self.text.len() + self.outcome.as_ref().map_or(0, Bytes::len) + values + 256
    }
}
