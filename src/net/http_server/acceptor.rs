//! Accepts client connections up to a limit, and evicts connections where others wait for a slot.
//!
//! Owns the set of open connections and their number; each connection is served by a task of its own. The
//! acceptor never reads or writes a connection, and never ends one that serves a request: it sends an
//! eviction notice, on which the connection's own task acts.
//!
//! Invariants: at most [`Descriptors::most_clients`] connections are open, but for those in the backlog at
//! the end of a graceful shutdown; while an evicted connection is about to end, no second one is evicted, but
//! for a batch of those on which nothing has been received.
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
use crate::net::socket::{self, Accepted, Stream};
use crate::net::{timeout_at, LogRateLimiter};

/// Pause after an accept that failed for want of resources of this machine.
const LOCAL_FAILURE_PAUSE: Duration = Duration::from_millis(5);

/// Of the connections on which nothing has been received, one in so many of all is evicted at a time. Keeps a
/// crowd of them from passing one by one, with a client's time running out behind it.
const EVICTION_BATCH_DIVISOR: usize = 8;

/// Accepts connections up to a limit and serves each by a task of its own.
pub struct Acceptor {
    executor: Rc<LocalExecutor<'static>>,
    shutdown: Rc<GracefulShutdown>,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    /// The number that the next connection gets: how many were accepted so far.
    next_number: Cell<u64>,
    /// Notifies one listener each time that a connection has closed.
    pub connection_closed: Event,
    descriptors: Rc<DescriptorBudget>,
    /// At least three quarters of the slots are taken. Shared with all connections.
    crowded: Rc<Cell<bool>>,
    log: Logger,
    log_limiter: LogRateLimiter,
}

impl Acceptor {
    /// An acceptor with no connections. `descriptors` limits how many may be open; the tasks run on
    /// `executor`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        shutdown: Rc<GracefulShutdown>,
        descriptors: Rc<DescriptorBudget>,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Acceptor {
            executor,
            shutdown,
            slots: RefCell::default(),
            next_number: Cell::default(),
            connection_closed: Event::new(),
            descriptors,
            crowded: Rc::default(),
            log,
            log_limiter: LogRateLimiter::default(),
        })
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.slots.borrow().len()
    }

    fn update_usage(&self) {
        let open = self.open_connections();
        self.descriptors.set_client_connections(open);
        self.crowded.set(4 * open >= 3 * self.descriptors.max_client_connections());
    }

    fn is_full(&self) -> bool {
        let most = self.descriptors.max_client_connections();
        self.open_connections() >= most && !self.shutdown.is_keep_alive_stopped()
    }

    /// Evict what is spared most easily, of those alike the ones that have been so for longest: close connections
    /// that are being drained, else evict some on which nothing has been received, else another one, unless one
    /// is about to end. Returns how long to wait for the effect.
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
            ConnectionActivity::AwaitingFirstByte => batch.saturating_sub(ending),
            _ => usize::from(ending == 0),
        };
        let alike = evictable.into_iter().take_while(|slot| slot.activity() == activity);
        alike.take(count).for_each(|slot| slot.evict(now));
        MIN_DRAIN
    }

    /// Wait until a connection may be accepted, and evict others for it. Prevents clients that keep
    /// connections open without sending requests from taking all slots: nobody else would be served.
    async fn wait_for_slot(&self) {
        while self.is_full() {
            let closed = self.connection_closed.listen();
            let now = Instant::now();
            let wait = self.evict(now);
            timeout_at(now + wait, closed.or(self.shutdown.keep_alive_stopped())).await;
        }
    }

    /// Accept connections and serve each with `serve`, until [`GracefulShutdown::stop_keep_alive`] was called
    /// and the listener's backlog is empty: what the machine accepted for us by then is served too.
    ///
    /// A failed accept never ends it; one for want of resources of this machine is logged and repeated after
    /// a pause.
    ///
    /// Cancel safe: connections that were not accepted stay in the backlog, accepted ones are served on by
    /// their tasks.
    pub async fn accept<F>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        serve: impl Fn(ClientConnection) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        // Since when connections may have waited in the backlog; none where it was empty at the last look.
        let mut waiting_since = None;
        // Accepts in a row that gave no connection as its client had disconnected.
        let mut gone = 0;
        loop {
            if self.is_full() {
                waiting_since.get_or_insert_with(Instant::now);
                self.wait_for_slot().await;
            }
            match socket::accept(&listener) {
                Accepted::Stream(stream, _) => self.spawn_connection(stream, waiting_since, &serve),
                Accepted::NonePending if self.shutdown.is_keep_alive_stopped() => return,
                Accepted::NonePending => {
                    waiting_since = None;
                    socket::wait_for_connection(&listener).or(self.shutdown.keep_alive_stopped()).await;
                }
                // It says nothing of the next connection, which is accepted at once.
                Accepted::Aborted => {
                    gone += 1;
                    socket::yield_after_aborted(gone).await;
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
            gone = 0;
        }
    }

    /// Serve an accepted connection by a task of its own. `waiting_since`: since when it may have waited to
    /// be accepted.
    fn spawn_connection<F>(
        self: &Rc<Self>,
        stream: Stream,
        waiting_since: Option<Instant>,
        serve: &impl Fn(ClientConnection) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        stream.set_nodelay();
        let now = Instant::now();
        let slot = Rc::new(ConnectionSlot::new(now));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        self.update_usage();
        let served = serve(ClientConnection {
            stream,
            input: Input::new(waiting_since.unwrap_or(now)),
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
