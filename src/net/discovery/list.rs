//! The form of discovery's lists, and what may be wrong with a call for one.
use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;

use crate::net::http::HttpError;

/// An answer to a poll of the endpoint list: all endpoints, or those that changed.
#[derive(Debug, Deserialize)]
pub struct EndpointList<'a> {
    /// Version of the list that this answer brings its reader to.
    pub seq: u64,
    /// All endpoints are in it; otherwise only those that changed since the version that was asked for.
    #[serde(rename = "whole", default)]
    pub complete: bool,
    /// The endpoints, in no particular order.
    #[serde(rename = "hosts", borrow, default)]
    pub endpoints: Vec<ListedEndpoint<'a>>,
}

/// One data node in an [`EndpointList`].
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint<'a> {
    /// Identity of the data node; it outlasts restarts and moves.
    #[serde(rename = "host", borrow)]
    pub name: Cow<'a, str>,
    /// Socket address, as text. It may be unusable where nothing new is sent to the data node.
    #[serde(rename = "dial", borrow)]
    pub address: Cow<'a, str>,
    /// Name of its zone; empty if it has none.
    #[serde(rename = "site", borrow, default)]
    pub zone: Cow<'a, str>,
    /// Its cell: the position on the ring of shards.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// `up` or `draining`; any other word means removed.
    #[serde(borrow)]
    pub health: Cow<'a, str>,
    /// Its capacity in relation to the others.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When its process started, in Unix milliseconds on its machine's wall clock; 0 means long ago.
    #[serde(rename = "born_ms", default)]
    pub start_unix_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Debug)]
pub enum DiscoveryError {
    Http(HttpError),
    Status(u16),
    MalformedList(serde_json::Error),
    /// No connection came up in time.
    ConnectTimeout,
    /// The watch brought nothing, not even the end of its wait.
    NoAnswer,
    /// Changes, where the whole list was asked for.
    UnexpectedChanges,
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryError::Http(e) => write!(f, "{e}"),
            DiscoveryError::Status(s) => write!(f, "status {s}"),
            DiscoveryError::MalformedList(e) => write!(f, "unusable list: {e}"),
            DiscoveryError::ConnectTimeout => f.write_str("no connection in time"),
            DiscoveryError::NoAnswer => f.write_str("no answer in time"),
            DiscoveryError::UnexpectedChanges => f.write_str("changes where the whole list was asked for"),
        }
    }
}

impl std::error::Error for DiscoveryError {}

impl<E: Into<HttpError>> From<E> for DiscoveryError {
    fn from(e: E) -> Self {
        DiscoveryError::Http(e.into())
    }
}
