//! Counts of what [`crate::send_policy`] denied, and of invariants that were broken, for the whole process. A
//! broken invariant asserts in a build with debug assertions, as the tests run, and is counted and logged in
//! any other.
//!
//! Owns the counts; they start at zero with the process and only grow. Never changes what happens to a
//! request.
#![warn(missing_docs)]
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use slog::{error, Logger};

use crate::send_policy::{SendDenied, Violation};

/// The process's counts so far. Attempts that were not written are counted by [`SendDenied`]'s reasons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InvariantCounts {
    /// Attempts that nobody waited for.
    pub cancelled: u64,
    /// Attempts whose deadline had passed, or would have in transit.
    pub deadline_exceeded: u64,
    /// Attempts whose data node drained, was removed, or had restarted.
    pub replica_not_ready: u64,
    /// Retries after their class's retry window.
    pub retry_window_closed: u64,
    /// Frames that were not completely written in time.
    pub stalled: u64,
    /// Failures of this machine to connect.
    pub local_failures: u64,
    /// Broken invariants.
    pub violations: u64,
}

static CANCELLED: AtomicU64 = AtomicU64::new(0);
static DEADLINE_EXCEEDED: AtomicU64 = AtomicU64::new(0);
static REPLICA_NOT_READY: AtomicU64 = AtomicU64::new(0);
static RETRY_WINDOW_CLOSED: AtomicU64 = AtomicU64::new(0);
static STALLED: AtomicU64 = AtomicU64::new(0);
static LOCAL_FAILURES: AtomicU64 = AtomicU64::new(0);
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static LOG: OnceLock<Logger> = OnceLock::new();

/// Set where broken invariants are logged. The first call counts.
pub fn log_to(log: Logger) {
    let _ = LOG.set(log);
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// Count an attempt that was not written.
pub fn record_denial(reason: SendDenied) {
    increment(match reason {
        SendDenied::Cancelled => &CANCELLED,
        SendDenied::DeadlineExceeded => &DEADLINE_EXCEEDED,
        SendDenied::ReplicaNotReady => &REPLICA_NOT_READY,
        SendDenied::RetryWindowClosed => &RETRY_WINDOW_CLOSED,
    });
}

/// Count a frame that was not completely written in time, which ends its connection.
pub fn record_stalled_frame() {
    increment(&STALLED);
}

/// Count a failure of this machine to connect.
pub fn record_local_failure() {
    increment(&LOCAL_FAILURES);
}

/// Record the result of a check of something that was done.
///
/// # Panics
/// On a violation, in a build with debug assertions.
pub fn check_invariant(result: Result<(), Violation>) {
    let Err(violation) = result else { return };
    increment(&VIOLATIONS);
    if let Some(log) = LOG.get() {
        error!(log, "invariant broken"; "which" => ?violation);
    }
    debug_assert!(false, "invariant broken: {violation:?}");
}

/// The counts now; each is read by itself.
pub fn counts() -> InvariantCounts {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    InvariantCounts {
        cancelled: read(&CANCELLED),
        deadline_exceeded: read(&DEADLINE_EXCEEDED),
        replica_not_ready: read(&REPLICA_NOT_READY),
        retry_window_closed: read(&RETRY_WINDOW_CLOSED),
        stalled: read(&STALLED),
        local_failures: read(&LOCAL_FAILURES),
        violations: read(&VIOLATIONS),
    }
}
