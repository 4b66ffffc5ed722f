//! The measured offsets of the others' clocks.
//!
//! Source: Cristian, "Probabilistic clock synchronization" (Distributed Computing 3, 1989): by request and
//! answer.
use std::collections::BTreeMap;

use crate::cluster::{MemberId, Micros};

/// The most members whose clocks are remembered; the largest cluster that is planned for has a thousand.
const MAX_SAMPLES: usize = 4096;
/// Clocks are read in whole milliseconds: the true reading is less than this above the one that was sent.
const RESOLUTION_US: i128 = 1000;

/// What a member knows of its own clock's offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OffsetState {
    /// No majority of the others was measured yet.
    Unknown,
    /// No majority of the others is certainly beyond the bound.
    WithinBound,
    /// A majority of the others is: this member stops serving reads of the past, and announces that.
    BeyondBound {
        /// How far the median of those members is ahead of the local clock, in ms; negative if it is behind.
        ahead_ms: i64,
    },
}

/// One exchange with another member: its wall clock minus our monotonic clock, in microseconds, was between
/// the two.
#[derive(Clone, Copy, Debug)]
struct Sample {
    low: i128,
    high: i128,
    /// When the answer came, on the local monotonic clock.
    received_at: Micros,
}

/// The offsets of the others' clocks from the local one.
///
/// Samples are relative to the local monotonic clock, so that a step of the local wall clock shows at once,
/// also while this member is cut off; with age they widen by the drift of both clocks. An offset that is not
/// certainly beyond the bound counts as within it.
#[derive(Clone, Debug)]
pub struct ClockOffsets {
    bound_ms: u64,
    drift: f64,
    samples: BTreeMap<MemberId, Sample>,
}

impl ClockOffsets {
    /// No samples. `drift` is the rate at which one clock may drift, as a share of the time that passes, from
    /// 0 to 1.
    pub fn new(bound_ms: u64, drift: f64) -> ClockOffsets {
        ClockOffsets { bound_ms, drift: drift.clamp(0.0, 1.0), samples: BTreeMap::new() }
    }

    /// `member` answered a request with its wall clock `theirs_ms`. `sent_at` and `received_at` are on the
    /// local monotonic clock; an answer that came before its request is ignored.
    pub fn record(&mut self, member: &MemberId, sent_at: Micros, received_at: Micros, theirs_ms: u64) {
        let is_full = self.samples.len() >= MAX_SAMPLES && !self.samples.contains_key(member);
        if received_at < sent_at || is_full {
            return;
        }
        let theirs = i128::from(theirs_ms) * 1000;
        let sample = Sample {
            low: theirs - i128::from(received_at),
            high: theirs + RESOLUTION_US - i128::from(sent_at),
            received_at,
        };
        self.samples.insert(member.clone(), sample);
    }

    /// Drops the samples of those that are members no longer.
    pub fn retain(&mut self, is_member: impl Fn(&MemberId) -> bool) {
        self.samples.retain(|id, _| is_member(id));
    }

    /// The state of the local clock against `others` other members, at `now` on the monotonic clock and
    /// `unix_ms` on the wall clock.
    pub fn state(&self, now: Micros, unix_ms: u64, others: usize) -> OffsetState {
        if self.samples.len() * 2 <= others {
            return OffsetState::Unknown;
        }
        let ours = i128::from(unix_ms) * 1000 - i128::from(now);
        let mut beyond: Vec<i128> =
            self.samples.values().filter_map(|sample| self.offset_beyond_bound(sample, now, ours)).collect();
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

    /// The middle of the possible offsets in microseconds, where all of them are beyond the bound.
    fn offset_beyond_bound(&self, sample: &Sample, now: Micros, ours: i128) -> Option<i128> {
        let bound = i128::from(self.bound_ms) * 1000;
        let drifted = (now.saturating_sub(sample.received_at) as f64 * self.drift * 2.0) as i128;
        let low = sample.low - ours - RESOLUTION_US - drifted;
        let high = sample.high - ours + drifted;
        (low > bound || high < -bound).then_some((low + high) / 2)
    }
}
