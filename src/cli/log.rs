//! The log: lines on standard error, written by a thread of their own, as text or as JSON.
//!
//! Logging never blocks the caller: lines that a slow reader leaves waiting are bounded, and the rest is dropped.
use slog::{Drain, Logger};

use super::{LogFormat, LogLevel};

/// Log lines that may wait for a slow reader; more are dropped and counted.
const MAX_WAITING_LINES: usize = 2048;

/// A log in this format, of `level` and above; without one `MARLGAP_LOG=debug` decides, else the level is info.
///
/// The guard that would wait for the last lines is dropped: the exit must not wait for whoever reads the log.
pub fn open(format: LogFormat, level: Option<LogLevel>) -> Logger {
    let level = slog_level(level);
    match format {
        LogFormat::Text => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            async_log(slog_term::FullFormat::new(plain).use_utc_timestamp().build().fuse(), level)
        }
        LogFormat::Json => async_log(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

fn async_log<D>(lines: D, level: slog::Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let lines = slog_async::Async::new(lines)
        .chan_size(MAX_WAITING_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(lines.filter_level(level).fuse(), slog::o!())
}

fn slog_level(level: Option<LogLevel>) -> slog::Level {
    match level {
        Some(LogLevel::Error) => slog::Level::Error,
        Some(LogLevel::Warning) => slog::Level::Warning,
        Some(LogLevel::Info) => slog::Level::Info,
        Some(LogLevel::Debug) => slog::Level::Debug,
        None if std::env::var("MARLGAP_LOG").as_deref() == Ok("debug") => slog::Level::Debug,
        None => slog::Level::Info,
    }
}
