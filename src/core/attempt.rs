//! An attempt of a part: what a transport is handed, how an attempt is called off, and how it ends.
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};

use super::{after, Core, Part, State, Step, Value};
use crate::interface::*;

/// One attempt of one part.
pub struct Call<T: Transport> {
    pub replica: ReplicaId,
    pub carried: Rc<T::Carried>,
    pub shard: ShardId,
    pub step: Step,
    pub deadline: Instant,
    /// Whose it is, and which attempt of which part, sent when.
    of: Option<(Rc<Core<T>>, PartId, u8, Instant)>,
}

impl<T: Transport> Call<T> {
    /// A call of no core, as a transport is tried with alone: it is the only attempt of its part.
    pub fn alone(
        replica: ReplicaId,
        carried: Rc<T::Carried>,
        shard: ShardId,
        step: Step,
        deadline: Instant,
    ) -> Call<T> {
        Call { replica, carried, shard, step, deadline, of: None }
    }

    /// Commit the part to this attempt, before the first of its value goes to the client: its other attempts are
    /// called off in the same breath, and no further one is made. `false` where another attempt was first, or the
    /// query is over: nothing of this one may go out then. What comes of the attempt is still told by its one end.
    pub fn commit(&self) -> bool {
        let Some((core, part, attempt, sent)) = &self.of else { return true };
        core.commit(*part, *attempt, self.replica, *sent)
    }

    /// Whether this attempt has committed its part.
    pub fn committed(&self) -> bool {
        let Some((core, part, attempt, _)) = &self.of else { return true };
        core.state.borrow().parts.get(part).is_some_and(|p| p.committed == Some(*attempt))
    }
}

/// Resolves when an attempt is called off.
#[derive(Clone)]
pub struct Stop(Receiver<Infallible>);

impl Stop {
    /// A stop, and what to drop for it to come.
    pub fn new() -> (Sender<Infallible>, Stop) {
        let (send, stopped) = async_channel::bounded(1);
        (send, Stop(stopped))
    }

    /// Whether it has come: for the last look before a write.
    pub fn called_off(&self) -> bool {
        self.0.is_closed()
    }

    pub async fn wait(&self) {
        while self.0.recv().await.is_ok() {}
    }
}

/// How an attempt ended, and what came with it.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    /// The part's value and its score, if it was served.
    pub served: Option<(Value, f64)>,
    pub report: Option<Report>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, served: None, report: None }
    }
}

/// Carries attempts to replicas. Each call resolves once, with the outcome of that attempt.
pub trait Transport: Sized + 'static {
    type Carried: 'static;
    fn call(self: Rc<Self>, call: Call<Self>, stop: Stop) -> impl Future<Output = Ended>;
    /// Whether the replica answered, and its report.
    fn probe(self: Rc<Self>, replica: ReplicaId) -> impl Future<Output = (bool, Option<Report>)>;
    fn close_idle(&self, replica: ReplicaId);
}

impl<T: Transport> Core<T> {
    /// Start an attempt; whatever becomes of it, its one outcome is fed back, also after its query's end.
    pub(super) fn send(
        self: &Rc<Self>,
        state: &mut State<T::Carried>,
        now: Instant,
        part: PartId,
        replica: ReplicaId,
        timeout: Option<f64>,
    ) {
        let held = state.parts.get_mut(&part).and_then(|p| Some((state.open.get(&p.query)?, p)));
        let Some((open, held)) = held.filter(|(_, p)| u32::from(p.attempts) < self.settings.most_tries)
        else {
            let (attempt, outcome) = (u8::MAX, Outcome::NotSent);
            let over = true;
            state.events.push(Event::Outcome {
                part,
                attempt,
                replica,
                over,
                outcome,
                took: 0.0,
                report: None,
            });
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        self.count(|c| c.sends += 1);
        let deadline = timeout.map_or(open.deadline, |t| after(now, t).min(open.deadline));
        let (carried, step) = (open.carried.clone(), held.step.clone());
        let of = Some((self.clone(), part, attempt, now));
        let call = Call { replica, carried, shard: held.shard, step, deadline, of };
        let (stop, stopped) = Stop::new();
        state.stops.insert((part, attempt), stop);
        let core = self.clone();
        let life = async move {
            let ended = core.transport.clone().call(call, stopped).await;
            core.ended(part, attempt, replica, now, ended);
        };
        self.executor.spawn(life).detach();
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
        state.events.push(Event::Committed { part: id, attempt, replica, took });
        self.wake.notify(1);
        true
    }

    fn ended(&self, id: PartId, attempt: u8, replica: ReplicaId, sent: Instant, ended: Ended) {
        let mut state = self.state.borrow_mut();
        state.stops.remove(&(id, attempt));
        let part = state.parts.get_mut(&id);
        let over = part.as_ref().is_none_or(|p| p.value.is_some()) || ended.served.is_some();
        // The first value counts; where one has begun to go out, that one alone.
        let counts = |p: &&mut Part| p.value.is_none() && p.committed.is_none_or(|n| n == attempt);
        if let Some(part) = part.filter(counts) {
            part.value = ended.served;
        }
        drop(state);
        let (outcome, report) = (ended.outcome, ended.report);
        let took = sent.elapsed().as_secs_f64();
        self.tell(Event::Outcome { part: id, attempt, replica, over, outcome, took, report });
    }
}
