//! The data nodes that exist, as discovery lists them: the complete list first, then a watch on its changes.
//!
//! Owns the watch, its version and the address that is asked. Never decides what a data node's state means
//! for queries: it hands endpoints to the connections and to the balancer.
//!
//! - this file: from a list to endpoints
//! - `watch`: the calls, their failures and the moves to another address
//! - [`version`]: what a call says and what its answer means
//! - [`watch_policy`]: times, and the bounds that they follow from
//!
//! Invariants: a drain reaches the connections before the balancer; changes are applied only to the version
//! that they build on; a silent watch is restarted before what it may have missed counts as notified.
#![warn(missing_docs)]
mod list;
pub mod version;
mod watch;
pub mod watch_policy;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use slog::{info, warn, Logger};

use super::data_nodes::{DataNodes, ListedDataNode};
use super::LogRateLimiter;
use crate::balancer::interface::{self, CellId, Endpoint, EndpointState, EndpointUpdate, ZoneId};
use crate::coordinator::{Clock, Coordinator};
use crate::send_policy::{ListedStart, StartEstimator};
use crate::subsetting::{self, Subset};
pub use list::{DiscoveryError, EndpointList, ListedEndpoint};
use watch_policy::WatchPolicy;

/// The largest list, in bytes: some ten thousand data nodes with long names. Only what arrives is held in
/// memory, and not for longer than it is read; the limit bounds that memory against an answer that never
/// ends.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Stands for the address of a data node that nobody connects to.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([0, 0, 0, 0], 0);

/// The client of discovery, for one coordinator.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Its new address, each time a new configuration names one.
    address_changes: Receiver<SocketAddr>,
    coordinator: Rc<Coordinator<DataNodes>>,
    data_nodes: Rc<DataNodes>,
    /// Names of the zones; a zone's id is its place.
    zones: Vec<String>,
    policy: WatchPolicy,
    /// When the last call started, its connect included.
    last_call_started: Cell<Instant>,
    /// Dates the starts of data nodes by the lists of the current address.
    starts: RefCell<StartEstimator>,
    /// Additional time for an agent's answer, after one that had begun was cut off.
    slow_answer_slack: Cell<Duration>,
    /// Those of the listed data nodes that this coordinator works with.
    subset: RefCell<Subset>,
    log_limiter: LogRateLimiter,
    log: Logger,
}

impl Discovery {
    /// A client of the discovery at `address`, or wherever `address_changes` moves it. The settings say how
    /// lists come and what zones are called; `seed` chooses this coordinator's subset of data nodes.
    pub fn new(
        address: SocketAddr,
        address_changes: Receiver<SocketAddr>,
        coordinator: Rc<Coordinator<DataNodes>>,
        data_nodes: Rc<DataNodes>,
        (mode, zones): (interface::Discovery, Vec<String>),
        seed: u64,
        log: Logger,
    ) -> Discovery {
        Discovery {
            address: Cell::new(address),
            address_changes,
            coordinator,
            data_nodes,
            zones,
            policy: WatchPolicy::for_discovery(mode),
            last_call_started: Cell::new(Instant::now()),
            starts: RefCell::default(),
            slow_answer_slack: Cell::default(),
            subset: RefCell::new(Subset::new(seed, subsetting::SUBSET_SIZE)),
            log_limiter: LogRateLimiter::default(),
            log,
        }
    }

    /// Apply a list: to the connections first, whose writes it may stop, then to the balancer.
    pub fn apply(&self, list: &EndpointList, update: EndpointUpdate) {
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

    /// Register a listed data node, and what the balancer gets of it; `None` where its address is unusable
    /// and needed.
    fn endpoint(&self, listed: &ListedEndpoint, clock: &Clock) -> Option<Endpoint> {
        let state = match &*listed.health {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            _ => EndpointState::Removed,
        };
        let address = listed.address.parse().ok();
        if address.is_none() {
            warn!(self.log, "unusable address of a data node"; "host" => &*listed.name,
                "dial" => &*listed.address);
        }
        // Nobody connects to one that takes nothing new: a drain counts also without an address.
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

/// The start that a list gives for a data node; `None` for one long ago.
fn listed_start(listed: &ListedEndpoint, clock: &Clock) -> Option<ListedStart> {
    let by_wall_clock = clock.from_unix_ms(listed.start_unix_ms)?;
    Some(ListedStart { unix_ms: listed.start_unix_ms, by_wall_clock })
}
