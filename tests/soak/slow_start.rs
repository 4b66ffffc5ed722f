//! The rule on data nodes in slow start, as a check of what happened: what they get in any overload window stays
//! within what the settings allow them then.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::record::{coordinator_of, Happened, What};

/// How long a data node warms up.
pub const RAMP: Duration = Duration::from_secs(3);
/// Its share of its capacity at the start.
const INITIAL_CAPACITY: f64 = 0.05;
/// It falls at more than so many times its capacity...
const OVERLOAD_FACTOR: f64 = 1.2;
/// ...for so long.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(500);
/// Under so many parts the budget has more room for chance.
const FEW: f64 = 30.0;

/// The rule as the configuration gives it.
pub fn settings() -> String {
    format!(
        r#""ColdFrom":{INITIAL_CAPACITY},"RampTimeS":{},"TipMultiple":{OVERLOAD_FACTOR},"TipAfterS":{}"#,
        RAMP.as_secs_f64(),
        OVERLOAD_WINDOW.as_secs_f64()
    )
}

/// The budget of an overload window in which a warm data node serves so many parts, at an age.
fn budget(warm: f64, age: Duration) -> f64 {
    let ramped = (age.as_secs_f64() / RAMP.as_secs_f64()).min(1.0);
    let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * ramped;
    let allowed = OVERLOAD_FACTOR * capacity * warm;
    let slack = if allowed < FEW { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
    allowed + slack
}

/// The parts that came to each data node, and when; of them, whose coordinator had been told of its last start.
struct Arrivals {
    all: BTreeMap<usize, Vec<Instant>>,
    told: BTreeMap<usize, Vec<Instant>>,
    starts: Vec<(Instant, usize)>,
}

impl Arrivals {
    fn of(happened: &[Happened]) -> Arrivals {
        let mut arrivals = Arrivals { all: BTreeMap::new(), told: BTreeMap::new(), starts: Vec::new() };
        let mut knows: BTreeMap<(usize, usize), bool> = BTreeMap::new();
        for (at, what) in happened {
            match what {
                What::NodeStarted { node } => {
                    arrivals.starts.push((*at, *node));
                    knows.retain(|(_, known), _| known != node);
                }
                What::ToldStart { coordinator, node } => drop(knows.insert((*coordinator, *node), true)),
                What::Started { coordinator } => knows.retain(|(knowing, _), _| knowing != coordinator),
                What::Began { part, node, first, .. } => {
                    arrivals.all.entry(*node).or_default().push(*first);
                    if knows.contains_key(&(coordinator_of(part), *node)) {
                        arrivals.told.entry(*node).or_default().push(*first);
                    }
                }
                _ => {}
            }
        }
        arrivals.all.values_mut().chain(arrivals.told.values_mut()).for_each(|times| times.sort());
        arrivals
    }

    fn within(times: Option<&Vec<Instant>>, from: Instant) -> usize {
        let Some(times) = times else { return 0 };
        let before = |until: Instant| times.partition_point(|at| *at < until);
        before(from + OVERLOAD_WINDOW) - before(from)
    }

    /// What a warm data node serves in a window, at its best: other troubles take from what they get, and nothing from
    /// what they could serve.
    fn warm_throughput(&self, but: usize) -> f64 {
        let warm = |(node, times): (&usize, &Vec<Instant>)| {
            let busiest = times.iter().map(|at| Arrivals::within(Some(times), *at)).max();
            (*node != but).then_some(busiest.unwrap_or(0))
        };
        self.all.iter().filter_map(warm).max().unwrap_or(0) as f64
    }
}

/// Each window in which a data node in slow start got more than its budget from coordinators that knew of its start.
pub fn breaks(happened: &[Happened], breaks: &mut Vec<String>) {
    let arrivals = Arrivals::of(happened);
    for (started, node) in &arrivals.starts {
        let warm = arrivals.warm_throughput(*node);
        let Some(times) = arrivals.told.get(node) else { continue };
        for from in times.iter().filter(|at| (*started..*started + RAMP).contains(*at)) {
            let sent = Arrivals::within(Some(times), *from);
            let allowed = budget(warm, *from + OVERLOAD_WINDOW - *started);
            if sent as f64 > allowed {
                let age = from.duration_since(*started);
                breaks.push(format!(
                    "slow start: {sent} parts sent to {node} at {age:?}, {allowed:.0} allowed"
                ));
            }
        }
    }
}
