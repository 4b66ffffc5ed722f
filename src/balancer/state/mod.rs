//! What a coordinator keeps between rounds, and the check of its settings. Nothing here decides or holds a
//! tuned value; decisions are in `src/balancer/`.
//!
//! Sums and indexes over what is kept, which decide nothing: `replica_index.rs` of the replicas,
//! `in_flight.rs` of what they owe, `open_queries.rs` of open queries, `sliding_window.rs` of recent events,
//! `../bookkeeping.rs` keeps them up to date; `timer_queue.rs` orders by time.
mod audit;
mod estimate;
mod in_flight;
mod open_queries;
mod replica_index;
mod sliding_window;
mod timer_queue;

use std::collections::{BTreeMap, BTreeSet};

pub use self::estimate::{Fading, Spread};
pub use self::in_flight::Flights;
pub use self::open_queries::Agenda;
pub use self::replica_index::Census;
pub use self::sliding_window::{Recent, Tally};
use crate::balancer::interface::*;

/// Response times of parts, typical, at the 90th percentile and just now, and how many parts may be open.
#[derive(Default)]
pub struct Pace {
    pub typical: f64,
    pub tail: f64,
    pub delay: f64,
    pub served: f64,
    pub limit: f64,
    pub eased: f64,
    /// How long the last queries took, as narrow ones, and when the last one ended.
    pub query: f64,
    pub ended: f64,
}

pub struct Attempt {
    pub replica: ReplicaId,
    pub sent: f64,
    pub copy: bool,
    pub cancelled: bool,
    /// How it ended; `None` while it is out.
    pub ended: Option<Outcome>,
}

impl Attempt {
    /// Out, and not called off: it may still bring its part's answer.
    pub fn out(&self) -> bool {
        self.ended.is_none() && !self.cancelled
    }

    /// One of an earlier owner: at a replica that is not known, at a time before any of ours.
    fn spent() -> Attempt {
        let (replica, ended) = (ReplicaId(u64::MAX), Some(Outcome::Error));
        Attempt { replica, sent: f64::NEG_INFINITY, copy: false, cancelled: false, ended }
    }

    /// When we sent it; never, where an earlier owner did: that tells nothing of how long ours take.
    pub fn begun(&self) -> f64 {
        if self.sent.is_finite() {
            self.sent
        } else {
            f64::INFINITY
        }
    }

    /// Proved not to have run.
    pub fn never_ran(&self) -> bool {
        self.ended.is_some_and(Outcome::never_ran)
    }
}

pub struct Part {
    pub number: QueryNumber,
    pub class: ClassId,
    pub shard: ShardId,
    pub weight: f64,
    pub attempts: Vec<Attempt>,
    pub served: bool,
    /// Counted as one that is out, by the agenda.
    pub counted: bool,
    /// Its end was told though we did not end it, or its value is on its way: nothing more may be sent for
    /// it.
    pub over: bool,
}

pub struct Query {
    pub id: QueryId,
    pub in_class: ClassId,
    pub class: Class,
    pub tenant: TenantId,
    pub ends: f64,
    pub aim: f64,
    pub parts: Vec<PartId>,
    /// Whether the first step was answered whole; `None` while it runs.
    pub first: Option<bool>,
    pub admitted: bool,
    /// Parts served, and the replicas that broke their connection while they held one of its parts.
    pub served: u32,
    pub broke: Vec<ReplicaId>,
    /// How many of the parts have their value in, and about what these weigh together.
    pub brought: usize,
    pub weighs: f64,
    /// The parts that wait for what may change at any time, as the last look left them.
    pub waits: Vec<PartId>,
}

impl Query {
    pub fn new(id: QueryId, in_class: ClassId, class: Class, tenant: TenantId, ends: f64, aim: f64) -> Query {
        let (parts, broke, waits) = Default::default();
        let (first, admitted, served, brought, weighs) = (None, false, 0, 0, 0.0);
        Query {
            id,
            in_class,
            class,
            tenant,
            ends,
            aim,
            parts,
            first,
            admitted,
            served,
            broke,
            brought,
            weighs,
            waits,
        }
    }

    /// A part's value is in. A weight that is no share may sum to anything.
    pub fn brings(&mut self, weight: f64) {
        self.brought += 1;
        self.weighs += if (0.0..=1.0).contains(&weight) { weight } else { f64::INFINITY };
    }

    /// Whether what is in is surely too little to answer it. That is summed in another order than an answer
    /// goes by: for shares whose sum is below 1, that makes no difference near the ten-thousandth left here.
    pub fn far_from_answer(&self) -> bool {
        let need = if self.first.is_none() { self.class.target_coverage } else { 1.0 };
        self.brought < self.parts.len() && self.weighs < need.min(self.class.min_coverage) - 1e-4
    }

    /// Whether so many replicas broke over its parts, and more than served one.
    pub fn deadly(&self, least: usize) -> bool {
        self.broke.len() >= least && self.broke.len() > self.served as usize
    }
}

/// An attempt that a replica owes an answer for.
#[derive(Clone, Copy, Default)]
pub struct Flight {
    pub sent: f64,
    pub class: ClassId,
    /// Went out on a connection that had not been used for a while.
    pub paused: bool,
    /// Its silence was noticed.
    pub silent: bool,
    /// Its value has begun to come: how long the rest takes is no matter of its replica's.
    pub streams: bool,
}

/// The replicas as a round begins.
#[derive(Default)]
pub struct ReplicaStats {
    pub ready: f64,
    /// How many of these are warm, and the mean of the queues that they reported lately.
    pub warm: f64,
    /// Parts that warm ones served us in this round, and what one of them serves us in a window of the rule.
    pub borne: f64,
    pub window: f64,
    pub average: f64,
    /// Seconds between two sends of ours to one replica.
    pub between: f64,
    /// The rates that warm ones report.
    pub rates: Spread,
    /// Over half of them owe an answer, and none at all has come lately: it is not the replicas.
    pub stalled: bool,
    /// A replica is met less often than news of it holds: what is seen must last until the next meeting.
    pub seldom: bool,
    /// The same, from our start on, when we have sent little yet.
    pub thin: bool,
    pub zones: BTreeMap<ZoneId, ZoneHealth>,
    /// When a replica of any room last answered anything.
    pub heard: f64,
    /// Rooms that may be lost: enough of their replicas are silent.
    pub hushed: BTreeSet<ZoneId>,
    /// Parts sent to each replica in this round: they share calls.
    pub calls: BTreeMap<ReplicaId, u32>,
}

/// What is known of the replicas of one zone together.
#[derive(Default)]
pub struct ZoneHealth {
    /// When one of them last answered anything.
    pub heard: f64,
    /// Those that were sent to since then, and are silent or could not be reached.
    pub silent: BTreeSet<ReplicaId>,
    /// Until when the room is out of the draw, if it is lost; then one part may try it.
    pub until: Option<f64>,
}

impl ReplicaStats {
    /// A replica of a room answered just now.
    pub fn hear(&mut self, zone: ZoneId, now: f64) {
        self.zones.insert(zone, ZoneHealth::heard(now));
        self.heard = self.heard.max(now);
    }

    /// A replica is silent, or could not be reached, about what it was sent at a time: that is held against
    /// its room, unless that was heard since. So many of them may be a room that is lost.
    pub fn hush(&mut self, zone: ZoneId, id: ReplicaId, sent: f64, least: usize) {
        let room = self.zones.entry(zone).or_default();
        if sent > room.heard && room.silent.insert(id) && room.silent.len() >= least {
            self.hushed.insert(zone);
        }
    }

    /// Rooms with so many silent replicas, not heard since another room was, are lost until then. Whether any
    /// is.
    pub fn lose(&mut self, until: f64, least: usize) -> bool {
        let (heard, rooms, mut lost) = (self.heard, &mut self.zones, false);
        self.hushed.retain(|zone| {
            let Some(room) = rooms.get_mut(zone) else { return false };
            let hushed = room.until.is_none() && room.silent.len() >= least;
            if hushed && room.heard < heard {
                room.until = Some(until);
                lost = true;
            }
            hushed && room.until.is_none()
        });
        lost
    }
}

impl ZoneHealth {
    /// One of its replicas answered just now.
    pub fn heard(now: f64) -> ZoneHealth {
        ZoneHealth { heard: now, ..ZoneHealth::default() }
    }
}

/// What is held against a replica, in all or for one class.
#[derive(Default)]
pub struct Blame {
    pub errors: f64,
    pub until: f64,
    pub strikes: i32,
    pub trials: u32,
    pub answered: f64,
}

#[derive(Default)]
pub struct Replica {
    pub listed: Endpoint,
    /// Since when it is gone, if it is.
    pub gone: f64,
    pub report: LoadReport,
    pub heard: f64,
    pub probed: f64,
    pub used: f64,
    /// Its response time as last measured.
    pub took: Fading,
    /// Parts that it earned as a cold one less those that we sent, and how much of one it had at random.
    pub earned: f64,
    pub phase: f64,
    pub out: BTreeMap<(PartId, u8), Flight>,
    pub sent: Tally,
    pub rest: f64,
    /// Parts of ours that it held when it was full.
    pub full: usize,
    pub whole: Blame,
    pub classes: BTreeMap<ClassId, Blame>,
}

impl Part {
    /// Whether it was sent, or is over: nothing is left to be sent for it first.
    pub fn begun(&self) -> bool {
        self.over || !self.attempts.is_empty()
    }

    /// A part as it enters. What an earlier owner spent on it stands there as attempts that failed and may
    /// have run.
    pub fn new(query: (QueryNumber, ClassId), shard: ShardId, weight: f64, spent: u8, served: bool) -> Part {
        let (number, class) = query;
        let attempts = (0..spent).map(|_| Attempt::spent()).collect();
        Part { number, class, shard, weight, attempts, served, counted: false, over: served }
    }

    /// Whether an attempt is out that may still bring its answer.
    pub fn out(&self) -> bool {
        self.attempts.iter().any(Attempt::out)
    }
}

impl Replica {
    pub fn ready(&self) -> bool {
        self.listed.state == EndpointState::Ready
    }

    /// The load that it last reported: its queue, else what it holds.
    pub fn load(&self) -> Option<f64> {
        self.report.queue_depth.or(self.report.in_flight)
    }

    /// Whether it owes an answer for so long that this was noticed.
    pub fn silent(&self) -> bool {
        self.out.values().any(|f| f.silent)
    }

    /// Note its state; since when it is gone, if it now is.
    pub fn leave(&mut self, phase: EndpointState, now: f64) {
        if self.listed.state != EndpointState::Removed {
            self.gone = now;
        }
        self.listed.state = phase;
    }

    /// When it started, if it may still be cold: within the ramp that the rule tells.
    pub fn cold_since(&self, now: f64, rule: Option<SlowStart>) -> Option<f64> {
        self.listed.started.filter(|start| rule.is_some_and(|rule| now - start < rule.ramp))
    }

    /// How many times what a warm one serves it stands at least, by the rule; a warm one its multiple.
    pub fn stands(&self, at: f64, rule: SlowStart) -> f64 {
        let age = self.listed.started.map_or(rule.ramp, |start| (at - start).clamp(0.0, rule.ramp));
        rule.overload_factor * (rule.initial_capacity + (1.0 - rule.initial_capacity) * age / rule.ramp)
    }

    /// Left alone: it is full, until half of what it held of ours is answered, or it could not be reached.
    pub fn rests(&self, now: f64) -> bool {
        self.rest > now && 2 * self.out.len() >= self.full
    }

    pub fn usable(&self, class: ClassId, now: f64) -> bool {
        let tried = self.whole.trials > 0 || self.classes.get(&class).is_some_and(|b| b.trials > 0);
        self.until(class) <= now && (!tried || self.out.is_empty())
    }

    /// Until when it is out of the draw for a class.
    pub fn until(&self, class: ClassId) -> f64 {
        self.whole.until.max(self.classes.get(&class).map_or(0.0, |b| b.until))
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Verdict {
    Wait,
    Step,
    Over,
}

#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub enum Why {
    Copy,
    Hedge,
    Retry,
    /// A retry of a part whose last attempt failed.
    Failed,
}

/// Settings that no coordinator could serve.
pub fn check(s: &Settings) -> Result<(), SettingsError> {
    let positive = |n: f64| n.is_finite() && n > 0.0;
    let share = |n: f64| (0.0..=1.0).contains(&n);
    let class = |c: &Class| {
        let window = if let Idempotency::Keyed { window } = c.idempotency { window } else { 0.0 };
        let times =
            positive(c.latency_objective) && positive(c.deadline) && window.is_finite() && window >= 0.0;
        times && share(c.target_coverage) && share(c.min_coverage) && c.priority_weight.is_finite()
    };
    let cold = |c: &SlowStart| {
        share(c.initial_capacity)
            && positive(c.ramp)
            && positive(c.overload_factor)
            && positive(c.overload_window)
    };
    let budget = |b: &RetryBudget| positive(b.window) && b.free >= 0.0 && b.share >= 0.0;
    let refuse = |field| Err(SettingsError { field });
    match s {
        _ if s.classes.is_empty() || !s.classes.iter().all(class) => refuse("classes"),
        _ if s.cells == 0 || s.reach == 0 => refuse("cells or reach"),
        _ if s.max_attempts == 0 => refuse("most_tries"),
        _ if !s.round_interval.is_finite() || s.round_interval < 0.0 => refuse("round"),
        // Guards against queries that are all over when they come: two rounds are left for the answer.
        _ if s.classes.iter().any(|c| 2.0 * s.round_interval >= c.deadline) => {
            refuse("PeriodS, over half a DeadlineS")
        }
        _ if !s.retry_budget.as_ref().is_none_or(budget) => refuse("budget"),
        _ if !s.slow_start.as_ref().is_none_or(cold) => refuse("cold"),
        _ => Ok(()),
    }
}
