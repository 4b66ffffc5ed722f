//! Hollow members of the replicated log: each is the program's own [`Log`] with its frames and its form on disk, kept in
//! memory. What the program has no driver for yet (who ticks the log, who asks to be admitted, who closes epochs) is done
//! here as its simulation in `src/cluster/consensus_log/sim.rs` does it.
mod acts;
mod asks;
mod build;

pub use build::seat;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use marlgap::cluster::consensus_log::{ConsensusLog, Limits, StoredLog, Voter};

use super::links::{Links, Micros, Place, MS};
use super::queue::{Played, Queue};
use super::traffic::Traffic;

/// A tick of the log. The program names none yet; with its ten ticks to an election a leader is missed after 1 to 2 s,
/// which leaves the longest round trip between regions (150 ms) several times over.
pub const TICK: Micros = 100 * MS;
/// How often those who want something of the leader ask.
pub const ASK: Micros = 500 * MS;
/// Open epochs beyond which the older ones are closed.
const OPEN: usize = 4;

/// One hollow member.
pub struct Hollow {
    pub seat: Voter,
    pub place: Place,
    pub disk: StoredLog,
    /// None: the process is down.
    pub log: Option<ConsensusLog>,
    /// The last index applied, and a sum over all that was.
    pub state: (u64, u64),
    pub traffic: Traffic,
    /// Counts the starts: what was sent to an earlier life is not delivered.
    life: u64,
}

/// A change that an operator asked for, by its number.
pub struct Change {
    pub asked: Micros,
    pub index: Option<u64>,
    /// By member: when it was in force there.
    pub at: Vec<Option<Micros>>,
    payload: usize,
}

/// What happens to members.
pub enum Event {
    Tick(usize),
    Deliver { from: usize, to: usize, life: u64, bytes: Vec<u8> },
    Ask,
}

/// All members, what is between them, and what they agreed on.
pub struct Members {
    pub nodes: Vec<Hollow>,
    pub links: Links,
    pub changes: Vec<Change>,
    /// Changes by index.
    agreed: BTreeMap<u64, usize>,
    /// The sum after each index: the same at every member.
    ledger: BTreeMap<u64, u64>,
    queue: Queue<Event>,
    names: HashMap<Rc<str>, usize>,
    limits: Limits,
    cluster: u64,
    lives: u64,
    /// Whether lives that do not count yet ask to be admitted.
    pub admits: bool,
    /// Members whose life does not count yet.
    waiting: Vec<usize>,
    /// Snapshots that were asked for and could not be made, and the bytes of the last of them.
    pub refused_snapshots: (u64, usize),
    /// Snapshots that were made, and the bytes of the largest.
    pub snapshots: (u64, usize),
    pub refused: BTreeMap<String, u64>,
    pub leaders: u64,
    /// What is wrong, if anything is: two orders, or a log that stopped.
    pub broken: Option<String>,
}

impl Members {
    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// The member that leads the latest term.
    pub fn leader(&self) -> Option<usize> {
        let term = |n: &Hollow| n.log.as_ref().filter(|l| l.is_leader()).map(ConsensusLog::term);
        let led = self.nodes.iter().enumerate().filter_map(|(i, n)| Some((term(n)?, i)));
        led.max().map(|(_, i)| i)
    }

    /// Go on until something holds, for so long at most; whether it holds.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&Members) -> bool) -> bool {
        let until = self.now() + most;
        while !holds(self) {
            if self.now() >= until || self.broken.is_some() {
                return false;
            }
            self.run(50 * MS);
        }
        true
    }

    fn deliver(&mut self, from: usize, to: usize, life: u64, bytes: &[u8]) {
        let name = self.nodes[from].seat.member.id.name.clone();
        let node = &mut self.nodes[to];
        if node.life != life {
            return;
        }
        let begun = Instant::now();
        let Some(log) = &mut node.log else { return };
        node.traffic.received.add(bytes.len());
        if let Err(e) = log.receive(&name, bytes) {
            *self.refused.entry(e.to_string()).or_default() += 1;
        }
        self.act(to, begun);
    }

    /// The machine of a member stops, without a word.
    pub fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.log = None;
        node.life += 1;
        self.waiting.retain(|w| *w != i);
    }

    /// Another life of a member: with its disk, or, on a machine that took its place, with an empty one.
    pub fn start(&mut self, i: usize, with_disk: bool) {
        self.lives += 1;
        let node = &mut self.nodes[i];
        node.seat.member.id.incarnation = self.lives;
        if !with_disk {
            node.disk = StoredLog::joining(self.cluster);
            node.seat.disk_id = build::disk(i, self.lives);
        }
        self.begin(i);
        self.waiting.push(i);
    }

    /// Members that run and can be reached from the leader's region.
    pub fn reachable(&self) -> Vec<usize> {
        let apart = |i: &usize| self.links.is_cut(self.nodes[*i].place.region);
        (0..self.nodes.len()).filter(|i| self.nodes[*i].log.is_some() && !apart(i)).collect()
    }

    /// Whoever waits to be admitted goes on without.
    pub fn forget_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Whether all members that run have applied the same, up to the same place, and all of them count.
    pub fn all_equal(&self) -> bool {
        let mut running = self.nodes.iter().filter(|n| n.log.is_some());
        let first = running.next().map(|n| n.state);
        (self.waiting.is_empty() || !self.admits) && running.all(|n| Some(n.state) == first)
    }
}

impl Played for Members {
    type Event = Event;

    fn queue(&mut self) -> &mut Queue<Event> {
        &mut self.queue
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Tick(i) => {
                self.queue.later(TICK, Event::Tick(i));
                let begun = Instant::now();
                if let Some(log) = &mut self.nodes[i].log {
                    log.tick();
                    self.act(i, begun);
                }
            }
            Event::Deliver { from, to, life, bytes } => self.deliver(from, to, life, &bytes),
            Event::Ask => {
                self.queue.later(ASK, Event::Ask);
                self.ask();
            }
        }
    }
}
