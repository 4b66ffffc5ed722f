//! Counts of what `permits` denied, and of invariants that were broken: a break asserts in a build with debug assertions,
//! as the tests run, and is counted and logged in any other.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use slog::{error, Logger};

use crate::send_policy::{SendDenied, Violation};

/// The process's counts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub called_off: u64,
    pub out_of_time: u64,
    pub replica_not_ready: u64,
    pub window_over: u64,
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

pub fn denied(why: SendDenied) {
    add(match why {
        SendDenied::Cancelled => &CALLED_OFF,
        SendDenied::DeadlineExceeded => &OUT_OF_TIME,
        SendDenied::ReplicaNotReady => &REPLICA_NOT_READY,
        SendDenied::RetryWindowClosed => &WINDOW_OVER,
    });
}

/// A frame was not written whole in its time, and its connection is given up.
pub fn stalled() {
    add(&STALLED);
}

/// Our own machine failed to connect.
pub fn local_failure() {
    add(&LOCAL_FAILURES);
}

/// Look at a check of something that was done: a broken invariant is counted.
pub fn check(checked: Result<(), Violation>) {
    let Err(violation) = checked else { return };
    add(&VIOLATIONS);
    if let Some(log) = LOG.get() {
        error!(log, "invariant broken"; "which" => ?violation);
    }
    debug_assert!(false, "invariant broken: {violation:?}");
}

pub fn counts() -> Counts {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    Counts {
        called_off: read(&CALLED_OFF),
        out_of_time: read(&OUT_OF_TIME),
        replica_not_ready: read(&REPLICA_NOT_READY),
        window_over: read(&WINDOW_OVER),
        stalled: read(&STALLED),
        local_failures: read(&LOCAL_FAILURES),
        violations: read(&VIOLATIONS),
    }
}
