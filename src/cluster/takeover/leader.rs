//! The proposer's state for one work item that this member leads, as its owner or as a successor: phase,
//! ballot, acceptor votes, and the record with its grants.
use std::collections::BTreeMap;
use std::rc::Rc;

use super::record::Record;
use super::slot::Accepted;
use super::ExecutionKey;
use crate::cluster::{MemberId, Micros};

/// Phase of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Asking the groups of earlier epochs never to open the id.
    Fencing,
    /// Collecting promises.
    Preparing,
    /// Writing under its ballot.
    Leading,
}

/// Answers of one acceptor of the group to the current ballot.
#[derive(Clone, Debug, Default)]
pub struct Vote {
    /// Whether the acceptor promised the ballot.
    pub promised: bool,
    /// Sequence number of the last write that it acknowledged.
    pub seq: u64,
    /// When the last accept that it acknowledged was sent.
    pub sent_at: Micros,
    /// Whether the acceptor rejected the ballot because of a higher one.
    pub rejected: bool,
    /// Whether the acceptor has no capacity for the work item.
    pub at_capacity: bool,
}

/// Answer of one member of an earlier epoch's group to a fence.
#[derive(Clone, Debug, Default)]
pub struct FenceVote {
    /// Whether the member has promised never to open the id.
    pub fenced: bool,
    /// Whether the member holds a record of the id.
    pub exists: bool,
    /// Whether the member has no capacity for the fence.
    pub at_capacity: bool,
}

/// The group of the id in an earlier epoch that is still open.
#[derive(Debug)]
pub struct PreviousGroup {
    pub epoch: u64,
    pub members: Vec<MemberId>,
    /// One vote per member, in the order of `members`.
    pub votes: Vec<FenceVote>,
}

impl PreviousGroup {
    pub fn new(epoch: u64, members: Vec<MemberId>) -> PreviousGroup {
        let votes = vec![FenceVote::default(); members.len()];
        PreviousGroup { epoch, members, votes }
    }

    /// Returns the number of members whose vote satisfies `answered`.
    pub fn count(&self, answered: impl Fn(&FenceVote) -> bool) -> usize {
        self.votes.iter().filter(|vote| answered(vote)).count()
    }

    /// Returns whether a majority has promised never to open the id in this epoch.
    pub fn is_fenced(&self) -> bool {
        self.count(|vote| vote.fenced) >= majority(self.members.len())
    }

    /// Returns whether so many votes satisfy `answered` that the other members are no majority.
    pub fn blocks_majority(&self, answered: impl Fn(&FenceVote) -> bool) -> bool {
        self.count(answered) > self.members.len() - majority(self.members.len())
    }
}

/// A grant that was written and is not held by a majority yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingGrant {
    pub seq: u64,
    pub granted: u8,
}

/// Grants and attempts of one part, as counted by its leader.
#[derive(Debug, Default)]
pub struct PartGrants {
    /// Attempts granted under earlier ballots; all of them count as made.
    pub inherited: u8,
    /// Attempts whose grant is held by a majority.
    pub committed: u8,
    /// The last write that contained a grant not yet held by a majority.
    pub pending: Option<PendingGrant>,
    /// Attempts made by this leader, as a bit set indexed by attempt number.
    pub made: u8,
    /// Number of granted attempts that the executor waits for; 0 if it does not wait. The wait ends when they
    /// are committed and the lease is held.
    pub awaited: u8,
}

/// Notice that more attempts of a part were granted.
#[derive(Debug)]
pub struct GrantNotice {
    pub step: u8,
    pub shard: u32,
    pub granted: u8,
}

/// Origin of the record of a new leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOrigin {
    /// This leader opens the work item.
    Opened,
    /// An earlier leader wrote the record; all attempts that it grants count as made.
    Recovered,
}

/// State of one work item that this member leads or tries to lead.
#[derive(Debug)]
pub struct LeaderState {
    pub key: ExecutionKey,
    pub group: Rc<[MemberId]>,
    /// This member's rank in `group`.
    pub rank: usize,
    pub ballot: u64,
    pub phase: Phase,
    /// One vote per acceptor, in the order of `group`.
    pub votes: Vec<Vote>,
    /// Groups of earlier epochs that must be fenced first.
    pub previous_groups: Vec<PreviousGroup>,
    /// The highest accepted state among the promises received so far.
    pub highest_accepted: Option<Accepted>,
    /// The record to open if no promise contains one.
    pub proposal: Option<Record>,
    pub record: Record,
    /// Sequence number of the last write.
    pub seq: u64,
    /// Sequence number of the first write under this ballot.
    pub first_seq: u64,
    /// Sequence number of the write with the outcome, until the outcome is announced.
    pub outcome_seq: Option<u64>,
    /// Grants by step and shard.
    pub parts: BTreeMap<(u8, u32), PartGrants>,
    /// Whether the executor was started.
    pub started: bool,
    /// Whether this leader continues the work of an earlier one.
    pub takeover: bool,
    /// Whether the clients were rejected because no majority had capacity.
    pub capacity_rejected: bool,
    /// Latest time at which a recorded value must be written.
    pub write_by: Option<Micros>,
    /// The client's deadline.
    pub deadline: Micros,
    /// When this state may be dropped.
    pub retain_until: Micros,
    /// When unanswered messages are retransmitted.
    pub retransmit_at: Micros,
    /// When the lease was last known to be held; initially, when this member began to lead.
    pub lease_held_at: Micros,
}

/// Returns the smallest number of members that is more than half of `size`.
pub fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Returns the lowest ballot of a rank in a round after that of `above`; `None` if the ballot numbers are
/// exhausted.
pub fn next_ballot(above: Option<u64>, size: usize, rank: usize) -> Option<u64> {
    let size = size as u64;
    let round = above.map_or(0, |ballot| ballot / size).checked_add(1)?;
    round.checked_mul(size)?.checked_add(rank as u64)
}

impl LeaderState {
    /// Creates a proposer before its first ballot. Its deadline and retention are `now`; the caller sets
    /// them.
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

    /// Returns when the leader must next send or write something.
    pub fn due_at(&self) -> Micros {
        self.write_by.unwrap_or(self.retransmit_at).min(self.retransmit_at)
    }

    /// Returns the sequence number of the last write that a majority holds.
    pub fn majority_seq(&self) -> u64 {
        let mut seqs: Vec<u64> = self.votes.iter().map(|vote| vote.seq).collect();
        seqs.sort_unstable_by(|a, b| b.cmp(a));
        seqs.get(majority(seqs.len()) - 1).copied().unwrap_or(0)
    }

    /// Returns the number of acceptors whose vote satisfies `answered`.
    pub fn count(&self, answered: impl Fn(&Vote) -> bool) -> usize {
        self.votes.iter().filter(|vote| answered(vote)).count()
    }

    /// Returns whether so many votes satisfy `answered` that the other acceptors are no majority.
    pub fn blocks_majority(&self, answered: impl Fn(&Vote) -> bool) -> bool {
        self.count(answered) > self.votes.len() - majority(self.votes.len())
    }

    /// Starts a new ballot and discards the votes of earlier ones.
    pub fn prepare(&mut self, ballot: u64) {
        self.ballot = ballot;
        self.phase = Phase::Preparing;
        self.highest_accepted = None;
        self.votes.fill(Vote::default());
    }

    /// Starts leading with `record`, continuing the sequence numbers after `seq`.
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

    /// Assigns the next sequence number to the current record, including its outcome and new grants.
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

    /// Commits the grants that a majority holds. Returns those that the executor waits for, provided the
    /// lease is held.
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
