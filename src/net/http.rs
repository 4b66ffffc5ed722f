//! HTTP/1.1 heads and bodies, as slices of the buffer that they were read into.
use std::fmt;
use std::io;
use std::ops::Range;

use futures_lite::AsyncRead;

use super::buffer::Buffer;

/// The largest body of the platform's messages.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;
/// Bytes of empty lines before a message.
const MOST_BLANK: usize = 64;

#[derive(Debug)]
pub enum HttpError {
    /// The stream ended, or broke, before the message was whole.
    ConnectionClosed,
    Malformed(&'static str),
    TooLarge,
    /// It took longer to come in than it may.
    RequestTimeout,
    /// We end the connection before the message is whole.
    ServerClosing,
    Io(io::Error),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::ConnectionClosed => f.write_str("the connection ended"),
            HttpError::Malformed(what) => write!(f, "malformed message: {what}"),
            HttpError::TooLarge => f.write_str("message too large"),
            HttpError::RequestTimeout => f.write_str("the request did not come in in time"),
            HttpError::ServerClosing => f.write_str("the connection makes way, or the program ends"),
            HttpError::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// What the client is told; nothing where the connection has ended.
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

impl From<io::Error> for HttpError {
    fn from(e: io::Error) -> Self {
        HttpError::Io(e)
    }
}

/// Where the pieces of one message stand in the unread part of a buffer.
#[derive(Debug)]
pub struct Message {
    /// Method and path of a request; both are empty for an answer.
    pub method: Range<usize>,
    pub path: Range<usize>,
    /// Status of an answer; 0 for a request.
    pub status: u16,
    headers: Vec<(Range<usize>, Range<usize>)>,
    body: Vec<Range<usize>>,
    /// Bytes of the whole message.
    pub length: usize,
    pub keep_alive: bool,
}

impl Message {
    pub fn text<'a>(&self, buffer: &'a Buffer, range: &Range<usize>) -> &'a str {
        std::str::from_utf8(&buffer.unread()[range.clone()]).unwrap_or("")
    }

    pub fn header<'a>(&self, buffer: &'a Buffer, name: &str) -> Option<&'a str> {
        let found = self.headers.iter().find(|(n, _)| self.text(buffer, n).eq_ignore_ascii_case(name));
        found.map(|(_, value)| self.text(buffer, value))
    }

    /// A header that may stand once: guards against two readers of a request each taking another one.
    pub fn unique_header<'a>(&self, buffer: &'a Buffer, name: &str) -> Option<Result<&'a str, ()>> {
        let named = |(n, _): &&(Range<usize>, Range<usize>)| self.text(buffer, n).eq_ignore_ascii_case(name);
        let mut found = self.headers.iter().filter(named).map(|(_, value)| self.text(buffer, value));
        let first = found.next()?;
        Some(if found.next().is_none() { Ok(first) } else { Err(()) })
    }

    /// The body: a slice of the buffer, or, where it came in several chunks, those put together.
    pub fn body<'a>(&self, buffer: &'a Buffer) -> std::borrow::Cow<'a, [u8]> {
        let bytes = buffer.unread();
        match &self.body[..] {
            [] => (&[][..]).into(),
            [one] => bytes[one.clone()].into(),
            many => many.iter().flat_map(|r| &bytes[r.clone()]).copied().collect::<Vec<_>>().into(),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum MessageKind {
    Request,
    Response,
}

/// Read one message. It stays in the buffer until its `length` is consumed.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Buffer,
    kind: MessageKind,
    most_body: usize,
) -> Result<Message, HttpError> {
    let mut reader = Reader::new(kind, most_body);
    loop {
        if let Some(message) = reader.read(buffer.unread())? {
            return Ok(message);
        }
        if buffer.fill(stream).await? == 0 {
            return Err(HttpError::ConnectionClosed);
        }
    }
}

/// The message at the front of `bytes`, if it is whole.
pub fn parse(bytes: &[u8], kind: MessageKind, most_body: usize) -> Result<Option<Message>, HttpError> {
    Reader::new(kind, most_body).read(bytes)
}

/// How a message's body ends.
#[derive(Clone, Copy)]
enum Rest {
    At(usize),
    /// With the last chunk: what was read of them, their bytes so far, and how far the trailer was looked through.
    Chunks {
        at: usize,
        total: usize,
        looked: usize,
    },
}

/// A message that comes in. Guards against work that grows with the square of its pieces: what was read of it is
/// not read again for the next one.
pub struct Reader {
    kind: MessageKind,
    most_body: usize,
    seen: usize,
    head: Option<(Message, Rest)>,
}

impl Reader {
    pub fn new(kind: MessageKind, most_body: usize) -> Reader {
        Reader { kind, most_body, seen: 0, head: None }
    }

    /// The head, once it is in.
    pub fn head(&self) -> Option<&Message> {
        self.head.as_ref().map(|(message, _)| message)
    }

    /// The message at the front of `bytes`, once it is whole. `bytes` are those of the call before, and more.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<Message>, HttpError> {
        if self.head.is_none() {
            // A head ends with a line; of a line's middle only a first piece shows anything.
            let new = bytes.get(self.seen..).unwrap_or_default();
            let worth = self.seen == 0 || new.contains(&b'\n') || bytes.len() > MAX_HEAD_BYTES;
            self.seen = bytes.len();
            if worth {
                self.head = read_head(bytes, self.kind, self.most_body)?;
            }
        }
        let Some((message, rest)) = &mut self.head else { return Ok(None) };
        let end = match rest {
            Rest::At(end) => Some(*end).filter(|end| bytes.len() >= *end),
            Rest::Chunks { at, total, looked } => {
                chunks(bytes, (at, total, looked), &mut message.body, self.most_body)?
            }
        };
        let Some(end) = end else { return Ok(None) };
        message.length = end;
        Ok(self.head.take().map(|(message, _)| message))
    }
}

fn read_head(
    bytes: &[u8],
    kind: MessageKind,
    most_body: usize,
) -> Result<Option<(Message, Rest)>, HttpError> {
    // A client may send an empty line between requests.
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    if skipped > MOST_BLANK {
        return Err(HttpError::Malformed("empty lines"));
    }
    let place = |s: &[u8]| {
        let at = s.as_ptr() as usize - bytes.as_ptr() as usize;
        at..at + s.len()
    };
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (head, method, path, status, minor, fields) = match kind {
        MessageKind::Request => {
            let mut r = httparse::Request::new(&mut headers);
            let Some(head) = head(r.parse(&bytes[skipped..]), bytes)? else { return Ok(None) };
            let (method, path) = (r.method.unwrap_or(""), r.path.unwrap_or(""));
            (head, place(method.as_bytes()), place(path.as_bytes()), 0, r.version, r.headers)
        }
        MessageKind::Response => {
            let mut r = httparse::Response::new(&mut headers);
            let Some(head) = head(r.parse(&bytes[skipped..]), bytes)? else { return Ok(None) };
            (head, 0..0, 0..0, r.code.unwrap_or(0), r.version, r.headers)
        }
    };
    let mut length = None;
    let (mut chunked, mut keep_alive) = (false, minor == Some(1));
    for h in fields.iter() {
        let value = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed("header value"))?;
        if h.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let n = value.parse().ok().filter(|_| digits);
            let n: usize = n.ok_or(HttpError::Malformed("Content-Length"))?;
            if length.is_some_and(|l| l != n) {
                return Err(HttpError::Malformed("Content-Length twice"));
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.trim().eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed("Transfer-Encoding"));
            }
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            let has = |word: &str| value.split(',').any(|v| v.trim().eq_ignore_ascii_case(word));
            keep_alive = if has("close") { false } else { keep_alive || has("keep-alive") };
        }
    }
    if chunked && length.is_some() {
        return Err(HttpError::Malformed("both Content-Length and chunks"));
    }
    let start = skipped + head;
    let length = length.unwrap_or(0);
    if length > most_body {
        return Err(HttpError::TooLarge);
    }
    let rest = match chunked {
        true => Rest::Chunks { at: start, total: 0, looked: 0 },
        false => Rest::At(start + length),
    };
    let body = (length > 0).then_some(start..start + length).into_iter().collect();
    let headers = fields.iter().map(|h| (place(h.name.as_bytes()), place(h.value))).collect();
    Ok(Some((Message { method, path, status, headers, body, length: 0, keep_alive }, rest)))
}

fn head(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(n)) => Ok(Some(n)),
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => Err(HttpError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HttpError::TooLarge),
        Err(_) => Err(HttpError::Malformed("head")),
    }
}

/// Read on from the chunk at `at`; the place after the last one, once all are there.
fn chunks(
    bytes: &[u8],
    (at, total, looked): (&mut usize, &mut usize, &mut usize),
    body: &mut Vec<Range<usize>>,
    most_body: usize,
) -> Result<Option<usize>, HttpError> {
    // Behind the last chunk, only its trailer comes.
    while *looked == 0 {
        let rest = &bytes[*at..];
        let (skip, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if rest.len() > 256 => {
                return Err(HttpError::Malformed("chunk size"))
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("chunk size")),
        };
        let start = *at + skip;
        if size == 0 {
            (*at, *looked) = (start, start);
            break;
        }
        let size = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
        if size > most_body - *total {
            return Err(HttpError::TooLarge);
        }
        let end = start + size;
        match bytes.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(HttpError::Malformed("chunk")),
        }
        body.push(start..end);
        (*at, *total) = (end + 2, *total + size);
    }
    trailer(bytes, *at, looked)
}

/// The place after the trailer that ends a chunked body.
fn trailer(bytes: &[u8], at: usize, looked: &mut usize) -> Result<Option<usize>, HttpError> {
    let rest = &bytes[at..];
    if rest.starts_with(b"\r\n") {
        return Ok(Some(at + 2));
    }
    let from = looked.saturating_sub(3).max(at);
    *looked = bytes.len();
    match bytes[from..].windows(4).position(|w| w == b"\r\n\r\n") {
        Some(n) => Ok(Some(from + n + 4)),
        None if rest.len() > MAX_HEAD_BYTES => Err(HttpError::TooLarge),
        None => Ok(None),
    }
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Whether a connection goes on behind a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It may carry further requests.
    KeepAlive,
    /// The response is its last one, and says so.
    Close,
}

/// A whole answer.
pub struct Response {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub allow: Option<&'static str>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Response { status, retry_after: None, allow: None, body: body.into() }
    }

    pub fn to_bytes(&self, reuse: ConnectionReuse) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if let Some(seconds) = self.retry_after {
            out += &format!("Retry-After: {seconds}\r\n");
        }
        if let Some(methods) = self.allow {
            out += &format!("Allow: {methods}\r\n");
        }
        if reuse == ConnectionReuse::Close {
            out += "Connection: close\r\n";
        }
        out += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", self.body.len());
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}
