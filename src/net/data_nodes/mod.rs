//! Client side of the data nodes: the known data nodes and the choice of the connection for each attempt.
//!
//! Owns the known data nodes, their incarnations and their connections. The balancer, not this module,
//! decides which replica an attempt goes to and whether there is one. All of it is used from a single
//! thread.
//!
//! - this file: the known data nodes and the choice of a connection
//! - `lease`: what may be written while the endpoint list is not valid
//! - `transport`: attempts and probes, as the coordinator uses them
//! - `connection`: the state of one connection
//! - `exchange`, `writer`, `reader`: the socket I/O of one connection
//! - [`frames`]: the wire format
//!
//! Invariants: at most `MAX_CONNECTIONS_PER_NODE` open connections to a data node, each with a descriptor of
//! the shared [`DescriptorBudget`]. A replica id identifies one data node for as long as that is known.
#![warn(missing_docs)]
mod connection;
mod exchange;
pub mod frames;
mod lease;
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
use super::memory_budget::MemoryBudget;
use super::timeout_at;
use super::LogRateLimiter;
use crate::balancer::interface::{EndpointState, ReplicaId};
use crate::config::settings::Deployment;
use crate::send_policy::{self, EndpointLease, StartEstimate};
use connection::Connection;
pub use lease::MAX_LIST_WAIT;
pub use request_context::RequestContext;

/// Maximum number of connections to one data node.
const MAX_CONNECTIONS_PER_NODE: usize = 4;
/// Time without an answer, while answers are pending, after which further attempts use another connection.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// Time without an answer, while answers are pending, after which a connection is closed in any case.
const CLOSE_AFTER: Duration = Duration::from_secs(1);
/// Time within which a data node must accept a new connection after one broke, in order to count as alive.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a removed data node stays known, so that a restart is recognized by its last incarnation.
/// If it returns, a list says so within seconds.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

/// A known data node.
struct DataNode {
    address: SocketAddr,
    state: EndpointState,
    /// Time of the removal, if it was removed.
    removed_since: Option<Instant>,
    /// Number of starts that discovery has listed.
    incarnation: u64,
    /// Start time of its process, in Unix milliseconds on the wall clock of its machine; 0 means long ago.
    start_unix_ms: u64,
    /// Estimated start time on the coordinator's own clock.
    started: Option<StartEstimate>,
    connections: Vec<Rc<Connection>>,
}

impl DataNode {
    /// Updates the time of the removal after a change of state.
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

/// A data node as listed by discovery, in terms of this coordinator.
pub struct ListedDataNode {
    /// Identity, which is stable across restarts and changes of address.
    pub name: String,
    /// Address on which it listens. Unused if no new attempts are sent to the data node.
    pub address: SocketAddr,
    /// Whether it accepts attempts.
    pub state: EndpointState,
    /// Start time of its process, in Unix milliseconds on the wall clock of its machine; 0 means long ago.
    pub start_unix_ms: u64,
}

/// The known data nodes and the connections to them.
pub struct DataNodes {
    nodes: RefCell<BTreeMap<ReplicaId, DataNode>>,
    names: RefCell<BTreeMap<String, ReplicaId>>,
    /// Last replica id assigned. Ids are never reused.
    last_replica_id: Cell<u64>,
    /// Id of the most recently opened connection.
    last_connection_id: Cell<u64>,
    deployment: Deployment,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
    log_limiter: LogRateLimiter,
    descriptors: Rc<DescriptorBudget>,
    /// Memory for partially received answers.
    memory: Rc<MemoryBudget>,
    /// The lease on the endpoint list, if sends are limited by one.
    lease: Cell<Option<EndpointLease>>,
    lease_changed: event_listener::Event,
}

impl DataNodes {
    /// Creates the transport without known data nodes. Connections are served by tasks on `executor`;
    /// `memory` limits the answers that they have received in part.
    pub fn new(
        deployment: Deployment,
        descriptors: Rc<DescriptorBudget>,
        memory: Rc<MemoryBudget>,
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
            memory,
            lease: Cell::default(),
            lease_changed: event_listener::Event::new(),
        })
    }

    /// Returns the id of a data node within this process, assigning one if necessary. It stays the same for
    /// as long as the data node is known.
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

    /// Returns the number of known data nodes, including removed ones.
    pub fn known_count(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// Closes idle connections to data nodes that accept no attempts, and forgets data nodes that were
    /// removed long ago. This bounds memory in a long run in which data nodes are replaced permanently.
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

    /// Registers a data node as listed by discovery and returns its id. If it drains, queued attempts are no
    /// longer sent from here on.
    pub fn register(&self, entry: &ListedDataNode) -> ReplicaId {
        self.register_with_start(entry, || None).0
    }

    /// Registers a data node like [`DataNodes::register`] and also returns its estimated start time.
    ///
    /// `started` is called when a start is listed for the first time, and returns the start time on the
    /// coordinator's own clock. That value is kept until the next start.
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
        // Connections to a process that no longer runs are closed at once: if its machine has vanished
        // without a reset, they would stay open and silent.
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

    /// Marks all data nodes that a complete list does not contain as removed.
    pub fn retain_listed(&self, listed: &BTreeSet<ReplicaId>) {
        for (id, node) in self.nodes.borrow_mut().iter_mut() {
            if !listed.contains(id) {
                node.state = EndpointState::Removed;
                node.update_removal();
            }
        }
    }

    /// Returns the connection for the next attempt and the incarnation of the data node, or `None` if the
    /// data node accepts no attempts or no descriptor is available for a first connection.
    ///
    /// Prefers an existing connection with a free stream, whether established or connecting, over a new
    /// connection. If no new connection may be opened, the least loaded one is used.
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

    /// Opens a connection. If no descriptor is left, the connection that has been idle the longest, to any
    /// data node, is closed for it. Otherwise, in a deployment with more data nodes than descriptors, the
    /// data nodes that are reached last would get no attempts at all.
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
            // The new connection takes over its descriptor.
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

    /// Opens a new connection to a data node whose connection broke, and returns whether the process of the
    /// data node is alive, that is, whether it accepts the connection. The next attempts need the connection
    /// anyway. A healthy data node may close a connection right after an answer, just when another attempt
    /// was written to it, and must not be treated as crashed.
    ///
    /// A data node that accepts no attempts is not contacted and counts as alive, since its state is known
    /// already. A data node also counts as alive if the connection cannot be opened for lack of a local
    /// resource.
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
