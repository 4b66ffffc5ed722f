//! A search server and a client of the query API, both HTTP/1.1.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;

/// A search for one tile, as a server received it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub shard: u32,
    /// The coordinator that sent it: each has addresses of its own for the same servers.
    pub from: usize,
}

/// How long a server takes for a search; it serves each.
type Script = dyn Fn(&Run) -> Duration + Send + Sync;

pub struct Servers {
    /// By coordinator, then by server.
    pub addresses: Vec<Vec<SocketAddr>>,
    pub runs: Mutex<Vec<Run>>,
    /// Searches that were answered as served: id and shard.
    pub served: Mutex<Vec<(String, u32)>>,
    script: Box<Script>,
    record: Record,
}

impl Servers {
    pub fn start(
        coordinators: usize,
        servers: usize,
        record: &Record,
        script: impl Fn(&Run) -> Duration + Send + Sync + 'static,
    ) -> Arc<Servers> {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("bound");
        let listeners: Vec<Vec<TcpListener>> =
            (0..coordinators).map(|_| (0..servers).map(|_| bind()).collect()).collect();
        let address = |l: &TcpListener| l.local_addr().expect("bound");
        let all = Arc::new(Servers {
            addresses: listeners.iter().map(|of| of.iter().map(address).collect()).collect(),
            runs: Mutex::default(),
            served: Mutex::default(),
            script: Box::new(script),
            record: record.clone(),
        });
        for (from, of) in listeners.into_iter().enumerate() {
            for (server, listener) in of.into_iter().enumerate() {
                let all = all.clone();
                std::thread::spawn(move || {
                    for stream in listener.incoming().map_while(Result::ok) {
                        let all = all.clone();
                        std::thread::spawn(move || while all.answer(from, server, &stream).is_some() {});
                    }
                });
            }
        }
        all
    }

    fn answer(&self, from: usize, server: usize, mut stream: &TcpStream) -> Option<()> {
        let message = read_message(stream)?;
        let Some(name) = header(&message, "X-Opaque-Id") else {
            // A probe.
            return stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").ok();
        };
        let (id, shard) = name.rsplit_once('.')?;
        let run = Run { id: id.to_owned(), shard: shard.parse().ok()?, from };
        self.record.note(&format!("server n{server} begins {name}, sent by c{}", from + 1));
        self.runs.lock().expect("not poisoned").push(run.clone());
        std::thread::sleep((self.script)(&run));
        let shards = r#""total":1,"successful":1,"skipped":0,"failed":0"#;
        let body = format!(
            r#"{{"took":1,"timed_out":false,"_shards":{{{shards}}},"hits":{{"total":{{"value":1,"relation":"eq"}},"max_score":1.5,"hits":[{{"_id":"doc-{shard}","_score":1.5}}]}}}}"#
        );
        let head =
            format!("HTTP/1.1 200 OK\r\nX-Opaque-Id: {name}\r\nContent-Length: {}\r\n\r\n", body.len());
        let sent = stream.write_all((head + &body).as_bytes());
        self.served.lock().expect("not poisoned").push((run.id, run.shard));
        let gone = if sent.is_ok() { "" } else { " (connection gone)" };
        self.record.note(&format!("server n{server} served {name}{gone}"));
        sent.ok()
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").iter().filter(|r| r.id == id).cloned().collect()
    }
}

/// Reads one message with a `Content-Length`; `None` if the connection ends first.
fn read_message(mut stream: &TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut one = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut one).ok()?;
        bytes.push(one[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "Content-Length").map_or(Some(0), |n| n.parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

fn header<'m>(message: &'m str, name: &str) -> Option<&'m str> {
    let lines = message.lines().take_while(|line| !line.is_empty());
    let mut fields = lines.filter_map(|line| line.split_once(": "));
    fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// Sends a search for one tile and leaves the connection open.
pub fn send_search(
    at: SocketAddr,
    index: &str,
    id: &str,
    tile: u32,
    timeout_ms: u64,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms + 3000)))?;
    let body = r#"{"query":{"match_all":{}}}"#;
    let head = format!(
        "POST /{index}/_search?preference=_shards:{tile}&timeout={timeout_ms}ms HTTP/1.1\r\nHost: t\r\n\
         X-Opaque-Id: {id}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    Ok(stream)
}

/// Reads the answer: its status and text. `None` if the connection ended without one.
pub fn read_answer(stream: &TcpStream) -> Option<(u16, String)> {
    let message = read_message(stream)?;
    Some((message.get(9..12)?.parse().ok()?, message))
}

/// Whether `GET /_health` answers 200.
pub fn is_healthy(at: SocketAddr) -> bool {
    let asked = || -> Option<bool> {
        let mut stream = TcpStream::connect(at).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n").ok()?;
        Some(read_answer(&stream)?.0 == 200)
    };
    asked().unwrap_or(false)
}

/// Sends a query for one tile to the platform's front, on the connection if there is one, and returns the status of
/// its answer; `None` if the connection ended without one.
pub fn send_query(
    stream: &mut Option<TcpStream>,
    at: SocketAddr,
    id: &str,
    class: &str,
    tile: u32,
    deadline_ms: u64,
) -> Option<u16> {
    let mut connection = match stream.take() {
        Some(connection) => connection,
        None => TcpStream::connect(at).ok()?,
    };
    connection.set_nodelay(true).ok()?;
    connection.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let body = format!(r#"{{"tablets":[{{"tablet":{tile},"fraction":1.0}}],"statement":"c41e77d0"}}"#);
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(head.as_bytes()).ok()?;
    let (status, text) = read_answer(&connection)?;
    if header(&text, "Connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
        *stream = Some(connection);
    }
    Some(status)
}
