//! When a replica started, although any one machine's wall clock may have been stepped.
//!
//! The endpoint list gives a start as a Unix time, which our own wall clock turns into an age. A clock that is
//! ahead would make a replica that has just started look warm. A start that no earlier list contained is
//! therefore dated by our monotonic clock, as now. The first list of a process has none before it: there an
//! age counts only as far as the list itself bears it out, whose newest start can't lie in the future.
//!
//! Invariants:
//! - whatever our wall clock says, no replica is taken to have started before it did, as long as the clocks of
//!   the replicas agree;
//! - from the second list on, the same holds whatever their clocks say.

/// How long a start may remain unlisted, in seconds: whatever discovery has to announce counts as notified
/// that much later.
const DISCOVERY_DELAY_S: f64 = 6.0;

/// A start as a list gives it, when it is listed for the first time.
#[derive(Clone, Copy, Debug)]
pub struct ListedStart {
    /// Unix time in milliseconds, above 0.
    pub unix_ms: u64,
    /// The same in seconds of our own monotonic clock, converted by our wall clock.
    pub by_wall_clock: f64,
}

/// What is known of a start, in seconds of our own monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartEstimate {
    /// The latest that it may have been.
    pub latest: f64,
    /// How much earlier it may have been: infinity if nothing bounds it.
    pub uncertainty: f64,
}

/// The list before the present one.
#[derive(Clone, Copy, Debug)]
enum PreviousList {
    /// The present one is the first of this process.
    Missing,
    /// It was of another source: when a start would have been in it, nobody knows.
    OfAnotherSource,
    /// It arrived at this time.
    At(f64),
}

/// Estimates the starts of the replicas of an endpoint list, update by update.
#[derive(Debug)]
pub struct StartEstimator {
    /// The largest difference of a listed start, as Unix time, and the time at which it was listed, in
    /// seconds: the replicas' clocks were ahead of our monotonic clock by no less.
    least_offset: f64,
    previous: PreviousList,
}

impl Default for StartEstimator {
    fn default() -> Self {
        StartEstimator { least_offset: f64::NEG_INFINITY, previous: PreviousList::Missing }
    }
}

impl StartEstimator {
    /// A list arrives at `now` with these starts, which are estimated next.
    ///
    /// Starts that lie in the future by our wall clock are left out: either clock may be wrong.
    pub fn observe(&mut self, starts: impl Iterator<Item = ListedStart>, now: f64) {
        for start in starts.filter(|start| start.by_wall_clock <= now) {
            self.least_offset = self.least_offset.max(seconds(start.unix_ms) - now);
        }
    }

    /// All of a list that arrived at `now` has been estimated: it bounds the starts of later ones.
    pub fn finish_list(&mut self, now: f64) {
        self.previous = PreviousList::At(now);
    }

    /// The next list is of another source.
    pub fn change_source(&mut self) {
        if let PreviousList::At(_) = self.previous {
            self.previous = PreviousList::OfAnotherSource;
        }
    }

    /// The estimate of a start that is listed for the first time, at `now`.
    ///
    /// One that no earlier list contained counts from now on. In the first list of the process, its age is the
    /// least that our wall clock and the newest start of the list allow.
    pub fn estimate(&self, start: ListedStart, now: f64) -> StartEstimate {
        let earliest = match self.previous {
            PreviousList::At(at) => at - DISCOVERY_DELAY_S,
            PreviousList::Missing | PreviousList::OfAnotherSource => f64::NEG_INFINITY,
        };
        let is_plausible = (earliest..=now).contains(&start.by_wall_clock);
        let earliest = if is_plausible { start.by_wall_clock } else { earliest };
        let latest = match self.previous {
            PreviousList::Missing if is_plausible => {
                let by_newest_start = seconds(start.unix_ms) - self.least_offset;
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

/// Whether a listed start differs from the known one, both in Unix milliseconds; 0 stands for a start long
/// ago.
///
/// Their order does not matter: the replica's wall clock may have been stepped back in between.
pub fn is_restart(listed_ms: u64, known_ms: u64) -> bool {
    listed_ms > 0 && listed_ms != known_ms
}
