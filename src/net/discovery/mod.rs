//! Client of discovery: retrieves the complete list of data nodes, then watches for changes.
//!
//! Owns the watch, the version of its list and the address of discovery. This module does not decide what
//! the state of a data node means for queries: it passes endpoints to the connections and to the balancer.
//!
//! - this file: converts lists to endpoints
//! - `follow`: when a watch is started, failures, and changes of address
//! - `watch`: the calls of one watch
//! - `log`: what is logged besides single failures
//! - `source`: the addresses that the process is configured with
//! - [`version`]: the requests, and the interpretation of their answers
//! - [`watch_policy`]: time limits and the bounds from which they are derived
//!
//! Invariants: a drain reaches the connections before the balancer; changes are applied only to the version
//! that they are based on; only an answer of the current address renews the lease on the list, and an answer
//! that may be lost ends it.
#![warn(missing_docs)]
mod follow;
mod list;
mod log;
mod source;
pub mod version;
mod watch;
pub mod watch_policy;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Receiver;
use slog::{info, warn, Logger};

use super::data_nodes::{DataNodes, ListedDataNode};
use super::LogRateLimiter;
use crate::balancer::interface::{self, CellId, Endpoint, EndpointState, EndpointUpdate, ZoneId};
use crate::coordinator::{Clock, Coordinator};
use crate::send_policy::{EndpointLease, ListedStart, StartEstimator};
use crate::subsetting::{self, Subset};
pub use list::{DiscoveryError, EndpointList, ListedEndpoint};
use source::Generations;
use watch_policy::WatchPolicy;

/// Maximum size of a list in bytes, enough for about ten thousand data nodes with long names. Only received
/// bytes are held in memory, and only while they are parsed; the limit bounds memory if an answer never
/// ends.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Placeholder for the address of a data node that no connection is opened to.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([0, 0, 0, 0], 0);

/// Totals since start-up, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryCounts {
    /// Connections that were opened, or tried to be opened.
    pub connects: u64,
    /// Calls that were written.
    pub calls: u64,
    /// Answers that were applied, with or without changes.
    pub answers: u64,
    /// Endpoints in these answers.
    pub endpoints: u64,
    /// Answers that may have been lost.
    pub lost_answers: u64,
}

/// Discovery client of one coordinator.
pub struct Discovery {
    first_address: SocketAddr,
    /// Receives the address of discovery each time a configuration is reread.
    address_changes: Receiver<SocketAddr>,
    coordinator: Rc<Coordinator<DataNodes>>,
    data_nodes: Rc<DataNodes>,
    /// Names of the zones. The id of a zone is its index.
    zones: Vec<String>,
    policy: WatchPolicy,
    generations: Generations,
    counts: Cell<DiscoveryCounts>,
    /// Estimates the start times of data nodes from the lists of the current address.
    starts: RefCell<StartEstimator>,
    /// The subset of the listed data nodes that this coordinator uses.
    subset: RefCell<Subset>,
    log_limiter: LogRateLimiter,
    log: Logger,
}

impl Discovery {
    /// Creates a client of discovery at `address`, which `address_changes` may replace later. The settings
    /// determine how lists are obtained and the names of the zones; `seed` selects the subset of data nodes
    /// that this coordinator uses.
    pub fn new(
        address: SocketAddr,
        address_changes: Receiver<SocketAddr>,
        coordinator: Rc<Coordinator<DataNodes>>,
        data_nodes: Rc<DataNodes>,
        (mode, zones): (interface::Discovery, Vec<String>),
        seed: u64,
        log: Logger,
    ) -> Discovery {
        let policy = WatchPolicy::new(mode, data_nodes.drain_grace());
        data_nodes.limit_by_lease(EndpointLease::new(policy.lease_terms, Instant::now()));
        Discovery {
            first_address: address,
            address_changes,
            coordinator,
            data_nodes,
            zones,
            policy,
            generations: Generations::default(),
            counts: Cell::default(),
            starts: RefCell::default(),
            subset: RefCell::new(Subset::new(seed, subsetting::SUBSET_SIZE)),
            log_limiter: LogRateLimiter::default(),
            log,
        }
    }

    fn count(&self, change: impl FnOnce(&mut DiscoveryCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Applies a list, first to the connections, whose pending writes it may stop, then to the balancer.
    pub fn apply(&self, list: &EndpointList, update: EndpointUpdate) {
        self.count(|counts| counts.endpoints += list.endpoints.len() as u64);
        let clock = self.coordinator.clock();
        let starts = list.endpoints.iter().filter_map(|listed| listed_start(listed, &clock));
        self.starts.borrow_mut().observe(starts, clock.at(Instant::now()));
        let endpoints: Vec<Endpoint> =
            list.endpoints.iter().filter_map(|listed| self.endpoint(listed, &clock)).collect();
        let complete = update != EndpointUpdate::Delta;
        if complete {
            self.data_nodes.retain_listed(&endpoints.iter().map(|endpoint| endpoint.replica).collect());
        }
        info!(self.log, "list of data nodes"; "seq" => list.seq, "whole" => complete,
            "entries" => endpoints.len());
        self.data_nodes.forget_removed(Instant::now());
        let endpoints = self.subset.borrow_mut().update(update, endpoints);
        self.coordinator.update_endpoints(update, endpoints);
    }

    /// Registers a listed data node and returns its endpoint for the balancer, or `None` if it accepts
    /// attempts and its address is not valid.
    fn endpoint(&self, listed: &ListedEndpoint, clock: &Clock) -> Option<Endpoint> {
        let state = match &*listed.health {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            _ => EndpointState::Removed,
        };
        let address = listed.address.parse().ok();
        if address.is_none() {
            warn!(self.log, "listed address of a data node is not an IP address and port";
                "host" => &*listed.name, "dial" => &*listed.address);
        }
        // No connections are opened to a data node that accepts no new attempts, so a drain takes effect
        // even without a valid address.
        let unused = (state != EndpointState::Ready).then_some(SocketAddr::from(UNUSED_ADDRESS));
        let entry = ListedDataNode {
            name: listed.name.to_string(),
            address: address.or(unused)?,
            state,
            start_unix_ms: listed.start_unix_ms,
        };
        let (replica, started) = self.data_nodes.register_with_start(&entry, || {
            let start = listed_start(listed, clock)?;
            Some(self.starts.borrow().estimate(start, clock.at(Instant::now())))
        });
        let zone = self.zones.iter().position(|zone| *zone == listed.zone);
        Some(Endpoint {
            replica,
            zone: ZoneId(zone.map_or(u8::MAX, |n| n as u8)),
            cell: CellId(listed.cell),
            state,
            weight: listed.weight,
            started: started.map(|start| start.latest),
            start_uncertainty: started.map_or(0.0, |start| start.uncertainty),
        })
    }
}

/// Returns the listed start of a data node, or `None` if it was long ago.
fn listed_start(listed: &ListedEndpoint, clock: &Clock) -> Option<ListedStart> {
    let by_wall_clock = clock.from_unix_ms(listed.start_unix_ms)?;
    Some(ListedStart { unix_ms: listed.start_unix_ms, by_wall_clock })
}
