//! Members that take queries over while they hold as many queries and parts as they may.
use std::time::Duration;

use crate::client::{lookup, once, Client};
use crate::cluster::{Cluster, Setup};
use crate::history::{EventKind, Query};
use crate::servers::ServerAction;

/// The number of tiles, all of which a summary needs.
const TILES: u32 = 24;
/// The open queries and parts that a member may hold: one summary.
const MAX_OPEN: usize = 1 + TILES as usize;
/// The work of a summary. It ends long after a takeover, which follows the loss of the owner by 0.3 s, and
/// before the deadlines of the queries.
const SUMMARY_WORK: Duration = Duration::from_millis(1500);
const OWNER: usize = 0;

/// Returns a summary, which fills a member.
fn summary(member: usize) -> Query {
    let id = format!("summary-{member}");
    Query { id, index: "districts", parts: (0..TILES).collect(), text: "ama".into(), timeout_ms: 5000 }
}

/// Kills the owner of a query whose parts are held by their servers, while the other members are full.
/// Checks the history when all queries have ended, and returns the answer to the query, which its client
/// submitted to one of the others.
fn answer_after_takeover_by_full_members(test: &str, query: impl Fn(&str) -> Query) -> (u16, String) {
    let setup = Setup { max_open: MAX_OPEN, ..Setup::default() };
    let mut cluster = Cluster::start_with(test, &["a", "b", "c"], setup);
    cluster.servers.script(|part| match part.from {
        OWNER => ServerAction::Hold,
        _ if part.id.starts_with("summary") => ServerAction::Delay(SUMMARY_WORK),
        _ => ServerAction::Serve,
    });
    let query = query(&cluster.id_owned_by(OWNER, 0));
    let others = cluster.group(&query.id)[1..].to_vec();
    let client = cluster.submit(others[0], &query);
    cluster.wait_until_parts_sent(OWNER, &query);
    let mut summaries: Vec<Client> = Vec::new();
    for member in others {
        summaries.push(cluster.submit(member, &summary(member)));
        cluster.history.wait_for(0, "a part of a summary", |event| {
            matches!(event, EventKind::PartReceived { id, from, .. } if id.starts_with("summary") && *from == member)
        });
    }
    cluster.kill(OWNER);
    let answer = client.wait().expect("an answer");
    for summary in summaries {
        assert_eq!(summary.status(), 200);
    }
    cluster.check_history();
    answer
}

/// Guards against 429, which says that trying again is harmless, for a query that has run at its lost owner.
#[test]
fn a_query_that_may_have_run_is_not_rejected_by_a_full_member_that_takes_it_over() {
    let (status, body) = answer_after_takeover_by_full_members("full-once", once);
    assert!([503, 504].contains(&status), "{status}, but the query may have run: {body}");
}

/// Guards against a takeover that ends in a rejection although the member has capacity again in time.
#[test]
fn a_full_member_serves_a_query_that_it_takes_over_once_it_has_capacity() {
    let (status, body) = answer_after_takeover_by_full_members("full-lookup", lookup);
    assert_eq!(status, 200, "{body}");
}
