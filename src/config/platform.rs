//! The configuration that a process reads at startup: the platform's environment variables and JSON file,
//! together with the operator's file.
//!
//! The variables `RELAY_CONFIG`, `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` and the format of the
//! JSON file are defined by the platform (DEPLOY-marlgap.md). Invariant: a configuration is accepted or
//! rejected as a whole, and no listener is opened here.
#![warn(missing_docs)]

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use async_io::Timer;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::config::operator::{OperatorConfig, OperatorConfigError};
use crate::config::settings::{self, Deployment, SettingsParseError};
use crate::net::discovery::EndpointList;
use crate::net::socket;

/// File descriptors reserved for listeners, discovery, the log, files and the like.
pub const RESERVED_DESCRIPTORS: usize = 32;
/// The minimum number of file descriptors for connections to clients and servers together.
pub const MIN_SHARED_DESCRIPTORS: usize = 16;
/// The minimum value of `limits.sockets`.
const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS;
/// The number of file descriptors if the file has no `limits.sockets`.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// The minimum value of `limits.memory_mb`.
const MIN_MEMORY_MB: usize = 16;
/// The memory in megabytes if the file has no `limits.memory_mb`: the most that the platform grants.
const DEFAULT_MEMORY_MB: usize = 192;
/// The number of bytes in a megabyte of `limits.memory_mb`.
const BYTES_PER_MB: usize = 1_000_000;

/// The interval between two attempts to read a file.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The time for which a reload retries to read the file.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reasons for rejecting a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required value is set neither by an environment variable nor in the file.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the file, as given by `RELAY_CONFIG`.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON in the format defined by the platform.
    #[error("configuration: {0}")]
    Json(#[source] serde_json::Error),
    /// An address does not have the form `ADDRESS:PORT`.
    #[error("{name}: '{text}' is not an address and port")]
    Address {
        /// The environment variable or key.
        name: &'static str,
        /// Its value.
        text: String,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed: '{0}' is not a 64-bit hexadecimal number")]
    Seed(String),
    /// `limits.sockets` is too low to serve any client.
    #[error("limits.sockets: {0} is less than the minimum of {least}", least = MIN_DESCRIPTORS)]
    TooFewDescriptors(usize),
    /// `limits.memory_mb` is too low to serve any client.
    #[error("limits.memory_mb: {0} is less than the minimum of {least}", least = MIN_MEMORY_MB)]
    TooLittleMemory(f64),
    /// The deployment settings are invalid.
    #[error(transparent)]
    Settings(SettingsParseError),
    /// The operator's file cannot be read or is invalid.
    #[error(transparent)]
    Operator(OperatorConfigError),
}

impl ConfigError {
    /// Returns whether reading the file again may succeed, because it is being written or the local machine
    /// temporarily lacks a resource.
    fn is_transient(&self) -> bool {
        match self {
            ConfigError::Read { source, .. } => socket::is_local_failure(source),
            ConfigError::Json(_) => true,
            _ => false,
        }
    }
}

#[derive(Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The complete configuration of this process.
pub struct Config {
    /// The platform's front; `None` unless `RELAY_CONFIG` is set.
    pub platform: Option<PlatformConfig>,
    /// The fronts of the operator's file; `None` if no file is given.
    pub operator: Option<OperatorConfig>,
    /// The seed for the random choices of each front.
    pub seed: u64,
    /// The maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The maximum memory of the process, in bytes.
    pub memory_bytes: usize,
}

/// The configuration of the platform's front.
pub struct PlatformConfig {
    /// The name of this process in log lines; may be empty.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service that provides the list of data nodes.
    pub discovery: SocketAddr,
    /// The last known list of data nodes as JSON. It is parsed by [`PlatformConfig::cached_endpoints`],
    /// whose result borrows from it.
    cached_endpoints: Option<String>,
    /// The deployment settings.
    pub deployment: Deployment,
}

impl PlatformConfig {
    /// Returns the last list of data nodes known to the platform, if the file contains one.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Json`] if `known` in the file is not a valid list.
    pub fn cached_endpoints(&self) -> Result<Option<EndpointList<'_>>, ConfigError> {
        let list = self.cached_endpoints.as_deref().map(serde_json::from_str).transpose();
        list.map_err(ConfigError::Json)
    }
}

/// Reads the configuration given by the environment and, if `operator_file` is set, the operator's file.
///
/// Blocks for up to [`socket::STARTUP_RETRY_TIME`] if the platform's file cannot be opened because of a
/// temporary local failure.
///
/// # Errors
///
/// Returns an error if either file cannot be read or is invalid, or if neither is given.
pub fn read(operator_file: Option<&Path>) -> Result<Config, ConfigError> {
    let operator = operator_file.map(OperatorConfig::read).transpose().map_err(ConfigError::Operator)?;
    let memory_bytes = DEFAULT_MEMORY_MB * BYTES_PER_MB;
    let mut config =
        Config { platform: None, operator, seed: 0, max_descriptors: DEFAULT_DESCRIPTORS, memory_bytes };
    match variable("RELAY_CONFIG") {
        Some(path) => read_platform(&path, &mut config)?,
        None if config.operator.is_some() => {}
        None => return Err(ConfigError::Missing("RELAY_CONFIG")),
    }
    Ok(config)
}

/// Adds the platform's front, seed and limits to `config`.
fn read_platform(path: &str, config: &mut Config) -> Result<(), ConfigError> {
    let text = read_file_at_start(path)?;
    let file: File = serde_json::from_str(&text).map_err(ConfigError::Json)?;
    let deployment = settings::parse(file.settings.get().as_bytes()).map_err(ConfigError::Settings)?;
    let seed = file.seed.unwrap_or_default();
    if !seed.is_empty() {
        config.seed = u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::Seed(seed))?;
    }
    read_limits(file.limits.as_ref(), config)?;
    config.platform = Some(PlatformConfig {
        name: variable("RELAY_NAME").or(file.name).unwrap_or_default(),
        listen: parse_address("RELAY_LISTEN", variable("RELAY_LISTEN").or(file.listen))?,
        discovery: parse_address("RELAY_DISCOVERY", variable("RELAY_DISCOVERY").or(file.discovery))?,
        cached_endpoints: file.known.map(|list| list.get().to_owned()).filter(|list| list != "null"),
        deployment,
    });
    Ok(())
}

/// Takes over the limits of the process.
fn read_limits(limits: Option<&Limits>, config: &mut Config) -> Result<(), ConfigError> {
    let Some(limits) = limits else { return Ok(()) };
    if let Some(descriptors) = limits.sockets {
        if descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors(descriptors));
        }
        config.max_descriptors = descriptors;
    }
    if let Some(memory_mb) = limits.memory_mb {
        if memory_mb < MIN_MEMORY_MB as f64 {
            return Err(ConfigError::TooLittleMemory(memory_mb));
        }
        config.memory_bytes = (memory_mb * BYTES_PER_MB as f64) as usize;
    }
    Ok(())
}

/// Returns an environment variable. A value that is not valid Unicode counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the text of a configuration file.
fn read_file(path: &str) -> Result<String, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
    // Some editors write a byte order mark, which JSON does not allow.
    Ok(text.trim_start_matches('\u{feff}').to_owned())
}

/// Reads the text of a configuration file at startup, when no other task is waiting, and retries after
/// temporary local failures.
fn read_file_at_start(path: &str) -> Result<String, ConfigError> {
    let latest = Instant::now() + socket::STARTUP_RETRY_TIME;
    loop {
        match read_file(path) {
            Err(ConfigError::Read { source, .. })
                if socket::is_local_failure(&source) && Instant::now() < latest =>
            {
                std::thread::sleep(RETRY_INTERVAL);
            }
            read => return read,
        }
    }
}

/// Reads the current discovery address from the platform's file. `RELAY_DISCOVERY` applies only at startup.
///
/// Retries for up to one second while the file is being written or cannot be opened because of a local
/// failure. This function is cancel safe, since it changes nothing.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is invalid or contains no valid discovery address.
pub async fn read_discovery_address() -> Result<SocketAddr, ConfigError> {
    let path = variable("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
    let latest = Instant::now() + RELOAD_TIMEOUT;
    loop {
        match discovery_address_in(&path) {
            Err(e) if e.is_transient() && Instant::now() < latest => {
                Timer::at(Instant::now() + RETRY_INTERVAL).await;
            }
            read => return read,
        }
    }
}

fn discovery_address_in(path: &str) -> Result<SocketAddr, ConfigError> {
    let text = read_file(path)?;
    let file: File = serde_json::from_str(&text).map_err(ConfigError::Json)?;
    parse_address("discovery", file.discovery)
}

fn parse_address(name: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::Missing(name))?;
    text.parse().map_err(|_| ConfigError::Address { name, text })
}
