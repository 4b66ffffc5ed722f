//! The control plane's runs of the bench: sweeps along one axis at a time, and days of failures at the size asked for.
//! The hollow roles are in [`plane`], which the test `scale_control` plays at a small size.
pub mod plane;

use plane::days::{self, Play};
use plane::finding::{Bound, Finding, Sweeps};
use plane::links::{MS, SECOND};
use plane::members::Members;
use plane::queue::Played;
use plane::watches::Watches;
use plane::{sweeps, COORDINATORS, DATA_NODES, SEED};

use crate::options::Options;
use crate::plan::Run;
use crate::report::{Kind, Report, Row};

/// The log: its sweeps, and the days at it.
pub const LOG: Run = Run { name: "control-log", estimate_mb: log_mb, run: log };
/// The list of data nodes and the coordinators' watches on it.
pub const LIST: Run = Run { name: "control-list", estimate_mb: list_mb, run: list };
/// Members that hold works for each other.
pub const WORKS: Run = Run { name: "control-works", estimate_mb: small_mb, run: works };
/// Founding, and a start after it.
pub const FOUNDING: Run = Run { name: "control-founding", estimate_mb: founding_mb, run: founding };

/// Fewer members than these have no learner in every zone.
const LEAST: f64 = 30.0;
/// Bytes that a hollow member of the log takes for each of its fellows: 4.3 GB of all were seen at 1,600.
const A_FELLOW: f64 = 2_400.0;
/// Restarts of all, one admission a life, are played up to this size: the time that they take grows with its cube.
const ADMITTED: f64 = 200.0;

/// Members that hold works for each other are played up to this number: a run up to 1,600 had not ended after eight minutes
/// of processor time.
const WORKING: f64 = 200.0;

fn members(options: &Options) -> f64 {
    options.scaled(COORDINATORS, LEAST)
}

/// Five sizes, each twice the one before, up to the one asked for.
fn doubled(most: f64) -> Vec<usize> {
    [16.0, 8.0, 4.0, 2.0, 1.0].iter().map(|part| (most / part).round().max(4.0) as usize).collect()
}

fn log_mb(options: &Options) -> u64 {
    (500.0 + members(options).powi(2) * A_FELLOW / 1e6) as u64
}

/// A whole list for every coordinator, read and kept.
fn list_mb(options: &Options) -> u64 {
    (500.0 + members(options) * options.scaled(DATA_NODES, LEAST) * 16.0 / 1e6) as u64
}

fn small_mb(_: &Options) -> u64 {
    2_000
}

/// The list of all lives at every member, and under way to it.
fn founding_mb(options: &Options) -> u64 {
    (500.0 + members(options).powi(2) * 700.0 / 1e6) as u64
}

fn log(options: &Options, report: &mut Report) {
    let most = members(options);
    let mut along = sweeps::LogSweep::default();
    let sizes = doubled(most);
    for size in &sizes[..sizes.len() - 1] {
        along.measure(&mut Members::led(*size, SEED, 0), true);
    }
    let mut fleet = Members::led(most as usize, SEED, 0);
    along.measure(&mut fleet, true);
    rows(report, along.sweeps);
    rows(report, sweeps::voters(&[1, 2, 3, 4, 5, 7]));
    rows(report, sweeps::rates(options.scaled(200.0, LEAST) as usize, &[0.5, 1.0, 2.0, 5.0, 10.0]));
    rows(report, sweeps::snapshots(&sizes));
    rows(report, sweeps::restart_all(&doubled(most.min(ADMITTED))));
    let play = Play { changes: 60, apart: 1_350 * MS, away: 10 * SECOND, admits: most <= ADMITTED };
    let short = Play { changes: 10, ..play };
    let mut findings = days::changes(&mut fleet, play);
    findings.extend(days::ordinary(&mut fleet, Play { changes: 2, away: 2 * SECOND, ..play }, 5));
    findings.extend(days::rack(&mut fleet, Play { admits: true, ..short }));
    findings.extend(days::zone(&mut fleet, short));
    let minutes = Play { away: 180 * SECOND, ..short };
    findings.extend(days::region("region, with the leader", &mut fleet, minutes, true));
    findings.extend(days::region("region", &mut fleet, short, false));
    findings.extend(days::whole_restart(&mut fleet, short));
    findings.extend(days::groups(most as usize, 2_000));
    told(report, most, COORDINATORS, findings);
    along.broken.iter().for_each(|why| eprintln!("control-log: {why}"));
}

fn list(options: &Options, report: &mut Report) {
    let (coordinators, entries) = (members(options), options.scaled(DATA_NODES, LEAST) as usize);
    rows(report, sweeps::entries(&doubled(entries as f64)));
    rows(report, sweeps::watches(&doubled(coordinators), entries.min(500)));
    let mut watches = Watches::new(coordinators as usize, entries, SEED);
    watches.run(5 * SECOND);
    let mut findings = days::ordinary_list(&mut watches, entries, 0.1);
    findings.extend(days::lost_zone(&mut watches, entries));
    findings.extend(days::restarts(&mut watches));
    findings.extend(days::region_list(&mut watches, 180 * SECOND));
    told(report, coordinators, COORDINATORS, findings);
}

fn works(options: &Options, report: &mut Report) {
    let most = options.scaled(WORKING, LEAST);
    rows(report, sweeps::works(&doubled(most)));
    rows(report, sweeps::works_a_member(options.scaled(100.0, LEAST) as usize, &[1, 2, 4, 8, 16]));
    let mut findings = days::zone_works(most as usize, 4);
    findings.extend(days::region_works(most as usize, 4));
    told(report, most, most, findings);
}

fn founding(options: &Options, report: &mut Report) {
    let (found, broken) = sweeps::founding(&doubled(members(options)));
    rows(report, found);
    broken.iter().for_each(|why| eprintln!("control-founding: {why}"));
}

fn rows(report: &mut Report, sweeps: Sweeps) {
    for sweep in sweeps.0 {
        let spec = sweep.spec;
        report.push(Row {
            role: spec.role.to_owned(),
            figure: spec.figure.to_owned(),
            axis: spec.axis.to_owned(),
            unit: spec.unit.to_owned(),
            kind: if spec.exact { Kind::Exact } else { Kind::Time },
            points: sweep.points,
            target: spec.target,
            bound: spec.bound,
            carried_by: spec.carried_by.to_owned(),
            note: spec.note.to_owned(),
        });
    }
}

/// A row of one point for each finding; those that miss their bound are said at once, too.
fn told(report: &mut Report, size: f64, target: f64, findings: Vec<Finding>) {
    for finding in findings {
        let note = match finding.bound {
            Bound::Least(least) => format!("at least {least}"),
            Bound::Most(_) | Bound::None => String::new(),
        };
        if !finding.held {
            eprintln!(
                "not held: {}: {}: {} {}, short by {}",
                finding.day,
                finding.figure,
                finding.value,
                finding.unit,
                finding.short_by()
            );
        }
        report.push(Row {
            role: format!("day: {}", finding.day),
            figure: finding.figure,
            axis: "members".to_owned(),
            unit: finding.unit.to_owned(),
            kind: Kind::Exact,
            points: vec![(size, finding.value)],
            target,
            bound: match finding.bound {
                Bound::Most(most) => Some(most),
                Bound::Least(_) | Bound::None => None,
            },
            carried_by: String::new(),
            note,
        });
    }
}
