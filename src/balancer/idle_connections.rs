//! Connections that are dropped unseen while they are idle, as some middleboxes do: an attempt on one goes
//! unanswered though its replica is sound.
use super::Balancer;

/// Seconds unused after which a connection may be dropped unseen.
pub(super) const IDLE_CONNECTION_SECONDS: f64 = 0.3;
/// The least share of unanswered attempts on idle connections that shows that they are dropped.
const IDLE_CONNECTION_LOSS_SHARE: f64 = 0.25;

impl Balancer {
    /// Whether mainly attempts on idle connections go unanswered, so that these are to be renewed.
    pub(super) fn idle_connections_are_dropped(&self) -> bool {
        let [in_use, idle] = self.recent.unanswered_share;
        idle > IDLE_CONNECTION_LOSS_SHARE && idle > 2.0 * in_use
    }
}
