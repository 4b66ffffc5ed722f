//! Periodic log lines with running totals, for operators without a metrics system.
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::{info, Logger};

use crate::coordinator::{Coordinator, Transport};
use crate::net::cluster::ClusterNode;
use crate::net::memory_budget::MemoryBudget;
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

/// Budgets whose counts are logged.
pub(super) struct MemoryBudgets {
    /// What clients send and do not read.
    pub clients: Rc<MemoryBudget>,
    /// Partially received answers.
    pub backends: Rc<MemoryBudget>,
}

/// Logs the memory of the process and of its budgets, for as long as the process runs.
pub(super) async fn log_memory(budgets: MemoryBudgets, log: Logger) {
    loop {
        Timer::at(Instant::now() + LOG_INTERVAL).await;
        let process = ProcessMemory::read();
        info!(log, "memory";
            "resident_kb" => process.map(|memory| memory.resident_kb),
            "peak_kb" => process.map(|memory| memory.peak_kb),
            "clients" => ?budgets.clients.counts(),
            "backends" => ?budgets.backends.counts());
    }
}

/// Memory of the process as the kernel counts it, in KiB.
#[derive(Clone, Copy)]
struct ProcessMemory {
    resident_kb: u64,
    peak_kb: u64,
}

impl ProcessMemory {
    /// Returns `None` if the kernel does not tell.
    fn read() -> Option<ProcessMemory> {
        let status = std::fs::read_to_string("/proc/self/status").ok()?;
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(ProcessMemory { resident_kb: value("VmRSS:")?, peak_kb: value("VmHWM:")? })
    }
}
