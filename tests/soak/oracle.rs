//! Checks the events of a run against the documented rules. The tests below show that each rule detects a
//! planted violation.
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::coordinator::MEMORY_KB;
use crate::missed_drains;
use crate::record::{coordinator_of, query_of, Effect, Event, TimedEvent};
use crate::slow_start;

/// The delay that a busy test machine may add to any time.
pub const MACHINE_DELAY: Duration = Duration::from_millis(250);
/// The time by which an answer may exceed the query's deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The time by which the timeout sent with an attempt may exceed the time left.
const TIMEOUT_SLACK: Duration = Duration::from_millis(200);
/// The time after the client's disconnect, or after the end of the query, until which an attempt may start.
const CANCEL_GRACE: Duration = Duration::from_millis(150);
/// The time after the announcement of a drain until which a send may start.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// The maximum time from SIGTERM to the end of a process: the longest deadline, which counts as 3 s, plus
/// 0.7 s.
const MAX_END_MS: u64 = 3700;
const MAX_START_MS: u64 = 10_000;
const MAX_STALL_MS: u64 = 3000;

/// A query from the point of view of its client.
struct Query {
    sent: Instant,
    deadline: Duration,
    effect: Effect,
    left: Option<Instant>,
    end: Option<(Instant, End)>,
}

/// How a query ended for its client.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    /// The connection was closed, and as far as the client knows the query was not read.
    Closed,
    /// The connection was closed, and all retries failed.
    GaveUp,
}

/// Returns all violations of the rules, one line each.
pub fn check(events: &[TimedEvent]) -> Vec<String> {
    let queries = queries(events);
    let mut errors = Vec::new();
    let forwarded = forwarded_queries(events);
    for (id, query) in &queries {
        check_answer(id, query, forwarded.contains(id), &mut errors);
    }
    check_attempts(events, &queries, &mut errors);
    check_values(events, &mut errors);
    check_drains(events, &mut errors);
    missed_drains::check(events, &mut errors);
    slow_start::check(events, &mut errors);
    for (_, event) in events {
        match event {
            Event::Crashed { coordinator } => errors.push(format!("crash: coordinator {coordinator}")),
            Event::PeakMemory { coordinator, kb } if *kb >= MEMORY_KB => {
                errors.push(format!("memory: coordinator {coordinator} with {kb} KiB of {MEMORY_KB} KiB"));
            }
            Event::Ended { coordinator, after_ms, clean }
                if !clean || *after_ms > MAX_END_MS + MACHINE_DELAY.as_millis() as u64 =>
            {
                errors.push(format!("end: coordinator {coordinator} after {after_ms} ms, clean {clean}"));
            }
            Event::EndedDuringStart { coordinator, after_ms, ended: false } => {
                errors.push(format!(
                    "end: coordinator {coordinator} not {after_ms} ms after a SIGTERM at its start"
                ));
            }
            Event::Ready { coordinator, after_ms, ready } if !ready || *after_ms > MAX_START_MS => {
                errors.push(format!("start: coordinator {coordinator} after {after_ms} ms, ready {ready}"));
            }
            Event::Stalled { ended, after_ms }
                if !ended || *after_ms > MAX_STALL_MS + MACHINE_DELAY.as_millis() as u64 =>
            {
                errors.push(format!("stopped client: ended {ended} after {after_ms} ms"));
            }
            Event::DefectLogged { coordinator, line } => errors.push(format!("log of {coordinator}: {line}")),
            _ => {}
        }
    }
    errors
}

/// Returns the queries for which attempts were made.
fn forwarded_queries(events: &[TimedEvent]) -> BTreeSet<&str> {
    let mut queries = BTreeSet::new();
    for (_, event) in events {
        if let Event::Began { part, .. } = event {
            queries.insert(query_of(part));
        }
    }
    queries
}

fn queries(events: &[TimedEvent]) -> BTreeMap<&str, Query> {
    let mut queries: BTreeMap<&str, Query> = BTreeMap::new();
    for (at, event) in events {
        let mut end = |id: &str, end| queries.get_mut(id).into_iter().for_each(|q| q.end = Some(end));
        match event {
            Event::Sent { id, deadline_ms, effect } => {
                let deadline = Duration::from_millis(*deadline_ms);
                queries.insert(id, Query { sent: *at, deadline, effect: *effect, left: None, end: None });
            }
            Event::ClientLeft { id } => queries.get_mut(&**id).into_iter().for_each(|q| q.left = Some(*at)),
            Event::Answered { id, .. } => end(id, (*at, End::Answered)),
            Event::Closed { id } => end(id, (*at, End::Closed)),
            Event::GaveUp { id } => end(id, (*at, End::GaveUp)),
            _ => {}
        }
    }
    queries
}

/// Each query receives one final answer in time, unless its client disconnects. A query whose connection
/// was closed without an answer must not have been read, so no attempt was made for it.
fn check_answer(id: &str, query: &Query, was_forwarded: bool, errors: &mut Vec<String>) {
    if query.left.is_some() {
        return;
    }
    match query.end {
        Some((at, End::Answered)) if at <= query.sent + query.deadline + ANSWER_GRACE + MACHINE_DELAY => {}
        Some((at, End::Answered)) => errors.push(format!("lost: {id} answered after {:?}", at - query.sent)),
        Some((_, End::Closed)) if !was_forwarded => {}
        Some((_, End::Closed)) => errors.push(format!("lost: {id} was read, but its connection was closed")),
        Some((_, End::GaveUp)) => errors.push(format!("lost: {id}, all retries failed")),
        None => errors.push(format!("lost: {id}, no answer")),
    }
}

/// The timeout sent with an attempt does not exceed the time left. No attempt starts after the client has
/// disconnected or the query has ended. A part that may run only once is not attempted again after an
/// attempt that may have run.
fn check_attempts(events: &[TimedEvent], queries: &BTreeMap<&str, Query>, errors: &mut Vec<String>) {
    let mut begun: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, event) in events {
        let Event::Began { part, timeout_ms, .. } = event else { continue };
        let Some(query) = queries.get(query_of(part)) else {
            errors.push(format!("unasked: {part}"));
            continue;
        };
        let time_left = (query.sent + query.deadline).saturating_duration_since(*at);
        if Duration::from_millis(*timeout_ms) > time_left + TIMEOUT_SLACK + MACHINE_DELAY {
            errors.push(format!("deadline: {part} timeout of {timeout_ms} ms, {time_left:?} left"));
        }
        if query.left.is_some_and(|gone| *at > gone + CANCEL_GRACE + MACHINE_DELAY) {
            errors.push(format!("left: {part} began after its client disconnected"));
        }
        if query.end.is_some_and(|(end, _)| *at > end + CANCEL_GRACE + MACHINE_DELAY) {
            errors.push(format!("ended: {part} began after its query ended"));
        }
        let before = begun.entry(part).or_insert(0);
        *before += 1;
        if query.effect == Effect::Once && *before > 1 {
            errors.push(format!("duplicate: {part} began {before} times"));
        }
    }
}

/// The value in an answer was produced by a data node for that query.
fn check_values(events: &[TimedEvent], errors: &mut Vec<String>) {
    let served: Vec<(&str, &str)> = events
        .iter()
        .filter_map(|(_, event)| match event {
            Event::Served { part, value } => Some((query_of(part), &**value)),
            _ => None,
        })
        .collect();
    for (_, event) in events {
        let Event::Answered { id, status: 200, body } = event else { continue };
        if !served.iter().any(|(query, value)| query == id && body.contains(value)) {
            errors.push(format!("value: {id} answered with {body}"));
        }
    }
}

/// No send to a data node starts later than allowed after its drain was announced to the coordinator.
/// Nothing has been announced to a new process, which uses the list that it was started with until
/// discovery responds.
fn check_drains(events: &[TimedEvent], errors: &mut Vec<String>) {
    let mut announced: BTreeMap<(usize, usize), Option<Instant>> = BTreeMap::new();
    for (at, event) in events {
        match event {
            Event::DrainListed { coordinator, node, drains } => {
                let since = announced.entry((*coordinator, *node)).or_default();
                *since = if *drains { since.or(Some(*at)) } else { None };
            }
            Event::Started { coordinator } => announced.retain(|(of, _), _| of != coordinator),
            Event::Began { part, node, first, .. } => {
                let since = announced.get(&(coordinator_of(part), *node)).copied().flatten();
                if since.is_some_and(|since| *first > since + DRAIN_GRACE + MACHINE_DELAY) {
                    errors.push(format!("drain: {part} sent to {node}"));
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod planted {
    use super::*;

    /// A valid run of one query, into which the tests plant violations.
    fn valid_run(start: Instant) -> Vec<TimedEvent> {
        let at = |ms: u64| start + Duration::from_millis(ms);
        let id = || "c0-1".to_owned();
        let part = || "c0-1.0".to_owned();
        let body = "{\"cell\":\"V1\"}".to_owned();
        vec![
            (at(0), Event::Ready { coordinator: 0, after_ms: 100, ready: true }),
            (at(10), Event::Sent { id: id(), deadline_ms: 1000, effect: Effect::Once }),
            (at(20), Event::Began { part: part(), node: 0, timeout_ms: 980, first: at(20) }),
            (at(30), Event::Served { part: part(), value: "V1".to_owned() }),
            (at(31), Event::Answered { id: id(), status: 200, body }),
            (at(40), Event::Ended { coordinator: 0, after_ms: 600, clean: true }),
        ]
    }

    /// Asserts that a changed run violates the given rule.
    fn detects(rule: &str, change: impl FnOnce(&mut Vec<TimedEvent>, Instant)) {
        let start = Instant::now();
        let mut run = valid_run(start);
        change(&mut run, start);
        let found = check(&run);
        assert!(found.iter().any(|line| line.starts_with(rule)), "{rule}: {found:?}");
    }

    #[test]
    fn a_valid_run_has_no_violations() {
        assert_eq!(check(&valid_run(Instant::now())), Vec::<String>::new());
    }

    /// Guards against a drain check that applies announcements made to the previous process to a new one.
    #[test]
    fn announcements_to_a_previous_process_do_not_count_for_a_new_one() {
        let start = Instant::now();
        let announced = Event::DrainListed { coordinator: 0, node: 0, drains: true };
        let began_later = || {
            let mut run = valid_run(start);
            let later = start + Duration::from_millis(900);
            run[2].1 = Event::Began { part: "c0-1.0".to_owned(), node: 0, timeout_ms: 1, first: later };
            run[2..].iter_mut().for_each(|(at, _)| *at += Duration::from_millis(870));
            run
        };
        let mut run = began_later();
        run.splice(0..0, [(start, announced.clone()), (start, Event::Started { coordinator: 0 })]);
        assert_eq!(check(&run), Vec::<String>::new());
        let mut run = began_later();
        run.splice(0..0, [(start, Event::Started { coordinator: 0 }), (start, announced)]);
        assert!(check(&run).iter().any(|line| line.starts_with("drain")));
    }

    #[test]
    fn each_rule_detects_its_violation() {
        let ms = Duration::from_millis;
        let part = || "c0-1.0".to_owned();
        let began = |at: Instant| Event::Began { part: part(), node: 0, timeout_ms: 1, first: at };
        detects("lost", |run, _| drop(run.remove(4)));
        detects("lost", |run, start| run[4].0 = start + ms(1900));
        detects("lost", |run, _| run[4].1 = Event::GaveUp { id: "c0-1".to_owned() });
        detects("lost", |run, _| run[4].1 = Event::Closed { id: "c0-1".to_owned() });
        detects("unasked", |run, start| {
            run.push((
                start,
                Event::Began { part: "c0-2.0".to_owned(), node: 0, timeout_ms: 1, first: start },
            ))
        });
        detects("deadline", |run, start| run[2].0 = start + ms(600));
        detects("left", |run, start| {
            run[4].1 = Event::ClientLeft { id: "c0-1".to_owned() };
            run.push((start + ms(600), began(start + ms(600))));
        });
        detects("ended", |run, start| run.push((start + ms(600), began(start + ms(600)))));
        detects("duplicate", |run, start| run.push((start + ms(60), began(start + ms(60)))));
        detects("value", |run, _| run[3].1 = Event::Served { part: part(), value: "V2".to_owned() });
        detects("drain", |run, start| {
            run.insert(0, (start, Event::DrainListed { coordinator: 0, node: 0, drains: true }));
            run[3] = (start + ms(700), began(start + ms(700)));
        });
        detects("missed drain", |run, start| {
            let started = start + ms(1);
            run.insert(0, (start, Event::Started { coordinator: 0 }));
            run.insert(1, (started, Event::DiscoveryHangs { hangs: true }));
            run.insert(2, (start + ms(900), Event::DrainMade { node: 0, drains: true }));
            run.push((start + ms(6600), began(start + ms(6600))));
        });
        detects("missed drain", |run, start| {
            run.insert(0, (start, Event::DiscoveryDown { down: true }));
            run.insert(1, (start, Event::DrainMade { node: 0, drains: true }));
            run.insert(2, (start + ms(100), Event::DiscoveryDown { down: false }));
            run.push((start + ms(6700), began(start + ms(6700))));
        });
        detects("missed drain", |run, start| {
            run.insert(0, (start, Event::DiscoveryHangs { hangs: true }));
            run.insert(1, (start, Event::DrainMade { node: 0, drains: true }));
            run.push((start + ms(5000), Event::Started { coordinator: 0 }));
            run.push((start + ms(8100), began(start + ms(8100))));
        });
        detects("memory", |run, start| {
            run.push((start, Event::PeakMemory { coordinator: 0, kb: MEMORY_KB }))
        });
        detects("crash", |run, start| run.push((start, Event::Crashed { coordinator: 0 })));
        detects("end:", |run, _| run[5].1 = Event::Ended { coordinator: 0, after_ms: 4000, clean: true });
        detects("end:", |run, _| run[5].1 = Event::Ended { coordinator: 0, after_ms: 1, clean: false });
        detects("end:", |run, start| {
            run.push((start, Event::EndedDuringStart { coordinator: 0, after_ms: 3700, ended: false }))
        });
        detects("slow start", |run, start| {
            run.push((start, Event::NodeStarted { node: 1 }));
            run.push((start, Event::StartListed { coordinator: 0, node: 1 }));
            let began = Event::Began { part: part(), node: 1, timeout_ms: 1, first: start + ms(1) };
            run.extend((0..9).map(|_| (start + ms(20), began.clone())));
        });
        detects("start", |run, _| run[0].1 = Event::Ready { coordinator: 0, after_ms: 10_001, ready: true });
        detects("stopped", |run, start| run.push((start, Event::Stalled { ended: false, after_ms: 4000 })));
        detects("log", |run, start| {
            run.push((start, Event::DefectLogged { coordinator: 0, line: "invariant broken".to_owned() }))
        });
    }
}
