//! A crowd of idle clients and some resting ones fill the gRPC front's connections; newcomers make it end the oldest
//! resting ones, while the client of such a connection makes its next call. Each call must be answered, or its
//! connection ended, in time.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use review_standins::h2::{self, Client};
use review_standins::harness::{self, Environment, Random, Settings, BROKEN, COULD_NOT_RUN, HELD};

const PATH: &str = "/nkabom.fields.v1.Fields/Lookup";
/// The deadline that clients set, as they write it, and in milliseconds.
const TIMEOUT: (&str, u64) = ("2S", 2000);
/// Half a second after its time an answer only earns nothing; limits over sockets are 50 ms longer.
const GRACE: Duration = Duration::from_millis(550);
/// Connections of clients that make calls, at first and at most: below a third of the 1,024 descriptors.
const RESTING: usize = 330;
const MOST_RESTING: usize = 339;
/// Idle clients, which open a connection and make no call: with those above they fill the front.
const CROWD: usize = 410;
/// Each takes the place of a resting client, so that the number of clients that make calls stays.
const NEWCOMERS: usize = 300;

fn main() {
    let environment = Environment::read();
    std::process::exit(run(&environment));
}

fn body(tile: u8, number: u32) -> Vec<u8> {
    // Field 1, a varint: the tile. Field 2, four bytes: the number of the call.
    let mut out = vec![0x08, tile, 0x15];
    out.extend_from_slice(&number.to_le_bytes());
    out
}

fn run(environment: &Environment) -> i32 {
    let record = &environment.record;
    let ports: Vec<u16> = (0..4).map(|n| h2::start_server(format!("map-{n}"), record.clone())).collect();
    let servers: Vec<(u16, u16)> = ports.iter().zip(0..).map(|(port, cell)| (*port, cell)).collect();
    environment.write("grpc.zone", &harness::zone_file("_grpc._tcp", &servers));
    let settings = Settings {
        open_cap: 75,
        classes: r#"{ Name: "field-lookup", AimS: 2.0, DeadlineS: 4.0, Worth: 1.0, LateWorth: 0.3, Semantics: "pure" }"#,
        shards: 8,
        positions: 4,
        in_a_row: 4,
        per_class: "ClassNeed: [1.0], ClassPartial: [0.9], LeastShare: [1.0], FetchParts: [0]",
        second_copies: true,
    };
    let port = harness::free_port();
    let config = environment.write(
        "marlgap.json5",
        &format!(
            r#"{{ settings: {},
  grpc: {{ listen: "127.0.0.1:{port}", records: "grpc.zone", service: "_grpc._tcp.accra-fields.test.",
    routes: [ {{ match: "{PATH}", kind: "unary", class: "field-lookup", shard: {{ from: "field", path: [1] }} }} ] }} }}"#,
            settings.json()
        ),
    );
    let mut program = environment.serve("coordinator", &config);
    let mut number = 0;
    if !is_ready(port, &mut number) {
        record.say(format!("the program did not serve a first call; its log: {}", program.log_text()));
        return COULD_NOT_RUN;
    }

    let mut clients = VecDeque::new();
    for _ in 0..RESTING {
        let Ok(mut client) = Client::connect(port) else { return COULD_NOT_RUN };
        number += 1;
        let stream = client.call(PATH, TIMEOUT.0, &[], &body((number % 8) as u8, number));
        if !client.wait(stream, Duration::from_millis(TIMEOUT.1)) {
            record.say("a client's first call was not answered while the front had room");
            return COULD_NOT_RUN;
        }
        clients.push_back(client);
    }
    // The disruption: without the crowd, no connection has to be ended.
    let mut crowd = Vec::new();
    for _ in 0..if environment.trouble { CROWD } else { 0 } {
        let Ok(client) = Client::connect(port) else { return COULD_NOT_RUN };
        crowd.push(client);
    }
    record.say(format!("{RESTING} clients made a call each and rest; {} clients are idle", crowd.len()));
    std::thread::sleep(Duration::from_millis(2300));

    let mut random = Random(0x9e37_79b9_7f4a_7c15);
    let (mut answered, mut refused) = (0, 0);
    for newcomer in 0..NEWCOMERS {
        settle(&mut clients);
        crowd.iter_mut().for_each(Client::poll);
        let Some(mut oldest) = clients.pop_front() else { break };
        let (first, second) = (number + 1, number + 2);
        number += 2;
        let pause = Duration::from_micros(random.below(200));
        let oldest_first = random.below(2) == 0;
        let call_oldest = |oldest: &mut Client| {
            let stream = oldest.call(PATH, TIMEOUT.0, &[], &body((first % 8) as u8, first));
            (stream, Instant::now())
        };
        let mut sent_first = None;
        if oldest_first {
            sent_first = Some(call_oldest(&mut oldest));
            spin(pause);
        }
        let Ok(mut fresh) = Client::connect(port) else { return COULD_NOT_RUN };
        if !oldest_first {
            spin(pause);
        }
        let (stream, sent) = sent_first.unwrap_or_else(|| call_oldest(&mut oldest));
        let fresh_stream = fresh.call(PATH, TIMEOUT.0, &[], &body((second % 8) as u8, second));
        let fresh_sent = Instant::now();
        for (client, stream, sent, which, message) in [
            (&mut oldest, stream, sent, "resting", first),
            (&mut fresh, fresh_stream, fresh_sent, "new", second),
        ] {
            let until = sent + Duration::from_millis(TIMEOUT.1) + GRACE;
            let ended = client.wait(stream, until.saturating_duration_since(Instant::now()));
            let got = client.answers.get(&stream).cloned().unwrap_or_default();
            record.line(format!(
                "newcomer {newcomer}: call {message} on a {which} connection: {} bytes, ended {}, reset {}, GOAWAY {:?}, closed {}",
                got.data.len(),
                got.ended,
                got.reset,
                client.goaway,
                client.closed
            ));
            if !ended {
                record.say(format!(
                    "LOST: newcomer {newcomer}: call {message} on a {which} connection has no answer {} ms after it was sent, \
                     its deadline was {} ms; the connection is open",
                    sent.elapsed().as_millis(),
                    TIMEOUT.1
                ));
                report_hang(environment, &mut program, port, &mut clients, &mut number);
                return BROKEN;
            }
            if got.ended && !got.data.is_empty() {
                let expected = h2::message(&body((message % 8) as u8, message));
                if got.data != expected {
                    record.say(format!("FOREIGN: call {message} got {:?}", got.data));
                    return BROKEN;
                }
                answered += 1;
            } else {
                refused += 1;
            }
        }
        clients.extend([oldest, fresh].into_iter().filter(|c| !c.closed && c.goaway.is_none()));
        // If no connection had to be ended, the newcomer leaves.
        clients.truncate(MOST_RESTING);
    }
    if !program.is_running() {
        record.say(format!("CRASH: the program ended: {}", program.log_text()));
        return BROKEN;
    }
    record.say(format!("held: {answered} calls answered, {refused} ended without a message, 0 lost"));
    HELD
}

/// Shows whether the process still serves anybody. Says nothing about the verdict.
fn report_hang(
    environment: &Environment,
    program: &mut harness::Process,
    port: u16,
    clients: &mut VecDeque<Client>,
    number: &mut u32,
) {
    let record = &environment.record;
    // Leaves room for a further client.
    clients.truncate(clients.len().saturating_sub(50));
    let before = program.cpu_seconds();
    let started = Instant::now();
    let served = is_ready_within(port, number, Duration::from_secs(5));
    let used = program.cpu_seconds() - before;
    record.say(format!(
        "after 50 resting clients left, a further client's call was {} within {:.1} s; the process used {used:.2} s of processor time meanwhile",
        if served { "answered" } else { "not answered" },
        started.elapsed().as_secs_f64()
    ));
    program.signal("-TERM");
    let ended = program.ends_within(Duration::from_secs(10));
    record.say(format!("SIGTERM: the process {} within 10 s", if ended { "ended" } else { "did not end" }));
}

/// Lets the resting clients read what has arrived, as clients do, and forgets those whose connection the program ends.
fn settle(clients: &mut VecDeque<Client>) {
    for _ in 0..3 {
        clients.iter_mut().for_each(Client::poll);
        clients.retain(|client| !client.closed && client.goaway.is_none());
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits without giving up the processor: a sleep would take too long.
fn spin(pause: Duration) {
    let until = Instant::now() + pause;
    while Instant::now() < until {
        std::hint::spin_loop();
    }
}

fn is_ready(port: u16, number: &mut u32) -> bool {
    is_ready_within(port, number, Duration::from_secs(10))
}

fn is_ready_within(port: u16, number: &mut u32, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(port) {
            *number += 1;
            let stream = client.call(PATH, "1S", &[], &body(0, *number));
            client.wait(
                stream,
                Duration::from_millis(1200).min(until.saturating_duration_since(Instant::now())),
            );
            if client.answers.get(&stream).is_some_and(|a| a.ended && !a.data.is_empty()) {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
