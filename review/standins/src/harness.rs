//! Starts the program under test, keeps the record of a run, and ends what was started.
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::process::{parent_id, CommandExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A run is given up after this time.
const LIMIT: Duration = Duration::from_secs(112);

/// The record of a run: what was sent, answered and run, with times in milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("create record.txt")))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.0 .0.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.0 .1.lock().expect("record");
        let _ = writeln!(file, "{ms:10.2} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
        self.line(text);
    }
}

/// What `run.sh` passes to a driver.
pub struct Environment {
    /// The command `run` of the deploy file.
    pub run: String,
    pub root: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

impl Environment {
    pub fn read() -> Environment {
        let variable = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set"));
        let record = Record::create(Path::new(&variable("CASE_RECORD")));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        record.line(format!("disruption {}", if trouble { "on" } else { "off (TROUBLE=0)" }));
        let environment = Environment {
            run: variable("CASE_RUN"),
            root: variable("CASE_ROOT").into(),
            temp: variable("CASE_TEMP").into(),
            trouble,
            record,
        };
        environment.guard();
        environment
    }

    /// Makes sure that nothing is left when the driver ends in any way, and that it ends if run.sh does or if it takes
    /// too long.
    fn guard(&self) {
        std::fs::write(self.temp.join("guarded"), "").expect("write a file");
        let guard = Command::new("/bin/sh")
            .arg(self.root.join("review/guard.sh"))
            .process_group(0)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("start guard.sh");
        // Its input stays open until this process ends.
        std::mem::forget(guard);
        let (parent, started) = (parent_id(), Instant::now());
        std::thread::spawn(move || {
            while parent_id() == parent && started.elapsed() < LIMIT {
                std::thread::sleep(Duration::from_millis(50));
            }
            std::process::exit(COULD_NOT_RUN);
        });
    }

    /// Writes a file into the temporary folder and returns its path. The file appears whole (rename).
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.temp.join(name);
        let partial = self.temp.join(format!("{name}.partial"));
        std::fs::write(&partial, text).expect("write a file");
        std::fs::rename(&partial, &path).expect("rename a file");
        path
    }

    /// Starts the program with the deploy file's command and the operator's file. Its log goes to the temporary
    /// folder.
    pub fn serve(&self, name: &str, config: &Path) -> Process {
        let log = self.temp.join(format!("{name}.log"));
        let out = File::create(&log).expect("create a log");
        let command = format!("{} serve --config {}", self.run, config.display());
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("echo $$ >>\"$CASE_TEMP/pids\"; {command}")])
            .current_dir(&self.root)
            .env_remove("RELAY_CONFIG")
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("clone"))
            .stderr(out)
            .spawn()
            .expect("start the program");
        self.record.line(format!("started {name}: {command} (pid {})", child.id()));
        Process { child, log, name: name.to_owned() }
    }
}

/// A started program. It is ended when this is dropped.
pub struct Process {
    pub child: Child,
    pub log: PathBuf,
    pub name: String,
}

impl Process {
    /// Sends a signal, given as an option of the shell's `kill`.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill {signal} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status();
        assert!(status.is_ok_and(|status| status.success()), "could not send {signal} to {}", self.name);
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process; returns whether it ended in time.
    pub fn ends_within(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if !self.is_running() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        !self.is_running()
    }

    /// Returns the processor time used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a port that is free now and that this function has not returned before. It is below the range from which the
/// system takes ports by itself, so that no connection takes it meanwhile.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * 41;
        let port = 20_000 + (n % 12_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// The settings of the program's own deploy/marlgap.json5, with changes by the case.
pub struct Settings<'a> {
    pub open_cap: u32,
    pub classes: &'a str,
    pub shards: u32,
    pub positions: u32,
    pub in_a_row: u32,
    pub per_class: &'a str,
    pub second_copies: bool,
}

impl Settings<'_> {
    pub fn json(&self) -> String {
        format!(
            r#"{{
  Discovery: "push", PeriodS: 0.0, ReplicasOfMe: 3, Zone: 0,
  Localities: ["accra-east", "accra-west", "tema"], Clients: {{ MarksRetry: true }},
  FamilyInfo: {{ Shards: {}, Positions: {}, InARow: {}, {} }},
  Limits: {{ Cancel: true, SecondCopies: {}, MostTries: 4, OpenCap: {}, ConnectTimeoutS: 0.25,
    KeepaliveS: 30.0, RetryAfter: true, MaxRetryAfterS: 2.0 }},
  Safety: {{ ColdFrom: 0.15, RampTimeS: 17.0, TipMultiple: 2.5, TipAfterS: 1.0 }},
  Classes: [ {} ],
}}"#,
            self.shards,
            self.positions,
            self.in_a_row,
            self.per_class,
            self.second_copies,
            self.open_cap,
            self.classes
        )
    }
}

/// Returns a DNS-SD master file: one instance for each (port, cell) of `servers`.
pub fn zone_file(service: &str, servers: &[(u16, u16)]) -> String {
    let mut text = String::from("$ORIGIN accra-fields.test.\n$TTL 10\n");
    for (n, (port, cell)) in servers.iter().enumerate() {
        text += &format!("{service} IN PTR map-{n}.{service}\n");
        text += &format!("map-{n}.{service} IN SRV 0 0 {port} host-{n}\n");
        text += &format!(
            "map-{n}.{service} IN TXT \"txtvers=1\" \"cell={cell}\" \"zone=accra-east\" \"state=up\"\n"
        );
        text += &format!("host-{n} IN A 127.0.0.1\n");
    }
    text
}

/// A small generator of pseudo-random numbers (xorshift), seeded by the case.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}
