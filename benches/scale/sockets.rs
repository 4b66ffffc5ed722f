//! Memory of a connection to a data node, and bytes of one call: the program's own connections to a stub on
//! loopback.
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use allocation_counter::measure;
use async_executor::LocalExecutor;
use marlgap::balancer::interface::{EndpointState, Outcome, ShardId};
use marlgap::coordinator::{Call, CancellationToken, Step, Transport};
use marlgap::net::data_nodes::{DataNodes, ListedDataNode, RequestContext};
use marlgap::net::descriptors::DescriptorBudget;
use marlgap::net::memory_budget::MemoryBudget;

use crate::client::deployment;
use crate::options::Options;
use crate::report::{Kind, Report, Row};
use crate::target::TARGET;

/// Maximum number of connections opened. It is small because both ends of each use descriptors of this
/// process.
const MAX_CONNECTIONS: f64 = 400.0;
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Returns an upper estimate of the memory that this run needs, in MB, including the kernel's memory for its
/// sockets.
pub fn estimate_mb(options: &Options) -> u64 {
    32 + (options.size * MAX_CONNECTIONS * 0.25) as u64
}

/// Size of a query's text in bytes, as in the platform's documentation.
const STATEMENT_BYTES: f64 = 8.0;
/// Value in a data node's answer, as in the platform's documentation.
const VALUE: &str = "5be2a07c19f04d63";
/// Load report in a data node's answer, as in the platform's documentation.
const LOAD_REPORT: &str = "inflight=7,util=0.61";

pub fn run(options: &Options, report: &mut Report) {
    let mut idle = Vec::new();
    for size in options.sizes(MAX_CONNECTIONS, 4.0) {
        idle.push((
            size,
            open_connections(size as usize, STATEMENT_BYTES as usize).expect("loopback").retained_bytes
                as f64,
        ));
    }
    let note = "allocated bytes kept in the process; what the kernel holds was not measured";
    report.push(row(
        "connections, each used once and idle",
        "bytes",
        "data nodes met",
        TARGET.data_nodes,
        idle,
        note,
    ));
    let mut wire = Vec::new();
    for size in [STATEMENT_BYTES, 64.0, 256.0, 1024.0, 4096.0] {
        wire.push((size, open_connections(1, size as usize).expect("loopback").wire_bytes as f64));
    }
    let bytes_per_part = wire.first().map_or(f64::NAN, |p| p.1);
    let note = "frames alone; a value of 16 digits and a report of two";
    report.push(row(
        "one part, call and answer",
        "bytes",
        "bytes of the query's text",
        STATEMENT_BYTES,
        wire,
        note,
    ));
    let all = options.sizes(TARGET.parts, 2.0).into_iter();
    let all = all.map(|parts| (parts, parts * TARGET.queries * bytes_per_part)).collect();
    let note = "212.5 queries a second, a text of 8 bytes; both ways; copies and retries left out";
    report.push(row("all parts, calls and answers", "bytes/s", "parts a query", TARGET.parts, all, note));
}

fn row(figure: &str, unit: &str, axis: &str, target: f64, points: Vec<(f64, f64)>, note: &str) -> Row {
    let [role, figure, axis, unit, carried_by, note] =
        ["coordinator", figure, axis, unit, "src/net/data_nodes/", note].map(str::to_owned);
    let (kind, bound) = (Kind::Exact, None);
    Row { role, figure, axis, unit, kind, points, target, bound, carried_by, note }
}

/// The cost of some connections, each used for one call.
pub struct ConnectionCost {
    /// Bytes allocated in the process and still retained while the connections are idle.
    pub retained_bytes: i64,
    /// Bytes sent over the connections in both directions.
    pub wire_bytes: usize,
}

/// Opens connections to `connections` data nodes, one each, and sends one part with a text of `statement`
/// bytes over each.
///
/// # Errors
///
/// Returns an error if the stub cannot listen on loopback.
pub fn open_connections(connections: usize, statement: usize) -> std::io::Result<ConnectionCost> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (byte_count_sender, byte_counts) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        // Keeps the connections open until the allocations have been counted.
        let mut connections_kept_open: Vec<TcpStream> = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok).take(connections) {
            let _ = byte_count_sender.send(serve_part(&mut stream).unwrap_or(0));
            connections_kept_open.push(stream);
        }
        std::thread::park();
    });
    let config = deployment(connections as u64, 1).expect("valid settings of the bench");
    let executor = Rc::new(LocalExecutor::new());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let descriptors = Rc::new(DescriptorBudget::new(4 * connections));
    let nodes = DataNodes::new(config, descriptors, MemoryBudget::new(usize::MAX), executor.clone(), log);
    let entry = |n: usize| ListedDataNode {
        name: format!("n{n}"),
        address,
        state: EndpointState::Ready,
        start_unix_ms: 0,
    };
    let replicas: Vec<_> = (0..connections).map(|n| nodes.register(&entry(n))).collect();
    let request = Rc::new(RequestContext::new("a1".to_owned(), vec![b's'; statement]));
    let mut served = 0;
    let info = measure(|| {
        for replica in &replicas {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let call = Call::standalone(*replica, request.clone(), ShardId(0), Step::First, deadline);
            let (_cancellation_guard, cancellation) = CancellationToken::new();
            let result = async_io::block_on(executor.run(nodes.clone().call(call, cancellation)));
            served += usize::from(result.outcome == Outcome::Succeeded);
        }
    });
    assert_eq!(served, connections, "every part is served");
    let wire_bytes = byte_counts.iter().take(connections).sum();
    Ok(ConnectionCost { retained_bytes: info.bytes_current, wire_bytes })
}

/// Answers one part on a connection and returns the number of bytes sent in both directions.
fn serve_part(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut frame = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut frame)?;
    let text = String::from_utf8_lossy(&frame);
    let id = text.trim_start_matches('q').split(' ').next().unwrap_or_default();
    let answer = format!("a{id} served 1840277719 {LOAD_REPORT}\n{VALUE}");
    stream.write_all(&(answer.len() as u32).to_be_bytes())?;
    stream.write_all(answer.as_bytes())?;
    Ok(2 * head.len() + frame.len() + answer.len())
}
