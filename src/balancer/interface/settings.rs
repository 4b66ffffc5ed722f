//! Settings of a coordinator, fixed at start-up. All durations are in seconds.
use super::ZoneId;

/// Whether an attempt of a part may be repeated (RFC 9110, section 9.2.2).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Attempts may be repeated freely.
    Idempotent,
    /// Repeated attempts carry an idempotency key, by which replicas drop duplicates.
    Keyed {
        /// How long replicas drop duplicates, in seconds from the send of the first attempt that
        /// may have run.
        window: f64,
    },
    /// An attempt must not be repeated unless every earlier one is proved not to have run.
    NonIdempotent,
}

/// A class of queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Latency objective in seconds: an answer within it has its full value.
    pub latency_objective: f64,
    /// Client deadline in seconds, over all of the client's tries.
    pub deadline: f64,
    /// Value of an answer relative to answers of other classes.
    pub priority_weight: f64,
    /// Fraction of its value that an answer retains after the latency objective.
    pub late_weight: f64,
    /// Whether attempts may be repeated.
    pub idempotency: Idempotency,
    /// Fraction of the first step's weight, from 0 to 1, at which an answer counts as complete.
    pub target_coverage: f64,
    /// Minimum fraction of the weight for a partial answer, from 0 to 1.
    pub min_coverage: f64,
    /// Value of a partial answer: this factor times its fraction of the target coverage.
    pub partial_weight: f64,
    /// Number of parts in the second step; 0 for single-step queries.
    pub second_step_parts: u32,
    /// Whether a second attempt of a part may run concurrently with the first.
    pub hedging: bool,
}

impl Class {
    /// Returns for how many seconds replicas drop duplicates, if attempts must not be repeated
    /// later than that.
    pub fn idempotency_window(&self) -> Option<f64> {
        match self.idempotency {
            Idempotency::Keyed { window } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Queries per second, over all coordinators, that are within the tenant's quota.
    pub quota: f64,
}

/// How replicas report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Each answer contains a load report.
    Inline,
    /// Answers to health checks contain a load report.
    OnHealthCheck,
    /// Replicas do not report their load.
    Off,
}

/// How the coordinator follows the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Discovery {
    /// Lists are pushed without a request.
    Push,
    /// Lists must be subscribed to.
    Poll {
        /// While there is no subscription, the list must be polled within this many seconds.
        poll_within: f64,
    },
}

/// The configured budget for attempts beyond each part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts per window that are always allowed.
    pub min_attempts: f64,
    /// Further attempts allowed per query or part received within a window.
    pub ratio: f64,
    /// Length of the window in seconds.
    pub window: f64,
}

/// How much load a replica can take after it has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Minimum capacity at start, as a fraction of full capacity, from 0 to 1.
    pub initial_capacity: f64,
    /// Seconds after which a replica is warm at the latest.
    pub ramp: f64,
    /// Load, as a multiple of its current capacity, above which a replica fails if the load lasts
    /// for `overload_window`.
    pub overload_factor: f64,
    /// Duration of an overload, in seconds, after which a replica fails.
    pub overload_window: f64,
}

/// Settings of a coordinator, fixed at start-up.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Query classes; at least one.
    pub classes: Vec<Class>,
    /// Tenants; empty if no quotas are configured.
    pub tenants: Vec<Tenant>,
    /// Priority factor for queries over their tenant's quota, applied to the priority weight of
    /// their class.
    pub over_quota_weight: f64,
    /// Number of cells; at least 1.
    pub cells: u32,
    /// Number of cells that hold each shard; at least 1.
    pub cells_per_shard: u32,
    /// Maximum number of parts in one call.
    pub max_parts_per_call: u32,
    /// The zone of this coordinator.
    pub zone: ZoneId,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Total number of coordinators, including this one.
    pub coordinators: u32,
    /// How replicas report their load.
    pub load_reporting: LoadReporting,
    /// How the endpoint list is followed.
    pub discovery: Discovery,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether replicas answer health checks.
    pub health_checks: bool,
    /// Whether a second attempt of a part may run concurrently with the first, in classes that
    /// allow it.
    pub hedging: bool,
    /// The longest Retry-After, in seconds, that clients honour; `None` if they honour none.
    pub retry_after: Option<f64>,
    /// Maximum number of attempts per part; at least 1.
    pub max_attempts: u32,
    /// Minimum interval between rounds in seconds.
    pub round_interval: f64,
    /// Budget for attempts beyond each part's first, if one is configured.
    pub retry_budget: Option<RetryBudget>,
    /// How much load recently started replicas can take, if it is limited.
    pub slow_start: Option<SlowStart>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            cells: 1,
            cells_per_shard: 1,
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

/// Error for settings that a coordinator cannot run with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid settings: bad value of {field}")]
pub struct SettingsError {
    /// The setting with the invalid value.
    pub field: &'static str,
}
