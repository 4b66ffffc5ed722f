//! The settings of a deployment, as both programs are handed them: read, checked for form, nothing decided.
use std::fmt;
use std::time::Duration;

use serde_json::Value;

use crate::interface::*;

/// Settings that cannot be read, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(pub String);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Unreadable {}

fn bad<T>(text: impl Into<String>) -> Result<T, Unreadable> {
    Err(Unreadable(text.into()))
}

/// All that a deployment tells a co-ordinator: what its decisions go by, and what its sockets do.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub settings: Settings,
    pub reports: Vec<ReportValue>,
    pub class_names: Vec<String>,
    pub report_names: Vec<String>,
    pub zones: Vec<String>,
    /// How many shards there are, if that is told.
    pub shards: Option<u32>,
    /// Queries and parts that may be open at once.
    pub max_open: usize,
    pub sockets: Sockets,
}

impl Deployment {
    /// What the module goes by over sockets. There a pushed list lies with an agent on our own machine, which tells
    /// only who asks it, at no cost and at once: it is asked from the start on, and anew as soon as the module ever
    /// does. Guards a deployment whose lists are pushed against never hearing of a drain.
    pub fn over_sockets(&self) -> Settings {
        let asked = match self.settings.discovery {
            Discovery::Push => Discovery::Ask { within: 0.0 },
            asked => asked,
        };
        Settings { discovery: asked, ..self.settings.clone() }
    }
}

/// How connections to data nodes are kept.
#[derive(Clone, Copy, Debug)]
pub struct Sockets {
    pub connect: Duration,
    pub idle: Duration,
    pub streams: usize,
}

fn plain(v: &Value) -> String {
    v.as_str().unwrap_or_default().to_owned()
}

fn names_of(v: &Value, path: &str) -> Result<Vec<String>, Unreadable> {
    Ok(list(v, path)?.iter().map(|c| get(c, "Name").map(plain).unwrap_or_default()).collect())
}

fn seconds(v: &Value, path: &str, default: f64) -> Result<Duration, Unreadable> {
    let n = optional(v, path)?.unwrap_or(default);
    Duration::try_from_secs_f64(n).or_else(|_| bad(format!("settings: {path} is not a span of time")))
}

/// A load report from its values, in the order in which the settings name them.
pub fn report(names: &[ReportValue], values: impl Iterator<Item = f64>) -> Report {
    let mut out = Report::default();
    for (name, value) in names.iter().zip(values) {
        let value = Some(value).filter(|v| v.is_finite());
        match name {
            ReportValue::Queue => out.queue = value,
            ReportValue::InFlight => out.in_flight = value,
            ReportValue::Busy => out.busy = value,
            ReportValue::ServiceMs => out.service = value.map(|ms| ms / 1000.0),
            ReportValue::Other => {}
        }
    }
    out
}

/// What a value of a load report stands for.
#[derive(Clone, Copy, Debug)]
pub enum ReportValue {
    Queue,
    InFlight,
    Busy,
    ServiceMs,
    Other,
}

fn get<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn number(v: &Value, path: &str) -> Result<f64, Unreadable> {
    match get(v, path).map(Value::as_f64) {
        Some(Some(n)) => Ok(n),
        Some(None) => bad(format!("settings: {path} is not a number")),
        None => bad(format!("settings: {path} is missing")),
    }
}

fn optional(v: &Value, path: &str) -> Result<Option<f64>, Unreadable> {
    match get(v, path) {
        None => Ok(None),
        Some(_) => number(v, path).map(Some),
    }
}

fn flag(v: &Value, path: &str) -> Result<bool, Unreadable> {
    match get(v, path) {
        None => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => bad(format!("settings: {path} is not true or false")),
    }
}

fn list<'a>(v: &'a Value, path: &str) -> Result<&'a [Value], Unreadable> {
    match get(v, path) {
        None => Ok(&[]),
        Some(Value::Array(a)) => Ok(a),
        Some(_) => bad(format!("settings: {path} is not a list")),
    }
}

fn text<'a>(v: &'a Value, path: &str) -> Result<&'a str, Unreadable> {
    match get(v, path) {
        Some(Value::String(s)) => Ok(s),
        Some(_) => bad(format!("settings: {path} is not a text")),
        None => bad(format!("settings: {path} is missing")),
    }
}

fn class(v: &Value, i: usize, c: &Value) -> Result<Class, Unreadable> {
    let at = |key: &str| number(c, key).map_err(|e| Unreadable(format!("{e} (class {i})")));
    let family = |key: &str, default: f64| -> Result<f64, Unreadable> {
        let path = format!("FamilyInfo.{key}");
        match list(v, &path)?.get(i) {
            None => Ok(default),
            Some(n) => n.as_f64().ok_or(Unreadable(format!("settings: {path}[{i}] is not a number"))),
        }
    };
    let effect = match text(c, "Semantics")? {
        "pure" => Effect::Safe,
        "token" => Effect::Keyed { window: at("WindowS")? },
        "side_effect" => Effect::Unsafe,
        other => return bad(format!("settings: Semantics '{other}' of class {i} is unknown")),
    };
    let need = family("ClassNeed", 1.0)?;
    Ok(Class {
        aim: at("AimS")?,
        deadline: at("DeadlineS")?,
        worth: at("Worth")?,
        late_worth: optional(c, "LateWorth")?.unwrap_or(0.0),
        effect,
        need,
        floor: family("LeastShare", need)?,
        partial: family("ClassPartial", 1.0)?,
        second_step: family("FetchParts", 0.0)? as u32,
        copies: true,
    })
}

/// Read the settings object, as an instance gets it on the simulator's wire or in a configuration file.
pub fn parse(bytes: &[u8]) -> Result<Deployment, Unreadable> {
    let v: Value =
        serde_json::from_slice(bytes).map_err(|e| Unreadable(format!("settings are not valid JSON: {e}")))?;
    let mut classes = Vec::new();
    if get(&v, "Classes").is_none() {
        return bad("settings: Classes is missing");
    }
    for (i, c) in list(&v, "Classes")?.iter().enumerate() {
        classes.push(class(&v, i, c)?);
    }
    let mut tenants = Vec::new();
    for t in list(&v, "Tenants")? {
        tenants.push(Tenant { quota: optional(t, "QuotaPerS")?.unwrap_or(f64::MAX) });
    }
    let mut names = Vec::new();
    for name in list(&v, "Reporting.Names")? {
        names.push(match name.as_str() {
            Some("depth") => ReportValue::Queue,
            Some("concurrent") => ReportValue::InFlight,
            Some("load_share") => ReportValue::Busy,
            Some("mean_ms") => ReportValue::ServiceMs,
            _ => ReportValue::Other,
        });
    }
    let reports = match get(&v, "Reporting.How") {
        None => Reports::Off,
        Some(_) => match text(&v, "Reporting.How")? {
            "inline" => Reports::Inline,
            "on_probe" => Reports::OnProbe,
            "off" => Reports::Off,
            other => return bad(format!("settings: Reporting.How '{other}' is unknown")),
        },
    };
    let discovery = match get(&v, "Discovery") {
        None => Discovery::Push,
        Some(_) => match text(&v, "Discovery")? {
            "push" => Discovery::Push,
            "ask" => Discovery::Ask { within: optional(&v, "Safety.AskWithinS")?.unwrap_or(f64::MAX) },
            other => return bad(format!("settings: Discovery '{other}' is unknown")),
        },
    };
    let budget = match optional(&v, "Safety.RepeatRatio")? {
        None => None,
        Some(share) => Some(Budget {
            free: optional(&v, "Safety.MinExtra")?.unwrap_or(0.0),
            share,
            window: number(&v, "Safety.ResendSpanS")?,
        }),
    };
    let cold = match optional(&v, "Safety.TipMultiple")? {
        None => None,
        Some(multiple) => Some(ColdRule {
            from: number(&v, "Safety.ColdFrom")?,
            ramp: number(&v, "Safety.RampTimeS")?,
            multiple,
            after: number(&v, "Safety.TipAfterS")?,
        }),
    };
    let retry_after = match flag(&v, "Limits.RetryAfter")? {
        true => Some(optional(&v, "Limits.MaxRetryAfterS")?.unwrap_or(0.0)),
        false => None,
    };
    let settings = Settings {
        classes,
        tenants,
        over_share_worth: optional(&v, "OverShareWorth")?.unwrap_or(1.0),
        cells: number(&v, "FamilyInfo.Positions")? as u32,
        reach: number(&v, "FamilyInfo.InARow")? as u32,
        per_call: optional(&v, "FamilyInfo.PerCall")?.unwrap_or(1.0) as u32,
        zone: ZoneId(optional(&v, "Zone")?.unwrap_or(0.0) as u8),
        marks_retry: flag(&v, "Clients.MarksRetry")?,
        coordinators: optional(&v, "ReplicasOfMe")?.unwrap_or(1.0) as u32,
        reports,
        discovery,
        cancel: flag(&v, "Limits.Cancel")?,
        probes: flag(&v, "Limits.Probes")?,
        second_copies: flag(&v, "Limits.SecondCopies")?,
        retry_after,
        most_tries: number(&v, "Limits.MostTries")? as u32,
        round: optional(&v, "PeriodS")?.unwrap_or(0.0),
        budget,
        cold,
    };
    let sockets = Sockets {
        connect: seconds(&v, "Limits.ConnectTimeoutS", 0.25)?,
        idle: seconds(&v, "Limits.KeepaliveS", 30.0)?,
        streams: optional(&v, "Limits.Multiplex")?.unwrap_or(1.0).max(1.0) as usize,
    };
    Ok(Deployment {
        settings,
        reports: names,
        class_names: names_of(&v, "Classes")?,
        report_names: list(&v, "Reporting.Names")?.iter().map(plain).collect(),
        zones: list(&v, "Localities")?.iter().map(plain).collect(),
        shards: optional(&v, "FamilyInfo.Shards")?.map(|n| n as u32),
        max_open: optional(&v, "Limits.OpenCap")?.map_or(usize::MAX, |n| n as usize),
        sockets,
    })
}
