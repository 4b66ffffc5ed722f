//! One checker over the history of a run. It knows the servers' data and the rules, and nothing of the program.
use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::history::{Ask, Event, EventKind};

/// An index whose parts must not run twice.
pub const ONCE: &str = "overlaps";
/// Nothing goes to a server later than this after its drain, in microseconds.
const DRAIN_GRACE_US: u64 = 250_000;
/// Attempts of a part in all, over all members.
const MAX_ATTEMPTS: usize = 4;
/// What an answer may take on its way beyond the client's end, in microseconds, so that the machine's own
/// pauses are not counted.
const DEADLINE_SLACK_US: u64 = 700_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two answers under one id that are not the same.
    TwoOutcomes {
        id: String,
    },
    /// A part that must not repeat ran more than once.
    RanTwice {
        id: String,
        shard: u32,
    },
    TooManyAttempts {
        id: String,
        shard: u32,
    },
    /// Marked whole, or counting parts as in, without what the servers hold.
    Incomplete {
        id: String,
    },
    SentAfterDrain {
        server: usize,
    },
    /// A client that stayed was not answered in time.
    Unanswered {
        client: usize,
    },
    /// Nobody who asked under the id was answered, though somebody stayed.
    Lost {
        id: String,
    },
    /// A refusal that does not say when to come back, or an answer of no known kind.
    InvalidStatus {
        client: usize,
        status: u16,
    },
}

/// The document that the servers hold for a tile.
pub fn known(shard: u32) -> String {
    format!("h{shard}")
}

pub fn check(events: &[Event]) -> Vec<Violation> {
    let mut broken = BTreeSet::new();
    outcomes(events, &mut broken);
    attempts(events, &mut broken);
    drains(events, &mut broken);
    answers(events, &mut broken);
    broken.into_iter().collect()
}

/// Each client's ask, when it was made and of whom.
fn asks(events: &[Event]) -> BTreeMap<usize, (u64, usize, &Ask)> {
    let mut all = BTreeMap::new();
    for event in events {
        if let EventKind::Asked { client, member, ask } = &event.what {
            all.insert(*client, (event.at, *member, ask));
        }
    }
    all
}

/// Refusals decide nothing: 409 (another text), 429 (come back later), 504 (out of time).
fn decides(status: u16) -> bool {
    !matches!(status, 409 | 429 | 504)
}

fn outcomes(events: &[Event], broken: &mut BTreeSet<Violation>) {
    let asks = asks(events);
    let mut first: BTreeMap<&str, (u16, &str, &Ask)> = BTreeMap::new();
    for event in events {
        let EventKind::Answered { client, status, body, retry_after } = &event.what else { continue };
        let Some((_, _, ask)) = asks.get(client) else { continue };
        if !matches!(status, 200 | 409 | 429 | 503 | 504) || (*status == 429 && !retry_after) {
            broken.insert(Violation::InvalidStatus { client: *client, status: *status });
        }
        if !decides(*status) {
            continue;
        }
        let held = first.entry(&ask.id).or_insert((*status, body, ask));
        if (held.0, held.1) != (*status, body) || !ask.same(held.2) {
            broken.insert(Violation::TwoOutcomes { id: ask.id.clone() });
        }
        if *status == 200 && !whole(ask, body) {
            broken.insert(Violation::Incomplete { id: ask.id.clone() });
        }
    }
}

/// Whether an answer says of itself what it holds: nothing lacking where it says so, and nothing counted as in that is
/// not there.
fn whole(ask: &Ask, body: &str) -> bool {
    let Ok(body) = serde_json::from_str::<Value>(body) else { return false };
    let hits = body["hits"]["hits"].as_array().map_or(&[][..], |h| h);
    let got: BTreeSet<&str> = hits.iter().filter_map(|h| h["_id"].as_str()).collect();
    let wanted: BTreeSet<String> = ask.parts.iter().map(|s| known(*s)).collect();
    let shards = &body["_shards"];
    let (total, successful) = (shards["total"].as_u64(), shards["successful"].as_u64());
    let counted = total == Some(wanted.len() as u64) && successful == Some(got.len() as u64);
    let complete = got.len() == wanted.len();
    let claimed = shards["failed"] == 0 && body["timed_out"] == false;
    counted && got.len() == hits.len() && got.iter().all(|id| wanted.contains(*id)) && (complete || !claimed)
}

fn attempts(events: &[Event], broken: &mut BTreeSet<Violation>) {
    let once: BTreeSet<&str> =
        asks(events).values().filter(|(.., a)| a.index == ONCE).map(|(.., a)| &a.id[..]).collect();
    let mut tries: BTreeMap<(&str, u32, bool), (usize, usize)> = BTreeMap::new();
    for event in events {
        let EventKind::Part { id, shard, second, ran, .. } = &event.what else { continue };
        let (sent, runs) = tries.entry((id, *shard, *second)).or_default();
        *sent += 1;
        *runs += usize::from(*ran);
        if *sent > MAX_ATTEMPTS {
            broken.insert(Violation::TooManyAttempts { id: id.clone(), shard: *shard });
        }
        if *runs > 1 && once.contains(&id[..]) {
            broken.insert(Violation::RanTwice { id: id.clone(), shard: *shard });
        }
    }
}

fn drains(events: &[Event], broken: &mut BTreeSet<Violation>) {
    let mut since: BTreeMap<usize, u64> = BTreeMap::new();
    for event in events {
        match &event.what {
            EventKind::Drained { server } => drop(since.entry(*server).or_insert(event.at)),
            EventKind::Back { server } => drop(since.remove(server)),
            EventKind::Part { server, .. }
                if since.get(server).is_some_and(|t| event.at > t + DRAIN_GRACE_US) =>
            {
                broken.insert(Violation::SentAfterDrain { server: *server });
            }
            _ => {}
        }
    }
}

fn answers(events: &[Event], broken: &mut BTreeSet<Violation>) {
    let mut served: BTreeMap<&str, bool> = BTreeMap::new();
    let lost = |events: &[Event], member: usize, by: u64| {
        events.iter().any(|e| e.what == EventKind::Killed { member } && e.at <= by)
    };
    for (client, (at, member, ask)) in asks(events) {
        let end = events.iter().find_map(|e| match &e.what {
            EventKind::Answered { client: c, .. } if *c == client => Some((e.at, true, false)),
            EventKind::Left { client: c, own } if *c == client => Some((e.at, false, *own)),
            _ => None,
        });
        let latest = at + ask.wait_ms * 1000 + DEADLINE_SLACK_US;
        let stayed = end.is_none_or(|(_, answered, own)| answered || !own);
        match end {
            Some((at, true, _)) if at <= latest => *served.entry(&ask.id).or_default() |= true,
            Some((_, false, true)) => {}
            // Broken by the loss of the member: it counts for the id, since it may ask elsewhere.
            Some((at, false, false)) if lost(events, member, at) => {}
            _ => drop(broken.insert(Violation::Unanswered { client })),
        }
        if stayed {
            served.entry(&ask.id).or_default();
        }
    }
    for (id, _) in served.iter().filter(|(_, served)| !**served) {
        broken.insert(Violation::Lost { id: (*id).to_owned() });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(id: &str, index: &'static str) -> Ask {
        Ask { id: id.into(), index, parts: vec![0, 1], text: String::new(), wait_ms: 1000 }
    }

    fn body(hits: &[&str], failed: u64) -> String {
        let hits: Vec<_> = hits.iter().map(|h| serde_json::json!({"_id": h})).collect();
        let shards = serde_json::json!({"total": 2, "successful": hits.len(), "failed": failed});
        serde_json::json!({"timed_out": false, "_shards": shards, "hits": {"hits": hits}}).to_string()
    }

    fn asked(client: usize, index: &'static str) -> EventKind {
        EventKind::Asked { client, member: 0, ask: ask("q", index) }
    }

    fn answered(client: usize, status: u16, body: String) -> EventKind {
        EventKind::Answered { client, status, retry_after: false, body }
    }

    fn part(shard: u32, server: usize, ran: bool) -> EventKind {
        EventKind::Part { id: "q".into(), shard, second: false, server, from: 0, ran }
    }

    /// Events 100 ms apart.
    fn run(all: Vec<EventKind>) -> Vec<Violation> {
        let event = |(n, what)| Event { at: n as u64 * 100_000, what };
        check(&all.into_iter().enumerate().map(event).collect::<Vec<_>>())
    }

    fn good() -> Vec<EventKind> {
        let whole = || body(&["h0", "h1"], 0);
        vec![
            asked(0, "fields"),
            asked(1, "fields"),
            part(0, 0, true),
            part(1, 1, false),
            part(1, 2, true),
            answered(0, 200, whole()),
            answered(1, 200, whole()),
        ]
    }

    #[test]
    fn a_run_that_keeps_the_rules_passes() {
        assert_eq!(run(good()), []);
        let partial = vec![asked(0, "fields"), answered(0, 200, body(&["h0"], 1))];
        assert_eq!(run(partial), []);
        let moved = vec![
            asked(0, "fields"),
            EventKind::Killed { member: 0 },
            EventKind::Left { client: 0, own: false },
            asked(1, "fields"),
            answered(1, 504, String::new()),
        ];
        assert_eq!(run(moved), []);
    }

    #[test]
    fn each_rule_that_is_broken_is_found() {
        let (id, once) = (|| "q".to_owned(), || vec![asked(0, ONCE), part(0, 0, true)]);
        let end = || answered(0, 504, String::new());
        let spoil = |place: usize, with: EventKind| {
            let mut all = good();
            all[place] = with;
            all
        };
        let two = spoil(6, answered(1, 503, String::new()));
        assert_eq!(run(two), [Violation::TwoOutcomes { id: id() }]);
        let unlike = spoil(6, answered(1, 200, body(&["h1", "h0"], 0)));
        assert_eq!(run(unlike), [Violation::TwoOutcomes { id: id() }]);
        let lacking = vec![asked(0, "fields"), answered(0, 200, body(&["h0"], 0))];
        assert_eq!(run(lacking), [Violation::Incomplete { id: id() }]);
        let foreign = vec![asked(0, "fields"), answered(0, 200, body(&["h0", "h7"], 0))];
        assert_eq!(run(foreign), [Violation::Incomplete { id: id() }]);
        assert_eq!(
            run([once(), vec![part(0, 1, true), end()]].concat()),
            [Violation::RanTwice { id: id(), shard: 0 }]
        );
        assert_eq!(run([once(), vec![part(0, 1, false), part(1, 1, true), end()]].concat()), []);
        let five = [vec![asked(0, "fields")], vec![part(1, 0, false); 5], vec![end()]].concat();
        assert_eq!(run(five), [Violation::TooManyAttempts { id: id(), shard: 1 }]);
        let drained = |gap: usize, back: Vec<EventKind>| {
            let drain = EventKind::Drained { server: 1 };
            let gap = vec![EventKind::Stopped { member: 0 }; gap];
            run([vec![asked(0, "fields"), drain], gap, back, vec![part(1, 1, true), end()]].concat())
        };
        assert_eq!(drained(2, Vec::new()), [Violation::SentAfterDrain { server: 1 }]);
        assert_eq!(drained(1, Vec::new()), []);
        assert_eq!(drained(2, vec![EventKind::Back { server: 1 }]), []);
        let lost = [Violation::Unanswered { client: 0 }, Violation::Lost { id: id() }];
        assert_eq!(run(vec![asked(0, "fields")]), lost);
        let late =
            [vec![asked(0, "fields")], vec![EventKind::Stopped { member: 0 }; 20], vec![end()]].concat();
        assert_eq!(run(late), lost);
        let left = |own, member| {
            run(vec![asked(0, "fields"), EventKind::Killed { member }, EventKind::Left { client: 0, own }])
        };
        assert_eq!((left(true, 1), left(false, 1)), (vec![], lost.to_vec()));
        assert_eq!(left(false, 0), [Violation::Lost { id: id() }]);
        let mut other = good();
        other[1] =
            EventKind::Asked { client: 1, member: 1, ask: Ask { text: "x".into(), ..ask("q", "fields") } };
        assert_eq!(run(other), [Violation::TwoOutcomes { id: id() }]);
        let odd = |status| run(vec![asked(0, "fields"), answered(0, status, String::new())]);
        assert_eq!(odd(429), [Violation::InvalidStatus { client: 0, status: 429 }]);
        assert_eq!(odd(500), [Violation::InvalidStatus { client: 0, status: 500 }]);
    }
}
