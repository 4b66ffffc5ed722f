//! Finds a message in received bytes: its head with httparse, its body by the head's framing (RFC 9112,
//! section 6).
//!
//! Invariants: bytes that were read are not read again for the next piece, but for a head, which is read anew
//! with each line end; a message whose end two readers might see in different places is malformed.
#![warn(missing_docs)]

use std::ops::Range;

use futures_lite::AsyncRead;

use super::chunked::ChunkedBody;
use super::{HttpError, Message, MessageKind, MAX_HEAD_BYTES};
use crate::net::buffer::Buffer;

/// The most headers of a message.
const MAX_HEADERS: usize = 64;
/// Bytes of empty lines before a message.
const MAX_BLANK_BYTES: usize = 64;

/// Read one message from `stream` into `buffer`. It stays there until its `length` is consumed.
///
/// Cancel safe: what was received stays in the buffer, and is read again by the next call.
///
/// # Errors
///
/// [`HttpError::ConnectionClosed`] where the stream ends first, [`HttpError::Io`] where it breaks, and those
/// of [`Reader::read`].
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Buffer,
    kind: MessageKind,
    max_body_bytes: usize,
) -> Result<Message, HttpError> {
    let mut reader = Reader::new(kind, max_body_bytes);
    loop {
        if let Some(message) = reader.read(buffer.unread())? {
            return Ok(message);
        }
        if buffer.fill(stream).await? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
    }
}

/// The message at the front of `bytes`, if it is complete.
///
/// # Errors
///
/// Those of [`Reader::read`].
pub fn parse(bytes: &[u8], kind: MessageKind, max_body_bytes: usize) -> Result<Option<Message>, HttpError> {
    Reader::new(kind, max_body_bytes).read(bytes)
}

/// How a message's body ends.
#[derive(Clone, Copy)]
enum BodyEnd {
    /// At this place.
    At(usize),
    /// With the trailer behind the last chunk.
    Chunked(ChunkedBody),
}

/// A message that is being received.
pub struct Reader {
    kind: MessageKind,
    max_body_bytes: usize,
    /// How many bytes the call before was given.
    seen_bytes: usize,
    head: Option<(Message, BodyEnd)>,
}

impl Reader {
    /// A reader of one message, with a body of at most `max_body_bytes`.
    pub fn new(kind: MessageKind, max_body_bytes: usize) -> Reader {
        Reader { kind, max_body_bytes, seen_bytes: 0, head: None }
    }

    /// The message without its body, once its head is complete.
    pub fn head(&self) -> Option<&Message> {
        self.head.as_ref().map(|(message, _)| message)
    }

    /// The message at the front of `bytes`, once it is complete. `bytes` are those of the call before, and
    /// more.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] and [`HttpError::TooLarge`], as soon as the bytes show it.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<Message>, HttpError> {
        if self.head.is_none() {
            // A head ends with a line; of a line's middle only the first piece can show an error.
            let new = bytes.get(self.seen_bytes..).unwrap_or_default();
            let may_end = self.seen_bytes == 0 || new.contains(&b'\n') || bytes.len() > MAX_HEAD_BYTES;
            self.seen_bytes = bytes.len();
            if may_end {
                self.head = read_head(bytes, self.kind, self.max_body_bytes)?;
            }
        }
        let Some((message, body_end)) = &mut self.head else { return Ok(None) };
        let end = match body_end {
            BodyEnd::At(end) => Some(*end).filter(|end| bytes.len() >= *end),
            BodyEnd::Chunked(chunked) => chunked.read(bytes, &mut message.body, self.max_body_bytes)?,
        };
        let Some(end) = end else { return Ok(None) };
        message.length = end;
        Ok(self.head.take().map(|(message, _)| message))
    }
}

/// A complete head.
struct Head<'h, 'b> {
    /// Bytes of it, without the empty lines before it.
    length: usize,
    method: Range<usize>,
    path: Range<usize>,
    status: u16,
    minor_version: Option<u8>,
    headers: &'h [httparse::Header<'b>],
}

/// What the headers say of the body and of the connection.
struct Framing {
    content_length: Option<usize>,
    chunked: bool,
    keep_alive: bool,
}

fn read_head(
    bytes: &[u8],
    kind: MessageKind,
    max_body_bytes: usize,
) -> Result<Option<(Message, BodyEnd)>, HttpError> {
    // A client may send an empty line between requests.
    let blank = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    if blank > MAX_BLANK_BYTES {
        return Err(HttpError::Malformed("empty lines"));
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let Some(head) = parse_head(bytes, blank, kind, &mut headers)? else {
        return Ok(None);
    };
    let framing = read_framing(head.minor_version, head.headers)?;
    let body_start = blank + head.length;
    let content_length = framing.content_length.unwrap_or(0);
    if content_length > max_body_bytes {
        return Err(HttpError::TooLarge);
    }
    let body = body_start..body_start + content_length;
    let body_end =
        if framing.chunked { BodyEnd::Chunked(ChunkedBody::new(body_start)) } else { BodyEnd::At(body.end) };
    let header = |h: &httparse::Header| (range_in(bytes, h.name.as_bytes()), range_in(bytes, h.value));
    let message = Message {
        method: head.method,
        path: head.path,
        status: head.status,
        headers: head.headers.iter().map(header).collect(),
        body: if body.is_empty() { Vec::new() } else { vec![body] },
        length: 0,
        keep_alive: framing.keep_alive,
    };
    Ok(Some((message, body_end)))
}

/// The head behind `blank` bytes of empty lines, if it is complete: its length, its start line and its
/// headers.
fn parse_head<'h, 'b>(
    bytes: &'b [u8],
    blank: usize,
    kind: MessageKind,
    headers: &'h mut [httparse::Header<'b>],
) -> Result<Option<Head<'h, 'b>>, HttpError> {
    match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(headers);
            let parsed = request.parse(&bytes[blank..]);
            let Some(length) = head_length(parsed, bytes)? else { return Ok(None) };
            let head = Head {
                length,
                method: range_in(bytes, request.method.unwrap_or("").as_bytes()),
                path: range_in(bytes, request.path.unwrap_or("").as_bytes()),
                status: 0,
                minor_version: request.version,
                headers: request.headers,
            };
            Ok(Some(head))
        }
        MessageKind::Response => {
            let mut response = httparse::Response::new(headers);
            let parsed = response.parse(&bytes[blank..]);
            let Some(length) = head_length(parsed, bytes)? else { return Ok(None) };
            let head = Head {
                length,
                method: 0..0,
                path: 0..0,
                status: response.code.unwrap_or(0),
                minor_version: response.version,
                headers: response.headers,
            };
            Ok(Some(head))
        }
    }
}

fn head_length(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => Err(HttpError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HttpError::TooLarge),
        Err(_) => Err(HttpError::Malformed("head")),
    }
}

fn read_framing(minor_version: Option<u8>, headers: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
    let mut framing = Framing { content_length: None, chunked: false, keep_alive: minor_version == Some(1) };
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed("header value"))?;
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = read_content_length(value)?;
            if framing.content_length.is_some_and(|earlier| earlier != length) {
                return Err(HttpError::Malformed("Content-Length twice"));
            }
            framing.content_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.trim().eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed("Transfer-Encoding"));
            }
            framing.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            let has = |option: &str| value.split(',').any(|v| v.trim().eq_ignore_ascii_case(option));
            framing.keep_alive = !has("close") && (framing.keep_alive || has("keep-alive"));
        }
    }
    if framing.chunked && framing.content_length.is_some() {
        return Err(HttpError::Malformed("both Content-Length and chunks"));
    }
    Ok(framing)
}

/// Digits alone: a sign, which `parse` would take, is malformed.
fn read_content_length(value: &str) -> Result<usize, HttpError> {
    let all_digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let length = value.parse().ok().filter(|_| all_digits);
    length.ok_or(HttpError::Malformed("Content-Length"))
}

/// Where a slice of `bytes` is in it.
fn range_in(bytes: &[u8], slice: &[u8]) -> Range<usize> {
    let start = slice.as_ptr() as usize - bytes.as_ptr() as usize;
    start..start + slice.len()
}
