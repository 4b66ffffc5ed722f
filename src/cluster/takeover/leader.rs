//! The state of a proposer for one work item that this member leads, as its owner or as a successor: phase,
//! ballot, the acceptors' votes, and the record with its grants.
use std::collections::BTreeMap;
use std::rc::Rc;

use super::record::Record;
use super::slot::Accepted;
use super::ExecutionKey;
use crate::cluster::{MemberId, Micros};

/// How far a proposer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Asks the groups of earlier epochs never to open the id.
    Fencing,
    /// Collects promises.
    Preparing,
    /// Writes under its ballot.
    Leading,
}

/// What one acceptor of the group has answered to this ballot.
#[derive(Clone, Debug, Default)]
pub struct Vote {
    /// It promised the ballot.
    pub promised: bool,
    /// The last write that it acknowledged.
    pub seq: u64,
    /// When the last accept that it acknowledged was sent.
    pub sent_at: Micros,
    /// It rejected the ballot for a higher one.
    pub rejected: bool,
    /// It has no capacity for the work item.
    pub at_capacity: bool,
}

/// What one member of an earlier epoch's group has answered to a fence.
#[derive(Clone, Debug, Default)]
pub struct FenceVote {
    /// It will never open the id.
    pub fenced: bool,
    /// It holds a record of the id.
    pub exists: bool,
    /// It has no capacity for the fence.
    pub at_capacity: bool,
}

/// The group of the id in an earlier epoch that is still open.
#[derive(Debug)]
pub struct PreviousGroup {
    pub epoch: u64,
    pub members: Vec<MemberId>,
    /// One for each of `members`, in their order.
    pub votes: Vec<FenceVote>,
}

impl PreviousGroup {
    pub fn new(epoch: u64, members: Vec<MemberId>) -> PreviousGroup {
        let votes = vec![FenceVote::default(); members.len()];
        PreviousGroup { epoch, members, votes }
    }

    /// How many of its members answered so.
    pub fn count(&self, answered: impl Fn(&FenceVote) -> bool) -> usize {
        self.votes.iter().filter(|vote| answered(vote)).count()
    }

    /// Whether a majority will never open the id in this epoch.
    pub fn is_fenced(&self) -> bool {
        self.count(|vote| vote.fenced) >= majority(self.members.len())
    }

    /// Whether so many answered so that no majority is left among the others.
    pub fn blocks_majority(&self, answered: impl Fn(&FenceVote) -> bool) -> bool {
        self.count(answered) > self.members.len() - majority(self.members.len())
    }
}

/// A grant that was written and has no majority yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingGrant {
    pub seq: u64,
    pub granted: u8,
}

/// The attempts of one part, as its leader counts them.
#[derive(Debug, Default)]
pub struct PartGrants {
    /// Granted under earlier ballots: those attempts count as made.
    pub inherited: u8,
    /// Granted, and held by a majority.
    pub committed: u8,
    /// The last write with a grant of it that no majority holds yet.
    pub pending: Option<PendingGrant>,
    /// Attempts made by this leader, one bit each.
    pub made: u8,
    /// The executor waits until so many are granted and the lease holds; 0: it does not wait.
    pub awaited: u8,
}

/// More attempts of a part were granted.
#[derive(Debug)]
pub struct GrantNotice {
    pub step: u8,
    pub shard: u32,
    pub granted: u8,
}

/// Where the record of a new leader comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOrigin {
    /// It is opened by this leader.
    Opened,
    /// An earlier leader wrote it: all that it grants counts as made.
    Recovered,
}

/// One work item that this member leads, or is about to.
#[derive(Debug)]
pub struct LeaderState {
    pub key: ExecutionKey,
    pub group: Rc<[MemberId]>,
    /// This member's place in `group`.
    pub rank: usize,
    pub ballot: u64,
    pub phase: Phase,
    /// One for each of `group`, in its order.
    pub votes: Vec<Vote>,
    /// Earlier epochs' groups that must be fenced first.
    pub previous_groups: Vec<PreviousGroup>,
    /// The highest state that the promises so far have shown.
    pub highest_accepted: Option<Accepted>,
    /// What is opened if no promise shows a record.
    pub proposal: Option<Record>,
    pub record: Record,
    /// The last write.
    pub seq: u64,
    /// The first write under this ballot.
    pub first_seq: u64,
    /// The write with the outcome, until the outcome is announced.
    pub outcome_seq: Option<u64>,
    /// By step and shard.
    pub parts: BTreeMap<(u8, u32), PartGrants>,
    /// Its executor was started.
    pub started: bool,
    /// An earlier leader's work is continued.
    pub takeover: bool,
    /// No majority had capacity, and the clients were rejected.
    pub capacity_rejected: bool,
    /// A value waits to be written until then at the latest.
    pub write_by: Option<Micros>,
    /// The client's deadline.
    pub deadline: Micros,
    /// When this state may be forgotten.
    pub retain_until: Micros,
    /// When unanswered messages are sent again.
    pub retransmit_at: Micros,
    /// When the lease was last seen to hold; at first, when this ballot began to be led.
    pub lease_held_at: Micros,
}

/// The smallest number of members that is more than half of `size`.
pub fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// The lowest ballot of a rank in a round after that of `above`; `None` if the numbers are used up.
pub fn next_ballot(above: Option<u64>, size: usize, rank: usize) -> Option<u64> {
    let size = size as u64;
    let round = above.map_or(0, |ballot| ballot / size).checked_add(1)?;
    round.checked_mul(size)?.checked_add(rank as u64)
}

impl LeaderState {
    /// A proposer before its first ballot, with no time left: the caller sets deadline and retention.
    pub fn new(key: ExecutionKey, group: Rc<[MemberId]>, rank: usize, now: Micros) -> LeaderState {
        let votes = vec![Vote::default(); group.len()];
        LeaderState {
            key,
            group,
            rank,
            ballot: 0,
            phase: Phase::Preparing,
            votes,
            previous_groups: Vec::new(),
            highest_accepted: None,
            proposal: None,
            record: Record::default(),
            seq: 0,
            first_seq: 0,
            outcome_seq: None,
            parts: BTreeMap::new(),
            started: false,
            takeover: false,
            capacity_rejected: false,
            write_by: None,
            deadline: now,
            retain_until: now,
            retransmit_at: now,
            lease_held_at: now,
        }
    }

    /// When something must be sent or written next.
    pub fn due_at(&self) -> Micros {
        self.write_by.unwrap_or(self.retransmit_at).min(self.retransmit_at)
    }

    /// The sequence number of the last write that a majority holds.
    pub fn majority_seq(&self) -> u64 {
        let mut seqs: Vec<u64> = self.votes.iter().map(|vote| vote.seq).collect();
        seqs.sort_unstable_by(|a, b| b.cmp(a));
        seqs.get(majority(seqs.len()) - 1).copied().unwrap_or(0)
    }

    /// How many acceptors answered so.
    pub fn count(&self, answered: impl Fn(&Vote) -> bool) -> usize {
        self.votes.iter().filter(|vote| answered(vote)).count()
    }

    /// Whether so many answered so that no majority is left among the others.
    pub fn blocks_majority(&self, answered: impl Fn(&Vote) -> bool) -> bool {
        self.count(answered) > self.votes.len() - majority(self.votes.len())
    }

    /// Starts a new ballot: no answer to an earlier one counts.
    pub fn prepare(&mut self, ballot: u64) {
        self.ballot = ballot;
        self.phase = Phase::Preparing;
        self.highest_accepted = None;
        self.votes.fill(Vote::default());
    }

    /// Writes from now on, continuing after `seq`.
    pub fn start_leading(&mut self, record: Record, seq: u64, origin: RecordOrigin) {
        self.phase = Phase::Leading;
        for part in &record.parts {
            let inherited = match origin {
                RecordOrigin::Opened => 0,
                RecordOrigin::Recovered => part.granted.min(255) as u8,
            };
            let grants = PartGrants { inherited, committed: inherited, ..PartGrants::default() };
            self.parts.insert((part.step.min(255) as u8, part.shard), grants);
        }
        self.record = record;
        self.seq = seq;
        self.first_seq = seq + 1;
    }

    /// Takes the next sequence number for what has changed in the record.
    pub fn write(&mut self) {
        self.write_by = None;
        self.seq += 1;
        if self.record.is_finished() && self.outcome_seq.is_none() {
            self.outcome_seq = Some(self.seq);
        }
        for part in &self.record.parts {
            let Some(grants) = self.parts.get_mut(&(part.step.min(255) as u8, part.shard)) else { continue };
            let granted = part.granted.min(255) as u8;
            if granted > grants.pending.map_or(grants.committed, |pending| pending.granted) {
                grants.pending = Some(PendingGrant { seq: self.seq, granted });
            }
        }
    }

    /// Commits the grants that a majority holds; returns those that the executor waits for, if the lease
    /// holds.
    pub fn commit_grants(&mut self, lease_holds: bool) -> Vec<GrantNotice> {
        let majority_seq = self.majority_seq();
        let mut notices = Vec::new();
        for ((step, shard), grants) in &mut self.parts {
            if let Some(pending) = grants.pending.filter(|pending| pending.seq <= majority_seq) {
                grants.committed = pending.granted;
                grants.pending = None;
            }
            if lease_holds && grants.awaited > 0 && grants.committed >= grants.awaited {
                grants.awaited = 0;
                notices.push(GrantNotice { step: *step, shard: *shard, granted: grants.committed });
            }
        }
        notices
    }
}
