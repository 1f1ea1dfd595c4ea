//! Encodes an answer as server-sent events or as one JSON body.

use std::convert::Infallible;

use futures::stream::{once, unfold};
use futures::{Stream, StreamExt};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_json::{Value, json};

use crate::gateway::{AnswerPart, AnswerStream, CompletionKind};
use crate::refusal::{ErrorResponse, outcome_response};

/// The event that ends a complete streamed answer.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Builds the streamed response from the first part, already received, and the rest.
///
/// Invariant: the stream ends with [`DONE_EVENT`] or with an `error` event, never without either.
pub(crate) fn streamed_response(
    kind: CompletionKind,
    model: String,
    first: AnswerPart,
    rest: AnswerStream,
) -> HttpResponse {
    let parts = once(async { first }).chain(rest);
    let events = encode_events(kind, model, parts.boxed_local());
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(events))
}

enum EventPhase {
    Open,
    Ended,
}

fn encode_events(
    kind: CompletionKind,
    model: String,
    parts: AnswerStream,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let start = (parts, EventPhase::Open);
    unfold(start, move |(mut parts, phase)| {
        let model = model.clone();
        async move {
            if let EventPhase::Ended = phase {
                return None;
            }
            let part = parts.next().await?;
            let (event, phase) = encode_part(kind, &model, &part);
            Some((Ok(Bytes::from(event)), (parts, phase)))
        }
    })
}

fn encode_part(kind: CompletionKind, model: &str, part: &AnswerPart) -> (String, EventPhase) {
    match part {
        AnswerPart::Text(text) => {
            let chunk = chunk_json(kind, model, text, &Value::Null);
            (format!("data: {chunk}\n\n"), EventPhase::Open)
        }
        AnswerPart::End => {
            let chunk = chunk_json(kind, model, "", &json!("stop"));
            (format!("data: {chunk}\n\n{DONE_EVENT}"), EventPhase::Ended)
        }
        AnswerPart::Failed(outcome) => {
            let error = json!(ErrorResponse::from(outcome));
            (
                format!("event: error\ndata: {error}\n\n"),
                EventPhase::Ended,
            )
        }
    }
}

fn chunk_json(kind: CompletionKind, model: &str, text: &str, finish: &Value) -> Value {
    match kind {
        CompletionKind::Text => json!({
            "object": "text_completion",
            "model": model,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish }],
        }),
        CompletionKind::Chat => json!({
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": finish }],
        }),
    }
}

/// Collects the first part, already received, and the rest into one JSON response. A partial answer
/// is discarded: a failure at any part yields the error response alone.
pub(crate) async fn buffered_response(
    kind: CompletionKind,
    model: &str,
    first: AnswerPart,
    rest: AnswerStream,
) -> HttpResponse {
    let mut text = String::new();
    let mut parts = once(async { first }).chain(rest).boxed_local();
    while let Some(part) = parts.next().await {
        match part {
            AnswerPart::Text(more) => text.push_str(&more),
            AnswerPart::Failed(outcome) => return outcome_response(&outcome),
            AnswerPart::End => break,
        }
    }
    HttpResponse::Ok().json(&completion_json(kind, model, &text))
}

fn completion_json(kind: CompletionKind, model: &str, text: &str) -> Value {
    match kind {
        CompletionKind::Text => json!({
            "object": "text_completion",
            "model": model,
            "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
        }),
        CompletionKind::Chat => json!({
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
        }),
    }
}
