//! Accepting clients, and the book of their connections: who makes way where all room is taken.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event as Wake;
use futures_lite::FutureExt;
use slog::{warn, Logger};

use super::{Client, GracefulShutdown};
use crate::net::descriptors::DescriptorBudget;
use crate::net::socket::{self, Accepted, Stream};
use crate::net::{timeout_at, LogRateLimiter};

/// For how long a connection is left alone though others wait for room: one that rests between requests, and
/// one whose first request is not in. Clients that have something to ask send it at once.
const RESTED: Duration = Duration::from_secs(2);
const MUTE: Duration = Duration::from_millis(250);
/// And one that is drained: a way or two to its client and back, who hears of the end and closes.
const DRAINED: Duration = Duration::from_millis(10);
/// Time between looks for room where all connections are at work.
const LOOK: Duration = Duration::from_millis(50);
/// Pause where our own machine had no means to accept.
const PAUSE: Duration = Duration::from_millis(5);

/// What a connection is doing, the first to be closed for room first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Doing {
    /// Its last answer is written, or it was told that it ends.
    Leaving,
    /// Its first request is not in.
    Mute,
    /// Between requests.
    Resting,
    /// A request is being served, or a later one comes in.
    Working,
}

/// What a connection was told for the sake of others.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Nothing,
    /// End it as soon as nothing is asked on it.
    MakeWay,
    /// Drain it no longer.
    Close,
}

/// A connection in the acceptor's book.
pub(super) struct Seat {
    doing: Cell<Doing>,
    since: Cell<Instant>,
    told: Cell<Told>,
    told_at: Cell<Instant>,
    wake: Wake,
}

impl Seat {
    pub(super) fn doing(&self) -> Doing {
        self.doing.get()
    }

    pub(super) fn set(&self, doing: Doing) {
        self.doing.set(doing);
        self.since.set(Instant::now());
    }

    /// From when on it may be told to end, or, where it is drained, to close.
    fn spare(&self) -> Option<Instant> {
        let since = self.since.get();
        match (self.doing.get(), self.told.get()) {
            (Doing::Working, _) | (_, Told::Close) => None,
            (Doing::Leaving, _) => Some(since + DRAINED),
            (_, Told::MakeWay) => None,
            (Doing::Mute, _) => Some(since + MUTE),
            (Doing::Resting, _) => Some(since + RESTED),
        }
    }

    /// Whether it was told just now, and has only to do it. A front that reads by itself may take longer.
    fn ending(&self, now: Instant) -> bool {
        let fresh = now < self.told_at.get() + LOOK;
        fresh && self.told.get() == Told::MakeWay && self.doing.get() != Doing::Working
    }

    fn tell(&self, now: Instant) {
        self.told_at.set(now);
        let leaving = self.doing.get() == Doing::Leaving;
        self.told.set(if leaving { Told::Close } else { Told::MakeWay });
        self.wake.notify(usize::MAX);
    }

    async fn told(&self, least: Told) {
        while self.told.get() < least {
            let listener = self.wake.listen();
            if self.told.get() < least {
                listener.await;
            }
        }
    }

    pub(super) fn wanted(&self) -> bool {
        self.told.get() == Told::Nothing
    }

    pub(super) async fn unwanted(&self) {
        self.told(Told::MakeWay).await;
    }

    pub(super) async fn closed(&self) {
        self.told(Told::Close).await;
    }
}

/// Accept connections up to a number, each served by a task of its own.
pub struct Acceptor {
    executor: Rc<LocalExecutor<'static>>,
    closing: Rc<GracefulShutdown>,
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    /// Connections that were accepted so far.
    accepted: Cell<u64>,
    pub freed: Wake,
    descriptors: Rc<DescriptorBudget>,
    /// Three quarters of the room are taken.
    crowded: Rc<Cell<bool>>,
    log: Logger,
    log_limiter: LogRateLimiter,
}

impl Acceptor {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        closing: Rc<GracefulShutdown>,
        descriptors: Rc<DescriptorBudget>,
        log: Logger,
    ) -> Rc<Self> {
        let (seats, accepted, freed, crowded, said) = Default::default();
        Rc::new(Acceptor {
            executor,
            closing,
            seats,
            accepted,
            freed,
            descriptors,
            crowded,
            log,
            log_limiter: said,
        })
    }

    /// Connections that are being served.
    pub fn held(&self) -> usize {
        self.seats.borrow().len()
    }

    fn count(&self) {
        self.descriptors.set_client_connections(self.held());
        self.crowded.set(4 * self.held() >= 3 * self.descriptors.max_client_connections());
    }

    /// Tell one to make way, the longest first, or to be drained no longer; for how long to wait for it then. While
    /// one is on its way out no other one is told.
    fn make_way(&self, now: Instant) -> Duration {
        let seats = self.seats.borrow();
        let ending = seats.values().any(|s| s.ending(now));
        let spare = seats.values().filter(|s| s.spare().is_some_and(|at| at <= now));
        let first = spare.min_by_key(|s| (s.doing.get(), s.since.get()));
        match first.filter(|s| !ending || s.doing.get() == Doing::Leaving) {
            Some(seat) => seat.tell(now),
            None if !ending => return LOOK,
            None => {}
        }
        DRAINED
    }

    fn full(&self) -> bool {
        self.held() >= self.descriptors.max_client_connections() && !self.closing.is_idle()
    }

    /// Wait for room, and make it. Guards against clients that keep their connections and ask no more, or
    /// connect and say nothing: were they left to hold all there is, nobody else would be served.
    async fn room(&self) {
        while self.full() {
            let (freed, now) = (self.freed.listen(), Instant::now());
            let wait = self.make_way(now);
            timeout_at(now + wait, freed.or(self.closing.idle())).await;
        }
    }

    /// Accept until idle connections are closed; what the machine took for us by then is served too.
    pub async fn accept<F>(self: Rc<Self>, listener: Async<TcpListener>, serve: impl Fn(Client) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        // Since when connections may have waited unseen; none: nobody waited at the last look.
        let mut unseen = None;
        // Connections in a row that were gone before we took them.
        let mut gone = 0;
        loop {
            if self.full() {
                unseen.get_or_insert_with(Instant::now);
                self.room().await;
            }
            match socket::accept(&listener) {
                Accepted::Stream(stream, _) => self.seat(stream, unseen, &serve),
                // What the machine took for us by the end is served too.
                Accepted::NonePending if self.closing.is_idle() => return,
                Accepted::NonePending => {
                    unseen = None;
                    socket::wait_for_connection(&listener).or(self.closing.idle()).await;
                }
                // Its client is gone. It punishes nobody else, and the next one is taken at once.
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
                    unseen.get_or_insert(now);
                    if socket::is_process_out_of_descriptors(&e) {
                        self.make_way(now);
                    }
                    Timer::at(now + PAUSE).await;
                }
            }
            gone = 0;
        }
    }

    /// Serve a connection that was accepted, by a task of its own. `unseen`: since when it may have waited for that.
    fn seat<F>(self: &Rc<Self>, stream: Stream, unseen: Option<Instant>, serve: &impl Fn(Client) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        stream.set_nodelay();
        let now = Instant::now();
        let (doing, since, told_at) = (Cell::new(Doing::Mute), Cell::new(now), Cell::new(now));
        let (told, wake) = (Cell::new(Told::Nothing), Wake::new());
        let seat = Rc::new(Seat { doing, since, told, told_at, wake });
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        self.seats.borrow_mut().insert(number, seat.clone());
        self.count();
        let (closing, crowded) = (self.closing.clone(), self.crowded.clone());
        let served = serve(Client::new(stream, seat, closing, crowded, now, unseen.unwrap_or(now)));
        let acceptor = self.clone();
        let life = async move {
            served.await;
            acceptor.seats.borrow_mut().remove(&number);
            acceptor.count();
            acceptor.freed.notify(1);
        };
        self.executor.spawn(life).detach();
    }
}
