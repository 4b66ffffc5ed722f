//! Health checks, which are sent to have load reports where these come in no other way.
use super::interface::{Action, LoadReporting};
use super::{Balancer, RECENT_SECONDS};

/// Health checks stay under this share of recent parts.
const HEALTH_CHECK_SHARE: f64 = 0.1;
/// Least seconds between health checks of one replica.
const HEALTH_CHECK_INTERVAL_SECONDS: f64 = 0.3;

impl Balancer {
    /// Check the replica that was not checked for longest, if that is due and within the share.
    pub(super) fn send_health_check(&mut self) {
        let now = self.now;
        let allowed = HEALTH_CHECK_SHARE * self.recent.parts.count_since(now - RECENT_SECONDS);
        let wanted =
            self.settings.health_checks && self.settings.load_reporting == LoadReporting::OnHealthCheck;
        if !wanted || self.recent.health_checks.count_since(now - RECENT_SECONDS) + 1.0 > allowed {
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
