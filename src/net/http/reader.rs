//! Parses messages from received bytes: the head with httparse, the body according to the framing in the
//! head (RFC 9112, section 6).
//!
//! Invariants: bytes that a [`Reader`] has parsed are not parsed again when more arrive, except for those of
//! an incomplete head, which is parsed again whenever a line end arrives. A message whose end could be
//! interpreted in two ways is malformed.
#![warn(missing_docs)]

use std::ops::Range;

use futures_lite::AsyncRead;

use super::chunked::ChunkedBody;
use super::{HttpError, Message, MessageKind, MAX_HEAD_BYTES};
use crate::net::buffer::Buffer;

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;
/// Maximum size of the empty lines before a message, in bytes.
const MAX_BLANK_BYTES: usize = 64;

/// Reads one message from `stream` into `buffer`. The message stays there until its `length` is consumed.
///
/// This function is not cancel safe: if the future is dropped, the buffer may contain a partially decoded
/// message, and nothing more can be read from the stream.
///
/// # Errors
///
/// Returns [`HttpError::ConnectionClosed`] if the stream ends first, [`HttpError::Io`] if it fails, and the
/// errors of [`Reader::read`].
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Buffer,
    kind: MessageKind,
    max_body_bytes: usize,
) -> Result<Message, HttpError> {
    let mut reader = Reader::new(kind, max_body_bytes);
    loop {
        if let Some(message) = reader.read(buffer)? {
            return Ok(message);
        }
        if buffer.fill(stream).await? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
    }
}

/// End of the body of a message.
#[derive(Clone, Copy)]
enum BodyEnd {
    /// The body ends at this offset.
    At(usize),
    /// The body is chunked and ends after the trailer.
    Chunked(ChunkedBody),
}

/// Incremental parser of one message.
pub struct Reader {
    kind: MessageKind,
    max_body_bytes: usize,
    /// Number of unread bytes in the previous call.
    seen_bytes: usize,
    head: Option<(Message, BodyEnd)>,
}

impl Reader {
    /// Creates a parser of one message with a body of at most `max_body_bytes`.
    pub fn new(kind: MessageKind, max_body_bytes: usize) -> Reader {
        Reader { kind, max_body_bytes, seen_bytes: 0, head: None }
    }

    /// Returns the message without its body if the head is complete.
    pub fn head(&self) -> Option<&Message> {
        self.head.as_ref().map(|(message, _)| message)
    }

    /// Returns the message at the front of `buffer` if it is complete. The unread bytes must begin with those
    /// that the previous call left: a chunked body is decoded in place.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Malformed`] or [`HttpError::TooLarge`] as soon as the bytes show the error.
    pub fn read(&mut self, buffer: &mut Buffer) -> Result<Option<Message>, HttpError> {
        if self.head.is_none() {
            let bytes = buffer.unread();
            // A head ends at a line end, so it is parsed when one arrives. It is also parsed when it exceeds
            // the limit, and when its first bytes arrive, since only these can reveal an error within a line.
            let new = bytes.get(self.seen_bytes..).unwrap_or_default();
            let may_end = self.seen_bytes == 0 || new.contains(&b'\n') || bytes.len() > MAX_HEAD_BYTES;
            self.seen_bytes = bytes.len();
            if may_end {
                self.head = read_head(bytes, self.kind, self.max_body_bytes)?;
            }
        }
        let Some((message, body_end)) = &mut self.head else { return Ok(None) };
        let end = match body_end {
            BodyEnd::At(end) => Some(*end).filter(|end| buffer.unread().len() >= *end),
            BodyEnd::Chunked(chunked) => {
                let end = chunked.read(buffer, self.max_body_bytes)?;
                message.body = chunked.data();
                end
            }
        };
        let Some(end) = end else { return Ok(None) };
        message.length = end;
        Ok(self.head.take().map(|(message, _)| message))
    }
}

/// The parsed head of a message.
struct Head<'h, 'b> {
    /// Length of the head in bytes, without the empty lines before it.
    length: usize,
    method: Range<usize>,
    path: Range<usize>,
    status: u16,
    minor_version: Option<u8>,
    headers: &'h [httparse::Header<'b>],
}

/// Framing of the body and persistence of the connection, as given by the headers.
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
        body,
        length: 0,
        keep_alive: framing.keep_alive,
    };
    Ok(Some((message, body_end)))
}

/// Parses the head that follows `blank` bytes of empty lines, if it is complete.
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

/// Parses the value of `Content-Length`. It must consist of digits only: a leading sign is malformed,
/// although `str::parse` would accept it.
fn read_content_length(value: &str) -> Result<usize, HttpError> {
    let all_digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let length = value.parse().ok().filter(|_| all_digits);
    length.ok_or(HttpError::Malformed("Content-Length"))
}

/// Returns the range of `slice` within `bytes`, of which it must be a subslice.
fn range_in(bytes: &[u8], slice: &[u8]) -> Range<usize> {
    let start = slice.as_ptr() as usize - bytes.as_ptr() as usize;
    start..start + slice.len()
}
