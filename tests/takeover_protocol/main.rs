//! The takeover protocol, simulated with thousands of fixed seeds. With each safety check disabled in turn,
//! some seeds must show the violation that the check prevents.
mod check;
mod model;
mod sim;

use std::collections::BTreeMap;
use std::thread;

use check::REFUSED_AFTER_ATTEMPT;
use marlgap::cluster::takeover::slot::PromiseCheck;
use marlgap::cluster::takeover::{ClientReply, SafetyChecks};
use sim::{Plan, Simulation, SECOND};

fn mixed_faults(seed: u64) -> Plan {
    let base = Plan { members: 3 + seed as usize % 7, ..Plan::default() };
    match seed % 8 {
        0 => Plan { faults_end_at: 1, ..base },
        1 => Plan { loss_permille: 150, slow_permille: 30, ..base },
        2 => Plan { cuts: 6, slow_permille: 20, ..base },
        3 => Plan { pauses: 5, slow_permille: 20, ..base },
        4 => Plan { kills: 1, slow_permille: 10, ..base },
        5 => Plan { kills: 3, restarts: true, slow_permille: 20, ..base },
        6 => Plan { reconfigures: true, cuts: 3, loss_permille: 50, members: base.members + 1, ..base },
        _ => Plan { loss_permille: 50, slow_permille: 50, cuts: 5, pauses: 3, kills: 1, ..base },
    }
}

/// Three members with links that are cut most of the time, which exercises the orders of events in which
/// leases matter.
fn cut_links(seed: u64) -> Plan {
    Plan { cuts: 8, pauses: seed % 3, slow_permille: 20, ..Plan::default() }
}

/// The invariants violated, with their seeds, and how often each kind of event occurred.
#[derive(Default, Debug)]
struct Summary {
    violations: BTreeMap<&'static str, Vec<u64>>,
    outcomes: usize,
    late: usize,
    rejected: usize,
    id_conflicts: usize,
    taken_over: u64,
    lost_ballots: u64,
    lease_deferrals: u64,
    fenced: u64,
    messages: u64,
}

impl Summary {
    fn of_seed(seed: u64, plan: Plan, checks: SafetyChecks) -> Summary {
        let mut simulation = Simulation::new(seed, plan, checks);
        simulation.run(plan.faults_end_at + 5 * SECOND);
        simulation.check_end(!plan.restarts);
        let mut summary = Summary { messages: simulation.messages, ..Summary::default() };
        let states = simulation
            .nodes
            .iter()
            .map(|n| &n.takeover)
            .chain(simulation.dead.iter().map(|(_, state)| state));
        for counts in states.map(|state| state.counters()) {
            summary.taken_over += counts.taken_over;
            summary.lost_ballots += counts.lost_ballots;
            summary.lease_deferrals += counts.lease_deferrals;
            summary.fenced += counts.fenced;
        }
        for reply in simulation.clients.iter().flat_map(|c| &c.replies) {
            match reply {
                ClientReply::Outcome(_) => summary.outcomes += 1,
                ClientReply::IdConflict => summary.id_conflicts += 1,
                ClientReply::Rejected { .. } => summary.rejected += 1,
                _ => summary.late += 1,
            }
        }
        summary.violations =
            simulation.history.violations.into_iter().map(|violation| (violation, vec![seed])).collect();
        summary
    }

    fn merge(mut self, other: Summary) -> Summary {
        for (violation, seeds) in other.violations {
            self.violations.entry(violation).or_default().extend(seeds);
        }
        self.outcomes += other.outcomes;
        self.late += other.late;
        self.rejected += other.rejected;
        self.id_conflicts += other.id_conflicts;
        self.taken_over += other.taken_over;
        self.lost_ballots += other.lost_ballots;
        self.lease_deferrals += other.lease_deferrals;
        self.fenced += other.fenced;
        self.messages += other.messages;
        self
    }
}

fn run_seeds(seeds: std::ops::Range<u64>, checks: SafetyChecks, plan: fn(u64) -> Plan) -> Summary {
    let cores = thread::available_parallelism().map_or(1, |n| n.get()).min(8) as u64;
    let part = move |first: u64| {
        let seeds = (seeds.start + first..seeds.end).step_by(cores as usize);
        seeds.map(|seed| Summary::of_seed(seed, plan(seed), checks)).fold(Summary::default(), Summary::merge)
    };
    thread::scope(|scope| {
        let part = &part;
        let all: Vec<_> = (0..cores).map(|first| scope.spawn(move || part(first))).collect();
        all.into_iter()
            .map(|t| t.join().expect("a run that does not panic"))
            .fold(Summary::default(), Summary::merge)
    })
}

#[test]
fn no_invariant_is_violated_in_eight_thousand_seeds() {
    let summary = run_seeds(0..6000, SafetyChecks::default(), mixed_faults).merge(run_seeds(
        0..2000,
        SafetyChecks::default(),
        cut_links,
    ));
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    // The runs must have exercised the cases under test.
    assert!(summary.outcomes > 20 * summary.late && summary.id_conflicts > 500, "{summary:?}");
    assert!(summary.taken_over > 2000 && summary.lost_ballots > 200 && summary.fenced > 500, "{summary:?}");
}

#[test]
fn three_hundred_members_tolerate_kills_pauses_and_cut_links() {
    let plan = |_| Plan {
        members: 300,
        ids: 1500,
        loss_permille: 20,
        slow_permille: 10,
        cuts: 300,
        pauses: 60,
        kills: 80,
        restarts: true,
        ..Plan::default()
    };
    let summary = run_seeds(0..2, SafetyChecks::default(), plan);
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.taken_over > 100 && summary.outcomes > 2000, "{summary:?}");
}

#[test]
fn groups_of_five_tolerate_mixed_faults() {
    let five = |seed| Plan { members: 6 + seed as usize % 4, group: 5, ..mixed_faults(seed) };
    let summary = run_seeds(0..1000, SafetyChecks::default(), five);
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.taken_over > 200 && summary.outcomes > 20 * summary.late, "{summary:?}");
}

/// Members hold at most three work items. Further requests are rejected, and this violates no other
/// invariant.
#[test]
fn requests_over_capacity_are_rejected() {
    let small_capacity = |seed| Plan { ids: 20, max_work_items: Some(3), ..mixed_faults(seed) };
    let mut summary = run_seeds(0..500, SafetyChecks::default(), small_capacity);
    println!("{summary:?}");
    summary.violations.remove("no outcome after the faults ended");
    // The tests below check this one, with more seeds.
    summary.violations.remove(REFUSED_AFTER_ATTEMPT);
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.rejected > 500 && summary.outcomes > 500, "{summary:?}");
    // The same holds if the groups of earlier epochs have no capacity for a fence.
    let reconfigured_plan = |seed| Plan { ids: 20, max_work_items: Some(3), ..mixed_faults(8 * seed + 6) };
    let reconfigured = run_seeds(0..60, SafetyChecks::default(), reconfigured_plan);
    assert!(reconfigured.rejected > 500 && reconfigured.late == 0, "{reconfigured:?}");
    // Without faults every client that is not rejected receives an outcome.
    let without_faults = run_seeds(0..60, SafetyChecks::default(), |seed| Plan {
        ids: 20,
        max_work_items: Some(3),
        ..mixed_faults(8 * seed)
    });
    assert!(
        without_faults.rejected > 500 && without_faults.outcomes > 300 && without_faults.late == 0,
        "{without_faults:?}"
    );
}

/// Returns the seeds in which a client was told that its query was refused after an attempt of it had been
/// made, among runs in which members hold at most three work items.
fn seeds_with_late_refusals(seeds: std::ops::Range<u64>, plan: fn(u64) -> Plan) -> Vec<u64> {
    let summary = run_seeds(seeds, SafetyChecks::default(), plan);
    assert!(summary.rejected > 500 && summary.outcomes > 500, "{summary:?}");
    summary.violations.get(REFUSED_AFTER_ATTEMPT).cloned().unwrap_or_default()
}

/// Guards against a query that is refused because one member has no capacity, although it runs at others. In
/// groups of three and of five; without changes of the configuration, which the next test makes.
#[test]
fn a_query_is_not_refused_after_an_attempt_was_made() {
    let without_changes = |seed| {
        let mixed = mixed_faults(seed);
        Plan { ids: 20, max_work_items: Some(3), reconfigures: false, ..mixed }
    };
    assert_eq!(seeds_with_late_refusals(0..2000, without_changes), Vec::<u64>::new());
    let of_five = |seed| {
        let mixed = mixed_faults(seed);
        let members = 6 + seed as usize % 4;
        Plan { ids: 20, max_work_items: Some(3), reconfigures: false, members, group: 5, ..mixed }
    };
    assert_eq!(seeds_with_late_refusals(0..2000, of_five), Vec::<u64>::new());
}

/// The same while the configuration changes: the group of an earlier epoch may run the query.
#[test]
fn a_query_is_not_refused_after_an_attempt_was_made_in_an_earlier_epoch() {
    let with_changes = |seed| Plan { ids: 20, max_work_items: Some(3), ..mixed_faults(8 * seed + 6) };
    assert_eq!(seeds_with_late_refusals(0..250, with_changes), Vec::<u64>::new());
}

/// Counts the messages between members for one query, with groups of three and no faults, submitted to a
/// member outside the group.
#[test]
fn a_query_without_faults_costs_fewer_than_thirty_messages() {
    let plan = |_| Plan { members: 9, ids: 1, faultless: true, faults_end_at: 1, ..Plan::default() };
    let summary = run_seeds(0..100, SafetyChecks::default(), plan);
    println!("messages per query: {}", summary.messages as f64 / 100.0);
    assert!(summary.messages < 100 * 30, "{summary:?}");
}

/// Asserts that with one safety check disabled the expected invariants are violated. With all checks enabled
/// none is, as tested above.
fn assert_finds(checks: SafetyChecks, expected: &[&str]) {
    assert_finds_with(mixed_faults, checks, expected);
}

fn assert_finds_with(plan: fn(u64) -> Plan, checks: SafetyChecks, expected: &[&str]) {
    let all_found = |f: &Summary| expected.iter().all(|violation| f.violations.contains_key(violation));
    let mut summary = Summary::default();
    for first in (0..6000).step_by(500) {
        summary = summary.merge(run_seeds(first..first + 500, checks, plan));
        if all_found(&summary) {
            break;
        }
    }
    let seeds: Vec<_> = expected
        .iter()
        .map(|violation| (violation, summary.violations.get(violation).map_or(0, Vec::len)))
        .collect();
    println!(
        "{seeds:?} of {:?}",
        summary.violations.iter().map(|(violation, seeds)| (violation, seeds.len())).collect::<Vec<_>>()
    );
    assert!(seeds.iter().all(|(_, n)| *n > 0), "{seeds:?}");
}

#[test]
fn without_promises_there_are_two_outcomes() {
    assert_finds(
        SafetyChecks { promise: PromiseCheck::Disabled, ..SafetyChecks::default() },
        &["two outcomes for one id"],
    );
}

#[test]
fn without_the_acceptor_lease_check_attempts_are_sent_under_a_lost_ballot() {
    assert_finds_with(
        cut_links,
        SafetyChecks { acceptor_lease: false, ..SafetyChecks::default() },
        &["attempt sent under a lost ballot"],
    );
}

#[test]
fn without_the_leader_lease_check_attempts_are_sent_under_a_lost_ballot() {
    assert_finds_with(
        cut_links,
        SafetyChecks { leader_lease: false, ..SafetyChecks::default() },
        &["attempt sent under a lost ballot"],
    );
}

#[test]
fn without_grants_a_part_runs_twice() {
    assert_finds(
        SafetyChecks { replicate_grant_first: false, ..SafetyChecks::default() },
        &["part ran more than once"],
    );
}

#[test]
fn without_a_majority_for_the_outcome_it_is_answered_too_early() {
    assert_finds(
        SafetyChecks { replicate_outcome_first: false, ..SafetyChecks::default() },
        &["answered before a majority held the outcome"],
    );
}

#[test]
fn without_incarnations_a_restarted_member_breaks_its_promises() {
    assert_finds(
        SafetyChecks { incarnation: false, ..SafetyChecks::default() },
        &["answered before a majority held the outcome", "part ran more than once"],
    );
}

#[test]
fn without_a_majority_for_the_record_it_is_started_too_early() {
    assert_finds(
        SafetyChecks { replicate_record_first: false, ..SafetyChecks::default() },
        &["started before a majority held the record"],
    );
}

#[test]
fn without_fences_there_are_two_outcomes() {
    assert_finds(SafetyChecks { fence: false, ..SafetyChecks::default() }, &["two outcomes for one id"]);
}

#[test]
fn without_the_id_check_an_outcome_of_another_payload_is_answered() {
    assert_finds(
        SafetyChecks { id_conflict: false, ..SafetyChecks::default() },
        &["outcome of another payload"],
    );
}
