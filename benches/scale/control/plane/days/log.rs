//! Days at the log: changes alone, an ordinary day's failures, a rack, a zone, and all at once.
use super::super::{CHANGES_A_DAY, DAY};
use super::*;

/// Coordinators of one rack: of 40 machines as many as of all.
const RACK: usize = 5;

fn rate(day: &'static str, play: Play) -> Finding {
    let times = SECOND as f64 / play.apart as f64 / (CHANGES_A_DAY / DAY);
    Finding::new(day, "rate of changes, times the day's", times, "1", Bound::None)
}

/// Changes alone.
pub fn changes(members: &mut Members, play: Play) -> Vec<Finding> {
    const NAME: &str = "changes";
    let made = make(members, play);
    members.run(2 * SECOND);
    let everyone = members.reachable();
    let mut findings = vec![rate(NAME, play)];
    findings.extend(in_force(NAME, "of all", members, &made, &everyone));
    findings.extend(ends(NAME, members, 20 * SECOND));
    findings
}

/// Coordinators that fail or are restarted one after the other while changes go on; every fifth comes back on another
/// machine, without its disk.
pub fn ordinary(members: &mut Members, play: Play, failures: usize) -> Vec<Finding> {
    const NAME: &str = "ordinary";
    let count = members.nodes.len();
    let (mut made, mut touched) = (Vec::new(), Vec::new());
    for n in 0..failures {
        // A fixed walk over the members; whoever leads stays, as on all but one day in twenty.
        let at = (n * 37 + 11) % count;
        let at = if members.leader() == Some(at) { (at + 1) % count } else { at };
        members.kill(at);
        touched.push(at);
        made.extend(make(members, play));
        members.run(play.away);
        members.start(at, n % 5 != 4);
        members.run(play.away);
    }
    let mut findings = vec![rate(NAME, play)];
    findings.push(Finding::new(NAME, "coordinators away for a while", failures as f64, "1", Bound::None));
    let others: Vec<usize> = (0..count).filter(|i| !touched.contains(i)).collect();
    findings.extend(ends(NAME, members, 120 * SECOND));
    findings.extend(in_force(NAME, "that stayed up", members, &made, &others));
    let missed = missed(members, &made);
    findings.push(Finding::new(
        NAME,
        "changes that a member has not got after",
        missed,
        "1",
        Bound::Most(0.0),
    ));
    findings
}

/// Pairs of a change and a member that runs and has not got it. One that was told by a snapshot has.
fn missed(members: &Members, made: &[usize]) -> f64 {
    let newest = made.iter().filter_map(|n| members.changes[*n].index).max().unwrap_or(0);
    let not_made = made.iter().filter(|n| members.changes[**n].index.is_none()).count();
    let behind = members.nodes.iter().filter(|n| n.log.is_some() && n.state.0 < newest).count();
    (not_made + behind) as f64
}

/// A rack: some coordinators of one zone at once, and back.
pub fn rack(members: &mut Members, play: Play) -> Vec<Finding> {
    let of_zone = |i: &usize| members.nodes[*i].place.zone == 4;
    let gone: Vec<usize> = (0..members.nodes.len()).filter(of_zone).take(RACK).collect();
    at_once("rack", members, play, gone)
}

/// A zone: the one that the leader stands in, all its coordinators at once, and back.
pub fn zone(members: &mut Members, play: Play) -> Vec<Finding> {
    let zone = members.leader().map(|i| members.nodes[i].place.zone);
    let gone = (0..members.nodes.len()).filter(|i| Some(members.nodes[*i].place.zone) == zone).collect();
    at_once("zone", members, play, gone)
}

fn at_once(day: &'static str, members: &mut Members, play: Play, gone: Vec<usize>) -> Vec<Finding> {
    let begun = members.now();
    let led = members.leader().is_some_and(|l| gone.contains(&l));
    gone.iter().for_each(|i| members.kill(*i));
    let mut made = vec![members.change(super::super::sweeps::CHANGE)];
    members.run_until(60 * SECOND, |m| m.leader().is_some());
    let leaderless = (members.now() - begun) as f64 / SECOND as f64;
    made.extend(make(members, play));
    members.run(play.away);
    let others = members.reachable();
    let mut findings = vec![
        Finding::new(day, "coordinators gone at once", gone.len() as f64, "1", Bound::None),
        Finding::new(day, "the leader among them", f64::from(u8::from(led)), "1", Bound::None),
        Finding::new(day, "until another leads", leaderless, "s", Bound::Most(IN_FORCE)),
    ];
    findings.extend(in_force(day, "that stayed up", members, &made, &others));
    members.admits = play.admits;
    let back = members.now();
    gone.iter().for_each(|i| members.start(*i, true));
    findings.extend(ends(day, members, 600 * SECOND));
    members.admits = true;
    findings.push(Finding::new(
        day,
        "lives admitted after",
        if play.admits { gone.len() as f64 } else { 0.0 },
        "1",
        Bound::None,
    ));
    if !play.admits {
        members.forget_waiting();
    }
    let took = (members.now() - back) as f64 / SECOND as f64;
    findings.push(Finding::new(day, "until those that came back have all", took, "s", Bound::None));
    findings.push(Finding::new(
        day,
        "changes that a member has not got after",
        missed(members, &made),
        "1",
        Bound::Most(0.0),
    ));
    findings
}

/// All members end at once and start again with their disks.
pub fn whole_restart(members: &mut Members, play: Play) -> Vec<Finding> {
    const NAME: &str = "whole restart";
    let all: Vec<usize> = (0..members.nodes.len()).collect();
    all.iter().for_each(|i| members.kill(*i));
    members.run(SECOND);
    members.admits = play.admits;
    let begun = members.now();
    all.iter().for_each(|i| members.start(*i, true));
    let led = members.run_until(60 * SECOND, |m| m.leader().is_some());
    let leads = (members.now() - begun) as f64 / SECOND as f64;
    let mut findings = vec![
        Finding::new(NAME, "led again", f64::from(u8::from(led)), "1", Bound::Least(1.0)),
        Finding::new(NAME, "until one leads", leads, "s", Bound::Most(IN_FORCE)),
    ];
    findings.extend(ends(NAME, members, 600 * SECOND));
    members.admits = true;
    if !play.admits {
        members.forget_waiting();
    }
    let waited = if play.admits { all.len() as f64 } else { 0.0 };
    findings.push(Finding::new(NAME, "lives admitted after", waited, "1", Bound::None));
    let made = make(members, play);
    members.run(3 * SECOND);
    let everyone = members.reachable();
    findings.extend(in_force(NAME, "of all", members, &made, &everyone));
    findings
}
