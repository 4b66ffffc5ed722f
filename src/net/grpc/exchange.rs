//! The state that the tasks of a call share. The front's task reads from and writes to the client; the tasks
//! of the attempts read from and write to servers. The amount of response data that is queued between them
//! is bounded, so that a slow client applies back-pressure to the server.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use event_listener::Event as Wake;
use http::HeaderMap;

use super::replay::ReplayBuffer;
use super::status::Status;
use crate::balancer::interface::Idempotency;
use crate::grpc_routing::Route;

/// The part of the response that has been received from a server but not yet sent to the client.
#[derive(Default)]
pub struct ResponseBuffer {
    /// The response headers; `None` until an attempt has committed the call.
    pub headers: Option<HeaderMap>,
    /// Queued response data, and its total length in bytes.
    chunks: VecDeque<Bytes>,
    queued_bytes: usize,
    /// The trailers, including the final status.
    pub trailers: Option<HeaderMap>,
    /// Whether the query has its final outcome. No data is queued after that.
    pub query_ended: bool,
}

/// The largest DATA frame payload that every peer must accept, in bytes (RFC 9113 4.2).
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// The shared state of one call.
pub struct Exchange {
    pub path: String,
    /// The client's metadata, as it is forwarded to servers.
    pub metadata: HeaderMap,
    pub route: Arc<Route>,
    pub idempotency: Idempotency,
    /// Whether the call goes to several shards, whose messages are merged into one.
    pub merged: bool,
    /// The most response bytes that may be queued for the client's task.
    pub max_buffered: usize,
    pub request: RefCell<ReplayBuffer>,
    pub request_changed: Wake,
    pub response: RefCell<ResponseBuffer>,
    pub response_changed: Wake,
    /// The status of the attempt that failed last.
    pub last_failure: RefCell<Option<Status>>,
}

impl Exchange {
    /// Sets the response headers, which the committed attempt has received.
    pub fn set_headers(&self, headers: HeaderMap) {
        self.response.borrow_mut().headers = Some(headers);
        self.response_changed.notify(usize::MAX);
    }

    /// Queues response data after waiting until fewer than `max_buffered` bytes are queued. The chunk may
    /// take the queue beyond that bound.
    pub async fn push(&self, chunk: Bytes) {
        loop {
            let listener = {
                let mut response = self.response.borrow_mut();
                if response.queued_bytes < self.max_buffered {
                    response.queued_bytes += chunk.len();
                    response.chunks.push_back(chunk);
                    break;
                }
                self.response_changed.listen()
            };
            listener.await;
        }
        self.response_changed.notify(usize::MAX);
    }

    /// Takes queued response data, joining small chunks up to the size of one DATA frame. If they were not
    /// joined, each message of a stream of small messages would be sent in a separate frame, and the overhead
    /// of that frame would exceed the cost of its payload on both sides.
    pub fn take_chunk(&self) -> Option<Bytes> {
        let mut response = self.response.borrow_mut();
        let first = response.chunks.pop_front()?;
        let next = response.chunks.front().map_or(usize::MAX, Bytes::len);
        let chunk = if first.len().saturating_add(next) > MAX_FRAME_BYTES {
            first
        } else {
            let mut joined = BytesMut::with_capacity(response.queued_bytes.min(MAX_FRAME_BYTES));
            joined.extend_from_slice(&first);
            while response.chunks.front().is_some_and(|c| joined.len() + c.len() <= MAX_FRAME_BYTES) {
                let Some(chunk) = response.chunks.pop_front() else { break };
                joined.extend_from_slice(&chunk);
            }
            joined.freeze()
        };
        response.queued_bytes -= chunk.len();
        drop(response);
        self.response_changed.notify(usize::MAX);
        Some(chunk)
    }

    /// Waits until all queued response data has been taken.
    pub async fn wait_until_taken(&self) {
        loop {
            let listener = self.response_changed.listen();
            if self.response.borrow().chunks.is_empty() {
                return;
            }
            listener.await;
        }
    }

    /// Sets the trailers, which the committed attempt has received. Only the first call has an effect.
    pub fn set_trailers(&self, trailers: HeaderMap) {
        self.response.borrow_mut().trailers.get_or_insert(trailers);
        self.response_changed.notify(usize::MAX);
    }

    /// Records that the query has its final outcome.
    pub fn end_query(&self) {
        self.response.borrow_mut().query_ended = true;
        self.response_changed.notify(usize::MAX);
    }
}
