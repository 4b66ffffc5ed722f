//! Startup of the platform's front: its protocol, data nodes and discovery.
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use slog::info;

use super::front::{bound_address, listen, AcceptingFront, Startup};
use super::{metrics, ServeError};
use crate::config::platform::PlatformConfig;
use crate::config::settings::Deployment;
use crate::coordinator::Coordinator;
use crate::net::data_nodes::DataNodes;
use crate::net::discovery::Discovery;
use crate::net::platform_api::PlatformApi;

/// Starts the front. `discovery_address_changes` yields the newest address of discovery after a reload.
pub(super) async fn start(
    startup: &Startup,
    platform: PlatformConfig,
    discovery_address_changes: Receiver<SocketAddr>,
) -> Result<AcceptingFront, ServeError> {
    // Checked first, since an error here ends the startup: nothing may be logged before it.
    platform.cached_endpoints()?;
    let listener = listen(platform.listen).await?;
    let Startup { executor, seed, log, .. } = startup;
    let deployment = Rc::new(platform.deployment.clone());
    let descriptors = startup.http_descriptors();
    let nodes = DataNodes::new(
        (*deployment).clone(),
        descriptors.clone(),
        startup.backend_memory.clone(),
        executor.clone(),
        log.clone(),
    );
    let coordinator = new_coordinator(startup, &deployment, nodes.clone())?;
    let watch_policy = (deployment.settings.discovery, deployment.zones.clone());
    let discovery = Discovery::new(
        platform.discovery,
        discovery_address_changes,
        coordinator.clone(),
        nodes.clone(),
        watch_policy,
        *seed,
        log.clone(),
    );
    let address = bound_address(&listener, platform.listen);
    info!(log, "listening"; "name" => &platform.name, "address" => %address);
    let front = new_front(startup, deployment, nodes, coordinator.clone());
    let accepting = startup.accept(listener, descriptors, move |client| front.clone().serve(client));
    let follow_discovery = async move {
        // Checked above: an unreadable list has ended the startup.
        let cached = platform.cached_endpoints().unwrap_or_default();
        discovery.run(cached.as_ref()).await
    };
    executor.spawn(follow_discovery).detach();
    executor.spawn(coordinator.clone().run()).detach();
    executor.spawn(metrics::log_query_counts(coordinator, "platform", log.clone())).detach();
    Ok(accepting)
}

fn new_coordinator(
    startup: &Startup,
    deployment: &Deployment,
    nodes: Rc<DataNodes>,
) -> Result<Rc<Coordinator<DataNodes>>, ServeError> {
    let settings = deployment.with_default_tenant();
    let executor = startup.executor.clone();
    Coordinator::new(settings, startup.seed, deployment.max_open, executor, nodes)
        .map_err(ServeError::Settings)
}

fn new_front(
    startup: &Startup,
    deployment: Rc<Deployment>,
    data_nodes: Rc<DataNodes>,
    coordinator: Rc<Coordinator<DataNodes>>,
) -> Rc<PlatformApi> {
    Rc::new(PlatformApi {
        coordinator,
        data_nodes,
        deployment,
        shutdown: startup.shutdown.clone(),
        used_ids: Default::default(),
        log: startup.log.clone(),
        log_limiters: Default::default(),
    })
}
