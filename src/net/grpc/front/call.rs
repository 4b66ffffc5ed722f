//! Handles one call, from its headers to its final status.
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{HeaderMap, Method, Request};
use slog::{info, warn};

use super::{to_duration, Front, RoutingConfig};
use crate::balancer::interface::{Idempotency, ShardId, TenantId};
use crate::coordinator::{Query, QueryHandle, QueryOutcome};
use crate::grpc_routing::Route;
use crate::net::grpc::attempt::forwarded_headers;
use crate::net::grpc::call_memory::CallMemory;
use crate::net::grpc::caller::{malformed, Abort, Caller, ResponseState};
use crate::net::grpc::exchange::Exchange;
use crate::net::grpc::health;
use crate::net::grpc::replay::ReplayBuffer;
use crate::net::grpc::servers::Servers;
use crate::net::grpc::status::{self, Code, Status};
use crate::net::grpc::wire::{self, Framer};
use crate::net::memory_budget::MemoryExhausted;
use crate::net::{timeout_at, Excerpt};

/// The decision module ends a query this long before the client's deadline. A query that ends within this
/// time of the deadline is therefore reported as DEADLINE_EXCEEDED.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// A call that matches a route.
struct RoutedCall<'c> {
    routing: &'c RoutingConfig,
    route: &'c Arc<Route>,
    idempotency: Idempotency,
    head: &'c http::request::Parts,
    started: Instant,
    deadline: Instant,
}

/// The start of a request, which is read before the call is submitted to the coordinator.
struct RequestStart {
    /// The bytes read so far: the whole of a unary request, or the data up to the end of the first message of
    /// a client stream if the route takes the shard from that message.
    first: Bytes,
    framer: Framer,
    replay: ReplayBuffer,
}

impl Front {
    /// Serves a call up to its final status.
    pub(super) async fn call(
        &self,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        memory: &CallMemory,
    ) {
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let mut client = Caller { body, state: ResponseState::NotStarted(respond) };
        let routing = self.routing.load_full();
        let path = head.uri.path();
        let checked = self.check_head(&head);
        if path.starts_with(health::SERVICE) && checked.is_ok() {
            return self.serve_health(path, client, memory).await;
        }
        let routed = checked.and_then(|timeout| route_call(&routing, timeout, started, &head));
        let result = match routed {
            Ok(call) => Box::pin(self.serve_call(&call, &mut client, memory)).await,
            Err(status) => Err(status),
        };
        if let Err(status) = result {
            if let Some(suppressed) = self.log_limiters.invalid.permit() {
                warn!(self.log, "invalid call"; "path" => %Excerpt(path), "status" => status.code.name(),
                    "error" => %Excerpt(&status.message), "suppressed" => suppressed);
            }
            client.end(wire::trailers(&status));
        }
    }

    /// Checks the headers that every call must have, and returns the call's timeout if it has one.
    fn check_head(&self, head: &http::request::Parts) -> Result<Option<Duration>, Status> {
        let invalid = |problem: &str| Err(Status::new(Code::InvalidArgument, problem));
        if head.method != Method::POST {
            return invalid("the method must be POST");
        }
        if !wire::is_grpc(&head.headers) {
            return invalid("content-type is not application/grpc");
        }
        let mut timeouts = head.headers.get_all(wire::GRPC_TIMEOUT).iter();
        match (timeouts.next(), timeouts.next()) {
            (None, _) => Ok(None),
            (Some(value), None) => match wire::parse_timeout(value.as_bytes()) {
                Some(timeout) => Ok(Some(timeout)),
                None => invalid("grpc-timeout is invalid"),
            },
            _ => invalid("grpc-timeout occurs more than once"),
        }
    }

    /// Serves a call that matches a route.
    ///
    /// # Errors
    ///
    /// Returns the status for a call that is invalid, or beyond its route's limit on open calls. The caller
    /// must send that status to the client.
    async fn serve_call(
        &self,
        call: &RoutedCall<'_>,
        client: &mut Caller,
        memory: &CallMemory,
    ) -> Result<(), Status> {
        let start = self.read_start(call, client, memory).await?;
        memory.retain();
        let shards = self.shards(call.route, &call.head.headers, &start.first)?;
        let _open = self.admit(call.routing, call.route)?;
        let query = self.build_query(call, &shards, start.replay);
        let Some(handle) = self.coordinator.submit(query) else {
            self.reject(call, client);
            return Ok(());
        };
        self.relay(call, client, handle, start.framer, &shards).await
    }

    /// Reads the part of a request that is needed before the call is submitted. A request of one message is
    /// read completely, so that every attempt can send all of it. A client stream is read up to the end of
    /// its first message if the route takes the shard from that message, and otherwise not at all.
    async fn read_start(
        &self,
        call: &RoutedCall<'_>,
        client: &mut Caller,
        memory: &CallMemory,
    ) -> Result<RequestStart, Status> {
        let route = call.route;
        let mut replay = ReplayBuffer::new(self.limits.max_replay, self.replay_budget.clone());
        let mut framer = Framer::new(route.max_message_bytes, route.kind.client_streams());
        let unary = !route.kind.client_streams();
        let first = if unary || route.needs_first_message() {
            let read = client.read_request(&mut framer, unary, memory);
            let notice = memory.set_reclaimable(Instant::now());
            let reclaimed = async {
                notice.reclaimed().await;
                Err(Some(MemoryExhausted.into()))
            };
            let read = read.or(reclaimed);
            let late = Status::new(Code::DeadlineExceeded, "the request did not arrive before the deadline");
            let shut_down = async {
                self.shutdown.answer_deadline_passed().await;
                None
            };
            let read = timeout_at(call.deadline, read).or(shut_down).await;
            read.unwrap_or(Err(Some(late))).map_err(|s| s.unwrap_or_else(disconnected))?
        } else {
            BytesMut::new()
        };
        let first = first.freeze();
        if unary {
            framer.finish().map_err(malformed)?;
        }
        replay.push(first.clone());
        if unary {
            replay.end();
        }
        Ok(RequestStart { first, framer, replay })
    }

    /// Builds the query of a call: one part of equal weight for each shard.
    fn build_query(
        &self,
        call: &RoutedCall<'_>,
        shards: &[ShardId],
        replay: ReplayBuffer,
    ) -> Query<Exchange> {
        let route = call.route.clone();
        let merged = route.merge.is_some();
        let mut metadata = forwarded_headers(&call.head.headers);
        if merged {
            // Compressed messages cannot be concatenated, so servers must not compress them.
            metadata.remove("grpc-accept-encoding");
        }
        let weight = 1.0 / shards.len() as f64;
        let class = route.class;
        let exchange = Exchange {
            path: call.head.uri.path().to_owned(),
            metadata,
            route,
            idempotency: call.idempotency,
            merged,
            max_buffered: self.limits.window as usize,
            request: RefCell::new(replay),
            request_changed: Default::default(),
            response: Default::default(),
            response_changed: Default::default(),
            last_failure: Default::default(),
        };
        Query {
            class,
            tenant: TenantId::NONE,
            deadline: call.deadline,
            is_retry: call.head.headers.contains_key("grpc-previous-rpc-attempts"),
            parts: shards.iter().map(|shard| (*shard, weight)).collect(),
            context: exchange,
            protection: None,
        }
    }

    /// Rejects a call because the limit on open queries and parts is reached.
    fn reject(&self, call: &RoutedCall<'_>, client: &mut Caller) {
        if let Some(suppressed) = self.log_limiters.rejected.permit() {
            info!(self.log, "call rejected"; "why" => "too many open queries", "path" => %Excerpt(call.head.uri.path()),
                "open" => self.coordinator.open_queries(), "held" => self.coordinator.open_parts(),
                "suppressed" => suppressed);
        }
        let retry_after = call.routing.deployment.settings.retry_after;
        let status = Status::new(Code::ResourceExhausted, "too many open queries");
        client.end(wire::trailers(&Status { retry_after, ..status }));
    }

    /// Relays a call until the query has its final outcome, the client disconnects or sends an invalid
    /// request, the deadline passes, or a shutdown ends all calls.
    async fn relay(
        &self,
        call: &RoutedCall<'_>,
        client: &mut Caller,
        handle: QueryHandle<Servers>,
        framer: Framer,
        shards: &[ShardId],
    ) -> Result<(), Status> {
        let exchange = handle.context();
        let final_outcome = Cell::new(None);
        let outcome = async {
            final_outcome.set(Some(handle.outcome().await));
            exchange.end_query();
            std::future::pending().await
        };
        let relay = Box::pin(client.relay(&exchange, framer));
        let shut_down = async {
            self.shutdown.answer_deadline_passed().await;
            None
        };
        let relayed = timeout_at(call.deadline, relay.or(outcome)).or(shut_down).await;
        // Dropping the handle cancels the query if it is still open.
        drop(handle);
        match relayed {
            Some(Err(Abort::Malformed(e))) => return Err(malformed(e)),
            Some(Err(Abort::Gone)) => {
                self.log_disconnect(call);
                return Ok(());
            }
            _ => {}
        }
        let out_of_time = relayed.is_none() || Instant::now() + DEADLINE_MARGIN >= call.deadline;
        let outcome = final_outcome.take().unwrap_or(QueryOutcome::DeadlineExceeded);
        let server_trailers = exchange.response.borrow_mut().trailers.take().filter(|_| relayed.is_some());
        let trailers = match server_trailers {
            Some(trailers) => trailers,
            None => self.final_trailers(call, client, &exchange, &outcome, shards, out_of_time).await,
        };
        client.end(trailers);
        Ok(())
    }

    fn log_disconnect(&self, call: &RoutedCall<'_>) {
        if let Some(suppressed) = self.log_limiters.disconnected.permit() {
            info!(self.log, "client disconnected"; "path" => %Excerpt(call.head.uri.path()),
                "after_ms" => call.started.elapsed().as_millis() as u64, "suppressed" => suppressed);
        }
    }

    /// Returns the trailers of a call whose status does not come from a server. If the answers of several
    /// shards are to be merged, sends the merged message first.
    async fn final_trailers(
        &self,
        call: &RoutedCall<'_>,
        client: &mut Caller,
        exchange: &Exchange,
        outcome: &QueryOutcome,
        shards: &[ShardId],
        out_of_time: bool,
    ) -> HeaderMap {
        if let QueryOutcome::Answered { complete, values } = outcome {
            if exchange.merged {
                let merged = client.send_merged(shards, values, *complete, call.deadline).await;
                let late = || status::final_status(&QueryOutcome::DeadlineExceeded, None, true, true);
                return merged.unwrap_or_else(|| wire::trailers(&late()));
            }
        }
        let response_started = matches!(client.state, ResponseState::Streaming(_));
        let last_failure = exchange.last_failure.borrow();
        let status = status::final_status(outcome, last_failure.as_ref(), response_started, out_of_time);
        if let Some(suppressed) = self.log_limiters.unanswered.permit() {
            info!(self.log, "call not answered"; "path" => %Excerpt(call.head.uri.path()),
                "status" => status.code.name(), "outcome" => ?outcome,
                "after_ms" => call.started.elapsed().as_millis() as u64, "suppressed" => suppressed);
        }
        wire::trailers(&status)
    }
}

/// Finds the route of a call, and computes its deadline, which is the earlier of those that the client and
/// the class set.
fn route_call<'c>(
    routing: &'c RoutingConfig,
    timeout: Option<Duration>,
    started: Instant,
    head: &'c http::request::Parts,
) -> Result<RoutedCall<'c>, Status> {
    let path = head.uri.path();
    let unknown = || Status::new(Code::Unimplemented, format!("no route for {path}"));
    let route = routing.routes.find(path).ok_or_else(unknown)?;
    let class = routing.deployment.settings.classes.get(usize::from(route.class.0));
    let class = class.ok_or_else(|| Status::new(Code::Internal, "the route's class is not configured"))?;
    let longest = to_duration(class.deadline);
    let deadline = started + timeout.unwrap_or(longest).min(longest);
    Ok(RoutedCall { routing, route, idempotency: class.idempotency, head, started, deadline })
}

fn disconnected() -> Status {
    Status::new(Code::Cancelled, "the client disconnected")
}
