//! State of the graceful shutdown, which is requested once and observed by every connection.
//!
//! This module owns the stages of a shutdown and their deadlines. It does not close anything itself:
//! connections, acceptors and the process wait for a stage or ask for a deadline, and then act.
//!
//! The stages, starting at SIGTERM:
//!
//! 1. Draining: responses announce that their connection closes; new connections are still accepted.
//! 2. Keep-alive stopped, [`ACCEPT_GRACE`] later: no connection is accepted, and idle ones are closed.
//! 3. Read deadline passed, `READ_GRACE` after SIGTERM: the rest of a partially received request is no
//!    longer waited for.
//! 4. Answer deadline passed: queries that are still open are answered without waiting for them to finish,
//!    and the process exits. Both happen before SIGKILL is due.
//!
//! Invariant: the shutdown never returns to an earlier stage.
#![warn(missing_docs)]

use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;

use crate::send_policy::MAX_PROCESS_STALL;

/// Time after SIGTERM within which the rest of a request may arrive. The protocol for planned restarts
/// permits the loss of a request that arrives later and has not been answered when SIGKILL is sent.
const READ_GRACE: Duration = Duration::from_millis(700);
/// Upper bound on the deadline that determines the time of SIGKILL. By the protocol, the time between SIGTERM
/// and SIGKILL is at least `READ_GRACE` plus the longest deadline of all classes, where a deadline above this
/// bound counts as the bound.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time after SIGTERM during which the protocol lets new connections arrive.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(400);
/// Tolerance that the protocol adds to each time limit over sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Time after SIGTERM during which connections are accepted and may be idle. At the end of this time, all
/// clients that the protocol allows to connect have sent their requests, and a query that is accepted then
/// with the longest deadline finishes before `FINAL_PERIOD` starts.
pub const ACCEPT_GRACE: Duration = NEW_CONNECTION_PERIOD.saturating_add(SOCKET_SLACK);
/// Period before SIGKILL in which the process does not wait for queries any more, but sends the responses and
/// exits. The second half is reserved for a stall of the process, so that a stall in this period does not
/// lose accepted queries.
const FINAL_PERIOD: Duration = Duration::from_millis(240);
/// Period before the exit in which connections no longer wait for their clients to close them.
const CLOSE_PERIOD: Duration = Duration::from_millis(20);
const _: () = assert!(MAX_PROCESS_STALL.as_millis() + SOCKET_SLACK.as_millis() < FINAL_PERIOD.as_millis());
const _: () = assert!(ACCEPT_GRACE.as_millis() + FINAL_PERIOD.as_millis() < READ_GRACE.as_millis());

/// State of the graceful shutdown, shared by all connections of all fronts.
#[derive(Default)]
pub struct GracefulShutdown {
    /// Whether a shutdown was requested: no new work is wanted, and responses announce that the connection
    /// closes.
    pub draining: Cell<bool>,
    keep_alive_stopped: Cell<bool>,
    /// Deadline for the rest of a partially received request.
    read_deadline: Cell<Option<Instant>>,
    /// Deadline for answering accepted queries. `None` before the shutdown, and if no SIGKILL is due.
    answer_deadline: Cell<Option<Instant>>,
    changed: Event,
}

impl GracefulShutdown {
    /// Starts the shutdown after SIGTERM was received at `now`. `longest_deadline` is the longest deadline
    /// of all classes, which determines when SIGKILL is due, or `None` if nobody sends SIGKILL.
    pub fn start_draining(&self, now: Instant, longest_deadline: Option<Duration>) {
        let until_sigkill =
            |longest_deadline: Duration| longest_deadline.min(MAX_COUNTED_DEADLINE) + READ_GRACE;
        self.draining.set(true);
        self.read_deadline.set(Some(now + READ_GRACE));
        self.answer_deadline.set(
            longest_deadline.map(|longest_deadline| now + until_sigkill(longest_deadline) - FINAL_PERIOD),
        );
        self.changed.notify(usize::MAX);
    }

    /// Stops accepting connections and closes idle ones from now on.
    pub fn stop_keep_alive(&self) {
        self.keep_alive_stopped.set(true);
        self.changed.notify(usize::MAX);
    }

    async fn wait_until(&self, reached: impl Fn() -> bool) {
        while !reached() {
            let listener = self.changed.listen();
            if !reached() {
                listener.await;
            }
        }
    }

    /// Completes when the shutdown has started. Cancel safe.
    pub async fn drain_started(&self) {
        self.wait_until(|| self.draining.get()).await;
    }

    /// Completes when idle connections are to be closed. Cancel safe.
    pub(super) async fn keep_alive_stopped(&self) {
        self.wait_until(|| self.keep_alive_stopped.get()).await;
    }

    pub(super) fn is_keep_alive_stopped(&self) -> bool {
        self.keep_alive_stopped.get()
    }

    async fn wait_for_deadline(&self, deadline: &Cell<Option<Instant>>) {
        self.wait_until(|| deadline.get().is_some()).await;
        if let Some(deadline) = deadline.get() {
            Timer::at(deadline).await;
        }
    }

    /// Completes when the deadline for receiving the rest of a request has passed. Cancel safe.
    pub(super) async fn read_deadline_passed(&self) {
        self.wait_for_deadline(&self.read_deadline).await;
    }

    /// Completes when every accepted query has to be answered, whether it has finished or not. Never
    /// completes if no SIGKILL is due. A query that is not answered at this time would get no answer at all.
    /// Cancel safe.
    pub async fn answer_deadline_passed(&self) {
        self.wait_for_deadline(&self.answer_deadline).await;
    }

    /// Returns the earlier of `deadline` and the time by which every query has to be answered.
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.answer_deadline.get().map_or(deadline, |answer_deadline| deadline.min(answer_deadline))
    }

    /// Returns the earlier of `deadline` and the time by which connections have to be closed, shortly before the
    /// process exits.
    pub(super) fn limit_linger(&self, deadline: Instant) -> Instant {
        self.exit_deadline().map_or(deadline, |exit_deadline| deadline.min(exit_deadline - CLOSE_PERIOD))
    }

    /// Returns the time by which the process has to exit: before SIGKILL, with time left for a stall of the
    /// process. `None` before the shutdown, and if no SIGKILL is due.
    pub fn exit_deadline(&self) -> Option<Instant> {
        self.answer_deadline.get().map(|answer_deadline| answer_deadline + FINAL_PERIOD / 2)
    }
}
