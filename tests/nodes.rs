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
use marlgap::balancer::interface::{EndpointState, Outcome, ReplicaId, ShardId};
use marlgap::coordinator::{AttemptResult, Call, CancellationToken, Step, Transport};
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::Descriptors;

/// A statement that no socket's buffers hold.
const ENDLESS: usize = 64 * 1024 * 1024;

/// One data node and all that speaks to it.
struct World {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Rc<DataNodes>,
    replica: ReplicaId,
    listener: TcpListener,
    carried: Rc<RequestContext>,
}

type Attempt = (Task<AttemptResult>, Sender<std::convert::Infallible>);

impl World {
    fn new(name: &str, change: impl FnOnce(&mut marlgap::config::settings::Deployment)) -> World {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let folder = configure(name, &[address], address, 1, 75);
        let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        let mut told =
            marlgap::config::settings::parse(config["settings"].to_string().as_bytes()).expect("settings");
        change(&mut told);
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes = DataNodes::new(told, Rc::new(Descriptors::new(64)), executor.clone(), log);
        let replica = nodes.list(&entry(address));
        let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
        World { executor, nodes, replica, listener, carried }
    }

    /// Begin an attempt of a part; it goes out when the executor next runs.
    fn begin(&self, shard: u32) -> Attempt {
        self.begin_with(shard, &self.carried)
    }

    fn begin_with(&self, shard: u32, carried: &Rc<RequestContext>) -> Attempt {
        let deadline = Instant::now() + PATIENCE;
        let call = Call::standalone(self.replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = CancellationToken::new();
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

fn entry(address: SocketAddr) -> ListedDataNode {
    ListedDataNode { name: "n0".to_owned(), address, phase: EndpointState::Ready, born: 0 }
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
    // Nothing is left to run; then the third is queued, and its connection has not looked yet.
    while world.executor.try_tick() {}
    let unsent = world.begin(3);
    assert!(world.executor.try_tick());
    send(&stream, "a a1.1 served 1 -\nV");
    drop(stream);
    assert_eq!(world.outcome(served), Outcome::Succeeded);
    assert_eq!(world.outcome(lost), Outcome::ConnectionLost);
    assert_eq!(world.outcome(unsent), Outcome::NeverSent);
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
        assert_eq!((world.outcome(two), world.outcome(one)), (Outcome::Succeeded, Outcome::Succeeded));
    }
}

/// Guards the rule on final answers: a frame whose first bytes went out in time is not finished for nobody.
#[test]
fn a_frame_under_way_is_not_finished_once_its_part_is_called_off() {
    let world = World::new("nodes_under_way", |_| ());
    let endless = Rc::new(RequestContext::new("b1".to_owned(), vec![b'x'; ENDLESS]));
    let (out, blocked) = (world.begin(1), world.begin_with(2, &endless));
    let stream = world.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    drop(blocked.1);
    assert_eq!(async_io::block_on(world.executor.run(blocked.0)).outcome, Outcome::Cancelled);
    // What was out beside it may have run, and says nothing of its data node's life.
    assert_eq!(world.outcome(out), Outcome::ConnectionLost);
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
    assert_eq!(world.outcome(next), Outcome::Succeeded);
}

/// Guards the rule on the time that is told: a frame that its data node reads late would tell more than is left.
#[test]
fn a_frame_that_its_data_node_does_not_read_is_not_finished_with_an_old_time() {
    let world = World::new("nodes_stalled", |_| ());
    let endless = Rc::new(RequestContext::new("b1".to_owned(), vec![b'x'; ENDLESS]));
    let (out, stalled) = (world.begin(1), world.begin_with(2, &endless));
    let stream = world.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    let mut stream = stream;
    let came = world.meet(move || {
        std::thread::sleep(Duration::from_millis(400));
        let mut bytes = Vec::new();
        stream.set_read_timeout(Some(Duration::from_secs(2))).expect("set");
        drop(stream.read_to_end(&mut bytes));
        bytes.len()
    });
    assert!(came < ENDLESS, "all of it came: {came}");
    assert_eq!(world.outcome(stalled), Outcome::NeverSent, "its last byte was never written");
    assert_eq!(world.outcome(out), Outcome::ConnectionLost);
}

/// Guards parts that must not run twice: what has not been written whole never ran, whatever ends the connection.
#[test]
fn a_part_whose_frame_is_under_way_never_ran_where_the_data_node_ends_the_connection() {
    let world = World::new("nodes_half", |_| ());
    let endless = Rc::new(RequestContext::new("b1".to_owned(), vec![b'x'; ENDLESS]));
    let (out, blocked) = (world.begin(1), world.begin_with(2, &endless));
    let stream = world.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    // Only its own side: our write meets no error, it merely does not go on.
    stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(world.outcome(blocked), Outcome::NeverSent);
    assert_eq!(world.outcome(out), Outcome::ConnectionLost);
}

/// Guards parts that must not run twice: an answer that comes twice turns one attempt away, not the next as well.
#[test]
fn a_doubled_answer_does_not_prove_that_the_next_attempt_never_ran() {
    let world = World::new("nodes_doubled", |_| ());
    let first = world.begin(1);
    let stream = world.accept(1);
    send(&stream, "a a1.1 skipped 0 -\n");
    assert_eq!(world.outcome(first), Outcome::Rejected);
    // The next attempt is written, and runs, when the first one's answer comes again.
    let second = world.begin(1);
    assert!(world.next(&stream).is_some_and(|f| f.starts_with("q a1.1 ")));
    send(&stream, "a a1.1 skipped 0 -\n");
    assert_eq!(world.outcome(second), Outcome::ConnectionLost);
    // On another connection nothing can be doubled. This one ends by an answer that nobody waits for.
    send(&stream, "a zz.1 served 1 -\nV");
    assert_eq!(world.next(&stream), None);
    let third = world.begin(1);
    let stream = world.accept(1);
    send(&stream, "a a1.1 skipped 0 -\n");
    assert_eq!(world.outcome(third), Outcome::Rejected);
}

/// Guards the rule on second copies: the end of an attempt that was given up is not that of the next one.
#[test]
fn what_ends_a_given_up_attempt_leaves_the_next_one_out() {
    for end in ["skipped", "broke"] {
        let world = World::new("nodes_next", |_| ());
        let first = world.begin(1);
        let stream = world.accept(1);
        drop(first.1);
        assert_eq!(async_io::block_on(world.executor.run(first.0)).outcome, Outcome::Cancelled);
        let second = world.begin(1);
        assert_eq!(world.next(&stream).as_deref(), Some("c a1.1"));
        assert!(world.next(&stream).is_some_and(|f| f.starts_with("q a1.1 ")));
        send(&stream, &format!("a a1.1 {end} 0 -\n"));
        send(&stream, "a a1.1 served 1 -\nV");
        assert_eq!(world.outcome(second), Outcome::Succeeded, "{end}");
    }
}

/// Guards sound connections of many places: answers to what was given up there are known, however many these are.
#[test]
fn answers_to_all_that_was_given_up_are_known_at_any_number_of_places() {
    const PLACES: u32 = 150;
    let world = World::new("nodes_many", |told| told.connections.max_streams = PLACES as usize);
    let mut begun: Vec<_> = (0..PLACES).map(|n| world.begin(n)).collect();
    let stream = world.accept(PLACES as usize);
    let kept = begun.pop().expect("begun");
    for (attempt, hold) in begun {
        drop(hold);
        assert_eq!(async_io::block_on(world.executor.run(attempt)).outcome, Outcome::Cancelled);
    }
    (1..PLACES).for_each(|n| assert_eq!(world.next(&stream), Some(format!("c a1.{}", n - 1))));
    (1..PLACES).for_each(|n| send(&stream, &format!("a a1.{} broke 0 -\n", n - 1)));
    send(&stream, "a a1.149 served 1 -\nV");
    assert_eq!(world.outcome(kept), Outcome::Succeeded);
    // It is as sound as before: the next part comes on it, or on none.
    let next = world.begin(PLACES);
    let frame = world.next(&stream);
    assert!(frame.as_ref().is_some_and(|f| f.starts_with("q a1.150 ")), "{frame:?}");
    send(&stream, "a a1.150 served 1 -\nV");
    assert_eq!(world.outcome(next), Outcome::Succeeded);
}

/// Guards values: one that was cut short, with the next answer in it, is nobody's.
#[test]
fn an_answer_cut_short_takes_no_bytes_of_the_next_one_for_its_value() {
    let whole = frame("a a1.1 served 1 -\n5be2a07c19f04d63");
    // From within its id to its last byte.
    for cut in 7..whole.len() {
        let world = World::new("nodes_cut", |_| ());
        let (one, two) = (world.begin(1), world.begin(2));
        let stream = world.accept(2);
        (&stream)
            .write_all(&[&whole[..cut], &frame("a a1.2 served 1 -\n9be2a07c19f04d63")].concat())
            .expect("written");
        let ends = [world.outcome(one), world.outcome(two)];
        assert!(
            ends.iter().all(|o| matches!(o, Outcome::Error | Outcome::ConnectionLost)),
            "cut at {cut}: {ends:?}"
        );
    }
}

/// Guards values that the client could not get as they were made.
#[test]
fn a_value_that_is_no_text_is_an_error_of_its_part() {
    let world = World::new("nodes_value", |_| ());
    let one = world.begin(1);
    let stream = world.accept(1);
    let mut bytes = frame("a a1.1 served 1 -\nVV");
    bytes.splice(bytes.len() - 1.., [0xff]);
    (&stream).write_all(&bytes).expect("written");
    assert_eq!(world.outcome(one), Outcome::Error);
}

/// Guards against a flood: a probe's answer that was not asked for ends its connection, as any other does.
#[test]
fn an_answer_to_no_probe_ends_its_connection() {
    for text in ["p served", "l inflight=1"] {
        let world = World::new("nodes_probe", |_| ());
        let one = world.begin(1);
        let stream = world.accept(1);
        send(&stream, text);
        assert_eq!(world.outcome(one), Outcome::Error, "{text}");
    }
}

/// Guards against requests that cross a data node's close: what was called off unwritten is no use of a connection.
#[test]
fn a_connection_rests_on_while_all_that_is_queued_there_is_called_off() {
    let world = World::new("nodes_rest", |told| told.connections.idle_timeout = Duration::from_secs(1));
    let one = world.begin(1);
    let stream = world.accept(1);
    send(&stream, "a a1.1 served 1 -\nV");
    assert_eq!(world.outcome(one), Outcome::Succeeded);
    let rests = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    while world.executor.try_tick() {}
    let two = world.begin(2);
    assert!(world.executor.try_tick());
    drop(two.1);
    assert_eq!(async_io::block_on(world.executor.run(two.0)).outcome, Outcome::Cancelled);
    assert_eq!(world.next(&stream), None);
    assert!(rests.elapsed() < Duration::from_secs(1), "closed after {:?}", rests.elapsed());
}
