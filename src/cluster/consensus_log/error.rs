//! Error types for messages, proposals, stored data and snapshots that are rejected. The state is unchanged
//! whenever one of these is returned.
use std::rc::Rc;

use super::codec::DecodeError;
use super::frame;
use super::membership::CommandOutcome;

/// Reasons why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The message exceeds [`super::Limits::max_frame_bytes`] and was not decoded.
    #[error("message too large: {bytes} bytes, limit {max_bytes}")]
    TooLarge {
        /// Size of the message, in bytes.
        bytes: usize,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The message is shorter than a frame's header; contains its size in bytes.
    #[error("message too short: {0} bytes")]
    TooShort(usize),
    /// The frame was written by another version of the program; contains that version.
    #[error("unsupported frame version {0}, expected {known}", known = frame::VERSION)]
    UnsupportedVersion(u8),
    /// The message belongs to another cluster; contains that cluster's id.
    #[error("message belongs to another cluster, {0:x}")]
    OtherCluster(u64),
    /// The checksum does not match the bytes.
    #[error("checksum mismatch")]
    Corrupt,
    /// The bytes are not a Raft message; contains the decoder's error.
    #[error("cannot decode message: {0}")]
    Undecodable(String),
    /// Members do not send messages of this type; contains the type.
    #[error("unexpected message type {0}")]
    UnexpectedType(String),
    /// The message is addressed to another voter, most likely an earlier disk of this member; contains that
    /// voter's id.
    #[error("message is addressed to another voter, {0:x}")]
    OtherRecipient(u64),
    /// A field has a value that no voter sends; contains a description.
    #[error("invalid field: {0}")]
    InvalidField(&'static str),
    /// The message contradicts the local log; contains a description.
    #[error("contradicts the local log: {0}")]
    ContradictsLog(&'static str),
    /// The `raft` crate rejected the message; contains its error.
    #[error("rejected by Raft: {0}")]
    Rejected(String),
    /// This voter has stopped; contains the reason.
    #[error("stopped: {0}")]
    Stopped(String),
}

/// Reasons why a proposal is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This voter is not the leader.
    #[error(
        "{}",
        leader.as_ref().map_or(
            "not the leader; no leader is known".into(),
            |name| format!("not the leader; {name} is the leader")
        )
    )]
    NotLeader {
        /// The leader's name, if this voter knows it.
        leader: Option<Rc<str>>,
    },
    /// Another membership change is in progress.
    #[error("another membership change is in progress")]
    MembershipChangePending,
    /// The limit [`super::Limits::max_uncommitted_bytes`] or [`super::Limits::max_log_bytes`] is reached.
    #[error("limit on uncommitted or retained log entries reached")]
    CapacityExceeded,
    /// The command exceeds [`super::Limits::max_command_bytes`].
    #[error("command too large: {bytes} bytes, limit {max_bytes}")]
    TooLarge {
        /// Size of the encoded command, in bytes.
        bytes: usize,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The command would change nothing; contains the outcome it would have.
    #[error("{}", no_effect(.0))]
    NoEffect(CommandOutcome),
    /// This voter has stopped; contains the reason.
    #[error("stopped: {0}")]
    Stopped(String),
}

fn no_effect(outcome: &CommandOutcome) -> String {
    match outcome {
        CommandOutcome::Rejected(reason) => reason.to_string(),
        _ => "the command is already in effect".to_string(),
    }
}

/// Reasons why a voter cannot resume from its stored data.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The snapshot or an entry is malformed.
    #[error("invalid stored log: {0}")]
    Codec(#[from] DecodeError),
    /// The entries have a gap or are out of order at this index.
    #[error("stored log has a gap at index {0}")]
    Gap(u64),
    /// The entries end before this index, which was committed.
    #[error("stored log ends before the committed index {0}")]
    MissingEntries(u64),
    /// Raft does not accept the snapshot's set of voters and learners.
    #[error("stored log has an invalid set of voters")]
    InvalidVoters,
    /// The [`super::Limits`] contradict each other; contains a description.
    #[error("invalid log limits: {0}")]
    InvalidLimits(String),
}

/// Reasons why a snapshot was not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompactError {
    /// The snapshot does not fit into one message.
    #[error("snapshot too large: {bytes} bytes, limit {max_bytes}")]
    TooLarge {
        /// Size of the snapshot, in bytes.
        bytes: usize,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// Some actions have not been taken with [`super::ConsensusLog::ready`] yet, so the given state cannot
    /// include them.
    #[error("log actions are pending")]
    ActionsPending,
    /// The snapshot cannot be encoded.
    #[error("{0}")]
    Codec(DecodeError),
}
