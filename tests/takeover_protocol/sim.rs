//! A cluster of [`TakeoverState`]s under a virtual clock: links that lose, duplicate, delay and cut, members
//! that die, pause and restart, an executor, and servers that record what runs. All drawn from one seed.
mod actions;
mod events;
mod schedule;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use marlgap::cluster::takeover::{
    ClassRule, ClientReply, ExecutionKey, Limits, Message, Record, SafetyChecks, TakeoverState, WhenFull,
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
}
