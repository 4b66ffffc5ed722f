//! Reads one key of the settings at a time and checks its type and range. A path is the keys joined by dots;
//! null counts as absent. Each function refuses what it cannot use, with a message that names the path.
use std::time::Duration;

use serde_json::Value;

use super::error::KeyProblem;
use super::SettingsParseError;

/// Shortest span of a connection's life: with a shorter one it would be closed and reopened all the time.
const MIN_SPAN_S: f64 = 0.001;

/// Longer spans are cut to this one; no connection lives as long.
const MAX_SPAN: Duration = Duration::from_secs(86_400);

/// The value at a path, unless it is absent or null.
pub(super) fn get<'a>(settings: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(settings, |value, key| value.get(key)).filter(|value| !value.is_null())
}

/// A required number.
pub(super) fn number(settings: &Value, path: &str) -> Result<f64, SettingsParseError> {
    let value = get(settings, path).ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::Missing))?;
    value.as_f64().ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::NotANumber))
}

/// A number, if the key is there.
pub(super) fn optional_number(settings: &Value, path: &str) -> Result<Option<f64>, SettingsParseError> {
    match get(settings, path) {
        None => Ok(None),
        Some(_) => number(settings, path).map(Some),
    }
}

/// A number of at least `minimum`, if the key is there.
pub(super) fn at_least(
    settings: &Value,
    path: &str,
    minimum: f64,
) -> Result<Option<f64>, SettingsParseError> {
    match optional_number(settings, path)? {
        Some(n) if n < minimum => {
            Err(SettingsParseError::invalid(path, KeyProblem::BelowMinimum { minimum }))
        }
        n => Ok(n),
    }
}

/// A required number above 0.
pub(super) fn positive(settings: &Value, path: &str) -> Result<f64, SettingsParseError> {
    let n = number(settings, path)?;
    if n > 0.0 {
        Ok(n)
    } else {
        Err(SettingsParseError::invalid(path, KeyProblem::NotPositive))
    }
}

/// A required number from 0 to 1.
pub(super) fn fraction(settings: &Value, path: &str) -> Result<f64, SettingsParseError> {
    check_fraction(path, number(settings, path)?)
}

/// The number `n` of the key `path`, if it is from 0 to 1.
pub(super) fn check_fraction(path: &str, n: f64) -> Result<f64, SettingsParseError> {
    if (0.0..=1.0).contains(&n) {
        Ok(n)
    } else {
        Err(SettingsParseError::invalid(path, KeyProblem::NotAFraction))
    }
}

/// The number `n` of the key `path` as an integer from `min` to `max`.
pub(super) fn integer(path: &str, n: f64, min: u32, max: u32) -> Result<u32, SettingsParseError> {
    let in_range = (f64::from(min)..=f64::from(max)).contains(&n);
    if n.fract() == 0.0 && in_range {
        Ok(n as u32)
    } else {
        Err(SettingsParseError::invalid(path, KeyProblem::NotAnInteger { min, max }))
    }
}

/// An upper bound on a number of things, at least 1, if the key is there. A greater bound than `max` is cut
/// to it: whoever stays below the lower bound stays below the higher one.
pub(super) fn count(settings: &Value, path: &str, max: u32) -> Result<Option<u32>, SettingsParseError> {
    let Some(n) = optional_number(settings, path)? else { return Ok(None) };
    let n = if n.fract() == 0.0 { n.min(f64::from(max)) } else { n };
    integer(path, n, 1, max).map(Some)
}

/// A span in seconds, at least [`MIN_SPAN_S`]; `default_s` where the key is absent.
pub(super) fn span(settings: &Value, path: &str, default_s: f64) -> Result<Duration, SettingsParseError> {
    let seconds = at_least(settings, path, MIN_SPAN_S)?.unwrap_or(default_s);
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_SPAN).min(MAX_SPAN))
}

/// A boolean; false where the key is absent.
pub(super) fn flag(settings: &Value, path: &str) -> Result<bool, SettingsParseError> {
    match get(settings, path) {
        None => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(SettingsParseError::invalid(path, KeyProblem::NotABoolean)),
    }
}

/// A list; empty where the key is absent.
pub(super) fn list<'a>(settings: &'a Value, path: &str) -> Result<&'a [Value], SettingsParseError> {
    match get(settings, path) {
        None => Ok(&[]),
        Some(Value::Array(entries)) => Ok(entries),
        Some(_) => Err(SettingsParseError::invalid(path, KeyProblem::NotAList)),
    }
}

/// A required string.
pub(super) fn string<'a>(settings: &'a Value, path: &str) -> Result<&'a str, SettingsParseError> {
    let value = get(settings, path).ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::Missing))?;
    value.as_str().ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::NotAString))
}

/// The strings of a list; what is no string counts as an empty one.
pub(super) fn strings(settings: &Value, path: &str) -> Result<Vec<String>, SettingsParseError> {
    let entries = list(settings, path)?;
    Ok(entries.iter().map(|entry| entry.as_str().unwrap_or_default().to_owned()).collect())
}

/// The `Name` of each entry of a list of objects, empty for one without. No name may stand twice.
pub(super) fn unique_names(settings: &Value, path: &str) -> Result<Vec<String>, SettingsParseError> {
    let mut names: Vec<String> = Vec::new();
    for (i, entry) in list(settings, path)?.iter().enumerate() {
        let invalid = |problem| SettingsParseError::invalid(format!("{path}[{i}].Name"), problem);
        let name = match get(entry, "Name") {
            None => "",
            Some(name) => name.as_str().ok_or_else(|| invalid(KeyProblem::NotAString))?,
        };
        if !name.is_empty() && names.iter().any(|other| other == name) {
            return Err(invalid(KeyProblem::DuplicateName(name.to_owned())));
        }
        names.push(name.to_owned());
    }
    Ok(names)
}
