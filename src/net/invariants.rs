//! Process-wide counters of sends denied by [`crate::send_policy`] and of violated invariants.
//!
//! A violation panics in builds with debug assertions, which the tests use; in other builds it is counted
//! and logged. The counters start at zero and only grow. This module never changes how a request is
//! processed.
#![warn(missing_docs)]
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use slog::{error, Logger};

use crate::send_policy::{SendDenied, Violation};

/// A snapshot of the counters. Attempts that were not written are counted by the [`SendDenied`] reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InvariantCounts {
    /// Attempts that were cancelled before they were written.
    pub cancelled: u64,
    /// Attempts whose deadline had passed, or would have passed in transit.
    pub deadline_exceeded: u64,
    /// Attempts whose data node was draining, removed or restarted.
    pub replica_not_ready: u64,
    /// Attempts while the endpoint list was not valid.
    pub endpoint_list_invalid: u64,
    /// Retries after the retry window of their class had closed.
    pub retry_window_closed: u64,
    /// Frames that were not written completely in time.
    pub stalled: u64,
    /// Connection attempts that failed for lack of local resources.
    pub local_failures: u64,
    /// Violated invariants.
    pub violations: u64,
}

static CANCELLED: AtomicU64 = AtomicU64::new(0);
static DEADLINE_EXCEEDED: AtomicU64 = AtomicU64::new(0);
static REPLICA_NOT_READY: AtomicU64 = AtomicU64::new(0);
static ENDPOINT_LIST_INVALID: AtomicU64 = AtomicU64::new(0);
static RETRY_WINDOW_CLOSED: AtomicU64 = AtomicU64::new(0);
static STALLED: AtomicU64 = AtomicU64::new(0);
static LOCAL_FAILURES: AtomicU64 = AtomicU64::new(0);
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static LOG: OnceLock<Logger> = OnceLock::new();

/// Sets the logger for violated invariants. Calls after the first one have no effect.
pub fn log_to(log: Logger) {
    let _ = LOG.set(log);
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// Counts an attempt that was not written, by the reason.
pub fn record_denial(reason: SendDenied) {
    increment(match reason {
        SendDenied::Cancelled => &CANCELLED,
        SendDenied::DeadlineExceeded => &DEADLINE_EXCEEDED,
        SendDenied::ReplicaNotReady => &REPLICA_NOT_READY,
        SendDenied::EndpointListInvalid => &ENDPOINT_LIST_INVALID,
        SendDenied::RetryWindowClosed => &RETRY_WINDOW_CLOSED,
    });
}

/// Counts a frame that was not written completely in time. Such a frame ends its connection.
pub fn record_stalled_frame() {
    increment(&STALLED);
}

/// Counts a connection attempt that failed for lack of local resources.
pub fn record_local_failure() {
    increment(&LOCAL_FAILURES);
}

/// Records the result of checking an invariant after the fact.
///
/// # Panics
///
/// Panics on a violation in builds with debug assertions.
pub fn check_invariant(result: Result<(), Violation>) {
    let Err(violation) = result else { return };
    increment(&VIOLATIONS);
    if let Some(log) = LOG.get() {
        error!(log, "invariant broken"; "which" => ?violation);
    }
    debug_assert!(false, "invariant broken: {violation:?}");
}

/// Returns the current counts. Each counter is read separately, so the snapshot is not atomic.
pub fn counts() -> InvariantCounts {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    InvariantCounts {
        cancelled: read(&CANCELLED),
        deadline_exceeded: read(&DEADLINE_EXCEEDED),
        replica_not_ready: read(&REPLICA_NOT_READY),
        endpoint_list_invalid: read(&ENDPOINT_LIST_INVALID),
        retry_window_closed: read(&RETRY_WINDOW_CLOSED),
        stalled: read(&STALLED),
        local_failures: read(&LOCAL_FAILURES),
        violations: read(&VIOLATIONS),
    }
}
