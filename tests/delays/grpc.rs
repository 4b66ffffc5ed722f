//! A flood of gRPC calls beside a query of the platform's front.
use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use crate::common::*;
use crate::flood::{connect_http, platform_query, Flood};
use crate::raw::{frame, literal, read_raw, send_raw, END_HEADERS, END_STREAM, HEADERS};

/// Type of a PING frame, and its flag in an answer (RFC 9113, section 6.7).
const PING: u8 = 6;
const ACK: u8 = 1;
/// Calls of each client; as many may be open at once.
const CALLS: usize = 500;

/// Returns the frames of a call of a method that no route serves.
fn unrouted_call(n: usize) -> Vec<u8> {
    let head = [
        literal(":method", "POST"),
        literal(":scheme", "http"),
        literal(":path", "/t.S/None"),
        literal(":authority", "f"),
        literal("content-type", "application/grpc"),
    ]
    .concat();
    frame(HEADERS, END_HEADERS | END_STREAM, 2 * n as u32 + 1, &head)
}

/// Returns whether the frame with the end of a response starts here: HEADERS of these flags, on a client's
/// stream.
fn starts_response(bytes: &[u8]) -> bool {
    let header = bytes.first_chunk::<9>();
    header
        .is_some_and(|h| h[..2] == [0, 0] && h[3..5] == [HEADERS, END_HEADERS | END_STREAM] && h[8] % 2 == 1)
}

/// Opens a connection and waits for the answer to a PING.
fn connect_grpc(front: std::net::SocketAddr) -> TcpStream {
    let mut stream = send_raw(front, &frame(PING, 0, 0, &[0; 8]));
    while read_raw(&mut stream).is_none_or(|frame| (frame.kind, frame.flags) != (PING, ACK)) {}
    stream
}

/// Guards against queries that are lost because clients of the gRPC front make thousands of calls at once.
#[test]
fn a_query_does_not_wait_for_all_grpc_calls_of_others() {
    let node = StubDataNode::start(true);
    let folder = write_configuration("delays_grpc", &[node.address], node.address, 1, 400);
    let path = folder.join("marlgap.json5");
    let text = std::fs::read_to_string(&path).expect("read");
    let mut file: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let api = file.as_object_mut().expect("a map").remove("query_api").expect("there");
    file["grpc"] = json!({"listen": "127.0.0.1:0", "records": "zone", "service": api["service"],
        "routes": [{"match": "/t.S/Safe", "kind": "unary", "class": "field-lookup",
            "shard": {"from": "metadata", "key": "tile"}, "copy": false}],
        "front": {"streams": CALLS}});
    std::fs::write(&path, file.to_string()).expect("written");
    let mut program = Program::spawn_with_operator_file(&folder);
    program.address = logged_address(&program.wait_for_log(" listening, "));
    let front = logged_address(&program.wait_for_log("gRPC listening, "));
    let mut flood = Flood::connect(|| connect_grpc(front));
    let mut client = connect_http(program.address);
    assert!(program.suspend());
    flood.send(CALLS, unrouted_call);
    client.write_all(&platform_query()).expect("written");
    program.signal("-CONT");
    assert_eq!(read_status(&mut client), 200);
    let answered = flood.answered(starts_response);
    flood.check_share(answered);
}
