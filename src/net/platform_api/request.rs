//! Parses queries from requests of the platform's API. The names on the wire are those of the platform's
//! protocol.
//!
//! Anything that cannot be served as it stands is rejected here. A data node closes a connection on a frame
//! that it cannot read, which affects all other attempts on that connection, and the decision module relies
//! on valid sums of fractions.
#![warn(missing_docs)]

use std::borrow::Cow;
use std::time::{Duration, Instant};

use serde::Deserialize;
use thiserror::Error;

use super::used_ids::{IdConflict, UsedIdGuard, UsedIds};
use crate::balancer::interface::{ClassId, ShardId, TenantId};
use crate::config::settings::Deployment;
use crate::coordinator::Query;
use crate::net::buffer::Buffer;
use crate::net::data_nodes::RequestContext;
use crate::net::http::Message;

/// Longest timeout that a client may set for a query; larger values are reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Longest id of a query, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Tolerated rounding error of the fraction of one part.
const FRACTION_TOLERANCE: f64 = 5e-4;

/// Reasons why a request is not a valid query.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// A required header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header appears several times or has an invalid value.
    #[error("{0} cannot be used")]
    InvalidHeader(&'static str),
    /// The request names a class that the deployment does not have.
    #[error("Req-Kind names no class")]
    UnknownClass,
    /// The body is not valid JSON or does not have the required form.
    #[error("body: {0}")]
    InvalidBody(#[source] serde_json::Error),
    /// The parts do not form a valid query.
    #[error("tablets: {0}")]
    InvalidParts(&'static str),
    /// The id belongs to a query that is still open.
    #[error("Req-Id is that of a query that is still open")]
    IdInUse,
    /// The id belongs to an earlier query that may have run.
    #[error("Req-Id is that of an earlier query")]
    IdReused,
}

impl RequestError {
    /// Returns the status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            RequestError::IdInUse | RequestError::IdReused => 409,
            _ => 400,
        }
    }
}

impl From<IdConflict> for RequestError {
    fn from(conflict: IdConflict) -> RequestError {
        match conflict {
            IdConflict::Open => RequestError::IdInUse,
            IdConflict::Finished => RequestError::IdReused,
        }
    }
}

/// Body of a query request.
#[derive(Deserialize)]
struct Body<'a> {
    #[serde(rename = "tablets")]
    parts: Vec<Tablet>,
    #[serde(borrow)]
    statement: Cow<'a, str>,
}

/// One part of a query and its share of the answer. The type is named as on the wire, since serde errors,
/// which show the name, are sent to clients.
#[derive(Deserialize)]
struct Tablet {
    #[serde(rename = "tablet")]
    shard: u32,
    fraction: f64,
}

/// Access to the headers of a request.
struct Headers<'a> {
    request: &'a Message,
    buffer: &'a Buffer,
}

impl<'a> Headers<'a> {
    fn optional(&self, name: &'static str) -> Result<Option<&'a str>, RequestError> {
        let value = self.request.unique_header(self.buffer, name);
        value.map_err(|_| RequestError::InvalidHeader(name))
    }

    fn required(&self, name: &'static str) -> Result<&'a str, RequestError> {
        self.optional(name)?.ok_or(RequestError::MissingHeader(name))
    }
}

/// Parses the query from a request that arrived at `arrived_at` and reserves its id.
///
/// # Errors
///
/// Returns a [`RequestError`] if the request is invalid; no id is reserved then.
pub(super) fn read_query(
    deployment: &Deployment,
    used_ids: &UsedIds,
    request: &Message,
    buffer: &Buffer,
    arrived_at: Instant,
) -> Result<(Query<RequestContext>, UsedIdGuard), RequestError> {
    let headers = Headers { request, buffer };
    let id = read_id(&headers)?;
    let reserved = used_ids.reserve(id, Instant::now())?;
    let class = read_class(&headers, deployment)?;
    let tenant = read_tenant(&headers, deployment)?;
    let deadline = arrived_at + read_timeout(&headers)?;
    let is_retry = request.header(buffer, "Req-Retry") == Some("1");
    let body = request.body(buffer);
    let body: Body = serde_json::from_slice(body).map_err(RequestError::InvalidBody)?;
    let parts = read_parts(&body.parts, deployment)?;
    // The statement is copied, since attempts are written long after the buffer has been reused.
    let context = RequestContext::new(id.to_owned(), body.statement.as_bytes().to_vec());
    let query = Query { class, tenant, deadline, is_retry, parts, context, protection: None };
    Ok((query, reserved))
}

fn read_id<'a>(headers: &Headers<'a>) -> Result<&'a str, RequestError> {
    let id = headers.required("Req-Id")?;
    // The id is embedded in the header lines of frames, where a dot, a space or a line end would be a
    // separator.
    let has_valid_characters = id.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'));
    if !(1..=MAX_ID_BYTES).contains(&id.len()) || !has_valid_characters {
        return Err(RequestError::InvalidHeader("Req-Id"));
    }
    Ok(id)
}

fn read_class(headers: &Headers<'_>, deployment: &Deployment) -> Result<ClassId, RequestError> {
    let name = headers.required("Req-Kind")?;
    let class = deployment.class_names.iter().position(|c| !c.is_empty() && c == name);
    Ok(ClassId(class.ok_or(RequestError::UnknownClass)? as u16))
}

fn read_tenant(headers: &Headers<'_>, deployment: &Deployment) -> Result<TenantId, RequestError> {
    // Without configured tenants the header has no meaning and may contain anything.
    let name = if deployment.tenant_names.is_empty() { None } else { headers.optional("Req-Owner")? };
    Ok(deployment.tenant_id(name))
}

fn read_timeout(headers: &Headers<'_>) -> Result<Duration, RequestError> {
    let text = headers.required("Req-Deadline-Ms")?;
    let all_digits = text.bytes().all(|b| b.is_ascii_digit());
    let ms = text.parse().ok().filter(|ms| all_digits && *ms > 0);
    let ms = ms.ok_or(RequestError::InvalidHeader("Req-Deadline-Ms"))?;
    Ok(Duration::from_millis(ms).min(MAX_TIMEOUT))
}

/// Returns the parts ordered by shard, with fractions scaled to a sum of 1.
fn read_parts(tablets: &[Tablet], deployment: &Deployment) -> Result<Vec<(ShardId, f64)>, RequestError> {
    let shard_count = deployment.shard_count.unwrap_or(u32::MAX);
    let fractions = 0.0..=1.0 + FRACTION_TOLERANCE;
    let invalid = |t: &Tablet| t.shard >= shard_count || !fractions.contains(&t.fraction);
    if tablets.is_empty() || tablets.iter().any(invalid) {
        return Err(RequestError::InvalidParts("none, one that does not exist, or a fraction out of range"));
    }
    let mut parts: Vec<_> = tablets.iter().map(|t| (ShardId(t.shard), t.fraction)).collect();
    parts.sort_by_key(|(shard, _)| *shard);
    if parts.windows(2).any(|pair| pair[0].0 == pair[1].0) {
        return Err(RequestError::InvalidParts("one is named twice"));
    }
    // Rounding must not make a complete answer fall short of the coverage that its class requires, so the
    // sum is scaled to 1. Sums that are far from 1 are rejected.
    let sum: f64 = parts.iter().map(|(_, fraction)| fraction).sum();
    if (sum - 1.0).abs() > FRACTION_TOLERANCE * parts.len() as f64 {
        return Err(RequestError::InvalidParts("the fractions do not add up to 1"));
    }
    for (_, fraction) in &mut parts {
        *fraction /= sum;
    }
    Ok(parts)
}
