//! The lifecycle of an attempt: start, grant if its query is protected, commit and end.
//!
//! Invariant: each attempt reports exactly one outcome to the balancer, even if its query ends
//! first.
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;

use super::cancellation::RetryLimit;
use super::state::{AttemptId, OpenQuery, Part, State};
use super::transport::CallOrigin;
use super::{
    deadline_after, AttemptGate, AttemptResult, Call, CancellationToken, Coordinator, ScoredValue, Transport,
};
use crate::balancer::interface::{Event, Outcome, PartId, ReplicaId};

impl<T: Transport> Coordinator<T> {
    /// Starts an attempt of a part. `timeout` is the attempt's own timeout in seconds, if it has
    /// one.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut State<T::RequestContext>,
        now: Instant,
        id: PartId,
        replica: ReplicaId,
        timeout: Option<f64>,
    ) {
        let Some((query, part)) = state.startable(id, self.max_attempts) else {
            state.events.push(never_started(id, replica));
            return;
        };
        let attempt = AttemptId { part: id, number: part.attempts };
        part.attempts += 1;
        self.count(|c| c.attempts += 1);
        let call = Call {
            replica,
            context: query.context.clone(),
            shard: part.shard,
            step: part.step.clone(),
            deadline: timeout.map_or(query.deadline, |t| deadline_after(now, t).min(query.deadline)),
            origin: Some(CallOrigin { coordinator: self.clone(), attempt, sent: now }),
        };
        let (guard, mut cancellation) = CancellationToken::new();
        cancellation.gate = query.protection.as_ref().map(|protection| protection.gate.clone());
        cancellation.retry = part.retry_window.as_ref().map(|window| {
            window.record_start(attempt.number, now);
            RetryLimit { window: window.clone(), attempt: attempt.number }
        });
        // The attempt's number at the gate. It also counts the attempts of earlier owners that never
        // ran, which the balancer does not count.
        let number = attempt.number.saturating_add(part.never_ran_attempts);
        state.cancellations.insert(attempt, guard);
        let task = match cancellation.gate.clone() {
            Some(gate) => self.executor.spawn(self.clone().run_protected(gate, number, call, cancellation)),
            None => self.executor.spawn(self.clone().run_unprotected(attempt, now, call, cancellation)),
        };
        task.detach();
    }

    async fn run_unprotected(
        self: Rc<Self>,
        attempt: AttemptId,
        sent: Instant,
        call: Call<T>,
        cancellation: CancellationToken,
    ) {
        let replica = call.replica;
        let result = self.transport.clone().call(call, cancellation).await;
        self.finish_attempt(attempt, replica, sent, result);
    }

    /// Runs an attempt of a protected query. Invariant: nothing reaches the transport before the
    /// gate has granted the attempt's number, or after the gate has lost ownership of the query.
    async fn run_protected(
        self: Rc<Self>,
        gate: Rc<dyn AttemptGate>,
        number: u8,
        mut call: Call<T>,
        cancellation: CancellationToken,
    ) {
        let Some(origin) = &mut call.origin else { return };
        let attempt = origin.attempt;
        let replica = call.replica;
        let shard = call.shard;
        let step = call.step.number();
        let deadline = call.deadline;
        let pending_grant = gate.request_grant(step, shard, number);
        let given_up = async {
            let expired = async {
                Timer::at(deadline).await;
            };
            cancellation.cancelled().or(expired).await;
            false
        };
        let granted = pending_grant.or(given_up).await;
        // The response time excludes the wait for the grant, which says nothing about the replica.
        let sent = Instant::now();
        origin.sent = sent;
        let result = if granted && !cancellation.is_cancelled() {
            self.transport.clone().call(call, cancellation).await
        } else {
            Outcome::NeverSent.into()
        };
        match &result.value {
            Some(scored) if self.accepts_value(attempt) => gate.record_value(step, shard, scored),
            // An attempt that was given up before its grant may still be granted. It then counts as
            // made, which is the safe assumption.
            None if granted && result.outcome.never_ran() => gate.record_never_ran(step, shard),
            _ => {}
        }
        self.finish_attempt(attempt, replica, sent, result);
    }

    /// Returns whether a value of this attempt would become its part's value.
    fn accepts_value(&self, attempt: AttemptId) -> bool {
        self.state.borrow().parts.get(&attempt.part).is_some_and(|part| part.accepts(attempt.number))
    }

    /// Implements [`Call::is_committed`].
    pub(super) fn is_committed(&self, attempt: AttemptId) -> bool {
        let state = self.state.borrow();
        state.parts.get(&attempt.part).is_some_and(|part| part.committed == Some(attempt.number))
    }

    /// Implements [`Call::commit`].
    pub(super) fn commit(&self, attempt: AttemptId, replica: ReplicaId, sent: Instant) -> bool {
        let AttemptId { part: id, number } = attempt;
        let state = &mut *self.state.borrow_mut();
        let Some(part) = state.parts.get_mut(&id).filter(|part| part.value.is_none()) else { return false };
        if part.committed.is_some() {
            return part.committed == Some(number);
        }
        part.committed = Some(number);
        let attempts = part.attempts;
        for other in (0..attempts).filter(|other| *other != number) {
            state.cancel(AttemptId { part: id, number: other });
        }
        let elapsed = sent.elapsed().as_secs_f64();
        state.events.push(Event::ResponseStarted { part: id, attempt: number, replica, elapsed });
        self.wake.notify(1);
        true
    }

    /// Records the result of an attempt and reports its outcome to the balancer.
    fn finish_attempt(&self, attempt: AttemptId, replica: ReplicaId, sent: Instant, result: AttemptResult) {
        let AttemptResult { outcome, value, report } = result;
        let part_finished = self.state.borrow_mut().record_result(attempt, outcome, value);
        self.enqueue(Event::Outcome {
            part: attempt.part,
            attempt: attempt.number,
            replica,
            part_finished,
            outcome,
            elapsed: sent.elapsed().as_secs_f64(),
            report,
        });
    }
}

impl<C> State<C> {
    /// Returns a part that may have another attempt, with its query.
    fn startable(&mut self, id: PartId, max_attempts: u32) -> Option<(&OpenQuery<C>, &mut Part)> {
        let part = self.parts.get_mut(&id)?;
        let query = self.queries.get(&part.query)?;
        (u32::from(part.attempts) < max_attempts).then_some((query, part))
    }

    /// Records the end of an attempt; returns whether its part is finished.
    fn record_result(&mut self, attempt: AttemptId, outcome: Outcome, value: Option<ScoredValue>) -> bool {
        self.cancel(attempt);
        let Some(part) = self.parts.get_mut(&attempt.part) else { return true };
        let part_finished = part.value.is_some() || value.is_some();
        if let Some(window) = &part.retry_window {
            window.record_outcome(attempt.number, outcome);
        }
        if part.accepts(attempt.number) {
            part.value = value;
        }
        part_finished
    }
}

/// Returns the outcome event of an attempt that the balancer requested but that cannot be started,
/// because its part is gone or has no attempts left.
fn never_started(part: PartId, replica: ReplicaId) -> Event {
    Event::Outcome {
        part,
        attempt: u8::MAX,
        replica,
        part_finished: true,
        outcome: Outcome::NeverSent,
        elapsed: 0.0,
        report: None,
    }
}
