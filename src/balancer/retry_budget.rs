//! The retry budget, which limits attempts beyond a part's first.
use super::interface::RetryBudget;
use super::state::AttemptReason;
use super::{Balancer, RECENT_SECONDS};

/// Budget used if the settings configure none: a fixed number of attempts plus a fraction of recent
/// arrivals.
pub(super) const DEFAULT_RETRY_BUDGET: RetryBudget =
    RetryBudget { min_attempts: 5.0, ratio: 0.2, window: RECENT_SECONDS };

/// Returns the fraction of the budget available for a reason; the rest is reserved for parts with
/// nothing in flight. If no budget is configured, retries of failed parts are not limited.
fn budget_share(reason: AttemptReason) -> f64 {
    match reason {
        AttemptReason::IdlePairClone => 0.4,
        AttemptReason::Hedge => 0.8,
        AttemptReason::Retry => 1.0,
        AttemptReason::RetryAfterFailure => f64::INFINITY,
    }
}

impl Balancer {
    /// Returns whether another attempt for this reason is within the budget. Prevents retries and
    /// hedges from amplifying an overload.
    pub(super) fn is_within_retry_budget(&mut self, reason: AttemptReason) -> bool {
        let budget = self.settings.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET);
        // Widens the window by two rounds for extra attempts and narrows it by two for arrivals, so
        // that the budget holds whichever round each event fell in.
        let margin = 2.0 * self.settings.round_interval;
        let extra = self.recent.extra_attempts.count_since(self.now - budget.window - margin) + 1.0;
        let received = self.recent.received.count_since(self.now - budget.window + margin);
        // Clones and hedges may use spare capacity, which exists if no query waits for admission.
        let has_spare_capacity = self.open_queries.all_admitted();
        (reason >= AttemptReason::Retry || has_spare_capacity)
            && extra <= (budget.min_attempts + budget.ratio * received) * budget_share(reason)
    }
}
