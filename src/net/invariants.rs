//! Counts of what `permits` denied, and of invariants that were broken: a break asserts in a build with debug assertions,
//! as the tests run, and is counted and logged in any other.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use slog::{error, Logger};

use crate::send_policy::{Denied, Violation};

/// The process's counts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InvariantCounts {
    pub cancelled: u64,
    pub deadline_exceeded: u64,
    pub replica_not_ready: u64,
    pub retry_window_closed: u64,
    /// Frames that were not written whole in their time.
    pub stalled: u64,
    /// Failures of our own machine to connect.
    pub local_failures: u64,
    pub violations: u64,
}

static CALLED_OFF: AtomicU64 = AtomicU64::new(0);
static OUT_OF_TIME: AtomicU64 = AtomicU64::new(0);
static REPLICA_NOT_READY: AtomicU64 = AtomicU64::new(0);
static WINDOW_OVER: AtomicU64 = AtomicU64::new(0);
static STALLED: AtomicU64 = AtomicU64::new(0);
static LOCAL_FAILURES: AtomicU64 = AtomicU64::new(0);
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static LOG: OnceLock<Logger> = OnceLock::new();

/// Where breaks are logged.
pub fn log_to(log: Logger) {
    let _ = LOG.set(log);
}

fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

pub fn record_denial(why: Denied) {
    add(match why {
        Denied::CalledOff => &CALLED_OFF,
        Denied::OutOfTime => &OUT_OF_TIME,
        Denied::ReplicaNotReady => &REPLICA_NOT_READY,
        Denied::WindowOver => &WINDOW_OVER,
    });
}

/// A frame was not written whole in its time, and its connection is given up.
pub fn record_stalled_frame() {
    add(&STALLED);
}

/// Our own machine failed to connect.
pub fn record_local_failure() {
    add(&LOCAL_FAILURES);
}

/// Look at a check of something that was done: a broken invariant is counted.
pub fn check_invariant(checked: Result<(), Violation>) {
    let Err(violation) = checked else { return };
    add(&VIOLATIONS);
    if let Some(log) = LOG.get() {
        error!(log, "invariant broken"; "which" => ?violation);
    }
    debug_assert!(false, "invariant broken: {violation:?}");
}

pub fn counts() -> InvariantCounts {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    InvariantCounts {
        cancelled: read(&CALLED_OFF),
        deadline_exceeded: read(&OUT_OF_TIME),
        replica_not_ready: read(&REPLICA_NOT_READY),
        retry_window_closed: read(&WINDOW_OVER),
        stalled: read(&STALLED),
        local_failures: read(&LOCAL_FAILURES),
        violations: read(&VIOLATIONS),
    }
}
