//! How an attempt learns that it is no longer wanted, or may no longer be written.
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};

use super::retry_window::RetryWindow;
use super::AttemptGate;

/// Cancels its attempt when it is dropped. Nothing is ever sent through it.
pub type CancellationGuard = Sender<Infallible>;

/// Resolves when an attempt is cancelled.
#[derive(Clone)]
pub struct CancellationToken {
    cancelled: Receiver<Infallible>,
    /// Of a protected query.
    pub(super) gate: Option<Rc<dyn AttemptGate>>,
    /// Where a retry must not come late.
    pub(super) retry: Option<RetryLimit>,
}

/// The attempts of a part under a retry window, and which of them this one is.
#[derive(Clone)]
pub(super) struct RetryLimit {
    /// Shared by the attempts of the part.
    pub window: Rc<RetryWindow>,
    /// The number of this attempt.
    pub attempt: u8,
}

impl CancellationToken {
    /// A token, and the guard whose drop cancels it.
    pub fn new() -> (CancellationGuard, CancellationToken) {
        let (guard, cancelled) = async_channel::bounded(1);
        (guard, CancellationToken { cancelled, gate: None, retry: None })
    }

    /// Whether the attempt is cancelled, or its query no longer belongs to this process: to be asked immediately
    /// before a write.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.is_closed() || self.gate.as_ref().is_some_and(|gate| !gate.is_owned())
    }

    /// Whether the attempt would be a retry that comes after its class's window: to be asked immediately before a
    /// write; if so, the attempt ends as never sent. Prevents a late one that was decided within the window and then
    /// waited on a connect, behind other parts or for its grant.
    pub fn is_past_retry_window(&self, now: Instant) -> bool {
        self.retry.as_ref().is_some_and(|retry| retry.window.is_past(retry.attempt, now))
    }

    /// Resolves once the guard is dropped. Cancel safe.
    pub async fn cancelled(&self) {
        while self.cancelled.recv().await.is_ok() {}
    }
}
