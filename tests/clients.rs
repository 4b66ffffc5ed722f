//! Client connections whose data or close crosses a close by the program. Each client gets a complete
//! response or an end of stream without a reset, and nothing is forwarded for a client that has
//! disconnected.
mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::*;

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: t\r\n\r\n";

fn start(name: &str, serving: bool) -> (StubDataNode, Program) {
    let node = StubDataNode::start(serving);
    let program = Program::start(&write_configuration(name, &[node.address], node.address, 1, 75), false);
    (node, program)
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("written");
}

/// Connects a client and leaves its connection idle between requests.
fn idle_client(program: &Program) -> TcpStream {
    let mut client = connect(program.address);
    send(&mut client, HEALTH);
    assert_eq!(read_status(&mut client), 200);
    client
}

/// Waits until the kernel has registered that the client on this port has closed: on a busy machine the last
/// packet may take a while. `08` is CLOSE_WAIT, the state of the end whose peer has that port.
fn wait_until_close_is_registered(port: u16) {
    let is_closed = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let peer = fields.get(2).and_then(|peer| peer.split(':').nth(1));
        peer == Some(&format!("{port:04X}")) && fields.get(3) == Some(&"08")
    };
    while !std::fs::read_to_string("/proc/net/tcp").expect("read").lines().any(is_closed) {
        std::thread::yield_now();
    }
}

/// An idle connection is not reset at shutdown: its client sees the end of the stream, and data that it sent
/// by then is read and discarded.
#[test]
fn an_idle_connection_is_closed_without_a_reset_and_later_requests_are_dropped() {
    let (node, mut program) = start("clients_rest", true);
    let mut client = idle_client(&program);
    program.signal("-TERM");
    expect_closed(&mut client);
    send(&mut client, &query_request("late", "field-lookup", 4000));
    // The client's end of stream follows its last byte, so the input can be drained completely and there
    // must be no reset.
    client.shutdown(std::net::Shutdown::Write).expect("shut");
    expect_closed(&mut client);
    program.wait_for_exit();
    assert!(!node.frames.try_iter().any(|f| f.starts_with("q late.")), "forwarded after the end of stream");
}

/// Requests that arrive while the process is suspended, across the time at which it closes idle connections.
/// Whichever the process notices first, a request is answered completely or not read at all. Requests on
/// connections that were not accepted yet are answered.
#[test]
fn requests_received_before_keep_alive_stops_are_answered_or_unread() {
    let (_node, mut program) = start("clients_cross", true);
    let mut idle: Vec<_> = (0..8).map(|_| idle_client(&program)).collect();
    program.signal("-TERM");
    program.wait_for_log("stopping");
    program.suspend();
    for (n, client) in idle.iter_mut().enumerate() {
        send(client, &query_request(&format!("r{n}"), "field-lookup", 4000));
    }
    let mut new: Vec<_> = (0..8).map(|_| connect(program.address)).collect();
    for (n, client) in new.iter_mut().enumerate() {
        send(client, &query_request(&format!("n{n}"), "field-lookup", 4000));
    }
    program.signal("-TERM");
    // When the process continues, the end of keep-alive and all requests are pending at once.
    std::thread::sleep(Duration::from_millis(600));
    program.signal("-CONT");
    for client in &mut new {
        assert_eq!(read_status(client), 200);
        expect_closed(client);
    }
    for client in &mut idle {
        match read_http(client) {
            Some(answer) => assert!(answer.starts_with("HTTP/1.1 200"), "{answer}"),
            None => expect_closed(client),
        }
    }
    program.wait_for_exit();
}

/// A partial request at shutdown: its rest may still arrive and is answered. If it does not, the partial
/// request gets an error response.
#[test]
fn a_partial_request_at_shutdown_gets_a_complete_response() {
    let (_node, mut program) = start("clients_half", true);
    let (mut idle, mut continues, mut stops) =
        (idle_client(&program), idle_client(&program), idle_client(&program));
    let text = query_request("whole", "field-lookup", 4000);
    send(&mut continues, &text[..text.len() - 9]);
    send(&mut stops, &query_request("half", "field-lookup", 4000)[..40]);
    idle_client(&program);
    let terminated = Instant::now();
    program.signal("-TERM");
    expect_closed(&mut idle);
    send(&mut continues, &text[text.len() - 9..]);
    // On a slow machine the last byte may arrive too late. Then the request is rejected, with a complete
    // response as well.
    assert!(matches!(read_status(&mut continues), 200 | 503));
    expect_closed(&mut continues);
    assert_eq!(read_status(&mut stops), 503);
    expect_closed(&mut stops);
    drop((continues, stops, idle));
    program.wait_for_exit();
    assert!(terminated.elapsed() < Duration::from_millis(3700));
}

/// A query whose deadline is after SIGKILL gets its answer before that, and the process exits before it.
/// Here the longest deadline is 8 s, which counts as 3 s, and SIGKILL may come 0.7 s after that.
#[test]
fn every_admitted_query_is_answered_before_sigkill() {
    let (node, mut program) = start("clients_kill", false);
    let mut before = connect(program.address);
    send(&mut before, &query_request("before", "overlap-check", 8000));
    node.expect_frame("q before.", &[]);
    let mut idle = idle_client(&program);
    // A client that never reads its answers must not keep the process from exiting either.
    let mut non_reading = connect(program.address);
    program.signal("-TERM");
    let terminated = Instant::now();
    program.wait_for_log("stopping");
    send(&mut idle, &query_request("after", "overlap-check", 8000));
    send(&mut non_reading, &query_request("non_reading", "overlap-check", 8000));
    let statuses = [read_status(&mut before), read_status(&mut idle)];
    assert!(statuses.iter().all(|s| *s >= 500), "{statuses:?}");
    program.wait_for_exit();
    assert!(terminated.elapsed() < Duration::from_millis(3700), "{:?}", terminated.elapsed());
}

/// A client that sends too much after its request is answered immediately, and a disconnect after such data
/// is detected.
#[test]
fn a_disconnect_is_detected_behind_data_sent_ahead() {
    let (node, program) = start("clients_flood", false);
    for (id, disconnects) in [("stays", false), ("disconnects", true)] {
        let mut client = connect(program.address);
        send(&mut client, &query_request(id, "overlap-check", 8000));
        node.expect_frame(&format!("q {id}."), &[]);
        // The socket buffers take some of it; the rest may meet the close.
        let _ = client.write_all(&vec![b'x'; 200 * 1024]);
        match disconnects {
            true => drop(client),
            false => assert_eq!(read_status(&mut client), 413),
        }
        node.expect_frame(&format!("c {id}."), &[]);
    }
    // The next client is served as usual.
    node.serving.store(true, Ordering::SeqCst);
    let mut client = connect(program.address);
    send(&mut client, &query_request("next", "field-lookup", 4000));
    assert_eq!(read_status(&mut client), 200);
}

/// Requests whose clients have disconnected by the time they are read, on a new and on an idle connection,
/// alone and followed by another request. Nothing may be forwarded for them. The frames of later requests
/// show that the time for it has passed.
#[test]
fn a_request_of_a_disconnected_client_is_not_forwarded() {
    let (node, program) = start("clients_gone", true);
    let (mut idle, mut pipelined) = (idle_client(&program), idle_client(&program));
    program.suspend();
    let mut new = connect(program.address);
    send(&mut idle, &query_request("idle", "field-lookup", 4000));
    send(&mut new, &query_request("new", "field-lookup", 4000));
    let two = query_request("first", "field-lookup", 4000) + &query_request("second", "field-lookup", 4000);
    send(&mut pipelined, &two);
    let ports = [&idle, &new, &pipelined].map(|c| c.local_addr().expect("bound").port());
    drop((idle, new, pipelined));
    ports.iter().for_each(|port| wait_until_close_is_registered(*port));
    let mut next = connect(program.address);
    send(&mut next, &query_request("next", "field-lookup", 4000));
    program.signal("-CONT");
    assert_eq!(read_status(&mut next), 200);
    node.expect_frame("q next.", &["idle", "new", "first", "second"]);
    // A second request, for anything that might have been written after the first.
    send(&mut next, &query_request("last", "field-lookup", 4000));
    assert_eq!(read_status(&mut next), 200);
    node.expect_frame("q last.", &["idle", "new", "first", "second"]);
}

/// When slots are scarce, a connection with a partial first request is evicted with a response, and others
/// get its slot.
#[test]
fn an_evicted_connection_with_a_partial_request_gets_a_response() {
    let node = StubDataNode::start(true);
    let folder = write_configuration("clients_crowd", &[node.address], node.address, 1, 75);
    let path = folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("read");
    // 16 descriptors for the front, a quarter of which are reserved for data nodes.
    std::fs::write(&path, text.replace("\"sockets\":1024", "\"sockets\":48")).expect("written");
    let program = Program::start(&folder, false);
    let mut half = connect(program.address);
    send(&mut half, &query_request("half", "field-lookup", 4000)[..40]);
    // Connections on which nothing was received would be evicted first.
    let mut others: Vec<_> = (0..11).map(|_| connect(program.address)).collect();
    for other in &mut others {
        send(other, &query_request("other", "field-lookup", 4000)[..40]);
    }
    let mut requesting: Vec<_> = (0..4).map(|_| connect(program.address)).collect();
    for (n, client) in requesting.iter_mut().enumerate() {
        send(client, &query_request(&format!("a{n}"), "field-lookup", 4000));
    }
    assert_eq!(read_status(&mut half), 503);
    expect_closed(&mut half);
    for client in &mut requesting {
        assert_eq!(read_status(client), 200);
    }
    // Connections on which nothing was received see the end of the stream and nothing else.
    let mut silent: Vec<_> = (0..24).map(|_| connect(program.address)).collect();
    expect_closed(&mut silent[0]);
}

/// The client holds the body back until it gets `100 Continue`; the head arrives in two pieces.
#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let (_node, program) = start("clients_continue", true);
    let mut client = connect(program.address);
    let text = query_request("holds", "field-lookup", 4000).replace("Host: t", "Expect: 100-continue");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    send(&mut client, &head[..30]);
    // These requests are served after the first piece was received.
    drop((idle_client(&program), idle_client(&program)));
    send(&mut client, &format!("{}\r\n\r\n", &head[30..]));
    assert_eq!(read_status(&mut client), 100);
    send(&mut client, body);
    assert_eq!(read_status(&mut client), 200);
}

/// Invalid input gets an error or a close within three seconds, and no other client loses an answer.
#[test]
fn endless_and_malformed_input_is_rejected_in_time() {
    let (_node, program) = start("clients_bad", true);
    let endless = |text: String| {
        let address = program.address;
        std::thread::spawn(move || {
            let (mut client, started) = (connect(address), Instant::now());
            let mut writes = client.try_clone().expect("cloned");
            let writer = std::thread::spawn(move || {
                while started.elapsed() < TEST_TIMEOUT / 4 && writes.write_all(text.as_bytes()).is_ok() {}
            });
            // An answer, an end of stream or a reset, within the time limit.
            let answer = read_http(&mut client);
            let elapsed = started.elapsed();
            drop(client.shutdown(std::net::Shutdown::Both));
            writer.join().expect("ended");
            (answer, elapsed)
        })
    };
    let chunked = "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let invalid = [
        "\r\n".to_owned(),
        "x".to_owned(),
        "GET / HTTP/1.1\r\na: b\r\n".to_owned(),
        format!("POST /api HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n{}", "x".repeat(2000)),
        format!("{chunked}{}", "1\r\nx\r\n".repeat(500)),
        "\0\u{1}\u{16}".to_owned(),
    ];
    let invalid: Vec<_> = invalid.into_iter().map(endless).collect();
    let mut silent = connect(program.address);
    let started = Instant::now();
    let mut client = idle_client(&program);
    for n in 0..50 {
        send(&mut client, &query_request(&format!("q{n}"), "field-lookup", 4000));
        assert_eq!(read_status(&mut client), 200);
    }
    expect_closed(&mut silent);
    assert!(started.elapsed() < Duration::from_secs(3));
    for (n, invalid) in invalid.into_iter().enumerate() {
        let (answer, elapsed) = invalid.join().expect("ran");
        assert!(elapsed < Duration::from_secs(3), "{n}: {elapsed:?} {answer:?}");
    }
}

/// Guards against a process that waits for its clients until it is due to be killed: with short deadlines, that is
/// before a client that does not close its side has been waited for in full.
#[test]
fn with_short_deadlines_connections_are_closed_before_the_exit() {
    let node = StubDataNode::start(true);
    let folder = write_configuration("clients_short_deadlines", &[node.address], node.address, 1, 75);
    for deadline in ["8.0", "6.0", "4.0"] {
        let (usual, short) = (format!("\"DeadlineS\":{deadline}"), "\"DeadlineS\":0.6");
        replace_in_configuration(&folder, &usual, short);
    }
    for objective in ["4.0", "2.0"] {
        replace_in_configuration(&folder, &format!("\"AimS\":{objective}"), "\"AimS\":0.4");
    }
    let mut program = Program::start(&folder, false);
    let mut idle = idle_client(&program);
    program.signal("-TERM");
    program.wait_for_log("stopping");
    expect_closed(&mut idle);
    let next_line = program.wait_for_log("");
    assert!(next_line.contains("stopped"), "{next_line}");
    program.wait_for_exit();
}
