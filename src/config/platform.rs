//! What the platform tells a coordinator at its start.
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::balancer::interface::SettingsError;
use crate::config::operator::{OperatorConfig, OperatorConfigError};
use crate::config::settings::{self, Deployment, SettingsParseError};
use crate::net::discovery::List;
use crate::net::{socket, StartError};
use async_io::Timer;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Descriptors kept for the listeners, discovery, the log, files and the like.
pub const RESERVED_DESCRIPTORS: usize = 32;
/// The fewest for connections to clients and to what is behind.
pub const MIN_SHARED_DESCRIPTORS: usize = 16;
/// Those that are kept for ourselves, and as many for clients and data nodes as work at all.
const LEAST_SOCKETS: usize = RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS;

/// Between two tries to read a file, and for how long a new configuration is tried.
const RETRY: Duration = Duration::from_millis(20);
const REREAD: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub enum ConfigError {
    Missing(&'static str),
    Read(String, io::Error),
    Json(serde_json::Error),
    Address(&'static str, String),
    Seed(String),
    Sockets(usize),
    Unreadable(SettingsParseError),
    Settings(SettingsError),
    Listen(SocketAddr, io::Error),
    Signals(io::Error),
    Start(StartError),
    Operator(OperatorConfigError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Read(path, e) => write!(f, "cannot read {path}: {e}"),
            ConfigError::Json(e) => write!(f, "configuration: {e}"),
            ConfigError::Address(name, text) => write!(f, "{name}: '{text}' is not an address and port"),
            ConfigError::Seed(text) => write!(f, "seed: '{text}' is not a hexadecimal number"),
            ConfigError::Sockets(n) => write!(f, "limits.sockets: {n} is under {LEAST_SOCKETS}"),
            ConfigError::Unreadable(e) => write!(f, "{e}"),
            ConfigError::Settings(e) => write!(f, "{e}"),
            ConfigError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            ConfigError::Signals(e) => write!(f, "cannot handle signals: {e}"),
            ConfigError::Start(e) => write!(f, "{e}"),
            ConfigError::Operator(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    /// Whether the same file may be good a moment later.
    fn may_pass(&self) -> bool {
        match self {
            ConfigError::Read(_, e) => socket::is_local(e),
            ConfigError::Json(_) => true,
            _ => false,
        }
    }
}

#[derive(Deserialize)]
struct Limits {
    sockets: Option<usize>,
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

/// What this coordinator serves, and with what.
pub struct Config {
    pub platform: Option<PlatformConfig>,
    /// The fronts of the operator's own file: off unless it is named.
    pub operator: Option<OperatorConfig>,
    pub seed: u64,
    pub sockets: usize,
}

pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    known: Option<String>,
    pub deployment: Deployment,
}

impl PlatformConfig {
    /// The list of data nodes as we last had it.
    pub fn cached_endpoints(&self) -> Result<Option<List<'_>>, ConfigError> {
        let list = self.known.as_deref().map(serde_json::from_str).transpose();
        list.map_err(ConfigError::Json)
    }
}

/// Read the configuration that the environment names, and the operator's file if there is one.
pub fn read(operator: Option<&Path>) -> Result<Config, ConfigError> {
    let mut config = Config { platform: None, operator: None, seed: 0, sockets: 1024 };
    if let Some(path) = operator {
        // With all that it names: bad records at the start end it there; later on they only change nothing.
        crate::cli::check(path).map_err(ConfigError::Operator)?;
        config.operator = Some(OperatorConfig::read(path).map_err(ConfigError::Operator)?);
    }
    let var = |name: &'static str| std::env::var(name).ok();
    match var("RELAY_CONFIG") {
        None if config.operator.is_some() => return Ok(config),
        None => return Err(ConfigError::Missing("RELAY_CONFIG")),
        Some(path) => {
            let text = at_start(&path)?;
            let file: File = serde_json::from_str(&text).map_err(ConfigError::Json)?;
            let told = settings::parse(file.settings.get().as_bytes()).map_err(ConfigError::Unreadable)?;
            let seed = file.seed.unwrap_or_default();
            if !seed.is_empty() {
                config.seed = u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::Seed(seed))?;
            }
            config.sockets = file.limits.and_then(|l| l.sockets).unwrap_or(config.sockets);
            if config.sockets < LEAST_SOCKETS {
                return Err(ConfigError::Sockets(config.sockets));
            }
            config.platform = Some(PlatformConfig {
                name: var("RELAY_NAME").or(file.name).unwrap_or_default(),
                listen: address("RELAY_LISTEN", var("RELAY_LISTEN").or(file.listen))?,
                discovery: address("RELAY_DISCOVERY", var("RELAY_DISCOVERY").or(file.discovery))?,
                known: file.known.map(|k| k.get().to_owned()).filter(|k| k != "null"),
                deployment: told,
            });
        }
    }
    Ok(config)
}

/// The text of a configuration.
fn text(path: &str) -> Result<String, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.to_owned(), e))?;
    // An editor's mark of the encoding is no part of the text.
    Ok(text.trim_start_matches('\u{feff}').to_owned())
}

/// The same at the start, when nothing else waits: what our own machine refuses for a moment is tried again.
fn at_start(path: &str) -> Result<String, ConfigError> {
    let latest = Instant::now() + socket::START;
    loop {
        match text(path) {
            Err(ConfigError::Read(_, e)) if socket::is_local(&e) && Instant::now() < latest => {
                std::thread::sleep(RETRY)
            }
            read => return read,
        }
    }
}

/// Where discovery is by the file as it is now. What the environment said held for the start alone. A file that is
/// being written, or that our machine can't open for a moment, is read again.
pub async fn read_discovery_address() -> Result<SocketAddr, ConfigError> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::Missing("RELAY_CONFIG"))?;
    let latest = Instant::now() + REREAD;
    loop {
        match discovery_of(&path) {
            Err(e) if e.may_pass() && Instant::now() < latest => Timer::at(Instant::now() + RETRY).await,
            read => return read,
        };
    }
}

fn discovery_of(path: &str) -> Result<SocketAddr, ConfigError> {
    let text = text(path)?;
    let file: File = serde_json::from_str(&text).map_err(ConfigError::Json)?;
    address("discovery", file.discovery)
}

fn address(name: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::Missing(name))?;
    text.parse().map_err(|_| ConfigError::Address(name, text))
}
