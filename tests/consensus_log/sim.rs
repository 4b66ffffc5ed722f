//! Voters under a virtual clock: messages lost, doubled, held back and reordered, partitions, crashes with and without
//! the disk. One checker looks at all that any of them ever applied.
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::rc::Rc;

use marlgap::cluster::consensus_log::{
    encode_command, voter_id, Command, ConsensusLog, Identity, Limits, LogAction, ProposalId, ProposeError,
    ReceiveError, StoredLog, Voter,
};
use marlgap::cluster::{Configuration, Member, MemberId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A safety check that is disabled, to show that the checker finds what breaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Without {
    Nothing,
    /// Messages go out before what they rest on is durable.
    PersistFirst,
    /// Who comes back without its disk votes as it did before.
    NewVoter,
}

/// The finisher of SplitMix64.
fn mix(x: u64) -> u64 {
    let z = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub fn fnv(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

pub struct Node {
    pub voter: Voter,
    pub disk: StoredLog,
    pub log: Option<ConsensusLog>,
    /// What the other parts hold: the last index applied and a sum over all commands.
    state: (u64, u64),
}

pub struct Sim {
    pub nodes: Vec<Node>,
    pub rng: Pcg64Mcg,
    pub now: u64,
    without: Without,
    limits: Limits,
    cluster: u64,
    wire: Vec<(u64, usize, usize, Vec<u8>)>,
    /// Cut from the others.
    apart: Vec<bool>,
    lossy: bool,
    /// The leader that is to be cut off, and when.
    cut: Option<(u64, usize)>,
    /// What was applied at each index, anywhere, and the state after it.
    ledger: BTreeMap<u64, (Vec<u8>, u64)>,
    epochs: BTreeMap<u64, Configuration>,
    pub acknowledged: BTreeMap<u64, Vec<u8>>,
    pub refused: Vec<ReceiveError>,
    pub leaders: u64,
    last_incarnation: u64,
    broken: Option<String>,
}

pub fn voter(n: usize, incarnation: u64, disk: u64) -> Voter {
    let id = MemberId::new(&format!("m{n}"), incarnation);
    let member = Member {
        id,
        zone: format!("z{}", n % 3).as_str().into(),
        address: ([127, 0, 0, 1], n as u16 + 1).into(),
    };
    Voter { member, disk_id: disk }
}

impl Sim {
    pub fn new(n: usize, seed: u64, limits: Limits, without: Without) -> Sim {
        let voters: Vec<Voter> = (0..n).map(|i| voter(i, 1, mix(seed) ^ i as u64)).collect();
        let cluster = mix(seed ^ 7);
        let stored = StoredLog::bootstrap(cluster, voters.clone()).expect("a founded cluster");
        let node = |voter: Voter| Node { voter, disk: stored.clone(), log: None, state: (0, 0) };
        let mut sim = Sim {
            nodes: voters.into_iter().map(node).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            without,
            limits,
            cluster,
            wire: Vec::new(),
            apart: vec![false; n],
            lossy: false,
            cut: None,
            ledger: BTreeMap::new(),
            epochs: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            refused: Vec::new(),
            leaders: 0,
            last_incarnation: 1,
            broken: None,
        };
        (0..n).for_each(|i| sim.start(i));
        sim
    }

    pub fn chance(&mut self, of: u64) -> bool {
        self.rng.next_u64().is_multiple_of(of)
    }

    pub fn pick(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below as u64) as usize
    }

    fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let me = Identity { name: node.voter.member.id.name.clone(), disk_id: node.voter.disk_id };
        node.state = (0, 0);
        match ConsensusLog::new(me, node.disk.clone(), self.limits.clone()) {
            Ok(log) => node.log = Some(log),
            Err(e) => self.broken = Some(format!("m{i} does not start: {e}")),
        }
        self.act(i, false);
    }

    /// Another life of the same name: with its disk, or with an empty one.
    pub fn restart(&mut self, i: usize, with_disk: bool) {
        self.last_incarnation += 1;
        let cluster = self.cluster;
        let incarnation = self.last_incarnation;
        let node = &mut self.nodes[i];
        if !with_disk {
            node.disk = StoredLog::joining(cluster);
            if self.without != Without::NewVoter {
                node.voter.disk_id = mix(incarnation ^ node.voter.disk_id);
            }
        }
        node.voter.member.id.incarnation = incarnation;
        self.start(i);
    }

    fn break_if(&mut self, broken: bool, what: impl FnOnce() -> String) {
        if broken && self.broken.is_none() {
            self.broken = Some(what());
        }
    }

    /// Acts on what is ready; `crash` ends the process somewhere within it.
    pub fn act(&mut self, i: usize, crash: bool) {
        let Some(log) = &mut self.nodes[i].log else { return };
        let mut acts = log.ready();
        if self.without == Without::PersistFirst {
            acts.sort_by_key(|a| !matches!(a, LogAction::Send { .. }));
        }
        let upto = if crash { self.pick(acts.len() + 1) } else { acts.len() };
        for act in acts.into_iter().take(upto) {
            self.one(i, act);
        }
        if crash {
            self.nodes[i].log = None;
            return;
        }
        let Some(log) = &self.nodes[i].log else { return };
        let (membership, id) =
            (log.membership(), voter_id(&self.nodes[i].voter.member.id.name, self.nodes[i].voter.disk_id));
        let mut wrong = None;
        for config in membership.open_epochs() {
            let known = self.epochs.entry(config.epoch()).or_insert_with(|| config.clone());
            if known != config {
                wrong = Some(format!("two configurations of epoch {}", config.epoch()));
            }
        }
        let listed = membership.raft_ids().voters.contains(&id);
        self.break_if(is_leader(&self.nodes[i]) && !listed && self.without == Without::Nothing, || {
            "the leader is no voter".into()
        });
        self.break_if(wrong.is_some(), || wrong.unwrap_or_default());
    }

    fn one(&mut self, i: usize, act: LogAction) {
        match act {
            LogAction::Persist(batch) => self.nodes[i].disk.apply(&batch),
            LogAction::Send { to, bytes } => {
                let to = self.nodes.iter().position(|n| n.voter.member.id.name == to).expect("a name");
                let copies = if self.lossy { [1, 1, 1, 1, 2, 0][self.pick(6)] } else { 1 };
                for _ in 0..copies {
                    let late = if self.lossy && self.chance(8) { 25 } else { 3 };
                    let at = self.now + 1 + self.rng.next_u64() % late;
                    self.wire.push((at, i, to, bytes.clone()));
                }
            }
            LogAction::Restored { index, application_state, .. } => {
                let sum = application_state.try_into().map_or(0, u64::from_be_bytes);
                self.nodes[i].state = (index, sum);
                let differs = self.ledger.range(..=index).next_back().is_some_and(|(_, (_, s))| *s != sum);
                self.break_if(differs, || format!("m{i} restored another state at {index}"));
            }
            LogAction::Applied { index, proposal, command, .. } => {
                let bytes = encode_command(proposal, &command);
                let (last, sum) = self.nodes[i].state;
                self.break_if(index <= last, || format!("m{i} applied {index} after {last}"));
                let sum = mix(sum ^ fnv(&bytes) ^ index);
                self.nodes[i].state = (index, sum);
                let known = self.ledger.entry(index).or_insert((bytes.clone(), sum)).clone();
                self.break_if(known != (bytes.clone(), sum), || {
                    format!("two commands, or orders, at {index}")
                });
                if proposal.proposer
                    == voter_id(&self.nodes[i].voter.member.id.name, self.nodes[i].voter.disk_id)
                {
                    self.acknowledged.insert(index, bytes);
                }
            }
            LogAction::Compact => {
                let (state, log) = (self.nodes[i].state, self.nodes[i].log.as_mut());
                if let Some(log) = log {
                    log.compact(&state.1.to_be_bytes()).expect("a snapshot");
                }
                self.act(i, false);
            }
            LogAction::LeadershipChanged { is_leader } => self.leaders += u64::from(is_leader),
            LogAction::Stopped(why) => self.break_if(true, || format!("m{i} stopped: {why}")),
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let term = |n: &Node| n.log.as_ref().filter(|l| l.is_leader()).map(ConsensusLog::term);
        (0..self.nodes.len())
            .filter(|i| term(&self.nodes[*i]).is_some())
            .max_by_key(|i| term(&self.nodes[*i]))
    }

    pub fn propose(&mut self, at: usize, command: &Command) -> Result<ProposalId, ProposeError> {
        let proposed = self.nodes[at].log.as_mut().expect("a log").propose(command);
        self.act(at, false);
        proposed
    }

    /// One tick of time: what is due is delivered, in any order.
    pub fn step(&mut self) {
        self.now += 1;
        if let Some((_, leader)) = self.cut.take_if(|(at, _)| *at <= self.now) {
            let n = self.nodes.len();
            (0..n).for_each(|i| self.apart[i] = i == leader);
        }
        let (mut due, later): (Vec<_>, Vec<_>) = self.wire.drain(..).partition(|m| m.0 <= self.now);
        self.wire = later;
        while !due.is_empty() {
            let (_, from, to, bytes) = due.swap_remove((self.rng.next_u64() % due.len() as u64) as usize);
            if self.apart[from] == self.apart[to] {
                let name: Rc<str> = format!("m{from}").as_str().into();
                if let Some(Err(e)) = self.nodes[to].log.as_mut().map(|l| l.receive(&name, &bytes)) {
                    self.refused.push(e);
                }
                // A process ends within what it does on a message, now and then.
                let crash = self.lossy && self.chance(60);
                self.act(to, crash);
                if let Some(leader) = self.leader().filter(|l| crash && *l != to) {
                    // Its answer may be out; then the leader that heard it goes, and it is back without its memory.
                    self.cut = Some((self.now + 4, leader));
                }
            }
        }
        for i in 0..self.nodes.len() {
            if let Some(log) = &mut self.nodes[i].log {
                log.tick();
            }
            self.act(i, false);
        }
        // Whoever runs and does not count asks to be admitted.
        if let Some(at) = self.leader().filter(|_| self.now.is_multiple_of(5)) {
            let log = self.nodes[at].log.as_ref().expect("a log");
            let (base, closes) = (
                log.membership().latest().map_or(0, Configuration::epoch),
                log.membership().open_epochs().count() > 4,
            );
            let missing = self
                .nodes
                .iter()
                .find(|n| n.log.is_some() && !log.membership().members().any(|s| *s == n.voter));
            let admit = missing.map(|n| Command::Admit { voter: n.voter.clone(), known_epoch: base });
            if let Some(admit) = admit {
                let _ = self.propose(at, &admit);
            }
            if closes {
                let _ = self.propose(at, &Command::CloseEpoch(base - 1));
            }
        }
    }

    /// A day of faults, then rest. What is wrong, if anything is.
    pub fn play(n: usize, seed: u64, without: Without) -> Result<Sim, String> {
        let limits = Limits { retained_entries: 8, ..Limits::default() };
        let mut sim = Sim::new(n, seed, limits, without);
        sim.lossy = true;
        for round in 0..400u32 {
            sim.step();
            if sim.chance(4) {
                let at = sim.pick(n);
                if sim.nodes[at].log.is_some() {
                    let _ = sim.propose(at, &Command::Plan(round.to_be_bytes().as_slice().into()));
                }
            }
            if sim.chance(40) {
                // One of them, two of five: either half may hold the leader.
                let whom = [sim.pick(n), sim.pick(n)];
                let cut = sim.chance(2);
                (0..n).for_each(|i| sim.apart[i] = cut && whom.contains(&i));
            }
            if sim.chance(25) {
                // A leader in half of the cases: it has the most to forget.
                let i = if sim.chance(2) { sim.leader().unwrap_or(0) } else { sim.pick(n) };
                sim.act(i, true);
            }
            for i in 0..n {
                if sim.nodes[i].log.is_none() && sim.chance(10) {
                    // A disk is lost only while all others vote and have theirs: two lost at once are beyond what
                    // three voters can bear.
                    let whole = sim.whole(i);
                    let with_disk = !whole || !sim.chance(3);
                    sim.restart(i, with_disk);
                }
            }
            if let Some(why) = sim.broken {
                return Err(format!("seed {seed}, time {}: {why}", sim.now));
            }
        }
        sim.lossy = false;
        sim.cut = None;
        sim.apart = vec![false; n];
        for i in 0..n {
            if sim.nodes[i].log.is_none() {
                sim.restart(i, true);
            }
        }
        sim.settle(seed)
    }

    /// The others run, vote, and have the newest membership.
    fn whole(&self, i: usize) -> bool {
        let Some(leader) = self.leader().and_then(|l| self.nodes[l].log.as_ref()) else { return false };
        if leader.has_pending_membership_change() {
            return false;
        }
        let voters = leader.membership().raft_ids().voters;
        let fit = |n: &Node| n.log.as_ref().is_some_and(|l| l.applied_index() + 2 >= leader.applied_index());
        let counts = |n: &Node| voters.contains(&n.voter.voter_id());
        self.nodes.iter().all(counts) && self.nodes.iter().enumerate().all(|(j, n)| j == i || fit(n))
    }

    fn settle(mut self, seed: u64) -> Result<Sim, String> {
        for _ in 0..600 {
            self.step();
            let counted = |s: &Sim, at: usize| {
                let log = s.nodes[at].log.as_ref().expect("a log");
                s.nodes.iter().all(|n| log.membership().members().any(|x| *x == n.voter))
            };
            if let Some(at) = self.leader().filter(|at| counted(&self, *at)) {
                let first = self.nodes[at].log.as_ref().expect("a log").applied_index();
                let same =
                    self.nodes.iter().all(|n| n.log.as_ref().is_some_and(|l| l.applied_index() == first));
                if same && self.now.is_multiple_of(7) {
                    break;
                }
            }
            if let Some(why) = self.broken {
                return Err(format!("seed {seed}, time {}: {why}", self.now));
            }
        }
        let states: Vec<_> = self.nodes.iter().map(|n| n.state).collect();
        if states.iter().any(|s| s.1 != states[0].1) {
            let at: Vec<_> = self
                .nodes
                .iter()
                .map(|n| n.log.as_ref().map(|l| (l.applied_index(), l.term(), l.is_leader())))
                .collect();
            return Err(format!("seed {seed}: no rest, {states:?} {at:?} {:?}", self.refused.last()));
        }
        for (index, bytes) in &self.acknowledged {
            let kept = self.ledger.get(index).is_some_and(|(b, _)| b == bytes) && *index <= states[0].0;
            if !kept {
                return Err(format!("seed {seed}: {index} was acknowledged and is lost"));
            }
        }
        Ok(self)
    }
}

fn is_leader(node: &Node) -> bool {
    node.log.as_ref().is_some_and(ConsensusLog::is_leader)
}
