//! Without hedging, no second attempt of a part may run concurrently with another. An attempt that
//! the coordinator ends must therefore have finished at its data node before its outcome is
//! reported, because the next attempt starts immediately.
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
use marlgap::net::descriptors::DescriptorBudget;

struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Rc<DataNodes>,
    replica: ReplicaId,
    keep_alive: Vec<async_channel::Sender<std::convert::Infallible>>,
}

impl Rig {
    /// Creates a rig with one data node, played by `node`; `hedging` is whether attempts of a part
    /// may run concurrently.
    fn new(name: &str, hedging: bool, node: impl FnOnce(TcpListener) + Send + 'static) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let folder = write_configuration(name, &[address], address, 1, 75);
        let mut deployment = deployment(&folder);
        deployment.settings.hedging = hedging;
        let executor = Rc::new(LocalExecutor::new());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let nodes =
            DataNodes::new(deployment, Rc::new(DescriptorBudget::new(64)), memory(), executor.clone(), log);
        let replica = nodes.register(&ListedDataNode {
            name: "n0".to_owned(),
            address,
            state: EndpointState::Ready,
            start_unix_ms: 0,
        });
        std::thread::spawn(move || node(listener));
        Rig { executor, nodes, replica, keep_alive: Vec::new() }
    }

    fn start(&mut self, shard: u32, deadline: Instant) -> Task<AttemptResult> {
        let context = Rc::new(RequestContext::new("a1".to_owned(), b"hi".to_vec()));
        let call = Call::standalone(self.replica, context, ShardId(shard), Step::First, deadline);
        let (keep_alive, token) = CancellationToken::new();
        self.keep_alive.push(keep_alive);
        self.executor.spawn(self.nodes.clone().call(call, token))
    }

    fn outcome(&self, attempt: Task<AttemptResult>) -> Outcome {
        async_io::block_on(self.executor.run(attempt)).outcome
    }
}

/// Returns the timeout in a part's frame, in milliseconds.
fn timeout_ms(frame: &str) -> u64 {
    let value = frame.split("d=").nth(1).and_then(|l| l.split([' ', ',']).next());
    value.and_then(|n| n.parse().ok()).expect("a timeout")
}

fn send_answer(mut stream: &TcpStream, text: &str) {
    stream.write_all(&frame(text)).expect("written");
}

/// Sends a part on a connection that falls silent after the data node has read it, while another
/// connection answers. Returns the part's outcome, and whether the part was in flight until its
/// deadline instead of until its connection was given up.
fn outcome_on_silent_connection(hedging: bool) -> (Outcome, bool) {
    let name = format!("silent_copy_{hedging}");
    let mut rig = Rig::new(&name, hedging, |listener| {
        let mut silent = listener.accept().expect("accepted").0;
        read_frame(&mut silent).expect("the first part");
        // The second connection answers each part.
        let mut stream = listener.accept().expect("accepted").0;
        while let Some(part) = read_frame(&mut stream) {
            let id = part[2..].split(' ').next().expect("an id");
            send_answer(&stream, &format!("a {id} served 1 -\nV"));
        }
        drop(silent);
    });
    let deadline = Instant::now() + Duration::from_millis(1500);
    let first = rig.start(1, deadline);
    // Sends parts until the connection of the first one has been given up.
    for shard in 2.. {
        if first.is_finished() || Instant::now() > deadline {
            break;
        }
        let next = rig.start(shard, Instant::now() + Duration::from_millis(200));
        rig.outcome(next);
        async_io::block_on(rig.executor.run(async_io::Timer::after(Duration::from_millis(20))));
    }
    (rig.outcome(first), Instant::now() >= deadline)
}

/// Required for hedging to be off: the part may still be running although its connection is silent,
/// and the data node is not notified when the coordinator closes the connection.
#[test]
fn a_part_on_a_silent_connection_is_in_flight_until_its_deadline_without_hedging() {
    assert_eq!(
        outcome_on_silent_connection(true),
        (Outcome::ConnectionLost, false),
        "with hedging, the loss is reported immediately"
    );
    assert_eq!(outcome_on_silent_connection(false), (Outcome::TimedOut, true));
}

/// Required for hedging to be off: a data node counts a part's timeout from the arrival of the
/// part.
#[test]
fn without_hedging_the_timeout_sent_is_shorter_than_the_coordinators_own() {
    let (send, sent_timeouts) = std::sync::mpsc::channel();
    let mut rig = Rig::new("told_less", false, move |listener| {
        let mut stream = listener.accept().expect("accepted").0;
        while let Some(frame) = read_frame(&mut stream) {
            // Cancellations have a frame type of their own.
            if frame.starts_with("q ") {
                send.send(timeout_ms(&frame)).expect("the test is listening");
            }
        }
    });
    let attempt = rig.start(1, Instant::now() + Duration::from_millis(300));
    assert_eq!(rig.outcome(attempt), Outcome::TimedOut);
    let sent_timeout_ms = sent_timeouts.recv_timeout(TEST_TIMEOUT).expect("a part");
    assert!((1..=250).contains(&sent_timeout_ms), "{sent_timeout_ms} ms of 300");
    // A part that would be given no time is not sent.
    let attempt = rig.start(2, Instant::now() + Duration::from_millis(40));
    assert_eq!(rig.outcome(attempt), Outcome::TimedOut);
    assert!(sent_timeouts.try_recv().is_err());
}

/// Required for hedging to be off: a malformed answer only ends the part that it names.
#[test]
fn other_parts_after_a_malformed_answer_are_in_flight_until_their_deadline_without_hedging() {
    let mut rig = Rig::new("spoilt_alone", false, |listener| {
        let mut stream = listener.accept().expect("accepted").0;
        (0..2).for_each(|_| drop(read_frame(&mut stream).expect("a part")));
        send_answer(&stream, "a a1.2 nonsense 1 -\nV");
        while listener.accept().is_ok() {}
    });
    let deadline = Instant::now() + Duration::from_millis(600);
    let (first, second) = (rig.start(1, deadline), rig.start(2, deadline));
    assert_eq!(rig.outcome(second), Outcome::Error);
    assert!(Instant::now() < deadline);
    assert_eq!(rig.outcome(first), Outcome::TimedOut);
    assert!(Instant::now() >= deadline);
}
