//! The graceful shutdown: requested once, and seen by every connection.
//!
//! Owns the stages of a shutdown and their times. It ends nothing by itself: connections, the acceptors and
//! the program wait for a stage or ask for a deadline.
//!
//! The stages, from SIGTERM on:
//!
//! 1. draining: responses say that their connection closes; new connections are still accepted;
//! 2. keep-alive stopped, [`ACCEPT_GRACE`] later: no connection is accepted, idle ones are closed;
//! 3. the rest of a request is waited for no longer (`READ_GRACE`);
//! 4. queries are answered, finished or not, and the program ends, both before SIGKILL is due.
//!
//! Invariant: no stage is left again.
#![warn(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;

use crate::send_policy::MAX_PROCESS_STALL;

/// How long after SIGTERM the rest of a request may come in: by the protocol (planned restart), a request
/// that comes in later is lost if SIGKILL finds it unanswered.
const READ_GRACE: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than `READ_GRACE` and the longest deadline of all classes after SIGTERM. By the
/// protocol, a deadline counts for no more than this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long after SIGTERM the protocol lets new connections come.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);
/// What the protocol adds to each limit on time over sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long after SIGTERM connections are accepted, and may be idle: the last one of them has its request in
/// by then, and a query of the longest deadline that is taken then is finished before `FINAL_PERIOD`
/// starts.
pub const ACCEPT_GRACE: Duration = NEW_CONNECTIONS.saturating_add(SOCKET_SLACK);
/// The time before SIGKILL in which nothing is waited for: responses are sent, and the program ends. Keeps
/// what was accepted from being lost where the process is stalled just then: the second half of it is left
/// for that.
const FINAL_PERIOD: Duration = Duration::from_millis(240);
const _: () = assert!(MAX_PROCESS_STALL.as_millis() + SOCKET_SLACK.as_millis() < FINAL_PERIOD.as_millis());
const _: () = assert!(ACCEPT_GRACE.as_millis() + FINAL_PERIOD.as_millis() < READ_GRACE.as_millis());

/// The state of the graceful shutdown, shared by all connections of all fronts.
#[derive(Default)]
pub struct GracefulShutdown {
    /// A shutdown was requested: no new work is wanted, and responses say that the connection closes.
    pub draining: Cell<bool>,
    keep_alive_stopped: Cell<bool>,
    /// Until when the rest of a request may come in.
    read_deadline: Cell<Option<Instant>>,
    /// Until when accepted queries are worked on. None before the shutdown, and where no SIGKILL is due.
    answer_deadline: Cell<Option<Instant>>,
    changed: Event,
}

impl GracefulShutdown {
    /// Start the shutdown: SIGTERM was received at `now`. `longest` is the longest deadline of all classes,
    /// by which SIGKILL is due, or `None` where nobody sends SIGKILL.
    pub fn start_draining(&self, now: Instant, longest: Option<Duration>) {
        let until_sigkill = |longest: Duration| longest.min(MAX_COUNTED_DEADLINE) + READ_GRACE;
        self.draining.set(true);
        self.read_deadline.set(Some(now + READ_GRACE));
        self.answer_deadline.set(longest.map(|longest| now + until_sigkill(longest) - FINAL_PERIOD));
        self.changed.notify(usize::MAX);
    }

    /// From now on, accept no connections and close idle ones.
    pub fn stop_keep_alive(&self) {
        self.keep_alive_stopped.set(true);
        self.changed.notify(usize::MAX);
    }

    async fn until(&self, reached: impl Fn() -> bool) {
        while !reached() {
            let listener = self.changed.listen();
            if !reached() {
                listener.await;
            }
        }
    }

    /// Resolves once the shutdown has started. Cancel safe.
    pub async fn drain_started(&self) {
        self.until(|| self.draining.get()).await;
    }

    /// Resolves once idle connections are to be closed. Cancel safe.
    pub(super) async fn keep_alive_stopped(&self) {
        self.until(|| self.keep_alive_stopped.get()).await;
    }

    pub(super) fn is_keep_alive_stopped(&self) -> bool {
        self.keep_alive_stopped.get()
    }

    async fn passed(&self, deadline: &Cell<Option<Instant>>) {
        self.until(|| deadline.get().is_some()).await;
        if let Some(deadline) = deadline.get() {
            Timer::at(deadline).await;
        }
    }

    /// Resolves once the rest of a request is not to be waited for any longer. Cancel safe.
    pub(super) async fn read_deadline_passed(&self) {
        self.passed(&self.read_deadline).await;
    }

    /// Resolves once every accepted query has to be answered, finished or not; never where no SIGKILL is due.
    /// A query with a later deadline would get no answer at all. Cancel safe.
    pub async fn answer_deadline_passed(&self) {
        self.passed(&self.answer_deadline).await;
    }

    /// The earlier one of `deadline` and the time by which every query has to be answered.
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.answer_deadline.get().map_or(deadline, |answer_deadline| deadline.min(answer_deadline))
    }

    /// By when the program has to exit: before SIGKILL, with time left for a stall of the process. `None`
    /// where no SIGKILL is due, and before the shutdown.
    pub fn exit_deadline(&self) -> Option<Instant> {
        self.answer_deadline.get().map(|answer_deadline| answer_deadline + FINAL_PERIOD / 2)
    }
}
