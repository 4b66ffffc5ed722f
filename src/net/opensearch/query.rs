//! The subset of the search API that is understood. What is not is named and refused, never ignored.
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde_json::value::RawValue;
use serde_json::{json, Value};

/// `index.max_result_window` of the public specification.
const WINDOW: u64 = 10_000;
const SIZE: u64 = 10;
/// Query clauses that are passed on, and the ones whose inner clauses are looked at.
const LEAVES: [&str; 16] = [
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
const BOOL: [&str; 4] = ["must", "filter", "should", "must_not"];
const BOOL_PLAIN: [&str; 2] = ["minimum_should_match", "boost"];

/// What is wrong with a request, in the public specification's terms.
#[derive(Debug, PartialEq)]
pub struct InvalidSearch {
    pub kind: &'static str,
    pub reason: String,
}

impl fmt::Display for InvalidSearch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.reason)
    }
}

impl std::error::Error for InvalidSearch {}

fn bad<T>(kind: &'static str, reason: impl Into<String>) -> Result<T, InvalidSearch> {
    Err(InvalidSearch { kind, reason: reason.into() })
}

fn illegal<T>(reason: impl Into<String>) -> Result<T, InvalidSearch> {
    bad("illegal_argument_exception", reason)
}

/// One key of a sort order.
#[derive(Clone, Debug, PartialEq)]
pub struct SortKey {
    pub descending: bool,
}

/// A search, ready to be sent on. It outlives the buffer that it was read from.
#[derive(Debug)]
pub struct Search {
    pub index: String,
    /// The shards that it is restricted to, if any.
    pub shards: Option<Vec<u32>>,
    pub from: u64,
    pub size: u64,
    pub timeout: Option<Duration>,
    pub partial: bool,
    /// Empty: by score.
    pub sort: Vec<SortKey>,
    pub track_total: bool,
    /// The body for the servers, which give whole pages from the first hit on.
    pub body: String,
    /// The same for a first step that only ranks: no documents.
    pub ranking: String,
}

/// Read a search from the pieces of its request.
pub fn parse(index: &str, query: &str, body: &[u8]) -> Result<Search, InvalidSearch> {
    let text = std::str::from_utf8(body).or_else(|_| bad("parse_exception", "the body is not UTF-8"))?;
    let fields: BTreeMap<Cow<str>, &RawValue> = match text.trim() {
        "" => BTreeMap::new(),
        text => serde_json::from_str(text).or_else(|e| bad("parsing_exception", format!("body: {e}")))?,
    };
    let mut search = Search {
        index: index.to_owned(),
        shards: None,
        from: 0,
        size: SIZE,
        timeout: None,
        partial: true,
        sort: Vec::new(),
        track_total: true,
        body: String::new(),
        ranking: String::new(),
    };
    let mut passed = BTreeMap::<&str, Value>::new();
    for (name, raw) in &fields {
        let value: Value = serde_json::from_str(raw.get())
            .or_else(|e| bad("parsing_exception", format!("[{name}]: {e}")))?;
        let count = || value.as_u64().ok_or(());
        match name.as_ref() {
            "query" => {
                clause(&value)?;
                passed.insert("query", value);
            }
            "from" => search.from = count().or_else(|()| illegal("[from] must be a whole number"))?,
            "size" => search.size = count().or_else(|()| illegal("[size] must be a whole number"))?,
            "timeout" => search.timeout = time(value.as_str().unwrap_or(raw.get()))?,
            "sort" => {
                search.sort = sort(&value)?;
                passed.insert("sort", value);
            }
            "_source" => drop(passed.insert("_source", value)),
            "min_score" if value.is_number() => drop(passed.insert("min_score", value)),
            "track_total_hits" if value.is_boolean() || value.is_u64() => {
                search.track_total = value != json!(false);
                passed.insert("track_total_hits", value);
            }
            "min_score" | "track_total_hits" => {
                return illegal(format!("[{name}] has a value that cannot be used"))
            }
            other => {
                return bad("parsing_exception", format!("unsupported key [{other}] in the search body"))
            }
        }
    }
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        let count = || value.parse::<u64>().or_else(|_| illegal(format!("[{name}] must be a whole number")));
        match name.as_ref() {
            "from" => search.from = count()?,
            "size" => search.size = count()?,
            "timeout" => search.timeout = time(&value)?,
            "allow_partial_search_results" => search.partial = flag(&name, &value)?,
            "preference" => search.shards = Some(shards(&value)?),
            "q" if passed.contains_key("query") => {
                return illegal("[q] and a query in the body exclude each other")
            }
            "q" => drop(passed.insert("query", json!({"query_string": {"query": value}}))),
            other => return illegal(format!("request contains unsupported parameter: [{other}]")),
        }
    }
    let window = search.from.saturating_add(search.size);
    if window > WINDOW {
        return illegal(format!(
            "result window is too large, from + size must be at most [{WINDOW}] but was [{window}]"
        ));
    }
    passed.insert("size", json!(window));
    search.body = json!(passed).to_string();
    passed.insert("size", json!(1));
    passed.insert("_source", json!(false));
    // Ranked by score alone: a sort would leave the scores out.
    passed.remove("sort");
    search.ranking = json!(passed).to_string();
    Ok(search)
}

/// Whether a query clause is one that is understood, down to its leaves.
fn clause(value: &Value) -> Result<(), InvalidSearch> {
    let Some(object) = value.as_object() else {
        return bad("parsing_exception", "a query clause must be an object");
    };
    let mut names = object.iter();
    let (Some((name, inner)), None) = (names.next(), names.next()) else {
        return bad("parsing_exception", "a query clause must hold exactly one query");
    };
    if LEAVES.contains(&name.as_str()) {
        return if inner.is_object() {
            Ok(())
        } else {
            bad("parsing_exception", format!("[{name}] query malformed"))
        };
    }
    if name != "bool" {
        return bad("parsing_exception", format!("unknown query [{name}]"));
    }
    let Some(inner) = inner.as_object() else {
        return bad("parsing_exception", "[bool] query malformed");
    };
    for (occur, clauses) in inner {
        match clauses {
            _ if BOOL_PLAIN.contains(&occur.as_str()) => {}
            _ if !BOOL.contains(&occur.as_str()) => {
                return bad("parsing_exception", format!("[bool] query does not support [{occur}]"))
            }
            Value::Array(all) => all.iter().try_for_each(clause)?,
            one => clause(one)?,
        }
    }
    Ok(())
}

fn sort(value: &Value) -> Result<Vec<SortKey>, InvalidSearch> {
    let one = std::slice::from_ref(value);
    let keys = value.as_array().map_or(one, Vec::as_slice);
    keys.iter().map(sort_key).collect()
}

fn sort_key(value: &Value) -> Result<SortKey, InvalidSearch> {
    let by_default = |field: &str| SortKey { descending: field == "_score" };
    let order = |text: &str| match text {
        "asc" => Ok(SortKey { descending: false }),
        "desc" => Ok(SortKey { descending: true }),
        other => illegal(format!("unknown sort order [{other}]")),
    };
    match value {
        Value::String(field) => Ok(by_default(field)),
        Value::Object(object) if object.len() == 1 => match object.iter().next() {
            Some((_, Value::String(text))) => order(text),
            Some((field, Value::Object(options))) => {
                if let Some(other) = options.keys().find(|k| *k != "order") {
                    return illegal(format!("unsupported option [{other}] of sort on [{field}]"));
                }
                options.get("order").and_then(Value::as_str).map_or(Ok(by_default(field)), order)
            }
            _ => illegal("[sort] has a value that cannot be used"),
        },
        _ => illegal("[sort] has a value that cannot be used"),
    }
}

fn flag(name: &str, value: &str) -> Result<bool, InvalidSearch> {
    match value {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        other => illegal(format!("[{name}]: only [true] or [false] are allowed, not [{other}]")),
    }
}

/// `_shards:3,5` of the `preference` parameter.
fn shards(value: &str) -> Result<Vec<u32>, InvalidSearch> {
    let Some(list) = value.strip_prefix("_shards:") else {
        return illegal(format!("unsupported preference [{value}]"));
    };
    let mut shards = Vec::new();
    for n in list.split(',') {
        shards.push(n.parse().or_else(|_| illegal(format!("[{n}] is not a shard")))?);
    }
    shards.sort_unstable();
    shards.dedup();
    Ok(shards)
}

/// A span of time with its unit; `-1` is none.
fn time(text: &str) -> Result<Option<Duration>, InvalidSearch> {
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
        None => illegal(format!("failed to parse setting [timeout] with value [{text}] as a time value")),
    }
}
