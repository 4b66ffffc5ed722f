//! A coordinator with a scripted discovery, a data node that records when parts arrive, and a client that
//! sends one query after the other.
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use crate::common::*;

/// A received call for the list.
pub struct Call {
    pub received_at: Instant,
    pub head: String,
    stream: TcpStream,
}

impl Call {
    pub fn requests_complete_list(&self) -> bool {
        self.head.starts_with("GET /catalog/members HTTP")
    }

    /// Writes bytes, which may be a part of an answer.
    pub fn write(&mut self, bytes: &[u8]) {
        // The program may have closed the connection meanwhile.
        let _ = self.stream.write_all(bytes);
    }

    pub fn answer(mut self, body: &str) {
        self.write(answer_bytes(body).as_bytes());
    }

    pub fn answer_unavailable(mut self) {
        self.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    pub fn disconnect(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn answer_bytes(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A discovery that answers nothing by itself.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    pub calls: Receiver<Call>,
}

impl ScriptedDiscovery {
    pub fn start() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let (send, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let send = send.clone();
                std::thread::spawn(move || receive_calls(stream, &send));
            }
        });
        ScriptedDiscovery { address, calls }
    }

    pub fn next(&self) -> Call {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }
}

fn receive_calls(mut stream: TcpStream, calls: &Sender<Call>) {
    let _ = stream.set_nodelay(true);
    while let Some(head) = read_http(&mut stream) {
        let call = Call { received_at: Instant::now(), head, stream: stream.try_clone().expect("cloned") };
        if calls.send(call).is_err() {
            return;
        }
    }
}

/// Where lists come from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    Polled,
    Pushed,
}

/// A running coordinator with its surroundings.
pub struct Rig {
    pub program: Program,
    pub discovery: ScriptedDiscovery,
    pub folder: PathBuf,
    node: SocketAddr,
    /// When the first byte of each part arrived.
    parts: Receiver<Instant>,
    client: TcpStream,
    sent: u32,
}

impl Rig {
    pub fn start(name: &str, delivery: Delivery) -> Rig {
        Rig::start_with(name, delivery, Program::start)
    }

    /// Starts the program with `start`, which gets the folder of its configuration.
    pub fn start_with(
        name: &str,
        delivery: Delivery,
        start: impl FnOnce(&std::path::Path, bool) -> Program,
    ) -> Rig {
        let discovery = ScriptedDiscovery::start();
        let (node, parts) = start_node();
        let folder = write_configuration(&format!("stale-{name}"), &[node], discovery.address, 1, 75);
        if delivery == Delivery::Pushed {
            replace_in_configuration(&folder, "\"Discovery\":\"ask\"", "\"Discovery\":\"push\"");
        }
        let program = start(&folder, false);
        let client = connect(program.address);
        Rig { program, discovery, folder, node, parts, client, sent: 0 }
    }

    /// Returns a list of the only data node with the given state.
    pub fn list(&self, seq: u32, whole: bool, health: &str) -> String {
        let host = listed_host_json(0, &self.node, health);
        format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{host}]}}")
    }

    /// Replaces the client's connection, which the program closes when it has been idle for long.
    pub fn reconnect(&mut self) {
        self.client = connect(self.program.address);
    }

    /// Sends a query, waits for its answer and returns its status.
    pub fn query(&mut self) -> u16 {
        self.sent += 1;
        let request = query_request(&format!("q{}", self.sent), "field-lookup", 2000);
        self.client.write_all(request.as_bytes()).expect("written");
        read_status(&mut self.client)
    }

    /// Sends queries until one is answered with `status`.
    pub fn query_until(&mut self, status: u16) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.query() != status {
            assert!(Instant::now() < deadline, "no answer with status {status}");
        }
    }

    /// Sends queries until `latest`, or until one is answered with `status`.
    pub fn query_while_before(&mut self, latest: Instant, status: u16) {
        while Instant::now() < latest && self.query() != status {}
    }

    /// Returns when the last part arrived at the data node so far.
    pub fn last_part(&self) -> Option<Instant> {
        let mut last = None;
        loop {
            match self.parts.try_recv() {
                Ok(at) => last = Some(at),
                Err(_) => return last,
            }
        }
    }
}

/// Starts a data node that serves everything.
fn start_node() -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let (send, parts) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let send = send.clone();
            std::thread::spawn(move || {
                while let Some((first, message)) = read_timed_frame(&mut stream) {
                    let Some(id) = message.strip_prefix("q ").and_then(|m| m.split(' ').next()) else {
                        continue;
                    };
                    let _ = send.send(first);
                    let answer = frame(&format!("a {id} served 1 -\nV"));
                    if stream.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, parts)
}

/// Reads one frame and returns it with the time of its first byte.
fn read_timed_frame(stream: &mut TcpStream) -> Option<(Instant, String)> {
    let mut one = [0];
    std::io::Read::read_exact(stream, &mut one).ok()?;
    let first = Instant::now();
    let mut rest = std::io::Read::chain(&one[..], stream);
    Some((first, read_frame(&mut rest)?))
}

/// The time from the notification of a drain until sends must have stopped, with the slack of sockets.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
