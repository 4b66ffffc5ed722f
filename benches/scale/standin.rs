//! A stand-in for discovery on loopback: replies in order, and counts what goes over the wire.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_channel::{Receiver, Sender};

/// What becomes of a call.
pub enum Reply {
    /// Answered at once with this body.
    Body(String),
    /// The connection ends without an answer.
    Close,
}

/// A call and its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The call, whole.
    pub call: String,
    /// Bytes of the answer, its head among them.
    pub answered: usize,
}

impl Exchange {
    /// Bytes both ways.
    pub fn bytes(&self) -> usize {
        self.call.len() + self.answered
    }

    /// How long the call may be held, in seconds, as it says itself; none asks for the whole list.
    pub fn wait(&self) -> Option<f64> {
        let (_, wait) = self.call.split_once("wait=")?;
        wait.split_whitespace().next()?.parse().ok().map(|ms: f64| ms / 1000.0)
    }
}

/// A stand-in that serves one client on a thread of its own.
pub struct Standin {
    pub at: SocketAddr,
    /// All exchanges, once the last reply is given.
    pub exchanges: Receiver<Vec<Exchange>>,
}

impl Standin {
    pub fn start(replies: Vec<Reply>) -> std::io::Result<Standin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (done, exchanges) = async_channel::bounded(1);
        std::thread::spawn(move || serve(&listener, replies, &done));
        Ok(Standin { at, exchanges })
    }
}

fn serve(listener: &TcpListener, replies: Vec<Reply>, done: &Sender<Vec<Exchange>>) {
    let (mut stream, mut exchanges) = (None, Vec::new());
    for reply in replies {
        let Ok(exchange) = exchange(listener, &mut stream, reply) else { break };
        exchanges.push(exchange);
    }
    drop(done.send_blocking(exchanges));
}

fn exchange(
    listener: &TcpListener,
    stream: &mut Option<TcpStream>,
    reply: Reply,
) -> std::io::Result<Exchange> {
    let mut on = match stream.take() {
        Some(on) => on,
        None => listener.accept()?.0,
    };
    let call = head(&mut on)?;
    let answer = match reply {
        Reply::Close => return Ok(Exchange { call, answered: 0 }),
        Reply::Body(body) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
    };
    on.write_all(answer.as_bytes())?;
    *stream = Some(on);
    Ok(Exchange { call, answered: answer.len() })
}

fn head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut one = [0];
        stream.read_exact(&mut one)?;
        bytes.push(one[0]);
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
