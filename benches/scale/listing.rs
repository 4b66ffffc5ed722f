//! Bytes and time of the list of data nodes: whole, by changed entry, standing, and after a restart, a broken watch
//! and a lost zone.
use std::hint::black_box;
use std::time::Instant;

use marlgap::balancer::interface::EndpointUpdate;
use marlgap::net::discovery::EndpointList;

use crate::client::{follow, list, nowhere, Client};
use crate::options::Options;
use crate::report::{least, Kind, Report, Row};
use crate::standin::{Exchange, Reply};
use crate::target::*;

const CARRIED: &str = "src/net/discovery/";
/// Rounds that a time is the least of.
const ROUNDS: usize = 9;
const ZONES: u64 = TARGET.zones as u64;

/// Memory that these runs need at most, in MB: the list's text a few times over, and what is kept of it.
pub fn estimate_mb(options: &Options) -> u64 {
    32 + (options.size * TARGET.data_nodes * 8_000.0 / 1e6) as u64
}

pub fn run(options: &Options, report: &mut Report) {
    let nodes = options.scaled(TARGET.data_nodes, 4.0) as u64;
    let rows = [whole(options), takeover(options), changes(options, nodes), one_change(options)];
    rows.into_iter().flatten().for_each(|row| report.push(row));
    watch(options).into_iter().for_each(|row| report.push(row));
}

fn row(figure: &str, unit: &str, axis: &str, target: f64, points: Vec<(f64, f64)>) -> Row {
    let [role, figure, unit, axis] = ["coordinator", figure, unit, axis].map(str::to_owned);
    let kind = if unit == "us" || unit == "cores" { Kind::Time } else { Kind::Exact };
    let (bound, carried_by, note) = (None, CARRIED.to_owned(), String::new());
    Row { role, figure, axis, unit, kind, points, target, bound, carried_by, note }
}

/// Seconds that so many bytes take at what a coordinator may spend on control.
pub fn seconds(bytes: f64) -> f64 {
    bytes / CONTROL_BYTES
}

/// A row of bytes as the seconds that they take, held against the time in which a change is to be in force.
fn as_seconds(bytes: &Row, figure: &str, note: &str) -> Row {
    let points = bytes.points.iter().map(|(x, y)| (*x, seconds(*y))).collect();
    let mut row = row(figure, "s", &bytes.axis, bytes.target, points);
    (row.bound, row.note) = (Some(IN_FORCE_SECONDS), note.to_owned());
    row
}

/// One exchange of the program's client that is answered like this, after a list of so many data nodes.
pub fn change_exchange(listed: u64, first: u64, changed: u64) -> Exchange {
    let replies = vec![
        Reply::Body(list(41, true, 0, listed, ZONES, "up")),
        Reply::Body(list(42, false, first, changed, ZONES, "draining")),
    ];
    follow(listed, ZONES, None, replies).pop().expect("two exchanges")
}

/// The exchange that brings the whole list.
pub fn whole_exchange(listed: u64) -> Exchange {
    let replies = vec![Reply::Body(list(41, true, 0, listed, ZONES, "up"))];
    follow(listed, ZONES, None, replies).pop().expect("an exchange")
}

fn whole(options: &Options) -> Vec<Row> {
    let sizes = options.sizes(TARGET.data_nodes, 4.0);
    let points = sizes.iter().map(|n| (*n, whole_exchange(*n as u64).bytes() as f64)).collect();
    let mut bytes =
        row("whole list, call and answer", "bytes", "data nodes listed", TARGET.data_nodes, points);
    bytes.note = "at each start without a known list, and where discovery's place moves".to_owned();
    let note = "at 2 KB a second; the bound is the time in which a change is to be in force";
    let seconds = as_seconds(&bytes, "whole list within control's bytes", note);
    vec![bytes, seconds]
}

/// Parsing a text, and taking it over through the module's round; the least times in microseconds.
pub fn parse_and_take(client: &Client, texts: &[String], news: EndpointUpdate) -> (f64, f64) {
    let (mut parses, mut takes) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let begun = Instant::now();
        let list: EndpointList =
            serde_json::from_slice(texts[round % texts.len()].as_bytes()).expect("the bench's own list");
        parses.push(begun.elapsed());
        let begun = Instant::now();
        client.take_over(black_box(&list), news);
        takes.push(begun.elapsed());
    }
    (least(&parses), least(&takes))
}

fn takeover(options: &Options) -> Vec<Row> {
    let (mut parses, mut takes) = (Vec::new(), Vec::new());
    for n in options.sizes(TARGET.data_nodes, 4.0) {
        let client = Client::new(n as u64, ZONES, nowhere());
        let (parse, take) =
            parse_and_take(&client, &[list(41, true, 0, n as u64, ZONES, "up")], EndpointUpdate::Full);
        parses.push((n, parse));
        takes.push((n, take));
    }
    let axis = "data nodes listed";
    let parse = row("whole list parsed", "us", axis, TARGET.data_nodes, parses);
    let mut take =
        row("whole list taken over, connections' side and module", "us", axis, TARGET.data_nodes, takes);
    take.note = "all entries known before".to_owned();
    vec![parse, take]
}

/// By number of changed entries in one answer.
fn changes(options: &Options, nodes: u64) -> Vec<Row> {
    let (mut sizes, mut times) = (Vec::new(), Vec::new());
    let client = Client::new(nodes, ZONES, nowhere());
    let known = list(41, true, 0, nodes, ZONES, "up");
    client.take_over(&serde_json::from_str(&known).expect("the bench's own list"), EndpointUpdate::Full);
    for changed in options.sizes(TARGET.zone_entries(), 1.0) {
        sizes.push((changed, change_exchange(nodes, 0, changed as u64).bytes() as f64));
        let texts = ["draining", "up"].map(|health| list(42, false, 0, changed as u64, ZONES, health));
        let (parse, take) = parse_and_take(&client, &texts, EndpointUpdate::Delta);
        times.push((changed, parse + take));
    }
    let axis = "entries changed";
    let mut bytes = row("changed entries, call and answer", "bytes", axis, TARGET.zone_entries(), sizes);
    bytes.note = format!("{nodes} data nodes listed; the target is a lost zone");
    let note = "a lost zone at 2 KB a second; the bound is the time in which a change is to be in force";
    let seconds = as_seconds(&bytes, "changed entries within control's bytes", note);
    let mut time = row("changed entries parsed and taken over", "us", axis, TARGET.zone_entries(), times);
    time.note = bytes.note.clone();
    vec![bytes, seconds, time]
}

/// One changed entry, by number of data nodes listed.
fn one_change(options: &Options) -> Vec<Row> {
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for n in options.sizes(TARGET.data_nodes, 4.0) {
        bytes.push((n, change_exchange(n as u64, 0, 1).bytes() as f64));
        let client = Client::new(n as u64, ZONES, nowhere());
        let known = list(41, true, 0, n as u64, ZONES, "up");
        client.take_over(&serde_json::from_str(&known).expect("the bench's own list"), EndpointUpdate::Full);
        let texts = ["draining", "up"].map(|health| list(42, false, 0, 1, ZONES, health));
        let (parse, take) = parse_and_take(&client, &texts, EndpointUpdate::Delta);
        times.push((n, parse + take));
    }
    let axis = "data nodes listed";
    let bytes = row("one changed entry, call and answer", "bytes", axis, TARGET.data_nodes, bytes);
    let time = row("one changed entry parsed and taken over", "us", axis, TARGET.data_nodes, times);
    let mut cores = row("6,400 changes a day", "cores", axis, TARGET.data_nodes, Vec::new());
    let a_second = CHANGES_A_DAY / SECONDS_A_DAY;
    cores.points = time.points.iter().map(|(x, y)| (*x, y * a_second / 1e6)).collect();
    cores.bound = Some(CONTROL_CORES);
    vec![bytes, time, cores]
}

/// Bytes a second of a watch that brings so many changes a second, each in an answer of its own, by the calls that the
/// program makes: the wait that a call asks for is how long discovery may hold it where nothing changes.
pub fn watch_bytes(changes_a_second: f64) -> f64 {
    let empty = format!(r#"{{"seq":{},"whole":false,"hosts":[]}}"#, 41);
    let replies = vec![Reply::Body(list(41, true, 0, 4, ZONES, "up")), Reply::Body(empty)];
    let idle = follow(4, ZONES, None, replies).pop().expect("two exchanges");
    let standing = idle.bytes() as f64 / idle.wait().expect("a watch says how long it waits");
    standing + changes_a_second * change_exchange(4, 0, 1).bytes() as f64
}

fn watch(options: &Options) -> Vec<Row> {
    let target = CHANGES_A_DAY / SECONDS_A_DAY;
    let sizes = [0.0, 0.25, 0.5, 1.0, 2.0, 10.0, 100.0];
    let points = sizes.iter().map(|share| (target * share, watch_bytes(target * share))).collect();
    let mut watch = row("a watch, calls and answers", "bytes/s", "changes a second", target, points);
    watch.bound = Some(CONTROL_BYTES);
    watch.note = "6,400 changes a day are the target; each in an answer of its own".to_owned();
    let nodes = options.scaled(TARGET.data_nodes, 4.0) as u64;
    vec![watch, restart(options, nodes), broken(options, nodes)]
}

/// The first exchange of a process that has its configuration's list, so many changes behind.
fn restart(options: &Options, nodes: u64) -> Row {
    let known = list(41, true, 0, nodes, ZONES, "up");
    let bytes = |changed: f64| {
        let replies = vec![Reply::Body(list(42, false, 0, changed as u64, ZONES, "up"))];
        follow(nodes, ZONES, Some(&known), replies).pop().expect("an exchange").bytes() as f64
    };
    let target = (CHANGES_A_DAY / 24.0).round();
    let points = options.sizes(target, 1.0).into_iter().map(|n| (n, bytes(n))).collect();
    let mut row = row("restart with a known list", "bytes", "entries changed since", target, points);
    row.note = "the target is a known list that is an hour old; without one: the whole list".to_owned();
    row
}

/// What the client asks for once a watch has ended without an answer.
fn broken(options: &Options, nodes: u64) -> Row {
    let bytes = |changed: f64| {
        let replies = vec![
            Reply::Body(list(41, true, 0, nodes, ZONES, "up")),
            Reply::Close,
            Reply::Body(list(42, false, 0, changed as u64, ZONES, "up")),
        ];
        let exchanges = follow(nodes, ZONES, None, replies);
        exchanges.iter().skip(1).map(Exchange::bytes).sum::<usize>() as f64
    };
    let target = (CHANGES_A_DAY / 24.0 / 60.0).round();
    let points = options.sizes(target, 1.0).into_iter().map(|n| (n, bytes(n))).collect();
    let mut row = row("a broken watch", "bytes", "entries changed since", target, points);
    row.note = "the call that broke and its renewal; the target is a minute's changes".to_owned();
    row
}
