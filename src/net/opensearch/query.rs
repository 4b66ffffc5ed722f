//! Reads a search: the subset of the search API that is supported. What is not is named and rejected, never
//! ignored.
//!
//! It owns nothing and does no I/O. Texts and kinds of errors are those of the public specification.
#![warn(missing_docs)]

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::value::RawValue;
use serde_json::{json, Value};
use thiserror::Error;

/// `index.max_result_window` of the public specification.
const MAX_RESULT_WINDOW: u64 = 10_000;
/// Hits of a page where the search names no number.
const DEFAULT_SIZE: u64 = 10;
/// Query clauses that are forwarded as they are.
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
/// Occurrence types of a `bool` query, whose inner clauses are looked at.
const BOOL_OCCURRENCES: [&str; 4] = ["must", "filter", "should", "must_not"];
/// Options of a `bool` query.
const BOOL_OPTIONS: [&str; 2] = ["minimum_should_match", "boost"];

/// What is wrong with a request, in the public specification's terms.
#[derive(Debug, PartialEq, Error)]
#[error("{kind}: {reason}")]
pub struct InvalidSearch {
    /// The error's `type`.
    pub kind: &'static str,
    /// What is wrong, for people.
    pub reason: String,
}

fn invalid<T>(kind: &'static str, reason: impl Into<String>) -> Result<T, InvalidSearch> {
    Err(InvalidSearch { kind, reason: reason.into() })
}

fn illegal_argument<T>(reason: impl Into<String>) -> Result<T, InvalidSearch> {
    invalid("illegal_argument_exception", reason)
}

/// One key of a sort order.
#[derive(Clone, Debug, PartialEq)]
pub struct SortKey {
    /// Largest values first.
    pub descending: bool,
}

/// A search, ready to be forwarded. It outlives the buffer that it was read from.
#[derive(Debug)]
pub struct Search {
    /// Its one index.
    pub index: String,
    /// The shards that it is restricted to, if any.
    pub shards: Option<Vec<u32>>,
    /// How many hits to pass over.
    pub from: u64,
    /// How many hits to give.
    pub size: u64,
    /// The time that its client gives it, if any.
    pub timeout: Option<Duration>,
    /// Whether some shards' hits alone are an answer.
    pub partial: bool,
    /// The sort order; empty: by score.
    pub sort: Vec<SortKey>,
    /// Whether the answer has the number of all hits.
    pub track_total: bool,
    /// The body for the servers, which give whole pages from the first hit on.
    pub body: String,
    /// The same for a first step that only ranks: no documents.
    pub ranking: String,
}

/// The fields of a search's body that are forwarded to the servers.
type Forwarded = BTreeMap<&'static str, Value>;

/// Read a search on `index` from the parameters behind its path, and its body.
///
/// # Errors
///
/// The first part of it that is malformed or not supported, body before parameters.
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
    // Ranked by score alone: a sort would leave the scores out.
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

/// Read one field of the body.
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

/// Read one parameter behind the path.
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

/// Check that a query clause is supported, down to its leaves.
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
    let by_default = |field: &str| SortKey { descending: field == "_score" };
    let order = |text: &str| match text {
        "asc" => Ok(SortKey { descending: false }),
        "desc" => Ok(SortKey { descending: true }),
        other => illegal_argument(format!("unknown sort order [{other}]")),
    };
    match value {
        Value::String(field) => Ok(by_default(field)),
        Value::Object(object) if object.len() == 1 => match object.iter().next() {
            Some((_, Value::String(text))) => order(text),
            Some((field, Value::Object(options))) => {
                if let Some(other) = options.keys().find(|k| *k != "order") {
                    return illegal_argument(format!("unsupported option [{other}] of sort on [{field}]"));
                }
                options.get("order").and_then(Value::as_str).map_or(Ok(by_default(field)), order)
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

/// `_shards:3,5` of the `preference` parameter.
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

/// A span of time with its unit; `-1` is none.
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
