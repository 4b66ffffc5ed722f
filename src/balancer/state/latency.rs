//! Response time estimates over all replicas, and the state of the concurrency limit that depends
//! on them.

/// Response time estimates in seconds.
#[derive(Default)]
pub struct LatencyEstimates {
    /// Slow moving average of the response time of parts.
    pub mean: f64,
    /// Slow estimate of the 90th percentile of the response time of parts.
    pub p90: f64,
    /// Fast moving average as of the last success; decays without samples.
    pub current: f64,
    /// Time of the last success.
    pub last_success_at: f64,
    /// Recent query duration, scaled to a narrow query, when the last query finished.
    pub query_time: f64,
    /// When the last query finished.
    pub query_finished_at: f64,
}

/// State of the limit on open parts (additive increase, multiplicative decrease).
#[derive(Default)]
pub struct ConcurrencyLimit {
    /// The limit in parts; 0 before the first admission.
    pub limit: f64,
    /// Time of the last decrease in seconds.
    pub decreased_at: f64,
}
