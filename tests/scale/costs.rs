//! Short forms of the bench's runs, and counts that hold at any size.
use marlgap::balancer::interface::{EndpointState, EndpointUpdate};

use crate::hollow::{Hollow, Setup};
use crate::listing::{change_exchange, seconds, whole_exchange};
use crate::meetings::{met, most_connections, wanted_over_let_in};
use crate::options::Options;
use crate::plan::Run;
use crate::report::{Kind, Report};
use crate::target::{CONTROL_BYTES, TARGET};
use crate::{listing, meetings, module, sockets, state, walk};

/// All of a run's rows at a fiftieth of the target: each has points enough, all finite, in order of size.
fn short(run: Run, rows: usize) -> Report {
    let options = Options::read(["scale", "--size", "0.02"]).expect("read");
    assert!((run.estimate_mb)(&options) < 500);
    let mut report = Report::new(options.size);
    report.begin(run.name);
    (run.run)(&options, &mut report);
    assert_eq!(report.entries.len(), rows, "{}", run.name);
    for entry in &report.entries {
        let (points, figure) = (&entry.row.points, &entry.row.figure);
        assert!(points.len() >= 5, "{figure}: {points:?}");
        assert!(points.windows(2).all(|w| w[0].0 < w[1].0), "{figure}: {points:?}");
        assert!(points.iter().all(|p| p.1.is_finite() && p.1 >= 0.0), "{figure}: {points:?}");
        assert!(entry.fitted.fit.is_some() && entry.fitted.at_target.is_finite(), "{figure}");
        assert!(!entry.row.carried_by.is_empty(), "{figure}");
    }
    report
}

#[test]
fn the_module_s_run_in_short() {
    let report = short(Run { name: "module", estimate_mb: module::estimate_mb, run: module::run }, 18);
    assert_eq!(report.entries.iter().filter(|e| e.row.kind == Kind::Exact).count(), 2);
}

#[test]
fn the_list_s_run_in_short() {
    let report = short(Run { name: "listing", estimate_mb: listing::estimate_mb, run: listing::run }, 13);
    let row = |figure: &str| {
        report.entries.iter().find(|e| e.row.figure.starts_with(figure)).unwrap_or_else(|| panic!("{figure}"))
    };
    // Bytes grow by some constant an entry: the line misses none of them by much.
    for figure in ["whole list, call", "changed entries, call", "restart with"] {
        let fit = row(figure).fitted.fit.expect("a line");
        assert!(fit.slope > 100.0 && fit.slope < 200.0 && fit.relative_rms < 0.02, "{figure}: {fit:?}");
    }
}

#[test]
fn the_state_s_run_in_short() {
    let report = short(Run { name: "state", estimate_mb: state::estimate_mb, run: state::run }, 6);
    assert!(report.entries.iter().all(|e| e.row.kind == Kind::Exact));
}

#[test]
fn the_run_on_meetings_in_short() {
    short(Run { name: "meetings", estimate_mb: meetings::estimate_mb, run: meetings::run }, 5);
}

#[test]
fn the_run_on_connections_in_short() {
    let report = short(Run { name: "sockets", estimate_mb: sockets::estimate_mb, run: sockets::run }, 3);
    assert!(report.entries[0].row.points.iter().all(|p| p.1 > 0.0));
}

#[test]
fn the_walk_in_short_and_its_table() {
    let report = short(Run { name: walk::NAME, estimate_mb: walk::estimate_mb, run: walk::run }, 10);
    let table = walk::markdown(&report);
    assert_eq!(table.lines().count(), 4 + 10, "{table}");
    assert!(walk::markdown(&Report::new(1.0)).is_empty());
}

/// What a change costs in bytes is the change's, however many data nodes are listed; the whole list is each one's.
#[test]
fn the_bytes_of_a_change_are_those_of_its_entries_alone() {
    let few = change_exchange(10, 3, 2);
    let many = change_exchange(500, 3, 2);
    assert_eq!((few.answered, few.bytes() - few.call.len()), (many.answered, many.answered));
    // The port of the stand-in may have a digit more or less.
    assert!(few.call.len().abs_diff(many.call.len()) <= 1, "{} {}", few.call, many.call);
    let more = change_exchange(500, 3, 4);
    assert!(more.answered > many.answered + 200);
    let (whole, double) = (whole_exchange(250).answered as f64, whole_exchange(500).answered as f64);
    assert!(double > 1.95 * whole && double < 2.05 * whole, "{whole} {double}");
    assert_eq!(seconds(CONTROL_BYTES * 3.0), 3.0);
}

#[test]
fn the_client_asks_for_changes_once_it_has_a_list_and_says_how_long_it_waits() {
    let (whole, change) = (whole_exchange(5), change_exchange(5, 0, 1));
    assert!(whole.call.starts_with("GET /catalog/members HTTP/1.1\r\n") && whole.wait().is_none());
    assert!(change.call.starts_with("GET /catalog/members?index=41&wait="), "{}", change.call);
    assert!(change.wait().is_some_and(|s| s > 0.5 && s <= 60.0), "{}", change.call);
}

/// The hollow coordinator's queries all come to their end by the module's own decisions; of parts, some are sent to two
/// as long as nothing is known of the data nodes.
#[test]
fn a_hollow_coordinator_answers_all_its_queries() {
    let mut hollow = Hollow::new(&Setup::of(220.0)).expect("sound");
    hollow.ask(4, 30);
    assert_eq!((hollow.open(), hollow.parts_out()), (4, 120));
    for _ in 0..20 {
        hollow.ask(1, 30);
        hollow.finish(8, 0.002);
    }
    while hollow.open() > 0 {
        hollow.finish(8, 0.002);
    }
    let counts = hollow.counts;
    assert_eq!((counts.answered, counts.lost), (24, 0), "{counts:?}");
    assert!((24 * 30..24 * 33).contains(&counts.sends), "{counts:?}");
}

#[test]
fn what_drains_is_sent_to_no_more() {
    let setup = Setup::of(220.0);
    let mut hollow = Hollow::new(&setup).expect("sound");
    let draining = (0..110).map(|node| setup.entry(2 * node, EndpointState::Draining)).collect();
    hollow.members(EndpointUpdate::Delta, draining);
    for _ in 0..20 {
        hollow.ask(1, 30);
        hollow.finish(30, 0.002);
    }
    assert!(hollow.counts.answered == 20 && hollow.met.keys().all(|node| node.0 % 2 == 1));
}

/// Counts of allocations are the same in each run, and what is freed is not counted as kept.
#[test]
fn allocations_are_counted_and_repeat() {
    let count = || {
        let mut hollow = Hollow::new(&Setup::of(220.0)).expect("sound");
        for _ in 0..40 {
            hollow.ask(1, 30);
            hollow.finish(8, 0.002);
        }
        hollow.counting = true;
        hollow.ask(2, 30);
        let open = hollow.counts.kept;
        hollow.finish(8, 0.002);
        hollow.finish(8, 0.002);
        (open, hollow.counts.kept, hollow.counts.allocations)
    };
    let (open, over, allocations) = count();
    assert!(allocations > 60 && open > over, "{open} {over} {allocations}");
    assert_eq!((open, over, allocations), count());
}

/// What is kept of sends does not grow with their number, once the recent ones are there.
#[test]
fn memory_does_not_grow_with_what_was_sent() {
    const QUERIES: u32 = 600;
    const PARTS: u32 = 30;
    let mut hollow = Hollow::new(&Setup::of(220.0)).expect("sound");
    for query in 0..QUERIES {
        hollow.counting = query >= QUERIES / 2;
        hollow.ask(1, PARTS);
        while hollow.open() > 0 {
            hollow.finish(PARTS as usize, 0.05);
        }
    }
    let (kept, sent) = (hollow.counts.kept, f64::from(QUERIES / 2 * PARTS));
    assert!(kept as f64 / sent < 1.0, "{kept} bytes kept of {sent} parts");
}

#[test]
fn few_parts_meet_few_data_nodes_and_many_meet_all() {
    let few = met(220.0, 1.0, 10).expect("sound");
    assert!(few > 0.02 && few <= 10.0 / 220.0, "{few}");
    assert!(met(220.0, 50.0, 100).expect("sound") > 0.99);
    assert!(most_connections() > 100.0);
}

/// One coordinator alone may have all open that is asked of it here; one of very many a single query.
#[test]
fn the_room_at_the_start_is_shared_by_all_coordinators() {
    let alone = Setup::of(220.0);
    let many = Setup { coordinators: TARGET.coordinators as u32, ..alone };
    assert_eq!(wanted_over_let_in(&alone, 16, 30).expect("sound"), 1.0);
    assert_eq!(wanted_over_let_in(&many, 16, 30).expect("sound"), 16.0);
}
