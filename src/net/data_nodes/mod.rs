//! The client side of the data nodes: which ones are known, and which connection an attempt goes to.
//!
//! Owns the known data nodes, their incarnations and their connections. Never decides which replica an
//! attempt goes to, or whether there is one: the balancer does. One thread uses it.
//!
//! - this file: the known data nodes and the choice of a connection
//! - `transport`: attempts and probes as the coordinator sees them
//! - `connection`: the bookkeeping of one connection
//! - `exchange`, `writer`, `reader`: its life on the socket
//! - [`frames`]: the form on the wire
//!
//! Invariants: at most `MAX_CONNECTIONS_PER_NODE` open connections to a data node, each with a descriptor
//! of the shared [`DescriptorBudget`]; a replica id names one data node for as long as it is known.
#![warn(missing_docs)]
mod connection;
mod exchange;
pub mod frames;
mod reader;
mod request_context;
mod transport;
mod writer;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use slog::Logger;

use super::descriptors::DescriptorBudget;
use super::timeout_at;
use super::LogRateLimiter;
use crate::balancer::interface::{EndpointState, ReplicaId};
use crate::config::settings::Deployment;
use crate::send_policy::{self, StartEstimate};
use connection::Connection;
pub use request_context::RequestContext;

/// Connections to one data node at most.
const MAX_CONNECTIONS_PER_NODE: usize = 4;
/// For how long a connection may owe answers and bring none before further attempts go to another one.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// The same before it is closed in any case.
const CLOSE_AFTER: Duration = Duration::from_secs(1);
/// How long a data node may take to accept a new connection after one broke, to count as alive.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a removed data node stays known: for so long a restart is recognized against its last
/// incarnation. Any list says within seconds that it is back.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

/// A known data node.
struct DataNode {
    address: SocketAddr,
    state: EndpointState,
    /// Since when it is removed, if it is.
    removed_since: Option<Instant>,
    /// Counts its starts, as far as they were listed.
    incarnation: u64,
    /// When its process started, in Unix milliseconds on its machine's wall clock; 0 means long ago.
    start_unix_ms: u64,
    /// When that was on the coordinator's own clock.
    started: Option<StartEstimate>,
    connections: Vec<Rc<Connection>>,
}

impl DataNode {
    /// Set since when it is removed, by its state.
    fn update_removal(&mut self) {
        let since = self.removed_since.unwrap_or_else(Instant::now);
        self.removed_since = (self.state == EndpointState::Removed).then_some(since);
    }

    fn close_idle_connections(&self) {
        self.connections
            .iter()
            .filter(|connection| connection.is_idle())
            .for_each(|connection| connection.close());
    }
}

/// A data node as discovery lists it, in this coordinator's terms.
pub struct ListedDataNode {
    /// Identity; it outlasts restarts and moves.
    pub name: String,
    /// Where it listens; without meaning where nothing new is sent to it.
    pub address: SocketAddr,
    /// Whether it takes attempts.
    pub state: EndpointState,
    /// When its process started, in Unix milliseconds on its machine's wall clock; 0 means long ago.
    pub start_unix_ms: u64,
}

/// The known data nodes and the connections to them.
pub struct DataNodes {
    nodes: RefCell<BTreeMap<ReplicaId, DataNode>>,
    names: RefCell<BTreeMap<String, ReplicaId>>,
    /// The last one given; none is given twice.
    last_replica_id: Cell<u64>,
    /// That of the connection opened last.
    last_connection_id: Cell<u64>,
    deployment: Deployment,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
    log_limiter: LogRateLimiter,
    descriptors: Rc<DescriptorBudget>,
}

impl DataNodes {
    /// No data node is known yet. Connections are served by tasks on `executor`.
    pub fn new(
        deployment: Deployment,
        descriptors: Rc<DescriptorBudget>,
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(DataNodes {
            nodes: RefCell::default(),
            names: RefCell::default(),
            last_replica_id: Cell::default(),
            last_connection_id: Cell::default(),
            deployment,
            executor,
            log,
            log_limiter: LogRateLimiter::default(),
            descriptors,
        })
    }

    /// The id of a data node within this process; the same for as long as it is known.
    pub fn replica_id(&self, name: &str) -> ReplicaId {
        let mut names = self.names.borrow_mut();
        if let Some(id) = names.get(name) {
            return *id;
        }
        let id = self.last_replica_id.get() + 1;
        self.last_replica_id.set(id);
        names.insert(name.to_owned(), ReplicaId(id));
        ReplicaId(id)
    }

    /// Number of known data nodes, removed ones among them.
    pub fn known_count(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// Close idle connections to data nodes that take no attempts, and forget those that were removed long
    /// ago. Bounds the memory of a long run in which data nodes are replaced for good.
    pub fn forget_removed(&self, now: Instant) {
        let mut nodes = self.nodes.borrow_mut();
        nodes.retain(|_, node| {
            if node.state != EndpointState::Ready {
                node.close_idle_connections();
                node.connections.retain(|connection| !connection.closed.get());
            }
            node.removed_since.is_none_or(|since| now < since + REMOVED_RETENTION)
                || !node.connections.is_empty()
        });
        self.names.borrow_mut().retain(|_, id| nodes.contains_key(id));
    }

    /// Take over what discovery lists of one data node, and return its id. A drain is in force from here on
    /// for whatever is queued.
    pub fn register(&self, entry: &ListedDataNode) -> ReplicaId {
        self.register_with_start(entry, || None).0
    }

    /// The same. `started` is called when a start is listed for the first time, and says when it was on the
    /// coordinator's own clock; that stays until the next start, and is returned with the id.
    pub fn register_with_start(
        &self,
        entry: &ListedDataNode,
        started: impl FnOnce() -> Option<StartEstimate>,
    ) -> (ReplicaId, Option<StartEstimate>) {
        let id = self.replica_id(&entry.name);
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.entry(id).or_insert_with(|| DataNode {
            address: entry.address,
            state: entry.state,
            removed_since: None,
            incarnation: 0,
            start_unix_ms: 0,
            started: None,
            connections: Vec::new(),
        });
        let restarted = send_policy::is_restart(entry.start_unix_ms, node.start_unix_ms);
        // Prevents waiting on connections to a process that no longer runs: its machine may have vanished
        // without a reset, and they stay open and silent.
        if restarted || entry.address != node.address {
            node.connections.drain(..).for_each(|connection| connection.close());
        }
        if restarted {
            node.incarnation += 1;
            node.start_unix_ms = entry.start_unix_ms;
            node.started = started();
        }
        node.address = entry.address;
        node.state = entry.state;
        node.update_removal();
        (id, node.started)
    }

    /// A complete list names all data nodes that there are: the others are removed.
    pub fn retain_listed(&self, listed: &BTreeSet<ReplicaId>) {
        for (id, node) in self.nodes.borrow_mut().iter_mut() {
            if !listed.contains(id) {
                node.state = EndpointState::Removed;
                node.update_removal();
            }
        }
    }

    /// The connection for the next attempt, and the data node's incarnation; `None` if it takes no attempts
    /// or there is no descriptor for a first connection.
    ///
    /// A connection with a free stream, up or coming up, else a new one; where none may be opened, the least
    /// loaded.
    fn choose_connection(self: &Rc<Self>, replica: ReplicaId) -> Option<(Rc<Connection>, u64)> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.get_mut(&replica).filter(|node| node.state == EndpointState::Ready)?;
        let now = Instant::now();
        node.connections.iter().for_each(|connection| connection.close_if_unresponsive(now, CLOSE_AFTER));
        node.connections.retain(|connection| !connection.closed.get());
        let preference = |connection: &&Rc<Connection>| {
            let unresponsive = connection.is_unresponsive(now, UNRESPONSIVE_AFTER);
            (unresponsive, connection.load(), !connection.established.get())
        };
        let least_loaded = node.connections.iter().min_by_key(preference).cloned();
        let max_streams = self.deployment.connections.max_streams;
        let has_capacity = |connection: &Rc<Connection>| {
            !connection.is_unresponsive(now, UNRESPONSIVE_AFTER) && connection.load() < max_streams
        };
        let has_free_stream = least_loaded.as_ref().is_some_and(has_capacity);
        let may_open = node.connections.len() < MAX_CONNECTIONS_PER_NODE;
        let incarnation = node.incarnation;
        let chosen = if has_free_stream || (least_loaded.is_some() && !may_open) {
            least_loaded
        } else {
            self.open_connection(&mut nodes, replica).or(least_loaded)
        };
        chosen.map(|connection| (connection, incarnation))
    }

    /// Open a connection. Where no descriptor is left, the one that has been idle for longest is evicted, of
    /// whichever data node. Prevents that in a fleet of more data nodes than descriptors those met last get
    /// no attempt at all.
    fn open_connection(
        self: &Rc<Self>,
        nodes: &mut BTreeMap<ReplicaId, DataNode>,
        replica: ReplicaId,
    ) -> Option<Rc<Connection>> {
        if !self.descriptors.try_acquire_backend() {
            let connections = nodes.values().flat_map(|node| &node.connections);
            let idle = connections.filter(|connection| connection.is_idle() && !connection.closed.get());
            let evicted = idle.min_by_key(|connection| connection.last_used.get())?;
            evicted.close();
            // Its descriptor goes to the new one.
            evicted.holds_descriptor.set(false);
        }
        let node = nodes.get_mut(&replica)?;
        let id = self.last_connection_id.get() + 1;
        self.last_connection_id.set(id);
        let connection = Rc::new(Connection::new(id));
        node.connections.push(connection.clone());
        let served = self.clone().serve(replica, node.address, connection.clone());
        self.executor.spawn(served).detach();
        Some(connection)
    }

    /// Whether a data node whose connection broke accepts a new one, which the next attempts need anyway.
    /// Protects sound data nodes: they may close a connection right after an answer, just when more was
    /// written to it.
    ///
    /// One that takes no attempts gets none and counts as alive; what becomes of it is known. Where this
    /// machine can't open a connection, nothing is known against the data node.
    async fn is_process_alive(self: &Rc<Self>, replica: ReplicaId) -> bool {
        let deadline = Instant::now() + LIVENESS_TIMEOUT;
        let connection = {
            let mut nodes = self.nodes.borrow_mut();
            let Some(node) = nodes.get_mut(&replica).filter(|node| node.state == EndpointState::Ready) else {
                return true;
            };
            node.connections.retain(|connection| !connection.closed.get());
            self.open_connection(&mut nodes, replica)
        };
        let Some(connection) = connection else { return true };
        let decided = connection.wait_until(|| connection.established.get() || connection.closed.get());
        timeout_at(deadline, decided).await;
        connection.established.get() || connection.local_failure.get()
    }
}
