//! Requests for the list, and interpretation of answers relative to the current version. Performs no I/O.
#![warn(missing_docs)]
use std::net::SocketAddr;

use super::list::{DiscoveryError, EndpointList};
use crate::balancer::interface::EndpointUpdate;

/// Returns the request for the complete list or, if `seq` is given, for the changes since that version. If
/// there are no changes, discovery holds the latter for at most `wait_ms` milliseconds.
pub fn poll_request(address: SocketAddr, seq: Option<u64>, wait_ms: u64) -> String {
    let changes = seq.map(|seq| format!("?index={seq}&wait={wait_ms}")).unwrap_or_default();
    format!("GET /catalog/members{changes} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}

/// Effect of an answer on the list.
#[derive(Debug)]
pub struct VersionedListUpdate {
    /// Current version from now on; `None` if the complete list must be requested next.
    pub seq: Option<u64>,
    /// How the endpoints of the answer are applied, if at all.
    pub update: Option<EndpointUpdate>,
    /// Whether the version differs from the previous one.
    pub is_new_version: bool,
    /// Whether the answer contains changes for a version older than the current one. They are based on a
    /// list that this coordinator does not have.
    pub went_back: bool,
}

/// Interprets an answer relative to the version `held`. `is_push` states that the answer comes from an
/// agent, which may answer each call with its complete list.
///
/// # Errors
///
/// Returns [`DiscoveryError::UnexpectedChanges`] if the answer contains changes but no version is held.
pub fn interpret(
    list: &EndpointList,
    held: Option<u64>,
    is_push: bool,
) -> Result<VersionedListUpdate, DiscoveryError> {
    let is_new_version = held != Some(list.seq);
    let update = if list.complete {
        let is_repeated = is_push && !is_new_version;
        (!is_repeated).then_some(EndpointUpdate::Full)
    } else {
        if list.seq < held.ok_or(DiscoveryError::UnexpectedChanges)? {
            return Ok(VersionedListUpdate {
                seq: None,
                update: None,
                is_new_version: false,
                went_back: true,
            });
        }
        (!list.endpoints.is_empty()).then_some(EndpointUpdate::Delta)
    };
    Ok(VersionedListUpdate { seq: Some(list.seq), update, is_new_version, went_back: false })
}
