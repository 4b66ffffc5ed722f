//! The command line interface. Without a command, the program serves the platform's front end as configured
//! by environment variables alone.
//!
//! The doc comments of the parsed types are the help texts that users read.
#![warn(missing_docs)]

mod describe;
pub mod log;

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

pub use self::describe::{describe_config, describe_routes, DescribedCall};

/// A coordinator of queries over replicated shards: sends each part of a query to a server that holds its
/// shard and returns one combined answer.
///
/// Without a command it serves the platform's front end as configured by RELAY_CONFIG, RELAY_NAME,
/// RELAY_LISTEN and RELAY_DISCOVERY. On SIGTERM it finishes all accepted queries and exits; on SIGHUP it
/// rereads its configuration.
#[expect(missing_docs, reason = "doc comments here are help texts, and these have none")]
#[derive(Debug, Parser)]
#[command(version, about, long_about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Format of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Minimum level of the messages that are logged; without it, MARLGAP_LOG=debug selects debug.
    #[arg(long, global = true, value_enum)]
    pub log_level: Option<LogLevel>,
}

#[expect(missing_docs, reason = "doc comments here are help texts, and these have none")]
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve the front ends configured in a file, and the platform's front end if RELAY_CONFIG is set.
    Serve {
        /// Operator's configuration file; deploy/marlgap.json5 is an example.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a configuration file and all files that it refers to, without opening any listener.
    ///
    /// Prints what would be served and exits with status 0, or prints one line with the path, line and
    /// column of the first error and exits with status 1.
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Show where a gRPC call would go: its route, class, shards and their servers. Nothing is sent.
    Routes {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Method of the call, as /package.Service/Method; without it, all routes are listed.
        #[arg(long, value_name = "PATH")]
        call: Option<String>,
        /// Metadata of the call; may be repeated.
        #[arg(long, value_name = "KEY=VALUE", value_parser = parse_metadata)]
        metadata: Vec<(String, String)>,
        /// File with the first message of the call, encoded as protobuf, for routes that inspect it.
        #[arg(long, value_name = "FILE")]
        message: Option<PathBuf>,
    },
}

#[expect(missing_docs, reason = "doc comments here are help texts, and these have none")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[expect(missing_docs, reason = "doc comments here are help texts, and these have none")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    Error,
    Warning,
    Info,
    Debug,
}

/// Parses `KEY=VALUE`. Keys are converted to lower case, as HTTP/2 requires (RFC 9113, 8.2).
fn parse_metadata(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
    Ok((key.to_ascii_lowercase(), value.to_owned()))
}
