//! The settings of a deployment, as both programs are handed them: read, checked for form, nothing decided.
mod read;

use std::fmt;
use std::time::Duration;

use serde_json::Value;

use crate::balancer::interface::*;
use read::*;

/// Settings that cannot be read, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsParseError(pub String);

impl fmt::Display for SettingsParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsParseError {}

/// All that a deployment tells a coordinator: what its decisions go by, and what its sockets do.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub settings: Settings,
    pub report_fields: Vec<LoadReportField>,
    /// Empty for one that is not told a name: nobody can ask for it.
    pub class_names: Vec<String>,
    pub tenant_names: Vec<String>,
    pub report_names: Vec<String>,
    pub zones: Vec<String>,
    /// How many shards there are, if that is told.
    pub shard_count: Option<u32>,
    /// Queries and parts that may be open at once.
    pub max_open: usize,
    pub connections: ConnectionSettings,
}

impl Deployment {
    /// What the module goes by over sockets.
    ///
    /// Behind the tenants that are told comes one without a share, for whoever names none of them: it is served where
    /// there is room, and is the first to wait where there is not. So a tenant that another configuration tells is
    /// not refused, and nobody takes another's share by leaving out a name.
    pub fn with_default_tenant(&self) -> Settings {
        let mut settings = self.settings.clone();
        if !settings.tenants.is_empty() {
            settings.tenants.push(Tenant { quota: 0.0 });
        }
        settings
    }

    /// The tenant of a query over sockets; without tenants there is one.
    pub fn tenant_id(&self, name: Option<&str>) -> TenantId {
        let told = self.tenant_names.iter().position(|t| !t.is_empty() && Some(t.as_str()) == name);
        TenantId(told.unwrap_or(self.tenant_names.len()) as u16)
    }
}

/// How connections to data nodes are kept.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
    pub max_streams: usize,
}

fn plain(v: &Value) -> String {
    v.as_str().unwrap_or_default().to_owned()
}

fn names_of(v: &Value, path: &str) -> Result<Vec<String>, SettingsParseError> {
    let mut names = Vec::new();
    for (i, one) in list(v, path)?.iter().enumerate() {
        let name = match get(one, "Name") {
            None => "",
            Some(_) => {
                text(one, "Name").or_else(|_| bad(format!("settings: {path}[{i}].Name is not a text")))?
            }
        };
        if !name.is_empty() && names.iter().any(|other| other == name) {
            return bad(format!("settings: {path}[{i}].Name '{name}' is there twice"));
        }
        names.push(name.to_owned());
    }
    Ok(names)
}

/// A load report from its values, in the order in which the settings name them.
pub fn load_report(names: &[LoadReportField], values: impl Iterator<Item = f64>) -> LoadReport {
    let mut out = LoadReport::default();
    for (name, value) in names.iter().zip(values) {
        let value = Some(value).filter(|v| v.is_finite());
        match name {
            LoadReportField::QueueDepth => out.queue_depth = value,
            LoadReportField::InFlight => out.in_flight = value,
            LoadReportField::Utilization => out.utilization = value,
            LoadReportField::ServiceTimeMs => out.service_time = value.map(|ms| ms / 1000.0),
            LoadReportField::Rate => out.rate = value,
            LoadReportField::Other => {}
        }
    }
    out
}

/// What a value of a load report stands for.
#[derive(Clone, Copy, Debug)]
pub enum LoadReportField {
    QueueDepth,
    InFlight,
    Utilization,
    ServiceTimeMs,
    Rate,
    Other,
}

fn class(v: &Value, i: usize, c: &Value) -> Result<Class, SettingsParseError> {
    let of_class = |e: SettingsParseError| SettingsParseError(format!("{e} (class {i})"));
    let at = |key: &str| above_zero(c, key).map_err(of_class);
    let family = |key: &str, default: f64| -> Result<f64, SettingsParseError> {
        let path = format!("FamilyInfo.{key}");
        match list(v, &path)?.get(i) {
            None => Ok(default),
            Some(n) => n.as_f64().ok_or(SettingsParseError(format!("settings: {path}[{i}] is not a number"))),
        }
    };
    let part = |key: &str, default: f64| match family(key, default)? {
        n if (0.0..=1.0).contains(&n) => Ok(n),
        _ => bad(format!("settings: FamilyInfo.{key}[{i}] is not a share from 0 to 1")),
    };
    let effect = match text(c, "Semantics").map_err(of_class)? {
        "pure" => Idempotency::Idempotent,
        "token" => {
            number(c, "WindowS").map_err(of_class)?;
            let window = at_least(c, "WindowS", 0.0).map_err(of_class)?.unwrap_or(0.0);
            // Where not every holder drops a repeat, none is made: it might go to one that does not.
            let all = get(c, "DedupScope").is_none_or(|scope| scope == "all");
            Idempotency::Keyed { window: if all { window } else { 0.0 } }
        }
        "side_effect" => Idempotency::NonIdempotent,
        other => return bad(format!("settings: Semantics '{other}' is unknown (class {i})")),
    };
    let need = part("ClassNeed", 1.0)?;
    if need <= 0.0 {
        return bad(format!("settings: FamilyInfo.ClassNeed[{i}] is not above 0"));
    }
    let floor = part("LeastShare", need)?;
    let path = format!("FamilyInfo.FetchParts[{i}]");
    Ok(Class {
        latency_objective: at("AimS")?,
        deadline: at("DeadlineS")?,
        priority_weight: number(c, "Worth").map_err(of_class)?,
        late_weight: optional(c, "LateWorth").map_err(of_class)?.unwrap_or(0.0),
        idempotency: effect,
        // No answer may hold less than the least share, a whole one neither.
        target_coverage: need.max(floor),
        min_coverage: floor,
        partial_weight: family("ClassPartial", 1.0)?,
        second_step_parts: whole(&path, family("FetchParts", 0.0)?, 0, u32::MAX)?,
        hedging: true,
    })
}

/// Read the settings object, as an instance gets it on the simulator's wire or in a configuration file.
pub fn parse(bytes: &[u8]) -> Result<Deployment, SettingsParseError> {
    let v: Value = serde_json::from_slice(bytes)
        .map_err(|e| SettingsParseError(format!("settings are not valid JSON: {e}")))?;
    form(&v)?;
    let mut classes = Vec::new();
    for (i, c) in list(&v, "Classes")?.iter().enumerate() {
        classes.push(class(&v, i, c)?);
    }
    let mut tenants = Vec::new();
    for t in list(&v, "Tenants")? {
        let quota =
            at_least(t, "QuotaPerS", 0.0).map_err(|e| SettingsParseError(format!("{e} (Tenants)")))?;
        tenants.push(Tenant { quota: quota.unwrap_or(f64::MAX) });
    }
    let mut names = Vec::new();
    for name in list(&v, "Reporting.Names")? {
        names.push(match name.as_str() {
            Some("depth") => LoadReportField::QueueDepth,
            Some("concurrent") => LoadReportField::InFlight,
            Some("load_share") => LoadReportField::Utilization,
            Some("mean_ms") => LoadReportField::ServiceTimeMs,
            Some("tps") => LoadReportField::Rate,
            _ => LoadReportField::Other,
        });
    }
    let reports = match get(&v, "Reporting.How") {
        None => LoadReporting::Off,
        Some(_) => match text(&v, "Reporting.How")? {
            "inline" => LoadReporting::Inline,
            "on_probe" => LoadReporting::OnHealthCheck,
            "off" => LoadReporting::Off,
            other => return bad(format!("settings: Reporting.How '{other}' is unknown")),
        },
    };
    let discovery = match get(&v, "Discovery") {
        None => Discovery::Push,
        Some(_) => match text(&v, "Discovery")? {
            "push" => Discovery::Push,
            "ask" => Discovery::Ask { within: at_least(&v, "Safety.AskWithinS", 0.0)?.unwrap_or(f64::MAX) },
            other => return bad(format!("settings: Discovery '{other}' is unknown")),
        },
    };
    // Either figure alone is a budget: the other is nought then.
    let (share_told, free) =
        (at_least(&v, "Safety.RepeatRatio", 0.0)?, at_least(&v, "Safety.MinExtra", 0.0)?);
    let budget = match (share_told, free) {
        (None, None) => None,
        (share, free) => Some(RetryBudget {
            free: free.unwrap_or(0.0),
            share: share.unwrap_or(0.0),
            window: above_zero(&v, "Safety.ResendSpanS")?,
        }),
    };
    let cold = match optional(&v, "Safety.TipMultiple")? {
        None => None,
        Some(_) => Some(SlowStart {
            initial_capacity: share(&v, "Safety.ColdFrom")?,
            ramp: above_zero(&v, "Safety.RampTimeS")?,
            overload_factor: above_zero(&v, "Safety.TipMultiple")?,
            overload_window: above_zero(&v, "Safety.TipAfterS")?,
        }),
    };
    let retry_after = match flag(&v, "Limits.RetryAfter")? {
        // Nought is no guidance.
        true => at_least(&v, "Limits.MaxRetryAfterS", 0.0)?.filter(|s| *s > 0.0),
        false => None,
    };
    let most_tries = count(&v, "Limits.MostTries", u32::from(u8::MAX))?;
    let settings = Settings {
        classes,
        tenants,
        over_quota_weight: at_least(&v, "OverShareWorth", 0.0)?.unwrap_or(1.0),
        // A cell's number has 16 bits.
        cells: whole("FamilyInfo.Positions", number(&v, "FamilyInfo.Positions")?, 1, 1 << 16)?,
        reach: whole("FamilyInfo.InARow", number(&v, "FamilyInfo.InARow")?, 1, u32::MAX)?,
        max_parts_per_call: count(&v, "FamilyInfo.PerCall", u32::MAX)?.unwrap_or(1),
        zone: ZoneId(whole("Zone", optional(&v, "Zone")?.unwrap_or(0.0), 0, u32::from(u8::MAX))? as u8),
        clients_mark_retries: flag(&v, "Clients.MarksRetry")?,
        coordinators: count(&v, "ReplicasOfMe", u32::MAX)?.unwrap_or(1),
        load_reporting: reports,
        discovery,
        cancellation: flag(&v, "Limits.Cancel")?,
        health_checks: flag(&v, "Limits.Probes")?,
        hedging: flag(&v, "Limits.SecondCopies")?,
        retry_after,
        // An attempt's number has 8 bits, and the last one stands for none.
        max_attempts: most_tries.ok_or(SettingsParseError("settings: Limits.MostTries is missing".into()))?,
        round_interval: at_least(&v, "PeriodS", 0.0)?.unwrap_or(0.0),
        retry_budget: budget,
        slow_start: cold,
    };
    let sockets = ConnectionSettings {
        connect_timeout: span(&v, "Limits.ConnectTimeoutS", 0.25)?,
        idle_timeout: span(&v, "Limits.KeepaliveS", 30.0)?,
        max_streams: count(&v, "Limits.Multiplex", u32::MAX)?.unwrap_or(1) as usize,
    };
    Ok(Deployment {
        settings,
        report_fields: names,
        class_names: names_of(&v, "Classes")?,
        tenant_names: names_of(&v, "Tenants")?,
        report_names: list(&v, "Reporting.Names")?.iter().map(plain).collect(),
        zones: list(&v, "Localities")?.iter().map(plain).collect(),
        shard_count: count(&v, "FamilyInfo.Shards", u32::MAX)?,
        max_open: count(&v, "Limits.OpenCap", u32::MAX)?.map_or(usize::MAX, |n| n as usize),
        connections: sockets,
    })
}
