//! Connections to the search servers: those in use, idle ones, and the match of answers to requests.
//!
//! HTTP/1.1 matches answers to requests by their order alone. A server may send more than one answer to a
//! request, and the surplus one may arrive after the next request has been sent. Answers are therefore also
//! matched by `X-Opaque-Id`, which servers give back.
//!
//! Invariant: an answer is used for a request only if no other request on the connection can have caused it.
//! Either it is the first answer on the connection, or it carries the id of the request, and the request
//! before had a different id: what a server sends in response to a request precedes its next answer.
#![warn(missing_docs)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures_lite::AsyncWriteExt;

use crate::balancer::interface::{Outcome, ReplicaId};
use crate::config::settings::ConnectionSettings;
use crate::net::buffer::Buffer;
use crate::net::http::{self, HttpError, Message, MessageKind};
use crate::net::socket::{self, ConnectError, Stream};

/// Fraction of the servers' idle timeout for which an idle connection is reused.
const IDLE_TIME_FRACTION: f64 = 0.8;
/// Largest response of one shard, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// The header that names a request, and that servers give back in the answer.
pub(super) const REQUEST_ID_HEADER: &str = "X-Opaque-Id";

/// The request to which an answer on a connection belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMatch {
    /// The answer carries the id of the request that was sent last.
    Named,
    /// The answer does not carry that id, but is the first one on its connection.
    First,
    /// The answer is a further copy of the answer to the request before.
    CopyOfPrevious,
    /// It cannot be told to which request the answer belongs.
    Unknown,
}

/// Determines to which request an answer belongs. `answer_id` is the id in the answer, and `previous_id` that
/// of the request before, if the connection has carried one; the current request must have another id.
pub fn match_answer(request_id: &str, previous_id: Option<&str>, answer_id: Option<&str>) -> AnswerMatch {
    match (answer_id, previous_id) {
        (Some(answer), Some(previous)) if answer == previous => AnswerMatch::CopyOfPrevious,
        (Some(answer), _) if answer == request_id => AnswerMatch::Named,
        (_, None) => AnswerMatch::First,
        _ => AnswerMatch::Unknown,
    }
}

/// An idle connection.
struct IdleConnection {
    stream: Stream,
    /// The id of the last request, which the next request must not have.
    last_request_id: Box<str>,
    since: Instant,
}

/// The connections to all servers.
pub(super) struct Connections {
    idle: RefCell<BTreeMap<ReplicaId, Vec<IdleConnection>>>,
    settings: ConnectionSettings,
    /// Number of connections that may still be opened.
    free_descriptors: Cell<usize>,
}

impl Connections {
    /// Creates an empty set. `descriptors` limits the number of open connections.
    pub fn new(settings: ConnectionSettings, descriptors: usize) -> Rc<Connections> {
        Rc::new(Connections { idle: RefCell::default(), settings, free_descriptors: Cell::new(descriptors) })
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, replica: ReplicaId) {
        let idle = self.idle.borrow_mut().remove(&replica).unwrap_or_default();
        self.free_descriptors.set(self.free_descriptors.get() + idle.len());
    }

    /// Returns an idle connection to a server on which a request with this id can be told from the one
    /// before, if such a connection is still open, and a new connection otherwise.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if no connection is available. A lack of local resources is not
    /// counted against the server.
    pub async fn acquire(
        self: &Rc<Self>,
        replica: ReplicaId,
        address: SocketAddr,
        request_id: &str,
    ) -> Result<ConnectionLease, Outcome> {
        let reuse_time = self.settings.idle_timeout.mul_f64(IDLE_TIME_FRACTION);
        let oldest_reusable = Instant::now().checked_sub(reuse_time);
        while let Some(idle) = self.take_idle(replica, |idle| *idle.last_request_id != *request_id) {
            let recent = oldest_reusable.is_none_or(|oldest_reusable| idle.since > oldest_reusable);
            if recent && idle.stream.is_idle() {
                let mut lease = ConnectionLease::reserve(self);
                lease.stream = Some(idle.stream);
                lease.previous_request_id = Some(idle.last_request_id);
                return Ok(lease);
            }
        }
        self.open(replica, address).await
    }

    /// Opens a connection to a server. If no descriptor is free, an idle connection to the server is closed
    /// for it.
    ///
    /// # Errors
    ///
    /// See [`Connections::acquire`].
    pub async fn open(
        self: &Rc<Self>,
        replica: ReplicaId,
        address: SocketAddr,
    ) -> Result<ConnectionLease, Outcome> {
        if self.free_descriptors.get() == 0 && self.take_idle(replica, |_| true).is_none() {
            return Err(Outcome::NeverSent);
        }
        let deadline = Instant::now() + self.settings.connect_timeout;
        // The descriptor is reserved before connecting, since many connects may be in progress at once.
        let mut lease = ConnectionLease::reserve(self);
        let stream = socket::connect(address, deadline).await.map_err(|e| match e {
            ConnectError::LocalFailure(_) => Outcome::NeverSent,
            ConnectError::Refused(_) | ConnectError::TimedOut => Outcome::ConnectFailed,
        })?;
        stream.set_nodelay();
        lease.stream = Some(stream);
        Ok(lease)
    }

    /// Removes the idle connection to a server that was used last among those that `is_suitable` accepts. Its
    /// descriptor counts as free.
    fn take_idle(
        &self,
        replica: ReplicaId,
        is_suitable: impl Fn(&IdleConnection) -> bool,
    ) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.get_mut(&replica)?;
        let index = of_server.iter().rposition(is_suitable)?;
        self.free_descriptors.set(self.free_descriptors.get() + 1);
        Some(of_server.remove(index))
    }

    /// Keeps a connection for the next request, after a request with this id was answered on it.
    pub fn keep_idle(&self, replica: ReplicaId, mut lease: ConnectionLease, request_id: &str) {
        if let Some(stream) = lease.stream.take() {
            // The descriptor stays in use by the idle connection, so the lease does not release it.
            lease.holds_descriptor = false;
            let idle = IdleConnection { stream, last_request_id: request_id.into(), since: Instant::now() };
            self.idle.borrow_mut().entry(replica).or_default().push(idle);
        }
    }
}

/// An answer, and the buffer that contains it.
pub(super) struct Answer {
    pub message: Message,
    pub buffer: Buffer,
    /// Whether the connection can be used for another request.
    pub is_reusable: bool,
}

/// A connection in use. Its descriptor is released when this is dropped, unless the connection is kept idle.
pub(super) struct ConnectionLease {
    stream: Option<Stream>,
    previous_request_id: Option<Box<str>>,
    connections: Rc<Connections>,
    /// Whether the descriptor is released on drop.
    holds_descriptor: bool,
}

impl ConnectionLease {
    fn reserve(connections: &Rc<Connections>) -> ConnectionLease {
        let free = connections.free_descriptors.get();
        connections.free_descriptors.set(free.saturating_sub(1));
        let connections = connections.clone();
        ConnectionLease { stream: None, previous_request_id: None, connections, holds_descriptor: true }
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the connection failed.
    pub async fn send(&mut self, request: &[u8]) -> Result<(), HttpError> {
        let stream = self.stream.as_mut().ok_or(HttpError::ConnectionClosed)?;
        Ok(stream.write_all(request).await?)
    }

    /// Reads the answer to the request with this id, which was sent last. One further copy of the answer to
    /// the request before is skipped.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Malformed`] if the answer cannot be told to belong to the request, and the errors
    /// of [`http::read`].
    pub async fn read_answer(&mut self, request_id: &str) -> Result<Answer, HttpError> {
        let stream = self.stream.as_mut().ok_or(HttpError::ConnectionClosed)?;
        let mut buffer = Buffer::default();
        let mut message = http::read(stream, &mut buffer, MessageKind::Response, MAX_RESPONSE_BYTES).await?;
        let previous_id = self.previous_request_id.as_deref();
        let mut matched = match_message(&message, &buffer, request_id, previous_id);
        if matched == AnswerMatch::CopyOfPrevious {
            buffer.consume(message.length);
            message = http::read(stream, &mut buffer, MessageKind::Response, MAX_RESPONSE_BYTES).await?;
            matched = match_message(&message, &buffer, request_id, previous_id);
        }
        let is_reusable = match matched {
            AnswerMatch::Named => message.keep_alive && buffer.unread().len() == message.length,
            AnswerMatch::First => false,
            AnswerMatch::CopyOfPrevious | AnswerMatch::Unknown => {
                return Err(HttpError::Malformed("answer to another request"));
            }
        };
        Ok(Answer { message, buffer, is_reusable })
    }
}

/// Determines to which request a message belongs. Several ids name none.
fn match_message(
    message: &Message,
    buffer: &Buffer,
    request_id: &str,
    previous_id: Option<&str>,
) -> AnswerMatch {
    let answer_id = message.unique_header(buffer, REQUEST_ID_HEADER).unwrap_or_default();
    match_answer(request_id, previous_id, answer_id)
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.holds_descriptor {
            self.connections.free_descriptors.set(self.connections.free_descriptors.get() + 1);
        }
    }
}
