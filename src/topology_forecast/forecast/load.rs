//! The load of servers, zones and coordinators.
use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::draw::{Load, Placement, ReplicaChoices};
use super::tile_demand::{rate, ByTile, Districts};
use super::{ForecastInputs, Range, Unknown};
use crate::topology_forecast::{Demand, Topology};

/// The load of a server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerLoad {
    pub server: u64,
    #[serde(rename = "room")]
    pub zone: u8,
    /// Attempts per second. The range is the sum of the ranges of the server's tiles, widened by
    /// [`ModelFit::max_error`](super::ModelFit::max_error).
    pub parts_s: Range,
    /// The server's share of all attempts, which does not depend on the total traffic.
    pub share: f64,
    /// The utilization, which is the work per second as a share of the capacity. The range includes the
    /// uncertainty about the work on tiles that were split or merged. `None` if the work on parts was not
    /// reported for every class.
    #[serde(rename = "busy")]
    pub utilization: Option<Range>,
    /// Attempts per second on the base; 0 if the base does not have the server.
    #[serde(rename = "before")]
    pub attempts_before_s: f64,
}

/// The load of a zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneLoad {
    #[serde(rename = "room")]
    pub zone: u8,
    pub servers: usize,
    pub parts_s: Range,
}

/// The load of a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CoordinatorLoad {
    pub name: String,
    pub queries_s: Range,
    pub parts_s: Range,
    /// The number of open connections. `low` and `mid` assume one connection to each server that the
    /// coordinator's parts may go to, but no more connections than it sent attempts. `high` assumes the
    /// maximum number of connections to each of these servers.
    pub connections: Range,
}

/// The deviation of the demand that was observed after adoption from the forecast.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Observation {
    /// The greatest deviation of a server's observed share of attempts from the forecast share, relative to
    /// the forecast share. Only servers with at least 400 observed or forecast attempts are considered, for
    /// which the standard error of the count is at most 5 %.
    #[serde(rename = "load_off")]
    pub load_error: f64,
    /// The greatest excess of a class's observed share of late answers over the high end of the forecast
    /// share; at least 0.
    #[serde(rename = "late_over")]
    pub late_excess: f64,
    /// The share of the traffic that was observed.
    pub coverage: f64,
}

/// The number of attempts below which a server's share is not significant: at 400, its standard error is 5 %.
pub(super) const MIN_ATTEMPTS: u64 = 400;

impl super::Forecast {
    /// Compares a demand that was observed on this topology with the forecast.
    pub fn observe(&self, demand: &Demand, inputs: &ForecastInputs) -> Observation {
        let total: u64 = demand.servers.values().sum();
        let mut load_error: f64 = 0.0;
        for s in &self.servers {
            let observed = demand.servers.get(&s.server).copied().unwrap_or(0);
            let predicted = s.share * total as f64;
            if observed >= MIN_ATTEMPTS || predicted >= MIN_ATTEMPTS as f64 {
                load_error = load_error.max((observed as f64 - predicted).abs() / predicted.max(1.0));
            }
        }
        let mut late_excess: f64 = 0.0;
        for predicted in &self.lateness {
            let class =
                demand.classes.get(&predicted.class).zip(inputs.classes.get(usize::from(predicted.class)));
            let late = class.map_or(0.0, |(observed, settings)| match observed.query_latency.count() {
                0 => 0.0,
                _ => observed.query_latency.share_over(settings.latency_objective * 1e6),
            });
            late_excess = late_excess.max(late - predicted.late.high);
        }
        Observation { load_error, late_excess, coverage: demand.coverage.share.mid }
    }
}

/// The mean work on a part of each class, in seconds; `None` for a class whose work was not reported.
pub struct Work(BTreeMap<u16, Option<f64>>);

impl Work {
    /// Computes the means from a demand. Classes without reported work are added to `unknowns`.
    pub fn new(demand: &Demand, unknowns: &mut Vec<Unknown>) -> Work {
        let mut out = BTreeMap::new();
        for (class, c) in &demand.classes {
            let work = (c.parts_with_work > 0).then(|| c.work_us as f64 * 1e-6 / c.parts_with_work as f64);
            if work.is_none() {
                unknowns.push(Unknown::Work { class: *class });
            }
            out.insert(*class, work);
        }
        Work(out)
    }

    fn of(&self, class: u16) -> Option<f64> {
        self.0.get(&class).copied().flatten()
    }
}

/// Returns, for each tile of `to`, the ratio of the work on a part there to the mean work on a part on the
/// tiles of `base` that it was split or merged from. The ends of the range assume that none or all of the
/// work is proportional to the weight.
fn work_ratios(to: &Topology, base: &Topology) -> Vec<Range> {
    let weight = |w: num_rational::Ratio<u64>| *w.numer() as f64 / *w.denom() as f64;
    let each = |t: &crate::topology_forecast::Tile| {
        let own = [t.tile];
        let from: &[u32] = if t.from.is_empty() { &own } else { &t.from };
        let old: Vec<f64> = from.iter().filter_map(|f| base.tile(*f)).map(|t| weight(t.weight)).collect();
        if old.is_empty() {
            return Range::exact(1.0);
        }
        let ratio = weight(t.weight) / (old.iter().sum::<f64>() / old.len() as f64);
        Range { low: ratio.min(1.0), mid: 0.5 * (1.0 + ratio), high: ratio.max(1.0) }
    };
    to.tiles().iter().map(each).collect()
}

/// The loads on a topology under a demand.
pub struct Loads<'a> {
    pub(super) to: &'a Topology,
    pub(super) demand: &'a Demand,
    inputs: &'a ForecastInputs,
    pub(super) holders: Vec<Vec<u32>>,
    /// Attempts per second on each tile.
    pub(super) parts: Vec<Range>,
    placement: Placement,
    draws: ReplicaChoices,
    pub(super) loads: Vec<Load>,
    /// The work of each server in seconds per second, if the parts of each tile were split evenly over its
    /// holders.
    even_work: Vec<Range>,
    /// The attempts per second of each server, if the parts of each tile were split evenly over its holders.
    pub(super) even: Vec<Range>,
    /// Whether the work on parts is known for all classes with demand.
    work_known: bool,
    /// The share of the parts that are on tiles where a part may take more work than on the base, and the
    /// greatest factor by which it may.
    growth: (f64, f64),
}

impl<'a> Loads<'a> {
    /// Computes the loads on the topology `to` by the mean-field model, for a demand that was recorded on
    /// `base`. `rates` are the parts per second on the tiles of `to`, by class, and `attempts` the attempts
    /// per part, by class.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub fn new(
        to: &'a Topology,
        base: &Topology,
        rates: &ByTile,
        attempts: &BTreeMap<u16, f64>,
        work: &Work,
        demand: &'a Demand,
        inputs: &'a ForecastInputs,
    ) -> Loads<'a> {
        let holders = to.holders();
        let work_ratios = work_ratios(to, base);
        let mut parts = vec![Range::default(); holders.len()];
        let mut works = parts.clone();
        let work_known =
            rates.iter().all(|(class, all)| work.of(*class).is_some() || all.iter().all(|r| r.high == 0.0));
        for (class, rates) in rates {
            let (attempts_per_part, each) =
                (attempts.get(class).copied().unwrap_or(1.0), work.of(*class).unwrap_or(0.0));
            for (((part, work), rate), ratio) in parts.iter_mut().zip(&mut works).zip(rates).zip(&work_ratios)
            {
                let sent = rate.scale_by(attempts_per_part);
                *part = part.plus(sent);
                let work_per_part = ratio.scale_by(each);
                let sum = Range {
                    low: sent.low * work_per_part.low,
                    mid: sent.mid * work_per_part.mid,
                    high: sent.high * work_per_part.high,
                };
                *work = work.plus(sum);
            }
        }
        let (mut even, mut even_work) = (vec![Range::default(); to.servers().len()], Vec::new());
        even_work.clone_from(&even);
        let mut draws = ReplicaChoices::default();
        for ((holders, part), work) in holders.iter().zip(&parts).zip(&works) {
            draws.add(holders, part.mid);
            let each = 1.0 / holders.len().max(1) as f64;
            for h in holders {
                if let Some((even, even_work)) = even.get_mut(*h as usize).zip(even_work.get_mut(*h as usize))
                {
                    *even = even.plus(part.scale_by(each));
                    *even_work = even_work.plus(work.scale_by(each));
                }
            }
        }
        let coordinators_in = |zone: u8| inputs.coordinators.values().filter(|z| z.0 == zone).count() as f64;
        let all = inputs.coordinators.len().max(1) as f64;
        let capacity = |(s, (even, work)): (&crate::topology_forecast::Server, (&Range, &Range))| {
            if work_known && work.mid > 0.0 {
                s.capacity * even.mid / work.mid
            } else {
                f64::INFINITY
            }
        };
        let placement = Placement {
            capacity: to.servers().iter().zip(even.iter().zip(&even_work)).map(capacity).collect(),
            zones: to.servers().iter().map(|s| (s.zone.0, coordinators_in(s.zone.0) / all)).collect(),
            independent_coordinators: if inputs.queues_reported {
                1
            } else {
                u32::try_from(inputs.coordinators.len()).unwrap_or(u32::MAX)
            },
        };
        let loads = draws.solve(&placement, 1.0);
        let (mut all, mut affected, mut max_ratio) = (0.0, 0.0, 1.0);
        for (part, ratio) in parts.iter().zip(&work_ratios) {
            all += part.mid;
            if ratio.high > 1.0 && part.high > 0.0 {
                affected += part.mid;
                max_ratio = f64::max(max_ratio, ratio.high);
            }
        }
        let growth = (affected / f64::max(all, f64::MIN_POSITIVE), max_ratio);
        Loads {
            to,
            demand,
            inputs,
            holders,
            parts,
            placement,
            draws,
            loads,
            even_work,
            even,
            work_known,
            growth,
        }
    }

    /// Returns the share of the parts that are on tiles where a part may take more work than on the base, and
    /// the greatest factor by which it may.
    pub fn growth(&self) -> (f64, f64) {
        self.growth
    }

    /// Returns the load of each server. `old` are the loads on the base, and `max_error` is the relative
    /// error of the model, by which all ranges are widened.
    pub fn servers(&self, old: &Loads<'_>, max_error: f64) -> Vec<ServerLoad> {
        let total: f64 = self.loads.iter().map(|l| l.rate).sum();
        let each = self.to.servers().iter().zip(&self.loads).zip(self.even.iter().zip(&self.even_work));
        each.map(|((s, load), (even, work))| {
            let scale = load.rate / even.mid.max(f64::MIN_POSITIVE);
            let attempts_before_s =
                old.to.server(s.id).and_then(|n| old.loads.get(n)).map_or(0.0, |l| l.rate);
            ServerLoad {
                server: s.id.0,
                zone: s.zone.0,
                parts_s: even.scale_by(scale).widen(max_error),
                share: load.rate / total.max(f64::MIN_POSITIVE),
                utilization: self.work_known.then(|| work.scale_by(scale / s.capacity).widen(max_error)),
                attempts_before_s,
            }
        })
        .collect()
    }

    /// Returns the attempts per second on all servers.
    pub fn sum(&self) -> f64 {
        self.loads.iter().map(|l| l.rate).sum()
    }

    /// Returns the load of each zone, which is the sum over its `servers`. The ranges of the servers are
    /// summed as well, including the model error. The range of a zone is therefore wider than necessary,
    /// because load that one server does not get goes to others, often in the same zone.
    pub fn zones(&self, servers: &[ServerLoad]) -> Vec<ZoneLoad> {
        let mut out: BTreeMap<u8, ZoneLoad> = BTreeMap::new();
        for s in servers {
            let none = ZoneLoad { zone: s.zone, servers: 0, parts_s: Range::default() };
            let zone = out.entry(s.zone).or_insert(none);
            zone.servers += 1;
            zone.parts_s = zone.parts_s.plus(s.parts_s);
        }
        out.into_values().collect()
    }

    /// Returns the mean response time of a part over all servers, in seconds. It consists of the time in the
    /// queue and the time in service. For the ends of the range, all loads are scaled to the ends of the
    /// range of their sum.
    pub fn response(&self) -> Range {
        let sum = self.parts.iter().fold(Range::default(), |sum, p| sum.plus(*p));
        let mean = |loads: &[Load]| {
            let rate: f64 = loads.iter().map(|l| l.rate).sum();
            loads.iter().map(|l| l.in_system).sum::<f64>() / rate.max(f64::MIN_POSITIVE)
        };
        let at = |rate: f64| mean(&self.draws.solve(&self.placement, rate / sum.mid.max(f64::MIN_POSITIVE)));
        let mid = mean(&self.loads);
        Range { low: at(sum.low).min(mid), mid, high: at(sum.high).max(mid) }
    }

    /// Returns the mean response time of a part at the server where it is longest, in seconds.
    pub fn longest_response(&self) -> f64 {
        let response_times = self.loads.iter().filter(|l| l.rate > 0.0).map(|l| l.in_system / l.rate);
        response_times.fold(0.0, f64::max)
    }

    /// Returns the load of each coordinator, and the share of attempts that go to a different zone than that
    /// of their coordinator. For this share, `mid` assumes that each holder of a tile is chosen with equal
    /// probability, `low` that a part stays in the coordinator's zone if there is a holder, and `high` that
    /// it goes to another zone if there is a holder.
    pub fn coordinators(
        &self,
        districts: &Districts,
        attempts: &BTreeMap<u16, f64>,
    ) -> (Vec<CoordinatorLoad>, Range) {
        let words = self.to.servers().len().div_ceil(64);
        let mut reach: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        let mut zones: BTreeMap<u32, BTreeMap<u8, Range>> = BTreeMap::new();
        for district in self.demand.rows.keys().map(|(_, d)| *d).collect::<BTreeSet<_>>() {
            let (mut set, tiles) = (vec![0u64; words], districts.tiles(district));
            let zone_shares = zones.entry(district).or_default();
            for holders in tiles.iter().filter_map(|n| self.holders.get(*n)) {
                let mut counts = BTreeMap::<u8, usize>::new();
                for h in holders {
                    if let Some(word) = set.get_mut(*h as usize / 64) {
                        *word |= 1 << (h % 64);
                    }
                    *counts.entry(self.placement.zones.get(*h as usize).map_or(0, |h| h.0)).or_default() += 1;
                }
                for (zone, n) in counts {
                    let only = if n == holders.len() { 1.0 } else { 0.0 };
                    let share = Range { low: only, mid: n as f64 / holders.len() as f64, high: 1.0 };
                    let sum = zone_shares.entry(zone).or_default();
                    *sum = sum.plus(share.scale_by(1.0 / tiles.len().max(1) as f64));
                }
            }
            reach.insert(district, set);
        }
        let (mut out, mut all, mut other_zone) = (Vec::new(), 0.0, Range::default());
        for (name, rows) in &self.demand.members {
            let (mut queries, mut parts) = (Range::default(), Range::default());
            let (mut set, mut sent) = (vec![0u64; words], 0.0);
            for ((class, district), row) in rows {
                queries = queries.plus(rate(Range::exact(row.queries as f64), self.demand, *district));
                let before = self.demand.rows.get(&(*class, *district)).map_or(0, |r| r.parts);
                let share = row.parts as f64 / before.max(1) as f64;
                let attempts_per_part = attempts.get(class).copied().unwrap_or(1.0);
                let whole_district_parts =
                    row.whole_district as f64 * districts.tiles(*district).len() as f64;
                let count = (share * before as f64 + whole_district_parts) * attempts_per_part;
                sent += count;
                let per_s = rate(Range::exact(count), self.demand, *district);
                parts = parts.plus(per_s);
                let d = reach.get(district).map_or(&[][..], |d| d);
                set.iter_mut().zip(d).for_each(|(a, b)| *a |= b);
                if let Some(zone) = self.inputs.coordinators.get(name) {
                    let own = zones.get(district).and_then(|r| r.get(&zone.0)).copied().unwrap_or_default();
                    let out = Range { low: 1.0 - own.high, mid: 1.0 - own.mid, high: 1.0 - own.low };
                    other_zone = other_zone.plus(out.scale_by(count));
                    all += count;
                }
            }
            let reached = f64::from(set.iter().map(|w| w.count_ones()).sum::<u32>());
            let each = self.inputs.max_connections.max(1) as f64;
            let connections = Range { low: reached.min(sent), mid: reached.min(sent), high: reached * each };
            out.push(CoordinatorLoad {
                name: name.to_string(),
                queries_s: queries,
                parts_s: parts,
                connections,
            });
        }
        (out, other_zone.scale_by(1.0 / f64::max(all, 1.0)))
    }
}
