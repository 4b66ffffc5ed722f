//! Links between members that are cut, slow or unruly.
use crate::client::{fields, once};
use crate::cluster::Cluster;
use crate::history::{Ask, EventKind};
use crate::servers::ServerAction;
use crate::wires::Rule;

const FIVE: [&str; 5] = ["a", "b", "c", "d", "e"];
const CUT: Rule = Rule { swallow: true, delay_ms: 0, reorder: false, double: false, refuse: false };

/// The owner and a client of its own are cut off from all others, by `cut`, while its parts are out. One that hears may
/// still be told what was decided.
fn cut_off(test: &str, hears: bool, cut: impl Fn(&Cluster, usize)) {
    let cluster = Cluster::start(test, &FIVE);
    cluster.servers.script(|part| if part.from == 0 { ServerAction::Hold } else { ServerAction::Serve });
    let ask = Ask { wait_ms: 1500, ..fields(&cluster.id(0, 0)) };
    let group = cluster.group(&ask.id);
    let own = cluster.ask(0, &ask);
    cluster.sent(0, &ask);
    for other in 1..5 {
        cut(&cluster, other);
    }
    let decided = cluster.ask(group[1], &ask).end().expect("an answer");
    assert_eq!(decided.0, 200, "the majority goes on");
    let from = cluster.history.len();
    cluster.servers.release();
    let end = own.end().expect("an answer");
    let refused = [429, 503, 504].contains(&end.0);
    assert!(refused || (hears && end == decided), "{end:?}: nothing is answered without a majority");
    let sent = |w: &EventKind| matches!(w, EventKind::Part { id, from: 0, .. } if *id == ask.id);
    assert_eq!(cluster.history.count(from, sent), 0, "nor sent");
    cluster.wires.all(Rule::default());
    assert_eq!(cluster.ask(0, &ask).status(), 200, "healed, it learns what was decided");
    cluster.check();
}

#[test]
fn a_minority_with_owner_and_client_is_cut_off() {
    cut_off("minority", false, |cluster, other| cluster.wires.between(&[0], &[other], CUT));
}

#[test]
fn an_owner_that_hears_and_is_not_heard() {
    cut_off("unheard", true, |cluster, other| cluster.wires.set(0, other, CUT));
}

#[test]
fn an_owner_that_is_heard_and_does_not_hear() {
    let cluster = Cluster::start("deaf", &FIVE);
    cluster.servers.script(|part| if part.from == 0 { ServerAction::Hold } else { ServerAction::Serve });
    let ask = fields(&cluster.id(0, 0));
    let entry = cluster.group(&ask.id)[1];
    let client = cluster.ask(entry, &ask);
    cluster.sent(0, &ask);
    for other in 1..5 {
        cluster.wires.set(other, 0, CUT);
    }
    // No renewal is acknowledged: it holds nothing, and what comes in now it may not decide.
    cluster.wires.watch(entry, 0, "\x01", "acknowledged");
    let mut at = 0;
    // One comes each third of a lease.
    for _ in 0..5 {
        let swallowed =
            |w: &EventKind| matches!(w, EventKind::Swallowed { from, to: 0, .. } if *from == entry);
        at = 1 + cluster.history.wait(at, "an acknowledgement, swallowed", swallowed);
    }
    cluster.servers.release();
    let status = client.status();
    assert_eq!(status, 200, "it falls silent, so that its acceptors may take over");
    cluster.wires.all(Rule::default());
    cluster.check();
}

#[test]
fn links_that_delay_double_reorder_and_break() {
    let cluster = Cluster::start("unruly", &["a", "b", "c"]);
    cluster.wires.all(Rule { delay_ms: 5, reorder: true, double: true, ..Rule::default() });
    let asks: Vec<Ask> =
        (0..24).map(|n| if n % 3 == 0 { once(&format!("q{n}")) } else { fields(&format!("q{n}")) }).collect();
    let clients: Vec<_> = asks.iter().enumerate().map(|(n, ask)| cluster.ask(n % 3, ask)).collect();
    for (n, client) in clients.into_iter().enumerate() {
        // Connections break all the while; what was lost with them is said again.
        cluster.wires.break_off(n % 3, (n + 1) % 3);
        let status = client.status();
        assert!(status == 200 || (n % 3 == 0 && status == 503), "{status}");
    }
    cluster.check();
}
