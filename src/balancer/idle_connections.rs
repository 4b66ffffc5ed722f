//! Detection of connections that a middlebox drops silently while they are idle. An attempt on such a
//! connection gets no answer although its replica is healthy.
use super::Balancer;

/// Idle time, in seconds, after which a connection may have been dropped silently.
pub(super) const IDLE_CONNECTION_SECONDS: f64 = 0.3;
/// Minimum fraction of unanswered attempts on idle connections from which these connections are
/// considered dropped.
const IDLE_CONNECTION_LOSS_SHARE: f64 = 0.25;

impl Balancer {
    /// Returns whether attempts go unanswered mostly on connections that had been idle. Idle
    /// connections should then be closed before the next attempt.
    pub(super) fn idle_connections_are_dropped(&self) -> bool {
        let [in_use, idle] = self.recent.unanswered_share;
        idle > IDLE_CONNECTION_LOSS_SHARE && idle > 2.0 * in_use
    }
}
