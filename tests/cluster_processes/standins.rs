//! Tests of the stand-ins themselves. A fault that they fail to inject would go unnoticed in the other
//! tests.
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;

use crate::checker::{self, Violation};
use crate::client::{lookup, once};
use crate::cluster::{Cluster, Setup};
use crate::common::TEST_TIMEOUT;
use crate::history::{EventKind, History, Query};
use crate::servers::ServerAction;
use crate::wires::{LinkFaults, LinkProxies};

fn frame(kind: u8, text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(text.as_bytes());
    bytes
}

/// Returns the text of the next frame, or `None` if the connection has ended or was reset.
fn next(stream: &mut TcpStream) -> Option<String> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
    stream.read_exact(&mut rest).ok()?;
    Some(String::from_utf8(rest).expect("text"))
}

/// Each link fault has its effect, and only on the frames of its own link and direction.
#[test]
fn link_proxies_delay_drop_duplicate_reorder_and_reset_whole_frames() {
    let executor = Arc::new(Executor::new());
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let history = Arc::new(History::new());
    let proxies = LinkProxies::start(&executor, history.clone(), vec!["c0".into(), "c1".into()]);
    let run = std::thread::spawn(move || async_io::block_on(executor.run(stopped.recv())));
    let behind = TcpListener::bind("127.0.0.1:0").expect("bound");
    proxies.set_target(1, Some(behind.local_addr().expect("bound")));
    let open = || {
        let mut dialled = TcpStream::connect(proxies.addresses[1]).expect("connects");
        // The name "c0" as the third protobuf field.
        dialled.write_all(&frame(0, "\x1a\x02c0")).expect("written");
        dialled.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        dialled
    };
    let mut dialled = open();
    let mut accepted = behind.accept().expect("forwarded").0;
    accepted.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    assert_eq!(
        next(&mut accepted).as_deref(),
        Some("\x1a\x02c0"),
        "the first frame identifies the dialling member"
    );
    let mut send = |text: &str| dialled.write_all(&frame(1, text)).expect("written");
    proxies.watch(0, 1, "plain", "seen");
    send("plain");
    assert_eq!(next(&mut accepted).as_deref(), Some("plain"));
    history.wait_for(0, "the watched frame", |w| matches!(w, EventKind::Forwarded { from: 0, to: 1, .. }));
    proxies.set_faults(0, 1, LinkFaults { drop_frames: true, ..LinkFaults::default() });
    send("plain too");
    history.wait_for(0, "a dropped frame", |w| matches!(w, EventKind::Dropped { from: 0, to: 1, .. }));
    proxies.set_faults(0, 1, LinkFaults { duplicate: true, ..LinkFaults::default() });
    send("twice");
    assert_eq!(
        (next(&mut accepted).as_deref(), next(&mut accepted).as_deref()),
        (Some("twice"), Some("twice"))
    );
    proxies.set_faults(0, 1, LinkFaults { reorder: true, ..LinkFaults::default() });
    send("a");
    send("b");
    assert_eq!((next(&mut accepted).as_deref(), next(&mut accepted).as_deref()), (Some("b"), Some("a")));
    send("alone");
    assert_eq!(next(&mut accepted).as_deref(), Some("alone"), "a single frame is not held back forever");
    proxies.set_faults(0, 1, LinkFaults { delay_ms: 30, ..LinkFaults::default() });
    let begun = std::time::Instant::now();
    send("late");
    assert_eq!(next(&mut accepted).as_deref(), Some("late"));
    assert!(begun.elapsed().as_millis() >= 30);
    // The opposite direction has its own faults.
    accepted.write_all(&frame(1, "back")).expect("written");
    proxies.set_faults(0, 1, LinkFaults { refuse_connections: true, ..LinkFaults::default() });
    let mut left = Vec::new();
    let ended = accepted.read_to_end(&mut left);
    assert!(left.is_empty() && ended.is_err(), "a reset, not an end: {ended:?}");
    assert_eq!(next(&mut open()), None, "refused");
    proxies.set_faults(0, 1, LinkFaults::default());
    drop(open());
    assert!(behind.accept().is_ok(), "healed");
    drop((stop, proxies));
    let _ = run.join().expect("ended");
}

/// Exercises servers, clients and the checker with a single process outside a cluster.
#[test]
fn servers_and_clients_record_everything_that_one_process_does() {
    let cluster = Cluster::start_with("plain", &["a"], Setup { protect: false, ..Setup::default() });
    cluster.servers.script(|part| match (part.id, part.shard) {
        ("held", 1) => ServerAction::Hold,
        ("failed", 1) => ServerAction::Fail,
        ("late", _) => ServerAction::Delay(Duration::from_millis(20)),
        ("busy", _) => ServerAction::Busy,
        _ => ServerAction::Serve,
    });
    assert_eq!(cluster.submit(0, &lookup("late")).status(), 200);
    assert_eq!(cluster.submit(0, &lookup("failed")).status(), 503);
    assert_ne!(cluster.submit(0, &Query { timeout_ms: 300, ..lookup("busy") }).status(), 200);
    let held = cluster.submit(0, &lookup("held"));
    let part =
        |w: &EventKind| matches!(w, EventKind::PartReceived { id, shard: 1, from: 0, .. } if id == "held");
    cluster.history.wait_for(0, "the held part", part);
    let abandoned = cluster.submit(0, &lookup("held"));
    abandoned.disconnect();
    cluster.servers.release_held();
    assert_eq!(held.status(), 200);
    cluster.check_history();
    // A single process cannot prevent repeated attempts of a part that is submitted under one id twice. The
    // checker detects this.
    assert_eq!(cluster.submit(0, &once("again")).status(), 200);
    assert_eq!(cluster.submit(0, &once("again")).status(), 200);
    let violations = checker::check(&cluster.history.events());
    let twice = |shard| Violation::ExecutedTwice { id: "again".into(), shard };
    assert!(violations.contains(&twice(0)) && violations.contains(&twice(1)), "{violations:?}");
}

/// Without protected classes. The members connect through proxies from the start.
#[test]
fn members_form_a_cluster_without_protected_classes() {
    let cluster =
        Cluster::start_with("forms", &["a", "b", "c"], Setup { protect: false, ..Setup::default() });
    assert_eq!(cluster.submit(2, &lookup("q")).status(), 200);
    cluster.check_history();
}
