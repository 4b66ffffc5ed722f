//! The frames that data nodes speak (the operators' page WIRE-marlgap.md): a four-byte big-endian length, a
//! type letter and the rest.
//!
//! Owns the byte form in both directions. Never does I/O, and never allocates for a length that a peer
//! promises. Reads frames of up to [`MAX_FRAME_BYTES`]; a frame that cannot become a valid one is an error
//! from its first bytes on.
#![warn(missing_docs)]

/// The largest frame that a data node may send: a body's limit and room for its header line.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// The longest header line of an answer.
const MAX_HEADER_BYTES: usize = 1024;
/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;
/// What stands in place of a load report where there is none.
pub const NO_REPORT: &str = "-";

/// Why bytes are no frame. The connection can't be read any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// A length of zero or above [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes")]
    InvalidLength(usize),
    /// A type letter that the protocol does not have.
    #[error("a frame of the unknown letter {0}")]
    UnknownType(u8),
    /// A header line that is too long, not text, or lacks a field.
    #[error("a frame whose line cannot be read")]
    MalformedHeader,
    /// Fewer bytes than the length promised: the next frame begins within it.
    #[error("a frame that was cut short, with the next one in it")]
    Truncated,
    /// A value that is not UTF-8.
    #[error("a value that is no text")]
    ValueNotUtf8,
}

/// How a data node ended an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerStatus {
    /// `served`: the value is in the answer.
    Served,
    /// `broke`: it ran and failed.
    Failed,
    /// `skipped`: it did not run.
    Rejected,
}

/// What a data node sends; borrowed from the bytes that were read.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// The end of an attempt.
    Answer {
        /// The attempt's id.
        id: &'a str,
        /// How it ended.
        status: AnswerStatus,
        /// Rank of the value among those of other parts; finite.
        score: f64,
        /// The load report as text, see [`report_value`]; [`NO_REPORT`] if there is none.
        report: &'a str,
        /// The value, UTF-8 if it was served.
        value: &'a [u8],
    },
    /// The answer to a health check.
    Probe {
        /// Whether the data node takes work.
        served: bool,
    },
    /// The answer to a health check that asks for a load report.
    Load {
        /// The report as text; `None` if the data node takes no work.
        report: Option<&'a str>,
    },
    /// The data node could not use a frame of ours.
    Error {
        /// What it says about it.
        message: &'a str,
    },
}

/// The frame at the front of `bytes` and its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// [`FrameError`] as soon as the bytes cannot become a frame. Prevents waiting, and making room, for what a
/// length promises that is noise.
pub fn parse(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength(length));
    }
    let complete = rest.len() >= length;
    let Some((letter, rest)) = rest[..length.min(rest.len())].split_first() else { return Ok(None) };
    let text = |b| std::str::from_utf8(b).map_err(|_| FrameError::MalformedHeader);
    let frame = match letter {
        b'a' => answer(rest, complete)?,
        b'p' | b'l' | b'e' if !complete => None,
        b'p' => Some(Frame::Probe { served: rest == b"served" }),
        b'l' => Some(Frame::Load { report: Some(text(rest)?).filter(|r| *r != "broke") }),
        b'e' => Some(Frame::Error { message: text(rest)? }),
        other => return Err(FrameError::UnknownType(*other)),
    };
    Ok(frame.filter(|_| complete).map(|frame| (frame, LENGTH_BYTES + length)))
}

/// An answer, or `None` while its header line is incomplete.
fn answer(rest: &[u8], complete: bool) -> Result<Option<Frame<'_>>, FrameError> {
    let Some(line) = rest.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n') else {
        return if complete || rest.len() >= MAX_HEADER_BYTES {
            Err(FrameError::MalformedHeader)
        } else {
            Ok(None)
        };
    };
    let mut words = rest[..line].splitn(4, |b| *b == b' ');
    let mut word = || words.next().and_then(|w| std::str::from_utf8(w).ok());
    let (Some(id), Some(status), Some(score)) = (word(), word(), word()) else {
        return Err(FrameError::MalformedHeader);
    };
    let status = match status {
        "served" => AnswerStatus::Served,
        "broke" => AnswerStatus::Failed,
        "skipped" => AnswerStatus::Rejected,
        _ => return Err(FrameError::MalformedHeader),
    };
    // Only served parts are ranked: any other answer may leave its score blank.
    let score = match (score.parse::<f64>(), status) {
        (Ok(score), _) if score.is_finite() => score,
        (_, AnswerStatus::Served) => return Err(FrameError::MalformedHeader),
        _ => 0.0,
    };
    // An unreadable report counts as none: it must not cost the good value that it comes with.
    let report = word().unwrap_or(NO_REPORT);
    let value = &rest[line + 1..];
    // Where a frame falls short of its length, the next one's first bytes are taken into it. These begin with
    // a zero, for no length reaches 2^24, and no text holds one.
    const { assert!(MAX_FRAME_BYTES < 1 << 24) };
    if complete && rest.contains(&0) {
        return Err(FrameError::Truncated);
    }
    // The client gets it within a text: lossy decoding would give it another value than the data node made.
    if complete && status == AnswerStatus::Served && std::str::from_utf8(value).is_err() {
        return Err(FrameError::ValueNotUtf8);
    }
    Ok(Some(Frame::Answer { id, status, score, report, value }))
}

/// The id in an unusable frame, if text stands where an answer's id would.
pub fn malformed_answer_id(bytes: &[u8]) -> Option<&str> {
    let id = bytes.get(LENGTH_BYTES + 1..)?.split(|b| *b == b' ').next()?;
    std::str::from_utf8(id).ok()
}

/// Begin a frame at the end of `out`. Returns where it begins, for [`finish_frame`].
pub fn begin_frame(out: &mut Vec<u8>, letter: u8) -> usize {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    out.push(letter);
    start
}

/// Write the length of the frame that begins at `start` and goes to the end of `out`.
pub fn finish_frame(out: &mut [u8], start: usize) {
    let body = start + LENGTH_BYTES;
    let length = (out.len() - body) as u32;
    out[start..body].copy_from_slice(&length.to_be_bytes());
}

/// The settings' names of values, and what data nodes call them.
const WIRE_NAMES: [(&str, &str); 6] = [
    ("concurrent", "inflight"),
    ("depth", "queue"),
    ("load_share", "util"),
    ("mean_ms", "latency_ms"),
    ("tps", "qps"),
    ("err_ps", "eps"),
];

/// A value of a load report such as `inflight=7,util=0.61`, by the settings' name or the wire's; NaN if the
/// report does not have it or it is no number.
pub fn report_value(report: &str, name: &str) -> f64 {
    let wire_name = WIRE_NAMES.iter().find(|(setting, _)| *setting == name).map_or(name, |(_, wire)| wire);
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name || *key == wire_name);
    value.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
}
