//! One key of the settings at a time, each with what it may hold: whatever else it holds is refused by its name.
use std::time::Duration;

use serde_json::Value;

use super::SettingsParseError;

pub(super) fn bad<T>(text: impl Into<String>) -> Result<T, SettingsParseError> {
    Err(SettingsParseError(text.into()))
}

/// The least span of a connection's life that is one: under it, it would be closed and opened all the time.
const LEAST_SPAN: f64 = 0.001;
/// Spans are kept up to this; no connection lives as long.
const MOST_SPAN: Duration = Duration::from_secs(86_400);

pub(super) fn span(v: &Value, path: &str, default: f64) -> Result<Duration, SettingsParseError> {
    let n = at_least(v, path, LEAST_SPAN)?.unwrap_or(default);
    Ok(Duration::try_from_secs_f64(n).unwrap_or(MOST_SPAN).min(MOST_SPAN))
}

pub(super) fn get<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

pub(super) fn number(v: &Value, path: &str) -> Result<f64, SettingsParseError> {
    match get(v, path).map(Value::as_f64) {
        Some(Some(n)) => Ok(n),
        Some(None) => bad(format!("settings: {path} is not a number")),
        None => bad(format!("settings: {path} is missing")),
    }
}

pub(super) fn optional(v: &Value, path: &str) -> Result<Option<f64>, SettingsParseError> {
    match get(v, path) {
        None => Ok(None),
        Some(_) => number(v, path).map(Some),
    }
}

pub(super) fn at_least(v: &Value, path: &str, least: f64) -> Result<Option<f64>, SettingsParseError> {
    match optional(v, path)? {
        Some(n) if n < least => bad(format!("settings: {path} is under {least}")),
        n => Ok(n),
    }
}

pub(super) fn share(v: &Value, path: &str) -> Result<f64, SettingsParseError> {
    match number(v, path)? {
        n if (0.0..=1.0).contains(&n) => Ok(n),
        _ => bad(format!("settings: {path} is not a share from 0 to 1")),
    }
}

pub(super) fn above_zero(v: &Value, path: &str) -> Result<f64, SettingsParseError> {
    match number(v, path)? {
        n if n > 0.0 => Ok(n),
        _ => bad(format!("settings: {path} is not above 0")),
    }
}

pub(super) fn whole(path: &str, n: f64, least: u32, most: u32) -> Result<u32, SettingsParseError> {
    if n.fract() != 0.0 || !(f64::from(least)..=f64::from(most)).contains(&n) {
        return bad(format!("settings: {path} is not a whole number from {least} to {most}"));
    }
    Ok(n as u32)
}

/// How many there may be of something, at least one. Staying under a higher number than we can count to breaks no
/// rule, so that is cut.
pub(super) fn count(v: &Value, path: &str, most: u32) -> Result<Option<u32>, SettingsParseError> {
    let n = optional(v, path)?.map(|n| if n.fract() == 0.0 { n.min(f64::from(most)) } else { n });
    n.map(|n| whole(path, n, 1, most)).transpose()
}

pub(super) fn flag(v: &Value, path: &str) -> Result<bool, SettingsParseError> {
    match get(v, path) {
        None => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => bad(format!("settings: {path} is not true or false")),
    }
}

pub(super) fn list<'a>(v: &'a Value, path: &str) -> Result<&'a [Value], SettingsParseError> {
    match get(v, path) {
        None => Ok(&[]),
        Some(Value::Array(a)) => Ok(a),
        Some(_) => bad(format!("settings: {path} is not a list")),
    }
}

pub(super) fn text<'a>(v: &'a Value, path: &str) -> Result<&'a str, SettingsParseError> {
    match get(v, path) {
        Some(Value::String(s)) => Ok(s),
        Some(_) => bad(format!("settings: {path} is not a text")),
        None => bad(format!("settings: {path} is missing")),
    }
}

/// What the parts of the settings have to look like before a key of theirs is read. Guards against figures of a rule
/// that would be taken for absent.
pub(super) fn form(v: &Value) -> Result<(), SettingsParseError> {
    if !v.is_object() {
        return bad("settings: not an object");
    }
    for path in ["Clients", "FamilyInfo", "Limits", "Reporting", "Safety"] {
        if get(v, path).is_some_and(|part| !part.is_object()) {
            return bad(format!("settings: {path} is not an object"));
        }
    }
    let classes = list(v, "Classes")?.len();
    if classes == 0 {
        return bad("settings: Classes is missing or empty");
    }
    for key in ["ClassNeed", "LeastShare", "ClassPartial", "FetchParts"] {
        let path = format!("FamilyInfo.{key}");
        let told = list(v, &path)?.len();
        if told != 0 && told != classes {
            return bad(format!("settings: {path} has {told} entries for {classes} classes"));
        }
    }
    for path in ["Classes", "Tenants"] {
        let all = list(v, path)?;
        if let Some(i) = all.iter().position(|one| !one.is_object()) {
            return bad(format!("settings: {path}[{i}] is not an object"));
        }
        // Their numbers have 16 bits; the last tenant's stands for those that are not told.
        if all.len() >= usize::from(u16::MAX) {
            return bad(format!("settings: {path} has {} entries", all.len()));
        }
    }
    for path in ["Reporting.Names", "Localities"] {
        if list(v, path)?.iter().any(|name| !name.is_string()) {
            return bad(format!("settings: {path} holds something that is not a text"));
        }
    }
    Ok(())
}
