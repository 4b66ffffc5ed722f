//! Memory that a coordinator keeps, counted by the allocator: the list, the module, what is open, what was lately.
use allocation_counter::measure;
use marlgap::interface::{ColdRule, News, SettingsError};
use marlgap::net::discovery::List;

use crate::client::{list, Client};
use crate::hollow::{Hollow, Setup};
use crate::options::Options;
use crate::report::{Kind, Report, Row};
use crate::target::*;

const ZONES: u64 = TARGET.zones as u64;
/// Seconds of queries after which the module's recent past is full.
const RECENT: f64 = 6.0;
/// Seconds in which each query is answered.
const ANSWERED: f64 = 0.004;
/// A rule on cold data nodes, as the largest deployment of today tells it.
const COLD: ColdRule = ColdRule { from: 0.2, ramp: 12.0, multiple: 1.5, after: 1.0 };

/// Memory that these runs need at most, in MB: what is kept of data nodes and of some seconds of queries.
pub fn estimate_mb(options: &Options) -> u64 {
    let recent = RECENT * TARGET.queries * TARGET.parts * 64.0;
    64 + (options.size * (TARGET.data_nodes * 8_000.0 + recent * 4.0) / 1e6) as u64
}

pub fn run(options: &Options, report: &mut Report) {
    for rows in [listed(options), open(options), lately(options), sent(options)] {
        rows.expect("the bench's own settings are sound").into_iter().for_each(|row| report.push(row));
    }
}

fn row(figure: &str, axis: &str, target: f64, points: Vec<(f64, f64)>, carried_by: &str, note: &str) -> Row {
    let [role, unit] = ["coordinator", "bytes"].map(str::to_owned);
    let [figure, axis, carried_by, note] = [figure, axis, carried_by, note].map(str::to_owned);
    let (bound, kind) = (None, Kind::Exact);
    Row { role, figure, axis, unit, kind, points, target, bound, carried_by, note }
}

/// Bytes that are kept of a list that was taken over, and the most that stood at once while it was parsed and taken.
pub fn of_list(data_nodes: u64) -> (f64, f64) {
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let client = Client::new(data_nodes, ZONES, at);
    let info = measure(|| {
        let text = list(41, true, 0, data_nodes, ZONES, "up");
        let parsed: List = serde_json::from_str(&text).expect("the bench's own list");
        client.take_over(&parsed, News::Full);
    });
    assert_eq!(client.known() as u64, data_nodes);
    (info.bytes_current as f64, info.bytes_max as f64)
}

/// Bytes that the module keeps after these rounds, beside what it keeps of the list.
fn kept(setup: &Setup, rounds: impl FnOnce(&mut Hollow)) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::new(setup)?;
    hollow.counting = true;
    rounds(&mut hollow);
    Ok(hollow.counts.kept as f64)
}

/// Bytes that the module keeps of a list.
fn kept_of_list(setup: &Setup) -> Result<f64, SettingsError> {
    let mut hollow = Hollow::unlisted(setup)?;
    hollow.counting = true;
    hollow.members(News::Full, setup.entries());
    Ok(hollow.counts.kept as f64)
}

fn listed(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let (mut module, mut all, mut most) = (Vec::new(), Vec::new(), Vec::new());
    for n in options.sizes(TARGET.data_nodes, 4.0) {
        module.push((n, kept_of_list(&Setup::of(n))?));
        let (kept, peak) = of_list(n as u64);
        all.push((n, kept));
        most.push((n, peak));
    }
    let (axis, target) = ("data nodes listed", TARGET.data_nodes);
    let module =
        row("module, nothing sent yet", axis, target, module, "src/state.rs", "allocated bytes kept");
    let note = "allocated bytes kept, without connections: module, core, names and addresses";
    let mut all = row("list, all that is kept of it", axis, target, all, "src/net/nodes/mod.rs", note);
    let note = "the same at its most while a whole list is read, its text among it";
    let mut most = row("list, while it is taken over", axis, target, most, "src/net/discovery/mod.rs", note);
    (all.bound, most.bound) = (Some(CONTROL_MEMORY), Some(CONTROL_MEMORY));
    Ok(vec![module, all, most])
}

fn ask(hollow: &mut Hollow, queries: u32, parts: u32) {
    hollow.ask(queries, parts);
}

/// By queries open at once, all sent.
fn open(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let setup = Setup::of(options.scaled(TARGET.data_nodes, 220.0));
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let mut points = Vec::new();
    for size in [1.0, 2.0, 4.0, 8.0, 12.0, TARGET.open()] {
        points.push((size, kept(&setup, |hollow| ask(hollow, size as u32, parts))?));
    }
    let note = format!("queries of {parts} parts, all sent; the list itself left out");
    Ok(vec![row("module, what is open", "queries open", TARGET.open(), points, "src/state.rs", &note)])
}

/// So many queries a second for some seconds, each answered in a round.
fn load(hollow: &mut Hollow, rate: f64, parts: u32, seconds: f64) {
    for _ in 0..((rate * seconds) as u32).max(1) {
        hollow.ask(1, parts);
        hollow.finish(parts as usize, ANSWERED);
        hollow.now += 1.0 / rate - ANSWERED;
    }
}

fn lately(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let cold = Some(COLD);
    let setup = Setup { cold, ..Setup::of(options.scaled(TARGET.data_nodes, 220.0)) };
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let mut points = Vec::new();
    for rate in options.sizes(TARGET.queries.floor(), 2.0) {
        points.push((rate, kept(&setup, |hollow| load(hollow, rate, parts, RECENT))?));
    }
    let note = format!("{RECENT} s of queries of {parts} parts, none open at the end, a rule on cold data nodes told; list left out");
    let figure = "module, what it remembers of the last seconds";
    let target = TARGET.queries.floor();
    Ok(vec![row(figure, "queries a second", target, points, "src/state.rs", &note)])
}

/// Without a rule on cold data nodes, by how long queries have come.
fn sent(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let setup = Setup::of(options.scaled(TARGET.data_nodes, 220.0));
    let parts = options.scaled(TARGET.parts, 2.0) as u32;
    let rate = options.scaled(TARGET.queries, 2.0);
    let mut points = Vec::new();
    for seconds in [6.0, 9.0, 12.0, 15.0, 18.0] {
        points.push((seconds, kept(&setup, |hollow| load(hollow, rate, parts, seconds))?));
    }
    let note = format!(
        "{rate} queries of {parts} parts a second, no rule on cold data nodes told: times of sends are not dropped; the target is a day"
    );
    let figure = "module, what it remembers of sends";
    Ok(vec![row(figure, "seconds under load", SECONDS_A_DAY, points, "src/state.rs", &note)])
}
