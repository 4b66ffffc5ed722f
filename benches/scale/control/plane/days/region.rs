//! A region that the others lose for minutes: what is in force there, what it may do, and how it learns afterwards.
use marlgap::cluster::consensus_log::{Command, MAX_VOTERS};
use marlgap::cluster::Configuration;

use super::super::links::{Place, REGIONS};
use super::super::members::seat;
use super::super::workers::GROUP;
use super::*;

/// Cut a region off, with the leader in it or not, make changes meanwhile, and join it again.
pub fn region(day: &'static str, members: &mut Members, play: Play, with_leader: bool) -> Vec<Finding> {
    let Some(leader) = members.leader() else {
        return vec![Finding::new(day, "led before", 0.0, "1", Bound::Least(1.0))];
    };
    let home = members.nodes[leader].place.region;
    let cut = if with_leader { home } else { (home + 1) % REGIONS };
    let inside: Vec<usize> =
        (0..members.nodes.len()).filter(|i| members.nodes[*i].place.region == cut).collect();
    let begun = members.now();
    let before = members.leaders;
    members.links.cut(cut, true);
    let other = |m: &Members| m.leader().is_some_and(|l| m.nodes[l].place.region != cut);
    let mut made = vec![members.change(super::super::sweeps::CHANGE)];
    let led = members.run_until(60 * SECOND, other);
    let leaderless = (members.now() - begun) as f64 / SECOND as f64;
    made.extend(make(members, play));
    members.run(play.away);
    let outside = members.reachable();
    let count = |n: usize| n as f64;
    let mut findings = vec![
        Finding::new(day, "coordinators cut off", count(inside.len()), "1", Bound::None),
        Finding::new(day, "the others are led", f64::from(u8::from(led)), "1", Bound::Least(1.0)),
        Finding::new(day, "until they are", leaderless, "s", Bound::Most(IN_FORCE)),
        Finding::new(day, "elections won", count((members.leaders - before) as usize), "1", Bound::None),
    ];
    findings.extend(in_force(day, "of the others", members, &made, &outside));
    findings.extend(behind(day, members, &inside, &made));
    members.links.cut(cut, false);
    let healed = members.now();
    let told: Vec<u64> = inside.iter().map(|i| members.nodes[*i].traffic.received.bytes).collect();
    findings.extend(ends(day, members, 120 * SECOND));
    let took = (members.now() - healed) as f64 / SECOND as f64;
    let most = inside.iter().zip(&told).map(|(i, b)| members.nodes[*i].traffic.received.bytes - b).max();
    findings.push(Finding::new(
        day,
        "after it is joined, until all is in force there",
        took,
        "s",
        Bound::Most(IN_FORCE),
    ));
    findings.push(Finding::new(
        day,
        "heard by one member meanwhile, most",
        most.unwrap_or(0) as f64,
        "B",
        Bound::None,
    ));
    let everyone = members.reachable();
    let missing = lasts(members, &made, &everyone).iter().filter(|t| t.is_none()).count();
    findings.push(Finding::new(
        day,
        "changes not in force somewhere at the end",
        count(missing),
        "1",
        Bound::Most(0.0),
    ));
    findings
}

/// What those cut off hold, know and may do.
fn behind(day: &'static str, members: &mut Members, inside: &[usize], made: &[usize]) -> Vec<Finding> {
    let has = |i: &usize| made.iter().any(|n| members.changes[*n].at[*i].is_some());
    let ahead = inside.iter().filter(|i| has(i)).count();
    let log = |i: &usize| members.nodes[*i].log.as_ref();
    let sure = inside.iter().filter(|i| log(i).is_some_and(|l| l.leader().is_some())).count();
    let leads = inside.iter().filter(|i| log(i).is_some_and(|l| l.is_leader())).count();
    let newest = |i: &usize| log(i).and_then(|l| l.membership().latest()).map(Configuration::epoch);
    let serves = inside.iter().filter(|i| newest(i).is_some()).count();
    let mut taken = 0;
    for i in inside.iter().copied() {
        let ask = Command::ClosedTimestamp { ms: 1, logical: i as u32 };
        taken += usize::from(members.propose(i, &ask).is_ok());
    }
    let figure = |name: &str, n: usize, bound| Finding::new(day, name, n as f64, "1", bound);
    vec![
        figure("cut-off members that hold a change they were not told", ahead, Bound::Most(0.0)),
        figure("cut-off members that take a change for the log", taken, Bound::Most(0.0)),
        figure("cut-off members that still lead", leads, Bound::Most(0.0)),
        // A learner keeps the leader that it heard last for good: nothing tells it that it is behind.
        figure("cut-off members that still name a leader", sure, Bound::Most(0.0)),
        figure("cut-off members that go on by their last epoch", serves, Bound::None),
    ]
}

/// How many groups of works have a majority within one region: those go on in it while it is cut off.
pub fn groups(members: usize, ids: usize) -> Vec<Finding> {
    const NAME: &str = "region, works";
    let all = (0..members).map(|i| seat(i).member).collect();
    let Ok(config) = Configuration::new(1, all) else { return Vec::new() };
    let region = |name: &str| {
        let number = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        Place::of(number).region
    };
    let (mut within, mut owned) = ([0usize; REGIONS], [0usize; REGIONS]);
    for id in 0..ids {
        let group = config.group(format!("work-{id}").as_bytes(), GROUP);
        let regions: Vec<usize> = group.iter().map(|m| region(&m.id.name)).collect();
        if let Some(owner) = regions.first() {
            owned[*owner] += 1;
        }
        for (r, within) in within.iter_mut().enumerate() {
            *within += usize::from(2 * regions.iter().filter(|x| **x == r).count() > regions.len());
        }
    }
    let share = |n: usize| n as f64 / ids as f64 * 100.0;
    let voters = config.group(b"log", MAX_VOTERS);
    let at = |r: usize| voters.iter().filter(|m| region(&m.id.name) == r).count();
    let most = (0..REGIONS).map(at).max().unwrap_or(0);
    let (worst, owner) =
        (within.iter().max().copied().unwrap_or(0), owned.iter().max().copied().unwrap_or(0));
    vec![
        Finding::new(
            NAME,
            "groups with a majority in one region, worst region",
            share(worst),
            "%",
            Bound::None,
        ),
        Finding::new(
            NAME,
            "groups with a majority in one region, all regions",
            share(within.iter().sum()),
            "%",
            Bound::Most(0.0),
        ),
        Finding::new(NAME, "groups owned by one region, worst region", share(owner), "%", Bound::None),
        Finding::new(NAME, "voters of the log in one region, most", most as f64, "1", Bound::Most(2.0)),
    ]
}
