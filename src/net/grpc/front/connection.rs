//! Serves a client's HTTP/2 connection and the concurrent calls on it.
//!
//! Invariants: the drain of a connection starts once, so the conditions that require it are waited for only
//! before it. A draining connection waits for its client and its open calls alone, and closes at most
//! [`FLUSH_TIMEOUT`] after it started to drain and [`RESPONSE_FLUSH_TIMEOUT`] after its last call ended. A
//! call that crosses the GOAWAY is served, or refused with REFUSED_STREAM, which proves that it was not
//! executed.
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use event_listener::Event as Wake;
use futures_lite::FutureExt;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream};
use http::Request;
use slog::warn;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use super::{to_duration, Front, FLUSH_TIMEOUT};
use crate::net::grpc::call_memory::CallMemory;
use crate::net::grpc::caller::{Caller, ResponseState};
use crate::net::grpc::guard::FloodGuard;
use crate::net::grpc::io::{FloodAlarm, GuardedStream};
use crate::net::grpc::status::Status;
use crate::net::grpc::wire;
use crate::net::http_server::ClientConnection;
use crate::net::memory_budget::MemoryExhausted;
use crate::net::{io_budget, timeout_at};

/// Time limit for sending the rest of the last response to a slow client on a draining connection.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of streams of a connection that h2 remembers for 30 s after they were reset by this side.
const MAX_RESET_STREAMS: usize = 8;

/// Charge for a call that is started, in bytes of the budget for one poll. A call of a few bytes starts a task
/// and a query.
const CALL_CHARGE_BYTES: usize = 4 * io_budget::MIN_CHARGE_BYTES;

/// The server side of a connection whose input is inspected by the flood guard.
type GuardedConnection<'s> = Connection<Compat<GuardedStream<'s>>, Bytes>;

/// An incoming call: its headers and body, and the handle for its response.
type IncomingCall = (Request<RecvStream>, SendResponse<Bytes>);

/// A call that is to be started.
struct AdmittedCall {
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    memory: CallMemory,
}

/// The events that a connection waits for.
enum ConnectionEvent {
    /// A call arrived.
    Call(Box<IncomingCall>),
    /// All that the client has sent so far has been read, and calls wait to be started.
    InputDrained,
    /// The client closed the connection, or it failed.
    Closed,
    /// The flood guard detected a flood of frames.
    Flood,
    /// The connection must accept no more calls, because it is idle, it is evicted, or the process is
    /// shutting down.
    Drain,
    /// The client did not close the draining connection in time.
    FlushTimedOut,
    /// The number of open calls has changed.
    OpenCallsChanged,
}

/// Whether a connection accepts calls or has announced its end.
#[derive(Clone, Copy)]
enum ConnectionState {
    /// Calls are accepted.
    Open,
    /// The client has been sent a GOAWAY. Calls that it sent before it received the GOAWAY still arrive.
    Draining {
        /// When the GOAWAY was sent.
        since: Instant,
    },
}

impl ConnectionState {
    /// Returns whether a call that arrives at `now` is served. A client that ignores the GOAWAY cannot keep
    /// the connection open with more calls.
    fn accepts_calls(self, now: Instant) -> bool {
        match self {
            ConnectionState::Open => true,
            ConnectionState::Draining { since } => now < since + FLUSH_TIMEOUT,
        }
    }
}

/// The open calls on one connection.
#[derive(Default)]
struct OpenCalls {
    count: Cell<usize>,
    /// When the last call ended; `None` if there was none.
    last_ended_at: Cell<Option<Instant>>,
    changed: Wake,
}

impl OpenCalls {
    fn is_empty(&self) -> bool {
        self.count.get() == 0
    }
}

/// Counts one call as open until it is dropped.
struct OpenCallGuard(Rc<OpenCalls>);

impl OpenCallGuard {
    fn new(calls: &Rc<OpenCalls>) -> OpenCallGuard {
        calls.count.set(calls.count.get() + 1);
        calls.changed.notify(usize::MAX);
        OpenCallGuard(calls.clone())
    }
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.last_ended_at.set(Some(Instant::now()));
        self.0.changed.notify(usize::MAX);
    }
}

impl Front {
    /// Serves a client's connection until it ends, is idle for too long, sends a flood of frames, is evicted,
    /// or the process shuts down. Each call runs in a separate task.
    pub async fn serve(self: Rc<Self>, client: ClientConnection) {
        let alarm = Rc::new(FloodAlarm::default());
        let Some(mut connection) = self.handshake(&client, &alarm).await else { return };
        let calls = Rc::new(OpenCalls::default());
        let mut state = ConnectionState::Open;
        // Calls that are not started yet, since the close of the connection may be behind unread data.
        let mut arrived = Vec::new();
        loop {
            client.set_busy(!calls.is_empty() || !arrived.is_empty());
            let waits = !arrived.is_empty();
            match self.next_event(&client, &alarm, &calls, &mut connection, (state, waits)).await {
                ConnectionEvent::Call(call) => {
                    // Its headers take up memory already, so this does not wait for a turn.
                    arrived.extend(self.admit_call(*call, state));
                }
                ConnectionEvent::InputDrained => {
                    if !self.start_calls(&client, &mut arrived, &calls).await {
                        return;
                    }
                }
                ConnectionEvent::Flood => return self.end_flooding(&alarm, connection).await,
                ConnectionEvent::Drain => {
                    state = ConnectionState::Draining { since: Instant::now() };
                    connection.graceful_shutdown();
                }
                ConnectionEvent::OpenCallsChanged => {}
                ConnectionEvent::Closed | ConnectionEvent::FlushTimedOut => return,
            }
        }
    }

    /// Performs the HTTP/2 handshake within `handshake_timeout_s`, so that a connection whose client never
    /// sends a preface does not stay open. Returns `None` if the handshake fails or times out, or if the
    /// connection is evicted.
    async fn handshake<'s>(
        &self,
        client: &'s ClientConnection,
        alarm: &Rc<FloodAlarm>,
    ) -> Option<GuardedConnection<'s>> {
        let limits = &self.limits;
        let guarded =
            GuardedStream { stream: client.stream(), guard: FloodGuard::new(limits), alarm: alarm.clone() };
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(limits.max_streams)
            .max_header_list_size(limits.max_header_list)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.connection_window)
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_pending_accept_reset_streams(limits.max_streams as usize)
            .max_send_buffer_size(limits.window as usize);
        let latest = client.accepted_at() + to_duration(limits.handshake_timeout_s);
        let evicted = async {
            client.evicted().await;
            None
        };
        let handshake = async { Some(builder.handshake::<_, Bytes>(guarded.compat()).await) };
        timeout_at(latest, handshake.or(evicted)).await.flatten()?.ok()
    }

    /// Waits for the next event. If several are ready, a flood takes precedence, followed by a call or the
    /// end of the connection, a drain or its time limit, and a change in the number of open calls.
    async fn next_event(
        &self,
        client: &ClientConnection,
        alarm: &FloodAlarm,
        calls: &OpenCalls,
        connection: &mut GuardedConnection<'_>,
        (state, calls_wait): (ConnectionState, bool),
    ) -> ConnectionEvent {
        let changed = calls.changed.listen();
        let accept = poll_fn(|cx| match connection.poll_accept(cx) {
            Poll::Ready(Some(Ok(call))) => Poll::Ready(ConnectionEvent::Call(Box::new(call))),
            Poll::Ready(_) => Poll::Ready(ConnectionEvent::Closed),
            Poll::Pending if calls_wait && alarm.input_drained.get() => {
                Poll::Ready(ConnectionEvent::InputDrained)
            }
            Poll::Pending => Poll::Pending,
        });
        let flood = async {
            alarm.wait_for_flood().await;
            ConnectionEvent::Flood
        };
        let changed = async {
            changed.await;
            ConnectionEvent::OpenCallsChanged
        };
        let ending = async {
            match state {
                ConnectionState::Open => {
                    self.until_drain_required(client, calls).await;
                    ConnectionEvent::Drain
                }
                ConnectionState::Draining { since } => {
                    let flushed_at = since + FLUSH_TIMEOUT;
                    until_idle(calls, |last_ended_at| match last_ended_at {
                        Some(at) => flushed_at.max(at + RESPONSE_FLUSH_TIMEOUT),
                        None => flushed_at,
                    })
                    .await;
                    ConnectionEvent::FlushTimedOut
                }
            }
        };
        flood.or(accept).or(ending).or(changed).await
    }

    /// Completes when an open connection must start to drain, because it has been idle for `idle_timeout_s`,
    /// it is evicted, or the process is shutting down.
    async fn until_drain_required(&self, client: &ClientConnection, calls: &OpenCalls) {
        let idle_timeout = to_duration(self.limits.idle_timeout_s);
        let established_at = client.accepted_at();
        let idle = until_idle(calls, |last_ended_at| last_ended_at.unwrap_or(established_at) + idle_timeout);
        idle.or(client.evicted()).or(self.shutdown.drain_started()).await;
    }

    /// Reserves the memory of a call, or refuses it if there is none, or if the connection has been draining
    /// for too long.
    fn admit_call(&self, call: IncomingCall, state: ConnectionState) -> Option<AdmittedCall> {
        let (request, mut respond) = call;
        let now = Instant::now();
        if !state.accepts_calls(now) {
            respond.send_reset(Reason::REFUSED_STREAM);
            return None;
        }
        let memory = CallMemory::new(self.memory.lease(), request.headers());
        if memory.reserve_head(now).is_err() {
            self.refuse_call(request, respond);
            return None;
        }
        Some(AdmittedCall { request, respond, memory })
    }

    /// Starts calls in the turns of the connection. Returns `false` if the client disconnects meanwhile.
    async fn start_calls(
        self: &Rc<Self>,
        client: &ClientConnection,
        arrived: &mut Vec<AdmittedCall>,
        calls: &Rc<OpenCalls>,
    ) -> bool {
        for call in arrived.drain(..) {
            if client.is_disconnected() {
                return false;
            }
            self.clone().start_call(call, calls);
            io_budget::charge(CALL_CHARGE_BYTES);
            io_budget::charge_client_input(CALL_CHARGE_BYTES);
            client.stream().read_allowed().await;
        }
        true
    }

    /// Serves a call in a separate task.
    fn start_call(self: Rc<Self>, call: AdmittedCall, calls: &Rc<OpenCalls>) {
        let open_call = OpenCallGuard::new(calls);
        let executor = self.executor.clone();
        let serve_call = async move {
            self.call(call.request, call.respond, &call.memory).await;
            drop(open_call);
        };
        executor.spawn(serve_call).detach();
    }

    /// Refuses a call for lack of memory.
    fn refuse_call(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        let mut client = Caller { body: request.into_body(), state: ResponseState::NotStarted(respond) };
        let retry_after = self.routing.load().deployment.settings.retry_after;
        client.end(wire::trailers(&Status { retry_after, ..Status::from(MemoryExhausted) }));
    }

    /// Closes a connection after a flood, with GOAWAY and ENHANCE_YOUR_CALM.
    async fn end_flooding(&self, alarm: &FloodAlarm, mut connection: GuardedConnection<'_>) {
        if let Some(suppressed) = self.log_limiters.flood.permit() {
            let kind = alarm.flood.get().map_or("", |f| f.name());
            warn!(self.log, "flood on a client's connection"; "frames" => kind, "suppressed" => suppressed);
        }
        connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
        timeout_at(Instant::now() + FLUSH_TIMEOUT, poll_fn(|cx| connection.poll_closed(cx))).await;
    }
}

/// Completes at the time that `end` returns for the end of the last call, provided that no call is open.
/// Never completes while a call is open, so the caller must call this again when the number of open calls
/// changes.
async fn until_idle(calls: &OpenCalls, end: impl FnOnce(Option<Instant>) -> Instant) {
    if calls.is_empty() {
        Timer::at(end(calls.last_ended_at.get())).await;
    } else {
        std::future::pending::<()>().await;
    }
}
