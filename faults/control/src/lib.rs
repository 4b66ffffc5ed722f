//! The fault injection plan that a test shares with the preloaded library in the program under test.
//!
//! The plan is a file of [`PLAN_BYTES`] bytes, which holds 64-bit words in native byte order. The test writes
//! rates and budgets to it while the program runs. The library maps the same file and writes back the number
//! of calls and of injected faults. A run in which an expected fault was never injected proves nothing: check
//! [`Plan::fired`].
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Name of the environment variable that holds the path of the plan.
pub const PLAN_VARIABLE: &str = "FAULT_PLAN";
/// Size of the plan in bytes.
pub const PLAN_BYTES: usize = 4096;
/// Index of the word with the seed. The words with general settings precede those of the faults.
pub const SEED_WORD: usize = 0;
/// Index of the word with the step of the wall clock, in nanoseconds.
pub const WALL_STEP_WORD: usize = 1;
/// Index of the word that counts reads of the wall clock while it is stepped.
pub const WALL_STEPPED_WORD: usize = 2;
/// Index of the word that, if not 0, exempts connections accepted by the program from connection failures.
pub const SPARE_ACCEPTED_WORD: usize = 3;
const FIRST_FAULT_WORD: usize = 8;
const FAULT_WORDS: usize = 4;
/// Offset, within the words of a fault, of its rate in failures per 1000 calls.
pub const RATE: usize = 0;
/// Offset, within the words of a fault, of the number of failures that may still be injected.
pub const BUDGET: usize = 1;
/// Offset, within the words of a fault, of the number of calls made while the fault was armed.
pub const CALLS: usize = 2;
/// Offset, within the words of a fault, of the number of injected failures.
pub const FIRED: usize = 3;
/// The rate at which every call fails.
pub const ALWAYS: u64 = 1000;
/// A budget that is never exhausted.
pub const UNLIMITED: u64 = u64::MAX;

/// A fault that can be injected into a system call. Each is an outcome that Linux documents for that call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(usize)]
pub enum Fault {
    /// `recv` fails with EINTR.
    ReceiveInterrupted,
    /// `send` fails with EINTR.
    SendInterrupted,
    /// `recv` on a TCP socket returns fewer bytes than are available.
    ReceiveShort,
    /// `send` on a TCP socket accepts fewer bytes than it was given.
    SendShort,
    /// `recv` on a TCP socket fails with ETIMEDOUT, as on a broken connection.
    ReceiveTimedOut,
    /// `send` on a TCP socket fails with EHOSTUNREACH, as on a broken connection.
    SendUnreachable,
    /// `accept` fails with ECONNABORTED. The connection stays in the backlog.
    AcceptAborted,
    /// `accept` fails with ENFILE.
    AcceptFull,
    /// `socket` fails with ENOBUFS for an IPv4 or IPv6 socket.
    SocketFails,
    /// `socketpair` fails with ENFILE.
    PairFails,
    /// `connect` fails with EADDRNOTAVAIL.
    ConnectNoAddress,
    /// `connect` fails with ENETUNREACH.
    ConnectUnreachable,
    /// `connect` fails with EINTR. The connection continues to be established.
    ConnectInterrupted,
    /// `bind` fails with ENOBUFS.
    BindFails,
    /// `epoll_wait` fails with EINTR.
    WaitInterrupted,
    /// `open` for reading fails with ENFILE.
    OpenFails,
    /// `pwrite` fails with ENOSPC.
    DiskFull,
    /// `fsync` and `fdatasync` fail with EIO.
    SyncFails,
    /// `pwrite` writes the first half of the data and terminates the process, as SIGKILL does.
    KilledInWrite,
}

impl Fault {
    /// All faults.
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

    /// Returns the index of the fault's first word in the plan.
    pub fn word(self) -> usize {
        FIRST_FAULT_WORD + FAULT_WORDS * self as usize
    }
}

/// The test's handle on a plan.
///
/// Dropping it removes the file. A program that has mapped the file keeps using the mapping.
#[derive(Debug)]
pub struct Plan {
    path: PathBuf,
    file: File,
}

impl Plan {
    /// Creates a plan file without armed faults. The seed determines which calls fail.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created or written.
    pub fn create(path: &Path, seed: u64) -> io::Result<Plan> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; PLAN_BYTES], 0)?;
        let plan = Plan { path: path.to_owned(), file };
        plan.write(SEED_WORD, seed)?;
        Ok(plan)
    }

    /// Returns the path of the plan file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Arms a fault: from now on `per_mille` of 1000 calls fail, up to `budget` calls in total.
    pub fn arm(&self, fault: Fault, per_mille: u64, budget: u64) -> io::Result<()> {
        self.write(fault.word() + BUDGET, budget)?;
        self.write(fault.word() + RATE, per_mille)
    }

    /// Disarms a fault, so that no further calls fail.
    pub fn disarm(&self, fault: Fault) -> io::Result<()> {
        self.write(fault.word() + RATE, 0)
    }

    /// Returns how often the fault has been injected so far, over all processes that use this plan.
    pub fn fired(&self, fault: Fault) -> io::Result<u64> {
        self.read(fault.word() + FIRED)
    }

    /// Returns the number of calls that the fault could have affected while it was armed.
    pub fn calls(&self, fault: Fault) -> io::Result<u64> {
        self.read(fault.word() + CALLS)
    }

    /// Offsets the wall clock from the system's by a number of nanoseconds. The monotonic clock is not
    /// affected.
    pub fn step_wall_clock(&self, nanoseconds: i64) -> io::Result<()> {
        self.write(WALL_STEP_WORD, nanoseconds as u64)
    }

    /// Restricts connection failures to connections that the program opened, excluding those that it
    /// accepted.
    pub fn spare_accepted_connections(&self) -> io::Result<()> {
        self.write(SPARE_ACCEPTED_WORD, 1)
    }

    /// Returns how often the wall clock has been read while it was stepped.
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
