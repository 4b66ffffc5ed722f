//! What the platform tells a co-ordinator at its start.
use std::fmt;
use std::io;
use std::net::SocketAddr;

use marlgap::interface::SettingsError;
use marlgap::net::discovery::List;
use marlgap::settings::{self, Deployment, Unreadable};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Debug)]
pub enum ConfigError {
    Missing(&'static str),
    Read(String, io::Error),
    Json(serde_json::Error),
    Address(&'static str, String),
    Seed(String),
    Unreadable(Unreadable),
    Settings(SettingsError),
    Listen(SocketAddr, io::Error),
    Signals(io::Error),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Read(path, e) => write!(f, "cannot read {path}: {e}"),
            ConfigError::Json(e) => write!(f, "configuration: {e}"),
            ConfigError::Address(name, text) => write!(f, "{name}: '{text}' is not an address and port"),
            ConfigError::Seed(text) => write!(f, "seed: '{text}' is not a hexadecimal number"),
            ConfigError::Unreadable(e) => write!(f, "{e}"),
            ConfigError::Settings(e) => write!(f, "{e}"),
            ConfigError::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            ConfigError::Signals(e) => write!(f, "cannot handle signals: {e}"),
        }
    }
}

impl std::error::Error for ConfigError {}

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

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub seq: u64,
    known: Option<String>,
    pub told: Deployment,
}

impl Config {
    /// The list of data nodes as we last had it.
    pub fn known(&self) -> Result<Option<List<'_>>, ConfigError> {
        let list = self.known.as_deref().map(serde_json::from_str).transpose();
        list.map_err(ConfigError::Json)
    }
}

/// Read the configuration that the environment names.
pub fn read() -> Result<Config, ConfigError> {
    let var = |name: &'static str| std::env::var(name).ok();
    let path = var("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Read(path, e))?;
    let file: File = serde_json::from_str(&text).map_err(ConfigError::Json)?;
    let told = settings::parse(file.settings.get().as_bytes()).map_err(ConfigError::Unreadable)?;
    let listen = address("RELAY_LISTEN", var("RELAY_LISTEN").or(file.listen))?;
    let discovery = address("RELAY_DISCOVERY", var("RELAY_DISCOVERY").or(file.discovery))?;
    let seed = file.seed.unwrap_or_default();
    let seed = match seed.as_str() {
        "" => 0,
        text => u64::from_str_radix(text, 16).map_err(|_| ConfigError::Seed(seed))?,
    };
    let mut config = Config {
        name: var("RELAY_NAME").or(file.name).unwrap_or_default(),
        listen,
        discovery,
        seed,
        sockets: file.limits.and_then(|l| l.sockets).unwrap_or(1024),
        seq: 0,
        known: file.known.map(|k| k.get().to_owned()).filter(|k| k != "null"),
        told,
    };
    config.seq = config.known()?.map_or(0, |k| k.seq);
    Ok(config)
}

fn address(name: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::Missing(name))?;
    text.parse().map_err(|_| ConfigError::Address(name, text))
}
