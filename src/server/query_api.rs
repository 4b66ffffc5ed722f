//! Startup of the query API, the OpenSearch-style search API.
use std::rc::Rc;

use slog::info;

use super::front::{bound_address, listen, AcceptingFront, Startup};
use super::{metrics, ServeError};
use crate::config::operator::QueryApiConfig;
use crate::net::cluster::ClusterNode;
use crate::net::opensearch;

/// Starts the front and joins the cluster, if there is one.
pub(super) async fn start(
    startup: &Startup,
    config: QueryApiConfig,
    cluster: Option<Rc<ClusterNode>>,
) -> Result<AcceptingFront, ServeError> {
    let Startup { executor, shutdown, seed, log, .. } = startup;
    let configured = config.listen;
    let front = opensearch::start(config, *seed, startup.server_descriptors(), executor, shutdown, log)
        .map_err(ServeError::Start)?;
    if let Some(cluster) = cluster {
        front.join_cluster(cluster, executor);
    }
    let listener = listen(configured).await?;
    info!(log, "query API listening"; "address" => %bound_address(&listener, configured));
    let counts = metrics::log_query_counts(front.coordinator.clone(), "query API", log.clone());
    executor.spawn(counts).detach();
    let descriptors = startup.http_descriptors();
    Ok(startup.accept(listener, descriptors, move |client| front.clone().serve(client)))
}
