//! System calls that fail for a moment, in ways that Linux documents: no rule is broken and nothing ends for them. Each
//! test shows that its fault was injected.
mod common;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::*;
use fault_control::{Fault, Plan, ALWAYS, UNLIMITED};
use marlgap::net::socket::{self, ConnectError};

const QUERIES: usize = 60;

/// A sound data node, a discovery that takes calls and says nothing, and a configuration for both.
struct World {
    _discovery: TcpListener,
    node: Node,
    folder: PathBuf,
    plan: Plan,
}

impl World {
    fn new(name: &str) -> World {
        let discovery = TcpListener::bind("127.0.0.1:0").expect("bound");
        let node = Node::start(true);
        let folder = configure(name, &[node.address], discovery.local_addr().expect("bound"), 1, 75);
        let plan = fault_plan(&folder, 1);
        World { _discovery: discovery, node, folder, plan }
    }

    fn start(&self) -> Program {
        Program::faulty(&self.folder, &self.plan)
    }

    fn arm(&self, fault: Fault, per_mille: u64, budget: u64) {
        self.plan.arm(fault, per_mille, budget).expect("armed");
    }

    /// The faults are over, and each of them did fire.
    fn fired(&self, faults: &[Fault]) {
        for fault in faults {
            self.plan.disarm(*fault).expect("disarmed");
            let fired = self.plan.fired(*fault).expect("read");
            assert!(fired > 0, "{fault:?} never fired in {:?} calls", self.plan.calls(*fault));
        }
    }
}

/// Each query on each of some connections is served.
fn all_served(address: SocketAddr) {
    let mut streams: Vec<_> = (0..4).map(|_| connect(address)).collect();
    for n in 0..QUERIES {
        let stream = &mut streams[n % 4];
        std::io::Write::write_all(stream, request(&format!("q{n}"), "field-lookup", 3000).as_bytes())
            .expect("written");
        assert_eq!(status(stream), 200, "query {n}");
    }
}

#[test]
fn an_interrupted_receive_ends_neither_the_program_nor_a_request() {
    let world = World::new("receive_interrupted");
    let mut program = world.start();
    world.arm(Fault::ReceiveInterrupted, 400, UNLIMITED);
    all_served(program.address);
    program.signal("-HUP");
    program.log("configuration reread");
    all_served(program.address);
    program.signal("-TERM");
    program.log("stopping");
    program.ended();
    world.fired(&[Fault::ReceiveInterrupted]);
}

#[test]
fn a_socket_that_fails_for_a_moment_at_the_start_is_tried_again() {
    let world = World::new("start_fails");
    world.arm(Fault::PairFails, ALWAYS, 1);
    world.arm(Fault::SocketFails, ALWAYS, 3);
    world.arm(Fault::BindFails, ALWAYS, 2);
    let begun = Instant::now();
    let program = world.start();
    assert!(begun.elapsed() < Duration::from_secs(5), "ready in time: {:?}", begun.elapsed());
    world.fired(&[Fault::PairFails, Fault::SocketFails, Fault::BindFails]);
    all_served(program.address);
}

/// The data node is sound, and our machine gives no socket to reach it for a moment: its queries are served, in less
/// time than a data node at fault rests, and with no attempt wasted on it.
#[test]
fn a_failure_of_our_own_machine_is_not_blamed_on_a_data_node() {
    for (fault, name) in [
        (Fault::SocketFails, "no_socket"),
        (Fault::ConnectNoAddress, "no_address"),
        (Fault::ConnectUnreachable, "no_network"),
        (Fault::ConnectInterrupted, "connect_interrupted"),
    ] {
        let world = World::new(name);
        let program = world.start();
        let mut client = connect(program.address);
        world.arm(fault, ALWAYS, 6);
        let begun = Instant::now();
        std::io::Write::write_all(&mut client, request("a1", "field-lookup", 3000).as_bytes())
            .expect("written");
        assert_eq!(status(&mut client), 200, "{fault:?}");
        assert!(begun.elapsed() < Duration::from_millis(190), "{fault:?}: {:?}", begun.elapsed());
        world.fired(&[fault]);
        world.node.frame("q a1.0 ", &[]);
    }
}

/// An abort is the fault of one client, which is gone. Guards the others against waiting behind it, and a resting
/// connection against being closed for it.
#[test]
fn connections_aborted_before_they_are_accepted_hold_up_nobody() {
    const ABORTED: u64 = 20;
    let world = World::new("aborted");
    let program = world.start();
    let mut resting = connect(program.address);
    std::io::Write::write_all(&mut resting, request("r1", "field-lookup", 3000).as_bytes()).expect("written");
    assert_eq!(status(&mut resting), 200);
    // From here on it is the first that would make way.
    std::thread::sleep(Duration::from_millis(2100));
    world.arm(Fault::AcceptAborted, ALWAYS, ABORTED);
    let begun = Instant::now();
    let mut client = connect(program.address);
    std::io::Write::write_all(&mut client, request("a1", "field-lookup", 3000).as_bytes()).expect("written");
    assert_eq!(status(&mut client), 200);
    assert!(begun.elapsed() < Duration::from_millis(150), "{:?}", begun.elapsed());
    assert_eq!(world.plan.fired(Fault::AcceptAborted).expect("read"), ABORTED);
    std::io::Write::write_all(&mut resting, request("r2", "field-lookup", 3000).as_bytes()).expect("written");
    assert_eq!(status(&mut resting), 200, "it did not have to make way");
}

/// A zone that is cut off must not look like one bad moment of ours after the other.
#[test]
fn only_what_our_own_machine_lacks_is_its_own_fault_when_it_lasts() {
    let lasting = |errno: i32| socket::persistent_failure(std::io::Error::from_raw_os_error(errno));
    let (unreachable, no_address, no_file) = (101, 99, 23);
    assert!(matches!(lasting(unreachable), ConnectError::Refused(_)));
    assert!(matches!(lasting(no_address), ConnectError::LocalFailure(_)));
    assert!(matches!(lasting(no_file), ConnectError::LocalFailure(_)));
}

/// The signal's handler writes to a socket that wakes the program, and that write may fail.
#[test]
fn a_signal_whose_wake_is_lost_is_handled_all_the_same() {
    let world = World::new("wake_lost");
    let mut program = world.start();
    world.arm(Fault::SendInterrupted, ALWAYS, UNLIMITED);
    program.signal("-HUP");
    program.log("configuration reread");
    program.signal("-TERM");
    program.log("stopping");
    program.ended();
    world.fired(&[Fault::SendInterrupted]);
}
