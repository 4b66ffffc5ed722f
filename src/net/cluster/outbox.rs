//! The bounded queue of frames to one member.
//!
//! Never waits for a slow peer: frames that find no place are dropped and counted, since the state machines
//! send again what is unanswered.
#![warn(missing_docs)]
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use event_listener::Event as Wake;

use super::frames::Frame;
use crate::cluster::MemberId;

/// Frames are batched up to this many bytes for one write.
const BATCH_BYTES: usize = 64 << 10;
/// How many of the largest frames may wait. The count of frames alone would let a queue of them grow to a
/// GiB.
const MAX_LARGEST_FRAMES: usize = 8;
/// The length field of a frame, which its bound does not count.
const LENGTH_BYTES: usize = 4;

/// Frames that wait for one member. A frame is dropped if the queue is full or there is no connection.
pub struct Outbox {
    frames: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    max_frames: usize,
    max_bytes: usize,
    /// The incarnation at the other end, while the connection is up.
    connected_to: RefCell<Option<MemberId>>,
    wake: Wake,
    dropped: Cell<u64>,
}

impl Outbox {
    /// An empty queue for at most `max_frames` frames, each of at most `max_frame_bytes` bytes.
    pub fn new(max_frames: usize, max_frame_bytes: usize) -> Outbox {
        Outbox {
            frames: RefCell::default(),
            bytes: Cell::default(),
            max_frames,
            max_bytes: MAX_LARGEST_FRAMES * (max_frame_bytes + LENGTH_BYTES),
            connected_to: RefCell::default(),
            wake: Wake::new(),
            dropped: Cell::default(),
        }
    }

    /// Queues a frame for that very incarnation: one that is meant for an earlier one never reaches a later
    /// one.
    pub fn send(&self, to: &MemberId, frame: &Frame) {
        let has_place = self.frames.borrow().len() < self.max_frames;
        if !has_place || self.connected_to.borrow().as_ref() != Some(to) {
            return self.count_dropped();
        }
        let bytes = frame.bytes();
        if self.bytes.get() + bytes.len() > self.max_bytes {
            return self.count_dropped();
        }
        self.bytes.set(self.bytes.get() + bytes.len());
        self.frames.borrow_mut().push_back(bytes);
        self.wake.notify(1);
    }

    /// Waits for frames and appends some of them to `batch`, in their order.
    ///
    /// Cancel safe: frames are taken only in the poll that completes.
    pub async fn take(&self, batch: &mut Vec<u8>) {
        loop {
            let wake = self.wake.listen();
            while let Some(frame) = self.frames.borrow_mut().pop_front() {
                self.bytes.set(self.bytes.get().saturating_sub(frame.len()));
                batch.extend(frame);
                if batch.len() >= BATCH_BYTES {
                    break;
                }
            }
            if !batch.is_empty() {
                return;
            }
            wake.await;
        }
    }

    /// The connection is up, to that incarnation, or down. Frames that wait are discarded, uncounted.
    pub fn set_connected(&self, to: Option<MemberId>) {
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        *self.connected_to.borrow_mut() = to;
    }

    /// Frames dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }
}
