//! Estimates when a replica started, in a way that tolerates steps of any single machine's wall
//! clock.
//!
//! The endpoint list states a start as Unix time, which the local wall clock converts to an age. If
//! that clock is ahead, a replica that has just started looks warm. A start that no earlier list
//! contained is therefore dated with the local monotonic clock, as now. The first list of a process
//! has no predecessor. In it, an age counts only as far as the list itself supports it: its newest
//! start cannot be in the future.
//!
//! Invariants:
//! - whatever the local wall clock shows, no replica is considered to have started earlier than it
//!   did, provided that the replicas' clocks agree;
//! - from the second list on, this holds whatever the replicas' clocks show.

/// How long discovery may take to list a start, in seconds: everything that discovery announces is
/// assumed to arrive with this delay.
const DISCOVERY_DELAY_S: f64 = 6.0;

/// A start time as listed for the first time.
#[derive(Clone, Copy, Debug)]
pub struct ListedStart {
    /// Unix time in milliseconds, above 0.
    pub unix_ms: u64,
    /// The same time in seconds on the local monotonic clock, converted by means of the local wall
    /// clock.
    pub by_wall_clock: f64,
}

/// Estimate of a start time, in seconds on the local monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartEstimate {
    /// Latest possible start time.
    pub latest: f64,
    /// How much earlier the start may have been, in seconds; infinite if unbounded.
    pub uncertainty: f64,
}

/// What is known about the list before the current one.
#[derive(Clone, Copy, Debug)]
enum PreviousList {
    /// There is none: the current list is the first one of this process.
    Missing,
    /// The previous list came from another source, so a start that it does not contain may have
    /// happened at any time before.
    OfAnotherSource,
    /// The previous list arrived at this time.
    At(f64),
}

/// Estimates the start times of the replicas in an endpoint list, update by update.
#[derive(Debug)]
pub struct StartEstimator {
    /// Lower bound, in seconds, on how far the replicas' clocks are ahead of the local monotonic
    /// clock: the maximum difference between a listed start in Unix time and the time at which it
    /// was listed.
    offset_lower_bound: f64,
    previous: PreviousList,
}

impl Default for StartEstimator {
    fn default() -> Self {
        StartEstimator { offset_lower_bound: f64::NEG_INFINITY, previous: PreviousList::Missing }
    }
}

impl StartEstimator {
    /// Records the starts in a list that arrives at `now`; must be called before they are
    /// estimated.
    ///
    /// Starts that are in the future by the local wall clock are ignored, because either clock may
    /// be wrong.
    pub fn observe(&mut self, starts: impl Iterator<Item = ListedStart>, now: f64) {
        for start in starts.filter(|start| start.by_wall_clock <= now) {
            self.offset_lower_bound = self.offset_lower_bound.max(seconds(start.unix_ms) - now);
        }
    }

    /// Marks the list that arrived at `now` as completely estimated; it then bounds the starts in
    /// later lists.
    pub fn finish_list(&mut self, now: f64) {
        self.previous = PreviousList::At(now);
    }

    /// Records that the next list comes from another source.
    pub fn change_source(&mut self) {
        if let PreviousList::At(_) = self.previous {
            self.previous = PreviousList::OfAnotherSource;
        }
    }

    /// Estimates a start that is listed for the first time, at `now`.
    ///
    /// A start that no earlier list contained counts as now. In the first list of the process, the
    /// age is the minimum that the local wall clock and the newest start in the list allow.
    pub fn estimate(&self, start: ListedStart, now: f64) -> StartEstimate {
        let earliest = match self.previous {
            PreviousList::At(at) => at - DISCOVERY_DELAY_S,
            PreviousList::Missing | PreviousList::OfAnotherSource => f64::NEG_INFINITY,
        };
        let is_plausible = (earliest..=now).contains(&start.by_wall_clock);
        let earliest = if is_plausible { start.by_wall_clock } else { earliest };
        let latest = match self.previous {
            PreviousList::Missing if is_plausible => {
                let by_newest_start = seconds(start.unix_ms) - self.offset_lower_bound;
                start.by_wall_clock.max(by_newest_start).min(now)
            }
            _ => now,
        };
        StartEstimate { latest, uncertainty: latest - earliest }
    }
}

fn seconds(unix_ms: u64) -> f64 {
    unix_ms as f64 / 1000.0
}

/// Returns whether a listed start differs from the known one. Both are in Unix milliseconds, and 0
/// stands for a start long ago.
///
/// Their order does not matter: the replica's wall clock may have been stepped back in between.
pub fn is_restart(listed_ms: u64, known_ms: u64) -> bool {
    listed_ms > 0 && listed_ms != known_ms
}
