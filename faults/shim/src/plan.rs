//! The memory-mapped plan: decides which calls fail, and counts calls and injected faults.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use fault_control::{
    Fault, ALWAYS, BUDGET, CALLS, FIRED, PLAN_BYTES, RATE, SEED_WORD, SPARE_ACCEPTED_WORD, WALL_STEPPED_WORD,
    WALL_STEP_WORD,
};

const WORDS: usize = PLAN_BYTES / 8;

static PLAN: OnceLock<Option<&'static [AtomicU64; WORDS]>> = OnceLock::new();
/// Number of random decisions made in this process: one for each call that an armed fault could affect.
static DECISIONS: AtomicU64 = AtomicU64::new(0);

fn plan() -> Option<&'static [AtomicU64; WORDS]> {
    *PLAN.get_or_init(map_plan)
}

fn map_plan() -> Option<&'static [AtomicU64; WORDS]> {
    let path = std::env::var_os(fault_control::PLAN_VARIABLE)?;
    let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
    // SAFETY: The system calls bypass this library's overrides. The file is never unmapped, and its words are
    // accessed only as atomics.
    unsafe {
        let file =
            libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let file = file as libc::c_int;
        let (access, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
        let mapping = libc::mmap(std::ptr::null_mut(), PLAN_BYTES, access, shared, file, 0);
        libc::close(file);
        (mapping != libc::MAP_FAILED).then(|| &*mapping.cast::<[AtomicU64; WORDS]>())
    }
}

/// Mixes a seed with SplitMix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number generators", OOPSLA
/// 2014).
fn split_mix(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns whether a call must fail, and counts the call if the fault is armed.
pub fn should_fail(fault: Fault) -> bool {
    let Some(words) = plan() else { return false };
    let word = fault.word();
    let rate = words[word + RATE].load(Ordering::Acquire);
    if rate == 0 {
        return false;
    }
    words[word + CALLS].fetch_add(1, Ordering::AcqRel);
    let decision = DECISIONS.fetch_add(1, Ordering::AcqRel);
    let seed = words[SEED_WORD].load(Ordering::Acquire);
    if split_mix(seed ^ split_mix(decision)) % ALWAYS >= rate {
        return false;
    }
    let decrement = |budget: u64| budget.checked_sub(1);
    let within_budget =
        words[word + BUDGET].fetch_update(Ordering::AcqRel, Ordering::Acquire, decrement).is_ok();
    if within_budget {
        words[word + FIRED].fetch_add(1, Ordering::AcqRel);
    }
    within_budget
}

/// Returns whether accepted connections are exempt from connection failures.
pub fn spares_accepted() -> bool {
    plan().is_some_and(|words| words[SPARE_ACCEPTED_WORD].load(Ordering::Acquire) != 0)
}

/// Returns the offset of the wall clock in nanoseconds, and counts the read if the offset is not 0.
pub fn wall_step() -> i64 {
    let Some(words) = plan() else { return 0 };
    let step = words[WALL_STEP_WORD].load(Ordering::Acquire) as i64;
    if step != 0 {
        words[WALL_STEPPED_WORD].fetch_add(1, Ordering::AcqRel);
    }
    step
}
