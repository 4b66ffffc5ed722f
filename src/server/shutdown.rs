//! Graceful shutdown: no new work is wanted, accepted work is answered, then the process exits.
//!
//! The time limits are those of [`GracefulShutdown`]; this module determines the order.
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{info, warn, Logger};

use super::front::AcceptingFront;
use crate::net::cluster::ClusterNode;
use crate::net::http_server::{GracefulShutdown, ACCEPT_GRACE};
use crate::net::timeout_at;

/// Time for writing the last log lines, which a separate thread does. The process waits no longer for that
/// thread, however slowly its log is read.
const LOG_FLUSH: Duration = Duration::from_millis(20);

/// The components to shut down and the deadlines.
pub(super) struct Shutdown {
    /// Shutdown state, observed by every connection.
    pub shutdown: Rc<GracefulShutdown>,
    /// Fronts, drained in this order.
    pub fronts: Vec<AcceptingFront>,
    /// Cluster node, which is drained and then waited for until it executes nothing.
    pub cluster: Option<Rc<ClusterNode>>,
    /// Longest deadline of the platform's queries, which determines the time of SIGKILL. `None` without a
    /// platform.
    pub platform_deadline: Option<Duration>,
    /// Longest deadline of a search that this member may execute for other members of the cluster.
    pub search_deadline: Duration,
    /// Log of the process.
    pub log: Logger,
}

impl Shutdown {
    /// Performs the shutdown. Completes when all connections are closed, or at the exit deadline of the
    /// shutdown state.
    pub async fn run(self) {
        let started = Instant::now();
        self.shutdown.start_draining(started, self.platform_deadline);
        let connections: usize = self.fronts.iter().map(|front| front.acceptor.open_connections()).sum();
        info!(self.log, "stopping"; "connections" => connections);
        Timer::at(started + ACCEPT_GRACE).await;
        self.shutdown.stop_keep_alive();
        if let Some(cluster) = &self.cluster {
            cluster.start_draining();
        }
        let Shutdown { shutdown, fronts, cluster, search_deadline, log, .. } = self;
        let drained = async {
            for front in fronts {
                wait_until_closed(front).await;
            }
            // Waits for searches that are executed here for clients of other members. After their longest
            // deadline they have finished, or another member has taken them over.
            if let Some(cluster) = &cluster {
                cluster.wait_until_idle(started.checked_add(search_deadline).unwrap_or(started)).await;
            }
        };
        // Bounds the wait for clients that do not read: SIGKILL would arrive before they do.
        let all_closed = match shutdown.exit_deadline() {
            Some(end) => timeout_at(end, drained).await.is_some(),
            None => {
                drained.await;
                true
            }
        };
        if !all_closed {
            warn!(log, "connections left at the end");
        }
        info!(log, "stopped");
        Timer::at(Instant::now() + LOG_FLUSH).await;
    }
}

/// Waits until the front accepts no more connections and its last connection is closed.
async fn wait_until_closed(front: AcceptingFront) {
    let AcceptingFront { acceptor, accept_task } = front;
    accept_task.await;
    while acceptor.open_connections() > 0 {
        // Start listening before the check; otherwise a connection that closes between the check and the
        // wait would be missed.
        let closed = acceptor.connection_closed.listen();
        if acceptor.open_connections() > 0 {
            closed.await;
        }
    }
}
