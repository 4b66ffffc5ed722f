//! When a replica started, although wall clocks may have been stepped.
//!
//! The endpoint list gives a start as a time of the replica's wall clock, which may differ from ours by an
//! hour. Our own monotonic clock bounds it from both sides: a replica that is listed has started, and an
//! earlier list without it was made before it was announced.

/// How long a start may remain unlisted, in seconds: whatever discovery has to announce counts as notified
/// that much later.
const DISCOVERY_DELAY_S: f64 = 6.0;

/// What is known of the start of a replica, in seconds of our own monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct StartObservation {
    /// The listed start, converted by the difference of the two wall clocks.
    pub by_wall_clock: f64,
    /// The present, at which the replica is listed for the first time.
    pub now: f64,
    /// When the last list arrived that did not contain this start, if there was one.
    pub last_list_without: Option<f64>,
}

/// When the replica started, in seconds of our own monotonic clock; never too early, since an early start
/// would end its slow start too soon.
///
/// A wall-clock time outside the bounds shows that the wall clocks disagree, and is ignored: the replica then
/// counts as started at this moment.
pub fn estimate_start(observation: StartObservation) -> f64 {
    let StartObservation { by_wall_clock, now, last_list_without } = observation;
    let earliest = last_list_without.map_or(f64::NEG_INFINITY, |at| at - DISCOVERY_DELAY_S);
    if (earliest..=now).contains(&by_wall_clock) {
        by_wall_clock
    } else {
        now
    }
}

/// Whether a listed start differs from the known one, both in Unix milliseconds; 0 stands for a start long
/// ago.
///
/// Their order does not matter: the replica's wall clock may have been stepped back in between.
pub fn is_restart(listed_ms: u64, known_ms: u64) -> bool {
    listed_ms > 0 && listed_ms != known_ms
}
