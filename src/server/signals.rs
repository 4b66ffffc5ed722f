//! The signals that the process handles.
//!
//! Invariant: nothing but SIGTERM and SIGINT ends the process, and neither they nor SIGHUP are lost. A signal's handler
//! sets a flag, which is what counts. The stream of signals only wakes the task that reads the flags: its pipe is a
//! socket, whose calls may be interrupted or fail for want of buffers. A periodic check covers a wake that never came.
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::ServeError;

/// The longest time until a signal is seen whose wake was lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after an error of the stream, so that a lasting one doesn't take the processor.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// What a signal asks the process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Shut down gracefully (SIGTERM or SIGINT).
    Stop,
}

/// Signals that came and were not yet taken.
#[derive(Clone, Default)]
struct PendingSignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl PendingSignals {
    /// The next request; a stop goes before a reload.
    fn take(&self) -> Option<SignalRequest> {
        if self.stop.swap(false, Ordering::AcqRel) {
            return Some(SignalRequest::Stop);
        }
        self.reload.swap(false, Ordering::AcqRel).then_some(SignalRequest::Reload)
    }
}

/// The registered handlers, and the requests that they received.
pub struct SignalHandlers {
    pending: PendingSignals,
    /// Wakes [`SignalHandlers::next`]; `None` until it is first called, or while the operating system refuses it.
    wakes: Option<Signals>,
}

impl SignalHandlers {
    /// Handle the signals from here on. One that comes earlier ends the process, a SIGHUP too, so this is the first
    /// thing that the process does.
    ///
    /// # Errors
    ///
    /// [`ServeError::Signals`] if the operating system refuses a handler.
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

    /// The next request. Cancel safe: a request is taken only when this resolves.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            if self.wakes.is_none() {
                self.wakes = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).ok();
            }
            // Read after the stream was opened: what came before it is seen here.
            if let Some(request) = self.pending.take() {
                return request;
            }
            if self.wake_or_check().await.is_err() {
                Timer::at(Instant::now() + ERROR_PAUSE).await;
            }
        }
    }

    /// Wait for a signal's wake, or until the flags are to be read in any case.
    async fn wake_or_check(&mut self) -> io::Result<()> {
        let woken = async {
            match &mut self.wakes {
                Some(wakes) => wakes.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into())),
                None => std::future::pending().await,
            }
        };
        let checked = async {
            Timer::at(Instant::now() + CHECK_INTERVAL).await;
            Ok(Signal::Hup)
        };
        woken.or(checked).await.map(|_| ())
    }
}
