//! All decisions of a coordinator. Types, events and actions: `src/balancer/interface.rs`; what is kept
//! between rounds: `src/balancer/state/`. The ordinary path is NetClone's (`docs/design.md`): draw two
//! replicas of a shard; both idle: to both, the first answer wins; else to the shorter queue. The rest acts
//! through who may be drawn and how ties fall.
mod admission;
mod attempts;
mod bookkeeping;
mod endpoints;
pub mod interface;
mod latency;
mod outlier_detection;
mod query_progress;
mod replica_selection;
pub mod state;

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use self::latency::stretch;
use self::{endpoints::RENEW, latency::wide, outlier_detection::EJECT};
use crate::balancer::interface::*;
use crate::balancer::state::*;

/// Seconds that 'recent' means for copies, retries, rates and tenants: long enough to average a burst.
pub(crate) const RECENT: f64 = 5.0;
/// Without a told budget, attempts beyond the first stay within so many, plus a share of recent arrivals.
const OWN_BUDGET: RetryBudget = RetryBudget { free: 5.0, share: 0.2, window: RECENT };
/// Seconds after which news of a replica is stale: it counts at the average queue and not as idle.
pub(crate) const STALE: f64 = 2.0;
/// Seconds between our sends to one replica from which on it is met too seldom to be known one by one.
const SELDOM: f64 = 3.0;
/// A part is hedged after this many times the 90th percentile of recent response times.
pub(crate) const HEDGE_TAIL: f64 = 1.2;
/// Seconds between looks at open parts, and the least time before a client's end to answer it.
const SWEEP: f64 = 0.02;
const END_MARGIN: f64 = 0.01;
/// Weight of the newest sample in slow averages, and step of the tail estimate as a share of itself.
pub(crate) const GAIN: f64 = 0.05;
/// Probes stay under this share of recent parts; seconds between probes of one replica at least.
const PROBE_SHARE: f64 = 0.1;
const PROBE_EVERY: f64 = 0.3;

/// The decisions of one coordinator.
pub struct Balancer {
    pub(crate) s: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: f64,
    pub(crate) born: f64,
    pub(crate) margin: f64,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    pub(crate) replica_stats: ReplicaStats,
    pub(crate) census: Census,
    pub(crate) flights: Flights,
    pub(crate) agenda: Agenda,
    pub(crate) queries: BTreeMap<QueryNumber, Query>,
    pub(crate) parts: BTreeMap<PartId, Part>,
    pub(crate) recent: Recent,
    pub(crate) pace: Pace,
    pub(crate) swept: f64,
    pub(crate) renew: f64,
    pub(crate) renew_at: Option<f64>,
    pub(crate) out: Vec<Action>,
}

impl Balancer {
    /// A coordinator that knows no replica yet. Settings that cannot be served are refused.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let aim = settings.classes.iter().map(|c| c.latency_objective).fold(f64::MAX, f64::min);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            born: f64::NEG_INFINITY,
            margin: END_MARGIN + 2.0 * settings.round_interval,
            replicas: BTreeMap::new(),
            replica_stats: ReplicaStats::default(),
            census: Census::default(),
            flights: Flights::default(),
            agenda: Agenda::default(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            recent: Recent::default(),
            pace: Pace { typical: aim / 10.0, tail: aim / 5.0, ..Pace::default() },
            swept: f64::NEG_INFINITY,
            renew: RENEW,
            renew_at: None,
            out: Vec::new(),
            s: settings,
        })
    }

    /// Further classes, behind those that are there.
    pub fn extend(&mut self, classes: &[Class]) -> Result<(), SettingsError> {
        let mut settings = self.s.clone();
        settings.classes.extend_from_slice(classes);
        check(&settings).map(|()| self.s = settings)
    }

    /// Take the events of a round and decide.
    pub fn round(&mut self, now: f64, events: &[Event]) -> Vec<Action> {
        if self.born == f64::NEG_INFINITY {
            (self.born, self.renew_at) = (now, Some(now));
        }
        self.now = self.now.max(now);
        self.replica_stats.calls.clear();
        events.iter().for_each(|event| self.event(event));
        let window =
            self.s.retry_budget.unwrap_or(OWN_BUDGET).window.max(RECENT) + 2.0 * self.s.round_interval;
        self.recent.trim(self.now - window);
        let (now, ramp) = (self.now, self.s.slow_start.map_or(0.0, |rule| rule.ramp));
        self.census.expire(|heard| now - heard >= STALE, |start| now - start >= ramp);
        self.replica_stats.average = self.census.average();
        self.replica_stats.warm = self.census.warm().max(1) as f64;
        self.earn();
        self.replica_stats.between = self.between();
        self.replica_stats.thin = self.replica_stats.between > SELDOM;
        self.replica_stats.seldom = now > self.born + RECENT && self.replica_stats.thin;
        let late = now - self.pace.typical;
        let owing = if self.pace.served < late { self.flights.owing(late) as f64 } else { 0.0 };
        self.replica_stats.stalled = owing > 2.0 && 2.0 * owing > self.replica_stats.ready;
        self.subscribe();
        self.watch_silence();
        self.admit();
        self.work_all();
        self.probe();
        if !self.queries.is_empty() && self.now + END_MARGIN >= self.swept + SWEEP {
            self.swept = self.now;
            self.out.push(Action::Timer { after: SWEEP });
        }
        std::mem::take(&mut self.out)
    }

    fn event(&mut self, event: &Event) {
        match *event {
            Event::Endpoints { update, ref endpoints } => self.members(update, endpoints),
            Event::Query { .. } => self.take_query(event),
            Event::Part { .. } => self.take_part(event),
            Event::Outcome { part, .. } => self.ended(part, event),
            Event::ResponseStarted { part, .. } => self.streams(part, event),
            // A probe that failed may have waited behind parts: no proof of a bad replica.
            Event::HealthChecked { replica, report, .. } => self.hear(replica, report),
            Event::ClientDisconnected { query } => self.withdrawn(query),
            Event::Timer => {}
        }
    }

    /// Where reports come only by probe, ask the replica not asked for longest, within a share of the parts.
    fn probe(&mut self) {
        let now = self.now;
        let allowed = PROBE_SHARE * self.recent.arrived.count(now - RECENT);
        let wanted = self.s.health_checks && self.s.load_reporting == LoadReporting::OnHealthCheck;
        if !wanted || self.recent.probes.count(now - RECENT) + 1.0 > allowed {
            return;
        }
        if let Some(replica) = self.census.asked.pop(|probed| now - probed >= PROBE_EVERY) {
            self.census.asked.set(replica, now);
            self.replicas.entry(replica).and_modify(|r| r.probed = now);
            self.recent.probes.add(now);
            self.out.push(Action::HealthCheck { replica });
        }
    }
}
