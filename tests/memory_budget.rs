//! The budget of the memory that peers make the process hold: what fits, what is reclaimed and what is refused.
use std::time::{Duration, Instant};

use futures_lite::future;
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::net::memory_budget::{MemoryBudget, MemoryExhausted};

const LIMIT: usize = 1000;
/// Longer than a lease is kept although others need its memory.
const LONG_AGO: Duration = Duration::from_millis(60);

/// Guards against a bound for each connection that is not a bound for all of them together.
#[test]
fn all_leases_together_stay_within_the_limit() {
    let (budget, now) = (MemoryBudget::new(LIMIT), Instant::now());
    let leases: Vec<_> = (0..10).map(|_| budget.lease()).collect();
    let fitting = leases.iter().filter(|lease| lease.resize(300, now).is_ok()).count();
    assert_eq!((fitting, budget.counts().used, budget.counts().refused), (3, 900, 7));
    assert_eq!(leases[0].resize(400, now), Ok(()));
    assert_eq!(leases[0].resize(401, now), Err(MemoryExhausted));
    assert_eq!(budget.counts().used, LIMIT, "a refused lease keeps its size");
    drop(leases);
    assert_eq!((budget.counts().used, budget.counts().peak), (0, LIMIT));
}

/// Guards against clients that stall with large requests and thereby keep others from being served.
#[test]
fn the_lease_that_stalls_for_longest_is_reclaimed_first() {
    let (budget, start) = (MemoryBudget::new(LIMIT), Instant::now());
    let leases: Vec<_> = (0..5).map(|_| budget.lease()).collect();
    for lease in &leases {
        lease.resize(200, start).expect("it fits");
        lease.set_reclaimable(start);
    }
    let newcomer = budget.lease();
    assert_eq!(newcomer.resize(300, start + LONG_AGO), Ok(()));
    let is_reclaimed =
        |n: usize| future::block_on(future::poll_once(leases[n].notice().reclaimed())).is_some();
    assert_eq!((0..5).map(is_reclaimed).collect::<Vec<_>>(), [true, true, false, false, false]);
    assert_eq!(leases[0].resize(1, start + LONG_AGO), Err(MemoryExhausted), "a reclaimed lease is lost");
    assert_eq!((budget.counts().used, budget.counts().reclaimed), (900, 2));
}

/// Guards against requests that are refused in favor of others although they are received at full speed, or are
/// being served.
#[test]
fn recent_and_retained_leases_are_not_reclaimed() {
    let (budget, start) = (MemoryBudget::new(LIMIT), Instant::now());
    let [recent, retained, newcomer] = [budget.lease(), budget.lease(), budget.lease()];
    recent.resize(400, start).expect("it fits");
    recent.set_reclaimable(start);
    retained.resize(600, start).expect("it fits");
    retained.set_reclaimable(start);
    retained.retain();
    assert_eq!(newcomer.resize(1, start), Err(MemoryExhausted), "one lease is recent, the other retained");
    assert_eq!(newcomer.resize(401, start + LONG_AGO), Err(MemoryExhausted), "that would not be enough");
    assert_eq!(budget.counts().reclaimed, 0);
    assert_eq!(newcomer.resize(400, start + LONG_AGO), Ok(()));
}

/// Guards against data that need not be received now taking the memory of requests.
#[test]
fn data_sent_ahead_takes_at_most_half_of_the_memory() {
    let (budget, now) = (MemoryBudget::new(LIMIT), Instant::now());
    let [ahead, response] = [budget.lease(), budget.lease()];
    assert_eq!(ahead.resize_if_spare(501), Err(MemoryExhausted));
    assert_eq!(ahead.resize_if_spare(500), Ok(()));
    response.force(2 * LIMIT, now);
    assert_eq!(budget.counts().used, 2 * LIMIT + 500, "a response is sent in any case");
    assert_eq!(budget.lease().resize(1, now), Err(MemoryExhausted));
}

/// Guards against client connections that take up more than the memory because there are descriptors for them.
#[test]
fn client_connections_are_limited_by_memory_as_well_as_by_descriptors() {
    assert_eq!(DescriptorBudget::with_max_clients(992, 976).max_client_connections(), 744);
    assert_eq!(DescriptorBudget::with_max_clients(4064, 976).max_client_connections(), 976);
}
