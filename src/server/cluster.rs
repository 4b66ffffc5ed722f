//! Startup of this process as a member of the cluster.
use std::net::SocketAddr;
use std::rc::Rc;

use slog::Logger;

use super::front::{listen, Startup};
use super::{metrics, ServeError};
use crate::config::operator::ClusterConfig;
use crate::net::cluster::ClusterNode;

/// The cluster node of this process and where it is to listen.
///
/// Two steps, since the query API needs the node at its own start, while the node may hand out work as soon as it is
/// started: [`ClusterMember::new`] before the fronts, [`ClusterMember::start`] after them.
pub(super) struct ClusterMember {
    /// Submits and executes the cluster's work.
    pub node: Rc<ClusterNode>,
    listen: SocketAddr,
}

impl ClusterMember {
    /// The member that the file describes; it neither listens nor connects yet.
    pub fn new(config: &ClusterConfig, log: &Logger) -> ClusterMember {
        ClusterMember { node: ClusterNode::new(config, log), listen: config.listen }
    }

    /// Listen to the other members and connect to them.
    pub async fn start(&self, startup: &Startup) -> Result<(), ServeError> {
        self.node.start(listen(self.listen).await?, &startup.executor);
        let counts = metrics::log_cluster_counts(self.node.clone(), startup.log.clone());
        startup.executor.spawn(counts).detach();
        Ok(())
    }
}
