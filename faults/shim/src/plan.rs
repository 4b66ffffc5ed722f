//! The mapped plan: which call fails now, and the counts of calls and faults.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use fault_control::{
    Fault, ALWAYS, BUDGET, CALLS, FIRED, PLAN_BYTES, RATE, SEED_WORD, SPARE_ACCEPTED_WORD, WALL_STEPPED_WORD,
    WALL_STEP_WORD,
};

const WORDS: usize = PLAN_BYTES / 8;

static PLAN: OnceLock<Option<&'static [AtomicU64; WORDS]>> = OnceLock::new();
/// Calls of this process that a fault might have befallen.
static DRAWN: AtomicU64 = AtomicU64::new(0);

fn plan() -> Option<&'static [AtomicU64; WORDS]> {
    *PLAN.get_or_init(map)
}

fn map() -> Option<&'static [AtomicU64; WORDS]> {
    let path = std::env::var_os(fault_control::PLAN_VARIABLE)?;
    let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
    // SAFETY: plain system calls, past our own hooks; the map is never undone, and its words are only used as atomics.
    unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let file = file as libc::c_int;
        let (access, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
        let map = libc::mmap(std::ptr::null_mut(), PLAN_BYTES, access, shared, file, 0);
        libc::close(file);
        (map != libc::MAP_FAILED).then(|| &*map.cast::<[AtomicU64; WORDS]>())
    }
}

/// SplitMix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014).
fn mixed(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether this call fails; it is counted.
pub fn fires(fault: Fault) -> bool {
    let Some(words) = plan() else { return false };
    let word = fault.word();
    let rate = words[word + RATE].load(Ordering::Acquire);
    if rate == 0 {
        return false;
    }
    words[word + CALLS].fetch_add(1, Ordering::AcqRel);
    let drawn = DRAWN.fetch_add(1, Ordering::AcqRel);
    let seed = words[SEED_WORD].load(Ordering::Acquire);
    if mixed(seed ^ mixed(drawn)) % ALWAYS >= rate {
        return false;
    }
    let spend = |left: u64| left.checked_sub(1);
    let spent = words[word + BUDGET].fetch_update(Ordering::AcqRel, Ordering::Acquire, spend).is_ok();
    if spent {
        words[word + FIRED].fetch_add(1, Ordering::AcqRel);
    }
    spent
}

/// Whether connections that were accepted don't break.
pub fn spares_accepted() -> bool {
    plan().is_some_and(|words| words[SPARE_ACCEPTED_WORD].load(Ordering::Acquire) != 0)
}

/// What the wall clock is off by, in nanoseconds. A read of one that was stepped is counted.
pub fn wall_step() -> i64 {
    let Some(words) = plan() else { return 0 };
    let step = words[WALL_STEP_WORD].load(Ordering::Acquire) as i64;
    if step != 0 {
        words[WALL_STEPPED_WORD].fetch_add(1, Ordering::AcqRel);
    }
    step
}
