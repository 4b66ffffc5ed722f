//! The bounded queue of what is to be written to one member.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use event_listener::Event as Wake;

use super::frames::Frame;
use crate::cluster::MemberId;

/// Frames are put together up to this for one write.
const TOGETHER: usize = 64 << 10;
/// Of the largest frames, so many may wait. Guards the memory: the count alone would let a queue of them grow to a GiB.
const LARGEST: usize = 8;

/// Frames that wait for one member. Those for which the queue is full or there is no connection are dropped: the
/// machines repeat.
pub struct Outbox {
    frames: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    most: usize,
    most_bytes: usize,
    /// The life at the other end, while the connection is up.
    up: RefCell<Option<MemberId>>,
    wake: Wake,
    pub dropped: Cell<u64>,
}

impl Outbox {
    pub fn new(most: usize, largest: usize) -> Outbox {
        let (frames, bytes, up, wake, dropped) = Default::default();
        Outbox { frames, bytes, most, most_bytes: LARGEST * (largest + 4), up, wake, dropped }
    }

    /// Send to that very life: what was meant for an earlier one never reaches a later one.
    pub fn send(&self, to: &MemberId, frame: &Frame) {
        let has_place = self.frames.borrow().len() < self.most;
        if !has_place || self.up.borrow().as_ref() != Some(to) {
            return self.dropped.set(self.dropped.get() + 1);
        }
        let bytes = frame.bytes();
        if self.bytes.get() + bytes.len() > self.most_bytes {
            return self.dropped.set(self.dropped.get() + 1);
        }
        self.bytes.set(self.bytes.get() + bytes.len());
        self.frames.borrow_mut().push_back(bytes);
        self.wake.notify(1);
    }

    /// Wait for frames and take some.
    pub async fn take(&self, out: &mut Vec<u8>) {
        loop {
            let wake = self.wake.listen();
            while let Some(frame) = self.frames.borrow_mut().pop_front() {
                self.bytes.set(self.bytes.get().saturating_sub(frame.len()));
                out.extend(frame);
                if out.len() >= TOGETHER {
                    break;
                }
            }
            if !out.is_empty() {
                return;
            }
            wake.await;
        }
    }

    pub fn set(&self, up: Option<MemberId>) {
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        *self.up.borrow_mut() = up;
    }
}
