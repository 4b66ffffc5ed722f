//! Coordinates queries over replicated shards: takes a query with its parts and its deadline, and gives back exactly
//! one final outcome.
//!
//! A [`Coordinator`] owns the [`Balancer`] with its clock, its timers and its rounds, the open queries and their
//! attempts. It knows no wire: a [`Transport`] carries the attempts. Everything here runs on one thread, on the
//! executor that the coordinator was created with.
//!
//! Invariants:
//! - a query has one final outcome, by its deadline at the latest, or none once its [`QueryHandle`] is dropped;
//! - each attempt that the module sends is reported to it once, also after its query's end;
//! - with a query's end, or its part's, all its attempts are cancelled before anything else runs.
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

/// Totals since the start, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryCounts {
    /// Queries that were handed in.
    pub received: u64,
    /// Queries answered from all their shards.
    pub complete: u64,
    /// Queries answered from some of their shards.
    pub partial: u64,
    /// Queries that the module rejected.
    pub rejected: u64,
    /// Queries that the module failed.
    pub failed: u64,
    /// Queries whose handle was dropped before their final outcome.
    pub client_disconnected: u64,
    /// Queries refused since as many queries and parts were open as may be.
    pub over_capacity: u64,
    /// Attempts that were started, over all queries.
    pub attempts: u64,
}

/// Owns the decision module and the open queries of one front. See the module's page for its invariants.
pub struct Coordinator<T: Transport> {
    state: RefCell<State<T::RequestContext>>,
    counts: Cell<QueryCounts>,
    clock: Clock,
    /// Notified whenever there is a new event for the next round.
    wake: event_listener::Event,
    subscriptions: Subscriptions,
    executor: Rc<LocalExecutor<'static>>,
    transport: Rc<T>,
    /// Attempts of one part, at most.
    max_attempts: u32,
    classes: RefCell<Vec<Class>>,
    /// Queries and parts that may be open, together.
    max_open: usize,
    is_ready: Cell<bool>,
}

/// Where the module's wishes to follow the list of replicas go; one that was not yet received stands for all.
struct Subscriptions {
    wanted: Sender<()>,
    requests: Receiver<()>,
}

impl<T: Transport> Coordinator<T> {
    /// A coordinator without replicas. Nothing is sent before [`Coordinator::run`] is polled.
    ///
    /// `max_open` bounds open queries and parts together; `seed` is that of the module's random choices.
    ///
    /// # Errors
    ///
    /// If the module refuses the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        executor: Rc<LocalExecutor<'static>>,
        transport: Rc<T>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State::new(Balancer::new(settings.clone(), seed)?);
        let (wanted, requests) = async_channel::bounded(1);
        Ok(Rc::new(Coordinator {
            state: RefCell::new(state),
            counts: Cell::default(),
            clock: Clock::new(),
            wake: event_listener::Event::new(),
            subscriptions: Subscriptions { wanted, requests },
            executor,
            transport,
            max_attempts: settings.max_attempts,
            classes: RefCell::new(settings.classes),
            max_open,
            is_ready: Cell::new(false),
        }))
    }

    /// The clock that the module's times are read from.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Totals since the start.
    pub fn counts(&self) -> QueryCounts {
        self.counts.get()
    }

    /// Add classes of queries behind those that are there; the numbers of these stay.
    ///
    /// # Errors
    ///
    /// If the module refuses a class; none is added then.
    pub fn add_classes(&self, classes: &[Class]) -> Result<(), SettingsError> {
        self.state.borrow_mut().balancer.add_classes(classes)?;
        self.classes.borrow_mut().extend_from_slice(classes);
        Ok(())
    }

    /// Replicas that the module remembers.
    pub fn known_replicas(&self) -> usize {
        self.state.borrow().balancer.known_replicas()
    }

    /// Queries that have no final outcome yet.
    pub fn open_queries(&self) -> usize {
        self.state.borrow().queries.len()
    }

    /// Parts of the open queries, as they count toward `max_open`.
    pub fn open_parts(&self) -> usize {
        self.state.borrow().parts.len()
    }

    /// Whether the next query would be refused for lack of capacity.
    pub fn is_full(&self) -> bool {
        self.state.borrow().is_full(self.max_open)
    }

    /// Whether queries are welcome: a non-empty list of replicas has gone through a round, or none is waited for.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Be ready without a list of replicas.
    pub fn stop_waiting_for_endpoints(&self) {
        self.is_ready.set(true);
    }

    /// Yields each time the module wants to follow the list of replicas from here on.
    pub fn subscriptions(&self) -> Receiver<()> {
        self.subscriptions.requests.clone()
    }

    /// Hand the module a change of the list of replicas, in the next round.
    pub fn update_endpoints(&self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.enqueue(Event::Endpoints { update, endpoints });
    }

    /// A setting of a query's class; `None` for a class that the settings don't have.
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
