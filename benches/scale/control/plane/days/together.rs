//! A zone's members vanish with works in hand: the others take them over.
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
