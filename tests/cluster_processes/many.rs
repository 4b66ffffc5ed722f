//! Many members and many asks at once.
use crate::client::{fields, once};
use crate::cluster::Cluster;
use crate::history::{Ask, EventKind};
use crate::servers::ServerAction;

#[test]
fn one_id_at_all_members_at_the_same_moment_is_one_piece_of_work() {
    let cluster = Cluster::start("same-moment", &["a", "b", "c"]);
    for n in 0..12 {
        let ask = if n % 2 == 0 { fields(&format!("q{n}")) } else { once(&format!("q{n}")) };
        let clients: Vec<_> = (0..3).map(|member| cluster.ask((member + n) % 3, &ask)).collect();
        let ends: Vec<_> = clients.into_iter().map(|c| c.end().expect("an answer")).collect();
        assert!(ends.iter().all(|end| end.0 == 200 && *end == ends[0]), "{ends:?}");
        assert_eq!((cluster.attempts(&ask, 0), cluster.attempts(&ask, 1)), (1, 1));
    }
    cluster.check();
}

#[test]
fn the_same_id_with_another_text_or_class_is_refused() {
    let cluster = Cluster::start("other-text", &["a", "b", "c"]);
    cluster.servers.script(|_| ServerAction::Hold);
    let ask = fields(&cluster.id(1, 0));
    let client = cluster.ask(0, &ask);
    cluster.sent(1, &ask);
    let others = || [Ask { text: "kofi".into(), ..ask.clone() }, once(&ask.id)];
    for member in 0..3 {
        for other in others() {
            assert_eq!(cluster.ask(member, &other).status(), 409, "while it is in hand");
        }
    }
    cluster.servers.release();
    assert_eq!(client.status(), 200);
    for other in others() {
        assert_eq!(cluster.ask(2, &other).status(), 409, "and once it is over");
    }
    cluster.check();
}

/// A client that leaves does not end the work; asked again elsewhere, it has gone on.
#[test]
fn a_client_that_left_asks_again_elsewhere() {
    let cluster = Cluster::start("again", &["a", "b", "c"]);
    cluster.servers.script(|_| ServerAction::Hold);
    let ask = once(&cluster.id(0, 0));
    let client = cluster.ask(0, &ask);
    cluster.sent(0, &ask);
    client.leave();
    let again = cluster.ask(1, &ask);
    cluster.servers.release();
    assert_eq!(again.status(), 200);
    assert_eq!(cluster.ask(2, &ask).status(), 200);
    assert_eq!((cluster.attempts(&ask, 0), cluster.attempts(&ask, 1)), (1, 1));
    cluster.check();
}

#[test]
fn all_of_a_zone_is_lost_while_a_server_is_drained() {
    let mut cluster = Cluster::start("zone", &["a", "a", "b", "b", "c", "c"]);
    cluster.servers.script(|part| if part.from < 2 { ServerAction::Hold } else { ServerAction::Serve });
    let asks: Vec<Ask> = (0..16).map(|n| fields(&cluster.id(n % 2, n / 2))).collect();
    let clients: Vec<_> = asks.iter().enumerate().map(|(n, ask)| cluster.ask(2 + n % 4, ask)).collect();
    for (n, ask) in asks.iter().enumerate() {
        cluster.sent(n % 2, ask);
    }
    cluster.drain(3);
    cluster.kill(0);
    cluster.kill(1);
    for client in clients {
        assert_eq!(client.status(), 200);
    }
    let taken = |w: &EventKind| matches!(w, EventKind::Part { from, .. } if *from >= 2);
    assert!(cluster.history.count(0, taken) >= 32, "by those who are left");
    cluster.check();
}

/// Four of nine are lost one after the other, each with the `n`th frame about a query to its first acceptor, whatever state
/// others are in.
#[test]
fn nine_members_lose_four_at_each_step_of_a_query() {
    let zones = ["a", "b", "c", "a", "b", "c", "a", "b", "c"];
    let mut cluster = Cluster::start("nine", &zones);
    for lost in 0..4 {
        let whole = |id: &String| cluster.group(id).iter().all(|m| *m >= lost);
        let ids: Vec<String> = (0..).map(|n| cluster.id(lost, n)).filter(whole).take(4).collect();
        let acceptor = cluster.group(&ids[0])[1];
        cluster.wires.watch(lost, acceptor, &ids[0], "step");
        let from = cluster.history.len();
        let asks: Vec<Ask> = ids.iter().map(|id| fields(id)).collect();
        let clients: Vec<_> = asks.iter().enumerate().map(|(n, ask)| cluster.ask(4 + n, ask)).collect();
        // The frame, or else the query is over.
        let mut at = from;
        let step = |w: &EventKind| matches!(w, EventKind::Forwarded { from, to, .. } if (*from, *to) == (lost, acceptor));
        let over =
            |w: &EventKind| matches!(w, EventKind::Answered { client, .. } if *client == clients[0].number);
        for _ in 0..=lost {
            at = cluster.history.wait(at, "a step or the end", |w| step(w) || over(w)) + 1;
            if over(&cluster.history.events()[at - 1].what) {
                break;
            }
        }
        assert!(cluster.history.count(from, step) > 0, "its record came to its acceptor first");
        cluster.kill(lost);
        for client in clients {
            assert_eq!(client.status(), 200);
        }
    }
    cluster.check();
}
