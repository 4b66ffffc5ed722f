//! Days of failures. Each plays on a fleet that is led and quiet, leaves it so, and ends in findings.
mod discovery;
mod log;
mod region;
mod together;

pub use discovery::{lost_zone, ordinary_list, region_list, restarts};
pub use log::{changes, ordinary, rack, whole_restart, zone};
pub use region::{groups, region};
pub use together::{region_works, zone_works};

use super::finding::{Bound, Finding};
use super::links::{Micros, SECOND};
use super::members::Members;
use super::queue::Played;
use super::IN_FORCE;

/// What a day at the log is played with.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Changes that are made, so far apart.
    pub changes: usize,
    pub apart: Micros,
    /// How long whatever fails is away.
    pub away: Micros,
    /// Whether lives that come back at once are admitted, an epoch each: every member copies the roster for each of
    /// them, which takes a simulation of all 1,600 an hour.
    pub admits: bool,
}

/// Seconds from the ask until a change was in force at the last of these members, for each of the changes.
fn lasts(members: &Members, changes: &[usize], whom: &[usize]) -> Vec<Option<f64>> {
    let last = |number: &usize| {
        let change = &members.changes[*number];
        let times: Option<Vec<Micros>> = whom.iter().map(|i| change.at[*i]).collect();
        let last = times?.into_iter().max()?;
        Some(last.saturating_sub(change.asked) as f64 / SECOND as f64)
    };
    changes.iter().map(last).collect()
}

/// The value below which that share lies.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

/// The time until changes were in force at the last of these members, and how many never were.
fn in_force(
    day: &'static str,
    where_: &str,
    members: &Members,
    changes: &[usize],
    whom: &[usize],
) -> Vec<Finding> {
    let all = lasts(members, changes, whom);
    let mut times: Vec<f64> = all.iter().flatten().copied().collect();
    times.sort_by(f64::total_cmp);
    let missing = (all.len() - times.len()) as f64;
    let time = |name: &str, share, bound| {
        let figure = format!("in force at the last member {where_}, {name}");
        Finding::new(day, figure, quantile(&times, share), "s", bound)
    };
    vec![
        Finding::new(day, "changes", changes.len() as f64, "1", Bound::None),
        Finding::new(day, format!("changes not in force somewhere {where_}"), missing, "1", Bound::Most(0.0)),
        time("p50", 0.5, Bound::Most(IN_FORCE)),
        time("p99", 0.99, Bound::Most(IN_FORCE)),
        time("max", 1.0, Bound::Most(IN_FORCE)),
    ]
}

/// How a day at the log has to end: all that run equal, one order, nothing broken.
fn ends(day: &'static str, members: &mut Members, most: Micros) -> Vec<Finding> {
    let begun = members.now();
    let equal = members.run_until(most, |m| m.leader().is_some() && m.all_equal());
    let took = (members.now() - begun) as f64 / SECOND as f64;
    let broken = f64::from(u8::from(members.broken.is_some()));
    vec![
        Finding::new(day, "all members equal at the end", f64::from(u8::from(equal)), "1", Bound::Least(1.0)),
        Finding::new(day, "until all are equal", took, "s", Bound::None),
        Finding::new(day, "two orders, or a log that stopped", broken, "1", Bound::Most(0.0)),
    ]
}

/// Makes changes, so far apart; their numbers.
fn make(members: &mut Members, play: Play) -> Vec<usize> {
    let one = |_| {
        let number = members.change(super::sweeps::CHANGE);
        members.run(play.apart);
        number
    };
    (0..play.changes).map(one).collect()
}
