//! The commands that members agree on, and the identity of a voter. Their encoding is in `codec`.
use std::rc::Rc;

use super::hash::{fnv, mix};
use crate::cluster::{Member, MemberId};

/// A member together with the disk that it votes from.
///
/// The incarnation in `member` identifies a process and ends with it. The disk identifies a store and ends
/// with its file. Raft's voter is one name on one disk: a process that restarts with its disk stays the same
/// voter, one that comes back without it is a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Name, incarnation, zone and address.
    pub member: Member,
    /// Drawn when the store's file was created.
    pub disk_id: u64,
}

impl Voter {
    /// The number under which Raft knows this voter, see [`voter_id`].
    pub fn voter_id(&self) -> u64 {
        voter_id(&self.member.id.name, self.disk_id)
    }
}

/// Raft's number for `name` on the disk `disk_id`: another disk is another voter. Never 0, which Raft takes
/// for nobody.
pub fn voter_id(name: &str, disk_id: u64) -> u64 {
    mix(fnv(name.as_bytes()) ^ mix(disk_id)).max(1)
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// This incarnation is a member from now on and replaces the earlier one of its name.
    Admit {
        /// The member to admit, with its disk.
        voter: Voter,
        /// The newest epoch that the proposer knew. A proposal that was in flight while another incarnation
        /// of the name was admitted is rejected.
        known_epoch: u64,
    },
    /// This incarnation is a member no longer.
    Leave(MemberId),
    /// All work that was started in this epoch, or in an earlier one, has finished.
    CloseEpoch(u64),
    /// An encoded shard layout; opaque here.
    Layout(Rc<[u8]>),
    /// An encoded rollout plan; opaque here.
    Plan(Rc<[u8]>),
    /// No write at or below this hybrid timestamp is accepted any more.
    ClosedTimestamp {
        /// Milliseconds since 1970.
        ms: u64,
        /// The counter within that millisecond.
        logical: u32,
    },
}

/// Identifies a proposal: its proposer and a number that this proposer uses once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The proposer's [`voter_id`].
    pub proposer: u64,
    /// Rises with each proposal of this proposer, across restarts too.
    pub sequence: u64,
}
