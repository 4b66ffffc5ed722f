//! Connections to data nodes in isolation: streams, descriptors, queues, crashes and drains.
mod common;

use std::future::Future;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use common::*;
use marlgap::balancer::interface::{EndpointState, Outcome, ReplicaId, ShardId};
use marlgap::config::settings::Deployment;
use marlgap::coordinator::{AttemptResult, Call, CancellationGuard, CancellationToken, Step, Transport};
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::DescriptorBudget;

/// Number of parts that one connection carries concurrently.
const STREAMS: u32 = 32;

fn deployment(node: SocketAddr) -> Deployment {
    // Each test has its own folder, since tests run in parallel.
    let folder = write_configuration(&format!("parts{}", node.port()), &[node], node, 1, 75);
    let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    marlgap::config::settings::parse(config["settings"].to_string().as_bytes()).expect("settings")
}

/// Creates a budget with the given number of descriptors for connections to data nodes.
fn descriptors(connections: usize) -> Rc<DescriptorBudget> {
    Rc::new(DescriptorBudget::new(2 * connections))
}

/// The connections under test, set up as by the platform's front, with their own executor.
struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Rc<DataNodes>,
    /// Context of the query that the parts belong to.
    context: Rc<RequestContext>,
}

/// An attempt in flight; dropping its guard cancels it.
struct Attempt {
    task: Task<AttemptResult>,
    guard: CancellationGuard,
}

impl Rig {
    /// Creates a rig with at most `connections` connections to data nodes.
    fn new(node: SocketAddr, connections: usize) -> Rig {
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes =
            DataNodes::new(deployment(node), descriptors(connections), memory(), executor.clone(), log);
        Rig { executor, nodes, context: new_context() }
    }

    /// Creates a rig with one data node, which listens on `listener`.
    fn with_node(listener: &TcpListener, connections: usize) -> (Rig, ReplicaId) {
        let address = listener.local_addr().expect("bound");
        let rig = Rig::new(address, connections);
        let replica = rig.list(0, address, EndpointState::Ready, 0);
        (rig, replica)
    }

    fn list(&self, node: u32, address: SocketAddr, state: EndpointState, start_unix_ms: u64) -> ReplicaId {
        self.nodes.register(&ListedDataNode { name: format!("n{node}"), address, state, start_unix_ms })
    }

    /// Starts an attempt of a part. It is written when the executor runs next.
    fn start(&self, replica: ReplicaId, shard: u32) -> Attempt {
        self.start_within(replica, shard, TEST_TIMEOUT)
    }

    fn start_within(&self, replica: ReplicaId, shard: u32, time: Duration) -> Attempt {
        self.start_of(self.context.clone(), replica, shard, time)
    }

    /// Starts the only part of another query.
    fn start_another_query(&self, replica: ReplicaId) -> Attempt {
        self.start_of(new_context(), replica, 0, TEST_TIMEOUT)
    }

    fn start_of(&self, query: Rc<RequestContext>, replica: ReplicaId, shard: u32, time: Duration) -> Attempt {
        let deadline = Instant::now() + time;
        let call = Call::standalone(replica, query, ShardId(shard), Step::First, deadline);
        let (guard, cancellation) = CancellationToken::new();
        let task = self.executor.spawn(self.nodes.clone().call(call, cancellation));
        Attempt { task, guard }
    }

    fn run<T>(&self, future: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(future))
    }

    /// Returns the outcome of an attempt that is not cancelled.
    fn outcome(&self, attempt: Attempt) -> Outcome {
        let Attempt { task, guard: _guard } = attempt;
        self.run(task).outcome
    }

    /// Cancels an attempt and returns its outcome.
    fn outcome_of_cancelled(&self, attempt: Attempt) -> Outcome {
        let Attempt { task, guard } = attempt;
        drop(guard);
        self.run(task).outcome
    }
}

fn new_context() -> Rc<RequestContext> {
    Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()))
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("bound")
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(&frame(text)).expect("written");
}

/// Sends two parts on one connection to a data node that behaves as `node`, and returns their outcomes.
fn outcomes_of_two_parts(node: impl FnOnce(TcpListener, TcpStream) + Send + 'static) -> (Outcome, Outcome) {
    // Each call has its own address: a port that this test releases must not be reused by another test.
    static LAST_BYTE: AtomicU8 = AtomicU8::new(10);
    let last_byte = LAST_BYTE.fetch_add(1, Ordering::Relaxed);
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 0, last_byte), 0)).expect("bound");
    let (rig, replica) = Rig::with_node(&listener, 8);
    let first = rig.start(replica, 3);
    let second = rig.start(replica, 4);
    let node = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        assert!(read_frame(&mut stream).is_some() && read_frame(&mut stream).is_some());
        node(listener, stream);
    });
    let (first_result, second_result) = rig.run(futures_lite::future::zip(first.task, second.task));
    node.join().expect("ran");
    (first_result.outcome, second_result.outcome)
}

/// Waits for a thread while the executor keeps running.
async fn join<T: Send + 'static>(thread: std::thread::JoinHandle<T>) -> T {
    let (send, done) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let _ = send.send_blocking(thread.join().expect("ran"));
    });
    done.recv().await.expect("joined")
}

/// Rule on final answers: a part for which no stream is free would wait unread at the data node, where it
/// cannot be cancelled.
#[test]
fn a_part_without_a_free_stream_is_not_written_until_one_is_freed() {
    let listener = listener();
    let (rig, replica) = Rig::with_node(&listener, 1);
    let mut started: Vec<_> = (1..=STREAMS + 1).map(|shard| rig.start(replica, shard)).collect();
    let (full, is_full) = async_channel::bounded(1);
    let (go, may_go) = async_channel::bounded::<()>(1);
    let node = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        let frames = (0..STREAMS).filter_map(|_| read_frame(&mut stream)).count();
        full.send_blocking(frames).expect("received");
        may_go.recv_blocking().expect("sent");
        send(&mut stream, "a a1.7 served 1 -\nV");
        read_frame(&mut stream).expect("a frame")
    });
    rig.run(async {
        assert_eq!(is_full.recv().await, Ok(STREAMS as usize));
        // The part without a stream is cancelled. The next one gets the stream that is freed.
        let Attempt { task, guard } = started.pop().expect("started");
        drop(guard);
        assert_eq!(task.await.outcome, Outcome::Cancelled);
        started.push(rig.start(replica, 34));
        go.send(()).await.expect("received");
        assert_eq!(started.remove(6).task.await.outcome, Outcome::Succeeded);
        let next = futures_lite::future::or(join(node), async {
            async_io::Timer::after(TEST_TIMEOUT).await;
            String::new()
        });
        assert!(next.await.starts_with("q a1.34 34 "), "the cancelled part was written");
    });
}

/// Rule on final answers: a part that is cancelled while it is queued is not written, even if its connection
/// gets to run before the part's own task.
#[test]
fn a_part_cancelled_in_the_queue_is_never_written() {
    let listener = listener();
    let (rig, replica) = Rig::with_node(&listener, 8);
    let first = rig.start(replica, 1);
    let node = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        let first_frame = read_frame(&mut stream);
        send(&mut stream, "a a1.1 served 1 -\nV");
        let next = read_frame(&mut stream);
        send(&mut stream, "a a1.3 served 1 -\nV");
        (first_frame, next)
    });
    assert_eq!(rig.outcome(first), Outcome::Succeeded);
    // The connection is established and idle. The second part is queued, then cancelled.
    let second = rig.start(replica, 2);
    assert!(rig.executor.try_tick());
    assert_eq!(rig.outcome_of_cancelled(second), Outcome::Cancelled);
    let third = rig.start(replica, 3);
    assert_eq!(rig.outcome(third), Outcome::Succeeded);
    let (first_frame, next) = node.join().expect("ran");
    assert!(first_frame.is_some_and(|f| f.starts_with("q a1.1 ")));
    assert!(next.as_ref().is_some_and(|f| f.starts_with("q a1.3 ")), "{next:?}");
}

/// With more data nodes than connections, the data nodes that are reached last would otherwise get no part
/// at all.
#[test]
fn the_longest_idle_connection_is_evicted_for_one_to_another_data_node() {
    let listeners: Vec<_> = (0..12).map(|_| listener()).collect();
    let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
    let rig = Rig::new(addresses[0], 4);
    let servers = listeners.into_iter().map(|listener| {
        std::thread::spawn(move || {
            let mut stream = listener.accept().expect("accepted").0;
            while read_frame(&mut stream).is_some() {
                send(&mut stream, "a a1.0 served 1 -\nV");
            }
        })
    });
    let servers: Vec<_> = servers.collect();
    for (node, address) in (0..).zip(&addresses) {
        let replica = rig.list(node, *address, EndpointState::Ready, 0);
        let attempt = rig.start_another_query(replica);
        assert_eq!(rig.outcome(attempt), Outcome::Succeeded, "data node {node}");
    }
    // All but the last four connections were closed, and their stubs have seen the end.
    servers.into_iter().take(8).for_each(|s| s.join().expect("ran"));
}

/// Connections to data nodes never take the share reserved for clients, and may use what clients leave free.
#[test]
fn clients_and_data_nodes_each_have_reserved_descriptors() {
    let shared = DescriptorBudget::new(16);
    assert_eq!(shared.max_client_connections(), 12);
    assert_eq!((0..16).filter(|_| shared.try_acquire_backend()).count(), 8, "half, while clients hold few");
    assert_eq!(shared.max_client_connections(), 8);
    (0..8).for_each(|_| shared.release_backend());
    shared.set_client_connections(12);
    assert_eq!(
        (0..16).filter(|_| shared.try_acquire_backend()).count(),
        4,
        "a quarter, when clients hold all the rest"
    );
    assert_eq!(shared.max_client_connections(), 12);
}

/// Guards against parts that wait unread at a data node: cancelled parts occupy their streams until they are
/// answered.
#[test]
fn cancelled_parts_keep_their_streams_on_a_connection() {
    let listener = listener();
    let (rig, replica) = Rig::with_node(&listener, 8);
    let (signal_read, wait_until_read) = async_channel::bounded(1);
    let node = std::thread::spawn(move || {
        let mut full = listener.accept().expect("accepted").0;
        for _ in 0..STREAMS {
            read_frame(&mut full).expect("a part");
        }
        signal_read.send_blocking(()).expect("received");
        let mut stream = listener.accept().expect("accepted").0;
        assert!(read_frame(&mut stream).is_some_and(|f| f.starts_with("q a1.99 ")));
        send(&mut stream, "a a1.99 served 1 -\nV");
    });
    let started: Vec<_> = (0..STREAMS).map(|shard| rig.start(replica, shard)).collect();
    rig.run(wait_until_read.recv()).expect("seen");
    for attempt in started {
        assert_eq!(rig.outcome_of_cancelled(attempt), Outcome::Cancelled);
    }
    let last = rig.start(replica, 99);
    assert_eq!(rig.outcome(last), Outcome::Succeeded);
    node.join().expect("ran");
}

/// A connection may stay open and silent. If an answer is pending on it for too long, the next part uses
/// another connection.
#[test]
fn a_part_avoids_a_connection_that_owes_a_response() {
    let listener = listener();
    let (rig, replica) = Rig::with_node(&listener, 8);
    let outcome_within = |shard, milliseconds| {
        rig.outcome(rig.start_within(replica, shard, Duration::from_millis(milliseconds)))
    };
    let node = std::thread::spawn(move || {
        let mut silent = listener.accept().expect("accepted").0;
        let first = read_frame(&mut silent);
        let mut stream = listener.accept().expect("accepted").0;
        let second = read_frame(&mut stream);
        send(&mut stream, "a a1.4 served 1 -\nV");
        (first, second)
    });
    assert_eq!(outcome_within(3, 300), Outcome::TimedOut);
    assert_eq!(outcome_within(4, 5000), Outcome::Succeeded);
    let (first, second) = node.join().expect("ran");
    assert!(first.is_some_and(|f| f.starts_with("q a1.3 ")));
    assert!(second.is_some_and(|f| f.starts_with("q a1.4 ")));
}

/// A malformed response is not a crash of the data node: the part that it names has failed, the others are
/// lost with their connection, and none counts as reset.
#[test]
fn a_malformed_response_is_an_error_of_its_own_part_alone() {
    let outcomes = outcomes_of_two_parts(|_, mut stream| {
        send(&mut stream, "a a1.4 nonsense 1 -\nV");
        assert_eq!(read_frame(&mut stream), None, "the connection is closed");
    });
    assert_eq!(outcomes, (Outcome::ConnectionLost, Outcome::Error));
}

/// Data nodes may close a connection with parts in flight. Only a data node that accepts no new connection
/// has crashed.
#[test]
fn a_lost_connection_is_a_crash_only_if_no_new_one_is_accepted() {
    let outcomes = outcomes_of_two_parts(|listener, stream| {
        drop(stream);
        drop(listener.accept().expect("the liveness check connects"));
    });
    assert_eq!(outcomes, (Outcome::ConnectionLost, Outcome::ConnectionLost));
    let outcomes = outcomes_of_two_parts(|listener, stream| {
        let address = listener.local_addr().expect("bound");
        drop(listener);
        // A process that another test starts also holds the listener, from its fork to its exec.
        while TcpStream::connect(address).is_ok() {}
        drop(stream);
    });
    assert_eq!(outcomes, (Outcome::Reset, Outcome::Reset));
}

/// Memory stays bounded over a long run, and a restarted data node is not taken for a new one.
#[test]
fn removed_data_nodes_expire_and_their_ids_are_never_reused() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let rig = Rig::new(address, 8);
    let list = |node: u32, state| rig.list(node, address, state, 0);
    let first: Vec<_> = (0..3).map(|node| list(node, EndpointState::Ready)).collect();
    rig.nodes.retain_listed(&first[1..].iter().copied().collect());
    let now = Instant::now();
    rig.nodes.forget_removed(now + Duration::from_secs(10));
    assert_eq!((rig.nodes.known_count(), list(0, EndpointState::Removed)), (3, first[0]), "it may come back");
    rig.nodes.forget_removed(now + Duration::from_secs(60));
    assert_eq!(rig.nodes.known_count(), 2);
    assert_eq!(list(1, EndpointState::Ready), first[1]);
    assert!(!first.contains(&list(0, EndpointState::Ready)), "a new one by now");
}

/// Rule on drains: an attempt that was decided while its data node was ready, and then waited for a
/// connection, is not written once the data node drains, is removed, or is a new process.
#[test]
fn a_send_that_waits_on_a_connect_is_stopped_by_a_drain_or_a_new_incarnation() {
    let listener = listener();
    let address = listener.local_addr().expect("bound");
    for (state, start_unix_ms) in
        [(EndpointState::Draining, 0), (EndpointState::Removed, 0), (EndpointState::Ready, 7)]
    {
        let (rig, replica) = Rig::with_node(&listener, 8);
        assert_eq!(replica, ReplicaId(1));
        let attempt = rig.start_within(replica, 0, Duration::from_secs(5));
        // The attempt is started and queued on a connection that is not established yet.
        assert!(rig.executor.try_tick());
        rig.list(0, address, state, start_unix_ms);
        // A new incarnation closes the connections of the old one. Nothing was written there either, and the
        // new process refused nothing.
        assert_eq!(rig.outcome(attempt), Outcome::NeverSent, "{state:?} {start_unix_ms}");
    }
}
