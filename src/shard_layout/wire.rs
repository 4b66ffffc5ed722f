//! The Protocol Buffers encoding of log entries, closed-timestamp promises and snapshots. Sizes are checked
//! before decoding and contents afterwards. Malformed, unsupported or inconsistent input is rejected with
//! an error and changes nothing.
//!
//! The encoding is stored and sent between members: tags, types and enum numbers must never change
//! (`tests/golden_wire/` contains reference encodings).
use prost::Message;

use super::change::Entry;
use super::closed_timestamp::ClosedTimestampPromise;
use super::error::PlanError;

mod convert;
mod messages;
mod snapshot;

/// The maximum size of an encoded entry in bytes: that of a frame between members.
pub const MAX_ENTRY_BYTES: usize = 1 << 20;

/// The maximum size of a snapshot in bytes. A million tiles with two servers each need about a fifth of it.
pub const MAX_SNAPSHOT_BYTES: usize = 512 << 20;

/// The maximum size of an encoded promise in bytes. Three numbers and a timestamp need less.
const MAX_PROMISE_BYTES: usize = 64;

/// Why encoding or decoding failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The encoding is longer than allowed.
    #[error("encoding of {bytes} bytes exceeds the limit of {max} bytes")]
    TooLong {
        /// The length, in bytes.
        bytes: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// Not a Protocol Buffers message of the expected type; contains the error of the decoder.
    #[error("malformed: {0}")]
    Malformed(String),
    /// The snapshot has an unsupported format.
    #[error("unsupported snapshot format {0}, expected {FORMAT}", FORMAT = snapshot::FORMAT)]
    UnknownFormat(u32),
    /// The checksum of a snapshot does not match its contents.
    #[error("malformed: checksum mismatch")]
    ChecksumMismatch,
    /// The message can be decoded, but its contents are invalid; describes the invalid part.
    #[error("invalid contents: {0}")]
    Invalid(&'static str),
    /// The contents of a snapshot are not a valid layout.
    #[error("invalid layout in the snapshot: {0}")]
    Plan(PlanError),
}

fn decode<M: Message + Default>(bytes: &[u8], max: usize) -> Result<M, WireError> {
    if bytes.len() > max {
        return Err(WireError::TooLong { bytes: bytes.len(), max });
    }
    M::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))
}

impl Entry {
    /// Encodes the entry for the replicated log.
    ///
    /// # Errors
    /// Returns [`WireError::TooLong`] if the encoding is longer than [`MAX_ENTRY_BYTES`], because no member
    /// would read it.
    pub fn encode(&self) -> Result<Vec<u8>, WireError> {
        let bytes = messages::Entry { kind: Some(convert::encode_entry(self)) }.encode_to_vec();
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(WireError::TooLong { bytes: bytes.len(), max: MAX_ENTRY_BYTES });
        }
        Ok(bytes)
    }

    /// Decodes an entry. Whether it can be applied is decided by the state machine.
    ///
    /// # Errors
    /// Returns an error if the bytes are too long, malformed or of an unknown kind.
    pub fn decode(bytes: &[u8]) -> Result<Entry, WireError> {
        let entry: messages::Entry = decode(bytes, MAX_ENTRY_BYTES)?;
        convert::decode_entry(entry.kind.ok_or(WireError::Invalid("entry without contents"))?)
    }
}

impl ClosedTimestampPromise {
    /// Encodes the promise for messages between members.
    pub fn encode(&self) -> Vec<u8> {
        let closed = Some(convert::encode_timestamp(self.closed));
        messages::ClosedTimestampPromise { lease: self.lease, index: self.index, closed }.encode_to_vec()
    }

    /// Decodes a promise.
    ///
    /// # Errors
    /// Returns an error if the bytes are too long or malformed.
    pub fn decode(bytes: &[u8]) -> Result<ClosedTimestampPromise, WireError> {
        let promise: messages::ClosedTimestampPromise = decode(bytes, MAX_PROMISE_BYTES)?;
        let closed = convert::decode_timestamp(promise.closed);
        Ok(ClosedTimestampPromise { lease: promise.lease, index: promise.index, closed })
    }
}
