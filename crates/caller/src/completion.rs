//! Handling of completions and chat completions.

use std::borrow::Cow;

use futures::StreamExt;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use policy::outcome::RefusalReason;
use policy::prefix::prompt_prefixes;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::answer::{buffered_response, streamed_response};
use crate::gateway::{AnswerPart, ApiKeyDigest, CallerGateway, CompletionKind, CompletionRequest};
use crate::refusal::{outcome_response, refusal_response};

/// The fields of a completion's body that routing reads; the body is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct CompletionFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Whether the caller asked for a stream of events or for one JSON body.
#[derives::tag]
enum AnswerDelivery {
    Streamed,
    Buffered,
}

/// Serves one completion request.
pub(crate) async fn complete(
    gateway: &dyn CallerGateway,
    kind: CompletionKind,
    request: &HttpRequest,
    body: Result<Bytes, RefusalReason>,
    arrived: Instant,
) -> HttpResponse {
    let parsed = body.and_then(|body| parse(kind, request, &body, arrived));
    let (completion, delivery) = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return refusal_response(gateway.refuse(reason)),
    };
    let model = completion.model.clone();
    let mut parts = gateway.complete(completion);
    let first = match parts.next().await {
        Some(AnswerPart::Failed(outcome)) => return outcome_response(&outcome),
        Some(first) => first,
        None => AnswerPart::End,
    };
    match delivery {
        AnswerDelivery::Streamed => streamed_response(kind, model, first, parts),
        AnswerDelivery::Buffered => buffered_response(kind, &model, first, parts).await,
    }
}

fn parse(
    kind: CompletionKind,
    request: &HttpRequest,
    body: &Bytes,
    arrived: Instant,
) -> Result<(CompletionRequest, AnswerDelivery), RefusalReason> {
    let key = api_key(request)?;
    let timeout = request_timeout(request)?;
    let fields: CompletionFields<'_> =
        serde_json::from_slice(body).map_err(|_| RefusalReason::BadRequest)?;
    let prompt = match kind {
        CompletionKind::Text => fields.prompt,
        CompletionKind::Chat => fields.messages,
    };
    let prompt = prompt.ok_or(RefusalReason::BadRequest)?.get();
    let delivery = if fields.stream {
        AnswerDelivery::Streamed
    } else {
        AnswerDelivery::Buffered
    };
    let completion = CompletionRequest {
        kind,
        key,
        model: fields.model.into_owned(),
        prompt_bytes: prompt.len() as u64,
        prefixes: prompt_prefixes(prompt.as_bytes()),
        max_tokens: fields.max_tokens.or(fields.max_completion_tokens),
        timeout,
        arrived,
        body: body.clone(),
    };
    Ok((completion, delivery))
}

/// Scheme of the `Authorization` header; its case does not matter.
const KEY_SCHEME: &str = "Bearer";

/// Reads the API key from `Authorization: Bearer` and returns its digest.
pub(crate) fn api_key(request: &HttpRequest) -> Result<ApiKeyDigest, RefusalReason> {
    request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(KEY_SCHEME))
        .map(|(_, key)| ApiKeyDigest::new(key))
        .ok_or(RefusalReason::UnknownAccount)
}

/// Reads the caller's timeout in milliseconds from `X-Request-Timeout-Ms`; `None` without the
/// header.
pub(crate) fn request_timeout(request: &HttpRequest) -> Result<Option<u64>, RefusalReason> {
    let Some(value) = request.headers().get("x-request-timeout-ms") else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalReason::BadRequest)?;
    let millis = text.parse().map_err(|_| RefusalReason::BadRequest)?;
    Ok(Some(millis))
}
