//! Events in the order of virtual time; those of one moment in the order in which they were put in.
use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::links::Micros;

struct Due<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Due<E>) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Due<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    /// The earliest is the greatest: the heap gives the greatest first.
    fn cmp(&self, other: &Due<E>) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

pub struct Queue<E> {
    heap: BinaryHeap<Due<E>>,
    count: u64,
    pub now: Micros,
}

impl<E> Queue<E> {
    pub fn new() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), count: 0, now: 0 }
    }

    pub fn later(&mut self, after: Micros, event: E) {
        self.count += 1;
        self.heap.push(Due { at: self.now + after, number: self.count, event });
    }

    /// The next event up to that time. Where there is none, the clock goes on to it.
    pub fn next(&mut self, until: Micros) -> Option<E> {
        if self.heap.peek().is_none_or(|due| due.at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let due = self.heap.pop()?;
        self.now = due.at;
        Some(due.event)
    }
}

/// A simulation that is driven by its queue.
pub trait Played {
    type Event;

    fn queue(&mut self) -> &mut Queue<Self::Event>;

    /// What comes next happens.
    fn event(&mut self, event: Self::Event);

    /// Go on for so long.
    fn run(&mut self, time: Micros) {
        let until = self.queue().now + time;
        while let Some(event) = self.queue().next(until) {
            self.event(event);
        }
    }
}
