//! Answers to callers: either an endpoint's answer or a failure reported by the relay itself.

use bytes::Bytes;
use ntex::http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING, UPGRADE,
};
use ntex::http::{HeaderMap, Response, ResponseBuilder, StatusCode};
use policy::cast::u64_to_f64;
use policy::ids::Millis;
use policy::outcome::{Refusal, RefusalReason, UnfinishedReason};

/// Hop-by-hop headers, in addition to those named by `Connection`.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A complete answer of an endpoint.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Why a request ended without an endpoint's answer.
#[derives::value]
pub enum RelayFailure {
    /// The request is invalid, or the caller may not make it.
    Denied(StatusCode),
    /// The request has not run and will not run.
    NotRun(Refusal),
    /// The request may have run.
    Unfinished(UnfinishedReason),
}

impl RelayFailure {
    /// A refusal for `reason`, with a retry-after of `retry_after` milliseconds.
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after: Millis) -> Self {
        Self::NotRun(Refusal::new(reason, retry_after))
    }

    /// HTTP status for the caller.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Denied(status) => *status,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unfinished(UnfinishedReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unfinished(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Stable machine-readable name of the reason.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Denied(StatusCode::NOT_FOUND) => "no_route",
            Self::Denied(StatusCode::UNAUTHORIZED) => "unknown_account",
            Self::Denied(StatusCode::PAYLOAD_TOO_LARGE) => "body_too_large",
            Self::Denied(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE) => "headers_too_large",
            Self::Denied(_) => "bad_request",
            Self::NotRun(refusal) => refusal.reason.code(),
            Self::Unfinished(reason) => reason.code(),
        }
    }

    /// HTTP response for the caller. Echoes `request_id` in `request_header` unless the id is
    /// empty.
    #[must_use]
    pub fn response(&self, request_id: &str, request_header: &HeaderName) -> Response {
        let mut response = Response::build(self.status());
        if let Ok(value) = HeaderValue::from_str(request_id)
            && !request_id.is_empty()
        {
            response.header(request_header.clone(), value);
        }
        if let Self::NotRun(refusal) = self {
            response.header(RETRY_AFTER, seconds(refusal.retry_after));
        }
        let body = format!("{{\"error\":\"{}\"}}\n", self.code());
        response.content_type("application/json").body(body)
    }
}

/// Milliseconds as seconds with three decimal places.
fn seconds(time: Millis) -> String {
    format!("{:.3}", u64_to_f64(time) / MILLIS_PER_SECOND)
}

/// Removes hop-by-hop headers and headers that describe the body's transfer.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().to_ascii_lowercase().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(UPGRADE);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}

/// Whether the status tells a caller that its request has not run and never will. An endpoint's answer
/// with such a status is only forwarded if the endpoint states the same.
#[must_use]
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Response builder with the status and headers of an endpoint's answer.
#[must_use]
pub fn begin_answer(status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut response = Response::build(status);
    for (name, value) in headers {
        response.header(name.clone(), value.clone());
    }
    response
}

impl From<WholeAnswer> for Response {
    fn from(answer: WholeAnswer) -> Self {
        let body = ntex::util::Bytes::copy_from_slice(&answer.body);
        begin_answer(answer.status, &answer.headers).body(body)
    }
}
