//! Estimates of response times of all replicas together, and the concurrency limit that follows from them.

/// Response times, in seconds.
#[derive(Default)]
pub struct LatencyEstimates {
    /// Slow moving average of the parts' response time.
    pub mean: f64,
    /// Slow estimate of their 90th percentile.
    pub p90: f64,
    /// Fast moving average, as of the last success; without a sample it decays.
    pub current: f64,
    /// When the last success came.
    pub last_success_at: f64,
    /// How long the last queries took, as narrow ones, as of the last one's end.
    pub query_time: f64,
    /// When the last query finished.
    pub query_finished_at: f64,
}

/// How many parts may be open at once. The limit adapts by additive increase and multiplicative decrease.
#[derive(Default)]
pub struct ConcurrencyLimit {
    /// Parts; 0 before the first round that admits.
    pub limit: f64,
    /// When it was last decreased, in seconds.
    pub decreased_at: f64,
}
