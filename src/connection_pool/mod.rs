//! The connection pool for gRPC servers. It decides how many connections each server gets, which of them a
//! call uses, and when a connection is opened, probed by a PING, drained or closed. It holds the state of the
//! connections and the connect backoff of the servers; the sockets belong to [`crate::net::grpc`]. No I/O and
//! no clock: events are passed in with their time, and actions are returned.
//!
//! A connection is first being established, then established, then closed. A draining connection accepts no
//! new calls, and is closed after its last call has ended.
//!
//! Invariants, most of which [`ConnectionPool::check_invariants`] checks: no connection has more calls than
//! its server and the limits allow; no server has more connections than the limits allow, not counting
//! draining ones; no call is assigned to a connection that is draining or closed, or to a server that is not
//! ready.
#![warn(missing_docs)]

mod connection;
mod limits;

use std::collections::BTreeMap;
use std::time::Instant;

use self::connection::Connection;
pub use self::limits::PoolLimits;
use crate::balancer::interface::{EndpointState, ReplicaId};

/// The identifier of a connection. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The result of [`ConnectionPool::assign`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// The call goes to this connection, and counts on it until [`ConnectionPool::release`].
    Assigned(ConnectionId),
    /// The caller has to establish this connection, and to wait for it.
    Connect(ConnectionId),
    /// The caller has to try again after the next change.
    Wait,
    /// The server accepts no new calls.
    NotReady,
    /// Connects have failed, and none is attempted before this time.
    BackingOff(Instant),
    /// The maximum number of calls is waiting already.
    QueueFull,
}

/// An action on a connection that the caller has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Send a PING, and report its answer by [`ConnectionPool::record_activity`].
    Ping(ConnectionId),
    /// Close the connection. The pool has removed it already.
    Close(ConnectionId, CloseReason),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It had no calls for the idle timeout.
    Idle,
    /// Nothing arrived within the timeout after a PING.
    KeepaliveTimeout,
    /// It was draining, and its last call has ended or the drain timeout has passed.
    Drained,
    /// The server was restarted, or has moved to another address.
    ServerReplaced,
}

#[derive(Debug)]
struct Server {
    state: EndpointState,
    /// The number of failed connects since the last successful one.
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

    /// Returns the number of connections that are not draining, including those being established.
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
    /// Creates a pool without servers.
    pub fn new(limits: PoolLimits) -> ConnectionPool {
        ConnectionPool { limits, servers: BTreeMap::new(), server_of: BTreeMap::new(), last_id: 0 }
    }

    /// Sets the state of a server, as reported by discovery. A server that is not ready gets no new calls,
    /// and its connections drain so that calls in flight can finish.
    pub fn set_server_state(&mut self, now: Instant, replica: ReplicaId, state: EndpointState) {
        let server = self.servers.entry(replica).or_insert_with(|| Server::new(state));
        server.state = state;
        if state != EndpointState::Ready {
            server.connections.values_mut().for_each(|c| c.drain(now));
        }
    }

    /// Removes all connections to a server that was restarted or has moved to another address, as they lead
    /// to a process that is gone. Resets its backoff. Returns the closes that have to be carried out.
    pub fn server_replaced(&mut self, replica: ReplicaId) -> Vec<PoolAction> {
        let Some(server) = self.servers.get_mut(&replica) else { return Vec::new() };
        server.reset_backoff();
        let closed: Vec<ConnectionId> = server.connections.keys().copied().collect();
        closed.iter().for_each(|id| self.forget(*id));
        closed.into_iter().map(|id| PoolAction::Close(id, CloseReason::ServerReplaced)).collect()
    }

    /// Forgets a server in the state [`EndpointState::Removed`] that has no connections. Any other server
    /// stays.
    pub fn remove_server(&mut self, replica: ReplicaId) {
        let Some(server) = self.servers.get(&replica) else { return };
        if server.connections.is_empty() && server.state == EndpointState::Removed {
            self.servers.remove(&replica);
        }
    }

    /// Assigns a call to a connection, while `waiting` other calls wait for this server.
    ///
    /// Connections without an outstanding PING are preferred, and among them the one with the fewest calls.
    /// If none has capacity, a new connection is opened, unless those being established suffice for the
    /// waiting calls.
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

    /// Records the end of a call that was assigned to the connection.
    pub fn release(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connection_mut(id) {
            connection.release_call(now);
        }
    }

    /// Records that the connection was established. The server allows `allowed` concurrent calls on it
    /// (SETTINGS_MAX_CONCURRENT_STREAMS, RFC 9113 6.5.2).
    pub fn connected(&mut self, now: Instant, id: ConnectionId, allowed: usize) {
        self.set_stream_limit(id, allowed);
        if let Some(server) = self.server_mut(id) {
            server.reset_backoff();
        }
        if let Some(connection) = self.connection_mut(id) {
            connection.connected(now);
        }
    }

    /// Updates the number of concurrent calls that the server allows on the connection. Calls in flight are
    /// not affected (RFC 9113 5.1.2).
    pub fn set_stream_limit(&mut self, id: ConnectionId, allowed: usize) {
        let max_streams = self.limits.max_streams;
        if let Some(connection) = self.connection_mut(id) {
            connection.stream_limit = allowed.min(max_streams);
        }
    }

    /// Records that the connection could not be established. `chance`, from 0 to 1, randomizes the backoff
    /// that follows.
    pub fn connect_failed(&mut self, now: Instant, id: ConnectionId, chance: f64) {
        let replica = self.server_of.get(&id);
        if let Some(server) = replica.and_then(|replica| self.servers.get_mut(replica)) {
            server.backoff_until = Some(now + self.limits.backoff(server.failures, chance));
            server.failures += 1;
        }
        self.forget(id);
    }

    /// Removes a connection that was closed.
    pub fn closed(&mut self, id: ConnectionId) {
        self.forget(id);
    }

    /// Starts draining the connection: a GOAWAY arrived (RFC 9113 6.8), or it has to end for another reason.
    pub fn drain(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connection_mut(id) {
            connection.drain(now);
        }
    }

    /// Records that something arrived on the connection: headers, data, or the answer to a PING.
    pub fn record_activity(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connection_mut(id) {
            connection.last_activity = now;
            connection.ping_sent_at = None;
        }
    }

    /// Returns the actions that are due. Must be called at the time given by [`ConnectionPool::next_timer`],
    /// or later.
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

    /// Returns when [`ConnectionPool::on_timer`] is due next; `None` if no connection is established.
    pub fn next_timer(&self) -> Option<Instant> {
        let connections = self.servers.values().flat_map(|server| server.connections.values());
        let established = connections.filter(|c| c.established);
        established.filter_map(|connection| connection.next_timer(&self.limits)).min()
    }

    /// Returns the number of connections to all servers, including those being established.
    pub fn connection_count(&self) -> usize {
        self.server_of.len()
    }

    /// Checks the invariants of the pool; for tests.
    ///
    /// # Errors
    ///
    /// The server or connection that violates an invariant, and how.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (replica, server) in &self.servers {
            let accepting = server.accepting_connections();
            if accepting > self.limits.max_connections {
                return Err(format!("{replica:?} has {accepting} connections that accept calls"));
            }
            if let Some(id) = server.connections.keys().find(|id| self.server_of.get(id) != Some(replica)) {
                return Err(format!("{id:?} is not mapped to its server"));
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
