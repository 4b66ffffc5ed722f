//! Validation of a coordinator's settings.
use crate::balancer::interface::{Class, Idempotency, RetryBudget, Settings, SettingsError, SlowStart};

fn is_positive(n: f64) -> bool {
    n.is_finite() && n > 0.0
}

fn is_share(n: f64) -> bool {
    (0.0..=1.0).contains(&n)
}

fn is_valid_class(class: &Class) -> bool {
    let window = if let Idempotency::Keyed { window } = class.idempotency { window } else { 0.0 };
    is_positive(class.latency_objective)
        && is_positive(class.deadline)
        && window.is_finite()
        && window >= 0.0
        && is_share(class.target_coverage)
        && is_share(class.min_coverage)
        && class.priority_weight.is_finite()
}

fn is_valid_slow_start(rule: &SlowStart) -> bool {
    is_share(rule.initial_capacity)
        && is_positive(rule.ramp)
        && is_positive(rule.overload_factor)
        && is_positive(rule.overload_window)
}

fn is_valid_budget(budget: &RetryBudget) -> bool {
    is_positive(budget.window) && budget.min_attempts >= 0.0 && budget.ratio >= 0.0
}

/// Validates the settings of a coordinator.
///
/// # Errors
///
/// Returns the name of the first setting with a value that no coordinator could run with.
pub fn validate(settings: &Settings) -> Result<(), SettingsError> {
    // Two rounds are reserved for the answer; a deadline no longer than that would expire on
    // arrival.
    let round_too_long = |class: &Class| 2.0 * settings.round_interval >= class.deadline;
    let field = match settings {
        s if s.classes.is_empty() || !s.classes.iter().all(is_valid_class) => "classes",
        s if s.cells == 0 || s.cells_per_shard == 0 => "cells or cells_per_shard",
        s if s.max_attempts == 0 => "max_attempts",
        s if !s.round_interval.is_finite() || s.round_interval < 0.0 => "round_interval",
        s if s.classes.iter().any(round_too_long) => "PeriodS, over half a DeadlineS",
        s if !s.retry_budget.as_ref().is_none_or(is_valid_budget) => "retry_budget",
        s if !s.slow_start.as_ref().is_none_or(is_valid_slow_start) => "slow_start",
        _ => return Ok(()),
    };
    Err(SettingsError { field })
}
