//! What is to happen in the simulated fleet, in order of time.
use marlgap::balancer::interface::Event;

/// An event to come, the soonest first.
pub struct Due(pub f64, pub u64, pub usize, pub u32, pub What);

pub enum What {
    Event(Event),
    Ask,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.1 == other.1
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}
