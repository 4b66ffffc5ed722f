//! The way from today's size to the target, all axes together: where on it each bound breaks.
use marlgap::balancer::interface::{EndpointUpdate, SettingsError};

use crate::client::{list, nowhere, Client};
use crate::hollow::Setup;
use crate::listing::{change_exchange, parse_and_take, seconds, watch_bytes, whole_exchange};
use crate::meetings::{met, most_connections, wanted_over_let_in};
use crate::module::whole_query;
use crate::options::Options;
use crate::report::{Entry, Kind, Report, Row};
use crate::state::of_list;
use crate::target::*;

/// Steps of the way.
const STEPS: u32 = 16;
pub const NAME: &str = "walk";
const AXIS: &str = "way from today (0) to the target (1)";

/// Memory that the walk needs at most, in MB: that of the largest sizes on it.
pub fn estimate_mb(options: &Options) -> u64 {
    crate::state::estimate_mb(options).max(crate::module::estimate_mb(options))
}

/// Something that is bounded, by the sizes on the way.
struct Bounded {
    role: &'static str,
    figure: &'static str,
    unit: &'static str,
    kind: Kind,
    bound: f64,
    carried_by: &'static str,
    value: fn(&Sizes) -> Result<f64, SettingsError>,
}

const BOUNDED: &[Bounded] = &[
    Bounded {
        role: "coordinator",
        figure: "cores for queries",
        unit: "cores",
        kind: Kind::Time,
        bound: DATA_CORES,
        carried_by: "src/balancer/",
        value: |s| {
            Ok(s.queries * whole_query(&Setup::of(s.data_nodes), s.open() as u32, s.parts as u32)? / 1e6)
        },
    },
    Bounded {
        role: "coordinator",
        figure: "module's time within one query, alone",
        unit: "s",
        kind: Kind::Time,
        bound: ANSWER_SECONDS,
        carried_by: "src/balancer/",
        value: |s| Ok(whole_query(&Setup::of(s.data_nodes), 1, s.parts as u32)? / 1e6),
    },
    Bounded {
        role: "coordinator",
        figure: "whole list within control's bytes",
        unit: "s",
        kind: Kind::Exact,
        bound: IN_FORCE_SECONDS,
        carried_by: "src/net/discovery/",
        value: |s| Ok(seconds(whole_exchange(s.data_nodes as u64).bytes() as f64)),
    },
    Bounded {
        role: "coordinator",
        figure: "a lost zone within control's bytes",
        unit: "s",
        kind: Kind::Exact,
        bound: IN_FORCE_SECONDS,
        carried_by: "src/net/discovery/",
        value: |s| {
            let exchange = change_exchange(s.data_nodes as u64, 0, s.zone_entries() as u64);
            Ok(seconds(exchange.bytes() as f64))
        },
    },
    Bounded {
        role: "coordinator",
        figure: "a watch, calls and answers",
        unit: "bytes/s",
        kind: Kind::Exact,
        bound: CONTROL_BYTES,
        carried_by: "src/net/discovery/",
        // Changes a day grow as data nodes do; today's are not told.
        value: |s| Ok(watch_bytes(CHANGES_A_DAY / SECONDS_A_DAY * s.data_nodes / TARGET.data_nodes)),
    },
    Bounded {
        role: "coordinator",
        figure: "cores for configuration changes",
        unit: "cores",
        kind: Kind::Time,
        bound: CONTROL_CORES,
        carried_by: "src/net/discovery/, src/balancer/endpoints.rs",
        value: |s| {
            let a_second = CHANGES_A_DAY / SECONDS_A_DAY * s.data_nodes / TARGET.data_nodes;
            Ok(a_second * one_change(s) / 1e6)
        },
    },
    Bounded {
        role: "coordinator",
        figure: "memory of the list",
        unit: "bytes",
        kind: Kind::Exact,
        bound: CONTROL_MEMORY,
        carried_by: "src/net/data_nodes/, src/state.rs",
        value: |s| Ok(of_list(s.data_nodes as u64).0),
    },
    Bounded {
        role: "coordinator",
        figure: "connections to data nodes",
        unit: "connections",
        kind: Kind::Exact,
        bound: 0.0,
        carried_by: "src/net/data_nodes/, src/net/descriptors.rs",
        value: |s| Ok(s.data_nodes * met(s.data_nodes, s.queries * MET_WITHIN, s.parts as u32)?),
    },
    Bounded {
        role: "data node",
        figure: "callers",
        unit: "connections",
        kind: Kind::Exact,
        bound: CALLERS.0,
        carried_by: "src/net/data_nodes/",
        value: |s| Ok(s.coordinators * met(s.data_nodes, s.queries * MET_WITHIN, s.parts as u32)?),
    },
    Bounded {
        role: "coordinator",
        figure: "parts to be open over parts let out at the start",
        unit: "times",
        kind: Kind::Exact,
        bound: 1.0,
        carried_by: "src/balancer/admission.rs",
        value: |s| wanted_over_let_in(&setup(s), s.open() as u32, s.parts as u32),
    },
];

/// Seconds of queries by which connections are counted; they stay open for longer.
const MET_WITHIN: f64 = 2.0;

fn setup(sizes: &Sizes) -> Setup {
    let (zones, coordinators) = (sizes.zones as u64, sizes.coordinators as u32);
    Setup { zones, coordinators, ..Setup::of(sizes.data_nodes) }
}

/// Microseconds to parse and take over one changed entry.
fn one_change(sizes: &Sizes) -> f64 {
    let (nodes, zones) = (sizes.data_nodes as u64, sizes.zones as u64);
    let client = Client::new(nodes, zones, nowhere());
    let known = list(41, true, 0, nodes, zones, "up");
    client.take_over(&serde_json::from_str(&known).expect("the bench's own list"), EndpointUpdate::Full);
    let texts = ["draining", "up"].map(|health| list(42, false, 0, 1, zones, health));
    let (parse, take) = parse_and_take(&client, &texts, EndpointUpdate::Delta);
    parse + take
}

pub fn run(options: &Options, report: &mut Report) {
    for bounded in BOUNDED {
        report.push(row(options, bounded).expect("the bench's own settings are sound"));
    }
}

fn row(options: &Options, bounded: &Bounded) -> Result<Row, SettingsError> {
    let mut points = Vec::new();
    for step in 0..=STEPS {
        let t = f64::from(step) / f64::from(STEPS);
        // A smaller call of the bench goes a part of the way.
        points.push((t * options.size, (bounded.value)(&Sizes::on_the_way(t * options.size))?));
    }
    let [role, figure, unit, carried_by] =
        [bounded.role, bounded.figure, bounded.unit, bounded.carried_by].map(str::to_owned);
    let bound = if bounded.bound > 0.0 { bounded.bound } else { most_connections() };
    let (axis, kind, note) = (AXIS.to_owned(), bounded.kind, String::new());
    Ok(Row {
        role,
        figure,
        axis,
        unit,
        kind,
        points,
        target: options.size,
        bound: Some(bound),
        carried_by,
        note,
    })
}

/// The walk's rows as a table, the bound that breaks first at its top; nothing where the walk was not run.
pub fn markdown(report: &Report) -> String {
    let mut entries: Vec<&Entry> = report.entries.iter().filter(|e| e.run == NAME).collect();
    if entries.is_empty() {
        return String::new();
    }
    let at = |e: &Entry| e.fitted.breaks_at.unwrap_or(f64::INFINITY);
    entries.sort_by(|a, b| at(a).total_cmp(&at(b)));
    let mut text = String::from(
        "## Where on the way from today (0) to the target (1) each bound breaks\n\n| role | figure | breaks at | data nodes | coordinators | parts a query | queries/s | factor at the target | carried by |\n|---|---|---|---|---|---|---|---|---|\n",
    );
    for entry in entries {
        let (row, factor) = (&entry.row, entry.fitted.factor.map_or("-".to_owned(), crate::table::number));
        let place = match entry.fitted.breaks_at.filter(|t| *t <= row.target) {
            None => "not on the way | - | - | - | -".to_owned(),
            Some(t) => {
                let s = Sizes::on_the_way(t);
                let [nodes, coordinators, parts, queries] =
                    [s.data_nodes, s.coordinators, s.parts, s.queries].map(crate::table::number);
                format!("{t:.2} | {nodes} | {coordinators} | {parts} | {queries}")
            }
        };
        text += &format!("| {} | {} | {place} | {factor} | {} |\n", row.role, row.figure, row.carried_by);
    }
    text
}
