//! Time limits of a watch: how long a call may be silent, and when it is repeated. Performs no I/O.
//!
//! No rule rests on these limits. They determine how soon a list that discovery has arrives here; the lease
//! on the list ([`crate::send_policy::EndpointLease`]) ends sends if it does not.
//!
//! Invariants: the assertions between the constants. A change that violates one does not compile.
#![warn(missing_docs)]
use std::time::Duration;

use crate::balancer::interface;
use crate::send_policy::{LeaseTerms, MAX_PROCESS_STALL, NOTIFIED_WITHIN};

/// Time after which discovery ends a queued call.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the end of a call's wait within which an empty answer may arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Maximum time for which discovery may hold a call.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Number of waits that fit in the validity of a list, so that a silent call can be repeated in time.
const WAITS_PER_VALIDITY: u32 = 3;
/// Time limit for connecting to discovery.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest pause after a failed call, whatever the backoff of the balancer has grown to.
pub const MAX_BACKOFF: Duration = Duration::from_millis(700);
/// Time limit for a call, including connecting and an answer that arrives slowly.
const CALL_TIMEOUT: Duration = POLL_WAIT.saturating_add(ANSWER_SLACK);
/// After one silent call, a call that is queued is answered while the list is valid.
const _: () = assert!(CALL_TIMEOUT.as_millis() + QUEUE_TIMEOUT.as_millis() < NOTIFIED_WITHIN.as_millis());

/// Usual time after the notification of a drain within which attempts to the data node must stop.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Time for which an agent may hold a call.
const AGENT_POLL_WAIT: Duration = Duration::from_millis(50);
/// Time after the end of a call's wait within which an agent's answer may arrive. A later one would not renew the
/// lease on the list.
const AGENT_ANSWER_SLACK: Duration = Duration::from_millis(100);
const _: () =
    assert!(AGENT_ANSWER_SLACK.as_millis() + MAX_PROCESS_STALL.as_millis() <= DRAIN_GRACE.as_millis());
/// The next empty answer of an agent arrives while the list is valid, unless it is late.
const _: () = assert!(AGENT_POLL_WAIT.as_millis() + MAX_PROCESS_STALL.as_millis() < DRAIN_GRACE.as_millis());
/// Time after an answer within which the next call must be made for the watch to continue.
pub const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// Minimum time between the starts of two calls if the first returned nothing new. Saves processor time if
/// an answer arrives at once although it should wait.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// The same for an agent, which answers early while the list is still valid.
const MIN_AGENT_CALL_INTERVAL: Duration = Duration::from_millis(70);
const _: () =
    assert!(MIN_AGENT_CALL_INTERVAL.as_millis() + MAX_PROCESS_STALL.as_millis() < DRAIN_GRACE.as_millis());
const _: () = assert!(MIN_CALL_INTERVAL.as_millis() < WATCH_CONTINUES_WITHIN.as_millis());
/// Additional time for an agent's answer after one that had begun to arrive timed out.
pub const MIN_SLOW_ANSWER_SLACK: Duration = Duration::from_millis(50);
/// Maximum additional time for an agent's answer that has begun to arrive. Without it, a list that takes
/// longer to receive than a silent call may last would time out each time.
pub const MAX_SLOW_ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Time for which a new process waits for its first list before it proceeds with what it knows. Nine in ten
/// processes must be ready within 10 s, and the start and the health check of the front take some of that.
pub const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(8);

/// Behavior of a watch, depending on how lists are delivered.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// Whether lists are pushed to an agent on this machine, which can be polled at no cost.
    pub is_push: bool,
    /// Time for which the server may hold a call that has nothing new.
    pub poll_wait: Duration,
    /// Time after the end of that wait within which the answer must arrive.
    pub answer_slack: Duration,
    /// Minimum time between the starts of two calls if the first returned nothing new.
    pub min_call_interval: Duration,
    /// Time from the first byte of an answer until its last byte must have arrived. After that it counts as
    /// lost, since discovery may have written it completely.
    pub max_receive_time: Duration,
    /// How long an answer permits sends.
    pub lease_terms: LeaseTerms,
}

impl WatchPolicy {
    /// Returns the policy for the configured type of discovery and the configured drain grace.
    pub fn new(discovery: interface::Discovery, drain_grace: Duration) -> WatchPolicy {
        let lease_terms = LeaseTerms::new(discovery, drain_grace);
        let max_receive_time = LeaseTerms::new(interface::Discovery::Push, drain_grace).validity();
        match discovery {
            interface::Discovery::Push => WatchPolicy {
                is_push: true,
                poll_wait: AGENT_POLL_WAIT,
                answer_slack: AGENT_ANSWER_SLACK,
                min_call_interval: MIN_AGENT_CALL_INTERVAL,
                max_receive_time,
                lease_terms,
            },
            interface::Discovery::Poll { .. } => WatchPolicy {
                is_push: false,
                poll_wait: POLL_WAIT.min(lease_terms.validity() / WAITS_PER_VALIDITY),
                answer_slack: ANSWER_SLACK,
                min_call_interval: MIN_CALL_INTERVAL,
                max_receive_time,
                lease_terms,
            },
        }
    }
}
