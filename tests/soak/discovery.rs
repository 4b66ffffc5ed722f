//! The discovery service of a run, on threads of this process. Lists are either polled by coordinators or
//! pushed to their agents.
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::common::{listed_host_json, read_http};
use crate::record::{Event, EventLog};
use crate::servers::Node;

/// The announced state of a data node: whether it drains, and its start time.
type AnnouncedState = (bool, u128);

/// The state that discovery keeps for one coordinator.
#[derive(Default)]
struct Follower {
    /// Whether lists are pushed to it. If so, the list held by its agent counts as announced even if the
    /// coordinator has not requested it.
    is_push: bool,
    /// After a reload, the time from which the list held by the agent counts as announced.
    counts_from: Option<Instant>,
    /// The last announced state of each data node for the current process.
    announced: BTreeMap<usize, AnnouncedState>,
}

/// The discovery service: one list for all coordinators, each of which has two addresses to request it
/// from.
pub struct Discovery {
    nodes: Vec<Arc<Node>>,
    version: AtomicU64,
    down: AtomicBool,
    /// The number of calls that were not answered because discovery was down.
    pub refused: AtomicU64,
    event_log: EventLog,
    followers: Mutex<BTreeMap<usize, Follower>>,
}

/// The time after SIGHUP from which the list held by the agent counts as announced.
const ANNOUNCED_AFTER_RELOAD: Duration = Duration::from_secs(4);

impl Discovery {
    pub fn new(nodes: Vec<Arc<Node>>, event_log: EventLog) -> Arc<Discovery> {
        let (down, refused, followers) = Default::default();
        Arc::new(Discovery { nodes, version: AtomicU64::new(1), down, refused, event_log, followers })
    }

    /// Starts a listener for a coordinator and returns its address.
    pub fn listen_for(self: &Arc<Self>, coordinator: usize, is_push: bool) -> SocketAddr {
        self.follower(coordinator, |follower| follower.is_push = is_push);
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.serve(stream, coordinator));
            }
        });
        address
    }

    fn follower<T>(&self, coordinator: usize, change: impl FnOnce(&mut Follower) -> T) -> T {
        change(self.followers.lock().expect("not poisoned").entry(coordinator).or_default())
    }

    /// Resets the state for a new process of a coordinator. Nothing is announced to it yet, except for the
    /// list held by its agent.
    pub fn clear_announcements(&self, coordinator: usize) {
        self.follower(coordinator, |follower| follower.announced.clear());
        self.update_agents();
    }

    /// Records that a coordinator receives a new configuration.
    pub fn record_reload(&self, coordinator: usize) {
        let from = Instant::now() + ANNOUNCED_AFTER_RELOAD;
        self.follower(coordinator, |follower| follower.counts_from = Some(from));
    }

    pub fn drain(&self, node: &Node, drains: bool) {
        node.drains.store(drains, Ordering::SeqCst);
        self.publish_change();
    }

    /// Restarts a data node.
    pub fn restart(&self, node: &Node) {
        node.restart();
        self.publish_change();
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.update_agents();
    }

    fn publish_change(&self) {
        self.version.fetch_add(1, Ordering::SeqCst);
        self.update_agents();
    }

    /// Records the lists held by agents as announced, unless discovery is down.
    fn update_agents(&self) {
        let listed = self.listed();
        let now = Instant::now();
        let mut followers = self.followers.lock().expect("not poisoned");
        if self.down.load(Ordering::SeqCst) {
            return;
        }
        let counts =
            |follower: &Follower| follower.is_push && follower.counts_from.is_none_or(|at| at <= now);
        for (coordinator, follower) in followers.iter_mut().filter(|(_, follower)| counts(follower)) {
            self.record_announced(*coordinator, follower, &listed);
        }
    }

    fn listed(&self) -> Vec<AnnouncedState> {
        self.nodes.iter().map(|n| (n.drains.load(Ordering::SeqCst), n.start_unix_ms())).collect()
    }

    fn record_announced(&self, coordinator: usize, follower: &mut Follower, listed: &[AnnouncedState]) {
        for (node, (drains, start)) in listed.iter().copied().enumerate() {
            let before = follower.announced.insert(node, (drains, start));
            if before.map(|(drains, _)| drains) != Some(drains) {
                self.event_log.record(Event::DrainListed { coordinator, node, drains });
            }
            if start > 0 && before.map(|(_, start)| start) != Some(start) {
                self.event_log.record(Event::StartListed { coordinator, node });
            }
        }
    }

    /// Records the drains that a list ends. This precedes the write of the list, since the coordinator may send
    /// to the data node as soon as it has read the list.
    fn record_ended_drains(&self, coordinator: usize, follower: &mut Follower, listed: &[AnnouncedState]) {
        for (node, (drains, _)) in listed.iter().copied().enumerate() {
            let Some((announced_drains, _)) = follower.announced.get_mut(&node) else { continue };
            if *announced_drains && !drains {
                *announced_drains = false;
                self.event_log.record(Event::DrainListed { coordinator, node, drains });
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, coordinator: usize) {
        let _ = stream.set_nodelay(true);
        while let Some(call) = read_http(&mut stream) {
            let number = |name: &str| {
                let value = call.split(name).nth(1)?;
                value.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0));
            let held = number("index=");
            let nothing_new = || held == Some(self.version.load(Ordering::SeqCst)) && Instant::now() < until;
            // A watch ends when discovery goes down.
            while !self.down.load(Ordering::SeqCst) && nothing_new() {
                std::thread::sleep(Duration::from_millis(5));
            }
            if self.down.load(Ordering::SeqCst) {
                self.refused.fetch_add(1, Ordering::SeqCst);
                return;
            }
            if !self.answer(&mut stream, coordinator) {
                return;
            }
        }
    }

    /// Writes the complete list, which counts as announced from then on. Returns whether it could be
    /// written.
    fn answer(&self, stream: &mut TcpStream, coordinator: usize) -> bool {
        let mut followers = self.followers.lock().expect("not poisoned");
        let version = self.version.load(Ordering::SeqCst);
        let listed = self.listed();
        let entry = |node: &Arc<Node>| {
            let (drains, start) = listed[node.number];
            let entry = listed_host_json(node.number, &node.address, if drains { "draining" } else { "up" });
            entry.replace("\"born_ms\":0", &format!("\"born_ms\":{start}"))
        };
        let hosts: Vec<String> = self.nodes.iter().map(entry).collect();
        let body = format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let follower = followers.entry(coordinator).or_default();
        self.record_ended_drains(coordinator, follower, &listed);
        if stream.write_all(answer.as_bytes()).is_err() {
            return false;
        }
        self.record_announced(coordinator, follower, &listed);
        true
    }
}
