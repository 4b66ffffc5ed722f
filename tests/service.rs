//! Both fronts before stand-ins of our own that follow one script, whatever the machine's speed.
mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use common::*;
use serde_json::Value;

#[derive(Clone, Copy, PartialEq)]
enum Does {
    Serve,
    /// A search server: partial shard failures. A data node: broke.
    Break,
    /// Turned away before it began.
    Busy,
}

/// What a stand-in does, by its number, the query, the shard, and how often that part was asked before.
type Script = fn(node: usize, query: &str, shard: u32, before: u32) -> Does;

/// Stand-ins that speak one of the two wires; the connections' threads end with the program's connections.
fn standins(count: usize, frames: bool, script: Script) -> Vec<SocketAddr> {
    let asked = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
    let start = |node| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let asked = asked.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let asked = asked.clone();
                std::thread::spawn(
                    move || while answer(&mut &stream, node, frames, script, &asked).is_some() {},
                );
            }
        });
        address
    };
    (0..count).map(start).collect()
}

fn answer(
    stream: &mut &TcpStream,
    node: usize,
    frames: bool,
    script: Script,
    asked: &Mutex<BTreeMap<String, u32>>,
) -> Option<()> {
    let message = if frames { read_frame(stream)? } else { read_http(stream)? };
    let id = match frames {
        true if !message.starts_with("q ") => return Some(()),
        true => message[2..].split(' ').next()?,
        false => message.lines().find_map(|l| l.strip_prefix("X-Opaque-Id: "))?,
    };
    let (query, shard) = (id.split('.').next()?, id.split('.').nth(1)?.parse().ok()?);
    let ranks = message.contains("\"_source\":false");
    let before = {
        let mut asked = asked.lock().expect("sound");
        let n = asked.entry(format!("{id} {ranks}")).or_default();
        *n += 1;
        *n - 1
    };
    let (does, score) = (script(node, query, shard, before), f64::from(shard * 7 % 24));
    let bytes = if frames {
        let end = match does {
            Does::Serve => "served",
            Does::Break => "broke",
            Does::Busy => "skipped",
        };
        frame(&format!("a {id} {end} {score} -\nV{shard}"))
    } else {
        let hit = format!("{{\"_id\":\"h{shard}\",\"_score\":{score}}}");
        let (failed, shards) = match does {
            Does::Break => (
                1,
                "\"failures\":[{\"shard\":0,\"reason\":{\"type\":\"io_exception\",\"reason\":\"disk\"}}],",
            ),
            _ => (0, ""),
        };
        let body = format!(
            "{{\"took\":1,\"timed_out\":false,\"_shards\":{{{shards}\"total\":1,\"successful\":{},\"skipped\":0,\
             \"failed\":{failed}}},\"hits\":{{\"total\":{{\"value\":1,\"relation\":\"eq\"}},\"max_score\":{score},\"hits\":[{hit}]}}}}",
            1 - failed
        );
        let status = if does == Does::Busy { "429 Too Many Requests" } else { "200 OK" };
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    };
    stream.write_all(&bytes).ok()
}

/// A discovery that takes calls and says nothing; the list in the configuration stands.
fn silent() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("bound")
}

fn search(stream: &mut TcpStream, id: &str, target: &str) -> (u16, Value) {
    let head = format!("POST {target} HTTP/1.1\r\nHost: t\r\nX-Opaque-Id: {id}");
    let (status, body) = ask(stream, &head, "{\"query\":{\"match_all\":{}},\"size\":30}");
    (status, serde_json::from_str(&body).expect("JSON"))
}

fn broken_on_five(node: usize, _: &str, _: u32, _: u32) -> Does {
    if node == 5 {
        Does::Break
    } else {
        Does::Serve
    }
}

/// One server of twelve reports partial shard failures. Each answer is one, and says what it lacks.
#[test]
fn a_search_over_many_tiles_is_honest_about_partial_shard_failures() {
    let discovery = silent();
    let at = discovery.local_addr().expect("bound");
    // Nobody else holds its two tiles.
    let alone = configure("alone", &standins(12, false, broken_on_five), at, 1, 75);
    let program = Program::start(&alone, true);
    let mut client = connect(program.search.expect("on"));
    let (status, answer) = search(&mut client, "q1", "/districts/_search");
    assert_eq!(status, 200, "{answer}");
    let shards = &answer["_shards"];
    assert_eq!(
        (&shards["total"], &shards["successful"], &shards["failed"]),
        (&24.into(), &22.into(), &2.into())
    );
    let failures = shards["failures"].as_array().expect("failures");
    let lacks: Vec<_> =
        failures.iter().map(|f| (f["shard"].as_u64(), f["reason"]["type"].as_str())).collect();
    assert_eq!(lacks, [(Some(5), Some("io_exception")), (Some(17), Some("io_exception"))]);
    let hits = answer["hits"]["hits"].as_array().expect("hits");
    assert_eq!((hits.len(), &answer["hits"]["total"]["value"]), (22, &22.into()));
    assert!(hits.iter().all(|h| h["_id"] != "h5" && h["_id"] != "h17"), "nothing of what did not answer");
    let scores: Vec<_> = hits.iter().filter_map(|h| h["_score"].as_f64()).collect();
    assert!(scores.windows(2).all(|w| w[0] >= w[1]), "in order: {scores:?}");
    // Who does not want a partial answer gets an error, and who needs every tile gets one too.
    let (status, answer) = search(&mut client, "q2", "/districts/_search?allow_partial_search_results=false");
    assert_eq!(
        (status, answer["error"]["failed_shards"].as_array().map(Vec::len)),
        (503, Some(2)),
        "{answer}"
    );
    let (status, answer) = search(&mut client, "q3", "/fields/_search?preference=_shards:4,5");
    assert_eq!((status, &answer["error"]["failed_shards"][0]["shard"]), (503, &5.into()), "{answer}");
    let (status, answer) = search(&mut client, "q4", "/fields/_search?preference=_shards:4,6");
    assert_eq!((status, answer["_shards"]["failed"].as_u64()), (200, Some(0)), "one answer each, in step");

    // Where three others hold each tile, nothing is lacking.
    let held = configure("held", &standins(12, false, broken_on_five), at, 4, 75);
    let program = Program::start(&held, true);
    let mut client = connect(program.search.expect("on"));
    let (status, answer) = search(&mut client, "q1", "/districts/_search");
    assert_eq!((status, answer["_shards"]["failed"].as_u64()), (200, Some(0)), "{answer}");
}

/// Some parts fail once and one is turned away once; now and then a tile fails everywhere.
fn mixed(_: usize, query: &str, shard: u32, before: u32) -> Does {
    let n: u32 = query[1..].parse().unwrap_or(0);
    match (n % 12, shard) {
        (3, 7) => Does::Break,
        (5, 2 | 9) if before == 0 => Does::Break,
        (8, 4) if before == 0 => Does::Busy,
        _ => Does::Serve,
    }
}

const CLASSES: [(&str, &str, f64); 3] = [
    ("overlap-check", "overlaps", 3.0),
    ("field-lookup", "fields", 1.0),
    ("district-summary", "districts", 3.0),
];

/// The query mix: class and tiles of each.
fn mix(n: u32) -> (usize, Vec<u32>) {
    match n % 8 {
        0 => (0, (0..5).map(|i| (n + 5 * i) % 24).collect()),
        1 | 5 => (2, (0..24).collect()),
        _ => (1, (0..4 + n % 4).map(|i| (n / 3 + i) % 24).collect()),
    }
}

/// The same mix on both fronts before stand-ins that follow the same script: the worth answered is the same
/// within two percent.
#[test]
fn both_fronts_give_the_same_service_for_the_query_mix() {
    let discovery = silent();
    let at = discovery.local_addr().expect("bound");
    let folder = configure("thin", &standins(12, true, mixed), at, 4, 75);
    let thin = Program::start(&folder, false);
    let folder = configure("api", &standins(12, false, mixed), at, 4, 75);
    let api = Program::start(&folder, true);
    let (mut thin, mut api) = ((connect(thin.address), thin), (connect(api.search.expect("on")), api));
    let (mut asked, mut thin_worth, mut api_worth) = (0.0, 0.0, 0.0);
    for n in 0..96 {
        let (class, mut tiles) = mix(n);
        tiles.sort_unstable();
        let (kind, index, worth) = CLASSES[class];
        asked += worth;

        let parts: Vec<_> = tiles
            .iter()
            .map(|t| format!("{{\"tablet\":{t},\"fraction\":{}}}", 1.0 / tiles.len() as f64))
            .collect();
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: q{n}\r\nReq-Kind: {kind}\r\nReq-Deadline-Ms: 4000"
        );
        let body = format!("{{\"tablets\":[{}],\"statement\":\"s\"}}", parts.join(","));
        let (status, body) = ask(&mut thin.0, &head, &body);
        if status == 200 {
            let answer: Value = serde_json::from_str(&body).expect("JSON");
            let share = answer["pieces"].as_array().map_or(0, Vec::len) as f64 / tiles.len() as f64;
            thin_worth += worth * if answer["full"] == true { 1.0 } else { 0.8 * share };
        }

        let named: Vec<_> = tiles.iter().map(u32::to_string).collect();
        let target = format!("/{index}/_search?preference=_shards:{}&timeout=4s", named.join(","));
        let (status, answer) = search(&mut api.0, &format!("q{n}"), &target);
        if status == 200 {
            let share = answer["_shards"]["successful"].as_f64().expect("a number") / tiles.len() as f64;
            api_worth += worth * if answer["_shards"]["failed"] == 0 { 1.0 } else { 0.8 * share };
        }
    }
    println!("worth asked for {asked}, answered by the thin front {thin_worth:.2}, by the query API {api_worth:.2}");
    // The script must hurt both, and not much.
    assert!(thin_worth < asked && thin_worth > 0.9 * asked, "{thin_worth} of {asked}");
    assert!((thin_worth - api_worth).abs() <= 0.02 * thin_worth, "{thin_worth} and {api_worth} of {asked}");
}

/// Guards against connections that the machine drops when hundreds come at once: also while we have no time to
/// accept them, they are taken, and each is served or closed later.
#[test]
fn hundreds_of_connections_at_once_are_taken() {
    let discovery = silent();
    let at = discovery.local_addr().expect("bound");
    let program = Program::start(&configure("hundreds", &standins(1, true, mixed), at, 1, 75), false);
    program.signal("-STOP");
    let begin = |_| TcpStream::connect_timeout(&program.address, PATIENCE / 4);
    let begun: Result<Vec<_>, _> = (0..300).map(begin).collect();
    program.signal("-CONT");
    assert!(begun.is_ok(), "{begun:?}");
    let mut last = connect(program.address);
    assert_eq!(ask(&mut last, "GET /_health HTTP/1.1\r\nHost: t", "").0, 200);
}
