//! Log entries, closed-timestamp promises and snapshots as bytes: Protocol Buffers, bounded before they are decoded and
//! checked after. What is malformed, of another format or impossible is an error and changes nothing.
//!
//! Stored and sent forms: a tag, a type or an enum number never changes (`tests/golden_wire/` holds their bytes).
use prost::Message;

use super::change::Entry;
use super::closed_timestamp::ClosedTimestampPromise;
use super::error::PlanError;

mod convert;
mod messages;
mod snapshot;

/// The largest encoded entry: a frame between members.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;

/// The largest snapshot: a million tiles with two servers each take about a fifth of it.
pub const MAX_SNAPSHOT_BYTES: usize = 512 << 20;

/// The largest promise: three numbers and a timestamp take less.
const MAX_PROMISE_BYTES: usize = 64;

/// Why bytes were not read, or not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Longer than is read or sent.
    #[error("{bytes} bytes, and {max} at most are read")]
    TooLong {
        /// Their length, in bytes.
        bytes: usize,
        /// The longest that is read, in bytes.
        max: usize,
    },
    /// No Protocol Buffers message of the expected kind; with the decoder's reason.
    #[error("malformed: {0}")]
    Malformed(String),
    /// A snapshot of another format than the one that is read here.
    #[error("format {0}, and {FORMAT} is read", FORMAT = snapshot::FORMAT)]
    UnknownFormat(u32),
    /// The checksum of a snapshot does not fit its bytes.
    #[error("malformed: the checksum does not fit")]
    ChecksumMismatch,
    /// A message that decodes and makes no sense; with the field at fault.
    #[error("{0} is not possible")]
    Invalid(&'static str),
    /// The changes of a snapshot do not fit each other.
    #[error("a change in the snapshot: {0}")]
    Plan(PlanError),
}

fn decode<M: Message + Default>(bytes: &[u8], max: usize) -> Result<M, WireError> {
    if bytes.len() > max {
        return Err(WireError::TooLong { bytes: bytes.len(), max });
    }
    M::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))
}

impl Entry {
    /// The entry as bytes, for the replicated log.
    ///
    /// # Errors
    /// [`WireError::TooLong`] for one over [`MAX_ENTRY_BYTES`], since no member would read it.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let bytes = messages::Entry { kind: Some(convert::encode_entry(self)) }.encode_to_vec();
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(WireError::TooLong { bytes: bytes.len(), max: MAX_ENTRY_BYTES });
        }
        Ok(bytes)
    }

    /// Reads an entry. Whether it may be applied is the state machine's decision.
    ///
    /// # Errors
    /// Bytes that are too long, malformed, or of an unknown kind.
    pub fn decode(bytes: &[u8]) -> Result<Entry, WireError> {
        let entry: messages::Entry = decode(bytes, MAX_ENTRY_BYTES)?;
        convert::decode_entry(entry.kind.ok_or(WireError::Invalid("an empty entry"))?)
    }
}

impl ClosedTimestampPromise {
    /// The promise as bytes, for the messages between members.
    pub fn encode(&self) -> Vec<u8> {
        let closed = Some(convert::encode_timestamp(self.closed));
        messages::ClosedTimestampPromise { lease: self.lease, index: self.index, closed }.encode_to_vec()
    }

    /// Reads a promise.
    ///
    /// # Errors
    /// Bytes that are too long or malformed.
    pub fn decode(bytes: &[u8]) -> Result<ClosedTimestampPromise, WireError> {
        let promise: messages::ClosedTimestampPromise = decode(bytes, MAX_PROMISE_BYTES)?;
        let closed = convert::decode_timestamp(promise.closed);
        Ok(ClosedTimestampPromise { lease: promise.lease, index: promise.index, closed })
    }
}
