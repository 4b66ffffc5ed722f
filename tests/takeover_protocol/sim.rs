//! A cluster of [`TakeoverState`]s under a virtual clock: links that lose, duplicate, delay and cut, members
//! that die, pause and restart, an executor, and servers that record what runs. All drawn from one seed.
mod actions;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use marlgap::cluster::takeover::{
    ClassRule, ClientReply, ClientToken, ExecutionKey, Limits, Message, Record, SafetyChecks, SubmitRequest,
    TakeoverState, WhenFull,
};
use marlgap::cluster::{Configuration, Member, MemberId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::check::History;

pub const SECOND: u64 = 1_000_000;
const MS: u64 = 1_000;

/// The faults of a run, besides delays and duplicates.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub members: usize,
    pub ids: usize,
    /// In a thousand messages.
    pub loss_permille: u64,
    pub slow_permille: u64,
    pub cuts: u64,
    pub pauses: u64,
    pub kills: u64,
    pub restarts: bool,
    pub reconfigures: bool,
    /// Members of a group.
    pub group: usize,
    /// How many work items a member holds at most; `None`: the default.
    pub max_work_items: Option<usize>,
    /// Each id is submitted once, and every part is answered.
    pub faultless: bool,
    /// No fault lasts beyond, in microseconds.
    pub faults_end_at: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            members: 3,
            ids: 4,
            loss_permille: 0,
            slow_permille: 0,
            cuts: 0,
            pauses: 0,
            kills: 0,
            restarts: false,
            reconfigures: false,
            group: 3,
            max_work_items: None,
            faultless: false,
            faults_end_at: 2 * SECOND,
        }
    }
}

enum Event {
    Deliver(usize, MemberId, Rc<Message>),
    Wake(usize),
    Submit { node: usize, client: usize },
    AttemptFinished { node: usize, incarnation: u64, key: ExecutionKey, shard: u32, result: AttemptResult },
    Cut(usize, usize, bool),
    Pause(usize, u64),
    Resume(usize),
    Kill(usize, Option<u64>),
    Restart(usize),
    Configure(usize, u64),
    Reconfigure,
}

#[derive(Clone, Copy)]
enum AttemptResult {
    Value,
    NeverRan,
    Lost,
}

pub struct Client {
    pub id: Rc<str>,
    pub class: u16,
    pub payload: Rc<[u8]>,
    pub deadline_unix_ms: u64,
    pub replies: Vec<ClientReply>,
    pub submitted: bool,
    at: usize,
}

struct Run {
    record: Rc<Record>,
    /// By shard: the attempt to be made next; `None`: finished.
    next: BTreeMap<u32, Option<u8>>,
    values: usize,
    done: bool,
}

pub struct Node {
    pub id: MemberId,
    pub takeover: TakeoverState,
    runs: BTreeMap<ExecutionKey, Run>,
    rate: f64,
    stopped: bool,
    pub up: bool,
    late: Vec<Event>,
    wakes: Option<u64>,
}

pub struct Simulation {
    pub now: u64,
    rng: Pcg64Mcg,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    pub nodes: Vec<Node>,
    /// Members that died: what they held still counts toward majorities.
    pub dead: Vec<(MemberId, TakeoverState)>,
    cut: Vec<Vec<bool>>,
    pub configs: Vec<Configuration>,
    pub clients: Vec<Client>,
    pub plan: Plan,
    checks: SafetyChecks,
    pub history: History,
    pub messages: u64,
}

impl Simulation {
    pub fn new(seed: u64, plan: Plan, checks: SafetyChecks) -> Simulation {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = Simulation {
            now: 0,
            rng,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            nodes: Vec::new(),
            dead: Vec::new(),
            cut: vec![vec![false; plan.members]; plan.members],
            configs: Vec::new(),
            clients: Vec::new(),
            plan,
            checks,
            history: History::default(),
            messages: 0,
        };
        for n in 0..plan.members {
            let node = world.node(n, 1);
            world.nodes.push(node);
        }
        let config = world.config(1, plan.members - usize::from(plan.reconfigures));
        world.configs.push(config);
        for n in 0..plan.members {
            world.schedule(0, Event::Configure(n, 1));
        }
        world.draw_events();
        world
    }

    fn node(&mut self, n: usize, incarnation: u64) -> Node {
        let id = MemberId::new(&format!("m{n}"), incarnation);
        let rule = |idempotent| {
            Some(ClassRule {
                idempotent,
                group_size: self.plan.group,
                outcome_retention_ms: 5_000,
                when_full: WhenFull::Reject,
                priority_weight: 1.0,
            })
        };
        let limits = Limits::default();
        let limits =
            Limits { max_work_items: self.plan.max_work_items.unwrap_or(limits.max_work_items), ..limits };
        let mut takeover = TakeoverState::new(id.clone(), vec![rule(false), rule(true)], limits);
        takeover.set_safety_checks(self.checks);
        let rate = 1.0 + self.below(99) as f64 / 10_000.0;
        Node {
            id,
            takeover,
            runs: BTreeMap::new(),
            rate,
            stopped: false,
            up: true,
            late: Vec::new(),
            wakes: None,
        }
    }

    fn config(&self, epoch: u64, members: usize) -> Configuration {
        let member = |(n, node): (usize, &Node)| Member {
            id: node.id.clone(),
            zone: format!("z{}", n % 3).into(),
            address: ([127, 0, 0, 1], n as u16 + 1).into(),
        };
        let members = self.nodes.iter().enumerate().take(members).map(member).collect();
        Configuration::new(epoch, members).expect("a configuration")
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn chance(&mut self, of_thousand: u64) -> bool {
        self.below(1000) < of_thousand
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((self.now + after, self.count)));
        self.events.insert(self.count, event);
    }

    /// Clients and faults of the run.
    fn draw_events(&mut self) {
        let (plan, members) = (self.plan, self.plan.members as u64);
        for n in 0..plan.ids {
            let (class, at) = (self.below(2) as u16, 1 + self.below(600 * MS));
            let ends = at / MS + 3_000 + plan.faults_end_at / MS;
            // Half of the ids are submitted twice, at two members; one in ten with another payload.
            for twice in 0..1 + self.below(if plan.faultless { 1 } else { 2 }) {
                let other = twice == 1 && self.chance(200);
                let text = format!("{n}{}", if other { "other" } else { "" });
                let client = Client {
                    id: format!("id{n}").into(),
                    class,
                    payload: text.as_bytes().into(),
                    deadline_unix_ms: ends,
                    replies: vec![],
                    submitted: false,
                    at: 0,
                };
                self.clients.push(client);
                let node = self.below(members) as usize;
                let after = if self.chance(500) { at } else { at + self.below(300 * MS) };
                self.schedule(after, Event::Submit { node, client: self.clients.len() - 1 });
            }
        }
        for _ in 0..plan.cuts {
            let (a, b) = (self.below(members) as usize, self.below(members) as usize);
            let (at, span, both) = (self.below(plan.faults_end_at), self.below(1500 * MS), self.chance(500));
            for (a, b) in [(a, b), (b, a)].into_iter().take(1 + usize::from(both)) {
                self.schedule(at, Event::Cut(a, b, true));
                self.schedule((at + span).min(plan.faults_end_at), Event::Cut(a, b, false));
            }
        }
        for _ in 0..plan.pauses {
            let (node, at) = (self.below(members) as usize, self.below(plan.faults_end_at));
            let span = 50 * MS + self.below(1500 * MS);
            self.schedule(at, Event::Pause(node, span.min(plan.faults_end_at.saturating_sub(at))));
        }
        for _ in 0..plan.kills {
            let (node, at) = (self.below(members) as usize, self.below(plan.faults_end_at));
            let back = plan.restarts.then(|| 1 + self.below(100 * MS));
            self.schedule(at, Event::Kill(node, back));
        }
        if plan.reconfigures {
            let at = self.below(800 * MS);
            self.schedule(at, Event::Reconfigure);
        }
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, n))) = self.heap.pop() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&n) {
                self.event(event);
            }
        }
    }

    fn clock(&self, n: usize) -> u64 {
        1 + n as u64 * 7_777 + (self.now as f64 * self.nodes[n].rate) as u64
    }

    fn event(&mut self, event: Event) {
        let unix = self.now / MS;
        let of = match &event {
            Event::Deliver(n, ..) | Event::Wake(n) | Event::Configure(n, _) => Some(*n),
            Event::Submit { node, .. } | Event::AttemptFinished { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(n) = of {
            if self.nodes[n].stopped {
                return self.nodes[n].late.push(event);
            }
            if !self.nodes[n].up && !matches!(event, Event::Submit { .. }) {
                return;
            }
        }
        match event {
            Event::Deliver(n, from, message) => {
                let now = self.clock(n);
                let read = Message::from_bytes(&message.to_bytes()).expect("readable");
                self.nodes[n].takeover.receive(now, unix, &from, read);
                self.carry_out(n);
            }
            Event::Wake(n) => {
                let now = self.clock(n);
                self.nodes[n].wakes = None;
                self.nodes[n].takeover.tick(now, unix);
                self.carry_out(n);
            }
            Event::Configure(n, epoch) => {
                let now = self.clock(n);
                for config in self.configs.clone().into_iter().filter(|c| c.epoch() <= epoch) {
                    self.nodes[n].takeover.configure(now, config);
                }
                self.carry_out(n);
            }
            Event::Submit { node, client } => {
                let n =
                    (0..self.nodes.len()).map(|i| (node + i) % self.nodes.len()).find(|n| self.nodes[*n].up);
                let Some(n) = n else { return };
                let now = self.clock(n);
                let c = &mut self.clients[client];
                c.at = n;
                c.submitted = true;
                let request = SubmitRequest {
                    id: Rc::clone(&c.id),
                    class: c.class,
                    payload: Rc::clone(&c.payload),
                    deadline_unix_ms: c.deadline_unix_ms,
                    shards: [1, 2].into(),
                };
                self.nodes[n].takeover.submit(now, unix, client as ClientToken, request);
                self.carry_out(n);
            }
            Event::AttemptFinished { node, incarnation, key, shard, result } => {
                if self.nodes[node].id.incarnation == incarnation {
                    self.attempt_finished(node, key, shard, result);
                    self.carry_out(node);
                }
            }
            Event::Cut(a, b, cut) => self.cut[a][b] = cut && a != b,
            Event::Pause(n, span) => {
                self.nodes[n].stopped = true;
                self.schedule(span, Event::Resume(n));
            }
            Event::Resume(n) => {
                self.nodes[n].stopped = false;
                let mut late = std::mem::take(&mut self.nodes[n].late);
                // What came meanwhile and the own timers, in either order.
                if self.chance(500) {
                    late.sort_by_key(|e| !matches!(e, Event::Wake(_)));
                }
                late.into_iter().for_each(|e| self.event(e));
            }
            Event::Kill(n, back) => self.kill(n, back),
            Event::Restart(n) => {
                let incarnation = self.nodes[n].id.incarnation + 1;
                self.nodes[n] = self.node(n, incarnation);
                let epoch = self.configs.last().map_or(0, Configuration::epoch);
                self.event(Event::Configure(n, epoch));
            }
            Event::Reconfigure => {
                let config = self.config(2, self.plan.members);
                self.configs.push(config);
                for n in 0..self.nodes.len() {
                    let after = self.below(400 * MS);
                    self.schedule(after, Event::Configure(n, 2));
                }
            }
        }
    }

    fn kill(&mut self, n: usize, back: Option<u64>) {
        let dead = self.nodes.iter().filter(|n| !n.up).count();
        if !self.nodes[n].up || self.nodes[n].stopped || back.is_none() && dead > 0 {
            return;
        }
        let empty = self.node(n, 0);
        let id = self.nodes[n].id.clone();
        let old = std::mem::replace(&mut self.nodes[n], Node { id: id.clone(), up: false, ..empty });
        self.dead.push((id, old.takeover));
        // Its clients submit elsewhere, under the same id.
        for client in 0..self.clients.len() {
            let c = &self.clients[client];
            if c.submitted && c.at == n && c.replies.is_empty() {
                let (node, after) = (self.below(self.nodes.len() as u64) as usize, 1 + self.below(20 * MS));
                self.schedule(after, Event::Submit { node, client });
            }
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].up && self.chance(500) {
                let (now, id) = (self.clock(at), self.nodes[n].id.clone());
                self.nodes[at].takeover.record_gossip(now, &id, false);
            }
        }
        if let Some(after) = back {
            self.schedule(after, Event::Restart(n));
        }
    }
}
