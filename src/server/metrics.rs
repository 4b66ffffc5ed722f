//! Periodic log lines with running totals, for operators without a metrics system.
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{info, Logger};

use crate::coordinator::{Coordinator, Transport};
use crate::net::cluster::ClusterNode;
use crate::net::{invariants, run_loop};

/// Interval between two lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the totals of the coordinator of a front for as long as the process runs.
pub(super) async fn log_query_counts<T: Transport>(
    coordinator: Rc<Coordinator<T>>,
    front: &'static str,
    log: Logger,
) {
    loop {
        Timer::at(Instant::now() + LOG_INTERVAL).await;
        info!(log, "counts";
            "front" => front,
            "totals" => ?coordinator.counts(),
            "open" => coordinator.open_queries(),
            "replicas" => coordinator.known_replicas(),
            "invariants" => ?invariants::counts());
    }
}

/// Logs how long tasks delayed each other, for as long as the process runs.
pub(super) async fn log_run_loop(log: Logger) {
    loop {
        Timer::at(Instant::now() + LOG_INTERVAL).await;
        let stats = run_loop::take_stats();
        info!(log, "run loop";
            "polls" => stats.polls,
            "longest_poll_us" => stats.longest_poll.as_micros() as u64,
            "longest_cycle_us" => stats.longest_cycle.as_micros() as u64);
    }
}

/// Logs the totals of the cluster node for as long as the process runs.
pub(super) async fn log_cluster_counts(node: Rc<ClusterNode>, log: Logger) {
    loop {
        Timer::at(Instant::now() + LOG_INTERVAL).await;
        info!(log, "cluster counts"; "totals" => ?node.counters(), "dropped" => node.dropped_frames());
    }
}
