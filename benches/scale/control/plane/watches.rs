//! Simulated watches of coordinators on discovery.
//!
//! Each call is built by the program's own code, and each answer is parsed by its HTTP and list parsers and
//! interpreted by [`version::interpret`] under its [`WatchPolicy`]. The loop around these is asynchronous
//! over a socket in the program and cannot be called here, so that it is simulated with the program's
//! constants. The effect of a list on the connections and the balancer is not simulated.
mod calls;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use marlgap::balancer::interface::{self, EndpointUpdate};
use marlgap::net::buffer::Buffer;
use marlgap::net::discovery::watch_policy::{
    WatchPolicy, CONNECT_TIMEOUT, MAX_BACKOFF, WATCH_CONTINUES_WITHIN,
};
use marlgap::net::discovery::{version, EndpointList, MAX_LIST_BYTES};
use marlgap::net::http::{self, MessageKind};

use super::catalogue::{host_number, Catalogue, Health};
use super::links::{Links, Location, Micros, MS, SECOND};
use super::queue::{Queue, Simulation};
use super::traffic::{Flow, Traffic};

/// Bandwidth of discovery in bytes per second: 10 Gbit/s. Answers are sent one after the other.
const DISCOVERY_BANDWIDTH: u64 = 1_250_000_000;
/// Address of discovery.
const DISCOVERY_ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 2], 8500);
/// Drain grace of the coordinators.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Location of discovery.
const DISCOVERY_LOCATION: Location = Location { region: 0, zone: 0 };

/// The watch of one coordinator.
pub struct Watch {
    pub location: Location,
    /// The version of the list, if there is one.
    pub seq: Option<u64>,
    /// The last known health of each data node.
    pub health: Vec<u8>,
    pub traffic: Traffic,
    /// The time at which the current version was received.
    pub updated_at: Micros,
    /// Number of whole lists applied.
    pub full_lists: u64,
    /// Number of answers with changes applied.
    pub deltas: u64,
    /// Number of failed calls.
    pub failed: u64,
    /// Calls whose answer brought a new version, with those answers.
    pub updates: Flow,
    request_bytes: usize,

    called_at: Micros,
    /// A connection that is reset before this time is renewed without delay.
    continues_until: Micros,
    /// Number of the current call. Answers and time-outs of earlier calls are ignored.
    call: u64,
}

/// A call that discovery holds until there is a new version.
pub struct PendingCall {
    watch: usize,
    call: u64,
    index: Option<u64>,
}

/// A simulation event. The first two numbers are the watch and its call.
pub enum Event {
    /// The watch opens a connection.
    Connect(usize, u64),
    /// The watch sends a call; the last field is the time that the connection took.
    SendCall(usize, u64, Micros),
    /// A call with its wait arrives at discovery.
    CallArrived(PendingCall, Micros),
    /// The wait of a call has passed without a new version.
    WaitExpired(usize, u64),
    /// An answer arrives at the watch.
    AnswerArrived(usize, u64, Rc<[u8]>),
    /// The answer to a call is overdue.
    AnswerOverdue(usize, u64),
    /// The connection of a call was reset.
    ConnectionReset(usize, u64),
}

/// All watches and the simulated discovery.
pub struct Watches {
    pub watches: Vec<Watch>,
    pub catalogue: Catalogue,
    pub links: Links,
    /// Messages sent by discovery.
    pub sent: Flow,
    /// Messages received by discovery.
    pub received: Flow,
    policy: WatchPolicy,
    queue: Queue<Event>,
    pending_calls: Vec<PendingCall>,
    /// The time until which discovery is busy sending answers.
    busy_until: Micros,
    /// The first answer that could not be read, if any.
    pub failure: Option<String>,
}

impl Watches {
    /// Creates watches of `coordinators` coordinators that start within a second, none of which has a list.
    pub fn new(coordinators: usize, entries: usize, seed: u64) -> Watches {
        let watch = |i| Watch {
            location: Location::of_member(i),
            seq: None,
            health: vec![Health::Removed as u8; entries],
            traffic: Traffic::default(),
            updated_at: 0,
            full_lists: 0,
            deltas: 0,
            failed: 0,
            updates: Flow::default(),
            request_bytes: 0,
            called_at: 0,
            continues_until: 0,
            call: 0,
        };
        let mut watches = Watches {
            watches: (0..coordinators).map(watch).collect(),
            catalogue: Catalogue::new(entries),
            links: Links::new(seed, 0),
            sent: Flow::default(),
            received: Flow::default(),
            policy: WatchPolicy::new(interface::Discovery::Poll { poll_within: 10.0 }, DRAIN_GRACE),
            queue: Queue::new(),
            pending_calls: Vec::new(),
            busy_until: 0,
            failure: None,
        };
        for i in 0..coordinators {
            watches.queue.schedule(SECOND * i as Micros / coordinators as Micros, Event::Connect(i, 0));
        }
        watches
    }

    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// Returns whether every coordinator that is not cut off has the current list.
    pub fn all_current(&self) -> bool {
        let listed = self.catalogue.health_by_entry();
        let is_reachable = |w: &&Watch| !self.links.is_cut(w.location.region);
        self.watches
            .iter()
            .filter(is_reachable)
            .all(|w| w.seq == Some(self.catalogue.seq) && w.health == listed)
    }

    /// Runs until all coordinators have the current list, for at most `timeout`.
    ///
    /// Returns the time from now until the last one was updated, or `None` after the timeout.
    pub fn run_until_current(&mut self, timeout: Micros) -> Option<Micros> {
        let start = self.now();
        while !self.all_current() {
            if self.now() >= start + timeout {
                return None;
            }
            self.run(10 * MS);
        }
        let last = self.watches.iter().map(|w| w.updated_at).max().unwrap_or(start);
        Some(last.saturating_sub(start))
    }

    /// Changes the health of some data nodes and answers all pending calls.
    pub fn change(&mut self, hosts: impl IntoIterator<Item = usize>, health: Health) {
        let unix_ms = 1_764_650_000_000 + self.now() / MS;
        self.catalogue.change(hosts, health, unix_ms);
        for call in std::mem::take(&mut self.pending_calls) {
            self.answer_call(call);
        }
    }

    /// Restarts a coordinator without a known list.
    pub fn restart(&mut self, i: usize) {
        let watch = &mut self.watches[i];
        (watch.seq, watch.call) = (None, watch.call + 1);
        watch.health.fill(Health::Removed as u8);
        self.queue.schedule(0, Event::Connect(i, self.watches[i].call));
    }

    /// Resets all connections to discovery. With `forgets`, discovery also loses its record of changes.
    pub fn reset(&mut self, forgets: bool) {
        if forgets {
            self.catalogue.forget_changes();
        }
        self.pending_calls.clear();
        for i in 0..self.watches.len() {
            let delay = self.watches[i].location.delay_to(DISCOVERY_LOCATION);
            self.queue.schedule(delay, Event::ConnectionReset(i, self.watches[i].call));
        }
    }
}
