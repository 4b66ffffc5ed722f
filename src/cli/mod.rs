//! The command line. Without a command the program starts as the platform has it, from its environment alone.
//!
//! Doc comments of the parsed types are the help text that users read.
#![warn(missing_docs)]

mod describe;
pub mod log;

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

pub use self::describe::{describe_config, describe_routes, DescribedCall};

/// A coordinator of queries over replicated shards: it asks a server for each shard that a query needs and gives
/// back one answer.
///
/// Without a command it serves the platform's front, as RELAY_CONFIG, RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY
/// say. SIGTERM ends it once all that was taken is answered; SIGHUP makes it reread its configuration.
#[expect(missing_docs, reason = "doc comments here are help texts, and these have none")]
#[derive(Debug, Parser)]
#[command(version, about, long_about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How log lines are written to standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// The least level that is logged; MARLGAP_LOG=debug does the same.
    #[arg(long, global = true, value_enum)]
    pub log_level: Option<LogLevel>,
}

#[expect(missing_docs, reason = "doc comments here are help texts, and these have none")]
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve the fronts that a file describes, and the platform's too where RELAY_CONFIG is set.
    Serve {
        /// The operator's file, as deploy/marlgap.json5.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a file whole, with all that it names, and open nothing.
    ///
    /// Prints what would be served and exits with 0; or one line with the path, line and column of what is wrong,
    /// and exits with 1.
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Say where a gRPC call would go: its route, class, shards and their holders. Nothing is sent.
    Routes {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The method, as /package.Service/Method; without it all routes are listed.
        #[arg(long, value_name = "PATH")]
        call: Option<String>,
        /// Metadata of the call; may be given more than once.
        #[arg(long, value_name = "KEY=VALUE", value_parser = parse_metadata)]
        metadata: Vec<(String, String)>,
        /// A file with the call's first message, as protobuf, for routes that look into it.
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

/// `KEY=VALUE`; keys are in lower case, as HTTP/2 has them (RFC 9113, 8.2).
fn parse_metadata(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("not KEY=VALUE")?;
    Ok((key.to_ascii_lowercase(), value.to_owned()))
}
