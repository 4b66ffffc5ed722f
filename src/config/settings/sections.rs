//! The sections of the settings, each parsed into the corresponding part of [`Settings`].
//!
//! [`Settings`]: crate::balancer::interface::Settings
use std::time::Duration;

use serde_json::Value;

use super::error::KeyProblem;
use super::value::{
    at_least, count, duration, flag, fraction, get, list, optional_number, positive, string, MAX_DURATION,
};
use super::{ConnectionSettings, LoadReportField, SettingsParseError};
use crate::balancer::interface::{Discovery, LoadReporting, RetryBudget, SlowStart, Tenant};

/// Drain grace of settings that do not state one, in seconds.
const DEFAULT_DRAIN_GRACE_S: f64 = 0.25;

/// Parses `Tenants`. A tenant without a quota is not limited.
pub(super) fn tenants(settings: &Value) -> Result<Vec<Tenant>, SettingsParseError> {
    let mut tenants = Vec::new();
    for entry in list(settings, "Tenants")? {
        let quota = at_least(entry, "QuotaPerS", 0.0).map_err(SettingsParseError::in_tenants)?;
        tenants.push(Tenant { quota: quota.unwrap_or(f64::MAX) });
    }
    Ok(tenants)
}

/// Parses `Reporting.Names`: the meanings of the values in a load report, in order.
pub(super) fn load_report_fields(settings: &Value) -> Result<Vec<LoadReportField>, SettingsParseError> {
    let names = list(settings, "Reporting.Names")?.iter();
    Ok(names.map(|name| LoadReportField::from_name(name.as_str().unwrap_or_default())).collect())
}

/// Parses `Reporting.How`: whether and how data nodes report their load.
pub(super) fn load_reporting(settings: &Value) -> Result<LoadReporting, SettingsParseError> {
    const PATH: &str = "Reporting.How";
    if get(settings, PATH).is_none() {
        return Ok(LoadReporting::Off);
    }
    match string(settings, PATH)? {
        "inline" => Ok(LoadReporting::Inline),
        "on_probe" => Ok(LoadReporting::OnHealthCheck),
        "off" => Ok(LoadReporting::Off),
        other => Err(unknown_value(PATH, other)),
    }
}

/// Parses `Discovery`: whether the endpoint list is pushed or polled.
pub(super) fn discovery(settings: &Value) -> Result<Discovery, SettingsParseError> {
    const PATH: &str = "Discovery";
    if get(settings, PATH).is_none() {
        return Ok(Discovery::Push);
    }
    match string(settings, PATH)? {
        "push" => Ok(Discovery::Push),
        "ask" => {
            let within = at_least(settings, "Safety.AskWithinS", 0.0)?;
            Ok(Discovery::Poll { poll_within: within.unwrap_or(f64::MAX) })
        }
        other => Err(unknown_value(PATH, other)),
    }
}

/// Parses `Safety.DrainGraceS`.
pub(super) fn drain_grace(settings: &Value) -> Result<Duration, SettingsParseError> {
    let seconds = at_least(settings, "Safety.DrainGraceS", 0.0)?.unwrap_or(DEFAULT_DRAIN_GRACE_S);
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DURATION).min(MAX_DURATION))
}

/// Parses the retry budget in `Safety`. One of its two values is sufficient; the other one defaults to 0.
pub(super) fn retry_budget(settings: &Value) -> Result<Option<RetryBudget>, SettingsParseError> {
    let share = at_least(settings, "Safety.RepeatRatio", 0.0)?;
    let free = at_least(settings, "Safety.MinExtra", 0.0)?;
    if share.is_none() && free.is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_attempts: free.unwrap_or(0.0),
        ratio: share.unwrap_or(0.0),
        window: positive(settings, "Safety.ResendSpanS")?,
    }))
}

/// Parses the slow start settings in `Safety`. Slow start is enabled if `TipMultiple` is set.
pub(super) fn slow_start(settings: &Value) -> Result<Option<SlowStart>, SettingsParseError> {
    if optional_number(settings, "Safety.TipMultiple")?.is_none() {
        return Ok(None);
    }
    Ok(Some(SlowStart {
        initial_capacity: fraction(settings, "Safety.ColdFrom")?,
        ramp: positive(settings, "Safety.RampTimeS")?,
        overload_factor: positive(settings, "Safety.TipMultiple")?,
        overload_window: positive(settings, "Safety.TipAfterS")?,
    }))
}

/// Parses the maximum Retry-After in seconds (`Limits`). Returns `None` if rejections carry no Retry-After,
/// which a maximum of 0 also means.
pub(super) fn retry_after(settings: &Value) -> Result<Option<f64>, SettingsParseError> {
    if !flag(settings, "Limits.RetryAfter")? {
        return Ok(None);
    }
    let longest = at_least(settings, "Limits.MaxRetryAfterS", 0.0)?;
    Ok(longest.filter(|seconds| *seconds > 0.0))
}

/// Parses the settings of the connections to data nodes (`Limits`).
pub(super) fn connections(settings: &Value) -> Result<ConnectionSettings, SettingsParseError> {
    Ok(ConnectionSettings {
        connect_timeout: duration(settings, "Limits.ConnectTimeoutS", 0.25)?,
        idle_timeout: duration(settings, "Limits.KeepaliveS", 30.0)?,
        max_streams: count(settings, "Limits.Multiplex", u32::MAX)?.unwrap_or(1) as usize,
    })
}

fn unknown_value(path: &str, value: &str) -> SettingsParseError {
    SettingsParseError::invalid(path, KeyProblem::UnknownValue(value.to_owned()))
}
