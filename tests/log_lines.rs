//! Log lines about what peers send.
mod common;

use common::*;

/// The longest line and error response that a peer can cause, in bytes.
const MAX_BYTES: usize = 1024;

/// Guards against memory that grows without end while the log is read slowly, because a line contains all that
/// an invalid request contained.
#[test]
fn a_line_about_an_invalid_query_contains_only_an_excerpt() {
    let node = StubDataNode::start(true);
    let folder = write_configuration("log_lines", &[node.address], node.address, 1, 75);
    let program = Program::start(&folder, true);
    let text = "x".repeat(60_000);
    let head = "Req-Id: a1\r\nReq-Kind: field-lookup\r\nReq-Deadline-Ms: 4000";
    let mut client = connect(program.address);
    let body = format!(r#"{{"tablets":"{text}","statement":"s"}}"#);
    let (status, answer) = send_request(&mut client, &format!("POST /api HTTP/1.1\r\n{head}"), &body);
    assert_eq!(status, 400);
    assert!(answer.len() < MAX_BYTES, "an answer of {} bytes", answer.len());
    let line = program.wait_for_log("invalid query");
    assert!(line.len() < MAX_BYTES, "a line of {} bytes", line.len());
    let mut client = connect(program.search_address.expect("started"));
    let search = "POST /fields/_search HTTP/1.1\r\nContent-Type: application/json";
    let (status, _) = send_request(&mut client, search, &format!(r#"{{"query":{{"{text}":{{}}}}}}"#));
    assert_eq!(status, 400);
    let line = program.wait_for_log("invalid search");
    assert!(line.len() < MAX_BYTES, "a line of {} bytes", line.len());
}
