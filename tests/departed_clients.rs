//! Clients that close their connection before their requests are read, or come back with the id of a request that
//! they have left.
mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use common::*;
use marlgap::net::platform_api::UsedIds;

/// The requests that a client sends at once: more than a socket's receive buffer holds, so that the close behind
/// them cannot be seen without reading.
const REQUESTS: usize = 4000;

/// Starts a data node that serves, and the program.
fn start(name: &str, serving: bool) -> (StubDataNode, Program) {
    let node = StubDataNode::start(serving);
    let folder = write_configuration(name, &[node.address], node.address, 1, 75);
    let program = Program::start(&folder, false);
    (node, program)
}

/// Opens a connection that the program serves already.
fn served_client(program: &Program) -> TcpStream {
    let mut client = connect(program.address);
    client.write_all(b"GET /_health HTTP/1.1\r\nHost: t\r\n\r\n").expect("written");
    assert_eq!(read_status(&mut client), 200);
    client
}

/// Guards against requests that are forwarded long after their client has closed the connection, because the
/// close is behind more data than was read.
#[test]
fn requests_before_an_unread_close_are_not_forwarded() {
    let (node, program) = start("departed_unread", true);
    let clients: Vec<_> = (0..8).map(|_| served_client(&program)).collect();
    let ids: Vec<String> = (0..REQUESTS).map(|n| format!("left{n}")).collect();
    assert!(program.suspend());
    for mut client in clients {
        client.set_nonblocking(true).expect("set");
        let all: String = ids.iter().map(|id| query_request(id, "field-lookup", 4000)).collect();
        // What does not fit in the sockets' buffers is not sent.
        let written = client.write(all.as_bytes()).expect("written");
        assert!(written > 128 * 1024, "only {written} bytes fit");
    }
    let mut next = connect(program.address);
    next.write_all(query_request("next", "field-lookup", 4000).as_bytes()).expect("written");
    program.signal("-CONT");
    assert_eq!(read_status(&mut next), 200);
    let left: Vec<&str> = ids.iter().map(String::as_str).collect();
    node.expect_frame("q next.", &left);
    // A second request, for anything that might have been written after the first.
    next.write_all(query_request("last", "field-lookup", 4000).as_bytes()).expect("written");
    assert_eq!(read_status(&mut next), 200);
    node.expect_frame("q last.", &left);
}

/// Guards against a request that runs twice because its id comes again after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_is_not_run_again() {
    let (node, program) = start("departed_id", false);
    let mut client = connect(program.address);
    client.write_all(query_request("again", "overlap-check", 8000).as_bytes()).expect("written");
    node.expect_frame("q again.", &[]);
    drop(client);
    node.expect_frame("c again.", &[]);
    let mut client = connect(program.address);
    client.write_all(query_request("again", "overlap-check", 8000).as_bytes()).expect("written");
    assert_eq!(read_status(&mut client), 409);
    node.serving.store(true, std::sync::atomic::Ordering::SeqCst);
    client.write_all(query_request("next", "field-lookup", 4000).as_bytes()).expect("written");
    assert_eq!(read_status(&mut client), 200);
    node.expect_frame("q next.", &["again"]);
}

/// Guards against memory that grows because clients leave requests under ever new ids.
#[test]
fn the_number_of_remembered_ids_is_bounded() {
    const REMEMBERED: usize = 8192;
    let (ids, now) = (UsedIds::default(), Instant::now());
    for n in 0..3 * REMEMBERED {
        ids.reserve(&format!("id{n}"), now).expect("a new id").set_remembered(true);
    }
    assert_eq!(ids.count(), REMEMBERED);
    assert!(ids.reserve(&format!("id{}", 3 * REMEMBERED - 1), now).is_err(), "the newest are remembered");
    assert!(ids.reserve("id0", now).is_ok(), "the oldest are forgotten");
    drop(ids.reserve("unused", now).expect("a new id"));
    assert!(ids.reserve("unused", now).is_ok(), "a query that has not run may come again");
}
