//! Crowds at the fronts that speak HTTP/1.1.
use std::io::{Read, Write};
use std::net::SocketAddr;

use crate::common::*;
use crate::crowd::{check_crowd, limit_memory, CONNECTIONS};

/// The fronts that speak HTTP/1.1.
#[derive(Clone, Copy)]
enum Front {
    Platform,
    QueryApi,
}

/// Returns the head of a request, with these further header lines.
fn head(front: Front, lines: &str) -> String {
    let start = match front {
        Front::Platform => {
            "POST /api HTTP/1.1\r\nReq-Id: crowd\r\nReq-Kind: field-lookup\r\nReq-Deadline-Ms: 4000\r\n"
        }
        Front::QueryApi => "POST /fields/_search HTTP/1.1\r\nContent-Type: application/json\r\n",
    };
    format!("{start}{lines}\r\n")
}

/// Returns a request of 64 KiB that lacks its last bytes.
fn half_sent(front: Front) -> String {
    head(front, "Content-Length: 65536\r\n") + &"x".repeat(65_000)
}

/// Starts the program with little memory, and a data node that serves. Also returns the address of a front.
fn start(name: &str, front: Front) -> (StubDataNode, Program, SocketAddr) {
    let node = StubDataNode::start(true);
    let folder = write_configuration(name, &[node.address], node.address, 1, 75);
    limit_memory(&folder);
    let program = Program::start(&folder, true);
    let address = match front {
        Front::Platform => program.address,
        Front::QueryApi => program.search_address.expect("started"),
    };
    (node, program, address)
}

fn check(name: &str, front: Front, request: &str) {
    let (_node, program, crowded) = start(name, front);
    check_crowd(&program, crowded, request.as_bytes(), |stream| {
        let _ = stream.read(&mut [0]);
    });
}

/// Guards against a process that is killed for its memory because hundreds of clients stop in the middle of a
/// large request.
#[test]
fn half_sent_queries_of_a_crowd_stay_within_the_memory() {
    check("crowd_half_sent", Front::Platform, &half_sent(Front::Platform));
}

/// Guards against the same at the query API.
#[test]
fn half_sent_searches_of_a_crowd_stay_within_the_memory() {
    check("crowd_half_sent_search", Front::QueryApi, &half_sent(Front::QueryApi));
}

/// Guards against a process that is killed for its memory because it keeps the position of each tiny chunk.
#[test]
fn tiny_chunks_of_a_crowd_stay_within_the_memory() {
    let head = head(Front::Platform, "Transfer-Encoding: chunked\r\n");
    check("crowd_tiny_chunks", Front::Platform, &(head + &"1\r\nx\r\n".repeat(20_000)));
}

/// Guards against a process that is killed for its memory because the size lines of chunks do not count towards
/// the size of a body.
#[test]
fn long_chunk_extensions_of_a_crowd_stay_within_the_memory() {
    let head = head(Front::Platform, "Transfer-Encoding: chunked\r\n");
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(200));
    check("crowd_chunk_extensions", Front::Platform, &(head + &chunk.repeat(2000)));
}

/// Guards against a process that is killed for its memory because hundreds of clients send heads that never end,
/// of very many short fields.
#[test]
fn heads_of_many_short_fields_of_a_crowd_stay_within_the_memory() {
    let fields: String = (0..60).map(|n| format!("f{n}:\r\n")).collect();
    let unfinished =
        head(Front::Platform, &fields).trim_end().to_owned() + "\r\nlong: " + &"x".repeat(15_000);
    check("crowd_short_fields", Front::Platform, &unfinished);
}

/// Guards against a refusal for lack of memory that clients cannot tell from a failure.
#[test]
fn requests_that_exceed_the_memory_are_refused_with_advice_to_retry() {
    for (name, front, refusal) in
        [("crowd_refused", Front::Platform, "503"), ("crowd_refused_search", Front::QueryApi, "429")]
    {
        let (_node, _program, crowded) = start(name, front);
        let mut crowd: Vec<_> = (0..CONNECTIONS / 3).map(|_| connect(crowded)).collect();
        for stream in &mut crowd {
            stream.write_all(half_sent(front).as_bytes()).expect("written");
        }
        let answers: Vec<String> = crowd.iter_mut().filter_map(read_http).collect();
        let is_refused = |answer: &&String| answer.starts_with(&format!("HTTP/1.1 {refusal}"));
        let refused: Vec<&String> = answers.iter().filter(is_refused).collect();
        println!("{} of {} refused", refused.len(), answers.len());
        assert!(!refused.is_empty(), "{:?}", answers.first());
        assert!(refused.iter().all(|answer| answer.contains("Retry-After: ")), "{}", refused[0]);
        let other = answers.iter().find(|answer| !is_refused(answer) && !answer.starts_with("HTTP/1.1 408"));
        assert_eq!(other, None, "the others are out of time");
    }
}
