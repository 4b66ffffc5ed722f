//! The list of data nodes, as discovery tells it: the whole list, then a watch on changes.
mod list;
pub mod version;
pub mod watch_policy;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};
use slog::{info, warn, Logger};

use super::buffer::Buffer;
use super::data_nodes::{DataNodes, ListedDataNode};
use super::http::{self, HttpError, Kind};
use super::socket::{self, ConnectError, Stream};
use super::{timeout_at, LogRateLimiter};
use crate::balancer::interface::{self, CellId, Endpoint, EndpointState, EndpointUpdate, ZoneId};
use crate::coordinator::{Clock, Coordinator};
use crate::send_policy::{self, StartNotice};
use crate::subsetting::{self, Subset};
pub use list::{DiscoveryError, Host, List};
use watch_policy::{Terms, CONNECT, CONTINUES, PACE, PAUSE, SLOW, START};

/// The largest list: some ten thousand data nodes with long names. Only what comes is held in memory, and not for
/// longer than it is read; the bound guards that memory against an answer that never ends.
pub const MOST_LIST: usize = 4 << 20;

pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Where it is from now on, each time a new configuration says so.
    moves: Receiver<SocketAddr>,
    coordinator: Rc<Coordinator<DataNodes>>,
    nodes: Rc<DataNodes>,
    zones: Vec<String>,
    terms: Terms,
    /// When the last call began.
    called: Cell<Instant>,
    /// When the place that is asked last answered with a list, or that nothing changed.
    last_list: Cell<Option<Instant>>,
    /// What an agent's answer that had begun was cut off by, the last times.
    slow: Cell<Duration>,
    /// Those of the listed ones that this coordinator works with.
    subset: RefCell<Subset>,
    log_limiter: LogRateLimiter,
    log: Logger,
}

impl Discovery {
    pub fn new(
        address: SocketAddr,
        moves: Receiver<SocketAddr>,
        core: Rc<Coordinator<DataNodes>>,
        nodes: Rc<DataNodes>,
        told: (interface::Discovery, Vec<String>),
        seed: u64,
        log: Logger,
    ) -> Discovery {
        let (address, called, slow) = (Cell::new(address), Cell::new(Instant::now()), Cell::default());
        let (terms, zones, said) = (Terms::of(told.0), told.1, LogRateLimiter::default());
        let (last_list, subset) = (Cell::new(None), RefCell::new(Subset::new(seed, subsetting::MOST)));
        Discovery {
            address,
            moves,
            coordinator: core,
            nodes,
            zones,
            terms,
            called,
            last_list,
            slow,
            subset,
            log_limiter: said,
            log,
        }
    }

    /// Hand a list on: to the connections first, whose writes it may stop, then to the module.
    pub fn apply(&self, list: &List, news: EndpointUpdate) {
        let clock = self.coordinator.clock();
        let entries: Vec<Endpoint> = list.hosts.iter().filter_map(|h| self.entry(h, &clock)).collect();
        if news != EndpointUpdate::Delta {
            self.nodes.keep_only(&entries.iter().map(|e| e.replica).collect());
        }
        info!(self.log, "list of data nodes"; "seq" => list.seq, "whole" => news != EndpointUpdate::Delta,
            "entries" => entries.len());
        self.nodes.forget(Instant::now());
        let entries = self.subset.borrow_mut().update(news, entries);
        self.coordinator.update_endpoints(news, entries);
    }

    fn entry(&self, host: &Host, clock: &Clock) -> Option<Endpoint> {
        let phase = match &*host.health {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            _ => EndpointState::Removed,
        };
        // Nobody dials what wants nothing new: guards against a drain that goes unheard for want of an address.
        let unused = (phase != EndpointState::Ready).then_some(SocketAddr::from(([0, 0, 0, 0], 0)));
        let address = host.dial.parse().ok();
        if address.is_none() {
            warn!(self.log, "unusable address of a data node"; "host" => &*host.host, "dial" => &*host.dial);
        }
        let address = address.or(unused)?;
        let entry = ListedDataNode { name: host.host.to_string(), address, phase, born: host.born_ms };
        let (replica, started) = self.nodes.list_started(&entry, || {
            let by_wall_clock = clock.from_unix_ms(host.born_ms)?;
            let now = clock.at(Instant::now());
            let last_list_without = self.last_list.get().map(|at| clock.at(at));
            Some(send_policy::started(StartNotice { by_wall_clock, now, last_list_without }))
        });
        let zone = self.zones.iter().position(|z| *z == host.site).map_or(u8::MAX, |n| n as u8);
        let (cell, weight) = (CellId(host.block), host.share);
        Some(Endpoint { replica, zone: ZoneId(zone), cell, state: phase, weight, started })
    }

    /// Follow the list for as long as the program runs. `known` is the list as we last had it, maybe old. Where lists
    /// are pushed, all that the agent has counts as told from our first moment on: nothing is sent by `known` until the
    /// agent has had its time.
    pub async fn run(self, known: Option<&List<'_>>) {
        let mut seq = None;
        if let Some(known) = known.filter(|_| !self.terms.pushed) {
            self.apply(known, EndpointUpdate::Cached);
            seq = Some(known.seq);
        }
        let late = async {
            Timer::at(Instant::now() + START).await;
            if !self.coordinator.is_ready() {
                warn!(self.log, "no list from discovery yet"; "known" => known.map(|k| k.hosts.len()));
                known.iter().for_each(|k| self.apply(k, EndpointUpdate::Cached));
                self.coordinator.stop_waiting_for_endpoints();
            }
            std::future::pending().await
        };
        self.watch(seq).or(late).await
    }

    /// The module says when a watch that is asked for begins (anew), an agent's begins by itself; a move acts at
    /// once, whether a watch runs, has failed or was never begun. Guards against a drain that only the new
    /// place tells, while we wait for the old one to close.
    async fn watch(&self, mut seq: Option<u64>) {
        let subscriptions = self.coordinator.subscriptions();
        let (mut to, mut latest) = (None, self.terms.pushed.then(Instant::now));
        loop {
            if to.is_none() {
                let asked = async {
                    let due = async {
                        match latest {
                            Some(at) => drop(Timer::at(at).await),
                            None => std::future::pending().await,
                        }
                    };
                    let told = async {
                        let _ = subscriptions.recv().await;
                    };
                    due.or(told).await;
                    None
                };
                to = async { Some(self.moved().await) }.or(asked).await;
            }
            if let Some(address) = to.take().filter(|a| *a != self.address.get()) {
                // Versions of another place say nothing about ours: its list is asked for whole.
                self.address.set(address);
                self.last_list.set(None);
                seq = None;
            }
            let moved = async {
                loop {
                    let address = self.moved().await;
                    if address != self.address.get() {
                        return Ok(address);
                    }
                }
            };
            // What has come on the watch is taken over before it is left.
            match async { Err(self.renew(&mut seq).await) }.or(moved).await {
                Ok(address) => to = Some(address),
                Err(e) => {
                    warn!(self.log, "watch on discovery ended"; "error" => %e, "address" => %self.address.get(),
                        "seq" => seq);
                    // Asked for before this end: it was begun already.
                    while subscriptions.try_recv().is_ok() {}
                    self.coordinator.update_endpoints(EndpointUpdate::Failed, Vec::new());
                    latest = Some(Instant::now() + PAUSE);
                }
            }
        }
    }

    async fn moved(&self) -> SocketAddr {
        match self.moves.recv().await {
            Ok(address) => address,
            Err(_) => std::future::pending().await,
        }
    }

    /// Watch after watch, until one fails that is to wait for its renewal. A silent one is broken, and what it misses
    /// will count as told: it is begun anew at once. An agent's always is, as its calls are free.
    async fn renew(&self, seq: &mut Option<u64>) -> DiscoveryError {
        loop {
            let e = match self.follow(seq).await {
                Err(e) => e,
                Ok(never) => match never {},
            };
            if !self.terms.pushed && !matches!(e, DiscoveryError::Silent) {
                return e;
            }
            if let Some(suppressed) = self.log_limiter.permit() {
                warn!(self.log, "watch on discovery begun anew"; "error" => %e, "address" => %self.address.get(),
                    "seq" => *seq, "suppressed" => suppressed);
            }
            Timer::at(self.called.get() + PACE).await;
        }
    }

    /// One watch: each call follows the last answer at once, or at a pace where that brought nothing new. Ends when a
    /// call fails.
    async fn follow(&self, seq: &mut Option<u64>) -> Result<Infallible, DiscoveryError> {
        let mut buffer = Buffer::default();
        let mut stream = self.connect().await?;
        let mut continues: Option<Instant> = None;
        loop {
            // Connecting counts, and is taken off the wait in tenths of a second.
            let connecting = self.called.get().elapsed().as_millis() as u64 / 100 * 100;
            let hold = (self.terms.hold.as_millis() as u64).saturating_sub(connecting);
            let call = version::call(self.address.get(), *seq, hold);
            let answer = async {
                stream.write_all(call.as_bytes()).await?;
                http::read(&mut stream, &mut buffer, Kind::Answer, MOST_LIST).await
            };
            let latest = self.called.get() + self.terms.hold + self.terms.late + self.slow.get();
            let answer = match timeout_at(latest, answer).await {
                Some(Ok(answer)) => answer,
                // Closed between two calls, just as we wrote the next one: no failure, and the watch goes on if that
                // comes in time.
                Some(Err(HttpError::Ended | HttpError::Io(_)))
                    if buffer.unread().is_empty() && continues.is_some_and(|at| Instant::now() < at) =>
                {
                    (buffer, continues) = (Buffer::default(), None);
                    stream = self.connect().await?;
                    continue;
                }
                Some(Err(e)) => return Err(e.into()),
                None => {
                    if self.terms.pushed && !buffer.unread().is_empty() {
                        self.slow.set((2 * self.slow.get()).clamp(self.terms.late, SLOW));
                    }
                    return Err(DiscoveryError::Silent);
                }
            };
            if answer.status != 200 {
                return Err(DiscoveryError::Status(answer.status));
            }
            let body = answer.body(&buffer);
            let list: List = serde_json::from_slice(&body).map_err(DiscoveryError::List)?;
            let newer = self.take(&list, seq)?;
            drop(body);
            buffer.consume(answer.length);
            // Guards against taking what nobody asked for as the answer to the next call.
            if buffer.unread().iter().any(|b| !b.is_ascii_whitespace()) {
                return Err(HttpError::Malformed("more than one answer").into());
            }
            self.slow.set(Duration::ZERO);
            continues = Some(Instant::now() + CONTINUES);
            if !newer {
                Timer::at(self.called.get() + PACE).await;
            }
            self.called.set(Instant::now());
            if !answer.keep_alive {
                (buffer, continues) = (Buffer::default(), None);
                stream = self.connect().await?;
            }
        }
    }

    /// Take over an answer's list; whether it was newer than ours.
    fn take(&self, list: &List, seq: &mut Option<u64>) -> Result<bool, DiscoveryError> {
        let taken = version::taken(list, *seq, self.terms.pushed)?;
        if taken.back {
            warn!(self.log, "versions of the list went back"; "seq" => list.seq, "ours" => *seq);
        }
        if let Some(news) = taken.news {
            self.apply(list, news);
        }
        *seq = taken.seq;
        self.last_list.set(Some(Instant::now()));
        Ok(taken.newer)
    }

    async fn connect(&self) -> Result<Stream, DiscoveryError> {
        let begun = Instant::now();
        self.called.set(begun);
        let latest = begun + CONNECT.min(self.terms.hold + self.terms.late);
        socket::connect(self.address.get(), latest).await.map_err(|e| match e {
            ConnectError::Late => DiscoveryError::Unreachable,
            e => io::Error::from(e).into(),
        })
    }
}
