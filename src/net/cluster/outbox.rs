//! A bounded queue of outgoing frames to one member.
//!
//! Sending never waits for a slow peer. Frames that do not fit are dropped and counted, since the state
//! machines retransmit messages that are not answered.
#![warn(missing_docs)]
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use event_listener::Event as Wake;

use super::frames::Frame;
use crate::cluster::MemberId;

/// Frames are batched up to about this many bytes for one write.
const BATCH_BYTES: usize = 64 << 10;
/// The queue holds at most the bytes of this many frames of the maximum length. A limit on the number of
/// frames alone would let the queue grow to 1 GiB.
const MAX_LARGEST_FRAMES: usize = 8;
/// The size of the length field of a frame, which the limit on the frame length does not include.
const LENGTH_BYTES: usize = 4;

/// A queue of frames to one member. A frame is dropped if the queue is full or there is no connection.
pub struct Outbox {
    frames: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    max_frames: usize,
    max_bytes: usize,
    /// The peer's identity and incarnation while a connection is established.
    connected_to: RefCell<Option<MemberId>>,
    wake: Wake,
    dropped: Cell<u64>,
}

impl Outbox {
    /// Creates an empty queue for at most `max_frames` frames of at most `max_frame_bytes` bytes each.
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

    /// Queues a frame for exactly the given incarnation, so that a frame meant for an earlier incarnation
    /// never reaches a later one.
    pub fn send(&self, to: &MemberId, frame: &Frame) {
        let has_room = self.frames.borrow().len() < self.max_frames;
        if !has_room || self.connected_to.borrow().as_ref() != Some(to) {
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

    /// Waits until frames are queued and moves some of them to `batch`, in order.
    ///
    /// This method is cancel safe: frames are removed only in the poll that completes.
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

    /// Sets the incarnation that the connection leads to, or `None` if the connection is lost. Queued
    /// frames are discarded and do not count as dropped.
    pub fn set_connected(&self, to: Option<MemberId>) {
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        *self.connected_to.borrow_mut() = to;
    }

    /// Returns the number of frames dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }
}
