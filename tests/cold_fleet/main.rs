//! Cold data nodes under the sum of all coordinators: beyond its budget of N in any window, a cold data node
//! gets at most twice the root of N and two more.
mod budget;
#[path = "../common/mod.rs"]
mod common;
mod due;
mod rates;
mod world;

use marlgap::balancer::interface::{LoadReporting, SlowStart};
use world::{Case, Way, World};

/// The settings that the cases go by: multiple, window, least share and ramp.
const RULES: [SlowStart; 3] = [
    SlowStart { overload_factor: 2.5, overload_window: 1.0, initial_capacity: 0.15, ramp: 17.0 },
    SlowStart { overload_factor: 4.0, overload_window: 2.0, initial_capacity: 0.15, ramp: 13.0 },
    SlowStart { overload_factor: 1.5, overload_window: 0.5, initial_capacity: 0.1, ramp: 20.0 },
];

fn base(name: &'static str) -> Case {
    Case {
        name,
        rule: RULES[0],
        coordinators: 20,
        nodes: 36,
        capacity: 25.0,
        load: 0.7,
        parts: 6,
        way: Way::Replaced(2.0),
        cold: 0.33,
        told: (0.2, 4.0),
        silence: 0.0,
        restart: None,
        hung: 0.0,
        failing: 0.0,
        burst: 1.5,
        reports: LoadReporting::Off,
        among: None,
        noise: None,
    }
}

/// Play a case over so many seeds; its worst windows have to stay within the bound.
fn hold(case: Case, seeds: u64) {
    // Few coordinators have a small fleet.
    let (nodes, capacity) = if case.coordinators < 20 { (12, 40.0) } else { (case.nodes, case.capacity) };
    let case = Case { nodes, capacity, ..case };
    let mut broken = Vec::new();
    for seed in 1..=seeds {
        let found = World::new(case.clone(), seed).run(seed);
        println!(
            "COLD {:<28} n {:>3} rule {:.1}/{:.1} load {:.1} seed {seed}: worst {:.2} at {:.1} {:.1} fall {:.2} used {:.3} served {:.3} sends {}",
            case.name, case.coordinators, case.rule.overload_factor, case.rule.overload_window, case.load, found.worst, found.at.0, found.at.1,
            found.fall, found.used, found.served, found.sends
        );
        if found.worst > 1.0 || found.fall > 1.0 {
            broken.push((seed, found));
        }
    }
    assert!(broken.is_empty(), "{}: {broken:?}", case.name);
}

/// A third replaced, at a light load, a full one and an overload.
fn loads(coordinators: usize, rule: SlowStart) {
    for load in [0.3, 0.7, 1.1] {
        hold(Case { coordinators, rule, load, ..base("a third replaced") }, 1);
    }
}

#[test]
fn one_coordinator() {
    RULES.iter().for_each(|rule| loads(1, *rule));
}

#[test]
fn three_coordinators() {
    RULES.iter().for_each(|rule| loads(3, *rule));
}

#[test]
fn twenty_coordinators() {
    RULES.iter().for_each(|rule| loads(20, *rule));
}

#[test]
fn thirty_coordinators_and_small_data_nodes() {
    for rule in RULES {
        hold(Case { coordinators: 30, rule, capacity: 8.0, load: 1.1, ..base("small nodes") }, 3);
    }
}

#[test]
fn one_cold_data_node() {
    for coordinators in [3, 30, 100] {
        let case = Case { coordinators, cold: 0.01, load: 0.9, ..base("one cold") };
        hold(Case { way: Way::Replaced(0.0), ..case }, 2);
    }
}

#[test]
fn six_in_ten_replaced() {
    for coordinators in [3, 30] {
        for load in [0.4, 0.6, 1.1] {
            hold(Case { coordinators, cold: 0.6, load, way: Way::Replaced(7.0), ..base("six in ten") }, 1);
        }
    }
}

#[test]
fn six_in_ten_replaced_at_once_under_full_load() {
    for (coordinators, rule) in [(3, RULES[0]), (30, RULES[1]), (100, RULES[0])] {
        let case = Case { coordinators, rule, cold: 0.6, load: 1.0, ..base("six in ten at once") };
        hold(Case { way: Way::Replaced(0.1), told: (0.2, 0.3), ..case }, 1);
    }
}

#[test]
fn a_zone_that_comes_back_cold() {
    for (coordinators, rule) in [(3, RULES[0]), (30, RULES[0]), (30, RULES[1]), (100, RULES[2])] {
        hold(Case { coordinators, rule, way: Way::ZoneBack, ..base("zone back") }, 1);
    }
}

#[test]
fn all_told_late_at_one_moment() {
    for (coordinators, rule) in [(3, RULES[0]), (30, RULES[0]), (100, RULES[1]), (100, RULES[2])] {
        let case = Case { coordinators, rule, silence: 4.0, ..base("told at one moment") };
        hold(Case { way: Way::Replaced(0.5), ..case }, 2);
    }
}

#[test]
fn nine_in_ten_coordinators_restart_within_the_ramp() {
    for (coordinators, rule) in [(3, RULES[0]), (30, RULES[0]), (30, RULES[1]), (100, RULES[2])] {
        let case = Case { coordinators, rule, load: 0.9, restart: Some((8.0, 0.9)), ..base("restart") };
        hold(case, 1);
    }
}

#[test]
fn hung_and_failing_neighbours() {
    for (coordinators, rule) in [(3, RULES[0]), (30, RULES[1]), (100, RULES[2])] {
        hold(Case { coordinators, rule, hung: 0.1, failing: 0.1, ..base("hung and failing") }, 1);
    }
}

#[test]
fn probes_count() {
    hold(Case { reports: LoadReporting::OnHealthCheck, ..base("probes") }, 1);
}

/// Warm data nodes report the rate that they serve, late and noisy: it bounds what a cold one stands.
#[test]
fn reported_rates() {
    for (coordinators, rule) in [(3, RULES[0]), (30, RULES[1]), (100, RULES[0])] {
        for (load, noise) in [(0.4, 0.14), (0.7, 0.02), (1.0, 0.14)] {
            let case = Case { coordinators, rule, load, cold: 0.6, noise: Some(noise), ..base("rates") };
            hold(Case { reports: LoadReporting::Inline, way: Way::Replaced(7.0), ..case }, 1);
        }
    }
}

#[test]
fn reported_rates_under_three_hundred_coordinators() {
    let case =
        Case { noise: Some(0.14), reports: LoadReporting::Inline, way: Way::Replaced(7.0), ..full_size() };
    hold(Case { load: 0.6, ..case.clone() }, 1);
    hold(Case { load: 1.0, ..case }, 1);
}

fn full_size() -> Case {
    Case { coordinators: 300, nodes: 120, capacity: 12.0, cold: 0.6, load: 0.9, ..base("full size") }
}

#[test]
fn six_in_ten_replaced_under_three_hundred_coordinators() {
    hold(Case { way: Way::Replaced(7.0), hung: 0.03, ..full_size() }, 1);
}

#[test]
fn three_hundred_coordinators_restart() {
    let case = Case { restart: Some((8.0, 0.9)), ..full_size() };
    hold(Case { cold: 0.3, way: Way::Replaced(0.5), rule: RULES[1], ..case }, 1);
}

#[test]
fn three_hundred_coordinators_told_at_one_moment() {
    hold(Case { cold: 0.1, load: 1.0, way: Way::Replaced(0.5), silence: 4.0, ..full_size() }, 1);
}

/// Each coordinator works with its own choice of a third of the data nodes.
#[test]
fn coordinators_that_work_with_a_third_of_the_data_nodes() {
    for (coordinators, way, cold) in [
        (30, Way::Replaced(2.0), 0.33),
        (100, Way::Replaced(7.0), 0.6),
        (100, Way::ZoneBack, 0.33),
        (300, Way::Replaced(0.5), 0.1),
    ] {
        let sized = Case { coordinators, way, cold, among: Some(40), ..full_size() };
        hold(Case { load: 0.7, ..sized.clone() }, 1);
        hold(Case { load: 1.0, ..sized }, 1);
    }
}

#[test]
fn coordinators_that_work_with_a_third_of_the_data_nodes_restart() {
    let case = Case { coordinators: 100, among: Some(40), restart: Some((8.0, 0.9)), ..full_size() };
    hold(Case { cold: 0.3, way: Way::Replaced(0.5), rule: RULES[1], ..case }, 2);
}
