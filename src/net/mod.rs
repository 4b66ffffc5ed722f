//! Network I/O: the fronts that serve clients, the backends that attempts are sent to, and the
//! infrastructure that both share.
//!
//! This module makes no decisions about queries. Fronts submit queries to the coordinator and write their
//! outcomes; backends carry out the attempts that they are given.
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
pub mod io_budget;
pub mod memory_budget;
pub mod opensearch;
pub mod platform_api;
pub mod run_loop;
pub mod socket;

use std::cell::Cell;
use std::fmt::{self, Display};
use std::future::Future;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;

use crate::balancer::interface::SettingsError;

/// Errors that prevent a front from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings of the front contradict each other.
    #[error("{0}")]
    Settings(SettingsError),
    /// The servers listed in the zone file of the front could not be read.
    #[error("{0}")]
    Source(dns_sd::watcher::SourceError),
}

/// Runs `work` until `deadline`. Returns its output, or `None` if the deadline passes first.
///
/// `work` is polled before the timer, so an output that is ready at the deadline is returned. At the
/// deadline, `work` is dropped.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let late = async {
        Timer::at(deadline).await;
        None
    };
    work.or(late).await
}

/// A text in log lines and error responses that may contain what a peer sent: only its start is shown, so that a
/// line that waits for a slow reader of the log holds little memory.
pub struct Excerpt<T>(pub T);

impl<T> Excerpt<T> {
    const MAX_CHARACTERS: usize = 200;
}

impl<T: Display> Display for Excerpt<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        match text.char_indices().nth(Self::MAX_CHARACTERS) {
            Some((end, _)) => write!(f, "{}...", &text[..end]),
            None => f.write_str(&text),
        }
    }
}

/// Limits the rate of one kind of log line.
///
/// During a flood with a single cause, writing a line for each event costs more processor time than the
/// lines are worth.
#[derive(Default)]
pub struct LogRateLimiter {
    /// Start of the current one-second interval; `None` until the first line is written.
    second_started: Cell<Option<Instant>>,
    written_in_second: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimiter {
    const MAX_LINES_PER_SECOND: u32 = 5;

    /// Returns the number of lines suppressed since the last permitted one if a line may be written now, or
    /// `None` if this line is to be suppressed as well.
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
