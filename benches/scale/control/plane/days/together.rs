//! Members vanish, or are cut off, with works in hand: who takes them over, and who may go on with what.
use super::super::workers::Workers;
use super::super::SEED;
use super::*;

/// The zone that is lost.
const ZONE: usize = 7;

/// So many members with so many works each lose a zone.
pub fn zone_works(count: usize, works: u64) -> Vec<Finding> {
    const NAME: &str = "zone, works";
    let mut workers = match Workers::new(count, works, SEED) {
        Ok(workers) => workers,
        Err(_) => return vec![Finding::new(NAME, "a configuration", 0.0, "1", Bound::Least(1.0))],
    };
    workers.run(2 * SECOND);
    let quiet = workers.load(SECOND);
    let before = workers.taken_over.len();
    let at = workers.now();
    let gone = workers.kill(|p| p.zone == ZONE);
    let owned = workers.owned(|p| p.zone == ZONE) as f64;
    let busy = workers.load(2 * SECOND);
    let taken = (workers.taken_over.len() - before) as f64;
    let last = workers.taken_over.values().max().copied().unwrap_or(at).saturating_sub(at);
    let broken = f64::from(u8::from(workers.broken.is_some()));
    let all = count as f64;
    let left = all - gone as f64;
    vec![
        Finding::new(NAME, "works in hand", workers.started as f64, "1", Bound::Least(all * works as f64)),
        Finding::new(NAME, "members gone at once", gone as f64, "1", Bound::None),
        Finding::new(NAME, "works that they owned", owned, "1", Bound::None),
        Finding::new(NAME, "of them taken over", taken, "1", Bound::Least(owned)),
        Finding::new(NAME, "until the last was", last as f64 / SECOND as f64, "s", Bound::Most(IN_FORCE)),
        Finding::new(NAME, "taken over before", before as f64, "1", Bound::Most(0.0)),
        Finding::new(
            NAME,
            "a member before, on average",
            quiet.bytes,
            "B/s",
            Bound::Most(super::super::BYTES),
        ),
        Finding::new(
            NAME,
            "a member that is left, 2 s after, on average",
            busy.bytes * all / left,
            "B/s",
            Bound::Most(super::super::BYTES),
        ),
        Finding::new(NAME, "frames that could not be read", broken, "1", Bound::Most(0.0)),
    ]
}

/// So many members with so many works each lose a region for some seconds.
pub fn region_works(count: usize, works: u64) -> Vec<Finding> {
    const NAME: &str = "region, works in hand";
    const CUT: usize = 1;
    let Ok(mut workers) = Workers::new(count, works, SEED) else {
        return vec![Finding::new(NAME, "a configuration", 0.0, "1", Bound::Least(1.0))];
    };
    workers.run(2 * SECOND);
    let owned = workers.owned(|p| p.region == CUT) as f64;
    workers.links.cut(CUT, true);
    let mut twice = 0;
    // Looked at each 20 ms: a lease is 300 ms, and a takeover begins just after it.
    for _ in 0..150 {
        workers.run(20_000);
        twice += workers.holding(|_| true).values().filter(|n| **n > 1).count();
    }
    let inside = workers.holding(|p| p.region == CUT).len() as f64;
    let outside = workers.holding(|p| p.region != CUT).len() as f64;
    let total = workers.started as f64;
    workers.links.cut(CUT, false);
    workers.run(3 * SECOND);
    let after = workers.holding(|_| true);
    let more = after.values().filter(|n| **n > 1).count() as f64;
    let figure = |name: &str, n: f64, bound| Finding::new(NAME, name, n, "1", bound);
    vec![
        figure("works in hand", total, Bound::None),
        figure("of them owned in the region that is cut off", owned, Bound::None),
        figure("held by two at one moment", twice as f64, Bound::Most(0.0)),
        figure("held within it after 3 s", inside, Bound::None),
        figure("held outside after 3 s", outside, Bound::None),
        figure("held by nobody after 3 s", total - inside - outside, Bound::Most(0.0)),
        figure("held by two after it is joined", more, Bound::Most(0.0)),
        figure("held by nobody 3 s after it is joined", total - after.len() as f64, Bound::Most(0.0)),
    ]
}
