//! The limits of a verdict, and what it goes by.
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use serde::Serialize;

use crate::topology_forecast::forecast::{Forecast, Seen, ServerLoad};

/// Who must be ready before T is set.
#[derive(Clone, Debug, PartialEq)]
pub enum Need {
    All,
    /// This share of the members, rounded up.
    Share(f64),
    Names(BTreeSet<Rc<str>>),
}

/// Limits of the verdict, as the settings give them.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Least share of the traffic that a demand rests on, at the low end.
    pub share_least: f64,
    /// Oldest demand, from its end to T.
    pub age_most_ms: u64,
    /// Busiest server, at the high end of its range.
    pub busy_most: f64,
    /// Most answers of a class after their aim, at the high end.
    pub late_most: f64,
    /// Attempts in all over those before.
    pub grown_most: f64,
    /// Cold servers that may fall over.
    pub falls_most: usize,
    /// What is seen may be off by so much: a server's share of attempts, and a class's late share.
    pub load_off_most: f64,
    pub late_over_most: f64,
    pub ready: Need,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            share_least: 0.9,
            age_most_ms: 3_600_000,
            busy_most: 0.8,
            late_most: 0.1,
            grown_most: 1.5,
            falls_most: 0,
            load_off_most: 0.25,
            late_over_most: 0.05,
            ready: Need::All,
        }
    }
}

/// What the verdict goes by of a forecast.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Said {
    pub share: f64,
    /// End of the demand's newest window, fleet time.
    pub newest_ms: u64,
    pub busiest: f64,
    pub late: f64,
    pub grown: f64,
    pub falls: usize,
}

impl Said {
    /// `now_ms` is the time at which the demand was taken.
    pub fn of(forecast: &Forecast, now_ms: u64) -> Said {
        let most = |all: &mut dyn Iterator<Item = f64>| all.fold(0.0, f64::max);
        let sum = |of: fn(&ServerLoad) -> f64| forecast.servers.iter().map(of).sum::<f64>();
        let before: f64 = forecast.before;
        Said {
            share: forecast.coverage.share.low * (1.0 - forecast.coverage.unplaced),
            newest_ms: now_ms.saturating_sub(forecast.coverage.age_ms),
            busiest: most(&mut forecast.servers.iter().filter_map(|s| s.busy).map(|b| b.high)),
            late: most(&mut forecast.lateness.iter().map(|l| l.late.high)),
            grown: sum(|s| s.parts_s.mid) / before.max(f64::MIN_POSITIVE),
            falls: forecast.change.cold.iter().filter(|c| c.falls()).count(),
        }
    }
}

/// Why a plan is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    Coverage,
    DemandOld,
    Busy,
    Late,
    Grown,
    ColdFall,
    BaseChanged,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Coverage => "too little of the traffic was seen",
            Why::DemandOld => "the demand is too old",
            Why::Busy => "a server would be too busy",
            Why::Late => "too many answers would be late",
            Why::Grown => "too many more attempts",
            Why::ColdFall => "cold servers might fall over",
            Why::BaseChanged => "its base has changed",
        })
    }
}

impl Rules {
    /// A number that is none is over every limit.
    pub fn verdict(&self, said: &Said, at_ms: u64) -> Result<(), Why> {
        let within = |n: f64, most: f64| n <= most;
        let held = [
            (said.share >= self.share_least, Why::Coverage),
            (at_ms.saturating_sub(said.newest_ms) <= self.age_most_ms, Why::DemandOld),
            (within(said.busiest, self.busy_most), Why::Busy),
            (within(said.late, self.late_most), Why::Late),
            (within(said.grown, self.grown_most), Why::Grown),
            (said.falls <= self.falls_most, Why::ColdFall),
        ];
        held.iter().find(|(held, _)| !held).map_or(Ok(()), |(_, why)| Err(*why))
    }

    pub fn holds(&self, seen: &Seen) -> bool {
        seen.load_off <= self.load_off_most && seen.late_over <= self.late_over_most
    }
}
