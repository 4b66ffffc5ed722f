//! The classes of queries, from their entries in `Classes` and their positions in the lists of
//! `FamilyInfo`.
use serde_json::Value;

use super::error::KeyProblem;
use super::value::{at_least, check_fraction, get, integer, list, number, optional_number, positive, string};
use super::SettingsParseError;
use crate::balancer::interface::{Class, Idempotency};

/// Parses all classes, in the order of their numbers.
pub(super) fn classes(settings: &Value) -> Result<Vec<Class>, SettingsParseError> {
    let entries = list(settings, "Classes")?.iter().enumerate();
    entries.map(|(index, entry)| class(settings, index, entry)).collect()
}

fn class(settings: &Value, index: usize, entry: &Value) -> Result<Class, SettingsParseError> {
    let in_class = |error: SettingsParseError| error.in_class(index);
    let idempotency = idempotency(entry).map_err(in_class)?;
    let target_coverage = family_fraction(settings, "ClassNeed", index, 1.0)?;
    if target_coverage <= 0.0 {
        let path = family_path("ClassNeed", index);
        return Err(SettingsParseError::invalid(path, KeyProblem::NotPositive));
    }
    let min_coverage = family_fraction(settings, "LeastShare", index, target_coverage)?;
    Ok(Class {
        latency_objective: positive(entry, "AimS").map_err(in_class)?,
        deadline: positive(entry, "DeadlineS").map_err(in_class)?,
        priority_weight: number(entry, "Worth").map_err(in_class)?,
        late_weight: optional_number(entry, "LateWorth").map_err(in_class)?.unwrap_or(0.0),
        idempotency,
        // No answer, not even a complete one, may cover less than the minimum.
        target_coverage: target_coverage.max(min_coverage),
        min_coverage,
        partial_weight: family_number(settings, "ClassPartial", index, 1.0)?,
        second_step_parts: second_step_parts(settings, index)?,
        hedging: true,
    })
}

fn idempotency(entry: &Value) -> Result<Idempotency, SettingsParseError> {
    match string(entry, "Semantics")? {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => keyed(entry),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsParseError::invalid("Semantics", KeyProblem::UnknownValue(other.to_owned()))),
    }
}

/// Parses a class whose requests are idempotent by key: data nodes drop a repeated request within the
/// window. If only some holders of a shard do so, the window is 0 and nothing is repeated, because a repeat
/// might reach a holder that does not drop it.
fn keyed(entry: &Value) -> Result<Idempotency, SettingsParseError> {
    number(entry, "WindowS")?;
    let window = at_least(entry, "WindowS", 0.0)?.unwrap_or(0.0);
    let all_holders = get(entry, "DedupScope").is_none_or(|scope| scope == "all");
    Ok(Idempotency::Keyed { window: if all_holders { window } else { 0.0 } })
}

fn second_step_parts(settings: &Value, index: usize) -> Result<u32, SettingsParseError> {
    let path = family_path("FetchParts", index);
    integer(&path, family_number(settings, "FetchParts", index, 0.0)?, 0, u32::MAX)
}

fn family_path(key: &str, index: usize) -> String {
    format!("FamilyInfo.{key}[{index}]")
}

/// Returns the value of a class in a list of `FamilyInfo`, or the default if the list is absent or empty.
fn family_number(settings: &Value, key: &str, index: usize, default: f64) -> Result<f64, SettingsParseError> {
    let Some(value) = list(settings, &format!("FamilyInfo.{key}"))?.get(index) else { return Ok(default) };
    let invalid = || SettingsParseError::invalid(family_path(key, index), KeyProblem::NotANumber);
    value.as_f64().ok_or_else(invalid)
}

/// Same as [`family_number`], but requires a value from 0 to 1.
fn family_fraction(
    settings: &Value,
    key: &str,
    index: usize,
    default: f64,
) -> Result<f64, SettingsParseError> {
    check_fraction(&family_path(key, index), family_number(settings, key, index, default)?)
}
