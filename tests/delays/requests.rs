//! Floods of requests over HTTP/1.1, at both fronts that speak it.
use std::io::Write;

use crate::common::*;
use crate::flood::{connect_http, health_request, platform_query, starts_response, Flood};

/// Front at which the flood arrives.
enum Front {
    Platform,
    QueryApi,
}

/// Returns a request with a body of almost the maximum size: `start`, then `element` many times, then `end`.
fn large_request(head: &str, start: &str, element: &str, end: &str) -> Vec<u8> {
    let elements = vec![element; 60_000 / (element.len() + 1)].join(",");
    let length = start.len() + elements.len() + end.len();
    format!("{head}Content-Length: {length}\r\n\r\n{start}{elements}{end}").into_bytes()
}

/// Returns a query of the platform that names a tile twice.
fn invalid_query(n: usize) -> Vec<u8> {
    let head = format!(
        "POST /api HTTP/1.1\r\nReq-Id: bad{n}\r\nReq-Kind: field-lookup\r\nReq-Deadline-Ms: 4000\r\n"
    );
    let tile = r#"{"tablet":1,"fraction":0.0005}"#;
    large_request(&head, r#"{"tablets":["#, tile, r#"],"statement":"s"}"#)
}

/// Returns a search whose query is not an object.
fn invalid_search(_: usize) -> Vec<u8> {
    let head = "POST /fields/_search HTTP/1.1\r\nContent-Type: application/json\r\n";
    large_request(head, r#"{"query":["#, r#"{"match_all":{"boost":1.0}}"#, "]}")
}

/// Floods a front with `count` requests from each client while the program is stopped, and then sends
/// `single` to the platform's front. Checks that `single` is answered with 200, and before most of the flood.
fn check_single_request(
    name: &str,
    front: Front,
    count: usize,
    request: fn(usize) -> Vec<u8>,
    single: Vec<u8>,
) {
    let node = StubDataNode::start(true);
    let folder = write_configuration(name, &[node.address], node.address, 1, 400);
    let program = Program::start(&folder, true);
    let flooded = match front {
        Front::Platform => program.address,
        Front::QueryApi => program.search_address.expect("started"),
    };
    let mut flood = Flood::connect(|| connect_http(flooded));
    let mut client = connect_http(program.address);
    assert!(program.suspend());
    flood.send(count, request);
    client.write_all(&single).expect("written");
    program.signal("-CONT");
    assert_eq!(read_status(&mut client), 200);
    let answered = flood.answered(starts_response);
    flood.check_share(answered);
}

/// Guards against queries that are lost because clients send hundreds of large requests that are refused.
#[test]
fn a_query_does_not_wait_for_all_invalid_queries_of_others() {
    check_single_request("delays_invalid", Front::Platform, 100, invalid_query, platform_query());
}

/// Guards against a health check that fails because clients send hundreds of large requests that are refused.
#[test]
fn a_health_check_does_not_wait_for_all_invalid_queries_of_others() {
    check_single_request("delays_health", Front::Platform, 100, invalid_query, health_request());
}

/// Guards against queries that are lost because clients send thousands of tiny requests, many of which arrive
/// with one read.
#[test]
fn a_query_does_not_wait_for_all_tiny_requests_of_others() {
    let health = |_| health_request();
    check_single_request("delays_tiny", Front::Platform, 4000, health, platform_query());
}

/// Guards against a query of one front that is lost because clients flood another front of the process.
#[test]
fn a_query_does_not_wait_for_all_invalid_searches_of_another_front() {
    check_single_request("delays_search", Front::QueryApi, 100, invalid_search, platform_query());
}
