//! A coordinator with a scripted discovery, a data node that records when parts arrive, and a client that
//! sends one query after the other.
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::common::scripted_discovery::ScriptedDiscovery;
use crate::common::*;

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
    /// When the first byte of each part and of each probe arrived.
    sends: Receiver<Instant>,
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
        let (node, sends) = start_node();
        let folder = write_configuration(&format!("stale-{name}"), &[node], discovery.address, 1, 75);
        // Probes are sent as well, since load reports come with them.
        replace_in_configuration(&folder, "\"How\":\"inline\"", "\"How\":\"on_probe\"");
        if delivery == Delivery::Pushed {
            replace_in_configuration(&folder, "\"Discovery\":\"ask\"", "\"Discovery\":\"push\"");
        }
        let program = start(&folder, false);
        let client = connect(program.address);
        Rig { program, discovery, folder, node, sends, client, sent: 0 }
    }

    /// Returns a list of the only data node with the given state.
    pub fn list(&self, seq: u32, whole: bool, health: &str) -> String {
        let host = listed_host_json(0, &self.node, health);
        format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{host}]}}")
    }

    /// Replaces the address of discovery in the configuration, and has the program reload it.
    pub fn move_discovery(&self, from: SocketAddr, to: SocketAddr) {
        replace_in_configuration(&self.folder, &from.to_string(), &to.to_string());
        self.program.signal("-HUP");
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

    /// Returns when the last part or probe arrived at the data node so far.
    pub fn last_send(&self) -> Option<Instant> {
        let mut last = None;
        loop {
            match self.sends.try_recv() {
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
                    let part_id = message.strip_prefix("q ").and_then(|m| m.split(' ').next());
                    let answer = match part_id {
                        Some(id) => frame(&format!("a {id} served 1 -\nV")),
                        None if message.starts_with('l') => frame("l -"),
                        None => continue,
                    };
                    let _ = send.send(first);
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

/// Waits for all runs, so that each has ended its program before one of them fails the test.
pub fn join_all<N: std::fmt::Debug, T, const RUNS: usize>(runs: [(N, JoinHandle<T>); RUNS]) -> Vec<(N, T)> {
    let joined = runs.map(|(name, run)| (name, run.join()));
    joined
        .into_iter()
        .map(|(name, result)| match result {
            Ok(value) => (name, value),
            Err(_) => panic!("{name:?} failed"),
        })
        .collect()
}

/// Asserts that in no run a part was sent `bound` after the drain or later. Names all runs in which one was.
pub fn assert_none_later_than<N: std::fmt::Debug>(bound: Duration, last_sends: &[(N, Duration)]) {
    let late: Vec<_> = last_sends.iter().filter(|(_, after)| *after >= bound).collect();
    assert!(late.is_empty(), "last parts after the drain, {bound:?} allowed: {late:?}");
}
