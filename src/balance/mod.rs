//! All decisions of a co-ordinator. Types, events and actions: `src/interface.rs`; what is kept between
//! rounds: `src/state.rs`.
//! The ordinary path is NetClone's (`docs/design.md`): draw two replicas of a shard; both idle: to both, the
//! first answer wins; else to the shorter queue. The rest acts through who may be drawn and how ties fall.
mod admission;
mod attempts;
mod blame;
mod draw;
mod members;
mod pace;
mod settle;

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use self::pace::stretch;
use self::{blame::EJECT, members::RENEW, pace::wide};
use crate::interface::*;
use crate::state::*;

/// Seconds that 'recent' means for copies, retries, rates and tenants: long enough to average a burst.
const RECENT: f64 = 5.0;
/// Without a told budget, attempts beyond the first stay within so many, plus a share of recent arrivals.
const OWN_BUDGET: Budget = Budget { free: 5.0, share: 0.2, window: RECENT };
/// Seconds after which news of a replica is stale: it counts at the average queue and not as idle.
const STALE: f64 = 2.0;
/// Seconds between our sends to one replica from which on it is met too seldom to be known one by one.
const SELDOM: f64 = 3.0;
/// A part is hedged after this many times the 90th percentile of recent response times.
const HEDGE_TAIL: f64 = 1.2;
/// Seconds between looks at open parts, and the least time before a client's end to answer it.
const SWEEP: f64 = 0.02;
const END_MARGIN: f64 = 0.01;
/// Weight of the newest sample in slow averages, and step of the tail estimate as a share of itself.
const GAIN: f64 = 0.05;
/// Probes stay under this share of recent parts; seconds between probes of one replica at least.
const PROBE_SHARE: f64 = 0.1;
const PROBE_EVERY: f64 = 0.3;

/// The decisions of one co-ordinator.
pub struct Balancer {
    s: Settings,
    rng: Pcg64Mcg,
    now: f64,
    born: f64,
    margin: f64,
    replicas: BTreeMap<ReplicaId, Replica>,
    fleet: Fleet,
    queries: BTreeMap<QueryNumber, Query>,
    parts: BTreeMap<PartId, Part>,
    recent: Recent,
    pace: Pace,
    swept: f64,
    renew: f64,
    renew_at: Option<f64>,
    out: Vec<Action>,
}

impl Balancer {
    /// A co-ordinator that knows no replica yet. Settings that cannot be served are refused.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let aim = settings.classes.iter().map(|c| c.aim).fold(f64::MAX, f64::min);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0.0,
            born: f64::NEG_INFINITY,
            margin: END_MARGIN + 2.0 * settings.round,
            replicas: BTreeMap::new(),
            fleet: Fleet::default(),
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
        self.fleet.calls.clear();
        events.iter().for_each(|event| self.event(event));
        let window = self.s.budget.unwrap_or(OWN_BUDGET).window.max(RECENT) + 2.0 * self.s.round;
        self.recent.trim(self.now - window);
        let known: Vec<f64> = self.replicas.values().filter_map(|r| self.reported(r)).collect();
        self.fleet.average = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let warm = |r: &&Replica| r.ready() && r.cold_since(now, self.s.cold).is_none();
        self.fleet.warm = self.replicas.values().filter(warm).count().max(1) as f64;
        self.earn();
        self.fleet.thin = self.between() > SELDOM;
        self.fleet.seldom = now > self.born + RECENT && self.fleet.thin;
        let late = now - self.pace.typical;
        let owes = |r: &&Replica| r.out.values().any(|f| f.sent < late && !f.streams);
        let owing = self.replicas.values().filter(owes).count() as f64;
        self.fleet.stalled = self.pace.served < late && owing > 2.0 && 2.0 * owing > self.fleet.ready;
        self.subscribe();
        self.watch_silence();
        self.admit();
        for number in self.queries.keys().copied().collect::<Vec<_>>() {
            self.work(number);
        }
        self.probe();
        if !self.queries.is_empty() && self.now + END_MARGIN >= self.swept + SWEEP {
            self.swept = self.now;
            self.out.push(Action::Timer { after: SWEEP });
        }
        std::mem::take(&mut self.out)
    }

    fn event(&mut self, event: &Event) {
        match *event {
            Event::Members { news, ref entries } => self.members(news, entries),
            Event::Query { .. } => self.take_query(event),
            Event::Part { .. } => self.take_part(event),
            Event::Outcome { .. } => self.outcome(event),
            Event::Committed { .. } => self.committed(event),
            // A probe that failed may have waited behind parts: no proof of a bad replica.
            Event::Probed { replica, report, .. } => self.hear(replica, report),
            Event::Withdrawn { query } => self.withdrawn(query),
            Event::Timer => {}
        }
    }

    /// Where reports come only by probe, ask the replica not asked for longest, within a share of the parts.
    fn probe(&mut self) {
        let now = self.now;
        let allowed = PROBE_SHARE * self.recent.arrived.count(now - RECENT);
        let wanted = self.s.probes && self.s.reports == Reports::OnProbe;
        if !wanted || self.recent.probes.count(now - RECENT) + 1.0 > allowed {
            return;
        }
        let due = self.replicas.iter_mut().filter(|(_, r)| r.ready() && now - r.probed >= PROBE_EVERY);
        if let Some((id, r)) = due.min_by(|a, b| a.1.probed.total_cmp(&b.1.probed)) {
            r.probed = now;
            self.recent.probes.add(now);
            self.out.push(Action::Probe { replica: *id });
        }
    }
}
