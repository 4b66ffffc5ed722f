//! Pieces of the network code by themselves, and the program's start.
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use common::*;
use marlgap::core::{Call, Clock, Step, Stop, Transport};
use marlgap::interface::{Outcome, Phase, ReplicaId, ShardId};
use marlgap::net::descriptors::Descriptors;
use marlgap::net::frames::{self, FrameError};
use marlgap::net::http::{self, HttpError, Kind};
use marlgap::net::nodes::{Carried, Entry, Nodes};
use marlgap::net::opensearch::{merge, query};
use marlgap::net::records;

fn told(node: SocketAddr) -> marlgap::settings::Deployment {
    // A folder each: tests run side by side.
    let folder = configure(&format!("parts{}", node.port()), &[node], node, 1, 75);
    let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    marlgap::settings::parse(config["settings"].to_string().as_bytes()).expect("settings")
}

/// Descriptors of which so many are for connections to data nodes.
fn room(connections: usize) -> Rc<Descriptors> {
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
    let nodes = Nodes::new(told(address), room(8), executor.clone(), log);
    let replica = nodes.list(&Entry { name: "n0".to_owned(), address, phase: Phase::Ready, born: 0 });
    let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::alone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = Stop::new();
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
    let nodes =
        Nodes::new(told(address), room(1), executor.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let replica = nodes.list(&Entry { name: "n0".to_owned(), address, phase: Phase::Ready, born: 0 });
    let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::alone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = Stop::new();
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
        assert_eq!(begun.remove(6).0.await.outcome, Outcome::Served);
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
    let nodes =
        Nodes::new(told(address), room(8), executor.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let replica = nodes.list(&Entry { name: "n0".to_owned(), address, phase: Phase::Ready, born: 0 });
    let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::alone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = Stop::new();
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
    assert_eq!(async_io::block_on(executor.run(first.0)).outcome, Outcome::Served);
    // The connection is up and rests. The second part is queued, then called off.
    let second = begin(2);
    assert!(executor.try_tick());
    drop(second.1);
    assert_eq!(async_io::block_on(executor.run(second.0)).outcome, Outcome::Cancelled);
    let third = begin(3);
    assert_eq!(async_io::block_on(executor.run(third.0)).outcome, Outcome::Served);
    let (one, next) = node.join().expect("ran");
    assert!(one.is_some_and(|f| f.starts_with("q a1.1 ")));
    assert!(next.as_ref().is_some_and(|f| f.starts_with("q a1.3 ")), "{next:?}");
}

/// Guards a fleet of more data nodes than there is room for connections: those met last got no part at all.
#[test]
fn the_longest_idle_connection_makes_way_for_one_to_another_data_node() {
    let executor = Rc::new(LocalExecutor::new());
    let listeners: Vec<_> = (0..12).map(|_| TcpListener::bind("127.0.0.1:0").expect("bound")).collect();
    let addresses: Vec<_> = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let nodes = Nodes::new(told(addresses[0]), room(4), executor.clone(), log);
    let stands = listeners.into_iter().map(|listener| {
        std::thread::spawn(move || {
            let mut stream = listener.accept().expect("accepted").0;
            while read_frame(&mut stream).is_some() {
                stream.write_all(&frame("a a1.0 served 1 -\nV")).expect("written");
            }
        })
    });
    let stands: Vec<_> = stands.collect();
    for (n, address) in addresses.iter().enumerate() {
        let entry = Entry { name: format!("n{n}"), address: *address, phase: Phase::Ready, born: 0 };
        let replica = nodes.list(&entry);
        let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
        let call = Call::alone(replica, carried, ShardId(0), Step::First, Instant::now() + PATIENCE);
        let (_hold, stop) = Stop::new();
        let ended = async_io::block_on(executor.run(nodes.clone().call(call, stop)));
        assert_eq!(ended.outcome, Outcome::Served, "data node {n}");
    }
    // All but the last four were closed: their stand-ins have seen the end.
    stands.into_iter().take(8).for_each(|s| s.join().expect("ran"));
}

/// Guards the clients' room: connections to data nodes never take it, and take what clients leave.
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
    let nodes =
        Nodes::new(told(address), room(8), executor.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let replica = nodes.list(&Entry { name: "n0".to_owned(), address, phase: Phase::Ready, born: 0 });
    let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
    let deadline = Instant::now() + PATIENCE;
    let begin = |shard| {
        let call = Call::alone(replica, carried.clone(), ShardId(shard), Step::First, deadline);
        let (hold, stop) = Stop::new();
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
    assert_eq!(async_io::block_on(executor.run(last.0)).outcome, Outcome::Served);
    node.join().expect("ran");
}

/// Guards against connections that stay open and silent: where one owes an answer, the next part goes to another.
#[test]
fn a_part_does_not_follow_others_onto_a_silent_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let executor = Rc::new(LocalExecutor::new());
    let nodes =
        Nodes::new(told(address), room(8), executor.clone(), slog::Logger::root(slog::Discard, slog::o!()));
    let replica = nodes.list(&Entry { name: "n0".to_owned(), address, phase: Phase::Ready, born: 0 });
    let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
    let ask = |shard, wait| {
        let (carried, deadline) = (carried.clone(), Instant::now() + Duration::from_millis(wait));
        let call = Call::alone(replica, carried, ShardId(shard), Step::First, deadline);
        let (_hold, stop) = Stop::new();
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
    assert_eq!(ask(4, 5000), Outcome::Served);
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
    assert_eq!(outcomes, (Outcome::Dropped, Outcome::Error));
}

/// Guards data nodes that close a connection with parts out: only one that takes no new one has died.
#[test]
fn a_broken_connection_is_a_death_only_where_no_new_one_comes_up() {
    let outcomes = two_parts(|listener, stream| {
        drop(stream);
        drop(listener.accept().expect("asked whether it lives"));
    });
    assert_eq!(outcomes, (Outcome::Dropped, Outcome::Dropped));
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
    let nodes = Nodes::new(told(address), room(8), Rc::new(LocalExecutor::new()), log);
    let list = |n: u32, phase| nodes.list(&Entry { name: format!("n{n}"), address, phase, born: 0 });
    let first: Vec<_> = (0..3).map(|n| list(n, Phase::Ready)).collect();
    nodes.keep_only(&first[1..].iter().copied().collect());
    let now = Instant::now();
    nodes.forget(now + Duration::from_secs(10));
    assert_eq!((nodes.known(), list(0, Phase::Gone)), (3, first[0]), "it may come back");
    nodes.forget(now + Duration::from_secs(60));
    assert_eq!(nodes.known(), 2);
    assert_eq!(list(1, Phase::Ready), first[1]);
    assert!(!first.contains(&list(0, Phase::Ready)), "a new one by now");
}

/// Guards the rule on drains: a send that was decided on while its node was up, and then waited for a
/// connection, is not written once the node drains, is gone, or begins a new life.
#[test]
fn a_send_that_waits_on_a_connect_is_stopped_by_a_drain_or_a_new_life() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let told = told(address);
    for (phase, born) in [(Phase::Draining, 0), (Phase::Gone, 0), (Phase::Ready, 7)] {
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes = Nodes::new(told.clone(), room(8), executor.clone(), log);
        let entry = |phase, born| Entry { name: "n0".to_owned(), address, phase, born };
        let replica = nodes.list(&entry(Phase::Ready, 0));
        assert_eq!(replica, ReplicaId(1));
        let carried = Rc::new(Carried::new("a1".to_owned(), b"hi".to_vec()));
        let deadline = Instant::now() + Duration::from_secs(5);
        let call = Call::alone(replica, carried, ShardId(0), Step::First, deadline);
        let (_hold, stop) = Stop::new();
        let attempt = executor.spawn(nodes.clone().call(call, stop));
        // Begun, and queued on a connection that is not up yet.
        assert!(executor.try_tick());
        nodes.list(&entry(phase, born));
        let ended = async_io::block_on(executor.run(attempt));
        // A new life ends its old connections, so there nothing was written either.
        let expected = if born > 0 { Outcome::NoConnection } else { Outcome::NotSent };
        assert_eq!(ended.outcome, expected, "{phase:?}");
    }
}

/// Guards against taking one birth for two: the same Unix time is the same on the module's clock.
#[test]
fn a_birth_has_one_place_on_the_clock() {
    let clock = Clock::new();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let born = clock.born(now.as_millis() as u64 - 5000);
    assert_eq!(born, clock.born(now.as_millis() as u64 - 5000));
    let age = clock.at(Instant::now()) - born.expect("told");
    assert!((4.9..6.0).contains(&age), "{age}");
    assert_eq!(clock.born(0), None);
}

#[test]
fn frames_are_read_whole_or_not_at_all() {
    let bytes = frame("a a1.3.b served 17 inflight=7,util=0.61\nV");
    for n in 0..bytes.len() {
        assert_eq!(frames::parse(&bytes[..n]), Ok(None));
    }
    let (found, length) = frames::parse(&bytes).expect("sound").expect("whole");
    assert_eq!(length, bytes.len());
    let frames::Frame::Answer { id, report, value, .. } = found else { panic!("{found:?}") };
    assert_eq!((id, value), ("a1.3.b", &b"V"[..]));
    assert_eq!((frames::reported(report, "load_share"), frames::reported(report, "concurrent")), (0.61, 7.0));
    assert!(frames::reported(report, "tps").is_nan());
    assert_eq!(frames::parse(&[0, 0, 0, 0]), Err(FrameError::Length(0)));
    assert_eq!(frames::parse(&[255; 4]), Err(FrameError::Length(u32::MAX as usize)));
    assert_eq!(frames::parse(&frame("x y")), Err(FrameError::Letter(b'x')));
    for bad in ["a a1.3 served", "a a1.3 served 1 -", "a a1.3 gone 1 -\n", "a a1.3 served nan -\n"] {
        assert_eq!(frames::parse(&frame(bad)), Err(FrameError::Line), "{bad}");
    }
}

#[test]
fn messages_are_bounded_and_their_chunks_checked() {
    let parse = |text: &str| http::parse(text.as_bytes(), Kind::Request, 8);
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("\r\n{head}3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\nnext");
    for n in 0..whole.len() - 4 {
        assert!(matches!(parse(&whole[..n]), Ok(None)), "{n}");
    }
    let message = parse(&whole).expect("sound").expect("whole");
    assert_eq!(message.length, whole.len() - 4);
    assert!(matches!(parse(&format!("{head}9\r\n")), Err(HttpError::TooLarge)));
    assert!(matches!(parse(&format!("{head}ffffffffffffffff\r\n")), Err(HttpError::TooLarge)));
    assert!(matches!(parse(&format!("{head}3\r\nabcd\r\n")), Err(HttpError::Malformed(_))));
    for bad in
        ["Content-Length: +1", "Content-Length: 1\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip"]
    {
        let text = format!("POST / HTTP/1.1\r\n{bad}\r\n\r\n");
        assert!(matches!(parse(&text), Err(HttpError::Malformed(_))), "{bad}");
    }
}

const RECORDS: &str = "$ORIGIN t.test.\n$TTL 10\n_s._tcp IN PTR a\\032b._s._tcp\n_s._tcp IN PTR none._s._tcp\n\
    a\\032b._s._tcp IN SRV 5 0 99 other\na\\032b._s._tcp IN SRV 0 0 9201 h\n\
    a\\032b._s._tcp IN TXT \"Cell=3\" \"cell=4\" \"state=draining\" \"zone=tema\" \"born_ms=9\"\nh IN A 127.0.0.1\n";

#[test]
fn records_name_servers_and_bad_ones_are_refused() {
    let parse = |text: &str| records::parse(text.as_bytes(), "_s._tcp.T.test.");
    let servers = parse(RECORDS).expect("sound");
    assert_eq!(servers.len(), 1, "one has no place: {servers:?}");
    let server = &servers[0];
    assert_eq!(server.address, SocketAddr::from(([127, 0, 0, 1], 9201)), "the better priority");
    assert_eq!((server.cell, server.phase, &server.zone[..], server.born), (3, Phase::Draining, "tema", 9));
    for (from, to) in
        [("Cell=3\" \"cell=4", "x"), ("draining", "tired"), ("born_ms=9", "born_ms=x"), (" 9201", " x")]
    {
        assert!(parse(&RECORDS.replace(from, to)).is_err(), "{from} -> {to}");
    }
    assert!(parse("$INCLUDE other\n").is_err());
    assert_eq!(parse("").expect("empty is sound"), []);
}

#[test]
fn hits_are_merged_by_their_sort_values_with_missing_ones_last() {
    let body = br#"{"sort":[{"area":"desc"},"_score"],"size":4,"track_total_hits":false}"#;
    let search = query::parse("fields", "", body).expect("understood");
    let reply = |hits: &str| {
        format!(r#"{{"_shards":{{"successful":1,"failed":0}},"hits":{{"max_score":null,"hits":[{hits}]}}}}"#)
    };
    let one = reply(r#"{"_id":"a","sort":[9,1.0]},{"_id":"b","sort":[5,2.0]},{"_id":"c","sort":[null,9]}"#);
    let two = reply(r#"{"_id":"d","sort":[10,1.0]},{"_id":"e","sort":[5,3.0]}"#);
    assert!(merge::check(one.as_bytes(), true, 2).is_ok());
    assert!(merge::check(one.as_bytes(), true, 1).is_err(), "not in this order");
    let values = [(ShardId(0), Rc::from(one.as_bytes())), (ShardId(1), Rc::from(two.as_bytes()))];
    let lacks = merge::Lacks { total: 2, failures: Vec::new(), timed_out: false };
    let merged = merge::merge(&search, &values, &lacks, 7).expect("merged");
    let merged: serde_json::Value = serde_json::from_str(&merged).expect("JSON");
    let ids: Vec<_> =
        merged["hits"]["hits"].as_array().expect("hits").iter().map(|h| h["_id"].as_str()).collect();
    assert_eq!(ids, [Some("d"), Some("a"), Some("e"), Some("b")]);
    assert_eq!((&merged["hits"]["total"], &merged["took"]), (&serde_json::Value::Null, &7.into()));
}

/// What cannot be used ends the program with one line and a status that is not zero.
#[test]
fn a_bad_configuration_is_one_line_and_a_status() {
    let at = SocketAddr::from(([127, 0, 0, 1], 9));
    let folder = configure("bad", &[at], at, 1, 75);
    let good = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let api = std::fs::read_to_string(folder.join("marlgap.json5")).expect("read");
    let run = |config: &str, api: &str, arguments: &[&str]| {
        std::fs::write(folder.join("config.json"), config).expect("written");
        std::fs::write(folder.join("marlgap.json5"), api).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlgap"));
        command.env("RELAY_CONFIG", folder.join("config.json")).current_dir(&folder).args(arguments);
        let output = command.output().expect("it runs");
        let said = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && said.lines().count() == 1, "{said}");
        said
    };
    assert!(run("{", &api, &[]).contains("configuration: "));
    assert!(run(&good.replace("127.0.0.1:0", "nowhere"), &api, &[]).contains("'nowhere' is not an address"));
    assert!(run(&good.replace("\"seed\":\"1\"", "\"seed\":\"xyz\""), &api, &[]).contains("seed"));
    assert!(run(&good.replace("Positions", "Other"), &api, &[]).contains("FamilyInfo.Positions"));
    assert!(run(&good.replace("\"AimS\":4.0", "\"AimS\":-4.0"), &api, &[])
        .contains("AimS is not above 0 (class 0)"));
    // The operator's file: each fault with its path, line and column.
    let search = ["serve", "--config", "marlgap.json5"];
    let faults = [
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":5", "query_api.listen: "),
        ("\"records\"", "\"record\"", "query_api.record: unknown field"),
        (
            "\"field-lookup\",\"overlaps\"",
            "\"no-class\",\"overlaps\"",
            "query_api.indices.fields: no class 'no-class'",
        ),
        ("\"overlaps\":\"overlap-check\"", "\"overlaps\":\"field-lookup\"", "has another index"),
        ("\"AimS\":4.0", "\"AimS\":\"4\"", "settings.Classes[0].AimS: "),
        (
            "\"Shards\":24",
            "\"Shards\":0",
            "settings.FamilyInfo.Shards: FamilyInfo.Shards is not a whole number",
        ),
        ("\"Shards\":24", "\"Other\":24", "settings: FamilyInfo.Shards is missing or 0"),
    ];
    for (old, new, said) in faults {
        assert!(api.contains(old), "{old} in {api}");
        let line = run(&good, &api.replace(old, new), &search);
        assert!(line.starts_with("marlgap: marlgap.json5:1:") && line.contains(said), "{line}");
    }
    assert!(run(&good, "{ settings: {", &search).contains("marlgap.json5:1:"));
    assert!(run(&good, &api.replace("\"zone\"", "\"nozone\""), &search).contains("cannot read"));
}
