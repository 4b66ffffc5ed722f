//! Who meets whom: connections of a coordinator, callers of a data node, and how much a coordinator may have open.
use marlgap::balancer::interface::SettingsError;
use marlgap::balancer::query_time_factor;
use marlgap::net::descriptors::DescriptorBudget;

use crate::client::DESCRIPTORS;
use crate::hollow::{Hollow, Setup};
use crate::options::Options;
use crate::report::{Kind, Report, Row};
use crate::target::*;

/// Memory that these runs need at most, in MB.
pub fn estimate_mb(options: &Options) -> u64 {
    crate::state::estimate_mb(options)
}

pub fn run(options: &Options, report: &mut Report) {
    for rows in [connections(options), admission(options)] {
        rows.expect("the bench's own settings are sound").into_iter().for_each(|row| report.push(row));
    }
    report.push(hopeless(options));
}

fn row(role: &str, figure: &str, unit: &str, axis: &str, target: f64, points: Vec<(f64, f64)>) -> Row {
    let [role, figure, unit, axis] = [role, figure, unit, axis].map(str::to_owned);
    let (bound, carried_by, note, kind) = (None, String::new(), String::new(), Kind::Exact);
    Row { role, figure, axis, unit, kind, points, target, bound, carried_by, note }
}

/// Seconds in which each query is answered.
const ANSWERED: f64 = 0.004;

/// Share of the data nodes that a coordinator sends to for so many queries.
pub fn met(data_nodes: f64, queries: f64, parts: u32) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(&Setup::of(data_nodes))?;
    for _ in 0..(queries as u32).max(1) {
        hollow.ask(1, parts);
        hollow.finish(parts as usize, ANSWERED);
    }
    Ok(hollow.met.len() as f64 / data_nodes)
}

/// Connections to data nodes that a coordinator may hold, clients taking none.
pub fn most_connections() -> f64 {
    let descriptors = DescriptorBudget::new(DESCRIPTORS);
    std::iter::repeat_with(|| descriptors.try_acquire_backend()).take_while(|taken| *taken).count() as f64
}

fn connections(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let rate = options.scaled(TARGET.queries, 2.0);
    let (mut of_coordinator, mut share) = (Vec::new(), 0.0);
    for n in options.sizes(TARGET.data_nodes, 4.0) {
        share = met(n, rate, parts)?;
        of_coordinator.push((n, n * share));
    }
    let (axis, target) = ("data nodes listed", TARGET.data_nodes);
    let mut coordinator = row(
        "coordinator",
        "connections, data nodes met within a second",
        "connections",
        axis,
        target,
        of_coordinator,
    );
    coordinator.bound = Some(most_connections());
    coordinator.carried_by = "src/net/data_nodes/mod.rs, src/net/descriptors.rs".to_owned();
    coordinator.note = format!(
        "{rate} queries of {parts} parts; one connection each; the bound is what {DESCRIPTORS} descriptors leave"
    );
    let sizes = options.sizes(TARGET.coordinators, 1.0);
    let callers = sizes.iter().map(|n| (*n, n * share)).collect();
    let axis = "coordinators";
    let mut node = row("data node", "callers", "connections", axis, TARGET.coordinators, callers);
    node.bound = Some(CALLERS.0);
    node.carried_by = "src/net/data_nodes/mod.rs".to_owned();
    node.note =
        format!("{share:.4} of all meet within a second; data nodes take {} to {}", CALLERS.0, CALLERS.1);
    let all = sizes.iter().map(|n| (*n, n * TARGET.data_nodes * share)).collect();
    let mut fleet = row("fleet", "connections in all", "connections", axis, TARGET.coordinators, all);
    (fleet.carried_by, fleet.note) = (node.carried_by.clone(), "11,000 data nodes".to_owned());
    Ok(vec![coordinator, node, fleet])
}

/// Parts that are to be open over parts that the module lets out at its start, where so many queries come at once.
pub fn wanted_over_let_in(setup: &Setup, open: u32, parts: u32) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    hollow.ask(open, parts);
    Ok(f64::from(open * parts) / (hollow.parts_out() as f64).max(1.0))
}

fn admission(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let nodes = options.scaled(TARGET.data_nodes, 220.0);
    let (open, parts) = (TARGET.open() as u32, options.scaled(TARGET.parts, 2.0) as u32);
    let mut points = Vec::new();
    for size in options.sizes(TARGET.coordinators, 1.0) {
        let setup = Setup { coordinators: size as u32, ..Setup::of(nodes) };
        points.push((size, wanted_over_let_in(&setup, open, parts)?));
    }
    let axis = "coordinators in settings";
    let figure = "parts to be open over parts let out at the start";
    let mut row = row("coordinator", figure, "times", axis, TARGET.coordinators, points);
    row.bound = Some(1.0);
    row.carried_by = "src/balancer/admission.rs".to_owned();
    row.note = format!("{nodes} data nodes; {open} queries of {parts} parts come in one round");
    Ok(vec![row])
}

/// The mean part's time over which a query whose aim is the time for an answer is held to be hopeless, as the share of
/// that time that it may take.
fn hopeless(options: &Options) -> Row {
    let sizes = options.sizes(TARGET.parts, 2.0);
    let points =
        sizes.into_iter().map(|n| (n, 1000.0 * ANSWER_SECONDS / query_time_factor(n as usize, 1))).collect();
    let figure = "the mean part's time over which a query is turned away";
    let mut row = row("coordinator", figure, "ms", "parts a query", TARGET.parts, points);
    row.carried_by = "src/balancer/latency.rs".to_owned();
    row.note = "an aim of 74 ms; no straight line".to_owned();
    row
}
