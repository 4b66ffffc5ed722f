//! The loop that runs the tasks of the process, alternating with the collection of I/O events and timers.
//!
//! All tasks share one thread, so a task delays all others for as long as it is polled. The loop measures
//! these delays ([`RunLoopStats`]). It does not know what the tasks do.
//!
//! Invariants: I/O events are collected after at most `MAX_TASKS_PER_CYCLE` polls of tasks, and after the
//! poll with which they have transferred `BYTES_PER_CYCLE` together. Each poll has the budget of
//! [`io_budget`].
#![warn(missing_docs)]

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::{future, FutureExt};

use super::io_budget::{self, Enforcement, BYTES_PER_POLL};

/// Maximum number of tasks that are polled before I/O events and timers are collected.
const MAX_TASKS_PER_CYCLE: usize = 200;

/// Bytes after which no further task is polled before I/O events and timers are collected. Requests that are
/// small count as in [`io_budget`].
const BYTES_PER_CYCLE: usize = 16 * BYTES_PER_POLL;
// Each cycle grants one turn, so the ready tasks that read a lot get fewer only if a cycle polls several.
const _: () = assert!(BYTES_PER_CYCLE > BYTES_PER_POLL);

/// Measurements of the loop on this thread. The durations are those of the work alone, without the waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunLoopStats {
    /// Number of polls of tasks.
    pub polls: u64,
    /// Longest time that a single poll of a task took, for which all other tasks waited.
    pub longest_poll: Duration,
    /// Longest time between two collections of I/O events.
    pub longest_cycle: Duration,
}

thread_local! {
    static STATS: Cell<RunLoopStats> = Cell::default();
}

/// Returns the measurements since the last call on this thread, and starts anew.
pub fn take_stats() -> RunLoopStats {
    STATS.take()
}

/// Runs `main` and the tasks of `executor` until `main` completes, and returns its output. Must be called
/// within [`async_io::block_on`], which collects the I/O events.
pub async fn run<T>(executor: &LocalExecutor<'_>, main: impl Future<Output = T>) -> T {
    let _enforcement = Enforcement::start();
    main.or(run_tasks(executor)).await
}

async fn run_tasks<T>(executor: &LocalExecutor<'_>) -> T {
    loop {
        let none_left = run_ready_tasks(executor);
        let turn_granted = io_budget::grant_turn();
        if none_left && !turn_granted {
            run_next_task(executor).await;
        } else {
            // `block_on` collects I/O events before it polls again.
            future::yield_now().await;
        }
    }
}

/// Polls the ready tasks of one cycle, in the order in which they became ready. Returns whether none is left.
fn run_ready_tasks(executor: &LocalExecutor<'_>) -> bool {
    let cycle_started = Instant::now();
    let mut poll_started = cycle_started;
    let mut transferred = io_budget::refill();
    let mut none_left = false;
    for _ in 0..MAX_TASKS_PER_CYCLE {
        if transferred >= BYTES_PER_CYCLE {
            break;
        }
        if !executor.try_tick() {
            none_left = true;
            break;
        }
        transferred += io_budget::refill();
        poll_started = record_poll(poll_started);
    }
    record_cycle(poll_started - cycle_started);
    none_left
}

/// Waits until a task is ready and polls it.
async fn run_next_task(executor: &LocalExecutor<'_>) {
    let mut tick = pin!(executor.tick());
    poll_fn(|cx| {
        let started = Instant::now();
        let polled = tick.as_mut().poll(cx);
        if polled.is_ready() {
            record_poll(started);
        }
        polled
    })
    .await;
}

/// Records a poll of a task that has just returned, and returns the current time.
fn record_poll(started: Instant) -> Instant {
    let now = Instant::now();
    let stats = STATS.get();
    STATS.set(RunLoopStats {
        polls: stats.polls + 1,
        longest_poll: stats.longest_poll.max(now - started),
        ..stats
    });
    now
}

fn record_cycle(duration: Duration) {
    let stats = STATS.get();
    STATS.set(RunLoopStats { longest_cycle: stats.longest_cycle.max(duration), ..stats });
}
