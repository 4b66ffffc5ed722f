//! A crowd of clients, and the check of the process that serves them.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use crate::common::*;

/// The least memory that the platform grants, in megabytes and in KiB.
const MEMORY_MB: usize = 32;
const MEMORY_KB: u64 = MEMORY_MB as u64 * 1_000_000 / 1024;
/// The number of connections of a crowd.
pub const CONNECTIONS: usize = 600;
/// The number of threads that send for a crowd.
const THREADS: usize = 8;
/// The number of queries that a usual client makes beside a crowd.
const USUAL_QUERIES: usize = 20;

/// Limits the memory of the program that the configuration in `folder` describes.
pub fn limit_memory(folder: &std::path::Path) {
    let limits = format!("\"sockets\":1024,\"memory_mb\":{MEMORY_MB}");
    replace_in_configuration(folder, "\"sockets\":1024", &limits);
}

/// Sends `bytes` on each of [`CONNECTIONS`] connections to `front`, and waits until the process has ended or
/// answered all of them. A usual client of the platform's front must be served meanwhile, and the memory of the
/// process must stay below its limit.
pub fn check_crowd(program: &Program, front: SocketAddr, bytes: &[u8], wait_for_answer: fn(&mut TcpStream)) {
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            let crowd: Vec<TcpStream> = (0..CONNECTIONS / THREADS).map(|_| connect(front)).collect();
            scope.spawn(move || send_and_wait(crowd, bytes, wait_for_answer));
        }
        check_usual_client(program.address);
    });
    let peak = peak_kb(program);
    println!("peak memory {peak} KiB of {MEMORY_KB} KiB");
    assert!(peak < MEMORY_KB, "{peak} KiB of {MEMORY_KB} KiB");
}

/// Sends on all connections, then waits for an answer on each of them, or for its end, and closes it.
fn send_and_wait(mut crowd: Vec<TcpStream>, bytes: &[u8], wait_for_answer: fn(&mut TcpStream)) {
    for stream in &mut crowd {
        // The process may close the connection before it has read everything.
        let _ = stream.write_all(bytes);
    }
    for mut stream in crowd {
        wait_for_answer(&mut stream);
    }
}

fn check_usual_client(platform: SocketAddr) {
    for n in 0..USUAL_QUERIES {
        let mut client = connect(platform);
        client
            .write_all(query_request(&format!("usual{n}"), "field-lookup", 4000).as_bytes())
            .expect("written");
        assert_eq!(read_status(&mut client), 200, "query {n}");
    }
}

/// Returns the largest memory that the process has had so far, as the kernel counts it.
fn peak_kb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    peak.split_whitespace().next().and_then(|kb| kb.parse().ok()).expect("a number")
}
