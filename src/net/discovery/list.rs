//! The form of discovery's answers, and why a call may fail. No I/O.
#![warn(missing_docs)]
use std::borrow::Cow;

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

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection failed, or what came on it is not HTTP.
    #[error("{0}")]
    Http(HttpError),
    /// An answer with this status in place of 200.
    #[error("status {0}")]
    Status(u16),
    /// An answer whose body is not a list.
    #[error("unusable list: {0}")]
    MalformedList(serde_json::Error),
    /// No connection came up in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The call brought nothing, not even the end of its wait.
    #[error("no answer in time")]
    NoAnswer,
    /// Changes, where the complete list was asked for.
    #[error("changes where the whole list was asked for")]
    UnexpectedChanges,
}

impl<E: Into<HttpError>> From<E> for DiscoveryError {
    fn from(e: E) -> Self {
        DiscoveryError::Http(e.into())
    }
}
