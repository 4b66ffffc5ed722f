//! What a connection to a data node keeps in memory: the program's own connections, opened to a stand-in on loopback.
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

use crate::client::deployment;
use crate::options::Options;
use crate::report::{Kind, Report, Row};
use crate::target::TARGET;

/// Connections that are opened at the most: few, as each takes descriptors of this process on both its ends.
const MOST: f64 = 400.0;
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(10);

/// Memory that this run needs at most, in MB, what the kernel holds for its sockets included.
pub fn estimate_mb(options: &Options) -> u64 {
    32 + (options.size * MOST * 0.25) as u64
}

/// Bytes of a query's text, as the platform's page has it.
const STATEMENT: f64 = 8.0;
/// A data node's value and report, as the platform's page has them.
const VALUE: &str = "5be2a07c19f04d63";
const REPORT: &str = "inflight=7,util=0.61";

pub fn run(options: &Options, report: &mut Report) {
    let mut idle = Vec::new();
    for size in options.sizes(MOST, 4.0) {
        idle.push((size, opened(size as usize, STATEMENT as usize).expect("loopback").kept as f64));
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
    for size in [STATEMENT, 64.0, 256.0, 1024.0, 4096.0] {
        wire.push((size, opened(1, size as usize).expect("loopback").exchanged as f64));
    }
    let a_part = wire.first().map_or(f64::NAN, |p| p.1);
    let note = "frames alone; a value of 16 digits and a report of two";
    report.push(row(
        "one part, call and answer",
        "bytes",
        "bytes of the query's text",
        STATEMENT,
        wire,
        note,
    ));
    let all = options.sizes(TARGET.parts, 2.0).into_iter();
    let all = all.map(|parts| (parts, parts * TARGET.queries * a_part)).collect();
    let note = "212.5 queries a second, a text of 8 bytes; both ways; copies and retries left out";
    report.push(row("all parts, calls and answers", "bytes/s", "parts a query", TARGET.parts, all, note));
}

fn row(figure: &str, unit: &str, axis: &str, target: f64, points: Vec<(f64, f64)>, note: &str) -> Row {
    let [role, figure, axis, unit, carried_by, note] =
        ["coordinator", figure, axis, unit, "src/net/data_nodes/", note].map(str::to_owned);
    let (kind, bound) = (Kind::Exact, None);
    Row { role, figure, axis, unit, kind, points, target, bound, carried_by, note }
}

/// What connections came to.
pub struct Opened {
    /// Bytes that they keep.
    pub kept: i64,
    /// Bytes that went over them, both ways.
    pub exchanged: usize,
}

/// So many connections, each to a data node of its own, over which one part was served.
pub fn opened(connections: usize, statement: usize) -> std::io::Result<Opened> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (tell, told_bytes) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        // Held open until all is counted.
        let mut held: Vec<TcpStream> = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok).take(connections) {
            let _ = tell.send(serve_one(&mut stream).unwrap_or(0));
            held.push(stream);
        }
        std::thread::park();
    });
    let told = deployment(connections as u64, 1).expect("the bench's own settings are sound");
    let executor = Rc::new(LocalExecutor::new());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let room = Rc::new(DescriptorBudget::new(4 * connections));
    let nodes = DataNodes::new(told, room, executor.clone(), log);
    let entry = |n: usize| ListedDataNode {
        name: format!("n{n}"),
        address,
        state: EndpointState::Ready,
        start_unix_ms: 0,
    };
    let replicas: Vec<_> = (0..connections).map(|n| nodes.register(&entry(n))).collect();
    let carried = Rc::new(RequestContext::new("a1".to_owned(), vec![b's'; statement]));
    let mut served = 0;
    let info = measure(|| {
        for replica in &replicas {
            let deadline = Instant::now() + PATIENCE;
            let call = Call::standalone(*replica, carried.clone(), ShardId(0), Step::First, deadline);
            let (_hold, stop) = CancellationToken::new();
            let ended = async_io::block_on(executor.run(nodes.clone().call(call, stop)));
            served += usize::from(ended.outcome == Outcome::Succeeded);
        }
    });
    assert_eq!(served, connections, "each is served");
    let exchanged = told_bytes.iter().take(connections).sum();
    Ok(Opened { kept: info.bytes_current, exchanged })
}

/// Answer the first part of a connection; the bytes both ways.
fn serve_one(stream: &mut TcpStream) -> std::io::Result<usize> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut frame = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut frame)?;
    let text = String::from_utf8_lossy(&frame);
    let id = text.trim_start_matches('q').split(' ').next().unwrap_or_default();
    let answer = format!("a{id} served 1840277719 {REPORT}\n{VALUE}");
    stream.write_all(&(answer.len() as u32).to_be_bytes())?;
    stream.write_all(answer.as_bytes())?;
    Ok(2 * head.len() + frame.len() + answer.len())
}
