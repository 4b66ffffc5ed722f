//! The limits on connections to gRPC servers, as the operator's file sets them.
use std::time::Duration;

use serde::Deserialize;

/// The longest time span that may be configured, in seconds: one day.
const MAX_SPAN_S: f64 = 86_400.0;

/// Limits on the connections to each server (`grpc.pool` in the operator's file). Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// The most connections that accept calls, including those being established.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// The most concurrent calls on one connection, even if the server allows more.
    #[serde(rename = "streams")]
    pub max_streams: usize,
    /// The most calls that may wait for a connection.
    #[serde(rename = "waiting")]
    pub max_waiting: usize,
    /// A connection without calls is closed after this time.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// A connection with open calls on which nothing has arrived for this time is probed by a PING (RFC 9113
    /// 6.7).
    #[serde(rename = "ping_s")]
    pub ping_interval_s: f64,
    /// A connection on which nothing arrives for this time after a PING is closed.
    pub ping_timeout_s: f64,
    /// A connection starts draining at this age.
    #[serde(rename = "age_s")]
    pub max_age_s: f64,
    /// Calls in flight on a draining connection have this time to finish.
    #[serde(rename = "drain_s")]
    pub drain_timeout_s: f64,
    /// The backoff after a failed connect. It doubles with each further failure, up to `max_backoff_s`. The
    /// second half of each backoff is randomized.
    #[serde(rename = "backoff_s")]
    pub initial_backoff_s: f64,
    /// The longest backoff.
    #[serde(rename = "backoff_most_s")]
    pub max_backoff_s: f64,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            max_connections: 4,
            max_streams: 100,
            max_waiting: 256,
            idle_timeout_s: 60.0,
            ping_interval_s: 0.5,
            ping_timeout_s: 0.5,
            max_age_s: 1800.0,
            drain_timeout_s: 30.0,
            initial_backoff_s: 0.1,
            max_backoff_s: 5.0,
        }
    }
}

impl PoolLimits {
    /// Checks the ranges of all limits.
    ///
    /// # Errors
    ///
    /// The key in the file whose value is out of range, and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let spans = [
            ("idle_s", self.idle_timeout_s),
            ("ping_s", self.ping_interval_s),
            ("ping_timeout_s", self.ping_timeout_s),
            ("age_s", self.max_age_s),
            ("drain_s", self.drain_timeout_s),
            ("backoff_s", self.initial_backoff_s),
            ("backoff_most_s", self.max_backoff_s),
        ];
        for (key, span) in spans {
            if !(span > 0.0 && span <= MAX_SPAN_S) {
                return Err((key, "must be over 0 and at most 86400".into()));
            }
        }
        let counts = [
            ("connections", self.max_connections),
            ("streams", self.max_streams),
            ("waiting", self.max_waiting),
        ];
        for (key, count) in counts {
            if count == 0 {
                return Err((key, "must be at least 1".into()));
            }
        }
        if self.max_backoff_s < self.initial_backoff_s {
            return Err(("backoff_most_s", "must be at least backoff_s".into()));
        }
        Ok(())
    }

    /// Returns the backoff after a failed connect that was preceded by `failures` others. `chance`, from 0 to
    /// 1, places it within its randomized half.
    pub(super) fn backoff(&self, failures: u32, chance: f64) -> Duration {
        let doubled = self.initial_backoff_s * 2f64.powi(failures.min(30) as i32);
        let full = doubled.min(self.max_backoff_s);
        span(full * (0.5 + 0.5 * chance.clamp(0.0, 1.0)))
    }
}

/// Converts seconds to a duration. A value that is out of range becomes [`MAX_SPAN_S`].
pub(super) fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs_f64(MAX_SPAN_S))
}
