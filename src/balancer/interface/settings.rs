//! What a deployment tells a coordinator at its start.
use super::ZoneId;

/// What a repeat of a part may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped for `window` seconds from the send of the first attempt that may have run.
    Keyed { window: f64 },
    /// Must not be repeated unless every attempt is proved not to have run.
    NonIdempotent,
}

/// A class of query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub latency_objective: f64,
    /// How long a client waits over all its tries.
    pub deadline: f64,
    pub priority_weight: f64,
    /// Share of the worth of an answer after the aim.
    pub late_weight: f64,
    pub idempotency: Idempotency,
    /// Share of the first step's weight that makes a whole answer.
    pub target_coverage: f64,
    /// Least share of an answer.
    pub min_coverage: f64,
    /// An answer that is not whole earns this times its share over `need`.
    pub partial_weight: f64,
    /// Parts of the second step; 0 for one step only.
    pub second_step_parts: u32,
    /// Whether a second attempt of a part may run beside another one.
    pub hedging: bool,
}

impl Class {
    /// For how long repeats of its parts are dropped, where they must not come later.
    pub fn window(&self) -> Option<f64> {
        match self.idempotency {
            Idempotency::Keyed { window } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Queries a second over all coordinators that count as inside its share.
    pub quota: f64,
}

/// How replicas report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    Inline,
    OnHealthCheck,
    Off,
}

/// How the list of replicas is followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    Push,
    /// Must be subscribed to; without a subscription one must ask within so many seconds.
    Ask {
        within: f64,
    },
}

/// The stated budget of attempts beyond each part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub free: f64,
    /// Earned by each query or part taken.
    pub share: f64,
    pub window: f64,
}

/// What a cold replica stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Least share of its capacity at the start.
    pub initial_capacity: f64,
    /// Warm after this long at the latest.
    pub ramp: f64,
    /// Falls over at more than this many times its present capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: f64,
}

/// What a deployment tells a coordinator at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Worth of a query over its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    pub cells: u32,
    pub reach: u32,
    /// Parts that share one call at most.
    pub max_parts_per_call: u32,
    pub zone: ZoneId,
    /// Clients mark their repeats.
    pub clients_mark_retries: bool,
    /// Coordinators in all, this one included.
    pub coordinators: u32,
    pub load_reporting: LoadReporting,
    pub discovery: Discovery,
    pub cancellation: bool,
    pub health_checks: bool,
    pub hedging: bool,
    /// The longest retry-after that clients heed; `None` where they are not told.
    pub retry_after: Option<f64>,
    pub max_attempts: u32,
    /// Rounds come at most this often.
    pub round_interval: f64,
    pub retry_budget: Option<RetryBudget>,
    pub slow_start: Option<SlowStart>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            cells: 1,
            reach: 1,
            max_parts_per_call: 1,
            zone: ZoneId(0),
            clients_mark_retries: false,
            coordinators: 1,
            load_reporting: LoadReporting::Off,
            discovery: Discovery::Push,
            cancellation: true,
            health_checks: false,
            hedging: true,
            retry_after: None,
            max_attempts: 3,
            round_interval: 0.0,
            retry_budget: None,
            slow_start: None,
        }
    }
}

/// Settings that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub field: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings cannot be served: bad value of {}", self.field)
    }
}

impl std::error::Error for SettingsError {}
