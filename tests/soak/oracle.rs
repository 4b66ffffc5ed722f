//! The rules of the pages, as a check of what happened. Each is shown red on a planted break, below.
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::record::{coordinator_of, query_of, Effect, Happened, What};
use crate::slow_start;

/// What a busy machine of the tests may add to any time.
const BUSY: Duration = Duration::from_millis(250);
/// An answer may come so long behind its query's time.
const LATE: Duration = Duration::from_millis(500);
/// What a told time may be over what is left.
const SLACK: Duration = Duration::from_millis(200);
/// An attempt may begin so long behind its client's leaving.
const GONE: Duration = Duration::from_millis(150);
/// A send may begin so long behind the telling of a drain.
const GRACE: Duration = Duration::from_millis(300);
/// A process ends so long after SIGTERM at the latest: the longest deadline, which counts as 3 s, and 0.7 s.
const END: u64 = 3700;
const READY: u64 = 10_000;
const STOPPED: u64 = 3000;

/// A query, as its client saw it.
struct Query {
    asked: Instant,
    deadline: Duration,
    effect: Effect,
    left: Option<Instant>,
    end: Option<(Instant, End)>,
}

/// How a query ended for its client.
#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    /// With the connection, unread as far as its client knows.
    Crossed,
    /// The same, and it could not be asked again.
    Lost,
}

/// Every break of a rule, one line each.
pub fn breaks(happened: &[Happened]) -> Vec<String> {
    let queries = queries(happened);
    let mut breaks = Vec::new();
    let forwarded = forwarded(happened);
    for (id, query) in &queries {
        unanswered(id, query, forwarded.contains(id), &mut breaks);
    }
    attempts(happened, &queries, &mut breaks);
    values(happened, &mut breaks);
    drains(happened, &mut breaks);
    slow_start::breaks(happened, &mut breaks);
    for (_, what) in happened {
        match what {
            What::Crashed { coordinator } => breaks.push(format!("crash: coordinator {coordinator}")),
            What::Ended { coordinator, after_ms, well }
                if !well || *after_ms > END + BUSY.as_millis() as u64 =>
            {
                breaks.push(format!("end: coordinator {coordinator} after {after_ms} ms, well {well}"));
            }
            What::EndedDuringStart { coordinator, after_ms, ended: false } => {
                breaks.push(format!(
                    "end: coordinator {coordinator} not {after_ms} ms after a SIGTERM at its start"
                ));
            }
            What::Ready { coordinator, after_ms, ready } if !ready || *after_ms > READY => {
                breaks.push(format!("start: coordinator {coordinator} after {after_ms} ms, ready {ready}"));
            }
            What::Stopped { ended, after_ms } if !ended || *after_ms > STOPPED + BUSY.as_millis() as u64 => {
                breaks.push(format!("stopped client: ended {ended} after {after_ms} ms"));
            }
            What::Logged { coordinator, line } => breaks.push(format!("log of {coordinator}: {line}")),
            _ => {}
        }
    }
    breaks
}

/// The queries of which attempts were made.
fn forwarded(happened: &[Happened]) -> BTreeSet<&str> {
    let mut queries = BTreeSet::new();
    for (_, what) in happened {
        if let What::Began { part, .. } = what {
            queries.insert(query_of(part));
        }
    }
    queries
}

fn queries(happened: &[Happened]) -> BTreeMap<&str, Query> {
    let mut queries: BTreeMap<&str, Query> = BTreeMap::new();
    for (at, what) in happened {
        let mut end = |id: &str, end| queries.get_mut(id).into_iter().for_each(|q| q.end = Some(end));
        match what {
            What::Asked { id, deadline_ms, effect } => {
                let deadline = Duration::from_millis(*deadline_ms);
                queries.insert(id, Query { asked: *at, deadline, effect: *effect, left: None, end: None });
            }
            What::Left { id } => queries.get_mut(&**id).into_iter().for_each(|q| q.left = Some(*at)),
            What::Answered { id, .. } => end(id, (*at, End::Answered)),
            What::Crossed { id } => end(id, (*at, End::Crossed)),
            What::Lost { id } => end(id, (*at, End::Lost)),
            _ => {}
        }
    }
    queries
}

/// Each query gets its one final answer in time, unless its client left. One that crossed the end of its connection
/// must not have been read: no attempt of it was made.
fn unanswered(id: &str, query: &Query, was_forwarded: bool, breaks: &mut Vec<String>) {
    if query.left.is_some() {
        return;
    }
    match query.end {
        Some((at, End::Answered)) if at <= query.asked + query.deadline + LATE + BUSY => {}
        Some((at, End::Answered)) => breaks.push(format!("lost: {id} answered after {:?}", at - query.asked)),
        Some((_, End::Crossed)) if !was_forwarded => {}
        Some((_, End::Crossed)) => breaks.push(format!("lost: {id} was read, and its connection ended")),
        Some((_, End::Lost)) => breaks.push(format!("lost: {id}, its connection ended")),
        None => breaks.push(format!("lost: {id}, no answer")),
    }
}

/// Each attempt tells no more than is left, begins for a client that is there, and not after the final answer; what may
/// run once is not attempted again behind an attempt that may have run.
fn attempts(happened: &[Happened], queries: &BTreeMap<&str, Query>, breaks: &mut Vec<String>) {
    let mut begun: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, what) in happened {
        let What::Began { part, told_ms, .. } = what else { continue };
        let Some(query) = queries.get(query_of(part)) else {
            breaks.push(format!("unasked: {part}"));
            continue;
        };
        let left = (query.asked + query.deadline).saturating_duration_since(*at);
        if Duration::from_millis(*told_ms) > left + SLACK + BUSY {
            breaks.push(format!("deadline: {part} told {told_ms} ms, {left:?} left"));
        }
        if query.left.is_some_and(|gone| *at > gone + GONE + BUSY) {
            breaks.push(format!("left: {part} began behind its client's leaving"));
        }
        if query.end.is_some_and(|(end, _)| *at > end + GONE + BUSY) {
            breaks.push(format!("ended: {part} began behind its query's end"));
        }
        let before = begun.entry(part).or_insert(0);
        *before += 1;
        if query.effect == Effect::Once && *before > 1 {
            breaks.push(format!("duplicate: {part} began {before} times"));
        }
    }
}

/// A served value is one that a data node made for that query.
fn values(happened: &[Happened], breaks: &mut Vec<String>) {
    let served: Vec<(&str, &str)> = happened
        .iter()
        .filter_map(|(_, what)| match what {
            What::Served { part, value } => Some((query_of(part), &**value)),
            _ => None,
        })
        .collect();
    for (_, what) in happened {
        let What::Answered { id, status: 200, body } = what else { continue };
        if !served.iter().any(|(query, value)| query == id && body.contains(value)) {
            breaks.push(format!("value: {id} answered with {body}"));
        }
    }
}

/// No send begins at a data node whose drain its coordinator was told long enough ago. A new process has been told
/// nothing: it goes by the list that it was started with until discovery answers.
fn drains(happened: &[Happened], breaks: &mut Vec<String>) {
    let mut told: BTreeMap<(usize, usize), Option<Instant>> = BTreeMap::new();
    for (at, what) in happened {
        match what {
            What::Told { coordinator, node, drains } => {
                let since = told.entry((*coordinator, *node)).or_default();
                *since = if *drains { since.or(Some(*at)) } else { None };
            }
            What::Started { coordinator } => told.retain(|(of, _), _| of != coordinator),
            What::Began { part, node, first, .. } => {
                let since = told.get(&(coordinator_of(part), *node)).copied().flatten();
                if since.is_some_and(|since| *first > since + GRACE + BUSY) {
                    breaks.push(format!("drain: {part} sent to {node}"));
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod planted {
    use super::*;

    /// A sound run of one query, which a planted break changes.
    fn sound(start: Instant) -> Vec<Happened> {
        let at = |ms: u64| start + Duration::from_millis(ms);
        let id = || "c0-1".to_owned();
        let part = || "c0-1.0".to_owned();
        let body = "{\"cell\":\"V1\"}".to_owned();
        vec![
            (at(0), What::Ready { coordinator: 0, after_ms: 100, ready: true }),
            (at(10), What::Asked { id: id(), deadline_ms: 1000, effect: Effect::Once }),
            (at(20), What::Began { part: part(), node: 0, told_ms: 980, first: at(20) }),
            (at(30), What::Served { part: part(), value: "V1".to_owned() }),
            (at(31), What::Answered { id: id(), status: 200, body }),
            (at(40), What::Ended { coordinator: 0, after_ms: 600, well: true }),
        ]
    }

    /// The one rule that is broken once the sound run is changed.
    fn red(rule: &str, change: impl FnOnce(&mut Vec<Happened>, Instant)) {
        let start = Instant::now();
        let mut run = sound(start);
        change(&mut run, start);
        let found = breaks(&run);
        assert!(found.iter().any(|line| line.starts_with(rule)), "{rule}: {found:?}");
    }

    #[test]
    fn a_sound_run_has_no_break() {
        assert_eq!(breaks(&sound(Instant::now())), Vec::<String>::new());
    }

    /// Guards against a check of drains that holds a new process to what its predecessor was told.
    #[test]
    fn a_new_process_has_been_told_nothing() {
        let start = Instant::now();
        let told = What::Told { coordinator: 0, node: 0, drains: true };
        let began_later = || {
            let mut run = sound(start);
            let later = start + Duration::from_millis(900);
            run[2].1 = What::Began { part: "c0-1.0".to_owned(), node: 0, told_ms: 1, first: later };
            run[2..].iter_mut().for_each(|(at, _)| *at += Duration::from_millis(870));
            run
        };
        let mut run = began_later();
        run.splice(0..0, [(start, told.clone()), (start, What::Started { coordinator: 0 })]);
        assert_eq!(breaks(&run), Vec::<String>::new());
        let mut run = began_later();
        run.splice(0..0, [(start, What::Started { coordinator: 0 }), (start, told)]);
        assert!(breaks(&run).iter().any(|line| line.starts_with("drain")));
    }

    #[test]
    fn each_rule_is_red_on_its_break() {
        let ms = Duration::from_millis;
        let part = || "c0-1.0".to_owned();
        let began = |at: Instant| What::Began { part: part(), node: 0, told_ms: 1, first: at };
        red("lost", |run, _| drop(run.remove(4)));
        red("lost", |run, start| run[4].0 = start + ms(1900));
        red("lost", |run, _| run[4].1 = What::Lost { id: "c0-1".to_owned() });
        red("lost", |run, _| run[4].1 = What::Crossed { id: "c0-1".to_owned() });
        red("unasked", |run, start| {
            run.push((start, What::Began { part: "c0-2.0".to_owned(), node: 0, told_ms: 1, first: start }))
        });
        red("deadline", |run, start| run[2].0 = start + ms(600));
        red("left", |run, start| {
            run[4].1 = What::Left { id: "c0-1".to_owned() };
            run.push((start + ms(600), began(start + ms(600))));
        });
        red("ended", |run, start| run.push((start + ms(600), began(start + ms(600)))));
        red("duplicate", |run, start| run.push((start + ms(60), began(start + ms(60)))));
        red("value", |run, _| run[3].1 = What::Served { part: part(), value: "V2".to_owned() });
        red("drain", |run, start| {
            run.insert(0, (start, What::Told { coordinator: 0, node: 0, drains: true }));
            run[3] = (start + ms(700), began(start + ms(700)));
        });
        red("crash", |run, start| run.push((start, What::Crashed { coordinator: 0 })));
        red("end:", |run, _| run[5].1 = What::Ended { coordinator: 0, after_ms: 4000, well: true });
        red("end:", |run, _| run[5].1 = What::Ended { coordinator: 0, after_ms: 1, well: false });
        red("end:", |run, start| {
            run.push((start, What::EndedDuringStart { coordinator: 0, after_ms: 3700, ended: false }))
        });
        red("slow start", |run, start| {
            run.push((start, What::NodeStarted { node: 1 }));
            run.push((start, What::ToldStart { coordinator: 0, node: 1 }));
            let began = What::Began { part: part(), node: 1, told_ms: 1, first: start + ms(1) };
            run.extend((0..9).map(|_| (start + ms(20), began.clone())));
        });
        red("start", |run, _| run[0].1 = What::Ready { coordinator: 0, after_ms: 10_001, ready: true });
        red("stopped", |run, start| run.push((start, What::Stopped { ended: false, after_ms: 4000 })));
        red("log", |run, start| {
            run.push((start, What::Logged { coordinator: 0, line: "invariant broken".to_owned() }))
        });
    }
}
