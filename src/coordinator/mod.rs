//! Coordinates queries over replicated shards: accepts a query with its parts and deadline, and
//! returns exactly one final outcome.
//!
//! A [`Coordinator`] owns the [`Balancer`] and runs its clock, timers and rounds. It also owns the
//! open queries and their attempts. It is independent of network protocols: a [`Transport`] carries
//! the attempts. Everything in this module runs on a single thread, on the executor that the
//! coordinator was created with.
//!
//! Invariants:
//! - a query has one final outcome, by its deadline at the latest, or none once its [`QueryHandle`]
//!   is dropped;
//! - each attempt that the balancer sends is reported back to it exactly once, even after the end
//!   of its query;
//! - when a query or a part ends, all its attempts are cancelled before any other task runs.
#![warn(missing_docs)]
mod attempt;
mod cancellation;
mod clock;
mod gate;
mod query;
mod retry_window;
mod rounds;
mod state;
mod transport;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;

use crate::balancer::interface::{Class, ClassId, Endpoint, EndpointUpdate, Event, Settings, SettingsError};
use crate::Balancer;
use state::State;

pub use cancellation::{CancellationGuard, CancellationToken};
pub use clock::{deadline_after, Clock};
pub use gate::{AttemptGate, PendingGrant, PriorProgress, TakeoverProtection};
pub use query::{PartValue, Query, QueryHandle, QueryOutcome, ScoredValue, Step};
pub use transport::{AttemptResult, Call, Transport};

/// Totals since start-up, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryCounts {
    /// Queries submitted.
    pub received: u64,
    /// Queries answered from all their shards.
    pub complete: u64,
    /// Queries answered from some of their shards.
    pub partial: u64,
    /// Queries rejected by the balancer.
    pub rejected: u64,
    /// Queries failed by the balancer.
    pub failed: u64,
    /// Queries whose handle was dropped before the final outcome.
    pub client_disconnected: u64,
    /// Queries refused because the limit on open queries and parts was reached.
    pub over_capacity: u64,
    /// Attempts started, over all queries.
    pub attempts: u64,
}

/// Owns the balancer and the open queries of one front. The module documentation lists its
/// invariants.
pub struct Coordinator<T: Transport> {
    state: RefCell<State<T::RequestContext>>,
    counts: Cell<QueryCounts>,
    clock: Clock,
    /// Notified when there is a new event for the next round.
    wake: event_listener::Event,
    /// Notified after each round that leaves room for another query.
    capacity_available: event_listener::Event,
    subscriptions: Subscriptions,
    executor: Rc<LocalExecutor<'static>>,
    transport: Rc<T>,
    /// Maximum number of attempts per part.
    max_attempts: u32,
    classes: RefCell<Vec<Class>>,
    /// Maximum number of open queries and parts, in total.
    max_open: usize,
    is_ready: Cell<bool>,
}

/// Channel for the balancer's requests to subscribe to the endpoint list. It holds one request; while
/// that one has not been received, further requests are dropped.
struct Subscriptions {
    request_sender: Sender<()>,
    requests: Receiver<()>,
}

impl<T: Transport> Coordinator<T> {
    /// Creates a coordinator without replicas. Nothing is sent until [`Coordinator::run`] is
    /// polled.
    ///
    /// `max_open` limits the total number of open queries and parts; `seed` seeds the balancer's
    /// random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if the balancer rejects the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        executor: Rc<LocalExecutor<'static>>,
        transport: Rc<T>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State::new(Balancer::new(settings.clone(), seed)?);
        let (request_sender, requests) = async_channel::bounded(1);
        Ok(Rc::new(Coordinator {
            state: RefCell::new(state),
            counts: Cell::default(),
            clock: Clock::new(),
            wake: event_listener::Event::new(),
            capacity_available: event_listener::Event::new(),
            subscriptions: Subscriptions { request_sender, requests },
            executor,
            transport,
            max_attempts: settings.max_attempts,
            classes: RefCell::new(settings.classes),
            max_open,
            is_ready: Cell::new(false),
        }))
    }

    /// Returns the clock that the balancer's times are read from.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the totals since start-up.
    pub fn counts(&self) -> QueryCounts {
        self.counts.get()
    }

    /// Appends query classes; the indexes of existing classes do not change.
    ///
    /// # Errors
    ///
    /// Returns an error if the balancer rejects a class; no class is added then.
    pub fn add_classes(&self, classes: &[Class]) -> Result<(), SettingsError> {
        self.state.borrow_mut().balancer.add_classes(classes)?;
        self.classes.borrow_mut().extend_from_slice(classes);
        Ok(())
    }

    /// Returns the number of replicas that the balancer knows.
    pub fn known_replicas(&self) -> usize {
        self.state.borrow().balancer.known_replicas()
    }

    /// Returns the number of queries without a final outcome.
    pub fn open_queries(&self) -> usize {
        self.state.borrow().queries.len()
    }

    /// Returns the number of parts of open queries, which count towards `max_open`.
    pub fn open_parts(&self) -> usize {
        self.state.borrow().parts.len()
    }

    /// Returns whether the next query would be refused because of the limit on open queries and
    /// parts.
    pub fn is_full(&self) -> bool {
        self.state.borrow().is_full(self.max_open)
    }

    /// Completes when the next query would not be refused because of the limit on open queries and
    /// parts. Another task may submit a query first, unless the caller submits its own immediately.
    /// Cancel safe.
    pub async fn until_not_full(&self) {
        while self.is_full() {
            let available = self.capacity_available.listen();
            if self.is_full() {
                available.await;
            }
        }
    }

    /// Returns whether queries can be served: a non-empty endpoint list has been processed in a
    /// round, or the coordinator was told not to wait for one.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Makes the coordinator ready without an endpoint list.
    pub fn stop_waiting_for_endpoints(&self) {
        self.is_ready.set(true);
    }

    /// Returns a channel that yields an item each time the balancer requests a new subscription to
    /// the endpoint list.
    pub fn subscriptions(&self) -> Receiver<()> {
        self.subscriptions.requests.clone()
    }

    /// Passes an update of the endpoint list to the balancer in the next round.
    pub fn update_endpoints(&self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.enqueue(Event::Endpoints { update, endpoints });
    }

    /// Returns a setting of a query class; `None` if the settings do not have the class.
    fn class_setting<R>(&self, class: ClassId, setting: impl FnOnce(&Class) -> R) -> Option<R> {
        self.classes.borrow().get(usize::from(class.0)).map(setting)
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
