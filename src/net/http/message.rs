//! A received HTTP message, represented as ranges of the buffer that holds its bytes.
//!
//! Invariant: the ranges refer to [`Buffer::unread`] at the time the message was read. They are valid until
//! the message is consumed.
#![warn(missing_docs)]

use std::ops::Range;

use thiserror::Error;

use crate::net::buffer::Buffer;

/// Kind of a message, which determines its start line.
#[derive(Clone, Copy, PartialEq)]
pub enum MessageKind {
    /// A request, whose start line has a method and a path.
    Request,
    /// A response, whose start line has a status.
    Response,
}

/// A header that may appear only once appears several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("duplicate header")]
pub struct DuplicateHeader;

/// Positions of the elements of one message in the unread bytes of a buffer.
#[derive(Debug)]
pub struct Message {
    /// Method of a request; empty for a response.
    pub method: Range<usize>,
    /// Target of a request, path and query; empty for a response.
    pub path: Range<usize>,
    /// Status code of a response; 0 for a request.
    pub status: u16,
    /// Name and value of each header.
    pub(super) headers: Vec<(Range<usize>, Range<usize>)>,
    /// The body, which is decoded if it arrived in chunks.
    pub(super) body: Range<usize>,
    /// Number of bytes that the complete message takes up in the buffer; 0 until it is complete.
    pub length: usize,
    /// Whether the sender keeps the connection open after this message.
    pub keep_alive: bool,
}

impl Message {
    /// Returns the text of a range of this message, or an empty string if it is not UTF-8.
    pub fn text<'a>(&self, buffer: &'a Buffer, range: &Range<usize>) -> &'a str {
        std::str::from_utf8(&buffer.unread()[range.clone()]).unwrap_or("")
    }

    /// Returns the value of the first header with this name, compared case-insensitively.
    pub fn header<'a>(&self, buffer: &'a Buffer, name: &str) -> Option<&'a str> {
        self.values(buffer, name).next()
    }

    /// Returns the value of a header that may appear only once. This prevents two readers of the same
    /// request from using different values.
    ///
    /// # Errors
    ///
    /// Returns [`DuplicateHeader`] if the header appears several times, even with the same value.
    pub fn unique_header<'a>(
        &self,
        buffer: &'a Buffer,
        name: &str,
    ) -> Result<Option<&'a str>, DuplicateHeader> {
        let mut values = self.values(buffer, name);
        let first = values.next();
        match values.next() {
            None => Ok(first),
            Some(_) => Err(DuplicateHeader),
        }
    }

    fn values<'m, 'b: 'm>(&'m self, buffer: &'b Buffer, name: &'m str) -> impl Iterator<Item = &'b str> + 'm {
        let named = self.headers.iter().filter(move |(n, _)| self.text(buffer, n).eq_ignore_ascii_case(name));
        named.map(move |(_, value)| self.text(buffer, value))
    }

    /// Returns the body.
    pub fn body<'a>(&self, buffer: &'a Buffer) -> &'a [u8] {
        &buffer.unread()[self.body.clone()]
    }
}
