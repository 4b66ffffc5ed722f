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
    /// The number of processes of the coordinator that were started after the first one.
    restarts: u64,
    /// The last announced state of each data node for the current process.
    announced: BTreeMap<usize, AnnouncedState>,
}

/// What discovery does to answers for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Answers are written in two pieces, with a pause between them.
    InPieces,
    /// Of every second answer, only a part is written before the connection is closed.
    Lost,
    /// Calls are handled in turn, and each takes long.
    InTurn,
}

/// The answer faults that are active, and how often each took effect.
#[derive(Default)]
pub struct AnswerFaults {
    active: [AtomicBool; 3],
    fired: [AtomicU64; 3],
    /// Held while a call is handled in turn.
    turn: Mutex<()>,
}

impl AnswerFaults {
    pub const ALL: [AnswerFault; 3] = [AnswerFault::InPieces, AnswerFault::Lost, AnswerFault::InTurn];

    pub fn set(&self, fault: AnswerFault, active: bool) {
        self.active[fault as usize].store(active, Ordering::SeqCst);
    }

    pub fn fired(&self, fault: AnswerFault) -> u64 {
        self.fired[fault as usize].load(Ordering::SeqCst)
    }

    /// Waits until a fault has taken effect: while discovery hangs or is down, there are no answers.
    pub fn wait_until_fired(&self, fault: AnswerFault) {
        let deadline = Instant::now() + MAX_FIRE_TIME;
        while self.fired(fault) == 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns whether a fault is active, and counts its effect. The result is the number of earlier effects.
    fn fire(&self, fault: AnswerFault) -> Option<u64> {
        let is_active = self.active[fault as usize].load(Ordering::SeqCst);
        is_active.then(|| self.fired[fault as usize].fetch_add(1, Ordering::SeqCst))
    }

    fn wait_for_turn(&self) {
        if self.fire(AnswerFault::InTurn).is_some() {
            let _turn = self.turn.lock().expect("not poisoned");
            std::thread::sleep(TURN_DURATION);
        }
    }
}

/// The time within which a fault must take effect: longer than discovery hangs and is down.
const MAX_FIRE_TIME: Duration = Duration::from_secs(12);
/// The time that a call takes while calls are handled in turn.
const TURN_DURATION: Duration = Duration::from_millis(120);
/// The time between the two pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(300);

/// The discovery service: one list for all coordinators, each of which has two addresses to request it
/// from.
pub struct Discovery {
    nodes: Vec<Arc<Node>>,
    version: AtomicU64,
    down: AtomicBool,
    hangs: AtomicBool,
    pub answer_faults: AnswerFaults,
    /// The number of calls that were not answered because discovery was down.
    pub refused: AtomicU64,
    /// The number of calls that were pending or made while discovery hung.
    pub silent: AtomicU64,
    event_log: EventLog,
    followers: Mutex<BTreeMap<usize, Follower>>,
}

/// The time after SIGHUP from which the list held by the agent counts as announced.
const ANNOUNCED_AFTER_RELOAD: Duration = Duration::from_secs(4);

impl Discovery {
    pub fn new(nodes: Vec<Arc<Node>>, event_log: EventLog) -> Arc<Discovery> {
        let (down, hangs, answer_faults, refused, silent, followers) = Default::default();
        let version = AtomicU64::new(1);
        Arc::new(Discovery {
            nodes,
            version,
            down,
            hangs,
            answer_faults,
            refused,
            silent,
            event_log,
            followers,
        })
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
        self.follower(coordinator, |follower| {
            follower.restarts += 1;
            follower.announced.clear();
        });
        self.update_agents();
    }

    /// Records that a coordinator receives a new configuration.
    pub fn record_reload(&self, coordinator: usize) {
        let from = Instant::now() + ANNOUNCED_AFTER_RELOAD;
        self.follower(coordinator, |follower| follower.counts_from = Some(from));
    }

    pub fn drain(&self, node: &Node, drains: bool) {
        node.drains.store(drains, Ordering::SeqCst);
        self.event_log.record(Event::DrainMade { node: node.number, drains });
        self.publish_change();
    }

    /// Restarts a data node.
    pub fn restart(&self, node: &Node) {
        node.restart();
        self.publish_change();
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.event_log.record(Event::DiscoveryDown { down });
        self.update_agents();
    }

    /// Waits until discovery is up, so that what happens next is announced.
    pub fn wait_until_up(&self) {
        while self.down.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until discovery has been up for `duration` without a break, from now on.
    pub fn wait_while_up_for(&self, duration: Duration) {
        let mut up_since = Instant::now();
        while up_since.elapsed() < duration {
            std::thread::sleep(Duration::from_millis(5));
            if self.down.load(Ordering::SeqCst) {
                up_since = Instant::now();
            }
        }
    }

    /// Makes discovery hang: calls are accepted and not answered, and those that are pending when it continues
    /// stay silent.
    pub fn set_hangs(&self, hangs: bool) {
        self.hangs.store(hangs, Ordering::SeqCst);
        self.event_log.record(Event::DiscoveryHangs { hangs });
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
        let process = self.follower(coordinator, |follower| follower.restarts);
        while let Some(call) = read_http(&mut stream) {
            let number = |name: &str| {
                let value = call.split(name).nth(1)?;
                value.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0));
            let held = number("index=");
            let is_down = || self.down.load(Ordering::SeqCst);
            let hangs = || self.hangs.load(Ordering::SeqCst);
            let nothing_new = || held == Some(self.version.load(Ordering::SeqCst)) && Instant::now() < until;
            while !is_down() && !hangs() && nothing_new() {
                std::thread::sleep(Duration::from_millis(5));
            }
            self.answer_faults.wait_for_turn();
            if hangs() {
                self.silent.fetch_add(1, Ordering::SeqCst);
                self.stay_silent(&stream);
            }
            // A watch ends when discovery goes down.
            if is_down() {
                self.refused.fetch_add(1, Ordering::SeqCst);
                return;
            }
            if is_closed(&stream) || !self.answer(&mut stream, coordinator, process) {
                return;
            }
        }
    }

    /// Leaves a call without an answer until the program closes the connection or discovery goes down.
    fn stay_silent(&self, stream: &TcpStream) {
        while !self.down.load(Ordering::SeqCst) && !is_closed(stream) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Writes the complete list, which counts as announced to a process from then on. Returns whether it could
    /// be written.
    fn answer(&self, stream: &mut TcpStream, coordinator: usize, process: u64) -> bool {
        let mut followers = self.followers.lock().expect("not poisoned");
        if followers.entry(coordinator).or_default().restarts != process {
            return false;
        }
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
        let (begin, end) = answer.as_bytes().split_at(answer.len() / 2);
        // A piece of an answer counts as announced: the program cannot know how much of it was written.
        if stream.write_all(begin).is_err() {
            return false;
        }
        self.record_announced(coordinator, follower, &listed);
        drop(followers);
        if self.answer_faults.fire(AnswerFault::Lost).is_some_and(|before| before % 2 == 0) {
            return false;
        }
        if self.answer_faults.fire(AnswerFault::InPieces).is_some() {
            std::thread::sleep(PIECE_PAUSE);
        }
        stream.write_all(end).is_ok()
    }
}

/// Returns whether the program has closed its side of a connection, on which it sends nothing before the answer.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("set");
    !matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}
