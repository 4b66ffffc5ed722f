//! What members say to each other about work in hand. Bounded before and after it is decoded.
use std::fmt;

use bytes::Bytes;
use prost::Message as _;

use super::record::{Record, MAX_ID_BYTES, MAX_PARTS};

/// The largest message, encoded: a record at its bound, and its envelope.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Ask(ForwardedSubmit),
    #[prost(message, tag = "2")]
    Told(SubmitReply),
    #[prost(message, tag = "3")]
    Accept(Accept),
    #[prost(message, tag = "4")]
    Accepted(Accepted),
    #[prost(message, tag = "5")]
    Prepare(Prepare),
    #[prost(message, tag = "6")]
    Promised(Promised),
    #[prost(message, tag = "7")]
    Rejected(Rejected),
    #[prost(message, tag = "8")]
    Decided(Decided),
    #[prost(message, tag = "9")]
    Renew(Renew),
    #[prost(message, tag = "10")]
    Renewed(Renew),
    #[prost(message, tag = "11")]
    Seal(Fence),
    #[prost(message, tag = "12")]
    Sealed(Fenced),
}

/// A client's ask, led to a member of the group. `left_us`: microseconds until the client's end.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedSubmit {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint32, tag = "3")]
    pub class: u32,
    #[prost(uint64, tag = "4")]
    pub ends: u64,
    #[prost(uint64, tag = "5")]
    pub left_us: u64,
    #[prost(bytes = "bytes", tag = "6")]
    pub text: Bytes,
    #[prost(uint32, repeated, tag = "7")]
    pub parts: Vec<u32>,
}

/// What became of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum SubmitStatus {
    InProgress = 0,
    Outcome = 1,
    IdConflict = 2,
    Refused = 3,
    Unprotected = 4,
    /// Its outcome is that it could not be finished.
    Failed = 5,
    /// Ask in the group of `at_epoch`.
    Redirected = 6,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitReply {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(enumeration = "SubmitStatus", tag = "3")]
    pub what: i32,
    #[prost(bytes = "bytes", tag = "4")]
    pub outcome: Bytes,
    /// Seconds.
    #[prost(double, tag = "5")]
    pub retry_after: f64,
    #[prost(uint64, tag = "6")]
    pub at_epoch: u64,
    /// FNV of class and text that the outcome belongs to: a late repeat must not answer another ask under this id.
    #[prost(uint64, tag = "7")]
    pub of: u64,
}

/// `sent`: the sender's own monotonic clock, which only comes back to it. `left_us`: until the work's end.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    #[prost(uint64, tag = "5")]
    pub sent: u64,
    #[prost(uint64, tag = "6")]
    pub left_us: u64,
    #[prost(message, optional, tag = "7")]
    pub record: Option<Record>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    #[prost(uint64, tag = "5")]
    pub sent: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    #[prost(uint32, tag = "4")]
    pub class: u32,
    #[prost(uint64, tag = "5")]
    pub left_us: u64,
}

/// `record` is what was accepted, under (`accepted`, `seq`); none if nothing was.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Promised {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    #[prost(uint64, tag = "4")]
    pub accepted: u64,
    #[prost(uint64, tag = "5")]
    pub seq: u64,
    #[prost(message, optional, tag = "6")]
    pub record: Option<Record>,
}

/// No to an accept or a prepare under `ballot`: another is promised, a lease lasts for `wait_us` more, or this
/// member is full.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rejected {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    #[prost(uint64, tag = "4")]
    pub promised: u64,
    #[prost(uint64, tag = "5")]
    pub wait_us: u64,
    #[prost(bool, tag = "6")]
    pub full: bool,
}

/// An outcome that a majority holds: it never changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Decided {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(bytes = "bytes", tag = "3")]
    pub outcome: Bytes,
    #[prost(bool, tag = "4")]
    pub failed: bool,
    /// Of which opening it is the outcome.
    #[prost(uint64, tag = "5")]
    pub opened: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Renew {
    #[prost(uint64, tag = "1")]
    pub sent: u64,
}

/// Asks a member of an older group never to open this id in that epoch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fence {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(uint32, tag = "3")]
    pub class: u32,
    #[prost(uint64, tag = "4")]
    pub left_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Fenced {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    /// It has a record of it, and has sealed nothing.
    #[prost(bool, tag = "3")]
    pub exists: bool,
    /// It is full, and has sealed nothing.
    #[prost(bool, tag = "4")]
    pub full: bool,
}

/// A message that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    TooLong(usize),
    Malformed(String),
    /// Of a later version: it says nothing that is known here.
    Unknown,
    /// What is wrong with a field.
    Field(&'static str),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::TooLong(n) => write!(f, "a message of {n} bytes, over {MAX_MESSAGE_BYTES}"),
            MessageError::Malformed(why) => write!(f, "a message that cannot be read: {why}"),
            MessageError::Unknown => f.write_str("a message of no known kind"),
            MessageError::Field(why) => write!(f, "a message with {why}"),
        }
    }
}

impl std::error::Error for MessageError {}

impl From<Body> for Message {
    fn from(body: Body) -> Message {
        Message { body: Some(body) }
    }
}

impl Message {
    /// The bytes for the wire.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads one whole message. Errors: over [`MOST_BYTES`], unreadable, of no known kind, or with a field out of bounds.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        let message = Message::decode(bytes).map_err(|e| MessageError::Malformed(e.to_string()))?;
        let body = message.body.as_ref().ok_or(MessageError::Unknown)?;
        if body.work().is_some_and(|(_, id)| id.is_empty() || id.len() > MAX_ID_BYTES) {
            return Err(MessageError::Field("an id that is empty or too long"));
        }
        let record = match body {
            Body::Accept(a) => Some(a.record.as_ref().ok_or(MessageError::Field("no record"))?),
            Body::Promised(p) => p.record.as_ref(),
            Body::Ask(a) if a.parts.len() > MAX_PARTS => return Err(MessageError::Field("too many parts")),
            _ => None,
        };
        match record.and_then(Record::fault) {
            Some(why) => Err(MessageError::Field(why)),
            None => Ok(message),
        }
    }
}

impl Body {
    /// The epoch and the id of the work that it speaks of; renewals speak of all.
    pub fn work(&self) -> Option<(u64, &str)> {
        Some(match self {
            Body::Ask(m) => (m.epoch, &m.id),
            Body::Told(m) => (m.epoch, &m.id),
            Body::Accept(m) => (m.epoch, &m.id),
            Body::Accepted(m) => (m.epoch, &m.id),
            Body::Prepare(m) => (m.epoch, &m.id),
            Body::Promised(m) => (m.epoch, &m.id),
            Body::Rejected(m) => (m.epoch, &m.id),
            Body::Decided(m) => (m.epoch, &m.id),
            Body::Seal(m) => (m.epoch, &m.id),
            Body::Sealed(m) => (m.epoch, &m.id),
            Body::Renew(_) | Body::Renewed(_) => return None,
        })
    }
}
