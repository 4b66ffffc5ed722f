//! The list of an earlier run, with which a process is started: it may lack drains that were made long before.
use std::time::{Duration, Instant};

use crate::common::scripted_discovery::ScriptedDiscovery;
use crate::rig::{assert_none_later_than, join_all, Delivery, Rig, DRAIN_GRACE};
use crate::trouble::{serve_until_query_succeeds, Trouble};

/// Guards against parts sent before an agent has told what it has, which counts as notified from the first
/// moment of a process.
#[test]
fn nothing_is_sent_by_the_known_list_while_the_agent_is_silent_from_the_start() {
    let mut rig = Rig::start("start", Delivery::Pushed);
    rig.program.wait_for_log("no list from discovery yet");
    rig.reconnect();
    assert_eq!(rig.query(), 503);
    assert_eq!(rig.last_send(), None);
}

/// Guards against parts sent by the list of an earlier run after the first call of a process has failed: drains
/// that were made while no process ran may count as notified then.
#[test]
fn the_known_list_is_not_used_once_the_first_call_has_failed() {
    let troubles = [
        Trouble::Silent,
        Trouble::Unavailable,
        Trouble::Disconnects,
        Trouble::PartialAnswers,
        Trouble::MalformedLists,
    ];
    let runs =
        troubles.map(|trouble| (trouble, std::thread::spawn(move || last_send_after_first_failure(trouble))));
    assert_none_later_than(DRAIN_GRACE, &join_all(runs));
}

/// Starts a coordinator whose first call fails. Returns how long after the failure the last part was sent.
fn last_send_after_first_failure(trouble: Trouble) -> Duration {
    const WATCHED_FOR: Duration = Duration::from_secs(1);
    let mut rig = Rig::start(&format!("first-{}", trouble.name()), Delivery::Polled);
    let discovery = std::mem::replace(&mut rig.discovery, ScriptedDiscovery::start());
    let first_call = discovery.next();
    assert_eq!(rig.query(), 200, "the first call is open");
    let failing_since = Instant::now();
    let mut held: Vec<_> = trouble.apply(first_call).into_iter().collect();
    let mut failed_at = None;
    while failed_at.is_none_or(|at: Instant| at.elapsed() < WATCHED_FOR) {
        rig.query();
        for call in discovery.calls.try_iter() {
            // A silent call has failed when it is given up and repeated.
            let given_up_at = if trouble == Trouble::Silent { call.received_at } else { failing_since };
            failed_at.get_or_insert(given_up_at);
            held.extend(trouble.apply(call));
        }
    }
    let last_send = rig.last_send().expect("a part before the failure");
    serve_until_query_succeeds(&mut rig, discovery, 3);
    last_send.saturating_duration_since(failed_at.expect("a repeated call"))
}
