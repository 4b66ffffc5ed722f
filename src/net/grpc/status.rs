//! Maps the gRPC status, stream reset or HTTP status that a server sends to the outcome of an attempt, and
//! the final outcome of a query to the status that the client gets. `docs/grpc.md` has the same table. The
//! module does no I/O.
use h2::Reason;

use crate::balancer::interface::{Idempotency, Outcome};
use crate::coordinator::QueryOutcome;
use crate::net::memory_budget::MemoryExhausted;

macro_rules! codes {
    ($($name:ident = $number:literal, $text:literal;)*) => {
        /// A gRPC status code (gRPC "Status codes and their use in gRPC").
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code { $($name = $number),* }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: [Code; 17] = [$(Code::$name),*];

            /// Returns the name of the code in the gRPC specification.
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
    /// Parses a `grpc-status` value: a decimal number of one or two digits.
    pub fn parse(value: &[u8]) -> Option<Code> {
        let digits = !value.is_empty() && value.len() <= 2 && value.iter().all(u8::is_ascii_digit);
        let number = value.iter().fold(0, |n, b| n * 10 + usize::from(b - b'0').min(9));
        Code::ALL.get(number).copied().filter(|_| digits)
    }

    /// Returns whether the code is a definite result of the call, which any other server would return as well
    /// and which is therefore passed to the client. All other codes report a failure of this server or of the
    /// path to it.
    pub fn is_definite(self) -> bool {
        use Code::*;
        match self {
            Ok | InvalidArgument | NotFound | AlreadyExists | PermissionDenied | FailedPrecondition
            | Aborted | OutOfRange | Unimplemented | Unauthenticated => true,
            Cancelled | Unknown | DeadlineExceeded | ResourceExhausted | Internal | Unavailable
            | DataLoss => false,
        }
    }

    /// Returns the outcome of an attempt that ends with this code. A status alone does not prove that the
    /// call was not executed, so for a non-idempotent call RESOURCE_EXHAUSTED counts as an error after
    /// possible execution.
    pub fn outcome(self, idempotency: Idempotency) -> Outcome {
        match self {
            c if c.is_definite() => Outcome::Succeeded,
            Code::DeadlineExceeded => Outcome::TimedOut,
            Code::ResourceExhausted if idempotency != Idempotency::NonIdempotent => Outcome::Rejected,
            _ => Outcome::Error,
        }
    }
}

/// Maps the error code with which a server reset the stream to a status and an outcome (RFC 9113 7; gRPC over
/// HTTP/2, "Errors").
pub fn from_reset(reason: Reason) -> (Code, Outcome) {
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

/// Maps an HTTP status other than 200 to a status and an outcome (gRPC "HTTP to gRPC Status Code Mapping").
/// Such a response is never a definite result of the call, because it may come from an intermediary.
pub fn from_http(status: u16, idempotency: Idempotency) -> (Code, Outcome) {
    let code = match status {
        400 => Code::Internal,
        401 => Code::Unauthenticated,
        403 => Code::PermissionDenied,
        404 => Code::Unimplemented,
        429 | 502 | 503 | 504 => Code::Unavailable,
        _ => Code::Unknown,
    };
    let overloaded = matches!(status, 429 | 503) && idempotency != Idempotency::NonIdempotent;
    (code, if overloaded { Outcome::Rejected } else { Outcome::Error })
}

/// A status that is reported to the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub code: Code,
    pub message: String,
    /// The delay before a retry, in seconds; set only where a retry is safe.
    pub retry_after: Option<f64>,
}

impl From<MemoryExhausted> for Status {
    fn from(e: MemoryExhausted) -> Status {
        Status::new(Code::ResourceExhausted, e.to_string())
    }
}

impl Status {
    /// Creates a status without a retry delay.
    pub fn new(code: Code, message: impl Into<String>) -> Status {
        Status { code, message: message.into(), retry_after: None }
    }
}

/// Returns the client's status for a query that ended without an answer. `last_failure` is the status of the
/// attempt that failed last. `response_started` is whether part of the response was already sent to the
/// client, in which case no retry is suggested. `out_of_time` is whether the call's deadline has passed or is
/// imminent, which takes precedence over `outcome`.
pub fn final_status(
    outcome: &QueryOutcome,
    last_failure: Option<&Status>,
    response_started: bool,
    out_of_time: bool,
) -> Status {
    let msg = |summary: &str| match last_failure {
        Some(last) => format!("{summary}; last attempt: {} {}", last.code.name(), last.message),
        None => summary.to_owned(),
    };
    match outcome {
        _ if out_of_time => Status::new(Code::DeadlineExceeded, msg("out of time")),
        QueryOutcome::DeadlineExceeded => Status::new(Code::DeadlineExceeded, msg("out of time")),
        _ if response_started => Status::new(Code::Unavailable, msg("stream failed after its first message")),
        QueryOutcome::Rejected { retry_after } => {
            Status { retry_after: *retry_after, ..Status::new(Code::Unavailable, msg("rejected")) }
        }
        // For an answered query, this function is called only if the answers could not be merged.
        QueryOutcome::Answered { .. } => {
            Status::new(Code::Internal, msg("the answers of the shards could not be merged"))
        }
        QueryOutcome::Failed => {
            let code = last_failure.map_or(Code::Unavailable, |l| l.code);
            Status::new(if code.is_definite() { Code::Unavailable } else { code }, msg("failed"))
        }
    }
}
