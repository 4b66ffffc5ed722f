//! Members of a fleet over real connections: three in one process, each on a thread of its own, and peers by hand.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use marlgap::fleet::found_first::{Kind, Note, Round};
use marlgap::fleet::work::Message;
use marlgap::net::fleet::frames::{parse, Frame, Hello};
use marlgap::net::fleet::Fleet;
use marlgap::operator::Operator;
use slog::{o, Drain, Logger};

const PATIENCE: Duration = Duration::from_secs(20);
const NAMES: [&str; 3] = ["a", "b", "c"];

struct Lines(Sender<String>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Three listeners on ports of the system's choice, and where they are.
fn places() -> ([TcpListener; 3], [SocketAddr; 3]) {
    let listeners = NAMES.map(|_| TcpListener::bind("127.0.0.1:0").expect("bound"));
    let places = [0, 1, 2].map(|n: usize| listeners[n].local_addr().expect("bound"));
    (listeners, places)
}

/// A member on a thread of its own.
struct Member {
    lines: Receiver<String>,
    stop: async_channel::Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Member {
    fn start(name: &'static str, listener: TcpListener, places: [SocketAddr; 3]) -> Member {
        let (send, lines) = channel();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let life = move || {
            let decorator = slog_term::PlainSyncDecorator::new(Lines(send));
            let log = Logger::root(slog_term::FullFormat::new(decorator).build().fuse(), o!());
            let executor = Rc::new(LocalExecutor::new());
            let fleet = Fleet::new(&section(name, places), &log);
            fleet.begin(Async::new(listener).expect("a listener"), &executor);
            async_io::block_on(executor.run(async { drop(stopped.recv().await) }));
        };
        Member { lines, stop, thread: Some(std::thread::spawn(life)) }
    }

    /// Wait for a line that holds `text`.
    fn log(&self, text: &str) -> String {
        let latest = Instant::now() + PATIENCE;
        loop {
            let left = latest.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|e| panic!("no '{text}' logged: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.stop.close();
        drop(self.thread.take().map(|t| t.join()));
    }
}

fn section(name: &str, places: [SocketAddr; 3]) -> marlgap::operator::OperatorFleet {
    let members: Vec<String> = NAMES
        .iter()
        .zip(places)
        .map(|(name, at)| format!("{{name: '{name}', address: '{at}', zone: 'z'}}"))
        .collect();
    let all = include_str!("../deploy/marlgap.json5").trim_end().strip_suffix('}').expect("an object");
    let text = format!(
        "{all} fleet: {{cluster: 't', name: '{name}', listen: '127.0.0.1:0', members: [{}],
        protect: {{'field-lookup': {{}}}}}}}}",
        members.join(",")
    );
    Operator::parse(&text, Path::new("f")).unwrap_or_else(|e| panic!("{e}")).fleet.expect("there")
}

fn hello(name: &str, incarnation: u64) -> Hello {
    Hello { cluster: "t".into(), version: 1, name: name.into(), incarnation, zone: "z".into() }
}

/// Send `bytes` to the member; it must close the connection.
fn refused(at: SocketAddr, bytes: &[&[u8]]) {
    let mut stream = TcpStream::connect(at).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream.write_all(&bytes.concat()).expect("sent");
    let mut answered = Vec::new();
    match stream.read_to_end(&mut answered) {
        Ok(_) => {}
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset),
    }
}

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32 + 1).to_be_bytes()[..], &[kind], body].concat()
}

#[test]
fn members_found_epoch_one_once_and_redial_one_that_restarts() {
    let (listeners, places) = places();
    let mut members: Vec<Member> =
        NAMES.into_iter().zip(listeners).map(|(name, l)| Member::start(name, l, places)).collect();
    members.iter().for_each(|m| drop(m.log("fleet configuration, members: 3, epoch: 1")));
    drop(members.pop());
    members.iter().for_each(|m| drop(m.log("fleet member lost")));
    let again = Member::start("c", TcpListener::bind(places[2]).expect("bound again"), places);
    again.log("this member started too late to count");
    again.log("fleet configuration, members: 3, epoch: 1");
    members.iter().for_each(|m| assert!(m.log("fleet member reached").contains("member: c/")));
}

#[test]
fn foreign_hellos_are_refused_with_one_line_and_change_nothing() {
    let (listeners, places) = places();
    let [la, lb, lc] = listeners;
    let a = Member::start("a", la, places);
    let of = |hello: Hello| Frame::Hello(hello).bytes();
    let cases = [
        (of(Hello { cluster: "other".into(), ..hello("c", 5) }), "of another cluster, \"other\""),
        (of(Hello { version: 2, ..hello("c", 5) }), "of version 2, this is 1"),
        (of(hello("d", 5)), "'d' is no member"),
        (of(hello("a", 5)), "'a' is not the name of a member there"),
        (vec![0, 16, 0, 1], "a frame of 1048577 bytes"),
    ];
    for (bytes, said) in cases {
        refused(places[0], &[&bytes]);
        let line = a.log("WARN");
        assert!(line.contains("unusable connection in the fleet") && line.contains(said), "{line}");
    }
    let _others = [Member::start("b", lb, places), Member::start("c", lc, places)];
    a.log("fleet configuration, members: 3, epoch: 1");
}

#[test]
fn spoilt_frames_of_a_member_end_its_connection_and_change_nothing() {
    let (listeners, places) = places();
    let [la, lb, lc] = listeners;
    let a = Member::start("a", la, places);
    let c = Frame::Hello(hello("c", 5)).bytes();
    let cases: [(&[&[u8]], &str); 5] = [
        (&[&frame(3, b"")], "a hello that is missing"),
        (&[&c, &c], "a hello that is missing or out of place"),
        (&[&c, &frame(1, b"\xff\xff")], "a message that cannot be read"),
        (&[&c, &frame(9, b"")], "a frame of the unknown kind 9"),
        (&[&Frame::Hello(hello("c", 4)).bytes()], "c/4 is an earlier life"),
    ];
    for (frames, said) in cases {
        refused(places[0], frames);
        let line = a.log("WARN");
        assert!(line.contains("unusable connection in the fleet") && line.contains(said), "{line}");
    }
    let _others = [Member::start("b", lb, places), Member::start("c", lc, places)];
    a.log("fleet configuration, members: 3, epoch: 1");
}
