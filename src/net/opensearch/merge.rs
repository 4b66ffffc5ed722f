//! Validates the answers of single shards and merges them into one.
//!
//! This module is stateless and performs no I/O. Hits are emitted byte for byte as the servers wrote them;
//! only their order and the totals around them are computed here.
//!
//! The types that are read with serde keep their names, since its errors, which show the names, are sent to
//! clients.
#![warn(missing_docs)]

use std::cmp::Ordering;
use std::rc::Rc;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use thiserror::Error;

use super::query::Search;
use crate::balancer::interface::ShardId;

/// Answer of a server to a search on one shard.
#[derive(Deserialize)]
struct Reply<'a> {
    #[serde(default)]
    timed_out: bool,
    #[serde(rename = "_shards")]
    shards: Shards,
    #[serde(borrow)]
    hits: Hits<'a>,
}

#[derive(Deserialize)]
struct Shards {
    successful: u64,
    failed: u64,
    #[serde(default)]
    failures: Vec<Value>,
}

#[derive(Deserialize)]
struct Hits<'a> {
    total: Option<Total>,
    max_score: Option<f64>,
    #[serde(borrow, default)]
    hits: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Total {
    value: u64,
    /// `eq`, or `gte` if the server stopped counting.
    relation: String,
}

/// Sort criteria of a hit.
#[derive(Deserialize)]
struct Rank {
    #[serde(rename = "_score")]
    score: Option<f64>,
    #[serde(default)]
    sort: Vec<Value>,
}

/// Error at a shard, in the terms of the public specification.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{kind}: {reason}")]
pub struct ShardError {
    /// HTTP status that a server returned or would have returned.
    pub status: u16,
    /// `type` of the error.
    pub kind: String,
    /// Human-readable description.
    pub reason: String,
}

impl ShardError {
    /// Creates an error.
    pub fn new(status: u16, kind: impl Into<String>, reason: impl Into<String>) -> ShardError {
        ShardError { status, kind: kind.into(), reason: reason.into() }
    }

    fn malformed(reason: String) -> ShardError {
        ShardError::new(500, "malformed_answer", reason)
    }
}

/// Reason why a shard is missing from an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardFailure {
    /// The server that was asked last; empty if none is known.
    pub node: String,
    /// The error at that server.
    pub error: ShardError,
}

impl ShardFailure {
    /// Returns the entry in the `failures` of an answer.
    pub fn json(&self, index: &str, shard: ShardId) -> Value {
        let ShardError { status, kind, reason } = &self.error;
        let reason = json!({"type": kind, "reason": reason});
        json!({"shard": shard.0, "index": index, "node": self.node, "status": status_name(*status),
            "reason": reason})
    }
}

fn status_name(status: u16) -> &'static str {
    match status {
        400 => "BAD_REQUEST",
        404 => "NOT_FOUND",
        429 => "TOO_MANY_REQUESTS",
        503 => "SERVICE_UNAVAILABLE",
        504 => "GATEWAY_TIMEOUT",
        _ => "INTERNAL_SERVER_ERROR",
    }
}

/// Validates the answer of a server for one shard and returns its best score. `sort_keys` is the number of
/// sort values that each hit must have if the search is sorted.
///
/// # Errors
///
/// Returns an error if the answer is malformed, the shard failed or timed out, or a hit cannot be ranked.
pub fn check(bytes: &[u8], sort_keys: Option<usize>) -> Result<f64, ShardError> {
    let reply: Reply = serde_json::from_slice(bytes).map_err(|e| ShardError::malformed(e.to_string()))?;
    if reply.shards.failed > 0 || reply.shards.successful == 0 {
        let first = reply.shards.failures.first();
        let text = |key: &str| first.and_then(|f| f["reason"][key].as_str());
        let kind = text("type").unwrap_or("shard_failure");
        let reason = text("reason").unwrap_or("the shard failed without a reason");
        return Err(ShardError::new(500, kind, reason));
    }
    if reply.timed_out {
        return Err(ShardError::new(504, "timeout_exception", "the shard timed out"));
    }
    for hit in &reply.hits.hits {
        let rank: Rank =
            serde_json::from_str(hit.get()).map_err(|e| ShardError::malformed(format!("hit: {e}")))?;
        if sort_keys.is_some_and(|keys| rank.sort.len() != keys) {
            return Err(ShardError::malformed("hit without the expected sort values".to_owned()));
        }
    }
    Ok(reply.hits.max_score.unwrap_or(0.0))
}

/// Information about the shards that are missing from an answer.
pub struct MissingShards {
    /// Number of shards that the search covers.
    pub total: usize,
    /// Reason for each missing shard.
    pub failures: Vec<(ShardId, ShardFailure)>,
    /// Whether the search timed out before one of them had answered.
    pub timed_out: bool,
}

/// A hit of one shard and its position there.
struct RankedHit<'a> {
    rank: Rank,
    shard: ShardId,
    position: usize,
    text: &'a RawValue,
}

/// Merges the answers of single shards, which must have passed [`check`], into the body of one answer.
/// Returns `None` if one of them is invalid. `took_ms` is the time since the search arrived.
pub fn merge(
    search: &Search,
    values: &[(ShardId, Rc<[u8]>)],
    missing: &MissingShards,
    took_ms: u128,
) -> Option<String> {
    let mut ranked = Vec::new();
    let mut total = 0;
    let mut relation = "eq".to_owned();
    let mut max_score: Option<f64> = None;
    for (shard, value) in values {
        let reply: Reply = serde_json::from_slice(value).ok()?;
        if let Some(shard_total) = reply.hits.total {
            total += shard_total.value;
            if shard_total.relation != "eq" {
                relation = shard_total.relation;
            }
        }
        max_score = larger_score(max_score, reply.hits.max_score);
        for (position, text) in reply.hits.hits.into_iter().enumerate() {
            let rank = serde_json::from_str(text.get()).ok()?;
            ranked.push(RankedHit { rank, shard: *shard, position, text });
        }
    }
    // Ties are resolved as in the public specification: by shard, then by position in the shard.
    let shard_position = |hit: &RankedHit| (hit.shard, hit.position);
    ranked.sort_by(|a, b| order(search, &a.rank, &b.rank).then(shard_position(a).cmp(&shard_position(b))));
    let page = ranked.into_iter().skip(search.from as usize).take(search.size as usize);
    let hits: Vec<&RawValue> = page.map(|hit| hit.text).collect();
    let failures: Vec<Value> = missing.failures.iter().map(|(s, f)| f.json(&search.index, *s)).collect();
    let failed = failures.len();
    let mut shards =
        json!({"total": missing.total, "successful": missing.total - failed, "skipped": 0, "failed": failed});
    if failed > 0 {
        shards["failures"] = Value::Array(failures);
    }
    let total = if search.track_total {
        format!("\"total\":{},", json!({"value": total, "relation": relation}))
    } else {
        String::new()
    };
    // Composed as text, so that the hits are emitted as the servers wrote them.
    Some(format!(
        "{{\"took\":{took_ms},\"timed_out\":{},\"_shards\":{shards},\"hits\":{{{total}\"max_score\":{},\"hits\":{}}}}}",
        missing.timed_out,
        json!(max_score),
        serde_json::to_string(&hits).ok()?
    ))
}

fn larger_score(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.max(b)),
        (a, b) => a.or(b),
    }
}

/// Compares two hits by score or by the sort keys of the search.
fn order(search: &Search, a: &Rank, b: &Rank) -> Ordering {
    if search.sort.is_empty() {
        return b.score.unwrap_or(0.0).total_cmp(&a.score.unwrap_or(0.0));
    }
    let keys = search.sort.iter().zip(a.sort.iter().zip(&b.sort));
    let ordered = keys.map(|(key, (a, b))| {
        let order = compare(a, b);
        // Missing values come last in both directions.
        if key.descending && !a.is_null() && !b.is_null() {
            order.reverse()
        } else {
            order
        }
    });
    ordered.fold(Ordering::Equal, Ordering::then)
}

/// Compares two values of one sort key. Missing values come last.
fn compare(a: &Value, b: &Value) -> Ordering {
    match (a, b) {
        (Value::Null, Value::Null) => Ordering::Equal,
        (Value::Null, _) => Ordering::Greater,
        (_, Value::Null) => Ordering::Less,
        (Value::Number(a), Value::Number(b)) => match (a.as_i64(), b.as_i64()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => a.as_f64().unwrap_or(0.0).total_cmp(&b.as_f64().unwrap_or(0.0)),
        },
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (a, b) => a.to_string().cmp(&b.to_string()),
    }
}
