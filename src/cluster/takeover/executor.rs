//! Methods called by the executor of a running work item: requests for attempts, part values, and the
//! outcome.
use std::rc::Rc;

use bytes::Bytes;

use super::leader::{LeaderState, Phase};
use super::{ExecutionKey, Micros, SendDecision, TakeoverState, WorkId};

impl TakeoverState {
    pub(super) fn max_attempts(&self) -> u8 {
        // Attempts are stored as bits of a `u8`.
        self.limits.max_attempts.clamp(1, 8)
    }

    fn running(&mut self, now: Micros, key: ExecutionKey) -> Option<(WorkId, &mut LeaderState)> {
        self.now = self.now.max(now);
        let work = self.executions.get(&key)?.clone();
        let leader = self.leaders.get_mut(&work).filter(|l| l.key == key && l.phase == Phase::Leading)?;
        (!leader.record.is_finished()).then_some((work, leader))
    }

    /// Decides whether an attempt may be sent now. Returns [`SendDecision::Now`] at most once per attempt,
    /// and counts the attempt as made.
    ///
    /// Invariants: an attempt is made only after a majority holds its grant, so that a successor counts it. A
    /// part that is not idempotent gets another attempt only if all earlier ones are known never to have run.
    /// No part gets more than `max_attempts` attempts, over all owners.
    pub fn may_send(
        &mut self,
        now: Micros,
        key: ExecutionKey,
        step: u8,
        shard: u32,
        attempt: u8,
    ) -> SendDecision {
        let max_attempts = self.max_attempts();
        let replicate_grant_first = self.checks.replicate_grant_first;
        let lease_holds = self.holds_lease(now, key);
        let Some((work, leader)) = self.running(now, key) else { return SendDecision::Never };
        let class = leader.record.class;
        let idempotent = self.rule(class).is_some_and(|rule| rule.idempotent);
        let Some(leader) = self.leaders.get_mut(&work) else { return SendDecision::Never };
        if attempt >= max_attempts || leader.deadline <= now {
            return SendDecision::Never;
        }
        let Some(part) = leader.record.part_or_insert(step, shard) else { return SendDecision::Never };
        let grants = leader.parts.entry((step, shard)).or_default();
        let already_made = attempt < grants.inherited || grants.made & (1 << attempt) != 0;
        let may_have_run = !idempotent && part.cleared < u32::from(attempt);
        if already_made || may_have_run {
            return SendDecision::Never;
        }
        if lease_holds && (grants.committed > attempt || !replicate_grant_first) {
            grants.made |= 1 << attempt;
            return SendDecision::Now;
        }
        grants.awaited = grants.awaited.max(attempt + 1);
        let is_first = part.granted == 0 && idempotent && attempt == 0;
        let granted = if is_first { max_attempts.min(2) } else { attempt + 1 };
        if part.granted < u32::from(granted) {
            part.granted = granted.into();
            self.unwritten.insert(work);
        }
        SendDecision::AwaitGrant
    }

    /// Returns whether this member still holds the ballot and the lease. This is the last check before bytes
    /// are written to a socket, and it changes nothing.
    pub fn holds_lease(&self, now: Micros, key: ExecutionKey) -> bool {
        let leader = self.executions.get(&key).and_then(|work| self.leaders.get(work));
        leader.is_some_and(|l| l.key == key && self.leader_holds_lease(l, self.now.max(now)))
    }

    /// Records that one more attempt by this owner is known never to have run.
    pub fn record_cleared(&mut self, now: Micros, key: ExecutionKey, step: u8, shard: u32) {
        let Some((_, leader)) = self.running(now, key) else { return };
        let grants = leader.parts.get(&(step, shard));
        let attempts_made = grants.map_or(0, |grants| u32::from(grants.inherited) + grants.made.count_ones());
        if let Some(part) = leader.record.part_or_insert(step, shard) {
            part.cleared = (part.cleared + 1).min(attempts_made).min(part.granted);
        }
    }

    /// Records the value of a part. It is replicated within a sixth of the lease duration, unless the record
    /// would exceed its size limit. A second value of the same part is ignored.
    pub fn record_value(
        &mut self,
        now: Micros,
        key: ExecutionKey,
        step: u8,
        shard: u32,
        value: Rc<[u8]>,
        score: f64,
    ) {
        let max_bytes = self.limits.max_record_bytes;
        let write_by = now.saturating_add(self.retransmit_interval());
        let Some((_, leader)) = self.running(now, key) else { return };
        if leader.record.memory_bytes() + value.len() > max_bytes {
            return;
        }
        let part = leader.record.part_or_insert(step, shard);
        if let Some(part) = part.filter(|part| part.value.is_none()) {
            part.value = Some(Bytes::copy_from_slice(&value));
            part.score = score;
            leader.write_by = Some(leader.write_by.map_or(write_by, |at| at.min(write_by)));
        }
    }

    /// Records the outcome. Clients receive it once a majority holds it. An outcome larger than the record
    /// size limit fails the work item.
    pub fn finish(&mut self, now: Micros, key: ExecutionKey, outcome: Rc<[u8]>) {
        let max_bytes = self.limits.max_record_bytes;
        let Some((work, leader)) = self.running(now, key) else { return };
        if outcome.len() > max_bytes {
            return self.fail(&work);
        }
        leader.record.outcome = Some(Bytes::copy_from_slice(&outcome));
        leader.record.drop_values();
        self.unwritten.insert(work);
    }
}
