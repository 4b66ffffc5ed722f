//! HTTP/1.1 messages (RFC 9112): parsing of requests and responses in place in their receive buffer, and
//! serialization of responses.
//!
//! - `message`: a received message, as ranges of its buffer;
//! - `reader`: finds the head and the body of a message in received bytes;
//! - `chunked`: the chunked transfer coding;
//! - `response`: responses as they are sent.
//!
//! This module owns no connections or buffers and does not interpret messages for the fronts. The only
//! function that performs I/O is [`read`].
//!
//! Invariant: received bytes are bounded by the limits on heads and bodies ([`MAX_HEAD_BYTES`],
//! [`MAX_BODY_BYTES`]) and are scanned a bounded number of times, however small the pieces are that they
//! arrive in.
#![warn(missing_docs)]

mod chunked;
mod message;
mod reader;
mod response;

use std::io;

use thiserror::Error;

pub use self::message::{DuplicateHeader, Message, MessageKind};
pub use self::reader::{read, Reader};
pub use self::response::{reason, ConnectionReuse, Response};

/// Largest body of a message of the platform, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest head of a message and largest trailer of a chunked body, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Errors that prevent a message from being received.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The stream ended or failed before the message was complete.
    #[error("connection closed by peer")]
    ConnectionClosed,
    /// The bytes are not an HTTP/1.1 message, or the end of the message is ambiguous. Names the invalid
    /// element.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head, the body or the data sent ahead exceeds its limit.
    #[error("message too large")]
    TooLarge,
    /// The message was not received within its time limit.
    #[error("the request did not come in in time")]
    RequestTimeout,
    /// This side is closing the connection before the message is complete.
    #[error("server is closing the connection")]
    ServerClosing,
    /// The memory for what clients send is exhausted. Trying again later is harmless.
    #[error("out of memory for requests")]
    OutOfMemory,
    /// The connection failed.
    #[error("{0}")]
    Io(io::Error),
}

impl From<io::Error> for HttpError {
    fn from(e: io::Error) -> HttpError {
        match e.kind() {
            io::ErrorKind::OutOfMemory => HttpError::OutOfMemory,
            _ => HttpError::Io(e),
        }
    }
}

impl HttpError {
    /// Returns the status of the response to send to the client, or `None` if the connection has ended.
    pub fn status(&self) -> Option<u16> {
        match self {
            HttpError::Malformed(_) => Some(400),
            HttpError::TooLarge => Some(413),
            HttpError::RequestTimeout => Some(408),
            HttpError::ServerClosing | HttpError::OutOfMemory => Some(503),
            HttpError::ConnectionClosed | HttpError::Io(_) => None,
        }
    }
}
