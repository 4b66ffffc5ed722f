//! The replicated log of the cluster's configurations, shard layouts and plans: a state machine without I/O,
//! clock or randomness around the crate `raft` ([Raft](https://raft.github.io/raft.pdf), with pre-vote, check
//! of the quorum and joint changes of voters). Ticks, messages and proposals come in, [`LogAction`]s go out.
//!
//! It owns the order of the commands, the membership that they define, and what a voter may promise. It never
//! writes a file, opens a connection or interprets a layout or plan. `docs/design-log.md` gives the argument.
//!
//! Invariants, each with the place that keeps it:
//! - a vote, a term and an entry are durable before a message that depends on them is sent: [`ConsensusLog::ready`]
//!   gives [`LogAction::Persist`] first, and the caller keeps its order and stops for good where one fails;
//! - a voter is one name on one disk ([`voter_id`]): a process that comes back without its disk is another voter, which
//!   a joint change takes in before it has a vote;
//! - one configuration per epoch, and an epoch is the index of its entry ([`Membership`]);
//! - a peer's message is bounded before it is decoded (`frame`) and checked against the local log before it is stepped
//!   (`message_check`);
//! - the same events have the same effect: the crate's random election timeouts are replaced after each step by numbers
//!   that voter, term and role give.
#![warn(missing_docs)]

mod action;
mod codec;
mod command;
mod error;
mod frame;
mod hash;
mod membership;
mod message_check;
mod node;
mod storage;
mod stored;

use std::rc::Rc;

pub use action::LogAction;
pub use codec::{decode_command, encode_command, DecodeError};
pub(super) use codec::{decode_voter, encode_voter, wire};
pub use command::{voter_id, Command, ProposalId, Voter};
pub use error::{CompactError, ProposeError, ReceiveError, RecoveryError};
pub(super) use hash::{fnv, mix};
pub use membership::{
    CommandOutcome, Membership, RaftIds, RejectionReason, MAX_MEMBERS, MAX_OPEN_EPOCHS, MAX_VOTERS,
};
pub use node::{ConsensusLog, RetainedLog};
pub use stored::{HardState, StoredLog, WriteBatch};

/// The name and disk of the local voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The member's name.
    pub name: Rc<str>,
    /// Drawn when its store's file was created.
    pub disk_id: u64,
}

/// The bounds of a log.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Size of one message. A snapshot is one message: its state has to fit.
    pub max_frame_bytes: usize,
    /// Size of one encoded command.
    pub max_command_bytes: usize,
    /// Size of all commands that were proposed here and are not committed.
    pub max_uncommitted_bytes: usize,
    /// Memory of all retained entries. Proposals beyond it are rejected until a snapshot lets older ones go.
    pub max_log_bytes: usize,
    /// Entries that stay behind a snapshot, for members that are a little behind. After as many further
    /// entries the next snapshot is asked for.
    pub retained_entries: u64,
    /// Ticks without a leader before an election, at least; fewer than twice as many at most.
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
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
