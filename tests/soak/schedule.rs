//! The disruptions of a run, drawn from its seed. Several overlap at any time.
use std::time::Duration;

use fault_control::Fault;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::coordinator::StopSignals;
use crate::discovery::{AnswerFault, AnswerFaults};

/// The system call faults that a run injects, each in a window of its own, with the number of affected
/// calls per thousand.
pub const FAULTS: [(Fault, u64); 13] = [
    (Fault::ReceiveInterrupted, 200),
    (Fault::SendInterrupted, 200),
    (Fault::ReceiveShort, 300),
    (Fault::SendShort, 300),
    (Fault::ReceiveTimedOut, 20),
    (Fault::SendUnreachable, 20),
    (Fault::AcceptAborted, 500),
    (Fault::AcceptFull, 300),
    (Fault::SocketFails, 500),
    (Fault::ConnectNoAddress, 500),
    (Fault::ConnectUnreachable, 500),
    (Fault::ConnectInterrupted, 500),
    (Fault::WaitInterrupted, 300),
];

/// The duration for which a process is paused.
pub const PAUSE_DURATION: Duration = Duration::from_millis(140);
const SECOND_NS: i64 = 1_000_000_000;
/// The steps of a wall clock, in seconds, forward or backward.
const STEPS_S: [i64; 4] = [2, 5, 60, 3600];
/// One run out of this number has a crowd.
const RUNS_PER_CROWD: u64 = 3;

/// One run out of this number has a long hang of discovery.
const RUNS_PER_LONG_HANG: u64 = 4;
/// The duration of a long hang.
const LONG_HANG: Duration = Duration::from_millis(7500);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disruption {
    Restart {
        coordinator: usize,
        signals: StopSignals,
    },
    /// Several new configurations in a row.
    Reload {
        coordinator: usize,
        times: usize,
    },
    Pause {
        coordinator: usize,
    },
    StepWallClock {
        coordinator: usize,
        by_ns: i64,
    },
    /// The wall clock is stepped before the process restarts.
    RestartWithSteppedClock {
        coordinator: usize,
        by_ns: i64,
    },
    CallsFail {
        fault: Fault,
        per_mille: u64,
    },
    NodeHangs {
        node: usize,
    },
    NodeResets {
        node: usize,
    },
    NodeDrains {
        node: usize,
    },
    /// The node accepts no connections for a while.
    NodeAcceptsLate {
        node: usize,
    },
    NodeRestarts {
        node: usize,
    },
    DiscoveryDown,
    /// Discovery does not answer any more, and a data node drains right after.
    DiscoveryHangs {
        node: usize,
    },
    AnswersFail {
        fault: AnswerFault,
    },
    /// Many more connections than there are file descriptors, both idle and busy ones.
    Crowd {
        coordinator: usize,
    },
}

/// A disruption with its start time and, where applicable, its duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedDisruption {
    pub at: Duration,
    pub duration: Duration,
    pub disruption: Disruption,
}

/// Returns the coordinator to which a crowd connects in the run of a seed, if any.
pub fn crowd_target(seed: u64) -> Option<usize> {
    seed.is_multiple_of(RUNS_PER_CROWD).then_some(0)
}

/// Returns whether discovery hangs for so long, in the run of a seed, that what it does not tell counts as
/// notified.
pub fn hangs_for_long(seed: u64) -> bool {
    seed % RUNS_PER_LONG_HANG == 2
}

/// Draws the random choices of a schedule.
struct ScheduleGenerator {
    random: Pcg64Mcg,
    coordinators: usize,
    nodes: usize,
}

impl ScheduleGenerator {
    fn random_below(&mut self, n: usize) -> usize {
        self.random.next_u32() as usize % n
    }

    fn coordinator(&mut self) -> usize {
        self.random_below(self.coordinators)
    }

    fn node(&mut self) -> usize {
        self.random_below(self.nodes)
    }

    fn millis(&mut self, n: usize) -> u64 {
        self.random_below(n) as u64
    }

    fn step_ns(&mut self) -> i64 {
        let by = STEPS_S[self.random_below(STEPS_S.len())] * SECOND_NS;
        if self.random_below(2) == 0 {
            by
        } else {
            -by
        }
    }

    /// Returns the disruptions that occur once in each run.
    fn single_disruptions(&mut self) -> Vec<Disruption> {
        let signals = [
            StopSignals::TermTwice(self.millis(300)),
            StopSignals::HangupThenTerm(0),
            StopSignals::HangupThenTerm(1 + self.millis(9)),
            StopSignals::TermWhileStopped,
            StopSignals::TermAgainDuringStart(self.millis(30)),
        ];
        let restarts =
            signals.map(|signals| Disruption::Restart { coordinator: self.coordinator(), signals });
        let single = [
            Disruption::StepWallClock { coordinator: self.coordinator(), by_ns: self.step_ns() },
            Disruption::RestartWithSteppedClock { coordinator: self.coordinator(), by_ns: self.step_ns() },
            Disruption::NodeDrains { node: self.node() },
            Disruption::NodeRestarts { node: self.node() },
            Disruption::DiscoveryDown,
        ];
        restarts.into_iter().chain(single).collect()
    }

    /// Returns the disruptions that occur more often in larger runs.
    fn repeated_disruptions(&mut self) -> Vec<Disruption> {
        let mut disruptions = Vec::new();
        for _ in 0..self.coordinators.div_ceil(3) {
            disruptions
                .push(Disruption::Restart { coordinator: self.coordinator(), signals: StopSignals::Term });
            disruptions.push(Disruption::Reload {
                coordinator: self.coordinator(),
                times: 1 + self.random_below(3),
            });
            disruptions.push(Disruption::Pause { coordinator: self.coordinator() });
        }
        for _ in 0..self.nodes.div_ceil(3) {
            disruptions.push(Disruption::NodeHangs { node: self.node() });
            disruptions.push(Disruption::NodeResets { node: self.node() });
            disruptions.push(Disruption::NodeAcceptsLate { node: self.node() });
        }
        disruptions
    }
}

/// Returns the schedule of a run, which depends only on the seed. Each kind of disruption occurs at least
/// once, except for crowds.
pub fn plan_disruptions(
    seed: u64,
    coordinators: usize,
    nodes: usize,
    span: Duration,
) -> Vec<PlannedDisruption> {
    let mut generator = ScheduleGenerator { random: Pcg64Mcg::seed_from_u64(seed), coordinators, nodes };
    let fails = |(fault, per_mille)| Disruption::CallsFail { fault, per_mille };
    let mut disruptions: Vec<Disruption> = FAULTS.into_iter().map(fails).collect();
    disruptions.extend(generator.single_disruptions());
    disruptions.extend(generator.repeated_disruptions());
    disruptions.push(Disruption::DiscoveryHangs { node: generator.node() });
    disruptions.extend(AnswerFaults::ALL.map(|fault| Disruption::AnswersFail { fault }));
    disruptions.extend(crowd_target(seed).map(|coordinator| Disruption::Crowd { coordinator }));
    let mut planned: Vec<PlannedDisruption> = disruptions
        .into_iter()
        .map(|disruption| {
            let at = Duration::from_millis(300 + generator.millis(span.as_millis() as usize - 300));
            let duration = Duration::from_millis(500 + generator.millis(1000));
            let is_long = hangs_for_long(seed) && matches!(disruption, Disruption::DiscoveryHangs { .. });
            let duration = if is_long { LONG_HANG } else { duration };
            PlannedDisruption { at, duration, disruption }
        })
        .collect();
    planned.sort_by_key(|p| p.at);
    planned
}
