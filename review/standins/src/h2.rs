//! The little of HTTP/2 (RFC 9113) and gRPC over it that a stand-in client and a stand-in server need. Header
//! blocks are written as literals without indexing and are not decoded when received.
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::harness::Record;

pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const END_STREAM: u8 = 1;
pub const ACK: u8 = 1;
pub const END_HEADERS: u8 = 4;

pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    let mut out = vec![length[1], length[2], length[3], kind, flags];
    out.extend_from_slice(&stream.to_be_bytes());
    out.extend_from_slice(payload);
    out
}

/// Takes the first whole frame off `buffer`.
pub fn take_frame(buffer: &mut Vec<u8>) -> Option<Frame> {
    let head = buffer.get(..9)?;
    let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
    let (kind, flags) = (head[3], head[4]);
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
    let payload = buffer.get(9..9 + length)?.to_vec();
    buffer.drain(..9 + length);
    Some(Frame { kind, flags, stream, payload })
}

fn literal(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(0);
    out.push(name.len() as u8);
    out.extend_from_slice(name.as_bytes());
    out.push(value.len() as u8);
    out.extend_from_slice(value.as_bytes());
}

pub fn message(body: &[u8]) -> Vec<u8> {
    let mut out = vec![0];
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(body);
    out
}

/// The frames of a unary call.
pub fn call(stream: u32, path: &str, timeout: &str, metadata: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    // Indexed: `:method: POST`, `:scheme: http`.
    let mut block = vec![0x83, 0x86];
    block.extend_from_slice(&[0x04, path.len() as u8]);
    block.extend_from_slice(path.as_bytes());
    block.extend_from_slice(&[0x01, 1, b't']);
    literal(&mut block, "te", "trailers");
    literal(&mut block, "content-type", "application/grpc");
    literal(&mut block, "grpc-timeout", timeout);
    for (name, value) in metadata {
        literal(&mut block, name, value);
    }
    let mut out = frame(HEADERS, END_HEADERS, stream, &block);
    out.extend(frame(DATA, END_STREAM, stream, &message(body)));
    out
}

/// What has come back for a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub data: Vec<u8>,
    /// The stream was ended by the server.
    pub ended: bool,
    pub reset: bool,
}

impl Answer {
    pub fn is_final(&self) -> bool {
        self.ended || self.reset
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    next_stream: u32,
    pub answers: BTreeMap<u32, Answer>,
    /// The last stream that a GOAWAY named.
    pub goaway: Option<u32>,
    pub closed: bool,
}

impl Client {
    /// Connects and sends the preface and the settings.
    pub fn connect(port: u16) -> io::Result<Client> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let mut client = Client {
            stream,
            buffer: Vec::new(),
            next_stream: 1,
            answers: BTreeMap::new(),
            goaway: None,
            closed: false,
        };
        let mut hello = PREFACE.to_vec();
        hello.extend(frame(SETTINGS, 0, 0, &[]));
        client.write(&hello);
        Ok(client)
    }

    fn write(&mut self, bytes: &[u8]) {
        if self.stream.write_all(bytes).is_err() {
            self.closed = true;
        }
    }

    /// Sends a unary call and returns its stream.
    pub fn call(&mut self, path: &str, timeout: &str, metadata: &[(&str, &str)], body: &[u8]) -> u32 {
        let stream = self.next_stream;
        self.next_stream += 2;
        self.answers.insert(stream, Answer::default());
        let bytes = call(stream, path, timeout, metadata, body);
        self.write(&bytes);
        stream
    }

    /// Reads what has arrived, without waiting.
    pub fn poll(&mut self) {
        let mut bytes = [0; 16384];
        while !self.closed {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.closed = true,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.closed = true,
            }
        }
        while let Some(f) = take_frame(&mut self.buffer) {
            match f.kind {
                SETTINGS if f.flags & ACK == 0 => self.write(&frame(SETTINGS, ACK, 0, &[])),
                PING if f.flags & ACK == 0 => self.write(&frame(PING, ACK, 0, &f.payload)),
                GOAWAY => {
                    let last = f.payload.get(..4).map_or(0, |b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
                    self.goaway = Some(last & 0x7fff_ffff);
                }
                DATA | HEADERS | RST_STREAM => {
                    let answer = self.answers.entry(f.stream).or_default();
                    match f.kind {
                        DATA => answer.data.extend_from_slice(&f.payload),
                        RST_STREAM => answer.reset = true,
                        _ => {}
                    }
                    answer.ended |= f.kind != RST_STREAM && f.flags & END_STREAM != 0;
                }
                _ => {}
            }
        }
    }

    /// Returns whether the client knows how the call ended: by its answer or its reset, or because the connection
    /// ended or a GOAWAY said that the call was not taken.
    pub fn knows_end(&self, stream: u32) -> bool {
        self.closed
            || self.goaway.is_some_and(|last| stream > last)
            || self.answers.get(&stream).is_some_and(Answer::is_final)
    }

    /// Reads until the client knows how the call ended, for at most `limit`.
    pub fn wait(&mut self, stream: u32, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            self.poll();
            if self.knows_end(stream) || Instant::now() >= until {
                return self.knows_end(stream);
            }
            std::thread::sleep(Duration::from_micros(100));
        }
    }
}

/// Starts a gRPC server on a free port, which answers each unary call with the message of its request. Returns the
/// port. Each connection has a thread.
pub fn start_server(name: String, record: Record) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let port = listener.local_addr().expect("address").port();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record) = (name.clone(), record.clone());
            std::thread::spawn(move || drop(serve(stream, &name, &record)));
        }
    });
    port
}

fn serve(mut stream: TcpStream, name: &str, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut preface = [0; PREFACE.len()];
    stream.read_exact(&mut preface)?;
    stream.write_all(&frame(SETTINGS, 0, 0, &[]))?;
    let mut buffer = Vec::new();
    let mut bodies: BTreeMap<u32, Vec<u8>> = BTreeMap::new();
    loop {
        while let Some(f) = take_frame(&mut buffer) {
            match f.kind {
                SETTINGS if f.flags & ACK == 0 => stream.write_all(&frame(SETTINGS, ACK, 0, &[]))?,
                PING if f.flags & ACK == 0 => stream.write_all(&frame(PING, ACK, 0, &f.payload))?,
                HEADERS => drop(bodies.entry(f.stream).or_default()),
                DATA => bodies.entry(f.stream).or_default().extend_from_slice(&f.payload),
                RST_STREAM => drop(bodies.remove(&f.stream)),
                _ => {}
            }
            let ends = matches!(f.kind, DATA | HEADERS) && f.flags & END_STREAM != 0;
            if let Some(body) = ends.then(|| bodies.remove(&f.stream)).flatten() {
                record.line(format!("{name} ran a call, message {:?}", &body.get(5..).unwrap_or(&[])));
                // Indexed: `:status: 200`.
                let mut head = vec![0x88];
                literal(&mut head, "content-type", "application/grpc");
                let mut trailers = Vec::new();
                literal(&mut trailers, "grpc-status", "0");
                let mut answer = frame(HEADERS, END_HEADERS, f.stream, &head);
                answer.extend(frame(DATA, 0, f.stream, &body));
                answer.extend(frame(HEADERS, END_HEADERS | END_STREAM, f.stream, &trailers));
                stream.write_all(&answer)?;
            }
        }
        let mut bytes = [0; 16384];
        match stream.read(&mut bytes)? {
            0 => return Ok(()),
            n => buffer.extend_from_slice(&bytes[..n]),
        }
    }
}
