//! The commands in the log, and the identity of a voter. Their encoding is in `codec`.
use std::rc::Rc;

use super::hash::{fnv1a, splitmix64};
use crate::cluster::{Member, MemberId};

/// A member together with the disk that it votes from.
///
/// The incarnation in `member` identifies a process and ends with it. The disk id identifies a store and ends
/// with its file. A Raft voter is one name on one disk: a process that restarts with its disk is the same
/// voter, one that returns without it is a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Name, incarnation, zone and address.
    pub member: Member,
    /// The disk's id, drawn when the store's file was created.
    pub disk_id: u64,
}

impl Voter {
    /// Returns the id of this voter in Raft; see [`voter_id`].
    pub fn voter_id(&self) -> u64 {
        voter_id(&self.member.id.name, self.disk_id)
    }
}

/// Returns the Raft id of `name` on the disk `disk_id`: a different disk is a different voter. Never 0, which
/// Raft interprets as no voter.
pub fn voter_id(name: &str, disk_id: u64) -> u64 {
    splitmix64(fnv1a(name.as_bytes()) ^ splitmix64(disk_id)).max(1)
}

/// The command in an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Makes this incarnation a member. It replaces the earlier incarnation with the same name.
    Admit {
        /// The member to admit, with its disk.
        voter: Voter,
        /// The newest epoch known to the proposer. If another incarnation of the name was admitted after it,
        /// the command is rejected.
        known_epoch: u64,
    },
    /// Removes this incarnation from the members.
    Leave(MemberId),
    /// Closes this epoch and all earlier ones, because all work started in them has finished.
    CloseEpoch(u64),
    /// An encoded shard layout; opaque here.
    Layout(Rc<[u8]>),
    /// An encoded rollout plan; opaque here.
    Plan(Rc<[u8]>),
    /// Closes this hybrid timestamp: no write at or below it is accepted any more.
    ClosedTimestamp {
        /// Milliseconds since the Unix epoch.
        ms: u64,
        /// The counter within that millisecond.
        logical: u32,
    },
}

/// Identifies a proposal by its proposer and a sequence number that the proposer uses only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The proposer's [`voter_id`].
    pub proposer: u64,
    /// Sequence number that increases with each proposal of this proposer, across restarts too.
    pub sequence: u64,
}
