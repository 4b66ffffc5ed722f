//! Formats a forecast for operators, as a JSON document and as a line for the log.
use serde::Serialize;

use crate::topology_forecast::forecast::Forecast;
use crate::topology_forecast::plan::{ForecastSummary, RejectionReason};

/// The content of the JSON document: the verdict on a plan, and its forecast.
#[derive(Serialize)]
pub struct PlanResult<'a> {
    pub plan: &'a str,
    /// Why the plan is rejected; `None` if it may be adopted.
    pub refused: Option<RejectionReason>,
    pub forecast: &'a Forecast,
}

/// Returns the JSON document for a plan. Numbers that are not finite become `null`, so that every forecast
/// can be serialized.
pub fn to_json(
    plan: &str,
    refused: Option<RejectionReason>,
    forecast: &Forecast,
) -> serde_json::Result<String> {
    serde_json::to_string_pretty(&PlanResult { plan, refused, forecast })
}

/// Returns a summary of a forecast on one line, without a line break.
pub fn log_line(plan: &str, refused: Option<RejectionReason>, forecast: &Forecast) -> String {
    let summary = ForecastSummary::of(forecast, 0);
    let coverage = &forecast.coverage;
    let verdict = refused.map_or("may be adopted".to_owned(), |reason| format!("rejected, {reason}"));
    format!(
        "plan {plan} on version {}: {verdict}; share {:.3}, members {}, missing {}, age {} ms, grown {:.2}, \
         busiest {:.2}, late {:.3}, across zones {:.3}, loads {}, cold servers overloaded {}, unknowns {}",
        forecast.base,
        coverage.share.mid,
        coverage.members.len(),
        coverage.missing.len(),
        coverage.age_ms,
        summary.attempt_growth,
        summary.max_utilization,
        summary.late_share,
        forecast.across_zones.mid,
        forecast.change.tile_loads,
        summary.overloaded_cold_servers,
        forecast.unknowns.len(),
    )
}
