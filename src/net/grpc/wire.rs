//! The gRPC protocol elements on top of HTTP/2 (gRPC over HTTP/2): message framing, timeouts and statuses.
//! The module does no I/O.
use std::fmt;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};
use percent_encoding::{percent_decode, percent_encode, AsciiSet, CONTROLS};
use prost::Message as _;

use super::status::{Code, Status};

/// The length of a message's prefix, in bytes. The prefix consists of the compressed flag and the message's
/// length.
pub const PREFIX_BYTES: usize = 5;

/// Why a stream of length-prefixed messages is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// The compressed flag has this value, which is neither 0 nor 1.
    InvalidFlag(u8),
    /// The message has this length in bytes, which exceeds the limit.
    MessageTooLong(usize),
    /// There is more than one message where the method takes one.
    ExtraMessage,
    /// The stream ended inside a message.
    Truncated,
    /// The stream ended without the one message that the method takes.
    MissingMessage,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::InvalidFlag(b) => write!(f, "compressed flag is {b}, must be 0 or 1"),
            FramingError::MessageTooLong(n) => write!(f, "message of {n} bytes exceeds the limit"),
            FramingError::ExtraMessage => f.write_str("more than one message where the method takes one"),
            FramingError::Truncated => f.write_str("stream ended inside a message"),
            FramingError::MissingMessage => f.write_str("stream ended without a message"),
        }
    }
}

impl std::error::Error for FramingError {}

/// Validates the framing of a stream of messages without buffering it: only the prefixes are parsed.
#[derive(Debug)]
pub struct Framer {
    max_bytes: usize,
    /// Whether the stream may contain more than one message.
    multiple: bool,
    prefix: [u8; PREFIX_BYTES],
    prefix_read: usize,
    body_remaining: usize,
    complete_messages: usize,
}

impl Framer {
    /// Creates a framer for a stream that must contain exactly one message, or may contain any number of them
    /// if `multiple` is set. `max_bytes` is the longest message, in bytes without its prefix.
    pub fn new(max_bytes: usize, multiple: bool) -> Framer {
        Framer {
            max_bytes,
            multiple,
            prefix: [0; PREFIX_BYTES],
            prefix_read: 0,
            body_remaining: 0,
            complete_messages: 0,
        }
    }

    /// Returns the number of messages that have arrived completely.
    pub fn complete_messages(&self) -> usize {
        self.complete_messages
    }

    /// Validates the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns the first violation in these bytes. The framer must not be used after it.
    pub fn advance(&mut self, mut bytes: &[u8]) -> Result<(), FramingError> {
        while !bytes.is_empty() {
            if self.body_remaining > 0 {
                let n = self.body_remaining.min(bytes.len());
                self.body_remaining -= n;
                bytes = &bytes[n..];
                if self.body_remaining == 0 {
                    (self.prefix_read, self.complete_messages) = (0, self.complete_messages + 1);
                }
                continue;
            }
            if self.complete_messages > 0 && !self.multiple {
                return Err(FramingError::ExtraMessage);
            }
            self.prefix[self.prefix_read] = bytes[0];
            self.prefix_read += 1;
            bytes = &bytes[1..];
            if self.prefix[0] > 1 {
                return Err(FramingError::InvalidFlag(self.prefix[0]));
            }
            if self.prefix_read == PREFIX_BYTES {
                let [_, length @ ..] = self.prefix;
                self.body_remaining = u32::from_be_bytes(length) as usize;
                if self.body_remaining > self.max_bytes {
                    return Err(FramingError::MessageTooLong(self.body_remaining));
                }
                if self.body_remaining == 0 {
                    (self.prefix_read, self.complete_messages) = (0, self.complete_messages + 1);
                }
            }
        }
        Ok(())
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// Returns [`FramingError::Truncated`] inside a message, and [`FramingError::MissingMessage`] if there is
    /// no message in a stream that must contain one.
    pub fn finish(&self) -> Result<(), FramingError> {
        match self {
            f if f.body_remaining > 0 || f.prefix_read > 0 => Err(FramingError::Truncated),
            f if !f.multiple && f.complete_messages == 0 => Err(FramingError::MissingMessage),
            _ => Ok(()),
        }
    }
}

/// Splits the first message off `bytes`, and returns its compressed flag and its content. Returns `None` if
/// the message is incomplete.
pub fn split_message(bytes: &[u8]) -> Option<(bool, &[u8])> {
    let (prefix, rest) = bytes.split_first_chunk::<PREFIX_BYTES>()?;
    let [flag, length @ ..] = *prefix;
    Some((flag == 1, rest.get(..u32::from_be_bytes(length) as usize)?))
}

/// Concatenates the bodies of several messages into one framed message, which appends their repeated fields.
/// Returns `None` if the result is too long for a length prefix.
pub fn concat_messages<'b>(bodies: impl Iterator<Item = &'b [u8]> + Clone) -> Option<Bytes> {
    let length: usize = bodies.clone().map(<[u8]>::len).sum();
    let mut out = BytesMut::with_capacity(PREFIX_BYTES + length);
    out.extend_from_slice(&[0]);
    out.extend_from_slice(&u32::try_from(length).ok()?.to_be_bytes());
    bodies.for_each(|b| out.extend_from_slice(b));
    Some(out.freeze())
}

/// Parses a `grpc-timeout` value: at most eight digits and a unit.
pub fn parse_timeout(value: &[u8]) -> Option<Duration> {
    let (unit, digits) = value.split_last()?;
    if !(1..=8).contains(&digits.len()) || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let n = digits.iter().fold(0u64, |n, b| n * 10 + u64::from(b - b'0'));
    match unit {
        b'H' => Some(Duration::from_secs(n * 3600)),
        b'M' => Some(Duration::from_secs(n * 60)),
        b'S' => Some(Duration::from_secs(n)),
        b'm' => Some(Duration::from_millis(n)),
        b'u' => Some(Duration::from_micros(n)),
        b'n' => Some(Duration::from_nanos(n)),
        _ => None,
    }
}

/// Formats a `grpc-timeout` value in the finest unit that can hold `remaining`. The value is rounded down by
/// less than a thousandth, and is at least 1 ns.
pub fn format_timeout(remaining: Duration) -> String {
    const MAX_VALUE: u128 = 99_999_999;
    let units = [("n", 1), ("u", 1_000), ("m", 1_000_000), ("S", 1_000_000_000), ("M", 60_000_000_000)];
    let nanos = remaining.as_nanos().max(1);
    match units.iter().find(|(_, size)| nanos / size <= MAX_VALUE) {
        Some((unit, size)) => format!("{}{unit}", nanos / size),
        None => format!("{}H", (nanos / 3_600_000_000_000).min(MAX_VALUE)),
    }
}

/// The characters that are percent-encoded in `grpc-message`: all but printable ASCII, and `%`.
const MESSAGE: &AsciiSet = &CONTROLS.add(b'%');
/// The longest `grpc-message` that is sent, in bytes after encoding. It is well within the limits that
/// clients set on their header lists.
const MAX_MESSAGE_BYTES: usize = 1024;

/// `google.rpc.RetryInfo`.
#[derive(Clone, PartialEq, prost::Message)]
struct RetryInfo {
    #[prost(message, optional, tag = "1")]
    retry_delay: Option<prost_types::Duration>,
}

/// `google.rpc.Status`.
#[derive(Clone, PartialEq, prost::Message)]
struct RpcStatus {
    #[prost(int32, tag = "1")]
    code: i32,
    #[prost(string, tag = "2")]
    message: String,
    #[prost(message, repeated, tag = "3")]
    details: Vec<prost_types::Any>,
}

pub const GRPC_STATUS: HeaderName = HeaderName::from_static("grpc-status");
pub const GRPC_MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
pub const GRPC_TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
pub const GRPC_ENCODING: HeaderName = HeaderName::from_static("grpc-encoding");
const DETAILS: HeaderName = HeaderName::from_static("grpc-status-details-bin");
const PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");

/// Builds the trailers for a status that this front generates. A retry delay is sent in two forms: as
/// `grpc-retry-pushback-ms` for clients that retry by themselves (gRFC A6), and as `RetryInfo` in the details
/// (google/rpc/error_details.proto).
pub fn trailers(status: &Status) -> HeaderMap {
    let mut out = HeaderMap::new();
    out.insert(GRPC_STATUS, HeaderValue::from(status.code as u16));
    let mut encoded: String = percent_encode(status.message.as_bytes(), MESSAGE).to_string();
    encoded.truncate(MAX_MESSAGE_BYTES);
    if let Ok(encoded) = HeaderValue::try_from(encoded) {
        out.insert(GRPC_MESSAGE, encoded);
    }
    if let Some(after) = status.retry_after.filter(|s| s.is_finite() && *s >= 0.0) {
        out.insert(PUSHBACK, HeaderValue::from((after * 1000.0).min(i32::MAX.into()) as i32));
        let nanos = ((after.fract()) * 1e9) as i32;
        let delay = prost_types::Duration { seconds: after as i64, nanos };
        let info = RetryInfo { retry_delay: Some(delay) }.encode_to_vec();
        let any =
            prost_types::Any { type_url: "type.googleapis.com/google.rpc.RetryInfo".into(), value: info };
        let (code, message) = (status.code as i32, status.message.clone());
        let details = RpcStatus { code, message, details: vec![any] }.encode_to_vec();
        if let Ok(details) = HeaderValue::try_from(STANDARD_NO_PAD.encode(details)) {
            out.insert(DETAILS, details);
        }
    }
    out
}

/// Parses the status in a server's trailers, or in the headers of a trailers-only response. Returns `None` if
/// `grpc-status` is missing, invalid or present more than once.
pub fn parse_status(headers: &HeaderMap) -> Option<Status> {
    let mut statuses = headers.get_all(GRPC_STATUS).iter();
    let (Some(value), None) = (statuses.next(), statuses.next()) else { return None };
    let code = Code::parse(value.as_bytes())?;
    let message = headers.get(GRPC_MESSAGE).map_or(&b""[..], |m| m.as_bytes());
    Some(Status::new(code, percent_decode(message).decode_utf8_lossy()))
}

/// Returns whether the content type is that of gRPC: `application/grpc`, alone or followed by `+` or `;`.
pub fn is_grpc(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(http::header::CONTENT_TYPE) else { return false };
    let rest = value.as_bytes().strip_prefix(b"application/grpc");
    rest.is_some_and(|rest| matches!(rest.first(), None | Some(b'+' | b';')))
}

/// Returns whether a header must not be forwarded, because it applies to a single hop or because each attempt
/// sets its own value.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "transfer-encoding"
            | "upgrade"
            | "te"
            | "host"
            | "grpc-timeout"
            | "content-length"
    )
}

/// Returns `bytes` without its first `n` bytes, or an empty buffer if it is shorter than that.
pub fn skip_prefix(mut bytes: Bytes, n: usize) -> Bytes {
    bytes.advance(n.min(bytes.len()));
    bytes
}
