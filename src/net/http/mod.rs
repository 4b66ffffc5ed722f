//! HTTP/1.1 messages (RFC 9112): requests and responses read as slices of the buffer that they were received
//! into, and responses written.
//!
//! - `message`: a received message, as ranges of its buffer;
//! - `reader`: finds a message's head and body in received bytes;
//! - `chunked`: the chunked transfer coding;
//! - `response`: a response as it is sent.
//!
//! It owns no connection and no buffer, and knows nothing of what a message means to a front. The one
//! function that does I/O is [`read`].
//!
//! Invariant: received bytes are bounded by the limits on heads and bodies ([`MAX_HEAD_BYTES`],
//! [`MAX_BODY_BYTES`]) and are looked at a bounded number of times, however small the pieces are in which
//! they come.
#![warn(missing_docs)]

mod chunked;
mod message;
mod reader;
mod response;

use std::io;

use thiserror::Error;

pub use self::message::{DuplicateHeader, Message, MessageKind};
pub use self::reader::{parse, read, Reader};
pub use self::response::{reason, ConnectionReuse, Response};

/// The largest body of the platform's messages.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The largest head of a message, and the largest trailer of a chunked body.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a message was not received.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The stream ended, or broke, before the message was complete.
    #[error("the connection ended")]
    ConnectionClosed,
    /// The bytes are no HTTP/1.1 message, or one whose end is ambiguous; with the part that is wrong.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head, the body or what was sent ahead is over its limit.
    #[error("message too large")]
    TooLarge,
    /// The message was not received in the time that it may take.
    #[error("the request did not come in in time")]
    RequestTimeout,
    /// This side ends the connection before the message is complete.
    #[error("the connection makes way, or the program ends")]
    ServerClosing,
    /// The connection broke.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl HttpError {
    /// The status of the response that the client is owed; `None` where the connection has ended.
    pub fn status(&self) -> Option<u16> {
        match self {
            HttpError::Malformed(_) => Some(400),
            HttpError::TooLarge => Some(413),
            HttpError::RequestTimeout => Some(408),
            HttpError::ServerClosing => Some(503),
            HttpError::ConnectionClosed | HttpError::Io(_) => None,
        }
    }
}
