//! Startup of the gRPC front.
use std::rc::Rc;

use slog::info;

use super::front::{bound_address, listen, AcceptingFront, Startup};
use super::{metrics, ServeError};
use crate::config::operator::GrpcConfig;
use crate::net::descriptors::DescriptorBudget;
use crate::net::grpc::{self, Front};

/// The started front.
pub(super) struct GrpcServer {
    /// The front, whose routes a reload replaces.
    pub front: Rc<Front>,
    /// Acceptor of its connections.
    pub accepting: AcceptingFront,
}

/// Starts the gRPC front.
pub(super) async fn start(startup: &Startup, config: GrpcConfig) -> Result<GrpcServer, ServeError> {
    let Startup { executor, shutdown, seed, log, .. } = startup;
    let configured = config.listen;
    let front = grpc::start(
        config,
        *seed,
        startup.server_descriptors(),
        executor,
        shutdown,
        &startup.client_memory,
        log,
    )
    .map_err(ServeError::Start)?;
    let listener = listen(configured).await?;
    info!(log, "gRPC listening"; "address" => %bound_address(&listener, configured));
    let counts = metrics::log_query_counts(front.coordinator.clone(), "gRPC", log.clone());
    executor.spawn(counts).detach();
    let max_clients = grpc::max_client_connections(startup.client_memory.counts().limit);
    let descriptors = Rc::new(DescriptorBudget::with_max_clients(startup.descriptors_per_front, max_clients));
    let serving = front.clone();
    let accepting = startup.accept(listener, descriptors, move |client| serving.clone().serve(client));
    Ok(GrpcServer { front, accepting })
}
