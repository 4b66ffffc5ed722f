//! The program with a scripted discovery service or an agent with pushed lists: when it polls, how soon it
//! polls again, what an invalid list changes, and when it is ready.
mod common;

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use common::scripted_discovery::ScriptedDiscovery;
use common::*;

fn list(seq: u32, whole: bool, hosts: &str) -> String {
    format!("{{\n  \"seq\": {seq},\n  \"whole\": {whole},\n  \"hosts\": [\n    {hosts}\n  ]\n}}\n")
}

fn folder(name: &str, discovery: &ScriptedDiscovery, pushed: bool) -> PathBuf {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let folder = write_configuration(&format!("discovery-{name}"), &[nowhere], discovery.address, 1, 75);
    if pushed {
        replace_in_configuration(&folder, "\"Discovery\":\"ask\"", "\"Discovery\":\"push\"");
    }
    folder
}

fn remove_known_list(folder: &Path) {
    replace_in_configuration(folder, "\"known\":{", "\"known\":null,\"before\":{");
}

fn health(program: &Program) -> u16 {
    send_request(&mut connect(program.address), "GET /_health HTTP/1.1\r\nHost: t", "").0
}

fn node(health: &str) -> String {
    listed_host_json(0, &SocketAddr::from(([127, 0, 0, 1], 9)), health)
}

/// Guards against sending based on an outdated list: everything that the agent has counts as notified
/// immediately.
#[test]
fn an_agent_is_polled_from_the_start_and_its_first_list_makes_the_process_ready() {
    let agent = ScriptedDiscovery::start();
    let program = Program::start(&folder("agent", &agent, true), false);
    let first = agent.next();
    assert!(first.requests_complete_list(), "{}", first.head);
    assert_eq!(health(&program), 503, "nothing may be sent based on the old list");
    // The agent is silent, as while discovery is down, and answers a later call.
    let again = agent.next();
    assert!(again.requests_complete_list() && again.connection > first.connection, "{}", again.head);
    again.answer(&list(5, true, &node("up")));
    let line = program.wait_for_log("list of data nodes");
    assert!(line.contains("entries: 1, whole: true, seq: 5"), "the first list: {line}");
    while health(&program) != 200 {}
    let next = agent.next();
    assert!(next.head.contains("?index=5&wait=50 "), "{}", next.head);
    next.answer(&list(6, false, &node("draining")));
    program.wait_for_log("entries: 1, whole: false, seq: 6");
}

/// Calls are timed when they arrive, which on a busy machine is late for some of them. The first call and the last
/// answer before it bound the time of all of them exactly.
#[test]
fn an_agent_that_answers_early_is_polled_at_a_limited_rate() {
    const CALLS: u32 = 10;
    const MIN_INTERVAL: Duration = Duration::from_millis(60);
    let agent = ScriptedDiscovery::start();
    let _program = Program::start(&folder("pace", &agent, true), false);
    let complete_list = agent.next();
    // The next call starts after this, and every further one an interval after the one before.
    let earliest_start = Instant::now();
    complete_list.answer(&list(5, true, &node("up")));
    let first = agent.next();
    let (mut last, started) = (first.received_at, first.received_at);
    first.answer(&list(5, false, ""));
    let mut gaps = Vec::new();
    for number in 1..=CALLS {
        let call = agent.next();
        let elapsed = call.received_at - earliest_start;
        assert!(elapsed > number * MIN_INTERVAL, "{number} intervals in {elapsed:?}");
        gaps.push(call.received_at - last);
        last = call.received_at;
        // The complete list, although nothing is new.
        call.answer(&list(5, true, &node("up")));
    }
    gaps.sort();
    assert!(gaps[4] > MIN_INTERVAL, "half of the calls came early: {gaps:?}");
    assert!(
        last - started < CALLS * Duration::from_millis(200),
        "the watch must continue: {:?}",
        last - started
    );
}

/// Everything that the agent receives when discovery returns counts as notified immediately.
#[test]
fn an_agent_that_is_silent_or_fails_is_polled_again_within_the_drain_grace() {
    let agent = ScriptedDiscovery::start();
    let program = Program::start(&folder("hush", &agent, true), false);
    agent.next().answer(&list(5, true, &node("up")));
    let first = agent.next();
    let mut held = vec![first.received_at];
    let mut open = vec![first];
    let mut gaps = Vec::new();
    for turn in 0..12 {
        let mut call = agent.next();
        gaps.push(call.received_at - *held.last().expect("one"));
        held.push(call.received_at);
        match turn % 4 {
            0 => call.answer_unavailable(),
            1 => call.disconnect(),
            2 => {
                call.write(b"HTTP/1.1 200 OK\r\nContent-Le");
                open.push(call);
            }
            _ => open.push(call),
        }
    }
    // On a busy machine, single gaps may be longer.
    gaps.sort();
    assert!(gaps[9] < Duration::from_millis(250), "{gaps:?}");
    let call = agent.next();
    assert!(call.head.contains("?index=5&"), "{}", call.head);
    call.answer(&list(6, false, &node("draining")));
    program.wait_for_log("entries: 1, whole: false, seq: 6");
}

/// A change counts as notified six seconds after discovery has it and is reachable, even if the settings
/// allow any polling time.
#[test]
fn the_backoff_after_failed_calls_stays_within_the_notification_time() {
    let discovery = ScriptedDiscovery::start();
    let folder = folder("pauses", &discovery, false);
    replace_in_configuration(&folder, "\"AskWithinS\":10.0", "\"Other\":1");
    let _program = Program::start(&folder, false);
    let mut last = discovery.next();
    for turn in 0..7 {
        let failed = Instant::now();
        match turn % 3 {
            0 => last.answer_unavailable(),
            1 => last.disconnect(),
            _ => last.answer("{\"seq\":9,\"whole\":tr"),
        }
        last = discovery.next();
        assert!(
            last.received_at - failed < Duration::from_millis(1100),
            "{turn}: {:?}",
            last.received_at - failed
        );
        assert!(last.head.contains("?index=1&"), "a malformed list changes nothing: {}", last.head);
    }
}

/// A watch continues only if its next call is made within 200 ms.
#[test]
fn a_connection_closed_between_two_calls_is_followed_by_a_new_one_at_once() {
    let discovery = ScriptedDiscovery::start();
    let _program = Program::start(&folder("between", &discovery, false), false);
    let mut gaps = Vec::new();
    for seq in 2..7 {
        let call = discovery.next();
        let first_connection = call.connection;
        call.answer(&list(seq, false, &node("up")));
        let (answered, call) = (Instant::now(), discovery.next());
        assert_eq!(call.connection, first_connection);
        call.disconnect();
        let mut call = discovery.next();
        assert!(
            call.connection > first_connection && call.head.contains(&format!("?index={seq}&")),
            "{}",
            call.head
        );
        gaps.push(call.received_at - answered);
        // This answer announces the close.
        let body = list(seq, false, "");
        let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
        call.write((head + &body).as_bytes());
    }
    gaps.sort();
    assert!(gaps[2] < Duration::from_millis(200), "{gaps:?}");
}

#[test]
fn changes_of_an_older_version_are_ignored_and_the_complete_list_is_requested() {
    let discovery = ScriptedDiscovery::start();
    let program = Program::start(&folder("back", &discovery, false), false);
    program.wait_for_log("entries: 1, whole: true, seq: 1");
    discovery.next().answer(&list(9, false, &node("draining")));
    program.wait_for_log("entries: 1, whole: false, seq: 9");
    discovery.next().answer(&list(3, false, &node("up")));
    let call = discovery.next();
    assert!(call.requests_complete_list(), "{}", call.head);
    call.answer(&list(3, true, &node("draining")));
    let line = program.wait_for_log("list of data nodes");
    assert!(line.contains("entries: 1, whole: true, seq: 3"), "{line}");
    assert!(discovery.next().head.contains("?index=3&"));
}

#[test]
fn a_drain_takes_effect_even_with_an_invalid_address() {
    let discovery = ScriptedDiscovery::start();
    let program = Program::start(&folder("address", &discovery, false), false);
    program.wait_for_log("entries: 1, whole: true, seq: 1");
    let with_invalid_address = |health: &str| node(health).replace("127.0.0.1:9", "nowhere");
    discovery.next().answer(&list(2, false, &with_invalid_address("up")));
    program.wait_for_log("entries: 0, whole: false, seq: 2");
    discovery.next().answer(&list(3, false, &with_invalid_address("draining")));
    program.wait_for_log("entries: 1, whole: false, seq: 3");
}

#[test]
fn a_reload_with_the_same_address_keeps_the_watch() {
    let discovery = ScriptedDiscovery::start();
    let program = Program::start(&folder("same", &discovery, false), false);
    let call = discovery.next();
    for _ in 0..2 {
        program.signal("-HUP");
        program.wait_for_log("configuration reread");
    }
    call.answer(&list(2, false, &node("up")));
    let call = discovery.next();
    assert!(call.connection == 0 && call.head.contains("?index=2&"), "{}", call.head);
}

/// Two changes of address in a row while a failed watch waits for its restart: the last one takes effect.
/// The restart that was requested meanwhile has been done by then, and a later failure waits for its own.
#[test]
fn an_address_change_while_a_failed_watch_waits_leaves_no_pending_restart() {
    let (old, new) = (ScriptedDiscovery::start(), ScriptedDiscovery::start());
    let folder = folder("moves", &old, false);
    let program = Program::start(&folder, false);
    old.next().answer_unavailable();
    program.wait_for_log("watch on discovery ended");
    let failed = Instant::now();
    replace_in_configuration(&folder, &old.address.to_string(), &new.address.to_string());
    program.signal("-HUP");
    program.signal("-HUP");
    let call = new.next();
    assert!(call.requests_complete_list(), "{}", call.head);
    call.answer(&list(0, true, &node("up")));
    // Continue until the decision module has requested the restart, which has been done already.
    let mut seq = 0;
    let mut call = new.next();
    while failed.elapsed() < Duration::from_millis(1500) {
        seq += 1;
        call.answer(&list(seq, false, ""));
        call = new.next();
    }
    let failed = Instant::now();
    call.answer_unavailable();
    let call = new.next();
    assert!(call.received_at - failed > Duration::from_millis(400), "{:?}", call.received_at - failed);
}

/// Nine in ten restarted processes must be ready within ten seconds, even if discovery is down.
#[test]
fn without_any_list_the_process_is_ready_in_time_and_rejects_until_one_arrives() {
    let discovery = ScriptedDiscovery::start();
    let folder = folder("empty", &discovery, false);
    remove_known_list(&folder);
    let started = Instant::now();
    let program = Program::start(&folder, false);
    let call = discovery.next();
    assert!(call.requests_complete_list(), "{}", call.head);
    assert_eq!(health(&program), 503);
    program.wait_for_log("no list from discovery yet");
    assert_eq!(health(&program), 200);
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    let head = "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: a\r\nReq-Kind: field-lookup\r\nReq-Deadline-Ms: 400";
    let asked = Instant::now();
    let body = "{\"tablets\":[{\"tablet\":3,\"fraction\":1.0}],\"statement\":\"s\"}";
    let (status, _) = send_request(&mut connect(program.address), head, body);
    assert!(status == 503 && asked.elapsed() < Duration::from_millis(900), "{status} {:?}", asked.elapsed());
    // Discovery is down, then up.
    while let Ok(call) = discovery.calls.try_recv() {
        call.disconnect();
    }
    let call = discovery.next();
    assert!(call.requests_complete_list(), "{}", call.head);
    call.answer(&list(7, true, &node("up")));
    program.wait_for_log("entries: 1, whole: true, seq: 7");
}

#[test]
fn with_a_silent_agent_the_process_is_ready_with_the_known_list_in_time() {
    let agent = ScriptedDiscovery::start();
    let started = Instant::now();
    let program = Program::start(&folder("known", &agent, true), false);
    assert_eq!(health(&program), 503);
    program.wait_for_log("entries: 1, whole: true, seq: 1");
    while health(&program) != 200 {}
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    // The complete list is still requested: the known list is no base for changes.
    while agent.calls.try_recv().is_ok() {}
    assert!(agent.next().requests_complete_list());
}

/// Clients that hold all descriptors available to them leave one for a new connection to discovery and one
/// for reading the configuration.
#[test]
fn with_all_descriptors_held_by_clients_discovery_is_reachable_and_reloadable() {
    let (old, new) = (ScriptedDiscovery::start(), ScriptedDiscovery::start());
    let folder = folder("descriptors", &old, false);
    replace_in_configuration(&folder, "\"sockets\":1024", "\"sockets\":64");
    let program = Program::start_with_descriptor_limit(&folder, 64);
    let held: Vec<TcpStream> = (0..100).map(|_| connect(program.address)).collect();
    for _ in 0..3 {
        let call = old.next();
        let first_connection = call.connection;
        call.answer_unavailable();
        let call = old.next();
        assert!(call.connection > first_connection);
        call.answer_unavailable();
    }
    replace_in_configuration(&folder, &old.address.to_string(), &new.address.to_string());
    program.signal("-HUP");
    program.wait_for_log("configuration reread");
    let call = new.next();
    assert!(call.requests_complete_list(), "{}", call.head);
    call.answer(&list(4, true, &node("up")));
    program.wait_for_log("entries: 1, whole: true, seq: 4");
    drop(held);
}
