//! Applies the lease on the endpoint list: while it is invalid, nothing new is written to a data node.
//!
//! An attempt waits for the next list for a short time and then ends as never sent, so that its query is
//! rejected in time.
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;

use super::connection::{send_outcome, Connection, OutgoingFrame, QueuedAttempt};
use super::DataNodes;
use crate::balancer::interface::Outcome;
use crate::coordinator::CancellationToken;
use crate::net::invariants;
use crate::net::timeout_at;
use crate::send_policy::{EndpointLease, LeaseInvalid, SendDenied};

/// Time for which an attempt waits for a valid list. A call of discovery that is repeated at once is usually
/// answered within it, and all attempts of a part together wait for less than half of a short deadline.
pub const MAX_LIST_WAIT: Duration = Duration::from_millis(100);

impl DataNodes {
    /// Returns the time from the notification of a drain until attempts must stop.
    pub fn drain_grace(&self) -> Duration {
        self.deployment.drain_grace
    }

    /// Limits attempts and probes by a lease on the endpoint list. Without this call they are not limited.
    pub fn limit_by_lease(&self, lease: EndpointLease) {
        self.lease.set(Some(lease));
    }

    /// Changes the lease, and wakes what waits for it.
    pub fn update_lease(&self, change: impl FnOnce(&mut EndpointLease)) {
        let Some(mut lease) = self.lease.get() else { return };
        let now = Instant::now();
        let was_valid = lease.check(now).is_ok();
        change(&mut lease);
        self.lease.set(Some(lease));
        if !was_valid && lease.check(now).is_ok() {
            let nodes = self.nodes.borrow();
            for connection in nodes.values().flat_map(|node| &node.connections) {
                connection.changed.notify(usize::MAX);
            }
        }
        self.lease_changed.notify(usize::MAX);
    }

    /// Returns the lease, if there is one.
    pub fn lease(&self) -> Option<EndpointLease> {
        self.lease.get()
    }

    /// Returns why attempts may not be sent by the current list, or `None` if they may.
    pub fn list_invalid(&self) -> Option<LeaseInvalid> {
        self.lease.get().and_then(|lease| lease.check(Instant::now()).err())
    }

    /// Completes when the lease has been changed. Cancel safe.
    pub async fn lease_changed(&self) {
        self.lease_changed.listen().await;
    }

    /// Returns whether attempts and probes may be written at `now`.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        self.lease.get().is_none_or(|lease| lease.check(now).is_ok())
    }

    /// Waits until the lease is valid, but not beyond [`MAX_LIST_WAIT`], the deadline, or the cancellation of
    /// the attempt. Returns whether it is valid.
    pub(super) async fn wait_for_valid_list(&self, deadline: Instant, stop: &CancellationToken) -> bool {
        let now = Instant::now();
        if self.may_send(now) {
            return true;
        }
        let valid = async {
            loop {
                let changed = self.lease_changed.listen();
                if self.may_send(Instant::now()) {
                    return true;
                }
                changed.await;
            }
        };
        let cancelled = async {
            stop.cancelled().await;
            false
        };
        let is_valid = timeout_at(deadline.min(now + MAX_LIST_WAIT), valid.or(cancelled)).await == Some(true);
        if !is_valid {
            invariants::record_denial(SendDenied::EndpointListInvalid);
        }
        is_valid
    }

    /// Ends the queued attempts and probes of a connection as never sent if they have waited for a valid list
    /// for too long.
    pub(super) fn end_unsendable(&self, connection: &Connection) {
        let now = Instant::now();
        let invalid_since = self.lease.get().and_then(|lease| lease.invalid_since(now));
        if invalid_since.is_none_or(|since| now < since + MAX_LIST_WAIT) {
            return;
        }
        let queued = connection.queue.take().into_iter();
        let (cancels, unsendable): (Vec<_>, Vec<_>) =
            queued.partition(|frame| matches!(frame, OutgoingFrame::Cancel(_)));
        connection.queue.replace(cancels.into());
        let attempts: Vec<Rc<QueuedAttempt>> = unsendable.into_iter().filter_map(into_attempt).collect();
        attempts.iter().for_each(|_| invariants::record_denial(SendDenied::EndpointListInvalid));
        send_outcome(&attempts, Outcome::NeverSent);
    }
}

/// Returns the attempt of a frame. Dropping a probe tells the prober that it failed.
fn into_attempt(frame: OutgoingFrame) -> Option<Rc<QueuedAttempt>> {
    match frame {
        OutgoingFrame::Attempt(attempt) => Some(attempt),
        OutgoingFrame::Probe(..) | OutgoingFrame::Cancel(_) => None,
    }
}
