//! Log lines on the validity of the list, and the running totals of the calls.
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use slog::{info, warn};

use super::Discovery;
use crate::net::data_nodes::MAX_LIST_WAIT;

/// Interval between two lines with totals.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);

impl Discovery {
    /// Logs the totals of the calls periodically. Never completes.
    pub(super) async fn log_counts<T>(&self) -> T {
        loop {
            Timer::at(Instant::now() + COUNTS_INTERVAL).await;
            info!(self.log, "discovery counts"; "totals" => ?self.counts.get());
        }
    }

    /// Logs when attempts are no longer sent because the list is not valid, and when it is valid again. Short
    /// gaps, in which attempts only wait, are not logged. Never completes.
    pub(super) async fn log_lease<T>(&self) -> T {
        loop {
            let invalid_since = self.until_invalid().await;
            let reason = self.data_nodes.list_invalid();
            if let Some(suppressed) = self.log_limiter.permit() {
                warn!(self.log, "endpoint list not valid, nothing is sent";
                    "reason" => reason.map(|reason| reason.to_string()),
                    "generation" => self.generations.current(), "suppressed" => suppressed);
            }
            self.until_valid().await;
            info!(self.log, "endpoint list valid again";
                "after_ms" => invalid_since.elapsed().as_millis() as u64);
        }
    }

    /// Completes when the lease has been invalid for [`MAX_LIST_WAIT`]; returns since when it is invalid.
    async fn until_invalid(&self) -> Instant {
        loop {
            let changed = self.data_nodes.lease_changed();
            let Some(lease) = self.data_nodes.lease() else { std::future::pending().await };
            let now = Instant::now();
            let since = lease.invalid_since(now).unwrap_or(lease.expires_at());
            if now >= since + MAX_LIST_WAIT {
                return since;
            }
            let due = async {
                Timer::at(since + MAX_LIST_WAIT).await;
            };
            changed.or(due).await;
        }
    }

    async fn until_valid(&self) {
        while self.data_nodes.list_invalid().is_some() {
            self.data_nodes.lease_changed().await;
        }
    }
}
