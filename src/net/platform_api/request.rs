//! Reads a query from a request of the platform's API. The names on the wire are those of the platform's
//! protocol.
//!
//! It never lets through what can't be served as it stands: data nodes close a connection on a frame that
//! they can't read, whoever else waits on it, and the decision module takes sums of fractions for sound.
#![warn(missing_docs)]

use std::borrow::Cow;
use std::time::{Duration, Instant};

use serde::Deserialize;
use thiserror::Error;

use super::open_ids::{OpenIdGuard, OpenIds};
use crate::balancer::interface::{ClassId, ShardId, TenantId};
use crate::config::settings::Deployment;
use crate::coordinator::Query;
use crate::net::buffer::Buffer;
use crate::net::data_nodes::RequestContext;
use crate::net::http::Message;

/// The longest time that a client may give a query; longer ones are cut to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// The longest id of a query.
const MAX_ID_BYTES: usize = 64;
/// What the fraction of one part may be off by, as it was rounded on its way.
const ROUNDING: f64 = 5e-4;

/// What is wrong with a request.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    /// A header that has to be there is not.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header stands several times, or has a value that can't be used.
    #[error("{0} cannot be used")]
    InvalidHeader(&'static str),
    /// No class of the deployment has this name.
    #[error("Req-Kind names no class")]
    UnknownClass,
    /// The body is not the JSON that it has to be.
    #[error("body: {0}")]
    InvalidBody(#[source] serde_json::Error),
    /// The parts are no query.
    #[error("tablets: {0}")]
    InvalidParts(&'static str),
    /// The id of a query that is still open.
    #[error("Req-Id is that of a query that is still open")]
    IdInUse,
}

impl RequestError {
    /// The status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            RequestError::IdInUse => 409,
            _ => 400,
        }
    }
}

/// The body of a query.
#[derive(Deserialize)]
struct Body<'a> {
    #[serde(rename = "tablets")]
    parts: Vec<Tablet>,
    #[serde(borrow)]
    statement: Cow<'a, str>,
}

/// One part of a query, and its share of the answer. The type has the wire's name, as serde's errors show it
/// to clients.
#[derive(Deserialize)]
struct Tablet {
    #[serde(rename = "tablet")]
    shard: u32,
    fraction: f64,
}

/// The headers of a request.
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

/// The query of a request that arrived at `arrived_at`, and its id's place among the open ones.
///
/// # Errors
///
/// What is wrong with the request; no id is in use for it then.
pub(super) fn read_query(
    deployment: &Deployment,
    open_ids: &OpenIds,
    request: &Message,
    buffer: &Buffer,
    arrived_at: Instant,
) -> Result<(Query<RequestContext>, OpenIdGuard), RequestError> {
    let headers = Headers { request, buffer };
    let id = read_id(&headers)?;
    if open_ids.contains(id) {
        return Err(RequestError::IdInUse);
    }
    let class = read_class(&headers, deployment)?;
    let tenant = read_tenant(&headers, deployment)?;
    let deadline = arrived_at + read_timeout(&headers)?;
    let is_retry = request.header(buffer, "Req-Retry") == Some("1");
    let body = request.body(buffer);
    let body: Body = serde_json::from_slice(&body).map_err(RequestError::InvalidBody)?;
    let parts = read_parts(&body.parts, deployment)?;
    // Copied: attempts are written long after the buffer has moved on.
    let context = RequestContext::new(id.to_owned(), body.statement.as_bytes().to_vec());
    let query = Query { class, tenant, deadline, is_retry, parts, context, protection: None };
    Ok((query, open_ids.reserve(id)))
}

fn read_id<'a>(headers: &Headers<'a>) -> Result<&'a str, RequestError> {
    let id = headers.required("Req-Id")?;
    // It goes into the lines of frames, where a dot, a space or a line end would stand for something else.
    let sound = id.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'));
    if !(1..=MAX_ID_BYTES).contains(&id.len()) || !sound {
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
    // Where there are no tenants, the header is nobody's, and may be anything.
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

/// The parts in the order of their shards, with fractions that add up to 1.
fn read_parts(tablets: &[Tablet], deployment: &Deployment) -> Result<Vec<(ShardId, f64)>, RequestError> {
    let shard_count = deployment.shard_count.unwrap_or(u32::MAX);
    let fractions = 0.0..=1.0 + ROUNDING;
    let invalid = |t: &Tablet| t.shard >= shard_count || !fractions.contains(&t.fraction);
    if tablets.is_empty() || tablets.iter().any(invalid) {
        return Err(RequestError::InvalidParts("none, one that does not exist, or a fraction out of range"));
    }
    let mut parts: Vec<_> = tablets.iter().map(|t| (ShardId(t.shard), t.fraction)).collect();
    parts.sort_by_key(|(shard, _)| *shard);
    if parts.windows(2).any(|pair| pair[0].0 == pair[1].0) {
        return Err(RequestError::InvalidParts("one is named twice"));
    }
    // Fractions that were rounded on their way must not make a complete answer look short of the coverage
    // that its class needs; ones that are far from 1 are not scaled to it.
    let sum: f64 = parts.iter().map(|(_, fraction)| fraction).sum();
    if (sum - 1.0).abs() > ROUNDING * parts.len() as f64 {
        return Err(RequestError::InvalidParts("the fractions do not add up to 1"));
    }
    for (_, fraction) in &mut parts {
        *fraction /= sum;
    }
    Ok(parts)
}
