//! Hollow members that hold works for each other: the program's own [`TakeoverState`] with its messages and frames, and an
//! executor that never ends, so that the number of works in hand stays as it was set.
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Instant;

use marlgap::cluster::takeover::{
    Action, ClassRule, ExecutionKey, Limits, SubmitRequest, TakeoverState, WhenFull,
};
use marlgap::cluster::{Configuration, MemberId};
use marlgap::net::cluster::frames::{self, Frame};

use super::links::{Links, Micros, Place, MS, SECOND};
use super::members::seat;
use super::queue::{Played, Queue};
use super::traffic::Traffic;

/// The owner and its two guards.
pub const GROUP: usize = 3;
/// Bytes of a work's text.
const TEXT: usize = 256;
/// Virtual Unix time at the start, ms.
const UNIX: u64 = 1_764_650_000_000;

struct Worker {
    id: MemberId,
    place: Place,
    works: Option<TakeoverState>,
    traffic: Traffic,
    /// Whom it spoke to.
    peers: BTreeSet<u32>,
    wakes: Option<Micros>,
    /// Works begun here.
    owns: u64,
    /// All that it executes, by id.
    runs: BTreeMap<Rc<str>, ExecutionKey>,
}

/// What happens to members that hold works.
pub enum Event {
    Deliver { from: usize, to: usize, bytes: Vec<u8> },
    Wake(usize),
    Ask(usize, u64),
}

/// A fleet that works together.
pub struct Workers {
    members: Vec<Worker>,
    pub links: Links,
    queue: Queue<Event>,
    names: HashMap<Rc<str>, usize>,
    /// Works begun; and when one was first taken over, by its id.
    pub started: u64,
    pub taken_over: BTreeMap<Rc<str>, Micros>,
    pub broken: Option<String>,
}

/// What a member of the fleet costs, on average and at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub messages: f64,
    pub bytes: f64,
    pub most_bytes: f64,
    pub peers: f64,
    /// Seconds of processor time in a second.
    pub busy: f64,
}

impl Workers {
    /// So many members, at each of which so many works are asked for within the first second.
    pub fn new(count: usize, works: u64, seed: u64) -> Result<Workers, String> {
        let all = (0..count).map(|i| seat(i).member).collect();
        let config = Configuration::new(1, all).map_err(|e| e.to_string())?;
        let rule = ClassRule {
            idempotent: true,
            group_size: GROUP,
            outcome_retention_ms: 5_000,
            when_full: WhenFull::Reject,
            priority_weight: 1.0,
        };
        let worker = |i| {
            let id = seat(i).member.id;
            let mut works = TakeoverState::new(id.clone(), vec![Some(rule.clone())], Limits::default());
            works.configure(1, config.clone());
            let (traffic, peers) = Default::default();
            Worker {
                id,
                place: Place::of(i),
                works: Some(works),
                traffic,
                peers,
                wakes: None,
                owns: 0,
                runs: BTreeMap::new(),
            }
        };
        let members: Vec<Worker> = (0..count).map(worker).collect();
        let names = members.iter().enumerate().map(|(i, m)| (m.id.name.clone(), i)).collect();
        let (links, queue, taken_over) = (Links::new(seed, 0), Queue::new(), BTreeMap::new());
        let mut workers = Workers { members, links, queue, names, started: 0, taken_over, broken: None };
        for i in 0..count {
            for n in 0..works {
                let at = SECOND * (n * count as u64 + i as u64) / (works * count as u64);
                workers.queue.later(at, Event::Ask(i, n));
            }
        }
        Ok(workers)
    }

    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// What the members cost while so much time passes.
    pub fn load(&mut self, time: Micros) -> Load {
        let before: Vec<Traffic> = self.members.iter().map(|m| m.traffic).collect();
        self.members.iter_mut().for_each(|m| m.peers.clear());
        self.run(time);
        let seconds = time as f64 / SECOND as f64;
        let mut load = Load::default();
        let count = self.members.len() as f64;
        for (member, before) in self.members.iter().zip(before) {
            let spent = member.traffic - before;
            load.messages += spent.messages() as f64 / seconds / count;
            load.bytes += spent.bytes() as f64 / seconds / count;
            load.most_bytes = load.most_bytes.max(spent.bytes() as f64 / seconds);
            load.peers += member.peers.len() as f64 / count;
            load.busy += spent.busy.as_secs_f64() / seconds / count;
        }
        load
    }

    /// The machines of these members vanish; nobody is told.
    pub fn kill(&mut self, of: impl Fn(Place) -> bool) -> usize {
        let gone = self.members.iter_mut().filter(|m| of(m.place) && m.works.is_some());
        gone.map(|m| m.works = None).count()
    }

    /// How often a work may be gone on with, by the members that execute it in such a place: they hold its lease now.
    pub fn holding(&self, of: impl Fn(Place) -> bool) -> BTreeMap<Rc<str>, usize> {
        let now = self.queue.now;
        let mut holding = BTreeMap::new();
        for member in self.members.iter().filter(|m| of(m.place)) {
            let Some(works) = &member.works else { continue };
            for (id, _) in member.runs.iter().filter(|(_, key)| works.holds_lease(now, **key)) {
                *holding.entry(id.clone()).or_default() += 1;
            }
        }
        holding
    }

    /// Works that members in such a place began.
    pub fn owned(&self, of: impl Fn(Place) -> bool) -> u64 {
        self.members.iter().filter(|m| of(m.place)).map(|m| m.owns).sum()
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let id = self.members[from].id.clone();
        if self.members[to].works.is_none() {
            return;
        }
        self.members[to].traffic.received.add(bytes.len());
        match frames::parse(bytes, bytes.len()) {
            Ok(Some((Frame::Takeover(message), _))) => {
                self.with(to, |works, now, unix| works.receive(now, unix, &id, message));
            }
            other => self.broken = Some(format!("a frame is read as {other:?}")),
        }
    }

    /// Calls a member's machine, carries out what it says, and sets its bell.
    fn with(&mut self, i: usize, call: impl FnOnce(&mut TakeoverState, Micros, u64)) {
        let now = self.now().max(1);
        let member = &mut self.members[i];
        let Some(works) = &mut member.works else { return };
        let begun = Instant::now();
        call(works, now, UNIX + now / MS);
        let acts = works.take_actions();
        let due = works.next_due();
        member.traffic.took(begun.elapsed());
        if let Some(due) = due.filter(|due| member.wakes.is_none_or(|wakes| *due < wakes)) {
            member.wakes = Some(due);
            self.queue.later(due.saturating_sub(now), Event::Wake(i));
        }
        acts.into_iter().for_each(|act| self.act(i, act));
    }

    fn act(&mut self, i: usize, act: Action) {
        match act {
            Action::Send { to, message } => {
                let Some(to) = self.names.get(&to.name).copied() else { return };
                let bytes = Frame::Takeover(message).bytes();
                let member = &mut self.members[i];
                member.traffic.sent.add(bytes.len());
                member.peers.insert(to as u32);
                let from = member.place;
                if let Some(delay) = self.links.carry(from, self.members[to].place) {
                    self.queue.later(delay, Event::Deliver { from: i, to, bytes });
                }
            }
            Action::Start { key, record, takeover } => {
                self.members[i].runs.insert(record.id.as_str().into(), key);
                self.started += u64::from(!takeover);
                self.members[i].owns += u64::from(!takeover);
                if takeover {
                    self.taken_over.entry(record.id.as_str().into()).or_insert(self.queue.now);
                }
            }
            Action::Granted { .. } | Action::Stop { .. } | Action::Answer { .. } => {}
        }
    }
}

impl Played for Workers {
    type Event = Event;

    fn queue(&mut self) -> &mut Queue<Event> {
        &mut self.queue
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
            Event::Wake(i) => {
                self.members[i].wakes = None;
                self.with(i, |works, now, unix| works.tick(now, unix));
            }
            Event::Ask(i, n) => {
                let ask = SubmitRequest {
                    id: format!("work-{i:04}-{n:04}").as_str().into(),
                    class: 0,
                    payload: vec![b't'; TEXT].into(),
                    deadline_unix_ms: UNIX + 600_000,
                    shards: [1, 2, 3].into(),
                };
                self.with(i, |works, now, unix| {
                    works.submit(now, unix, n + 1, ask);
                });
            }
        }
    }
}
