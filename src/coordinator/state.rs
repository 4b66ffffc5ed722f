//! State of a coordinator: open queries with their parts and attempts, and the input of the next
//! round.
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

/// Identifies an attempt of a part; attempts are numbered from 0, as in the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The part.
    pub part: PartId,
    /// Number of attempts of the part started before, including those of earlier owners of the
    /// query.
    pub number: u8,
}

/// A part of an open query.
pub(super) struct Part {
    /// The query that it belongs to.
    pub query: QueryId,
    /// The shard that it reads.
    pub shard: ShardId,
    /// Its step of the query.
    pub step: Step,
    /// The value of the first successful attempt.
    pub value: Option<ScoredValue>,
    /// Number of attempts so far, including those that an earlier owner of the query may have made.
    pub attempts: u8,
    /// Number of further attempts of earlier owners that are proved never to have run.
    pub never_ran_attempts: u8,
    /// The attempt whose value has started to stream to the client.
    pub committed: Option<u8>,
    /// The retry window, for classes whose replicas deduplicate retries only for a limited time.
    pub retry_window: Option<Rc<RetryWindow>>,
}

/// A query without a final outcome.
pub(super) struct OpenQuery<C> {
    /// The number that it shares with its parts.
    pub number: QueryNumber,
    /// Index of its class in the settings.
    pub class: ClassId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The context that the front submitted for the transport.
    pub context: Rc<C>,
    /// The open parts of the current step, in the order given by the front.
    pub parts: Vec<PartId>,
    /// Whether the first step has been answered.
    pub in_second_step: bool,
    /// For how many seconds replicas deduplicate retries, if no retry may come later.
    pub retry_window: Option<f64>,
    /// Takeover protection, if the query is protected.
    pub protection: Option<TakeoverProtection>,
    /// Receives the final outcome.
    pub outcome: Sender<QueryOutcome>,
}

/// The mutable state of a coordinator. Its methods only update the state and never call a transport
/// or a gate.
pub(super) struct State<C> {
    /// The decision module.
    pub balancer: Balancer,
    /// Events for the next round, in order of arrival.
    pub events: Vec<Event>,
    /// When the balancer requested rounds, earliest first.
    pub timers: BinaryHeap<Reverse<Instant>>,
    /// Queries without a final outcome.
    pub queries: BTreeMap<QueryId, OpenQuery<C>>,
    /// Parts of open queries.
    pub parts: BTreeMap<PartId, Part>,
    /// Cancellation guards of the attempts in flight; dropping one cancels its attempt.
    pub cancellations: BTreeMap<AttemptId, CancellationGuard>,
    last_id: u32,
}

impl Part {
    /// Returns whether a value of this attempt would become the part's value: the first value
    /// counts, but once an attempt has committed, only its value does.
    pub fn accepts(&self, attempt: u8) -> bool {
        self.value.is_none() && self.committed.is_none_or(|n| n == attempt)
    }
}

impl<C> State<C> {
    /// Creates a state without queries and with a timer event for an immediate first round.
    pub fn new(balancer: Balancer) -> State<C> {
        State {
            balancer,
            // Forces a first round, without which the endpoint list would never be subscribed to.
            events: vec![Event::Timer],
            timers: BinaryHeap::new(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            cancellations: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Returns whether the total number of queries and parts has reached the limit.
    pub fn is_full(&self, max_open: usize) -> bool {
        self.queries.len() + self.parts.len() >= max_open
    }

    /// Returns the next id for a query or a part; ids wrap around.
    pub fn next_id(&mut self) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    /// Turns due timers into events; returns when the next timer is due.
    pub fn fire_timers(&mut self, now: Instant) -> Option<Instant> {
        while self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.timers.pop();
            self.events.push(Event::Timer);
        }
        self.timers.peek().map(|Reverse(at)| *at)
    }

    /// Opens the parts of one step of a query, given as pairs of shard and weight.
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

    /// Cancels an attempt if it is in flight.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.cancellations.remove(&attempt);
    }

    /// Removes a part and cancels its attempts immediately. This prevents an attempt that is
    /// waiting for a connection, or behind others, from being written after its query's final
    /// answer.
    fn close_part(&mut self, id: PartId) -> Option<Part> {
        let part = self.parts.remove(&id)?;
        for number in 0..part.attempts {
            self.cancel(AttemptId { part: id, number });
        }
        Some(part)
    }

    /// Closes a query's parts; returns the received values, in the order of the parts.
    pub fn close_parts(&mut self, query: &mut OpenQuery<C>) -> Vec<ShardValue> {
        let parts = std::mem::take(&mut query.parts);
        let closed = parts.into_iter().filter_map(|id| self.close_part(id));
        closed.filter_map(|part| part.value.map(|scored| ShardValue { shard: part.shard, scored })).collect()
    }

    /// Removes a query with its parts; returns `None` if the query already has its final outcome.
    pub fn close(&mut self, id: QueryId) -> Option<OpenQuery<C>> {
        let mut query = self.queries.remove(&id)?;
        self.close_parts(&mut query);
        Some(query)
    }

    /// Closes a query with this final outcome, unless it already has one.
    pub fn finish(&mut self, id: QueryId, outcome: QueryOutcome) {
        if let Some(query) = self.close(id) {
            query.send_outcome(outcome);
        }
    }
}

impl<C> OpenQuery<C> {
    /// Sends the query's final outcome to its handle.
    pub fn send_outcome(&self, outcome: QueryOutcome) {
        // This only fails if the handle was dropped, in which case nobody waits for the outcome.
        let _ = self.outcome.try_send(outcome);
    }
}
