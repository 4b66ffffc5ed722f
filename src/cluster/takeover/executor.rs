//! What whoever executes a started work asks and says.
use std::rc::Rc;

use bytes::Bytes;

use super::leader::{LeaderState, Phase};
use super::{ExecutionKey, Micros, SendDecision, TakeoverState, WorkId};

impl TakeoverState {
    pub(super) fn most_tries(&self) -> u8 {
        // One bit is kept for each.
        self.limits.most_tries.clamp(1, 8)
    }

    fn started(&mut self, now: Micros, key: ExecutionKey) -> Option<(WorkId, &mut LeaderState)> {
        self.now = self.now.max(now);
        let work = self.keys.get(&key)?.clone();
        let led = self.led.get_mut(&work).filter(|l| l.key == key && l.phase == Phase::Lead)?;
        (!led.record.over()).then_some((work, led))
    }

    /// May this attempt be sent now? [`May::Now`] is said once for each, and counts it as made.
    ///
    /// Invariants: an attempt is made only once it is granted with a majority, so that whoever takes over counts it. A
    /// part that must not repeat gets another only when all before it are proved never to have run. No part gets more
    /// than `most_tries`, over all owners.
    pub fn may_send(
        &mut self,
        now: Micros,
        key: ExecutionKey,
        step: u8,
        shard: u32,
        attempt: u8,
    ) -> SendDecision {
        let (most, grant) = (self.most_tries(), self.guards.grant);
        let holds = self.holds(now, key);
        let Some((work, class)) = self.started(now, key).map(|(w, l)| (w, l.record.class)) else {
            return SendDecision::Never;
        };
        let repeats = self.rule(class).is_some_and(|r| r.repeats);
        let Some(led) = self.led.get_mut(&work) else { return SendDecision::Never };
        if attempt >= most || led.deadline <= now {
            return SendDecision::Never;
        }
        let Some(part) = led.record.part_mut(step, shard) else { return SendDecision::Never };
        let state = led.parts.entry((step, shard)).or_default();
        let unproved = !repeats && part.cleared < u32::from(attempt);
        if attempt < state.base || state.made & (1 << attempt) != 0 || unproved {
            return SendDecision::Never;
        }
        if holds && (state.stable > attempt || !grant) {
            state.made |= 1 << attempt;
            return SendDecision::Now;
        }
        state.waits = state.waits.max(attempt + 1);
        let opening = part.granted == 0 && repeats && attempt == 0;
        let granted = if opening { most.min(2) } else { attempt + 1 };
        if part.granted < u32::from(granted) {
            part.granted = granted.into();
            self.dirty.insert(work);
        }
        SendDecision::Later
    }

    /// The ballot and the lease: the last look before a byte.
    pub fn holds(&self, now: Micros, key: ExecutionKey) -> bool {
        let led = self.keys.get(&key).and_then(|w| self.led.get(w));
        led.is_some_and(|l| l.key == key && self.led_holds(l, self.now.max(now)))
    }

    /// One more attempt of this owner is proved never to have run.
    pub fn cleared(&mut self, now: Micros, key: ExecutionKey, step: u8, shard: u32) {
        let Some((_, led)) = self.started(now, key) else { return };
        let made = led.parts.get(&(step, shard)).map_or(0, |s| u32::from(s.base) + s.made.count_ones());
        if let Some(part) = led.record.part_mut(step, shard) {
            part.cleared = (part.cleared + 1).min(made).min(part.granted);
        }
    }

    /// A part's value. It follows to the guards within a sixth of a lease, as far as the record's bound allows.
    pub fn value(
        &mut self,
        now: Micros,
        key: ExecutionKey,
        step: u8,
        shard: u32,
        value: Rc<[u8]>,
        score: f64,
    ) {
        let (most, pause) = (self.limits.record, self.pause());
        let Some((_, led)) = self.started(now, key) else { return };
        if led.record.bytes() + value.len() > most {
            return;
        }
        if let Some(part) = led.record.part_mut(step, shard).filter(|p| p.value.is_none()) {
            (part.value, part.score) = (Some(Bytes::copy_from_slice(&value)), score);
            let by = now.saturating_add(pause);
            led.write_by = Some(led.write_by.map_or(by, |at| at.min(by)));
        }
    }

    /// The outcome. It is told once it stands with a majority; one over the record's bound makes the work fail.
    pub fn finish(&mut self, now: Micros, key: ExecutionKey, outcome: Rc<[u8]>) {
        let most = self.limits.record;
        let Some((work, led)) = self.started(now, key) else { return };
        if outcome.len() > most {
            return self.fail(&work);
        }
        led.record.outcome = Some(Bytes::copy_from_slice(&outcome));
        // Nobody needs them any more.
        led.record.parts.iter_mut().for_each(|p| p.value = None);
        self.dirty.insert(work);
    }
}
