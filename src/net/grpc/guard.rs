//! Detects denial-of-service floods on a client's connection. It counts the frames that are cheap to send and
//! expensive to process, such as PING, SETTINGS, RST_STREAM, CONTINUATION and empty DATA, and parses nothing
//! but their headers (RFC 9113 4.1, 10.5). The module does no I/O and reads no clock; the time is passed in.
use std::time::{Duration, Instant};

use crate::config::operator::FrontLimits;

/// The length of the client's connection preface (RFC 9113 3.4), which precedes the first frame.
const PREFACE_BYTES: usize = 24;
/// The length of a frame header (RFC 9113 4.1).
const HEADER_BYTES: usize = 9;

/// The kinds of frames that are counted. Each kind has a separate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    EmptyData,
    Reset,
    Settings,
    Ping,
    Continuation,
    Other,
}

impl Flood {
    /// Returns the name of the frames, as it appears in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Flood::EmptyData => "empty DATA",
            Flood::Reset => "RST_STREAM",
            Flood::Settings => "SETTINGS",
            Flood::Ping => "PING",
            Flood::Continuation => "CONTINUATION",
            Flood::Other => "WINDOW_UPDATE, PRIORITY and unknown",
        }
    }
}

/// Counts the frames that arrive on one connection, in windows of one second.
pub struct FloodGuard {
    limits: [u32; 6],
    counts: [u32; 6],
    /// The number of writes to the client in this window. Well-behaved clients respond to data with
    /// WINDOW_UPDATE frames, and with PINGs that measure the round-trip time. The limits do not depend on
    /// this number.
    writes: u32,
    /// The bytes written to the client in this window. The limits do not depend on this number.
    written: usize,
    window_start: Option<Instant>,
    header: [u8; HEADER_BYTES],
    header_read: usize,
    /// The number of bytes of the current payload, or of the preface, that have not arrived yet.
    skip: usize,
}

impl FloodGuard {
    /// Creates a guard for a connection on which nothing has arrived yet.
    pub fn new(config: &FrontLimits) -> FloodGuard {
        let limits = [
            config.max_empty_data_per_s,
            config.max_resets_per_s,
            config.max_settings_per_s,
            config.max_pings_per_s,
            config.max_continuations_per_s,
            config.max_other_frames_per_s,
        ];
        FloodGuard {
            limits,
            counts: [0; 6],
            writes: 0,
            written: 0,
            window_start: None,
            header: [0; HEADER_BYTES],
            header_read: 0,
            skip: PREFACE_BYTES,
        }
    }

    /// Inspects the next bytes from the client.
    ///
    /// # Errors
    ///
    /// Returns the kind of frame that exceeds its limit in the current window of one second.
    pub fn inspect(&mut self, now: Instant, mut bytes: &[u8]) -> Result<(), Flood> {
        if self.window_start.is_none_or(|s| now >= s + Duration::from_secs(1)) {
            (self.window_start, self.counts, self.writes, self.written) = (Some(now), [0; 6], 0, 0);
        }
        while !bytes.is_empty() {
            if self.skip > 0 {
                let n = self.skip.min(bytes.len());
                self.skip -= n;
                bytes = &bytes[n..];
                continue;
            }
            let n = (HEADER_BYTES - self.header_read).min(bytes.len());
            self.header[self.header_read..self.header_read + n].copy_from_slice(&bytes[..n]);
            self.header_read += n;
            bytes = &bytes[n..];
            if self.header_read == HEADER_BYTES {
                self.header_read = 0;
                let [a, b, c, kind, flags, ..] = self.header;
                self.skip = usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
                self.count_frame(kind, flags)?;
            }
        }
        Ok(())
    }

    /// Records a write of this many bytes to the client.
    pub fn record_write(&mut self, bytes: usize) {
        self.writes = self.writes.saturating_add(1);
        self.written = self.written.saturating_add(bytes);
    }

    fn count_frame(&mut self, kind: u8, flags: u8) -> Result<(), Flood> {
        let flood = match kind {
            // DATA frames that have a payload or END_STREAM carry a request, so they are not counted.
            0 if self.skip == 0 && flags & 1 == 0 => Flood::EmptyData,
            0 | 1 => return Ok(()),
            3 => Flood::Reset,
            4 => Flood::Settings,
            6 => Flood::Ping,
            9 => Flood::Continuation,
            _ => Flood::Other,
        };
        let count = &mut self.counts[flood as usize];
        *count += 1;
        if *count > self.limits[flood as usize] {
            Err(flood)
        } else {
            Ok(())
        }
    }
}
