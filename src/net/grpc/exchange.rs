//! What the two sides of a call share: the front's task, which alone speaks to the client, and the attempts' tasks,
//! which speak to servers. Each hands over at most one chunk at a time, so that a slow reader holds up its server.
use std::cell::RefCell;
use std::sync::Arc;

use bytes::Bytes;
use event_listener::Event as Wake;
use http::HeaderMap;

use super::replay::Replay;
use super::status::Status;
use crate::interface::Effect;
use crate::routes::Route;

/// What comes back for the client.
#[derive(Default)]
pub struct Reply {
    /// The headers of the answer, once an attempt has committed the call.
    pub head: Option<HeaderMap>,
    /// The next bytes.
    pub chunk: Option<Bytes>,
    /// The final status, with whatever stands beside it.
    pub end: Option<HeaderMap>,
    /// The query has its final outcome: nothing more comes.
    pub over: bool,
}

pub struct Exchange {
    pub path: String,
    /// The client's metadata, as it goes on.
    pub metadata: HeaderMap,
    pub route: Arc<Route>,
    pub effect: Effect,
    /// Several shards are asked, and their messages become one.
    pub merged: bool,
    pub request: RefCell<Replay>,
    pub request_moved: Wake,
    pub reply: RefCell<Reply>,
    pub reply_moved: Wake,
    /// What the last failed attempt showed.
    pub last: RefCell<Option<Status>>,
}

impl Exchange {
    /// The committed attempt has the answer's headers.
    pub fn open(&self, head: HeaderMap) {
        self.reply.borrow_mut().head = Some(head);
        self.reply_moved.notify(usize::MAX);
    }

    /// Hand over some of the answer, once what was handed over before is taken.
    pub async fn pass(&self, chunk: Bytes) {
        loop {
            let listener = self.reply_moved.listen();
            {
                let mut reply = self.reply.borrow_mut();
                if reply.chunk.is_none() {
                    reply.chunk = Some(chunk);
                    break;
                }
            }
            listener.await;
        }
        self.reply_moved.notify(usize::MAX);
    }

    /// Wait until all that was handed over is taken.
    pub async fn drained(&self) {
        loop {
            let listener = self.reply_moved.listen();
            if self.reply.borrow().chunk.is_none() {
                return;
            }
            listener.await;
        }
    }

    /// The committed attempt has its status; the first one counts.
    pub fn close(&self, trailers: HeaderMap) {
        self.reply.borrow_mut().end.get_or_insert(trailers);
        self.reply_moved.notify(usize::MAX);
    }

    /// The query has its final outcome.
    pub fn over(&self) {
        self.reply.borrow_mut().over = true;
        self.reply_moved.notify(usize::MAX);
    }
}
