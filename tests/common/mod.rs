//! Shared test support: starts the program with a generated configuration and communicates with it.
#![allow(dead_code, reason = "each test file uses its own part of this")]
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

mod program_path;
pub mod scripted_discovery;

use fault_control::{Plan, PLAN_VARIABLE};
use marlgap::balancer::interface::{Class, ClassId, Idempotency, ShardId, TenantId};
use marlgap::coordinator::{Query, TakeoverProtection};
pub use program_path::{fault_library, program_path};

/// Returns a class with a single step that requires all its parts, each of which may be repeated.
pub fn single_step_class() -> Class {
    Class {
        latency_objective: 1.0,
        deadline: 4.0,
        priority_weight: 1.0,
        late_weight: 0.3,
        idempotency: Idempotency::Idempotent,
        target_coverage: 1.0,
        min_coverage: 1.0,
        partial_weight: 0.9,
        second_step_parts: 0,
        hedging: true,
    }
}

/// Returns a query of the first class over the first `shards` shards.
pub fn query<C>(shards: u32, context: C, protection: Option<TakeoverProtection>) -> Query<C> {
    let parts = (0..shards).map(|s| (ShardId(s), 1.0 / f64::from(shards))).collect();
    let (class, tenant, deadline) = (ClassId(0), TenantId(0), std::time::Instant::now() + TEST_TIMEOUT);
    Query { class, tenant, deadline, is_retry: false, parts, context, protection }
}

/// Returns a memory budget without a limit, for tests of other limits.
pub fn memory() -> std::rc::Rc<marlgap::net::memory_budget::MemoryBudget> {
    marlgap::net::memory_budget::MemoryBudget::new(usize::MAX)
}

/// Time limit for everything that a test waits for. A test that waits longer has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Program {
    pub child: Child,
    lines: Receiver<String>,
    pub address: SocketAddr,
    /// Address of the query API, if it was requested.
    pub search_address: Option<SocketAddr>,
}

impl Program {
    /// Starts the program as configured by [`write_configuration`] in `folder`, and waits until it listens.
    pub fn start(folder: &Path, search: bool) -> Program {
        let mut program = if search {
            Program::spawn_with_operator_file(folder)
        } else {
            Program::spawn_platform_front(folder)
        };
        program.address = logged_address(&program.wait_for_log(" listening, "));
        program.search_address =
            search.then(|| logged_address(&program.wait_for_log("query API listening, ")));
        program
    }

    /// Starts the platform's front with a limit on descriptors.
    pub fn start_with_descriptor_limit(folder: &Path, descriptors: u32) -> Program {
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\""), &program_path()]);
        command.env("RELAY_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        let mut program = Program::spawn(command);
        program.address = logged_address(&program.wait_for_log(" listening, "));
        program
    }

    /// Starts the platform's front with the library that makes system calls fail according to `plan`.
    pub fn start_with_faults(folder: &Path, plan: &Plan) -> Program {
        let mut program = Program::spawn_with_faults(folder, plan);
        program.address = logged_address(&program.wait_for_log(" listening, "));
        program
    }

    /// Starts the program like [`Program::start_with_faults`], but does not wait until it listens.
    pub fn spawn_with_faults(folder: &Path, plan: &Plan) -> Program {
        let mut command = Command::new(program_path());
        command.env("RELAY_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        command.env("LD_PRELOAD", fault_library()).env(PLAN_VARIABLE, plan.path());
        Program::spawn(command)
    }

    /// Starts the platform's front and does not wait until it listens.
    pub fn spawn_platform_front(folder: &Path) -> Program {
        let mut command = Command::new(program_path());
        command.env("RELAY_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        Program::spawn(command)
    }

    /// Starts the program with the platform's and the operator's files; does not wait until it listens.
    pub fn spawn_with_operator_file(folder: &Path) -> Program {
        let mut command = Command::new(program_path());
        command.env("RELAY_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        command.arg("serve").arg("--config").arg(folder.join("marlgap.json5"));
        Program::spawn(command)
    }

    /// Starts the program with only the operator's file in `folder`.
    pub fn spawn_with_operator_file_only(folder: &Path) -> Program {
        let mut command = Command::new(program_path());
        command.env_remove("RELAY_CONFIG").stderr(Stdio::piped());
        command.arg("serve").arg("--config").arg(folder.join("marlgap.json5"));
        Program::spawn(command)
    }

    fn spawn(mut command: Command) -> Program {
        let mut child = command.spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let (send, lines) = channel();
        std::thread::spawn(move || stderr.lines().map_while(Result::ok).all(|l| send.send(l).is_ok()));
        Program { child, lines, address: SocketAddr::from(([127, 0, 0, 1], 0)), search_address: None }
    }

    /// Waits for a log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = std::time::Instant::now() + TEST_TIMEOUT;
        loop {
            // The remaining time is recomputed, since other lines keep arriving.
            let remaining = deadline.saturating_duration_since(std::time::Instant::now());
            let line =
                self.lines.recv_timeout(remaining).unwrap_or_else(|e| panic!("no '{text}' logged: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(kill.expect("kill runs").success());
    }

    /// Waits until the process exits with success. On a busy machine its last log line may be missing.
    pub fn wait_for_exit(&mut self) {
        let deadline = std::time::Instant::now() + TEST_TIMEOUT;
        while std::time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("waited") {
                return assert!(status.success(), "{status}");
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("the process does not exit");
    }

    /// Suspends the process (SIGSTOP) and waits until none of its threads runs any more: the thread that
    /// gets the signal may have to wait for a core. Returns whether the process is suspended; one that had
    /// exited before does not run either.
    pub fn suspend(&self) -> bool {
        self.signal("-STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let stopped = |task: std::io::Result<std::fs::DirEntry>| {
            let stat = std::fs::read_to_string(task.expect("listed").path().join("stat"));
            stat.is_ok_and(|s| s.rsplit(") ").next().is_some_and(|s| s.starts_with(['T', 'Z'])))
        };
        while !std::fs::read_dir(&tasks).expect("there").all(stopped) {
            std::thread::yield_now();
        }
        is_suspended(self.child.id())
    }
}

/// Returns whether a process is suspended and has not exited.
pub fn is_suspended(process: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"));
    stat.is_ok_and(|s| s.rsplit(") ").next().is_some_and(|s| s.starts_with('T')))
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Creates a fault plan for the program in `folder`, with no fault armed.
pub fn fault_plan(folder: &Path, seed: u64) -> Plan {
    Plan::create(&folder.join("faults"), seed).expect("a plan")
}

/// Returns the address in a log line.
pub fn logged_address(line: &str) -> SocketAddr {
    let text = line.split("address: ").nth(1).expect("an address");
    text.split([',', ' ']).next().and_then(|a| a.parse().ok()).expect("an address")
}

/// Creates a folder with the configuration of both fronts, for backends at `nodes`, one per cell.
pub fn write_configuration(
    name: &str,
    nodes: &[SocketAddr],
    discovery: SocketAddr,
    reach: usize,
    max_open: usize,
) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let cells = nodes.len();
    let settings = format!(
        r#"{{"Classes":[
        {{"Name":"overlap-check","AimS":4.0,"DeadlineS":8.0,"Worth":3.0,"LateWorth":0.1,"Semantics":"pure"}},
        {{"Name":"field-lookup","AimS":2.0,"DeadlineS":4.0,"Worth":1.0,"LateWorth":0.3,"Semantics":"pure"}},
        {{"Name":"district-summary","AimS":2.0,"DeadlineS":6.0,"Worth":3.0,"LateWorth":0.3,"Semantics":"pure"}}],
        "Clients":{{"MarksRetry":true}},
        "Discovery":"ask","FamilyInfo":{{"ClassNeed":[1.0,1.0,1.0],"ClassPartial":[0.9,0.9,0.8],
        "FetchParts":[2,0,0],"InARow":{reach},"LeastShare":[1.0,1.0,0.8],"PerCall":1,"Positions":{cells},"Shards":24}},
        "Limits":{{"Cancel":true,"ConnectTimeoutS":0.25,"KeepaliveS":30.0,"MaxRetryAfterS":2.0,"MostTries":4,
        "Multiplex":32,"OpenCap":{max_open},"Probes":true,"RetryAfter":true,"SecondCopies":true}},
        "Localities":["a"],"PeriodS":0.005,"ReplicasOfMe":1,"Reporting":{{"How":"inline","Names":["tps"]}},
        "Safety":{{"AskWithinS":10.0}},"Zone":0}}"#
    );
    let hosts: Vec<String> = nodes.iter().enumerate().map(|(n, at)| listed_host_json(n, at, "up")).collect();
    let config = format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","limits":{{"sockets":1024}},
        "known":{{"seq":1,"whole":true,"hosts":[{}]}},"settings":{settings}}}"#,
        hosts.join(",")
    );
    std::fs::write(folder.join("config.json"), config).expect("written");
    let mut settings: serde_json::Value = serde_json::from_str(&settings).expect("settings");
    settings["Discovery"] = "push".into();
    let indices = serde_json::json!({"overlaps": "overlap-check", "fields": "field-lookup", "districts": "district-summary"});
    let file = serde_json::json!({"settings": settings, "query_api": {
        "listen": "127.0.0.1:0", "records": "zone", "service": "_opensearch._tcp.t.test.", "indices": indices}});
    std::fs::write(folder.join("marlgap.json5"), file.to_string()).expect("written");
    let all: Vec<_> = nodes.iter().map(|at| (*at, "up")).collect();
    write_zone_file(&folder, &all);
    folder
}

/// Returns the deployment that the configuration in `folder` describes.
pub fn deployment(folder: &Path) -> marlgap::config::settings::Deployment {
    let config = std::fs::read_to_string(folder.join("config.json")).expect("read");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    marlgap::config::settings::parse(config["settings"].to_string().as_bytes()).expect("settings")
}

/// Replaces text in the platform's configuration in `folder`.
pub fn replace_in_configuration(folder: &Path, from: &str, to: &str) {
    let path = folder.join("config.json");
    let text = std::fs::read_to_string(&path).expect("read");
    assert!(text.contains(from), "no {from} in {text}");
    std::fs::write(path, text.replace(from, to)).expect("written");
}

/// Returns one entry of discovery's list.
pub fn listed_host_json(n: usize, at: &SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"n{n}","dial":"{at}","site":"a","class":"m","block":{n},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// Atomically replaces the DNS-SD records of the servers.
pub fn write_zone_file(folder: &Path, servers: &[(SocketAddr, &str)]) {
    let mut text = "$ORIGIN t.test.\n$TTL 10\nh IN A 127.0.0.1\n".to_owned();
    for (n, (at, state)) in servers.iter().enumerate().filter(|(_, (_, state))| *state != "removed") {
        text += &format!("_opensearch._tcp IN PTR n{n}._opensearch._tcp\n");
        text += &format!("n{n}._opensearch._tcp IN SRV 0 0 {} h\n", at.port());
        text += &format!("n{n}._opensearch._tcp IN TXT \"cell={n}\" \"zone=a\" \"state={state}\"\n");
    }
    std::fs::write(folder.join("zone.new"), text).expect("written");
    std::fs::rename(folder.join("zone.new"), folder.join("zone")).expect("renamed");
}

/// Reads one complete HTTP message. Returns `None` if the connection ends first.
pub fn read_http(stream: &mut impl Read) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut one = [0];
        stream.read_exact(&mut one).ok()?;
        bytes.push(one[0]);
    }
    let head = String::from_utf8(bytes).expect("text");
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |n| n.parse().expect("a number"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).expect("text"))
}

/// Reads one frame: its type letter, a space and the rest. Returns `None` if the connection ends first.
pub fn read_frame(stream: &mut impl Read) -> Option<String> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut rest = vec![0; length - 1];
    stream.read_exact(&mut rest).ok()?;
    Some(format!("{} {}", char::from(head[4]), String::from_utf8(rest).expect("text")))
}

/// Encodes a frame from the form that [`read_frame`] returns.
pub fn frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32 - 1).to_be_bytes().to_vec();
    bytes.push(text.as_bytes()[0]);
    bytes.extend(&text.as_bytes()[2..]);
    bytes
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream.set_nodelay(true).expect("set");
    stream
}

/// Sends a request on a connection and returns the status and the body of its answer.
pub fn send_request(stream: &mut TcpStream, head: &str, body: &str) -> (u16, String) {
    let length = body.len();
    write!(stream, "{head}\r\nContent-Length: {length}\r\n\r\n{body}").expect("written");
    let answer = read_http(stream).expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    (head[9..12].parse().expect("a status"), body.to_owned())
}

/// A data node that reports each received frame and answers parts while `serving` is set.
pub struct StubDataNode {
    pub address: SocketAddr,
    pub frames: Receiver<String>,
    pub serving: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

impl StubDataNode {
    pub fn start(serving: bool) -> StubDataNode {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let serving = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(serving));
        let (received, frames) = channel();
        let serves = serving.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (received, serves) = (received.clone(), serves.clone());
                std::thread::spawn(move || {
                    while let Some(message) = read_frame(&mut stream) {
                        let id = message.strip_prefix("q ").and_then(|m| m.split(' ').next());
                        let served = id.filter(|_| serves.load(std::sync::atomic::Ordering::SeqCst));
                        let answer = served.map(|id| frame(&format!("a {id} served 1 -\nV")));
                        let _ = received.send(message);
                        if answer.is_some_and(|a| stream.write_all(&a).is_err()) {
                            return;
                        }
                    }
                });
            }
        });
        StubDataNode { address, frames, serving }
    }

    /// Waits for a frame that starts with `begins`; fails if a frame of a query in `never` arrives first.
    pub fn expect_frame(&self, begins: &str, never: &[&str]) {
        let deadline = std::time::Instant::now() + TEST_TIMEOUT / 5;
        loop {
            let remaining = deadline.saturating_duration_since(std::time::Instant::now());
            let frame = self.frames.recv_timeout(remaining).unwrap_or_else(|e| panic!("no '{begins}': {e}"));
            assert!(!never.iter().any(|n| frame.starts_with(&format!("q {n}."))), "{frame}");
            if frame.starts_with(begins) {
                return;
            }
        }
    }
}

/// Returns the request of a query for one tablet.
pub fn query_request(id: &str, kind: &str, wait: u32) -> String {
    let body = r#"{"tablets":[{"tablet":0,"fraction":1}],"statement":"s"}"#;
    format!(
        "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline-Ms: {wait}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads the next answer, which must be complete, and returns its status.
pub fn read_status(stream: &mut TcpStream) -> u16 {
    let answer = read_http(stream).expect("a complete answer");
    answer[9..12].parse().expect("a status")
}

/// Checks that the connection ends here and is not reset.
pub fn expect_closed(stream: &mut TcpStream) {
    let mut more = Vec::new();
    let ended = stream.read_to_end(&mut more);
    assert!(ended.is_ok() && more.is_empty(), "{ended:?} {}", String::from_utf8_lossy(&more));
}
