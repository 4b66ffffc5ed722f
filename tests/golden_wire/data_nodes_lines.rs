//! The frames that a coordinator sends to a data node, as read from a socket: a request for a part of each
//! step, and its cancellation. The remaining time in a request varies, so the fixture has nines in place of
//! its digits.
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use marlgap::balancer::interface::{EndpointState, ShardId};
use marlgap::coordinator::{Call, CancellationToken, Step, Transport};
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::DescriptorBudget;

use crate::common::{deployment, memory, write_configuration, TEST_TIMEOUT};
use crate::fixtures::{assert_same_bytes, records};

/// Long enough that the remaining time has five digits, however slow the machine is.
const DEADLINE: Duration = Duration::from_secs(90);

/// Reads one frame, including its length.
fn read_bytes(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    stream.read_exact(&mut bytes).expect("a length");
    let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    bytes.resize(4 + length, 0);
    stream.read_exact(&mut bytes[4..]).expect("a frame");
    bytes
}

/// Replaces the digits of the remaining time, of which there must be five, by nines.
fn with_time_masked(mut bytes: Vec<u8>) -> Vec<u8> {
    let at = bytes.windows(3).position(|w| w == b" d=").expect("a time") + 3;
    let digits = &mut bytes[at..at + 5];
    assert!(digits.iter().all(u8::is_ascii_digit), "five digits");
    digits.fill(b'9');
    assert!(!bytes[at + 5].is_ascii_digit(), "no sixth digit");
    bytes
}

/// Sends one part to a data node, cancels it when it has arrived, and returns the frames that the data node
/// received.
fn sent(step: Step, shard: u32) -> [Vec<u8>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let folder = write_configuration(&format!("golden_lines_{shard}"), &[address], address, 1, 75);
    let executor = Rc::new(LocalExecutor::new());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let nodes = DataNodes::new(
        deployment(&folder),
        Rc::new(DescriptorBudget::new(64)),
        memory(),
        executor.clone(),
        log,
    );
    let replica = nodes.register(&ListedDataNode {
        name: "n0".to_owned(),
        address,
        state: EndpointState::Ready,
        start_unix_ms: 0,
    });
    let carried = Rc::new(RequestContext::new("query-id".to_owned(), b"the statement".to_vec()));
    let call = Call::standalone(replica, carried, ShardId(shard), step, Instant::now() + DEADLINE);
    let (hold, stop) = CancellationToken::new();
    let attempt = executor.spawn(nodes.clone().call(call, stop));
    let (send, frames) = async_channel::bounded(2);
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accepted").0;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        (0..2).for_each(|_| send.send_blocking(read_bytes(&mut stream)).expect("awaited"));
    });
    let request = async_io::block_on(executor.run(frames.recv())).expect("a request");
    drop(hold);
    let cancel = async_io::block_on(executor.run(frames.recv())).expect("a cancelling");
    drop(attempt);
    [with_time_masked(request), cancel]
}

#[test]
fn frames_to_data_nodes_are_written_as_stored() {
    let [first, cancel] = sent(Step::First, 31);
    let second_step = Step::Second { from: Rc::from([ShardId(7), ShardId(12)]), complete: true };
    let [second, _] = sent(second_step, 32);
    let now = [("request_first_step", first), ("request_second_step", second), ("cancel", cancel)];
    let stored = records("data_nodes_lines.txt", &now);
    for (name, bytes) in &now {
        assert_same_bytes(name, bytes, &stored[*name]);
    }
}
