//! The proposer role, as owner or successor: collects promises and acknowledgements, writes records,
//! announces the outcome, and abandons a lost ballot.
use std::rc::Rc;

use super::leader::{majority, next_ballot, LeaderState, Phase};
use super::message::{Accepted, Body, Decided, Promised, Rejected, SubmitStatus};
use super::slot::{self, FENCED_BALLOT};
use super::{Action, ExecutionKey, MemberId, Micros, TakeoverState, WorkId};

impl TakeoverState {
    pub(super) fn allocate_key(&mut self) -> ExecutionKey {
        let key = ExecutionKey(self.next_key);
        self.next_key += 1;
        key
    }

    /// Starts the executor, announces grants, and announces the outcome, each only after a majority holds it.
    pub(super) fn advance_leader(&mut self, work: &WorkId) {
        let Some(leader) = self.leaders.get(work) else { return };
        let lease_holds = self.leader_holds_lease(leader, self.now);
        let majority_seq = leader.majority_seq();
        let majority_has_outcome =
            leader.outcome_seq.is_some_and(|seq| seq <= majority_seq || !self.checks.replicate_outcome_first);
        let majority_has_record = majority_seq >= leader.first_seq || !self.checks.replicate_record_first;
        let now = self.now;
        let Some(leader) = self.leaders.get_mut(work) else { return };
        if lease_holds {
            leader.lease_held_at = now;
        }
        let key = leader.key;
        if !leader.started && !leader.record.is_finished() && majority_has_record {
            leader.started = true;
            self.executions.insert(key, work.clone());
            let record = Rc::new(leader.record.clone());
            self.actions.push(Action::Start { key, record, takeover: leader.takeover });
        }
        for notice in leader.commit_grants(lease_holds) {
            let (step, shard, granted) = (notice.step, notice.shard, notice.granted);
            self.actions.push(Action::Granted { key, step, shard, granted });
        }
        if majority_has_outcome && lease_holds {
            self.announce_outcome(work);
        }
    }

    /// Sends the outcome to the group.
    ///
    /// Invariant: a majority holds the outcome, and the ballot is still valid.
    fn announce_outcome(&mut self, work: &WorkId) {
        let Some(leader) = self.leaders.get_mut(work) else { return };
        let failed = leader.record.failed;
        let opening_id = leader.record.opening_id;
        let outcome = leader.record.outcome.clone().unwrap_or_default();
        let group = Rc::clone(&leader.group);
        // The outcome is announced only once.
        leader.outcome_seq = None;
        self.counters.finished += u64::from(!failed);
        for member in group.iter() {
            let outcome = outcome.clone();
            let decided = Decided { epoch: work.0, id: work.1.to_string(), outcome, failed, opening_id };
            self.send(member, Body::Decided(decided));
        }
    }

    /// Returns whether a majority of the group, including this member, keeps the lease on this work item.
    pub(super) fn leader_holds_lease(&self, leader: &LeaderState, now: Micros) -> bool {
        let covered = |(rank, member): (usize, &MemberId)| {
            leader.votes.get(rank).is_some_and(|vote| {
                let acknowledged = !vote.rejected && vote.seq >= leader.first_seq;
                acknowledged && (rank == leader.rank || self.leases.covers(now, member, vote.sent_at))
            })
        };
        let count = leader.group.iter().enumerate().filter(|at| covered(*at)).count();
        let has_majority = count >= majority(leader.group.len());
        leader.phase == Phase::Leading && (has_majority || !self.checks.leader_lease)
    }

    /// Writes the changed record: sends one accept with the complete record to each member of the group.
    pub(super) fn write_record(&mut self, work: &WorkId) {
        let Some(leader) = self.leaders.get_mut(work).filter(|l| l.phase == Phase::Leading) else { return };
        leader.write();
        self.retransmit(work);
        self.advance(work);
    }

    pub(super) fn handle_accepted(&mut self, from: MemberId, message: Accepted) {
        let work: WorkId = (message.epoch, message.id.as_str().into());
        let now = self.now;
        let leading = |l: &&mut LeaderState| l.ballot == message.ballot && l.phase == Phase::Leading;
        let Some(leader) = self.leaders.get_mut(&work).filter(leading) else { return };
        let rank = voter_rank(&leader.group, &from, self.checks.incarnation);
        let written = message.seq <= leader.seq && message.sent_us <= now;
        let Some(vote) = rank.and_then(|rank| leader.votes.get_mut(rank)).filter(|_| written) else {
            self.counters.rejected_messages += 1;
            return;
        };
        vote.seq = vote.seq.max(message.seq);
        vote.sent_at = vote.sent_at.max(message.sent_us);
        vote.rejected = false;
        self.leases.record_acknowledgement(now, &from, message.sent_us);
        self.advance(&work);
    }

    pub(super) fn handle_promised(&mut self, from: MemberId, message: Promised) {
        let work: WorkId = (message.epoch, message.id.as_str().into());
        let preparing = |l: &&mut LeaderState| l.ballot == message.ballot && l.phase == Phase::Preparing;
        let Some(leader) = self.leaders.get_mut(&work).filter(preparing) else { return };
        let rank = voter_rank(&leader.group, &from, self.checks.incarnation);
        let Some(vote) = rank.and_then(|rank| leader.votes.get_mut(rank)) else {
            self.counters.rejected_messages += 1;
            return;
        };
        vote.promised = true;
        if let Some(record) = message.record.filter(|record| record.validation_error().is_none()) {
            let accepted = (message.accepted_ballot, message.seq);
            let highest = leader.highest_accepted.as_ref();
            if highest.is_none_or(|highest| (highest.ballot, highest.seq) < accepted) {
                let record = Rc::new(record);
                leader.highest_accepted =
                    Some(slot::Accepted { ballot: message.accepted_ballot, seq: message.seq, record });
            }
        }
        self.advance(&work);
    }

    pub(super) fn handle_rejected(&mut self, from: MemberId, message: Rejected) {
        let work: WorkId = (message.epoch, message.id.as_str().into());
        let Some(leader) = self.leaders.get_mut(&work).filter(|l| l.ballot == message.ballot) else { return };
        let rank = leader.group.iter().position(|member| *member == from);
        let Some(vote) = rank.and_then(|rank| leader.votes.get_mut(rank)) else { return };
        vote.at_capacity = message.at_capacity;
        vote.rejected |= !message.at_capacity && message.wait_us == 0;
        if message.at_capacity {
            if leader.blocks_majority(|vote| vote.at_capacity) && !leader.started && !leader.capacity_rejected
            {
                self.reject_for_capacity(&work);
            }
            return;
        }
        match leader.phase {
            Phase::Fencing => {}
            Phase::Preparing => self.prepare_rejected(&work, &message),
            Phase::Leading => self.accept_rejected(&work, &message),
        }
    }

    /// Handles a rejected prepare: waits for a lease to end, redirects if the id is fenced, or prepares a
    /// higher ballot.
    fn prepare_rejected(&mut self, work: &WorkId, message: &Rejected) {
        let now = self.now;
        let interval = self.retransmit_interval();
        let Some(leader) = self.leaders.get_mut(work) else { return };
        if message.wait_us > 0 {
            let wait = message.wait_us.clamp(interval, 20 * interval);
            leader.retransmit_at = now.saturating_add(wait);
            return;
        }
        if message.promised == FENCED_BALLOT {
            if leader.blocks_majority(|vote| vote.rejected) {
                let newest = self.newest_epoch();
                self.abandon_and_reply(work, |state, to| state.redirect(to, work, newest));
            }
            return;
        }
        match ballot_above(leader, message.promised) {
            Some(ballot) => {
                leader.prepare(ballot);
                // The delay depends on the rank, so that two competing proposers retry at different times.
                let wait = interval.saturating_mul(1 + leader.rank as u64);
                leader.retransmit_at = now.saturating_add(wait);
            }
            None => self.abandon(work),
        }
    }

    /// Handles a rejected accept: once a majority is out of reach, abandons the ballot, or prepares a higher
    /// one if nothing was started.
    fn accept_rejected(&mut self, work: &WorkId, message: &Rejected) {
        let Some(leader) = self.leaders.get_mut(work) else { return };
        if !leader.blocks_majority(|vote| vote.rejected) {
            return;
        }
        let next = match message.promised {
            FENCED_BALLOT => None,
            promised => ballot_above(leader, promised),
        };
        match next {
            // Nothing was started, so it is safe to prepare again and learn what a majority holds.
            Some(ballot) if !leader.started && leader.proposal.is_some() => {
                leader.prepare(ballot);
                self.retransmit(work);
            }
            _ => self.abandon(work),
        }
    }

    /// Rejects the work item because no majority has capacity. Some acceptors may hold the record
    /// nevertheless; it is marked as failed, so that it never runs later.
    fn reject_for_capacity(&mut self, work: &WorkId) {
        for waiter in self.take_waiters(work) {
            self.send_status(&waiter, work, SubmitStatus::Rejected);
        }
        let Some(leader) = self.leaders.get_mut(work) else { return };
        leader.capacity_rejected = true;
        if leader.phase == Phase::Leading {
            leader.record.failed = true;
            self.unwritten.insert(work.clone());
        } else {
            self.abandon(work);
        }
    }

    /// Ends a work item without an outcome from its executor.
    pub(super) fn fail(&mut self, work: &WorkId) {
        let Some(leader) = self.leaders.get_mut(work) else { return };
        leader.record.failed = true;
        leader.record.drop_values();
        if leader.started {
            self.executions.remove(&leader.key);
            self.actions.push(Action::Stop { key: leader.key });
        }
        self.counters.failed += 1;
        self.unwritten.insert(work.clone());
    }

    /// Abandons a work item, and calls `reply` for each member that waits for it.
    pub(super) fn abandon_and_reply(&mut self, work: &WorkId, reply: impl Fn(&mut TakeoverState, &MemberId)) {
        let waiters = self.take_waiters(work);
        self.abandon(work);
        for waiter in waiters {
            reply(self, &waiter);
        }
    }

    /// Stops leading a work item because the ballot is lost or there is nothing left to lead.
    pub(super) fn abandon(&mut self, work: &WorkId) {
        if let Some(leader) = self.remove_leader(work) {
            self.counters.lost_ballots += u64::from(leader.phase == Phase::Leading);
            if leader.started {
                self.actions.push(Action::Stop { key: leader.key });
            }
        }
    }

    pub(super) fn remove_leader(&mut self, work: &WorkId) -> Option<LeaderState> {
        let leader = self.leaders.remove(work)?;
        self.executions.remove(&leader.key);
        self.unwritten.remove(work);
        Some(leader)
    }
}

/// Returns the rank of a voter in its group, compared by incarnation or, only in tests, by name.
fn voter_rank(group: &[MemberId], voter: &MemberId, check_incarnation: bool) -> Option<usize> {
    group.iter().position(|member| member == voter || !check_incarnation && member.name == voter.name)
}

/// Returns the leader's next ballot above both its own and the promised one.
fn ballot_above(leader: &LeaderState, promised: u64) -> Option<u64> {
    next_ballot(Some(promised.max(leader.ballot)), leader.group.len(), leader.rank)
}
