//! One connection to a data node: what waits to be written, what is out on it, and how it ends. No socket here.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use event_listener::Event as Wake;

use super::RequestContext;
use crate::balancer::interface::*;
use crate::coordinator::{AttemptResult, CancellationToken};
use crate::send_policy::SendPermit;

/// For how long behind its time a given-up part may still hold its place.
const LATE: Duration = Duration::from_secs(1);
/// Given-up parts that are remembered for a connection beyond those that hold a place there, so that their answers
/// are known when they come very late.
const MOST_LATE: usize = 64;

/// Where the answer to a probe goes: whether the data node answered, and its report.
pub type Probe = Sender<(bool, Option<LoadReport>)>;
pub type Ending = (Sender<AttemptResult>, Receiver<AttemptResult>);

/// A part on a connection.
pub struct Item {
    pub id: String,
    pub shard: ShardId,
    /// What its list holds beside its time.
    pub extra: String,
    pub carried: Rc<RequestContext>,
    pub deadline: Instant,
    /// Which life of the data node it was meant for.
    pub life: u64,
    pub stop: CancellationToken,
    pub end: Ending,
    /// What it was written by.
    pub permit: Cell<Option<SendPermit>>,
}

impl Item {
    /// Whether it still holds its place once it is given up.
    fn holds(&self, now: Instant) -> bool {
        self.deadline + LATE > now
    }
}

pub enum Out {
    Part(Rc<Item>),
    GiveUp(String),
    Probe(u8, Probe),
}

pub struct Connection {
    /// None has the number of another.
    pub number: u64,
    pub queue: RefCell<VecDeque<Out>>,
    /// Written and not answered, oldest first.
    pub waiting: RefCell<Vec<Rc<Item>>>,
    /// Those of the waiting whose frame is being written: until our system has its last byte, they cannot run.
    pub under_way: RefCell<Vec<Rc<Item>>>,
    /// Written, then given up: an answer may still come.
    pub given_up: RefCell<VecDeque<Rc<Item>>>,
    pub probes: RefCell<VecDeque<Probe>>,
    pub wake: Wake,
    pub up: Cell<bool>,
    pub closed: Cell<bool>,
    /// Our own machine failed to bring it up, once at least: that it is not up says nothing of its data node.
    pub local_failure: Cell<bool>,
    /// Since when it owes an answer and has brought none.
    pub owes: Cell<Option<Instant>>,
    /// Closed for that: its data node may be sound.
    pub silent: Cell<bool>,
    pub used: Cell<Instant>,
    /// Its descriptor is still counted as taken.
    pub counted: Cell<bool>,
}

impl Connection {
    pub fn new(number: u64) -> Connection {
        Connection {
            number,
            queue: RefCell::default(),
            waiting: RefCell::default(),
            under_way: RefCell::default(),
            given_up: RefCell::default(),
            probes: RefCell::default(),
            wake: Wake::new(),
            up: Cell::new(false),
            closed: Cell::new(false),
            local_failure: Cell::new(false),
            owes: Cell::new(None),
            silent: Cell::new(false),
            used: Cell::new(Instant::now()),
            counted: Cell::new(true),
        }
    }

    /// Parts that hold one of its places or wait for one.
    pub fn load(&self) -> usize {
        let queue = self.queue.borrow();
        let queued = queue.iter().filter(|o| matches!(o, Out::Part(_))).count();
        queued + self.carried(Instant::now())
    }

    /// Parts that hold one of its places. Given-up ones do too, until they are answered or well out of time: what
    /// runs there goes on, and a slow data node is late with it.
    pub fn carried(&self, now: Instant) -> usize {
        let given_up = self.given_up.borrow().iter().filter(|item| item.holds(now)).count();
        self.waiting.borrow().len() + given_up
    }

    /// Where in the queue the next one is that may be written: no part without a free place. Guards against parts
    /// that would wait unread at the data node, out of our reach, and be read behind their query's final answer.
    pub fn next(&self, streams: usize) -> Option<usize> {
        let queue = self.queue.borrow();
        let full = self.carried(Instant::now()) >= streams;
        queue.iter().position(|out| !full || !matches!(out, Out::Part(_)))
    }

    pub fn idle(&self) -> bool {
        self.up.get() && self.queue.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    pub fn quiet(&self, now: Instant, span: Duration) -> bool {
        self.owes.get().is_some_and(|since| now >= since + span)
    }

    /// Give it up if it has been silent for so long. Guards against connections that stay open and carry
    /// nothing any more, which no reset tells: whatever is written there is lost until its time is up.
    pub fn hush(&self, now: Instant, span: Duration) {
        if self.quiet(now, span) {
            self.silent.set(true);
            self.close();
        }
    }

    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify(usize::MAX);
    }

    pub fn push(&self, out: Out) {
        self.queue.borrow_mut().push_back(out);
        self.wake.notify(usize::MAX);
    }

    /// An answer could not be used, of the part of that id if one could be read: an error of that part. With
    /// it goes the connection, and so do the others out on it. Guards against holding a spoilt answer, which any
    /// data node may send, for the death of its process, and against waiting for the others.
    ///
    /// Where a second copy may not run beside another attempt (`alone`), only the part that is named has ended: the
    /// others may still be worked on, and end with their own time.
    pub fn spoil(&self, id: Option<&str>, alone: bool) {
        let mut waiting = self.waiting.borrow_mut();
        let under_way = self.under_way.borrow();
        waiting.retain(|item| !under_way.iter().any(|other| Rc::ptr_eq(other, item)));
        let named = id.and_then(|id| waiting.iter().position(|item| item.id == id));
        let spoilt = named.or((!alone).then_some(0)).unwrap_or(waiting.len());
        let mut lost = waiting.split_off(0);
        ended(&lost.drain(spoilt..(spoilt + 1).min(lost.len())).collect::<Vec<_>>(), Outcome::Error);
        if !alone {
            ended(&lost, Outcome::ConnectionLost);
        }
    }

    /// End it. Gives back the parts that were not written whole, which never ran, and those that were, which
    /// may have.
    pub fn end(&self) -> [Vec<Rc<Item>>; 2] {
        self.closed.set(true);
        self.probes.borrow_mut().clear();
        let unwritten = self.under_way.take();
        self.waiting.borrow_mut().retain(|item| !unwritten.iter().any(|other| Rc::ptr_eq(other, item)));
        let queued = self.queue.take().into_iter().filter_map(|out| match out {
            Out::Part(item) => Some(item),
            _ => None,
        });
        [unwritten.into_iter().chain(queued).collect(), self.waiting.take()]
    }

    /// Nobody waits for this attempt any more: unwritten it is not sent, else the data node is told. Where nobody
    /// waits for any part of the frame that is being written, the connection goes. Guards against a last byte,
    /// with which an attempt begins to count, that would follow its query's end as soon as the data node reads on;
    /// and against a connection to one that never does, which nothing else would close.
    pub fn give_up(&self, item: &Rc<Item>, cancel: bool) {
        let ours = |out: &Out| matches!(out, Out::Part(other) if Rc::ptr_eq(other, item));
        self.queue.borrow_mut().retain(|out| !ours(out));
        let mut waiting = self.waiting.borrow_mut();
        let Some(n) = waiting.iter().position(|other| Rc::ptr_eq(other, item)) else { return };
        let item = waiting.remove(n);
        drop(waiting);
        let mut under_way = self.under_way.borrow_mut();
        let written =
            under_way.iter().position(|other| Rc::ptr_eq(other, &item)).map(|n| under_way.remove(n));
        if written.is_some() && under_way.is_empty() {
            // What else is out on it may have run; it says nothing of its data node's life.
            self.silent.set(true);
            self.close();
            return;
        }
        let mut given_up = self.given_up.borrow_mut();
        // Those that hold a place are bounded by its places, and never forgotten: guards a sound connection of many
        // places against its own answers being taken for spoilt ones.
        let now = Instant::now();
        let late = |item: &Rc<Item>| !item.holds(now);
        if given_up.iter().filter(|item| late(item)).count() >= MOST_LATE {
            given_up.iter().position(late).map(|n| given_up.remove(n));
        }
        given_up.push_back(item.clone());
        if cancel && !self.closed.get() {
            self.push(Out::GiveUp(item.id.clone()));
        }
    }

    /// The part that an answer with this id is for, taken out, or `None` where nobody waits for it: `Err` where that
    /// is no wonder, since it was given up. Attempts of a part share its id: what brings no value ends the one that was
    /// given up first. Guards against taking its end for that of the later one, which runs on.
    pub fn answered(&self, id: &str, served: bool) -> Result<Option<Rc<Item>>, ()> {
        let named = |item: &Rc<Item>| item.id == id;
        let (mut waiting, mut given_up) = (self.waiting.borrow_mut(), self.given_up.borrow_mut());
        let (here, late) = (waiting.iter().position(named), given_up.iter().position(named));
        match (here, late) {
            (Some(n), None) => Ok(Some(waiting.remove(n))),
            (Some(n), Some(_)) if served => Ok(Some(waiting.remove(n))),
            (_, Some(n)) => {
                given_up.remove(n);
                Err(())
            }
            (None, None) => Ok(None),
        }
    }

    pub async fn wait(&self, until: impl Fn() -> bool) {
        while !until() {
            let listener = self.wake.listen();
            if !until() {
                listener.await;
            }
        }
    }
}

/// Tell how attempts ended; who called them off hears nothing.
pub fn ended(items: &[Rc<Item>], outcome: Outcome) {
    items.iter().for_each(|item| drop(item.end.0.try_send(outcome.into())));
}
