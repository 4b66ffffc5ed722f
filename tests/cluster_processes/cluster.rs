//! Starts several coordinator processes, each with its own configuration file, and stand-ins for everything
//! that they communicate with. By default a single thread drives all stand-ins, clients and logs.
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::io::{AsyncBufReadExt, BufReader};
use futures_lite::FutureExt;
use marlgap::cluster::{Configuration, Member, MemberId};
use serde_json::json;

use crate::checker;
use crate::client::{exchange, parse_answer, Client};
use crate::common::{logged_address, write_configuration, write_zone_file, TEST_TIMEOUT};
use crate::history::{EventKind, History, Query};
use crate::servers::Servers;
use crate::wires::LinkProxies;

pub const SERVERS: usize = 4;

/// The log lines of one process.
#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    changed: Condvar,
}

struct Process {
    child: Child,
    log: Arc<Log>,
    /// The address of its query API.
    search: SocketAddr,
}

pub struct Cluster {
    pub history: Arc<History>,
    pub proxies: Arc<LinkProxies>,
    pub servers: Arc<Servers>,
    folders: Vec<PathBuf>,
    zones: Vec<String>,
    processes: Vec<Option<Process>>,
    clients: AtomicUsize,
    executor: Arc<Executor<'static>>,
    /// Closing this channel ends the threads.
    stop: async_channel::Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

/// The options of a test cluster.
#[derive(Clone, Copy)]
pub struct Setup {
    pub protect: bool,
    /// Members connect to each other directly instead of through proxies; used for measurements.
    pub direct: bool,
    /// The number of threads for all stand-ins and clients.
    pub threads: usize,
    /// The number of open queries and parts that a member may hold.
    pub max_open: usize,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup { protect: true, direct: false, threads: 1, max_open: 1000 }
    }
}

/// Writes the configuration file of a member: protected classes, other members and servers.
fn write_config(
    folder: &std::path::Path,
    member: usize,
    addrs: &[SocketAddr],
    zones: &[String],
    setup: Setup,
) {
    let file = folder.join("marlgap.json5");
    let text = std::fs::read_to_string(&file).expect("read");
    let mut all: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let settings = &mut all["settings"];
    settings["Classes"][0]["Semantics"] = "side_effect".into();
    settings["FamilyInfo"]["FetchParts"] = json!([0, 0, 0]);
    let entry =
        |(n, zone): (usize, &String)| json!({"name": name(n), "address": addrs[n].to_string(), "zone": zone});
    let members: Vec<_> = zones.iter().enumerate().map(entry).collect();
    let class = json!({"guards": 3, "slack_s": 5.0, "when_full": "refuse"});
    let protected =
        if setup.protect { json!({"field-lookup": class, "overlap-check": class}) } else { json!({}) };
    if members.len() > 1 || setup.protect {
        let listen = if setup.direct { addrs[member].to_string() } else { "127.0.0.1:0".to_owned() };
        all["fleet"] = json!({"cluster": "t", "name": name(member), "listen": listen, "members": members,
            "store": "log.redb", "protect": protected});
        if setup.direct {
            // Outcomes are retained for seconds, so the default limits would be reached at the rate of a
            // measurement.
            all["fleet"]["limits"] = json!({"works": 1_048_576, "bytes": 1_u64 << 32});
        }
    }
    std::fs::write(file, all.to_string()).expect("written");
}

pub fn name(member: usize) -> String {
    format!("c{member}")
}

/// Returns addresses with ports that are currently unused.
fn unused_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("bound");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|l| l.local_addr().expect("bound")).collect()
}

impl Cluster {
    /// Starts a cluster with one member for each entry of `zones` and waits until it is formed and serving.
    pub fn start(test: &str, zones: &[&str]) -> Cluster {
        Cluster::start_with(test, zones, Setup::default())
    }

    pub fn start_with(test: &str, zones: &[&str], setup: Setup) -> Cluster {
        let history = Arc::new(History::new());
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let run = |_| {
            let (runs, stopped) = (executor.clone(), stopped.clone());
            let run = async move {
                let _ = runs.run(stopped.recv()).await;
            };
            std::thread::spawn(|| async_io::block_on(run))
        };
        let threads = (0..setup.threads).map(run).collect();
        let names = (0..zones.len()).map(name).collect();
        let proxies = LinkProxies::start(&executor, history.clone(), names);
        let servers = Servers::start(&executor, history.clone(), SERVERS, zones.len());
        let zones: Vec<String> = zones.iter().map(|z| (*z).to_owned()).collect();
        let addresses = if setup.direct { unused_addresses(zones.len()) } else { proxies.addresses.clone() };
        let folder = |n: usize| {
            let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
            let folder = write_configuration(
                &format!("fleet-{test}-{n}"),
                &servers.addresses[n],
                nowhere,
                3,
                setup.max_open,
            );
            drop(std::fs::remove_file(folder.join("log.redb")));
            write_config(&folder, n, &addresses, &zones, setup);
            folder
        };
        let folders = (0..zones.len()).map(folder).collect();
        let (processes, clients) = (zones.iter().map(|_| None).collect(), AtomicUsize::new(0));
        let mut cluster = Cluster {
            history,
            proxies,
            servers,
            folders,
            zones,
            processes,
            clients,
            executor,
            stop,
            threads,
        };
        for n in 0..cluster.zones.len() {
            cluster.spawn(n);
        }
        for n in 0..cluster.zones.len() {
            cluster.wait_until_ready(n);
        }
        for n in 0..cluster.zones.len() {
            if cluster.zones.len() > 1 || setup.protect {
                cluster.wait_for_log_line(n, "fleet configuration, ");
            }
        }
        cluster
    }

    fn spawn(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marlgap"));
        command.env_remove("RELAY_CONFIG").stderr(Stdio::piped());
        command.arg("serve").arg("--config").arg(self.folders[n].join("marlgap.json5"));
        let mut child = command.spawn().expect("the program starts");
        let stderr = Async::new(child.stderr.take().expect("piped")).expect("registered");
        let log = Arc::<Log>::default();
        let reader_log = log.clone();
        let reads = async move {
            let mut stderr = BufReader::new(stderr);
            let mut line = String::new();
            while stderr.read_line(&mut line).await.is_ok_and(|n| n > 0) {
                reader_log.lines.lock().expect("not poisoned").push(line.trim_end().to_owned());
                line.clear();
                reader_log.changed.notify_all();
            }
        };
        self.executor.spawn(reads).detach();
        let search = SocketAddr::from(([127, 0, 0, 1], 0));
        self.processes[n] = Some(Process { child, log, search });
    }

    /// Waits until a process accepts searches and connects it to the other members.
    fn wait_until_ready(&mut self, n: usize) {
        let search = logged_address(&self.wait_for_log_line(n, "query API listening, "));
        if std::fs::read_to_string(self.folders[n].join("marlgap.json5")).expect("read").contains("\"fleet\"")
        {
            let at = logged_address(&self.wait_for_log_line(n, "fleet listening, "));
            self.proxies.set_target(n, Some(at));
        }
        self.process_mut(n).search = search;
    }

    fn process(&self, n: usize) -> &Process {
        self.processes[n].as_ref().expect("running")
    }

    fn process_mut(&mut self, n: usize) -> &mut Process {
        self.processes[n].as_mut().expect("running")
    }

    /// Returns the address of a member's query API.
    pub fn query_api(&self, n: usize) -> SocketAddr {
        self.process(n).search
    }

    pub fn pid(&self, n: usize) -> u32 {
        self.process(n).child.id()
    }

    /// Waits for a line in a member's log that contains `text`. Earlier lines count as well.
    pub fn wait_for_log_line(&self, n: usize, text: &str) -> String {
        let log = &self.process(n).log;
        let latest = Instant::now() + TEST_TIMEOUT;
        let mut lines = log.lines.lock().expect("not poisoned");
        loop {
            if let Some(line) = lines.iter().find(|l| l.contains(text)) {
                return line.clone();
            }
            let left = latest.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "member {n} logged no '{text}', but {lines:#?}");
            lines = log.changed.wait_timeout(lines, left).expect("not poisoned").0;
        }
    }

    fn signal(&self, n: usize, signal: &str) {
        let kill = Command::new("kill").arg(signal).arg(self.pid(n).to_string()).status();
        assert!(kill.expect("kill runs").success());
    }

    /// Kills a member and waits until its process has ended.
    pub fn kill(&mut self, n: usize) {
        self.history.record(EventKind::Killed { member: n });
        self.proxies.set_target(n, None);
        let mut process = self.processes[n].take().expect("running");
        process.child.kill().expect("killed");
        process.child.wait().expect("ended");
    }

    pub fn pause(&self, n: usize) {
        self.signal(n, "-STOP");
        self.history.record(EventKind::Paused { member: n });
    }

    pub fn resume(&self, n: usize) {
        self.history.record(EventKind::Resumed { member: n });
        self.signal(n, "-CONT");
    }

    /// Restarts a killed member, with or without its stored data.
    pub fn restart(&mut self, n: usize, with_store: bool) {
        if !with_store {
            drop(std::fs::remove_file(self.folders[n].join("log.redb")));
        }
        self.spawn(n);
        self.wait_until_ready(n);
        // Before it knows the configuration, it cannot forward queries to the right members.
        self.wait_for_log_line(n, "fleet configuration, ");
    }

    /// Marks a server as draining in the records of all members.
    pub fn drain(&self, server: usize) {
        for (member, folder) in self.folders.iter().enumerate() {
            let state = |n| if n == server { "draining" } else { "up" };
            let addresses = &self.servers.addresses[member];
            let all: Vec<_> = addresses.iter().enumerate().map(|(n, at)| (*at, state(n))).collect();
            write_zone_file(folder, &all);
        }
        self.history.record(EventKind::Drained { server });
    }

    /// Returns the members of the group of an id, starting with its owner.
    pub fn group(&self, id: &str) -> Vec<usize> {
        let member = |(n, zone): (usize, &String)| Member {
            id: MemberId::new(&name(n), 1),
            zone: zone[..].into(),
            address: self.proxies.addresses[n],
        };
        let members = self.zones.iter().enumerate().map(member).collect();
        let configuration = Configuration::new(1, members).expect("a configuration");
        let group = configuration.group(id.as_bytes(), 3);
        group.iter().map(|m| (0..self.zones.len()).find(|n| name(*n) == *m.id.name).expect("known")).collect()
    }

    /// Returns the `n`th id that `owner` owns.
    pub fn id_owned_by(&self, owner: usize, n: usize) -> String {
        let mut ids = (0..).map(|i| format!("q{i}")).filter(|id| self.group(id)[0] == owner);
        ids.nth(n).expect("an endless iterator")
    }

    /// Submits a query to a member. The answer, or the end of the connection without one, is recorded in
    /// the history.
    pub fn submit(&self, member: usize, query: &Query) -> Client {
        let number = self.clients.fetch_add(1, Ordering::SeqCst);
        let history = self.history.clone();
        let at = self.query_api(member);
        history.record(EventKind::Submitted { client: number, member, query: query.clone() });
        let (asked, noted) = (query.clone(), history.clone());
        let task = self.executor.spawn(async move {
            // Longer than any valid answer takes.
            let patience = async {
                Timer::after(Duration::from_millis(asked.timeout_ms + 2000)).await;
                None
            };
            let event = match exchange(at, &asked).or(patience).await {
                Some(text) => parse_answer(number, &text),
                None => EventKind::Closed { client: number, by_client: false },
            };
            noted.record(event);
        });
        Client { number, task: Some(task), history }
    }

    /// Submits a query to one member after another until one answers, as a client does when its connection
    /// breaks.
    pub fn submit_until_answered(&self, members: &[usize], query: &Query) -> (u16, String) {
        members.iter().find_map(|m| self.submit(*m, query).wait()).expect("an answer")
    }

    /// Waits until servers have received all parts of a query from the member `from`.
    pub fn wait_until_parts_sent(&self, from: usize, query: &Query) {
        for part in &query.parts {
            self.history.wait_for(0, "a part", |w| {
                matches!(w, EventKind::PartReceived { id, shard, from: f, .. } if *id == query.id && shard == part && *f == from)
            });
        }
    }

    /// Returns how often a part has been sent so far.
    pub fn attempt_count(&self, query: &Query, part: u32) -> usize {
        self.history.count(
            0,
            |w| matches!(w, EventKind::PartReceived { id, shard, .. } if *id == query.id && *shard == part),
        )
    }

    /// Waits until frames with the bytes watched under the label `expected` have reached all acceptors of the
    /// group from its owner.
    pub fn wait_until_acceptors_received(&self, group: &[usize], expected: &str) {
        for acceptor in &group[1..] {
            self.history.wait_for(0, "a frame to an acceptor", |w| {
                matches!(w, EventKind::Forwarded { from, to, label } if *from == group[0] && to == acceptor && label == expected)
            });
        }
    }

    /// Checks the complete history against all rules.
    pub fn check_history(&self) {
        let events = self.history.events();
        let violations = checker::check(&events);
        assert_eq!(violations, [], "{events:#?}");
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.stop.close();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
