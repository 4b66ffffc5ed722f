//! The client side of the proxy: multiplexed HTTP/2 connections to gRPC servers. [`ConnectionPool`] decides
//! which connection a call uses and when connections are opened, probed and closed. This module owns the
//! sockets and carries out the pool's decisions.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use event_listener::Event as Wake;
use futures_lite::FutureExt;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slog::{debug, info, Logger};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::exchange::Exchange;
use crate::balancer::interface::{Endpoint, EndpointState, LoadReport, Outcome, ReplicaId};
use crate::config::operator::FrontLimits;
use crate::config::settings::ConnectionSettings;
use crate::connection_pool::{Assignment, CloseReason, ConnectionId, ConnectionPool, PoolAction, PoolLimits};
use crate::coordinator::{AttemptResult, Call, CancellationToken, Clock, Transport};
use crate::net::dns_sd::registry::{ServerChange, ServerRegistry};
use crate::net::dns_sd::watcher::FollowsServerList;
use crate::net::dns_sd::zone_file::Server;
use crate::net::socket::{self, Stream};
use crate::net::{timeout_at, LogRateLimiter};

/// The interval at which the pool's timers are polled: a fifth of the shortest limit that depends on them.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);
/// The time that a health probe waits for a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection that is established or being established.
pub(super) struct ConnectionHandle {
    pub(super) send: RefCell<Option<SendRequest<Bytes>>>,
    /// Whether the pool has requested a PING that has not been sent yet.
    ping_requested: Cell<bool>,
    /// Why the pool closed the connection; `None` until the pool closes it.
    pub(super) closed: Cell<Option<CloseReason>>,
    wake: Wake,
}

impl ConnectionHandle {
    /// Waits until `ready` returns a value, and returns that value.
    async fn until<T>(&self, ready: impl Fn() -> Option<T>) -> T {
        loop {
            let listener = self.wake.listen();
            if let Some(value) = ready() {
                return value;
            }
            listener.await;
        }
    }
}

/// All gRPC servers and the connections to them.
pub struct Servers {
    registry: RefCell<ServerRegistry>,
    pub(super) pool: RefCell<ConnectionPool>,
    handles: RefCell<BTreeMap<ConnectionId, Rc<ConnectionHandle>>>,
    /// The number of calls that wait for a stream, by server.
    waiting: RefCell<BTreeMap<ReplicaId, usize>>,
    changed: Wake,
    connection_settings: ConnectionSettings,
    pub(super) limits: FrontLimits,
    /// The maximum number of connections to all servers, as each of them uses a file descriptor.
    max_connections: usize,
    rng: RefCell<Pcg64Mcg>,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
    log_limiter: LogRateLimiter,
}

impl FollowsServerList for Servers {
    fn apply_list(&self, servers: &[Server], zones: &[String], clock: &Clock) -> Vec<Endpoint> {
        let now = Instant::now();
        let (listed, changes) = self.registry.borrow_mut().apply_list(servers, zones, clock);
        for (replica, change) in changes {
            let mut pool = self.pool.borrow_mut();
            let (actions, state) = match change {
                ServerChange::Listed(state) => (Vec::new(), state),
                ServerChange::Replaced(state) => (pool.server_replaced(replica), state),
                ServerChange::Removed => (Vec::new(), EndpointState::Removed),
            };
            pool.set_server_state(now, replica, state);
            pool.remove_server(replica);
            drop(pool);
            actions.into_iter().for_each(|action| self.perform(action));
        }
        self.changed.notify(usize::MAX);
        listed
    }
}

impl Servers {
    pub fn new(
        connection_settings: ConnectionSettings,
        pool: PoolLimits,
        limits: FrontLimits,
        max_connections: usize,
        seed: u64,
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
    ) -> Rc<Self> {
        let pool = RefCell::new(ConnectionPool::new(pool));
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        let (registry, handles, waiting, changed, log_limiter) = Default::default();
        Rc::new(Servers {
            registry,
            pool,
            handles,
            waiting,
            changed,
            connection_settings,
            limits,
            max_connections,
            rng,
            executor,
            log,
            log_limiter,
        })
    }

    /// Returns the number of connections to servers, including those being established.
    pub fn connections(&self) -> usize {
        self.pool.borrow().connection_count()
    }

    /// Polls the pool's timers and carries out the actions that are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            while self.handles.borrow().is_empty() {
                let listener = self.changed.listen();
                if self.handles.borrow().is_empty() {
                    listener.await;
                }
            }
            Timer::at(Instant::now() + TIMER_INTERVAL).await;
            let actions = self.pool.borrow_mut().on_timer(Instant::now());
            actions.into_iter().for_each(|action| self.perform(action));
        }
    }

    fn perform(&self, action: PoolAction) {
        let (PoolAction::Ping(id) | PoolAction::Close(id, _)) = action;
        let Some(handle) = self.handles.borrow().get(&id).cloned() else { return };
        match action {
            PoolAction::Ping(_) => handle.ping_requested.set(true),
            PoolAction::Close(_, reason) => {
                if let Some(suppressed) = matches!(reason, CloseReason::KeepaliveTimeout)
                    .then(|| self.log_limiter.permit())
                    .flatten()
                {
                    info!(self.log, "connection to a server given up"; "why" => "no answer to a PING",
                        "connection" => id.0, "suppressed" => suppressed);
                }
                handle.closed.set(Some(reason));
            }
        }
        handle.wake.notify(usize::MAX);
    }

    pub(super) fn ready(&self, replica: ReplicaId) -> Option<(SocketAddr, u64)> {
        self.registry.borrow().ready_address(replica)
    }

    pub(super) fn name(&self, replica: ReplicaId) -> String {
        self.registry.borrow().get(replica).map(|m| m.server.name.clone()).unwrap_or_default()
    }

    /// Reserves a stream for a call on one of a server's connections. Waits until a connection has capacity,
    /// and opens a new one if the pool requests it.
    ///
    /// # Errors
    ///
    /// Returns the attempt's outcome if the server is not ready or reachable, or a limit is reached.
    pub(super) async fn reserve_stream(
        self: &Rc<Self>,
        replica: ReplicaId,
    ) -> Result<ReservedStream, Outcome> {
        let waiting = WaitingCall { servers: self.clone(), replica, counted: Cell::new(false) };
        loop {
            let Some((address, _)) = self.ready(replica) else { return Err(Outcome::NeverSent) };
            let listener = self.changed.listen();
            let others_waiting = waiting.others_waiting();
            let now = Instant::now();
            let at_limit = self.connections() >= self.max_connections;
            let assigned = self.pool.borrow_mut().assign(now, replica, others_waiting);
            match assigned {
                Assignment::Assigned(id) => {
                    let Some(handle) = self.handles.borrow().get(&id).cloned() else {
                        self.pool.borrow_mut().closed(id);
                        continue;
                    };
                    let mut stream = ReservedStream { servers: self.clone(), id, handle, send: None };
                    let send = stream.handle.send.borrow().clone();
                    // Detects whether the connection closed or its stream limit changed since the assignment.
                    let ready = match send {
                        Some(send) => send.ready().await.ok(),
                        None => None,
                    };
                    let Some(send) = ready else {
                        self.pool.borrow_mut().drain(Instant::now(), id);
                        continue;
                    };
                    self.pool.borrow_mut().set_stream_limit(id, send.current_max_send_streams());
                    stream.send = Some(send);
                    return Ok(stream);
                }
                Assignment::Connect(id) if at_limit => {
                    self.pool.borrow_mut().closed(id);
                    return Err(Outcome::NeverSent);
                }
                Assignment::Connect(id) => self.open_connection(id, address),
                Assignment::Wait => {}
                Assignment::NotReady => return Err(Outcome::NeverSent),
                Assignment::BackingOff(_) => return Err(Outcome::ConnectFailed),
                Assignment::QueueFull => return Err(Outcome::Rejected),
            }
            waiting.mark_waiting();
            listener.await;
        }
    }

    fn open_connection(self: &Rc<Self>, id: ConnectionId, address: SocketAddr) {
        let (send, ping_requested, closed, wake) = Default::default();
        let handle = Rc::new(ConnectionHandle { send, ping_requested, closed, wake });
        self.handles.borrow_mut().insert(id, handle.clone());
        self.executor.spawn(self.clone().drive(id, handle, address)).detach();
    }

    /// Establishes a connection within the connect timeout, and drives it until it ends.
    async fn drive(self: Rc<Self>, id: ConnectionId, handle: Rc<ConnectionHandle>, address: SocketAddr) {
        let deadline = Instant::now() + self.connection_settings.connect_timeout;
        let closed = async {
            handle.until(|| handle.closed.get()).await;
            None
        };
        let established = async { self.establish(id, &handle, address).await };
        let established = timeout_at(deadline, established.or(closed)).await.flatten();
        self.changed.notify(usize::MAX);
        match established {
            None => {
                debug!(self.log, "connect failed"; "address" => %address);
                let chance = f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX);
                self.pool.borrow_mut().connect_failed(Instant::now(), id, chance);
            }
            Some((connection, mut pings)) => {
                debug!(self.log, "connection up"; "address" => %address);
                let send_pings = async {
                    loop {
                        handle.until(|| handle.ping_requested.take().then_some(())).await;
                        if pings.ping(Ping::opaque()).await.is_err() {
                            return std::future::pending::<()>().await;
                        }
                        self.pool.borrow_mut().record_activity(Instant::now(), id);
                    }
                };
                let closed = async {
                    handle.until(|| handle.closed.get()).await;
                };
                let connection_ended = async { drop(connection.await) };
                connection_ended.or(closed).or(send_pings).await;
                self.pool.borrow_mut().closed(id);
            }
        }
        handle.send.take();
        self.handles.borrow_mut().remove(&id);
        self.changed.notify(usize::MAX);
    }

    /// Connects, and waits for the answer to a PING. The server's SETTINGS frame, which contains its limit on
    /// concurrent streams, is certain to have arrived before that answer (RFC 9113 3.4).
    async fn establish(
        &self,
        id: ConnectionId,
        handle: &ConnectionHandle,
        address: SocketAddr,
    ) -> Option<(ServerConnection, PingPong)> {
        let deadline = Instant::now() + self.connection_settings.connect_timeout;
        let stream = socket::connect(address, deadline).await.ok()?;
        stream.set_nodelay();
        let limits = &self.limits;
        let (send, mut connection) = h2::client::Builder::new()
            .enable_push(false)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.connection_window)
            .max_header_list_size(limits.max_header_list)
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .data_frame_budget(SMALL_DATA_WINDOWS * limits.connection_window as usize)
            .handshake::<_, Bytes>(stream.compat())
            .await
            .ok()?;
        let mut pings = connection.ping_pong()?;
        let ping_answered = async { pings.ping(Ping::opaque()).await.ok() };
        let connection_ended = async {
            drop((&mut connection).await);
            None
        };
        ping_answered.or(connection_ended).await?;
        let stream_limit = send.current_max_send_streams();
        *handle.send.borrow_mut() = Some(send);
        self.pool.borrow_mut().connected(Instant::now(), id, stream_limit);
        Some((connection, pings))
    }
}

/// The number of locally reset streams that h2 remembers per connection. Frames that still arrive for them
/// are ignored and not treated as a connection error.
const MAX_RESET_STREAMS: usize = 256;

/// The budget of h2 for queued small DATA frames on one connection to a server, in connection windows. If it
/// were exceeded while a slow client holds up a stream of small messages, h2 would close the connection, and
/// all calls on it would fail.
const SMALL_DATA_WINDOWS: usize = 16;

type ServerConnection = h2::client::Connection<tokio_util::compat::Compat<Stream>, Bytes>;

/// A call that may have to wait for a stream. Counts as waiting from its first wait until it is dropped.
struct WaitingCall {
    servers: Rc<Servers>,
    replica: ReplicaId,
    counted: Cell<bool>,
}

impl WaitingCall {
    /// Returns the number of other calls that wait for the same server.
    fn others_waiting(&self) -> usize {
        let all = self.servers.waiting.borrow().get(&self.replica).copied().unwrap_or(0);
        all - usize::from(self.counted.get()).min(all)
    }

    /// Counts this call as waiting, if it is not counted yet.
    fn mark_waiting(&self) {
        if !self.counted.replace(true) {
            *self.servers.waiting.borrow_mut().entry(self.replica).or_default() += 1;
        }
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        if self.counted.get() {
            let mut waiting = self.servers.waiting.borrow_mut();
            if let Some(n) = waiting.get_mut(&self.replica) {
                *n -= 1;
            }
            waiting.retain(|_, n| *n > 0);
        }
    }
}

/// A stream that is reserved for a call on a connection, and released on drop.
pub(super) struct ReservedStream {
    servers: Rc<Servers>,
    pub(super) id: ConnectionId,
    pub(super) handle: Rc<ConnectionHandle>,
    pub(super) send: Option<SendRequest<Bytes>>,
}

impl Drop for ReservedStream {
    fn drop(&mut self) {
        self.servers.pool.borrow_mut().release(Instant::now(), self.id);
        if !self.servers.waiting.borrow().is_empty() {
            self.servers.changed.notify(usize::MAX);
        }
    }
}

impl Transport for Servers {
    type RequestContext = Exchange;

    /// Runs one attempt. Dropping the future resets the attempt's stream with CANCEL.
    async fn call(self: Rc<Self>, call: Call<Self>, stop: CancellationToken) -> AttemptResult {
        let stopped = async {
            stop.cancelled().await;
            Outcome::Cancelled.into()
        };
        // Boxed because the future is several kilobytes, which each combinator around it would move.
        let attempt = Box::pin(self.attempt(&call, &stop));
        let result = timeout_at(call.deadline, attempt.or(stopped)).await;
        result.unwrap_or(Outcome::TimedOut.into())
    }

    /// Reports a server as healthy if a connection to it is established within [`PROBE_TIMEOUT`].
    async fn health_check(self: Rc<Self>, replica: ReplicaId) -> (bool, Option<LoadReport>) {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        (timeout_at(deadline, self.reserve_stream(replica)).await.is_some_and(|stream| stream.is_ok()), None)
    }

    fn close_idle(&self, _: ReplicaId) {
        // Nothing to do: PINGs detect connections whose server is gone.
    }
}
