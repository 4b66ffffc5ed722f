//! Simulation of a cluster of [`TakeoverState`]s with a virtual clock: links that lose, duplicate and delay
//! messages and that are cut, members that die, pause and restart, an executor, and data nodes that record
//! which attempts run. Everything is drawn from one seed.
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

/// Parameters and faults of a run, in addition to delayed and duplicated messages.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub members: usize,
    pub ids: usize,
    /// Lost messages per thousand.
    pub loss_permille: u64,
    pub slow_permille: u64,
    pub cuts: u64,
    pub pauses: u64,
    pub kills: u64,
    pub restarts: bool,
    pub reconfigures: bool,
    /// Number of members in a group.
    pub group: usize,
    /// Maximum number of work items held by a member; the default limit if `None`.
    pub max_work_items: Option<usize>,
    /// Each id is submitted once, and every part returns a value.
    pub faultless: bool,
    /// Time at which the last fault ends, in microseconds.
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
    Timer(usize),
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

struct Execution {
    record: Rc<Record>,
    /// The next attempt by shard; `None` if the shard is finished.
    next: BTreeMap<u32, Option<u8>>,
    values: usize,
    done: bool,
}

pub struct Node {
    pub id: MemberId,
    pub takeover: TakeoverState,
    executions: BTreeMap<ExecutionKey, Execution>,
    clock_rate: f64,
    paused: bool,
    pub up: bool,
    deferred: Vec<Event>,
    wake_at: Option<u64>,
}

pub struct Simulation {
    pub now: u64,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    pub nodes: Vec<Node>,
    /// Members that died. Their accepted state still counts towards majorities.
    pub dead: Vec<(MemberId, TakeoverState)>,
    cut: Vec<Vec<bool>>,
    pub configs: Vec<Configuration>,
    pub clients: Vec<Client>,
    /// The client whose request is being submitted; nothing of it has been forwarded yet.
    pub submitting: Option<usize>,
    pub plan: Plan,
    checks: SafetyChecks,
    pub history: History,
    pub messages: u64,
}

impl Simulation {
    pub fn new(seed: u64, plan: Plan, checks: SafetyChecks) -> Simulation {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation {
            now: 0,
            rng,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            nodes: Vec::new(),
            dead: Vec::new(),
            cut: vec![vec![false; plan.members]; plan.members],
            configs: Vec::new(),
            clients: Vec::new(),
            submitting: None,
            plan,
            checks,
            history: History::default(),
            messages: 0,
        };
        for n in 0..plan.members {
            let node = simulation.new_node(n, 1);
            simulation.nodes.push(node);
        }
        let config = simulation.new_configuration(1, plan.members - usize::from(plan.reconfigures));
        simulation.configs.push(config);
        for n in 0..plan.members {
            simulation.schedule(0, Event::Configure(n, 1));
        }
        simulation.draw_events();
        simulation
    }

    fn new_node(&mut self, n: usize, incarnation: u64) -> Node {
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
        let clock_rate = 1.0 + self.random_below(99) as f64 / 10_000.0;
        Node {
            id,
            takeover,
            executions: BTreeMap::new(),
            clock_rate,
            paused: false,
            up: true,
            deferred: Vec::new(),
            wake_at: None,
        }
    }

    fn new_configuration(&self, epoch: u64, members: usize) -> Configuration {
        let member = |(n, node): (usize, &Node)| Member {
            id: node.id.clone(),
            zone: format!("z{}", n % 3).into(),
            address: ([127, 0, 0, 1], n as u16 + 1).into(),
        };
        let members = self.nodes.iter().enumerate().take(members).map(member).collect();
        Configuration::new(epoch, members).expect("a configuration")
    }

    pub fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn chance_permille(&mut self, permille: u64) -> bool {
        self.random_below(1000) < permille
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count)));
        self.events.insert(self.count, event);
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, n))) = self.queue.pop() {
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
        1 + n as u64 * 7_777 + (self.now as f64 * self.nodes[n].clock_rate) as u64
    }
}
