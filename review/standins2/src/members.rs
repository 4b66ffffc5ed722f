//! Starts coordinators with the command of the deploy file and the operator's own file, and ends them.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

pub struct Setting {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    pub record: Record,
}

/// One coordinator, running or not.
pub struct Member {
    pub name: String,
    command: String,
    root: PathBuf,
    pids: PathBuf,
    record: Record,
    child: Option<Child>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Setting {
    /// A coordinator that serves the operator's file `file`. It is not started yet.
    pub fn member(&self, name: &str, file: &str, text: &str) -> Member {
        let path = self.folder.join(file);
        std::fs::write(&path, text).expect("written");
        // The command of `run`, with the arguments of the operator's own file.
        self.with_command(name, format!("{} serve --config {}", self.run(), path.display()))
    }

    /// A coordinator on the platform, with the configuration `text`. It is not started yet.
    pub fn platform_member(
        &self,
        name: &str,
        text: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
    ) -> Member {
        let path = self.folder.join("config.json");
        std::fs::write(&path, text).expect("written");
        let variables = format!(
            "RELAY_NAME={name} RELAY_LISTEN={listen} RELAY_DISCOVERY={discovery} RELAY_CONFIG={}",
            path.display()
        );
        self.with_command(name, format!("export {variables}; {}", self.run()))
    }

    /// The command of `run` in deploy/balancer.toml.
    fn run(&self) -> String {
        let deploy =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.strip_suffix('"'));
        run.expect("a command").to_owned()
    }

    fn with_command(&self, name: &str, command: String) -> Member {
        Member {
            name: name.to_owned(),
            command,
            root: self.root.clone(),
            pids: self.folder.join("pids"),
            record: self.record.clone(),
            child: None,
            lines: Arc::default(),
        }
    }

    /// Replaces a file as a whole.
    pub fn replace(&self, file: &str, text: &str) {
        let new = self.folder.join(format!("{file}.new"));
        std::fs::write(&new, text).expect("written");
        std::fs::rename(new, self.folder.join(file)).expect("renamed");
    }
}

impl Member {
    pub fn start(&mut self) {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.command).current_dir(&self.root);
        command.env("REVIEW_FOLDER", self.pids.parent().unwrap_or(&self.root));
        command.env_remove("RELAY_CONFIG").stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the shell starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let lines = Arc::<Mutex<Vec<String>>>::default();
        self.lines = lines.clone();
        let (record, name) = (self.record.clone(), self.name.clone());
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                record.note(&format!("{name} logs: {line}"));
                lines.lock().expect("not poisoned").push(line);
            }
        });
        let mut pids = std::fs::File::options().create(true).append(true).open(&self.pids).expect("opened");
        let _ = writeln!(pids, "{}", child.id());
        self.record.note(&format!("{} started, process {}", self.name, child.id()));
        self.child = Some(child);
    }

    /// Waits for a line of the log since the last start.
    pub fn wait_for(&self, text: &str, limit: Duration) -> Result<(), String> {
        wait(limit, || self.lines.lock().expect("not poisoned").iter().any(|l| l.contains(text)))
            .map_err(|()| format!("{} did not log '{text}'", self.name))
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.record.note(&format!("SIG{signal} to {}", self.name));
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until `done` returns true.
pub fn wait(limit: Duration, done: impl Fn() -> bool) -> Result<(), ()> {
    let end = Instant::now() + limit;
    while !done() {
        if Instant::now() >= end {
            return Err(());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// Addresses with ports that nobody uses now.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("bound")).collect();
    listeners.iter().map(|l| l.local_addr().expect("bound")).collect()
}

/// A class of queries in the settings: name, wanted within, deadline, worth, effect.
pub type Class<'c> = (&'c str, f64, f64, f64, &'c str);

/// The classes of the deployment `accra-fields`, with this effect of `field-lookup`.
pub fn accra(lookup_effect: &str) -> [Class<'_>; 3] {
    [
        ("overlap-check", 4.0, 8.0, 3.0, "pure"),
        ("field-lookup", 2.0, 4.0, 1.0, lookup_effect),
        ("district-summary", 2.0, 6.0, 3.0, "pure"),
    ]
}

/// The settings of a small deployment: those of deploy/marlgap.json5 with four cells that each hold every tile.
pub fn settings(classes: &[Class; 3], open_cap: u32) -> String {
    let class = |(name, aim, deadline, worth, effect): &Class| {
        format!(
            r#"{{ Name: "{name}", AimS: {aim:.1}, DeadlineS: {deadline:.1}, Worth: {worth:.1}, LateWorth: 0.3, Semantics: "{effect}" }}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{
    Discovery: "push", PeriodS: 0.0, ReplicasOfMe: 3, Zone: 0,
    Localities: ["accra-east", "accra-west", "tema"], Clients: {{ MarksRetry: true }},
    FamilyInfo: {{ Shards: 4, Positions: 4, InARow: 4, ClassNeed: [1.0, 1.0, 1.0], ClassPartial: [0.9, 0.9, 0.8],
      LeastShare: [1.0, 1.0, 1.0], FetchParts: [0, 0, 0] }},
    Limits: {{ Cancel: true, SecondCopies: true, MostTries: 4, OpenCap: {open_cap}, ConnectTimeoutS: 0.25,
      KeepaliveS: 30.0, RetryAfter: true, MaxRetryAfterS: 2.0 }},
    Safety: {{ ColdFrom: 0.15, RampTimeS: 17.0, TipMultiple: 2.5, TipAfterS: 1.0 }},
    Classes: [{}],
  }}"#,
        classes.join(", ")
    )
}

/// DNS-SD records of servers, one a cell, of a service such as `_opensearch._tcp`.
pub fn records(service: &str, servers: &[(usize, SocketAddr)]) -> String {
    let mut text = "$ORIGIN t.test.\n$TTL 10\nh IN A 127.0.0.1\n".to_owned();
    for (n, at) in servers {
        text += &format!("{service} IN PTR n{n}.{service}\n");
        text += &format!("n{n}.{service} IN SRV 0 0 {} h\n", at.port());
        text += &format!("n{n}.{service} IN TXT \"cell={n}\" \"zone=accra-east\" \"state=up\"\n");
    }
    text
}

/// Three coordinators that work together, each with the query API at the address that is returned with it. All
/// classes are protected; the index of a class has its name.
pub fn fleet(
    setting: &Setting,
    servers: &crate::http::Servers,
    classes: &[Class; 3],
    open_cap: u32,
    when_full: &str,
) -> Vec<(Member, SocketAddr)> {
    let links = free_addresses(3);
    let fronts = free_addresses(3);
    let zones = ["accra-east", "accra-west", "tema"];
    let entry =
        |n: usize| format!(r#"{{ name: "c{}", address: "{}", zone: "{}" }}"#, n + 1, links[n], zones[n]);
    let members: Vec<String> = (0..3).map(entry).collect();
    let rule =
        |class: &Class| format!(r#""{}": {{ guards: 3, slack_s: 5.0, when_full: "{when_full}" }}"#, class.0);
    let rules: Vec<String> = classes.iter().map(rule).collect();
    let indices: Vec<String> = classes.iter().map(|class| format!(r#""{0}": "{0}""#, class.0)).collect();
    let member = |n: usize| {
        let all: Vec<(usize, SocketAddr)> = servers.addresses[n].iter().copied().enumerate().collect();
        setting.replace(&format!("zone-{n}"), &records("_opensearch._tcp", &all));
        let text = format!(
            r#"{{
  settings: {},
  query_api: {{ listen: "{}", records: "zone-{n}", service: "_opensearch._tcp.t.test.", indices: {{ {} }} }},
  fleet: {{ cluster: "accra", name: "c{}", listen: "{}", members: [{}], protect: {{ {} }} }},
}}"#,
            settings(classes, open_cap),
            fronts[n],
            indices.join(", "),
            n + 1,
            links[n],
            members.join(", "),
            rules.join(", ")
        );
        (setting.member(&format!("c{}", n + 1), &format!("c{}.json5", n + 1), &text), fronts[n])
    };
    (0..3).map(member).collect()
}

/// Starts all members and waits until each knows the configuration and serves.
pub fn start_fleet(fleet: &mut [(Member, SocketAddr)]) -> Result<(), String> {
    fleet.iter_mut().for_each(|(member, _)| member.start());
    for (member, front) in fleet.iter() {
        member.wait_for("fleet configuration", Duration::from_secs(15))?;
        wait(Duration::from_secs(10), || crate::http::is_healthy(*front))
            .map_err(|()| format!("{} does not serve", member.name))?;
    }
    Ok(())
}
