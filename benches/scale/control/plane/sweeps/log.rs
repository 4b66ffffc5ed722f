//! The log along its members, its voters, its rate of changes and its open epochs.
use marlgap::cluster::consensus_log::{Command, Membership, MAX_OPEN_EPOCHS};
use marlgap::cluster::MemberId;

use super::super::finding::{Spec, Sweeps};
use super::super::links::{Micros, SECOND};
use super::super::members::{seat, Members};
use super::super::queue::Played;
use super::super::traffic::Traffic;
use super::super::{BYTES, COORDINATORS, CORE, SEED};

/// Bytes of a change: a configuration's, as an operator would write a small one.
pub const CHANGE: usize = 256;

const LOG: &str = "src/cluster/consensus_log/node.rs";
const BASE: Spec = Spec {
    role: "log leader",
    figure: "",
    axis: "members",
    unit: "B/s",
    exact: true,
    target: COORDINATORS,
    bound: Some(BYTES),
    carried_by: LOG,
    note: "5 voters, the others learn; tick 100 ms, heartbeat every 2",
};
const IDLE_LEADER: Spec = Spec { figure: "idle, sent and received", ..BASE };
const IDLE_LEADER_MESSAGES: Spec = Spec { figure: "idle, messages", unit: "1/s", bound: None, ..BASE };
const IDLE_LEADER_CORE: Spec =
    Spec { figure: "idle, processor", unit: "core", exact: false, bound: Some(CORE), ..BASE };
const IDLE_VOTER: Spec = Spec { role: "log voter", figure: "idle, sent and received", ..BASE };
const IDLE_LEARNER: Spec = Spec { role: "log learner", figure: "idle, sent and received", ..BASE };
const IDLE_LEARNER_MESSAGES: Spec =
    Spec { role: "log learner", figure: "idle, messages", unit: "1/s", bound: None, ..BASE };
const CHANGE_NOTE: &str = "a change of 256 B: entry and then its commit go to every member, each answered";
const ONE: Spec = Spec { unit: "B", bound: None, note: CHANGE_NOTE, ..BASE };
const CHANGE_LEADER: Spec = Spec { figure: "a change", ..ONE };
const CHANGE_LEADER_MESSAGES: Spec = Spec { figure: "a change, messages", unit: "1", ..ONE };
const CHANGE_LEARNER: Spec = Spec { role: "log learner", figure: "a change", ..ONE };
const CHANGE_TIME: Spec =
    Spec { role: "log", figure: "a change until in force at the last", unit: "s", bound: Some(7.0), ..ONE };
const BACK: &str = "one learner, 2 s away: its life is admitted by an entry that every member applies";
const BACK_LEADER: Spec = Spec { figure: "a restart with its disk", note: BACK, ..ONE };
const BACK_LEARNER: Spec = Spec { role: "log learner", figure: "a restart with its disk", note: BACK, ..ONE };
const BACK_CORE: Spec = Spec {
    role: "log learner",
    figure: "start of the process, and each call after it, longest",
    unit: "ms",
    exact: false,
    note: "the crate takes its members in one by one: quadratic",
    ..ONE
};
const NEW: &str = "one learner on an empty disk: a snapshot for it, and a change of voters at every member";
const NEW_LEADER: Spec = Spec { figure: "a replacement without its disk", note: NEW, ..ONE };
const NEW_LEARNER: Spec =
    Spec { role: "log learner", figure: "a replacement without its disk", note: NEW, ..ONE };
const NEW_CORE: Spec = Spec {
    role: "log learner",
    figure: "a replacement of another, longest call",
    unit: "ms",
    exact: false,
    note: NEW,
    ..ONE
};

/// Measures the log along its members, a fleet at a time.
#[derive(Default)]
pub struct LogSweep {
    pub sweeps: Sweeps,
    pub broken: Vec<String>,
}

/// What each member spent since a moment.
struct Window {
    before: Vec<Traffic>,
    at: Micros,
}

impl Window {
    fn open(members: &mut Members) -> Window {
        members.nodes.iter_mut().for_each(|n| n.traffic.longest = Default::default());
        Window { before: members.nodes.iter().map(|n| n.traffic).collect(), at: members.now() }
    }

    fn spent(&self, members: &Members, i: usize) -> Traffic {
        members.nodes[i].traffic - self.before[i]
    }

    fn seconds(&self, members: &Members) -> f64 {
        (members.now() - self.at) as f64 / SECOND as f64
    }
}

/// The leader, another voter and a learner; the same one each time.
pub fn roles(members: &Members) -> Option<(usize, Option<usize>, Option<usize>)> {
    let leader = members.leader()?;
    let voters = members.nodes[leader].log.as_ref()?.membership().raft_ids().voters;
    let votes = |i: &usize| voters.contains(&members.nodes[*i].seat.voter_id());
    let voter = (0..members.nodes.len()).find(|i| votes(i) && *i != leader);
    let learner = (0..members.nodes.len()).rev().find(|i| !votes(i));
    Some((leader, voter, learner))
}

impl LogSweep {
    /// All figures of a fleet that is led and quiet; with `whole` those of a replacement too, which take the most time.
    pub fn measure(&mut self, members: &mut Members, whole: bool) {
        let Some((leader, voter, learner)) = roles(members) else {
            return self.broken.push("no leader".into());
        };
        let size = members.nodes.len() as f64;
        let idle = self.idle(members, size, leader, voter, learner);
        let Some(learner) = learner else { return };
        self.change(members, size, leader, learner, idle);
        self.back(members, size, leader, learner, true, idle);
        if whole {
            self.back(members, size, leader, learner, false, idle);
        }
        self.broken.extend(members.broken.clone());
    }

    /// Bytes a second at the leader and at a learner.
    fn idle(
        &mut self,
        members: &mut Members,
        size: f64,
        leader: usize,
        voter: Option<usize>,
        learner: Option<usize>,
    ) -> (f64, f64) {
        let window = Window::open(members);
        members.run(10 * SECOND);
        let seconds = window.seconds(members);
        let led = window.spent(members, leader);
        self.sweeps.point(&IDLE_LEADER, size, led.bytes() as f64 / seconds);
        self.sweeps.point(&IDLE_LEADER_MESSAGES, size, led.messages() as f64 / seconds);
        self.sweeps.point(&IDLE_LEADER_CORE, size, led.busy.as_secs_f64() / seconds);
        if let Some(voter) = voter {
            let voted = window.spent(members, voter);
            self.sweeps.point(&IDLE_VOTER, size, voted.bytes() as f64 / seconds);
        }
        let learned = learner.map(|l| window.spent(members, l)).unwrap_or_default();
        if learner.is_some() {
            self.sweeps.point(&IDLE_LEARNER, size, learned.bytes() as f64 / seconds);
            self.sweeps.point(&IDLE_LEARNER_MESSAGES, size, learned.messages() as f64 / seconds);
        }
        (led.bytes() as f64 / seconds, learned.bytes() as f64 / seconds)
    }

    fn change(&mut self, members: &mut Members, size: f64, leader: usize, learner: usize, idle: (f64, f64)) {
        const CHANGES: u32 = 5;
        let window = Window::open(members);
        let mut slowest: f64 = 0.0;
        for _ in 0..CHANGES {
            let number = members.change(CHANGE);
            members.run(2 * SECOND);
            slowest = slowest.max(in_force(members, number).unwrap_or(f64::INFINITY));
        }
        let (seconds, changes) = (window.seconds(members), f64::from(CHANGES));
        let (led, learned) = (window.spent(members, leader), window.spent(members, learner));
        self.sweeps.point(&CHANGE_LEADER, size, (led.bytes() as f64 - idle.0 * seconds) / changes);
        // Heartbeats of the same time are taken off: two each 200 ms for every other member.
        let beats = 10.0 * (size - 1.0) * seconds;
        self.sweeps.point(&CHANGE_LEADER_MESSAGES, size, (led.messages() as f64 - beats) / changes);
        self.sweeps.point(&CHANGE_LEARNER, size, (learned.bytes() as f64 - idle.1 * seconds) / changes);
        self.sweeps.point(&CHANGE_TIME, size, slowest);
    }

    fn back(
        &mut self,
        members: &mut Members,
        size: f64,
        leader: usize,
        learner: usize,
        with_disk: bool,
        idle: (f64, f64),
    ) {
        members.kill(learner);
        members.run(2 * SECOND);
        let window = Window::open(members);
        members.start(learner, with_disk);
        if !members.run_until(60 * SECOND, Members::all_equal) {
            return self.broken.push(format!("{size} members: no rest after a restart"));
        }
        let seconds = window.seconds(members);
        let (led, learned) = (window.spent(members, leader), window.spent(members, learner));
        let (at_leader, at_learner) = match with_disk {
            true => (&BACK_LEADER, &BACK_LEARNER),
            false => (&NEW_LEADER, &NEW_LEARNER),
        };
        self.sweeps.point(at_leader, size, led.bytes() as f64 - idle.0 * seconds);
        self.sweeps.point(at_learner, size, learned.bytes() as f64 - idle.1 * seconds);
        let longest = |t: Traffic| t.longest.as_secs_f64() * 1e3;
        match with_disk {
            true => self.sweeps.point(&BACK_CORE, size, longest(learned)),
            false => self.sweeps.point(&NEW_CORE, size, longest(led)),
        }
    }
}

/// Seconds from the ask for a change until it was in force at the last member that runs and can be reached.
pub fn in_force(members: &Members, number: usize) -> Option<f64> {
    let change = &members.changes[number];
    let times: Option<Vec<Micros>> = members.reachable().into_iter().map(|i| change.at[i]).collect();
    let last = times?.into_iter().max()?;
    Some(last.saturating_sub(change.asked) as f64 / SECOND as f64)
}

/// A fleet of voters alone: the program takes five at most.
pub fn voters(sizes: &[usize]) -> Sweeps {
    const NOTE: &str = "all members vote up to 5 (MOST_VOTERS); beyond it the others learn";
    const SPEC: Spec = Spec { axis: "members that found", target: 7.0, note: NOTE, bound: None, ..BASE };
    const VOTERS: Spec = Spec {
        role: "log",
        figure: "voters",
        unit: "1",
        carried_by: "src/cluster/consensus_log/membership.rs",
        ..SPEC
    };
    const IDLE: Spec = Spec { figure: "idle, sent and received", ..SPEC };
    const TIME: Spec = Spec { role: "log", figure: "a change until in force at the last", unit: "s", ..SPEC };
    let mut sweeps = Sweeps::default();
    for size in sizes.iter().copied() {
        let mut members = Members::led(size, SEED, 0);
        let Some((leader, ..)) = roles(&members) else { continue };
        let votes = members.nodes[leader].log.as_ref().map_or(0, |l| l.membership().raft_ids().voters.len());
        sweeps.point(&VOTERS, size as f64, votes as f64);
        let window = Window::open(&mut members);
        members.run(10 * SECOND);
        let spent = window.spent(&members, leader).bytes() as f64 / window.seconds(&members);
        sweeps.point(&IDLE, size as f64, spent);
        let number = members.change(CHANGE);
        members.run(3 * SECOND);
        sweeps.point(&TIME, size as f64, in_force(&members, number).unwrap_or(f64::INFINITY));
    }
    sweeps
}

/// Changes a second, in a fleet of so many.
pub fn rates(size: usize, rates: &[f64]) -> Sweeps {
    const SPEC: Spec = Spec {
        axis: "changes a second",
        target: 6_400.0 / 86_400.0,
        bound: None,
        note: "200 members at full size",
        ..BASE
    };
    const LEADER: Spec = Spec { figure: "sent and received", ..SPEC };
    const LEARNER: Spec =
        Spec { role: "log learner", figure: "sent and received", bound: Some(BYTES), ..SPEC };
    let mut sweeps = Sweeps::default();
    let mut members = Members::led(size, SEED, 0);
    for rate in rates.iter().copied() {
        let Some((leader, _, Some(learner))) = roles(&members) else { continue };
        let window = Window::open(&mut members);
        for _ in 0..(20.0 * rate).round() as usize {
            members.change(CHANGE);
            members.run((SECOND as f64 / rate) as Micros);
        }
        let seconds = window.seconds(&members);
        sweeps.point(&LEADER, rate, window.spent(&members, leader).bytes() as f64 / seconds);
        sweeps.point(&LEARNER, rate, window.spent(&members, learner).bytes() as f64 / seconds);
    }
    sweeps
}

/// The roster in a snapshot, which goes as one message: by members, and by open epochs at so many members.
pub fn snapshots(sizes: &[usize]) -> Sweeps {
    const SPEC: Spec = Spec {
        role: "log",
        figure: "roster in a snapshot, 1 open epoch",
        unit: "B",
        bound: Some((1 << 20) as f64),
        carried_by: "src/cluster/consensus_log/membership.rs",
        note: "one message of 1 MiB at most",
        ..BASE
    };
    const FULL: Spec = Spec { figure: "roster in a snapshot, 16 open epochs", ..SPEC };
    const EPOCHS: Spec = Spec {
        figure: "roster in a snapshot, all members",
        axis: "open epochs",
        target: MAX_OPEN_EPOCHS as f64,
        ..SPEC
    };
    let mut sweeps = Sweeps::default();
    for size in sizes.iter().copied() {
        let Ok(mut roster) = Membership::bootstrap(1, (0..size).map(seat).collect()) else { continue };
        sweeps.point(&SPEC, size as f64, roster.encode().len() as f64);
        for epoch in 2..=MAX_OPEN_EPOCHS as u64 {
            if Some(&size) == sizes.last() {
                sweeps.point(&EPOCHS, (epoch - 1) as f64, roster.encode().len() as f64);
            }
            let mut later = seat(size - 1);
            later.member.id = MemberId::new(&later.member.id.name, epoch);
            if let (_, Some(next)) =
                roster.evaluate(epoch, &Command::Admit { voter: later, known_epoch: epoch })
            {
                roster = next;
            }
        }
        if Some(&size) == sizes.last() {
            sweeps.point(&EPOCHS, MAX_OPEN_EPOCHS as f64, roster.encode().len() as f64);
        }
        sweeps.point(&FULL, size as f64, roster.encode().len() as f64);
    }
    sweeps
}

/// All members start at once with their disks: until the last life is admitted, and what that cost.
pub fn restart_all(sizes: &[usize]) -> Sweeps {
    const SPEC: Spec = Spec {
        role: "log",
        figure: "restart of all until the last is admitted",
        unit: "s",
        bound: None,
        note: "8 admissions each half second, older epochs closed as soon as five are open; one epoch a life",
        ..BASE
    };
    const BUSY: Spec = Spec {
        role: "log learner",
        figure: "restart of all, processor",
        unit: "ms",
        exact: false,
        note: "each admission copies the roster at every member",
        ..SPEC
    };
    const HEARD: Spec = Spec { role: "log learner", figure: "restart of all", unit: "B", ..SPEC };
    let mut sweeps = Sweeps::default();
    for size in sizes.iter().copied() {
        let mut members = Members::led(size, SEED, 0);
        (0..size).for_each(|i| members.kill(i));
        members.run(SECOND);
        let window = Window::open(&mut members);
        (0..size).for_each(|i| members.start(i, true));
        let rest = members.run_until(600 * SECOND, |m| m.leader().is_some() && m.all_equal());
        let Some((_, _, Some(learner))) = roles(&members).filter(|_| rest) else { continue };
        let spent = window.spent(&members, learner);
        sweeps.point(&SPEC, size as f64, window.seconds(&members));
        sweeps.point(&BUSY, size as f64, spent.busy.as_secs_f64() * 1e3);
        sweeps.point(&HEARD, size as f64, spent.bytes() as f64);
    }
    sweeps
}
