//! A randomized soak test of real processes. Clients, data nodes and discovery run on loopback in this
//! process, several disruptions overlap, and the recorded events are checked against the documented rules.
//!
//! The schedule of disruptions is determined by the seed. `SOAK_SEEDS=1..40`, `SOAK_COORDINATORS=20` and
//! `SOAK_SECONDS=15` make the test longer. Each seed prints the command that runs it alone, and a failed
//! seed writes its history to a file, in order of time:
//!
//! ```sh
//! SOAK_SEEDS=7..8 cargo test --test soak -- --nocapture runs_of_some_seeds
//! ```
#[path = "../common/mod.rs"]
mod common;

mod clients;
mod coordinator;
mod crowd;
mod discovery;
mod missed_drains;
mod oracle;
mod record;
mod schedule;
mod servers;
mod slow_start;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fault_control::{Fault, UNLIMITED};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use clients::Client;
use coordinator::{Coordinator, Start, StopSignals};
use discovery::{AnswerFaults, Discovery};
use record::{Event, EventLog};
use schedule::{
    crowd_target, hangs_for_long, plan_disruptions, Disruption, PlannedDisruption, FAULTS, PAUSE_DURATION,
};
use servers::Node;

const NODES: usize = 6;
const CLIENTS: usize = 3;
/// The time from the start of a hang of discovery until a data node drains, and the time for which it continues
/// to drain after the hang.
const DRAIN_AFTER_HANG: Duration = Duration::from_millis(30);
const DRAIN_BEYOND_HANG: Duration = Duration::from_millis(400);

/// How much longer a fault that has not fired yet goes on. While discovery hangs, coordinators send nothing.
const MAX_WAIT_FOR_FAULT: Duration = Duration::from_secs(10);
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The size of a run, configured by environment variables.
struct Size {
    coordinators: usize,
    span: Duration,
}

impl Size {
    /// Returns the command that runs a single seed.
    fn command(&self, seed: u64) -> String {
        format!(
            "SOAK_SEEDS={seed}..{} SOAK_COORDINATORS={} SOAK_SECONDS={} cargo test --test soak -- --nocapture \
             runs_of_some_seeds",
            seed + 1,
            self.coordinators,
            self.span.as_secs()
        )
    }
}

fn number_from_environment(name: &str, default: usize) -> usize {
    std::env::var(name).ok().map_or(default, |text| text.parse().expect("a number"))
}

/// The result of a run.
struct RunResult {
    errors: Vec<String>,
    sent: usize,
    answered: usize,
    /// How often each disruption took effect. A disruption that never did tests nothing.
    disruption_counts: Vec<(String, u64)>,
}

fn run(seed: u64, size: &Size) -> RunResult {
    let event_log = EventLog::default();
    let nodes: Vec<_> = (0..NODES).map(|n| Node::start(n, event_log.clone())).collect();
    let discovery = Discovery::new(nodes.clone(), event_log.clone());
    let addresses: Vec<_> = nodes.iter().map(|n| n.address).collect();
    let coordinators: Vec<Coordinator> = (0..size.coordinators)
        .map(|n| {
            let is_push = n % 2 == 1;
            let discovery_addresses = [discovery.listen_for(n, is_push), discovery.listen_for(n, is_push)];
            let start = Start { seed, number: n, is_push, meets_crowd: crowd_target(seed) == Some(n) };
            Coordinator::start(&start, &addresses, discovery_addresses, event_log.clone())
        })
        .collect();
    let planned = plan_disruptions(seed, size.coordinators, NODES, size.span);
    let finished = AtomicBool::new(false);
    let crowds = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for (number, coordinator) in coordinators.iter().enumerate() {
            for client in 0..CLIENTS {
                let random = Pcg64Mcg::seed_from_u64(seed ^ (number * CLIENTS + client) as u64);
                let (name, event_log) = (format!("{client}"), event_log.clone());
                let client = Client { coordinator, number, name, random, event_log, finished: &finished };
                scope.spawn(move || client.run());
            }
        }
        std::thread::scope(|disruptions| {
            let begun = Instant::now();
            for planned in &planned {
                std::thread::sleep(planned.at.saturating_sub(begun.elapsed()));
                let environment = TestEnvironment {
                    nodes: &nodes,
                    discovery: &discovery,
                    coordinators: &coordinators,
                    crowds: &crowds,
                    event_log: &event_log,
                };
                disruptions.spawn(move || {
                    environment.event_log.record(Event::Disruption { text: format!("starts: {planned:?}") });
                    environment.apply(planned);
                    environment.event_log.record(Event::Disruption { text: format!("ended: {planned:?}") });
                });
            }
        });
        // A quiet period at the end, in which all pending queries are answered.
        std::thread::sleep(Duration::from_millis(500));
        finished.store(true, Ordering::SeqCst);
    });
    std::thread::scope(|scope| {
        for coordinator in &coordinators {
            scope.spawn(move || {
                coordinator.check();
                coordinator.stop(StopSignals::Term);
            });
        }
    });
    let events = event_log.all();
    let errors = oracle::check(&events);
    if !errors.is_empty() {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak_{seed}.history"));
        EventLog::write_history(&events, &path).expect("written");
    }
    let count = |of: &dyn Fn(&Event) -> bool| events.iter().filter(|(_, event)| of(event)).count();
    RunResult {
        errors,
        sent: count(&|event| matches!(event, Event::Sent { .. })),
        answered: count(&|event| matches!(event, Event::Answered { status: 200, .. })),
        disruption_counts: disruption_counts(&nodes, &discovery, &coordinators, &events)
            .into_iter()
            .chain(hangs_for_long(seed).then(|| {
                ("missed drains that count as notified".to_owned(), missed_drains::notified(&events))
            }))
            .chain(crowd_target(seed).map(|_| ("connections of a crowd".to_owned(), crowds.into_inner())))
            .collect(),
    }
}

fn disruption_counts(
    nodes: &[Arc<Node>],
    discovery: &Discovery,
    coordinators: &[Coordinator],
    events: &[record::TimedEvent],
) -> Vec<(String, u64)> {
    let of_nodes = |of: fn(&Node) -> &AtomicU64| nodes.iter().map(|n| of(n).load(Ordering::SeqCst)).sum();
    let of_all = |of: fn(&Coordinator) -> u64| coordinators.iter().map(of).sum();
    let counted = |of: fn(&Event) -> bool| events.iter().filter(|(_, event)| of(event)).count() as u64;
    let ended = counted(|event| matches!(event, Event::Ended { .. }));
    let disruptions: [(&str, u64); 13] = [
        ("hung parts", of_nodes(|n| &n.hung)),
        ("reset connections", of_nodes(|n| &n.resets)),
        ("calls to a discovery that is down", discovery.refused.load(Ordering::SeqCst)),
        ("calls that discovery left silent", discovery.silent.load(Ordering::SeqCst)),
        ("drains announced", counted(|event| matches!(event, Event::DrainListed { drains: true, .. }))),
        ("starts announced", counted(|event| matches!(event, Event::StartListed { .. }))),
        ("pauses of accepting", of_nodes(|n| &n.pauses)),
        ("queries whose connection was closed", counted(|event| matches!(event, Event::Closed { .. }))),
        ("terminations during startup", counted(|event| matches!(event, Event::EndedDuringStart { .. }))),
        ("pauses", of_all(|c| c.pauses.load(Ordering::SeqCst))),
        ("reloads", of_all(|c| c.reloaded.load(Ordering::SeqCst))),
        ("reads of a stepped wall clock", of_all(|c| c.plan.stepped_reads().expect("read"))),
        // Each coordinator also ends once at the end of the run.
        ("restarts", ended - coordinators.len() as u64),
    ];
    let answers = AnswerFaults::ALL
        .into_iter()
        .map(|fault| (format!("answers {fault:?}"), discovery.answer_faults.fired(fault)));
    let calls = FAULTS.iter().map(|(fault, _)| {
        let fired = coordinators.iter().map(|c| c.plan.fired(*fault).expect("read")).sum();
        (format!("{fault:?}"), fired)
    });
    disruptions.iter().map(|(name, n)| ((*name).to_owned(), *n)).chain(answers).chain(calls).collect()
}

/// Everything that disruptions act on.
#[derive(Clone, Copy)]
struct TestEnvironment<'a> {
    nodes: &'a [Arc<Node>],
    discovery: &'a Discovery,
    coordinators: &'a [Coordinator],
    /// The number of connections made by crowds.
    crowds: &'a AtomicU64,
    event_log: &'a EventLog,
}

impl TestEnvironment<'_> {
    fn apply(&self, planned: &PlannedDisruption) {
        let TestEnvironment { nodes, discovery, coordinators: all, .. } = *self;
        let wait = || std::thread::sleep(planned.duration);
        match planned.disruption {
            Disruption::Restart { coordinator, signals } => {
                exclusive(&all[coordinator], |c| self.restart(c, coordinator, signals));
            }
            Disruption::Reload { coordinator, times } => {
                (0..times).for_each(|_| {
                    exclusive(&all[coordinator], |c| {
                        discovery.record_reload(coordinator);
                        c.reload();
                    });
                });
            }
            Disruption::Pause { coordinator } => exclusive(&all[coordinator], |c| c.pause(PAUSE_DURATION)),
            Disruption::StepWallClock { coordinator, by_ns } => {
                all[coordinator].plan.step_wall_clock(by_ns).expect("stepped");
            }
            Disruption::RestartWithSteppedClock { coordinator, by_ns } => exclusive(&all[coordinator], |c| {
                c.plan.step_wall_clock(by_ns).expect("stepped");
                self.restart(c, coordinator, StopSignals::Term);
            }),
            Disruption::CallsFail { fault, per_mille } => self.fail_calls(fault, per_mille, planned.duration),
            Disruption::NodeHangs { node } => {
                nodes[node].hangs.store(true, Ordering::SeqCst);
                wait();
                wait_until_fired(|| nodes.iter().any(|n| n.hung.load(Ordering::SeqCst) > 0));
                nodes[node].hangs.store(false, Ordering::SeqCst);
            }
            Disruption::NodeResets { node } => nodes[node].reset(),
            Disruption::NodeAcceptsLate { node } => nodes[node].pause_accepting(planned.duration),
            Disruption::NodeRestarts { node } => discovery.restart(&nodes[node]),
            Disruption::NodeDrains { node } => {
                discovery.wait_until_up();
                nodes[node].wait_until_ready();
                discovery.drain(&nodes[node], true);
                wait();
                discovery.drain(&nodes[node], false);
            }
            Disruption::DiscoveryDown => {
                discovery.set_down(true);
                wait();
                discovery.set_down(false);
            }
            Disruption::DiscoveryHangs { node } => {
                nodes[node].wait_until_ready();
                discovery.set_hangs(true);
                std::thread::sleep(DRAIN_AFTER_HANG);
                discovery.drain(&nodes[node], true);
                discovery.wait_while_up_for(planned.duration);
                discovery.set_hangs(false);
                std::thread::sleep(DRAIN_BEYOND_HANG);
                discovery.drain(&nodes[node], false);
            }
            Disruption::AnswersFail { fault } => {
                discovery.answer_faults.set(fault, true);
                wait();
                discovery.answer_faults.wait_until_fired(fault);
                discovery.answer_faults.set(fault, false);
            }
            Disruption::Crowd { coordinator } => {
                let established =
                    crowd::run(&all[coordinator], coordinator, planned.duration, self.event_log);
                self.crowds.fetch_add(established, Ordering::SeqCst);
            }
        }
    }

    fn restart(&self, coordinator: &Coordinator, number: usize, signals: StopSignals) {
        if let StopSignals::HangupThenTerm(_) = signals {
            self.discovery.record_reload(number);
        }
        coordinator.restart(signals, || self.discovery.clear_announcements(number));
    }

    fn fail_calls(&self, fault: Fault, per_mille: u64, duration: Duration) {
        let all = self.coordinators;
        all.iter().for_each(|c| c.plan.arm(fault, per_mille, UNLIMITED).expect("armed"));
        // New connections are opened only if existing ones break.
        if matches!(fault, Fault::SocketFails | Fault::ConnectNoAddress)
            || matches!(fault, Fault::ConnectUnreachable | Fault::ConnectInterrupted)
        {
            self.nodes.iter().for_each(|node| node.reset());
        }
        std::thread::sleep(duration);
        wait_until_fired(|| all.iter().any(|c| c.plan.fired(fault).expect("read") > 0));
        all.iter().for_each(|c| c.plan.disarm(fault).expect("disarmed"));
    }
}

/// Waits until a fault has fired in this run, but not for longer than [`MAX_WAIT_FOR_FAULT`].
fn wait_until_fired(fired: impl Fn() -> bool) {
    let started = Instant::now();
    while !fired() && started.elapsed() < MAX_WAIT_FOR_FAULT {
        std::thread::sleep(FAULT_POLL_INTERVAL);
    }
}

/// Applies at most one disruption at a time to a process, since the process must be running when it is
/// signalled. A disruption of a process that is restarting waits for the restart.
fn exclusive(coordinator: &Coordinator, disruption: impl FnOnce(&Coordinator)) {
    let _guard = coordinator.signal_lock.lock().expect("not poisoned");
    disruption(coordinator);
}

#[test]
fn runs_of_some_seeds() {
    let size = Size {
        coordinators: number_from_environment("SOAK_COORDINATORS", 6),
        span: Duration::from_secs(number_from_environment("SOAK_SECONDS", 5) as u64),
    };
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or("1..5".to_owned());
    let (first, end) = seeds.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    let (first, end): (u64, u64) = (first.parse().expect("a seed"), end.parse().expect("a seed"));
    let mut failures = Vec::new();
    for seed in first..end {
        println!("seed {seed}: {}", size.command(seed));
        let result = run(seed, &size);
        println!(
            "seed {seed}: {} queries, {} answered, {} errors; disruptions {:?}",
            result.sent,
            result.answered,
            result.errors.len(),
            result.disruption_counts
        );
        let silent = result.disruption_counts.iter().filter(|(_, n)| *n == 0);
        failures.extend(silent.map(|(fault, _)| format!("seed {seed}: {fault} never fired")));
        failures.extend(result.errors.into_iter().map(|line| format!("seed {seed}: {line}")));
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}
