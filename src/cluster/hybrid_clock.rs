//! Cluster time: hybrid logical clocks with a bound on clock skew, and measured clock offsets between
//! members.
//!
//! Follows Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014). A timestamp
//! consists of the largest wall time observed so far and a counter within that millisecond. It is greater
//! than the timestamp of every event that causally precedes it, and stays within the bound of the wall clock.
//!
//! This module never reads a clock: the caller passes wall time and monotonic time with each call.
//!
//! Invariants: a [`HybridClock`] issues strictly increasing timestamps, and never runs ahead of its own wall
//! clock by more than the bound, because it rejects timestamps that are further ahead. Safety does not depend
//! on the bound: the bound only prevents one member's clock from dragging all others forward.
#![warn(missing_docs)]

mod offsets;

use std::fmt;

pub use self::offsets::{ClockOffsets, OffsetState};

/// Default bound on the offset between two members' clocks, in milliseconds. NTP within one site keeps clocks
/// within a few milliseconds; 250 ms is far above that and small compared to the lifetime of a shard layout.
pub const DEFAULT_MAX_OFFSET_MS: u64 = 250;

/// A point in cluster time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub ms: u64,
    /// Orders events within one millisecond.
    pub logical: u32,
}

impl HybridTimestamp {
    /// The smallest timestamp.
    pub const ZERO: HybridTimestamp = HybridTimestamp { ms: 0, logical: 0 };
    /// The largest timestamp.
    pub const MAX: HybridTimestamp = HybridTimestamp { ms: u64::MAX, logical: u32::MAX };

    /// Creates a timestamp from milliseconds and a counter.
    pub fn new(ms: u64, logical: u32) -> HybridTimestamp {
        HybridTimestamp { ms, logical }
    }

    /// Returns the first timestamp of the millisecond `ms`.
    pub fn from_ms(ms: u64) -> HybridTimestamp {
        HybridTimestamp { ms, logical: 0 }
    }

    /// Returns the next timestamp, or [`HybridTimestamp::MAX`] if there is none.
    pub fn next(self) -> HybridTimestamp {
        match (self.logical.checked_add(1), self.ms.checked_add(1)) {
            (Some(logical), _) => HybridTimestamp { ms: self.ms, logical },
            (None, Some(ms)) => HybridTimestamp::from_ms(ms),
            (None, None) => HybridTimestamp::MAX,
        }
    }

    /// Returns the previous timestamp, or [`HybridTimestamp::ZERO`] if there is none.
    pub fn prev(self) -> HybridTimestamp {
        match (self.logical.checked_sub(1), self.ms.checked_sub(1)) {
            (Some(logical), _) => HybridTimestamp { ms: self.ms, logical },
            (None, Some(ms)) => HybridTimestamp { ms, logical: u32::MAX },
            (None, None) => HybridTimestamp::ZERO,
        }
    }

    /// Returns the first timestamp of the millisecond that is `ms` milliseconds earlier, saturating at zero.
    pub fn saturating_sub_ms(self, ms: u64) -> HybridTimestamp {
        HybridTimestamp::from_ms(self.ms.saturating_sub(ms))
    }

    /// Returns the timestamp `ms` milliseconds later with the same counter, saturating at the maximum.
    pub fn saturating_add_ms(self, ms: u64) -> HybridTimestamp {
        HybridTimestamp { ms: self.ms.saturating_add(ms), logical: self.logical }
    }
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.logical)
    }
}

/// Error for a timestamp that is ahead of the local wall clock by more than the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("timestamp is {ahead_ms} ms ahead of the local clock, more than the bound of {bound_ms} ms")]
pub struct ClockSkewExceeded {
    /// How far the timestamp is ahead, in milliseconds.
    pub ahead_ms: u64,
    /// The bound, in milliseconds.
    pub bound_ms: u64,
}

/// A member's hybrid logical clock. The wall time passed to each call may step forwards or backwards.
#[derive(Clone, Debug)]
pub struct HybridClock {
    bound_ms: u64,
    last: HybridTimestamp,
}

impl HybridClock {
    /// Creates a clock that rejects timestamps more than `bound_ms` ahead of the local wall clock.
    pub fn new(bound_ms: u64) -> HybridClock {
        HybridClock { bound_ms, last: HybridTimestamp::ZERO }
    }

    /// Issues a timestamp that is later than all that were issued or observed before. `unix_ms` is the
    /// current wall time.
    pub fn now(&mut self, unix_ms: u64) -> HybridTimestamp {
        self.last = self.last.next().max(HybridTimestamp::from_ms(unix_ms));
        self.last
    }

    /// Returns a lower bound of what [`HybridClock::now`] would issue, without issuing a timestamp.
    pub fn read(&self, unix_ms: u64) -> HybridTimestamp {
        self.last.max(HybridTimestamp::from_ms(unix_ms))
    }

    /// Advances the clock past a timestamp received with a message, and issues a later one.
    ///
    /// # Errors
    /// Returns [`ClockSkewExceeded`] if `remote` is beyond the bound; the caller must then reject the message
    /// too. The clock is unchanged in that case.
    pub fn observe(
        &mut self,
        unix_ms: u64,
        remote: HybridTimestamp,
    ) -> Result<HybridTimestamp, ClockSkewExceeded> {
        let ahead_ms = remote.ms.saturating_sub(unix_ms);
        if ahead_ms > self.bound_ms {
            return Err(ClockSkewExceeded { ahead_ms, bound_ms: self.bound_ms });
        }
        self.last = self.last.max(remote);
        Ok(self.now(unix_ms))
    }
}
