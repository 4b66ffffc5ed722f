//! Work that outlives its coordinator: a record of each protected query with an owner and its guards, and the protocol
//! by which one of them goes on when the owner is gone. docs/design-takeover.md has the argument.
mod api;
pub mod message;
pub mod record;

use std::rc::Rc;

pub use api::{Act, Ask, ClassRule, Counts, Guards, Key, Limits, May, Reply, Token, WhenFull};
pub use message::{Message, MessageError};
pub use record::{Part, Record};

use super::{Configuration, MemberId, Micros};

/// One member's share of all work in hand.
pub struct Works {
    acts: Vec<Act>,
}

#[allow(unused_variables)]
impl Works {
    pub fn new(me: MemberId, rules: Vec<Option<ClassRule>>, limits: Limits) -> Works {
        Works { acts: Vec::new() }
    }
    pub fn configure(&mut self, now: Micros, config: Configuration) {}
    /// The log has seen the last work of this epoch and all before it end.
    pub fn close(&mut self, now: Micros, epoch: u64) {}
    pub fn submit(&mut self, now: Micros, unix_ms: u64, token: Token, ask: Ask) {
        self.acts.push(Act::Answer { token, reply: Reply::Unprotected });
    }
    pub fn leave(&mut self, token: Token) {}
    pub fn receive(&mut self, now: Micros, unix_ms: u64, from: &MemberId, message: Message) {}
    pub fn rumour(&mut self, now: Micros, member: &MemberId, alive: bool) {}
    pub fn may_send(&mut self, now: Micros, key: Key, step: u8, shard: u32, attempt: u8) -> May {
        May::Never
    }
    pub fn holds(&self, now: Micros, key: Key) -> bool {
        false
    }
    pub fn cleared(&mut self, now: Micros, key: Key, step: u8, shard: u32) {}
    pub fn value(&mut self, now: Micros, key: Key, step: u8, shard: u32, value: Rc<[u8]>, score: f64) {}
    pub fn finish(&mut self, now: Micros, key: Key, outcome: Rc<[u8]>) {}
    pub fn tick(&mut self, now: Micros, unix_ms: u64) {}
    pub fn due(&self) -> Option<Micros> {
        None
    }
    pub fn ready(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }
    pub fn counts(&self) -> Counts {
        Counts::default()
    }
}
