//! Search servers that send a second copy of an answer, which reaches the program behind its next request.
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use common::*;
use marlgap::net::opensearch::connections::{match_answer, AnswerMatch};
use serde_json::Value;

/// Searches of one test, one after the other.
const SEARCHES: usize = 20;

/// A server that sends the answer to each request again as soon as the next request on the connection has
/// arrived, ahead of that one's answer. To the program, this is a copy that was sent right after the first
/// answer and is still on its way when the next request is written.
struct CopyingServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl CopyingServer {
    /// Starts the server. `names_requests` states whether its answers carry the id of their request.
    fn start(names_requests: bool) -> CopyingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let accepted = accepted.clone();
                std::thread::spawn(move || serve(&mut &stream, names_requests, &accepted));
            }
        });
        CopyingServer { address, connections }
    }
}

/// Serves one connection until it ends.
fn serve(stream: &mut &TcpStream, names_requests: bool, connections: &AtomicUsize) -> Option<()> {
    let mut previous: Option<String> = None;
    loop {
        let request = read_http(stream)?;
        let Some(id) = request.lines().find_map(|line| line.strip_prefix("X-Opaque-Id: ")) else {
            // A health check.
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").ok()?;
            continue;
        };
        if let Some(copy) = &previous {
            stream.write_all(copy.as_bytes()).ok()?;
        } else {
            connections.fetch_add(1, Ordering::SeqCst);
        }
        let query = request.split("\r\n\r\n").nth(1).expect("a body");
        let query: Value = serde_json::from_str(query).expect("JSON");
        let document = &query["query"]["term"]["plot"];
        let body = format!(
            r#"{{"timed_out":false,"_shards":{{"total":1,"successful":1,"failed":0}},"hits":{{"total":{{"value":1,"relation":"eq"}},"max_score":1.0,"hits":[{{"_id":{document},"_score":1.0}}]}}}}"#
        );
        let name = if names_requests { format!("X-Opaque-Id: {id}\r\n") } else { String::new() };
        let answer = format!("HTTP/1.1 200 OK\r\n{name}Content-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).ok()?;
        previous = Some(answer);
    }
}

/// Searches for one plot after the other, and checks that each search gets the answer that was made for it.
/// `id` returns the id of a search by its number. Returns the number of connections that carried searches.
fn check_own_answers(name: &str, names_requests: bool, id: impl Fn(usize) -> String) -> usize {
    let server = CopyingServer::start(names_requests);
    let folder = write_configuration(name, &[server.address], server.address, 1, 75);
    let program = Program::start(&folder, true);
    let mut client = connect(program.search_address.expect("started"));
    for n in 0..SEARCHES {
        let head = format!(
            "POST /fields/_search?preference=_shards:0 HTTP/1.1\r\nHost: t\r\nX-Opaque-Id: {}",
            id(n)
        );
        let plot = format!("plot-{n}");
        let query = format!(r#"{{"query":{{"term":{{"plot":"{plot}"}}}}}}"#);
        let (status, body) = send_request(&mut client, &head, &query);
        let body: Value = serde_json::from_str(&body).expect("JSON");
        let document = &body["hits"]["hits"][0]["_id"];
        assert_eq!((status, document.as_str()), (200, Some(&plot[..])), "search {n}: {body}");
    }
    server.connections.load(Ordering::SeqCst)
}

/// Guards against a search that is given the answer to an earlier one, of which a second copy arrived late.
#[test]
fn a_second_copy_of_an_answer_is_not_given_to_the_next_search() {
    let connections = check_own_answers("second_copy_named", true, |n| format!("search-{n}"));
    assert_eq!(connections, 1, "the connection is reused");
}

/// The same for clients that use one id for all searches: the copy has the id of the next request.
#[test]
fn a_second_copy_with_the_id_of_the_next_search_is_not_given_to_it() {
    check_own_answers("second_copy_same_id", true, |_| "application".to_owned());
}

/// The same for servers that do not name the request in the answer.
#[test]
fn a_second_copy_without_an_id_is_not_given_to_the_next_search() {
    check_own_answers("second_copy_unnamed", false, |n| format!("search-{n}"));
}

/// An answer is matched by its id, unless no other request on its connection can have caused it.
#[test]
fn answers_are_matched_by_their_id_behind_the_first_one() {
    let cases = [
        (None, Some("b"), AnswerMatch::Named),
        (None, None, AnswerMatch::First),
        (None, Some("other"), AnswerMatch::First),
        (Some("a"), Some("b"), AnswerMatch::Named),
        (Some("a"), Some("a"), AnswerMatch::CopyOfPrevious),
        (Some("a"), Some("other"), AnswerMatch::Unknown),
        (Some("a"), None, AnswerMatch::Unknown),
    ];
    for (previous, answer, expected) in cases {
        assert_eq!(match_answer("b", previous, answer), expected, "{previous:?}, {answer:?}");
    }
}
