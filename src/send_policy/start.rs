//! When a replica started, where wall clocks may have been stepped.
//!
//! Its start is listed as a time of its machine's wall clock, and ours may be another one by an hour. What was seen on our
//! own clock, which only goes forward, bounds it from both sides: it is listed, so it has started; and a list that
//! came before did not have this start.

/// How long a start may go unlisted: whatever discovery has to tell counts as notified that much later, in seconds.
const NOTIFIED_WITHIN: f64 = 6.0;

/// What is known of a start, in seconds on our own clock.
#[derive(Clone, Copy, Debug)]
pub struct StartObservation {
    /// What the two wall clocks say.
    pub by_wall_clock: f64,
    /// Now, when it is listed first.
    pub now: f64,
    /// When a list came last that did not have it, if one did.
    pub last_list_without: Option<f64>,
}

/// When it started, or rather later: guards the rule on cold replicas. A time that the bounds rule out shows that the
/// wall clocks disagree, and says nothing; then it has just started.
pub fn estimate_start(notice: StartObservation) -> f64 {
    let StartObservation { by_wall_clock, now, last_list_without } = notice;
    let earliest = last_list_without.map_or(f64::NEG_INFINITY, |at| at - NOTIFIED_WITHIN);
    match (earliest..=now).contains(&by_wall_clock) {
        true => by_wall_clock,
        false => now,
    }
}

/// Whether a listed start, in Unix ms, is another one than the one that was known; 0 is one of long ago. Whichever of the
/// two is the greater number: its machine's wall clock may have been stepped in between.
pub fn is_restart(listed_ms: u64, known_ms: u64) -> bool {
    listed_ms > 0 && listed_ms != known_ms
}
