//! The verdict on a plan: the limits, and the figures of a forecast that are compared with them.
use std::collections::BTreeSet;
use std::rc::Rc;

use serde::Serialize;

use crate::topology_forecast::forecast::{Forecast, Observation, ServerLoad};

/// The members that must have loaded a topology before it is adopted.
#[derive(Clone, Debug, PartialEq)]
pub enum Readiness {
    /// All members.
    All,
    /// This share of the members, rounded up.
    Share(f64),
    /// These members, by name.
    Names(BTreeSet<Rc<str>>),
}

/// The limits of the verdict, as set in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictLimits {
    /// The least share of the traffic that the demand must cover, at the low end of its range.
    pub min_share: f64,
    /// The greatest time from the end of the demand's newest window to the adoption, in milliseconds.
    pub max_age_ms: u64,
    /// The greatest utilization of a server, at the high end of its range.
    pub max_utilization: f64,
    /// The greatest share of a class's answers that miss the latency objective, at the high end of its range.
    pub max_late: f64,
    /// The greatest ratio of the attempts on all servers to those on the base.
    pub max_growth: f64,
    /// The greatest number of cold servers that may be overloaded according to the forecast.
    pub max_overloads: usize,
    /// The greatest deviation of a server's observed share of attempts from the forecast share, relative to
    /// the forecast share.
    pub max_load_error: f64,
    /// The greatest excess of a class's observed share of late answers over the high end of the forecast
    /// share.
    pub max_late_excess: f64,
    /// The members that must have loaded the topology.
    pub ready: Readiness,
}

impl Default for VerdictLimits {
    fn default() -> Self {
        VerdictLimits {
            min_share: 0.9,
            max_age_ms: 3_600_000,
            max_utilization: 0.8,
            max_late: 0.1,
            max_growth: 1.5,
            max_overloads: 0,
            max_load_error: 0.25,
            max_late_excess: 0.05,
            ready: Readiness::All,
        }
    }
}

/// The figures of a forecast on which the verdict is based.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForecastSummary {
    /// The share of the traffic that the demand covers, at the low end of its range.
    pub share: f64,
    /// The end of the demand's newest window, as cluster time in Unix milliseconds.
    pub newest_ms: u64,
    /// The utilization of the busiest server, at the high end of its range.
    #[serde(rename = "busiest")]
    pub max_utilization: f64,
    /// The greatest share of late answers of any class, at the high end of its range.
    #[serde(rename = "late")]
    pub late_share: f64,
    /// The ratio of the attempts on all servers to those on the base.
    #[serde(rename = "grown")]
    pub attempt_growth: f64,
    /// The number of cold servers that may be overloaded.
    #[serde(rename = "falls")]
    pub overloaded_cold_servers: usize,
}

impl ForecastSummary {
    /// Summarizes a forecast. `now_ms` must be the time for which the age of the forecast's demand was
    /// determined.
    pub fn of(forecast: &Forecast, now_ms: u64) -> ForecastSummary {
        let greatest = |all: &mut dyn Iterator<Item = f64>| all.fold(0.0, f64::max);
        let sum = |of: fn(&ServerLoad) -> f64| forecast.servers.iter().map(of).sum::<f64>();
        let attempts_before_s: f64 = forecast.attempts_before_s;
        ForecastSummary {
            share: forecast.coverage.share.low * (1.0 - forecast.coverage.unplaced),
            newest_ms: now_ms.saturating_sub(forecast.coverage.age_ms),
            max_utilization: greatest(
                &mut forecast.servers.iter().filter_map(|s| s.utilization).map(|b| b.high),
            ),
            late_share: greatest(&mut forecast.lateness.iter().map(|l| l.late.high)),
            attempt_growth: sum(|s| s.parts_s.mid) / attempts_before_s.max(f64::MIN_POSITIVE),
            overloaded_cold_servers: forecast.change.cold.iter().filter(|c| c.may_be_overloaded()).count(),
        }
    }
}

/// Why a plan is rejected. The names appear in the JSON document, the texts in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// The demand covers too little of the traffic.
    #[error("the demand covers too little of the traffic")]
    Coverage,
    /// The demand is older than the limit.
    #[error("the demand is too old")]
    DemandOld,
    /// The utilization of a server exceeds the limit.
    #[error("a server would be too busy")]
    Busy,
    /// A class's share of late answers exceeds the limit.
    #[error("too many answers would be late")]
    Late,
    /// The growth of all attempts exceeds the limit.
    #[error("the number of attempts would grow too much")]
    Grown,
    /// Too many servers that are in slow start at the time of adoption may be overloaded.
    #[error("too many servers in slow start might be overloaded")]
    ColdFall,
    /// The version that the plan is based on is no longer the newest.
    #[error("the base has changed")]
    BaseChanged,
}

impl VerdictLimits {
    /// Checks whether a forecast is within all limits at a time. NaN exceeds every limit.
    ///
    /// # Errors
    /// Returns the first limit that the forecast exceeds.
    pub fn verdict(&self, summary: &ForecastSummary, at_ms: u64) -> Result<(), RejectionReason> {
        let within = |n: f64, limit: f64| n <= limit;
        let checks = [
            (summary.share >= self.min_share, RejectionReason::Coverage),
            (at_ms.saturating_sub(summary.newest_ms) <= self.max_age_ms, RejectionReason::DemandOld),
            (within(summary.max_utilization, self.max_utilization), RejectionReason::Busy),
            (within(summary.late_share, self.max_late), RejectionReason::Late),
            (within(summary.attempt_growth, self.max_growth), RejectionReason::Grown),
            (summary.overloaded_cold_servers <= self.max_overloads, RejectionReason::ColdFall),
        ];
        let failed = checks.iter().find(|(within, _)| !within);
        failed.map_or(Ok(()), |(_, reason)| Err(*reason))
    }

    /// Returns whether an observation is within the limits. NaN exceeds every limit.
    pub fn accepts(&self, observation: &Observation) -> bool {
        observation.load_error <= self.max_load_error && observation.late_excess <= self.max_late_excess
    }
}
