//! Where no second attempt of a part may run beside another: one that we end by ourselves is over at its data node too
//! before its end is told, since the next one begins right then.
mod common;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use common::*;
use marlgap::balancer::interface::{EndpointState, Outcome, ReplicaId, ShardId};
use marlgap::coordinator::{AttemptResult, Call, CancellationToken, Step, Transport};
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::Descriptors;

struct World {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Rc<DataNodes>,
    replica: ReplicaId,
    held: Vec<async_channel::Sender<std::convert::Infallible>>,
}

impl World {
    /// Before one data node, which `node` plays; whether second copies may run.
    fn new(name: &str, copies: bool, node: impl FnOnce(TcpListener) + Send + 'static) -> World {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let folder = configure(name, &[address], address, 1, 75);
        let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        let mut told =
            marlgap::config::settings::parse(config["settings"].to_string().as_bytes()).expect("settings");
        told.settings.hedging = copies;
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes = DataNodes::new(told, Rc::new(Descriptors::new(64)), executor.clone(), log);
        let replica = nodes.list(&ListedDataNode {
            name: "n0".to_owned(),
            address,
            phase: EndpointState::Ready,
            born: 0,
        });
        std::thread::spawn(move || node(listener));
        World { executor, nodes, replica, held: Vec::new() }
    }

    fn begin(&mut self, shard: u32, deadline: Instant) -> Task<AttemptResult> {
        let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
        let call = Call::standalone(self.replica, carried, ShardId(shard), Step::First, deadline);
        let (hold, stop) = CancellationToken::new();
        self.held.push(hold);
        self.executor.spawn(self.nodes.clone().call(call, stop))
    }

    fn outcome(&self, attempt: Task<AttemptResult>) -> Outcome {
        async_io::block_on(self.executor.run(attempt)).outcome
    }
}

/// The time that a part's frame tells, in milliseconds.
fn told(frame: &str) -> u64 {
    let list = frame.split("d=").nth(1).and_then(|l| l.split([' ', ',']).next());
    list.and_then(|n| n.parse().ok()).expect("a time")
}

fn end(mut stream: &TcpStream, text: &str) {
    stream.write_all(&frame(text)).expect("written");
}

/// How long a part that a data node has read, on a connection that then falls silent while another one answers, is held
/// to be out: until its time, or until its connection is given up.
fn silent(copies: bool) -> (Outcome, bool) {
    let name = format!("silent_copy_{copies}");
    let mut world = World::new(&name, copies, |listener| {
        let mut mute = listener.accept().expect("accepted").0;
        read_frame(&mut mute).expect("the first part");
        // The second connection answers each part.
        let mut stream = listener.accept().expect("accepted").0;
        while let Some(part) = read_frame(&mut stream) {
            let id = part[2..].split(' ').next().expect("an id");
            end(&stream, &format!("a {id} served 1 -\nV"));
        }
        drop(mute);
    });
    let deadline = Instant::now() + Duration::from_millis(1500);
    let first = world.begin(1, deadline);
    // Parts follow until the connection of the first one has been given up.
    for shard in 2.. {
        if first.is_finished() || Instant::now() > deadline {
            break;
        }
        let next = world.begin(shard, Instant::now() + Duration::from_millis(200));
        world.outcome(next);
        async_io::block_on(world.executor.run(async_io::Timer::after(Duration::from_millis(20))));
    }
    (world.outcome(first), Instant::now() >= deadline)
}

/// Guards the rule on second copies: a connection that fell silent may still carry its part's work, and its data node
/// never hears that we closed it.
#[test]
fn a_part_on_a_silent_connection_is_out_until_its_time_where_it_must_run_alone() {
    assert_eq!(
        silent(true),
        (Outcome::ConnectionLost, false),
        "told at once, where a copy may run beside it"
    );
    assert_eq!(silent(false), (Outcome::TimedOut, true));
}

/// Guards the rule on second copies: a data node counts the time that it is told from when the part is there.
#[test]
fn a_part_that_must_run_alone_is_told_less_than_we_wait() {
    let (send, times) = std::sync::mpsc::channel();
    let mut world = World::new("told_less", false, move |listener| {
        let mut stream = listener.accept().expect("accepted").0;
        while let Some(frame) = read_frame(&mut stream) {
            // A part that is given up is told too, by a frame of its own.
            if frame.starts_with("q ") {
                send.send(told(&frame)).expect("heard");
            }
        }
    });
    let attempt = world.begin(1, Instant::now() + Duration::from_millis(300));
    assert_eq!(world.outcome(attempt), Outcome::TimedOut);
    let time = times.recv_timeout(PATIENCE).expect("a part");
    assert!((1..=250).contains(&time), "{time} ms of 300");
    // What would be told nothing is not sent.
    let attempt = world.begin(2, Instant::now() + Duration::from_millis(40));
    assert_eq!(world.outcome(attempt), Outcome::TimedOut);
    assert!(times.try_recv().is_err());
}

/// Guards the rule on second copies: behind a spoilt answer only the part that it names has ended.
#[test]
fn the_others_behind_a_spoilt_answer_are_out_until_their_time_where_they_must_run_alone() {
    let mut world = World::new("spoilt_alone", false, |listener| {
        let mut stream = listener.accept().expect("accepted").0;
        (0..2).for_each(|_| drop(read_frame(&mut stream).expect("a part")));
        end(&stream, "a a1.2 nonsense 1 -\nV");
        while listener.accept().is_ok() {}
    });
    let deadline = Instant::now() + Duration::from_millis(600);
    let (first, second) = (world.begin(1, deadline), world.begin(2, deadline));
    assert_eq!(world.outcome(second), Outcome::Error);
    assert!(Instant::now() < deadline);
    assert_eq!(world.outcome(first), Outcome::TimedOut);
    assert!(Instant::now() >= deadline);
}
