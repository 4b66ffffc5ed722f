//! Everything that touches a socket: the fronts that clients speak to, the backends behind them, and what
//! both share.
//!
//! Never decides what happens to a query: fronts hand it to the coordinator and write the outcome; backends
//! carry out the attempts that they are given.
pub mod buffer;
pub mod cluster;
pub mod data_nodes;
pub mod descriptors;
pub mod discovery;
pub mod dns_sd;
pub mod grpc;
pub mod http;
pub mod http_server;
pub mod invariants;
pub mod opensearch;
pub mod platform_api;
pub mod socket;

use std::cell::Cell;
use std::future::Future;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;

use crate::balancer::interface::SettingsError;

/// Why a front could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its settings contradict each other.
    #[error("{0}")]
    Settings(SettingsError),
    /// The servers that its zone file lists could not be read.
    #[error("{0}")]
    Source(dns_sd::watcher::SourceError),
}

/// What `work` gives, or `None` if `deadline` comes first; `work` is looked at first, and dropped at the
/// deadline.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let late = async {
        Timer::at(deadline).await;
        None
    };
    work.or(late).await
}

/// Limits the log lines of one kind. Saves the little processor time that there is from a flood with one
/// cause: a line for each costs more than what it reports.
#[derive(Default)]
pub struct LogRateLimiter {
    /// When the current second began, if a line was ever written.
    second_started: Cell<Option<Instant>>,
    written_in_second: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimiter {
    const MAX_LINES_PER_SECOND: u32 = 5;

    /// Whether a line may be written now: the number of lines suppressed since the last one, or `None` if
    /// this one is suppressed too.
    pub fn permit(&self) -> Option<u64> {
        let now = Instant::now();
        if self.second_started.get().is_none_or(|started| now >= started + Duration::from_secs(1)) {
            self.second_started.set(Some(now));
            self.written_in_second.set(0);
        }
        if self.written_in_second.get() == Self::MAX_LINES_PER_SECOND {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written_in_second.set(self.written_in_second.get() + 1);
        Some(self.suppressed.take())
    }
}
