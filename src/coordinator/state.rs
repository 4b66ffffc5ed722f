//! What a coordinator keeps of its open queries, their parts and their attempts, and the input of its next round.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Instant;

use async_channel::Sender;

use super::cancellation::CancellationGuard;
use super::query::ShardValue;
use super::retry_window::RetryWindow;
use super::{PriorProgress, QueryOutcome, ScoredValue, Step, TakeoverProtection};
use crate::balancer::interface::{ClassId, Event, PartId, QueryId, QueryNumber, ShardId};
use crate::Balancer;

/// An attempt of a part, numbered from 0 as the module numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The part.
    pub part: PartId,
    /// Attempts of the part that were started before it, with those of earlier owners of the query.
    pub number: u8,
}

/// A part of an open query.
pub(super) struct Part {
    /// The query that it belongs to.
    pub query: QueryId,
    /// The shard that it asks for.
    pub shard: ShardId,
    /// The step of its query.
    pub step: Step,
    /// The value of the first attempt that succeeded.
    pub value: Option<ScoredValue>,
    /// Attempts so far. Those that an earlier owner of the query may have made are among them.
    pub attempts: u8,
    /// Further attempts of an earlier owner, proved never to have run.
    pub never_ran_attempts: u8,
    /// The attempt whose value has begun to go to the client.
    pub committed: Option<u8>,
    /// Where replicas deduplicate a retry for a while only: the attempts that may have run.
    pub retry_window: Option<Rc<RetryWindow>>,
}

/// A query without a final outcome.
pub(super) struct OpenQuery<C> {
    /// The number that it shares with its parts.
    pub number: QueryNumber,
    /// Its class, by the order of the settings.
    pub class: ClassId,
    /// When its client's time is up.
    pub deadline: Instant,
    /// What the front handed in for the transport.
    pub context: Rc<C>,
    /// The open parts of its current step, in the order in which the front named them.
    pub parts: Vec<PartId>,
    /// Whether the first step has been answered.
    pub in_second_step: bool,
    /// For how many seconds replicas deduplicate a retry of its parts, where none may come later.
    pub retry_window: Option<f64>,
    /// Of a protected query.
    pub protection: Option<TakeoverProtection>,
    /// Holds the one final outcome.
    pub outcome: Sender<QueryOutcome>,
}

/// The mutable state of a coordinator. Methods take note and return; none calls a transport or a gate.
pub(super) struct State<C> {
    /// The decision module.
    pub balancer: Balancer,
    /// Events for the next round, in the order in which they came.
    pub events: Vec<Event>,
    /// When the module asked for a round, soonest first.
    pub timers: BinaryHeap<Reverse<Instant>>,
    /// Queries without a final outcome.
    pub queries: BTreeMap<QueryId, OpenQuery<C>>,
    /// The parts of those.
    pub parts: BTreeMap<PartId, Part>,
    /// Of the attempts in flight; dropping a guard cancels its attempt.
    pub cancellations: BTreeMap<AttemptId, CancellationGuard>,
    last_id: u32,
}

impl Part {
    /// Whether a value of this attempt would be the part's: the first value counts, and where one has begun to go
    /// out, that one alone.
    pub fn accepts(&self, attempt: u8) -> bool {
        self.value.is_none() && self.committed.is_none_or(|n| n == attempt)
    }
}

impl<C> State<C> {
    /// Without queries; one timer event is due at once.
    pub fn new(balancer: Balancer) -> State<C> {
        State {
            balancer,
            // A first round, whatever happens: without it a list of replicas would never be subscribed to.
            events: vec![Event::Timer],
            timers: BinaryHeap::new(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Whether queries and parts together are as many as may be open.
    pub fn is_full(&self, max_open: usize) -> bool {
        self.queries.len() + self.parts.len() >= max_open
    }

    /// A number for a query or a part; numbers wrap around.
    pub fn next_id(&mut self) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    /// Turn timers that are due into events; when the next one is due.
    pub fn fire_timers(&mut self, now: Instant) -> Option<Instant> {
        while self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.timers.pop();
            self.events.push(Event::Timer);
        }
        self.timers.peek().map(|Reverse(at)| *at)
    }

    /// Open the parts of one step of a query: pairs of a shard and its weight.
    pub fn open_parts(
        &mut self,
        id: QueryId,
        query: &mut OpenQuery<C>,
        step: &Step,
        parts: &[(ShardId, f64)],
    ) {
        for &(shard, weight) in parts {
            let part = PartId(self.next_id());
            query.parts.push(part);
            let prior = query.protection.as_ref().and_then(|p| p.prior_progress.get(&(step.number(), shard)));
            let value = prior.and_then(|p| p.value.clone());
            let completed = value.is_some();
            let prior_attempts = prior.map_or(0, PriorProgress::attempts_that_may_have_run);
            let open = Part {
                query: id,
                shard,
                step: step.clone(),
                value,
                attempts: prior_attempts,
                never_ran_attempts: prior.map_or(0, |p| p.never_ran_attempts),
                committed: None,
                retry_window: query.retry_window.map(RetryWindow::new),
            };
            self.parts.insert(part, open);
            let number = query.number;
            self.events.push(Event::Part { part, number, shard, weight, prior_attempts, completed });
        }
    }

    /// Cancel an attempt, if it is in flight.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.cancellations.remove(&attempt);
    }

    /// Remove a part and cancel its attempts at once. Prevents an attempt that waits on a connect, or behind others,
    /// from being written after its query's final answer.
    fn close_part(&mut self, id: PartId) -> Option<Part> {
        let part = self.parts.remove(&id)?;
        for number in 0..part.attempts {
            self.cancel(AttemptId { part: id, number });
        }
        Some(part)
    }

    /// Close a query's parts; the values that are in, in the order of the parts.
    pub fn close_parts(&mut self, query: &mut OpenQuery<C>) -> Vec<ShardValue> {
        let parts = std::mem::take(&mut query.parts);
        let closed = parts.into_iter().filter_map(|id| self.close_part(id));
        closed.filter_map(|part| part.value.map(|scored| ShardValue { shard: part.shard, scored })).collect()
    }

    /// Remove a query with its parts; `None` if it has its final outcome.
    pub fn close(&mut self, id: QueryId) -> Option<OpenQuery<C>> {
        let mut query = self.queries.remove(&id)?;
        self.close_parts(&mut query);
        Some(query)
    }

    /// Close a query with this final outcome, unless it has one.
    pub fn finish(&mut self, id: QueryId, outcome: QueryOutcome) {
        if let Some(query) = self.close(id) {
            query.send_outcome(outcome);
        }
    }
}

impl<C> OpenQuery<C> {
    /// Give the query its final outcome.
    pub fn send_outcome(&self, outcome: QueryOutcome) {
        // Refused only if the query's handle is gone: nobody waits for the outcome.
        let _ = self.outcome.try_send(outcome);
    }
}
