//! The cluster's time: hybrid logical clocks with a bound on their offset, and the measured offsets.
//!
//! Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014). A timestamp is
//! the largest wall time that was seen and a counter within it: it is greater than that of any event that it
//! was caused by, and stays within the bound of the wall clock.
//!
//! It never reads a clock: wall time and monotonic time come in with each call.
//!
//! Invariants: a [`HybridClock`] issues each timestamp once and always a later one; it never runs ahead of
//! its own wall clock by more than the bound, since a timestamp that is further ahead is rejected. No rule of
//! safety depends on the bound: it keeps one member's clock from carrying away those of all others.
#![warn(missing_docs)]

mod offsets;

use std::fmt;

pub use self::offsets::{ClockOffsets, OffsetState};

/// How far two members' clocks may be apart, in ms, unless the settings say otherwise. NTP within one site
/// keeps clocks within some ms; a quarter of a second is far outside that and small against the life of a
/// layout.
pub const DEFAULT_MAX_OFFSET_MS: u64 = 250;

/// A point in the cluster's time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HybridTimestamp {
    /// Milliseconds since 1970.
    pub ms: u64,
    /// Orders what happens within one millisecond.
    pub logical: u32,
}

impl HybridTimestamp {
    /// The first timestamp.
    pub const ZERO: HybridTimestamp = HybridTimestamp { ms: 0, logical: 0 };
    /// The last timestamp.
    pub const MAX: HybridTimestamp = HybridTimestamp { ms: u64::MAX, logical: u32::MAX };

    /// A timestamp of its two parts.
    pub fn new(ms: u64, logical: u32) -> HybridTimestamp {
        HybridTimestamp { ms, logical }
    }

    /// The first timestamp of a millisecond.
    pub fn from_ms(ms: u64) -> HybridTimestamp {
        HybridTimestamp { ms, logical: 0 }
    }

    /// The next timestamp; [`HybridTimestamp::MAX`] for the last one.
    pub fn next(self) -> HybridTimestamp {
        match (self.logical.checked_add(1), self.ms.checked_add(1)) {
            (Some(logical), _) => HybridTimestamp { ms: self.ms, logical },
            (None, Some(ms)) => HybridTimestamp::from_ms(ms),
            (None, None) => HybridTimestamp::MAX,
        }
    }

    /// The timestamp before; [`HybridTimestamp::ZERO`] for the first one.
    pub fn prev(self) -> HybridTimestamp {
        match (self.logical.checked_sub(1), self.ms.checked_sub(1)) {
            (Some(logical), _) => HybridTimestamp { ms: self.ms, logical },
            (None, Some(ms)) => HybridTimestamp { ms, logical: u32::MAX },
            (None, None) => HybridTimestamp::ZERO,
        }
    }

    /// `ms` milliseconds earlier, with the counter at 0.
    pub fn saturating_sub_ms(self, ms: u64) -> HybridTimestamp {
        HybridTimestamp::from_ms(self.ms.saturating_sub(ms))
    }

    /// `ms` milliseconds later, with the same counter.
    pub fn saturating_add_ms(self, ms: u64) -> HybridTimestamp {
        HybridTimestamp { ms: self.ms.saturating_add(ms), logical: self.logical }
    }
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.logical)
    }
}

/// A timestamp that runs ahead of the local wall clock by more than the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("time is {ahead_ms} ms ahead of ours, more than the bound of {bound_ms} ms")]
pub struct ClockSkewExceeded {
    /// How far it is ahead, in ms.
    pub ahead_ms: u64,
    /// The bound, in ms.
    pub bound_ms: u64,
}

/// A member's hybrid logical clock. Wall time comes in with each call and may step either way.
#[derive(Clone, Debug)]
pub struct HybridClock {
    bound_ms: u64,
    last: HybridTimestamp,
}

impl HybridClock {
    /// A clock that rejects timestamps more than `bound_ms` ahead of the local wall clock.
    pub fn new(bound_ms: u64) -> HybridClock {
        HybridClock { bound_ms, last: HybridTimestamp::ZERO }
    }

    /// Issues a timestamp that is later than all that were issued or observed. `unix_ms` is the wall clock.
    pub fn now(&mut self, unix_ms: u64) -> HybridTimestamp {
        self.last = self.last.next().max(HybridTimestamp::from_ms(unix_ms));
        self.last
    }

    /// A lower bound of what [`HybridClock::now`] would issue; issues nothing.
    pub fn read(&self, unix_ms: u64) -> HybridTimestamp {
        self.last.max(HybridTimestamp::from_ms(unix_ms))
    }

    /// Takes over a timestamp that came with a message, and issues a later one.
    ///
    /// # Errors
    /// [`ClockSkewExceeded`] for a timestamp beyond the bound, whose message is to be rejected too. The clock
    /// has not changed.
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
