//! The messages between members about work items, and their bounds before and after decoding.
//!
//! The prost tags and types are the wire format and stay. Spans are in microseconds; a time in one of these
//! messages is the sender's own monotonic clock and means nothing to anybody else.
use bytes::Bytes;
use prost::Message as _;

use super::record::{Record, MAX_ID_BYTES, MAX_PARTS};

/// The largest message, encoded: a record at its bound, and its envelope.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// One message. `body` is `None` if a later version sent a kind that is not known here.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The kind and its fields.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A client's request, forwarded to a member of the group.
    #[prost(message, tag = "1")]
    Submit(ForwardedSubmit),
    /// The answer to that.
    #[prost(message, tag = "2")]
    SubmitReply(SubmitReply),
    /// Paxos phase 2: write this record.
    #[prost(message, tag = "3")]
    Accept(Accept),
    /// The record was written.
    #[prost(message, tag = "4")]
    Accepted(Accepted),
    /// Paxos phase 1: promise this ballot.
    #[prost(message, tag = "5")]
    Prepare(Prepare),
    /// The ballot was promised.
    #[prost(message, tag = "6")]
    Promised(Promised),
    /// A prepare or an accept was rejected.
    #[prost(message, tag = "7")]
    Rejected(Rejected),
    /// The outcome that a majority holds.
    #[prost(message, tag = "8")]
    Decided(Decided),
    /// An owner renews its lease, for all work items together.
    #[prost(message, tag = "9")]
    Renew(Renew),
    /// The answer to that, with the same time.
    #[prost(message, tag = "10")]
    Renewed(Renew),
    /// Never open this id in an earlier epoch.
    #[prost(message, tag = "11")]
    Fence(Fence),
    /// The answer to that.
    #[prost(message, tag = "12")]
    Fenced(Fenced),
}

/// A client's request, forwarded to a member of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedSubmit {
    /// The epoch whose group is asked.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The client's id of the work item.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The class of the query.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The client's deadline, Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub deadline_unix_ms: u64,
    /// The time left until that deadline.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
    /// What an executor needs to run it.
    #[prost(bytes = "bytes", tag = "6")]
    pub payload: Bytes,
    /// The shards of step 0.
    #[prost(uint32, repeated, tag = "7")]
    pub shards: Vec<u32>,
}

/// What became of a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum SubmitStatus {
    /// It is being worked on; the outcome follows.
    InProgress = 0,
    /// It has an outcome.
    Outcome = 1,
    /// Its id is in use with another payload or class.
    IdConflict = 2,
    /// There is no capacity for it.
    Rejected = 3,
    /// There is no capacity for it, and its class says that it then runs without protection.
    Unprotected = 4,
    /// It ended without an outcome.
    Failed = 5,
    /// To be submitted to the group of `redirect_epoch`.
    Redirected = 6,
}

/// The answer to a [`ForwardedSubmit`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitReply {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// A [`SubmitStatus`].
    #[prost(enumeration = "SubmitStatus", tag = "3")]
    pub status: i32,
    /// The outcome, if the status says that there is one.
    #[prost(bytes = "bytes", tag = "4")]
    pub outcome: Bytes,
    /// When a rejected client may retry, in seconds.
    #[prost(double, tag = "5")]
    pub retry_after_s: f64,
    /// The epoch to submit to instead, if redirected.
    #[prost(uint64, tag = "6")]
    pub redirect_epoch: u64,
    /// FNV-1a of class and payload that the outcome belongs to: a late repeat must not answer another request
    /// under this id.
    #[prost(uint64, tag = "7")]
    pub request_fingerprint: u64,
}

/// Paxos phase 2: write this record under a ballot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The leader's ballot.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The number of this write.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// When it was sent, on the leader's clock; the answer returns it.
    #[prost(uint64, tag = "5")]
    pub sent_us: u64,
    /// The time left until the client's deadline.
    #[prost(uint64, tag = "6")]
    pub remaining_us: u64,
    /// The whole record; [`Message::from_bytes`] takes none without.
    #[prost(message, optional, tag = "7")]
    pub record: Option<Record>,
}

/// The answer to an [`Accept`] that was written.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The ballot of the accept.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The write that is held now: a later one if this was overtaken.
    #[prost(uint64, tag = "4")]
    pub seq: u64,
    /// The time of the accept.
    #[prost(uint64, tag = "5")]
    pub sent_us: u64,
}

/// Paxos phase 1: promise this ballot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Prepare {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The proposer's ballot.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The class of the query, which determines the group.
    #[prost(uint32, tag = "4")]
    pub class: u32,
    /// The time left until the client's deadline.
    #[prost(uint64, tag = "5")]
    pub remaining_us: u64,
}

/// The answer to a [`Prepare`] whose ballot was promised.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Promised {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The ballot that was promised.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The ballot under which `record` was accepted.
    #[prost(uint64, tag = "4")]
    pub accepted_ballot: u64,
    /// The write that brought `record`.
    #[prost(uint64, tag = "5")]
    pub seq: u64,
    /// What was accepted last; `None` if nothing was.
    #[prost(message, optional, tag = "6")]
    pub record: Option<Record>,
}

/// A prepare or an accept under `ballot` was rejected: another ballot is promised, a lease holds, or there is
/// no capacity.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rejected {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The ballot that was rejected.
    #[prost(uint64, tag = "3")]
    pub ballot: u64,
    /// The ballot that is promised, if that is the reason.
    #[prost(uint64, tag = "4")]
    pub promised: u64,
    /// How much longer a lease holds, if that is the reason.
    #[prost(uint64, tag = "5")]
    pub wait_us: u64,
    /// The acceptor has no capacity for it.
    #[prost(bool, tag = "6")]
    pub at_capacity: bool,
}

/// An outcome that a majority holds: it never changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Decided {
    /// The epoch of the work item.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Its id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The outcome, unless it failed.
    #[prost(bytes = "bytes", tag = "3")]
    pub outcome: Bytes,
    /// It ended without an outcome.
    #[prost(bool, tag = "4")]
    pub failed: bool,
    /// Of which opening it is the outcome.
    #[prost(uint64, tag = "5")]
    pub opening_id: u64,
}

/// An owner renews its lease with an acceptor, for all work items together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Renew {
    /// When it was sent, on the owner's clock; the answer returns it.
    #[prost(uint64, tag = "1")]
    pub sent_us: u64,
}

/// Asks a member of an earlier epoch's group never to open this id in that epoch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fence {
    /// The epoch to fence.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The class of the query, which determines the group.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The time left until the client's deadline.
    #[prost(uint64, tag = "4")]
    pub remaining_us: u64,
}

/// The answer to a [`Fence`]: it is fenced, unless one of the flags is set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fenced {
    /// The epoch of the fence.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The member holds a record of the id, and has fenced nothing.
    #[prost(bool, tag = "3")]
    pub exists: bool,
    /// The member has no capacity, and has fenced nothing.
    #[prost(bool, tag = "4")]
    pub at_capacity: bool,
}

/// Why a message is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It is longer than [`MAX_MESSAGE_BYTES`]; its length in bytes.
    #[error("a message of {0} bytes, over {max}", max = MAX_MESSAGE_BYTES)]
    TooLong(usize),
    /// It cannot be decoded.
    #[error("a message that cannot be read: {0}")]
    Malformed(String),
    /// It holds no kind that is known here; a later version may have sent it.
    #[error("a message of no known kind")]
    UnknownKind,
    /// A field is out of bounds; which, and how.
    #[error("a message with {0}")]
    InvalidField(&'static str),
}

impl From<Body> for Message {
    fn from(body: Body) -> Message {
        Message { body: Some(body) }
    }
}

impl Message {
    /// The encoded message.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes one complete message and checks its bounds.
    ///
    /// # Errors
    ///
    /// It is over [`MAX_MESSAGE_BYTES`], malformed, of no known kind, or has a field out of bounds.
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
    /// The epoch and the id of its work item; `None` for renewals, which are for all.
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
            return Err(MessageError::InvalidField("an id that is empty or too long"));
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
