//! Graceful shutdown: no new work is wanted, what was accepted is answered, then the process ends.
//!
//! The time limits are those of [`GracefulShutdown`]; this module keeps the order.
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{info, warn, Logger};

use super::front::AcceptingFront;
use crate::net::cluster::ClusterNode;
use crate::net::http_server::{GracefulShutdown, ACCEPT_GRACE};
use crate::net::timeout_at;

/// For the last log lines, which a thread of their own writes. The process waits for that thread no longer, however
/// slow the reader of its log is.
const LOG_FLUSH: Duration = Duration::from_millis(20);

/// What is shut down, and the deadlines that bound it.
pub(super) struct Shutdown {
    /// Seen by every connection.
    pub notice: Rc<GracefulShutdown>,
    /// Drained in this order.
    pub fronts: Vec<AcceptingFront>,
    /// Left, then waited for until it executes nothing.
    pub cluster: Option<Rc<ClusterNode>>,
    /// The longest deadline of the platform's queries: SIGKILL goes by it. `None` without a platform.
    pub platform_deadline: Option<Duration>,
    /// The longest deadline of a search that this member may execute for others of the cluster.
    pub search_deadline: Duration,
    /// The process's log.
    pub log: Logger,
}

impl Shutdown {
    /// Shut down, from now. Resolves once all connections are closed, or at the end that the notice sets.
    pub async fn run(self) {
        let started = Instant::now();
        self.notice.start_draining(started, self.platform_deadline);
        let connections: usize = self.fronts.iter().map(|front| front.acceptor.open_connections()).sum();
        info!(self.log, "stopping"; "connections" => connections);
        Timer::at(started + ACCEPT_GRACE).await;
        self.notice.stop_keep_alive();
        if let Some(cluster) = &self.cluster {
            cluster.start_draining();
        }
        let Shutdown { notice, fronts, cluster, search_deadline, log, .. } = self;
        let drained = async {
            for front in fronts {
                wait_until_closed(front).await;
            }
            // Searches that are executed here for clients of other members: after their longest deadline they are
            // finished, or another member has taken them over.
            if let Some(cluster) = &cluster {
                cluster.wait_until_idle(started.checked_add(search_deadline).unwrap_or(started)).await;
            }
        };
        // Bounds the wait for clients that don't read: SIGKILL would come before they do.
        let all_closed = match notice.exit_deadline() {
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

/// Wait until the front accepts no more and its last connection is closed.
async fn wait_until_closed(front: AcceptingFront) {
    let AcceptingFront { acceptor, accept_task } = front;
    accept_task.await;
    while acceptor.open_connections() > 0 {
        // Listen first: a connection that closes between the look and the wait would go unseen.
        let freed = acceptor.connection_closed.listen();
        if acceptor.open_connections() > 0 {
            freed.await;
        }
    }
}
