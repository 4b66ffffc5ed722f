//! What is to happen in the simulated fleet, in order of time.
use marlgap::balancer::interface::Event;

/// An event to come; in a heap, the soonest is the greatest.
pub struct Scheduled {
    /// When, in seconds.
    pub at: f64,
    /// Among those of one time.
    pub order: u64,
    /// To whom.
    pub coordinator: usize,
    /// To which of its processes.
    pub incarnation: u32,
    pub event: ScheduledEvent,
}

pub enum ScheduledEvent {
    /// An event of the module.
    Event(Event),
    /// The next query comes in.
    SendQuery,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.order == other.order
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}
