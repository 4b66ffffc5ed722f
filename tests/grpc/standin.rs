//! A stub gRPC server, and a client, both on h2 and smol. The metadata of a call determines what the server
//! does with it (see `script`).
#[path = "script.rs"]
mod script;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderMap, Request};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use self::script::call;
use crate::common::TEST_TIMEOUT;

/// An attempt as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    pub server: usize,
    pub call: String,
    pub at: Option<Instant>,
    pub timeout: String,
    pub body: Vec<u8>,
    /// The error code with which the client reset the stream, if it did.
    pub reset: Option<u32>,
    /// The number of bytes of its response that were sent.
    pub sent: usize,
}

/// The attempts that all servers of a test received, in order.
#[derive(Default)]
pub struct Record {
    attempts: Mutex<Vec<Attempt>>,
    changed: Condvar,
}

impl Record {
    pub fn attempts_of(&self, call: &str) -> Vec<Attempt> {
        self.attempts.lock().expect("not poisoned").iter().filter(|s| s.call == call).cloned().collect()
    }

    /// Waits until the attempts of a call satisfy a condition, and returns them.
    pub fn wait_for(&self, call: &str, wanted: impl Fn(&[Attempt]) -> bool) -> Vec<Attempt> {
        let (deadline, mut attempts) =
            (Instant::now() + TEST_TIMEOUT, self.attempts.lock().expect("not poisoned"));
        loop {
            let matching: Vec<Attempt> = attempts.iter().filter(|s| s.call == call).cloned().collect();
            if wanted(&matching) {
                return matching;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "{call}: {matching:?}");
            attempts = self.changed.wait_timeout(attempts, left).expect("not poisoned").0;
        }
    }

    fn change(&self, n: usize, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.attempts.lock().expect("not poisoned").get_mut(n) {
            change(attempt);
            self.changed.notify_all();
        }
    }
}

/// Starts `count` servers on a thread of their own, and returns their addresses and the record of their
/// attempts.
pub fn serve(count: usize, streams: u32) -> (Vec<SocketAddr>, Arc<Record>) {
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("bound")).collect();
    let addresses = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
    let record = Arc::new(Record::default());
    let server_record = record.clone();
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        for (n, listener) in listeners.into_iter().enumerate() {
            let (server_executor, record) = (executor.clone(), server_record.clone());
            let accept = async move {
                let listener = Async::new(listener).expect("async");
                while let Ok((stream, _)) = listener.accept().await {
                    let serve_connection =
                        connection(n, stream, streams, server_executor.clone(), record.clone());
                    server_executor.spawn(serve_connection).detach();
                }
            };
            executor.spawn(accept).detach();
        }
        async_io::block_on(executor.run(std::future::pending::<()>()));
    });
    (addresses, record)
}

async fn connection(
    n: usize,
    stream: Async<TcpStream>,
    streams: u32,
    executor: Rc<LocalExecutor<'static>>,
    record: Arc<Record>,
) {
    drop(stream.get_ref().set_nodelay(true));
    let (end_sender, end_receiver) = async_channel::bounded::<bool>(1);
    let mut builder = h2::server::Builder::new();
    let Ok(mut connection) =
        builder.max_concurrent_streams(streams).handshake::<_, Bytes>(stream.compat()).await
    else {
        return;
    };
    loop {
        let accept = async { Ok(connection.accept().await) };
        let ended = async { Err(end_receiver.recv().await.unwrap_or(false)) };
        match accept.or(ended).await {
            Ok(Some(Ok((request, respond)))) => {
                let serve_call = call(n, request, respond, record.clone(), end_sender.clone());
                executor.spawn(serve_call).detach();
            }
            // This GOAWAY names the last stream that was received, so the connection ends after its open
            // calls. A GOAWAY that names no stream as processed is sent by `connections::faulty_server`.
            Err(true) => connection.graceful_shutdown(),
            _ => return,
        }
    }
}

/// The response to a call as a client received it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientResponse {
    /// The concatenated bodies of the messages.
    pub body: String,
    pub messages: usize,
    /// All statuses that were received. There must be exactly one.
    pub statuses: Vec<u32>,
    pub fields: BTreeMap<String, String>,
    pub reset: Option<u32>,
}

impl ClientResponse {
    pub fn code(&self) -> u32 {
        assert_eq!(self.statuses.len(), 1, "one status: {self:?}");
        self.statuses[0]
    }
}

/// A client's connection to the front, on a thread's own executor.
pub struct Client {
    executor: Rc<LocalExecutor<'static>>,
    send: h2::client::SendRequest<Bytes>,
    /// Closed when the connection has ended.
    ended: async_channel::Receiver<()>,
}

impl Client {
    /// Runs `work` with a connection to `address`.
    pub fn with<T>(address: SocketAddr, work: impl AsyncFnOnce(Rc<Client>) -> T) -> T {
        let executor = Rc::new(LocalExecutor::new());
        async_io::block_on(executor.clone().run(async {
            let client = Client::connect(address, executor).await;
            let done = async { Some(work(client).await) };
            let late = async {
                Timer::at(Instant::now() + TEST_TIMEOUT).await;
                None
            };
            done.or(late).await.expect("in time")
        }))
    }

    pub async fn connect(address: SocketAddr, executor: Rc<LocalExecutor<'static>>) -> Rc<Client> {
        let stream = Async::<TcpStream>::connect(address).await.expect("connected");
        drop(stream.get_ref().set_nodelay(true));
        let (send, connection) = h2::client::Builder::new()
            .initial_connection_window_size(1 << 20)
            .handshake(stream.compat())
            .await
            .expect("handshake");
        let (end_sender, ended) = async_channel::bounded(1);
        let run = async move {
            drop(connection.await);
            drop(end_sender);
        };
        executor.spawn(run).detach();
        Rc::new(Client { executor, send, ended })
    }

    /// Completes when the connection has ended.
    pub async fn ended(&self) {
        let _ = self.ended.recv().await;
    }

    pub fn has_ended(&self) -> bool {
        self.ended.is_closed()
    }

    pub fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// Starts a call, and leaves its request stream open.
    pub async fn begin(
        &self,
        path: &str,
        metadata: &[(&str, &str)],
    ) -> (h2::client::ResponseFuture, h2::SendStream<Bytes>) {
        let mut request = Request::post(format!("http://front{path}"));
        let is_given = |name: &str| metadata.iter().any(|(k, _)| *k == name);
        for (name, value) in [("content-type", "application/grpc"), ("te", "trailers")] {
            if !is_given(name) {
                request = request.header(name, value);
            }
        }
        for (name, value) in metadata.iter().filter(|(_, value)| !value.is_empty()) {
            request = request.header(*name, *value);
        }
        let send = self.send.clone().ready().await.expect("ready");
        let (answer, stream) = { send }.send_request(request.body(()).expect("built"), false).expect("sent");
        (answer, stream)
    }

    /// Makes a call with one message, and returns its response.
    pub async fn call(&self, path: &str, metadata: &[(&str, &str)], body: &[u8]) -> ClientResponse {
        let (answer, mut stream) = self.begin(path, metadata).await;
        let mut framed = vec![0];
        framed.extend((body.len() as u32).to_be_bytes());
        framed.extend(body);
        drop(stream.send_data(framed.into(), true));
        read(answer).await
    }
}

/// Reads a response to its end.
pub async fn read(answer: h2::client::ResponseFuture) -> ClientResponse {
    let mut got = ClientResponse::default();
    let (head, mut body) = match answer.await {
        Ok(answer) => answer.into_parts(),
        Err(e) => return ClientResponse { reset: Some(e.reason().map_or(u32::MAX, u32::from)), ..got },
    };
    record_headers(&mut got, &head.headers);
    let mut bytes = Vec::new();
    while let Some(data) = body.data().await {
        match data {
            Ok(data) => {
                drop(body.flow_control().release_capacity(data.len()));
                bytes.extend_from_slice(&data);
            }
            Err(e) => {
                got.reset = Some(e.reason().map_or(u32::MAX, u32::from));
                break;
            }
        }
    }
    if let Ok(Some(trailers)) = body.trailers().await {
        record_headers(&mut got, &trailers);
    }
    let mut rest = &bytes[..];
    while rest.len() >= 5 {
        let length = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
        let Some(message) = rest.get(5..5 + length) else { break };
        got.body += &String::from_utf8_lossy(message);
        got.messages += 1;
        rest = &rest[5 + length..];
    }
    got
}

fn record_headers(got: &mut ClientResponse, headers: &HeaderMap) {
    for (name, value) in headers {
        let value = value.to_str().unwrap_or("?").to_owned();
        if name == "grpc-status" {
            got.statuses.push(value.parse().expect("a number"));
        }
        got.fields.insert(name.to_string(), value);
    }
}
