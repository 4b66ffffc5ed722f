//! The form of discovery's lists, and what may be wrong with a call for one.
use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;

use crate::net::http::HttpError;

#[derive(Debug, Deserialize)]
pub struct List<'a> {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(borrow, default)]
    pub hosts: Vec<Host<'a>>,
}

#[derive(Debug, Deserialize)]
pub struct Host<'a> {
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    #[serde(borrow)]
    pub dial: Cow<'a, str>,
    #[serde(borrow, default)]
    pub site: Cow<'a, str>,
    #[serde(default)]
    pub block: u16,
    #[serde(borrow)]
    pub health: Cow<'a, str>,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub born_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug)]
pub enum DiscoveryError {
    Http(HttpError),
    Status(u16),
    List(serde_json::Error),
    /// No connection came up in time.
    Unreachable,
    /// The watch brought nothing, not even the end of its wait.
    Silent,
    /// Changes, where the whole list was asked for.
    Part,
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryError::Http(e) => write!(f, "{e}"),
            DiscoveryError::Status(s) => write!(f, "status {s}"),
            DiscoveryError::List(e) => write!(f, "unusable list: {e}"),
            DiscoveryError::Unreachable => f.write_str("no connection in time"),
            DiscoveryError::Silent => f.write_str("no answer in time"),
            DiscoveryError::Part => f.write_str("changes where the whole list was asked for"),
        }
    }
}

impl std::error::Error for DiscoveryError {}

impl<E: Into<HttpError>> From<E> for DiscoveryError {
    fn from(e: E) -> Self {
        DiscoveryError::Http(e.into())
    }
}
