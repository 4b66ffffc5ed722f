//! Health checks, sent to obtain load reports where answers do not carry them.
use super::interface::{Action, LoadReporting};
use super::{Balancer, RECENT_SECONDS};

/// Upper bound on health checks as a fraction of recent parts.
const HEALTH_CHECK_SHARE: f64 = 0.1;
/// Minimum interval between health checks of one replica, in seconds.
const HEALTH_CHECK_INTERVAL_SECONDS: f64 = 0.3;

impl Balancer {
    /// Checks the replica whose last health check is the oldest, if one is due and within the
    /// limit.
    pub(super) fn send_health_check(&mut self) {
        let now = self.now;
        let allowed = HEALTH_CHECK_SHARE * self.recent.parts.count_since(now - RECENT_SECONDS);
        let uses_health_checks =
            self.settings.health_checks && self.settings.load_reporting == LoadReporting::OnHealthCheck;
        if !uses_health_checks || self.recent.health_checks.count_since(now - RECENT_SECONDS) + 1.0 > allowed
        {
            return;
        }
        let is_due = |checked_at: f64| now - checked_at >= HEALTH_CHECK_INTERVAL_SECONDS;
        let Some(replica) = self.replica_index.by_health_check.pop_due(is_due) else { return };
        self.replica_index.by_health_check.set(replica, now);
        self.replicas.entry(replica).and_modify(|r| r.last_health_check_at = now);
        self.recent.health_checks.record(now);
        self.actions.push(Action::HealthCheck { replica });
    }
}
