//! Connections to data nodes by themselves: places, descriptors, queues, deaths and drains.
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use common::*;
use marlgap::balancer::interface::{EndpointState, Outcome, ReplicaId, ShardId};
use marlgap::coordinator::{Call, CancellationToken, Step, Transport};
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::Descriptors;

fn deployment(node: SocketAddr) -> marlgap::config::settings::Deployment {
    // A folder each: tests run side by side.
    let folder = configure(&format!("parts{}", node.port()), &[node], node, 1, 75);
    let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    marlgap::config::settings::parse(config["settings"].to_string().as_bytes()).expect("settings")
}

/// Descriptors of which so many are for connections to data nodes.
fn descriptors(connections: usize) -> Rc<Descriptors> {
    Rc::new(Descriptors::new(2 * connections))
}

/// Two parts on one connection to a data node that does as told; how they ended.
fn two_parts(node: impl FnOnce(TcpListener, TcpStream) + Send + 'static) -> (Outcome, Outcome) {
    // An address of its own: a port that this test gives back must not be another's next one.
    static LAST: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(10);
    let own = LAST.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let listener = TcpListener::bind((std::net::Ipv4Addr::new(127, 0, 0, own), 0)).expect("bound");
    let address = listener.local_addr().expect("bound");
    let executor = Rc::new(LocalExecutor::new());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let nodes = DataNodes::new(deployment(address), descriptors(8), executor.clone(), log);
    let replica =
        nodes.list(&ListedDataNode { name: "n0".to_owned(), address, phase: EndpointState::Ready, born: 0 });
    let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::standalone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = CancellationToken::new();
        let attempt = executor.spawn(nodes.clone().call(call, stop));
        async move { (attempt.await.outcome, hold).0 }
    };
    let (first, second) = (begin(3), begin(4));
    let node = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        assert!(read_frame(&mut stream).is_some() && read_frame(&mut stream).is_some());
        node(listener, stream);
    });
    let outcomes = async_io::block_on(executor.run(futures_lite::future::zip(first, second)));
    node.join().expect("ran");
    outcomes
}

/// Guards the rule on final answers: what a data node has no place for would wait unread there, out of our reach.
#[test]
fn a_part_without_a_place_stays_with_us_until_there_is_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let executor = Rc::new(LocalExecutor::new());
    // One connection, of 32 places.
    let nodes = DataNodes::new(
        deployment(address),
        descriptors(1),
        executor.clone(),
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    let replica =
        nodes.list(&ListedDataNode { name: "n0".to_owned(), address, phase: EndpointState::Ready, born: 0 });
    let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::standalone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = CancellationToken::new();
        (executor.spawn(nodes.clone().call(call, stop)), hold)
    };
    let mut begun: Vec<_> = (1..=33).map(begin).collect();
    let ((full, is_full), (go, gone)) = (async_channel::bounded(1), async_channel::bounded::<()>(1));
    let node = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        let frames = (0..32).filter_map(|_| read_frame(&mut stream)).count();
        full.send_blocking(frames).expect("heard");
        gone.recv_blocking().expect("told");
        stream.write_all(&frame("a a1.7 served 1 -\nV")).expect("written");
        read_frame(&mut stream).expect("a frame")
    });
    async_io::block_on(executor.run(async {
        assert_eq!(is_full.recv().await, Ok(32));
        // The one without a place is called off; the next one gets the place that is freed.
        let (last, hold) = begun.pop().expect("begun");
        drop(hold);
        assert_eq!(last.await.outcome, Outcome::Cancelled);
        begun.push(begin(34));
        go.send(()).await.expect("heard");
        assert_eq!(begun.remove(6).0.await.outcome, Outcome::Succeeded);
        let next = futures_lite::future::or(async { blocking_join(node).await }, async {
            async_io::Timer::at(deadline).await;
            String::new()
        });
        assert!(next.await.starts_with("q a1.34 34 "), "the part that was called off went out");
    }));
}

/// Wait for a thread while the executor runs on.
async fn blocking_join<T: Send + 'static>(thread: std::thread::JoinHandle<T>) -> T {
    let (send, done) = async_channel::bounded(1);
    std::thread::spawn(move || drop(send.send_blocking(thread.join().expect("ran"))));
    done.recv().await.expect("joined")
}

/// Guards the rule on final answers: a part that waits for its turn on a connection is not written once it is
/// called off, even where its connection's turn comes before its own.
#[test]
fn a_part_called_off_in_the_queue_is_never_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let executor = Rc::new(LocalExecutor::new());
    let nodes = DataNodes::new(
        deployment(address),
        descriptors(8),
        executor.clone(),
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    let replica =
        nodes.list(&ListedDataNode { name: "n0".to_owned(), address, phase: EndpointState::Ready, born: 0 });
    let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::standalone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = CancellationToken::new();
        (executor.spawn(nodes.clone().call(call, stop)), hold)
    };
    let first = begin(1);
    let node = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        let one = read_frame(&mut stream);
        stream.write_all(&frame("a a1.1 served 1 -\nV")).expect("written");
        let next = read_frame(&mut stream);
        stream.write_all(&frame("a a1.3 served 1 -\nV")).expect("written");
        (one, next)
    });
    assert_eq!(async_io::block_on(executor.run(first.0)).outcome, Outcome::Succeeded);
    // The connection is up and rests. The second part is queued, then called off.
    let second = begin(2);
    assert!(executor.try_tick());
    drop(second.1);
    assert_eq!(async_io::block_on(executor.run(second.0)).outcome, Outcome::Cancelled);
    let third = begin(3);
    assert_eq!(async_io::block_on(executor.run(third.0)).outcome, Outcome::Succeeded);
    let (one, next) = node.join().expect("ran");
    assert!(one.is_some_and(|f| f.starts_with("q a1.1 ")));
    assert!(next.as_ref().is_some_and(|f| f.starts_with("q a1.3 ")), "{next:?}");
}

/// Guards a fleet of more data nodes than connections may be open: those met last got no part at all.
#[test]
fn the_longest_idle_connection_makes_way_for_one_to_another_data_node() {
    let executor = Rc::new(LocalExecutor::new());
    let listeners: Vec<_> = (0..12).map(|_| TcpListener::bind("127.0.0.1:0").expect("bound")).collect();
    let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let nodes = DataNodes::new(deployment(addresses[0]), descriptors(4), executor.clone(), log);
    let servers = listeners.into_iter().map(|listener| {
        std::thread::spawn(move || {
            let mut stream = listener.accept().expect("accepted").0;
            while read_frame(&mut stream).is_some() {
                stream.write_all(&frame("a a1.0 served 1 -\nV")).expect("written");
            }
        })
    });
    let servers: Vec<_> = servers.collect();
    for (n, address) in addresses.iter().enumerate() {
        let entry =
            ListedDataNode { name: format!("n{n}"), address: *address, phase: EndpointState::Ready, born: 0 };
        let replica = nodes.list(&entry);
        let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
        let call = Call::standalone(replica, carried, ShardId(0), Step::First, Instant::now() + PATIENCE);
        let (_hold, stop) = CancellationToken::new();
        let ended = async_io::block_on(executor.run(nodes.clone().call(call, stop)));
        assert_eq!(ended.outcome, Outcome::Succeeded, "data node {n}");
    }
    // All but the last four were closed: their stand-ins have seen the end.
    servers.into_iter().take(8).for_each(|s| s.join().expect("ran"));
}

/// Guards the clients' share: connections to data nodes never take it, and take what clients leave.
#[test]
fn each_side_has_descriptors_that_the_other_cannot_take() {
    let shared = Descriptors::new(16);
    assert_eq!(shared.most_clients(), 12);
    assert_eq!((0..16).filter(|_| shared.take()).count(), 8, "half, while clients hold few");
    assert_eq!(shared.most_clients(), 8);
    (0..8).for_each(|_| shared.give_back());
    shared.hold(12);
    assert_eq!((0..16).filter(|_| shared.take()).count(), 4, "a quarter, when clients hold all the rest");
    assert_eq!(shared.most_clients(), 12);
}

/// Guards against parts that wait unread at a data node: given-up ones hold their places until they are answered.
#[test]
fn given_up_parts_hold_their_places_on_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let executor = Rc::new(LocalExecutor::new());
    let nodes = DataNodes::new(
        deployment(address),
        descriptors(8),
        executor.clone(),
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    let replica =
        nodes.list(&ListedDataNode { name: "n0".to_owned(), address, phase: EndpointState::Ready, born: 0 });
    let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::standalone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = CancellationToken::new();
        (executor.spawn(nodes.clone().call(call, stop)), hold)
    };
    let (seen, all_seen) = async_channel::bounded(1);
    let node = std::thread::spawn(move || {
        let mut full = listener.accept().expect("accepted").0;
        (0..32).for_each(|_| drop(read_frame(&mut full).expect("a part")));
        seen.send_blocking(()).expect("told");
        let mut stream = listener.accept().expect("accepted").0;
        assert!(read_frame(&mut stream).is_some_and(|f| f.starts_with("q a1.99 ")));
        stream.write_all(&frame("a a1.99 served 1 -\nV")).expect("written");
    });
    let begun: Vec<_> = (0..32).map(begin).collect();
    async_io::block_on(executor.run(all_seen.recv())).expect("seen");
    for (attempt, hold) in begun {
        drop(hold);
        assert_eq!(async_io::block_on(executor.run(attempt)).outcome, Outcome::Cancelled);
    }
    let last = begin(99);
    assert_eq!(async_io::block_on(executor.run(last.0)).outcome, Outcome::Succeeded);
    node.join().expect("ran");
}

/// Guards against connections that stay open and silent: where one owes an answer, the next part goes to another.
#[test]
fn a_part_does_not_follow_others_onto_a_silent_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let executor = Rc::new(LocalExecutor::new());
    let nodes = DataNodes::new(
        deployment(address),
        descriptors(8),
        executor.clone(),
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    let replica =
        nodes.list(&ListedDataNode { name: "n0".to_owned(), address, phase: EndpointState::Ready, born: 0 });
    let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
    let ask = |shard, wait| {
        let (carried, deadline) = (carried.clone(), Instant::now() + Duration::from_millis(wait));
        let call = Call::standalone(replica, carried, ShardId(shard), Step::First, deadline);
        let (_hold, stop) = CancellationToken::new();
        async_io::block_on(executor.run(nodes.clone().call(call, stop))).outcome
    };
    let node = std::thread::spawn(move || {
        let mut silent = listener.accept().expect("accepted").0;
        let first = read_frame(&mut silent);
        let mut stream = listener.accept().expect("accepted").0;
        let second = read_frame(&mut stream);
        stream.write_all(&frame("a a1.4 served 1 -\nV")).expect("written");
        (first, second)
    });
    assert_eq!(ask(3, 300), Outcome::TimedOut);
    assert_eq!(ask(4, 5000), Outcome::Succeeded);
    let (first, second) = node.join().expect("ran");
    assert!(
        first.is_some_and(|f| f.starts_with("q a1.3 ")) && second.is_some_and(|f| f.starts_with("q a1.4 "))
    );
}

/// Guards against holding a spoilt answer for the death of a data node: the part that it names has failed,
/// the others went down with its connection, none counts as reset.
#[test]
fn a_spoilt_answer_is_an_error_of_its_own_part_alone() {
    let outcomes = two_parts(|_, mut stream| {
        stream.write_all(&frame("a a1.4 nonsense 1 -\nV")).expect("written");
        assert_eq!(read_frame(&mut stream), None, "the connection is given up");
    });
    assert_eq!(outcomes, (Outcome::ConnectionLost, Outcome::Error));
}

/// Guards data nodes that close a connection with parts out: only one that takes no new one has died.
#[test]
fn a_broken_connection_is_a_death_only_where_no_new_one_comes_up() {
    let outcomes = two_parts(|listener, stream| {
        drop(stream);
        drop(listener.accept().expect("asked whether it lives"));
    });
    assert_eq!(outcomes, (Outcome::ConnectionLost, Outcome::ConnectionLost));
    let outcomes = two_parts(|listener, stream| {
        let address = listener.local_addr().expect("bound");
        drop(listener);
        // A program that another test starts holds the listener too, from its fork to its exec.
        while TcpStream::connect(address).is_ok() {}
        drop(stream);
    });
    assert_eq!(outcomes, (Outcome::Reset, Outcome::Reset));
}

/// Guards a long run against growing, and its data nodes' restarts against being taken for new data nodes.
#[test]
fn data_nodes_long_gone_are_forgotten_and_their_numbers_never_given_again() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let nodes = DataNodes::new(deployment(address), descriptors(8), Rc::new(LocalExecutor::new()), log);
    let list = |n: u32, phase| nodes.list(&ListedDataNode { name: format!("n{n}"), address, phase, born: 0 });
    let first: Vec<_> = (0..3).map(|n| list(n, EndpointState::Ready)).collect();
    nodes.keep_only(&first[1..].iter().copied().collect());
    let now = Instant::now();
    nodes.forget(now + Duration::from_secs(10));
    assert_eq!((nodes.known(), list(0, EndpointState::Removed)), (3, first[0]), "it may come back");
    nodes.forget(now + Duration::from_secs(60));
    assert_eq!(nodes.known(), 2);
    assert_eq!(list(1, EndpointState::Ready), first[1]);
    assert!(!first.contains(&list(0, EndpointState::Ready)), "a new one by now");
}

/// Guards the rule on drains: a send that was decided on while its node was up, and then waited for a
/// connection, is not written once the node drains, is gone, or begins a new life.
#[test]
fn a_send_that_waits_on_a_connect_is_stopped_by_a_drain_or_a_new_life() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let deployment = deployment(address);
    for (phase, born) in
        [(EndpointState::Draining, 0), (EndpointState::Removed, 0), (EndpointState::Ready, 7)]
    {
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes = DataNodes::new(deployment.clone(), descriptors(8), executor.clone(), log);
        let entry = |phase, born| ListedDataNode { name: "n0".to_owned(), address, phase, born };
        let replica = nodes.list(&entry(EndpointState::Ready, 0));
        assert_eq!(replica, ReplicaId(1));
        let carried = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
        let deadline = Instant::now() + Duration::from_secs(5);
        let call = Call::standalone(replica, carried, ShardId(0), Step::First, deadline);
        let (_hold, stop) = CancellationToken::new();
        let attempt = executor.spawn(nodes.clone().call(call, stop));
        // Begun, and queued on a connection that is not up yet.
        assert!(executor.try_tick());
        nodes.list(&entry(phase, born));
        let ended = async_io::block_on(executor.run(attempt));
        // A new life ends its old connections: nothing was written there either, and the new process refused nothing.
        assert_eq!(ended.outcome, Outcome::NeverSent, "{phase:?} {born}");
    }
}
