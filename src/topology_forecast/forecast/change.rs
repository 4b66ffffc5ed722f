//! The cost of changing to a new topology: tiles that servers have to load, and servers that are cold at the
//! time of adoption.
use std::collections::BTreeSet;

use serde::Serialize;

use super::{ForecastInputs, Range, ServerLoad};
use crate::balancer::interface::ReplicaId;
use crate::topology_forecast::Topology;

/// The cost of changing to a topology.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ChangeCost {
    /// The number of tiles that were created by splits or merges.
    pub tiles_cut: usize,
    /// The number of pairs of a tile and a server that has to load it, as it does not hold all of it yet.
    #[serde(rename = "loads")]
    pub tile_loads: usize,
    /// The sum of the weights of the tiles over these pairs.
    #[serde(rename = "weight")]
    pub loaded_weight: f64,
    /// The number of servers that have to load tiles but are warm, as they already serve other tiles.
    pub warm_with_new_tiles: usize,
    /// The servers that are cold when the topology is adopted.
    pub cold: Vec<ColdServer>,
}

/// A server that is cold when the topology is adopted.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ColdServer {
    pub server: u64,
    /// The ratio of the server's load to its capacity while it is cold, which is reduced by
    /// [`SlowStart::initial_capacity`](crate::balancer::interface::SlowStart::initial_capacity).
    #[serde(rename = "times")]
    pub load_ratio: Range,
    /// The configured ratio of load to capacity above which a server is overloaded.
    #[serde(rename = "multiple")]
    pub overload_factor: f64,
    /// The configured time that a server withstands a higher ratio, in seconds.
    #[serde(rename = "after")]
    pub overload_window_s: f64,
    /// The configured time until a cold server is warm, in seconds.
    #[serde(rename = "ramp")]
    pub ramp_s: f64,
}

impl ColdServer {
    /// Returns whether the server may be overloaded while it is cold.
    pub fn may_be_overloaded(&self) -> bool {
        self.load_ratio.high > self.overload_factor
    }
}

/// Computes the cost of changing from `base` to `to`, given the forecast load of the servers of `to`.
pub fn change_cost(
    base: &Topology,
    to: &Topology,
    inputs: &ForecastInputs,
    servers: &[ServerLoad],
) -> ChangeCost {
    let mut out = ChangeCost::default();
    let mut gained: BTreeSet<ReplicaId> = BTreeSet::new();
    for tile in to.tiles() {
        let own = [tile.tile];
        let from: &[u32] = if tile.from.is_empty() { &own } else { &tile.from };
        out.tiles_cut += usize::from(!tile.from.is_empty());
        for holder in tile.holders.iter() {
            let held_on_base = |f: &u32| base.tile(*f).is_some_and(|t| t.holders.contains(holder));
            // A server that holds all tiles from which this one was created need not load anything.
            if from.iter().all(held_on_base) {
                continue;
            }
            out.tile_loads += 1;
            out.loaded_weight += *tile.weight.numer() as f64 / *tile.weight.denom() as f64;
            gained.insert(*holder);
        }
    }
    for server in servers {
        let id = ReplicaId(server.server);
        let cold = base.server(id).is_none() || inputs.cold_servers.contains(&id);
        out.warm_with_new_tiles += usize::from(!cold && gained.contains(&id));
        let (Some(rule), Some(load), true) = (inputs.slow_start, server.utilization, cold) else { continue };
        out.cold.push(ColdServer {
            server: server.server,
            load_ratio: load.scale_by(1.0 / rule.initial_capacity.max(f64::MIN_POSITIVE)),
            overload_factor: rule.overload_factor,
            overload_window_s: rule.overload_window,
            ramp_s: rule.ramp,
        });
    }
    out
}
