//! The query API: an OpenSearch-style search API with its own coordinator. It listens on the address in the
//! operator's file.
//!
//! - `query_api`: client connections;
//! - `query`, `search`, `merge`: parsing, execution and answer of a search;
//! - `protected`, `outcome`: searches that the cluster protects, and what it stores of them;
//! - `servers`: attempts at the search servers;
//! - `connections`: connections to them.
pub mod connections;
pub mod merge;
pub mod outcome;
mod protected;
pub mod query;
pub mod query_api;
mod search;
pub mod servers;

use std::rc::Rc;

use async_executor::LocalExecutor;
use slog::Logger;

use self::query_api::QueryApiServer;
use self::servers::SearchServers;
use super::dns_sd::watcher::ZoneFileWatcher;
use super::http_server::GracefulShutdown;
use super::StartError;
use crate::config::operator::QueryApiConfig;
use crate::coordinator::Coordinator;

/// Starts the coordinator of this front, which runs the same code with the same rules as the platform's, and
/// returns the front.
pub fn start(
    config: QueryApiConfig,
    seed: u64,
    descriptors: usize,
    executor: &Rc<LocalExecutor<'static>>,
    shutdown: &Rc<GracefulShutdown>,
    log: &Logger,
) -> Result<Rc<QueryApiServer>, StartError> {
    let QueryApiConfig { source, indices, shards, deployment, .. } = config;
    let servers = SearchServers::new(deployment.connections, descriptors, log.clone());
    let settings = deployment.settings.clone();
    let coordinator =
        Coordinator::new(settings, seed, deployment.max_open, executor.clone(), servers.clone())
            .map_err(StartError::Settings)?;
    let (watcher_coordinator, zones) = (coordinator.clone(), deployment.zones.clone());
    let watch = ZoneFileWatcher::start(watcher_coordinator, servers, zones, source, "query API", log.clone());
    executor.spawn(coordinator.clone().run()).detach();
    executor.spawn(watch.map_err(StartError::Source)?.run()).detach();
    let (shutdown, log, (log_limiter, cluster_access)) = (shutdown.clone(), log.clone(), Default::default());
    Ok(Rc::new(QueryApiServer {
        coordinator,
        deployment,
        indices,
        shards,
        shutdown,
        log,
        log_limiter,
        cluster_access,
    }))
}
