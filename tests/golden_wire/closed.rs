//! What the holder of a lease says to be closed, as members send it.
use marlgap::cluster::HybridTimestamp;
use marlgap::shard_layout::Told;

use crate::fixtures::{assert_same_bytes, records};

#[test]
fn a_promise_of_closed_time_is_read_and_written_as_stored() {
    let told = Told { lease: 21, index: 4321, closed: HybridTimestamp::new(1_800_000_000_777, 9) };
    let stored = records("closed.txt", &[("promise", told.encode())]);
    let read = Told::decode(&stored["promise"]).expect("a promise");
    assert_eq!(read.lease, 21);
    assert_eq!(read.index, 4321);
    assert_eq!(read.closed, HybridTimestamp::new(1_800_000_000_777, 9));
    assert_same_bytes("promise", &read.encode(), &stored["promise"]);
}
