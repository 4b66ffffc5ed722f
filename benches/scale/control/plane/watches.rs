//! Coordinators' watches on discovery: each call is the program's own text, each answer is read by its own HTTP and list
//! readers and means what its own [`version::taken`] says, under its own terms. The loop round these is asynchronous over
//! a socket in the program and can't be called here: it is played with the program's constants. What the connections and
//! the decision module do with a list is not played.
mod calls;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use marlgap::balancer::interface::{self, EndpointUpdate};
use marlgap::net::buffer::Buffer;
use marlgap::net::discovery::watch_policy::{
    WatchPolicy, CONNECT_TIMEOUT, MAX_BACKOFF, MIN_CALL_INTERVAL, WATCH_CONTINUES_WITHIN,
};
use marlgap::net::discovery::{version, EndpointList, MAX_LIST_BYTES};
use marlgap::net::http::{self, MessageKind};

use super::catalogue::{number, Catalogue, Health};
use super::links::{Links, Micros, Place, MS, SECOND};
use super::queue::{Played, Queue};
use super::traffic::{Flow, Traffic};

/// What discovery can send in a second, all calls in turn: ten gigabits.
const RATE: u64 = 1_250_000_000;
/// Where it is for the coordinators.
const DISCOVERY: ([u8; 4], u16) = ([10, 0, 0, 2], 8500);
/// Where it stands.
const AT: Place = Place { region: 0, zone: 0 };

/// One coordinator's watch.
pub struct Watch {
    pub place: Place,
    pub seq: Option<u64>,
    /// By data node: its health as told last.
    pub held: Vec<u8>,
    pub traffic: Traffic,
    /// When the current version came in.
    pub told: Micros,
    /// Whole lists and changes taken over.
    pub whole: u64,
    pub deltas: u64,
    pub failed: u64,
    /// Calls whose answer was news, with those answers.
    pub news: Flow,
    asked_bytes: usize,

    called: Micros,
    continues: Micros,
    /// Counts the calls: an answer or time-out of an earlier one means nothing.
    call: u64,
}

/// A call that discovery holds until there is news.
pub struct HeldCall {
    watch: usize,
    call: u64,
    index: Option<u64>,
}

/// What happens to watches and at discovery.
pub enum Event {
    Begin(usize, u64),
    Ask(usize, u64, Micros),
    Arrive(HeldCall, Micros),
    Expire(usize, u64),
    Answer(usize, u64, Rc<[u8]>),
    Late(usize, u64),
    Broken(usize, u64),
}

/// All watches and the discovery that they watch.
pub struct Watches {
    pub watches: Vec<Watch>,
    pub catalogue: Catalogue,
    pub links: Links,
    /// What discovery sent and received.
    pub served: Flow,
    pub asked: Flow,
    terms: WatchPolicy,
    queue: Queue<Event>,
    held: Vec<HeldCall>,
    busy_until: Micros,
    pub broken: Option<String>,
}

impl Watches {
    /// So many coordinators that start within a second, each with the whole list to fetch.
    pub fn new(coordinators: usize, entries: usize, seed: u64) -> Watches {
        let watch = |i| Watch {
            place: Place::of(i),
            seq: None,
            held: vec![Health::Removed as u8; entries],
            traffic: Traffic::default(),
            told: 0,
            whole: 0,
            deltas: 0,
            failed: 0,
            news: Flow::default(),
            asked_bytes: 0,
            called: 0,
            continues: 0,
            call: 0,
        };
        let mut watches = Watches {
            watches: (0..coordinators).map(watch).collect(),
            catalogue: Catalogue::new(entries),
            links: Links::new(seed, 0),
            served: Flow::default(),
            asked: Flow::default(),
            terms: WatchPolicy::for_discovery(interface::Discovery::Poll { poll_within: 0.0 }),
            queue: Queue::new(),
            held: Vec::new(),
            busy_until: 0,
            broken: None,
        };
        for i in 0..coordinators {
            watches.queue.later(SECOND * i as Micros / coordinators as Micros, Event::Begin(i, 0));
        }
        watches
    }

    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// Whether everyone that runs and is not cut off holds what is listed.
    pub fn all_told(&self) -> bool {
        let listed = self.catalogue.held();
        let counts = |w: &&Watch| !self.links.is_cut(w.place.region);
        self.watches.iter().filter(counts).all(|w| w.seq == Some(self.catalogue.seq) && w.held == listed)
    }

    /// Go on until all are told, for so long at most; when the last one was, after now.
    pub fn until_told(&mut self, most: Micros) -> Option<Micros> {
        let begun = self.now();
        while !self.all_told() {
            if self.now() >= begun + most {
                return None;
            }
            self.run(10 * MS);
        }
        let last = self.watches.iter().map(|w| w.told).max().unwrap_or(begun);
        Some(last.saturating_sub(begun))
    }

    /// What discovery has to tell changes, and whoever waits is told.
    pub fn change(&mut self, hosts: impl IntoIterator<Item = usize>, health: Health) {
        let unix_ms = 1_764_650_000_000 + self.now() / MS;
        self.catalogue.change(hosts, health, unix_ms);
        for call in std::mem::take(&mut self.held) {
            self.serve(call);
        }
    }

    /// A coordinator ends, and begins anew without what it knew.
    pub fn restart(&mut self, i: usize) {
        let watch = &mut self.watches[i];
        (watch.seq, watch.call) = (None, watch.call + 1);
        watch.held.fill(Health::Removed as u8);
        self.queue.later(0, Event::Begin(i, self.watches[i].call));
    }

    /// All connections to discovery are reset; with `forgets` it has lost its changes too.
    pub fn reset(&mut self, forgets: bool) {
        if forgets {
            self.catalogue.forget();
        }
        self.held.clear();
        for i in 0..self.watches.len() {
            let delay = self.watches[i].place.delay(AT);
            self.queue.later(delay, Event::Broken(i, self.watches[i].call));
        }
    }
}
