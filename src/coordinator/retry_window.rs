//! The retry window of a part, for classes whose replicas deduplicate retries only for a limited
//! time.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::balancer::interface::Outcome;

/// Subtracted from the window to allow for the write itself; equal to the balancer's deadline margin.
const WRITE_MARGIN: Duration = Duration::from_millis(10);

/// The start times of those attempts of a part that are not proved never to have run.
pub(super) struct RetryWindow {
    window: Duration,
    attempts: RefCell<Vec<StartedAttempt>>,
}

struct StartedAttempt {
    number: u8,
    decided_at: Instant,
}

impl RetryWindow {
    /// Creates a window of `window_seconds` without attempts.
    pub fn new(window_seconds: f64) -> Rc<RetryWindow> {
        let window = Duration::try_from_secs_f64(window_seconds).unwrap_or(Duration::MAX);
        let window = window.saturating_sub(WRITE_MARGIN);
        Rc::new(RetryWindow { window, attempts: RefCell::default() })
    }

    /// Records that attempt `number` was decided at `now`.
    pub fn record_start(&self, number: u8, now: Instant) {
        self.attempts.borrow_mut().push(StartedAttempt { number, decided_at: now });
    }

    /// Forgets the attempt if its outcome proves that it never ran.
    pub fn record_outcome(&self, number: u8, outcome: Outcome) {
        if outcome.never_ran() {
            self.attempts.borrow_mut().retain(|attempt| attempt.number != number);
        }
    }

    /// Returns whether an attempt other than `number` that may have run was decided at least one
    /// window ago. The window starts at the decision to send that attempt, which is never later than
    /// the write.
    ///
    /// The check applies to the first attempt too: if a retry was written before it, the first
    /// attempt is the one that repeats.
    pub fn is_past(&self, number: u8, now: Instant) -> bool {
        self.attempts.borrow().iter().any(|attempt| {
            attempt.number != number && now.saturating_duration_since(attempt.decided_at) >= self.window
        })
    }
}
