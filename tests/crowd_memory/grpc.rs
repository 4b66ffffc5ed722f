//! Crowds at the gRPC front.
use serde_json::json;

use crate::common::*;
use crate::crowd::{check_crowd, limit_memory};
use crate::raw::{frame, literal, read_raw, DATA, END_HEADERS, HEADERS};

/// The calls on each connection.
const CALLS: u32 = 32;
/// The part of each message that is sent, so that all calls of a connection fit in its first window.
const MESSAGE_BYTES: usize = 2000;

/// Returns the header fields of a call that a route serves.
fn call_head() -> Vec<u8> {
    [
        literal(":method", "POST"),
        literal(":scheme", "http"),
        literal(":path", "/t.S/Safe"),
        literal(":authority", "f"),
        literal("content-type", "application/grpc"),
        literal("grpc-timeout", "1S"),
        literal("tile", "0"),
    ]
    .concat()
}

/// Sends these frames, made from the id of a stream, for each call on each connection of a crowd.
fn check(name: &str, call: impl Fn(u32) -> Vec<u8>) {
    let node = StubDataNode::start(true);
    let folder = write_configuration(name, &[node.address], node.address, 1, 75);
    limit_memory(&folder);
    let path = folder.join("marlgap.json5");
    let text = std::fs::read_to_string(&path).expect("read");
    let mut file: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let api = file.as_object_mut().expect("a map").remove("query_api").expect("there");
    file["grpc"] = json!({"listen": "127.0.0.1:0", "records": "zone", "service": api["service"],
        "routes": [{"match": "/t.S/Safe", "kind": "unary", "class": "field-lookup",
            "shard": {"from": "metadata", "key": "tile"}, "copy": false}]});
    std::fs::write(&path, file.to_string()).expect("written");
    let mut program = Program::spawn_with_operator_file(&folder);
    program.address = logged_address(&program.wait_for_log(" listening, "));
    let front = logged_address(&program.wait_for_log("gRPC listening, "));
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0".to_vec();
    (0..CALLS).for_each(|n| bytes.extend(call(2 * n + 1)));
    check_crowd(&program, front, &bytes, |stream| {
        while read_raw(stream).is_some_and(|frame| frame.kind != HEADERS) {}
    });
}

/// Guards against a process that is killed for its memory because hundreds of clients stop in the middle of their
/// messages.
#[test]
fn half_sent_messages_of_a_crowd_stay_within_the_memory() {
    check("crowd_grpc_half_sent", |stream| {
        let message = [&[0, 0, 1, 0, 0][..], &[b'x'; MESSAGE_BYTES]].concat();
        [frame(HEADERS, END_HEADERS, stream, &call_head()), frame(DATA, 0, stream, &message)].concat()
    });
}

/// Guards against a process that is killed for its memory because the headers of calls that are not sent
/// completely are not counted.
#[test]
fn calls_of_many_short_fields_of_a_crowd_stay_within_the_memory() {
    check("crowd_grpc_short_fields", |stream| {
        let fields = (0..300).flat_map(|n| literal(&format!("f{n}"), ""));
        let head: Vec<u8> = call_head().into_iter().chain(fields).collect();
        frame(HEADERS, END_HEADERS, stream, &head)
    });
}
