//! Days at discovery: an ordinary day's list, a lost zone, broken watches, restarts, and a region that is cut off.
use super::super::catalogue::Health;
use super::super::links::{Place, MS};
use super::super::watches::Watches;
use super::super::{BYTES, DAY, FAILURES, RESTARTS};
use super::*;

/// What the coordinators were told since a moment: on average and at most, and by discovery to all.
struct Told {
    news: Vec<u64>,
    served: u64,
    whole: u64,
    deltas: u64,
}

impl Told {
    fn of(watches: &Watches) -> Told {
        Told {
            news: watches.watches.iter().map(|w| w.news.bytes).collect(),
            served: watches.served.bytes + watches.asked.bytes,
            whole: watches.watches.iter().map(|w| w.whole).sum(),
            deltas: watches.watches.iter().map(|w| w.deltas).sum(),
        }
    }

    fn since(&self, watches: &Watches) -> Told {
        let now = Told::of(watches);
        let news = now.news.iter().zip(&self.news).map(|(now, before)| now - before).collect();
        let (whole, deltas) = (now.whole - self.whole, now.deltas - self.deltas);
        Told { news, served: now.served - self.served, whole, deltas }
    }

    fn findings(&self, day: &'static str, what: &str) -> Vec<Finding> {
        let most = self.news.iter().max().copied().unwrap_or(0) as f64;
        let f = |name: &str, value: f64, unit| {
            Finding::new(day, format!("{what}: {name}"), value, unit, Bound::None)
        };
        vec![
            f("news to one coordinator, most", most, "B"),
            f("sent and received by discovery", self.served as f64, "B"),
            f("whole lists taken", self.whole as f64, "1"),
            f("changes taken", self.deltas as f64, "1"),
        ]
    }
}

fn told(day: &'static str, what: &str, watches: &mut Watches, most: Micros) -> Finding {
    let took = watches.until_told(most).map_or(f64::INFINITY, |t| t as f64 / SECOND as f64);
    Finding::new(day, format!("{what}: until the last is told"), took, "s", Bound::Most(6.0))
}

fn sound(day: &'static str, watches: &Watches) -> Finding {
    let broken = f64::from(u8::from(watches.broken.is_some()));
    Finding::new(day, "answers that could not be read", broken, "1", Bound::Most(0.0))
}

/// The day's failures and restarts of data nodes, of which `share` are played, ten in a virtual second.
pub fn ordinary_list(watches: &mut Watches, entries: usize, share: f64) -> Vec<Finding> {
    const NAME: &str = "ordinary, list";
    let part = entries as f64 / (entries + watches.watches.len()) as f64;
    let (failures, restarts) =
        ((FAILURES * share * part).ceil() as usize, (RESTARTS * share * part).ceil() as usize);
    let before = Told::of(watches);
    let mut one = |n: usize, steps: &[Health]| {
        for health in steps {
            watches.change([(n * 7_919 + 3) % entries], *health);
            watches.run(100 * MS);
        }
    };
    (0..restarts).for_each(|n| one(n, &[Health::Draining, Health::Removed, Health::Up]));
    (0..failures).for_each(|n| one(restarts + n, &[Health::Removed, Health::Up]));
    let mut findings = vec![told(NAME, "the day", watches, 20 * SECOND)];
    let spent = before.since(watches);
    findings.extend(spent.findings(NAME, "the part that was played"));
    let most = spent.news.iter().max().copied().unwrap_or(0) as f64 / share;
    findings.push(Finding::new(NAME, "news of a whole day to one coordinator", most, "B", Bound::None));
    findings.push(Finding::new(NAME, "news over the day", most / DAY, "B/s", Bound::Most(BYTES)));
    findings.push(sound(NAME, watches));
    findings
}

/// All data nodes of one zone at once, and back.
pub fn lost_zone(watches: &mut Watches, entries: usize) -> Vec<Finding> {
    const NAME: &str = "zone, list";
    let gone: Vec<usize> = (0..entries).filter(|n| Place::of(*n).zone == 7).collect();
    let before = Told::of(watches);
    watches.change(gone.iter().copied(), Health::Removed);
    let mut findings = vec![
        Finding::new(NAME, "data nodes gone at once", gone.len() as f64, "1", Bound::None),
        told(NAME, "lost", watches, 20 * SECOND),
    ];
    let spent = before.since(watches);
    findings.extend(spent.findings(NAME, "lost"));
    let most = spent.news.iter().max().copied().unwrap_or(0) as f64;
    findings.push(Finding::new(
        NAME,
        "seconds of a coordinator's 2 KB/s",
        most / BYTES,
        "s",
        Bound::Most(IN_FORCE),
    ));
    watches.change(gone, Health::Up);
    findings.push(told(NAME, "back", watches, 20 * SECOND));
    findings.push(sound(NAME, watches));
    findings
}

/// Broken watches, a discovery that forgot its changes, one coordinator's restart, and that of all.
pub fn restarts(watches: &mut Watches) -> Vec<Finding> {
    const NAME: &str = "restarts, list";
    let mut findings = Vec::new();
    let mut play = |what: &str, watches: &mut Watches, act: &dyn Fn(&mut Watches)| {
        let before = Told::of(watches);
        act(watches);
        findings.push(told(NAME, what, watches, 30 * SECOND));
        findings.extend(before.since(watches).findings(NAME, what));
    };
    play("all watches broken, one change", watches, &|w| {
        w.reset(false);
        w.run(10 * MS);
        w.change([0], Health::Draining);
    });
    play("discovery begun anew", watches, &|w| {
        w.change([0], Health::Up);
        w.reset(true);
        w.run(10 * MS);
        w.change([1], Health::Draining);
    });
    play("one coordinator", watches, &|w| w.restart(0));
    play("all coordinators", watches, &|w| (0..w.watches.len()).for_each(|i| w.restart(i)));
    findings.push(sound(NAME, watches));
    findings
}

/// A region loses discovery for minutes while data nodes change.
pub fn region_list(watches: &mut Watches, away: Micros) -> Vec<Finding> {
    const NAME: &str = "region, list";
    const CUT: usize = 3;
    watches.links.cut(CUT, true);
    let stale: Vec<Option<u64>> = watches.watches.iter().map(|w| w.seq).collect();
    for n in 0..5 {
        watches.change([n], Health::Draining);
        watches.run(away / 5);
    }
    let inside = |w: &super::super::watches::Watch| w.place.region == CUT;
    let pairs = watches.watches.iter().zip(&stale).filter(|(w, _)| inside(w));
    let ahead = pairs.filter(|(w, before)| w.seq != **before).count() as f64;
    let failed: u64 = watches.watches.iter().filter(|w| inside(w)).map(|w| w.failed).sum();
    let count = watches.watches.iter().filter(|w| inside(w)).count();
    let mut findings = vec![
        Finding::new(NAME, "coordinators cut off", count as f64, "1", Bound::None),
        Finding::new(NAME, "of them with a change that they were not told", ahead, "1", Bound::Most(0.0)),
        Finding::new(
            NAME,
            "failed watches of one, told to the module",
            failed as f64 / count.max(1) as f64,
            "1",
            Bound::Least(1.0),
        ),
    ];
    let before = Told::of(watches);
    watches.links.cut(CUT, false);
    findings.push(told(NAME, "after it is joined", watches, 20 * SECOND));
    findings.extend(before.since(watches).findings(NAME, "after it is joined"));
    findings.push(sound(NAME, watches));
    findings
}
