//! Who counts is agreed: one replicated log of fleet configurations, layouts and plans. A pure machine round the crate
//! `raft`: ticks, messages and proposals come in; what is to be kept, sent and acted on goes out, in the order in which
//! it has to be done.
//!
//! Invariants, each with the place that keeps it:
//! - a vote, a term and an entry are durable before a message that rests on them goes out: [`Log::ready`] gives
//!   [`LogAct::Persist`] first, and whoever acts on the list keeps its order and stops for good where one fails;
//! - a voter is one name on one disk ([`voter`]): who comes back without its disk is another voter, and the replicated
//!   roster takes it in by a change of voters before it has a vote;
//! - one configuration an epoch: an epoch is the index of its entry ([`Roster`]);
//! - what peers send is bounded before it is decoded and held against what is here before it is stepped (`frame`).
//!
//! The crate draws its election time-outs by chance of its own. They are replaced after each step by a number that the
//! seed, the term and the role give, so that the same events have the same effect.
mod command;
mod frame;
mod membership;
mod memory;
mod node;
mod stored;

use std::fmt;
use std::rc::Rc;

pub use command::{decode as decode_command, encode as encode_command};
pub(super) use command::{fnv, form, mix, seat_in, seat_out};
pub use command::{voter_id, Command, DecodeError, ProposalId, Voter};
pub use frame::ReceiveError;
pub use membership::{CommandOutcome, Membership, RejectionReason, MAX_MEMBERS, MAX_OPEN_EPOCHS, MAX_VOTERS};
pub use node::ConsensusLog;
pub use stored::{HardState, StoredLog, WriteBatch};

/// A name on a disk: who this voter is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    pub name: Rc<str>,
    pub disk_id: u64,
}

/// Bounds. Sizes are bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// One message. A snapshot is one message: its state has to fit.
    pub max_frame_bytes: usize,
    /// One command, encoded.
    pub max_command_bytes: usize,
    /// Commands proposed here and not agreed on yet.
    pub max_uncommitted_bytes: usize,
    /// All entries that are held. Proposals are refused beyond it until a snapshot lets older ones go.
    pub max_log_bytes: usize,
    /// Entries that stay behind a snapshot, for members that are a little behind. A snapshot is asked for after as many
    /// further ones.
    pub retained_entries: u64,
    /// Ticks without a leader until an election, at least; twice as many at most.
    pub election_ticks: usize,
    pub heartbeat_ticks: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_frame_bytes: 1 << 20,
            max_command_bytes: 256 << 10,
            max_uncommitted_bytes: 4 << 20,
            max_log_bytes: 64 << 20,
            retained_entries: 1024,
            election_ticks: 10,
            heartbeat_ticks: 2,
        }
    }
}

/// What is to be done, in this order.
#[derive(Debug, PartialEq)]
pub enum LogAction {
    /// Durable before the next act is begun. Where it fails, nothing that follows may be done, and the log is let go:
    /// it has already gone on in memory.
    Persist(WriteBatch),
    Send {
        to: Rc<str>,
        bytes: Vec<u8>,
    },
    /// The state at this index takes the place of whatever was applied: after a start, or for a member that was behind.
    /// `others` is what [`Log::compact`] was given.
    Restored {
        index: u64,
        membership: Membership,
        application_state: Vec<u8>,
    },
    /// Agreed on. Each member applies the same in the same order; after a restart those since the snapshot come again.
    Applied {
        index: u64,
        proposal: ProposalId,
        command: Command,
        outcome: CommandOutcome,
    },
    /// [`Log::compact`] is wanted, with the state of the other parts as of all that was applied.
    Compact,
    Lead(bool),
    /// This voter can't go on.
    Stopped(String),
}

/// A proposal that was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    NotLeader {
        leader: Option<Rc<str>>,
    },
    /// Another change of voters is under way.
    MembershipChangePending,
    /// Too much is under way, or held.
    CapacityExceeded,
    TooLarge {
        bytes: usize,
        max_bytes: usize,
    },
    /// It would change nothing, and why.
    NoEffect(CommandOutcome),
    Stopped(String),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader { leader: Some(name) } => write!(f, "{name} leads"),
            ProposeError::NotLeader { leader: None } => f.write_str("no leader is known"),
            ProposeError::MembershipChangePending => f.write_str("a change of voters is under way"),
            ProposeError::CapacityExceeded => f.write_str("too many proposals are under way or held"),
            ProposeError::TooLarge { bytes, max_bytes } => write!(f, "{bytes} bytes, {max_bytes} at most"),
            ProposeError::NoEffect(CommandOutcome::Rejected(why)) => write!(f, "{why}"),
            ProposeError::NoEffect(_) => f.write_str("it stands already"),
            ProposeError::Stopped(why) => write!(f, "stopped: {why}"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// What was stored is no log of this voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryError {
    Codec(DecodeError),
    /// Entries with a gap, or out of order.
    Gap(u64),
    /// Agreed on up to here, and the entries end before.
    MissingEntries(u64),
    InvalidVoters,
    InvalidLimits(String),
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryError::Codec(e) => write!(f, "the stored log: {e}"),
            RecoveryError::Gap(index) => write!(f, "the stored log has a gap at {index}"),
            RecoveryError::MissingEntries(index) => {
                write!(f, "the stored log ends before {index}, which was agreed on")
            }
            RecoveryError::InvalidVoters => f.write_str("the stored log has impossible voters"),
            RecoveryError::InvalidLimits(why) => write!(f, "limits of the log: {why}"),
        }
    }
}

impl std::error::Error for RecoveryError {}

impl From<DecodeError> for RecoveryError {
    fn from(e: DecodeError) -> RecoveryError {
        RecoveryError::Codec(e)
    }
}

/// A state that is not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompactError {
    TooLarge {
        bytes: usize,
        max_bytes: usize,
    },
    /// Acts are waiting: the state given can't be that after all of them.
    ActionsPending,
    Codec(DecodeError),
}

impl fmt::Display for CompactError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CompactError::TooLarge { bytes, max_bytes } => {
                write!(f, "a state of {bytes} bytes, {max_bytes} at most")
            }
            CompactError::ActionsPending => f.write_str("acts of the log are waiting"),
            CompactError::Codec(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CompactError {}
