//! The world of a stream: servers and clients, their mishaps, and what becomes of the module's actions.
use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use marlgap::balancer::interface::*;
use marlgap::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What befalls the world of a stream; shares are of attempts, rates a second.
#[derive(Clone)]
pub struct Plan {
    pub settings: Settings,
    pub servers: u64,
    pub zones: u8,
    pub queries: f64,
    pub parts: (u64, u64),
    pub service: f64,
    pub faults: f64,
    /// Deaths, mute and slow stretches, drains and returns of single servers; losses of a zone, and of all.
    pub churn: f64,
    pub rooms: f64,
    pub stalls: f64,
    /// Of queries: left by their client, under a number in use, deadly to the servers that begin them.
    pub left: f64,
    pub reused: f64,
    pub deadly: f64,
    pub streamed: f64,
    /// Servers on which all connections break for a while, and by how much a client's patience varies.
    pub drops: f64,
    pub jitter: f64,
    /// Connections unused for half a second are dropped unseen.
    pub reaps: bool,
    /// Parts that a server holds at most, and how much more comes in every fourth stretch of five seconds.
    pub full: usize,
    pub burst: f64,
}

#[derive(Clone, Default)]
struct Server {
    listed: Endpoint,
    held: usize,
    used: f64,
    dead: f64,
    mute: f64,
    slow: f64,
    drops: f64,
}

struct Open {
    number: QueryNumber,
    class: ClassId,
    second: bool,
    deadly: bool,
    parts: Vec<(PartId, ShardId)>,
}

pub struct World {
    pub plan: Plan,
    rng: Pcg64Mcg,
    pub balancer: Balancer,
    now: f64,
    next: u32,
    servers: Vec<Server>,
    /// Events to come, by microsecond and order.
    due: BTreeMap<(u64, u32), Event>,
    open: BTreeMap<QueryId, Open>,
    tries: BTreeMap<PartId, (QueryId, u8)>,
    out: BTreeMap<(PartId, u8), (usize, f64)>,
    /// Of all actions so far, and how many of each kind there were.
    pub hash: FnvHasher,
    pub seen: [u32; 9],
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> World {
        let balancer = Balancer::new(plan.settings.clone(), seed).expect("served");
        let server = |n: u64| {
            let (zone, cell) = (ZoneId((n % u64::from(plan.zones)) as u8), n / u64::from(plan.zones));
            let cell = CellId((cell % u64::from(plan.settings.cells)) as u16);
            let (replica, phase, weight) = (ReplicaId(n), EndpointState::Ready, 1.0);
            Server {
                listed: Endpoint { replica, zone, cell, state: phase, weight, started: None },
                ..Server::default()
            }
        };
        let servers = (0..plan.servers).map(server).collect();
        let (rng, now, next) = (Pcg64Mcg::seed_from_u64(seed ^ 0x5eed), 100.0, 0);
        let (due, open, tries, out, hash, seen) = Default::default();
        let mut world = World { plan, rng, balancer, now, next, servers, due, open, tries, out, hash, seen };
        let entries = world.list();
        world.later(0.0, Event::Endpoints { update: EndpointUpdate::Cached, endpoints: entries });
        world
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Whether something happens that does so at this rate a second.
    fn comes(&mut self, rate: f64) -> bool {
        self.unit() < rate * self.plan.settings.round_interval
    }

    fn below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n.max(1) as u64) as usize
    }

    fn id(&mut self) -> u32 {
        self.next += 1;
        self.next
    }

    fn later(&mut self, after: f64, event: Event) {
        let at = ((self.now + after) * 1e6) as u64;
        let order = self.id();
        self.due.insert((at, order), event);
    }

    fn list(&self) -> Vec<Endpoint> {
        self.servers.iter().map(|s| s.listed).filter(|l| l.state != EndpointState::Removed).collect()
    }

    /// One round: what befalls the world, what is due of it, and what the module does.
    pub fn round(&mut self) {
        self.now += self.plan.settings.round_interval;
        self.befall();
        let mut events = Vec::new();
        while let Some((at, event)) = self.due.pop_first() {
            if at.0 > (self.now * 1e6) as u64 {
                self.due.insert(at, event);
                break;
            }
            events.extend(self.ripe(event));
        }
        let burst = if (self.now / 5.0) as u64 % 4 == 3 { self.plan.burst } else { 1.0 };
        if self.comes(self.plan.queries * burst) {
            self.ask(&mut events);
        }
        for action in self.balancer.round(self.now, &events) {
            self.hash.write(recorded_form(&action).as_bytes());
            self.act(action);
        }
        self.hash.write_u64(self.balancer.known_replicas() as u64);
    }

    fn befall(&mut self) {
        let (now, n) = (self.now, self.below(self.servers.len()));
        let lasts = 1.0 + 4.0 * self.unit();
        if self.comes(self.plan.stalls) {
            self.servers.iter_mut().for_each(|s| s.mute = now + 2.0);
        }
        if self.comes(self.plan.rooms) {
            let (zone, mute) = (self.servers[n].listed.zone, lasts > 3.0);
            for s in self.servers.iter_mut().filter(|s| s.listed.zone == zone) {
                *if mute { &mut s.mute } else { &mut s.dead } = now + lasts;
            }
        }
        if self.plan.drops > 0.0 && self.comes(self.plan.drops) {
            self.servers[n].drops = now + lasts;
        }
        if !self.comes(self.plan.churn) {
            return;
        }
        let (way, s) = (self.rng.next_u32() % 8, &mut self.servers[n]);
        match (s.listed.state, way) {
            (EndpointState::Ready, 0) => return s.slow = now + lasts,
            (EndpointState::Ready, 1) => return s.mute = now + lasts,
            (EndpointState::Ready, 2) => return s.dead = now + lasts,
            (EndpointState::Ready, 3) => (s.listed.state, s.dead) = (EndpointState::Removed, f64::MAX),
            (EndpointState::Ready, _) => s.listed.state = EndpointState::Draining,
            (EndpointState::Draining, 7) => s.listed.state = EndpointState::Ready,
            (EndpointState::Draining, _) => (s.listed.state, s.dead) = (EndpointState::Removed, f64::MAX),
            (EndpointState::Removed, 6) => {}
            (EndpointState::Removed, _) => {
                (s.listed.state, s.listed.started, s.dead) = (EndpointState::Ready, Some(now - 0.1), 0.0);
            }
        }
        let entry = s.listed;
        match way {
            4 => self.later(0.1, Event::Endpoints { update: EndpointUpdate::Failed, endpoints: Vec::new() }),
            5 => {
                let entries = self.list();
                self.later(0.05, Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries });
            }
            _ => self.later(0.02, Event::Endpoints { update: EndpointUpdate::Delta, endpoints: vec![entry] }),
        }
    }

    fn ask(&mut self, events: &mut Vec<Event>) {
        let (query, id) = (QueryId(self.id()), self.below(self.plan.settings.classes.len()));
        let (class, kind) = (ClassId(id as u16), self.plan.settings.classes[id]);
        let tenant = TenantId(self.below(self.plan.settings.tenants.len()) as u16);
        let mut number = QueryNumber(query.0);
        if self.unit() < self.plan.reused {
            number = self.open.values().next().map_or(number, |q| q.number);
        }
        let cut = self.unit() < 0.2;
        let patience = kind.deadline * if cut { 0.4 } else { 1.0 };
        let varies = if self.plan.jitter > 0.0 { self.plan.jitter * self.unit() } else { 0.0 };
        let (patience, (least, most)) = (patience * (1.0 - varies), self.plan.parts);
        let parts = if kind.idempotency == Idempotency::NonIdempotent {
            1
        } else {
            least + self.rng.next_u64() % (most - least + 1)
        };
        events.push(Event::Query {
            query,
            number,
            class,
            tenant,
            time_left: patience,
            parts: parts as u32,
            is_retry: cut,
        });
        let deadly = self.unit() < self.plan.deadly;
        self.open.insert(query, Open { number, class, second: false, deadly, parts: Vec::new() });
        let shards: Vec<_> = (0..parts).map(|_| ShardId(self.rng.next_u32() % 97)).collect();
        self.enter(query, &shards, events);
        if self.unit() < self.plan.left {
            let after = self.unit();
            self.later(after, Event::ClientDisconnected { query });
        }
    }

    fn enter(&mut self, query: QueryId, shards: &[ShardId], events: &mut Vec<Event>) {
        let weight = 1.0 / shards.len() as f64;
        for &shard in shards {
            let part = PartId(self.id());
            self.tries.insert(part, (query, 0));
            let open = self.open.get_mut(&query).expect("open");
            open.parts.push((part, shard));
            events.push(Event::Part {
                part,
                number: open.number,
                shard,
                weight,
                prior_attempts: 0,
                completed: false,
            });
        }
    }

    /// An event whose time has come, unless it is overtaken: an attempt has one outcome, and begins to stream
    /// before that.
    fn ripe(&mut self, mut event: Event) -> Option<Event> {
        match &mut event {
            Event::Outcome { part, attempt, part_finished, outcome, elapsed, report, .. } => {
                let (n, sent) = self.out.remove(&(*part, *attempt))?;
                self.servers[n].held -= 1;
                *part_finished |= *outcome == Outcome::Succeeded || !self.tries.contains_key(part);
                *elapsed = self.now - sent;
                let inline = self.plan.settings.load_reporting == LoadReporting::Inline;
                *report = inline.then(|| self.report(n));
            }
            Event::ResponseStarted { part, attempt, elapsed: took, .. } => {
                *took =
                    self.now - self.out.get(&(*part, *attempt)).filter(|_| self.tries.contains_key(part))?.1;
            }
            Event::ClientDisconnected { query } => self.end(*query)?,
            _ => {}
        }
        Some(event)
    }

    /// Every third server tells no queue, every fifth neither that nor what it holds.
    fn report(&mut self, n: usize) -> LoadReport {
        let held = self.servers[n].held as f64;
        let (queue, in_flight) =
            ((n % 3 != 1).then_some((held - 1.0).max(0.0)), (n % 5 != 1).then_some(held));
        LoadReport {
            queue_depth: queue,
            in_flight,
            utilization: Some((held / 8.0).min(1.0)),
            ..LoadReport::default()
        }
    }

    fn end(&mut self, query: QueryId) -> Option<()> {
        for (part, _) in self.open.remove(&query)?.parts {
            let (_, tries) = self.tries.remove(&part).expect("a part");
            (0..tries).for_each(|n| self.finish(part, n, 0.003, Outcome::Cancelled));
        }
        Some(())
    }

    fn finish(&mut self, part: PartId, attempt: u8, after: f64, outcome: Outcome) {
        let Some((n, _)) = self.out.get(&(part, attempt)) else { return };
        let (replica, over) = (self.servers[*n].listed.replica, outcome == Outcome::Error && attempt == 2);
        self.later(
            after,
            Event::Outcome {
                part,
                attempt,
                replica,
                part_finished: over,
                outcome,
                elapsed: 0.0,
                report: None,
            },
        );
    }

    fn act(&mut self, action: Action) {
        let kind = match action {
            Action::Send { part, replica, timeout } => {
                self.send(part, replica.0 as usize, timeout);
                0
            }
            Action::Cancel { part, attempt } => {
                self.finish(part, attempt, 0.002, Outcome::Cancelled);
                1
            }
            Action::Answer { query, .. } => {
                let open = self.open.get_mut(&query).expect("answered once");
                let step = self.plan.settings.classes[usize::from(open.class.0)].second_step_parts as usize;
                let best: Vec<_> = open.parts.iter().map(|p| p.1).take(step).collect();
                if open.second || best.is_empty() {
                    self.end(query);
                } else {
                    let first = std::mem::take(&mut open.parts);
                    open.second = true;
                    self.tries.retain(|part, _| first.iter().all(|(p, _)| p != part));
                    let mut events = Vec::new();
                    self.enter(query, &best, &mut events);
                    events.into_iter().for_each(|e| self.later(0.0, e));
                }
                2
            }
            Action::Reject { query, .. } => {
                self.end(query).expect("refused once");
                3
            }
            Action::Fail { query } => {
                self.end(query).expect("failed once");
                4
            }
            Action::HealthCheck { replica } => {
                let report = Some(self.report(replica.0 as usize));
                self.later(0.01, Event::HealthChecked { replica, healthy: true, elapsed: 0.01, report });
                5
            }
            Action::CloseIdle { replica } => {
                self.servers[replica.0 as usize].used = f64::MAX;
                6
            }
            Action::Timer { after } => {
                self.later(after, Event::Timer);
                7
            }
            Action::Subscribe => {
                let failed = self.unit() < 0.3;
                let news = if failed { EndpointUpdate::Failed } else { EndpointUpdate::Full };
                let entries = if failed { Vec::new() } else { self.list() };
                self.later(0.2, Event::Endpoints { update: news, endpoints: entries });
                8
            }
        };
        self.seen[kind] += 1;
    }

    /// An attempt, and what will become of it.
    fn send(&mut self, part: PartId, n: usize, timeout: Option<f64>) {
        let (query, tries) = self.tries.get_mut(&part).expect("a part that is open");
        let (attempt, deadly) = (*tries, self.open[&*query].deadly);
        *tries += 1;
        self.out.insert((part, attempt), (n, self.now));
        let (roll, jitter, now) = (self.unit(), 0.5 + self.unit(), self.now);
        let (faults, s) = (self.plan.faults, &mut self.servers[n]);
        s.held += 1;
        let reaped = self.plan.reaps && s.used > 0.0 && now > s.used + 0.5 && s.used < f64::MAX;
        let slow = if s.slow > now { 12.0 } else { 1.0 };
        (s.used, s.dead) = (now, if deadly { s.dead.max(now + 3.0) } else { s.dead });
        let takes = self.plan.service * jitter * slow * (1.0 + 0.5 * s.held as f64);
        let outcome = match (roll / faults.max(1e-9)) as u32 {
            _ if deadly => Some((takes, Outcome::Reset)),
            _ if s.dead > now && roll < 0.5 => Some((0.25, Outcome::ConnectFailed)),
            _ if s.dead > now => Some((0.001, Outcome::ConnectFailed)),
            _ if s.mute > now || reaped => None,
            _ if s.held > self.plan.full => Some((0.002, Outcome::Rejected)),
            _ if s.drops > now => Some((takes, Outcome::ConnectionLost)),
            0 => Some((takes, Outcome::Error)),
            1 => Some((takes, Outcome::ConnectionLost)),
            2 => Some((takes, Outcome::Reset)),
            3 => Some((0.0, Outcome::NeverSent)),
            4 => Some((1.0, Outcome::TimedOut)),
            _ => Some((takes, Outcome::Succeeded)),
        };
        let (after, outcome) = outcome.unwrap_or((f64::MAX, Outcome::TimedOut));
        let limit = timeout.unwrap_or(3.0);
        let mut end = if after > limit { (limit, Outcome::TimedOut) } else { (after, outcome) };
        if end.1 == Outcome::Succeeded && self.unit() < self.plan.streamed {
            self.later(
                after,
                Event::ResponseStarted { part, attempt, replica: ReplicaId(n as u64), elapsed: 0.0 },
            );
            end = (after + 4.0 * takes, if roll > 0.9 { Outcome::Reset } else { Outcome::Succeeded });
        }
        self.finish(part, attempt, end.0, end.1);
    }
}

/// An action as the streams were recorded with it. Written out, so that the recorded hashes hold whatever the types and
/// their fields are called in the code.
fn recorded_form(action: &Action) -> String {
    match action {
        Action::Send { part, replica, timeout } => {
            format!(
                "Send {{ part: PartId({}), replica: ReplicaId({}), timeout: {timeout:?} }}",
                part.0, replica.0
            )
        }
        Action::Cancel { part, attempt } => {
            format!("Cancel {{ part: PartId({}), attempt: {attempt} }}", part.0)
        }
        Action::Answer { query, complete } => {
            format!("Answer {{ query: QueryId({}), whole: {complete} }}", query.0)
        }
        Action::Reject { query, retry_after } => {
            format!("Refuse {{ query: QueryId({}), retry_after: {retry_after:?} }}", query.0)
        }
        Action::Fail { query } => format!("Fail {{ query: QueryId({}) }}", query.0),
        Action::HealthCheck { replica } => format!("Probe {{ replica: ReplicaId({}) }}", replica.0),
        Action::CloseIdle { replica } => format!("CloseIdle {{ replica: ReplicaId({}) }}", replica.0),
        Action::Timer { after } => format!("Timer {{ after: {after:?} }}"),
        Action::Subscribe => "Subscribe".to_owned(),
    }
}
