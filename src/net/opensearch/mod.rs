//! The query API: searches over an OpenSearch-style API, on a coordinator of its own. It listens where the
//! operator's file says.
//!
//! - `query_api`: clients' connections;
//! - `query`, `search`, `merge`: a search's text, its life, and its answer;
//! - `protected`, `outcome`: searches that the cluster protects, and what it stores of them;
//! - `servers`: the connections to the search servers.
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

/// A core of its own for this front, on the same code and rules, and the front itself.
pub fn start(
    setup: QueryApiConfig,
    seed: u64,
    descriptors: usize,
    executor: &Rc<LocalExecutor<'static>>,
    closing: &Rc<GracefulShutdown>,
    log: &Logger,
) -> Result<Rc<QueryApiServer>, StartError> {
    let QueryApiConfig { source, indices, shards, deployment, .. } = setup;
    let servers = SearchServers::new(deployment.connections, descriptors, log.clone());
    let settings = deployment.settings.clone();
    let core = Coordinator::new(settings, seed, deployment.max_open, executor.clone(), servers.clone())
        .map_err(StartError::Settings)?;
    let (core_of, zones) = (core.clone(), deployment.zones.clone());
    let watch = ZoneFileWatcher::start(core_of, servers, zones, source, "query API", log.clone());
    executor.spawn(core.clone().run()).detach();
    executor.spawn(watch.map_err(StartError::Source)?.run()).detach();
    let (closing, log, (log_limiter, joined)) = (closing.clone(), log.clone(), Default::default());
    Ok(Rc::new(QueryApiServer {
        coordinator: core,
        deployment,
        indices,
        shards,
        shutdown: closing,
        log,
        log_limiter,
        joined,
    }))
}
