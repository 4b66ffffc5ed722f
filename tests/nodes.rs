//! Crossings on a connection to a data node, each forced by its order of events: nothing of ours runs while the
//! stand-in's end of the socket is brought into the state that it is to find.
mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use common::*;
use marlgap::core::{Call, Ended, Step, Stop, Transport};
use marlgap::interface::{Outcome, Phase, ReplicaId, ShardId};
use marlgap::net::descriptors::Descriptors;
use marlgap::net::nodes::{Carried, Entry, Nodes};

/// A statement that no socket's buffers hold.
const ENDLESS: usize = 64 * 1024 * 1024;

/// One data node and all that speaks to it.
struct World {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Rc<Nodes>,
    replica: ReplicaId,
    listener: TcpListener,
    carried: Rc<Carried>,
}

type Attempt = (Task<Ended>, Sender<std::convert::Infallible>);

impl World {
    fn new(name: &str, change: impl FnOnce(&mut marlgap::settings::Deployment)) -> World {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let folder = configure(name, &[address], address, 1, 75);
        let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        let mut told = marlgap::settings::parse(config["settings"].to_string().as_bytes()).expect("settings");
        change(&mut told);
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes = Nodes::new(told, Rc::new(Descriptors::new(64)), executor.clone(), log);
        let replica = nodes.list(&entry(address));
        let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
        World { executor, nodes, replica, listener, carried }
    }

    /// Begin an attempt of a part; it goes out when the executor next runs.
    fn begin(&self, shard: u32) -> Attempt {
        self.begin_with(shard, &self.carried)
    }

    fn begin_with(&self, shard: u32, carried: &Rc<Carried>) -> Attempt {
        let deadline = Instant::now() + PATIENCE;
        let call = Call::alone(self.replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = Stop::new();
        (self.executor.spawn(self.nodes.clone().call(call, stop)), hold)
    }

    /// Let our side run until the stand-in has done its part, on a thread of its own.
    fn meet<T: Send + 'static>(&self, node: impl FnOnce() -> T + Send + 'static) -> T {
        let (send, done) = async_channel::bounded(1);
        std::thread::spawn(move || drop(send.send_blocking(node())));
        async_io::block_on(self.executor.run(done.recv())).expect("the stand-in came through")
    }

    /// The next connection, and so many frames on it.
    fn accept(&self, frames: usize) -> TcpStream {
        let listener = self.listener.try_clone().expect("cloned");
        self.meet(move || {
            let mut stream = listener.accept().expect("accepted").0;
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            stream.set_nodelay(true).expect("set");
            (0..frames).for_each(|n| assert!(read_frame(&mut stream).is_some(), "frame {n}"));
            stream
        })
    }

    /// The next frame on a connection; `None` if that ends first.
    fn next(&self, stream: &TcpStream) -> Option<String> {
        let mut stream = stream.try_clone().expect("cloned");
        self.meet(move || read_frame(&mut stream))
    }

    fn outcome(&self, attempt: Attempt) -> Outcome {
        async_io::block_on(self.executor.run(attempt.0)).outcome
    }
}

fn entry(address: SocketAddr) -> Entry {
    Entry { name: "n0".to_owned(), address, phase: Phase::Ready, born: 0 }
}

fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(&frame(text)).expect("written");
}

/// Guards a served part: its answer lies there, a reset behind it, and the next part's write meets that reset first.
#[test]
fn an_answer_that_came_before_a_reset_counts_even_where_a_write_meets_the_reset() {
    let world = World::new("nodes_reset", |_| ());
    let (served, lost) = (world.begin(1), world.begin(2));
    let stream = world.accept(1);
    // Its second frame unread, the close is a reset.
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    send(&stream, "a a1.1 served 1 -\nV");
    drop(stream);
    let unsent = world.begin(3);
    // Queued, and the writer run, before we hear of what came.
    while world.executor.try_tick() {}
    assert_eq!(world.outcome(served), Outcome::Served);
    assert_eq!(world.outcome(lost), Outcome::Dropped);
    assert_eq!(world.outcome(unsent), Outcome::NotSent);
}

/// Guards a served part on a connection that is given up as silent in the moment in which its answer lies there.
#[test]
fn an_answer_that_lies_there_counts_though_its_connection_is_given_up_as_silent() {
    for silent_first in [true, false] {
        let world = World::new("nodes_silent", |_| ());
        let one = world.begin(1);
        let silent = world.accept(1);
        // Longer than a connection may owe an answer before parts go elsewhere.
        std::thread::sleep(Duration::from_millis(200));
        let two = world.begin(2);
        let stream = world.accept(1);
        // Longer than it may beside one that answers.
        std::thread::sleep(Duration::from_millis(300));
        let answers = [(&silent, "a a1.1 served 1 -\nV"), (&stream, "a a1.2 served 1 -\nV")];
        let order = if silent_first { [0, 1] } else { [1, 0] };
        order.iter().for_each(|n| send(answers[*n].0, answers[*n].1));
        assert_eq!((world.outcome(two), world.outcome(one)), (Outcome::Served, Outcome::Served));
    }
}

/// Guards the rule on final answers: a frame whose first bytes went out in time is not finished for nobody.
#[test]
fn a_frame_under_way_is_not_finished_once_its_part_is_called_off() {
    let world = World::new("nodes_under_way", |_| ());
    let endless = Rc::new(Carried::new("b1".to_owned(), vec![b'x'; ENDLESS]));
    let (out, blocked) = (world.begin(1), world.begin_with(2, &endless));
    let stream = world.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    drop(blocked.1);
    assert_eq!(async_io::block_on(world.executor.run(blocked.0)).outcome, Outcome::Cancelled);
    // What was out beside it may have run, and says nothing of its data node's life.
    assert_eq!(world.outcome(out), Outcome::Dropped);
    let mut stream = stream;
    let came = world.meet(move || {
        let mut bytes = Vec::new();
        drop(stream.read_to_end(&mut bytes));
        bytes.len()
    });
    assert!(came < ENDLESS, "all of it came: {came}");
    let next = world.begin(3);
    let stream = world.accept(1);
    send(&stream, "a a1.3 served 1 -\nV");
    assert_eq!(world.outcome(next), Outcome::Served);
}

/// Guards parts that must not run twice: what has not been written whole never ran, whatever ends the connection.
#[test]
fn a_part_whose_frame_is_under_way_never_ran_where_the_data_node_ends_the_connection() {
    let world = World::new("nodes_half", |_| ());
    let endless = Rc::new(Carried::new("b1".to_owned(), vec![b'x'; ENDLESS]));
    let (out, blocked) = (world.begin(1), world.begin_with(2, &endless));
    let stream = world.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    // Only its own side: our write meets no error, it merely does not go on.
    stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(world.outcome(blocked), Outcome::NotSent);
    assert_eq!(world.outcome(out), Outcome::Dropped);
}
