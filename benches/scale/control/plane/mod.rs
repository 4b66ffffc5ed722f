//! The control plane at the size that is planned for, and its days of failures: hollow roles under a virtual clock that
//! call the program's own code. Counts and virtual times are the same in each run of one seed.
pub mod catalogue;
pub mod days;
pub mod finding;
pub mod founding;
pub mod links;
pub mod members;
pub mod queue;
pub mod sweeps;
pub mod traffic;
pub mod watches;
pub mod workers;

/// Everything here is drawn from it.
pub const SEED: u64 = 20_261_202;

/// The operators' size in two years.
pub const COORDINATORS: f64 = 1_600.0;
pub const DATA_NODES: f64 = 11_000.0;
pub const CHANGES_A_DAY: f64 = 6_400.0;
/// A change is in force everywhere within so many seconds.
pub const IN_FORCE: f64 = 7.0;
/// What a coordinator may spend on control: bytes a second, and of a core.
pub const BYTES: f64 = 2_048.0;
pub const CORE: f64 = 0.022;
pub const DAY: f64 = 86_400.0;
/// Machines that fail on an ordinary day, and that are restarted or replaced. A machine holds one coordinator or one
/// data node here.
pub const FAILURES: f64 = 23.0;
pub const RESTARTS: f64 = 670.0;
