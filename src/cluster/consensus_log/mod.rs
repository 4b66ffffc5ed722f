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
pub use command::{voter, Command, FormError, ProposalId, Seat};
pub use frame::ReceiveError;
pub use membership::{Outcome, Refusal, Roster, MOST_EPOCHS, MOST_MEMBERS, MOST_VOTERS};
pub use node::Log;
pub use stored::{Batch, Hard, Stored};

/// A name on a disk: who this voter is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    pub name: Rc<str>,
    pub disk: u64,
}

/// Bounds. Sizes are bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// One message. A snapshot is one message: its state has to fit.
    pub frame: usize,
    /// One command, encoded.
    pub command: usize,
    /// Commands proposed here and not agreed on yet.
    pub under_way: usize,
    /// All entries that are held. Proposals are refused beyond it until a snapshot lets older ones go.
    pub held: usize,
    /// Entries that stay behind a snapshot, for members that are a little behind. A snapshot is asked for after as many
    /// further ones.
    pub keep: u64,
    /// Ticks without a leader until an election, at least; twice as many at most.
    pub election: usize,
    pub heartbeat: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            frame: 1 << 20,
            command: 256 << 10,
            under_way: 4 << 20,
            held: 64 << 20,
            keep: 1024,
            election: 10,
            heartbeat: 2,
        }
    }
}

/// What is to be done, in this order.
#[derive(Debug, PartialEq)]
pub enum LogAct {
    /// Durable before the next act is begun. Where it fails, nothing that follows may be done, and the log is let go:
    /// it has already gone on in memory.
    Persist(Batch),
    Send {
        to: Rc<str>,
        bytes: Vec<u8>,
    },
    /// The state at this index takes the place of whatever was applied: after a start, or for a member that was behind.
    /// `others` is what [`Log::compact`] was given.
    Restored {
        index: u64,
        roster: Roster,
        others: Vec<u8>,
    },
    /// Agreed on. Each member applies the same in the same order; after a restart those since the snapshot come again.
    Applied {
        index: u64,
        proposal: ProposalId,
        command: Command,
        outcome: Outcome,
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
    Busy,
    /// Too much is under way, or held.
    Full,
    Large {
        bytes: usize,
        most: usize,
    },
    /// It would change nothing, and why.
    Pointless(Outcome),
    Stopped(String),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader { leader: Some(name) } => write!(f, "{name} leads"),
            ProposeError::NotLeader { leader: None } => f.write_str("no leader is known"),
            ProposeError::Busy => f.write_str("a change of voters is under way"),
            ProposeError::Full => f.write_str("too many proposals are under way or held"),
            ProposeError::Large { bytes, most } => write!(f, "{bytes} bytes, {most} at most"),
            ProposeError::Pointless(Outcome::Refused(why)) => write!(f, "{why}"),
            ProposeError::Pointless(_) => f.write_str("it stands already"),
            ProposeError::Stopped(why) => write!(f, "stopped: {why}"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// What was stored is no log of this voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredError {
    Form(FormError),
    /// Entries with a gap, or out of order.
    Gap(u64),
    /// Agreed on up to here, and the entries end before.
    Missing(u64),
    Voters,
    Limits(String),
}

impl fmt::Display for StoredError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoredError::Form(e) => write!(f, "the stored log: {e}"),
            StoredError::Gap(index) => write!(f, "the stored log has a gap at {index}"),
            StoredError::Missing(index) => {
                write!(f, "the stored log ends before {index}, which was agreed on")
            }
            StoredError::Voters => f.write_str("the stored log has impossible voters"),
            StoredError::Limits(why) => write!(f, "limits of the log: {why}"),
        }
    }
}

impl std::error::Error for StoredError {}

impl From<FormError> for StoredError {
    fn from(e: FormError) -> StoredError {
        StoredError::Form(e)
    }
}

/// A state that is not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompactError {
    Large {
        bytes: usize,
        most: usize,
    },
    /// Acts are waiting: the state given can't be that after all of them.
    NotNow,
    Form(FormError),
}

impl fmt::Display for CompactError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CompactError::Large { bytes, most } => write!(f, "a state of {bytes} bytes, {most} at most"),
            CompactError::NotNow => f.write_str("acts of the log are waiting"),
            CompactError::Form(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for CompactError {}
