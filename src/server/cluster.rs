//! Startup of this process as a member of the cluster.
use std::net::SocketAddr;
use std::rc::Rc;

use slog::Logger;

use super::front::{listen, Startup};
use super::{metrics, ServeError};
use crate::config::operator::ClusterConfig;
use crate::net::cluster::ClusterNode;

/// The cluster node of this process and its listen address.
///
/// It is started in two steps: [`ClusterMember::new`] before the fronts, since the query API needs the node
/// at its own start, and [`ClusterMember::start`] after them, since the node may assign work as soon as it
/// is started.
pub(super) struct ClusterMember {
    /// Submits work to the cluster and executes work for it.
    pub node: Rc<ClusterNode>,
    listen: SocketAddr,
}

impl ClusterMember {
    /// Creates the member that the file describes. It neither listens nor connects yet.
    pub fn new(config: &ClusterConfig, log: &Logger) -> ClusterMember {
        ClusterMember { node: ClusterNode::new(config, log), listen: config.listen }
    }

    /// Starts to listen for the other members and to connect to them.
    pub async fn start(&self, startup: &Startup) -> Result<(), ServeError> {
        self.node.start(listen(self.listen).await?, &startup.executor);
        let counts = metrics::log_cluster_counts(self.node.clone(), startup.log.clone());
        startup.executor.spawn(counts).detach();
        Ok(())
    }
}
