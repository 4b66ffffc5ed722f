//! A gRPC proxy (gRPC over HTTP/2): the server side that accepts calls from clients, and the client side that
//! sends attempts to gRPC servers. It uses the same coordinator and decision module code as the other fronts,
//! in a separate instance, and listens on the address from the operator's file. `docs/grpc.md` documents the
//! proxy, and `docs/design-grpc.md` gives the design rationale.
mod attempt;
mod call_memory;
mod caller;
mod exchange;
pub mod front;
pub mod guard;
mod health;
mod io;
pub mod replay;
mod servers;
pub mod status;
pub mod wire;

use std::rc::Rc;

use arc_swap::ArcSwap;
use async_executor::LocalExecutor;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::Logger;

pub use self::front::Front;
use self::front::RoutingConfig;
use self::replay::ReplayBudget;
use self::servers::Servers;
use super::dns_sd::watcher::ZoneFileWatcher;
use super::http_server::GracefulShutdown;
use super::memory_budget::MemoryBudget;
use super::StartError;
use crate::config::operator::{FrontLimits, GrpcConfig};
use crate::coordinator::Coordinator;

/// Memory of a client connection beside what its calls hold, in bytes: the buffers and tables of h2.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Minimum number of client connections, however little memory there is.
const MIN_CONNECTIONS: usize = 16;
/// Part of the memory for clients that all calls together may retain for retries.
const REPLAY_DIVISOR: usize = 2;
/// Part of the memory for clients that one connection may send ahead of the calls that read it.
const CONNECTION_WINDOW_DIVISOR: usize = 64;
/// The flow control window with which every connection starts, in bytes (RFC 9113, 6.9.2).
const INITIAL_WINDOW: u32 = 65_535;

/// Reduces the limits whose defaults exceed what `memory` allows, which is in bytes.
fn fit_to_memory(limits: &mut FrontLimits, memory: usize) {
    limits.total_replay = limits.total_replay.min(memory / REPLAY_DIVISOR);
    let window = u32::try_from(memory / CONNECTION_WINDOW_DIVISOR).unwrap_or(u32::MAX);
    limits.connection_window = limits.connection_window.min(window.max(INITIAL_WINDOW));
}

/// Returns the maximum number of client connections for a process with `memory` bytes for what clients send. The
/// connections take up as much again.
pub fn max_client_connections(memory: usize) -> usize {
    (memory / CONNECTION_BYTES).max(MIN_CONNECTIONS)
}

/// Starts the gRPC front with a coordinator that no other front shares. `descriptors` is the maximum number
/// of connections to servers, because each of them uses a file descriptor. `memory` limits what clients send
/// before their calls are submitted.
///
/// # Errors
///
/// Returns an error if the coordinator rejects the settings, or if the list of servers cannot be watched.
pub fn start(
    config: GrpcConfig,
    seed: u64,
    descriptors: usize,
    executor: &Rc<LocalExecutor<'static>>,
    shutdown: &Rc<GracefulShutdown>,
    memory: &Rc<MemoryBudget>,
    log: &Logger,
) -> Result<Rc<Front>, StartError> {
    let GrpcConfig { source, routes, front: mut limits, pool, deployment, .. } = config;
    fit_to_memory(&mut limits, memory.counts().limit);
    let (servers_executor, servers_log) = (executor.clone(), log.clone());
    let servers = Servers::new(
        deployment.connections,
        pool,
        limits.clone(),
        descriptors,
        seed,
        servers_executor,
        servers_log,
    );
    let settings = deployment.settings.clone();
    let coordinator =
        Coordinator::new(settings, seed, deployment.max_open, executor.clone(), servers.clone())
            .map_err(StartError::Settings)?;
    let (watcher_coordinator, watcher_servers, zones) =
        (coordinator.clone(), servers.clone(), deployment.zones.clone());
    let watcher =
        ZoneFileWatcher::start(watcher_coordinator, watcher_servers, zones, source, "gRPC", log.clone());
    executor.spawn(coordinator.clone().run()).detach();
    executor.spawn(servers.clone().run_timers()).detach();
    executor.spawn(watcher.map_err(StartError::Source)?.run()).detach();
    let routing = ArcSwap::from_pointee(RoutingConfig { routes, deployment: (*deployment).clone() });
    let (replay_budget, rng) =
        (ReplayBudget::new(limits.total_replay), Pcg64Mcg::seed_from_u64(!seed).into());
    let (executor, shutdown, memory, log) = (executor.clone(), shutdown.clone(), memory.clone(), log.clone());
    let (open_calls, log_limiters) = Default::default();
    Ok(Rc::new(Front {
        coordinator,
        servers,
        routing,
        limits,
        replay_budget,
        memory,
        shutdown,
        open_calls,
        rng,
        executor,
        log,
        log_limiters,
    }))
}

impl Front {
    /// Replaces all routes with those of a reloaded file. Calls in flight keep the route that they started
    /// with. Changes to anything else in the file take effect when the process is next started.
    ///
    /// # Errors
    ///
    /// Returns the first invalid row, or the reason why the coordinator rejects the added classes. The
    /// current routes then stay in force.
    pub fn reload_routes(
        &self,
        rows: &[crate::grpc_routing::RouteRow],
    ) -> Result<(), crate::grpc_routing::RowError> {
        let current = self.routing.load_full();
        let mut deployment = current.deployment.clone();
        let known_classes = deployment.settings.classes.len();
        let shard_count = deployment.shard_count.unwrap_or(1);
        let routes = crate::grpc_routing::RouteTable::compile(
            rows,
            &mut deployment,
            shard_count,
            self.limits.max_message,
        )?;
        let to_row_error = |e: crate::balancer::interface::SettingsError| crate::grpc_routing::RowError {
            row: 0,
            key: None,
            what: e.to_string(),
        };
        self.coordinator.add_classes(&deployment.settings.classes[known_classes..]).map_err(to_row_error)?;
        self.routing.store(std::sync::Arc::new(RoutingConfig { routes, deployment }));
        Ok(())
    }
}
