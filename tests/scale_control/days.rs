//! Every change in force at every member that can be reached, nothing where it was not told, all equal afterwards.
use crate::plane::days::{self, Play};
use crate::plane::finding::{Bound, Finding};
use crate::plane::links::{MS, SECOND};
use crate::plane::members::Members;
use crate::plane::queue::Played;
use crate::plane::watches::Watches;
use crate::plane::SEED;

/// Three coordinators a zone.
const MEMBERS: usize = 45;
const ENTRIES: usize = 300;

const PLAY: Play = Play { changes: 4, apart: 700 * MS, away: 5 * SECOND, admits: true };

/// What the program does not carry yet, by its figure; `docs/capacity-control.md` says so of each.
const SHORT: &[&str] = &[
    "cut-off members that still name a leader",
    "a member before, on average",
    "a member that is left, 2 s after, on average",
];

/// All findings hold that the program carries; those listed as short do not, so that the list stays true.
fn holds(findings: &[Finding]) {
    assert!(!findings.is_empty());
    for f in findings {
        let short = SHORT.contains(&f.figure.as_str());
        assert_eq!(f.held, !short, "{f:?}");
    }
}

fn value(findings: &[Finding], figure: &str) -> f64 {
    findings.iter().find(|f| f.figure == figure).map(|f| f.value).expect("a figure of that name")
}

fn fleet(seed: u64) -> Members {
    let members = Members::led(MEMBERS, seed, 100);
    assert_eq!(members.broken, None);
    members
}

#[test]
fn changes_and_an_ordinary_day_are_in_force_everywhere() {
    for seed in [SEED, 2, 3] {
        let mut members = fleet(seed);
        let findings = days::changes(&mut members, PLAY);
        holds(&findings);
        assert_eq!(value(&findings, "changes"), 4.0);
        holds(&days::ordinary(&mut members, Play { away: 2 * SECOND, ..PLAY }, 10));
    }
}

#[test]
fn a_rack_and_the_leaders_zone_are_lost_and_come_back() {
    for seed in [SEED, 2, 3] {
        let mut members = fleet(seed);
        holds(&days::rack(&mut members, PLAY));
        let findings = days::zone(&mut members, PLAY);
        assert_eq!(value(&findings, "coordinators gone at once"), 3.0);
        assert_eq!(value(&findings, "the leader among them"), 1.0);
        holds(&findings);
    }
}

#[test]
fn a_region_that_is_cut_off_applies_nothing_and_learns_all_afterwards() {
    for (seed, with_leader) in [(SEED, true), (2, true), (SEED, false), (2, false)] {
        let mut members = fleet(seed);
        let findings = days::region("region", &mut members, PLAY, with_leader);
        holds(&findings);
        let cut_off = value(&findings, "coordinators cut off");
        assert_eq!(value(&findings, "cut-off members that go on by their last epoch"), cut_off);
    }
}

#[test]
fn all_restart_at_once_and_are_admitted() {
    let mut members = fleet(SEED);
    let findings = days::whole_restart(&mut members, PLAY);
    holds(&findings);
    assert_eq!(value(&findings, "lives admitted after"), MEMBERS as f64);
}

#[test]
fn the_same_seed_plays_the_same_day() {
    let play = || days::region("region", &mut fleet(5), PLAY, true);
    assert_eq!(play(), play());
}

#[test]
fn lists_reach_every_coordinator_whatever_breaks() {
    let mut watches = Watches::new(MEMBERS, ENTRIES, SEED);
    watches.run(5 * SECOND);
    assert!(watches.all_told());
    assert!(watches.watches.iter().all(|w| (w.whole, w.deltas, w.failed) == (1, 0, 0)));
    holds(&days::ordinary_list(&mut watches, ENTRIES, 0.02));
    let findings = days::lost_zone(&mut watches, ENTRIES);
    holds(&findings);
    assert_eq!(value(&findings, "lost: changes taken"), MEMBERS as f64);
    assert_eq!(value(&findings, "lost: whole lists taken"), 0.0);
    let findings = days::restarts(&mut watches);
    holds(&findings);
    // A broken watch goes on from the version that it has; a discovery that lost its changes gives whole lists.
    assert_eq!(value(&findings, "all watches broken, one change: whole lists taken"), 0.0);
    assert_eq!(value(&findings, "discovery begun anew: whole lists taken"), MEMBERS as f64);
    assert_eq!(value(&findings, "one coordinator: whole lists taken"), 1.0);
    assert_eq!(value(&findings, "all coordinators: whole lists taken"), MEMBERS as f64);
}

#[test]
fn a_region_without_discovery_takes_nothing_and_then_the_changes_alone() {
    let mut watches = Watches::new(MEMBERS, ENTRIES, SEED);
    watches.run(5 * SECOND);
    let findings = days::region_list(&mut watches, 60 * SECOND);
    holds(&findings);
    assert_eq!(value(&findings, "after it is joined: whole lists taken"), 0.0);
    assert_eq!(
        value(&findings, "after it is joined: changes taken"),
        value(&findings, "coordinators cut off")
    );
}

#[test]
fn works_of_a_lost_zone_are_all_taken_over() {
    let findings = days::zone_works(MEMBERS, 2);
    assert_eq!(value(&findings, "members gone at once"), 3.0);
    assert!(value(&findings, "works that they owned") > 0.0);
    assert_eq!(value(&findings, "of them taken over"), value(&findings, "works that they owned"));
    holds(&findings);
}

#[test]
fn no_work_is_held_twice_while_a_region_is_cut_off() {
    let findings = days::region_works(MEMBERS, 2);
    assert!(value(&findings, "of them owned in the region that is cut off") > 0.0);
    holds(&findings);
}

#[test]
fn a_finding_is_held_by_its_bound_alone() {
    let short = Finding::new("a day", "a figure", 6.0, "s", Bound::Most(2.0));
    assert_eq!((short.held, short.short_by()), (false, 3.0));
    let least = Finding::new("a day", "a figure", 2.0, "1", Bound::Least(1.0));
    assert_eq!((least.held, least.short_by()), (true, 1.0));
    assert!(Finding::new("a day", "a figure", f64::NAN, "s", Bound::None).held);
    assert!(!Finding::new("a day", "a figure", f64::NAN, "s", Bound::Most(2.0)).held);
}
