//! The answers of single shards, and the one answer that is merged from them.
//!
//! It owns nothing and does no I/O. Hits are put out byte for byte as the servers wrote them; only their
//! order and the sums around them are made here.
//!
//! The types that are read with serde keep their names: its errors show them to clients.
#![warn(missing_docs)]

use std::cmp::Ordering;
use std::rc::Rc;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use thiserror::Error;

use super::query::Search;
use crate::balancer::interface::ShardId;

/// A server's answer to a search on one shard.
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
    /// `eq`, or `gte` where the server stopped counting.
    relation: String,
}

/// What a hit is ranked by.
#[derive(Deserialize)]
struct Rank {
    #[serde(rename = "_score")]
    score: Option<f64>,
    #[serde(default)]
    sort: Vec<Value>,
}

/// What went wrong at a shard, in the public specification's terms.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{kind}: {reason}")]
pub struct ShardError {
    /// The status that a server gave, or would have given.
    pub status: u16,
    /// The error's `type`.
    pub kind: String,
    /// What went wrong, for people.
    pub reason: String,
}

impl ShardError {
    /// An error of these three.
    pub fn new(status: u16, kind: impl Into<String>, reason: impl Into<String>) -> ShardError {
        ShardError { status, kind: kind.into(), reason: reason.into() }
    }

    fn malformed(reason: String) -> ShardError {
        ShardError::new(500, "malformed_answer", reason)
    }
}

/// Why a shard is not in an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardFailure {
    /// The server that was asked last; empty where none is known.
    pub node: String,
    /// What went wrong there.
    pub error: ShardError,
}

impl ShardFailure {
    /// The entry of an answer's `failures`.
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

/// Check a server's answer for one shard, and return its best score. `sort_keys`: how many sort values each
/// hit has to have, where the search is sorted.
///
/// # Errors
///
/// An answer that is malformed, of a shard that failed or timed out, or with a hit that can't be ranked.
pub fn check(bytes: &[u8], sort_keys: Option<usize>) -> Result<f64, ShardError> {
    let reply: Reply = serde_json::from_slice(bytes).map_err(|e| ShardError::malformed(e.to_string()))?;
    if reply.shards.failed > 0 || reply.shards.successful == 0 {
        let first = reply.shards.failures.first();
        let text = |key: &str| first.and_then(|f| f["reason"][key].as_str());
        let kind = text("type").unwrap_or("shard_failure");
        let reason = text("reason").unwrap_or("the shard failed and gave no reason");
        return Err(ShardError::new(500, kind, reason));
    }
    if reply.timed_out {
        return Err(ShardError::new(504, "timeout_exception", "the shard timed out"));
    }
    for hit in &reply.hits.hits {
        let rank: Rank =
            serde_json::from_str(hit.get()).map_err(|e| ShardError::malformed(format!("hit: {e}")))?;
        if sort_keys.is_some_and(|keys| rank.sort.len() != keys) {
            return Err(ShardError::malformed("hit without its sort values".to_owned()));
        }
    }
    Ok(reply.hits.max_score.unwrap_or(0.0))
}

/// What is known of the shards that are not in an answer.
pub struct MissingShards {
    /// How many shards the search was on.
    pub total: usize,
    /// Why each of them is missing.
    pub failures: Vec<(ShardId, ShardFailure)>,
    /// Whether the search's time was over before one of them had answered.
    pub timed_out: bool,
}

/// A hit of one shard, and its place there.
struct RankedHit<'a> {
    rank: Rank,
    shard: ShardId,
    position: usize,
    text: &'a RawValue,
}

/// The answer's body, from the answers of single shards, which [`check`] has found sound; `None` where one is
/// not. `took_ms`: the time since the search arrived.
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
    // Ties fall as in the public specification: by shard, then by place in the shard.
    let place = |hit: &RankedHit| (hit.shard, hit.position);
    ranked.sort_by(|a, b| order(search, &a.rank, &b.rank).then(place(a).cmp(&place(b))));
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
    // Put together as text: the hits go out as the servers wrote them.
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

/// The order of two hits in the answer, by score or by the search's sort keys.
fn order(search: &Search, a: &Rank, b: &Rank) -> Ordering {
    if search.sort.is_empty() {
        return b.score.unwrap_or(0.0).total_cmp(&a.score.unwrap_or(0.0));
    }
    let keys = search.sort.iter().zip(a.sort.iter().zip(&b.sort));
    let ordered = keys.map(|(key, (a, b))| {
        let order = compare(a, b);
        // What has no value comes last either way.
        if key.descending && !a.is_null() && !b.is_null() {
            order.reverse()
        } else {
            order
        }
    });
    ordered.fold(Ordering::Equal, Ordering::then)
}

/// The order of two values of one sort key; one that is missing comes last.
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
