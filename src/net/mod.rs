//! Everything that touches a socket.
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
#[derive(Debug)]
pub enum StartError {
    Settings(SettingsError),
    Source(dns_sd::watcher::SourceError),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(e) => write!(f, "{e}"),
            StartError::Source(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// What `work` gives, or `None` if `deadline` comes first.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let late = async {
        Timer::at(deadline).await;
        None
    };
    work.or(late).await
}

/// Bounds how many log lines of one sort are written. Guards the little processor time that there is against a
/// flood of one cause: a line for each costs more than what it tells of.
#[derive(Default)]
pub struct LogRateLimiter {
    second: Cell<Option<Instant>>,
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimiter {
    const A_SECOND: u32 = 5;

    /// Whether a line may be written now, and how many were suppressed since the last one.
    pub fn permit(&self) -> Option<u64> {
        let now = Instant::now();
        if self.second.get().is_none_or(|s| now >= s + Duration::from_secs(1)) {
            self.second.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() == Self::A_SECOND {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.suppressed.take())
    }
}
