//! The settings of a deployment: a JSON object that the platform passes to both programs, parsed and
//! validated key by key into a [`Deployment`]. A key with a value of a wrong type or range is rejected with
//! an error that names the key; unknown keys are ignored. This module makes no decisions and keeps no
//! values apart from what [`parse`] returns.
//!
//! The keys follow the platform's naming, while the fields use the common technical terms.
#![warn(missing_docs)]

mod class;
mod error;
mod sections;
mod structure;
mod value;

use std::time::Duration;

use serde_json::Value;

pub use self::error::{KeyProblem, SettingsParseError};
use self::value::{at_least, count, flag, integer, number, optional_number, strings, unique_names};
use crate::balancer::interface::{Class, LoadReport, Settings, Tenant, TenantId, ZoneId};

/// Attempt numbers have 8 bits, and the highest number is reserved for no attempt.
const MAX_ATTEMPTS: u32 = u8::MAX as u32;
/// Cell numbers have 16 bits.
const MAX_CELLS: u32 = 1 << 16;
/// Zone numbers have 8 bits.
const MAX_ZONE: u32 = u8::MAX as u32;

/// The complete settings of a coordinator.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The meanings of the values in a load report, in order.
    pub report_fields: Vec<LoadReportField>,
    /// The names of the classes, indexed by class. A class without a name has an empty string and cannot be
    /// requested by clients.
    pub class_names: Vec<String>,
    /// The names of the tenants, indexed by tenant. A tenant without a name has an empty string.
    pub tenant_names: Vec<String>,
    /// The names of the values in a load report, in order.
    pub report_names: Vec<String>,
    /// The names of the zones, indexed by zone.
    pub zones: Vec<String>,
    /// The number of shards, if configured.
    pub shard_count: Option<u32>,
    /// The maximum number of queries and parts that are open at the same time.
    pub max_open: usize,
    /// The settings of the connections to data nodes.
    pub connections: ConnectionSettings,
    /// The time from the notification of a drain until attempts to the data node must stop.
    pub drain_grace: Duration,
}

impl Deployment {
    /// Returns the balancer settings with one additional tenant of quota 0, for queries that name no known
    /// tenant.
    ///
    /// Such a query is served while there is capacity and is the first to be shed otherwise. A tenant that
    /// only another configuration knows is therefore not rejected, and omitting the name does not give
    /// access to another tenant's quota. If no tenants are configured, the settings are returned unchanged.
    pub fn with_default_tenant(&self) -> Settings {
        let mut settings = self.settings.clone();
        if !settings.tenants.is_empty() {
            settings.tenants.push(Tenant { quota: 0.0 });
        }
        settings
    }

    /// Returns the tenant with the given name, numbered as in [`Deployment::with_default_tenant`].
    pub fn tenant_id(&self, name: Option<&str>) -> TenantId {
        let known = self.tenant_names.iter().position(|t| !t.is_empty() && Some(t.as_str()) == name);
        TenantId(known.unwrap_or(self.tenant_names.len()) as u16)
    }
}

/// The settings of the connections to data nodes.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// The maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// The time for which a connection without calls is kept open.
    pub idle_timeout: Duration,
    /// The maximum number of concurrent calls on one connection.
    pub max_streams: usize,
}

/// The meaning of a value in a load report.
#[derive(Clone, Copy, Debug)]
pub enum LoadReportField {
    /// The number of requests queued at the data node.
    QueueDepth,
    /// The number of requests that the data node is processing.
    InFlight,
    /// The utilization of the data node, from 0 to 1.
    Utilization,
    /// The mean service time, in milliseconds.
    ServiceTimeMs,
    /// The number of requests completed per second.
    Rate,
    /// A value that is not used.
    Other,
}

impl LoadReportField {
    fn from_name(name: &str) -> LoadReportField {
        match name {
            "depth" => LoadReportField::QueueDepth,
            "concurrent" => LoadReportField::InFlight,
            "load_share" => LoadReportField::Utilization,
            "mean_ms" => LoadReportField::ServiceTimeMs,
            "tps" => LoadReportField::Rate,
            _ => LoadReportField::Other,
        }
    }
}

/// Builds a load report from its values, in the order of `fields`. A value that is not finite counts as not
/// reported.
pub fn load_report(fields: &[LoadReportField], values: impl Iterator<Item = f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for (field, value) in fields.iter().zip(values) {
        let value = Some(value).filter(|v| v.is_finite());
        match field {
            LoadReportField::QueueDepth => report.queue_depth = value,
            LoadReportField::InFlight => report.in_flight = value,
            LoadReportField::Utilization => report.utilization = value,
            LoadReportField::ServiceTimeMs => report.service_time = value.map(|ms| ms / 1000.0),
            LoadReportField::Rate => report.rate = value,
            LoadReportField::Other => {}
        }
    }
    report
}

/// Parses the settings object as received from the simulator or from a configuration file.
///
/// # Errors
///
/// Returns the first error found: the text is not a JSON object, a required key is missing, or the value of
/// a key is invalid.
pub fn parse(bytes: &[u8]) -> Result<Deployment, SettingsParseError> {
    let json: Value =
        serde_json::from_slice(bytes).map_err(|e| SettingsParseError::InvalidJson(e.to_string()))?;
    structure::check_structure(&json)?;
    let classes = class::classes(&json)?;
    let tenants = sections::tenants(&json)?;
    let report_fields = sections::load_report_fields(&json)?;
    Ok(Deployment {
        settings: balancer_settings(&json, classes, tenants)?,
        connections: sections::connections(&json)?,
        drain_grace: sections::drain_grace(&json)?,
        report_fields,
        class_names: unique_names(&json, "Classes")?,
        tenant_names: unique_names(&json, "Tenants")?,
        report_names: strings(&json, "Reporting.Names")?,
        zones: strings(&json, "Localities")?,
        shard_count: count(&json, "FamilyInfo.Shards", u32::MAX)?,
        max_open: count(&json, "Limits.OpenCap", u32::MAX)?.map_or(usize::MAX, |n| n as usize),
    })
}

/// Parses the settings of the balancer, except for the classes and tenants, which are passed in.
fn balancer_settings(
    json: &Value,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
) -> Result<Settings, SettingsParseError> {
    let load_reporting = sections::load_reporting(json)?;
    let discovery = sections::discovery(json)?;
    let retry_budget = sections::retry_budget(json)?;
    let slow_start = sections::slow_start(json)?;
    let retry_after = sections::retry_after(json)?;
    let max_attempts = count(json, "Limits.MostTries", MAX_ATTEMPTS)?;
    Ok(Settings {
        classes,
        tenants,
        over_quota_weight: at_least(json, "OverShareWorth", 0.0)?.unwrap_or(1.0),
        cells: integer("FamilyInfo.Positions", number(json, "FamilyInfo.Positions")?, 1, MAX_CELLS)?,
        cells_per_shard: integer("FamilyInfo.InARow", number(json, "FamilyInfo.InARow")?, 1, u32::MAX)?,
        max_parts_per_call: count(json, "FamilyInfo.PerCall", u32::MAX)?.unwrap_or(1),
        zone: zone(json)?,
        clients_mark_retries: flag(json, "Clients.MarksRetry")?,
        coordinators: count(json, "ReplicasOfMe", u32::MAX)?.unwrap_or(1),
        load_reporting,
        discovery,
        cancellation: flag(json, "Limits.Cancel")?,
        health_checks: flag(json, "Limits.Probes")?,
        hedging: flag(json, "Limits.SecondCopies")?,
        retry_after,
        max_attempts: max_attempts
            .ok_or_else(|| SettingsParseError::invalid("Limits.MostTries", KeyProblem::Missing))?,
        round_interval: at_least(json, "PeriodS", 0.0)?.unwrap_or(0.0),
        retry_budget,
        slow_start,
    })
}

fn zone(json: &Value) -> Result<ZoneId, SettingsParseError> {
    let number = optional_number(json, "Zone")?.unwrap_or(0.0);
    Ok(ZoneId(integer("Zone", number, 0, MAX_ZONE)? as u8))
}
