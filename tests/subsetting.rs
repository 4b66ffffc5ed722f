//! The choice of replicas that a coordinator works with, against its invariants, over drawn changes of the list.
use std::collections::{BTreeMap, BTreeSet};

use marlgap::balancer::interface::*;
use marlgap::subsetting::{Subset, MIN_PER_CELL};
use proptest::prelude::*;

const MOST: usize = 12;
const CELLS: u16 = 4;

fn entry(replica: u64, phase: EndpointState, started: u64) -> Endpoint {
    let cell = CellId((replica % u64::from(CELLS)) as u16);
    let started = (started > 0).then_some(started as f64);
    Endpoint { replica: ReplicaId(replica), zone: ZoneId(0), cell, state: phase, weight: 1.0, started }
}

/// A whole list or changes of it, by replica.
#[derive(Clone, Debug)]
enum Step {
    Whole(BTreeMap<u64, (EndpointState, u64)>),
    Changes(BTreeMap<u64, (EndpointState, u64)>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let phase = prop_oneof![5 => Just(EndpointState::Ready), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)];
    let entries = |most| prop::collection::btree_map(0..40u64, (phase.clone(), 0..3u64), 0..most);
    let step = prop_oneof![1 => entries(40).prop_map(Step::Whole), 4 => entries(8).prop_map(Step::Changes)];
    prop::collection::vec(step, 1..30)
}

fn listed(entries: &BTreeMap<u64, (EndpointState, u64)>) -> Vec<Endpoint> {
    entries.iter().map(|(id, (phase, started))| entry(*id, *phase, *started)).collect()
}

/// What somebody holds who was told these news.
fn hold(held: &mut BTreeMap<ReplicaId, Endpoint>, news: EndpointUpdate, entries: &[Endpoint]) {
    if news == EndpointUpdate::Full {
        held.clear();
    }
    for entry in entries {
        match entry.state {
            EndpointState::Removed => drop(held.remove(&entry.replica)),
            _ => drop(held.insert(entry.replica, *entry)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn what_is_announced_is_a_choice_of_what_is_listed(steps in steps()) {
        let mut subset = Subset::new(1, MOST);
        let (mut all, mut ours) = (BTreeMap::new(), BTreeMap::new());
        let mut chosen_before = BTreeSet::new();
        for step in steps {
            let (news, entries) = match &step {
                Step::Whole(entries) => (EndpointUpdate::Full, listed(entries)),
                Step::Changes(entries) => (EndpointUpdate::Delta, listed(entries)),
            };
            hold(&mut all, news, &entries);
            let announced = subset.update(news, entries);
            hold(&mut ours, news, &announced);
            let ready = |held: &BTreeMap<ReplicaId, Endpoint>| -> BTreeSet<ReplicaId> {
                held.values().filter(|l| l.state == EndpointState::Ready).map(|l| l.replica).collect()
            };
            // What is held of a replica is what was listed last.
            for (id, listed) in &ours {
                prop_assert_eq!(all.get(id), Some(listed));
            }
            let (listed_ready, chosen) = (ready(&all), ready(&ours));
            if listed_ready.len() <= MOST {
                prop_assert_eq!(&listed_ready, &chosen, "all are worked with");
                chosen_before.clear();
                continue;
            }
            let of_cell = |set: &BTreeSet<ReplicaId>, cell: u64| {
                set.iter().filter(|id| id.0 % u64::from(CELLS) == cell).count()
            };
            let cells = (0..u64::from(CELLS)).filter(|cell| of_cell(&listed_ready, *cell) > 0).count();
            for cell in 0..u64::from(CELLS) {
                let share = MOST.div_ceil(cells).max(MIN_PER_CELL).min(of_cell(&listed_ready, cell));
                prop_assert!(of_cell(&chosen, cell) >= share, "cell {}", cell);
            }
            // Whoever was chosen and is ready still is; a new choice begins where all were worked with before.
            for id in chosen_before.intersection(&listed_ready) {
                prop_assert!(chosen.contains(id), "{:?} was chosen", id);
            }
            chosen_before = chosen;
        }
    }
}

#[test]
fn coordinators_choose_apart_from_each_other() {
    let list: Vec<Endpoint> = (0..2000).map(|n| entry(n, EndpointState::Ready, 0)).collect();
    let mut times: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    for seed in 0..200 {
        let chosen = Subset::new(seed, 200).update(EndpointUpdate::Full, list.clone());
        assert_eq!(chosen.len(), 200);
        chosen.iter().for_each(|l| *times.entry(l.replica).or_default() += 1);
    }
    // Twenty in the mean, with a deviation of a little over four.
    assert!(
        times.len() == 2000 && times.values().all(|n| (3..=40).contains(n)),
        "{:?}",
        times.values().max()
    );
}

/// What a change of one replica goes through, with so many listed.
fn cost_of_a_change(listed: u64) -> usize {
    let mut subset = Subset::new(1, 200);
    subset.update(EndpointUpdate::Full, (0..listed).map(|n| entry(n, EndpointState::Ready, 0)).collect());
    let before = subset.entries_visited;
    for n in 0..20 {
        subset.update(EndpointUpdate::Delta, vec![entry(n, EndpointState::Draining, 0)]);
        subset.update(EndpointUpdate::Delta, vec![entry(n, EndpointState::Removed, 0)]);
        subset.update(EndpointUpdate::Delta, vec![entry(listed + n, EndpointState::Ready, 7)]);
    }
    subset.entries_visited - before
}

#[test]
fn a_change_costs_the_same_however_many_are_listed() {
    assert_eq!(cost_of_a_change(50), cost_of_a_change(150), "where all are worked with");
    let (few, many) = (cost_of_a_change(1_000), cost_of_a_change(50_000));
    // A vacancy is filled, or is not, by what was drawn: one more entry for each change at most.
    assert!(many <= few + 60, "{few} for a thousand, {many} for fifty thousand");
}
