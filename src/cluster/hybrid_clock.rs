//! The fleet's time: hybrid logical clocks with a stated bound on their offset.
//!
//! Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014). A stamp is the largest
//! wall time that was seen and a counter within it: it orders what one caused in the other, and stays within the bound
//! of the wall clock.
//!
//! Invariants: a [`Clock`] gives each stamp once and always a later one; it never runs ahead of its own wall clock by
//! more than the bound, since what is further ahead is refused and not taken over. No rule of safety rests on the
//! bound: it keeps one member's clock from carrying all the others' away.
use std::collections::BTreeMap;
use std::fmt;

use super::{MemberId, Micros};

/// How far two members' clocks may be apart, in ms, unless the settings say otherwise. NTP within one site keeps
/// clocks within some ms; a quarter of a second is far outside that and small against a layout's life.
pub const DEFAULT_MAX_OFFSET_MS: u64 = 250;

/// Members whose clocks are remembered at most; the largest fleet that is planned for has a thousand.
const MOST_MEMBERS: usize = 4096;

/// A point in the fleet's time: Unix ms, and a counter for what happens within one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HybridTimestamp {
    pub ms: u64,
    pub logical: u32,
}

impl HybridTimestamp {
    pub const ZERO: HybridTimestamp = HybridTimestamp { ms: 0, logical: 0 };
    pub const MAX: HybridTimestamp = HybridTimestamp { ms: u64::MAX, logical: u32::MAX };

    pub fn new(ms: u64, logical: u32) -> HybridTimestamp {
        HybridTimestamp { ms, logical }
    }

    /// The first point of a millisecond.
    pub fn from_ms(ms: u64) -> HybridTimestamp {
        HybridTimestamp { ms, logical: 0 }
    }

    /// The next point; the last one has none and stays.
    pub fn next(self) -> HybridTimestamp {
        match (self.logical.checked_add(1), self.ms.checked_add(1)) {
            (Some(logical), _) => HybridTimestamp { ms: self.ms, logical },
            (None, Some(ms)) => HybridTimestamp::from_ms(ms),
            (None, None) => HybridTimestamp::MAX,
        }
    }

    /// The point before; the first one has none and stays.
    pub fn prev(self) -> HybridTimestamp {
        match (self.logical.checked_sub(1), self.ms.checked_sub(1)) {
            (Some(logical), _) => HybridTimestamp { ms: self.ms, logical },
            (None, Some(ms)) => HybridTimestamp { ms, logical: u32::MAX },
            (None, None) => HybridTimestamp::ZERO,
        }
    }

    /// So many ms earlier, at the first point of that millisecond.
    pub fn saturating_sub_ms(self, ms: u64) -> HybridTimestamp {
        HybridTimestamp::from_ms(self.ms.saturating_sub(ms))
    }

    /// So many ms later.
    pub fn saturating_add_ms(self, ms: u64) -> HybridTimestamp {
        HybridTimestamp { ms: self.ms.saturating_add(ms), logical: self.logical }
    }
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.logical)
    }
}

/// A stamp that runs ahead of this member's wall clock by more than the bound; it was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSkewExceeded {
    pub ahead_ms: u64,
    pub bound_ms: u64,
}

impl fmt::Display for ClockSkewExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "time is {} ms ahead of ours, more than the bound of {} ms", self.ahead_ms, self.bound_ms)
    }
}

impl std::error::Error for ClockSkewExceeded {}

/// A member's hybrid logical clock. Wall time comes in with each call and may step either way.
#[derive(Clone, Debug)]
pub struct HybridClock {
    bound_ms: u64,
    last: HybridTimestamp,
}

impl HybridClock {
    pub fn new(bound_ms: u64) -> HybridClock {
        HybridClock { bound_ms, last: HybridTimestamp::ZERO }
    }

    /// A new stamp, later than all that were given or taken over.
    pub fn now(&mut self, unix_ms: u64) -> HybridTimestamp {
        self.last = self.last.next().max(HybridTimestamp::from_ms(unix_ms));
        self.last
    }

    /// What [`Clock::now`] would not fall below; stamps nothing.
    pub fn read(&self, unix_ms: u64) -> HybridTimestamp {
        self.last.max(HybridTimestamp::from_ms(unix_ms))
    }

    /// A stamp came in. One beyond the bound is refused, and its message with it.
    pub fn observe(
        &mut self,
        unix_ms: u64,
        theirs: HybridTimestamp,
    ) -> Result<HybridTimestamp, ClockSkewExceeded> {
        let ahead_ms = theirs.ms.saturating_sub(unix_ms);
        if ahead_ms > self.bound_ms {
            return Err(ClockSkewExceeded { ahead_ms, bound_ms: self.bound_ms });
        }
        self.last = self.last.max(theirs);
        Ok(self.now(unix_ms))
    }
}

/// What a member knows of its own clock's offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OffsetState {
    /// No majority of the others was measured yet.
    Unknown,
    /// No majority of the others is certainly beyond the bound.
    WithinBound,
    /// A majority of the others is: this member withdraws from reads in the past, and says so. How far the middle
    /// one of them is ahead of us, in ms.
    Beyond { ahead_ms: i64 },
}

/// One exchange with another member: its wall clock less our monotonic one lies between the two.
#[derive(Clone, Copy, Debug)]
struct Sample {
    low: i128,
    high: i128,
    at: Micros,
}

/// The offsets of the others' clocks from ours, by request and answer (Cristian, "Probabilistic clock synchronization", 1989).
///
/// Samples are kept against our monotonic clock, so that a step of our own wall clock shows at once, also while we
/// are cut off; with age they widen by the drift of both. What is not certainly beyond counts as within.
#[derive(Clone, Debug)]
pub struct ClockOffsets {
    bound_ms: u64,
    drift: f64,
    samples: BTreeMap<MemberId, Sample>,
}

impl ClockOffsets {
    /// `drift` is that of one clock, as a share of the time that passes.
    pub fn new(bound_ms: u64, drift: f64) -> ClockOffsets {
        ClockOffsets { bound_ms, drift: drift.clamp(0.0, 1.0), samples: BTreeMap::new() }
    }

    /// `member` said `theirs_ms` in answer to what we sent at `sent`; the answer came at `got`. An answer from before
    /// its question is none.
    pub fn record(&mut self, member: &MemberId, sent: Micros, got: Micros, theirs_ms: u64) {
        let full = self.samples.len() >= MOST_MEMBERS && !self.samples.contains_key(member);
        if got < sent || full {
            return;
        }
        // Told in whole ms: up to one more may have passed there.
        let theirs = i128::from(theirs_ms) * 1000;
        let sample =
            Sample { low: theirs - i128::from(got), high: theirs + 1000 - i128::from(sent), at: got };
        self.samples.insert(member.clone(), sample);
    }

    /// Forget the members that no longer count.
    pub fn retain(&mut self, counts: impl Fn(&MemberId) -> bool) {
        self.samples.retain(|member, _| counts(member));
    }

    /// Our standing against `others` further members that count.
    pub fn state(&self, now: Micros, unix_ms: u64, others: usize) -> OffsetState {
        if self.samples.len() * 2 <= others {
            return OffsetState::Unknown;
        }
        let bound = i128::from(self.bound_ms) * 1000;
        let ours = i128::from(unix_ms) * 1000 - i128::from(now);
        let mut beyond: Vec<i128> = Vec::new();
        for sample in self.samples.values() {
            let wider = (now.saturating_sub(sample.at) as f64 * self.drift * 2.0) as i128;
            // We read whole ms too.
            let (low, high) = (sample.low - ours - 1000 - wider, sample.high - ours + wider);
            if low > bound || high < -bound {
                beyond.push((low + high) / 2);
            }
        }
        beyond.sort();
        match beyond.get(beyond.len() / 2).filter(|_| beyond.len() * 2 > others) {
            Some(middle) => {
                OffsetState::Beyond { ahead_ms: i64::try_from(middle / 1000).unwrap_or(i64::MAX) }
            }
            None => OffsetState::WithinBound,
        }
    }
}
