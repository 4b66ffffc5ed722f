//! Members that hold works for each other, and their founding, along their number.
use super::super::finding::{Spec, Sweeps};
use super::super::founding;
use super::super::links::SECOND;
use super::super::queue::Played;
use super::super::workers::Workers;
use super::super::{BYTES, COORDINATORS, CORE, SEED};

const BASE: Spec = Spec {
    role: "coordinator",
    figure: "renewals, sent and received",
    axis: "members",
    unit: "B/s",
    exact: true,
    target: COORDINATORS,
    bound: Some(BYTES),
    carried_by: "src/cluster/takeover/proposer.rs",
    note: "4 works in hand at each member, groups of 3, lease 300 ms; nothing else goes on",
};
const MESSAGES: Spec = Spec { figure: "renewals, messages", unit: "1/s", bound: None, ..BASE };
const PEERS: Spec = Spec { figure: "members that it speaks to", unit: "1", bound: None, ..BASE };
const BUSY: Spec =
    Spec { figure: "renewals, processor", unit: "core", exact: false, bound: Some(CORE), ..BASE };

/// Works in hand at a member: 212.5 queries a second that take 74 ms.
const MOST_WORKS: f64 = 16.0;

fn load(sweeps: &mut Sweeps, size: f64, axis: &'static str, note: &'static str, count: usize, works: u64) {
    let Ok(mut workers) = Workers::new(count, works, SEED) else { return };
    workers.run(2 * SECOND);
    let load = workers.load(2 * SECOND);
    let target = if axis == BASE.axis { BASE.target } else { MOST_WORKS };
    let spec = |spec: Spec| Spec { axis, note, target, ..spec };
    sweeps.point(&spec(BASE), size, load.bytes);
    sweeps.point(&spec(MESSAGES), size, load.messages);
    sweeps.point(&spec(PEERS), size, load.peers);
    sweeps.point(&spec(BUSY), size, load.busy);
}

/// By members, each with four works in hand.
pub fn works(sizes: &[usize]) -> Sweeps {
    let mut sweeps = Sweeps::default();
    for size in sizes.iter().copied() {
        load(&mut sweeps, size as f64, BASE.axis, BASE.note, size, 4);
    }
    sweeps
}

/// By works in hand at each of so many members.
pub fn works_a_member(count: usize, works: &[u64]) -> Sweeps {
    const AXIS: &str = "works in hand at each member";
    const NOTE: &str = "all members, groups of 3, lease 300 ms; nothing else goes on";
    let mut sweeps = Sweeps::default();
    for n in works.iter().copied() {
        load(&mut sweeps, n as f64, AXIS, NOTE, count, n);
    }
    sweeps
}

const FOUND: Spec = Spec {
    role: "founding leader",
    figure: "founding, sent and received",
    axis: "members",
    unit: "B",
    exact: true,
    target: COORDINATORS,
    bound: None,
    carried_by: "src/cluster/bootstrap/first_configuration.rs",
    note: "all start at once; the list of lives goes to each, and again each 100 ms until it is answered",
};
const FOUND_OTHER: Spec = Spec { role: "coordinator", ..FOUND };
const FOUND_TIME: Spec = Spec { figure: "founding, time", unit: "s", ..FOUND };
const FOUND_BUSY: Spec = Spec { figure: "founding, processor", unit: "ms", exact: false, ..FOUND };
const AGAIN: Spec = Spec {
    role: "coordinator",
    figure: "a start after the founding, received",
    note: "every member that it reaches tells it the whole list",
    ..FOUND
};
const AGAIN_MESSAGES: Spec =
    Spec { figure: "a start after the founding, messages received", unit: "1", ..AGAIN };
const HELLO: Spec = Spec {
    role: "coordinator",
    figure: "hellos of all its connections, sent and received",
    note: "two connections a pair, one hello of each side on both",
    ..FOUND
};
const FRAME: Spec =
    Spec { figure: "founding, largest frame", bound: Some((1 << 20) as f64), note: "limits.frame", ..FOUND };

/// Founding by members.
pub fn founding(sizes: &[usize]) -> (Sweeps, Vec<String>) {
    let (mut sweeps, mut broken) = (Sweeps::default(), Vec::new());
    for size in sizes.iter().copied() {
        match founding::found(size, SEED) {
            Err(why) => broken.push(format!("founding of {size}: {why}")),
            Ok(founded) => {
                let size = size as f64;
                sweeps.point(&FOUND, size, founded.leader.bytes() as f64);
                sweeps.point(&FOUND_OTHER, size, founded.other_bytes);
                sweeps.point(&FOUND_TIME, size, founded.took as f64 / SECOND as f64);
                sweeps.point(&FOUND_BUSY, size, founded.leader.busy.as_secs_f64() * 1e3);
                sweeps.point(&AGAIN, size, founded.restart_bytes as f64);
                sweeps.point(&AGAIN_MESSAGES, size, founded.restart_messages as f64);
                let hellos = 4.0 * (size - 1.0) * founded.hello_bytes as f64;
                sweeps.point(&HELLO, size, hellos);
                sweeps.point(&FRAME, size, founded.frame_bytes as f64);
            }
        }
    }
    (sweeps, broken)
}
