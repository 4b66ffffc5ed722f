//! Every order of the takeover of one work: three members, one part that must not repeat, an owner under ballot 0 and
//! both others as successors. The acceptors are the program's own; what was said once may arrive at any later time, any
//! number of times or never, and its answer may be lost. No clock: what is shown here rests on no lease.
use std::collections::BTreeSet;

use marlgap::cluster::takeover::slot::{Acceptor, Opening, PromiseCheck};
use stateright::{Checker, HasDiscoveries, Model, Property};

const MEMBERS: usize = 3;
const BALLOTS: [u64; MEMBERS] = [0, 4, 5];

/// What is written: attempts granted, and the outcome by the ballot of who made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Said {
    seq: u64,
    granted: u32,
    outcome: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Lead {
    Idle,
    Prepare { by: u8, best: Option<(u64, Said)> },
    Write { said: Said, by: u8, base: u32, sent: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor<Said>>,
    /// By member: asked for promises; writes that went out.
    prepared: [bool; MEMBERS],
    written: BTreeSet<(usize, Said)>,
    leads: Vec<Lead>,
    ran: u8,
    answers: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Begin(usize),
    Prepare { leader: usize, at: usize, heard: bool },
    Accept { leader: usize, said: Said, at: usize, heard: bool },
    GoOn(usize),
    Send(usize),
    Finish(usize),
    Answer(usize),
}

struct Takeover {
    promise: PromiseCheck,
    intent: bool,
    outcome_first: bool,
}

impl Opening for Said {
    fn opening_id(&self) -> u64 {
        0
    }
}

fn many(by: u8) -> bool {
    by.count_ones() as usize > MEMBERS / 2
}

impl State {
    fn write(&mut self, leader: usize, said: Said, base: u32, sent: bool) {
        self.written.insert((leader, said));
        self.leads[leader] = Lead::Write { said, by: 0, base, sent };
    }
}

impl Model for Takeover {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            acceptors: vec![Acceptor::default(); MEMBERS],
            prepared: [false; MEMBERS],
            written: BTreeSet::new(),
            leads: vec![Lead::Idle; MEMBERS],
            ran: 0,
            answers: BTreeSet::new(),
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        for leader in 0..MEMBERS {
            match &s.leads[leader] {
                Lead::Idle => steps.push(Step::Begin(leader)),
                Lead::Prepare { by, .. } if many(*by) => steps.push(Step::GoOn(leader)),
                Lead::Prepare { .. } => {}
                Lead::Write { said, by, base, sent } => {
                    if said.outcome.is_none() && !sent && *base == 0 && (many(*by) || !self.intent) {
                        steps.push(Step::Send(leader));
                    }
                    if said.outcome.is_none() && (*sent || *base > 0) && many(*by) {
                        steps.push(Step::Finish(leader));
                    }
                    if said.outcome.is_some() && (many(*by) || !self.outcome_first) {
                        steps.push(Step::Answer(leader));
                    }
                }
            }
            for (at, heard) in (0..MEMBERS).flat_map(|at| [(at, true), (at, false)]) {
                if s.prepared[leader] {
                    steps.push(Step::Prepare { leader, at, heard });
                }
                for (_, said) in s.written.iter().filter(|(l, _)| *l == leader) {
                    steps.push(Step::Accept { leader, said: *said, at, heard });
                }
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Begin(0) => s.write(0, Said { seq: 1, granted: 1, outcome: None }, 0, false),
            Step::Begin(leader) => {
                s.prepared[leader] = true;
                s.leads[leader] = Lead::Prepare { by: 0, best: None };
            }
            Step::Prepare { leader, at, heard } => {
                let given = s.acceptors[at].prepare(self.promise, BALLOTS[leader]).is_ok();
                let shows = s.acceptors[at].accepted.as_ref().map(|a| (a.ballot, a.record));
                if let Lead::Prepare { by, best } = &mut s.leads[leader] {
                    if given && heard {
                        *by |= 1 << at;
                        *best = (*best).max(shows);
                    }
                }
            }
            Step::Accept { leader, said: w, at, heard } => {
                let stands = s.acceptors[at].accept(self.promise, BALLOTS[leader], w.seq, &w);
                if let Lead::Write { said, by, .. } = &mut s.leads[leader] {
                    if heard && stands.is_ok_and(|seq| seq >= said.seq) {
                        *by |= 1 << at;
                    }
                }
            }
            Step::GoOn(leader) => {
                let Lead::Prepare { best, .. } = s.leads[leader] else { return None };
                match best {
                    Some((_, b)) => s.write(leader, Said { seq: b.seq + 1, ..b }, b.granted, false),
                    None => s.write(leader, Said { seq: 1, granted: 1, outcome: None }, 0, false),
                }
            }
            Step::Send(leader) => {
                let Lead::Write { sent, .. } = &mut s.leads[leader] else { return None };
                (*sent, s.ran) = (true, s.ran + 1);
            }
            Step::Finish(leader) => {
                let Lead::Write { said, base, sent, .. } = s.leads[leader] else { return None };
                s.write(
                    leader,
                    Said { seq: said.seq + 1, outcome: Some(BALLOTS[leader]), ..said },
                    base,
                    sent,
                );
            }
            Step::Answer(leader) => {
                let Lead::Write { said, .. } = s.leads[leader] else { return None };
                s.answers.extend(said.outcome);
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("ran at most once", |_, s: &State| s.ran <= 1),
            Property::always("one outcome", |_, s: &State| s.answers.len() <= 1),
            Property::sometimes("a successor's outcome", |_, s: &State| s.answers.contains(&5)),
        ]
    }
}

/// States looked at most: over twice what all orders with every guard in come to.
const MOST_STATES: usize = 6_000_000;

/// What is found, by the first order that breaks a property or by all orders.
fn found(model: Takeover) -> Vec<&'static str> {
    let checker = model.checker().threads(4).target_state_count(MOST_STATES);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let (states, unlike, depth) = (checker.state_count(), checker.unique_state_count(), checker.max_depth());
    println!("{states} states, {unlike} of them unlike, depth {depth}");
    assert!(states < MOST_STATES, "not all orders were looked at");
    let found = checker.discoveries();
    let properties = ["ran at most once", "one outcome", "a successor's outcome"];
    properties.into_iter().filter(|p| found.contains_key(p)).collect()
}

fn broken(model: Takeover) -> Vec<&'static str> {
    found(model).into_iter().filter(|p| *p != "a successor's outcome").collect()
}

#[test]
fn one_takeover_in_every_order() {
    let all = Takeover { promise: PromiseCheck::Enforced, intent: true, outcome_first: true };
    assert_eq!(found(all), ["a successor's outcome"]);
}

#[test]
fn the_model_finds_each_guard_that_is_taken_out() {
    let all = || Takeover { promise: PromiseCheck::Enforced, intent: true, outcome_first: true };
    assert!(!broken(Takeover { promise: PromiseCheck::Disabled, ..all() }).is_empty());
    assert_eq!(broken(Takeover { intent: false, ..all() }), ["ran at most once"]);
    assert_eq!(broken(Takeover { outcome_first: false, ..all() }), ["one outcome"]);
}
