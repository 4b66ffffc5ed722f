//! Search servers send a second copy of some answers right after, when nothing else waits on the connection. Each client
//! must get the answer that was made for its own search, or an error.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standins::harness::{self, Environment, Settings, BROKEN, COULD_NOT_RUN, HELD};
use review_standins::http1::{self, Client, Handler};
use std::io::Write;

/// One way between two rooms, as the brief says: 0.7 to 1.3 ms.
const ONE_WAY: Duration = Duration::from_millis(1);
/// One answer in so many has a second copy.
const COPY_EVERY: u64 = 10;
/// How long after the answer its copy is written.
const RIGHT_AFTER: Duration = Duration::from_micros(300);
/// Work of one search at its server: the deployment's file says 140 to 180 ms.
const WORK: Duration = Duration::from_millis(150);
const CLIENTS: usize = 8;
const SEARCHES: usize = 80;

fn main() {
    std::process::exit(run(&Environment::read()));
}

/// Returns the text of the first string value of `key`.
fn text<'a>(json: &'a str, key: &str) -> &'a str {
    let marker = format!("\"{key}\":\"");
    json.split_once(&marker).and_then(|(_, rest)| rest.split('"').next()).unwrap_or("")
}

fn server(name: String, environment: &Environment) -> u16 {
    let record = environment.record.clone();
    let trouble = environment.trouble;
    let served = AtomicU64::new(0);
    let handler: Handler = Arc::new(move |request, stream| {
        let plot = text(&request.body, "plot");
        let body = http1::hit("fields", plot, &format!(r#"{{"plot":"{plot}"}}"#));
        let answer = http1::response(request.header("x-opaque-id"), &body);
        std::thread::sleep(WORK);
        record.line(format!("{name} ran the search for plot {plot} ({})", request.header("x-opaque-id")));
        stream.write_all(answer.as_bytes())?;
        if trouble && served.fetch_add(1, Ordering::Relaxed).is_multiple_of(COPY_EVERY) {
            std::thread::sleep(RIGHT_AFTER);
            // Nothing else waits on this connection: no byte of a further request has come.
            stream.set_nonblocking(true)?;
            let nothing_waits =
                matches!(stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            stream.set_nonblocking(false)?;
            if nothing_waits {
                record.line(format!("{name} sent a second copy of the answer for plot {plot}"));
                stream.write_all(answer.as_bytes())?;
            }
        }
        Ok(())
    });
    http1::start_proxy(http1::start_server(handler), ONE_WAY)
}

fn run(environment: &Environment) -> i32 {
    let record = &environment.record;
    let servers: Vec<(u16, u16)> =
        (0..4).map(|cell| (server(format!("map-{cell}"), environment), cell)).collect();
    environment.write("opensearch.zone", &harness::zone_file("_opensearch._tcp", &servers));
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
  query_api: {{ listen: "127.0.0.1:{port}", records: "opensearch.zone", service: "_opensearch._tcp.accra-fields.test.",
    indices: {{ fields: "field-lookup" }} }} }}"#,
            settings.json()
        ),
    );
    let mut program = environment.serve("coordinator", &config);
    if !http1::wait_until_ready(port, Duration::from_secs(10)) {
        record.say(format!("the program is not ready; its log: {}", program.log_text()));
        return COULD_NOT_RUN;
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || {
                let (mut right, mut foreign, mut errors) = (0, 0, 0);
                let Ok(mut connection) = Client::connect(port) else { return (0, 0, SEARCHES) };
                for search in 0..SEARCHES {
                    let plot = format!("c{client}-{search}");
                    let target = format!("/fields/_search?preference=_shards:{}&timeout=2s", search % 8);
                    let body = format!(r#"{{"query":{{"term":{{"plot":"{plot}"}}}}}}"#);
                    let sent = Instant::now();
                    match connection.search(&target, &plot, &body, Duration::from_millis(2550)) {
                        Ok(answer) if answer.status() == 200 => {
                            let got = text(&answer.body, "_id").to_owned();
                            if got == plot {
                                right += 1;
                            } else {
                                foreign += 1;
                                record.line(format!(
                                    "FOREIGN: client {client} searched for plot {plot} and got 200 with the answer for plot {got} after {:.1} ms",
                                    sent.elapsed().as_secs_f64() * 1000.0
                                ));
                            }
                        }
                        Ok(answer) => {
                            errors += 1;
                            record.line(format!("client {client}: plot {plot} got status {}", answer.status()));
                        }
                        Err(e) => {
                            errors += 1;
                            record.line(format!("client {client}: plot {plot}: {e}"));
                            match Client::connect(port) {
                                Ok(new) => connection = new,
                                Err(_) => return (right, foreign, errors),
                            }
                        }
                    }
                }
                (right, foreign, errors)
            })
        })
        .collect();
    let (mut right, mut foreign, mut errors) = (0, 0, 0);
    for client in clients {
        let (r, f, e) = client.join().unwrap_or((0, 0, SEARCHES));
        (right, foreign, errors) = (right + r, foreign + f, errors + e);
    }
    if !program.is_running() {
        record.say(format!("CRASH: the program ended: {}", program.log_text()));
        return BROKEN;
    }
    record.say(format!(
        "{right} searches got their own answer, {foreign} another one's with status 200, {errors} an error"
    ));
    if foreign > 0 {
        BROKEN
    } else if right == 0 {
        COULD_NOT_RUN
    } else {
        HELD
    }
}
