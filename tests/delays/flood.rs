//! Clients that send many requests while the program is stopped, and the count of their answers.
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::common::*;

/// Number of clients that flood.
const CLIENTS: usize = 16;
const HEALTH_REQUEST: &[u8] = b"GET /_health HTTP/1.1\r\nHost: t\r\n\r\n";

/// Clients of one front that have sent more than can be served at once.
pub struct Flood {
    connections: Vec<TcpStream>,
    /// Number of complete requests in the sockets' buffers.
    sent: usize,
}

impl Flood {
    /// Opens the connections with `connect_client`, which waits until the program serves the connection.
    pub fn connect(connect_client: impl Fn() -> TcpStream) -> Flood {
        Flood { connections: (0..CLIENTS).map(|_| connect_client()).collect(), sent: 0 }
    }

    /// Sends up to `count` requests on each connection, as many as fit in the buffers of its sockets.
    /// `request` returns the bytes of a request for its number on the connection.
    pub fn send(&mut self, count: usize, request: impl Fn(usize) -> Vec<u8>) {
        let requests: Vec<_> = (0..count).map(request).collect();
        for stream in &mut self.connections {
            stream.set_nonblocking(true).expect("set");
            self.sent += requests.iter().take_while(|request| write_completely(stream, request)).count();
        }
    }

    /// Returns the number of answers that have arrived so far. `is_answer` tells where one starts.
    pub fn answered(&mut self, is_answer: impl Fn(&[u8]) -> bool) -> usize {
        let mut answered = 0;
        for stream in &mut self.connections {
            let received = read_available(stream);
            answered += (0..received.len()).filter(|start| is_answer(&received[*start..])).count();
        }
        answered
    }

    /// Checks that a request which arrived after all others was served before at least three in four of them.
    pub fn check_share(&self, answered: usize) {
        let sent = self.sent;
        println!("{answered} of {sent} requests of {CLIENTS} clients were answered before");
        assert!(sent >= 500, "only {sent} requests were sent");
        assert!(4 * answered <= sent, "{answered} of {sent} requests of others were served first");
    }
}

/// Returns whether all of a request fits in the buffers.
fn write_completely(stream: &mut TcpStream, request: &[u8]) -> bool {
    match stream.write(request) {
        Ok(written) => written == request.len(),
        Err(e) if e.kind() == ErrorKind::WouldBlock => false,
        Err(e) => panic!("not written: {e}"),
    }
}

fn read_available(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    match stream.read_to_end(&mut received) {
        Err(e) if e.kind() != ErrorKind::WouldBlock => panic!("the connection failed: {e}"),
        _ => received,
    }
}

/// Returns whether an HTTP/1.1 response starts here.
pub fn starts_response(bytes: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.1 ")
}

/// Opens a connection and makes a request on it, so that it is known to be served.
pub fn connect_http(front: SocketAddr) -> TcpStream {
    let mut stream = connect(front);
    stream.write_all(HEALTH_REQUEST).expect("written");
    assert_eq!(read_status(&mut stream), 200);
    stream
}

/// The requests of the client that must not wait for others.
pub fn health_request() -> Vec<u8> {
    HEALTH_REQUEST.to_vec()
}

/// Returns a query of the platform's front.
pub fn platform_query() -> Vec<u8> {
    query_request("single", "field-lookup", 4000).into_bytes()
}
