//! The client's side of a call: reading the request from h2 and writing the response to it. Only the call's
//! task uses it, because h2 keeps a single waker for a stream's window and its reset.
use std::future::poll_fn;
use std::task::Poll;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{header, HeaderMap, HeaderValue, Response};

use super::call_memory::CallMemory;
use super::exchange::Exchange;
use super::status::{Code, Status};
use super::wire::{self, Framer, FramingError};
use crate::net::timeout_at;

/// Returns the status that the client gets for a request that is framed incorrectly.
pub(super) fn malformed(e: FramingError) -> Status {
    let code = if matches!(e, FramingError::MessageTooLong(_)) {
        Code::ResourceExhausted
    } else {
        Code::InvalidArgument
    };
    Status::new(code, e.to_string())
}

/// Returns the response headers of an answer that this front generates.
pub(super) fn grpc_headers() -> HeaderMap {
    HeaderMap::from_iter([(header::CONTENT_TYPE, HeaderValue::from_static("application/grpc"))])
}

/// Why a call cannot be continued on the client's side.
#[derive(Debug)]
pub(super) enum Abort {
    /// The client reset the call, or its connection ended.
    Gone,
    /// The client's request stream is framed incorrectly.
    Malformed(FramingError),
}

/// Progress of the response to the client.
pub(super) enum ResponseState {
    /// Nothing has been sent.
    NotStarted(SendResponse<Bytes>),
    /// The headers have been sent.
    Streaming(SendStream<Bytes>),
    /// The status has been sent.
    Ended,
}

/// The client's side of a call.
pub(super) struct Caller {
    pub(super) body: RecvStream,
    pub(super) state: ResponseState,
}

impl Caller {
    /// Reads the request up to the end of its first message, or all of it if `read_all` is set. `memory` counts
    /// what has been read.
    ///
    /// # Errors
    ///
    /// Returns the status to send if the request is invalid, or `None` if the client disconnected.
    pub(super) async fn read_request(
        &mut self,
        framer: &mut Framer,
        read_all: bool,
        memory: &CallMemory,
    ) -> Result<BytesMut, Option<Status>> {
        let mut buffer = BytesMut::new();
        while read_all || framer.complete_messages() == 0 {
            match self.body.data().await {
                Some(Ok(data)) => {
                    drop(self.body.flow_control().release_capacity(data.len()));
                    framer.advance(&data).map_err(|e| Some(malformed(e)))?;
                    memory.grow(data.len(), Instant::now()).map_err(|e| Some(e.into()))?;
                    buffer.extend_from_slice(&data);
                }
                Some(Err(_)) => return Err(None),
                None if read_all => return Ok(buffer),
                None => return Err(Some(malformed(FramingError::MissingMessage))),
            }
        }
        Ok(buffer)
    }

    /// Forwards the response to the client, and the rest of the request to the attempts. Returns when the
    /// query has ended and its whole response has been sent.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub(super) async fn relay(&mut self, exchange: &Exchange, framer: Framer) -> Result<(), Abort> {
        let Caller { body, state } = self;
        let forward_response = async {
            loop {
                let changed = exchange.response_changed.listen();
                let (headers, query_ended) = {
                    let response = exchange.response.borrow();
                    let may_start =
                        matches!(state, ResponseState::NotStarted(_)) && response.headers.is_some();
                    (may_start.then(|| response.headers.clone()).flatten(), response.query_ended)
                };
                if let Some(headers) = headers {
                    send_headers(state, headers)?;
                }
                match exchange.take_chunk() {
                    Some(chunk) => write(state, chunk).await?,
                    None if query_ended => return Ok(()),
                    None => {
                        let changed = async {
                            changed.await;
                            Ok(())
                        };
                        let client_disconnected = async {
                            disconnected(state).await;
                            Err(Abort::Gone)
                        };
                        changed.or(client_disconnected).await?;
                    }
                }
            }
        };
        let forward_request = async {
            if exchange.route.kind.client_streams() {
                receive_request(body, exchange, framer).await?;
            }
            std::future::pending().await
        };
        return forward_response.or(forward_request).await;

        async fn receive_request(
            body: &mut RecvStream,
            exchange: &Exchange,
            mut framer: Framer,
        ) -> Result<(), Abort> {
            loop {
                loop {
                    let changed = exchange.request_changed.listen();
                    if exchange.request.borrow().has_room() {
                        break;
                    }
                    changed.await;
                }
                match body.data().await {
                    Some(Ok(data)) => {
                        let length = data.len();
                        // An invalid message is not forwarded, and the client gets a status for it.
                        framer.advance(&data).map_err(Abort::Malformed)?;
                        exchange.request.borrow_mut().push(data);
                        drop(body.flow_control().release_capacity(length));
                    }
                    Some(Err(_)) => return Err(Abort::Gone),
                    None => {
                        exchange.request.borrow_mut().end();
                        exchange.request_changed.notify(usize::MAX);
                        return Ok(());
                    }
                }
                exchange.request_changed.notify(usize::MAX);
            }
        }

        async fn disconnected(state: &mut ResponseState) {
            poll_fn(|cx| poll_disconnected(state, cx)).await;
        }
    }

    /// Sends the response headers, unless they have been sent.
    pub(super) fn send_headers(&mut self, headers: HeaderMap) -> Result<(), Abort> {
        send_headers(&mut self.state, headers)
    }

    /// Sends response data as the client's flow-control window allows.
    pub(super) async fn write(&mut self, chunk: Bytes) -> Result<(), Abort> {
        write(&mut self.state, chunk).await
    }

    /// Resolves when the client resets the call or disconnects.
    pub(super) async fn disconnected(&mut self) {
        poll_fn(|cx| poll_disconnected(&mut self.state, cx)).await;
    }

    /// Merges the answers of several shards into one message and sends it. Returns the trailers, which list
    /// the shards that answered. Returns `None` if the merged message is too long for a length prefix, or
    /// could not be sent before the deadline.
    pub(super) async fn send_merged(
        &mut self,
        shards: &[crate::balancer::interface::ShardId],
        values: &[(crate::balancer::interface::ShardId, crate::coordinator::PartValue)],
        complete: bool,
        deadline: Instant,
    ) -> Option<HeaderMap> {
        let mut order: Vec<_> = values.iter().collect();
        order.sort_by_key(|(shard, _)| *shard);
        let message = wire::concat_messages(order.iter().map(|(_, value)| &value[..]))?;
        self.send_headers(grpc_headers()).ok()?;
        timeout_at(deadline, self.write(message)).await?.ok()?;
        let mut trailers = wire::trailers(&Status::new(Code::Ok, ""));
        let shard_list: Vec<String> = order.iter().map(|(shard, _)| shard.0.to_string()).collect();
        trailers.insert("marlgap-whole", HeaderValue::from_static(if complete { "1" } else { "0" }));
        trailers.insert("marlgap-shards", HeaderValue::try_from(shard_list.join(",")).ok()?);
        trailers.insert("marlgap-shards-asked", HeaderValue::from(shards.len()));
        Some(trailers)
    }

    /// Ends the call with the status in `trailers`, which are sent as a trailers-only response if the headers
    /// have not been sent yet.
    pub(super) fn end(&mut self, trailers: HeaderMap) {
        match std::mem::replace(&mut self.state, ResponseState::Ended) {
            ResponseState::NotStarted(mut respond) => {
                let mut response = Response::new(());
                *response.headers_mut() = trailers;
                let grpc = HeaderValue::from_static("application/grpc");
                response.headers_mut().entry(header::CONTENT_TYPE).or_insert(grpc);
                drop(respond.send_response(response, true));
            }
            ResponseState::Streaming(mut stream) => drop(stream.send_trailers(trailers)),
            ResponseState::Ended => {}
        }
    }
}

fn send_headers(state: &mut ResponseState, headers: HeaderMap) -> Result<(), Abort> {
    if let ResponseState::NotStarted(respond) = state {
        let mut response = Response::new(());
        *response.headers_mut() = headers;
        *state = ResponseState::Streaming(respond.send_response(response, false).map_err(|_| Abort::Gone)?);
    }
    Ok(())
}

/// Sends a chunk, in pieces as the client's flow-control window allows.
async fn write(state: &mut ResponseState, mut chunk: Bytes) -> Result<(), Abort> {
    let ResponseState::Streaming(stream) = state else { return Err(Abort::Gone) };
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        while stream.capacity() == 0 {
            // Both are polled in the same task, because h2 keeps a single waker for them.
            poll_fn(|cx| match (stream.poll_reset(cx), stream.poll_capacity(cx)) {
                (Poll::Ready(_), _) | (_, Poll::Ready(None | Some(Err(_)))) => Poll::Ready(Err(Abort::Gone)),
                (_, Poll::Ready(Some(Ok(_)))) => Poll::Ready(Ok(())),
                _ => Poll::Pending,
            })
            .await?;
        }
        let part = chunk.split_to(stream.capacity().min(chunk.len()));
        stream.send_data(part, false).map_err(|_| Abort::Gone)?;
    }
    Ok(())
}

fn poll_disconnected(state: &mut ResponseState, cx: &mut std::task::Context<'_>) -> Poll<()> {
    match state {
        ResponseState::NotStarted(respond) => respond.poll_reset(cx).map(drop),
        ResponseState::Streaming(stream) => stream.poll_reset(cx).map(drop),
        ResponseState::Ended => Poll::Pending,
    }
}
