//! All decisions of a co-ordinator. Types, events and actions: `src/interface.rs`; what is kept between
//! rounds: `src/state.rs`.
//!
//! The ordinary path is NetClone's (`docs/design.md`): draw two replicas of a shard; both idle: to both, the
//! first answer wins; else to the shorter queue. The rest acts through who may be drawn and how ties fall.
use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::*;
use crate::state::*;

/// Copies stay under this share of recent parts (the design's tenth).
const COPY_SHARE: f64 = 0.1;
/// Seconds that 'recent' means for copies, retries, rates and tenants: long enough to average a burst.
const RECENT: f64 = 5.0;
/// Without a told budget, attempts beyond the first stay within so many, plus a share of recent arrivals.
const OWN_BUDGET: Budget = Budget { free: 5.0, share: 0.2, window: RECENT };
/// Share of the budget open to copies, hedges and retries: some is kept for parts with nothing out.
const PURSES: [f64; 4] = [0.4, 0.8, 1.0, f64::INFINITY];
/// Seconds after which news of a replica is stale: it counts at the average queue and not as idle.
const STALE: f64 = 2.0;
/// Seconds between our sends to one replica from which on it is met too seldom to be known one by one.
const SELDOM: f64 = 3.0;
/// A part is hedged after this many times the 90th percentile of recent response times.
const HEDGE_TAIL: f64 = 1.2;
/// A replica that owes an answer for this many times that percentile, and gave none since, is silent.
const SILENT_TAIL: f64 = 3.0;
/// Weight of the newest sample in a replica's error score, and the score at which it is ejected: two failures
/// in a row, or every second one. A race lost with a hedge's head start counts too.
const ERROR_GAIN: f64 = 0.3;
const ERROR_LIMIT: f64 = 0.5;
/// The same weight for a part that went down with its connection: about fourteen in a row, none served.
const DROP_GAIN: f64 = 0.05;
/// Seconds of the first ejection; for silence at least the time between two sends to one replica. It doubles
/// with each further one up to the longest.
const EJECT: f64 = 1.0;
const EJECT_LONGEST: f64 = 8.0;
/// So many replicas of one zone silent or out of reach, and none heard since: the room is lost.
const ROOM_LEAST: usize = 4;
/// Seconds unused after which a connection may be dropped unseen, and the share of losses that shows it.
const PAUSE: f64 = 0.3;
const PAUSE_LOSS: f64 = 0.25;
/// Seconds for which queries are suspect after a replica died, the share of the typical time within which a
/// failed connect tells that, and a query of so few parts that it is not held back.
const SUSPECT: f64 = 20.0;
const FEW_PARTS: usize = 12;
const DIED_WITHIN: f64 = 0.25;
/// Answers in a row, one part at a time, by which an ejected replica is trusted again.
const TRIALS: u32 = 3;
/// Share of the told multiple that we use of a cold replica: at 1.0 a hunt came to 91% of the rule's limit.
const COLD_CAUTION: f64 = 0.7;
/// Seconds between looks at open parts, and the least time before a client's end to answer it.
const SWEEP: f64 = 0.02;
const END_MARGIN: f64 = 0.01;
/// Weight of the newest sample in slow averages, and step of the tail estimate as a share of itself.
const GAIN: f64 = 0.05;
/// Weight of the newest in admission's response time, and seconds in which that halves unseen.
const DELAY_GAIN: f64 = 0.1;
const DELAY_HALF: f64 = 0.5;
/// Pauses between our queries in which what the last ones took halves.
const QUERY_PAUSES: f64 = 4.0;
/// A query's slowest part takes so many times the mean one, more by so much of the logarithm of its parts
/// over so many; two steps take this many times one.
const QUERY_STRETCH: f64 = 2.0;
const WIDER: f64 = 0.45;
const WIDE: usize = 24;
const STEPS_STRETCH: f64 = 1.5;
/// Step of the running median of a class's patience, and how far under it a try counts as cut short.
const USUAL_STEP: f64 = 0.01;
const USUAL_SLACK: f64 = 0.07;
/// Parts open at the start for each replica, the least limit, its step and cut, and seconds after a cut in
/// which its step comes back.
const LIMIT_START: f64 = 6.0;
const LIMIT_LEAST: f64 = 4.0;
const LIMIT_STEP: f64 = 0.3;
const LIMIT_CUT: f64 = 0.85;
const EASED: f64 = 2.0;
/// Expected time of a query over its aim, under which the limit grows and over which it shrinks.
const STRAIN_LOW: f64 = 0.4;
const STRAIN_HIGH: f64 = 0.5;
/// Weight of the newest response time of a replica in its usual one, and seconds in which that half fades.
const TOOK_GAIN: f64 = 0.3;
const TOOK_HALF: f64 = 2.0;
/// Seconds after which a replica that is gone is forgotten: longer than any attempt is out.
const FORGET: f64 = 30.0;
/// Seconds that a full or unreachable replica is left alone.
const FULL_REST: f64 = 0.2;
/// Probes stay under this share of recent parts; seconds between probes of one replica at least.
const PROBE_SHARE: f64 = 0.1;
const PROBE_EVERY: f64 = 0.3;
/// Slack of sums of weights.
const ROUNDING: f64 = 5e-5;
/// Seconds before a broken subscription is renewed first; it doubles up to a quarter of the told time.
const RENEW: f64 = 0.5;

/// The decisions of one co-ordinator.
pub struct Balancer {
    s: Settings,
    rng: Pcg64Mcg,
    now: f64,
    born: f64,
    margin: f64,
    replicas: BTreeMap<ReplicaId, Replica>,
    /// Replicas by cell, so that a draw does not look at the whole fleet.
    cells: BTreeMap<u32, BTreeSet<ReplicaId>>,
    fleet: Fleet,
    queries: BTreeMap<QueryNumber, Query>,
    parts: BTreeMap<PartId, Part>,
    /// Parts sent to each replica in this round: they share calls.
    calls: BTreeMap<ReplicaId, u32>,
    recent: Recent,
    tenants: BTreeMap<TenantId, Tally>,
    usual: BTreeMap<ClassId, f64>,
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
            cells: BTreeMap::new(),
            fleet: Fleet::default(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            calls: BTreeMap::new(),
            recent: Recent::default(),
            tenants: BTreeMap::new(),
            usual: BTreeMap::new(),
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
        self.calls.clear();
        for event in events {
            self.event(event);
        }
        let window = self.s.budget.unwrap_or(OWN_BUDGET).window.max(RECENT) + 2.0 * self.s.round;
        self.recent.trim(self.now - window);
        let known: Vec<f64> = self.replicas.values().filter_map(|r| self.reported(r)).collect();
        self.fleet.average = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let warm = |r: &&Replica| r.listed.phase == Phase::Ready && r.cold_since(now, self.s.cold).is_none();
        self.fleet.warm = self.replicas.values().filter(warm).count().max(1) as f64;
        self.fleet.seldom = now > self.born + RECENT && self.between() > SELDOM;
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
        match event {
            Event::Members { news, entries } => self.members(*news, entries),
            Event::Query { .. } => self.take_query(event),
            Event::Part { .. } => self.take_part(event),
            Event::Outcome { .. } => self.outcome(event),
            Event::Committed { .. } => self.committed(event),
            // A probe that failed may have waited behind parts: no proof of a bad replica.
            Event::Probed { replica, report, .. } => self.hear(*replica, report),
            Event::Withdrawn { query } => self.withdrawn(*query),
            Event::Timer => {}
        }
    }

    /// A drain or a loss acts at once: only `Ready` replicas are drawn. A full list drops what it lacks.
    fn members(&mut self, news: News, entries: &[Listed]) {
        match news {
            News::Failed => {
                self.renew_at.get_or_insert(self.now + self.renew);
                self.out.push(Action::Timer { after: self.renew });
                return;
            }
            News::Full | News::Cached => {
                let listed: BTreeSet<_> = entries.iter().map(|e| e.replica).collect();
                let gone = self.replicas.iter_mut().filter(|(id, _)| !listed.contains(id));
                gone.for_each(|(_, r)| r.leave(Phase::Gone, self.now));
            }
            News::Delta => {}
        }
        self.renew = RENEW;
        entries.iter().for_each(|entry| self.list(entry));
        let ready = self.replicas.values().filter(|r| r.listed.phase == Phase::Ready);
        self.fleet.ready = ready.count().max(1) as f64;
        self.forget();
    }

    fn forget(&mut self) {
        let (now, replicas) = (self.now, &mut self.replicas);
        replicas.retain(|_, r| r.listed.phase != Phase::Gone || now - r.gone < FORGET || !r.out.is_empty());
        self.cells.values_mut().for_each(|ids| ids.retain(|id| replicas.contains_key(id)));
    }

    /// Replicas that are remembered.
    pub fn known(&self) -> usize {
        self.replicas.len()
    }

    /// A replica with a new start is a new process: what was held against the old one is dropped.
    fn list(&mut self, entry: &Listed) {
        if entry.phase == Phase::Gone && !self.replicas.contains_key(&entry.replica) {
            return;
        }
        let replica = self.replicas.entry(entry.replica).or_default();
        if entry.started > replica.listed.started {
            let (out, sent) = (std::mem::take(&mut replica.out), std::mem::take(&mut replica.sent));
            *replica = Replica { out, sent, ..Replica::default() };
            replica.phase = (self.rng.next_u32() as f64) / f64::from(u32::MAX);
        }
        let (old, new) = (u32::from(replica.listed.cell.0), u32::from(entry.cell.0));
        replica.leave(entry.phase, self.now);
        replica.listed = *entry;
        self.cells.entry(old).or_default().remove(&entry.replica);
        self.cells.entry(new).or_default().insert(entry.replica);
    }

    fn subscribe(&mut self) {
        let Discovery::Ask { within } = self.s.discovery else { return };
        if self.renew_at.is_some_and(|at| at <= self.now) {
            self.renew_at = None;
            self.renew = (self.renew * 2.0).min((within / 4.0).max(RENEW));
            self.out.push(Action::Subscribe);
        }
    }

    fn holders(&self, shard: ShardId) -> Vec<ReplicaId> {
        let cells = self.s.cells;
        let row = (0..self.s.reach.min(cells)).map(|j| (shard.0 % cells + j) % cells);
        let held = row.filter_map(|cell| self.cells.get(&cell)).flatten().copied();
        held.filter(|id| self.replicas[id].listed.phase == Phase::Ready).collect()
    }

    /// Reported queue, else parts in flight reported, else our own parts there.
    fn reported(&self, r: &Replica) -> Option<f64> {
        let fresh = self.now - r.heard < STALE;
        r.report.queue.or(r.report.in_flight).filter(|_| fresh)
    }

    /// The queue that a draw compares: the report plus what we sent since. What went out in this very round
    /// is left out while its call has room, so that parts that arrive together share it.
    fn queue(&self, id: ReplicaId) -> i64 {
        let Some(r) = self.replicas.get(&id) else { return i64::MAX };
        let counts = |sent: f64, since: f64| sent > since && (sent < self.now || !self.has_room(id));
        if r.report.queue.is_none() && r.report.in_flight.is_none() {
            return r.out.values().filter(|f| counts(f.sent, f64::NEG_INFINITY)).count() as i64;
        }
        let since = r.out.values().filter(|f| counts(f.sent, r.heard)).count() as f64;
        (self.reported(r).unwrap_or(self.fleet.average) + since).round() as i64
    }

    /// Every answer refreshes its replica's entry.
    fn hear(&mut self, id: ReplicaId, report: &Option<Report>) {
        if let (Some(r), Some(report)) = (self.replicas.get_mut(&id), report) {
            (r.report, r.heard) = (*report, self.now);
        }
    }

    fn idle(&self, id: ReplicaId) -> bool {
        self.replicas.get(&id).is_some_and(|r| match (r.report.queue, r.report.in_flight) {
            (None, None) => self.now - r.used < STALE && r.out.values().all(|f| f.sent == self.now),
            _ => self.reported(r).is_some_and(|n| n < 0.5),
        })
    }

    fn has_room(&self, id: ReplicaId) -> bool {
        self.calls.get(&id).is_some_and(|n| n % self.s.per_call.max(1) != 0)
    }

    /// Who may be drawn: healthy holders, else the least bad one. A cold replica with no room left is never
    /// drawn, nor is one that just turned work away. Where only rest keeps a sound holder from it, the part
    /// waits. Guards a part's few attempts: they would be spent on a lost room, which does not rest.
    fn candidates(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let mut all = self.holders(shard);
        let now = self.now;
        let sound =
            |r: &Replica| r.until(class) <= now && r.whole.trials == 0 && !self.room_lost(r.listed.zone);
        let resting = all.iter().map(|id| &self.replicas[id]).any(|r| r.rests(now) && sound(r));
        all.retain(|id| !self.replicas[id].rests(now) && self.cold_room(*id));
        let lost = |id: &ReplicaId| self.room_lost(self.replicas[id].listed.zone);
        let good =
            |id: &&ReplicaId| self.replicas[*id].usable(class, now) && !avoid.contains(id) && !lost(id);
        let healthy: Vec<_> = all.iter().filter(good).copied().collect();
        if !healthy.is_empty() || resting {
            return healthy;
        }
        let until = |id: &ReplicaId| self.replicas[id].until(class).max(now);
        let worse = |id: &ReplicaId| (lost(id), !self.replicas[id].usable(class, now), avoid.contains(id));
        all.sort_by(|a, b| until(a).total_cmp(&until(b)));
        all.sort_by_key(worse);
        all.truncate(1);
        all
    }

    /// A random ordered pair; one already drawn in this round comes first while its call has room.
    fn draw(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let mut pair = self.candidates(class, shard, avoid);
        for i in (1..pair.len()).rev() {
            pair.swap(i, (self.rng.next_u64() % (i as u64 + 1)) as usize);
        }
        pair.sort_by_key(|id| (!self.has_room(*id), !self.due(*id)));
        pair.truncate(2);
        pair
    }

    /// The shorter queue; a tie goes to an open call, then to the less busy one (by its response
    /// times where answers don't tell), then to our zone.
    fn shorter(&self, pair: &[ReplicaId]) -> Option<ReplicaId> {
        let key = |id: &ReplicaId| {
            let r = &self.replicas[id];
            let busy = match self.s.reports {
                Reports::Inline => 4.0 * r.report.busy.unwrap_or(0.0),
                _ => 2.0 * self.usual_time(*id) / self.pace.typical.max(1e-6),
            } as i64;
            (self.queue(*id), !self.has_room(*id), !self.due(*id), busy, r.listed.zone != self.s.zone)
        };
        pair.iter().copied().min_by_key(key)
    }

    fn may_copy(&mut self, class: &Class, pair: &[ReplicaId]) -> bool {
        let &[a, b] = pair else { return false };
        let idle = [a, b].iter().all(|id| self.idle(*id) && self.replicas[id].whole.trials == 0);
        let safe =
            class.effect == Effect::Safe && class.copies && self.s.second_copies && self.s.most_tries > 1;
        let tenth = COPY_SHARE * self.recent.arrived.count(self.now - RECENT);
        let room = self.recent.copies.count(self.now - RECENT) + 1.0 < tenth;
        safe && idle && room && self.may_add(Why::Copy)
    }

    /// The cap on attempts beyond a part's first, told or our own. Guards against retries and hedges that
    /// feed an overload. Our own leaves out retries of parts that failed.
    fn may_add(&mut self, why: Why) -> bool {
        let budget = self.s.budget.unwrap_or(OWN_BUDGET);
        let edge = 2.0 * self.s.round;
        let sent = self.recent.extras.count(self.now - budget.window - edge) + 1.0;
        let taken = self.recent.taken.count(self.now - budget.window + edge);
        let purse = PURSES[why as usize];
        (why >= Why::Retry || self.calm()) && sent <= (budget.free + budget.share * taken) * purse
    }

    /// A pending copy is called off once its server reports a queue.
    fn cancel_copies(&mut self, id: ReplicaId) {
        let Some(r) = self.replicas.get(&id) else { return };
        let queued = match (r.report.queue, r.report.in_flight) {
            (Some(queue), _) => queue >= 0.5,
            (None, Some(held)) => held >= r.out.len() as f64 + 0.5,
            (None, None) => false,
        };
        if !queued || !self.s.cancel {
            return;
        }
        for (part, n) in r.out.keys().copied().collect::<Vec<_>>() {
            let Some(p) = self.parts.get_mut(&part) else { continue };
            let twin_out = p.attempts.iter().any(|a| !a.copy && a.ended.is_none() && !a.cancelled);
            if let Some(a) = p.attempts.get_mut(usize::from(n)).filter(|a| a.copy && !a.cancelled && twin_out)
            {
                a.cancelled = true;
                self.out.push(Action::Cancel { part, attempt: n });
            }
        }
    }

    fn send(&mut self, part: PartId, replica: ReplicaId, why: Option<Why>) {
        let (reaped, between) = (self.reaped(), self.between());
        let (Some(p), Some(r)) = (self.parts.get_mut(&part), self.replicas.get_mut(&replica)) else { return };
        let n = p.attempts.len() as u8;
        let copy = why == Some(Why::Copy);
        p.attempts.push(Attempt { replica, sent: self.now, copy, cancelled: false, ended: None });
        let mut paused = r.out.is_empty() && r.used > 0.0 && self.now - r.used > PAUSE;
        if paused && reaped {
            self.out.push(Action::CloseIdle { replica });
            paused = false;
        }
        r.out.insert((part, n), Flight { sent: self.now, class: p.class, paused, ..Flight::default() });
        r.used = self.now;
        r.sent.add(self.now);
        if let Some(until) = self.fleet.rooms.get_mut(&r.listed.zone).and_then(|room| room.until.as_mut()) {
            *until = self.now + between.max(EJECT);
        }
        *self.calls.entry(replica).or_insert(0) += 1;
        self.recent.sends.add(self.now);
        if why.is_some_and(|why| why != Why::Failed) {
            self.recent.extras.add(self.now);
        }
        if copy {
            self.recent.copies.add(self.now);
        }
        // Where no second copy may run beside it, a late attempt must end before another can start.
        let timeout = (!self.s.second_copies).then_some(2.0 * HEDGE_TAIL * self.pace.tail);
        self.out.push(Action::Send { part, replica, timeout });
    }

    fn first_send(&mut self, query: &Query, part: PartId) {
        let Some((class, shard)) = self.parts.get(&part).map(|p| (p.class, p.shard)) else { return };
        let pair = self.draw(class, shard, &[]);
        if self.may_copy(&query.class, &pair) && !self.on_probation(query) {
            self.send(part, pair[0], None);
            self.send(part, pair[1], Some(Why::Copy));
        } else if let Some(replica) = self.shorter(&pair) {
            self.send(part, replica, None);
        }
    }

    /// Whether what this part's attempts may have done allows another one.
    fn may_repeat(&self, class: &Class, part: &Part) -> bool {
        let ran = part.attempts.iter().filter(|a| !a.never_ran()).map(|a| a.sent);
        let first = ran.fold(f64::INFINITY, f64::min);
        let out = part.attempts.iter().any(|a| a.ended.is_none());
        let allowed = match class.effect {
            Effect::Safe => true,
            Effect::Keyed { window } => self.now < first + window - END_MARGIN,
            Effect::Unsafe => first == f64::INFINITY,
        };
        let tries = part.attempts.len() < self.s.most_tries as usize;
        allowed && !part.over && (!out || (self.s.second_copies && class.copies)) && tries
    }

    /// Late: nothing out any more, or all that is out has been for long or sits on a suspect replica.
    fn late(&self, part: &Part) -> Option<Why> {
        let mut out = part.attempts.iter().filter(|a| a.ended.is_none() && !a.cancelled);
        if part.served || !part.out() {
            // Guards against waiting for our own budget, which holds too little when a room is lost.
            let failed = self.s.budget.is_none()
                && part.attempts.last().is_some_and(|a| a.ended.is_some_and(Outcome::failed));
            return (!part.served).then_some(if failed { Why::Failed } else { Why::Retry });
        }
        let (now, hedge_after) = (self.now, HEDGE_TAIL * self.pace.tail);
        let bad = |r: &Replica| r.until(part.class) > now || r.out.values().any(|f| f.silent);
        let bad = |r: &Replica| bad(r) || self.room_lost(r.listed.zone);
        let suspect = |a: &Attempt| self.replicas.get(&a.replica).is_none_or(bad);
        match out.clone().all(|a| suspect(a) && self.now > a.sent) {
            true => Some(Why::Retry),
            // Guards against hedging all that is out when nothing reaches us at all.
            false => (!self.fleet.stalled && out.all(|a| now - a.sent > hedge_after)).then_some(Why::Hedge),
        }
    }

    /// Another attempt beside at most one that is out, elsewhere if there is an elsewhere. Where replicas are
    /// met less often than news of them holds, a hedge goes where an answer came in time just now. Guards a
    /// jammed stretch, where all is late: hedges double its load.
    fn again(&mut self, class: &Class, id: PartId, why: Why) {
        let blind = why == Why::Hedge && self.fleet.seldom;
        let Some(part) = self.parts.get(&id) else { return };
        let out = part.attempts.iter().filter(|a| a.ended.is_none() && !a.cancelled);
        let busy: Vec<_> = out.map(|a| a.replica).collect();
        let crowded = busy.len() >= 2;
        let (in_class, shard) = (part.class, part.shard);
        let tried = part.attempts.iter().map(|a| a.replica).collect::<Vec<_>>();
        let stuck = crowded && (why != Why::Retry || !self.s.cancel);
        if stuck || !self.may_repeat(class, part) || !self.may_add(why) {
            return;
        }
        let pair = self.draw(in_class, shard, &tried);
        let fresh = |r: &Replica| self.now - r.took_at < STALE && r.took <= self.pace.tail;
        let good = |id: &ReplicaId| !busy.contains(id) && (!blind || fresh(&self.replicas[id]));
        if let Some(replica) = self.shorter(&pair).filter(good) {
            if crowded {
                self.cancel_part(id);
            }
            self.send(id, replica, Some(why));
        }
    }

    fn outcome(&mut self, event: &Event) {
        let Event::Outcome { part, attempt, replica, over, outcome, took, report } = event else { return };
        let known = self.replicas.get_mut(replica).and_then(|r| r.out.remove(&(*part, *attempt)));
        if let Some(flight) = known {
            self.hear(*replica, report);
            if *outcome == Outcome::Served && took.is_finite() && !flight.streams {
                self.measure(*replica, *took);
            }
            self.steer(*part, *outcome);
            self.judge(*replica, *outcome, *took, flight);
            self.testify(*part, *replica, *outcome);
            self.cancel_copies(*replica);
        }
        let Some(p) = self.parts.get_mut(part) else { return };
        p.over |= *over;
        let Some(a) = p.attempts.get_mut(usize::from(*attempt)).filter(|a| a.ended.is_none()) else {
            return;
        };
        a.ended = Some(*outcome);
        if *outcome == Outcome::Served {
            p.served = true;
            self.cancel_part(*part);
        }
    }

    /// A value that streams counts as answered from its first message on; its own end ends the part.
    fn committed(&mut self, event: &Event) {
        let &Event::Committed { part, attempt, replica, took } = event else { return };
        let flight = self.replicas.get_mut(&replica).and_then(|r| r.out.get_mut(&(part, attempt)));
        if let Some(flight) = flight.filter(|f| !f.streams) {
            (flight.streams, flight.silent) = (true, false);
            self.measure(replica, took);
        }
        let Some(p) = self.parts.get_mut(&part) else { return };
        p.over = true;
        self.cancel_others(part, Some(attempt));
    }

    fn cancel_part(&mut self, id: PartId) {
        if self.s.cancel {
            self.cancel_others(id, None);
        }
    }

    fn cancel_others(&mut self, id: PartId, kept: Option<u8>) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        for (n, a) in part.attempts.iter_mut().enumerate() {
            if a.ended.is_none() && !a.cancelled && kept != Some(n as u8) {
                a.cancelled = true;
                self.out.push(Action::Cancel { part: id, attempt: n as u8 });
            }
        }
    }

    /// Response times of the whole fleet, by which each replica and each part is judged.
    fn measure(&mut self, id: ReplicaId, took: f64) {
        let usual = self.usual_time(id);
        if let Some(r) = self.replicas.get_mut(&id) {
            (r.took, r.took_at) = (usual + TOOK_GAIN * (took - usual), self.now);
        }
        self.pace.tail *= 1.0 + GAIN * if took < self.pace.tail { -0.1 } else { 0.9 };
        self.pace.typical += GAIN * (took - self.pace.typical);
        self.pace.delay = self.delay_now();
        self.pace.delay += DELAY_GAIN * (took - self.pace.delay);
        self.pace.served = self.now;
    }

    /// Response time of a replica as last seen; without news it fades into the typical one.
    fn usual_time(&self, id: ReplicaId) -> f64 {
        let (typical, r) = (self.pace.typical, &self.replicas[&id]);
        typical + (r.took - typical) * 0.5f64.powf((self.now - r.took_at) / TOOK_HALF)
    }

    fn judge(&mut self, id: ReplicaId, outcome: Outcome, took: f64, flight: Flight) {
        let now = self.now;
        let Some(r) = self.replicas.get_mut(&id) else { return };
        r.used = now;
        let room = self.fleet.rooms.entry(r.listed.zone).or_default();
        match outcome {
            Outcome::Served | Outcome::TurnedAway | Outcome::Error => *room = Room::heard(now),
            Outcome::NoConnection if flight.sent > room.heard => drop(room.silent.insert(id)),
            _ => {}
        }
        match outcome {
            Outcome::TurnedAway => (r.rest, r.full) = (now + FULL_REST, r.out.len()),
            Outcome::Served => {
                self.recent.unanswered[usize::from(flight.paused)] *= 1.0 - GAIN;
                if r.cold_since(now, self.s.cold).is_none() {
                    self.recent.borne.add(now);
                }
                r.whole.served(self.now, flight.sent);
                r.classes.entry(flight.class).or_default().served(self.now, flight.sent);
            }
            Outcome::Reset | Outcome::NoConnection => {
                if outcome == Outcome::Reset || took < DIED_WITHIN * self.pace.typical {
                    self.recent.suspect = self.now + SUSPECT;
                }
                r.used = 0.0;
                // Guards a part's few attempts: all would be spent on it where the others rest.
                if outcome == Outcome::NoConnection {
                    (r.rest, r.full) = (now + FULL_REST, 0);
                }
                self.recent.unanswered[0] += GAIN * (1.0 - self.recent.unanswered[0]);
                self.blame(id, flight, 1.0, true);
            }
            Outcome::Error => self.blame(id, flight, ERROR_GAIN, false),
            // Sound replicas close connections too; one that does nothing else is found out.
            Outcome::Dropped => self.blame(id, flight, DROP_GAIN, false),
            Outcome::Cancelled if took <= HEDGE_TAIL * self.pace.tail => {}
            Outcome::TimedOut | Outcome::Cancelled if flight.silent => {}
            Outcome::TimedOut | Outcome::Cancelled => self.unanswered(id, flight, ERROR_GAIN),
            Outcome::NotSent => {}
        }
    }

    /// No answer. Where mainly what follows a pause goes unanswered, a connection was dropped unseen: the
    /// replica is sound.
    fn unanswered(&mut self, id: ReplicaId, flight: Flight, gain: f64) {
        let loss = &mut self.recent.unanswered[usize::from(flight.paused)];
        *loss += GAIN * (1.0 - *loss);
        if !(flight.paused && self.reaped()) {
            self.blame(id, flight, gain, false);
        }
    }

    /// Whether connections are dropped unseen when they are not used, so that idle ones are renewed.
    fn reaped(&self) -> bool {
        let [used, paused] = self.recent.unanswered;
        paused > PAUSE_LOSS && paused > 2.0 * used
    }

    /// Seconds between two sends of ours to one replica.
    fn between(&mut self) -> f64 {
        RECENT * self.fleet.ready / self.recent.sends.count(self.now - RECENT).max(1.0)
    }

    /// The one place for blame. A failure counts against the class alone while the replica lately served
    /// another, else against the replica; a broken connection always does.
    fn blame(&mut self, id: ReplicaId, flight: Flight, gain: f64, whole: bool) {
        let (now, between) = (self.now, self.between());
        let seen = if whole || gain < 1.0 { 0.0 } else { between };
        let Some(r) = self.replicas.get_mut(&id) else { return };
        let sound = |(c, b): (&ClassId, &Blame)| *c != flight.class && b.answered > flight.sent - RECENT;
        let class_only = !whole && r.classes.iter().any(sound);
        let b = if class_only { r.classes.entry(flight.class).or_default() } else { &mut r.whole };
        b.errors += gain * (1.0 - b.errors);
        let on_trial = b.trials > 0 && flight.sent >= b.until;
        if b.errors > ERROR_LIMIT || on_trial {
            b.eject(now, EJECT.max(seen));
        }
    }

    /// Guards against queries that bring down whatever begins their parts: it ends once several replicas
    /// broke and hardly any served it.
    fn testify(&mut self, part: PartId, replica: ReplicaId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(q) = number.and_then(|n| self.queries.get_mut(&n)) else { return };
        q.served += u32::from(outcome == Outcome::Served);
        if outcome == Outcome::Reset && !q.broke.contains(&replica) {
            q.broke.push(replica);
        }
    }

    /// Seen deaths make queries of many parts suspect: each tries one part first, so that a deadly one breaks
    /// one replica only.
    fn on_probation(&self, query: &Query) -> bool {
        query.served == 0 && query.parts.len() > FEW_PARTS && self.recent.suspect > self.now
    }

    /// Guards against replicas that take work and answer nothing, whatever keeps them silent.
    fn watch_silence(&mut self) {
        let limit = self.now - (SILENT_TAIL * self.pace.tail).max(8.0 * self.s.round);
        let (mut found, late, between) = (Vec::new(), self.now - self.pace.tail, self.between());
        for (id, r) in &mut self.replicas {
            let room = self.fleet.rooms.entry(r.listed.zone).or_default();
            let since = room.heard;
            if r.out.values().any(|f| !f.streams && f.sent > since && f.sent < late) {
                room.silent.insert(*id);
            }
            for f in r.out.values_mut().filter(|f| !f.silent && !f.streams && f.sent < limit) {
                found.push((*id, *f));
                f.silent = true;
            }
        }
        let rooms = &mut self.fleet.rooms;
        let heard = rooms.values().map(|room| room.heard).fold(0.0, f64::max);
        let lost = |r: &&mut Room| r.until.is_none() && r.silent.len() >= ROOM_LEAST && r.heard < heard;
        rooms.values_mut().filter(lost).for_each(|room| room.until = Some(self.now + between.max(EJECT)));
        for (id, flight) in found {
            self.unanswered(id, flight, 1.0);
        }
    }

    /// Whether a whole room is out of the draw. Guards parts where each replica is met seldom: learnt one by
    /// one, a lost room is known when it is back.
    fn room_lost(&self, zone: ZoneId) -> bool {
        self.fleet.rooms.get(&zone).is_some_and(|room| room.until.is_some_and(|until| until > self.now))
    }

    /// Whether a cold replica stands another part from us: our share of what it may get in any window, by
    /// what a warm one serves us; under one part, one in as many windows as make it up, from a random point
    /// on. Just after our start, what our former life sent is unknown: a window passes first.
    fn cold_room(&mut self, id: ReplicaId) -> bool {
        let (Some(rule), now) = (self.s.cold, self.now) else { return true };
        let Some(r) = self.replicas.get_mut(&id) else { return false };
        let Some(start) = r.cold_since(now, self.s.cold) else {
            r.sent.count(now - rule.after);
            return true;
        };
        let span = RECENT.min(now - self.born).max(rule.after);
        let per_window = self.recent.borne.count(now - RECENT) / self.fleet.warm * rule.after / span;
        let capacity = rule.from + (1.0 - rule.from) * ((now - start) / rule.ramp).max(0.0);
        let share = (COLD_CAUTION * rule.multiple * capacity * per_window).max(1e-3);
        let span = rule.after / share.min(1.0);
        let turn = share >= 1.0 || now >= start + r.phase * span;
        turn && now >= self.born + rule.after && r.sent.count(now - span) + 1.0 <= share.max(1.0)
    }

    /// Where reports come only by probe, ask the replica not asked for longest, within a share of the parts.
    fn probe(&mut self) {
        let now = self.now;
        let allowed = PROBE_SHARE * self.recent.arrived.count(now - RECENT);
        let wanted = self.s.probes && self.s.reports == Reports::OnProbe;
        if !wanted || self.recent.probes.count(now - RECENT) + 1.0 > allowed {
            return;
        }
        let due = |r: &Replica| r.listed.phase == Phase::Ready && now - r.probed >= PROBE_EVERY;
        let due = self.replicas.iter_mut().filter(|(_, r)| due(r));
        if let Some((id, r)) = due.min_by(|a, b| a.1.probed.total_cmp(&b.1.probed)) {
            r.probed = now;
            self.recent.probes.add(now);
            self.out.push(Action::Probe { replica: *id });
        }
    }

    fn take_query(&mut self, event: &Event) {
        let &Event::Query { query, number, class: class_id, tenant, patience, repeat, .. } = event else {
            return;
        };
        self.recent.taken.add(self.now);
        let Some(class) = self.s.classes.get(usize::from(class_id.0)).copied() else {
            self.out.push(Action::Fail { query });
            return;
        };
        self.tenants.entry(tenant).or_default().add(self.now);
        // A first try, where repeats are marked, has waited for nothing: a client may simply want it soon.
        let first_try = self.s.marks_retry && !repeat;
        let waited = self.waited(class_id, &class, patience) * f64::from(u8::from(!first_try));
        let (ends, aim) = (self.now + patience, self.now + class.aim - waited);
        let q = Query::new(query, class_id, class, tenant, ends, aim);
        self.out.push(Action::Timer { after: (patience - self.margin).max(0.0) });
        // A number used again while its query is open: the old one still gets its answer.
        if let Some(mut old) = self.queries.insert(number, q) {
            self.give_up(&old);
            self.drop_parts(&mut old);
        }
    }

    /// How long the client has waited before this try: one that may last clearly less than usual is bounded
    /// by the class's deadline instead.
    fn waited(&mut self, id: ClassId, class: &Class, patience: f64) -> f64 {
        let usual = self.usual.entry(id).or_insert(patience);
        *usual *= if patience < *usual { 1.0 - USUAL_STEP } else { 1.0 + USUAL_STEP };
        let cut = patience < *usual * (1.0 - USUAL_SLACK);
        (class.deadline - patience).max(0.0) * f64::from(u8::from(cut))
    }

    fn take_part(&mut self, event: &Event) {
        let &Event::Part { part, number, shard, weight, spent, served } = event else { return };
        self.recent.taken.add(self.now);
        self.recent.arrived.add(self.now);
        let Some(query) = self.queries.get_mut(&number) else { return };
        query.parts.push(part);
        query.served += u32::from(served);
        self.parts.insert(part, Part::new((number, query.in_class), shard, weight, spent, served));
    }

    /// The present response time of parts. Without news it decays: refusals keep it from being measured.
    fn delay_now(&self) -> f64 {
        self.pace.delay * 0.5f64.powf((self.now - self.pace.served) / DELAY_HALF)
    }

    /// A cold replica met at its turn. Guards its share where it is met seldom: drawn by chance, it would
    /// wait as long again for each part and leave its neighbours to jam.
    fn due(&self, id: ReplicaId) -> bool {
        self.fleet.seldom && self.replicas[&id].cold_since(self.now, self.s.cold).is_some()
    }

    /// The number of parts that may be open grows while they come back well within their class's aim, and
    /// shrinks when they don't or are turned away, once a response time at most.
    fn steer(&mut self, part: PartId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(class) = number.and_then(|n| self.queries.get(&n)).map(|q| q.class) else { return };
        let strain = self.expected(&class) / class.aim;
        let worse = outcome == Outcome::TurnedAway || strain > STRAIN_HIGH;
        if worse && self.now - self.pace.eased > self.pace.typical {
            self.pace.eased = self.now;
            self.pace.limit = (self.pace.limit * LIMIT_CUT).max(LIMIT_LEAST);
        } else if outcome == Outcome::Served && strain < STRAIN_LOW && self.open() > 0.5 * self.pace.limit {
            self.pace.limit += LIMIT_STEP * ((self.now - self.pace.eased) / EASED).min(1.0);
        }
    }

    /// No query waits for room: spare capacity may go to copies and hedges.
    fn calm(&self) -> bool {
        self.queries.values().all(|q| q.admitted)
    }

    /// Parts that are out, and all of an admitted query on probation: what it holds back comes in one go.
    /// Parts that wait for a retry hold no room.
    fn open(&self) -> f64 {
        // What streams is past the wait that this limit is about.
        let out = |id: &&PartId| self.parts.get(id).is_some_and(|p| !p.served && !p.over && p.out());
        let room = |q: &Query| match self.on_probation(q) {
            true => q.parts.len() as f64 * q.class.need,
            false => q.parts.iter().filter(out).count() as f64,
        };
        self.queries.values().filter(|q| q.admitted).map(room).sum()
    }

    /// Let waiting queries in while there is room, the worthiest for their parts first, then the newest.
    /// Nothing of a query that must wait is sent.
    fn admit(&mut self) {
        if self.pace.limit == 0.0 {
            let all = f64::from(self.s.coordinators.max(1));
            self.pace.limit = (self.fleet.ready * LIMIT_START / all).max(LIMIT_LEAST);
        }
        let waiting = self.queries.iter().filter(|(_, q)| !q.admitted).map(|(n, _)| *n).collect::<Vec<_>>();
        let mut order: Vec<(f64, QueryNumber)> = waiting.iter().map(|n| (self.density(*n), *n)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut open = self.open();
        for (_, number) in order {
            if let Some(q) = self.queries.get_mut(&number).filter(|_| open < self.pace.limit) {
                q.admitted = true;
                open += q.parts.len() as f64;
            }
        }
    }

    /// Worth of a query for each of its parts; what is over our part of a tenant's share counts for less.
    fn density(&mut self, number: QueryNumber) -> f64 {
        let (since, Some(q)) = (self.now - RECENT, self.queries.get(&number)) else { return 0.0 };
        let quota = self.s.tenants.get(usize::from(q.tenant.0)).map_or(f64::MAX, |t| t.quota);
        let share = (quota * RECENT / f64::from(self.s.coordinators.max(1))).max(2.0);
        let over = self.tenants.get_mut(&q.tenant).is_some_and(|t| t.count(since) > share);
        let parts = q.parts.len() as f64 + f64::from(q.class.second_step);
        q.class.worth / parts.max(1.0) * if over { self.s.over_share_worth } else { 1.0 }
    }

    /// How long a query of this class takes from its first send, as parts go now; where replicas are met
    /// seldom, as our last queries went, if that is longer. Guards against a jam of a few replicas, which the
    /// mean part hides, and against an overload that is forgotten before our next query is here.
    fn expected(&self, class: &Class) -> f64 {
        let seldom = if self.fleet.seldom { self.query_now() } else { 0.0 };
        let steps = if class.second_step > 0 { STEPS_STRETCH } else { 1.0 };
        seldom.max(self.delay_now() * QUERY_STRETCH) * steps
    }

    fn query_now(&self) -> f64 {
        let pause = RECENT / (self.recent.taken.len() - self.recent.arrived.len()).max(1.0);
        self.pace.query * 0.5f64.powf((self.now - self.pace.ended) / (QUERY_PAUSES * pause))
    }

    fn work(&mut self, number: QueryNumber) {
        let Some(mut query) = self.queries.remove(&number) else { return };
        let verdict = self.settle(&mut query);
        if verdict != Verdict::Wait {
            self.drop_parts(&mut query);
        } else if query.admitted {
            self.advance(&query);
        }
        if verdict != Verdict::Over {
            self.queries.insert(number, query);
        }
    }

    fn drop_parts(&mut self, query: &mut Query) {
        for part in std::mem::take(&mut query.parts) {
            self.cancel_part(part);
            self.parts.remove(&part);
        }
    }

    /// Answer the query, or its step, at once when it is whole; in part when waiting would miss the aim, or
    /// nothing more can come. End it when its time is up, or it cannot succeed, or is worth nothing.
    fn settle(&mut self, query: &mut Query) -> Verdict {
        let class = query.class;
        let (first, over) = (query.first.is_none(), self.now >= query.ends - self.margin);
        if !first && query.parts.is_empty() && !over {
            return Verdict::Wait;
        }
        let held: Vec<&Part> = query.parts.iter().filter_map(|id| self.parts.get(id)).collect();
        let share: f64 = held.iter().filter(|p| p.served).map(|p| p.weight).sum();
        let begun = |p: &Part| p.over || !p.attempts.is_empty();
        let dead = |p: &Part| !p.served && !p.out() && begun(p) && !self.may_repeat(&class, p);
        let hope: f64 = held.iter().filter(|p| !dead(p)).map(|p| p.weight).sum();
        let (need, second) = if first { (class.need, class.second_step > 0) } else { (1.0, false) };
        let floor = if class.floor < class.need { class.floor } else { need };
        let all = !held.is_empty() && held.iter().all(|p| p.served);
        let whole = all || (first && share >= need - ROUNDING);
        let reserve = if second { HEDGE_TAIL * self.pace.tail } else { self.margin };
        let due = over || self.now >= query.aim - reserve || hope <= share + ROUNDING;
        let begun = !first || held.iter().any(|p| !p.attempts.is_empty());
        // Not begun, and it cannot be done within its aim as parts go now.
        let takes = wide(held.len()) * self.expected(&class);
        let hopeless = !begun && query.aim > self.now && self.now + takes > query.aim;
        let streams = held.iter().any(|p| p.over && p.out());
        let worthless = first && self.now > query.aim && class.late_worth <= 0.0 && !streams;
        let sent = held.iter().flat_map(|p| &p.attempts).map(Attempt::begun).fold(f64::INFINITY, f64::min);
        let done = whole || (floor < need && share >= floor - ROUNDING && share > 0.0 && due);
        let lost = over || worthless || hope < floor - ROUNDING;
        if first && sent < self.now && (done || lost) {
            // One that was given up took its aim at least; twice that says it all.
            let took = (self.now - sent).clamp(if done { 0.0 } else { class.aim }, 2.0 * class.aim);
            let took = took / wide(held.len());
            (self.pace.query, self.pace.ended) = (0.5 * (took + self.query_now()), self.now);
        }
        if done {
            let whole = whole && query.first.unwrap_or(true);
            self.out.push(Action::Answer { query: query.id, whole });
            query.first = Some(whole);
            return if second { Verdict::Step } else { Verdict::Over };
        }
        let deadly = query.deadly(if self.on_probation(query) { 1 } else { 2 });
        if lost || deadly || hopeless {
            self.give_up(query);
            return Verdict::Over;
        }
        Verdict::Wait
    }

    /// The final answer of a query that brings nothing: refused where trying again is harmless.
    fn give_up(&mut self, query: &Query) {
        let attempts = query.parts.iter().filter_map(|id| self.parts.get(id)).flat_map(|p| &p.attempts);
        let ran = query.first.is_some() || { attempts }.any(|a| !a.never_ran());
        if query.class.effect == Effect::Safe || !ran {
            self.out.push(Action::Refuse { query: query.id, retry_after: self.s.retry_after });
        } else {
            self.out.push(Action::Fail { query: query.id });
        }
    }

    /// Send what a query still needs: parts not sent yet, as far as needed, then another attempt for late
    /// ones.
    fn advance(&mut self, query: &Query) {
        let mut order: Vec<(u32, PartId)> = Vec::new();
        let (mut covered, mut late) = (0.0, Vec::new());
        for id in &query.parts {
            let Some(part) = self.parts.get(id) else { continue };
            if part.attempts.is_empty() && !part.over {
                order.push((part.shard.0 % self.s.cells, *id));
            } else if let Some(why) = self.late(part) {
                late.push((*id, why));
            } else {
                covered += part.weight;
            }
        }
        order.sort();
        let probation = self.on_probation(query);
        // Guards against waiting for a part whose attempts are spent: a query on probation would begin no
        // other one, and keep its room to its end.
        let lives = |p: &Part| p.out() || self.may_repeat(&query.class, p);
        let tried_one = |(id, _): &(PartId, Why)| self.parts.get(id).is_some_and(lives);
        let mut tried = covered > 0.0 || late.iter().any(tried_one);
        let need = if query.first.is_none() { query.class.need } else { 1.0 };
        for (_, id) in order {
            if (covered >= need - ROUNDING && need < 1.0) || (probation && tried) {
                break;
            }
            self.first_send(query, id);
            if let Some(part) = self.parts.get(&id).filter(|p| !p.attempts.is_empty()) {
                covered += part.weight;
                tried = true;
            }
        }
        for (id, why) in late {
            if covered < need - ROUNDING || need >= 1.0 {
                self.again(&query.class, id, why);
            }
        }
    }

    fn withdrawn(&mut self, id: QueryId) {
        let number = self.queries.iter().find(|(_, q)| q.id == id).map(|(n, _)| *n);
        if let Some(mut query) = number.and_then(|n| self.queries.remove(&n)) {
            self.drop_parts(&mut query);
        }
    }
}

/// How much longer a query of so many parts takes than a narrow one.
fn wide(parts: usize) -> f64 {
    1.0 + WIDER * (parts.max(WIDE) as f64 / WIDE as f64).ln()
}

impl Blame {
    fn served(&mut self, now: f64, sent: f64) {
        self.answered = now;
        self.errors *= 1.0 - ERROR_GAIN;
        if self.trials > 0 && sent >= self.until {
            self.trials -= 1;
            self.strikes -= i32::from(self.trials == 0 && self.strikes > 0);
        }
    }

    /// Out of the draw for a while, longer each time; then trusted again after a few single parts.
    fn eject(&mut self, now: f64, first: f64) {
        if self.until <= now {
            self.until = now + (first * 2f64.powi(self.strikes)).min(EJECT_LONGEST.max(first));
            self.strikes = (self.strikes + 1).min(8);
            self.trials = TRIALS;
            self.errors = 0.0;
        }
    }
}
