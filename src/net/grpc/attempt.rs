//! One attempt of a call at one server, from the stream that is reserved for it to its outcome.
//!
//! An attempt sends nothing to the client until it has received the complete first message of the response
//! or, if the response has no messages, the status. It then commits the call, unless another attempt has
//! already done so. Until the commit, the decision module may retry or hedge the call. After the commit, the
//! client receives exactly what this server sends, up to and including the status.
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use h2::{RecvStream, SendStream};
use http::{header, HeaderMap, HeaderValue, Method, Request, Response, Version};

use super::exchange::Exchange;
use super::replay::NextChunk;
use super::servers::{ReservedStream, Servers};
use super::status::{self, Code, Status};
use super::wire::{self, Framer};
use crate::balancer::interface::Outcome;
use crate::connection_pool::CloseReason;
use crate::coordinator::{AttemptResult, Call, CancellationToken, ScoredValue};
use crate::net::invariants;
use crate::send_policy::SendConditions;

/// The failure of an attempt: the status for the client if no other attempt succeeds, and the outcome for the
/// coordinator.
struct AttemptError {
    status: Status,
    outcome: Outcome,
}

impl AttemptError {
    fn new(code: Code, message: impl Into<String>, outcome: Outcome) -> AttemptError {
        AttemptError { status: Status::new(code, message), outcome }
    }

    /// Creates the error for a response that violates the gRPC protocol.
    fn malformed(problem: impl std::fmt::Display) -> AttemptError {
        AttemptError::new(Code::Internal, format!("malformed response: {problem}"), Outcome::Error)
    }
}

impl Servers {
    /// Runs one attempt at the server that the coordinator selected, and returns its outcome.
    pub(super) async fn attempt(
        self: &Rc<Self>,
        call: &Call<Self>,
        stop: &CancellationToken,
    ) -> AttemptResult {
        let exchange = call.context.clone();
        let result = match self.reserve_stream(call.replica).await {
            Err(outcome) => Err(AttemptError::new(Code::Unavailable, "no connection to the server", outcome)),
            Ok(stream) => self.run_on(stream, call, stop, &exchange).await,
        };
        match result {
            Ok(attempt_result) => attempt_result,
            Err(AttemptError { status, outcome }) => {
                // The client gets this status only if the call is committed, because it is not retried then.
                // Before the commit another attempt may still succeed, so the status is only recorded.
                if call.is_committed() {
                    exchange.wait_until_taken().await;
                    exchange.set_trailers(wire::trailers(&status));
                } else {
                    let message = format!("{} at {}", status.message, self.name(call.replica));
                    exchange.last_failure.replace(Some(Status { message, ..status }));
                }
                outcome.into()
            }
        }
    }

    /// Sends the call on the reserved stream, and receives the response.
    async fn run_on(
        &self,
        mut stream: ReservedStream,
        call: &Call<Self>,
        stop: &CancellationToken,
        exchange: &Rc<Exchange>,
    ) -> Result<AttemptResult, AttemptError> {
        // The conditions are checked again immediately before the write. While the call waited for a
        // connection, its server may have started to drain, been removed or been restarted, or the call may
        // have been cancelled.
        let now = Instant::now();
        let ready = self.ready(call.replica);
        let conditions = SendConditions {
            now,
            deadline: call.deadline,
            transit_time: Duration::ZERO,
            cancelled: stop.is_cancelled(),
            replica_ready: ready.is_some(),
            endpoint_list_valid: true,
            retry_window_closed: stop.is_past_retry_window(now),
        };
        let (Some((address, _)), Ok(permit)) =
            (ready, conditions.permit().inspect_err(|denied| invariants::record_denial(*denied)))
        else {
            return Err(AttemptError::new(Code::Unavailable, "the attempt was not sent", Outcome::NeverSent));
        };
        let Some(mut send) = stream.send.take() else {
            return Err(AttemptError::new(
                Code::Unavailable,
                "no connection to the server",
                Outcome::ConnectFailed,
            ));
        };
        let request = request_head(exchange, address, permit.time_left());
        let request =
            request.map_err(|e| AttemptError::new(Code::Internal, e.to_string(), Outcome::NeverSent))?;
        let (response, body) =
            send.send_request(request, false).map_err(|e| self.classify_error(&stream, &e, false))?;
        drop(send);
        let response_received = Cell::new(false);
        let send_request = async {
            // An error while sending is ignored, because a server may end a call before it has read the whole
            // request, and its response then contains the reason.
            drop(self.send_all(call, exchange, body).await);
            std::future::pending().await
        };
        let receive_response = async {
            let response = response.await.map_err(|e| self.classify_error(&stream, &e, false))?;
            response_received.set(true);
            self.pool.borrow_mut().record_activity(Instant::now(), stream.id);
            self.receive(&stream, call, exchange, response).await
        };
        receive_response.or(send_request).await
    }

    /// Sends the buffered request, followed by the data that the client sends later, until the client
    /// half-closes.
    async fn send_all(
        &self,
        call: &Call<Self>,
        exchange: &Exchange,
        mut body: SendStream<Bytes>,
    ) -> Result<(), h2::Error> {
        for at in 0.. {
            let next = loop {
                let listener = exchange.request_changed.listen();
                let next = exchange.request.borrow().next(at);
                match next {
                    NextChunk::Chunk(_) | NextChunk::End => break next,
                    // The buffer is full, and this attempt has sent all of it. Discarding the sent data would
                    // prevent another attempt from replaying it, so the call is committed to this attempt
                    // first.
                    NextChunk::CommitRequired if call.commit() => {
                        exchange.request.borrow_mut().discard_sent(at);
                        exchange.request_changed.notify(usize::MAX);
                    }
                    NextChunk::CommitRequired | NextChunk::Wait => listener.await,
                }
            };
            let NextChunk::Chunk(mut chunk) = next else {
                return body.send_data(Bytes::new(), true);
            };
            let last = exchange.request.borrow().next(at + 1) == NextChunk::End;
            while !chunk.is_empty() {
                body.reserve_capacity(chunk.len());
                let capacity = wait_for_capacity(&mut body).await?;
                let part = chunk.split_to(capacity.min(chunk.len()));
                body.send_data(part, last && chunk.is_empty())?;
            }
            if call.is_committed() {
                exchange.request.borrow_mut().discard_sent(at + 1);
                exchange.request_changed.notify(usize::MAX);
            }
            if last {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads the response up to its status, and forwards it once the call is committed.
    async fn receive(
        &self,
        stream: &ReservedStream,
        call: &Call<Self>,
        exchange: &Rc<Exchange>,
        response: Response<RecvStream>,
    ) -> Result<AttemptResult, AttemptError> {
        let (head, mut body) = response.into_parts();
        let route = &exchange.route;
        if head.status != 200 {
            let (code, outcome) = status::from_http(head.status.as_u16(), exchange.idempotency);
            return Err(AttemptError::new(code, format!("HTTP status {}", head.status.as_u16()), outcome));
        }
        if !wire::is_grpc(&head.headers) {
            return Err(AttemptError::new(Code::Unknown, "the response is not gRPC", Outcome::Error));
        }
        if body.is_end_stream() {
            return self.finish(call, exchange, Some(head.headers), None, false).await;
        }
        let multiple = route.kind.server_streams();
        let mut framer = Framer::new(route.max_message_bytes, multiple);
        let mut first = Some(BytesMut::new());
        while let Some(data) = body.data().await {
            let data = data.map_err(|e| self.classify_error(stream, &e, true))?;
            self.pool.borrow_mut().record_activity(Instant::now(), stream.id);
            let length = data.len();
            framer.advance(&data).map_err(AttemptError::malformed)?;
            match &mut first {
                // The response is buffered until its first message is complete, or until its end if it will
                // be merged with those of other shards.
                Some(buffered) => {
                    buffered.extend_from_slice(&data);
                    if framer.complete_messages() > 0 && !exchange.merged {
                        if !call.commit() {
                            return Ok(Outcome::Cancelled.into());
                        }
                        exchange.set_headers(forwarded_headers(&head.headers));
                        exchange.push(buffered.split().freeze()).await;
                        first = None;
                    }
                }
                None => exchange.push(data).await,
            }
            // The flow-control window is released only after the data was forwarded, so that a slow client
            // applies back-pressure to the server.
            drop(body.flow_control().release_capacity(length));
        }
        let trailers = body.trailers().await.map_err(|e| self.classify_error(stream, &e, true))?;
        let ok = trailers.as_ref().and_then(wire::parse_status).is_some_and(|s| s.code == Code::Ok);
        if ok {
            framer.finish().map_err(AttemptError::malformed)?;
        }
        let merged = first.filter(|_| exchange.merged).map(BytesMut::freeze);
        self.finish(call, exchange, trailers, merged, true).await
    }

    /// Ends the attempt with the status in `trailers`. `streamed` is whether headers were received
    /// before the trailers; otherwise `trailers` are the headers of a trailers-only response. `merged` is the
    /// body of a response that will be merged with those of other shards.
    async fn finish(
        &self,
        call: &Call<Self>,
        exchange: &Rc<Exchange>,
        trailers: Option<HeaderMap>,
        merged: Option<Bytes>,
        streamed: bool,
    ) -> Result<AttemptResult, AttemptError> {
        let missing =
            || AttemptError::new(Code::Unknown, "the response has no valid grpc-status", Outcome::Error);
        let trailers = trailers.ok_or_else(missing)?;
        let status = wire::parse_status(&trailers).ok_or_else(missing)?;
        let outcome = status.code.outcome(exchange.idempotency);
        if exchange.merged {
            let body = merged.as_deref().and_then(wire::split_message);
            return match (status.code, body) {
                (Code::Ok, Some((false, body))) => Ok(succeeded(body)),
                (Code::Ok, _) => Err(AttemptError::malformed("the message cannot be merged")),
                // A definite status from one shard is not the status of the whole call.
                (_, _) if outcome == Outcome::Succeeded => {
                    Err(AttemptError { status, outcome: Outcome::Error })
                }
                _ => Err(AttemptError { status, outcome }),
            };
        }
        if status.code == Code::Ok && !streamed && !exchange.route.kind.server_streams() {
            return Err(AttemptError::malformed(wire::FramingError::MissingMessage));
        }
        if call.is_committed() && exchange.response.borrow().headers.is_some() {
            // Part of the response has been forwarded, so the client gets the server's trailers with any
            // status. The same status determines the outcome of the attempt.
            exchange.wait_until_taken().await;
            exchange.set_trailers(forwarded_headers(&trailers));
            return Ok(if outcome == Outcome::Succeeded { succeeded(&[]) } else { outcome.into() });
        }
        match outcome {
            Outcome::Succeeded if call.commit() => {
                exchange.set_trailers(forwarded_headers(&trailers));
                Ok(succeeded(&[]))
            }
            Outcome::Succeeded => Ok(Outcome::Cancelled.into()),
            outcome => Err(AttemptError { status, outcome }),
        }
    }

    /// Classifies an error of the stream or of its connection. A request that the server provably did not
    /// process gets an outcome that says so. These are requests on streams that the server refused, or whose
    /// identifier is above the last one in its GOAWAY (RFC 9113 6.8, 8.7). `response_started` is whether any
    /// of the response has arrived.
    fn classify_error(&self, stream: &ReservedStream, e: &h2::Error, response_started: bool) -> AttemptError {
        let with_cause = |summary: &str| format!("{summary}: {e}");
        match e.reason() {
            _ if stream.handle.closed.get().is_some_and(|reason| reason != CloseReason::ServerReplaced) => {
                AttemptError::new(Code::Unavailable, "the connection was closed", Outcome::ConnectionLost)
            }
            Some(_) if e.is_go_away() && e.is_remote() && !response_started => {
                self.pool.borrow_mut().drain(Instant::now(), stream.id);
                AttemptError::new(
                    Code::Unavailable,
                    with_cause("the server is going away"),
                    Outcome::NeverSent,
                )
            }
            Some(reason) if e.is_reset() && e.is_remote() => {
                let (code, outcome) = status::from_reset(reason);
                // If a response has arrived on the stream, the server has processed the request, regardless
                // of the error code of the reset.
                let outcome = if response_started { Outcome::Error } else { outcome };
                AttemptError::new(code, with_cause("the server reset the call"), outcome)
            }
            Some(_) if !e.is_io() && !e.is_remote() => AttemptError::malformed(e),
            _ => AttemptError::new(Code::Unavailable, with_cause("the connection failed"), Outcome::Reset),
        }
    }
}

fn succeeded(value: &[u8]) -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Succeeded,
        value: Some(ScoredValue { value: Rc::from(value), score: 0.0 }),
        report: None,
    }
}

/// Waits until the stream's flow-control window is not zero, and returns the bytes that may be sent.
pub(super) async fn wait_for_capacity(body: &mut SendStream<Bytes>) -> Result<usize, h2::Error> {
    loop {
        if body.capacity() > 0 {
            return Ok(body.capacity());
        }
        match poll_fn(|cx| body.poll_capacity(cx)).await {
            Some(capacity) => drop(capacity?),
            None => return Err(h2::Reason::CANCEL.into()),
        }
    }
}

/// Returns the headers to forward: all but those that apply to a single hop.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers.iter().filter(|(name, _)| !wire::is_hop_by_hop(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Builds the headers of a request. They contain the client's metadata, and `remaining`, the time until the
/// deadline, as `grpc-timeout`.
fn request_head(
    exchange: &Exchange,
    address: std::net::SocketAddr,
    remaining: std::time::Duration,
) -> Result<Request<()>, http::Error> {
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(exchange.path.as_str())
        .build()?;
    let mut request = Request::builder().method(Method::POST).uri(uri).version(Version::HTTP_2).body(())?;
    *request.headers_mut() = exchange.metadata.clone();
    request.headers_mut().insert(header::TE, HeaderValue::from_static("trailers"));
    request.headers_mut().insert(wire::GRPC_TIMEOUT, HeaderValue::try_from(wire::format_timeout(remaining))?);
    Ok(request)
}
