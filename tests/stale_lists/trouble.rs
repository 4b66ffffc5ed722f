//! What happens to the calls of a watch: troubles of discovery, and answers.
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use crate::common::scripted_discovery::{Call, ScriptedDiscovery};
use crate::rig::Rig;

/// What discovery does to all calls from some moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Silent,
    Unavailable,
    Disconnects,
    PartialAnswers,
    MalformedLists,
}

impl Trouble {
    pub fn name(self) -> String {
        format!("{self:?}")
    }

    /// Treats one call so. Returns it if its connection stays open.
    pub fn apply(self, mut call: Call) -> Option<Call> {
        match self {
            Trouble::Silent => return Some(call),
            Trouble::Unavailable => call.answer_unavailable(),
            Trouble::Disconnects => call.disconnect(),
            Trouble::PartialAnswers => {
                call.write(b"HTTP/1.1 200 OK\r\nContent-Le");
                return Some(call);
            }
            Trouble::MalformedLists => call.answer("{\"seq\":9,\"whole\":tr"),
        }
        None
    }

    /// Treats calls so for as long as the program makes them; ends when `stop` is received, with the call
    /// after that.
    pub fn run(self, discovery: &ScriptedDiscovery, stop: &Receiver<()>) {
        let mut held = Vec::new();
        while stop.try_recv().is_err() {
            if let Ok(call) = discovery.calls.recv_timeout(Duration::from_millis(20)) {
                held.extend(self.apply(call));
            }
        }
    }
}

/// Answers each call with the same list, at least one, until `stop` is received. Returns when the last answer
/// was written.
fn serve(discovery: &ScriptedDiscovery, list: &str, stop: &Receiver<()>) -> Option<Instant> {
    let mut written_at = None;
    while written_at.is_none() || stop.try_recv().is_err() {
        if let Ok(call) = discovery.calls.recv_timeout(Duration::from_millis(20)) {
            written_at = Some(Instant::now());
            call.answer(list);
        }
    }
    written_at
}

/// Answers calls with the given version of the list until a query is served. Returns the discovery, which has
/// stopped answering, and when it wrote its last answer.
pub fn serve_until_query_succeeds(
    rig: &mut Rig,
    discovery: ScriptedDiscovery,
    seq: u32,
) -> (ScriptedDiscovery, Instant) {
    let list = rig.list(seq, true, "up");
    let (stop, stopped) = channel();
    let serving = std::thread::spawn(move || {
        let written_at = serve(&discovery, &list, &stopped);
        (discovery, written_at)
    });
    rig.query_until(200);
    stop.send(()).expect("running");
    let (discovery, written_at) = serving.join().expect("no panic");
    (discovery, written_at.expect("an answer"))
}
