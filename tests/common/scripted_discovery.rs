//! A discovery that answers nothing by itself: the test receives each call and decides what happens to it.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use super::{read_http, TEST_TIMEOUT};

/// A received call for the list.
pub struct Call {
    /// When the first byte arrived.
    pub received_at: Instant,
    /// Number of the connection, from 0, in the order in which they were accepted.
    pub connection: usize,
    pub head: String,
    stream: TcpStream,
}

impl Call {
    pub fn requests_complete_list(&self) -> bool {
        self.head.starts_with("GET /catalog/members HTTP")
    }

    /// Returns for how long the call may be held if nothing is new; zero if it requests the complete list.
    pub fn wait(&self) -> Duration {
        let value = self.head.split_once("&wait=").and_then(|(_, rest)| rest.split(' ').next());
        value.map_or(Duration::ZERO, |ms| Duration::from_millis(ms.parse().expect("a number")))
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

/// Returns an answer with a list as its body.
pub fn answer_bytes(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

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
            for (connection, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let send = send.clone();
                std::thread::spawn(move || receive_calls(stream, connection, &send));
            }
        });
        ScriptedDiscovery { address, calls }
    }

    /// Returns the next call.
    pub fn next(&self) -> Call {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }
}

/// Passes on the calls of a connection. A call that the test drops leaves its connection open.
fn receive_calls(mut stream: TcpStream, connection: usize, calls: &Sender<Call>) {
    let _ = stream.set_nodelay(true);
    while let Some((received_at, head)) = read_timed_http(&mut stream) {
        let stream = stream.try_clone().expect("cloned");
        if calls.send(Call { received_at, connection, head, stream }).is_err() {
            return;
        }
    }
}

/// Reads one message and returns it with the time of its first byte.
fn read_timed_http(stream: &mut TcpStream) -> Option<(Instant, String)> {
    let mut first = [0];
    stream.read_exact(&mut first).ok()?;
    let received_at = Instant::now();
    Some((received_at, read_http(&mut Read::chain(&first[..], stream))?))
}
