//! Signal handling of the process.
//!
//! Invariant: only SIGTERM and SIGINT end the process, and neither they nor SIGHUP are lost. The handler of
//! a signal sets a flag, which is authoritative. The stream of signals only wakes the task that reads the
//! flags: its pipe is a socket, whose system calls may be interrupted or fail for lack of buffers. A
//! periodic check covers lost wake-ups.
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::ServeError;

/// Longest delay until a signal whose wake-up was lost is noticed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after an error of the stream, so that a persistent error does not occupy the processor.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Request that a signal makes to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Reread the configuration (SIGHUP).
    Reload,
    /// Shut down gracefully (SIGTERM or SIGINT).
    Stop,
}

/// Signals that were received and not yet handled.
#[derive(Clone, Default)]
struct PendingSignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl PendingSignals {
    /// Takes the next request. A stop takes precedence over a reload.
    fn take(&self) -> Option<SignalRequest> {
        if self.stop.swap(false, Ordering::AcqRel) {
            return Some(SignalRequest::Stop);
        }
        self.reload.swap(false, Ordering::AcqRel).then_some(SignalRequest::Reload)
    }
}

/// The registered handlers and the requests that they received.
pub struct SignalHandlers {
    pending: PendingSignals,
    /// Wakes [`SignalHandlers::next`]. `None` until that is first called, and while the operating system
    /// refuses the stream.
    wakes: Option<Signals>,
}

impl SignalHandlers {
    /// Registers the handlers. A signal that arrives earlier ends the process, even SIGHUP, so this must be
    /// the first thing that the process does.
    ///
    /// # Errors
    ///
    /// Returns [`ServeError::Signals`] if the operating system refuses a handler.
    pub fn register() -> Result<SignalHandlers, ServeError> {
        let pending = PendingSignals::default();
        let register = |signal, flag: &Arc<AtomicBool>| -> Result<(), ServeError> {
            signal_hook::flag::register(signal, flag.clone()).map_err(ServeError::Signals)?;
            Ok(())
        };
        register(SIGTERM, &pending.stop)?;
        register(SIGINT, &pending.stop)?;
        register(SIGHUP, &pending.reload)?;
        Ok(SignalHandlers { pending, wakes: None })
    }

    /// Waits for the next request. Cancel safe: a request is taken only when the future completes.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            if self.wakes.is_none() {
                self.wakes = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).ok();
            }
            // Read after the stream was opened, so that signals that arrived before are seen here.
            if let Some(request) = self.pending.take() {
                return request;
            }
            if self.wake_or_check().await.is_err() {
                Timer::at(Instant::now() + ERROR_PAUSE).await;
            }
        }
    }

    /// Waits for the wake-up of a signal, or until the next periodic check of the flags.
    async fn wake_or_check(&mut self) -> io::Result<()> {
        let woken = async {
            match &mut self.wakes {
                Some(wakes) => wakes.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into())),
                None => std::future::pending().await,
            }
        };
        let check_due = async {
            Timer::at(Instant::now() + CHECK_INTERVAL).await;
            Ok(Signal::Hup)
        };
        woken.or(check_due).await.map(|_| ())
    }
}
