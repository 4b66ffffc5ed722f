//! Exact counts of what one role says and hears. Bytes are those of the program's own frames, without those of TCP/IP.
use std::ops::Sub;
use std::time::Duration;

/// Messages and bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

impl Flow {
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

impl Sub for Flow {
    type Output = Flow;

    fn sub(self, earlier: Flow) -> Flow {
        Flow { messages: self.messages - earlier.messages, bytes: self.bytes - earlier.bytes }
    }
}

/// What one role sent, received, and took of the processor for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent: Flow,
    pub received: Flow,
    /// Time within the program's own calls. Measured, not virtual: it differs from run to run.
    pub busy: Duration,
    /// The longest of these calls.
    pub longest: Duration,
}

impl Traffic {
    pub fn took(&mut self, time: Duration) {
        self.busy += time;
        self.longest = self.longest.max(time);
    }

    pub fn bytes(&self) -> u64 {
        self.sent.bytes + self.received.bytes
    }

    pub fn messages(&self) -> u64 {
        self.sent.messages + self.received.messages
    }
}

impl Sub for Traffic {
    type Output = Traffic;

    fn sub(self, earlier: Traffic) -> Traffic {
        Traffic {
            sent: self.sent - earlier.sent,
            received: self.received - earlier.received,
            busy: self.busy.saturating_sub(earlier.busy),
            longest: self.longest,
        }
    }
}
