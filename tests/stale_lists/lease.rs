//! The terms of the lease on the endpoint list.
use std::time::{Duration, Instant};

use marlgap::balancer::interface::Discovery;
use marlgap::send_policy::{EndpointLease, LeaseInvalid, LeaseTerms, MAX_PROCESS_STALL, NOTIFIED_WITHIN};

const GRACE: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_millis(1);

fn lease(discovery: Discovery, started: Instant) -> EndpointLease {
    EndpointLease::new(LeaseTerms::new(discovery, GRACE), started)
}

/// Returns the last moment at which a send may be checked so that a stalled process still writes in time.
fn latest_check(notified_at: Instant) -> Instant {
    notified_at + GRACE - MAX_PROCESS_STALL
}

#[test]
fn a_polled_list_expires_when_a_change_made_right_after_it_counts_as_notified() {
    let start = Instant::now();
    let mut lease = lease(Discovery::Poll { poll_within: 10.0 }, start);
    let latest = latest_check(start + NOTIFIED_WITHIN);
    assert_eq!(lease.check(latest - TICK), Ok(()));
    assert_eq!(lease.check(latest), Err(LeaseInvalid::Expired));
    lease.renew(start + Duration::from_secs(1));
    assert_eq!(lease.check(latest), Ok(()));
    assert_eq!(lease.invalid_since(latest), None);
    assert_eq!(lease.invalid_since(start + Duration::from_secs(9)), Some(latest + Duration::from_secs(1)));
}

#[test]
fn a_polled_list_expires_earlier_if_the_settings_demand_polling_more_often() {
    let start = Instant::now();
    let lease = lease(Discovery::Poll { poll_within: 3.0 }, start);
    assert_eq!(lease.expires_at(), latest_check(start + Duration::from_secs(3)));
}

/// How old the list of an earlier run is, is not known; a call that is still open may be answered any moment.
#[test]
fn the_list_of_an_earlier_run_is_valid_until_the_first_call_fails() {
    let start = Instant::now();
    let mut lease = lease(Discovery::Poll { poll_within: 10.0 }, start);
    lease.record_failed_call(start + Duration::from_secs(1));
    assert_eq!(lease.check(start + Duration::from_secs(1) - TICK), Ok(()));
    assert_eq!(lease.check(start + Duration::from_secs(1)), Err(LeaseInvalid::Expired));
    lease.renew(start + Duration::from_secs(2));
    lease.record_failed_call(start + Duration::from_secs(3));
    assert_eq!(lease.expires_at(), latest_check(start + Duration::from_secs(2) + NOTIFIED_WITHIN));
}

#[test]
fn a_pushed_list_is_invalid_before_the_first_answer_and_expires_within_the_grace() {
    let start = Instant::now();
    let mut lease = lease(Discovery::Push, start);
    assert_eq!(lease.check(start), Err(LeaseInvalid::Expired));
    lease.renew(start);
    assert_eq!(lease.expires_at(), latest_check(start));
}

#[test]
fn a_lost_answer_ends_the_lease_until_the_next_answer() {
    let start = Instant::now();
    let mut lease = lease(Discovery::Poll { poll_within: 10.0 }, start);
    lease.record_lost_answer(start + TICK);
    lease.record_lost_answer(start + 2 * TICK);
    assert_eq!(lease.check(start + 2 * TICK), Err(LeaseInvalid::AnswerLost));
    assert_eq!(lease.invalid_since(start + 3 * TICK), Some(start + TICK));
    lease.record_move(start + 3 * TICK);
    assert_eq!(lease.check(start + 3 * TICK), Err(LeaseInvalid::AnswerLost));
    lease.renew(start + 3 * TICK);
    assert_eq!(lease.check(start + 3 * TICK), Ok(()));
}

/// The state of an agent at a new address counts as notified 4 s after the change of address.
#[test]
fn a_change_of_address_extends_only_a_valid_pushed_list_and_only_once() {
    let start = Instant::now();
    let mut expired = lease(Discovery::Push, start);
    expired.record_move(start);
    assert_eq!(expired.check(start), Err(LeaseInvalid::Expired));
    let mut valid = lease(Discovery::Push, start);
    valid.renew(start);
    valid.record_move(start + TICK);
    valid.record_move(start + Duration::from_secs(2));
    assert_eq!(valid.expires_at(), latest_check(start + TICK + Duration::from_secs(4)));
    let mut polled = lease(Discovery::Poll { poll_within: 10.0 }, start);
    polled.record_move(start + Duration::from_secs(2));
    assert_eq!(polled.expires_at(), latest_check(start + NOTIFIED_WITHIN));
}

/// A grace below the longest stall leaves a share of itself, so that the program can serve at all.
#[test]
fn a_list_is_valid_for_a_while_with_any_positive_grace() {
    let terms = LeaseTerms::new(Discovery::Push, Duration::from_millis(50));
    assert!(terms.validity() > Duration::ZERO && terms.validity() < Duration::from_millis(50));
}
