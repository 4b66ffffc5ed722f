//! Memory that a coordinator keeps, counted by the allocator: the list, the module, what is open, what was lately.
use allocation_counter::measure;
use marlgap::balancer::interface::{EndpointUpdate, SettingsError, SlowStart};
use marlgap::net::discovery::EndpointList;

use crate::client::{list, nowhere, Client};
use crate::hollow::{Hollow, Setup};
use crate::options::Options;
use crate::report::{Kind, Report, Row};
use crate::target::*;

const ZONES: u64 = TARGET.zones as u64;
/// Seconds of queries after which the module's recent past is full.
const RECENT: f64 = 6.0;
/// Data nodes and parts of a query where their number does not matter, and parts by which the recent past is full.
const FEW_NODES: f64 = 220.0;
const FEW_PARTS: u32 = 40;
const LATELY_SENT: f64 = 50_000.0;
/// Seconds in which each query is answered.
const ANSWERED: f64 = 0.004;
/// A rule on cold data nodes, as the largest deployment of today tells it.
const COLD: SlowStart =
    SlowStart { initial_capacity: 0.2, ramp: 12.0, overload_factor: 1.5, overload_window: 1.0 };

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
    let client = Client::new(data_nodes, ZONES, nowhere());
    let info = measure(|| {
        let text = list(41, true, 0, data_nodes, ZONES, "up");
        let parsed: EndpointList = serde_json::from_str(&text).expect("the bench's own list");
        client.take_over(&parsed, EndpointUpdate::Full);
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
    hollow.members(EndpointUpdate::Full, setup.entries());
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
    let mut all = row("list, all that is kept of it", axis, target, all, "src/net/data_nodes/mod.rs", note);
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
        let step = ANSWERED.min(1.0 / rate);
        hollow.finish(parts as usize, step);
        hollow.now += 1.0 / rate - step;
    }
}

/// What is remembered of the last seconds, by how much comes in.
fn lately(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let setup = Setup { cold: Some(COLD), ..Setup::of(FEW_NODES) };
    let target = TARGET.queries * TARGET.parts;
    let mut points = Vec::new();
    for size in options.sizes(target, 400.0) {
        let rate = size / f64::from(FEW_PARTS);
        points.push((size, kept(&setup, |hollow| load(hollow, rate, FEW_PARTS, RECENT))?));
    }
    let note = format!(
        "{RECENT} s of queries of {FEW_PARTS} parts before {FEW_NODES} data nodes, none open at the end, a rule on cold ones told; list left out"
    );
    let figure = "module, what it remembers of the last seconds";
    Ok(vec![row(figure, "parts a second", target, points, "src/state.rs", &note)])
}

/// Without a rule on cold data nodes, by how much was sent: one coordinator, looked at as it goes.
fn sent(options: &Options) -> Result<Vec<Row>, SettingsError> {
    let mut hollow = Hollow::new(&Setup::of(FEW_NODES))?;
    hollow.counting = true;
    let (mut points, mut parts) = (Vec::new(), 0.0);
    for least in [2.0, 3.0, 4.0, 5.0, 6.0].map(|times| times * options.scaled(LATELY_SENT, 400.0)) {
        while parts < least {
            load(&mut hollow, TARGET.queries, FEW_PARTS, 1.0 / TARGET.queries);
            parts += f64::from(FEW_PARTS);
        }
        points.push((parts, hollow.counts.kept as f64));
    }
    let note = format!(
        "queries of {FEW_PARTS} parts before {FEW_NODES} data nodes, no rule on cold ones told: times of sends are not dropped; the target is a day of 87,125 parts a second"
    );
    let (figure, target) =
        ("module, what it remembers of sends", TARGET.queries * TARGET.parts * SECONDS_A_DAY);
    Ok(vec![row(figure, "parts sent since the start", target, points, "src/state.rs", &note)])
}
