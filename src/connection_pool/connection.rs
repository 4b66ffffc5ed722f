//! The state of one connection and its timers.
use std::time::Instant;

use super::limits::span;
use super::{CloseReason, PoolLimits};

/// A connection that is being established, is established, or drains.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) established: bool,
    /// The most concurrent calls, by the server's setting and the configured limit.
    pub(super) stream_limit: usize,
    pub(super) open_calls: usize,
    /// When it was established; before that, when the connect was started.
    pub(super) established_at: Instant,
    /// When it started to drain, if it does: it accepts no new calls since then.
    pub(super) draining_since: Option<Instant>,
    /// When data last arrived on it.
    pub(super) last_activity: Instant,
    /// When the outstanding PING was sent, if there is one.
    pub(super) ping_sent_at: Option<Instant>,
    /// When a call last ended on it, or a call started while it had none.
    pub(super) calls_changed_at: Instant,
}

impl Connection {
    /// Creates a connection whose connect starts now.
    pub(super) fn new(now: Instant, stream_limit: usize) -> Connection {
        Connection {
            established: false,
            stream_limit,
            open_calls: 0,
            established_at: now,
            draining_since: None,
            last_activity: now,
            ping_sent_at: None,
            calls_changed_at: now,
        }
    }

    /// Returns whether it can take one more call.
    pub(super) fn has_capacity(&self) -> bool {
        self.established && self.draining_since.is_none() && self.open_calls < self.stream_limit
    }

    /// Adds a call. The first call on an idle connection restarts the time without activity after which it is
    /// probed.
    pub(super) fn add_call(&mut self, now: Instant) {
        if self.open_calls == 0 {
            self.calls_changed_at = now;
        }
        self.open_calls += 1;
    }

    pub(super) fn release_call(&mut self, now: Instant) {
        self.open_calls = self.open_calls.saturating_sub(1);
        self.calls_changed_at = now;
    }

    pub(super) fn connected(&mut self, now: Instant) {
        self.established = true;
        self.established_at = now;
        self.last_activity = now;
        self.calls_changed_at = now;
    }

    /// Starts draining, unless it is draining already.
    pub(super) fn drain(&mut self, now: Instant) {
        self.draining_since.get_or_insert(now);
    }

    /// Returns why the connection has to be closed now, if it has.
    pub(super) fn close_reason(&self, now: Instant, limits: &PoolLimits) -> Option<CloseReason> {
        if let Some(since) = self.draining_since {
            if self.open_calls == 0 || now >= since + span(limits.drain_timeout_s) {
                return Some(CloseReason::Drained);
            }
        }
        if let Some(sent_at) = self.ping_sent_at {
            if now >= sent_at + span(limits.ping_timeout_s) {
                return Some(CloseReason::KeepaliveTimeout);
            }
        }
        let is_idle = self.draining_since.is_none()
            && self.open_calls == 0
            && now >= self.calls_changed_at + span(limits.idle_timeout_s);
        is_idle.then_some(CloseReason::Idle)
    }

    /// Returns whether a PING is due: calls are open, nothing has arrived for the ping interval, and no PING
    /// is outstanding.
    pub(super) fn needs_ping(&self, now: Instant, limits: &PoolLimits) -> bool {
        self.open_calls > 0 && self.ping_sent_at.is_none() && now >= self.ping_due(limits)
    }

    /// Returns the time of the next timer.
    pub(super) fn next_timer(&self, limits: &PoolLimits) -> Option<Instant> {
        let has_calls = self.open_calls > 0;
        let max_age = self.draining_since.is_none().then(|| self.established_at + span(limits.max_age_s));
        let drained =
            self.draining_since.map(
                |since| {
                    if has_calls {
                        since + span(limits.drain_timeout_s)
                    } else {
                        since
                    }
                },
            );
        let ping = match self.ping_sent_at {
            Some(sent_at) => Some(sent_at + span(limits.ping_timeout_s)),
            None => has_calls.then(|| self.ping_due(limits)),
        };
        let idle = (!has_calls).then(|| self.calls_changed_at + span(limits.idle_timeout_s));
        [max_age, drained, ping, idle].into_iter().flatten().min()
    }

    fn ping_due(&self, limits: &PoolLimits) -> Instant {
        self.last_activity.max(self.calls_changed_at) + span(limits.ping_interval_s)
    }
}
