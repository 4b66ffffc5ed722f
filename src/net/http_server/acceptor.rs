//! Accepts client connections up to a limit and evicts open connections when new ones wait for a slot.
//!
//! The acceptor owns the set of open connections; each connection is served by its own task. The acceptor
//! never reads from, writes to or closes a connection. To evict a connection, it sends an eviction notice to
//! the connection's task, which then closes the connection. It sends no notice to a connection that serves a
//! request.
//!
//! Invariants: at most [`DescriptorBudget::max_client_connections`] connections are open, except for those
//! accepted from the backlog at the end of a graceful shutdown. While an evicted connection is closing, no
//! other one is evicted, except for connections on which no complete request has been received, which are
//! evicted in batches.
#![warn(missing_docs)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::FutureExt;
use slog::{warn, Logger};

use super::connection_slot::{ConnectionActivity, ConnectionSlot, EVICTION_RETRY, MIN_DRAIN};
use super::input::Input;
use super::{ClientConnection, GracefulShutdown};
use crate::net::descriptors::DescriptorBudget;
use crate::net::memory_budget::MemoryBudget;
use crate::net::socket::{self, Accepted, Stream};
use crate::net::{io_budget, timeout_at, LogRateLimiter};

/// Pause after an accept that failed for lack of a local resource.
const LOCAL_FAILURE_PAUSE: Duration = Duration::from_millis(5);

/// Divisor of the number of open connections that yields the size of an eviction batch. Only connections on
/// which no complete request has been received are evicted in batches, because a client that waits while many of
/// them are evicted one at a time would reach its deadline. Draining connections are closed in batches as well.
const EVICTION_BATCH_DIVISOR: usize = 8;

/// Accepts connections up to a limit and serves each on its own task.
pub struct Acceptor {
    executor: Rc<LocalExecutor<'static>>,
    shutdown: Rc<GracefulShutdown>,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    /// Number that identifies the next connection. It equals the number of connections accepted so far.
    next_number: Cell<u64>,
    /// Notifies one listener each time a connection has closed.
    pub connection_closed: Event,
    descriptors: Rc<DescriptorBudget>,
    /// Memory for what clients send and do not read.
    memory: Rc<MemoryBudget>,
    /// Whether at least three quarters of the slots are taken. Shared with all connections.
    crowded: Rc<Cell<bool>>,
    log: Logger,
    log_limiter: LogRateLimiter,
}

impl Acceptor {
    /// Creates an acceptor without connections. `descriptors` limits the number of open connections, and
    /// `memory` what they hold; their tasks run on `executor`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        shutdown: Rc<GracefulShutdown>,
        descriptors: Rc<DescriptorBudget>,
        memory: Rc<MemoryBudget>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Acceptor {
            executor,
            shutdown,
            slots: RefCell::default(),
            next_number: Cell::default(),
            connection_closed: Event::new(),
            descriptors,
            memory,
            crowded: Rc::default(),
            log,
            log_limiter: LogRateLimiter::default(),
        })
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.slots.borrow().len()
    }

    fn update_usage(&self) {
        let open = self.open_connections();
        self.descriptors.set_client_connections(open);
        self.crowded.set(4 * open >= 3 * self.descriptors.max_client_connections());
    }

    fn is_full(&self) -> bool {
        let max_connections = self.descriptors.max_client_connections();
        self.open_connections() >= max_connections && !self.shutdown.is_keep_alive_stopped()
    }

    /// Evicts connections and returns how long to wait for them to close.
    ///
    /// Draining connections are closed first. If there are none, a batch of connections on which nothing has
    /// been received is evicted, or else of those with a part of the first request. If there are none of these
    /// either, one other connection is evicted, unless an evicted connection is still closing. Among connections
    /// with the same activity, those that have had it for longest come first.
    fn evict(&self, now: Instant) -> Duration {
        let slots = self.slots.borrow();
        let ending = slots.values().filter(|slot| slot.is_ending(now)).count();
        let mut evictable: Vec<_> = slots.values().filter(|slot| slot.is_evictable(now)).collect();
        evictable.sort_by_key(|slot| (slot.activity(), slot.active_since()));
        let Some(activity) = evictable.first().map(|slot| slot.activity()) else {
            return if ending == 0 { EVICTION_RETRY } else { MIN_DRAIN };
        };
        let batch = (slots.len() / EVICTION_BATCH_DIVISOR).max(1);
        let count = match activity {
            ConnectionActivity::Draining => batch,
            ConnectionActivity::AwaitingFirstByte | ConnectionActivity::AwaitingFirstRequest => {
                batch.saturating_sub(ending)
            }
            _ => usize::from(ending == 0),
        };
        let same_activity = evictable.into_iter().take_while(|slot| slot.activity() == activity);
        same_activity.take(count).for_each(|slot| slot.evict(now));
        MIN_DRAIN
    }

    /// Waits until a connection may be accepted, and evicts others if necessary. Without eviction, clients
    /// that keep connections open without sending requests could take all slots, and no other client would
    /// be served.
    async fn wait_for_slot(&self) {
        while self.is_full() {
            let closed = self.connection_closed.listen();
            let now = Instant::now();
            let wait = self.evict(now);
            timeout_at(now + wait, closed.or(self.shutdown.keep_alive_stopped())).await;
        }
    }

    /// Accepts connections and serves each with `serve`, until [`GracefulShutdown::stop_keep_alive`] has
    /// been called and the backlog of the listener is empty. Connections that were in the backlog when
    /// keep-alive was stopped are therefore served as well.
    ///
    /// A failed accept never ends the loop. A failure for lack of a local resource is logged and retried
    /// after a pause.
    ///
    /// This method is cancel safe: connections that have not been accepted stay in the backlog, and accepted
    /// ones are served by their own tasks.
    pub async fn accept<F>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        serve: impl Fn(ClientConnection) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        // Time since which connections may have been waiting in the backlog; `None` if accepting has not
        // been delayed since the backlog was last found empty.
        let mut waiting_since = None;
        // Number of consecutive accepts that returned no connection because its client had disconnected.
        let mut consecutive_aborts = 0;
        loop {
            if self.is_full() {
                waiting_since.get_or_insert_with(Instant::now);
                self.wait_for_slot().await;
            }
            match socket::accept(&listener) {
                Accepted::Stream(stream, _) => {
                    self.spawn_connection(stream, waiting_since, &serve);
                    io_budget::charge(io_budget::MIN_CHARGE_BYTES);
                    io_budget::yield_if_exhausted().await;
                }
                Accepted::NonePending if self.shutdown.is_keep_alive_stopped() => return,
                Accepted::NonePending => {
                    waiting_since = None;
                    socket::wait_for_connection(&listener).or(self.shutdown.keep_alive_stopped()).await;
                }
                // The failure concerns this connection only, so the next one is accepted without a pause.
                Accepted::Aborted => {
                    consecutive_aborts += 1;
                    socket::yield_after_aborted(consecutive_aborts).await;
                    continue;
                }
                Accepted::LocalFailure(e) => {
                    if let Some(suppressed) = self.log_limiter.permit() {
                        warn!(self.log, "could not accept a connection"; "error" => %e, "suppressed" => suppressed);
                    }
                    let now = Instant::now();
                    waiting_since.get_or_insert(now);
                    if socket::is_process_out_of_descriptors(&e) {
                        self.evict(now);
                    }
                    Timer::at(now + LOCAL_FAILURE_PAUSE).await;
                }
            }
            consecutive_aborts = 0;
        }
    }

    /// Serves an accepted connection on its own task. `waiting_since` is the time since which it may have
    /// waited to be accepted.
    fn spawn_connection<F>(
        self: &Rc<Self>,
        mut stream: Stream,
        waiting_since: Option<Instant>,
        serve: &impl Fn(ClientConnection) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        stream.set_nodelay();
        stream.read_in_turn();
        let now = Instant::now();
        let slot = Rc::new(ConnectionSlot::new(now));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        self.update_usage();
        let served = serve(ClientConnection {
            stream,
            input: Input::new(waiting_since.unwrap_or(now), self.memory.lease()),
            memory: self.memory.clone(),
            slot,
            shutdown: self.shutdown.clone(),
            crowded: self.crowded.clone(),
            accepted_at: now,
            received_a_request: false,
        });
        let acceptor = self.clone();
        let task = async move {
            served.await;
            acceptor.slots.borrow_mut().remove(&number);
            acceptor.update_usage();
            acceptor.connection_closed.notify(1);
        };
        self.executor.spawn(task).detach();
    }
}
