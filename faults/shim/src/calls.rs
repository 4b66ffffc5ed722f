//! The calls that may fail. Each asks the plan, and else goes on to the C library's own.
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use fault_control::Fault;
use libc::{c_char, c_int, c_void, mode_t, off_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{fires, spares_accepted, wall_step};

const NANOSECONDS: i64 = 1_000_000_000;

/// The C library's own function of this name and type.
macro_rules! real {
    ($name:ident: $type:ty) => {{
        static FOUND: AtomicUsize = AtomicUsize::new(0);
        let mut found = FOUND.load(Ordering::Relaxed);
        if found == 0 {
            let name = concat!(stringify!($name), "\0");
            // SAFETY: the name ends in a nul byte.
            found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) } as usize;
            assert!(found != 0, "the C library lacks {name}");
            FOUND.store(found, Ordering::Relaxed);
        }
        // SAFETY: the symbol has this type.
        unsafe { std::mem::transmute::<usize, $type>(found) }
    }};
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the thread's own errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn option(socket: c_int, name: c_int) -> Option<c_int> {
    let (mut value, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: both point to our own variables.
    let got =
        unsafe { libc::getsockopt(socket, libc::SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length) };
    (got == 0).then_some(value)
}

fn is_tcp(socket: c_int) -> bool {
    option(socket, libc::SO_DOMAIN).is_some_and(|d| d == libc::AF_INET || d == libc::AF_INET6)
}

/// Descriptors whose origin is known.
const KNOWN_DESCRIPTORS: usize = 4096;

/// Whether the last socket with a descriptor was connected by the program, and not accepted.
static CONNECTED: [AtomicBool; KNOWN_DESCRIPTORS] = [const { AtomicBool::new(false) }; KNOWN_DESCRIPTORS];

fn set_connected(socket: c_int, connected: bool) {
    if let Some(known) = usize::try_from(socket).ok().and_then(|socket| CONNECTED.get(socket)) {
        known.store(connected, Ordering::Release);
    }
}

/// Whether a connection may break.
fn may_break(socket: c_int) -> bool {
    let known = usize::try_from(socket).ok().and_then(|socket| CONNECTED.get(socket));
    is_tcp(socket) && (!spares_accepted() || known.is_some_and(|known| known.load(Ordering::Acquire)))
}

type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if fires(Fault::ReceiveInterrupted) {
        return fail(libc::EINTR) as ssize_t;
    }
    if may_break(socket) && fires(Fault::ReceiveTimedOut) {
        return fail(libc::ETIMEDOUT) as ssize_t;
    }
    let short = length > 1 && is_tcp(socket) && fires(Fault::ReceiveShort);
    let length = if short { 1 + length % 7 } else { length };
    real!(recv: Receive)(socket, bytes, length, flags)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if fires(Fault::SendInterrupted) {
        return fail(libc::EINTR) as ssize_t;
    }
    if may_break(socket) && fires(Fault::SendUnreachable) {
        return fail(libc::EHOSTUNREACH) as ssize_t;
    }
    let short = length > 1 && is_tcp(socket) && fires(Fault::SendShort);
    let length = if short { length / 2 } else { length };
    real!(send: Send)(socket, bytes, length, flags)
}

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if fires(Fault::AcceptAborted) {
        return fail(libc::ECONNABORTED);
    }
    if fires(Fault::AcceptFull) {
        return fail(libc::ENFILE);
    }
    let accepted = real!(accept4: Accept)(socket, address, length, flags);
    set_connected(accepted, false);
    accepted
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if (domain == libc::AF_INET || domain == libc::AF_INET6) && fires(Fault::SocketFails) {
        return fail(libc::ENOBUFS);
    }
    real!(socket: unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    if fires(Fault::PairFails) {
        return fail(libc::ENFILE);
    }
    real!(socketpair: unsafe extern "C" fn(c_int, c_int, c_int, *mut c_int) -> c_int)(
        domain, kind, protocol, pair,
    )
}

type Address = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_tcp(socket) {
        set_connected(socket, true);
        if fires(Fault::ConnectNoAddress) {
            return fail(libc::EADDRNOTAVAIL);
        }
        if fires(Fault::ConnectUnreachable) {
            return fail(libc::ENETUNREACH);
        }
        if fires(Fault::ConnectInterrupted) {
            real!(connect: Address)(socket, address, length);
            return fail(libc::EINTR);
        }
    }
    real!(connect: Address)(socket, address, length)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_tcp(socket) && fires(Fault::BindFails) {
        return fail(libc::ENOBUFS);
    }
    real!(bind: Address)(socket, address, length)
}

type Wait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if fires(Fault::WaitInterrupted) {
        return fail(libc::EINTR);
    }
    real!(epoll_wait: Wait)(epoll, events, most, timeout)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & (libc::O_WRONLY | libc::O_RDWR) == 0 && fires(Fault::OpenFails) {
        return fail(libc::ENFILE);
    }
    real!(open64: unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int)(path, flags, mode)
}

type Pwrite = unsafe extern "C" fn(c_int, *const c_void, size_t, off_t) -> ssize_t;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(file: c_int, bytes: *const c_void, length: size_t, at: off_t) -> ssize_t {
    if fires(Fault::DiskFull) {
        return fail(libc::ENOSPC) as ssize_t;
    }
    if fires(Fault::KilledInWrite) {
        real!(pwrite64: Pwrite)(file, bytes, length / 2, at);
        libc::_exit(KILLED);
    }
    real!(pwrite64: Pwrite)(file, bytes, length, at)
}

/// The status of a process that [`Fault::KilledInWrite`] ended.
const KILLED: c_int = 137;

type Sync = unsafe extern "C" fn(c_int) -> c_int;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if fires(Fault::SyncFails) {
        return fail(libc::EIO);
    }
    real!(fsync: Sync)(file)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if fires(Fault::SyncFails) {
        return fail(libc::EIO);
    }
    real!(fdatasync: Sync)(file)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let done =
        real!(clock_gettime: unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int)(clock, time);
    let step = if clock == libc::CLOCK_REALTIME { wall_step() } else { 0 };
    if done == 0 && step != 0 {
        let nanoseconds = (*time).tv_nsec + step;
        (*time).tv_sec += nanoseconds.div_euclid(NANOSECONDS);
        (*time).tv_nsec = nanoseconds.rem_euclid(NANOSECONDS);
    }
    done
}
