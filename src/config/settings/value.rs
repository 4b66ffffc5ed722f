//! Functions that read a single key of the settings and validate its type and range. A path consists of the
//! keys joined by dots, and null counts as absent. Errors name the path.
use std::time::Duration;

use serde_json::Value;

use super::error::KeyProblem;
use super::SettingsParseError;

/// The minimum timeout of a connection. With a shorter one, connections would be closed and reopened
/// continuously.
const MIN_DURATION_S: f64 = 0.001;

/// Longer timeouts are reduced to this one, since no connection lives as long.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// Returns the value at a path, or `None` if it is absent or null.
pub(super) fn get<'a>(settings: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(settings, |value, key| value.get(key)).filter(|value| !value.is_null())
}

/// Reads a required number.
pub(super) fn number(settings: &Value, path: &str) -> Result<f64, SettingsParseError> {
    let value = get(settings, path).ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::Missing))?;
    value.as_f64().ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::NotANumber))
}

/// Reads an optional number.
pub(super) fn optional_number(settings: &Value, path: &str) -> Result<Option<f64>, SettingsParseError> {
    match get(settings, path) {
        None => Ok(None),
        Some(_) => number(settings, path).map(Some),
    }
}

/// Reads an optional number that must be at least `minimum`.
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

/// Reads a required number that must be greater than 0.
pub(super) fn positive(settings: &Value, path: &str) -> Result<f64, SettingsParseError> {
    let n = number(settings, path)?;
    if n > 0.0 {
        Ok(n)
    } else {
        Err(SettingsParseError::invalid(path, KeyProblem::NotPositive))
    }
}

/// Reads a required number from 0 to 1.
pub(super) fn fraction(settings: &Value, path: &str) -> Result<f64, SettingsParseError> {
    check_fraction(path, number(settings, path)?)
}

/// Checks that the number `n` of the key `path` is from 0 to 1.
pub(super) fn check_fraction(path: &str, n: f64) -> Result<f64, SettingsParseError> {
    if (0.0..=1.0).contains(&n) {
        Ok(n)
    } else {
        Err(SettingsParseError::invalid(path, KeyProblem::NotAFraction))
    }
}

/// Converts the number `n` of the key `path` to an integer from `min` to `max`.
pub(super) fn integer(path: &str, n: f64, min: u32, max: u32) -> Result<u32, SettingsParseError> {
    let in_range = (f64::from(min)..=f64::from(max)).contains(&n);
    if n.fract() == 0.0 && in_range {
        Ok(n as u32)
    } else {
        Err(SettingsParseError::invalid(path, KeyProblem::NotAnInteger { min, max }))
    }
}

/// Reads an optional upper bound, which must be an integer of at least 1. A bound greater than `max` is
/// reduced to `max`, which also satisfies the greater bound.
pub(super) fn count(settings: &Value, path: &str, max: u32) -> Result<Option<u32>, SettingsParseError> {
    let Some(n) = optional_number(settings, path)? else { return Ok(None) };
    let n = if n.fract() == 0.0 { n.min(f64::from(max)) } else { n };
    integer(path, n, 1, max).map(Some)
}

/// Reads a duration in seconds of at least [`MIN_DURATION_S`]. The default is `default_s`.
pub(super) fn duration(settings: &Value, path: &str, default_s: f64) -> Result<Duration, SettingsParseError> {
    let seconds = at_least(settings, path, MIN_DURATION_S)?.unwrap_or(default_s);
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DURATION).min(MAX_DURATION))
}

/// Reads a boolean, which defaults to false.
pub(super) fn flag(settings: &Value, path: &str) -> Result<bool, SettingsParseError> {
    match get(settings, path) {
        None => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(SettingsParseError::invalid(path, KeyProblem::NotABoolean)),
    }
}

/// Reads a list, which defaults to an empty one.
pub(super) fn list<'a>(settings: &'a Value, path: &str) -> Result<&'a [Value], SettingsParseError> {
    match get(settings, path) {
        None => Ok(&[]),
        Some(Value::Array(entries)) => Ok(entries),
        Some(_) => Err(SettingsParseError::invalid(path, KeyProblem::NotAList)),
    }
}

/// Reads a required string.
pub(super) fn string<'a>(settings: &'a Value, path: &str) -> Result<&'a str, SettingsParseError> {
    let value = get(settings, path).ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::Missing))?;
    value.as_str().ok_or_else(|| SettingsParseError::invalid(path, KeyProblem::NotAString))
}

/// Reads a list of strings. An entry of another type counts as an empty string.
pub(super) fn strings(settings: &Value, path: &str) -> Result<Vec<String>, SettingsParseError> {
    let entries = list(settings, path)?;
    Ok(entries.iter().map(|entry| entry.as_str().unwrap_or_default().to_owned()).collect())
}

/// Reads the `Name` of each entry of a list of objects; an entry without a name yields an empty string.
/// Names must be unique.
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
