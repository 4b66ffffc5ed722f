//! State that the acceptor and the task of a client connection share: the activity of the connection, and
//! the notice that asks the task to close the connection so that others are served.
//!
//! This module performs no I/O and never closes a connection: the task of the connection waits for the
//! notice and then closes the connection.
//!
//! Invariants: a connection that serves a request is sent no notice, and a notice is only ever replaced by a
//! stricter one.
#![warn(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, Instant};

use event_listener::Event;

/// Minimum time that a connection may stay idle between requests while others wait for a slot.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// Minimum time to wait for the first byte of the first request while others wait for a slot. It is short
/// because a client that opens a connection for a request sends the request immediately.
const MIN_FIRST_BYTE_WAIT: Duration = Duration::from_millis(50);
/// Minimum time to wait for the rest of the first request while others wait for a slot.
const MIN_FIRST_REQUEST_WAIT: Duration = Duration::from_millis(250);
/// Minimum time to drain a connection while others wait for a slot. One or two round trips are enough for a
/// client that reads the end of the stream and closes its side.
pub(super) const MIN_DRAIN: Duration = Duration::from_millis(10);
/// Time that an evicted connection may take to close before another one is evicted for the same slot, and
/// the interval between two searches for a connection to evict.
pub(super) const EVICTION_RETRY: Duration = Duration::from_millis(50);

/// Activity of a connection, in eviction order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ConnectionActivity {
    /// The last response has been written, or the client has been told of the close; the remaining input is
    /// read and discarded.
    Draining,
    /// Nothing has been received.
    AwaitingFirstByte,
    /// The first request has not been received completely.
    AwaitingFirstRequest,
    /// The connection is between two requests.
    Idle,
    /// A request is being served, or a later one is being received.
    Serving,
}

/// Request to a connection to free its slot, in order of increasing strictness.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionNotice {
    /// No request: the connection may stay open.
    Stay,
    /// Close as soon as no request is being served.
    CloseWhenIdle,
    /// Stop draining and close.
    CloseNow,
}

/// Shared state of one connection.
pub(super) struct ConnectionSlot {
    activity: Cell<ConnectionActivity>,
    active_since: Cell<Instant>,
    notice: Cell<EvictionNotice>,
    notified_at: Cell<Instant>,
    notice_changed: Event,
}

impl ConnectionSlot {
    /// Creates the slot of a connection that was accepted at `now` and on which nothing has been received.
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

    /// Returns the time at which the current activity started.
    pub(super) fn active_since(&self) -> Instant {
        self.active_since.get()
    }

    /// Sets the activity and its start time to now, even if the activity does not change.
    pub(super) fn set_activity(&self, activity: ConnectionActivity) {
        self.activity.set(activity);
        self.active_since.set(Instant::now());
    }

    /// Returns whether the connection may be evicted at `now`, or, if it is draining, may be closed.
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

    /// Returns whether the connection was evicted within the last [`EVICTION_RETRY`] and is about to close. A
    /// connection that was evicted earlier is not counted, because the connection of a front that does its
    /// own framing (gRPC) may take much longer to close.
    pub(super) fn is_ending(&self, now: Instant) -> bool {
        let recent = now < self.notified_at.get() + EVICTION_RETRY;
        recent
            && self.notice.get() == EvictionNotice::CloseWhenIdle
            && self.activity.get() != ConnectionActivity::Serving
    }

    /// Asks the connection to close, or to close immediately if it is draining.
    pub(super) fn evict(&self, now: Instant) {
        self.notified_at.set(now);
        self.notice.set(match self.activity.get() {
            ConnectionActivity::Draining => EvictionNotice::CloseNow,
            _ => EvictionNotice::CloseWhenIdle,
        });
        self.notice_changed.notify(usize::MAX);
    }

    /// Returns whether the connection has been asked to close.
    pub(super) fn is_evicted(&self) -> bool {
        self.notice.get() != EvictionNotice::Stay
    }

    /// Completes when the connection has been asked to close. Cancel safe.
    pub(super) async fn evicted(&self) {
        self.notice_at_least(EvictionNotice::CloseWhenIdle).await;
    }

    /// Completes when the connection has been asked to stop draining its input. Cancel safe.
    pub(super) async fn close_requested(&self) {
        self.notice_at_least(EvictionNotice::CloseNow).await;
    }

    async fn notice_at_least(&self, least: EvictionNotice) {
        while self.notice.get() < least {
            let listener = self.notice_changed.listen();
            if self.notice.get() < least {
                listener.await;
            }
        }
    }
}
