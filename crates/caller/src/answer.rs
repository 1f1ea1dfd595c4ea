//! An answer's parts as server-sent events or as one JSON body.

use std::convert::Infallible;

use futures::stream::{once, unfold};
use futures::{Stream, StreamExt};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_json::{Value, json};

use crate::gateway::{AnswerPart, AnswerStream, CompletionKind};
use crate::refusal::{ErrorForm, outcome_response};

/// The mark after a whole streamed answer.
const DONE_MARK: &str = "data: [DONE]\n\n";

/// Streams an answer whose first part is at hand.
///
/// Invariant: the stream ends with the done mark or with an `error` event, never silently.
pub(crate) fn event_stream(
    kind: CompletionKind,
    model: String,
    first: AnswerPart,
    rest: AnswerStream,
) -> HttpResponse {
    let parts = once(async { first }).chain(rest);
    let events = write_events(kind, model, parts.boxed_local());
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(events))
}

enum EventPhase {
    Open,
    Ended,
}

fn write_events(
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
            let (event, phase) = write_part(kind, &model, &part);
            Some((Ok(Bytes::from(event)), (parts, phase)))
        }
    })
}

fn write_part(kind: CompletionKind, model: &str, part: &AnswerPart) -> (String, EventPhase) {
    match part {
        AnswerPart::Text(text) => {
            let chunk = chunk(kind, model, text, &Value::Null);
            (format!("data: {chunk}\n\n"), EventPhase::Open)
        }
        AnswerPart::End => {
            let chunk = chunk(kind, model, "", &json!("stop"));
            (format!("data: {chunk}\n\n{DONE_MARK}"), EventPhase::Ended)
        }
        AnswerPart::Failed(outcome) => {
            let error = json!(ErrorForm::from(outcome));
            (
                format!("event: error\ndata: {error}\n\n"),
                EventPhase::Ended,
            )
        }
    }
}

fn chunk(kind: CompletionKind, model: &str, text: &str, finish: &Value) -> Value {
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

/// Gathers an answer whose first part is at hand; half an answer is never handed on.
pub(crate) async fn collect_whole(
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
    HttpResponse::Ok().json(&whole(kind, model, &text))
}

fn whole(kind: CompletionKind, model: &str, text: &str) -> Value {
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
