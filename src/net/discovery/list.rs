//! Data types of discovery's answers and the errors of a call. Performs no I/O.
#![warn(missing_docs)]
use std::borrow::Cow;
use std::io::{self, ErrorKind};

use serde::Deserialize;

use crate::net::http::HttpError;

/// An answer to a poll of the endpoint list: either all endpoints or those that changed.
#[derive(Debug, Deserialize)]
pub struct EndpointList<'a> {
    /// Version of the list after this answer is applied.
    pub seq: u64,
    /// Whether the list contains all endpoints. Otherwise it contains those that changed since the requested
    /// version.
    #[serde(rename = "whole", default)]
    pub complete: bool,
    /// The endpoints, in no particular order.
    #[serde(rename = "hosts", borrow, default)]
    pub endpoints: Vec<ListedEndpoint<'a>>,
}

/// One data node in an [`EndpointList`].
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint<'a> {
    /// Identity of the data node, which is stable across restarts and changes of address.
    #[serde(rename = "host", borrow)]
    pub name: Cow<'a, str>,
    /// Socket address as text. It need not be valid if no new attempts are sent to the data node.
    #[serde(rename = "dial", borrow)]
    pub address: Cow<'a, str>,
    /// Name of its zone; empty if it has none.
    #[serde(rename = "site", borrow, default)]
    pub zone: Cow<'a, str>,
    /// Cell of the data node: its position on the ring of shards.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// `up` or `draining`; any other value means removed.
    #[serde(borrow)]
    pub health: Cow<'a, str>,
    /// Capacity relative to the other data nodes.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// Start time of its process, in Unix milliseconds on the wall clock of its machine; 0 means long ago.
    #[serde(rename = "born_ms", default)]
    pub start_unix_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Errors of a call to discovery.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection failed during a call, or the received bytes are not one HTTP answer.
    #[error("{error}")]
    FailedCall {
        /// What failed.
        error: HttpError,
        /// Whether a part of the answer had arrived.
        answer_started: bool,
    },
    /// The connection could not be established.
    #[error("{0}")]
    ConnectFailed(io::Error),
    /// The status of the answer was not 200.
    #[error("discovery answered with status {0}, expected 200")]
    Status(u16),
    /// The body of the answer is not a list.
    #[error("discovery's answer is not a valid list: {0}")]
    MalformedList(serde_json::Error),
    /// The connection was not established in time.
    #[error("connect timed out")]
    ConnectTimeout,
    /// No answer arrived, not even an empty one at the end of the poll's wait.
    #[error("discovery did not answer in time")]
    NoAnswer,
    /// A later address of discovery has answered meanwhile.
    #[error("another address of discovery has answered")]
    Superseded,
    /// The answer contains changes although the complete list was requested.
    #[error("received changes although the complete list was requested")]
    UnexpectedChanges,
}

impl DiscoveryError {
    /// Returns whether a call failed although discovery had not refused it.
    pub(super) fn is_failed_call(&self) -> bool {
        matches!(
            self,
            DiscoveryError::FailedCall { .. }
                | DiscoveryError::MalformedList(_)
                | DiscoveryError::UnexpectedChanges
        )
    }

    /// Returns whether discovery may have written changes that did not arrive here.
    ///
    /// TCP delivers what was written before an orderly end or a reset, so these hide nothing if no byte of an
    /// answer has arrived. Any other error may discard bytes that were on their way.
    pub(super) fn may_hide_changes(&self) -> bool {
        match self {
            DiscoveryError::FailedCall { error, answer_started } => *answer_started || !ends_in_order(error),
            error => error.is_failed_call(),
        }
    }
}

/// Returns whether the peer ended the connection, so that everything that it had written was delivered.
pub(super) fn ends_in_order(error: &HttpError) -> bool {
    match error {
        HttpError::ConnectionClosed => true,
        HttpError::Io(e) => matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
        _ => false,
    }
}
