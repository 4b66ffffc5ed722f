//! Responses as they are sent to clients.
#![warn(missing_docs)]

/// Whether the connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The connection may carry further requests.
    KeepAlive,
    /// The response is the last one on the connection and carries `Connection: close`.
    Close,
}

/// A complete response with a JSON body.
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Value of `Retry-After` in seconds. A fraction is sent unrounded, although RFC 9110 only allows whole
    /// seconds.
    pub retry_after: Option<f64>,
    /// Value of `Allow`: the methods that the path supports.
    pub allow: Option<&'static str>,
    /// Bytes of the body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without `Retry-After` and `Allow`.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Response { status, retry_after: None, allow: None, body: body.into() }
    }

    /// Returns the serialized response, head and body.
    pub fn to_bytes(&self, reuse: ConnectionReuse) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if let Some(seconds) = self.retry_after {
            out += &format!("Retry-After: {seconds}\r\n");
        }
        if let Some(methods) = self.allow {
            out += &format!("Allow: {methods}\r\n");
        }
        if reuse == ConnectionReuse::Close {
            out += "Connection: close\r\n";
        }
        out += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", self.body.len());
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }
}

/// Returns the reason phrase of a status (RFC 9110, section 15).
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
