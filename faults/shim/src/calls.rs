//! The overridden functions. Each fails if the plan requires it and otherwise forwards to the C library's
//! function.
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use fault_control::Fault;
use libc::{c_char, c_int, c_void, mode_t, off_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::plan::{should_fail, spares_accepted, wall_step};

const NANOSECONDS: i64 = 1_000_000_000;

/// Resolves to the C library's function with this name and type.
macro_rules! c_function {
    ($name:ident: $type:ty) => {{
        static FOUND: AtomicUsize = AtomicUsize::new(0);
        let mut found = FOUND.load(Ordering::Relaxed);
        if found == 0 {
            let name = concat!(stringify!($name), "\0");
            // SAFETY: The name is nul-terminated.
            found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) } as usize;
            assert!(found != 0, "symbol {name} not found in the C library");
            FOUND.store(found, Ordering::Relaxed);
        }
        // SAFETY: The symbol has this type.
        unsafe { std::mem::transmute::<usize, $type>(found) }
    }};
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: The pointer refers to the errno of this thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn socket_option(socket: c_int, name: c_int) -> Option<c_int> {
    let (mut value, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: Both pointers refer to local variables.
    let status =
        unsafe { libc::getsockopt(socket, libc::SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length) };
    (status == 0).then_some(value)
}

fn is_tcp(socket: c_int) -> bool {
    socket_option(socket, libc::SO_DOMAIN).is_some_and(|d| d == libc::AF_INET || d == libc::AF_INET6)
}

/// Number of descriptors whose origin is tracked.
const TRACKED_DESCRIPTORS: usize = 4096;

/// Whether the latest socket with a descriptor was connected, rather than accepted, by the program.
static CONNECTED: [AtomicBool; TRACKED_DESCRIPTORS] = [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];

fn set_connected(socket: c_int, connected: bool) {
    if let Some(entry) = usize::try_from(socket).ok().and_then(|socket| CONNECTED.get(socket)) {
        entry.store(connected, Ordering::Release);
    }
}

/// Returns whether a connection failure may be injected on a socket.
fn may_fail_connection(socket: c_int) -> bool {
    let entry = usize::try_from(socket).ok().and_then(|socket| CONNECTED.get(socket));
    is_tcp(socket) && (!spares_accepted() || entry.is_some_and(|entry| entry.load(Ordering::Acquire)))
}

type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail(Fault::ReceiveInterrupted) {
        return fail(libc::EINTR) as ssize_t;
    }
    if may_fail_connection(socket) && should_fail(Fault::ReceiveTimedOut) {
        return fail(libc::ETIMEDOUT) as ssize_t;
    }
    let short = length > 1 && is_tcp(socket) && should_fail(Fault::ReceiveShort);
    let length = if short { 1 + length % 7 } else { length };
    c_function!(recv: Receive)(socket, bytes, length, flags)
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail(Fault::SendInterrupted) {
        return fail(libc::EINTR) as ssize_t;
    }
    if may_fail_connection(socket) && should_fail(Fault::SendUnreachable) {
        return fail(libc::EHOSTUNREACH) as ssize_t;
    }
    let short = length > 1 && is_tcp(socket) && should_fail(Fault::SendShort);
    let length = if short { length / 2 } else { length };
    c_function!(send: Send)(socket, bytes, length, flags)
}

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_fail(Fault::AcceptAborted) {
        return fail(libc::ECONNABORTED);
    }
    if should_fail(Fault::AcceptFull) {
        return fail(libc::ENFILE);
    }
    let accepted = c_function!(accept4: Accept)(socket, address, length, flags);
    set_connected(accepted, false);
    accepted
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if (domain == libc::AF_INET || domain == libc::AF_INET6) && should_fail(Fault::SocketFails) {
        return fail(libc::ENOBUFS);
    }
    c_function!(socket: unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    if should_fail(Fault::PairFails) {
        return fail(libc::ENFILE);
    }
    c_function!(socketpair: unsafe extern "C" fn(c_int, c_int, c_int, *mut c_int) -> c_int)(
        domain, kind, protocol, pair,
    )
}

type AddressCall = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_tcp(socket) {
        set_connected(socket, true);
        if should_fail(Fault::ConnectNoAddress) {
            return fail(libc::EADDRNOTAVAIL);
        }
        if should_fail(Fault::ConnectUnreachable) {
            return fail(libc::ENETUNREACH);
        }
        if should_fail(Fault::ConnectInterrupted) {
            c_function!(connect: AddressCall)(socket, address, length);
            return fail(libc::EINTR);
        }
    }
    c_function!(connect: AddressCall)(socket, address, length)
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_tcp(socket) && should_fail(Fault::BindFails) {
        return fail(libc::ENOBUFS);
    }
    c_function!(bind: AddressCall)(socket, address, length)
}

type Wait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_fail(Fault::WaitInterrupted) {
        return fail(libc::EINTR);
    }
    c_function!(epoll_wait: Wait)(epoll, events, max_events, timeout)
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & (libc::O_WRONLY | libc::O_RDWR) == 0 && should_fail(Fault::OpenFails) {
        return fail(libc::ENFILE);
    }
    c_function!(open64: unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int)(path, flags, mode)
}

type Pwrite = unsafe extern "C" fn(c_int, *const c_void, size_t, off_t) -> ssize_t;

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(file: c_int, bytes: *const c_void, length: size_t, at: off_t) -> ssize_t {
    if should_fail(Fault::DiskFull) {
        return fail(libc::ENOSPC) as ssize_t;
    }
    if should_fail(Fault::KilledInWrite) {
        c_function!(pwrite64: Pwrite)(file, bytes, length / 2, at);
        libc::_exit(KILLED);
    }
    c_function!(pwrite64: Pwrite)(file, bytes, length, at)
}

/// Exit status of a process that is terminated by [`Fault::KilledInWrite`].
const KILLED: c_int = 137;

type Sync = unsafe extern "C" fn(c_int) -> c_int;

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if should_fail(Fault::SyncFails) {
        return fail(libc::EIO);
    }
    c_function!(fsync: Sync)(file)
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if should_fail(Fault::SyncFails) {
        return fail(libc::EIO);
    }
    c_function!(fdatasync: Sync)(file)
}

/// # Safety
/// The requirements are those of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let done = c_function!(clock_gettime: unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int)(
        clock, time,
    );
    let step = if clock == libc::CLOCK_REALTIME { wall_step() } else { 0 };
    if done == 0 && step != 0 {
        let nanoseconds = (*time).tv_nsec + step;
        (*time).tv_sec += nanoseconds.div_euclid(NANOSECONDS);
        (*time).tv_nsec = nanoseconds.rem_euclid(NANOSECONDS);
    }
    done
}
