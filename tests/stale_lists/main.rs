//! Drains that do not arrive: whatever happens to discovery, its network or its watch, no part is sent to a data
//! node later than the drain grace after the drain counts as notified.
#[path = "../common/mod.rs"]
mod common;
mod lease;
mod rig;
mod start;
mod trouble;

use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use common::scripted_discovery::{answer_bytes, ScriptedDiscovery};
use common::*;
use fault_control::{Fault, ALWAYS};
use rig::{assert_none_later_than, join_all, Delivery, Rig, DRAIN_GRACE};
use trouble::{serve_until_query_succeeds, Trouble};

/// Time after which a change counts as notified, whether it arrives or not.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Time by which a call that failed must be repeated so that a lost drain takes effect within the drain grace,
/// although the process stalls for 0.15 s.
const REPEATED_WITHIN: Duration = Duration::from_millis(100);

/// Runs a coordinator whose discovery has answered once and is then in trouble. Returns how long after the last
/// answer the last part was sent.
fn last_send_in_trouble(trouble: Trouble, delivery: Delivery, watched_for: Duration) -> Duration {
    let mut rig = Rig::start(&format!("{}-{delivery:?}", trouble.name()), delivery);
    let discovery = std::mem::replace(&mut rig.discovery, ScriptedDiscovery::start());
    // A drain that discovery has from its last answer on does not arrive.
    let (discovery, changed_at) = serve_until_query_succeeds(&mut rig, discovery, 2);
    let (stop, stopped) = channel();
    let troubled = std::thread::spawn(move || {
        trouble.run(&discovery, &stopped);
        discovery
    });
    while changed_at.elapsed() < watched_for {
        rig.query();
    }
    let last_send = rig.last_send().expect("a part before the trouble");
    stop.send(()).expect("running");
    let discovery = troubled.join().expect("no panic");
    // The next answer brings the service back.
    serve_until_query_succeeds(&mut rig, discovery, 3);
    last_send.saturating_duration_since(changed_at)
}

/// Guards against parts sent to a data node whose drain was missed because calls fell silent or failed (issue 61).
#[test]
fn a_polled_list_is_not_used_once_a_missed_drain_counts_as_notified() {
    let troubles = [
        Trouble::Silent,
        Trouble::Unavailable,
        Trouble::Disconnects,
        Trouble::PartialAnswers,
        Trouble::MalformedLists,
    ];
    let watched_for = NOTIFIED_WITHIN + DRAIN_GRACE + Duration::from_millis(700);
    let runs = troubles.map(|trouble| {
        (trouble, std::thread::spawn(move || last_send_in_trouble(trouble, Delivery::Polled, watched_for)))
    });
    assert_none_later_than(NOTIFIED_WITHIN + DRAIN_GRACE, &join_all(runs));
}

/// Guards against parts sent by the list of an agent that no longer answers: what it has counts as notified at
/// once.
#[test]
fn a_pushed_list_is_not_used_while_its_agent_does_not_answer() {
    let troubles = [Trouble::Silent, Trouble::Unavailable, Trouble::Disconnects, Trouble::PartialAnswers];
    let watched_for = DRAIN_GRACE + Duration::from_millis(700);
    let runs = troubles.map(|trouble| {
        (trouble, std::thread::spawn(move || last_send_in_trouble(trouble, Delivery::Pushed, watched_for)))
    });
    assert_none_later_than(DRAIN_GRACE, &join_all(runs));
}

/// Guards against a send that is checked before a process stalls and written after it: agents fall silent, and
/// the process stalls for 0.15 s at different moments around the end of the list's validity.
#[test]
fn a_stalled_process_sends_nothing_by_a_list_that_is_no_longer_valid() {
    let stalls = [10, 30, 50, 70, 90, 110].map(Duration::from_millis);
    let runs = stalls
        .map(|stall_after| (stall_after, std::thread::spawn(move || last_send_with_stall(stall_after))));
    assert_none_later_than(DRAIN_GRACE, &join_all(runs));
}

/// Runs a coordinator whose agent falls silent, and which stalls `stall_after` the first silent call. Returns how
/// long after the agent's last answer the last part was sent.
fn last_send_with_stall(stall_after: Duration) -> Duration {
    const STALL: Duration = Duration::from_millis(150);
    let mut rig = Rig::start(&format!("stall-{}", stall_after.as_millis()), Delivery::Pushed);
    let program = rig.program.child.id().to_string();
    let signal = move |name: &str| {
        assert!(Command::new("kill").args([name, &program]).status().expect("kill runs").success());
    };
    let discovery = std::mem::replace(&mut rig.discovery, ScriptedDiscovery::start());
    let (_silent, changed_at) = serve_until_query_succeeds(&mut rig, discovery, 2);
    let stalling = std::thread::spawn(move || {
        std::thread::sleep(stall_after);
        signal("-STOP");
        std::thread::sleep(STALL);
        signal("-CONT");
    });
    rig.query_while_before(changed_at + 3 * DRAIN_GRACE, 503);
    stalling.join().expect("no panic");
    rig.last_send().expect("a part before the silence").saturating_duration_since(changed_at)
}

/// Guards against the pause after a lost answer (soak seeds 4 and 42): discovery wrote a drain, and the read of it
/// failed.
#[test]
fn a_call_whose_answer_is_lost_is_repeated_at_once_and_nothing_is_sent_before_its_answer() {
    let mut plan = None;
    let mut rig = Rig::start_with("lost", Delivery::Polled, |folder, _| {
        let armed = plan.insert(fault_plan(folder, 1));
        armed.spare_accepted_connections().expect("written");
        Program::start_with_faults(folder, armed)
    });
    let plan = plan.expect("created");
    rig.discovery.next().answer(&rig.list(2, true, "up"));
    rig.query_until(200);
    rig.last_send();
    let call = rig.discovery.next();
    plan.arm(Fault::ReceiveTimedOut, ALWAYS, 1).expect("armed");
    call.answer(&rig.list(3, false, "draining"));
    let written_at = Instant::now();
    let repeated = rig.discovery.next();
    assert_eq!(plan.fired(Fault::ReceiveTimedOut).expect("read"), 1);
    assert!(repeated.head.contains("index=2"), "the drain was not lost: {}", repeated.head);
    let pause = repeated.received_at - written_at;
    assert!(pause < REPEATED_WITHIN, "{pause:?}");
    assert_eq!(rig.query(), 503);
    assert_eq!(rig.last_send(), None, "a part to a data node whose drain was written");
    repeated.answer(&rig.list(3, false, "up"));
    rig.query_until(200);
}

/// Guards against an answer that arrives in part, and then nothing: discovery may have written all of it.
#[test]
fn nothing_is_sent_while_an_answer_is_incomplete_for_longer_than_the_grace_allows() {
    let mut rig = Rig::start("partial", Delivery::Polled);
    rig.discovery.next().answer(&rig.list(2, true, "up"));
    rig.query_until(200);
    let mut call = rig.discovery.next();
    let answer = answer_bytes(&rig.list(3, false, "draining"));
    let (begin, end) = answer.as_bytes().split_at(answer.len() / 2);
    call.write(begin);
    let written_at = Instant::now();
    rig.query_while_before(written_at + Duration::from_secs(1), 503);
    let last_send = rig.last_send().expect("a part");
    let after = last_send.saturating_duration_since(written_at);
    assert!(after < DRAIN_GRACE, "a part {after:?} after the drain was written");
    let line = rig.program.wait_for_log("query not answered");
    assert!(line.contains("list_invalid: an answer of discovery was lost"), "{line}");
    call.write(end);
    rig.program.wait_for_log("entries: 1, whole: false, seq: 3");
    assert_eq!(rig.query(), 503);
    assert_eq!(rig.last_send(), None);
}

/// Guards against a drain that the previous address wrote while a reload moved the watch to a new address that
/// has not answered yet.
#[test]
fn a_drain_from_the_previous_address_takes_effect_until_the_new_address_has_answered() {
    let mut rig = Rig::start("moved", Delivery::Polled);
    rig.discovery.next().answer(&rig.list(2, true, "up"));
    rig.query_until(200);
    rig.last_send();
    let previous_call = rig.discovery.next();
    let new = ScriptedDiscovery::start();
    rig.move_discovery(rig.discovery.address, new.address);
    let new_call = new.next();
    assert!(new_call.requests_complete_list(), "{}", new_call.head);
    previous_call.answer(&rig.list(3, false, "draining"));
    rig.program.wait_for_log("entries: 1, whole: false, seq: 3");
    assert_eq!(rig.query(), 503);
    assert_eq!(rig.last_send(), None, "a part to a draining data node");
    new_call.answer(&rig.list(1, true, "up"));
    rig.query_until(200);
    // From here on the previous address is ignored.
    let ignored = rig.discovery.calls.recv_timeout(Duration::from_millis(1));
    if let Ok(call) = ignored {
        call.answer(&rig.list(4, false, "draining"));
    }
    let next = new.next();
    assert!(next.head.contains("index=1"), "{}", next.head);
    assert_eq!(rig.query(), 200);
}

/// Guards against a drain that is lost with the watch at an address that a second reload replaced before its first
/// answer had arrived.
#[test]
fn nothing_is_sent_after_two_changes_of_address_until_the_last_address_has_answered() {
    let mut rig = Rig::start("moved-twice", Delivery::Polled);
    rig.discovery.next().answer(&rig.list(2, true, "up"));
    rig.query_until(200);
    let _previous_call = rig.discovery.next();
    let (second, last) = (ScriptedDiscovery::start(), ScriptedDiscovery::start());
    rig.move_discovery(rig.discovery.address, second.address);
    let lost_call = second.next();
    assert_eq!(rig.query(), 200, "the first address has answered within the validity of its list");
    rig.move_discovery(second.address, last.address);
    let last_call = last.next();
    rig.last_send();
    lost_call.answer(&rig.list(7, true, "draining"));
    assert_eq!(rig.query(), 503);
    assert_eq!(rig.last_send(), None, "a part to a data node whose drain was written");
    last_call.answer(&rig.list(1, true, "up"));
    rig.query_until(200);
}

/// Guards against rejections in the short gap in which an agent's next answer is late.
#[test]
fn a_part_waits_for_a_list_that_arrives_just_after_the_last_one_expired() {
    let mut rig = Rig::start("waits", Delivery::Pushed);
    let list = rig.list(2, true, "up");
    rig.discovery.next().answer(&list);
    rig.query_until(200);
    // The agent misses one call and answers the next one, when its last answer is no longer valid.
    let silent = rig.discovery.next();
    let next = rig.discovery.next();
    rig.last_send();
    std::thread::scope(|scope| {
        let list = rig.list(3, true, "up");
        scope.spawn(move || next.answer(&list));
        assert_eq!(rig.query(), 200);
    });
    drop(silent);
}

/// Guards against a coordinator that stops serving because its agent answers late, although each answer still
/// permits sends for the rest of the grace (issue 61).
#[test]
fn a_pushed_list_is_used_although_its_agent_answers_late() {
    const DELAY: Duration = Duration::from_millis(60);
    const ROUNDS: usize = 3;
    const CALLS_BETWEEN_ROUNDS: usize = 5;
    let mut rig = Rig::start("late", Delivery::Pushed);
    let list = rig.list(2, true, "up");
    let agent = std::mem::replace(&mut rig.discovery, ScriptedDiscovery::start());
    let (answered, answers) = channel();
    let serving = std::thread::spawn(move || {
        let mut connections = 0;
        while let Ok(call) = agent.calls.recv_timeout(TEST_TIMEOUT) {
            connections = call.connection + 1;
            std::thread::sleep(call.wait() + DELAY);
            call.answer(&list);
            if answered.send(()).is_err() {
                break;
            }
        }
        connections
    });
    for _ in 0..ROUNDS {
        for _ in 0..CALLS_BETWEEN_ROUNDS {
            answers.recv_timeout(TEST_TIMEOUT).expect("an answer");
        }
        rig.query_until(200);
    }
    drop(answers);
    let connections = serving.join().expect("no panic");
    assert!(connections < ROUNDS * CALLS_BETWEEN_ROUNDS / 2, "{connections} connections to the agent");
}
