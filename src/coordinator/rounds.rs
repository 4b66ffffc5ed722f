//! Rounds: pass events to the balancer and apply its actions.
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;

use super::state::{AttemptId, State};
use super::{deadline_after, Coordinator, QueryOutcome, Transport};
use crate::balancer::interface::{Action, Event, ReplicaId};

impl<T: Transport> Coordinator<T> {
    /// Runs a round whenever an event arrives or a timer is due; never returns.
    ///
    /// Must be polled by a single task. If the future is dropped, queries make no further progress,
    /// and open ones end at their deadlines.
    pub async fn run(self: Rc<Self>) {
        loop {
            // Listen before checking for events: an event between the check and the wait would be
            // missed.
            let listener = self.wake.listen();
            let next_timer = self.state.borrow_mut().fire_timers(Instant::now());
            if self.state.borrow().events.is_empty() {
                let timer = async {
                    match next_timer {
                        Some(at) => {
                            Timer::at(at).await;
                        }
                        None => std::future::pending().await,
                    }
                };
                listener.or(timer).await;
                continue;
            }
            self.round();
            if !self.is_full() {
                self.capacity_available.notify(usize::MAX);
            }
            // Lets other ready tasks add their events to the same round, and lets sends go out
            // before the next one.
            futures_lite::future::yield_now().await;
        }
    }

    fn round(self: &Rc<Self>) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        let events = std::mem::take(&mut state.events);
        if events.iter().any(lists_endpoints) {
            self.is_ready.set(true);
        }
        for action in state.balancer.round(self.clock.at(now), &events) {
            self.apply(state, now, action);
        }
    }

    fn apply(self: &Rc<Self>, state: &mut State<T::RequestContext>, now: Instant, action: Action) {
        match action {
            Action::Send { part, replica, timeout } => self.start_attempt(state, now, part, replica, timeout),
            // The attempt resolves as cancelled unless another outcome is already pending.
            Action::Cancel { part, attempt } => state.cancel(AttemptId { part, number: attempt }),
            Action::Answer { query, complete } => self.answer(state, query, complete),
            Action::Reject { query, retry_after } => {
                self.count(|c| c.rejected += 1);
                state.finish(query, QueryOutcome::Rejected { retry_after });
            }
            Action::Fail { query } => {
                self.count(|c| c.failed += 1);
                state.finish(query, QueryOutcome::Failed);
            }
            Action::HealthCheck { replica } => self.start_health_check(replica, now),
            Action::CloseIdle { replica } => self.transport.close_idle(replica),
            Action::Timer { after } => state.timers.push(Reverse(deadline_after(now, after))),
            Action::Subscribe => {
                // The channel is full if an earlier request has not been received yet. One request is
                // enough, so this one is dropped.
                let _ = self.subscriptions.request_sender.try_send(());
            }
        }
    }

    fn start_health_check(self: &Rc<Self>, replica: ReplicaId, started: Instant) {
        let coordinator = self.clone();
        let transport = self.transport.clone();
        let check = async move {
            let (healthy, report) = transport.health_check(replica).await;
            let elapsed = started.elapsed().as_secs_f64();
            coordinator.enqueue(Event::HealthChecked { replica, healthy, elapsed, report });
        };
        self.executor.spawn(check).detach();
    }
}

/// Returns whether an event contains a non-empty endpoint list.
fn lists_endpoints(event: &Event) -> bool {
    matches!(event, Event::Endpoints { endpoints, .. } if !endpoints.is_empty())
}
