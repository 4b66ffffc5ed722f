//! Forecasts the load and latency that a recorded demand causes on a proposed topology. Uncertain figures are
//! given as a [`Range`], and anything that cannot be determined is listed as an [`Unknown`].
mod change;
mod draw;
mod fanout;
mod fit;
mod load;
mod tile_demand;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde::Serialize;

pub use change::{ChangeCost, ColdServer};
pub use draw::{Load, Placement, ReplicaChoices};
pub use fanout::{FanOut, Stats};
pub use load::{CoordinatorLoad, Observation, ServerLoad, ZoneLoad};

use super::{Coverage, Demand, Range, Topology};
use crate::balancer::interface::{Class, ReplicaId, SlowStart, ZoneId};
use crate::balancer::query_time_factor;

/// The most unknowns of one kind that are listed individually.
pub const MAX_NAMED: usize = 1024;

/// The least model error that is assumed for a server, as a share of its load.
pub const MIN_MODEL_ERROR: f64 = 0.05;
/// The model error that is assumed if too few attempts were observed on every server, as a share of a
/// server's load.
pub const UNOBSERVED_MODEL_ERROR: f64 = 0.25;

/// The inputs of a forecast besides the demand and the topologies.
#[derive(Clone, Debug)]
pub struct ForecastInputs {
    /// The classes in the settings, in the order of their numbers.
    pub classes: Vec<Class>,
    /// The slow start of servers, if it is configured.
    pub slow_start: Option<SlowStart>,
    /// The servers of the base that are currently cold. Servers that the base does not have are always
    /// assumed to be cold.
    pub cold_servers: BTreeSet<ReplicaId>,
    /// The zone of each coordinator, by the coordinator's name.
    pub coordinators: BTreeMap<Rc<str>, ZoneId>,
    /// The most connections of a coordinator to one server.
    pub max_connections: usize,
    /// Whether servers report the length of their queue. If not, each coordinator only knows the number of
    /// its own parts in flight.
    pub queues_reported: bool,
}

/// A quantity that cannot be determined from the demand and the topologies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Unknown {
    /// The work on a part of this class, as no server reported it. An even split of the load is assumed, and
    /// no utilization is given.
    Work { class: u16 },
    /// The number of attempts per part of this class, as none were sent yet. One attempt is assumed.
    Attempts { class: u16 },
    /// The lateness of this class, as too little was observed of it. It is not forecast.
    Lateness { class: u16 },
    /// The target of the requests for this tile, which has no successor. They are ignored.
    Retired { tile: u32 },
    /// The tiles that queries for this district request, as it no longer exists. They are assumed to request
    /// the successors of its tiles.
    DistrictGone { district: u32 },
    /// The share of the work on a part that is proportional to its tile's weight. It is assumed to be
    /// anywhere between none and all.
    WorkOfCutTiles,
    /// The variation of the demand over time, as it covers a single window.
    Swing,
    /// The effect of cold caches for new tiles on this number of servers, which are otherwise warm.
    WarmServersNewTiles { servers: usize },
    /// The districts of the queries that are in no row. `share` is their share of all queries, in 1/10,000.
    Unplaced { share: u64 },
    /// The mean queue length of this number of servers, whose load reaches or exceeds their capacity.
    Overloaded { servers: usize },
    /// The latency objective of this class, which is not in the settings.
    Class { class: u16 },
}

/// The expected change of the latency of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Lateness {
    pub class: u16,
    /// The ratio of the expected latency to the observed one.
    pub ratio: Range,
    /// The observed share of answers that miss the latency objective.
    pub before: f64,
    /// The expected share of answers that miss the latency objective.
    pub late: Range,
}

/// How well the model reproduces the load that was observed on the base.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ModelFit {
    /// The position of the observed loads on the line from an even split (0) through the mean-field model
    /// (1). It is determined by least squares over the servers of the base, and limited to 0 to 2. It
    /// accounts for effects that the model neglects, such as the simultaneous arrival of the parts of a
    /// query.
    #[serde(rename = "toward")]
    pub position: f64,
    /// The greatest error of a server's load that remains at this position, as a share of that load. The
    /// ranges of all servers are widened by it.
    #[serde(rename = "off")]
    pub max_error: f64,
}

/// The forecast for a topology.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Forecast {
    /// The version of the topology that the plan changes.
    pub base: u64,
    pub coverage: Coverage,
    pub fan_out: Vec<FanOut>,
    pub servers: Vec<ServerLoad>,
    /// The attempts per second on all servers of the base.
    #[serde(rename = "before")]
    pub attempts_before_s: f64,
    pub fit: ModelFit,
    #[serde(rename = "rooms")]
    pub zones: Vec<ZoneLoad>,
    pub coordinators: Vec<CoordinatorLoad>,
    /// The share of attempts that go to a different zone than that of their coordinator.
    #[serde(rename = "across")]
    pub across_zones: Range,
    pub change: ChangeCost,
    pub lateness: Vec<Lateness>,
    pub unknowns: Vec<Unknown>,
}

/// Why no forecast is possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForecastError {
    /// The base or the new topology has no tiles.
    #[error("the topology has no tiles")]
    NoTiles,
    /// The base or the new topology has no servers.
    #[error("the topology has no servers")]
    NoServers,
    /// The demand has no queries.
    #[error("the demand has no queries")]
    NoDemand,
}

/// Returns the decision module's query time factor for a mean number of parts. It is interpolated linearly
/// between the factors of the adjacent whole numbers.
fn mean_query_time_factor(parts: f64, steps: u32) -> f64 {
    let whole_parts = parts as usize;
    let (lower, upper) =
        (query_time_factor(whole_parts, steps), query_time_factor(whole_parts.saturating_add(1), steps));
    lower + (upper - lower) * parts.fract()
}

/// Forecasts the load and latency on the topology `to`, for a demand that was recorded on `base`.
///
/// # Errors
/// Returns an error if a topology has no tiles or no servers, or if the demand has no queries.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub fn forecast(
    demand: &Demand,
    base: &Topology,
    to: &Topology,
    inputs: &ForecastInputs,
) -> Result<Forecast, ForecastError> {
    if base.tiles().is_empty() || to.tiles().is_empty() {
        return Err(ForecastError::NoTiles);
    }
    if base.servers().is_empty() || to.servers().is_empty() {
        return Err(ForecastError::NoServers);
    }
    if demand.rows.values().all(|r| r.queries == 0) {
        return Err(ForecastError::NoDemand);
    }
    let mut unknowns = Vec::new();
    let base_successors = base.successors(base);
    let successors = to.successors(base);
    let districts = tile_demand::Districts::new(base, to, &successors);
    let base_districts = tile_demand::Districts::new(base, base, &base_successors);
    let attempts = attempts_per_part(demand, &base_districts, &mut unknowns);
    let rates = tile_demand::rates(demand, base, to, &successors, &districts, &mut unknowns);
    let base_rates =
        tile_demand::rates(demand, base, base, &base_successors, &base_districts, &mut Vec::new());
    let work = load::Work::new(demand, &mut unknowns);
    let mut new = load::Loads::new(to, base, &rates, &attempts, &work, demand, inputs);
    let mut old = load::Loads::new(base, base, &base_rates, &attempts, &work, demand, inputs);
    let fit = old.fit();
    new.interpolate(fit.position);
    old.interpolate(fit.position);
    new.apply_base_residuals(&old);
    let fan_out = fanout::fan_out(demand, base, to, &successors, &districts, &attempts);
    let lateness = lateness(demand, inputs, &fan_out, &new, &old, &mut unknowns);
    let (coordinators, across_zones) = new.coordinators(&districts, &attempts);
    let servers = new.servers(&old, fit.max_error);
    let change = change::change_cost(base, to, inputs, &servers);
    unknowns.extend(districts.removed().take(MAX_NAMED).map(|d| Unknown::DistrictGone { district: *d }));
    if to.tiles().iter().any(|t| !t.from.is_empty()) {
        unknowns.push(Unknown::WorkOfCutTiles);
    }
    if demand.coverage.windows.0 == demand.coverage.windows.1 {
        unknowns.push(Unknown::Swing);
    }
    if change.warm_with_new_tiles > 0 {
        unknowns.push(Unknown::WarmServersNewTiles { servers: change.warm_with_new_tiles });
    }
    if demand.coverage.unplaced > 0.0 {
        unknowns.push(Unknown::Unplaced { share: (demand.coverage.unplaced * 10_000.0).ceil() as u64 });
    }
    let overloaded = servers.iter().filter(|s| s.utilization.is_some_and(|b| b.mid >= 1.0)).count();
    if overloaded > 0 {
        unknowns.push(Unknown::Overloaded { servers: overloaded });
    }
    let coverage = demand.coverage.clone();
    let zones = new.zones(&servers);
    Ok(Forecast {
        base: base.version(),
        coverage,
        fan_out,
        servers,
        attempts_before_s: old.sum(),
        fit,
        zones,
        coordinators,
        across_zones,
        change,
        lateness,
        unknowns,
    })
}

/// Returns the attempts per part of each class. This is the number of attempts that were sent, divided by the
/// number of parts that queries requested on arrival. The attempts include those of second steps, although
/// the parts of second steps are not known on arrival.
fn attempts_per_part(
    demand: &Demand,
    districts: &tile_demand::Districts,
    unknowns: &mut Vec<Unknown>,
) -> BTreeMap<u16, f64> {
    let mut parts: BTreeMap<u16, f64> = BTreeMap::new();
    for ((class, district), row) in &demand.rows {
        let whole_district_parts = row.whole_district as f64 * districts.tiles(*district).len() as f64;
        *parts.entry(*class).or_default() += row.parts as f64 + whole_district_parts;
    }
    for (class, parts) in &mut parts {
        let sent = demand.classes.get(class).map_or(0, |c| c.first_attempts + c.retries + c.hedges);
        if sent == 0 {
            unknowns.push(Unknown::Attempts { class: *class });
        }
        *parts = if sent == 0 || *parts == 0.0 { 1.0 } else { sent as f64 / *parts };
    }
    parts
}

/// Forecasts the latency of each class by scaling the observed latencies of its answers. The scale is the
/// product of two ratios: that of the decision module's query time factors, and that of the latencies of a
/// part. Of a part's latency, the time that the mean-field model does not explain by queueing and service on
/// the base is assumed to remain constant.
///
/// `low` and `high` are computed with the loads at the ends of their ranges. For `high`, the response time of
/// a part grows at least as much as that of the slowest server, since the slowest part determines the latency
/// of a query. At the high end, queries for a tile that was merged are assumed to take longer in proportion
/// to the growth of its weight.
fn lateness(
    demand: &Demand,
    inputs: &ForecastInputs,
    fan_out: &[FanOut],
    new: &load::Loads<'_>,
    old: &load::Loads<'_>,
    unknowns: &mut Vec<Unknown>,
) -> Vec<Lateness> {
    let (mut response, response_before) = (new.response(), old.response().mid);
    response.high = response
        .high
        .max(response_before * new.longest_response() / old.longest_response().max(f64::MIN_POSITIVE));
    let mut out = Vec::new();
    for (class, counts) in &demand.classes {
        let Some(settings) = inputs.classes.get(usize::from(*class)) else {
            unknowns.push(Unknown::Class { class: *class });
            continue;
        };
        if counts.query_latency.count() == 0
            || counts.part_latency.count() == 0
            || counts.parts_with_work == 0
        {
            unknowns.push(Unknown::Lateness { class: *class });
            continue;
        }
        let mean_latency = counts.part_latency.mean() * 1e-6;
        let steps = if settings.second_step_parts > 0 { 2 } else { 1 };
        let (mut factor_on_base, mut factor_on_new, mut queries) = (0.0, 0.0, 0.0);
        for f in fan_out.iter().filter(|f| f.class == *class) {
            factor_on_base += f.queries_s.mid * mean_query_time_factor(f.parts_before, steps);
            factor_on_new += f.queries_s.mid * mean_query_time_factor(f.mean_parts.mid, steps);
            queries += f.queries_s.mid;
        }
        let fan_out_factor = if queries > 0.0 { factor_on_new / factor_on_base } else { 1.0 };
        let latency = |wait: f64| (mean_latency - response_before).max(0.0) + wait;
        let ratio =
            |wait: f64| fan_out_factor * latency(wait) / latency(response_before).max(f64::MIN_POSITIVE);
        let ratio = Range { low: ratio(response.low), mid: ratio(response.mid), high: ratio(response.high) };
        let late =
            |ratio: f64| counts.query_latency.share_over(settings.latency_objective * 1e6 / ratio.max(1e-3));
        // The share of the parts on tiles that have grown, and the factor by which they may take longer.
        let (share, longer) = new.growth();
        let parts = fan_out.iter().filter(|f| f.class == *class).map(|f| f.queries_s.mid * f.mean_parts.mid);
        let affected = (share * parts.sum::<f64>() / queries.max(f64::MIN_POSITIVE)).min(1.0);
        let high = (1.0 - affected) * late(ratio.high) + affected * late(ratio.high * longer);
        out.push(Lateness {
            class: *class,
            ratio,
            before: late(1.0),
            late: Range { low: late(ratio.low), mid: late(ratio.mid), high },
        });
    }
    out
}
