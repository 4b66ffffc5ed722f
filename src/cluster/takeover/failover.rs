//! Failure detection by acceptors: finds work items whose owner is unresponsive, takes them over, and drops
//! those past their retention.
use std::rc::Rc;

use super::leader::{next_ballot, LeaderState};
use super::slot::{AcceptorSlot, FENCED_BALLOT};
use super::{TakeoverState, WorkId};
use crate::cluster::Micros;

/// Work items whose deadlines fall into the same step of 100 ms are taken over by priority.
const DEADLINE_STEP: Micros = 100_000;

/// A work item whose owner is unresponsive.
struct Candidate {
    work: WorkId,
    deadline: Micros,
    priority_weight: f64,
}

impl TakeoverState {
    /// Scans all slots and schedules the next scan.
    pub(super) fn scan_slots(&mut self) {
        let now = self.now;
        let expired = self.slots.iter().filter(|(_, slot)| slot.retain_until <= now);
        let expired: Vec<WorkId> = expired.map(|(work, _)| work.clone()).collect();
        for work in expired {
            self.remove_work_item(&work);
        }
        let any_open = self.slots.values().any(is_open);
        self.take_over_candidates(self.takeover_candidates());
        self.scan_at = if any_open {
            Some(now.saturating_add(self.retransmit_interval()))
        } else {
            self.slots.values().map(|slot| slot.retain_until).min()
        };
    }

    fn takeover_candidates(&self) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (work, slot) in self.slots.iter().filter(|(_, slot)| is_open(slot)) {
            let Some(record) = slot.record() else { continue };
            if !self.leaders.contains_key(work) && self.owner_is_unresponsive(work, slot, record.class) {
                let priority_weight = self.rule(record.class).map_or(0.0, |rule| rule.priority_weight);
                candidates.push(Candidate { work: work.clone(), deadline: slot.deadline, priority_weight });
            }
        }
        candidates
    }

    /// Takes candidates over by time left, in steps of [`DEADLINE_STEP`], and by priority within a step.
    /// Those past their deadline come first: they are only brought to an end, and do not count towards the
    /// limit.
    fn take_over_candidates(&mut self, mut candidates: Vec<Candidate>) {
        let now = self.now;
        let step = |candidate: &Candidate| candidate.deadline.saturating_sub(now) / DEADLINE_STEP;
        candidates.sort_by(|a, b| {
            let by_priority = || b.priority_weight.total_cmp(&a.priority_weight);
            step(a).cmp(&step(b)).then_with(by_priority).then_with(|| a.work.cmp(&b.work))
        });
        let in_progress = self.leaders.values().filter(|leader| leader.takeover).count();
        let mut capacity = self.limits.max_takeovers.saturating_sub(in_progress);
        for candidate in candidates {
            if candidate.deadline > now {
                if capacity == 0 {
                    continue;
                }
                capacity -= 1;
            }
            self.take_over(&candidate.work);
        }
    }

    /// Returns whether the owner of the highest ballot has not been heard from for the duration of a lease,
    /// plus a delay that staggers takeovers by rank. The delay counts the lower ranks that are not suspected
    /// dead.
    fn owner_is_unresponsive(&self, work: &WorkId, slot: &AcceptorSlot, class: u32) -> bool {
        let Some(group) = self.group(work, class) else { return false };
        let Some(own_rank) = self.rank(&group, &self.me) else { return false };
        let owner_rank = (slot.acceptor.promised.unwrap_or(0) % group.len() as u64) as usize;
        let renewed_at = group.get(owner_rank).and_then(|owner| self.leases.last_renewal(owner));
        let last_heard = renewed_at.unwrap_or(0).max(slot.last_ballot_at);
        let ranks = group.iter().enumerate();
        let earlier_ranks =
            ranks.filter(|(rank, m)| *rank < own_rank && *rank != owner_rank && !self.suspected.contains(m));
        let stagger = earlier_ranks.count() as u64 * self.retransmit_interval();
        self.now > last_heard.saturating_add(self.leases.acceptor_duration()).saturating_add(stagger)
    }

    fn take_over(&mut self, work: &WorkId) {
        let Some(slot) = self.slots.get(work) else { return };
        let Some(record) = slot.record().map(Rc::clone) else { return };
        let deadline = slot.deadline;
        let retain_until = slot.retain_until;
        let promised = slot.acceptor.promised;
        let Some(group) = self.group(work, record.class) else { return };
        let Some(rank) = self.rank(&group, &self.me) else { return };
        let Some(ballot) = next_ballot(promised, group.len(), rank) else { return };
        let mut leader = LeaderState::new(self.allocate_key(), group, rank, self.now);
        leader.record = (*record).clone();
        leader.takeover = true;
        leader.deadline = deadline;
        leader.retain_until = retain_until;
        leader.prepare(ballot);
        self.leaders.insert(work.clone(), leader);
        self.retransmit(work);
    }

    /// Drops everything held for a work item.
    pub(super) fn remove_work_item(&mut self, work: &WorkId) {
        if let Some(slot) = self.slots.remove(work) {
            self.record_bytes -= slot.bytes;
        }
        self.abandon(work);
    }
}

/// Returns whether the slot holds a record without a decision and is not fenced.
fn is_open(slot: &AcceptorSlot) -> bool {
    slot.record().is_some() && slot.decision.is_none() && slot.acceptor.promised != Some(FENCED_BALLOT)
}
