//! The core of a coordinator, which knows no wire. It owns the [`Balancer`], its clock, its timer and its
//! rounds; takes a query with its parts and deadline and gives back exactly one final outcome. What carries
//! the attempts is a [`Transport`].
mod attempt;
mod clock;
mod gate;
mod query;
mod retry_window;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;

use crate::balancer::interface::*;
use crate::Balancer;
pub use attempt::{AttemptResult, Call, CancellationToken, Transport};
pub use clock::{deadline_after, Clock};
pub use gate::{AttemptGate, PendingGrant, PriorProgress, TakeoverProtection};
pub use query::{PartValue, Query, QueryHandle, QueryOutcome, Step};
use retry_window::RetryWindow;

struct Part {
    query: QueryId,
    shard: ShardId,
    step: Step,
    value: Option<(PartValue, f64)>,
    /// Those that an earlier owner may have made among them.
    attempts: u8,
    /// Further ones of an earlier owner, proved never to have run.
    cleared: u8,
    /// The attempt whose value has begun to go to the client.
    committed: Option<u8>,
    /// Where repeats are dropped for a while only: its attempts that may have run.
    repeats: Option<Rc<RetryWindow>>,
}

struct OpenQuery<C> {
    number: QueryNumber,
    class: ClassId,
    deadline: Instant,
    carried: Rc<C>,
    parts: Vec<PartId>,
    second: bool,
    /// For how long repeats of its parts are dropped, where they must not come later.
    window: Option<f64>,
    protection: Option<TakeoverProtection>,
    done: Sender<QueryOutcome>,
}

struct State<C> {
    balancer: Balancer,
    events: Vec<Event>,
    timers: BinaryHeap<Reverse<Instant>>,
    open: BTreeMap<QueryId, OpenQuery<C>>,
    parts: BTreeMap<PartId, Part>,
    stops: BTreeMap<(PartId, u8), Sender<Infallible>>,
    next: u32,
}

/// What happened so far, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryCounts {
    pub received: u64,
    pub complete: u64,
    pub partial: u64,
    pub rejected: u64,
    pub failed: u64,
    pub client_disconnected: u64,
    pub over_capacity: u64,
    pub attempts: u64,
}

pub struct Coordinator<T: Transport> {
    state: RefCell<State<T::RequestContext>>,
    counts: Cell<QueryCounts>,
    clock: Clock,
    wake: event_listener::Event,
    subscribe: (Sender<()>, Receiver<()>),
    executor: Rc<LocalExecutor<'static>>,
    transport: Rc<T>,
    max_attempts: u32,
    classes: RefCell<Vec<Class>>,
    max_open: usize,
    listed: Cell<bool>,
}

impl<T: Transport> Coordinator<T> {
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        executor: Rc<LocalExecutor<'static>>,
        transport: Rc<T>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(settings.clone(), seed)?,
            // A first round, whatever happens. Guards against a list that is never asked for where none is known.
            events: vec![Event::Timer],
            timers: BinaryHeap::new(),
            open: BTreeMap::new(),
            parts: BTreeMap::new(),
            stops: BTreeMap::new(),
            next: 0,
        };
        Ok(Rc::new(Coordinator {
            state: RefCell::new(state),
            counts: Cell::default(),
            clock: Clock::new(),
            wake: event_listener::Event::new(),
            subscribe: async_channel::bounded(1),
            executor,
            transport,
            max_attempts: settings.max_attempts,
            classes: RefCell::new(settings.classes),
            max_open,
            listed: Cell::new(false),
        }))
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    pub fn counts(&self) -> QueryCounts {
        self.counts.get()
    }

    /// Further classes of queries, behind those that are there.
    pub fn add_classes(&self, classes: &[Class]) -> Result<(), SettingsError> {
        self.state.borrow_mut().balancer.extend(classes)?;
        self.classes.borrow_mut().extend_from_slice(classes);
        Ok(())
    }

    /// Replicas that the module remembers.
    pub fn known_replicas(&self) -> usize {
        self.state.borrow().balancer.known()
    }

    /// Queries that have no final outcome yet.
    pub fn open_queries(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Parts of those, as they count toward `max_open`.
    pub fn open_parts(&self) -> usize {
        self.state.borrow().parts.len()
    }

    /// Whether the next query would be refused for want of room.
    pub fn is_full(&self) -> bool {
        self.state.borrow().is_full(self.max_open)
    }

    /// Whether queries are to come: some list of replicas has gone through a round, or is waited for no longer.
    pub fn is_ready(&self) -> bool {
        self.listed.get()
    }

    /// Wait for a list of replicas no longer.
    pub fn stop_waiting_for_endpoints(&self) {
        self.listed.set(true);
    }

    /// Yields each time the module wants to follow the list of replicas from here on.
    pub fn subscriptions(&self) -> Receiver<()> {
        self.subscribe.1.clone()
    }

    /// News of the list of replicas.
    pub fn update_endpoints(&self, news: EndpointUpdate, entries: Vec<Endpoint>) {
        self.state.borrow_mut().events.push(Event::Endpoints { update: news, endpoints: entries });
        self.wake.notify(1);
    }

    /// Rounds, for as long as the program runs: one whenever something has happened or a timer is due.
    pub async fn run(self: Rc<Self>) {
        loop {
            let listener = self.wake.listen();
            let due = {
                let mut state = self.state.borrow_mut();
                let now = Instant::now();
                while state.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
                    state.timers.pop();
                    state.events.push(Event::Timer);
                }
                state.timers.peek().map(|Reverse(at)| *at)
            };
            if self.state.borrow().events.is_empty() {
                let timer = async {
                    match due {
                        Some(at) => drop(Timer::at(at).await),
                        None => std::future::pending().await,
                    }
                };
                listener.or(timer).await;
                continue;
            }
            self.round();
            // Lets what else is ready come into one round, and the sends out before the next.
            futures_lite::future::yield_now().await;
        }
    }

    fn round(self: &Rc<Self>) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        let events = std::mem::take(&mut state.events);
        let listed = |e: &Event| matches!(e, Event::Endpoints { endpoints, .. } if !endpoints.is_empty());
        self.listed.set(self.listed.get() || events.iter().any(listed));
        for action in state.balancer.round(self.clock.at(now), &events) {
            self.apply(state, now, action);
        }
    }

    fn apply(self: &Rc<Self>, state: &mut State<T::RequestContext>, now: Instant, action: Action) {
        match action {
            Action::Send { part, replica, timeout } => self.send(state, now, part, replica, timeout),
            // Its attempt resolves as called off, unless another outcome is already on its way.
            Action::Cancel { part, attempt } => drop(state.stops.remove(&(part, attempt))),
            Action::Answer { query, complete } => self.answer(state, query, complete),
            Action::Reject { query, retry_after } => {
                self.count(|c| c.rejected += 1);
                state.end(query, QueryOutcome::Rejected { retry_after });
            }
            Action::Fail { query } => {
                self.count(|c| c.failed += 1);
                state.end(query, QueryOutcome::Failed);
            }
            Action::HealthCheck { replica } => {
                let (core, transport) = (self.clone(), self.transport.clone());
                let probe = async move {
                    let (ok, report) = transport.probe(replica).await;
                    let took = now.elapsed().as_secs_f64();
                    core.enqueue(Event::HealthChecked { replica, healthy: ok, elapsed: took, report });
                };
                self.executor.spawn(probe).detach();
            }
            Action::CloseIdle { replica } => self.transport.close_idle(replica),
            Action::Timer { after: wait } => state.timers.push(Reverse(deadline_after(now, wait))),
            Action::Subscribe => drop(self.subscribe.0.try_send(())),
        }
    }

    fn enqueue(&self, event: Event) {
        self.state.borrow_mut().events.push(event);
        self.wake.notify(1);
    }

    fn count(&self, change: impl FnOnce(&mut QueryCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

impl<C> State<C> {
    fn is_full(&self, max_open: usize) -> bool {
        self.open.len() + self.parts.len() >= max_open
    }

    fn id(&mut self) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    fn enter(&mut self, query: QueryId, open: &mut OpenQuery<C>, step: Step, parts: &[(ShardId, f64)]) {
        for &(shard, weight) in parts {
            let part = PartId(self.id());
            open.parts.push(part);
            let earlier =
                open.protection.as_ref().and_then(|p| p.prior_progress.get(&(step.number(), shard)));
            let (spent, cleared) = earlier.map_or((0, 0), |e| (e.spent(), e.never_ran_attempts));
            let value = earlier.and_then(|e| e.value.clone());
            let (number, served) = (open.number, value.is_some());
            let (step, attempts, committed) = (step.clone(), spent, None);
            let repeats = open.window.map(RetryWindow::within);
            let held = Part { query, shard, step, value, attempts, cleared, committed, repeats };
            self.parts.insert(part, held);
            self.events.push(Event::Part {
                part,
                number,
                shard,
                weight,
                prior_attempts: spent,
                completed: served,
            });
        }
    }

    /// Take a part out. All that is out for it is called off in the same breath. Guards against a part that
    /// waits on a connect, or behind other parts, and would be written after its query's final answer.
    fn leave(&mut self, id: PartId) -> Option<Part> {
        let part = self.parts.remove(&id)?;
        (0..part.attempts).for_each(|n| drop(self.stops.remove(&(id, n))));
        Some(part)
    }

    fn end(&mut self, id: QueryId, outcome: QueryOutcome) {
        if let Some(open) = self.open.remove(&id) {
            open.parts.iter().for_each(|p| drop(self.leave(*p)));
            drop(open.done.try_send(outcome));
        }
    }
}
