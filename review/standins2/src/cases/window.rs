//! A gRPC server resets its connection under a call that it has run. The call may be repeated for half a second, by a
//! key that servers remember for so long. The other server has a stream open, and allows no more than that on a connection.
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::grpc::{self, Server};
use crate::members::{self, Setting};

const PATH: &str = "/nkabom.fields.v1.Fields/Register";
const STREAM_PATH: &str = "/nkabom.fields.v1.Fields/Follow";
const SERVICE: &str = "_grpc._tcp";
/// How long servers remember a key.
const WINDOW: Duration = Duration::from_millis(500);
/// 50 ms of slack on sockets and 150 ms for a process that is held up.
const SLACK: Duration = Duration::from_millis(50 + 150);
/// How long a server takes for a call: the site's work for a part.
const WORK: Duration = Duration::from_millis(160);
/// How long a stream lasts; its class gives it 8 s.
const STREAM: Duration = Duration::from_millis(1200);
const ROUNDS: usize = 3;

pub fn run(setting: &Setting, trouble: bool) -> Result<bool, String> {
    let record = &setting.record;
    let servers = ["n0", "n1"].map(|name| Server::start(name, WORK, STREAM, record));
    let listed: Vec<_> = servers.iter().map(|server| server.address).enumerate().collect();
    let front = members::free_addresses(1)[0];
    setting.replace("zone", &members::records(SERVICE, &listed));
    let text = format!(
        r#"{{
  settings: {},
  grpc: {{ listen: "{front}", records: "zone", service: "{SERVICE}.t.test.",
    routes: [
      {{ match: "{PATH}", kind: "unary", class: "field-lookup", effect: "keyed", window_s: 0.5, copy: false,
        shard: {{ from: "metadata", key: "farmer", as: "hash" }}, open: 32 }},
      {{ match: "{STREAM_PATH}", kind: "server_stream", class: "overlap-check", copy: false,
        shard: {{ from: "metadata", key: "farmer", as: "hash" }} }},
    ],
    front: {{ streams: 256, message: 4194304, replay: 262144, replay_all: 16777216 }},
    pool: {{ connections: 4, streams: 100 }} }},
}}"#,
        members::settings(&members::accra("pure"), 75)
    );
    let mut member = setting.member("m", "m.json5", &text);
    member.start();
    member.wait_for("gRPC listening", Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_millis(300));
    let call = |path: &'static str, text: String| {
        let record = record.clone();
        std::thread::spawn(move || {
            record.note(&format!("client calls {text}"));
            let answer = grpc::call(front, path, ("farmer", &text), &text, Duration::from_secs(6));
            record.note(&format!("answer to {text}: {answer:?}"));
        })
    };
    for round in 0..ROUNDS {
        let (long, keyed) = (format!("stream-{round}"), format!("registration-{round}"));
        let begun = |text: &str| servers.iter().position(|server| !server.calls_of(text).is_empty());
        let first = call(STREAM_PATH, long.clone());
        members::wait(Duration::from_secs(3), || begun(&long).is_some())
            .map_err(|()| format!("{long} did not arrive"))?;
        // The server that has this stream allows no more than that on its connection from now on.
        let busy = begun(&long).unwrap_or_default();
        servers[busy].allow_one();
        std::thread::sleep(Duration::from_millis(100));
        let free = &servers[1 - busy];
        free.reset_under(trouble.then_some(&keyed));
        let second = call(PATH, keyed);
        let _ = (first.join(), second.join());
    }
    // A repeat within the window is discarded by its key; one that comes later runs.
    let mut first_runs = BTreeMap::<String, Instant>::new();
    let runs = Mutex::new(Vec::new());
    for server in &servers {
        for call in server.calls.lock().expect("not poisoned").iter() {
            runs.lock().expect("not poisoned").push((call.at, call.text.clone()));
        }
    }
    let mut runs = runs.into_inner().expect("not poisoned");
    runs.sort();
    let mut held = true;
    for (at, text) in runs {
        let first = *first_runs.entry(text.clone()).or_insert(at);
        let after = at.duration_since(first);
        if after > WINDOW + SLACK {
            held = false;
            record.note(&format!(
                "{text} began again {} ms after its first run, and ran twice",
                after.as_millis()
            ));
        }
    }
    Ok(held)
}
