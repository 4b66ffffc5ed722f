//! Servers that the transport of a front knows: their stable ids, their incarnations, and the changes that
//! each list makes. Performs no I/O.
//!
//! Invariant: a name keeps its replica id for as long as the process runs.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use super::zone_file::Server;
use crate::balancer::interface::{CellId, Endpoint, EndpointState, ReplicaId, ZoneId};
use crate::coordinator::Clock;
use crate::send_policy::{self, ListedStart, StartEstimate, StartEstimator};

/// A server that has been listed at some time.
pub struct KnownServer {
    /// The server as last listed.
    pub server: Server,
    /// Number of restarts and changes of address that have been listed.
    pub incarnation: u64,
    /// Estimated start time on the coordinator's own clock, unless it was long ago.
    pub started: Option<StartEstimate>,
}

/// Change that a list makes to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is listed in this state, with the same process.
    Listed(EndpointState),
    /// The server is listed in this state with another process or address. Connections to the previous one
    /// are no longer useful.
    Replaced(EndpointState),
    /// The server is no longer listed, which counts as a drain.
    Removed,
}

/// Servers that a transport knows.
#[derive(Default)]
pub struct ServerRegistry {
    servers: BTreeMap<ReplicaId, KnownServer>,
    ids: BTreeMap<String, ReplicaId>,
    starts: StartEstimator,
}

impl ServerRegistry {
    /// Applies a complete list. Returns its servers as endpoints for the balancer and the change of each
    /// known server. The id of a zone is its index in `zones`.
    pub fn apply_list(
        &mut self,
        servers: &[Server],
        zones: &[String],
        clock: &Clock,
    ) -> (Vec<Endpoint>, Vec<(ReplicaId, ServerChange)>) {
        let mut changes = self.remove_unlisted(servers);
        let now = clock.at(Instant::now());
        self.starts.observe(servers.iter().filter_map(|server| listed_start(server, clock)), now);
        let mut endpoints = Vec::new();
        for server in servers {
            let start = listed_start(server, clock).map(|start| self.starts.estimate(start, now));
            let (replica, change) = self.update(server, start);
            changes.push((replica, change));
            let started = self.servers[&replica].started;
            let zone = zones.iter().position(|zone| *zone == server.zone);
            endpoints.push(Endpoint {
                replica,
                zone: ZoneId(zone.map_or(u8::MAX, |n| n as u8)),
                cell: CellId(server.cell),
                state: server.state,
                weight: server.weight,
                started: started.map(|start| start.latest),
                start_uncertainty: started.map_or(0.0, |start| start.uncertainty),
            });
        }
        self.starts.finish_list(now);
        (endpoints, changes)
    }

    fn remove_unlisted(&mut self, listed: &[Server]) -> Vec<(ReplicaId, ServerChange)> {
        let mut changes = Vec::new();
        for (replica, known) in &mut self.servers {
            if !listed.iter().any(|server| server.name == known.server.name) {
                known.server.state = EndpointState::Removed;
                changes.push((*replica, ServerChange::Removed));
            }
        }
        changes
    }

    /// Updates a listed server. `start` is its start time, which is used if this start is listed for the
    /// first time.
    fn update(&mut self, server: &Server, start: Option<StartEstimate>) -> (ReplicaId, ServerChange) {
        let next_id = ReplicaId(self.ids.len() as u64 + 1);
        let replica = *self.ids.entry(server.name.clone()).or_insert(next_id);
        let known = self.servers.entry(replica).or_insert_with(|| KnownServer {
            server: server.clone(),
            incarnation: 0,
            started: start,
        });
        if send_policy::is_restart(server.start_unix_ms, known.server.start_unix_ms) {
            known.started = start;
        }
        let replaced =
            known.server.start_unix_ms != server.start_unix_ms || known.server.address != server.address;
        known.server = server.clone();
        if replaced {
            known.incarnation += 1;
            (replica, ServerChange::Replaced(server.state))
        } else {
            (replica, ServerChange::Listed(server.state))
        }
    }

    /// Returns a known server, whether removed or not.
    pub fn get(&self, replica: ReplicaId) -> Option<&KnownServer> {
        self.servers.get(&replica)
    }

    /// Returns the address and incarnation of a server, if it accepts attempts.
    pub fn ready_address(&self, replica: ReplicaId) -> Option<(SocketAddr, u64)> {
        let known = self.servers.get(&replica).filter(|known| known.server.state == EndpointState::Ready)?;
        Some((known.server.address, known.incarnation))
    }
}

/// Returns the listed start of a server, or `None` if it was long ago.
fn listed_start(server: &Server, clock: &Clock) -> Option<ListedStart> {
    let by_wall_clock = clock.from_unix_ms(server.start_unix_ms)?;
    Some(ListedStart { unix_ms: server.start_unix_ms, by_wall_clock })
}
