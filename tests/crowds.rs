//! Many clients that occupy all connection slots.
mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;

/// Number of descriptors of the process; three quarters of them are available to clients.
const DESCRIPTORS: usize = 128;
/// Number of connections that send nothing.
const IDLE_CONNECTIONS: usize = 300;
/// Number of connections that send a part of a request: less than three times the slots.
const PARTIAL_REQUESTS: usize = 180;
const DEADLINE: Duration = Duration::from_millis(500);
/// Tolerance for an answer after the deadline of its query.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);

/// Starts the program with [`DESCRIPTORS`] descriptors, and a data node that serves.
fn start(name: &str) -> (StubDataNode, Program) {
    let node = StubDataNode::start(true);
    let folder = write_configuration(name, &[node.address], node.address, 1, 75);
    replace_in_configuration(&folder, "\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}"));
    let program = Program::start(&folder, false);
    (node, program)
}

/// Checks that a client that connects now gets its answer by its deadline.
fn check_answered_in_time(program: &Program) {
    let mut client = connect(program.address);
    let sent_at = Instant::now();
    let request = query_request("a1", "field-lookup", DEADLINE.as_millis() as u32);
    client.write_all(request.as_bytes()).expect("written");
    let status = read_status(&mut client);
    let elapsed = sent_at.elapsed();
    assert!(elapsed <= DEADLINE + LATE_TOLERANCE, "answered with {status} after {elapsed:?}");
}

/// Guards against a request that is answered after its deadline because idle connections occupy the slots.
#[test]
fn a_request_is_answered_in_time_while_idle_connections_occupy_all_slots() {
    let (_node, program) = start("crowd_silent");
    let _idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS).map(|_| connect(program.address)).collect();
    check_answered_in_time(&program);
}

/// Guards against a request that is answered after its deadline because clients that stop half way through their
/// first request occupy the slots, and are evicted one at a time.
#[test]
fn a_request_is_answered_in_time_while_partial_requests_occupy_all_slots() {
    let (_node, program) = start("crowd_partial");
    let partial = |_| {
        let mut stream = connect(program.address);
        stream.write_all(b"POST /api HTTP/1.1\r\nHos").expect("written");
        stream
    };
    let _partial: Vec<TcpStream> = (0..PARTIAL_REQUESTS).map(partial).collect();
    check_answered_in_time(&program);
}
