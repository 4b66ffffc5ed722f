//! Measured offsets between the local clock and those of other members.
//!
//! Offsets are estimated from request and response times, after Cristian, "Probabilistic clock
//! synchronization" (Distributed Computing 3, 1989).
use std::collections::BTreeMap;

use crate::cluster::{MemberId, Micros};

/// Maximum number of members with a stored sample. The largest planned cluster has a thousand members.
const MAX_SAMPLES: usize = 4096;
/// Clocks are read in whole milliseconds, so the true reading is less than this much above the value sent.
const RESOLUTION_US: i128 = 1000;

/// State of the local clock relative to the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OffsetState {
    /// Fewer than a majority of the other members have been measured.
    Unknown,
    /// No majority of the other members is certainly beyond the bound.
    WithinBound,
    /// A majority of the other members is certainly beyond the bound. The local member stops serving reads of
    /// past data and announces that.
    BeyondBound {
        /// How far the median of those members is ahead of the local clock, in milliseconds; negative if it
        /// is behind.
        ahead_ms: i64,
    },
}

/// Result of one request to another member: its wall clock minus the local monotonic clock lay between `low`
/// and `high`, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Sample {
    low: i128,
    high: i128,
    /// When the response arrived, on the local monotonic clock.
    received_at: Micros,
}

/// Offsets of other members' clocks from the local clock.
///
/// Samples are relative to the local monotonic clock, so a step of the local wall clock is detected at once,
/// even while this member is partitioned. With age, their intervals widen by the drift of both clocks. An
/// offset that is not certainly beyond the bound counts as within it.
#[derive(Clone, Debug)]
pub struct ClockOffsets {
    bound_ms: u64,
    drift: f64,
    samples: BTreeMap<MemberId, Sample>,
}

impl ClockOffsets {
    /// Creates an empty set of samples. `drift` is the maximum drift rate of one clock, as a fraction of
    /// elapsed time from 0 to 1.
    pub fn new(bound_ms: u64, drift: f64) -> ClockOffsets {
        ClockOffsets { bound_ms, drift: drift.clamp(0.0, 1.0), samples: BTreeMap::new() }
    }

    /// Records that `member` answered a request with its wall clock `remote_ms`. `sent_at` and `received_at`
    /// are on the local monotonic clock. A response that precedes its request is ignored.
    pub fn record(&mut self, member: &MemberId, sent_at: Micros, received_at: Micros, remote_ms: u64) {
        let is_full = self.samples.len() >= MAX_SAMPLES && !self.samples.contains_key(member);
        if received_at < sent_at || is_full {
            return;
        }
        let remote = i128::from(remote_ms) * 1000;
        let sample = Sample {
            low: remote - i128::from(received_at),
            high: remote + RESOLUTION_US - i128::from(sent_at),
            received_at,
        };
        self.samples.insert(member.clone(), sample);
    }

    /// Drops the samples of members for which `is_member` returns false.
    pub fn retain(&mut self, is_member: impl Fn(&MemberId) -> bool) {
        self.samples.retain(|id, _| is_member(id));
    }

    /// Returns the state of the local clock relative to `others` other members, at `now` on the monotonic
    /// clock and `unix_ms` on the wall clock.
    pub fn state(&self, now: Micros, unix_ms: u64, others: usize) -> OffsetState {
        if self.samples.len() * 2 <= others {
            return OffsetState::Unknown;
        }
        let local_offset = i128::from(unix_ms) * 1000 - i128::from(now);
        let mut beyond: Vec<i128> = self
            .samples
            .values()
            .filter_map(|sample| self.offset_beyond_bound(sample, now, local_offset))
            .collect();
        beyond.sort();
        if beyond.len() * 2 <= others {
            return OffsetState::WithinBound;
        }
        match beyond.get(beyond.len() / 2) {
            Some(median) => {
                OffsetState::BeyondBound { ahead_ms: i64::try_from(median / 1000).unwrap_or(i64::MAX) }
            }
            None => OffsetState::WithinBound,
        }
    }

    /// Returns the midpoint of the possible offsets in microseconds, if all of them are beyond the bound.
    fn offset_beyond_bound(&self, sample: &Sample, now: Micros, local_offset: i128) -> Option<i128> {
        let bound = i128::from(self.bound_ms) * 1000;
        let drifted = (now.saturating_sub(sample.received_at) as f64 * self.drift * 2.0) as i128;
        let low = sample.low - local_offset - RESOLUTION_US - drifted;
        let high = sample.high - local_offset + drifted;
        (low > bound || high < -bound).then_some((low + high) / 2)
    }
}
