//! The coordinators of a run: real processes that are terminated, restarted, reloaded and paused.
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fault_control::{Plan, PLAN_VARIABLE};

use crate::common::{
    fault_library, is_suspended, program_path, read_http, replace_in_configuration, write_configuration,
};
use crate::record::{Event, EventLog};
use crate::schedule::PAUSE_DURATION;
use crate::slow_start;

/// Texts in log lines that indicate a defect.
const DEFECTS: [&str; 4] = [
    "invariant broken",
    "panicked",
    "connections still open at the exit deadline",
    "configuration not reread",
];
const RELOADED: &str = "configuration reread";

/// The time after SIGTERM during which clients still open new connections.
const ACCEPTING_AFTER_TERM: Duration = Duration::from_millis(400);
/// The time from SIGTERM to SIGKILL beside the longest deadline, and the most that this counts as.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The longest deadline of the classes, usually and in runs with short deadlines.
const USUAL_DEADLINE: Duration = Duration::from_secs(8);
const SHORT_DEADLINE: Duration = Duration::from_millis(600);
/// One run out of this number has short deadlines, so that SIGKILL comes soon after SIGTERM.
const RUNS_PER_SHORT_DEADLINE: u64 = 4;
/// The deadline of most queries, unless the classes have a shorter one.
const QUERY_DEADLINE: Duration = Duration::from_secs(2);
/// The memory of a coordinator, in megabytes: the least that the platform grants.
const MEMORY_MB: u64 = 32;
/// The same in KiB.
pub const MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1024;
/// The number of file descriptors of a coordinator to which a crowd connects, in the runs whose crowd is larger
/// than that. In the others, it has the most that the platform grants.
const DESCRIPTORS_IN_CROWD: usize = 128;

/// The signals with which a process is terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignals {
    Term,
    /// SIGTERM twice, separated by this number of milliseconds.
    TermTwice(u64),
    /// SIGHUP with a new configuration, followed by SIGTERM after this number of milliseconds.
    HangupThenTerm(u64),
    /// SIGTERM, while the process is paused.
    TermWhileStopped,
    /// SIGTERM, and another SIGTERM to its successor this number of milliseconds after the start.
    TermAgainDuringStart(u64),
}

/// The parameters for starting a coordinator.
pub struct Start {
    pub seed: u64,
    pub number: usize,
    /// Whether endpoint lists are pushed to it.
    pub is_push: bool,
    /// Whether a crowd of clients connects to it.
    pub meets_crowd: bool,
}

pub struct Coordinator {
    number: usize,
    pub address: SocketAddr,
    /// The longest deadline of its classes.
    longest_deadline: Duration,
    pub plan: Plan,
    /// Whether clients may open new connections: the process is ready and was not told to terminate.
    pub accepts_connections: AtomicBool,
    /// Whether the process was told to terminate and is still running.
    pub terminating: AtomicBool,
    /// The number of pauses, and of configurations that were reloaded.
    pub pauses: AtomicU64,
    pub reloaded: Arc<AtomicU64>,
    /// Held while the process is being signalled.
    pub signal_lock: Mutex<()>,
    folder: PathBuf,
    discovery_addresses: Mutex<[SocketAddr; 2]>,
    child: Mutex<Child>,
    event_log: EventLog,
}

/// Returns an unused address, taken from a listener that is closed again.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("bound")
}

impl Coordinator {
    pub fn start(
        start: &Start,
        nodes: &[SocketAddr],
        discovery_addresses: [SocketAddr; 2],
        event_log: EventLog,
    ) -> Coordinator {
        let Start { seed, number, is_push, meets_crowd } = *start;
        let folder =
            write_configuration(&format!("soak_{seed}_{number}"), nodes, discovery_addresses[0], 3, 75);
        let address = unused_address();
        replace_in_configuration(&folder, "\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""));
        // Queries of this class may run only once.
        replace_in_configuration(
            &folder,
            r#""Worth":3.0,"LateWorth":0.3,"Semantics":"pure""#,
            r#""Worth":3.0,"LateWorth":0.3,"Semantics":"side_effect""#,
        );
        replace_in_configuration(&folder, r#""ConnectTimeoutS":0.25"#, r#""ConnectTimeoutS":1.5"#);
        replace_in_configuration(
            &folder,
            r#""AskWithinS":10.0"#,
            &format!(r#""AskWithinS":10.0,{}"#, slow_start::settings()),
        );
        if is_push {
            replace_in_configuration(&folder, r#""Discovery":"ask""#, r#""Discovery":"push""#);
        }
        let descriptors = if meets_crowd && seed % 2 == 1 { DESCRIPTORS_IN_CROWD } else { 1024 };
        replace_in_configuration(
            &folder,
            r#""sockets":1024"#,
            &format!(r#""sockets":{descriptors},"memory_mb":{MEMORY_MB}"#),
        );
        let has_short_deadlines = seed % RUNS_PER_SHORT_DEADLINE == 1;
        let longest_deadline = if has_short_deadlines { SHORT_DEADLINE } else { USUAL_DEADLINE };
        if has_short_deadlines {
            let seconds = SHORT_DEADLINE.as_secs_f64();
            for deadline in ["8.0", "6.0", "4.0"] {
                let (usual, short) =
                    (format!("\"DeadlineS\":{deadline}"), format!("\"DeadlineS\":{seconds}"));
                replace_in_configuration(&folder, &usual, &short);
            }
            for objective in ["4.0", "2.0"] {
                replace_in_configuration(&folder, &format!("\"AimS\":{objective}"), "\"AimS\":0.4");
            }
        }
        let plan = Plan::create(&folder.join("faults"), seed ^ number as u64).expect("a plan");
        plan.spare_accepted_connections().expect("written");
        let (accepts_connections, terminating, pauses, reloaded, signal_lock) =
            <(_, _, _, Arc<AtomicU64>, _)>::default();
        event_log.record(Event::Started { coordinator: number });
        let child = Mutex::new(spawn(&folder, &plan, (&event_log, &reloaded), number));
        let discovery_addresses = Mutex::new(discovery_addresses);
        let coordinator = Coordinator {
            number,
            address,
            longest_deadline,
            plan,
            accepts_connections,
            terminating,
            pauses,
            reloaded,
            signal_lock,
            folder,
            discovery_addresses,
            child,
            event_log,
        };
        coordinator.wait_until_ready();
        coordinator
    }

    /// Returns the deadline of most queries, in milliseconds.
    pub fn query_deadline_ms(&self) -> u64 {
        QUERY_DEADLINE.min(self.longest_deadline).as_millis() as u64
    }

    /// Returns the earliest time from SIGTERM to SIGKILL.
    fn kill_delay(&self) -> Duration {
        self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY_AFTER_DEADLINE
    }

    /// Records the largest memory of the process so far, if it is running.
    fn record_peak_memory(&self) {
        let id = self.child.lock().expect("not poisoned").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        if let Some(kb) = peak.and_then(|peak| peak.split_whitespace().next()?.parse().ok()) {
            self.event_log.record(Event::PeakMemory { coordinator: self.number, kb });
        }
    }

    fn wait_until_ready(&self) {
        let begun = Instant::now();
        let ready = || {
            let mut stream = TcpStream::connect(self.address).ok()?;
            std::io::Write::write_all(&mut stream, b"GET /_health HTTP/1.1\r\n\r\n").ok()?;
            read_http(&mut stream).filter(|answer| answer.starts_with("HTTP/1.1 200"))
        };
        let mut is_ready = false;
        while !is_ready && begun.elapsed() < Duration::from_secs(12) {
            is_ready = ready().is_some();
            std::thread::sleep(Duration::from_millis(10));
        }
        let after_ms = begun.elapsed().as_millis() as u64;
        self.event_log.record(Event::Ready { coordinator: self.number, after_ms, ready: is_ready });
        self.accepts_connections.store(true, Ordering::SeqCst);
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.lock().expect("not poisoned").id();
        let sent = Command::new("kill").arg(name).arg(id.to_string()).status();
        assert!(sent.expect("it runs").success(), "{name} to coordinator {}", self.number);
    }

    /// Pauses the process, as a busy machine would.
    pub fn pause(&self, span: Duration) {
        self.signal("-STOP");
        std::thread::sleep(span);
        let stopped = is_suspended(self.child.lock().expect("not poisoned").id());
        self.pauses.fetch_add(u64::from(stopped), Ordering::SeqCst);
        self.signal("-CONT");
    }

    /// Switches to the other discovery address with a new configuration.
    pub fn reload(&self) {
        let mut discovery_addresses = self.discovery_addresses.lock().expect("not poisoned");
        let [from, to] = *discovery_addresses;
        replace_in_configuration(
            &self.folder,
            &format!("\"discovery\":\"{from}\""),
            &format!("\"discovery\":\"{to}\""),
        );
        *discovery_addresses = [to, from];
        self.signal("-HUP");
    }

    /// Signals the process to terminate. It must end by itself before the earliest time at which SIGKILL may
    /// be sent.
    pub fn stop(&self, signals: StopSignals) {
        self.terminating.store(true, Ordering::SeqCst);
        if let StopSignals::HangupThenTerm(ms) = signals {
            self.reload();
            std::thread::sleep(Duration::from_millis(ms));
        }
        self.record_peak_memory();
        let signalled_at = Instant::now();
        self.signal("-TERM");
        self.event_log.record(Event::Terminated { coordinator: self.number });
        match signals {
            StopSignals::TermTwice(ms) => {
                std::thread::sleep(Duration::from_millis(ms));
                self.signal("-TERM");
            }
            StopSignals::TermWhileStopped => self.pause(PAUSE_DURATION),
            StopSignals::Term | StopSignals::HangupThenTerm(_) | StopSignals::TermAgainDuringStart(_) => {}
        }
        std::thread::sleep(ACCEPTING_AFTER_TERM.saturating_sub(signalled_at.elapsed()));
        self.accepts_connections.store(false, Ordering::SeqCst);
        self.record_peak_memory();
        let status = self.wait_until_ended(signalled_at + self.kill_delay());
        let after_ms = signalled_at.elapsed().as_millis() as u64;
        let clean = status.is_some_and(|status| status.success());
        self.event_log.record(Event::Ended { coordinator: self.number, after_ms, clean });
        self.terminating.store(false, Ordering::SeqCst);
    }

    /// Returns the exit status if the process ends by itself before `kill_at`. Otherwise the process is
    /// killed.
    fn wait_until_ended(&self, kill_at: Instant) -> Option<ExitStatus> {
        while Instant::now() < kill_at {
            if let Some(status) = self.child.lock().expect("not poisoned").try_wait().expect("waited") {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let mut child = self.child.lock().expect("not poisoned");
        let _ = child.kill();
        let _ = child.wait();
        None
    }

    /// Restarts the process under the same address. `before_start` is called before each start.
    pub fn restart(&self, signals: StopSignals, before_start: impl Fn()) {
        self.stop(signals);
        if let StopSignals::TermAgainDuringStart(ms) = signals {
            self.spawn_again(&before_start);
            std::thread::sleep(Duration::from_millis(ms));
            let signalled_at = Instant::now();
            self.signal("-TERM");
            let ended = self.wait_until_ended(signalled_at + self.kill_delay()).is_some();
            let after_ms = signalled_at.elapsed().as_millis() as u64;
            self.event_log.record(Event::EndedDuringStart { coordinator: self.number, after_ms, ended });
        }
        self.spawn_again(&before_start);
        self.wait_until_ready();
    }

    fn spawn_again(&self, before_start: impl Fn()) {
        self.event_log.record(Event::Started { coordinator: self.number });
        before_start();
        *self.child.lock().expect("not poisoned") =
            spawn(&self.folder, &self.plan, (&self.event_log, &self.reloaded), self.number);
    }

    /// Records a crash if the process has ended without being told to.
    pub fn check(&self) {
        if self.child.lock().expect("not poisoned").try_wait().expect("waited").is_some() {
            self.event_log.record(Event::Crashed { coordinator: self.number });
        }
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap_or_else(|e| e.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn spawn(
    folder: &std::path::Path,
    plan: &Plan,
    (event_log, reloaded): (&EventLog, &Arc<AtomicU64>),
    coordinator: usize,
) -> Child {
    let mut command = Command::new(program_path());
    command.env("RELAY_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
    command.env("LD_PRELOAD", fault_library()).env(PLAN_VARIABLE, plan.path());
    let mut child = command.spawn().expect("it starts");
    let lines = BufReader::new(child.stderr.take().expect("piped"));
    let (event_log, reloaded) = (event_log.clone(), reloaded.clone());
    std::thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            reloaded.fetch_add(u64::from(line.contains(RELOADED)), Ordering::SeqCst);
            if DEFECTS.iter().any(|defect| line.contains(defect)) {
                event_log.record(Event::DefectLogged { coordinator, line });
            } else {
                event_log.record(Event::LogLine { coordinator, line });
            }
        }
    });
    child
}
