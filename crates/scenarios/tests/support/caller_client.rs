//! Caller client: sends completions and service calls and reads the answers.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use ntex::http::Method;
use ntex::util::Bytes;
use serde_json::{Value, json};
use uuid::Uuid;

use super::fleet::{API_KEY, EntryInstance, Fleet, MODEL};

/// How a streamed answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// With the `[DONE]` event.
    Whole,
    /// With an `error` event or a status other than 200; the fields come from the `error` member.
    Error { reason: String, ran: String },
    /// Without either: the connection was lost or refused.
    ConnectionLost,
}

/// A streamed answer from the caller's point of view.
#[derive(Debug, Clone)]
pub struct StreamedAnswer {
    pub status: u16,
    pub text: String,
    pub end: AnswerEnd,
    pub first_token: Duration,
    pub elapsed: Duration,
    pub retry_after: String,
}

/// Prompt, answer length and timeout of a completion.
#[derive(Debug, Clone)]
pub struct CompletionPlan {
    pub prompt: String,
    pub tokens: u64,
    pub timeout_ms: u64,
}

impl CompletionPlan {
    pub fn new(prompt: &str, tokens: u64) -> Self {
        Self {
            prompt: prompt.to_owned(),
            tokens,
            timeout_ms: 15_000,
        }
    }

    pub fn with_timeout(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// Answer of a service call from the caller's point of view; the status is 0 if none arrived.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    pub status: u16,
    pub body: Value,
    pub replayed: bool,
    pub elapsed: Duration,
}

impl CallAnswer {
    pub fn reason(&self) -> &str {
        self.body["error"]["reason"].as_str().unwrap_or("")
    }

    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or("")
    }
}

pub fn new_idempotency_key() -> String {
    Uuid::now_v7().to_string()
}

impl Fleet {
    /// Sends a completion and reads the streamed answer to its end.
    pub async fn complete(&self, at: &EntryInstance, plan: &CompletionPlan) -> StreamedAnswer {
        self.complete_with(at, plan, async |_| {}).await
    }

    /// Like [`Self::complete`], but calls `on_text` with the text so far after each event that
    /// carries text.
    pub async fn complete_with(
        &self,
        at: &EntryInstance,
        plan: &CompletionPlan,
        on_text: impl AsyncFn(&str),
    ) -> StreamedAnswer {
        let body = json!({
            "model": MODEL,
            "prompt": plan.prompt,
            "max_tokens": plan.tokens,
            "stream": true,
        });
        let url = format!("http://{}/v1/completions", at.callers);
        let request = self
            .client
            .request(Method::POST, &url)
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("x-request-timeout-ms", plan.timeout_ms.to_string());
        let start = Instant::now();
        let response = self.client.send(request, body.to_string().into()).await;
        let mut answer = StreamedAnswer {
            status: 0,
            text: String::new(),
            end: AnswerEnd::ConnectionLost,
            first_token: Duration::MAX,
            elapsed: Duration::MAX,
            retry_after: String::new(),
        };
        let Ok(response) = response else {
            answer.elapsed = start.elapsed();
            return answer;
        };
        answer.status = response.status().as_u16();
        if let Some(value) = response.headers().get("retry-after") {
            answer.retry_after = value.to_str().unwrap_or("").to_owned();
        }
        if answer.status != 200 {
            let body = self.client.read_body(&response).await.unwrap_or_default();
            answer.end = error_end(&String::from_utf8_lossy(&body));
            answer.elapsed = start.elapsed();
            return answer;
        }
        let mut events = response.eventsource();
        while let Some(Ok(event)) = events.next().await {
            if event.event == "error" {
                answer.end = error_end(&event.data);
            } else if event.data == "[DONE]" {
                answer.end = AnswerEnd::Whole;
            } else {
                if answer.text.is_empty() {
                    answer.first_token = start.elapsed();
                }
                let chunk: Value = serde_json::from_str(&event.data).expect("a chunk is JSON");
                let text = chunk["choices"][0]["text"].as_str().unwrap_or("");
                answer.text.push_str(text);
                on_text(&answer.text).await;
            }
        }
        answer.elapsed = start.elapsed();
        answer
    }

    /// Sends a service call.
    pub async fn call(
        &self,
        at: &EntryInstance,
        service: &str,
        call: &str,
        key: &str,
        timeout_ms: u64,
    ) -> CallAnswer {
        let url = format!("http://{}/services/{service}/run", at.callers);
        let mut request = self
            .client
            .request(Method::POST, &url)
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("x-request-timeout-ms", timeout_ms.to_string())
            .header("x-call", call);
        if !key.is_empty() {
            request = request.header("idempotency-key", key);
        }
        let start = Instant::now();
        let Ok(response) = self.client.send(request, Bytes::from_static(b"{}")).await else {
            return CallAnswer {
                status: 0,
                body: Value::Null,
                replayed: false,
                elapsed: start.elapsed(),
            };
        };
        let body = self.client.read_body(&response).await.unwrap_or_default();
        CallAnswer {
            status: response.status().as_u16(),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
            replayed: response.headers().contains_key("idempotency-replayed"),
            elapsed: start.elapsed(),
        }
    }
}

fn error_end(text: &str) -> AnswerEnd {
    let body: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    let member = |name: &str| body["error"][name].as_str().unwrap_or("").to_owned();
    AnswerEnd::Error {
        reason: member("reason"),
        ran: member("ran"),
    }
}
