//! Answers of single shards, and the one answer made of them.
use std::cmp::Ordering;
use std::rc::Rc;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};

use super::query::Search;
use crate::balancer::interface::ShardId;

#[derive(Deserialize)]
pub struct Reply<'a> {
    #[serde(default)]
    pub timed_out: bool,
    #[serde(rename = "_shards")]
    pub shards: Shards,
    #[serde(borrow)]
    pub hits: Hits<'a>,
}

#[derive(Deserialize)]
pub struct Shards {
    pub successful: u64,
    pub failed: u64,
    #[serde(default)]
    pub failures: Vec<Value>,
}

#[derive(Deserialize)]
pub struct Hits<'a> {
    pub total: Option<Total>,
    pub max_score: Option<f64>,
    #[serde(borrow, default)]
    pub hits: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
pub struct Total {
    pub value: u64,
    pub relation: String,
}

#[derive(Deserialize)]
struct Rank {
    #[serde(rename = "_score")]
    score: Option<f64>,
    #[serde(default)]
    sort: Vec<Value>,
}

/// Why a shard is not in an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    pub node: String,
    pub status: u16,
    pub kind: String,
    pub reason: String,
}

impl Failure {
    pub fn json(&self, index: &str, shard: ShardId) -> Value {
        let reason = json!({"type": self.kind, "reason": self.reason});
        json!({"shard": shard.0, "index": index, "node": self.node, "status": status_name(self.status),
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

/// Read a server's answer for one shard; only one from the whole shard, in order for this search, will do.
pub fn check(bytes: &[u8], by_sort: bool, keys: usize) -> Result<f64, (u16, String, String)> {
    let odd = |reason: String| (500, "malformed_answer".to_owned(), reason);
    let reply: Reply = serde_json::from_slice(bytes).map_err(|e| odd(e.to_string()))?;
    if reply.shards.failed > 0 || reply.shards.successful == 0 {
        let first = reply.shards.failures.first();
        let text = |key: &str| first.and_then(|f| f["reason"][key].as_str()).map(str::to_owned);
        let kind = text("type").unwrap_or_else(|| "shard_failure".to_owned());
        let reason = text("reason").unwrap_or_else(|| "the shard failed and gave no reason".to_owned());
        return Err((500, kind, reason));
    }
    if reply.timed_out {
        return Err((504, "timeout_exception".to_owned(), "the shard timed out".to_owned()));
    }
    for hit in &reply.hits.hits {
        let rank: Rank = serde_json::from_str(hit.get()).map_err(|e| odd(format!("hit: {e}")))?;
        if by_sort && rank.sort.len() != keys {
            return Err(odd("hit without its sort values".to_owned()));
        }
    }
    Ok(reply.hits.max_score.unwrap_or(0.0))
}

/// What is known of the shards that are not in an answer.
pub struct MissingShards {
    pub total: usize,
    pub failures: Vec<(ShardId, Failure)>,
    pub timed_out: bool,
}

/// The one answer, from the answers of single shards.
pub fn merge(
    search: &Search,
    values: &[(ShardId, Rc<[u8]>)],
    missing: &MissingShards,
    took_ms: u128,
) -> Option<String> {
    let mut ranked: Vec<(Rank, ShardId, usize, &RawValue)> = Vec::new();
    let (mut total, mut relation) = (0, "eq".to_owned());
    let mut max_score: Option<f64> = None;
    for (shard, value) in values {
        let reply: Reply = serde_json::from_slice(value).ok()?;
        if let Some(t) = reply.hits.total {
            total += t.value;
            if t.relation != "eq" {
                relation = t.relation;
            }
        }
        max_score = max_score.max_by(reply.hits.max_score);
        for (n, hit) in reply.hits.hits.into_iter().enumerate() {
            ranked.push((serde_json::from_str(hit.get()).ok()?, *shard, n, hit));
        }
    }
    // Ties fall as in the public specification: by shard, then by place in the shard.
    ranked.sort_by(|a, b| order(search, &a.0, &b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    let page = ranked.into_iter().skip(search.from as usize).take(search.size as usize);
    let hits: Vec<&RawValue> = page.map(|(.., hit)| hit).collect();
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

trait MaxBy {
    fn max_by(self, other: Self) -> Self;
}

impl MaxBy for Option<f64> {
    fn max_by(self, other: Self) -> Self {
        match (self, other) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        }
    }
}

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
