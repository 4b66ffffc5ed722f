//! Opening of work items: a submitted request opens one, the groups of earlier epochs are fenced, a majority
//! promises, and the highest accepted state is continued.
use std::rc::Rc;

use super::leader::{majority, next_ballot, LeaderState, Phase, PreviousGroup, RecordOrigin};
use super::message::{Fenced, ForwardedSubmit, SubmitStatus};
use super::slot::{self, AcceptorSlot, FENCED_BALLOT};
use super::{Configuration, MemberId, Part, Record, TakeoverState, WhenFull, WorkId};

impl TakeoverState {
    /// Handles a client's request that was forwarded to this member as part of the group.
    pub(super) fn handle_submit(&mut self, from: MemberId, message: ForwardedSubmit) {
        let work: WorkId = (message.epoch, message.id.as_str().into());
        let Some(group) = self.group(&work, message.class) else {
            if message.epoch < self.newest_epoch() {
                self.redirect(&from, &work, self.newest_epoch());
            }
            return;
        };
        let Some(rank) = self.rank(&group, &self.me) else {
            self.counters.rejected_messages += 1;
            return;
        };
        if let Some(record) = self.slots.get(&work).and_then(AcceptorSlot::record) {
            let same_request = self.is_same_request(record, &message);
            return self.answer_existing(&from, &work, same_request);
        }
        if let Some(leader) = self.leaders.get(&work) {
            let proposal = leader.proposal.as_ref();
            if proposal.is_some_and(|record| self.is_same_request(record, &message)) {
                return self.reply_or_wait(&from, &work);
            }
            // It is not known yet which of the two payloads will be chosen. The sender retransmits this
            // request.
            return self.send_status(&from, &work, SubmitStatus::InProgress);
        }
        let fenced = self.slots.get(&work).is_some_and(|slot| slot.acceptor.promised == Some(FENCED_BALLOT));
        if fenced || message.epoch < self.newest_epoch() {
            return self.redirect(&from, &work, self.newest_epoch());
        }
        if message.remaining_us > 0 {
            self.open(from, work, group, rank, message);
        }
    }

    fn is_same_request(&self, record: &Record, message: &ForwardedSubmit) -> bool {
        record.class == message.class && record.payload == message.payload || !self.checks.id_conflict
    }

    /// Answers a request whose id has a record here.
    ///
    /// Invariant: an id is bound to one payload and class.
    fn answer_existing(&mut self, from: &MemberId, work: &WorkId, same_request: bool) {
        if !same_request {
            self.counters.id_conflicts += 1;
            return self.send_status(from, work, SubmitStatus::IdConflict);
        }
        // No majority had capacity: a later client must not wait for an outcome that will never come.
        if self.leaders.get(work).is_some_and(|leader| leader.capacity_rejected) {
            return self.send_status(from, work, SubmitStatus::Rejected);
        }
        self.reply_or_wait(from, work);
    }

    /// Replies with the outcome, or registers the member to be notified once it is decided.
    fn reply_or_wait(&mut self, from: &MemberId, work: &WorkId) {
        match self.slots.get_mut(work) {
            Some(slot) if slot.decision.is_none() => {
                slot.add_waiter(from);
                self.send_status(from, work, SubmitStatus::InProgress);
            }
            Some(_) => self.send_outcome(from, work),
            None => self.send_status(from, work, SubmitStatus::InProgress),
        }
    }

    /// Opens a new work item, if this member has capacity for it.
    fn open(
        &mut self,
        from: MemberId,
        work: WorkId,
        group: Rc<[MemberId]>,
        rank: usize,
        message: ForwardedSubmit,
    ) {
        let class = message.class;
        let remaining = message.remaining_us;
        let key = self.allocate_key();
        let opening_id = key.0.wrapping_mul(slot::MAX_WAITERS as u64).wrapping_add(rank as u64);
        let record = self.new_record(message, opening_id);
        if !self.has_capacity(&work, &record) {
            let status = match self.rule(class).map_or(WhenFull::Reject, |rule| rule.when_full) {
                WhenFull::Reject => SubmitStatus::Rejected,
                WhenFull::Unprotected => SubmitStatus::Unprotected,
            };
            return self.send_status(&from, &work, status);
        }
        let now = self.now;
        let retention = self.outcome_retention(class);
        let mut leader = LeaderState::new(key, group, rank, now);
        leader.phase = Phase::Fencing;
        leader.deadline = now.saturating_add(remaining);
        leader.retain_until = leader.deadline.saturating_add(retention);
        leader.previous_groups =
            if self.checks.fence { self.previous_groups(&work, class) } else { Vec::new() };
        leader.proposal = Some(record);
        // Create the slot now, so that the member that forwarded the request can be registered as a waiter.
        let slot = self.slots.entry(work.clone()).or_insert_with(|| AcceptorSlot::new(now));
        slot.extend(now, remaining, retention);
        slot.waiters.clear();
        slot.add_waiter(&from);
        self.leaders.insert(work.clone(), leader);
        self.scan_at = Some(self.scan_at.unwrap_or(now).min(now.saturating_add(self.retransmit_interval())));
        self.retransmit(&work);
        self.advance(&work);
    }

    fn new_record(&self, message: ForwardedSubmit, opening_id: u64) -> Record {
        let idempotent = self.rule(message.class).is_some_and(|rule| rule.idempotent);
        let granted = if idempotent { self.max_attempts().min(2) } else { 1 };
        let mut shards = message.shards;
        shards.sort_unstable();
        shards.dedup();
        let part = |shard| Part { shard, granted: granted.into(), ..Part::default() };
        Record {
            id: message.id,
            class: message.class,
            deadline_unix_ms: message.deadline_unix_ms,
            payload: message.payload,
            parts: shards.into_iter().map(part).collect(),
            outcome: None,
            failed: false,
            opening_id,
        }
    }

    fn has_capacity(&self, work: &WorkId, record: &Record) -> bool {
        let bytes = record.memory_bytes();
        let has_slot = self.slots.contains_key(work) || self.slots.len() < self.limits.max_work_items;
        has_slot
            && self.record_bytes + bytes <= self.limits.max_total_bytes
            && bytes <= self.limits.max_record_bytes
    }

    /// Returns the groups of this id in earlier epochs that are still open.
    ///
    /// Invariant: an id is opened in an epoch only after a majority of its group in each earlier open epoch
    /// has promised never to open it there.
    fn previous_groups(&self, work: &WorkId, class: u32) -> Vec<PreviousGroup> {
        let earlier = self.configurations.iter().map(Configuration::epoch).filter(|epoch| *epoch < work.0);
        let group = |epoch| {
            let members = self.group(&(epoch, work.1.clone()), class)?;
            Some(PreviousGroup::new(epoch, members.to_vec()))
        };
        earlier.filter_map(group).collect()
    }

    pub(super) fn handle_fenced(&mut self, from: MemberId, message: Fenced) {
        let id: Rc<str> = message.id.as_str().into();
        let fencing = self.leaders.iter_mut().filter(|(w, l)| w.1 == id && l.phase == Phase::Fencing);
        let mut changed = Vec::new();
        for (work, leader) in fencing {
            for group in leader.previous_groups.iter_mut().filter(|g| g.epoch == message.epoch) {
                let Some(position) = group.members.iter().position(|m| *m == from) else { continue };
                if let Some(vote) = group.votes.get_mut(position) {
                    match (message.exists, message.at_capacity) {
                        (true, _) => vote.exists = true,
                        (false, true) => vote.at_capacity = true,
                        (false, false) => vote.fenced = true,
                    }
                }
                changed.push(work.clone());
            }
        }
        for work in changed {
            self.advance(&work);
        }
    }

    /// Advances a work item as far as the answers received so far allow.
    pub(super) fn advance(&mut self, work: &WorkId) {
        let Some(leader) = self.leaders.get(work) else { return };
        match leader.phase {
            Phase::Fencing => self.advance_fencing(work),
            Phase::Preparing => {
                if leader.count(|vote| vote.promised) >= majority(leader.votes.len()) {
                    self.lead_promised(work);
                }
            }
            Phase::Leading => self.advance_leader(work),
        }
    }

    fn advance_fencing(&mut self, work: &WorkId) {
        let Some(leader) = self.leaders.get(work) else { return };
        let groups = &leader.previous_groups;
        if groups.iter().all(PreviousGroup::is_fenced) {
            return self.start_ballot(work);
        }
        let exists_in = groups.iter().find(|group| {
            group.blocks_majority(|vote| vote.exists)
                || group.count(|vote| vote.exists) > 0 && !group.is_fenced()
        });
        if let Some(epoch) = exists_in.map(|group| group.epoch) {
            return self.abandon_and_reply(work, |state, to| state.redirect(to, work, epoch));
        }
        // Nothing has been written yet, so no member holds a record of the work item that is rejected here.
        if groups.iter().any(|group| group.blocks_majority(|vote| vote.at_capacity)) {
            self.abandon_and_reply(work, |state, to| state.send_status(to, work, SubmitStatus::Rejected));
        }
    }

    /// Starts a ballot, once nothing prevents the opening. Rank 0 writes under ballot 0, which it owns,
    /// without a prepare phase; other ranks prepare first.
    fn start_ballot(&mut self, work: &WorkId) {
        let promised = self.slots.get(work).and_then(|slot| slot.acceptor.promised);
        let Some(leader) = self.leaders.get_mut(work) else { return };
        if leader.rank == 0 && promised.is_none() {
            let record = leader.proposal.clone().unwrap_or_default();
            leader.start_leading(record, 0, RecordOrigin::Opened);
            leader.lease_held_at = self.now;
            self.counters.opened += 1;
            self.unwritten.insert(work.clone());
            return;
        }
        let above = promised.filter(|promised| *promised != FENCED_BALLOT);
        match next_ballot(above, leader.group.len(), leader.rank) {
            Some(ballot) => leader.prepare(ballot),
            None => return self.abandon(work),
        }
        self.retransmit(work);
    }

    /// Starts leading, once a majority has promised.
    ///
    /// Invariant: the highest state that any member of that majority accepted is written first under this
    /// ballot, and execution continues from it. A new work item is opened only if there is no such state.
    fn lead_promised(&mut self, work: &WorkId) {
        let now = self.now;
        let Some(leader) = self.leaders.get_mut(work) else { return };
        leader.lease_held_at = now;
        match (leader.highest_accepted.take(), leader.proposal.clone()) {
            (Some(highest), proposal) => {
                // Clients that wait for the proposal, perhaps with another payload, retransmit their
                // requests.
                if let Some(slot) = self.slots.get_mut(work).filter(|_| proposal.is_some()) {
                    slot.waiters.clear();
                }
                leader.start_leading((*highest.record).clone(), highest.seq, RecordOrigin::Recovered);
                leader.takeover = true;
                self.counters.taken_over += 1;
                if !leader.record.is_finished() && leader.deadline <= now {
                    leader.record.failed = true;
                    self.counters.failed += 1;
                }
            }
            (None, Some(proposal)) => {
                leader.start_leading(proposal, 0, RecordOrigin::Opened);
                self.counters.opened += 1;
            }
            (None, None) => return self.abandon(work),
        }
        self.unwritten.insert(work.clone());
    }
}
