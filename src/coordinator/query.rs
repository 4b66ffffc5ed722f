//! A query and its life in the core: what a front hands in, the hold it keeps, and the one final outcome.
use std::rc::{Rc, Weak};
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;

use super::{Coordinator, OpenQuery, State, TakeoverProtection, Transport};
use crate::balancer::interface::*;

/// A query as a front hands it in; `carried` is what the transport needs of it.
pub struct Query<C> {
    pub class: ClassId,
    pub tenant: TenantId,
    pub deadline: Instant,
    pub is_retry: bool,
    pub parts: Vec<(ShardId, f64)>,
    pub context: C,
    /// `None`: nobody else guards it, and what is sent of it is the module's matter alone.
    pub protection: Option<TakeoverProtection>,
}

/// The value of a part, as a replica gave it.
pub type PartValue = Rc<[u8]>;

/// The final outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    Answered {
        complete: bool,
        values: Vec<(ShardId, PartValue)>,
    },
    /// Trying again is harmless, best after so many seconds.
    Rejected {
        retry_after: Option<f64>,
    },
    Failed,
    /// Its time ran out before the module ended it.
    DeadlineExceeded,
}

/// Which step of its query a part belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    First,
    /// The shards that were in when the first step was answered, and whether that was whole.
    Second {
        from: Rc<[ShardId]>,
        complete: bool,
    },
}

impl Step {
    /// 0 or 1.
    pub fn number(&self) -> u8 {
        u8::from(*self != Step::First)
    }
}

/// A query that was taken. Dropping it before its final outcome withdraws it.
pub struct QueryHandle<T: Transport> {
    coordinator: Weak<Coordinator<T>>,
    query: QueryId,
    deadline: Instant,
    context: Rc<T::RequestContext>,
    done: Receiver<QueryOutcome>,
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

    /// The final outcome. Guards against a query that the module forgets: it ends with its time.
    pub async fn outcome(&self) -> QueryOutcome {
        let ended = async { self.done.recv().await.unwrap_or(QueryOutcome::Failed) };
        let overdue = async {
            Timer::at(self.deadline).await;
            QueryOutcome::DeadlineExceeded
        };
        ended.or(overdue).await
    }
}

impl<T: Transport> Drop for QueryHandle<T> {
    fn drop(&mut self) {
        if let Some(core) = self.coordinator.upgrade() {
            core.withdraw(self.query);
        }
    }
}

impl<T: Transport> Coordinator<T> {
    /// Take a query; all its parts enter in one round. `None`: as many queries and parts are open as may be.
    pub fn submit(self: &Rc<Self>, query: Query<T::RequestContext>) -> Option<QueryHandle<T>> {
        let state = &mut *self.state.borrow_mut();
        self.count(|c| c.received += 1);
        // Full at that count, as in the simulator. Guards against turning away a query that merely would
        // reach it: of three long queries, the limit's least, the third. Parts of ended queries hold no room.
        if state.is_full(self.max_open) {
            self.count(|c| c.over_capacity += 1);
            return None;
        }
        let now = Instant::now();
        let id = QueryId(state.id());
        let (number, (send, done)) = (QueryNumber(id.0), async_channel::bounded(1));
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
            carried: Rc::new(query.context),
            parts: Vec::new(),
            second: false,
            window: self.classes.borrow().get(usize::from(query.class.0)).and_then(Class::window),
            protection: query.protection,
            done: send,
        };
        state.enter(id, &mut open, Step::First, &query.parts);
        let carried = open.carried.clone();
        state.open.insert(id, open);
        self.wake.notify(1);
        Some(QueryHandle {
            coordinator: Rc::downgrade(self),
            query: id,
            deadline: query.deadline,
            context: carried,
            done,
        })
    }

    fn withdraw(&self, id: QueryId) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.open.remove(&id) {
            open.parts.iter().for_each(|p| drop(state.leave(*p)));
            state.events.push(Event::ClientDisconnected { query: id });
            self.count(|c| c.client_disconnected += 1);
            self.wake.notify(1);
        }
    }

    /// End the query with what is in, or, at the first answer of a class of two steps, begin the second at
    /// the best shards that are in.
    pub(super) fn answer(&self, state: &mut State<T::RequestContext>, id: QueryId, whole: bool) {
        let Some(mut open) = state.open.remove(&id) else { return };
        let parts = std::mem::take(&mut open.parts);
        let mut values = Vec::new();
        for part in parts.iter().filter_map(|p| state.leave(*p)) {
            values.extend(part.value.map(|(value, score)| (part.shard, value, score)));
        }
        let second =
            self.classes.borrow().get(usize::from(open.class.0)).map_or(0, |c| c.second_step_parts as usize);
        let second = second.min(values.len());
        if second > 0 && !open.second {
            let from: Rc<[ShardId]> = values.iter().map(|v| v.0).collect();
            values.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            let best: Vec<_> = values[..second].iter().map(|v| (v.0, 1.0 / second as f64)).collect();
            open.second = true;
            if let Some(protection) = &open.protection {
                protection.gate.stepped(&from);
            }
            state.enter(id, &mut open, Step::Second { from, complete: whole }, &best);
            state.open.insert(id, open);
            self.wake.notify(1);
            return;
        }
        self.count(|c| if whole { c.complete += 1 } else { c.partial += 1 });
        let values = values.into_iter().map(|(shard, value, _)| (shard, value)).collect();
        // Only a front that has gone away is not there to take it.
        drop(open.done.try_send(QueryOutcome::Answered { complete: whole, values }));
    }
}
