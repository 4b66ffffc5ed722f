//! Checks the rule on drains that do not arrive: what discovery has counts as notified after a fixed time, and so
//! does what a silent watch misses.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::oracle::{DRAIN_GRACE, MACHINE_DELAY};
use crate::record::{coordinator_of, Event, TimedEvent};

/// The time after which a change counts as notified, and the time after which a silent watch has missed it.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The time from the start of a process after which its first call has failed or was given up. Changes that
/// were made earlier do not count as notified to it before.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// The state of discovery at some moment, in order of the events.
#[derive(Default)]
struct DiscoveryState {
    draining_since: BTreeMap<usize, Instant>,
    hanging_since: Option<Instant>,
    /// The last time at which discovery was down; `None` if it never was.
    last_down: Option<Instant>,
    is_down: bool,
    /// When the current process of each coordinator started.
    started: BTreeMap<usize, Instant>,
}

impl DiscoveryState {
    fn update(&mut self, at: Instant, event: &Event) {
        match event {
            Event::DrainMade { node, drains: true } => {
                self.draining_since.entry(*node).or_insert(at);
            }
            Event::DrainMade { node, drains: false } => drop(self.draining_since.remove(node)),
            Event::DiscoveryHangs { hangs } => self.hanging_since = hangs.then_some(at),
            Event::DiscoveryDown { down } => {
                self.is_down = *down;
                self.last_down = Some(at);
            }
            Event::Started { coordinator } => drop(self.started.insert(*coordinator, at)),
            _ => {}
        }
    }

    /// Returns when the drain of a node counts as notified to a coordinator, although it has not arrived.
    fn notified_at(&self, coordinator: usize, node: usize) -> Option<Instant> {
        let since = *self.draining_since.get(&node)?;
        if self.is_down {
            return None;
        }
        let reachable_since = self.last_down.map_or(since, |down| since.max(down));
        let made = reachable_since + NOTIFIED_WITHIN;
        let silent = self.hanging_since.map(|at| reachable_since.max(at + NOTIFIED_WITHIN));
        let notified_at = silent.map_or(made, |silent| silent.min(made));
        let first_call_over = self.started.get(&coordinator).map(|at| *at + FIRST_CALL_TIMEOUT);
        Some(first_call_over.map_or(notified_at, |over| notified_at.max(over)))
    }
}

/// Finds the parts that were sent to a data node although its drain, which had not arrived, counted as notified.
pub fn check(events: &[TimedEvent], errors: &mut Vec<String>) {
    let mut state = DiscoveryState::default();
    for (at, event) in events {
        state.update(*at, event);
        let Event::Began { part, node, first, .. } = event else { continue };
        let notified_at = state.notified_at(coordinator_of(part), *node);
        if notified_at.is_some_and(|notified_at| *first > notified_at + DRAIN_GRACE + MACHINE_DELAY) {
            errors.push(format!("missed drain: {part} sent to {node}"));
        }
    }
}

/// Returns the number of drains that came to count as notified while discovery told nobody, over all
/// coordinators.
pub fn notified(events: &[TimedEvent]) -> u64 {
    let mut state = DiscoveryState::default();
    let mut count = 0;
    for (at, event) in events {
        if let Event::DrainMade { node, drains: false } = event {
            let missed = |coordinator: &&usize| {
                let notified_at = state.notified_at(**coordinator, *node);
                notified_at.is_some_and(|notified_at| *at > notified_at + DRAIN_GRACE)
            };
            count += state.started.keys().filter(missed).count() as u64;
        }
        state.update(*at, event);
    }
    count
}
