//! Wire format of data node frames (operators' page WIRE-marlgap.md): a four-byte big-endian length, a type
//! letter and the rest.
//!
//! Implements both directions. Performs no I/O and never allocates for a length that a peer announces.
//! Accepts frames of up to [`MAX_FRAME_BYTES`]; a frame that cannot become valid is an error from its first
//! bytes on.
#![warn(missing_docs)]

/// Largest frame that a data node may send, in bytes: the limit of a body and room for its header line.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Longest header line of an answer, in bytes.
const MAX_HEADER_BYTES: usize = 1024;
/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Placeholder for an absent load report.
pub const NO_REPORT: &str = "-";

/// Errors that make received bytes invalid as a frame. The connection cannot be read any further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The length is zero or exceeds [`MAX_FRAME_BYTES`].
    #[error("invalid frame length: {0} bytes")]
    InvalidLength(usize),
    /// The protocol does not define the type letter.
    #[error("unknown frame type {0}")]
    UnknownType(u8),
    /// The header line is too long, is not text, or lacks a field.
    #[error("malformed frame header")]
    MalformedHeader,
    /// The frame has fewer bytes than its length states, so the next frame starts within it.
    #[error("truncated frame that contains the start of the next one")]
    Truncated,
    /// The value is not UTF-8.
    #[error("value is not UTF-8")]
    ValueNotUtf8,
}

/// How an attempt ended at a data node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerStatus {
    /// `served`: the answer contains the value.
    Served,
    /// `broke`: the attempt ran and failed.
    Failed,
    /// `skipped`: the attempt did not run.
    Rejected,
}

/// A frame from a data node, borrowing from the received bytes.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// The end of an attempt.
    Answer {
        /// The attempt's id.
        id: &'a str,
        /// How the attempt ended.
        status: AnswerStatus,
        /// Score by which the value is ranked among those of other parts; finite.
        score: f64,
        /// The load report as text, see [`report_value`]; [`NO_REPORT`] if there is none.
        report: &'a str,
        /// The value; UTF-8 if the attempt was served.
        value: &'a [u8],
    },
    /// The answer to a health check.
    Probe {
        /// Whether the data node accepts attempts.
        served: bool,
    },
    /// The answer to a health check that asks for a load report.
    Load {
        /// The report as text; `None` if the data node accepts no attempts.
        report: Option<&'a str>,
    },
    /// The data node reports an unusable frame from this side.
    Error {
        /// The message of the data node.
        message: &'a str,
    },
}

/// Parses the frame at the front of `bytes`. Returns it with its length in bytes, or `None` while it is
/// incomplete.
///
/// # Errors
///
/// Returns [`FrameError`] as soon as the bytes cannot become a valid frame. This avoids waiting, and growing
/// the buffer, for an invalid length.
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

/// Parses an answer, or returns `None` while its header line is incomplete.
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
    // Only served parts are ranked, so any other answer may omit its score.
    let score = match (score.parse::<f64>(), status) {
        (Ok(score), _) if score.is_finite() => score,
        (_, AnswerStatus::Served) => return Err(FrameError::MalformedHeader),
        _ => 0.0,
    };
    // An unreadable report counts as absent: it must not invalidate the value that it accompanies.
    let report = word().unwrap_or(NO_REPORT);
    let value = &rest[line + 1..];
    // If a frame is shorter than its length states, it includes the first bytes of the next one. These start
    // with a zero, since no length reaches 2^24, and no text contains a zero.
    const { assert!(MAX_FRAME_BYTES < 1 << 24) };
    if complete && rest.contains(&0) {
        return Err(FrameError::Truncated);
    }
    // The client receives the value as text, and a lossy conversion would change it.
    if complete && status == AnswerStatus::Served && std::str::from_utf8(value).is_err() {
        return Err(FrameError::ValueNotUtf8);
    }
    Ok(Some(Frame::Answer { id, status, score, report, value }))
}

/// Returns the id in an unusable frame, if there is text in the position of an answer's id.
pub fn malformed_answer_id(bytes: &[u8]) -> Option<&str> {
    let id = bytes.get(LENGTH_BYTES + 1..)?.split(|b| *b == b' ').next()?;
    std::str::from_utf8(id).ok()
}

/// Begins a frame at the end of `out` and returns its offset, which [`finish_frame`] needs.
pub fn begin_frame(out: &mut Vec<u8>, letter: u8) -> usize {
    let start = out.len();
    out.extend([0; LENGTH_BYTES]);
    out.push(letter);
    start
}

/// Writes the length of the frame that begins at `start` and extends to the end of `out`.
pub fn finish_frame(out: &mut [u8], start: usize) {
    let body = start + LENGTH_BYTES;
    let length = (out.len() - body) as u32;
    out[start..body].copy_from_slice(&length.to_be_bytes());
}

/// Names of reported values in the settings and the names that data nodes use for them.
const WIRE_NAMES: [(&str, &str); 6] = [
    ("concurrent", "inflight"),
    ("depth", "queue"),
    ("load_share", "util"),
    ("mean_ms", "latency_ms"),
    ("tps", "qps"),
    ("err_ps", "eps"),
];

/// Returns a value of a load report such as `inflight=7,util=0.61`, by its name in the settings or on the
/// wire. Returns NaN if the report does not contain it or it is not a number.
pub fn report_value(report: &str, name: &str) -> f64 {
    let wire_name = WIRE_NAMES.iter().find(|(setting, _)| *setting == name).map_or(name, |(_, wire)| wire);
    let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name || *key == wire_name);
    value.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
}
