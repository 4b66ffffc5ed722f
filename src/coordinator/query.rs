//! A query and its life in the coordinator: what a front hands in, the handle it holds, and the one final outcome.
use std::rc::{Rc, Weak};
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;

use super::state::{OpenQuery, State};
use super::{Coordinator, TakeoverProtection, Transport};
use crate::balancer::interface::{Class, ClassId, Event, QueryId, QueryNumber, ShardId, TenantId};

/// A query as a front hands it in; `C` is what the transport needs of it.
pub struct Query<C> {
    /// Its class, by the order of the settings.
    pub class: ClassId,
    /// Whose quota it counts against.
    pub tenant: TenantId,
    /// When its client's time is up.
    pub deadline: Instant,
    /// Whether its client repeats it, where clients mark these.
    pub is_retry: bool,
    /// The parts of its first step: shard and weight in the answer.
    pub parts: Vec<(ShardId, f64)>,
    /// Handed to the transport with each attempt.
    pub context: C,
    /// `None`: no other process may take the query over, so its attempts need no grant.
    pub protection: Option<TakeoverProtection>,
}

/// The value of a part, as a replica gave it.
pub type PartValue = Rc<[u8]>;

/// The value of a part with its score, by which the shards of a second step are chosen: the higher the better.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredValue {
    /// The value itself.
    pub value: PartValue,
    /// Comparable within one query only.
    pub score: f64,
}

/// The value of a part and the shard that it is from.
pub(super) struct ShardValue {
    /// The part's shard.
    pub shard: ShardId,
    /// Its value.
    pub scored: ScoredValue,
}

/// The final outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// There is an answer.
    Answered {
        /// Whether all shards are in it.
        complete: bool,
        /// The values that are in, in the order of the parts.
        values: Vec<(ShardId, PartValue)>,
    },
    /// Load was shed: a retry is harmless.
    Rejected {
        /// Best after so many seconds.
        retry_after: Option<f64>,
    },
    /// The module gave the query up.
    Failed,
    /// The query's deadline passed before the module finished it.
    DeadlineExceeded,
}

/// Which step of its query a part belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// All shards that the query needs.
    First,
    /// The best shards of the first step, once more.
    Second {
        /// The shards that were in when the first step was answered.
        from: Rc<[ShardId]>,
        /// Whether those were all.
        complete: bool,
    },
}

impl Step {
    /// 0 or 1.
    pub fn number(&self) -> u8 {
        u8::from(*self != Step::First)
    }
}

/// A query that was accepted. Dropping it before the final outcome withdraws the query.
pub struct QueryHandle<T: Transport> {
    coordinator: Weak<Coordinator<T>>,
    query: QueryId,
    deadline: Instant,
    context: Rc<T::RequestContext>,
    outcome: Receiver<QueryOutcome>,
}

impl<T: Transport> QueryHandle<T> {
    /// When its client's time is up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// What the front handed in, while the query is open; for a front that streams.
    pub fn context(&self) -> Rc<T::RequestContext> {
        self.context.clone()
    }

    /// The final outcome; [`QueryOutcome::DeadlineExceeded`] at the deadline, should the module forget the query.
    ///
    /// Cancel safe: an outcome that has come stays for the next call. It yields an outcome of the module once.
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
    /// Accept a query; all its parts enter in one round. `None`: as many queries and parts are open as may be.
    pub fn submit(self: &Rc<Self>, query: Query<T::RequestContext>) -> Option<QueryHandle<T>> {
        let state = &mut *self.state.borrow_mut();
        self.count(|c| c.received += 1);
        // Full at that count, as in the simulator, and not where this query would reach it: at the least limit, three,
        // the third of three long queries would be refused. Parts of finished queries don't count.
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

    /// Answer the query with the values that are in; or, at the first answer of a class of two steps, start the second
    /// step at the best shards that are in.
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

/// What came in of a query's first step.
struct FirstStep {
    values: Vec<ShardValue>,
    complete: bool,
}
