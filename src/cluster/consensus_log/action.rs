//! Actions that the log asks its caller to carry out.
use std::rc::Rc;

use super::command::{Command, ProposalId};
use super::membership::{CommandOutcome, Membership};
use super::stored::WriteBatch;

/// An action returned by [`super::ConsensusLog::ready`]. Actions must be carried out in order.
#[derive(Debug, PartialEq)]
pub enum LogAction {
    /// Make this batch durable before starting the next action. If that fails, none of the following actions
    /// may be carried out and the log must be dropped, because its state in memory is already ahead.
    Persist(WriteBatch),
    /// Send `bytes` to a member. The message may be lost, duplicated or reordered.
    Send {
        /// The member's name.
        to: Rc<str>,
        /// One complete message.
        bytes: Vec<u8>,
    },
    /// The state at this index replaces everything applied so far: after a start, or at a member that lagged
    /// behind.
    Restored {
        /// Index of the last entry that the state includes.
        index: u64,
        /// The membership at that index.
        membership: Membership,
        /// The state that was passed to [`super::ConsensusLog::compact`].
        application_state: Vec<u8>,
    },
    /// A command was committed. Each member applies the same commands in the same order. After a restart,
    /// those since the last snapshot are returned again.
    Applied {
        /// Index of its entry.
        index: u64,
        /// The proposal that the entry contains.
        proposal: ProposalId,
        /// The command.
        command: Command,
        /// The effect on the membership.
        outcome: CommandOutcome,
    },
    /// Call [`super::ConsensusLog::compact`] with the state of the other components after everything applied
    /// so far.
    Compact,
    /// This voter became the leader, or ceased to be the leader.
    LeadershipChanged {
        /// Whether it is the leader now.
        is_leader: bool,
    },
    /// This voter cannot continue, for this reason. The log returns no further actions.
    Stopped(String),
}
