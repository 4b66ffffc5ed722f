//! A received message, as ranges of the buffer that holds its bytes.
//!
//! Invariant: the ranges refer to [`Buffer::unread`] as it was when the message was read; they are of use
//! until the message is consumed.
#![warn(missing_docs)]

use std::borrow::Cow;
use std::ops::Range;

use thiserror::Error;

use crate::net::buffer::Buffer;

/// Which start line a message has.
#[derive(Clone, Copy, PartialEq)]
pub enum MessageKind {
    /// Method and path.
    Request,
    /// Status.
    Response,
}

/// A header that may stand once in a message stands in it several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a header stands more than once")]
pub struct DuplicateHeader;

/// Where the pieces of one message are in the unread bytes of a buffer.
#[derive(Debug)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: Range<usize>,
    /// The target of a request, path and query; empty for a response.
    pub path: Range<usize>,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Name and value of each header.
    pub(super) headers: Vec<(Range<usize>, Range<usize>)>,
    /// The body: none, one range, or one range for each chunk.
    pub(super) body: Vec<Range<usize>>,
    /// Bytes of the complete message; 0 until it is complete.
    pub length: usize,
    /// Whether the sender lets the connection go on behind this message.
    pub keep_alive: bool,
}

impl Message {
    /// The text of a range of this message; empty where it is not UTF-8.
    pub fn text<'a>(&self, buffer: &'a Buffer, range: &Range<usize>) -> &'a str {
        std::str::from_utf8(&buffer.unread()[range.clone()]).unwrap_or("")
    }

    /// The value of the first header of this name, in any case.
    pub fn header<'a>(&self, buffer: &'a Buffer, name: &str) -> Option<&'a str> {
        self.values(buffer, name).next()
    }

    /// The value of a header that may stand only once. Prevents two readers of one request from using
    /// different values.
    ///
    /// # Errors
    ///
    /// [`DuplicateHeader`] where it stands several times, also with the same value.
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

    /// The body: a slice of the buffer, or, where it came in several chunks, a copy of those put together.
    pub fn body<'a>(&self, buffer: &'a Buffer) -> Cow<'a, [u8]> {
        let bytes = buffer.unread();
        match &self.body[..] {
            [] => Cow::Borrowed(&[]),
            [one] => Cow::Borrowed(&bytes[one.clone()]),
            many => Cow::Owned(many.iter().flat_map(|range| &bytes[range.clone()]).copied().collect()),
        }
    }
}
