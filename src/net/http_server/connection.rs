//! A client connection: receiving requests, sending responses, and closing.
//!
//! The connection owns its stream and its input. All methods are called by the task of the connection. The
//! task learns from its [`ConnectionSlot`] that other connections need the slot, and from
//! [`GracefulShutdown`] that the process shuts down.
//!
//! Invariants: if a byte of a request was read, the request is answered before this side closes the
//! connection, unless the client disconnects or has asked for the close. Where this side closes the
//! connection after a complete response or between requests, it performs a lingering close and never resets
//! the connection.
#![warn(missing_docs)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, FutureExt};

use super::connection_slot::{ConnectionActivity, ConnectionSlot};
use super::input::Input;
use super::GracefulShutdown;
use crate::net::buffer::Buffer;
use crate::net::http::{self, ConnectionReuse, HttpError, Message, MessageKind, Reader, Response};
use crate::net::invariants;
use crate::net::io_budget;
use crate::net::memory_budget::{MemoryBudget, ReclaimNotice};
use crate::net::socket::Stream;
use crate::net::timeout_at;
use crate::send_policy::{self, CloseConditions};

/// Maximum idle time between two requests.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Time limit for sending a response.
const MAX_SEND_TIME: Duration = Duration::from_secs(5);
/// Time limit for receiving a request. It counts from the start of the connection for the first request, and
/// from the first byte for a later one.
const MAX_RECEIVE_TIME: Duration = Duration::from_secs(2);
/// Time limit for sending an error to a client that does not read.
const MAX_ERROR_SEND_TIME: Duration = Duration::from_millis(500);
/// Time within which, by the protocol, a client that sends nothing or sends too slowly must be sent an error
/// or have its connection closed. It includes the time that the connection may have waited to be accepted.
const MAX_ERROR_DELAY: Duration = Duration::from_secs(3);
const _: () =
    assert!(MAX_RECEIVE_TIME.as_millis() + MAX_ERROR_SEND_TIME.as_millis() < MAX_ERROR_DELAY.as_millis());
/// Time limit for draining the input after this side has shut down writing.
const MAX_LINGER: Duration = Duration::from_secs(1);
/// Maximum number of bytes drained after this side has shut down writing.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// A client connection, used by the single task that serves it.
pub struct ClientConnection {
    pub(super) stream: Stream,
    pub(super) input: Input,
    pub(super) slot: Rc<ConnectionSlot>,
    pub(super) shutdown: Rc<GracefulShutdown>,
    /// Counts the memory of responses that are being sent.
    pub(super) memory: Rc<MemoryBudget>,
    /// Whether most slots of the acceptor are taken.
    pub(super) crowded: Rc<Cell<bool>>,
    pub(super) accepted_at: Instant,
    /// Whether a complete request has been received.
    pub(super) received_a_request: bool,
}

impl ClientConnection {
    /// Returns the stream, for a front that does its own framing (gRPC).
    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Returns the time at which the connection was accepted.
    pub fn accepted_at(&self) -> Instant {
        self.accepted_at
    }

    /// Returns the arrival time of the request that was read. The client's time limit counts from this time,
    /// even if the request was read later.
    pub fn request_arrived_at(&self) -> Instant {
        self.input.arrived_at
    }

    /// Returns the received bytes that have not been consumed. The ranges in a [`Message`] refer to them.
    pub fn buffer(&self) -> &Buffer {
        &self.input.buffer
    }

    /// Removes an answered request of `length` bytes from the front of the buffer.
    pub fn consume(&mut self, length: usize) {
        self.input.buffer.consume(length);
    }

    /// Records whether requests are being served, for a front that does its own reading. A connection that
    /// serves none may be evicted.
    pub fn set_busy(&self, busy: bool) {
        let activity = if busy { ConnectionActivity::Serving } else { ConnectionActivity::Idle };
        if self.slot.activity() != activity {
            self.slot.set_activity(activity);
        }
    }

    /// Completes when the connection has been asked to close because others need its slot. Cancel safe.
    pub async fn evicted(&self) {
        self.slot.evicted().await;
    }

    /// Receives the next request, which stays in the buffer until it is consumed.
    ///
    /// This method is not cancel safe: a client that waits for `100 Continue` may receive it twice.
    ///
    /// # Errors
    ///
    /// - [`HttpError::ConnectionClosed`] if the client closed the connection, or this side closed it between
    ///   two requests (idle for too long, evicted or shutting down).
    /// - [`HttpError::RequestTimeout`], [`HttpError::ServerClosing`], [`HttpError::Malformed`] and
    ///   [`HttpError::TooLarge`] if a request was not received completely. The client must be sent an error
    ///   ([`HttpError::status`]).
    /// - [`HttpError::Io`] if the connection failed.
    pub async fn next_request(&mut self) -> Result<Message, HttpError> {
        // Requests that are in the buffer already count as well. After this, a first read that is pending
        // has found nothing, so that a connection is not closed over a request that waits for its turn.
        self.stream.read_allowed().await;
        // A line end after the body of a request does not start another request.
        if !self.input.has_started_request() {
            self.input.buffer.consume(usize::MAX);
        }
        if self.input.buffer.unread().is_empty() {
            self.wait_for_request().await?;
        }
        self.receive_request().await
    }

    /// Waits for the first bytes of a request.
    ///
    /// If the connection is to be closed, bytes that have already arrived are still read, and their request
    /// is served. A request that arrives later is not served: its client sees the end of the stream and can
    /// send the request on another connection.
    async fn wait_for_request(&mut self) -> Result<(), HttpError> {
        let (activity, deadline) = if self.received_a_request {
            (ConnectionActivity::Idle, Instant::now() + MAX_IDLE)
        } else {
            (ConnectionActivity::AwaitingFirstByte, self.accepted_at + MAX_RECEIVE_TIME)
        };
        self.slot.set_activity(activity);
        let ClientConnection { stream, input, slot, shutdown, .. } = self;
        let first_bytes = async { Some(input.fill(stream).await) };
        let closed = async {
            shutdown.keep_alive_stopped().or(slot.evicted()).await;
            None
        };
        match timeout_at(deadline, first_bytes.or(closed)).await.flatten() {
            Some(Ok(bytes)) if bytes > 0 => Ok(()),
            Some(_) => Err(HttpError::ConnectionClosed),
            None => {
                self.check_nothing_unanswered();
                self.close().await;
                Err(HttpError::ConnectionClosed)
            }
        }
    }

    /// Receives the request whose first bytes are in the buffer. From here on the client gets a response in
    /// any case.
    async fn receive_request(&mut self) -> Result<Message, HttpError> {
        // The time limit counts from the start of the connection or the first byte of the request, not from
        // the last byte, so that a client cannot hold the connection by sending slowly.
        let started_at = if self.received_a_request { Instant::now() } else { self.accepted_at };
        self.slot.set_activity(if self.received_a_request {
            ConnectionActivity::Serving
        } else {
            ConnectionActivity::AwaitingFirstRequest
        });
        let ClientConnection { stream, input, slot, shutdown, .. } = self;
        let reclaim_notice = input.buffer.set_reclaimable(Instant::now());
        let received = read_request(stream, input);
        let closed = async {
            shutdown.read_deadline_passed().or(slot.evicted()).await;
            Err(HttpError::ServerClosing)
        };
        let reclaimed = async {
            memory_reclaimed(reclaim_notice.as_ref()).await;
            Err(HttpError::OutOfMemory)
        };
        let message = timeout_at(started_at + MAX_RECEIVE_TIME, received.or(reclaimed).or(closed)).await;
        let message = message.unwrap_or(Err(HttpError::RequestTimeout));
        self.input.buffer.retain();
        match message {
            Ok(_) => {
                io_budget::charge_client_input(io_budget::MIN_CHARGE_BYTES);
                self.received_a_request = true;
                self.slot.set_activity(ConnectionActivity::Serving);
            }
            // The memory must be free before the error is sent, which may take a while.
            Err(_) => self.input.buffer.consume(usize::MAX),
        }
        message
    }

    /// Sends a response and returns whether the connection stays open. `keep_alive` states whether the
    /// client wants it to.
    ///
    /// While at least three quarters of the acceptor's slots are taken, each response announces that the
    /// connection closes, so that the client sends no further request on it. The alternative, closing the
    /// connection once it is idle, would free the slot later, and the client might send its next request just
    /// before it sees the close. If another request has already started to arrive, the connection stays open,
    /// since that request must be answered.
    ///
    /// This method is not cancel safe: part of the response may have been sent.
    pub async fn write_response(&mut self, response: &Response, keep_alive: bool) -> bool {
        let conditions = CloseConditions {
            keep_alive,
            server_keeps_alive: !self.shutdown.draining.get()
                && !self.crowded.get()
                && !self.slot.is_evicted(),
            next_request_started: self.input.has_started_request(),
        };
        if !conditions.may_close() {
            return self.send(response, ConnectionReuse::KeepAlive, MAX_SEND_TIME).await;
        }
        if self.send(response, ConnectionReuse::Close, MAX_SEND_TIME).await {
            if keep_alive {
                self.check_nothing_unanswered();
            }
            self.close().await;
        }
        false
    }

    /// Sends an error response about invalid input and closes the connection.
    ///
    /// This method is not cancel safe: part of the response may have been sent.
    pub async fn write_error(&mut self, response: &Response) {
        if self.send(response, ConnectionReuse::Close, MAX_ERROR_SEND_TIME).await {
            self.close().await;
        }
    }

    /// Sends a response and returns whether all of it was sent within `limit`, and before its memory was
    /// reclaimed because the client does not read.
    async fn send(&mut self, response: &Response, reuse: ConnectionReuse, limit: Duration) -> bool {
        let bytes = response.to_bytes(reuse);
        let now = Instant::now();
        let lease = self.memory.lease();
        // The request has been served, so its response is sent even if memory is scarce.
        lease.force(bytes.len(), now);
        lease.set_reclaimable(now);
        let notice = lease.notice();
        let written = async { (&self.stream).write_all(&bytes).await.is_ok() };
        let reclaimed = async {
            notice.reclaimed().await;
            false
        };
        timeout_at(now + limit, written.or(reclaimed)).await.unwrap_or(false)
    }

    /// Checks that every request of which a byte was read has been answered. Called before this side closes a
    /// connection that the client has not asked to close.
    fn check_nothing_unanswered(&self) {
        if self.input.has_started_request() {
            invariants::check_invariant(send_policy::check_close(self.input.buffer.unread().len()));
        }
    }

    /// Performs a lingering close (RFC 9112, section 9.6), the only way in which this side closes a
    /// connection.
    ///
    /// Closing a socket with unread input would reset the connection, and the client could lose a response
    /// that it has not read yet. Data that still arrives is therefore read and discarded, within limits. No
    /// request in it is served, because the client has already been told of the close.
    async fn close(&mut self) {
        let ClientConnection { stream, input: Input { buffer, .. }, slot, shutdown, .. } = self;
        slot.set_activity(ConnectionActivity::Draining);
        stream.shut_down_writing();
        let mut stream = &*stream;
        let drained = async {
            let mut drained = 0;
            while drained < MAX_LINGER_BYTES {
                buffer.consume(usize::MAX);
                match buffer.fill(&mut stream).await {
                    Ok(bytes) if bytes > 0 => drained += bytes,
                    _ => return,
                }
            }
        };
        let deadline = shutdown.limit_linger(Instant::now() + MAX_LINGER);
        timeout_at(deadline, drained.or(slot.close_requested())).await;
    }
}

/// Completes when the memory of a buffer has been reclaimed. Cancel safe.
async fn memory_reclaimed(notice: Option<&ReclaimNotice>) {
    match notice {
        Some(notice) => notice.reclaimed().await,
        None => std::future::pending().await,
    }
}

/// Reads until the request at the front of the input is complete.
async fn read_request(mut stream: &Stream, input: &mut Input) -> Result<Message, HttpError> {
    let mut reader = Reader::new(MessageKind::Request, http::MAX_BODY_BYTES);
    let mut head_pending = true;
    loop {
        if let Some(message) = reader.read(&mut input.buffer)? {
            return Ok(message);
        }
        if let Some(head) = reader.head().filter(|_| head_pending) {
            head_pending = false;
            // Without this interim response, clients may delay the body for about a second, and the delay
            // counts towards the time limit of their query.
            if expects_continue(head, &input.buffer) {
                stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
        }
        if input.fill(stream).await? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
    }
}

/// Returns whether the client waits for an interim response before it sends the body (RFC 9110, section
/// 10.1.1).
fn expects_continue(head: &Message, buffer: &Buffer) -> bool {
    head.header(buffer, "Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}
