//! Handling of calls of plain services.

use ntex::http::header::HeaderName;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use policy::outcome::RefusalReason;
use service::{ServiceAnswer, ServiceCall, end_to_end_headers};
use tokio::time::Instant;

use crate::completion::{api_key, request_timeout};
use crate::gateway::{CallAnswer, CallRequest, CallerGateway};
use crate::refusal::{outcome_response, refusal_response};

/// URL path prefix, followed by the service's name and the path within the service.
const SERVICE_PATH_PREFIX: &str = "/services/";

/// Headers that are addressed to the serving layer itself and are not forwarded to the service.
const CONSUMED_HEADERS: [&str; 2] = ["authorization", "x-request-timeout-ms"];

/// Serves one service call.
pub(crate) async fn call(
    gateway: &dyn CallerGateway,
    request: &HttpRequest,
    body: Result<Bytes, RefusalReason>,
    arrived: Instant,
) -> HttpResponse {
    match body.and_then(|body| parse(request, body, arrived)) {
        Ok(call) => answer_response(gateway.call(call).await),
        Err(reason) => refusal_response(gateway.refuse(reason)),
    }
}

fn parse(
    request: &HttpRequest,
    body: Bytes,
    arrived: Instant,
) -> Result<CallRequest, RefusalReason> {
    let path = request.path();
    let rest = path
        .strip_prefix(SERVICE_PATH_PREFIX)
        .ok_or(RefusalReason::UnknownService)?;
    let (service, inner) = rest.split_once('/').unwrap_or((rest, ""));
    let query = request.query_string();
    let path = if query.is_empty() {
        format!("/{inner}")
    } else {
        format!("/{inner}?{query}")
    };
    let is_consumed = |name: &HeaderName| CONSUMED_HEADERS.contains(&name.as_str());
    let mut headers = end_to_end_headers(request.headers());
    headers.retain(|(name, _)| !is_consumed(name));
    Ok(CallRequest {
        key: api_key(request)?,
        service: service.to_owned(),
        idempotency_key: idempotency_key(request)?,
        timeout: request_timeout(request)?,
        arrived,
        call: ServiceCall {
            method: request.method().clone(),
            path,
            headers,
            body,
        },
    })
}

fn idempotency_key(request: &HttpRequest) -> Result<String, RefusalReason> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(String::new());
    };
    let text = value.to_str().map_err(|_| RefusalReason::KeyInvalid)?;
    // The IETF draft for Idempotency-Key writes the key as a quoted string; unquoted keys are
    // common too.
    Ok(text.trim_matches('"').to_owned())
}

fn answer_response(answer: CallAnswer) -> HttpResponse {
    match answer {
        CallAnswer::Answered(answer) => forward_answer(answer),
        CallAnswer::Replayed(result) => HttpResponse::build(status_code(result.status))
            .header("idempotency-replayed", "true")
            .content_type(result.content_type.as_str())
            .body(result.body),
        CallAnswer::Failed(outcome) => outcome_response(&outcome),
    }
}

fn status_code(code: u16) -> ntex::http::StatusCode {
    ntex::http::StatusCode::from_u16(code).unwrap_or(ntex::http::StatusCode::BAD_GATEWAY)
}

fn forward_answer(answer: ServiceAnswer) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status);
    for (name, value) in answer.headers {
        response.header(name, value);
    }
    response.body(answer.body)
}
