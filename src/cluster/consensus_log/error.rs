//! Why a message, a proposal, stored data or a snapshot is not accepted. Nothing has changed when one of
//! these comes back.
use std::rc::Rc;

use super::codec::DecodeError;
use super::frame;
use super::membership::CommandOutcome;

/// A message that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// Larger than [`super::Limits::max_frame_bytes`]; it was not decoded.
    #[error("{bytes} bytes, {max_bytes} at most")]
    TooLarge {
        /// Size of the message.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// Shorter than a frame's header; its size in bytes.
    #[error("{0} bytes are no message")]
    TooShort(usize),
    /// Of another version of the program; its version.
    #[error("version {0}, {known} is known", known = frame::VERSION)]
    UnsupportedVersion(u8),
    /// Of another cluster; that cluster's id.
    #[error("of cluster {0:x}")]
    OtherCluster(u64),
    /// The checksum over the bytes does not match.
    #[error("corrupted in transit")]
    Corrupt,
    /// Not a Raft message; why.
    #[error("undecodable: {0}")]
    Undecodable(String),
    /// A type that members do not send to each other; which one.
    #[error("{0} is not for members to send")]
    UnexpectedType(String),
    /// For another voter, most likely an earlier disk of this member; that voter's id.
    #[error("for voter {0:x}")]
    OtherRecipient(u64),
    /// A field has a value that no voter sends; which one.
    #[error("no voter sends {0}")]
    InvalidField(&'static str),
    /// It contradicts the local log; how.
    #[error("contradicts the local log: {0}")]
    ContradictsLog(&'static str),
    /// Raft itself rejected it; why.
    #[error("rejected: {0}")]
    Rejected(String),
    /// This voter has stopped; why.
    #[error("stopped: {0}")]
    Stopped(String),
}

/// A proposal that was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Only the leader proposes.
    #[error("{}", leader.as_ref().map_or("no leader is known".into(), |name| format!("{name} leads")))]
    NotLeader {
        /// The leader's name, where this voter knows one.
        leader: Option<Rc<str>>,
    },
    /// Another change of voters has not finished.
    #[error("a change of voters is in progress")]
    MembershipChangePending,
    /// [`super::Limits::max_uncommitted_bytes`] or [`super::Limits::max_log_bytes`] is reached.
    #[error("too many proposals are in flight or retained")]
    CapacityExceeded,
    /// Larger than [`super::Limits::max_command_bytes`].
    #[error("{bytes} bytes, {max_bytes} at most")]
    TooLarge {
        /// Size of the encoded command.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// It would change nothing: the outcome that it would have.
    #[error("{}", no_effect(.0))]
    NoEffect(CommandOutcome),
    /// This voter has stopped; why.
    #[error("stopped: {0}")]
    Stopped(String),
}

fn no_effect(outcome: &CommandOutcome) -> String {
    match outcome {
        CommandOutcome::Rejected(reason) => reason.to_string(),
        _ => "it is in effect already".to_string(),
    }
}

/// Stored data from which this voter can't go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The snapshot or an entry is malformed.
    #[error("the stored log: {0}")]
    Codec(#[from] DecodeError),
    /// Entries with a gap, or out of order, at this index.
    #[error("the stored log has a gap at {0}")]
    Gap(u64),
    /// The entries end before this index, which was committed.
    #[error("the stored log ends before {0}, which was committed")]
    MissingEntries(u64),
    /// The snapshot's voters and learners are a set that Raft does not accept.
    #[error("the stored log has impossible voters")]
    InvalidVoters,
    /// The [`super::Limits`] contradict each other; how.
    #[error("limits of the log: {0}")]
    InvalidLimits(String),
}

/// A snapshot that was not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompactError {
    /// It does not fit into one message.
    #[error("a state of {bytes} bytes, {max_bytes} at most")]
    TooLarge {
        /// Size of the snapshot.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// Actions have not been taken with [`super::ConsensusLog::ready`] yet, so the given state can't include
    /// them.
    #[error("actions of the log are pending")]
    ActionsPending,
    /// The snapshot can't be encoded.
    #[error("{0}")]
    Codec(DecodeError),
}
