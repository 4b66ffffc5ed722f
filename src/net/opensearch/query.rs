//! Parses searches. Supports a subset of the search API; anything else is reported and rejected, never
//! ignored.
//!
//! This module is stateless and performs no I/O. The texts and types of errors are those of the public
//! specification.
#![warn(missing_docs)]

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::value::RawValue;
use serde_json::{json, Value};
use thiserror::Error;

/// `index.max_result_window` of the public specification.
const MAX_RESULT_WINDOW: u64 = 10_000;
/// Default number of hits per page.
const DEFAULT_SIZE: u64 = 10;
/// Query clauses that are forwarded unchanged.
const LEAF_CLAUSES: [&str; 16] = [
    "match_all",
    "match_none",
    "match",
    "match_phrase",
    "multi_match",
    "term",
    "terms",
    "range",
    "exists",
    "prefix",
    "wildcard",
    "ids",
    "query_string",
    "geo_bounding_box",
    "geo_distance",
    "geo_shape",
];
/// Occurrence types of a `bool` query, whose clauses are checked recursively.
const BOOL_OCCURRENCES: [&str; 4] = ["must", "filter", "should", "must_not"];
/// Options of a `bool` query.
const BOOL_OPTIONS: [&str; 2] = ["minimum_should_match", "boost"];

/// Error in a request, in the terms of the public specification.
#[derive(Debug, PartialEq, Error)]
#[error("{kind}: {reason}")]
pub struct InvalidSearch {
    /// `type` of the error.
    pub kind: &'static str,
    /// Human-readable description.
    pub reason: String,
}

fn invalid<T>(kind: &'static str, reason: impl Into<String>) -> Result<T, InvalidSearch> {
    Err(InvalidSearch { kind, reason: reason.into() })
}

fn illegal_argument<T>(reason: impl Into<String>) -> Result<T, InvalidSearch> {
    invalid("illegal_argument_exception", reason)
}

/// One key of the sort order.
#[derive(Clone, Debug, PartialEq)]
pub struct SortKey {
    /// Whether the largest values come first.
    pub descending: bool,
}

/// A parsed search, ready to be forwarded. It does not borrow from the receive buffer.
#[derive(Debug)]
pub struct Search {
    /// The index that is searched.
    pub index: String,
    /// Shards that the search is restricted to, if any.
    pub shards: Option<Vec<u32>>,
    /// Number of hits to skip.
    pub from: u64,
    /// Number of hits to return.
    pub size: u64,
    /// Timeout set by the client, if any.
    pub timeout: Option<Duration>,
    /// Whether an answer may contain the hits of only some shards.
    pub partial: bool,
    /// Sort order; sorted by score if empty.
    pub sort: Vec<SortKey>,
    /// Whether the answer contains the total number of hits.
    pub track_total: bool,
    /// Body of the requests to servers, which return all hits from the first one on.
    pub body: String,
    /// Body of the requests of a first step that only ranks, and returns no documents.
    pub ranking: String,
}

/// Fields of the body that are forwarded to the servers.
type Forwarded = BTreeMap<&'static str, Value>;

/// Parses a search on `index` from the query string and the body of its request.
///
/// # Errors
///
/// Returns the first element that is malformed or not supported, with the body checked before the
/// parameters.
pub fn parse(index: &str, parameters: &str, body: &[u8]) -> Result<Search, InvalidSearch> {
    let mut search = Search {
        index: index.to_owned(),
        shards: None,
        from: 0,
        size: DEFAULT_SIZE,
        timeout: None,
        partial: true,
        sort: Vec::new(),
        track_total: true,
        body: String::new(),
        ranking: String::new(),
    };
    let mut forwarded = Forwarded::new();
    parse_body(body, &mut search, &mut forwarded)?;
    for (name, value) in form_urlencoded::parse(parameters.as_bytes()) {
        parse_parameter(&name, &value, &mut search, &mut forwarded)?;
    }
    let window = search.from.saturating_add(search.size);
    if window > MAX_RESULT_WINDOW {
        return illegal_argument(format!(
            "result window is too large, from + size must be at most [{MAX_RESULT_WINDOW}] but was [{window}]"
        ));
    }
    forwarded.insert("size", json!(window));
    search.body = json!(forwarded).to_string();
    forwarded.insert("size", json!(1));
    forwarded.insert("_source", json!(false));
    // A first step is ranked by score only, and a sort would omit the scores.
    forwarded.remove("sort");
    search.ranking = json!(forwarded).to_string();
    Ok(search)
}

fn parse_body(body: &[u8], search: &mut Search, forwarded: &mut Forwarded) -> Result<(), InvalidSearch> {
    let text = std::str::from_utf8(body).or_else(|_| invalid("parse_exception", "the body is not UTF-8"))?;
    let fields: BTreeMap<Cow<str>, &RawValue> = match text.trim() {
        "" => BTreeMap::new(),
        text => serde_json::from_str(text).or_else(|e| invalid("parsing_exception", format!("body: {e}")))?,
    };
    for (name, raw) in &fields {
        parse_field(name, raw, search, forwarded)?;
    }
    Ok(())
}

/// Parses one field of the body.
fn parse_field(
    name: &str,
    raw: &RawValue,
    search: &mut Search,
    forwarded: &mut Forwarded,
) -> Result<(), InvalidSearch> {
    let value: Value = serde_json::from_str(raw.get())
        .or_else(|e| invalid("parsing_exception", format!("[{name}]: {e}")))?;
    let count = || value.as_u64().map_or_else(|| not_a_whole_number(name), Ok);
    match name {
        "query" => {
            check_clause(&value)?;
            forwarded.insert("query", value);
        }
        "from" => search.from = count()?,
        "size" => search.size = count()?,
        "timeout" => search.timeout = parse_timeout(value.as_str().unwrap_or(raw.get()))?,
        "sort" => {
            search.sort = parse_sort(&value)?;
            forwarded.insert("sort", value);
        }
        "_source" => {
            forwarded.insert("_source", value);
        }
        "min_score" if value.is_number() => {
            forwarded.insert("min_score", value);
        }
        "track_total_hits" if value.is_boolean() || value.is_u64() => {
            search.track_total = value != json!(false);
            forwarded.insert("track_total_hits", value);
        }
        "min_score" | "track_total_hits" => {
            return illegal_argument(format!("[{name}] has a value that cannot be used"))
        }
        other => {
            return invalid("parsing_exception", format!("unsupported key [{other}] in the search body"))
        }
    }
    Ok(())
}

/// Parses one parameter of the query string.
fn parse_parameter(
    name: &str,
    value: &str,
    search: &mut Search,
    forwarded: &mut Forwarded,
) -> Result<(), InvalidSearch> {
    let count = || value.parse::<u64>().or_else(|_| not_a_whole_number(name));
    match name {
        "from" => search.from = count()?,
        "size" => search.size = count()?,
        "timeout" => search.timeout = parse_timeout(value)?,
        "allow_partial_search_results" => search.partial = parse_flag(name, value)?,
        "preference" => search.shards = Some(parse_shards(value)?),
        "q" if forwarded.contains_key("query") => {
            return illegal_argument("[q] and a query in the body exclude each other")
        }
        "q" => {
            forwarded.insert("query", json!({"query_string": {"query": value}}));
        }
        other => return illegal_argument(format!("request contains unsupported parameter: [{other}]")),
    }
    Ok(())
}

fn not_a_whole_number<T>(name: &str) -> Result<T, InvalidSearch> {
    illegal_argument(format!("[{name}] must be a whole number"))
}

/// Checks recursively that a query clause is supported.
fn check_clause(value: &Value) -> Result<(), InvalidSearch> {
    let Some(object) = value.as_object() else {
        return invalid("parsing_exception", "a query clause must be an object");
    };
    let mut names = object.iter();
    let (Some((name, inner)), None) = (names.next(), names.next()) else {
        return invalid("parsing_exception", "a query clause must hold exactly one query");
    };
    if LEAF_CLAUSES.contains(&name.as_str()) {
        return if inner.is_object() {
            Ok(())
        } else {
            invalid("parsing_exception", format!("[{name}] query malformed"))
        };
    }
    if name != "bool" {
        return invalid("parsing_exception", format!("unknown query [{name}]"));
    }
    let Some(inner) = inner.as_object() else {
        return invalid("parsing_exception", "[bool] query malformed");
    };
    for (occur, clauses) in inner {
        match clauses {
            _ if BOOL_OPTIONS.contains(&occur.as_str()) => {}
            _ if !BOOL_OCCURRENCES.contains(&occur.as_str()) => {
                return invalid("parsing_exception", format!("[bool] query does not support [{occur}]"))
            }
            Value::Array(all) => all.iter().try_for_each(check_clause)?,
            one => check_clause(one)?,
        }
    }
    Ok(())
}

fn parse_sort(value: &Value) -> Result<Vec<SortKey>, InvalidSearch> {
    let one = std::slice::from_ref(value);
    let keys = value.as_array().map_or(one, Vec::as_slice);
    keys.iter().map(parse_sort_key).collect()
}

fn parse_sort_key(value: &Value) -> Result<SortKey, InvalidSearch> {
    let default_order = |field: &str| SortKey { descending: field == "_score" };
    let order = |text: &str| match text {
        "asc" => Ok(SortKey { descending: false }),
        "desc" => Ok(SortKey { descending: true }),
        other => illegal_argument(format!("unknown sort order [{other}]")),
    };
    match value {
        Value::String(field) => Ok(default_order(field)),
        Value::Object(object) if object.len() == 1 => match object.iter().next() {
            Some((_, Value::String(text))) => order(text),
            Some((field, Value::Object(options))) => {
                if let Some(other) = options.keys().find(|k| *k != "order") {
                    return illegal_argument(format!("unsupported option [{other}] of sort on [{field}]"));
                }
                options.get("order").and_then(Value::as_str).map_or(Ok(default_order(field)), order)
            }
            _ => illegal_argument("[sort] has a value that cannot be used"),
        },
        _ => illegal_argument("[sort] has a value that cannot be used"),
    }
}

fn parse_flag(name: &str, value: &str) -> Result<bool, InvalidSearch> {
    match value {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        other => illegal_argument(format!("[{name}]: only [true] or [false] are allowed, not [{other}]")),
    }
}

/// Parses the value of the `preference` parameter, such as `_shards:3,5`.
fn parse_shards(value: &str) -> Result<Vec<u32>, InvalidSearch> {
    let Some(list) = value.strip_prefix("_shards:") else {
        return illegal_argument(format!("unsupported preference [{value}]"));
    };
    let mut shards = Vec::new();
    for n in list.split(',') {
        shards.push(n.parse().or_else(|_| illegal_argument(format!("[{n}] is not a shard")))?);
    }
    shards.sort_unstable();
    shards.dedup();
    Ok(shards)
}

/// Parses a duration with its unit; `-1` means no timeout.
fn parse_timeout(text: &str) -> Result<Option<Duration>, InvalidSearch> {
    if text == "-1" {
        return Ok(None);
    }
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let micros = match &text[digits..] {
        "micros" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        "d" => 86_400_000_000,
        _ => 0,
    };
    let span = text[..digits].parse::<u64>().ok().and_then(|n| n.checked_mul(micros)).filter(|n| *n > 0);
    match span {
        Some(micros) => Ok(Some(Duration::from_micros(micros))),
        None => {
            illegal_argument(format!("failed to parse setting [timeout] with value [{text}] as a time value"))
        }
    }
}
