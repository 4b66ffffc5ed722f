//! Clients of the query API: what they ask and what became of it.
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use async_executor::Task;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use serde_json::json;

use crate::checker::ONCE;
use crate::history::{Ask, EventKind, History};
use crate::servers::read_http;

/// A client that waits for its answer; dropped, its connection goes.
pub struct Client {
    pub number: usize,
    pub task: Option<Task<()>>,
    pub history: Arc<History>,
}

impl Client {
    /// Drop the connection.
    pub fn leave(mut self) {
        self.history.note(EventKind::Left { client: self.number, own: true });
        drop(self.task.take());
    }

    /// Its end: status and body, or `None` when the connection broke.
    pub fn end(self) -> Option<(u16, String)> {
        self.end_at().1
    }

    /// The same with its place in the history.
    pub fn end_at(self) -> (usize, Option<(u16, String)>) {
        let number = self.number;
        let at = self.history.wait(
            0,
            "the end of an ask",
            |w| matches!(w, EventKind::Answered { client, .. } | EventKind::Left { client, .. } if *client == number),
        );
        let end = match self.history.events().swap_remove(at).what {
            EventKind::Answered { status, body, .. } => Some((status, body)),
            _ => None,
        };
        (at, end)
    }

    pub fn status(self) -> u16 {
        self.end().expect("an answer").0
    }
}

/// The head of an ask's request, without its length, and its body.
pub fn request(ask: &Ask) -> (String, String) {
    let parts: Vec<String> = ask.parts.iter().map(u32::to_string).collect();
    let head = format!(
        "POST /{}/_search?preference=_shards:{}&timeout={}ms HTTP/1.1\r\nHost: t\r\nX-Opaque-Id: {}",
        ask.index,
        parts.join(","),
        ask.wait_ms,
        ask.id
    );
    (head, json!({"query": {"match": {"farmer": ask.text}}, "size": 30}).to_string())
}

/// One ask on a connection of its own; `None` when that breaks.
pub async fn exchange(at: SocketAddr, ask: &Ask) -> Option<String> {
    let stream = Async::<TcpStream>::connect(at).await.ok()?;
    drop(stream.get_ref().set_nodelay(true));
    let (head, body) = request(ask);
    let request = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    (&stream).write_all(request.as_bytes()).await.ok()?;
    read_http(&mut &stream).await
}

pub fn answered(client: usize, text: &str) -> EventKind {
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let retry_after = head.lines().any(|l| l.starts_with("Retry-After: "));
    EventKind::Answered {
        client,
        status: head[9..12].parse().expect("a status"),
        retry_after,
        body: body.to_owned(),
    }
}

/// Three seconds for two tiles.
pub fn fields(id: &str) -> Ask {
    Ask { id: id.into(), index: "fields", parts: vec![0, 1], text: "ama".into(), wait_ms: 3000 }
}

/// The same of a class whose parts must not run twice.
pub fn once(id: &str) -> Ask {
    Ask { index: ONCE, ..fields(id) }
}
