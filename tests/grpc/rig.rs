//! Starts the program with a gRPC front and stub servers, and checks the result of one call.
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use marlgap::net::grpc::status::Code;

use crate::common::*;
use crate::standin::{serve, Client, ClientResponse, Record};

pub const SAFE: &str = "/t.S/Safe";
pub const ONCE: &str = "/t.S/Once";

pub struct Rig {
    pub program: Program,
    pub front: SocketAddr,
    pub record: Arc<Record>,
    pub servers: Vec<SocketAddr>,
    pub folder: PathBuf,
}

/// Starts the program with only a gRPC front, and with `count` servers that all hold every shard.
pub fn new_rig(name: &str, count: usize, change: impl FnOnce(&mut serde_json::Value)) -> Rig {
    start_rig(name, count, change, Program::spawn_with_operator_file_only)
}

/// Starts the program with one server, and with the platform's front, whose shutdown ends in SIGKILL.
pub fn new_rig_on_platform(name: &str) -> Rig {
    start_rig(name, 1, |_| (), Program::spawn_with_operator_file)
}

/// Starts the program like [`new_rig_on_platform`], with `descriptors` descriptors for both fronts together.
pub fn new_rig_with_descriptors(name: &str, descriptors: usize) -> Rig {
    let limit = format!("\"sockets\":{descriptors}");
    start_rig(
        name,
        1,
        |_| (),
        |folder| {
            replace_in_configuration(folder, "\"sockets\":1024", &limit);
            Program::spawn_with_operator_file(folder)
        },
    )
}

fn start_rig(
    name: &str,
    count: usize,
    change: impl FnOnce(&mut serde_json::Value),
    start: impl FnOnce(&Path) -> Program,
) -> Rig {
    let (servers, record) = serve(count, 100);
    let folder = write_configuration(name, &servers, servers[0], count, 400);
    let path = folder.join("marlgap.json5");
    let mut file: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&path).expect("read")).expect("JSON");
    let tile = serde_json::json!({"from": "metadata", "key": "tile"});
    let row = |m: &str, kind: &str, class: &str| serde_json::json!({"match": m, "kind": kind, "class": class, "shard": tile, "copy": false});
    let mut rows = vec![
        row(SAFE, "unary", "field-lookup"),
        row("/t.S/Down", "server_stream", "field-lookup"),
        row("/t.S/Bidi", "bidi", "field-lookup"),
        row("/t.S/Summary", "unary", "district-summary"),
        row(ONCE, "unary", "field-lookup"),
        row("/t.S/Field", "unary", "field-lookup"),
        row("/t.S/Copied", "unary", "field-lookup"),
    ];
    rows[3]["merge"] = "concat".into();
    rows[4]["effect"] = "unsafe".into();
    rows[5]["shard"] = serde_json::json!({"from": "field", "path": [1]});
    rows[6]["copy"] = true.into();
    let api = file.as_object_mut().expect("a map").remove("query_api").expect("there");
    file["grpc"] = serde_json::json!({"listen": "127.0.0.1:0", "records": "zone", "service": api["service"],
        "routes": rows, "front": {"replay": 4096, "handshake_s": 0.3},
        "pool": {"ping_s": 0.1, "ping_timeout_s": 0.3}});
    change(&mut file);
    std::fs::write(&path, file.to_string()).expect("written");
    let program = start(&folder);
    let front = logged_address(&program.wait_for_log("gRPC listening, "));
    Rig { program, front, record, servers, folder }
}

/// Makes one call to a front, on a connection of its own.
pub fn call_at(
    front: SocketAddr,
    path: &str,
    id: &str,
    script: &str,
    more: &[(&str, &str)],
) -> ClientResponse {
    let metadata = [&[("call-id", id), ("do", script), ("tile", "3")], more].concat();
    Client::with(front, async |client| client.call(path, &metadata, id.as_bytes()).await)
}

impl Rig {
    pub fn call(&self, path: &str, id: &str, script: &str) -> ClientResponse {
        self.call_with(path, id, script, &[])
    }

    pub fn call_with(&self, path: &str, id: &str, script: &str, more: &[(&str, &str)]) -> ClientResponse {
        call_at(self.front, path, id, script, more)
    }

    /// Checks that a call ended with `code` after `messages` messages from a single attempt, and that the
    /// number of attempts is in the given range.
    pub fn check_call(
        &self,
        id: &str,
        got: &ClientResponse,
        code: Code,
        messages: usize,
        attempts: std::ops::RangeInclusive<usize>,
    ) {
        assert_eq!((got.code(), got.messages), (code as u32, messages), "{id}: {got:?}");
        let seen = self.record.attempts_of(id);
        assert!(attempts.contains(&seen.len()), "{id}: {} attempts, {got:?}", seen.len());
        // The responses of attempts are not mixed: all messages are from the same attempt, and in order.
        let heads: Vec<_> = got.body.split_terminator(';').filter_map(|m| m.rsplit_once('/')).collect();
        assert_eq!(heads.len(), messages, "{id}: {got:?}");
        for (k, (head, n)) in heads.iter().enumerate() {
            assert_eq!((*head, n.parse()), (heads[0].0, Ok(k)), "{id}: {got:?}");
        }
        // Every server received the request unchanged.
        for attempt in seen.iter().filter(|s| !s.body.is_empty()) {
            assert_eq!(&attempt.body[5..], id.as_bytes(), "{id}");
        }
    }
}
