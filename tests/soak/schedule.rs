//! The troubles of a run, drawn from its seed: several overlap at any time.
use std::time::Duration;

use fault_control::Fault;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::coordinator::StopSignals;

/// Faults of system calls that a run injects, each in a window of its own, and in how many of a thousand calls.
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

/// How long a process is held up.
pub const HELD_UP: Duration = Duration::from_millis(140);
const SECOND_NS: i64 = 1_000_000_000;
/// By what a wall clock is stepped, in seconds, ahead or back.
const STEPS_S: [i64; 4] = [2, 5, 60, 3600];
/// How many runs there are for one with a crowd.
const RUNS_PER_CROWD: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Restart {
        coordinator: usize,
        signals: StopSignals,
    },
    /// New configurations, so many in a row.
    Reload {
        coordinator: usize,
        times: usize,
    },
    HoldUp {
        coordinator: usize,
    },
    StepWallClock {
        coordinator: usize,
        by_ns: i64,
    },
    /// The wall clock is stepped before the process starts anew.
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
    /// It accepts no connections for a while.
    NodeAcceptsLate {
        node: usize,
    },
    NodeRestarts {
        node: usize,
    },
    DiscoveryDown,
    /// Many more connections than there are descriptors, idle ones and busy ones.
    Crowd {
        coordinator: usize,
    },
}

/// A trouble, when it begins and how long it lasts, for those that last.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub at: Duration,
    pub lasts: Duration,
    pub trouble: Trouble,
}

/// The coordinator that a crowd comes to in the run of a seed, if one does.
pub fn crowded(seed: u64) -> Option<usize> {
    seed.is_multiple_of(RUNS_PER_CROWD).then_some(0)
}

/// Draws of a plan.
struct Draws {
    random: Pcg64Mcg,
    coordinators: usize,
    nodes: usize,
}

impl Draws {
    fn below(&mut self, n: usize) -> usize {
        self.random.next_u32() as usize % n
    }

    fn coordinator(&mut self) -> usize {
        self.below(self.coordinators)
    }

    fn node(&mut self) -> usize {
        self.below(self.nodes)
    }

    fn millis(&mut self, n: usize) -> u64 {
        self.below(n) as u64
    }

    fn step_ns(&mut self) -> i64 {
        let by = STEPS_S[self.below(STEPS_S.len())] * SECOND_NS;
        if self.below(2) == 0 {
            by
        } else {
            -by
        }
    }

    /// The troubles that come once in each run.
    fn once(&mut self) -> Vec<Trouble> {
        let signals = [
            StopSignals::TermTwice(self.millis(300)),
            StopSignals::HangupThenTerm(0),
            StopSignals::HangupThenTerm(1 + self.millis(9)),
            StopSignals::TermWhileStopped,
            StopSignals::TermAgainDuringStart(self.millis(30)),
        ];
        let restarts = signals.map(|signals| Trouble::Restart { coordinator: self.coordinator(), signals });
        let single = [
            Trouble::StepWallClock { coordinator: self.coordinator(), by_ns: self.step_ns() },
            Trouble::RestartWithSteppedClock { coordinator: self.coordinator(), by_ns: self.step_ns() },
            Trouble::NodeDrains { node: self.node() },
            Trouble::NodeRestarts { node: self.node() },
            Trouble::DiscoveryDown,
        ];
        restarts.into_iter().chain(single).collect()
    }

    /// The troubles that come more often in larger runs.
    fn repeated(&mut self) -> Vec<Trouble> {
        let mut troubles = Vec::new();
        for _ in 0..self.coordinators.div_ceil(3) {
            troubles.push(Trouble::Restart { coordinator: self.coordinator(), signals: StopSignals::Term });
            troubles.push(Trouble::Reload { coordinator: self.coordinator(), times: 1 + self.below(3) });
            troubles.push(Trouble::HoldUp { coordinator: self.coordinator() });
        }
        for _ in 0..self.nodes.div_ceil(3) {
            troubles.push(Trouble::NodeHangs { node: self.node() });
            troubles.push(Trouble::NodeResets { node: self.node() });
            troubles.push(Trouble::NodeAcceptsLate { node: self.node() });
        }
        troubles
    }
}

/// The plan of a run: the same for the same seed. Each sort of trouble comes at least once, but for crowds.
pub fn plan(seed: u64, coordinators: usize, nodes: usize, span: Duration) -> Vec<Planned> {
    let mut draws = Draws { random: Pcg64Mcg::seed_from_u64(seed), coordinators, nodes };
    let fails = |(fault, per_mille)| Trouble::CallsFail { fault, per_mille };
    let mut troubles: Vec<Trouble> = FAULTS.into_iter().map(fails).collect();
    troubles.extend(draws.once());
    troubles.extend(draws.repeated());
    troubles.extend(crowded(seed).map(|coordinator| Trouble::Crowd { coordinator }));
    let mut planned: Vec<Planned> = troubles
        .into_iter()
        .map(|trouble| {
            let at = Duration::from_millis(300 + draws.millis(span.as_millis() as usize - 300));
            let lasts = Duration::from_millis(500 + draws.millis(1000));
            Planned { at, lasts, trouble }
        })
        .collect();
    planned.sort_by_key(|p| p.at);
    planned
}
