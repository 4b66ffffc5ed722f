//! What the acceptor knows of one client connection: its activity, and whether it has to end so that others
//! are served.
//!
//! Owns the activity and the eviction notice of a connection. It performs no I/O and never ends a connection:
//! the connection's own task waits for the notice and acts on it.
//!
//! Invariants: a connection that serves a request is sent no notice; a notice is only ever replaced by a
//! stricter one.
#![warn(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, Instant};

use event_listener::Event;

/// How long a connection may stay idle between requests, though others wait for a slot.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// How long the first byte of a connection's first request may take, though others wait for a slot. Clients
/// that have a request to send do so at once.
const MIN_FIRST_BYTE_WAIT: Duration = Duration::from_millis(50);
/// How long the rest of that request may take then.
const MIN_FIRST_REQUEST_WAIT: Duration = Duration::from_millis(250);
/// How long a connection is drained, though others wait for a slot. A round trip or two are enough for a
/// client that reads the end of the stream and closes its side.
pub(super) const MIN_DRAIN: Duration = Duration::from_millis(10);
/// How long an evicted connection may take to end before another one is evicted for the same slot, and the
/// time between two searches for a connection to evict.
pub(super) const EVICTION_RETRY: Duration = Duration::from_millis(50);

/// What a connection is doing, in the order in which connections are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionActivity {
    /// Its last response is written, or its client has been told that it ends: only its input is drained.
    Draining,
    /// Nothing has been received on it.
    AwaitingFirstByte,
    /// Its first request has not been received completely.
    AwaitingFirstRequest,
    /// It is between two requests.
    Idle,
    /// A request is being served, or a later one is being received.
    Serving,
}

/// What a connection has been asked to do so that its slot becomes free, the mildest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionNotice {
    /// Nothing: it may stay.
    Stay,
    /// End as soon as no request is being served.
    CloseWhenIdle,
    /// Stop draining and close.
    CloseNow,
}

/// The acceptor's view of one connection.
pub(super) struct ConnectionSlot {
    activity: Cell<ConnectionActivity>,
    active_since: Cell<Instant>,
    notice: Cell<EvictionNotice>,
    notified_at: Cell<Instant>,
    notice_changed: Event,
}

impl ConnectionSlot {
    /// The slot of a connection that was accepted at `now`, on which nothing has been received.
    pub(super) fn new(now: Instant) -> ConnectionSlot {
        ConnectionSlot {
            activity: Cell::new(ConnectionActivity::AwaitingFirstByte),
            active_since: Cell::new(now),
            notice: Cell::new(EvictionNotice::Stay),
            notified_at: Cell::new(now),
            notice_changed: Event::new(),
        }
    }

    pub(super) fn activity(&self) -> ConnectionActivity {
        self.activity.get()
    }

    /// When the current activity started.
    pub(super) fn active_since(&self) -> Instant {
        self.active_since.get()
    }

    /// Start an activity now, also where it is the one that goes on already: its time counts anew.
    pub(super) fn set_activity(&self, activity: ConnectionActivity) {
        self.activity.set(activity);
        self.active_since.set(Instant::now());
    }

    /// Whether the connection may be evicted at `now`, or, where it is being drained, closed.
    pub(super) fn is_evictable(&self, now: Instant) -> bool {
        self.evictable_from().is_some_and(|from| from <= now)
    }

    fn evictable_from(&self) -> Option<Instant> {
        let since = self.active_since.get();
        match (self.activity.get(), self.notice.get()) {
            (ConnectionActivity::Serving, _) | (_, EvictionNotice::CloseNow) => None,
            (ConnectionActivity::Draining, _) => Some(since + MIN_DRAIN),
            (_, EvictionNotice::CloseWhenIdle) => None,
            (ConnectionActivity::AwaitingFirstByte, _) => Some(since + MIN_FIRST_BYTE_WAIT),
            (ConnectionActivity::AwaitingFirstRequest, _) => Some(since + MIN_FIRST_REQUEST_WAIT),
            (ConnectionActivity::Idle, _) => Some(since + MIN_IDLE),
        }
    }

    /// Whether the connection was evicted within the last [`EVICTION_RETRY`] and is about to end. A front
    /// that frames the bytes itself (gRPC) may take longer.
    pub(super) fn is_ending(&self, now: Instant) -> bool {
        let recent = now < self.notified_at.get() + EVICTION_RETRY;
        recent
            && self.notice.get() == EvictionNotice::CloseWhenIdle
            && self.activity.get() != ConnectionActivity::Serving
    }

    /// Ask the connection to end, or, where it is being drained, to close at once.
    pub(super) fn evict(&self, now: Instant) {
        self.notified_at.set(now);
        self.notice.set(match self.activity.get() {
            ConnectionActivity::Draining => EvictionNotice::CloseNow,
            _ => EvictionNotice::CloseWhenIdle,
        });
        self.notice_changed.notify(usize::MAX);
    }

    /// Whether the connection has been asked to end.
    pub(super) fn is_evicted(&self) -> bool {
        self.notice.get() != EvictionNotice::Stay
    }

    /// Resolves once the connection has been asked to end. Cancel safe.
    pub(super) async fn evicted(&self) {
        self.noticed(EvictionNotice::CloseWhenIdle).await;
    }

    /// Resolves once the connection has been asked to drain its input no longer. Cancel safe.
    pub(super) async fn close_requested(&self) {
        self.noticed(EvictionNotice::CloseNow).await;
    }

    async fn noticed(&self, least: EvictionNotice) {
        while self.notice.get() < least {
            let listener = self.notice_changed.listen();
            if self.notice.get() < least {
                listener.await;
            }
        }
    }
}
