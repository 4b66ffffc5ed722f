//! An attempt of a part: what a transport is handed, how an attempt is called off, and how it ends.
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;

use super::{deadline_after, AttemptGate, Coordinator, Part, PartValue, RetryWindow, State, Step};
use crate::balancer::interface::*;

/// One attempt of one part.
pub struct Call<T: Transport> {
    pub replica: ReplicaId,
    pub context: Rc<T::RequestContext>,
    pub shard: ShardId,
    pub step: Step,
    pub deadline: Instant,
    /// Whose it is, and which attempt of which part, sent when.
    of: Option<(Rc<Coordinator<T>>, PartId, u8, Instant)>,
}

impl<T: Transport> Call<T> {
    /// A call of no core, as a transport is tried with alone: it is the only attempt of its part.
    pub fn standalone(
        replica: ReplicaId,
        carried: Rc<T::RequestContext>,
        shard: ShardId,
        step: Step,
        deadline: Instant,
    ) -> Call<T> {
        Call { replica, context: carried, shard, step, deadline, of: None }
    }

    /// Commit the part to this attempt, before the first of its value goes to the client: its other attempts are
    /// called off in the same breath, and no further one is made. `false` where another attempt was first, or the
    /// query is over: nothing of this one may go out then. What comes of the attempt is still told by its one end.
    pub fn commit(&self) -> bool {
        let Some((core, part, attempt, sent)) = &self.of else { return true };
        core.commit(*part, *attempt, self.replica, *sent)
    }

    /// Whether this attempt has committed its part.
    pub fn is_committed(&self) -> bool {
        let Some((core, part, attempt, _)) = &self.of else { return true };
        core.state.borrow().parts.get(part).is_some_and(|p| p.committed == Some(*attempt))
    }
}

/// Resolves when an attempt is called off.
#[derive(Clone)]
pub struct CancellationToken {
    come: Receiver<Infallible>,
    /// That of a protected query.
    gate: Option<Rc<dyn AttemptGate>>,
    /// Where a repeat must not come late: the part's attempts, and which of them this one is.
    repeats: Option<(Rc<RetryWindow>, u8)>,
}

impl CancellationToken {
    /// A stop, and what to drop for it to come.
    pub fn new() -> (Sender<Infallible>, CancellationToken) {
        let (send, stopped) = async_channel::bounded(1);
        (send, CancellationToken { come: stopped, gate: None, repeats: None })
    }

    /// Whether it has come, or the query is not ours to send for: for the last look before a write.
    pub fn is_cancelled(&self) -> bool {
        self.come.is_closed() || self.gate.as_ref().is_some_and(|gate| !gate.holds())
    }

    /// Whether the attempt would be a repeat that comes after its class's window: for the last look before a write,
    /// which ends it as not sent. Guards against one that was decided within the window and waited on a connect,
    /// behind other parts or for its grant until after it.
    pub fn is_past_retry_window(&self, now: Instant) -> bool {
        self.repeats.as_ref().is_some_and(|(repeats, attempt)| repeats.too_late(*attempt, now))
    }

    pub async fn cancelled(&self) {
        while self.come.recv().await.is_ok() {}
    }
}

/// How an attempt ended, and what came with it.
#[derive(Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The part's value and its score, if it was served.
    pub value: Option<(PartValue, f64)>,
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, value: None, report: None }
    }
}

/// Carries attempts to replicas. Each call resolves once, with the outcome of that attempt.
pub trait Transport: Sized + 'static {
    type RequestContext: 'static;
    fn call(self: Rc<Self>, call: Call<Self>, stop: CancellationToken)
        -> impl Future<Output = AttemptResult>;
    /// Whether the replica answered, and its report.
    fn probe(self: Rc<Self>, replica: ReplicaId) -> impl Future<Output = (bool, Option<LoadReport>)>;
    fn close_idle(&self, replica: ReplicaId);
}

impl<T: Transport> Coordinator<T> {
    /// Start an attempt; whatever becomes of it, its one outcome is fed back, also after its query's end.
    pub(super) fn send(
        self: &Rc<Self>,
        state: &mut State<T::RequestContext>,
        now: Instant,
        part: PartId,
        replica: ReplicaId,
        timeout: Option<f64>,
    ) {
        let held = state.parts.get_mut(&part).and_then(|p| Some((state.open.get(&p.query)?, p)));
        let Some((open, held)) = held.filter(|(_, p)| u32::from(p.attempts) < self.max_attempts) else {
            let (attempt, outcome) = (u8::MAX, Outcome::NeverSent);
            let over = true;
            state.events.push(Event::Outcome {
                part,
                attempt,
                replica,
                part_finished: over,
                outcome,
                elapsed: 0.0,
                report: None,
            });
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        self.count(|c| c.attempts += 1);
        let deadline = timeout.map_or(open.deadline, |t| deadline_after(now, t).min(open.deadline));
        let (carried, step) = (open.carried.clone(), held.step.clone());
        let of = Some((self.clone(), part, attempt, now));
        let call = Call { replica, context: carried, shard: held.shard, step, deadline, of };
        let (stop, mut stopped) = CancellationToken::new();
        if let Some(repeats) = &held.repeats {
            repeats.decided(attempt, now);
            stopped.repeats = Some((repeats.clone(), attempt));
        }
        state.stops.insert((part, attempt), stop);
        let core = self.clone();
        if let Some(protection) = &open.protection {
            stopped.gate = Some(protection.gate.clone());
            // What was cleared of an earlier owner is no attempt of the module's, and has its number all the same.
            let number = attempt.saturating_add(held.cleared);
            self.executor.spawn(core.gated(protection.gate.clone(), number, call, stopped)).detach();
            return;
        }
        let life = async move {
            let ended = core.transport.clone().call(call, stopped).await;
            core.ended(part, attempt, replica, now, ended);
        };
        self.executor.spawn(life).detach();
    }

    /// The life of an attempt of a protected query. Invariant: nothing of it reaches the transport before its gate has
    /// granted its number, or once the gate holds the query no more.
    async fn gated(
        self: Rc<Self>,
        gate: Rc<dyn AttemptGate>,
        number: u8,
        mut call: Call<T>,
        stop: CancellationToken,
    ) {
        let Some((_, part, attempt, sent)) = &mut call.of else { return };
        let (part, attempt, replica) = (*part, *attempt, call.replica);
        let (step, shard, deadline) = (call.step.number(), call.shard, call.deadline);
        let granting = gate.may_send(step, shard, number);
        let given_up = async {
            stop.cancelled()
                .or(async {
                    let _ = Timer::at(deadline).await;
                })
                .await;
            false
        };
        let granted = granting.or(given_up).await;
        // What waited for its grant says nothing of its replica: the time of its response counts from here.
        *sent = Instant::now();
        let sent = *sent;
        let ended = match granted && !stop.is_cancelled() {
            true => self.transport.clone().call(call, stop).await,
            false => Outcome::NeverSent.into(),
        };
        match &ended.value {
            Some((value, score)) if self.wants(part, attempt) => gate.value(step, shard, value, *score),
            // Not granted, it may still be: then it counts as made, which errs on the safe side.
            None if granted && ended.outcome.never_ran() => gate.cleared(step, shard),
            _ => {}
        }
        self.ended(part, attempt, replica, sent, ended);
    }

    /// Whether a value of this attempt would be its part's.
    fn wants(&self, part: PartId, attempt: u8) -> bool {
        self.state.borrow().parts.get(&part).is_some_and(|p| p.takes(attempt))
    }

    fn commit(&self, id: PartId, attempt: u8, replica: ReplicaId, sent: Instant) -> bool {
        let state = &mut *self.state.borrow_mut();
        let Some(part) = state.parts.get_mut(&id).filter(|p| p.value.is_none()) else { return false };
        if part.committed.is_some() {
            return part.committed == Some(attempt);
        }
        part.committed = Some(attempt);
        let others = (0..part.attempts).filter(|n| *n != attempt);
        others.for_each(|n| drop(state.stops.remove(&(id, n))));
        let took = sent.elapsed().as_secs_f64();
        state.events.push(Event::ResponseStarted { part: id, attempt, replica, elapsed: took });
        self.wake.notify(1);
        true
    }

    fn ended(&self, id: PartId, attempt: u8, replica: ReplicaId, sent: Instant, ended: AttemptResult) {
        let mut state = self.state.borrow_mut();
        state.stops.remove(&(id, attempt));
        let part = state.parts.get_mut(&id);
        let over = part.as_ref().is_none_or(|p| p.value.is_some()) || ended.value.is_some();
        if let Some(repeats) = part.as_ref().and_then(|p| p.repeats.as_ref()) {
            repeats.ended(attempt, ended.outcome);
        }
        if let Some(part) = part.filter(|p| p.takes(attempt)) {
            part.value = ended.value;
        }
        drop(state);
        let (outcome, report) = (ended.outcome, ended.report);
        let took = sent.elapsed().as_secs_f64();
        self.enqueue(Event::Outcome {
            part: id,
            attempt,
            replica,
            part_finished: over,
            outcome,
            elapsed: took,
            report,
        });
    }
}

impl Part {
    /// The first value counts; where one has begun to go out, that one alone.
    fn takes(&self, attempt: u8) -> bool {
        self.value.is_none() && self.committed.is_none_or(|n| n == attempt)
    }
}
