//! The acceptor role: accepts, promises and fences on behalf of other members, and learns outcomes.
use std::rc::Rc;

use super::message::{
    Accept, Accepted, Body, Decided, Fence, Fenced, Prepare, Promised, Rejected, SubmitStatus,
};
use super::slot::{AcceptorSlot, Decision, FENCED_BALLOT};
use super::{TakeoverState, WorkId};
use crate::cluster::{MemberId, Micros};

impl TakeoverState {
    /// Returns the slot of a work item, creating it if necessary; `None` if there is no capacity for the slot
    /// or for a record of `record_bytes`.
    fn slot_with_capacity(&mut self, work: &WorkId, record_bytes: usize) -> Option<&mut AcceptorSlot> {
        let charged = self.slots.get(work).map(|slot| slot.bytes);
        let no_slot_left = charged.is_none() && self.slots.len() >= self.limits.max_work_items;
        let charged = charged.unwrap_or(0);
        let total = self.record_bytes - charged + record_bytes.max(charged);
        if no_slot_left || total > self.limits.max_total_bytes {
            return None;
        }
        let scan_at = self.now.saturating_add(self.retransmit_interval());
        self.scan_at = Some(self.scan_at.map_or(scan_at, |at| at.min(scan_at)));
        let now = self.now;
        Some(self.slots.entry(work.clone()).or_insert_with(|| AcceptorSlot::new(now)))
    }

    /// Returns the group of a work item, if this member belongs to it and `from` is the member that owns
    /// `ballot`.
    fn group_for_ballot(
        &mut self,
        work: &WorkId,
        class: u32,
        from: &MemberId,
        ballot: u64,
    ) -> Option<Rc<[MemberId]>> {
        let group = self.group(work, class)?;
        let rank = self.rank(&group, from).filter(|_| self.rank(&group, &self.me).is_some());
        if rank.is_some_and(|r| ballot % group.len() as u64 == r as u64 && ballot != FENCED_BALLOT) {
            return Some(group);
        }
        self.counters.rejected_messages += 1;
        None
    }

    pub(super) fn handle_accept(&mut self, from: MemberId, message: Accept) {
        let Accept { epoch, id, ballot, seq, sent_us, remaining_us, record } = message;
        let valid = record.filter(|r| r.validation_error().is_none() && r.id == id);
        let Some(record) = valid.map(Rc::new) else {
            self.counters.rejected_messages += 1;
            return;
        };
        let work: WorkId = (epoch, id.as_str().into());
        if self.group_for_ballot(&work, record.class, &from, ballot).is_none() {
            return;
        }
        let now = self.now;
        let check = self.checks.promise;
        let retention = self.outcome_retention(record.class);
        let is_from_self = from == self.me;
        let Some(slot) = self.slot_with_capacity(&work, record.memory_bytes()) else {
            let full = Rejected { epoch, id, ballot, at_capacity: true, ..Rejected::default() };
            return self.send(&from, Body::Rejected(full));
        };
        let opening_before = slot.record().map(|r| r.opening_id);
        let seq = match slot.acceptor.accept(check, ballot, seq, &record) {
            Ok(seq) => seq,
            Err(promised) => {
                let rejected = Rejected { epoch, id, ballot, promised, ..Rejected::default() };
                return self.send(&from, Body::Rejected(rejected));
            }
        };
        // Clients that wait for another opening, perhaps with another payload, retransmit their requests.
        if opening_before.is_some_and(|id| id != record.opening_id)
            || opening_before.is_none() && !is_from_self
        {
            slot.waiters.clear();
        }
        slot.last_ballot_at = now;
        slot.extend(now, remaining_us, retention);
        self.charge_record(&work);
        self.leases.record_renewal(now, &from);
        self.step_down_below(&work, ballot);
        self.send(&from, Body::Accepted(Accepted { epoch, id, ballot, seq, sent_us }));
    }

    /// Updates the memory charged for the record that a slot holds now.
    fn charge_record(&mut self, work: &WorkId) {
        let Some(slot) = self.slots.get_mut(work) else { return };
        let bytes = slot.record().map_or(0, |record| record.memory_bytes());
        self.record_bytes = self.record_bytes - slot.bytes + bytes;
        slot.bytes = bytes;
    }

    pub(super) fn handle_prepare(&mut self, from: MemberId, message: Prepare) {
        let Prepare { epoch, id, ballot, class, remaining_us } = message;
        let work: WorkId = (epoch, id.as_str().into());
        let Some(group) = self.group_for_ballot(&work, class, &from, ballot) else { return };
        if let Some(wait_us) = self.remaining_lease(&work, &group, ballot) {
            self.counters.lease_deferrals += 1;
            let deferred = Rejected { epoch, id, ballot, wait_us, ..Rejected::default() };
            return self.send(&from, Body::Rejected(deferred));
        }
        let now = self.now;
        let check = self.checks.promise;
        let retention = self.outcome_retention(class);
        let Some(slot) = self.slot_with_capacity(&work, 0) else {
            let full = Rejected { epoch, id, ballot, at_capacity: true, ..Rejected::default() };
            return self.send(&from, Body::Rejected(full));
        };
        let is_duplicate = slot.acceptor.promised == Some(ballot);
        if let Err(promised) = slot.acceptor.prepare(check, ballot) {
            let rejected = Rejected { epoch, id, ballot, promised, ..Rejected::default() };
            return self.send(&from, Body::Rejected(rejected));
        }
        // A duplicate does not count as activity: a proposer that receives no promises must not delay the
        // takeover by other members.
        if !is_duplicate {
            slot.last_ballot_at = now;
        }
        slot.extend(now, remaining_us, retention);
        let promised = match &slot.acceptor.accepted {
            Some(accepted) => Promised {
                epoch,
                id,
                ballot,
                accepted_ballot: accepted.ballot,
                seq: accepted.seq,
                record: Some((*accepted.record).clone()),
            },
            None => Promised { epoch, id, ballot, ..Promised::default() },
        };
        self.step_down_below(&work, ballot);
        self.send(&from, Body::Promised(promised));
    }

    /// Returns how much longer a lease at this acceptor prevents it from promising `ballot`; `None` if no
    /// lease does.
    ///
    /// Invariant: while an owner counts this acceptor towards the majority that keeps its lease, the acceptor
    /// promises no other member's ballot. An owner that sends under its lease therefore has not lost its
    /// ballot.
    fn remaining_lease(&self, work: &WorkId, group: &[MemberId], ballot: u64) -> Option<Micros> {
        let size = group.len() as u64;
        let promised = self.slots.get(work)?.acceptor.promised.filter(|promised| *promised < ballot)?;
        let owner = group.get((promised % size) as usize)?;
        if !self.checks.acceptor_lease || ballot % size == promised % size {
            return None;
        }
        if *owner != self.me {
            return self.leases.remaining(self.now, owner);
        }
        let leader = self.leaders.get(work).filter(|leader| self.leader_holds_lease(leader, self.now));
        leader.map(|_| self.retransmit_interval())
    }

    /// Abandons the work item if this member leads it under a ballot lower than `ballot`, which was just
    /// promised or written here.
    fn step_down_below(&mut self, work: &WorkId, ballot: u64) {
        if self.leaders.get(work).is_some_and(|leader| leader.ballot < ballot) {
            self.abandon(work);
        }
    }

    pub(super) fn handle_decided(&mut self, from: MemberId, message: Decided) {
        let Decided { epoch, id, outcome, failed, opening_id } = message;
        let work: WorkId = (epoch, id.as_str().into());
        // An outcome applies only to the opening for which it was decided. A member that holds a record of
        // another opening, which was never chosen, learns so when it takes the work item over.
        let record = self.slots.get(&work).and_then(AcceptorSlot::record);
        let class = record.filter(|r| r.opening_id == opening_id).map(|r| r.class);
        let Some(group) = class.and_then(|class| self.group(&work, class)) else { return };
        if self.rank(&group, &from).is_none() {
            self.counters.rejected_messages += 1;
            return;
        }
        let Some(slot) = self.slots.get_mut(&work).filter(|slot| slot.decision.is_none()) else { return };
        slot.decision = Some(if failed { Decision::Failed } else { Decision::Outcome(outcome.clone()) });
        if let Some(accepted) = slot.acceptor.accepted.as_mut().filter(|a| !a.record.is_finished()) {
            // From now on every majority must report the decision, so this acceptor records it too.
            let mut record = (*accepted.record).clone();
            record.failed = failed;
            record.outcome = (!failed).then_some(outcome);
            record.drop_values();
            accepted.record = Rc::new(record);
            self.charge_record(&work);
        }
        let waiters = self.take_waiters(&work);
        if from == self.me {
            self.remove_leader(&work);
        } else {
            self.abandon(&work);
        }
        for waiter in waiters {
            self.send_outcome(&waiter, &work);
        }
    }

    /// Removes and returns the members waiting for the outcome of a work item. The caller must notify them.
    pub(super) fn take_waiters(&mut self, work: &WorkId) -> Vec<MemberId> {
        self.slots.get_mut(work).map(|slot| std::mem::take(&mut slot.waiters)).unwrap_or_default()
    }

    /// Sends the decision on a work item to a member, if it is known here.
    pub(super) fn send_outcome(&mut self, to: &MemberId, work: &WorkId) {
        match self.slots.get(work).and_then(|slot| slot.decision.clone()) {
            Some(Decision::Outcome(outcome)) => {
                self.send_reply(to, work, SubmitStatus::Outcome, outcome);
            }
            Some(Decision::Failed) => self.send_status(to, work, SubmitStatus::Failed),
            None => {}
        }
    }

    pub(super) fn handle_fence(&mut self, from: MemberId, message: Fence) {
        let Fence { epoch, id, class, remaining_us } = message;
        let work: WorkId = (epoch, id.as_str().into());
        let Some(group) = self.group(&work, class) else { return };
        if !self.is_member(&from) || self.rank(&group, &self.me).is_none() {
            self.counters.rejected_messages += 1;
            return;
        }
        let now = self.now;
        let retention = self.outcome_retention(class);
        let Some(slot) = self.slot_with_capacity(&work, 0) else {
            let full = Fenced { epoch, id, exists: false, at_capacity: true };
            return self.send(&from, Body::Fenced(full));
        };
        slot.extend(now, remaining_us, retention);
        let exists = !slot.acceptor.fence();
        if !exists {
            self.counters.fenced += 1;
            self.step_down_below(&work, FENCED_BALLOT);
        }
        self.send(&from, Body::Fenced(Fenced { epoch, id, exists, at_capacity: false }));
    }
}
