//! What serves the callers' requests, as a trait at the border of the package.

use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;
use ntex::util::Bytes;
use policy::claim::KeptResult;
use policy::outcome::{Refusal, RefusalReason, RequestOutcome};
use policy::prefix::PromptPrefix;
use service::{ServiceAnswer, ServiceCall};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

/// SHA-256 of an API key, in lower-case hexadecimal digits.
#[derives::value]
pub struct KeyDigest(String);

impl KeyDigest {
    /// The digest of an API key.
    #[must_use]
    pub fn new(api_key: &str) -> Self {
        use std::fmt::Write;
        let mut text = String::with_capacity(64);
        for byte in Sha256::digest(api_key.as_bytes()) {
            write!(text, "{byte:02x}").expect("a string takes any text");
        }
        Self(text)
    }

    /// The digest as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Which of the two interfaces a completion came by.
#[derives::tag]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// The interface's path, which engines share.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// A completion that a caller asked for.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The interface that it came by.
    pub kind: CompletionKind,
    /// The caller's API key.
    pub key: KeyDigest,
    /// The model, as the caller wrote it.
    pub model: String,
    /// Bytes of the prompt or messages.
    pub prompt_bytes: u64,
    /// The prompt's prefixes, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// The caller's bound on generated tokens; none for the template's.
    pub max_tokens: Option<u64>,
    /// Milliseconds that the caller gives; none for the default.
    pub timeout: Option<u64>,
    /// When the request arrived.
    pub arrived: Instant,
    /// The caller's body, unchanged.
    pub body: Bytes,
}

/// One part of an answer.
#[derives::value]
pub enum AnswerPart {
    /// Generated text, after everything before it.
    Text(String),
    /// The answer is whole.
    End,
    /// The request ended otherwise; nothing follows.
    Failed(RequestOutcome),
}

/// An answer's parts; dropping it cancels the request.
pub type AnswerStream = LocalBoxStream<'static, AnswerPart>;

/// A call of a plain service that a caller asked for.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The caller's API key.
    pub key: KeyDigest,
    /// The service's name.
    pub service: String,
    /// The caller's idempotency key, empty for none.
    pub idempotency_key: String,
    /// Milliseconds that the caller gives; none for the default.
    pub timeout: Option<u64>,
    /// When the request arrived.
    pub arrived: Instant,
    /// The call, to be passed on.
    pub call: ServiceCall,
}

/// The answer to a service call.
#[derive(Debug, Clone)]
pub enum CallAnswer {
    /// The service's answer.
    Answered(ServiceAnswer),
    /// The first answer to a call that was sent again.
    Replayed(KeptResult),
    /// The call ended otherwise.
    Failed(RequestOutcome),
}

/// Whether the balancer should send requests here.
#[derives::tag]
pub enum Readiness {
    /// It should.
    Ready,
    /// It should not: the instance starts, drains or has not confirmed its configuration.
    NotReady,
}

/// Serves the callers' requests, on one worker thread.
pub trait CallerGateway {
    /// Answers a completion. The first part decides between an answer and a refusal.
    fn complete(&self, request: CompletionRequest) -> AnswerStream;

    /// Calls a plain service.
    fn call(&self, request: CallRequest) -> LocalBoxFuture<'static, CallAnswer>;

    /// Counts a request that was refused before it got here, and says when to come back.
    fn refuse(&self, reason: RefusalReason) -> Refusal;

    /// Whether the balancer should send requests here.
    fn readiness(&self) -> Readiness;

    /// The metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
