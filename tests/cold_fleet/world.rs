//! Many coordinators under one clock over one fleet of data nodes, some of them cold, and what a cold one gets
//! of all coordinators together.
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use marlgap::balancer::interface::*;
use marlgap::subsetting::Subset;
use marlgap::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::budget::{self, Found};
use crate::due::{Due, What};
use crate::rates::Done;

const ROUND: f64 = 0.005;
const BEGIN: f64 = 100.0;
/// When the first data node starts cold: the coordinators have seen a full time of averaging by then.
pub const COLD: f64 = 106.0;

/// How the fleet comes to have cold data nodes.
#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    /// Replaced one after the other within so many seconds, by ones of another name.
    Replaced(f64),
    /// Lost for five seconds, a zone as a whole, and back under their names.
    ZoneBack,
}

#[derive(Clone)]
pub struct Case {
    pub name: &'static str,
    pub rule: SlowStart,
    pub coordinators: usize,
    pub nodes: usize,
    /// Parts a second that a warm data node serves.
    pub capacity: f64,
    /// Parts that come in, over the capacity of the whole fleet.
    pub load: f64,
    /// Parts of a query, in the mean.
    pub parts: u64,
    pub way: Way,
    pub cold: f64,
    /// Least and most seconds until a coordinator is told of a change.
    pub told: (f64, f64),
    /// All coordinators are told of all that came before at this time after the first start, and not sooner.
    pub silence: f64,
    /// So many seconds after the first start this share of the coordinators restarts.
    pub restart: Option<(f64, f64)>,
    pub hung: f64,
    pub failing: f64,
    /// How much more comes in from three to eight seconds after the first start.
    pub burst: f64,
    pub reports: LoadReporting,
    /// How many data nodes each coordinator works with, if not with all.
    pub among: Option<usize>,
    /// How noisy the rates are that data nodes report; none where they report nothing.
    pub noise: Option<f64>,
}

pub struct Node {
    pub listed: Endpoint,
    pub born: f64,
    dead: (f64, f64),
    hung: bool,
    failing: bool,
    busy: f64,
    /// When it served what, for its reports.
    done: Done,
    /// What it was sent since it started cold: when, and whether by a coordinator that had been told.
    pub sent: Vec<(f64, bool)>,
}

struct Coordinator {
    balancer: Balancer,
    subset: Subset,
    /// Restarts so far: what was meant for an earlier life is lost.
    life: u32,
    weight: f64,
    tries: BTreeMap<PartId, u8>,
    out: BTreeSet<(PartId, u8)>,
    told: BTreeSet<(ReplicaId, u64)>,
}

pub struct World {
    pub case: Case,
    settings: Settings,
    rng: Pcg64Mcg,
    pub now: f64,
    next: u64,
    pub nodes: Vec<Node>,
    changes: Vec<(f64, Endpoint)>,
    coordinators: Vec<Coordinator>,
    due: BinaryHeap<Due>,
    pub asked: f64,
    pub served: f64,
}

fn started(entry: &Endpoint) -> (ReplicaId, u64) {
    (entry.replica, entry.started.unwrap_or(0.0).to_bits())
}

impl World {
    pub fn new(case: Case, seed: u64) -> World {
        let class = Class { latency_objective: 3.0, deadline: 6.0, ..crate::common::class() };
        let settings = Settings {
            classes: vec![class],
            cells: 12,
            reach: 4,
            coordinators: case.coordinators as u32,
            load_reporting: case.reports,
            max_attempts: 4,
            round_interval: ROUND,
            health_checks: true,
            slow_start: Some(case.rule),
            ..Settings::default()
        };
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0xc01d);
        let (nodes, changes, coordinators, due) = Default::default();
        let (now, next, asked, served) = (BEGIN, 0, 0.0, 0.0);
        let mut world =
            World { case, settings, rng, now, next, nodes, changes, coordinators, due, asked, served };
        world.found_nodes();
        world.found_coordinators(seed);
        world
    }

    fn subset(&self, seed: u64) -> Subset {
        Subset::new(seed, self.case.among.unwrap_or(usize::MAX))
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn found_nodes(&mut self) {
        let case = self.case.clone();
        for n in 0..case.nodes {
            let zone = ZoneId((n % 3) as u8);
            let cell = if case.nodes <= 12 { n } else { n / 3 };
            let cell = CellId((cell % self.settings.cells as usize) as u16);
            let (replica, phase) = (ReplicaId(n as u64), EndpointState::Ready);
            let listed = Endpoint { replica, zone, cell, state: phase, weight: 1.0, started: None };
            let (hung, failing) = (self.unit() < case.hung, self.unit() < case.failing);
            let (born, dead) = (f64::NEG_INFINITY, (f64::INFINITY, f64::INFINITY));
            let done = Default::default();
            self.nodes.push(Node { listed, born, dead, hung, failing, busy: 0.0, done, sent: Vec::new() });
        }
        let cold = (case.cold * case.nodes as f64).ceil() as usize;
        for n in 0..case.nodes {
            let old = self.nodes[n].listed;
            match case.way {
                Way::Replaced(within) if n * cold / case.nodes != (n + 1) * cold / case.nodes => {
                    let at = COLD + within * self.unit();
                    let replica = ReplicaId(self.nodes.len() as u64);
                    let listed = Endpoint { replica, started: Some(at), ..old };
                    self.nodes[n].dead.0 = at;
                    let (hung, failing, busy, dead) = (false, false, 0.0, (f64::INFINITY, f64::INFINITY));
                    let done = Default::default();
                    self.nodes.push(Node {
                        listed,
                        born: at,
                        dead,
                        hung,
                        failing,
                        busy,
                        done,
                        sent: Vec::new(),
                    });
                    self.changes.push((at, Endpoint { state: EndpointState::Removed, ..old }));
                    self.changes.push((at, listed));
                }
                Way::ZoneBack if old.zone == ZoneId(0) => {
                    let node = &mut self.nodes[n];
                    (node.dead, node.born) = ((COLD - 5.0, COLD), COLD);
                    node.listed.started = Some(COLD);
                    (node.hung, node.failing) = (false, false);
                    self.changes.push((COLD - 5.0, Endpoint { state: EndpointState::Removed, ..old }));
                    self.changes.push((COLD, Endpoint { started: Some(COLD), ..old }));
                }
                _ => {}
            }
        }
        self.changes.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// The list as it was at a time.
    fn list(&self, at: f64) -> Vec<Endpoint> {
        let old = |n: &&Node| n.born == f64::NEG_INFINITY || n.listed.replica.0 < self.case.nodes as u64;
        let first = self.nodes.iter().filter(old).map(|n| Endpoint { started: None, ..n.listed });
        let mut list: BTreeMap<_, _> = first.map(|l| (l.replica, l)).collect();
        for (_, entry) in self.changes.iter().take_while(|c| c.0 <= at) {
            list.insert(entry.replica, *entry);
        }
        list.into_values().filter(|l| l.state != EndpointState::Removed).collect()
    }

    fn later(&mut self, at: f64, to: usize, what: What) {
        self.next += 1;
        let life = self.coordinators[to].life;
        self.due.push(Due(at, self.next, to, life, what));
    }

    fn tell(&mut self, at: f64, to: usize, news: EndpointUpdate, entries: Vec<Endpoint>) {
        self.later(at, to, What::Event(Event::Endpoints { update: news, endpoints: entries }));
    }

    fn found_coordinators(&mut self, seed: u64) {
        for n in 0..self.case.coordinators {
            let balancer = Balancer::new(self.settings.clone(), seed * 1000 + n as u64).expect("served");
            let (tries, out, told) = Default::default();
            let weight = [0.2, 1.0, 1.0, 0.2, 4.0][n % 5];
            let subset = self.subset(seed * 1000 + n as u64);
            self.coordinators.push(Coordinator { balancer, subset, life: 0, weight, tries, out, told });
            let entries = self.list(BEGIN);
            self.tell(BEGIN, n, EndpointUpdate::Full, entries);
            self.live(n);
        }
    }

    /// What comes to a coordinator from now on: changes that it is told of, and its queries.
    fn live(&mut self, n: usize) {
        let (least, most) = self.case.told;
        for (at, entry) in self.changes.clone() {
            let heard = (at + least + (most - least) * self.unit()).max(COLD + self.case.silence);
            if heard > self.now {
                self.tell(heard, n, EndpointUpdate::Delta, vec![entry]);
            }
        }
        let at = self.now + 0.2 * self.unit();
        self.later(at, n, What::Ask);
    }

    fn restart(&mut self, share: f64, seed: u64) {
        for n in 0..self.coordinators.len() {
            if self.unit() >= share {
                continue;
            }
            let balancer = Balancer::new(self.settings.clone(), seed * 7000 + n as u64).expect("served");
            let subset = self.subset(seed * 7000 + n as u64);
            let c = &mut self.coordinators[n];
            (c.balancer, c.subset, c.life) = (balancer, subset, c.life + 1);
            c.tries.clear();
            c.out.clear();
            c.told.clear();
            let (old, new) = (self.list(self.now - 3.0), self.list(self.now));
            self.tell(self.now, n, EndpointUpdate::Cached, old);
            let at = self.now + 0.05 + 0.5 * self.unit();
            self.tell(at, n, EndpointUpdate::Full, new);
            self.live(n);
        }
    }

    pub fn run(mut self, seed: u64) -> Found {
        let within = if let Way::Replaced(within) = self.case.way { within } else { 0.0 };
        let end = COLD + within + self.case.rule.ramp;
        let mut restart = self.case.restart;
        let mut pending: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
        while self.now < end {
            self.now += ROUND;
            if restart.is_some_and(|(at, _)| COLD + at <= self.now) {
                self.restart(restart.take().expect("due").1, seed);
            }
            while self.due.peek().is_some_and(|d| d.0 <= self.now) {
                let Some(Due(_, _, n, life, what)) = self.due.pop() else { break };
                if self.coordinators[n].life == life {
                    let events = pending.entry(n).or_default();
                    match what {
                        What::Ask => self.ask(n, events),
                        What::Event(event) => events.extend(self.ripe(n, event)),
                    }
                }
            }
            for (n, events) in std::mem::take(&mut pending) {
                if !events.is_empty() {
                    for action in self.coordinators[n].balancer.round(self.now, &events) {
                        self.act(n, action);
                    }
                }
            }
        }
        budget::found(&self)
    }

    fn ask(&mut self, n: usize, events: &mut Vec<Event>) {
        let since = self.now - COLD;
        let burst = if (3.0..8.0).contains(&since) { self.case.burst } else { 1.0 };
        let weights: f64 = self.coordinators.iter().map(|c| c.weight).sum();
        let all = self.case.load * self.case.capacity * self.case.nodes as f64 * burst;
        let rate = all * self.coordinators[n].weight / weights / self.case.parts as f64;
        let pause = -(1.0 - self.unit()).max(1e-9).ln() / rate;
        self.later(self.now + pause, n, What::Ask);
        let parts = 1 + (self.rng.next_u64() % (2 * self.case.parts - 1)) as u32;
        self.next += u64::from(parts) + 1;
        let first = self.next as u32;
        let number = QueryNumber(first);
        let (query, class, tenant, patience) = (QueryId(first), ClassId(0), TenantId(0), 6.0);
        events.push(Event::Query {
            query,
            number,
            class,
            tenant,
            time_left: patience,
            parts,
            is_retry: false,
        });
        for p in 0..parts {
            let shard = ShardId(self.rng.next_u32() % 24);
            let weight = 1.0 / f64::from(parts);
            let part = PartId(first - 1 - p);
            self.coordinators[n].tries.insert(part, 0);
            events.push(Event::Part { part, number, shard, weight, prior_attempts: 0, completed: false });
        }
        self.asked += if since >= 0.0 { f64::from(parts) } else { 0.0 };
    }

    /// An event whose time has come, unless its attempt has ended otherwise.
    fn ripe(&mut self, n: usize, event: Event) -> Option<Event> {
        let c = &mut self.coordinators[n];
        match &event {
            Event::Outcome { part, attempt, outcome, .. } => {
                if !c.out.remove(&(*part, *attempt)) {
                    return None;
                }
                if *outcome == Outcome::Succeeded && c.tries.remove(part).is_some() && self.now >= COLD {
                    self.served += 1.0;
                }
            }
            Event::Endpoints { update, endpoints } => {
                c.told.extend(endpoints.iter().map(started));
                return Some(Event::Endpoints {
                    update: *update,
                    endpoints: c.subset.update(*update, endpoints.clone()),
                });
            }
            _ => {}
        }
        Some(event)
    }

    fn act(&mut self, n: usize, action: Action) {
        match action {
            Action::Send { part, replica, timeout } => self.send(n, part, replica, timeout),
            Action::Cancel { part, attempt } => {
                self.end(n, part, attempt, (0.002, Outcome::Cancelled), ReplicaId(0))
            }
            Action::Timer { after } => self.later(self.now + after, n, What::Event(Event::Timer)),
            Action::HealthCheck { replica } => self.count(n, replica),
            _ => {}
        }
    }

    /// All that reaches a cold data node counts, probes too.
    fn count(&mut self, n: usize, replica: ReplicaId) {
        let (now, told) = (self.now, &self.coordinators[n].told);
        let node = &mut self.nodes[replica.0 as usize];
        if now >= node.born && now < node.born + self.case.rule.ramp {
            let told = told.contains(&started(&node.listed));
            node.sent.push((now, told));
        }
    }

    fn end(&mut self, n: usize, part: PartId, attempt: u8, end: (f64, Outcome), replica: ReplicaId) {
        let (after, outcome) = end;
        let over = outcome == Outcome::Succeeded;
        let report = self.case.noise.filter(|_| over).map(|noise| {
            let odds = self.unit();
            self.nodes[replica.0 as usize].done.report(self.now, noise, odds)
        });
        let event =
            Event::Outcome { part, attempt, replica, part_finished: over, outcome, elapsed: after, report };
        self.later(self.now + after, n, What::Event(event));
    }

    fn send(&mut self, n: usize, part: PartId, replica: ReplicaId, timeout: Option<f64>) {
        let c = &mut self.coordinators[n];
        let tries = c.tries.entry(part).or_default();
        let attempt = *tries;
        *tries += 1;
        c.out.insert((part, attempt));
        self.count(n, replica);
        let (now, work, lucky) = (self.now, 0.5 + self.unit(), self.unit() < 0.3);
        let share = self.share(replica, now);
        let node = &mut self.nodes[replica.0 as usize];
        let end = match () {
            _ if node.dead.0 <= now && now < node.dead.1 => (0.25, Outcome::ConnectFailed),
            _ if node.hung => (f64::MAX, Outcome::TimedOut),
            _ if node.failing && !lucky => (0.005, Outcome::Error),
            _ if node.busy > now + 1.5 => (0.002, Outcome::Rejected),
            _ => {
                node.busy = node.busy.max(now) + work / (self.case.capacity * share);
                let done = node.busy;
                node.done.serve(done);
                match node.dead.0 > now && node.dead.0 < done {
                    true => (node.dead.0 - now, Outcome::Reset),
                    false => (done - now + 0.002, Outcome::Succeeded),
                }
            }
        };
        let end =
            if end.0 > timeout.unwrap_or(6.0) { (timeout.unwrap_or(6.0), Outcome::TimedOut) } else { end };
        self.end(n, part, attempt, end, replica);
    }

    /// What share of its capacity a data node has at least.
    pub fn share(&self, replica: ReplicaId, at: f64) -> f64 {
        let (rule, born) = (self.case.rule, self.nodes[replica.0 as usize].born);
        (rule.initial_capacity + (1.0 - rule.initial_capacity) * ((at - born) / rule.ramp).max(0.0)).min(1.0)
    }
}
