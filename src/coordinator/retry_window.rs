//! When the attempts of a part were decided, in a class whose replicas deduplicate a retry for a while only.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::balancer::interface::Outcome;

/// How far the check before a write stays within a window, as the module does: for the write itself.
const WRITE_MARGIN: Duration = Duration::from_millis(10);

/// The attempts of a part that are not proved never to have run.
pub(super) struct RetryWindow {
    window: Duration,
    attempts: RefCell<Vec<StartedAttempt>>,
}

struct StartedAttempt {
    number: u8,
    decided_at: Instant,
}

impl RetryWindow {
    /// A window of so many seconds, without attempts.
    pub fn new(window_seconds: f64) -> Rc<RetryWindow> {
        let window = Duration::try_from_secs_f64(window_seconds).unwrap_or(Duration::MAX);
        let window = window.saturating_sub(WRITE_MARGIN);
        Rc::new(RetryWindow { window, attempts: RefCell::default() })
    }

    /// An attempt of this number was decided `now`.
    pub fn record_start(&self, number: u8, now: Instant) {
        self.attempts.borrow_mut().push(StartedAttempt { number, decided_at: now });
    }

    /// Forget the attempt if it is proved never to have run.
    pub fn record_outcome(&self, number: u8, outcome: Outcome) {
        if outcome.never_ran() {
            self.attempts.borrow_mut().retain(|attempt| attempt.number != number);
        }
    }

    /// Whether another attempt that may have run was decided so long ago. Counted from its decision, not from its
    /// write, which errs on the safe side. This holds for the first attempt too: after a retry that was written before
    /// it, it is the retry.
    pub fn is_past(&self, number: u8, now: Instant) -> bool {
        self.attempts.borrow().iter().any(|attempt| {
            attempt.number != number && now.saturating_duration_since(attempt.decided_at) >= self.window
        })
    }
}
