//! Cancellation of attempts, and the checks before an attempt is written.
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};

use super::retry_window::RetryWindow;
use super::AttemptGate;

/// Cancels its attempt when dropped. The channel carries no messages; only its closing is observed.
pub type CancellationGuard = Sender<Infallible>;

/// Signals the cancellation of an attempt.
#[derive(Clone)]
pub struct CancellationToken {
    cancelled: Receiver<Infallible>,
    /// The gate of a protected query.
    pub(super) gate: Option<Rc<dyn AttemptGate>>,
    /// The retry window of the part, for classes that have one.
    pub(super) retry: Option<RetryLimit>,
}

/// The retry window of a part, and the attempt that it is checked for.
#[derive(Clone)]
pub(super) struct RetryLimit {
    /// Shared by all attempts of the part.
    pub window: Rc<RetryWindow>,
    /// The number of this attempt.
    pub attempt: u8,
}

impl CancellationToken {
    /// Creates a token and the guard that cancels it when dropped.
    pub fn new() -> (CancellationGuard, CancellationToken) {
        let (guard, cancelled) = async_channel::bounded(1);
        (guard, CancellationToken { cancelled, gate: None, retry: None })
    }

    /// Returns whether the attempt is cancelled or this process no longer owns its query. Must be
    /// called immediately before a write.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_closed() || self.gate.as_ref().is_some_and(|gate| !gate.is_owned())
    }

    /// Returns whether the attempt would be a retry after the end of its class's retry window. Must
    /// be called immediately before a write; if true, the attempt ends as never sent. This catches
    /// retries that were decided within the window but then waited for a connection, behind other
    /// parts or for their grant.
    pub fn is_past_retry_window(&self, now: Instant) -> bool {
        self.retry.as_ref().is_some_and(|retry| retry.window.is_past(retry.attempt, now))
    }

    /// Completes once the guard is dropped. Cancel safe.
    pub async fn cancelled(&self) {
        while self.cancelled.recv().await.is_ok() {}
    }
}
