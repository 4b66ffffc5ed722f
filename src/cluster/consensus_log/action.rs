//! What the log asks its caller to do.
use std::rc::Rc;

use super::command::{Command, ProposalId};
use super::membership::{CommandOutcome, Membership};
use super::stored::WriteBatch;

/// One action of [`super::ConsensusLog::ready`]. Actions are carried out in the order of that list.
#[derive(Debug, PartialEq)]
pub enum LogAction {
    /// Make this durable before the next action is started. Where that fails, none of the following actions
    /// may be done, and the log is dropped: it has already gone on in memory.
    Persist(WriteBatch),
    /// Send `bytes` to a member. The message may be lost, repeated or reordered.
    Send {
        /// The member's name.
        to: Rc<str>,
        /// One complete message.
        bytes: Vec<u8>,
    },
    /// The state at this index replaces whatever was applied: after a start, or at a member that was behind.
    Restored {
        /// Index of the last entry that the state includes.
        index: u64,
        /// The membership at that index.
        membership: Membership,
        /// What [`super::ConsensusLog::compact`] was given.
        application_state: Vec<u8>,
    },
    /// A committed command. Each member applies the same ones in the same order; after a restart those since
    /// the snapshot come again.
    Applied {
        /// Index of its entry.
        index: u64,
        /// Who proposed it.
        proposal: ProposalId,
        /// The command.
        command: Command,
        /// What it did to the membership.
        outcome: CommandOutcome,
    },
    /// Call [`super::ConsensusLog::compact`] with the state of the other parts after everything that was
    /// applied.
    Compact,
    /// This voter became the leader, or is it no longer.
    LeadershipChanged {
        /// Which of the two.
        is_leader: bool,
    },
    /// This voter can't go on, and why. Nothing further comes from this log.
    Stopped(String),
}
