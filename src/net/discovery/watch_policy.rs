//! How long a watch may be silent and when it is restarted: times, and the bounds that they follow from. No
//! I/O.
//!
//! Invariants: the assertions between the constants; a change that breaks one doesn't compile.
#![warn(missing_docs)]
use std::time::Duration;

use crate::balancer::interface;

/// Whatever discovery lists counts as notified so long after it had it and could be reached, in any case: a
/// watch may fall silent as soon as it is started, and calls may fail.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// How long a call may be queued at discovery before that ends it.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an answer that brings nothing may come after its wait: up to 0.39 s was measured after a crowd of
/// calls.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long discovery may hold a call. Prevents sending to what drains on a list that fell silent: within
/// [`NOTIFIED_WITHIN`] the silence is found, a call ends in the queue, and another one still has one second.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// How long connecting to discovery may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest pause after a failed call, whatever the balancer's backoff has grown to. Keeps it below what
/// counts as notified: a quarter of the time that settings give for polls may be any time.
pub const MAX_BACKOFF: Duration = Duration::from_millis(700);
/// How long a call may take, connecting and a trickled answer included.
const CALL_TIMEOUT: Duration = POLL_WAIT.saturating_add(ANSWER_SLACK);
const _: () =
    assert!(CALL_TIMEOUT.as_millis() + QUEUE_TIMEOUT.as_millis() + 1000 < NOTIFIED_WITHIN.as_millis());
/// The same where the new watch is silent too.
const _: () = assert!(2 * CALL_TIMEOUT.as_millis() + 1000 <= NOTIFIED_WITHIN.as_millis());
/// A pause, a call that fails as late as it may (trickled, unusable), a pause, a call answered at the queue's
/// end.
const _: () = assert!(
    2 * MAX_BACKOFF.as_millis() + CALL_TIMEOUT.as_millis() + QUEUE_TIMEOUT.as_millis()
        < NOTIFIED_WITHIN.as_millis()
);
/// A pause, a connection that never comes up, a pause, a queued call that ends in 503 or a reset, a pause, an
/// answer.
const _: () = assert!(
    3 * MAX_BACKOFF.as_millis()
        + CONNECT_TIMEOUT.as_millis()
        + QUEUE_TIMEOUT.as_millis()
        + ANSWER_SLACK.as_millis()
        < NOTIFIED_WITHIN.as_millis()
);

/// Attempts to a draining data node stop so long after we were notified.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// What is left of that for a new connection to the agent on this machine, its answer, and the balancer's
/// round.
const ROUND_ALLOWANCE: Duration = Duration::from_millis(100);
/// How long an agent may hold a call. Where lists are pushed, all that the agent has counts as notified at
/// once, watched or not, and it answers at once: a silent call ends, and the next one is made, well within
/// the grace.
const AGENT_POLL_WAIT: Duration = Duration::from_millis(100);
/// How long an agent's answer may come after its wait.
const AGENT_ANSWER_SLACK: Duration = Duration::from_millis(50);
const _: () = assert!(
    AGENT_POLL_WAIT.as_millis() + AGENT_ANSWER_SLACK.as_millis() + ROUND_ALLOWANCE.as_millis()
        <= DRAIN_GRACE.as_millis()
);
/// A watch continues if its next call comes so soon after the last answer.
pub const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// The least time between the starts of two calls where the first brought nothing new. Saves the processor
/// from an answer that comes at once though it was to wait; within the grace, and within what continues a
/// watch.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
const _: () = assert!(MIN_CALL_INTERVAL.as_millis() + ROUND_ALLOWANCE.as_millis() <= DRAIN_GRACE.as_millis());
const _: () = assert!(
    MIN_CALL_INTERVAL.as_millis() + ROUND_ALLOWANCE.as_millis() <= WATCH_CONTINUES_WITHIN.as_millis()
);
/// The most additional time for an agent's answer that has begun. Prevents cutting off, each time anew, a
/// list that takes longer to arrive than a silent call may.
pub const MAX_SLOW_ANSWER_SLACK: Duration = Duration::from_secs(1);
/// How long a new process waits for its first list before it goes on with what it knows: nine in ten have to
/// be ready within 10 s, and the start and the front's look take some of that.
pub const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(8);

/// How a watch behaves, by how lists come to us.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// Lists are pushed to an agent on this machine, which is polled at no cost.
    pub is_push: bool,
    /// How long the other side may hold a call that has nothing new.
    pub poll_wait: Duration,
    /// How late it may be after that.
    pub answer_slack: Duration,
}

impl WatchPolicy {
    /// The policy for discovery as the settings say it works.
    pub fn for_discovery(discovery: interface::Discovery) -> WatchPolicy {
        match discovery {
            interface::Discovery::Push => {
                WatchPolicy { is_push: true, poll_wait: AGENT_POLL_WAIT, answer_slack: AGENT_ANSWER_SLACK }
            }
            interface::Discovery::Poll { .. } => {
                WatchPolicy { is_push: false, poll_wait: POLL_WAIT, answer_slack: ANSWER_SLACK }
            }
        }
    }
}
