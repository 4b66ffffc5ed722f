//! HTTP/2 connections on raw frames, for clients that behave as h2 does not.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::common::connect;

/// Types of frames (RFC 9113, section 6).
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;

/// The flag of the last frame of a stream.
pub const END_STREAM: u8 = 1;
/// The flag of headers that no CONTINUATION follows.
pub const END_HEADERS: u8 = 4;

/// A received frame.
#[derive(Debug)]
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub payload: Vec<u8>,
}

/// Returns the bytes of a frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// Returns a header field as an HPACK literal without indexing, so that no dynamic table is needed.
pub fn literal(name: &str, value: &str) -> Vec<u8> {
    [&[0, name.len() as u8][..], name.as_bytes(), &[value.len() as u8], value.as_bytes()].concat()
}

/// Opens a connection, and sends raw frames after the preface and empty SETTINGS.
pub fn send_raw(front: SocketAddr, frames: &[u8]) -> TcpStream {
    let mut stream = connect(front);
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0".to_vec();
    bytes.extend_from_slice(frames);
    // The front may close the connection in the middle of a flood.
    drop(stream.write_all(&bytes));
    stream
}

/// Reads the next frame; `None` if the connection ends without one.
pub fn read_raw(stream: &mut TcpStream) -> Option<Frame> {
    let mut header = [0; 9];
    stream.read_exact(&mut header).ok()?;
    let mut payload = vec![0; usize::from(header[1]) << 8 | usize::from(header[2])];
    stream.read_exact(&mut payload).ok()?;
    Some(Frame { kind: header[3], flags: header[4], payload })
}

/// Reads up to the first GOAWAY, and returns its error code; `None` if the connection ends without one.
pub fn read_goaway(stream: &mut TcpStream) -> Option<u32> {
    let goaway = std::iter::from_fn(|| read_raw(stream)).find(|frame| frame.kind == GOAWAY)?;
    Some(u32::from_be_bytes(goaway.payload[4..8].try_into().expect("four")))
}
