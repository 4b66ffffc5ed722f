//! Races on a connection to a data node. The order of events is forced: the code under test does not run
//! while the stub brings its end of the socket into the required state.
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
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::send_policy::MAX_FRAME_WRITE_TIME;

/// Size of a statement that exceeds the socket buffers, in bytes.
const OVERSIZED_STATEMENT_BYTES: usize = 64 * 1024 * 1024;

/// One stub data node and the connections under test.
struct TestSetup {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Rc<DataNodes>,
    replica: ReplicaId,
    listener: TcpListener,
    context: Rc<RequestContext>,
}

type Attempt = (Task<AttemptResult>, Sender<std::convert::Infallible>);

impl TestSetup {
    fn new(name: &str, change: impl FnOnce(&mut marlgap::config::settings::Deployment)) -> TestSetup {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let folder = write_configuration(name, &[address], address, 1, 75);
        let mut deployment = deployment(&folder);
        change(&mut deployment);
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes =
            DataNodes::new(deployment, Rc::new(DescriptorBudget::new(64)), memory(), executor.clone(), log);
        let replica = nodes.register(&entry(address));
        let context = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
        TestSetup { executor, nodes, replica, listener, context }
    }

    /// Starts an attempt of a part. It is written when the executor runs next.
    fn start(&self, shard: u32) -> Attempt {
        self.start_with(shard, &self.context)
    }

    fn start_with(&self, shard: u32, context: &Rc<RequestContext>) -> Attempt {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let call = Call::standalone(self.replica, context.clone(), ShardId(shard), Step::First, deadline);
        let (keep_alive, token) = CancellationToken::new();
        (self.executor.spawn(self.nodes.clone().call(call, token)), keep_alive)
    }

    /// Runs the executor until `node`, the actions of the stub, has completed on its own thread.
    fn run_with_stub<T: Send + 'static>(&self, node: impl FnOnce() -> T + Send + 'static) -> T {
        let (send, done) = async_channel::bounded(1);
        std::thread::spawn(move || {
            let _ = send.send_blocking(node());
        });
        async_io::block_on(self.executor.run(done.recv())).expect("the stub completes")
    }

    /// Accepts the next connection and reads `frames` frames from it.
    fn accept(&self, frames: usize) -> TcpStream {
        let listener = self.listener.try_clone().expect("cloned");
        self.run_with_stub(move || {
            let mut stream = listener.accept().expect("accepted").0;
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
            stream.set_nodelay(true).expect("set");
            (0..frames).for_each(|n| assert!(read_frame(&mut stream).is_some(), "frame {n}"));
            stream
        })
    }

    /// Reads the next frame from a connection. Returns `None` if the connection ends first.
    fn next(&self, stream: &TcpStream) -> Option<String> {
        let mut stream = stream.try_clone().expect("cloned");
        self.run_with_stub(move || read_frame(&mut stream))
    }

    fn outcome(&self, attempt: Attempt) -> Outcome {
        async_io::block_on(self.executor.run(attempt.0)).outcome
    }
}

fn entry(address: SocketAddr) -> ListedDataNode {
    ListedDataNode { name: "n0".to_owned(), address, state: EndpointState::Ready, start_unix_ms: 0 }
}

fn send(mut stream: &TcpStream, text: &str) {
    stream.write_all(&frame(text)).expect("written");
}

/// A received answer must not be lost if a reset follows it and the write of the next part meets that reset
/// first.
#[test]
fn an_answer_received_before_a_reset_is_delivered_even_if_a_write_meets_the_reset() {
    let setup = TestSetup::new("nodes_reset", |_| ());
    let (served, lost) = (setup.start(1), setup.start(2));
    let stream = setup.accept(1);
    // The second frame is left unread, so closing the socket resets the connection.
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    // Let all tasks run; then queue a third attempt, which the task of the connection has not seen yet.
    while setup.executor.try_tick() {}
    let unsent = setup.start(3);
    assert!(setup.executor.try_tick());
    send(&stream, "a a1.1 served 1 -\nV");
    drop(stream);
    assert_eq!(setup.outcome(served), Outcome::Succeeded);
    assert_eq!(setup.outcome(lost), Outcome::ConnectionLost);
    assert_eq!(setup.outcome(unsent), Outcome::NeverSent);
}

/// A received answer must not be lost if its connection is closed as unresponsive just when the answer has
/// arrived.
#[test]
fn a_received_answer_is_delivered_although_its_connection_is_closed_as_unresponsive() {
    for silent_first in [true, false] {
        let setup = TestSetup::new("nodes_silent", |_| ());
        let one = setup.start(1);
        let silent = setup.accept(1);
        // Longer than an answer may be pending before further parts use another connection.
        std::thread::sleep(Duration::from_millis(200));
        let two = setup.start(2);
        let stream = setup.accept(1);
        // Longer than an answer may be pending while another connection answers.
        std::thread::sleep(Duration::from_millis(300));
        let answers = [(&silent, "a a1.1 served 1 -\nV"), (&stream, "a a1.2 served 1 -\nV")];
        let order = if silent_first { [0, 1] } else { [1, 0] };
        order.iter().for_each(|n| send(answers[*n].0, answers[*n].1));
        assert_eq!((setup.outcome(two), setup.outcome(one)), (Outcome::Succeeded, Outcome::Succeeded));
    }
}

/// Maximum number of runs of a scenario that is valid only if this thread is not delayed for longer than
/// [`MAX_FRAME_WRITE_TIME`].
const MAX_DELAYED_RUNS: usize = 50;

/// Rule on final answers: a frame whose first bytes were written in time must not be completed once nobody
/// waits for it.
#[test]
fn a_frame_being_written_is_not_completed_once_its_part_is_cancelled() {
    let in_time = (0..MAX_DELAYED_RUNS).any(|_| cancel_while_being_written());
    assert!(in_time, "delayed in each of {MAX_DELAYED_RUNS} runs");
}

/// Cancels a part while its frame is being written.
///
/// A frame that takes [`MAX_FRAME_WRITE_TIME`] is abandoned by the writer, and its part ends as never sent.
/// If this thread is delayed for that long before the cancellation, that may happen first. Returns whether
/// the cancellation was in time; only then do all checks apply. That no frame is completed holds in any
/// case.
fn cancel_while_being_written() -> bool {
    let setup = TestSetup::new("nodes_under_way", |_| ());
    let oversized = Rc::new(RequestContext::new("b1".to_owned(), vec![b'x'; OVERSIZED_STATEMENT_BYTES]));
    let started = Instant::now();
    let (in_flight, blocked) = (setup.start(1), setup.start_with(2, &oversized));
    let stream = setup.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    drop(blocked.1);
    let outcome = async_io::block_on(setup.executor.run(blocked.0)).outcome;
    let in_time = started.elapsed() < MAX_FRAME_WRITE_TIME;
    if in_time {
        assert_eq!(outcome, Outcome::Cancelled);
    } else {
        assert!(matches!(outcome, Outcome::Cancelled | Outcome::NeverSent), "{outcome:?}");
    }
    // The other attempt in flight may have run, and says nothing about the process of the data node.
    assert_eq!(setup.outcome(in_flight), Outcome::ConnectionLost);
    let mut stream = stream;
    let received = setup.run_with_stub(move || {
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        bytes.len()
    });
    assert!(received < OVERSIZED_STATEMENT_BYTES, "the complete frame was written: {received} bytes");
    let next = setup.start(3);
    let stream = setup.accept(1);
    send(&stream, "a a1.3 served 1 -\nV");
    assert_eq!(setup.outcome(next), Outcome::Succeeded);
    in_time
}

/// Rule on deadlines: a frame that its data node reads late would state more time than is left.
#[test]
fn a_frame_that_its_data_node_does_not_read_is_not_completed_with_an_outdated_deadline() {
    let setup = TestSetup::new("nodes_stalled", |_| ());
    let oversized = Rc::new(RequestContext::new("b1".to_owned(), vec![b'x'; OVERSIZED_STATEMENT_BYTES]));
    let (in_flight, stalled) = (setup.start(1), setup.start_with(2, &oversized));
    let stream = setup.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    let mut stream = stream;
    let received = setup.run_with_stub(move || {
        std::thread::sleep(Duration::from_millis(400));
        let mut bytes = Vec::new();
        stream.set_read_timeout(Some(Duration::from_secs(2))).expect("set");
        let _ = stream.read_to_end(&mut bytes);
        bytes.len()
    });
    assert!(received < OVERSIZED_STATEMENT_BYTES, "the complete frame was written: {received} bytes");
    assert_eq!(setup.outcome(stalled), Outcome::NeverSent, "its last byte was never written");
    assert_eq!(setup.outcome(in_flight), Outcome::ConnectionLost);
}

/// Protects parts that must not run twice: a part whose frame was not written completely never ran, whatever
/// ends the connection.
#[test]
fn a_part_with_an_incomplete_frame_never_ran_if_the_data_node_closes_the_connection() {
    let setup = TestSetup::new("nodes_half", |_| ());
    let oversized = Rc::new(RequestContext::new("b1".to_owned(), vec![b'x'; OVERSIZED_STATEMENT_BYTES]));
    let (in_flight, blocked) = (setup.start(1), setup.start_with(2, &oversized));
    let stream = setup.accept(1);
    while stream.peek(&mut [0]).expect("a frame") == 0 {}
    // Only the stub's side is closed: the write under test gets no error and merely does not proceed.
    stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(setup.outcome(blocked), Outcome::NeverSent);
    assert_eq!(setup.outcome(in_flight), Outcome::ConnectionLost);
}

/// Protects parts that must not run twice: a duplicated answer rejects only one attempt and not the next one
/// as well.
#[test]
fn a_duplicated_answer_does_not_prove_that_the_next_attempt_never_ran() {
    let setup = TestSetup::new("nodes_doubled", |_| ());
    let first = setup.start(1);
    let stream = setup.accept(1);
    send(&stream, "a a1.1 skipped 0 -\n");
    assert_eq!(setup.outcome(first), Outcome::Rejected);
    // The next attempt is written and running when the answer to the first one arrives again.
    let second = setup.start(1);
    assert!(setup.next(&stream).is_some_and(|f| f.starts_with("q a1.1 ")));
    send(&stream, "a a1.1 skipped 0 -\n");
    assert_eq!(setup.outcome(second), Outcome::ConnectionLost);
    // On another connection there can be no duplicate. The current one ends with an unexpected answer.
    send(&stream, "a zz.1 served 1 -\nV");
    assert_eq!(setup.next(&stream), None);
    let third = setup.start(1);
    let stream = setup.accept(1);
    send(&stream, "a a1.1 skipped 0 -\n");
    assert_eq!(setup.outcome(third), Outcome::Rejected);
}

/// Rule on hedged requests: the end of an abandoned attempt is not the end of the next one.
#[test]
fn the_end_of_an_abandoned_attempt_leaves_the_next_one_in_flight() {
    for end in ["skipped", "broke"] {
        let setup = TestSetup::new("nodes_next", |_| ());
        let first = setup.start(1);
        let stream = setup.accept(1);
        drop(first.1);
        assert_eq!(async_io::block_on(setup.executor.run(first.0)).outcome, Outcome::Cancelled);
        let second = setup.start(1);
        assert_eq!(setup.next(&stream).as_deref(), Some("c a1.1"));
        assert!(setup.next(&stream).is_some_and(|f| f.starts_with("q a1.1 ")));
        send(&stream, &format!("a a1.1 {end} 0 -\n"));
        send(&stream, "a a1.1 served 1 -\nV");
        assert_eq!(setup.outcome(second), Outcome::Succeeded, "{end}");
    }
}

/// Protects healthy connections with many streams: answers to abandoned attempts are recognized, however
/// many there are.
#[test]
fn answers_to_abandoned_attempts_are_recognized_at_any_number_of_streams() {
    const STREAMS: u32 = 150;
    let setup = TestSetup::new("nodes_many", |config| config.connections.max_streams = STREAMS as usize);
    let mut started: Vec<_> = (0..STREAMS).map(|n| setup.start(n)).collect();
    let stream = setup.accept(STREAMS as usize);
    let last = started.pop().expect("started");
    for (attempt, keep_alive) in started {
        drop(keep_alive);
        assert_eq!(async_io::block_on(setup.executor.run(attempt)).outcome, Outcome::Cancelled);
    }
    (1..STREAMS).for_each(|n| assert_eq!(setup.next(&stream), Some(format!("c a1.{}", n - 1))));
    (1..STREAMS).for_each(|n| send(&stream, &format!("a a1.{} broke 0 -\n", n - 1)));
    send(&stream, "a a1.149 served 1 -\nV");
    assert_eq!(setup.outcome(last), Outcome::Succeeded);
    // The connection is still usable: the next part is sent on it and on no other.
    let next = setup.start(STREAMS);
    let frame = setup.next(&stream);
    assert!(frame.as_ref().is_some_and(|f| f.starts_with("q a1.150 ")), "{frame:?}");
    send(&stream, "a a1.150 served 1 -\nV");
    assert_eq!(setup.outcome(next), Outcome::Succeeded);
}

/// A truncated value that runs into the next answer must not be delivered.
#[test]
fn a_truncated_answer_does_not_deliver_bytes_of_the_next_one() {
    let whole = frame("a a1.1 served 1 -\n5be2a07c19f04d63");
    // Cut at each position from within the id to the last byte.
    for cut in 7..whole.len() {
        let setup = TestSetup::new("nodes_cut", |_| ());
        let (one, two) = (setup.start(1), setup.start(2));
        let stream = setup.accept(2);
        (&stream)
            .write_all(&[&whole[..cut], &frame("a a1.2 served 1 -\n9be2a07c19f04d63")].concat())
            .expect("written");
        let ends = [setup.outcome(one), setup.outcome(two)];
        assert!(
            ends.iter().all(|o| matches!(o, Outcome::Error | Outcome::ConnectionLost)),
            "cut at {cut}: {ends:?}"
        );
    }
}

/// A value that could not be passed on to the client unchanged must be rejected.
#[test]
fn a_value_that_is_not_utf8_is_an_error_of_its_part() {
    let setup = TestSetup::new("nodes_value", |_| ());
    let one = setup.start(1);
    let stream = setup.accept(1);
    let mut bytes = frame("a a1.1 served 1 -\nVV");
    bytes.splice(bytes.len() - 1.., [0xff]);
    (&stream).write_all(&bytes).expect("written");
    assert_eq!(setup.outcome(one), Outcome::Error);
}

/// Guards against floods: an unrequested probe answer must end its connection, as any other unrequested
/// answer does.
#[test]
fn an_unrequested_probe_answer_ends_its_connection() {
    for text in ["p served", "l inflight=1"] {
        let setup = TestSetup::new("nodes_probe", |_| ());
        let one = setup.start(1);
        let stream = setup.accept(1);
        send(&stream, text);
        assert_eq!(setup.outcome(one), Outcome::Error, "{text}");
    }
}

/// Guards against requests that cross the close of a data node: an attempt that is cancelled before it is
/// written must not count as use of the connection.
#[test]
fn a_connection_stays_idle_if_everything_queued_on_it_is_cancelled() {
    let setup =
        TestSetup::new("nodes_rest", |config| config.connections.idle_timeout = Duration::from_secs(1));
    let one = setup.start(1);
    let stream = setup.accept(1);
    send(&stream, "a a1.1 served 1 -\nV");
    assert_eq!(setup.outcome(one), Outcome::Succeeded);
    let idle_since = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    while setup.executor.try_tick() {}
    let two = setup.start(2);
    assert!(setup.executor.try_tick());
    drop(two.1);
    assert_eq!(async_io::block_on(setup.executor.run(two.0)).outcome, Outcome::Cancelled);
    assert_eq!(setup.next(&stream), None);
    assert!(idle_since.elapsed() < Duration::from_secs(1), "closed after {:?}", idle_since.elapsed());
}
