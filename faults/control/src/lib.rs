//! The plan of injected faults, shared by a test and the preloaded library in the program that it tries.
//!
//! The plan is a file of [`PLAN_BYTES`] bytes: 64-bit words in the machine's own order. The test writes rates and
//! budgets into it while the program runs; the library, which maps the same file, writes back how often it was called
//! and how often each fault fired. A run in which a wanted fault never fired shows nothing: see [`Plan::fired`].
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Name of the environment variable that tells the library where the plan is.
pub const PLAN_VARIABLE: &str = "FAULT_PLAN";
pub const PLAN_BYTES: usize = 4096;
/// Words before the first fault: the seed, the step of the wall clock in nanoseconds, how often it was read stepped, and
/// what may break.
pub const SEED_WORD: usize = 0;
pub const WALL_STEP_WORD: usize = 1;
pub const WALL_STEPPED_WORD: usize = 2;
/// Not 0: connections that the program accepted don't break.
pub const SPARE_ACCEPTED_WORD: usize = 3;
const FIRST_FAULT_WORD: usize = 8;
const FAULT_WORDS: usize = 4;
/// Offsets within the words of one fault.
pub const RATE: usize = 0;
pub const BUDGET: usize = 1;
pub const CALLS: usize = 2;
pub const FIRED: usize = 3;
/// A rate at which each call fails.
pub const ALWAYS: u64 = 1000;
/// A budget that never runs out.
pub const UNLIMITED: u64 = u64::MAX;

/// What can be made to fail, and how. Linux documents each of these for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(usize)]
pub enum Fault {
    /// `recv` on a socket: EINTR.
    ReceiveInterrupted,
    /// `send` on a socket: EINTR.
    SendInterrupted,
    /// `recv` on a TCP socket gives fewer bytes than are there.
    ReceiveShort,
    /// `send` on a TCP socket takes fewer bytes than it was given.
    SendShort,
    /// `recv` on a TCP socket: ETIMEDOUT, as of a connection that broke.
    ReceiveTimedOut,
    /// `send` on a TCP socket: EHOSTUNREACH, as of a connection that broke.
    SendUnreachable,
    /// `accept`: ECONNABORTED; the connection stays in the backlog.
    AcceptAborted,
    /// `accept`: ENFILE.
    AcceptFull,
    /// `socket` over TCP: ENOBUFS.
    SocketFails,
    /// `socketpair`: ENFILE.
    PairFails,
    /// `connect`: EADDRNOTAVAIL.
    ConnectNoAddress,
    /// `connect`: ENETUNREACH.
    ConnectUnreachable,
    /// `connect`: EINTR; the connection goes on coming up.
    ConnectInterrupted,
    /// `bind`: ENOBUFS.
    BindFails,
    /// `epoll_wait`: EINTR.
    WaitInterrupted,
    /// `open` for reading: ENFILE.
    OpenFails,
    /// `pwrite`: ENOSPC.
    DiskFull,
    /// `fsync` and `fdatasync`: EIO.
    SyncFails,
    /// `pwrite` writes the first half and ends the process, as SIGKILL would.
    KilledInWrite,
}

impl Fault {
    pub const ALL: [Fault; 19] = [
        Fault::ReceiveInterrupted,
        Fault::SendInterrupted,
        Fault::ReceiveShort,
        Fault::SendShort,
        Fault::ReceiveTimedOut,
        Fault::SendUnreachable,
        Fault::AcceptAborted,
        Fault::AcceptFull,
        Fault::SocketFails,
        Fault::PairFails,
        Fault::ConnectNoAddress,
        Fault::ConnectUnreachable,
        Fault::ConnectInterrupted,
        Fault::BindFails,
        Fault::WaitInterrupted,
        Fault::OpenFails,
        Fault::DiskFull,
        Fault::SyncFails,
        Fault::KilledInWrite,
    ];

    /// The first of its words in the plan.
    pub fn word(self) -> usize {
        FIRST_FAULT_WORD + FAULT_WORDS * self as usize
    }
}

/// A test's side of a plan. Dropping it removes the file; a program that has mapped it goes on with the map.
#[derive(Debug)]
pub struct Plan {
    path: PathBuf,
    file: File,
}

impl Plan {
    /// A new plan without any fault. The choice of calls that fail follows from `seed`.
    pub fn create(path: &Path, seed: u64) -> io::Result<Plan> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; PLAN_BYTES], 0)?;
        let plan = Plan { path: path.to_owned(), file };
        plan.write(SEED_WORD, seed)?;
        Ok(plan)
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// From now on `per_mille` of the calls fail, `budget` of them at most.
    pub fn arm(&self, fault: Fault, per_mille: u64, budget: u64) -> io::Result<()> {
        self.write(fault.word() + BUDGET, budget)?;
        self.write(fault.word() + RATE, per_mille)
    }

    /// No further call fails.
    pub fn disarm(&self, fault: Fault) -> io::Result<()> {
        self.write(fault.word() + RATE, 0)
    }

    /// How often the fault fired so far, over all processes that follow this plan.
    pub fn fired(&self, fault: Fault) -> io::Result<u64> {
        self.read(fault.word() + FIRED)
    }

    /// How often a call that it may befall was made, while it was armed.
    pub fn calls(&self, fault: Fault) -> io::Result<u64> {
        self.read(fault.word() + CALLS)
    }

    /// Step the wall clock by so many nanoseconds against the system's. The monotonic clock runs on.
    pub fn step_wall_clock(&self, nanoseconds: i64) -> io::Result<()> {
        self.write(WALL_STEP_WORD, nanoseconds as u64)
    }

    /// From now on only connections that the program made break, not those that it accepted.
    pub fn spare_accepted_connections(&self) -> io::Result<()> {
        self.write(SPARE_ACCEPTED_WORD, 1)
    }

    /// How often a wall clock that was stepped has been read.
    pub fn stepped_reads(&self) -> io::Result<u64> {
        self.read(WALL_STEPPED_WORD)
    }

    fn write(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), 8 * word as u64)
    }

    fn read(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, 8 * word as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

impl Drop for Plan {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
