//! Discovery along its entries and its watches.
use super::super::catalogue::{Catalogue, Health};
use super::super::finding::{Spec, Sweeps};
use super::super::links::SECOND;
use super::super::queue::Played;
use super::super::watches::Watches;
use super::super::{BYTES, COORDINATORS, DATA_NODES, SEED};

const WATCH: &str = "src/net/discovery/mod.rs";
const LIST: Spec = Spec {
    role: "discovery",
    figure: "the whole list",
    axis: "data nodes listed",
    unit: "B",
    exact: true,
    target: DATA_NODES,
    bound: Some((4 << 20) as f64),
    carried_by: WATCH,
    note: "MOST_LIST; the protocol's page says 64 KiB of a body",
};
const CHANGE: Spec = Spec { figure: "one changed entry", bound: None, note: "", ..LIST };
const ZONE: Spec = Spec { figure: "a fifteenth of the entries at once", bound: None, note: "", ..LIST };

/// Bytes of an answer, by entries.
pub fn entries(sizes: &[usize]) -> Sweeps {
    let mut sweeps = Sweeps::default();
    for size in sizes.iter().copied() {
        let mut catalogue = Catalogue::new(size);
        sweeps.point(&LIST, size as f64, catalogue.answer(None).len() as f64);
        catalogue.change([0], Health::Draining, 0);
        let seq = Some(catalogue.seq - 1);
        sweeps.point(&CHANGE, size as f64, catalogue.answer(seq).len() as f64);
        catalogue.change((0..size).step_by(15), Health::Removed, 0);
        let seq = Some(catalogue.seq - 1);
        sweeps.point(&ZONE, size as f64, catalogue.answer(seq).len() as f64);
    }
    sweeps
}

const SERVED: Spec = Spec {
    role: "discovery",
    figure: "idle, sent and received",
    axis: "watches",
    unit: "B/s",
    exact: true,
    target: COORDINATORS,
    bound: None,
    carried_by: WATCH,
    note: "a call every 2 s from each (POLL_WAIT in watch_policy.rs)",
};
const CALLS: Spec = Spec { figure: "idle, calls", unit: "1/s", ..SERVED };
const IDLE: Spec =
    Spec { role: "coordinator", figure: "idle watch, sent and received", bound: Some(BYTES), ..SERVED };
const ONE: Spec = Spec { figure: "one changed entry to all", unit: "B", note: "", ..SERVED };

/// What the watches cost, by their number.
pub fn watches(sizes: &[usize], entries: usize) -> Sweeps {
    let mut sweeps = Sweeps::default();
    for size in sizes.iter().copied() {
        let mut all = Watches::new(size, entries, SEED);
        all.run(10 * SECOND);
        let (asked, served, mine) = (all.asked, all.served, all.watches[0].traffic);
        all.run(20 * SECOND);
        let bytes = (all.asked - asked).bytes + (all.served - served).bytes;
        sweeps.point(&SERVED, size as f64, bytes as f64 / 20.0);
        sweeps.point(&CALLS, size as f64, (all.asked - asked).messages as f64 / 20.0);
        sweeps.point(&IDLE, size as f64, (all.watches[0].traffic - mine).bytes() as f64 / 20.0);
        let before: u64 = all.watches.iter().map(|w| w.news.bytes).sum();
        all.change([1], Health::Draining);
        all.run(SECOND);
        let after: u64 = all.watches.iter().map(|w| w.news.bytes).sum();
        sweeps.point(&ONE, size as f64, (after - before) as f64);
    }
    sweeps
}
