//! The frames that data nodes speak: a four-byte length, a letter and the rest.
use std::fmt;

/// The largest frame that a data node may send: a body's limit and room for its line.
const MOST: usize = 128 * 1024;
/// The longest line of an answer.
const MOST_LINE: usize = 1024;

#[derive(Debug, PartialEq)]
pub enum FrameError {
    InvalidLength(usize),
    UnknownType(u8),
    MalformedHeader,
    Truncated,
    ValueNotUtf8,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::InvalidLength(n) => write!(f, "a frame of {n} bytes"),
            FrameError::UnknownType(l) => write!(f, "a frame of the unknown letter {l}"),
            FrameError::MalformedHeader => f.write_str("a frame whose line cannot be read"),
            FrameError::Truncated => f.write_str("a frame that was cut short, with the next one in it"),
            FrameError::ValueNotUtf8 => f.write_str("a value that is no text"),
        }
    }
}

impl std::error::Error for FrameError {}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerStatus {
    Served,
    Failed,
    Rejected,
}

/// What a data node sends.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    Answer { id: &'a str, status: AnswerStatus, score: f64, report: &'a str, value: &'a [u8] },
    Probe { served: bool },
    Load { report: Option<&'a str> },
    Error { message: &'a str },
}

/// The frame at the front of `bytes` and its length, if it is whole. What cannot become one is told from its
/// first bytes. Guards against waiting, and making room, for what a length promises that is noise.
pub fn parse(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > MOST {
        return Err(FrameError::InvalidLength(length));
    }
    let whole = rest.len() >= length;
    let Some((letter, rest)) = rest[..length.min(rest.len())].split_first() else { return Ok(None) };
    let text = |b| std::str::from_utf8(b).map_err(|_| FrameError::MalformedHeader);
    let frame = match letter {
        b'a' => answer(rest, whole)?,
        b'p' | b'l' | b'e' if !whole => None,
        b'p' => Some(Frame::Probe { served: rest == b"served" }),
        b'l' => Some(Frame::Load { report: Some(text(rest)?).filter(|r| *r != "broke") }),
        b'e' => Some(Frame::Error { message: text(rest)? }),
        other => return Err(FrameError::UnknownType(*other)),
    };
    Ok(frame.filter(|_| whole).map(|frame| (frame, 4 + length)))
}

/// An answer, or `None` while its line is not in.
fn answer(rest: &[u8], whole: bool) -> Result<Option<Frame<'_>>, FrameError> {
    let Some(line) = rest.iter().take(MOST_LINE).position(|b| *b == b'\n') else {
        return if whole || rest.len() >= MOST_LINE { Err(FrameError::MalformedHeader) } else { Ok(None) };
    };
    let mut words = rest[..line].splitn(4, |b| *b == b' ');
    let mut word = || words.next().and_then(|w| std::str::from_utf8(w).ok());
    let (Some(id), Some(end), Some(score)) = (word(), word(), word()) else {
        return Err(FrameError::MalformedHeader);
    };
    let end = match end {
        "served" => AnswerStatus::Served,
        "broke" => AnswerStatus::Failed,
        "skipped" => AnswerStatus::Rejected,
        _ => return Err(FrameError::MalformedHeader),
    };
    // Only served parts are ranked: what else ends a part may leave its score blank.
    let score = match (score.parse::<f64>(), end) {
        (Ok(score), _) if score.is_finite() => score,
        (_, AnswerStatus::Served) => return Err(FrameError::MalformedHeader),
        _ => 0.0,
    };
    // A report that cannot be read is none. Guards a good value against what merely comes with it.
    let (report, value) = (word().unwrap_or("-"), &rest[line + 1..]);
    // Guards against what is no value of that part: where a frame falls short of its length, the next one's first
    // bytes are taken into it. These begin with a zero, for no length reaches 2^24, and no text holds one.
    const { assert!(MOST < 1 << 24) };
    if whole && rest.contains(&0) {
        return Err(FrameError::Truncated);
    }
    // It stands in a text for the client, who would get another one than the data node made.
    if whole && end == AnswerStatus::Served && std::str::from_utf8(value).is_err() {
        return Err(FrameError::ValueNotUtf8);
    }
    Ok(Some(Frame::Answer { id, status: end, score, report, value }))
}

/// The id that a frame names which cannot be used, if it has one where an answer's would stand.
pub fn malformed_answer_id(bytes: &[u8]) -> Option<&str> {
    let id = bytes.get(5..)?.split(|b| *b == b' ').next()?;
    std::str::from_utf8(id).ok()
}

/// Begin a frame at the end of `out`; [`seal`] ends it.
pub fn begin_frame(out: &mut Vec<u8>, letter: u8) -> usize {
    let at = out.len();
    out.extend([0, 0, 0, 0, letter]);
    at
}

pub fn finish_frame(out: &mut [u8], at: usize) {
    let length = (out.len() - at - 4) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// What data nodes call the values that the settings name.
const NAMES: [(&str, &str); 6] = [
    ("concurrent", "inflight"),
    ("depth", "queue"),
    ("load_share", "util"),
    ("mean_ms", "latency_ms"),
    ("tps", "qps"),
    ("err_ps", "eps"),
];

/// The value of a load report under a name of the settings, as in `inflight=7,util=0.61`.
pub fn report_value(report: &str, name: &str) -> f64 {
    let other = NAMES.iter().find(|(told, _)| *told == name).map_or(name, |(_, sent)| sent);
    let mut pairs = report.split(',').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name || *n == other).and_then(|(_, v)| v.parse().ok()).unwrap_or(f64::NAN)
}
