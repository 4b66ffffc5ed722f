//! The replicated log of cluster configurations, shard layouts and plans: a state machine without I/O, clock
//! or randomness around the `raft` crate ([Raft](https://raft.github.io/raft.pdf), with pre-vote, quorum
//! checks and joint consensus). Ticks, messages and proposals go in, [`LogAction`]s come out.
//!
//! The log defines the order of commands, the membership that they result in, and what a voter may promise.
//! It never writes a file, opens a connection or interprets a layout or plan. `docs/design-log.md` gives the
//! correctness argument.
//!
//! Invariants, and where they are maintained:
//! - A vote, a term and an entry are durable before a message that depends on them is sent:
//!   [`ConsensusLog::ready`] returns [`LogAction::Persist`] first, and the caller keeps the order and stops
//!   for good if an action fails.
//! - A voter is one name on one disk ([`voter_id`]): a process that returns without its disk is another
//!   voter, which a joint configuration change must admit before it has a vote.
//! - There is one configuration per epoch, and an epoch is the index of its entry ([`Membership`]).
//! - A peer's message is limited in size before it is decoded (`frame`) and checked against the local log
//!   before it is passed to the crate (`message_check`).
//! - Equal events have equal effects: the crate's random election timeouts are replaced after each step by
//!   values derived from voter, term and role.
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
pub(super) use hash::{fnv1a, splitmix64};
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
    /// The disk's id, drawn when the store's file was created.
    pub disk_id: u64,
}

/// Limits of a log.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of one message, in bytes. A snapshot is sent as one message, so the replicated state must
    /// fit.
    pub max_frame_bytes: usize,
    /// Maximum size of one encoded command, in bytes.
    pub max_command_bytes: usize,
    /// Maximum total size of the commands that were proposed here and are not committed, in bytes.
    pub max_uncommitted_bytes: usize,
    /// Maximum memory for retained entries, in bytes. Further proposals are rejected until a snapshot allows
    /// older entries to be dropped.
    pub max_log_bytes: usize,
    /// Number of entries kept before a snapshot for members that lag slightly. The next snapshot is requested
    /// after the same number of further entries.
    pub retained_entries: u64,
    /// Minimum number of ticks without a leader before an election; the maximum is below twice this number.
    pub election_ticks: usize,
    /// Number of ticks between a leader's heartbeats.
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
