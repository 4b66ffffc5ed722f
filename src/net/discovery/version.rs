//! What a call for the list says, and what its answer means against the version that is held. No I/O.
use std::net::SocketAddr;

use super::list::{DiscoveryError, EndpointList};
use crate::balancer::interface::EndpointUpdate;

/// A call for the whole list; with a version, for what changed since, held for so long at most.
pub fn poll_request(address: SocketAddr, seq: Option<u64>, hold_ms: u64) -> String {
    let changes = seq.map(|seq| format!("?index={seq}&wait={hold_ms}")).unwrap_or_default();
    format!("GET /catalog/members{changes} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}

/// What an answer means.
#[derive(Debug)]
pub struct VersionedListUpdate {
    /// The version held from now on; none: the whole list is asked for next.
    pub seq: Option<u64>,
    /// How its entries are handed on, if they are.
    pub update: Option<EndpointUpdate>,
    /// It is another version than ours was.
    pub is_new_version: bool,
    /// Changes of a version before ours: they build on a list that we do not have.
    pub went_back: bool,
}

/// Take over an answer, given the version that was held. `pushed`: from an agent, which may answer each call with all
/// that it has.
pub fn interpret(
    list: &EndpointList,
    ours: Option<u64>,
    pushed: bool,
) -> Result<VersionedListUpdate, DiscoveryError> {
    if !list.complete && list.seq < ours.ok_or(DiscoveryError::UnexpectedChanges)? {
        return Ok(VersionedListUpdate { seq: None, update: None, is_new_version: false, went_back: true });
    }
    let same = pushed && ours == Some(list.seq);
    let news = match list.complete {
        true => (!same).then_some(EndpointUpdate::Full),
        false => (!list.endpoints.is_empty()).then_some(EndpointUpdate::Delta),
    };
    Ok(VersionedListUpdate {
        seq: Some(list.seq),
        update: news,
        is_new_version: ours != Some(list.seq),
        went_back: false,
    })
}
