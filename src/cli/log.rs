//! Logging to standard error, as text or JSON, from a dedicated thread.
//!
//! Logging never blocks the caller: the number of lines that wait for a slow reader is bounded, and further
//! lines are dropped.
use slog::{Drain, Logger};

use super::{LogFormat, LogLevel};

/// The maximum number of log lines that wait for a slow reader. Further lines are dropped and counted.
const MAX_WAITING_LINES: usize = 2048;

/// Creates a logger that writes messages of `level` and above in the given format. Without `level`,
/// `MARLGAP_LOG=debug` selects the debug level; otherwise the level is info.
///
/// The guard that would wait for the last lines to be written is dropped, because the exit of the process
/// must not depend on the reader of the log.
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
