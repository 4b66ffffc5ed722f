//! Closed-timestamp promises, as members send them.
use marlgap::cluster::HybridTimestamp;
use marlgap::shard_layout::ClosedTimestampPromise;

use crate::fixtures::{assert_same_bytes, records};

#[test]
fn a_closed_timestamp_promise_is_read_and_written_as_stored() {
    let promise =
        ClosedTimestampPromise { lease: 21, index: 4321, closed: HybridTimestamp::new(1_800_000_000_777, 9) };
    let stored = records("closed.txt", &[("promise", promise.encode())]);
    let read = ClosedTimestampPromise::decode(&stored["promise"]).expect("a promise");
    assert_eq!(read.lease, 21);
    assert_eq!(read.index, 4321);
    assert_eq!(read.closed, HybridTimestamp::new(1_800_000_000_777, 9));
    assert_same_bytes("promise", &read.encode(), &stored["promise"]);
}
