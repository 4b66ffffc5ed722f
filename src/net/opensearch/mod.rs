//! The query API: a second front and its client side, on the same core. It listens where the operator's file says.
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

use self::query_api::Front;
use self::servers::Servers;
use super::dns_sd::watcher::Watch;
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
) -> Result<Rc<Front>, StartError> {
    let QueryApiConfig { source, indices, shards, deployment, .. } = setup;
    let servers = Servers::new(deployment.connections, descriptors, log.clone());
    let settings = deployment.settings.clone();
    let core = Coordinator::new(settings, seed, deployment.max_open, executor.clone(), servers.clone())
        .map_err(StartError::Settings)?;
    let (core_of, zones) = (core.clone(), deployment.zones.clone());
    let watch = Watch::begin(core_of, servers, zones, source, "query API", log.clone());
    executor.spawn(core.clone().run()).detach();
    executor.spawn(watch.map_err(StartError::Source)?.run()).detach();
    let (closing, log, (log_limiter, joined)) = (closing.clone(), log.clone(), Default::default());
    Ok(Rc::new(Front { coordinator: core, deployment, indices, shards, closing, log, log_limiter, joined }))
}
