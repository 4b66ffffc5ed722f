//! Messages between members about work items, and their validation after decoding.
//!
//! The prost tags and types are the wire format and must not change. Durations are in microseconds. A point
//! in time in these messages is on the sender's monotonic clock and meaningful only to the sender.
use bytes::Bytes;
use prost::Message as _;

use super::record::{Record, MAX_ID_BYTES, MAX_PARTS};

/// Maximum size of an encoded message, in bytes: a record at its limit and the envelope.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// One message. `body` is `None` if a later version sent a kind that is unknown here.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The message kind and its fields.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// The kinds of [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A client's request, forwarded to a member of the group.
    #[prost(message, tag = "1")]
    Submit(ForwardedSubmit),
    /// The answer to [`Body::Submit`].
    #[prost(message, tag = "2")]
    SubmitReply(SubmitReply),
    /// Paxos phase 2a: asks an acceptor to accept a record.
    #[prost(message, tag = "3")]
    Accept(Accept),
    /// Paxos phase 2b: the record was accepted.
    #[prost(message, tag = "4")]
    Accepted(Accepted),
    /// Paxos phase 1a: asks an acceptor to promise a ballot.
    #[prost(message, tag = "5")]
    Prepare(Prepare),
    /// Paxos phase 1b: the ballot was promised.
    #[prost(message, tag = "6")]
    Promised(Promised),
    /// A prepare or an accept was rejected.
    #[prost(message, tag = "7")]
    Rejected(Rejected),
    /// Announces the outcome that a majority holds.
    #[prost(message, tag = "8")]
    Decided(Decided),
    /// An owner renews its lease with an acceptor, for all work items together.
    #[prost(message, tag = "9")]
    Renew(Renew),
    /// The answer to [`Body::Renew`], with the same time.
    #[prost(message, tag = "10")]
    Renewed(Renew),
    /// Asks a member never to open an id in an earlier epoch.
    #[prost(message, tag = "11")]
    Fence(Fence),
    /// The answer to [`Body::Fence`].
    #[prost(message, tag = "12")]
    Fenced(Fenced),
}

/// A client's request, forwarded to a member of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedSubmit {
    /// The epoch whose group the request is sent to.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The work item's id, chosen by the client.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The class of the query.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The client's deadline, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "4")]
    pub deadline_unix_ms: u64,
    /// The time left until that deadline, in microseconds.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// The executor's input.
    #[prost(bytes = "bytes", tag = "6")]
    pub payload: Bytes,
    /// The shards that step 0 queries.
    #[prost(uint32, repeated, tag = "7")]
    pub shards: Vec<u32>,
}

/// Status of a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum SubmitStatus {
    /// The work item is in progress; the outcome follows.
    InProgress = 0,
    /// The work item has an outcome.
    Outcome = 1,
    /// The id is in use with another payload or class.
    IdConflict = 2,
    /// There is no capacity for the request.
    Rejected = 3,
    /// There is no capacity for the request, and its class is configured to run without protection in that
    /// case.
    Unprotected = 4,
    /// The work item ended without an outcome.
    Failed = 5,
    /// The request must be submitted to the group of `redirect_epoch`.
    Redirected = 6,
}

/// The answer to a [`ForwardedSubmit`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitReply {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The status, a [`SubmitStatus`].
    #[prost(enumeration = "SubmitStatus", tag = "3")]
    pub status: i32,
    /// The outcome, if `status` says that there is one.
    #[prost(bytes = "bytes", tag = "4")]
    pub outcome: Bytes,
    /// Delay after which a rejected client may retry, in seconds.
    #[prost(double, tag = "5")]
    pub retry_after_s: f64,
    /// The epoch to submit to, if redirected.
    #[prost(uint64, tag = "6")]
    pub redirect_epoch: u64,
    /// FNV-1a hash of the class and payload that the outcome belongs to, so that a late duplicate does not
    /// answer a different request with the same id.
    #[prost(uint64, tag = "7")]
    pub request_fingerprint: u64,
}

/// Paxos phase 2a: asks an acceptor to accept a record under a ballot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The leader's ballot.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The sequence number of this write.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// When the message was sent, on the leader's clock; echoed in the answer.
    #[prost(uint64, tag = "5")]
    pub sent_us: u64,
    /// The time left until the client's deadline, in microseconds.
    #[prost(uint64, tag = "6")]
    pub remaining_us: u64,
    /// The complete record; [`Message::from_bytes`] rejects an accept without one.
    #[prost(message, optional, tag = "7")]
    pub record: Option<Record>,
}

/// The answer to an [`Accept`] that was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The ballot of the [`Accept`].
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The sequence number of the write that the acceptor holds now: a later one if this write was overtaken.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// The `sent_us` of the [`Accept`].
    #[prost(uint64, tag = "5")]
    pub sent_us: u64,
}

/// Paxos phase 1a: asks an acceptor to promise a ballot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The proposer's ballot.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The class of the query, which determines the group.
    #[prost(uint32, tag = "4")]
    pub class: u32,
    /// The time left until the client's deadline, in microseconds.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
}

/// The answer to a [`Prepare`] whose ballot was promised.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Promised {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The promised ballot.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The ballot under which `record` was accepted.
    #[prost(uint64, tag = "4")]
    pub accepted_ballot: u64,
    /// The sequence number of the write that contained `record`.
    #[prost(uint64, tag = "5")]
    pub seq: u64,
    /// The record that was accepted last; `None` if there is none.
    #[prost(message, optional, tag = "6")]
    pub record: Option<Record>,
}

/// A prepare or an accept under `ballot` was rejected: another ballot is promised, a lease is valid, or there
/// is no capacity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rejected {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The rejected ballot.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The promised ballot, if that is the reason.
    #[prost(uint64, tag = "4")]
    pub promised: u64,
    /// Remaining duration of the lease, in microseconds, if that is the reason.
    #[prost(uint64, tag = "5")]
    pub wait_us: u64,
    /// Whether the acceptor has no capacity for the work item.
    #[prost(bool, tag = "6")]
    pub at_capacity: bool,
}

/// An outcome that a majority holds; it never changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Decided {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The outcome, unless `failed` is set.
    #[prost(bytes = "bytes", tag = "3")]
    pub outcome: Bytes,
    /// Whether the work item ended without an outcome.
    #[prost(bool, tag = "4")]
    pub failed: bool,
    /// The opening that the outcome belongs to.
    #[prost(uint64, tag = "5")]
    pub opening_id: u64,
}

/// An owner renews its lease with an acceptor, for all work items together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Renew {
    /// When the message was sent, on the owner's clock; echoed in the answer.
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
}

/// Asks a member of an earlier epoch's group never to open this id in that epoch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fence {
    /// The epoch to fence.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id to fence.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The class of the query, which determines the group.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The time left until the client's deadline, in microseconds.
    #[prost(uint64, tag = "4")]
    pub remaining_us: u64,
}

/// The answer to a [`Fence`]. The id is fenced unless one of the flags is set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fenced {
    /// The epoch of the fence.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id of the fence.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Whether the member holds a record of the id, and therefore has not fenced it.
    #[prost(bool, tag = "3")]
    pub exists: bool,
    /// Whether the member has no capacity, and therefore has not fenced the id.
    #[prost(bool, tag = "4")]
    pub at_capacity: bool,
}

/// Reasons why a message is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message exceeds [`MAX_MESSAGE_BYTES`]; contains its size in bytes.
    #[error("message too large: {0} bytes, limit {max}", max = MAX_MESSAGE_BYTES)]
    TooLong(usize),
    /// The message cannot be decoded; contains the decoder's error.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message kind is unknown; a later version may have sent it.
    #[error("unknown message kind")]
    UnknownKind,
    /// A field is invalid; contains which one and why.
    #[error("invalid message: {0}")]
    InvalidField(&'static str),
}

impl From<Body> for Message {
    fn from(body: Body) -> Message {
        Message { body: Some(body) }
    }
}

impl Message {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes one complete message and validates its fields.
    ///
    /// # Errors
    ///
    /// Returns a [`MessageError`] if the message exceeds [`MAX_MESSAGE_BYTES`], is malformed, is of an
    /// unknown kind, or has an invalid field.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        let message = Message::decode(bytes).map_err(|e| MessageError::Malformed(e.to_string()))?;
        message.body.as_ref().ok_or(MessageError::UnknownKind)?.validate()?;
        Ok(message)
    }
}

impl Body {
    /// Returns the epoch and id of the work item; `None` for renewals, which cover all work items.
    pub fn work(&self) -> Option<(u64, &str)> {
        Some(match self {
            Body::Submit(m) => (m.epoch, &m.id),
            Body::SubmitReply(m) => (m.epoch, &m.id),
            Body::Accept(m) => (m.epoch, &m.id),
            Body::Accepted(m) => (m.epoch, &m.id),
            Body::Prepare(m) => (m.epoch, &m.id),
            Body::Promised(m) => (m.epoch, &m.id),
            Body::Rejected(m) => (m.epoch, &m.id),
            Body::Decided(m) => (m.epoch, &m.id),
            Body::Fence(m) => (m.epoch, &m.id),
            Body::Fenced(m) => (m.epoch, &m.id),
            Body::Renew(_) | Body::Renewed(_) => return None,
        })
    }

    fn validate(&self) -> Result<(), MessageError> {
        if self.work().is_some_and(|(_, id)| id.is_empty() || id.len() > MAX_ID_BYTES) {
            return Err(MessageError::InvalidField("id is empty or too long"));
        }
        let record = match self {
            Body::Accept(m) => Some(m.record.as_ref().ok_or(MessageError::InvalidField("no record"))?),
            Body::Promised(m) => m.record.as_ref(),
            Body::Submit(m) if m.shards.len() > MAX_PARTS => {
                return Err(MessageError::InvalidField("too many parts"))
            }
            _ => None,
        };
        record.and_then(Record::validation_error).map_or(Ok(()), |e| Err(MessageError::InvalidField(e)))
    }
}
