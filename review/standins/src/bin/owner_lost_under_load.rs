//! Three coordinators hold registrations together, which must not run twice. Then two of them get the three summaries
//! that they may hold; the third one is killed while it has registrations in hand, and comes back. A client that is
//! refused (429) tries again, as it may.
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use review_standins::harness::{self, Environment, Process, Record, Settings, BROKEN, COULD_NOT_RUN, HELD};
use review_standins::http1::{self, Client, Handler};

const MEMBERS: [(&str, &str); 3] = [("c1", "accra-east"), ("c2", "accra-west"), ("c3", "tema")];
/// The member that is killed.
const KILLED: usize = 1;
/// Grid tiles, all of which a summary needs. Three summaries are all that a coordinator may hold (OpenCap 75).
const TILES: u32 = 24;
const SUMMARIES: usize = 3;
/// Servers, each with two cores; a part that finds none free waits.
const SERVERS: u16 = 12;
const CORES: usize = 2;
const REGISTRATIONS: usize = 24;
/// How often a client tries again after a refusal.
const RETRIES: usize = 2;
/// The usual work of a part of a summary, and of a registration.
const SUMMARY_WORK: Duration = Duration::from_millis(200);
const REGISTRATION_WORK: Duration = Duration::from_millis(160);
/// From the registrations to the summaries, and from these to the kill.
const UNTIL_SUMMARIES: Duration = Duration::from_millis(20);
const UNTIL_KILL: Duration = Duration::from_millis(80);
/// How long the killed coordinator is away.
const AWAY: Duration = Duration::from_millis(1500);

fn main() {
    std::process::exit(run(&Environment::read()));
}

/// The tries, by their X-Opaque-Id, that a server has begun to run, for each farmer.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// The free cores of a server.
struct Cores(Mutex<usize>, Condvar);

impl Cores {
    fn take(&self) {
        let mut free = self.0.lock().expect("cores");
        while *free == 0 {
            free = self.1.wait(free).expect("cores");
        }
        *free -= 1;
    }

    fn give_back(&self) {
        *self.0.lock().expect("cores") += 1;
        self.1.notify_one();
    }
}

fn server(name: String, environment: &Environment, runs: Runs) -> u16 {
    let record = environment.record.clone();
    let cores = Cores(Mutex::new(CORES), Condvar::new());
    let handler: Handler = Arc::new(move |request, stream| {
        let marker = "\"farmer\":\"";
        let farmer = request.body.split_once(marker).and_then(|(_, r)| r.split('"').next()).unwrap_or("");
        let index = if request.start.contains("/registrations/") { "registrations" } else { "districts" };
        let id = request.header("x-opaque-id");
        cores.take();
        if index == "registrations" {
            record.line(format!("{name} runs the registration of {farmer} ({id})"));
            // The coordinator adds the tile's number to the id.
            let id = id.rsplit_once('.').map_or("", |(id, _)| id).to_owned();
            runs.lock().expect("runs").entry(farmer.to_owned()).or_default().push(id);
            std::thread::sleep(REGISTRATION_WORK);
        } else {
            std::thread::sleep(SUMMARY_WORK);
        }
        cores.give_back();
        let answer = http1::response(id, &http1::hit(index, farmer, &format!(r#"{{"farmer":"{farmer}"}}"#)));
        stream.write_all(answer.as_bytes())
    });
    http1::start_server(handler)
}

fn config(environment: &Environment, member: usize, api: &[u16], links: &[u16]) -> PathBuf {
    let settings = Settings {
        open_cap: 75,
        classes: r#"{ Name: "district-summary", AimS: 2.0, DeadlineS: 6.0, Worth: 3.0, LateWorth: 0.3, Semantics: "pure" },
    { Name: "registration", AimS: 2.0, DeadlineS: 4.0, Worth: 3.0, LateWorth: 0.3, Semantics: "side_effect" }"#,
        shards: TILES,
        positions: SERVERS as u32,
        in_a_row: 4,
        per_class:
            "ClassNeed: [1.0, 1.0], ClassPartial: [0.8, 0.9], LeastShare: [0.8, 1.0], FetchParts: [0, 0]",
        second_copies: true,
    };
    let members: Vec<String> = MEMBERS
        .iter()
        .zip(links)
        .map(|((name, zone), port)| {
            format!(r#"{{ name: "{name}", address: "127.0.0.1:{port}", zone: "{zone}" }}"#)
        })
        .collect();
    environment.write(
        &format!("{}.json5", MEMBERS[member].0),
        &format!(
            r#"{{ settings: {},
  query_api: {{ listen: "127.0.0.1:{}", records: "opensearch.zone", service: "_opensearch._tcp.accra-fields.test.",
    indices: {{ districts: "district-summary", registrations: "registration" }} }},
  fleet: {{ cluster: "accra", name: "{}", listen: "127.0.0.1:{}", members: [ {} ],
    protect: {{ "registration": {{ guards: 3, slack_s: 5.0, when_full: "refuse" }} }}, lease_ms: 300, drift: 0.01 }} }}"#,
            settings.json(),
            api[member],
            MEMBERS[member].0,
            links[member],
            members.join(", ")
        ),
    )
}

fn run(environment: &Environment) -> i32 {
    let record = &environment.record;
    let runs = Runs::default();
    let servers: Vec<(u16, u16)> =
        (0..SERVERS).map(|cell| (server(format!("map-{cell}"), environment, runs.clone()), cell)).collect();
    environment.write("opensearch.zone", &harness::zone_file("_opensearch._tcp", &servers));
    let api: Vec<u16> = MEMBERS.iter().map(|_| harness::free_port()).collect();
    let links: Vec<u16> = MEMBERS.iter().map(|_| harness::free_port()).collect();
    let configs: Vec<PathBuf> =
        (0..MEMBERS.len()).map(|member| config(environment, member, &api, &links)).collect();
    let mut members: Vec<Process> =
        MEMBERS.iter().zip(&configs).map(|((name, _), config)| environment.serve(name, config)).collect();
    let until = Instant::now() + Duration::from_secs(20);
    let founded = |members: &[Process]| members.iter().all(|m| m.log_text().contains("fleet configuration"));
    while !founded(&members) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    if !founded(&members) || !api.iter().all(|port| http1::wait_until_ready(*port, Duration::from_secs(5))) {
        record.say("the coordinators did not found their fleet");
        return COULD_NOT_RUN;
    }

    // Each client asks a coordinator that lives on, and tries again only after a refusal.
    let survivors: Vec<usize> = (0..api.len()).filter(|m| *m != KILLED).collect();
    let clients: Vec<_> = (0..REGISTRATIONS)
        .map(|n| {
            let (record, port) = (record.clone(), api[survivors[n % survivors.len()]]);
            std::thread::spawn(move || register(&record, port, n))
        })
        .collect();
    std::thread::sleep(UNTIL_SUMMARIES);
    let summaries: Vec<_> = survivors
        .iter()
        .flat_map(|member| (0..SUMMARIES).map(move |n| (*member, n)))
        .map(|(member, n)| {
            let (record, port) = (record.clone(), api[member]);
            std::thread::spawn(move || {
                ask_for_summary(&record, port, &format!("summary-{}-{n}", MEMBERS[member].0))
            })
        })
        .collect();
    std::thread::sleep(UNTIL_KILL);
    if environment.trouble {
        members[KILLED].signal("-KILL");
        record.line(format!("killed {} (SIGKILL)", MEMBERS[KILLED].0));
        std::thread::sleep(AWAY);
        members[KILLED] = environment.serve(MEMBERS[KILLED].0, &configs[KILLED]);
    }
    let tries: Vec<Vec<(String, u16)>> = clients.into_iter().map(|c| c.join().unwrap_or_default()).collect();
    summaries.into_iter().for_each(|summary| drop(summary.join()));
    let crashed = (0..members.len()).find(|member| !members[*member].is_running());
    if let Some(member) = crashed {
        record.say(format!("CRASH: {} ended: {}", MEMBERS[member].0, members[member].log_text()));
        return BROKEN;
    }
    let runs = runs.lock().expect("runs").clone();
    let has_run =
        |farmer: &str, id: &str| runs.get(farmer).is_some_and(|ids| ids.iter().any(|ran| ran == id));
    let mut refused_but_ran = 0;
    for (n, tries) in tries.iter().enumerate() {
        for (id, _) in tries.iter().filter(|(id, status)| *status == 429 && has_run(&format!("F{n}"), id)) {
            refused_but_ran += 1;
            record.say(format!(
                "REFUSED: {id} ran at a server, and its client was told 429: trying again is harmless"
            ));
        }
    }
    let twice: Vec<_> = runs.iter().filter(|(_, ids)| ids.len() > 1).collect();
    for (farmer, ids) in &twice {
        record.say(format!(
            "TWICE: the registration of {farmer} ran {} times, for {}",
            ids.len(),
            ids.join(", ")
        ));
    }
    let of = |wanted: u16| tries.iter().flatten().filter(|(_, status)| *status == wanted).count();
    record.say(format!(
        "{} of {REGISTRATIONS} registrations ran, {} of them more than once; {refused_but_ran} tries ran and were refused; \
         answers: {} of 200, {} of 429, {} of 503, {} of 504",
        runs.len(),
        twice.len(),
        of(200),
        of(429),
        of(503),
        of(504)
    ));
    if !twice.is_empty() || refused_but_ran > 0 {
        BROKEN
    } else if runs.is_empty() {
        COULD_NOT_RUN
    } else {
        HELD
    }
}

/// Asks for a summary, once.
fn ask_for_summary(record: &Record, port: u16, id: &str) {
    let body = r#"{"query":{"match_all":{}}}"#;
    let answer = Client::connect(port)
        .and_then(|mut c| c.search("/districts/_search?timeout=6s", id, body, Duration::from_millis(6600)));
    record.line(format!("{id} got status {}", answer.map_or(0, |a| a.status())));
}

/// Registers a farmer; returns the id of each try and its status.
fn register(record: &Record, port: u16, n: usize) -> Vec<(String, u16)> {
    let mut tries = Vec::new();
    for attempt in 0..=RETRIES {
        let id = format!("registration-{n}-{attempt}");
        let target = format!("/registrations/_search?preference=_shards:{}&timeout=4s", n as u32 % TILES);
        let body = format!(r#"{{"query":{{"term":{{"farmer":"F{n}"}}}}}}"#);
        let answer = Client::connect(port)
            .and_then(|mut c| c.search(&target, &id, &body, Duration::from_millis(4600)));
        let status = answer.as_ref().map_or(0, |a| a.status());
        let retry_after = answer.as_ref().map_or("", |a| a.header("retry-after")).to_owned();
        record.line(format!("{id} of F{n} got status {status}, Retry-After {retry_after:?}"));
        tries.push((id, status));
        if status != 429 {
            break;
        }
        let wait = retry_after.parse::<f64>().unwrap_or(0.5).clamp(0.0, 2.0);
        std::thread::sleep(Duration::from_secs_f64(wait));
    }
    tries
}
