//! The connections to gRPC servers: how many each server gets, which one a call takes, and when one is
//! opened, probed by a PING, drained or closed. Owns the state of the connections and the backoff of the
//! servers; the sockets are [`crate::net::grpc`]'s. No I/O and no clock: events come in with their time,
//! actions go out.
//!
//! A connection is being established, then established, then closed. One that drains takes no new call and is
//! closed behind its last.
//!
//! Invariants, checked by [`ConnectionPool::check_invariants`] where they can be: no connection has more
//! calls than its server and the limits allow; a server has no more connections than the limits allow,
//! draining ones aside; no call goes to a connection that drains or is closed, nor to a server that is not
//! ready.
#![warn(missing_docs)]

mod connection;
mod limits;

use std::collections::BTreeMap;
use std::time::Instant;

use self::connection::Connection;
pub use self::limits::PoolLimits;
use crate::balancer::interface::{EndpointState, ReplicaId};

/// A connection; no number is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// To this connection, on which it counts until [`ConnectionPool::release`].
    Assigned(ConnectionId),
    /// Establish this connection, and wait.
    Connect(ConnectionId),
    /// Ask again when something has changed.
    Wait,
    /// The server accepts nothing new.
    NotReady,
    /// Connects have failed; none is tried before this time.
    BackingOff(Instant),
    /// As many calls wait as may.
    QueueFull,
}

/// What is to be done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Send a PING, and report its answer by [`ConnectionPool::record_activity`].
    Ping(ConnectionId),
    /// Close it. The pool has forgotten it already.
    Close(ConnectionId, CloseReason),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It had no calls for the idle timeout.
    Idle,
    /// It answered no PING.
    KeepaliveTimeout,
    /// It drained, and its last call has finished or the drain timeout has passed.
    Drained,
    /// Its server runs as another process now, or at another address.
    ServerReplaced,
}

#[derive(Debug)]
struct Server {
    state: EndpointState,
    /// Failed connects since the last one that succeeded.
    failures: u32,
    backoff_until: Option<Instant>,
    connections: BTreeMap<ConnectionId, Connection>,
}

impl Server {
    fn new(state: EndpointState) -> Server {
        Server { state, failures: 0, backoff_until: None, connections: BTreeMap::new() }
    }

    fn reset_backoff(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }

    /// Connections that do not drain, those being established included.
    fn accepting_connections(&self) -> usize {
        self.connections.values().filter(|c| c.draining_since.is_none()).count()
    }

    fn connecting(&self) -> usize {
        self.connections.values().filter(|c| !c.established).count()
    }
}

/// The connections to all servers.
#[derive(Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    servers: BTreeMap<ReplicaId, Server>,
    server_of: BTreeMap<ConnectionId, ReplicaId>,
    last_id: u64,
}

impl ConnectionPool {
    /// A pool without servers.
    pub fn new(limits: PoolLimits) -> ConnectionPool {
        ConnectionPool { limits, servers: BTreeMap::new(), server_of: BTreeMap::new(), last_id: 0 }
    }

    /// The state of a server, as discovery has it. One that is not ready gets nothing new from here on, and
    /// may finish its calls in flight.
    pub fn set_server_state(&mut self, now: Instant, replica: ReplicaId, state: EndpointState) {
        let server = self.servers.entry(replica).or_insert_with(|| Server::new(state));
        server.state = state;
        if state != EndpointState::Ready {
            server.connections.values_mut().for_each(|c| c.drain(now));
        }
    }

    /// A server runs as another process, or at another address: its connections lead to one that is gone.
    /// Gives the closes that are to be carried out.
    pub fn server_replaced(&mut self, replica: ReplicaId) -> Vec<PoolAction> {
        let Some(server) = self.servers.get_mut(&replica) else { return Vec::new() };
        server.reset_backoff();
        let closed: Vec<ConnectionId> = server.connections.keys().copied().collect();
        closed.iter().for_each(|id| self.forget(*id));
        closed.into_iter().map(|id| PoolAction::Close(id, CloseReason::ServerReplaced)).collect()
    }

    /// Forget a server that is removed and has no connections; any other stays.
    pub fn remove_server(&mut self, replica: ReplicaId) {
        let Some(server) = self.servers.get(&replica) else { return };
        if server.connections.is_empty() && server.state == EndpointState::Removed {
            self.servers.remove(&replica);
        }
    }

    /// Assign one more call to a connection, where `waiting` calls wait for this server already.
    ///
    /// The connection with the fewest calls takes it, one without an unanswered PING before one with. A new
    /// one is established where none has capacity, unless those being established suffice for the waiting
    /// calls.
    pub fn assign(&mut self, now: Instant, replica: ReplicaId, waiting: usize) -> Assignment {
        let Some(server) = self.servers.get_mut(&replica).filter(|s| s.state == EndpointState::Ready) else {
            return Assignment::NotReady;
        };
        let usable = server.connections.iter_mut().filter(|(_, c)| c.has_capacity());
        let least_loaded = usable.min_by_key(|(id, c)| (c.ping_sent_at.is_some(), c.open_calls, **id));
        if let Some((id, connection)) = least_loaded {
            connection.add_call(now);
            return Assignment::Assigned(*id);
        }
        if let Some(until) = server.backoff_until.filter(|until| *until > now) {
            return Assignment::BackingOff(until);
        }
        if waiting >= self.limits.max_waiting {
            return Assignment::QueueFull;
        }
        let has_room = server.accepting_connections() < self.limits.max_connections;
        if has_room && waiting >= server.connecting() * self.limits.max_streams {
            self.last_id += 1;
            let id = ConnectionId(self.last_id);
            server.connections.insert(id, Connection::new(now, self.limits.max_streams));
            self.server_of.insert(id, replica);
            return Assignment::Connect(id);
        }
        Assignment::Wait
    }

    /// A call that was assigned to the connection has ended.
    pub fn release(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connection_mut(id) {
            connection.release_call(now);
        }
    }

    /// The connection was established. Its server allows `allowed` calls (SETTINGS_MAX_CONCURRENT_STREAMS,
    /// RFC 9113 6.5.2).
    pub fn connected(&mut self, now: Instant, id: ConnectionId, allowed: usize) {
        self.set_stream_limit(id, allowed);
        if let Some(server) = self.server_mut(id) {
            server.reset_backoff();
        }
        if let Some(connection) = self.connection_mut(id) {
            connection.connected(now);
        }
    }

    /// The server changed how many calls it allows on the connection. Those in flight stay (RFC 9113 5.1.2).
    pub fn set_stream_limit(&mut self, id: ConnectionId, allowed: usize) {
        let max_streams = self.limits.max_streams;
        if let Some(connection) = self.connection_mut(id) {
            connection.stream_limit = allowed.min(max_streams);
        }
    }

    /// The connection could not be established. `chance`, from 0 to 1, spreads the backoff that follows.
    pub fn connect_failed(&mut self, now: Instant, id: ConnectionId, chance: f64) {
        let replica = self.server_of.get(&id);
        if let Some(server) = replica.and_then(|replica| self.servers.get_mut(replica)) {
            server.backoff_until = Some(now + self.limits.backoff(server.failures, chance));
            server.failures += 1;
        }
        self.forget(id);
    }

    /// The connection is closed.
    pub fn closed(&mut self, id: ConnectionId) {
        self.forget(id);
    }

    /// The connection takes no new calls: GOAWAY arrived (RFC 9113 6.8), or it is to end for another reason.
    pub fn drain(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connection_mut(id) {
            connection.drain(now);
        }
    }

    /// Something arrived on the connection: a header, data, or the answer to a PING.
    pub fn record_activity(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connection_mut(id) {
            connection.last_activity = now;
            connection.ping_sent_at = None;
        }
    }

    /// The actions that are due. To be called whenever [`ConnectionPool::next_timer`] says.
    pub fn on_timer(&mut self, now: Instant) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        let connections = self.servers.values_mut().flat_map(|server| server.connections.iter_mut());
        for (id, connection) in connections.filter(|(_, c)| c.established) {
            if now >= connection.established_at + limits::span(self.limits.max_age_s) {
                connection.drain(now);
            }
            if let Some(reason) = connection.close_reason(now, &self.limits) {
                actions.push(PoolAction::Close(*id, reason));
            } else if connection.needs_ping(now, &self.limits) {
                connection.ping_sent_at = Some(now);
                actions.push(PoolAction::Ping(*id));
            }
        }
        for action in &actions {
            if let PoolAction::Close(id, _) = action {
                self.forget(*id);
            }
        }
        actions
    }

    /// When [`ConnectionPool::on_timer`] is due next; none where no connection is established.
    pub fn next_timer(&self) -> Option<Instant> {
        let connections = self.servers.values().flat_map(|server| server.connections.values());
        let established = connections.filter(|c| c.established);
        established.filter_map(|connection| connection.next_timer(&self.limits)).min()
    }

    /// Connections to all servers, those being established included.
    pub fn connection_count(&self) -> usize {
        self.server_of.len()
    }

    /// Check what must hold at any time; for tests.
    ///
    /// # Errors
    ///
    /// Which server or connection breaks an invariant, and how.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (replica, server) in &self.servers {
            let accepting = server.accepting_connections();
            if accepting > self.limits.max_connections {
                return Err(format!("{replica:?} has {accepting} connections that take calls"));
            }
            if let Some(id) = server.connections.keys().find(|id| self.server_of.get(id) != Some(replica)) {
                return Err(format!("{id:?} has no home"));
            }
        }
        let connections: usize = self.servers.values().map(|server| server.connections.len()).sum();
        if connections == self.server_of.len() {
            Ok(())
        } else {
            Err("connections without a server".into())
        }
    }

    fn server_mut(&mut self, id: ConnectionId) -> Option<&mut Server> {
        self.servers.get_mut(self.server_of.get(&id)?)
    }

    fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.server_mut(id)?.connections.get_mut(&id)
    }

    fn forget(&mut self, id: ConnectionId) {
        let replica = self.server_of.remove(&id);
        if let Some(server) = replica.and_then(|replica| self.servers.get_mut(&replica)) {
            server.connections.remove(&id);
        }
    }
}
