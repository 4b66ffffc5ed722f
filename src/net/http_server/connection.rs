//! One client connection: its requests, its responses, and its end.
//!
//! Owns the stream and its input. The connection's task calls it; when others need its slot or the program
//! shuts down, the connection learns of it by its [`ConnectionSlot`] and by [`GracefulShutdown`].
//!
//! Invariants: a request of which a byte was read is answered before this side ends the connection, unless
//! its client disconnects or has asked for the end; behind a complete response, and between requests, this
//! side ends the connection by a lingering close, never by a reset.
#![warn(missing_docs)]

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, FutureExt};

use super::connection_slot::{ConnectionActivity, ConnectionSlot};
use super::input::Input;
use super::GracefulShutdown;
use crate::net::buffer::Buffer;
use crate::net::http::{self, ConnectionReuse, HttpError, Message, MessageKind, Reader, Response};
use crate::net::invariants;
use crate::net::socket::Stream;
use crate::net::timeout_at;
use crate::send_policy::{self, CloseConditions};

/// How long a connection may be idle between two requests.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// How long sending a response may take.
const MAX_SEND_TIME: Duration = Duration::from_secs(5);
/// How long receiving a request may take: the first one from the connection's start on, a later one from its
/// first byte.
const MAX_RECEIVE_TIME: Duration = Duration::from_secs(2);
/// How long sending an error may take where the client does not read.
const MAX_ERROR_SEND_TIME: Duration = Duration::from_millis(500);
/// The protocol's limit on the time until a client that sends nothing, or sends too slowly, gets an error or
/// a close. The connection may have waited to be accepted in it.
const MAX_ERROR_DELAY: Duration = Duration::from_secs(3);
const _: () =
    assert!(MAX_RECEIVE_TIME.as_millis() + MAX_ERROR_SEND_TIME.as_millis() < MAX_ERROR_DELAY.as_millis());
/// How long the input is drained after this side has ended the connection.
const MAX_LINGER: Duration = Duration::from_secs(1);
/// How much of the input is drained then.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// What a client may send behind a request before it has the response: one more request. More is a flood, and
/// would hide that the client has disconnected, as that is found only by reading to the end.
const MAX_READ_AHEAD_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// A client's connection, used by the one task that serves it.
pub struct ClientConnection {
    pub(super) stream: Stream,
    pub(super) input: Input,
    pub(super) slot: Rc<ConnectionSlot>,
    pub(super) shutdown: Rc<GracefulShutdown>,
    /// Most slots of the acceptor are taken.
    pub(super) crowded: Rc<Cell<bool>>,
    pub(super) accepted_at: Instant,
    /// Whether a complete request has been received.
    pub(super) received_a_request: bool,
}

impl ClientConnection {
    /// The stream itself, for a front that frames the bytes by itself (gRPC).
    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// When the connection was accepted.
    pub fn accepted_at(&self) -> Instant {
        self.accepted_at
    }

    /// When the request that was read came in: its client's time counts from there, also where it then waited
    /// to be read.
    pub fn request_arrived_at(&self) -> Instant {
        self.input.arrived_at
    }

    /// What was read and not consumed; the ranges of a [`Message`] refer to it.
    pub fn buffer(&self) -> &Buffer {
        &self.input.buffer
    }

    /// Remove a request of `length` bytes from the front of the buffer, once it is answered.
    pub fn consume(&mut self, length: usize) {
        self.input.buffer.consume(length);
    }

    /// Record whether requests are being served, for a front that reads by itself: a connection that serves
    /// none may be evicted.
    pub fn set_busy(&self, busy: bool) {
        let activity = if busy { ConnectionActivity::Serving } else { ConnectionActivity::Idle };
        if self.slot.activity() != activity {
            self.slot.set_activity(activity);
        }
    }

    /// Resolves once the connection has been asked to end for the sake of others. Cancel safe.
    pub async fn evicted(&self) {
        self.slot.evicted().await;
    }

    /// Receive the next request. It stays in the buffer until it is consumed.
    ///
    /// Not cancel safe: a client that waits for `100 Continue` may be sent it twice.
    ///
    /// # Errors
    ///
    /// [`HttpError::ConnectionClosed`] where the client ended the connection, or this side ended it between
    /// two requests (idle for too long, evicted or shut down); [`HttpError::RequestTimeout`],
    /// [`HttpError::ServerClosing`], [`HttpError::Malformed`] and [`HttpError::TooLarge`] for a request that
    /// was not received completely, to which the client is owed an error ([`HttpError::status`]);
    /// [`HttpError::Io`] where the connection broke.
    pub async fn next_request(&mut self) -> Result<Message, HttpError> {
        // A line end behind a request's body starts no request.
        if !self.input.has_started_request() {
            self.input.buffer.consume(usize::MAX);
        }
        if self.input.buffer.unread().is_empty() {
            self.wait_for_request().await?;
        }
        self.receive_request().await
    }

    /// Wait for the first bytes of a request. What came in before the end of the connection was decided is
    /// read, and so served; from then on nothing is: its client reads the end of the stream, and asks again
    /// elsewhere.
    async fn wait_for_request(&mut self) -> Result<(), HttpError> {
        let (activity, latest) = if self.received_a_request {
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
        match timeout_at(latest, first_bytes.or(closed)).await.flatten() {
            Some(Ok(bytes)) if bytes > 0 => Ok(()),
            Some(_) => Err(HttpError::ConnectionClosed),
            None => {
                self.check_nothing_unanswered();
                self.close().await;
                Err(HttpError::ConnectionClosed)
            }
        }
    }

    /// Receive the request whose first bytes are in the buffer. From here on its client gets a response,
    /// whatever comes.
    async fn receive_request(&mut self) -> Result<Message, HttpError> {
        // Counted from the connection's start or the request's first byte, so that a client can't send it
        // forever.
        let started_at = if self.received_a_request { Instant::now() } else { self.accepted_at };
        self.slot.set_activity(if self.received_a_request {
            ConnectionActivity::Serving
        } else {
            ConnectionActivity::AwaitingFirstRequest
        });
        let ClientConnection { stream, input, slot, shutdown, .. } = self;
        let received = read_request(stream, input);
        let closed = async {
            shutdown.read_deadline_passed().or(slot.evicted()).await;
            Err(HttpError::ServerClosing)
        };
        let message = timeout_at(started_at + MAX_RECEIVE_TIME, received.or(closed)).await;
        let message = message.unwrap_or(Err(HttpError::RequestTimeout));
        if message.is_ok() {
            self.received_a_request = true;
            self.slot.set_activity(ConnectionActivity::Serving);
        }
        message
    }

    /// Resolves when the client disconnects, or sends more than one request ahead, while the request of
    /// `length` bytes at the front of the buffer is being served. What it sends meanwhile stays in the
    /// buffer. Cancel safe.
    async fn disconnected(&mut self, length: usize) -> HttpError {
        while self.input.buffer.unread().len() <= length + MAX_READ_AHEAD_BYTES {
            match self.input.fill_ahead(&self.stream, length).await {
                Ok(bytes) if bytes > 0 => {}
                _ => return HttpError::ConnectionClosed,
            }
        }
        HttpError::TooLarge
    }

    /// What `work` gives, unless the client disconnects or floods this side first: the work is dropped then.
    /// `length`: of the request that is being served.
    ///
    /// Cancel safe for the connection; dropping it drops `work`.
    ///
    /// # Errors
    ///
    /// [`HttpError::ConnectionClosed`] where the client disconnected, [`HttpError::TooLarge`] where it sent
    /// more than one request ahead.
    pub async fn unless_disconnected<T>(
        &mut self,
        length: usize,
        work: impl Future<Output = T>,
    ) -> Result<T, HttpError> {
        let finished = async { Ok(work.await) };
        let disconnected = async { Err(self.disconnected(length).await) };
        finished.or(disconnected).await
    }

    /// Send a response; returns whether the connection can go on. `keep_alive`: the client wants it to.
    ///
    /// Where the slots are nearly all taken, each response says that its connection closes, which the client
    /// learns of in time: an idle connection can be closed only after a while, and the close might cross a
    /// request. Where another request has already started to come in, the connection goes on, as that one has
    /// to be answered.
    ///
    /// Not cancel safe: a part of the response may have been sent.
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

    /// Send what is wrong with the client's bytes, and end the connection.
    ///
    /// Not cancel safe: a part of the response may have been sent.
    pub async fn write_error(&mut self, response: &Response) {
        if self.send(response, ConnectionReuse::Close, MAX_ERROR_SEND_TIME).await {
            self.close().await;
        }
    }

    /// Send a response; returns whether all of it was sent within `limit`.
    async fn send(&mut self, response: &Response, reuse: ConnectionReuse, limit: Duration) -> bool {
        let bytes = response.to_bytes(reuse);
        let written = timeout_at(Instant::now() + limit, (&self.stream).write_all(&bytes)).await;
        matches!(written, Some(Ok(())))
    }

    /// Check, before this side ends the connection by its own choice, that no request has been read and not
    /// answered.
    fn check_nothing_unanswered(&self) {
        if self.input.has_started_request() {
            invariants::check_invariant(send_policy::check_close(self.input.buffer.unread().len()));
        }
    }

    /// End the connection by a lingering close (RFC 9112, section 9.6), the only way in which this side ends
    /// one. A close with input unread would reset the connection, and the client might lose a response that
    /// it has not read yet. What still comes is dropped, in bounds, and never served: its client has been
    /// told of the end by then.
    async fn close(&mut self) {
        let ClientConnection { stream, input: Input { buffer, .. }, slot, .. } = self;
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
        timeout_at(Instant::now() + MAX_LINGER, drained.or(slot.close_requested())).await;
    }
}

/// Read until the request at the front of the input is complete.
async fn read_request(mut stream: &Stream, input: &mut Input) -> Result<Message, HttpError> {
    let mut reader = Reader::new(MessageKind::Request, http::MAX_BODY_BYTES);
    let mut head_pending = true;
    loop {
        if let Some(message) = reader.read(input.buffer.unread())? {
            return Ok(message);
        }
        if let Some(head) = reader.head().filter(|_| head_pending) {
            head_pending = false;
            // Clients may hold the body back for a second or so until they get this, out of their query's
            // time.
            if expects_continue(head, &input.buffer) {
                stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
        }
        if input.fill(stream).await? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
    }
}

/// Whether the client waits for an interim response before it sends the body (RFC 9110, section 10.1.1).
fn expects_continue(head: &Message, buffer: &Buffer) -> bool {
    head.header(buffer, "Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}
