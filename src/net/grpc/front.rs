//! The gRPC front: clients' connections and, on each, their calls. A call is one task from its headers to its one
//! status, and only that task speaks to its client.
mod checks;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::{Bytes, BytesMut};
use event_listener::Event as Wake;
use futures_lite::FutureExt;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{HeaderMap, Method, Request};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use slog::{info, warn, Logger};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::attempt::passed_on;
use super::caller::{grpc_head, malformed, Caller, Left, Side};
use super::exchange::Exchange;
use super::guard::Guard;
use super::health;
use super::io::{Alarm, Guarded};
use super::replay::{Budget, Replay};
use super::servers::Servers;
use super::status::{self, Code, Status};
use super::wire::{self, Framer};
use crate::balancer::interface::TenantId;
use crate::config::operator::FrontLimits;
use crate::config::settings::Deployment;
use crate::coordinator::{Coordinator, Query, QueryOutcome};
use crate::grpc_routing::{self, Route, Routes};
use crate::net::http_server::{Client, GracefulShutdown};
use crate::net::{timeout_at, LogRateLimiter};

/// How long the end of a connection, or of a call, may take to leave.
const LEAVE: Duration = Duration::from_secs(1);
/// The module ends a query so long before its client's time: what ends then ends for that.
const ENDING: Duration = Duration::from_millis(20);

/// What SIGHUP replaces whole; a call keeps what it began with.
pub struct Table {
    pub routes: Routes,
    /// The settings with the classes of these routes.
    pub deployment: Deployment,
}

pub struct Front {
    pub coordinator: Rc<Coordinator<Servers>>,
    pub servers: Rc<Servers>,
    pub table: ArcSwap<Table>,
    pub limits: FrontLimits,
    pub budget: Budget,
    pub closing: Rc<GracefulShutdown>,
    /// Calls that are open, by the pattern of their route.
    pub open: RefCell<BTreeMap<String, usize>>,
    pub rng: RefCell<Pcg64Mcg>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub log: Logger,
    pub log_limiters: LogLimiters,
}

/// How many lines of each sort were logged lately.
#[derive(Default)]
pub struct LogLimiters {
    bad: LogRateLimiter,
    flood: LogRateLimiter,
    refused: LogRateLimiter,
    unanswered: LogRateLimiter,
    gone: LogRateLimiter,
}

/// Calls of one connection.
#[derive(Default)]
struct Calls {
    open: Cell<usize>,
    moved: Wake,
}

/// One of them, until it is dropped.
struct Counted(Rc<Calls>);

impl Counted {
    fn new(calls: &Rc<Calls>) -> Counted {
        calls.open.set(calls.open.get() + 1);
        calls.moved.notify(usize::MAX);
        Counted(calls.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.moved.notify(usize::MAX);
    }
}

/// A call of a route that says how many may be open.
struct OfRoute<'f>(&'f Front, &'f str);

impl Drop for OfRoute<'_> {
    fn drop(&mut self) {
        if let Some(n) = self.0.open.borrow_mut().get_mut(self.1) {
            *n -= 1;
        }
    }
}

impl Front {
    /// The life of a client's connection: its calls are served side by side until it ends, is idle for long, floods
    /// us, has to make way, or the program stops.
    pub async fn serve(self: Rc<Self>, client: Client) {
        let alarm = Rc::new(Alarm::default());
        let limits = &self.limits;
        let guarded = Guarded { stream: client.stream(), guard: Guard::new(limits), alarm: alarm.clone() };
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(limits.header_list)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.connection_window)
            .max_concurrent_reset_streams(limits.streams as usize)
            .max_pending_accept_reset_streams(limits.streams as usize)
            .max_send_buffer_size(limits.window as usize);
        let latest = client.accepted() + span(limits.handshake_s);
        let unwanted = async {
            client.unwanted().await;
            None
        };
        let shaken = async { Some(builder.handshake::<_, Bytes>(guarded.compat()).await) };
        // Guards against connections that never say what they are.
        let Some(Some(Ok(mut connection))) = timeout_at(latest, shaken.or(unwanted)).await else { return };
        let calls = Rc::new(Calls::default());
        let mut ending = false;
        loop {
            client.busy(calls.open.get() > 0);
            enum Next {
                Call(Box<(Request<RecvStream>, SendResponse<Bytes>)>),
                Ended,
                Flood,
                Idle,
                Moved,
            }
            let moved = calls.moved.listen();
            let accept = async {
                match poll_fn(|cx| connection.poll_accept(cx)).await {
                    Some(Ok(call)) => Next::Call(Box::new(call)),
                    _ => Next::Ended,
                }
            };
            let flood = async {
                alarm.raised().await;
                Next::Flood
            };
            let moved = async {
                moved.await;
                Next::Moved
            };
            let (resting, idle) = (calls.open.get() == 0 && !ending, Instant::now() + span(limits.idle_s));
            let idle = async {
                let idle = async {
                    match resting {
                        true => drop(Timer::at(idle).await),
                        false => std::future::pending().await,
                    }
                };
                let stopping = async {
                    match ending {
                        false => self.closing.told().await,
                        true => std::future::pending().await,
                    }
                };
                idle.or(client.unwanted()).or(stopping).await;
                Next::Idle
            };
            match flood.or(accept).or(idle).or(moved).await {
                Next::Call(call) => {
                    let (request, respond) = *call;
                    let (front, counted) = (self.clone(), Counted::new(&calls));
                    let life = async move {
                        front.call(request, respond).await;
                        drop(counted);
                    };
                    self.executor.spawn(life).detach();
                }
                Next::Flood => {
                    if let Some(suppressed) = self.log_limiters.flood.permit() {
                        let kind = alarm.flood.get().map_or("", |f| f.name());
                        warn!(self.log, "flood on a client's connection"; "frames" => kind, "suppressed" => suppressed);
                    }
                    connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
                    timeout_at(Instant::now() + LEAVE, poll_fn(|cx| connection.poll_closed(cx))).await;
                    return;
                }
                Next::Idle => {
                    ending = true;
                    connection.graceful_shutdown();
                    // A client that rests has nothing to be waited for but the end itself.
                    if calls.open.get() == 0 {
                        let closed = async {
                            while poll_fn(|cx| connection.poll_accept(cx)).await.is_some_and(|c| c.is_ok()) {}
                        };
                        timeout_at(Instant::now() + LEAVE, closed).await;
                        return;
                    }
                }
                Next::Moved => {}
                Next::Ended => return,
            }
        }
    }

    /// The life of one call, from its headers to its one status.
    async fn call(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        let begun = Instant::now();
        let (head, body) = request.into_parts();
        let mut client = Caller { body, side: Side::Head(respond) };
        let table = self.table.load_full();
        if head.uri.path().starts_with(health::SERVICE) && self.sound(&head).is_ok() {
            return self.health(head.uri.path(), client).await;
        }
        let result = match self.sound(&head).and_then(|timeout| {
            let path = head.uri.path();
            let unknown = || Status::new(Code::Unimplemented, format!("no route for {path}"));
            Ok((timeout, table.routes.find(path).ok_or_else(unknown)?))
        }) {
            Err(status) => Err(status),
            Ok((timeout, route)) => {
                Box::pin(self.routed(&table, route, timeout, begun, &head, &mut client)).await
            }
        };
        if let Err(status) = result {
            if let Some(suppressed) = self.log_limiters.bad.permit() {
                warn!(self.log, "unusable call"; "path" => head.uri.path(), "status" => status.code.name(),
                    "error" => &status.message, "suppressed" => suppressed);
            }
            client.end(wire::trailers(&status));
        }
    }

    /// What every call must be; its time-out, if it has one.
    fn sound(&self, head: &http::request::Parts) -> Result<Option<Duration>, Status> {
        let bad = |what: &str| Err(Status::new(Code::InvalidArgument, what));
        if head.method != Method::POST {
            return bad("a call is a POST");
        }
        if !wire::is_grpc(&head.headers) {
            return bad("content-type is not application/grpc");
        }
        let mut timeouts = head.headers.get_all(wire::GRPC_TIMEOUT).iter();
        match (timeouts.next(), timeouts.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => match wire::timeout(value.as_bytes()) {
                Some(timeout) => Ok(Some(timeout)),
                None => bad("grpc-timeout cannot be used"),
            },
            _ => bad("grpc-timeout is there twice"),
        }
    }

    /// A call that has a route. `Err`: it goes no further, and nothing of it has.
    async fn routed(
        &self,
        table: &Table,
        route: &Arc<Route>,
        timeout: Option<Duration>,
        begun: Instant,
        head: &http::request::Parts,
        client: &mut Caller,
    ) -> Result<(), Status> {
        let class = table.deployment.settings.classes.get(usize::from(route.class.0));
        let class = class.ok_or_else(|| Status::new(Code::Internal, "the route's class is not known"))?;
        let longest = span(class.deadline);
        let deadline = begun + timeout.unwrap_or(longest).min(longest);
        let mut replay = Replay::new(self.limits.replay, self.budget.clone());
        let mut framer = Framer::new(route.message, route.kind.streams_up());
        // A request of one message is taken whole: any attempt can have all of it. Of a stream, no more than what
        // the route must look into.
        let whole = !route.kind.streams_up();
        let first = match whole || route.looks_inside() {
            false => BytesMut::new(),
            true => {
                let taken = client.take(&mut framer, whole);
                let late = Status::new(Code::DeadlineExceeded, "the request did not come in in time");
                timeout_at(deadline, taken)
                    .await
                    .unwrap_or(Err(Some(late)))
                    .map_err(|s| s.unwrap_or_else(gone))?
            }
        };
        let first = first.freeze();
        if whole {
            framer.end().map_err(malformed)?;
            replay.push(first.clone());
            replay.end();
        } else {
            replay.push(first.clone());
        }
        let shards = self.shards(route, &head.headers, &first)?;
        let _open = self.room(table, route)?;
        let merged = route.merge.is_some();
        let mut metadata = passed_on(&head.headers);
        if merged {
            // Messages that are to be put together must come as they are.
            metadata.remove("grpc-accept-encoding");
        }
        let weight = 1.0 / shards.len() as f64;
        let (request, reply, last) = (RefCell::new(replay), Default::default(), Default::default());
        let (request_moved, reply_moved) = Default::default();
        let (path, route, effect) = (head.uri.path().to_owned(), route.clone(), class.idempotency);
        let bound = self.limits.window as usize;
        let carried = Exchange {
            path,
            metadata,
            route,
            effect,
            merged,
            bound,
            request,
            request_moved,
            reply,
            reply_moved,
            last,
        };
        let (tenant, repeat) = (TenantId::NONE, head.headers.contains_key("grpc-previous-rpc-attempts"));
        let (class, parts) = (carried.route.class, shards.iter().map(|s| (*s, weight)).collect());
        let query =
            Query { class, tenant, deadline, is_retry: repeat, parts, context: carried, protection: None };
        let Some(taken) = self.coordinator.submit(query) else {
            if let Some(suppressed) = self.log_limiters.refused.permit() {
                info!(self.log, "refused"; "why" => "as much is open as may be", "path" => head.uri.path(),
                    "open" => self.coordinator.open_queries(), "held" => self.coordinator.open_parts(), "suppressed" => suppressed);
            }
            let retry_after = table.deployment.settings.retry_after;
            let status = Status::new(Code::ResourceExhausted, "as much is open as may be");
            client.end(wire::trailers(&Status { retry_after, ..status }));
            return Ok(());
        };
        let exchange = taken.context();
        let final_outcome = Cell::new(None);
        let outcome = async {
            final_outcome.set(Some(taken.outcome().await));
            exchange.over();
            std::future::pending().await
        };
        let relay = Box::pin(client.relay(&exchange, framer));
        let ended = timeout_at(deadline, relay.or(outcome)).await;
        if let Some(Err(Left::Malformed(e))) = ended {
            // Dropping what was taken withdraws it.
            drop(taken);
            return Err(malformed(e));
        }
        if let Some(Err(Left::Gone)) = ended {
            // Dropping what was taken withdraws it.
            if let Some(suppressed) = self.log_limiters.gone.permit() {
                info!(self.log, "client gone"; "path" => head.uri.path(),
                    "after_ms" => begun.elapsed().as_millis() as u64, "suppressed" => suppressed);
            }
            return Ok(());
        }
        drop(taken);
        let out_of_time = ended.is_none() || Instant::now() + ENDING >= deadline;
        let outcome = final_outcome.take().unwrap_or(QueryOutcome::DeadlineExceeded);
        let own = exchange.reply.borrow_mut().end.take().filter(|_| ended.is_some());
        let trailers = match (own, &outcome) {
            (Some(trailers), _) => trailers,
            (None, QueryOutcome::Answered { complete, values }) if exchange.merged => {
                match client.merged(&shards, values, *complete, deadline).await {
                    Some(trailers) => trailers,
                    None => wire::trailers(&status::ended(&QueryOutcome::DeadlineExceeded, None, true, true)),
                }
            }
            (None, outcome) => {
                let begun_to_answer = matches!(client.side, Side::Body(_));
                let last = exchange.last.borrow();
                let status = status::ended(outcome, last.as_ref(), begun_to_answer, out_of_time);
                if let Some(suppressed) = self.log_limiters.unanswered.permit() {
                    info!(self.log, "not answered"; "path" => head.uri.path(), "status" => status.code.name(),
                        "outcome" => ?outcome, "after_ms" => begun.elapsed().as_millis() as u64, "suppressed" => suppressed);
                }
                wire::trailers(&status)
            }
        };
        client.end(trailers);
        Ok(())
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(86_400))
}

fn gone() -> Status {
    Status::new(Code::Cancelled, "the client has gone")
}
