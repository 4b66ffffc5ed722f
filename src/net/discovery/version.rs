//! What a call for the list says, and what its answer means against the version that is held. No I/O.
#![warn(missing_docs)]
use std::net::SocketAddr;

use super::list::{DiscoveryError, EndpointList};
use crate::balancer::interface::EndpointUpdate;

/// The request for the complete list or, with a version, for the changes since; discovery holds the latter
/// for `wait_ms` at most if there are none.
pub fn poll_request(address: SocketAddr, seq: Option<u64>, wait_ms: u64) -> String {
    let changes = seq.map(|seq| format!("?index={seq}&wait={wait_ms}")).unwrap_or_default();
    format!("GET /catalog/members{changes} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}

/// What an answer means.
#[derive(Debug)]
pub struct VersionedListUpdate {
    /// The version held from now on; `None`: the complete list is asked for next.
    pub seq: Option<u64>,
    /// How its endpoints are applied, if they are.
    pub update: Option<EndpointUpdate>,
    /// It is another version than the one that was held.
    pub is_new_version: bool,
    /// Changes to an older version than the one held: they build on a list that we do not have.
    pub went_back: bool,
}

/// What an answer means where version `held` was held. `is_push`: it is an agent's, which may answer each
/// call with all that it has.
///
/// # Errors
/// [`DiscoveryError::UnexpectedChanges`] for changes where no version was held.
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
