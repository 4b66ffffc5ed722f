//! The one table of outcomes: what a server's status, reset or HTTP status says of the attempt, and what a final
//! outcome says to the client. No I/O. `docs/grpc.md` shows the same table.
use h2::Reason;

use crate::balancer::interface::{Idempotency, Outcome};
use crate::coordinator::QueryOutcome;

macro_rules! codes {
    ($($name:ident = $number:literal, $text:literal;)*) => {
        /// A gRPC status code (gRPC "Status codes and their use in gRPC").
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code { $($name = $number),* }

        impl Code {
            /// All of them, in order.
            pub const ALL: [Code; 17] = [$(Code::$name),*];

            pub fn name(self) -> &'static str {
                match self { $(Code::$name => $text),* }
            }
        }
    };
}

codes! {
    Ok = 0, "OK";
    Cancelled = 1, "CANCELLED";
    Unknown = 2, "UNKNOWN";
    InvalidArgument = 3, "INVALID_ARGUMENT";
    DeadlineExceeded = 4, "DEADLINE_EXCEEDED";
    NotFound = 5, "NOT_FOUND";
    AlreadyExists = 6, "ALREADY_EXISTS";
    PermissionDenied = 7, "PERMISSION_DENIED";
    ResourceExhausted = 8, "RESOURCE_EXHAUSTED";
    FailedPrecondition = 9, "FAILED_PRECONDITION";
    Aborted = 10, "ABORTED";
    OutOfRange = 11, "OUT_OF_RANGE";
    Unimplemented = 12, "UNIMPLEMENTED";
    Internal = 13, "INTERNAL";
    Unavailable = 14, "UNAVAILABLE";
    DataLoss = 15, "DATA_LOSS";
    Unauthenticated = 16, "UNAUTHENTICATED";
}

impl Code {
    /// The code of a `grpc-status` value: decimal, no more than two digits.
    pub fn parse(value: &[u8]) -> Option<Code> {
        let digits = !value.is_empty() && value.len() <= 2 && value.iter().all(u8::is_ascii_digit);
        let number = value.iter().fold(0, |n, b| n * 10 + usize::from(b - b'0').min(9));
        Code::ALL.get(number).copied().filter(|_| digits)
    }

    /// Whether the server means it of the call itself, so that any other would say the same: such a status is the
    /// answer, and goes to the client. The others are of the server, or of the way to it.
    pub fn answers(self) -> bool {
        use Code::*;
        match self {
            Ok | InvalidArgument | NotFound | AlreadyExists | PermissionDenied | FailedPrecondition
            | Aborted | OutOfRange | Unimplemented | Unauthenticated => true,
            Cancelled | Unknown | DeadlineExceeded | ResourceExhausted | Internal | Unavailable
            | DataLoss => false,
        }
    }

    /// The outcome of the attempt that it ends. A status alone never proves that the call has not run: where it must
    /// not run twice, being turned away counts as an error that may have run.
    pub fn outcome(self, effect: Idempotency) -> Outcome {
        match self {
            c if c.answers() => Outcome::Succeeded,
            Code::DeadlineExceeded => Outcome::TimedOut,
            Code::ResourceExhausted if effect != Idempotency::NonIdempotent => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }
}

/// How a stream was reset by its server (RFC 9113 7; gRPC over HTTP/2, "Errors"): its status, and its outcome.
pub fn reset(reason: Reason) -> (Code, Outcome) {
    let code = match reason {
        Reason::REFUSED_STREAM => return (Code::Unavailable, Outcome::Rejected),
        Reason::CANCEL => Code::Cancelled,
        Reason::ENHANCE_YOUR_CALM => Code::ResourceExhausted,
        Reason::INADEQUATE_SECURITY => Code::PermissionDenied,
        Reason::NO_ERROR
        | Reason::PROTOCOL_ERROR
        | Reason::INTERNAL_ERROR
        | Reason::FLOW_CONTROL_ERROR
        | Reason::SETTINGS_TIMEOUT
        | Reason::FRAME_SIZE_ERROR
        | Reason::COMPRESSION_ERROR
        | Reason::CONNECT_ERROR => Code::Internal,
        _ => Code::Unknown,
    };
    (code, Outcome::Error)
}

/// An answer that is not gRPC's, by its HTTP status (gRPC "HTTP to gRPC Status Code Mapping"). Never an answer of
/// the call, whatever the code: something on the way made it.
pub fn http(status: u16, effect: Idempotency) -> (Code, Outcome) {
    let code = match status {
        400 => Code::Internal,
        401 => Code::Unauthenticated,
        403 => Code::PermissionDenied,
        404 => Code::Unimplemented,
        429 | 502 | 503 | 504 => Code::Unavailable,
        _ => Code::Unknown,
    };
    let full = matches!(status, 429 | 503) && effect != Idempotency::NonIdempotent;
    (code, if full { Outcome::Rejected } else { Outcome::Error })
}

/// A status for the client, made here.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub code: Code,
    pub message: String,
    /// When to come back, in seconds; told where trying again is harmless.
    pub retry_after: Option<f64>,
}

impl Status {
    pub fn new(code: Code, message: impl Into<String>) -> Status {
        Status { code, message: message.into(), retry_after: None }
    }
}

/// The client's status for a final outcome that is no answer. `last` is what the last failed attempt showed,
/// `begun` whether some of the answer has gone to the client: then trying again is not told to be harmless.
pub fn ended(outcome: &QueryOutcome, last: Option<&Status>, begun: bool, out_of_time: bool) -> Status {
    let why = |said: &str| match last {
        Some(last) => format!("{said}; last attempt: {} {}", last.code.name(), last.message),
        None => said.to_owned(),
    };
    match outcome {
        _ if out_of_time => Status::new(Code::DeadlineExceeded, why("out of time")),
        QueryOutcome::DeadlineExceeded => Status::new(Code::DeadlineExceeded, why("out of time")),
        _ if begun => Status::new(Code::Unavailable, why("the stream broke behind its first message")),
        QueryOutcome::Rejected { retry_after } => {
            Status { retry_after: *retry_after, ..Status::new(Code::Unavailable, why("refused")) }
        }
        // Only what cannot be put together ends here as answered.
        QueryOutcome::Answered { .. } => {
            Status::new(Code::Internal, why("the answers could not be put together"))
        }
        QueryOutcome::Failed => {
            let code = last.map_or(Code::Unavailable, |l| l.code);
            Status::new(if code.answers() { Code::Unavailable } else { code }, why("failed"))
        }
    }
}
