//! Queries in the coordinator: the query that a front submits, the handle that it receives, and the
//! final outcome.
use std::rc::{Rc, Weak};
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;

use super::state::{OpenQuery, State};
use super::{Coordinator, TakeoverProtection, Transport};
use crate::balancer::interface::{Class, ClassId, Event, QueryId, QueryNumber, ShardId, TenantId};

/// A query as submitted by a front; `C` is the context that the transport needs.
pub struct Query<C> {
    /// Index of the query's class in the settings.
    pub class: ClassId,
    /// The tenant whose quota the query counts against.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Whether this is a client's retry, if clients mark retries.
    pub is_retry: bool,
    /// The parts of the first step: shard, and weight in the answer.
    pub parts: Vec<(ShardId, f64)>,
    /// Passed to the transport with each attempt.
    pub context: C,
    /// Takeover protection; `None` if no other process may take over the query, so that its
    /// attempts need no grant.
    pub protection: Option<TakeoverProtection>,
}

/// The value of a part, as returned by a replica.
pub type PartValue = Rc<[u8]>;

/// The value of a part with its score. The shards of a second step are those with the highest
/// scores.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredValue {
    /// The value itself.
    pub value: PartValue,
    /// The score; only comparable within a query.
    pub score: f64,
}

/// The value of a part with its shard.
pub(super) struct ShardValue {
    /// The part's shard.
    pub shard: ShardId,
    /// Its value.
    pub scored: ScoredValue,
}

/// The final outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The query was answered.
    Answered {
        /// Whether the answer covers all shards.
        complete: bool,
        /// The received values, in the order of the parts.
        values: Vec<(ShardId, PartValue)>,
    },
    /// The query was rejected to shed load; a retry is harmless.
    Rejected {
        /// Seconds after which the client should retry.
        retry_after: Option<f64>,
    },
    /// The balancer gave up the query.
    Failed,
    /// The deadline passed before the balancer finished the query.
    DeadlineExceeded,
}

/// The step of its query that a part belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The first step, which queries every shard that the front submitted.
    First,
    /// The second step, which queries the shards with the highest scores in the first step again.
    Second {
        /// The shards whose values had been received when the first step was answered.
        from: Rc<[ShardId]>,
        /// Whether these were all shards.
        complete: bool,
    },
}

impl Step {
    /// Returns 0 for the first step and 1 for the second.
    pub fn number(&self) -> u8 {
        u8::from(*self != Step::First)
    }
}

/// Handle to an accepted query. Dropping it before the final outcome cancels the query.
pub struct QueryHandle<T: Transport> {
    coordinator: Weak<Coordinator<T>>,
    query: QueryId,
    deadline: Instant,
    context: Rc<T::RequestContext>,
    outcome: Receiver<QueryOutcome>,
}

impl<T: Transport> QueryHandle<T> {
    /// Returns the time at which the client stops waiting.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the context that the front submitted, for fronts that stream.
    pub fn context(&self) -> Rc<T::RequestContext> {
        self.context.clone()
    }

    /// Waits for the final outcome. Returns [`QueryOutcome::DeadlineExceeded`] at the deadline if
    /// the balancer has not finished the query by then.
    ///
    /// Cancel safe: an outcome that has arrived is kept for the next call. Each outcome of the
    /// balancer is returned once.
    pub async fn outcome(&self) -> QueryOutcome {
        let finished = async { self.outcome.recv().await.unwrap_or(QueryOutcome::Failed) };
        let overdue = async {
            Timer::at(self.deadline).await;
            QueryOutcome::DeadlineExceeded
        };
        finished.or(overdue).await
    }
}

impl<T: Transport> Drop for QueryHandle<T> {
    fn drop(&mut self) {
        if let Some(coordinator) = self.coordinator.upgrade() {
            coordinator.withdraw(self.query);
        }
    }
}

impl<T: Transport> Coordinator<T> {
    /// Accepts a query; all its parts enter in the same round. Returns `None` if the limit on open
    /// queries and parts has been reached.
    pub fn submit(self: &Rc<Self>, query: Query<T::RequestContext>) -> Option<QueryHandle<T>> {
        let state = &mut *self.state.borrow_mut();
        self.count(|c| c.received += 1);
        // The limit applies to the queries and parts that are already open, as in the simulator, and
        // not to the total including this query. Otherwise, at the minimum limit of three, the third
        // of three long queries would be refused. Parts of finished queries do not count.
        if state.is_full(self.max_open) {
            self.count(|c| c.over_capacity += 1);
            return None;
        }
        let now = Instant::now();
        let id = QueryId(state.next_id());
        let number = QueryNumber(id.0);
        let (sender, outcome) = async_channel::bounded(1);
        state.events.push(Event::Query {
            query: id,
            number,
            class: query.class,
            tenant: query.tenant,
            time_left: query.deadline.saturating_duration_since(now).as_secs_f64(),
            parts: query.parts.len() as u32,
            is_retry: query.is_retry,
        });
        let mut open = OpenQuery {
            number,
            class: query.class,
            deadline: query.deadline,
            context: Rc::new(query.context),
            parts: Vec::new(),
            in_second_step: false,
            retry_window: self.class_setting(query.class, Class::idempotency_window).flatten(),
            protection: query.protection,
            outcome: sender,
        };
        state.open_parts(id, &mut open, &Step::First, &query.parts);
        let context = open.context.clone();
        state.queries.insert(id, open);
        self.wake.notify(1);
        let coordinator = Rc::downgrade(self);
        Some(QueryHandle { coordinator, query: id, deadline: query.deadline, context, outcome })
    }

    fn withdraw(&self, id: QueryId) {
        let mut state = self.state.borrow_mut();
        if state.close(id).is_some() {
            state.events.push(Event::ClientDisconnected { query: id });
            self.count(|c| c.client_disconnected += 1);
            self.wake.notify(1);
        }
    }

    /// Answers a query with the values received. For the first step of a two-step class, starts the
    /// second step at the shards with the highest scores instead.
    pub(super) fn answer(&self, state: &mut State<T::RequestContext>, id: QueryId, complete: bool) {
        let Some(mut query) = state.queries.remove(&id) else { return };
        let values = state.close_parts(&mut query);
        let second_step_parts = self.class_setting(query.class, |class| class.second_step_parts as usize);
        let second_step_parts = second_step_parts.unwrap_or(0).min(values.len());
        if second_step_parts > 0 && !query.in_second_step {
            self.start_second_step(state, id, query, FirstStep { values, complete }, second_step_parts);
            return;
        }
        if complete {
            self.count(|c| c.complete += 1);
        } else {
            self.count(|c| c.partial += 1);
        }
        let values = values.into_iter().map(|v| (v.shard, v.scored.value)).collect();
        query.send_outcome(QueryOutcome::Answered { complete, values });
    }

    fn start_second_step(
        &self,
        state: &mut State<T::RequestContext>,
        id: QueryId,
        mut query: OpenQuery<T::RequestContext>,
        first: FirstStep,
        parts: usize,
    ) {
        let FirstStep { mut values, complete } = first;
        let from: Rc<[ShardId]> = values.iter().map(|v| v.shard).collect();
        values.sort_by(|a, b| b.scored.score.total_cmp(&a.scored.score).then(a.shard.cmp(&b.shard)));
        let weight = 1.0 / parts as f64;
        let best: Vec<(ShardId, f64)> = values[..parts].iter().map(|v| (v.shard, weight)).collect();
        query.in_second_step = true;
        if let Some(protection) = &query.protection {
            protection.gate.record_first_step(&from);
        }
        state.open_parts(id, &mut query, &Step::Second { from, complete }, &best);
        state.queries.insert(id, query);
        self.wake.notify(1);
    }
}

/// The result of a query's first step.
struct FirstStep {
    values: Vec<ShardValue>,
    complete: bool,
}
