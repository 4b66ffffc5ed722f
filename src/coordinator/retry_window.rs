//! When the attempts of a part were decided, in a class whose replicas drop a repeat for a while only.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::balancer::interface::Outcome;

/// What the look before a write stays under a window, as the module does: for the write itself.
const MARGIN: Duration = Duration::from_millis(10);

/// The attempts of a part that are not proved never to have run.
pub struct RetryWindow {
    window: Duration,
    begun: RefCell<Vec<(u8, Instant)>>,
}

impl RetryWindow {
    pub fn within(window: f64) -> Rc<RetryWindow> {
        let window = Duration::try_from_secs_f64(window).unwrap_or(Duration::MAX).saturating_sub(MARGIN);
        Rc::new(RetryWindow { window, begun: RefCell::default() })
    }

    pub fn decided(&self, attempt: u8, now: Instant) {
        self.begun.borrow_mut().push((attempt, now));
    }

    pub fn ended(&self, attempt: u8, outcome: Outcome) {
        if outcome.never_ran() {
            self.begun.borrow_mut().retain(|(n, _)| *n != attempt);
        }
    }

    /// Whether another attempt that may have run was decided so long ago. Counted from there, not from when it was
    /// written, which errs on the safe side. The first one too: behind a repeat that was written before it, it is one.
    pub fn too_late(&self, attempt: u8, now: Instant) -> bool {
        let late = |at: &Instant| now.saturating_duration_since(*at) >= self.window;
        self.begun.borrow().iter().any(|(n, at)| *n != attempt && late(at))
    }
}
