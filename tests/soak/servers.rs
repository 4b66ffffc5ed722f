//! The data nodes of a run, on threads of this process.
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::common::frame;
use crate::record::{Event, EventLog};
use crate::slow_start;

/// The time that a data node needs for a part.
const PART_DURATION: Duration = Duration::from_millis(3);
/// The time that a data node needs for a part while it warms up.
const PART_DURATION_WARMING_UP: Duration = Duration::from_millis(12);
/// The listen backlog while connections are accepted.
const BACKLOG: i32 = 128;

/// A data node with its current behaviour and its open connections.
pub struct Node {
    pub number: usize,
    pub address: SocketAddr,
    pub hangs: AtomicBool,
    pub drains: AtomicBool,
    /// The number of parts delayed by a hang, of connections that were reset, and of pauses in accepting.
    pub hung: AtomicU64,
    pub resets: AtomicU64,
    pub pauses: AtomicU64,
    /// The time of the last restart.
    started: Mutex<Option<(Instant, SystemTime)>>,
    listener: TcpListener,
    /// Held while a connection is accepted or accepting is paused.
    accepting: Mutex<()>,
    made: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    event_log: EventLog,
}

impl Node {
    pub fn start(number: usize, event_log: EventLog) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let (hangs, drains, hung, resets, pauses, made, connections) = Default::default();
        let (started, accepting) = Default::default();
        let node = Arc::new(Node {
            number,
            address,
            hangs,
            drains,
            hung,
            resets,
            pauses,
            started,
            listener,
            accepting,
            made,
            connections,
            event_log,
        });
        let serving = node.clone();
        std::thread::spawn(move || serving.accept());
        node
    }

    fn accept(self: Arc<Self>) {
        while let Ok((stream, _)) = self.listener.accept() {
            let _ = stream.set_nodelay(true);
            let kept = stream.try_clone().expect("cloned");
            self.connections.lock().expect("not poisoned").push(kept);
            let node = self.clone();
            std::thread::spawn(move || node.serve(stream));
            drop(self.accepting.lock().expect("not poisoned"));
        }
    }

    /// Accepts nothing for a while, with a full backlog: connections are established only when their SYN is
    /// sent again.
    pub fn pause_accepting(&self, duration: Duration) {
        let _accepting = self.accepting.lock().expect("not poisoned");
        rustix::net::listen(&self.listener, 0).expect("listening");
        // The first connection is accepted before accepting stops, and the second one fills the backlog.
        let fill: Vec<TcpStream> =
            (0..2).filter_map(|_| TcpStream::connect_timeout(&self.address, duration).ok()).collect();
        self.pauses.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(duration);
        self.break_backlog();
        rustix::net::listen(&self.listener, BACKLOG).expect("listening");
        drop(fill);
    }

    /// Resets the connections that wait to be accepted. Otherwise their parts would appear to be sent only
    /// now.
    fn break_backlog(&self) {
        self.listener.set_nonblocking(true).expect("set");
        while let Ok((stream, _)) = self.listener.accept() {
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
        }
        self.listener.set_nonblocking(false).expect("set");
    }

    /// Restarts the node under the same address: its connections break, and it warms up.
    pub fn restart(&self) {
        *self.started.lock().expect("not poisoned") = Some((Instant::now(), SystemTime::now()));
        self.event_log.record(Event::NodeStarted { node: self.number });
        self.reset();
    }

    /// Waits until the node does not drain.
    pub fn wait_until_ready(&self) {
        while self.drains.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the start time as given in the endpoint list.
    pub fn start_unix_ms(&self) -> u128 {
        let started = self.started.lock().expect("not poisoned");
        started.map_or(0, |(_, at)| at.duration_since(UNIX_EPOCH).expect("after 1970").as_millis())
    }

    fn is_warming_up(&self) -> bool {
        let started = *self.started.lock().expect("not poisoned");
        started.is_some_and(|(at, _)| at.elapsed() < slow_start::RAMP)
    }

    /// Resets all connections, including those with parts in flight.
    pub fn reset(&self) {
        for stream in self.connections.lock().expect("not poisoned").drain(..) {
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            self.resets.fetch_add(u64::from(stream.shutdown(Shutdown::Both).is_ok()), Ordering::SeqCst);
        }
    }

    /// Reads each part as it arrives, even during a hang, since an attempt begins with its last byte.
    /// Another thread processes the parts.
    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let (send, parts) = channel();
        let (node, writer) = (self.clone(), stream.try_clone().expect("cloned"));
        std::thread::spawn(move || node.work(&parts, writer));
        while let Some((first, message)) = read_frame(&mut stream) {
            let Some(part) = message.strip_prefix("q ") else { continue };
            let mut words = part.split(' ');
            let id = words.next().unwrap_or_default().to_owned();
            let list = words.nth(1).unwrap_or_default();
            let timeout =
                list.strip_prefix("d=").and_then(|d| d.split(',').next()).and_then(|d| d.parse().ok());
            let timeout_ms = timeout.expect("a time");
            self.event_log.record(Event::Began { part: id.clone(), node: self.number, timeout_ms, first });
            if send.send(id).is_err() {
                return;
            }
        }
    }

    fn work(&self, parts: &Receiver<String>, mut writer: TcpStream) {
        for id in parts {
            std::thread::sleep(if self.is_warming_up() { PART_DURATION_WARMING_UP } else { PART_DURATION });
            self.hung.fetch_add(u64::from(self.hangs.load(Ordering::SeqCst)), Ordering::SeqCst);
            while self.hangs.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            let value = format!("v{}-{}", self.number, self.made.fetch_add(1, Ordering::SeqCst));
            self.event_log.record(Event::Served { part: id.clone(), value: value.clone() });
            if writer.write_all(&frame(&format!("a {id} served 1 -\n{value}"))).is_err() {
                return;
            }
        }
    }
}

/// Reads the next frame and returns it with the time of its first byte.
fn read_frame(stream: &mut TcpStream) -> Option<(Instant, String)> {
    use std::io::Read;
    let mut head = [0; 5];
    stream.read_exact(&mut head[..1]).ok()?;
    let first = Instant::now();
    stream.read_exact(&mut head[1..]).ok()?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut rest = vec![0; length - 1];
    stream.read_exact(&mut rest).ok()?;
    Some((first, format!("{} {}", char::from(head[4]), String::from_utf8_lossy(&rest))))
}
