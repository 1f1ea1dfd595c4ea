//! Interface between the HTTP handlers and the code that serves callers' requests.

use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;
use ntex::util::Bytes;
use policy::claim::KeptResult;
use policy::outcome::{Refusal, RefusalReason, RequestOutcome};
use policy::prefix::PromptPrefix;
use service::{ServiceAnswer, ServiceCall};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

/// SHA-256 digest of an API key, in lower-case hexadecimal digits.
#[derives::value]
pub struct ApiKeyDigest(String);

impl ApiKeyDigest {
    /// Computes the digest of `api_key`.
    #[must_use]
    pub fn new(api_key: &str) -> Self {
        use std::fmt::Write;
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(api_key.as_bytes()) {
            write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        }
        Self(text)
    }

    /// The 64 hexadecimal digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The interface through which a completion was requested.
#[derives::tag]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// URL path of the interface; engines serve it under the same path.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// A caller's request for a completion.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The interface through which the request arrived.
    pub kind: CompletionKind,
    /// Digest of the caller's API key.
    pub key: ApiKeyDigest,
    /// Name of the model as the caller gave it.
    pub model: String,
    /// Length in bytes of the JSON text of the prompt or the messages.
    pub prompt_bytes: u64,
    /// Hashed prefixes of the prompt, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// The caller's limit on generated tokens; `None` applies the template's limit.
    pub max_tokens: Option<u64>,
    /// The caller's timeout in milliseconds; `None` applies the default.
    pub timeout: Option<u64>,
    /// Time of arrival.
    pub arrived: Instant,
    /// The caller's request body, unchanged.
    pub body: Bytes,
}

/// One part of an answer.
#[derives::value]
pub enum AnswerPart {
    /// Generated text that continues the text of the preceding parts.
    Text(String),
    /// The answer is complete.
    End,
    /// The request ended without a complete answer; no part follows.
    Failed(RequestOutcome),
}

/// The parts of an answer in order. Dropping the stream cancels the request.
pub type AnswerStream = LocalBoxStream<'static, AnswerPart>;

/// A caller's call of a plain service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Digest of the caller's API key.
    pub key: ApiKeyDigest,
    /// Name of the service.
    pub service: String,
    /// The caller's idempotency key; empty if the caller sent none.
    pub idempotency_key: String,
    /// The caller's timeout in milliseconds; `None` applies the default.
    pub timeout: Option<u64>,
    /// Time of arrival.
    pub arrived: Instant,
    /// The call to forward to an endpoint.
    pub call: ServiceCall,
}

/// Outcome of a service call.
#[derive(Debug, Clone)]
pub enum CallAnswer {
    /// The service answered this call.
    Answered(ServiceAnswer),
    /// The call repeats an earlier one with the same idempotency key, whose stored answer is
    /// returned.
    Replayed(KeptResult),
    /// The call ended without a complete answer.
    Failed(RequestOutcome),
}

/// Whether the load balancer should send requests to this instance.
#[derives::tag]
pub enum Readiness {
    /// The instance accepts requests.
    Ready,
    /// The instance is starting or draining, or has not confirmed its configuration.
    NotReady,
}

/// Serves callers' requests on one worker thread.
pub trait CallerGateway {
    /// Serves a completion. If the first part is [`AnswerPart::Failed`], the caller receives an
    /// HTTP error in place of an answer.
    fn complete(&self, request: CompletionRequest) -> AnswerStream;

    /// Forwards a call to a plain service.
    fn call(&self, request: CallRequest) -> LocalBoxFuture<'static, CallAnswer>;

    /// Counts a request that the HTTP handlers refused, and returns the refusal with its
    /// retry-after time.
    fn refuse(&self, reason: RefusalReason) -> Refusal;

    /// Whether the load balancer should send requests to this instance.
    fn readiness(&self) -> Readiness;

    /// The metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
