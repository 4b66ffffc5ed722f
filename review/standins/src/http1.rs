//! A stand-in client of the query API, a stand-in search server, and a proxy that adds the delay of a network.
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A message with its start line, headers (names in lower case) and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message that has a Content-Length or no body. `buffer` holds what was read beyond the message before.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Message> {
    let mut bytes = [0; 16384];
    loop {
        if let Some(head) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
            let mut lines = text.split("\r\n");
            let start = lines.next().unwrap_or_default().to_owned();
            let header =
                |line: &str| line.split_once(':').map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
            let message = Message { start, headers: lines.filter_map(header).collect(), body: String::new() };
            let length: usize = message.header("content-length").parse().unwrap_or(0);
            let end = head + 4 + length;
            if buffer.len() >= end {
                let body = String::from_utf8_lossy(&buffer[head + 4..end]).into_owned();
                buffer.drain(..end);
                return Ok(Message { body, ..message });
            }
        }
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
}

/// A client's connection to the query API.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(port: u16) -> io::Result<Client> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new() })
    }

    /// Sends a search and waits for its answer, for at most `limit`.
    pub fn search(&mut self, target: &str, id: &str, body: &str, limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: t\r\nX-Opaque-Id: {id}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(request.as_bytes())?;
        read_message(&mut self.stream, &mut self.buffer)
    }

    pub fn get(&mut self, target: &str, limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes())?;
        read_message(&mut self.stream, &mut self.buffer)
    }
}

/// Waits until the query API serves searches.
pub fn wait_until_ready(port: u16, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let answer = Client::connect(port).and_then(|mut c| c.get("/_health", Duration::from_secs(1)));
        if answer.is_ok_and(|a| a.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// The body of a server's answer for one shard: one hit with this id and source.
pub fn hit(index: &str, id: &str, source: &str) -> String {
    format!(
        r#"{{"took":1,"timed_out":false,"_shards":{{"total":1,"successful":1,"skipped":0,"failed":0}},"hits":{{"total":{{"value":1,"relation":"eq"}},"max_score":1.0,"hits":[{{"_index":"{index}","_id":"{id}","_score":1.0,"_source":{source}}}]}}}}"#
    )
}

/// A response that gives the request's X-Opaque-Id back, as servers of this API do.
pub fn response(id: &str, body: &str) -> String {
    let id = if id.is_empty() { String::new() } else { format!("X-Opaque-Id: {id}\r\n") };
    format!(
        "HTTP/1.1 200 OK\r\n{id}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Handles one request on a connection: writes the answer.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// Starts a server on a free port and returns the port. Each connection has a thread and carries one request at a
/// time.
pub fn start_server(handler: Handler) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let port = listener.local_addr().expect("address").port();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(request) = read_message(&mut stream, &mut buffer) {
                    if handler(&request, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    port
}

/// Starts a proxy on a free port that passes every byte on after `delay`, in both directions. Returns its port.
pub fn start_proxy(target: u16, delay: Duration) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let port = listener.local_addr().expect("address").port();
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(("127.0.0.1", target)) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            pass_on(near, far, delay);
            pass_on(far2, near2, delay);
        }
    });
    port
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (send, chunks) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut bytes = [0; 16384];
        loop {
            match from.read(&mut bytes) {
                Ok(n) if n > 0 => drop(send.send((Instant::now() + delay, bytes[..n].to_vec()))),
                _ => return,
            }
        }
    });
    std::thread::spawn(move || {
        for (due, chunk) in chunks {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&chunk).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
