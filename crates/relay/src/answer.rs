//! Answers to callers: an endpoint's own, or a failure of the serving layer.

use bytes::Bytes;
use ntex::http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING, UPGRADE,
};
use ntex::http::{HeaderMap, Response, ResponseBuilder, StatusCode};
use policy::cast::u64_to_f64;
use policy::ids::Millis;
use policy::outcome::{Refusal, RefusalReason, UnfinishedReason};

/// Headers that concern one connection only, besides those that `Connection` names.
const CONNECTION_HEADERS: [&str; 9] = [
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

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// An endpoint's answer, read whole.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers that concern the answer.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How a request ended without an endpoint's answer.
#[derives::value]
pub enum RelayFailure {
    /// The request is not proper, or the caller may not make it.
    Denied(StatusCode),
    /// It has not run and never will.
    NotRun(Refusal),
    /// It may have run.
    Unfinished(UnfinishedReason),
}

impl RelayFailure {
    /// A refusal for `reason`; the caller may come back after `retry_after` milliseconds.
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after: Millis) -> Self {
        Self::NotRun(Refusal::new(reason, retry_after))
    }

    /// The status that the caller gets.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Denied(status) => *status,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unfinished(UnfinishedReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unfinished(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// The reason's stable name.
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

    /// The answer to the caller.
    #[must_use]
    pub fn response(&self, request: &str, request_header: &HeaderName) -> Response {
        let mut response = Response::build(self.status());
        if let Ok(value) = HeaderValue::from_str(request)
            && !request.is_empty()
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

/// Milliseconds as seconds with a fraction.
fn seconds(time: Millis) -> String {
    format!("{:.3}", u64_to_f64(time) / MILLIS_PER_SECOND)
}

/// Removes the headers that concern one connection only.
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
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(UPGRADE);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}

/// Begins an answer with an endpoint's status and headers.
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
