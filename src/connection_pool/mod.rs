//! How many connections a server gets, which one a call takes and when one is opened, asked for a sign of life,
//! drained or given up. No I/O and no clock: what happened comes in with its time, what is to be done goes out.
//!
//! A connection is `Coming`, then `Up`, then gone. An `Up` one that drains takes no new call and ends with its last.
//!
//! Kept at all times, and asserted by [`ConnectionPool::check_invariants`]: no connection holds more calls than its server allows or than
//! the file does; a server has no more connections than the file allows, draining ones aside; no call is given to a
//! connection that drains or is gone, nor to a server that is not ready.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::balancer::interface::{EndpointState, ReplicaId};

/// Bounds of the connections to one server. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// Connections that take calls, those coming up included.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Calls on one connection at most, whatever its server allows.
    #[serde(rename = "streams")]
    pub max_streams: usize,
    /// Calls that may wait for a place.
    #[serde(rename = "waiting")]
    pub max_waiting: usize,
    /// A connection without a call is closed after this.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// A connection that owes something and has been silent for this long is asked by a PING (RFC 9113 6.7), and
    /// given up if it stays silent for `ping_timeout_s` more.
    #[serde(rename = "ping_s")]
    pub ping_interval_s: f64,
    pub ping_timeout_s: f64,
    /// A connection drains at this age.
    #[serde(rename = "age_s")]
    pub max_age_s: f64,
    /// Calls under way on a connection that drains have this long to end.
    #[serde(rename = "drain_s")]
    pub drain_timeout_s: f64,
    /// Rest after a failed connect; it doubles with each further one up to the most, and is spread over its second
    /// half by chance.
    #[serde(rename = "backoff_s")]
    pub initial_backoff_s: f64,
    #[serde(rename = "backoff_most_s")]
    pub max_backoff_s: f64,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            max_connections: 4,
            max_streams: 100,
            max_waiting: 256,
            idle_timeout_s: 60.0,
            ping_interval_s: 0.5,
            ping_timeout_s: 0.5,
            max_age_s: 1800.0,
            drain_timeout_s: 30.0,
            initial_backoff_s: 0.1,
            max_backoff_s: 5.0,
        }
    }
}

impl PoolLimits {
    /// The key at fault and what is wrong with it.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let spans = [
            ("idle_s", self.idle_timeout_s),
            ("ping_s", self.ping_interval_s),
            ("ping_timeout_s", self.ping_timeout_s),
            ("age_s", self.max_age_s),
            ("drain_s", self.drain_timeout_s),
            ("backoff_s", self.initial_backoff_s),
            ("backoff_most_s", self.max_backoff_s),
        ];
        for (key, span) in spans {
            if !(span > 0.0 && span <= 86_400.0) {
                return Err((key, "must be over 0 and at most 86400".into()));
            }
        }
        for (key, n) in [
            ("connections", self.max_connections),
            ("streams", self.max_streams),
            ("waiting", self.max_waiting),
        ] {
            if n == 0 {
                return Err((key, "must be at least 1".into()));
            }
        }
        match self.max_backoff_s < self.initial_backoff_s {
            true => Err(("backoff_most_s", "must be at least backoff_s".into())),
            false => Ok(()),
        }
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(86_400))
}

/// A connection; no number is given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// It has a place on this connection, until [`Pool::release`].
    Assigned(ConnectionId),
    /// Open this connection, and wait.
    Connect(ConnectionId),
    /// Ask again when something has changed.
    Wait,
    /// The server wants nothing new.
    NotReady,
    /// Connects failed lately; none is tried before then.
    BackingOff(Instant),
    /// As many calls wait as may.
    QueueFull,
}

/// What is to be done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    Ping(ConnectionId),
    Close(ConnectionId, CloseReason),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    Idle,
    /// It answered no PING.
    KeepaliveTimeout,
    /// It drained, and its last call has ended or has had its time.
    Drained,
    /// Its server is another process now, or at another place.
    ServerReplaced,
}

#[derive(Debug)]
struct Connection {
    up: bool,
    limit: usize,
    open: usize,
    since: Instant,
    /// Since when it takes nothing new.
    draining: Option<Instant>,
    heard: Instant,
    /// When a PING went out that is not answered.
    asked: Option<Instant>,
    /// Since when it carries nothing.
    idle: Instant,
}

#[derive(Debug)]
struct Server {
    phase: EndpointState,
    failures: u32,
    rests: Option<Instant>,
    connections: BTreeMap<ConnectionId, Connection>,
}

/// The connections to all servers.
#[derive(Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    servers: BTreeMap<ReplicaId, Server>,
    homes: BTreeMap<ConnectionId, ReplicaId>,
    last: u64,
}

impl ConnectionPool {
    pub fn new(limits: PoolLimits) -> ConnectionPool {
        ConnectionPool { limits, servers: BTreeMap::new(), homes: BTreeMap::new(), last: 0 }
    }

    /// A server's phase, as its records have it. One that is not ready gets nothing new from here on; what it is
    /// doing it may finish.
    pub fn set_server_state(&mut self, now: Instant, server: ReplicaId, phase: EndpointState) {
        let new = || Server { phase, failures: 0, rests: None, connections: BTreeMap::new() };
        let held = self.servers.entry(server).or_insert_with(new);
        held.phase = phase;
        if phase != EndpointState::Ready {
            held.connections.values_mut().for_each(|c| c.drain(now));
        }
    }

    /// A server began a new life, or moved: its connections lead to a process that is no more.
    pub fn server_replaced(&mut self, server: ReplicaId) -> Vec<PoolAction> {
        let Some(held) = self.servers.get_mut(&server) else { return Vec::new() };
        (held.failures, held.rests) = (0, None);
        let gone: Vec<_> = held.connections.keys().copied().collect();
        gone.iter().for_each(|id| self.forget(*id));
        gone.into_iter().map(|id| PoolAction::Close(id, CloseReason::ServerReplaced)).collect()
    }

    /// Forget a server that is gone and carries nothing.
    pub fn remove_server(&mut self, server: ReplicaId) {
        if self
            .servers
            .get(&server)
            .is_some_and(|s| s.connections.is_empty() && s.phase == EndpointState::Removed)
        {
            self.servers.remove(&server);
        }
    }

    /// A place for one more call, of `waiting` that wait for this server already.
    ///
    /// The connection with the fewest calls takes it, one that was heard of before one that was asked for a sign
    /// of life. A new one is opened where none has a place and none is coming up, or fewer are than the waiting
    /// would fill.
    pub fn assign(&mut self, now: Instant, server: ReplicaId, waiting: usize) -> Assignment {
        let limits = &self.limits;
        let Some(held) = self.servers.get_mut(&server).filter(|s| s.phase == EndpointState::Ready) else {
            return Assignment::NotReady;
        };
        let free = held.connections.iter_mut().filter(|(_, c)| c.takes());
        if let Some((id, c)) = free.min_by_key(|(id, c)| (c.asked.is_some(), c.open, **id)) {
            // From nothing on, its silence counts anew.
            if c.open == 0 {
                c.idle = now;
            }
            c.open += 1;
            return Assignment::Assigned(*id);
        }
        if let Some(until) = held.rests.filter(|until| *until > now) {
            return Assignment::BackingOff(until);
        }
        let taking = held.connections.values().filter(|c| c.draining.is_none()).count();
        let coming = held.connections.values().filter(|c| !c.up).count();
        if waiting >= limits.max_waiting {
            return Assignment::QueueFull;
        }
        if taking < limits.max_connections && waiting >= coming * limits.max_streams {
            self.last += 1;
            let id = ConnectionId(self.last);
            let (open, limit, draining, asked) = (0, limits.max_streams, None, None);
            let c = Connection { up: false, limit, open, since: now, draining, heard: now, asked, idle: now };
            held.connections.insert(id, c);
            self.homes.insert(id, server);
            return Assignment::Connect(id);
        }
        Assignment::Wait
    }

    /// A call's place is free again.
    pub fn release(&mut self, now: Instant, id: ConnectionId) {
        if let Some(c) = self.connection(id) {
            c.open = c.open.saturating_sub(1);
            c.idle = now;
        }
    }

    /// It came up; its server allows so many calls (SETTINGS_MAX_CONCURRENT_STREAMS, RFC 9113 6.5.2).
    pub fn connected(&mut self, now: Instant, id: ConnectionId, allowed: usize) {
        self.set_stream_limit(id, allowed);
        if let Some(server) = self.homes.get(&id).and_then(|s| self.servers.get_mut(s)) {
            (server.failures, server.rests) = (0, None);
        }
        if let Some(c) = self.connection(id) {
            (c.up, c.since, c.heard, c.idle) = (true, now, now, now);
        }
    }

    /// Its server changed how many calls it allows. Those under way stay (RFC 9113 5.1.2).
    pub fn set_stream_limit(&mut self, id: ConnectionId, allowed: usize) {
        let most = self.limits.max_streams;
        if let Some(c) = self.connection(id) {
            c.limit = allowed.min(most);
        }
    }

    /// It did not come up. `chance`, from 0 to 1, spreads the rest that follows.
    pub fn connect_failed(&mut self, now: Instant, id: ConnectionId, chance: f64) {
        let (first, most) = (self.limits.initial_backoff_s, self.limits.max_backoff_s);
        if let Some(server) = self.homes.get(&id).and_then(|s| self.servers.get_mut(s)) {
            let full = (first * 2f64.powi(server.failures.min(30) as i32)).min(most);
            server.rests = Some(now + span(full * (0.5 + 0.5 * chance.clamp(0.0, 1.0))));
            server.failures += 1;
        }
        self.forget(id);
    }

    /// It is gone.
    pub fn closed(&mut self, id: ConnectionId) {
        self.forget(id);
    }

    /// GOAWAY came, or it is to end for another reason: nothing new.
    pub fn drain(&mut self, now: Instant, id: ConnectionId) {
        if let Some(c) = self.connection(id) {
            c.drain(now);
        }
    }

    /// Something came on it: a header, data, or the answer to a PING.
    pub fn record_activity(&mut self, now: Instant, id: ConnectionId) {
        if let Some(c) = self.connection(id) {
            (c.heard, c.asked) = (now, None);
        }
    }

    /// What is due. To be called whenever [`Pool::due`] says.
    pub fn on_timer(&mut self, now: Instant) -> Vec<PoolAction> {
        let (limits, mut out) = (self.limits.clone(), Vec::new());
        for server in self.servers.values_mut() {
            for (id, c) in server.connections.iter_mut().filter(|(_, c)| c.up) {
                if c.draining.is_none() && now >= c.since + span(limits.max_age_s) {
                    c.drain(now);
                }
                let why = match (c.draining, c.asked) {
                    (Some(_), _) if c.open == 0 => Some(CloseReason::Drained),
                    (Some(since), _) if now >= since + span(limits.drain_timeout_s) => {
                        Some(CloseReason::Drained)
                    }
                    (_, Some(asked)) if now >= asked + span(limits.ping_timeout_s) => {
                        Some(CloseReason::KeepaliveTimeout)
                    }
                    (None, _) if c.open == 0 && now >= c.idle + span(limits.idle_timeout_s) => {
                        Some(CloseReason::Idle)
                    }
                    _ => None,
                };
                if let Some(why) = why {
                    out.push(PoolAction::Close(*id, why));
                } else if c.open > 0
                    && c.asked.is_none()
                    && now >= c.heard.max(c.idle) + span(limits.ping_interval_s)
                {
                    c.asked = Some(now);
                    out.push(PoolAction::Ping(*id));
                }
            }
        }
        for act in &out {
            if let PoolAction::Close(id, _) = act {
                self.forget(*id);
            }
        }
        out
    }

    /// When [`Pool::tick`] is due next.
    pub fn next_timer(&self) -> Option<Instant> {
        let limits = &self.limits;
        let due = |c: &Connection| {
            let age = c.draining.is_none().then(|| c.since + span(limits.max_age_s));
            let drain =
                c.draining
                    .map(|since| if c.open == 0 { since } else { since + span(limits.drain_timeout_s) });
            let ping = match c.asked {
                Some(asked) => Some(asked + span(limits.ping_timeout_s)),
                None => (c.open > 0).then(|| c.heard.max(c.idle) + span(limits.ping_interval_s)),
            };
            let idle = (c.open == 0).then(|| c.idle + span(limits.idle_timeout_s));
            [age, drain, ping, idle].into_iter().flatten().min()
        };
        let up = self.servers.values().flat_map(|s| s.connections.values()).filter(|c| c.up);
        up.filter_map(due).min()
    }

    /// Calls under way at a server, and connections to it.
    pub fn server_load(&self, server: ReplicaId) -> (usize, usize) {
        let held = self.servers.get(&server).map(|s| &s.connections);
        held.map_or((0, 0), |c| (c.values().map(|c| c.open).sum(), c.len()))
    }

    /// Connections in all.
    pub fn connection_count(&self) -> usize {
        self.homes.len()
    }

    /// What must hold at any time; for tests and debug builds.
    pub fn check_invariants(&self) -> Result<(), String> {
        for (server, held) in &self.servers {
            let taking = held.connections.values().filter(|c| c.draining.is_none()).count();
            if taking > self.limits.max_connections {
                return Err(format!("{server:?} has {taking} connections that take calls"));
            }
            if let Some(id) = held.connections.keys().find(|id| self.homes.get(id) != Some(server)) {
                return Err(format!("{id:?} has no home"));
            }
        }
        let held: usize = self.servers.values().map(|s| s.connections.len()).sum();
        if held == self.homes.len() {
            Ok(())
        } else {
            Err("connections without a server".into())
        }
    }

    fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.servers.get_mut(self.homes.get(&id)?)?.connections.get_mut(&id)
    }

    fn forget(&mut self, id: ConnectionId) {
        if let Some(server) = self.homes.remove(&id).and_then(|s| self.servers.get_mut(&s)) {
            server.connections.remove(&id);
        }
    }
}

impl Connection {
    /// Whether it has a place for one more call.
    fn takes(&self) -> bool {
        self.up && self.draining.is_none() && self.open < self.limit
    }

    fn drain(&mut self, now: Instant) {
        self.draining.get_or_insert(now);
    }
}
