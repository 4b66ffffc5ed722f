//! Runs a coordinator process: starts the configured fronts, handles reloads, and shuts down gracefully.
//!
//! This module determines the order of the following steps, which users and tests rely on:
//!
//! 1. Signal handlers are registered ([`SignalHandlers::register`]) before anything that takes time.
//! 2. The platform's front is started, then the cluster node is created but not started, then the query API
//!    and the gRPC front are started.
//! 3. The cluster node is started last, since the fronts execute the work that it assigns.
//! 4. Reloads are handled (`reload`) until the first request to stop, which begins the graceful shutdown
//!    (`shutdown`).
//!
//! Queries and protocols are not handled here, but in [`crate::coordinator`] and [`crate::net`].
#![warn(missing_docs)]

mod cluster;
mod error;
mod front;
mod grpc;
mod metrics;
mod platform;
mod query_api;
mod reload;
mod shutdown;
mod signals;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use slog::Logger;

use crate::balancer::interface::Settings;
use crate::config::platform::{Config, MIN_SHARED_DESCRIPTORS, RESERVED_DESCRIPTORS};
use crate::net::cluster::ClusterNode;
use crate::net::memory_budget::MemoryBudget;
use crate::net::{invariants, run_loop};

pub use self::error::ServeError;
use self::front::{AcceptingFront, Startup};
use self::reload::Reloader;
use self::shutdown::Shutdown;
pub use self::signals::{SignalHandlers, SignalRequest};

/// Serves `config` on this thread until a signal asks the process to stop.
///
/// `operator_file` is the file from which a reload reads the gRPC routes. The handlers in `signals` stay in
/// effect until this function returns.
///
/// # Errors
///
/// Returns an error if a front cannot be started. Fronts that were started before it are dropped without a
/// graceful shutdown.
pub fn run(
    config: Config,
    operator_file: Option<PathBuf>,
    signals: SignalHandlers,
    log: Logger,
) -> Result<(), ServeError> {
    invariants::log_to(log.clone());
    let executor = Rc::new(LocalExecutor::new());
    let serve = serve(config, operator_file, signals, executor.clone(), log);
    async_io::block_on(run_loop::run(&executor, serve))
}

async fn serve(
    config: Config,
    operator_file: Option<PathBuf>,
    mut signals: SignalHandlers,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
) -> Result<(), ServeError> {
    let startup = Startup {
        executor,
        shutdown: Rc::default(),
        seed: config.seed,
        descriptors_per_front: descriptors_per_front(&config),
        client_memory: MemoryBudget::for_clients(config.memory_bytes),
        backend_memory: MemoryBudget::for_backends(config.memory_bytes),
        log: log.clone(),
    };
    // The time of SIGKILL depends on the settings of the platform. Without a platform nobody sends it.
    let platform_deadline = config.platform.as_ref().map(|p| longest_deadline(&p.deployment.settings));
    let query_api = config.operator.as_ref().and_then(|operator| operator.query_api.as_ref());
    let search_deadline = query_api.map(|q| longest_deadline(&q.deployment.settings));
    startup.executor.spawn(metrics::log_run_loop(log.clone())).detach();
    let budgets = metrics::MemoryBudgets {
        clients: startup.client_memory.clone(),
        backends: startup.backend_memory.clone(),
    };
    startup.executor.spawn(metrics::log_memory(budgets, log.clone())).detach();
    // Only the newest address matters.
    let (discovery_address_sender, discovery_address_changes) = async_channel::bounded(1);
    let running = start(&startup, config, discovery_address_changes).await?;

    let grpc_front = running.grpc_front;
    let reloader = Reloader { operator_file, grpc_front, discovery_address_sender, log: log.clone() };
    reloader.run_until_stop(&mut signals).await;
    let shutdown = Shutdown {
        shutdown: startup.shutdown,
        fronts: running.fronts,
        cluster: running.cluster,
        platform_deadline,
        search_deadline: search_deadline.unwrap_or_default(),
        log,
    };
    shutdown.run().await;
    Ok(())
}

/// The started components.
struct Running {
    fronts: Vec<AcceptingFront>,
    /// The gRPC front, which is also in `fronts`, for reloads.
    grpc_front: Option<Rc<crate::net::grpc::Front>>,
    cluster: Option<Rc<ClusterNode>>,
}

/// Starts the configured components in the order described in the module documentation.
async fn start(
    startup: &Startup,
    config: Config,
    discovery_address_changes: Receiver<SocketAddr>,
) -> Result<Running, ServeError> {
    let operator = config.operator.unwrap_or_default();
    let mut fronts = Vec::new();
    let mut grpc_front = None;
    if let Some(platform) = config.platform {
        fronts.push(platform::start(startup, platform, discovery_address_changes).await?);
    }
    let cluster = operator.cluster.map(|config| cluster::ClusterMember::new(&config, &startup.log));
    if let Some(query_api) = operator.query_api {
        let node = cluster.as_ref().map(|member| member.node.clone());
        fronts.push(query_api::start(startup, query_api, node).await?);
    }
    if let Some(grpc) = operator.grpc {
        let started = grpc::start(startup, grpc).await?;
        grpc_front = Some(started.front);
        fronts.push(started.accepting);
    }
    if let Some(member) = &cluster {
        member.start(startup).await?;
    }
    Ok(Running { fronts, grpc_front, cluster: cluster.map(|member| member.node) })
}

/// Returns the number of descriptors of one front, for its clients and the connections to its servers.
fn descriptors_per_front(config: &Config) -> usize {
    let operator = config.operator.as_ref();
    let platform = usize::from(config.platform.is_some());
    let query_api = usize::from(operator.is_some_and(|o| o.query_api.is_some()));
    let grpc = usize::from(operator.is_some_and(|o| o.grpc.is_some()));
    let fronts = platform + query_api + grpc;
    let cluster = operator.and_then(|o| o.cluster.as_ref()).map_or(0, ClusterNode::required_descriptors);
    let shared = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + cluster);
    shared.max(MIN_SHARED_DESCRIPTORS) / fronts.max(1)
}

/// Returns the longest deadline of all classes.
fn longest_deadline(settings: &Settings) -> Duration {
    let seconds = settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
