//! A voter's disk that fails for a while, or whose process is killed within a write: what was acknowledged is
//! there, and what was taken on is written once the disk is sound again. The store runs in a process of its
//! own, under the library that makes system calls fail.
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use fault_control::{Fault, Plan, ALWAYS, PLAN_VARIABLE, UNLIMITED};
use marlgap::net::cluster::store::Store;

use crate::common::fault_library;
use crate::voter_store::{after, batch};

const CHILD: &str = "STORE_CHILD";
const BATCHES: u64 = 40;
/// Tries to open the store or to write a batch: far more than any run here needs.
const TRIES: usize = 500;

/// What the process under faults does: open the store, write on from where it is, and say what was
/// acknowledged.
fn write_batches(path: &Path) {
    let opened = (0..TRIES).find_map(|_| Store::open(path, 77).ok());
    let (mut store, opened) = opened.expect("opened once the disk is sound");
    let written = opened.stored.entries.last().map_or(0, |(index, _)| *index);
    if written == 0 {
        let stored = marlgap::cluster::consensus_log::StoredLog { cluster_id: 5, ..Default::default() };
        assert!((0..TRIES).any(|_| store.initialize_log(&stored, b"founded").is_ok()), "begun");
    }
    for n in written + 1..=BATCHES {
        assert!((0..TRIES).any(|_| store.persist(&batch(n)).is_ok()), "batch {n} is owed");
        println!("acknowledged {n}");
    }
}

fn child(test: &str, file: &Path, plan: &Plan) -> Output {
    let mut command = Command::new(std::env::current_exe().expect("named"));
    command.args(["--exact", test, "--nocapture", "--test-threads=1"]);
    command.env(CHILD, file).env("LD_PRELOAD", fault_library()).env(PLAN_VARIABLE, plan.path());
    command.output().expect("it runs")
}

fn acknowledged(output: &Output) -> u64 {
    let said = String::from_utf8_lossy(&output.stdout);
    let last = said.lines().filter_map(|l| l.split("acknowledged ").nth(1)).next_back();
    last.map_or(0, |n| n.trim().parse().expect("a number"))
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn owed_batches_are_written_once_the_disk_works_again() {
    if let Some(file) = std::env::var_os(CHILD) {
        return write_batches(Path::new(&file));
    }
    for (fault, seed) in
        [(Fault::DiskFull, 1), (Fault::DiskFull, 2), (Fault::SyncFails, 3), (Fault::SyncFails, 4)]
    {
        let folder = folder(&format!("disk_{seed}"));
        let (file, plan) =
            (folder.join("store"), Plan::create(&folder.join("faults"), seed).expect("a plan"));
        plan.arm(fault, 50, UNLIMITED).expect("armed");
        let output = child("store_faults::owed_batches_are_written_once_the_disk_works_again", &file, &plan);
        let fired = plan.fired(fault).expect("read");
        assert!(fired > 0, "{fault:?} never fired");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{fault:?}, fired {fired}: {said}");
        assert_eq!(acknowledged(&output), BATCHES);
        let (_, opened) = Store::open(&file, 77).expect("sound");
        assert_eq!(opened.stored, after(BATCHES), "{fault:?}");
    }
}

#[test]
fn acknowledged_batches_survive_a_kill_during_any_write() {
    if let Some(file) = std::env::var_os(CHILD) {
        return write_batches(Path::new(&file));
    }
    let folder = folder("disk_killed");
    let file = folder.join("store");
    let mut most = 0;
    let mut killed = 0;
    for round in 0..60 {
        let plan = Plan::create(&folder.join("faults"), round).expect("a plan");
        plan.arm(Fault::KilledInWrite, ALWAYS / 30, 1).expect("armed");
        let output =
            child("store_faults::acknowledged_batches_survive_a_kill_during_any_write", &file, &plan);
        killed += plan.fired(Fault::KilledInWrite).expect("read");
        most = most.max(acknowledged(&output));
        let opened = Store::open(&file, 77);
        let (_, opened) = opened.unwrap_or_else(|e| panic!("round {round}: {e}"));
        let written = opened.stored.entries.last().map_or(0, |(index, _)| *index);
        assert!(written >= most, "round {round}: {written} of {most} acknowledged");
        if written > 0 {
            assert_eq!(opened.stored, after(written), "round {round}");
        }
        if written == BATCHES {
            std::fs::remove_file(&file).expect("removed");
            std::fs::remove_file(folder.join("store.mark")).expect("removed");
            most = 0;
        }
    }
    assert!(killed > 20, "{killed} kills");
}
