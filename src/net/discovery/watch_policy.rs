//! How long a watch may go without a word and when it is begun anew: figures, and what they follow from. No I/O.
use std::time::Duration;

use crate::balancer::interface;

/// Whatever discovery has to tell counts as told so long after it had it and could be reached, come what may: a watch
/// may fall silent as soon as it is begun, and calls may fail.
const TOLD: Duration = Duration::from_secs(6);
/// How long a call may wait for its turn at discovery before that ends it.
const TURN: Duration = Duration::from_secs(2);
/// How long an answer that brings nothing may come behind its wait: up to 0.39 s was seen behind a crowd of calls.
const LATE: Duration = Duration::from_millis(500);
/// How long discovery may hold a call. Guards against sending to what drains on a list that fell silent: within what
/// counts as told, silence is found, a call is ended behind its turn, and another still has one second.
const HOLD: Duration = Duration::from_secs(2);
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest pause behind a failed call, wherever the module's has grown to. Guards against its growing beyond
/// what counts as told: a quarter of the time that settings give for asking may be any time.
pub const MAX_BACKOFF: Duration = Duration::from_millis(700);
/// How long a call may take, connecting and a trickled answer included.
const CALL: Duration = HOLD.saturating_add(LATE);
const _: () = assert!(CALL.as_millis() + TURN.as_millis() + 1000 < TOLD.as_millis());
/// The same where the new watch is silent too.
const _: () = assert!(2 * CALL.as_millis() + 1000 <= TOLD.as_millis());
/// A pause, a call that fails as late as it may (trickled, unusable), a pause, a call answered at its last turn.
const _: () = assert!(2 * MAX_BACKOFF.as_millis() + CALL.as_millis() + TURN.as_millis() < TOLD.as_millis());
/// A pause, a connection that never comes up, a pause, a turn that ends in 503 or a reset, a pause, an answer.
const _: () = assert!(
    3 * MAX_BACKOFF.as_millis() + CONNECT_TIMEOUT.as_millis() + TURN.as_millis() + LATE.as_millis()
        < TOLD.as_millis()
);

/// Sends to what drains end so long after we were told.
const GRACE: Duration = Duration::from_millis(250);
/// What is left of that for a new connection to the agent on our machine, its answer, and our own round.
const REST: Duration = Duration::from_millis(100);
/// Where lists are pushed all that the agent has counts as told at once, watched or not, and it answers at once: a
/// call that is silent is over, and the next one made, well within the grace.
const AGENT_HOLD: Duration = Duration::from_millis(100);
const AGENT_LATE: Duration = Duration::from_millis(50);
const _: () =
    assert!(AGENT_HOLD.as_millis() + AGENT_LATE.as_millis() + REST.as_millis() <= GRACE.as_millis());
/// A watch continues while its next call comes so soon after the last answer.
pub const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// The least time from one call's start to the next where the first brought nothing new. Guards the processor
/// against an answer that comes at once though it was to wait; within the grace, and within what continues a watch.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
const _: () = assert!(MIN_CALL_INTERVAL.as_millis() + REST.as_millis() <= GRACE.as_millis());
const _: () = assert!(MIN_CALL_INTERVAL.as_millis() + REST.as_millis() <= WATCH_CONTINUES_WITHIN.as_millis());
/// The most that an agent's answer which has begun may be late. Guards a list that takes longer to come in than
/// silence does against being cut off each time.
pub const MAX_SLOW_ANSWER_SLACK: Duration = Duration::from_secs(1);
/// How long a new process waits for its first list before it goes on with what it knows: nine in ten have to be ready
/// within 10 s, and the start and the front's look take some of that.
pub const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(8);

/// How a watch is kept, by how lists come to us.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// Lists are pushed to an agent on our machine, which is asked at no cost.
    pub is_push: bool,
    /// How long the other side may hold a call, and be late behind that.
    pub poll_wait: Duration,
    pub answer_slack: Duration,
}

impl WatchPolicy {
    pub fn for_discovery(discovery: interface::Discovery) -> WatchPolicy {
        match discovery {
            interface::Discovery::Push => {
                WatchPolicy { is_push: true, poll_wait: AGENT_HOLD, answer_slack: AGENT_LATE }
            }
            interface::Discovery::Ask { .. } => {
                WatchPolicy { is_push: false, poll_wait: HOLD, answer_slack: LATE }
            }
        }
    }
}
