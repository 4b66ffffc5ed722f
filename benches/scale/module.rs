//! Time of the decision module's rounds and queries, along each axis of size.
use std::time::Duration;

use marlgap::balancer::interface::{EndpointState, EndpointUpdate, SettingsError};

use crate::hollow::{Hollow, Setup};
use crate::options::Options;
use crate::report::{least, Kind, Report, Row};
use crate::target::*;

/// Outcomes that come in together.
const TOGETHER: usize = 8;
/// Seconds between two rounds of one outcome.
const STEP: f64 = 1e-4;
/// Rounds and queries that a time is the least of.
const ROUNDS: usize = 61;
const QUERIES: usize = 5;

/// Memory that these runs need at most, in MB: data nodes in the module and in the lists that are made for it, and
/// parts that are open.
pub fn estimate_mb(options: &Options) -> u64 {
    let bytes = options.size * (TARGET.data_nodes * 4_000.0 + TARGET.open() * TARGET.parts * 4_000.0);
    32 + (bytes / 1e6) as u64
}

pub fn run(options: &Options, report: &mut Report) {
    for rows in [by_data_nodes(options), by_load(options), by_fleet(options), by_changes(options)] {
        rows.expect("the bench's own settings are sound").into_iter().for_each(|row| report.push(row));
    }
}

/// A time of the module, in microseconds or cores.
struct Shape {
    figure: &'static str,
    axis: &'static str,
    target: f64,
    bound: Option<f64>,
    carried_by: &'static str,
    note: String,
}

impl Shape {
    fn row(&self, points: Vec<(f64, f64)>) -> Row {
        let (role, unit) = ("coordinator".to_owned(), "us".to_owned());
        let [figure, axis, carried_by] = [self.figure, self.axis, self.carried_by].map(str::to_owned);
        let (target, bound, note, kind) = (self.target, self.bound, self.note.clone(), Kind::Time);
        Row { role, figure, axis, unit, kind, points, target, bound, carried_by, note }
    }
}

/// The same times as cores, where the thing is done so often a second.
fn cores(mut row: Row, figure: &str, a_second: f64, bound: f64) -> Row {
    row.points.iter_mut().for_each(|p| p.1 *= a_second / 1e6);
    (row.figure, row.unit, row.bound) = (figure.to_owned(), "cores".to_owned(), Some(bound));
    row
}

/// The least time of a round with one outcome, while so many queries are open.
fn one_outcome(setup: &Setup, open: u32, parts: u32) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    hollow.ask(open, parts);
    let rounds = ROUNDS.min(parts as usize / 2).max(1);
    let mut times = Vec::new();
    for _ in 0..rounds {
        let events = hollow.outcomes(1);
        hollow.now += STEP;
        times.push(hollow.round(events));
    }
    Ok(least(&times))
}

/// Bytes that the module allocates for a round with one outcome, while so many queries are open.
fn allocated(setup: &Setup, open: u32, parts: u32) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    hollow.ask(open, parts);
    let events = hollow.outcomes(1);
    hollow.now += STEP;
    hollow.counting = true;
    hollow.round(events);
    Ok(hollow.counts.allocated as f64)
}

/// The same as exact bytes.
fn bytes(mut row: Row) -> Row {
    (row.kind, row.unit) = (Kind::Exact, "bytes".to_owned());
    row
}

/// The least time of all rounds of a query, arrival to answer, while so many are open; each takes the time that an
/// answer may take.
pub fn whole_query(setup: &Setup, open: u32, parts: u32) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    hollow.ask(open.max(1) - 1, parts);
    let step = ANSWER_SECONDS / f64::from(open.max(1)) * TOGETHER as f64 / f64::from(parts.max(1));
    let query = |hollow: &mut Hollow| hollow.ask(1, parts) + hollow.finish(TOGETHER, step);
    query(&mut hollow);
    let times: Vec<Duration> = (0..QUERIES).map(|_| query(&mut hollow)).collect();
    assert_eq!((hollow.counts.lost, hollow.open()), (0, open.max(1) as usize - 1), "all come to their end");
    Ok(least(&times))
}

fn by_data_nodes(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let sizes = options.sizes(TARGET.data_nodes, 4.0);
    let shape = |figure, note: String| Shape {
        figure,
        axis: "data nodes listed",
        target: TARGET.data_nodes,
        bound: None,
        carried_by: "src/balancer/mod.rs",
        note,
    };
    let of = |time: &dyn Fn(&Setup) -> Result<f64, SettingsError>| -> Result<Vec<(f64, f64)>, SettingsError> {
        sizes.iter().map(|n| Ok((*n, time(&Setup::of(*n))?))).collect()
    };
    let note = format!("one query of {parts} parts open");
    let round = shape("round with one outcome", note.clone()).row(of(&|s| one_outcome(s, 1, parts))?);
    let figure = "allocated by a round with one outcome";
    let heap = bytes(shape(figure, note.clone()).row(of(&|s| allocated(s, 1, parts))?));
    let rounds_a_second = TARGET.queries * TARGET.parts / TOGETHER as f64;
    let all_rounds =
        cores(round.clone(), "rounds of eight outcomes, one query open", rounds_a_second, DATA_CORES);
    let query = of(&|s| whole_query(s, 1, parts))?;
    let query = shape("query, arrival to answer", note + ", outcomes in eights").row(query);
    let queries = cores(query.clone(), "queries, one open", TARGET.queries, DATA_CORES);
    let change = shape("one changed entry", "nothing open".to_owned()).row(of(&one_change)?);
    let changes =
        cores(change.clone(), "configuration changes", CHANGES_A_DAY / SECONDS_A_DAY, CONTROL_CORES);
    let whole = shape("whole list", "nothing open; taken over anew".to_owned()).row(of(&whole_list)?);
    let idle = shape("round with nothing in it", "nothing open".to_owned()).row(of(&nothing)?);
    let looks = cores(idle.clone(), "looks at what is open, 50 a second", 50.0, DATA_CORES);
    Ok(vec![round, heap, all_rounds, query, queries, change, changes, whole, idle, looks])
}

/// The least time of a round with one entry of the list that drains and comes back.
fn one_change(setup: &Setup) -> Result<f64, SettingsError> {
    changed(setup, 1)
}

fn changed(setup: &Setup, entries: u64) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let phase = if round % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        let news = (0..entries.min(setup.data_nodes)).map(|node| setup.entry(node, phase)).collect();
        hollow.now += STEP;
        times.push(hollow.members(EndpointUpdate::Delta, news));
    }
    Ok(least(&times))
}

fn whole_list(setup: &Setup) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    let times: Vec<Duration> =
        (0..QUERIES).map(|_| hollow.members(EndpointUpdate::Full, setup.entries())).collect();
    Ok(least(&times))
}

fn nothing(setup: &Setup) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    let times: Vec<Duration> = (0..ROUNDS).map(|_| hollow.round(Vec::new())).collect();
    Ok(least(&times))
}

fn by_load(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let nodes = options.scaled(TARGET.data_nodes, 220.0);
    let (setup, open) = (Setup::of(nodes), TARGET.open());
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let by_parts = |figure, note: &str| Shape {
        figure,
        axis: "parts a query",
        target: TARGET.parts,
        bound: None,
        carried_by: "src/balancer/query_progress.rs",
        note: format!("{nodes} data nodes; {note}"),
    };
    let mut queries = Vec::new();
    for size in options.sizes(TARGET.parts, 2.0) {
        queries.push((size, whole_query(&setup, 1, size as u32)?));
    }
    let wide = by_parts("query, arrival to answer", "one open, outcomes in eights").row(queries);
    let by_open = |figure| Shape {
        axis: "queries open",
        target: open,
        ..by_parts(figure, &format!("{parts} parts each"))
    };
    let (mut rounds, mut queries, mut heap) = (Vec::new(), Vec::new(), Vec::new());
    for size in [1.0, 2.0, 4.0, 8.0, 12.0, open] {
        heap.push((size, allocated(&setup, size as u32, parts)?));
        rounds.push((size, one_outcome(&setup, size as u32, parts)?));
        queries.push((size, whole_query(&setup, size as u32, parts)?));
    }
    let round = by_open("round with one outcome").row(rounds);
    let heap = bytes(by_open("allocated by a round with one outcome").row(heap));
    let query = by_open("query, arrival to answer").row(queries);
    let carried = cores(query.clone(), "queries, all of a second", TARGET.queries, DATA_CORES);
    Ok(vec![wide, round, heap, query, carried])
}

fn by_fleet(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let nodes = options.scaled(TARGET.data_nodes, 220.0);
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let shape = |axis, target| Shape {
        figure: "query, arrival to answer",
        axis,
        target,
        bound: None,
        carried_by: "src/balancer/mod.rs",
        note: format!("{nodes} data nodes, one query of {parts} parts open"),
    };
    let (mut zones, mut coordinators) = (Vec::new(), Vec::new());
    for size in [1.0, 3.0, 6.0, 9.0, 12.0, TARGET.zones] {
        let setup = Setup { zones: size as u64, ..Setup::of(nodes) };
        zones.push((size, whole_query(&setup, 1, parts)?));
    }
    for size in options.sizes(TARGET.coordinators, 1.0) {
        let setup = Setup { coordinators: size as u32, ..Setup::of(nodes) };
        coordinators.push((size, whole_query(&setup, 1, parts)?));
    }
    Ok(vec![
        shape("zones", TARGET.zones).row(zones),
        shape("coordinators in settings", TARGET.coordinators).row(coordinators),
    ])
}

fn by_changes(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let nodes = options.scaled(TARGET.data_nodes, 220.0);
    let mut points = Vec::new();
    for size in options.sizes(TARGET.zone_entries(), 1.0) {
        points.push((size, changed(&Setup::of(nodes), size as u64)?));
    }
    let shape = Shape {
        figure: "changed entries in one answer",
        axis: "entries changed",
        target: TARGET.zone_entries(),
        bound: None,
        carried_by: "src/balancer/endpoints.rs",
        note: format!("{nodes} data nodes, nothing open; the target is a lost zone"),
    };
    Ok(vec![shape.row(points)])
}
