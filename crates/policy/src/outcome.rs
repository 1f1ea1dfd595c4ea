//! Outcomes of requests, and the reasons for refusals and retries.

use crate::ids::Millis;

/// Why a request was refused before any endpoint could have started it.
#[derives::tag]
pub enum RefusalReason {
    /// The body is not valid JSON or lacks a field.
    BadRequest,
    /// The body is larger than the settings allow.
    BodyTooLarge,
    /// The request head is larger than the settings allow.
    HeadersTooLarge,
    /// The caller sent its body more slowly than the settings allow.
    SlowCaller,
    /// No client account has this API key.
    UnknownAccount,
    /// The account's template does not name the model.
    UnknownModel,
    /// No service has this name, or the account's template does not name it.
    UnknownService,
    /// The prompt exceeds the memory of every permitted set of endpoints.
    PromptTooLarge,
    /// The request cannot be served before its deadline.
    DeadlineTooShort,
    /// The queue of the pool is full.
    Overloaded,
    /// The account exceeds its fair share of a congested queue.
    AccountLimit,
    /// Every candidate endpoint limits its requests, and the limits are used up.
    EndpointLimits,
    /// Every candidate endpoint is down, leaving or excluded.
    NoEndpoint,
    /// No endpoint has loaded the model yet.
    ModelLoading,
    /// The retry budget of the account or endpoint is exhausted.
    RetryBudget,
    /// The prompt is quarantined because endpoints crashed while running it.
    Quarantined,
    /// The instance is draining or has not confirmed its configuration.
    NotReady,
    /// The call is not idempotent and has no idempotency key.
    KeyMissing,
    /// The idempotency key is not a version 7 UUID.
    KeyInvalid,
    /// The idempotency key is older than the retention window.
    KeyExpired,
    /// The key-value service is unavailable, so the idempotency key cannot be claimed.
    PlatformDown,
    /// The deadline passed before an attempt was sent.
    DeadlinePassed,
}

impl RefusalReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 22] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
        Self::SlowCaller,
        Self::UnknownAccount,
        Self::UnknownModel,
        Self::UnknownService,
        Self::PromptTooLarge,
        Self::DeadlineTooShort,
        Self::Overloaded,
        Self::AccountLimit,
        Self::EndpointLimits,
        Self::NoEndpoint,
        Self::ModelLoading,
        Self::RetryBudget,
        Self::Quarantined,
        Self::NotReady,
        Self::KeyMissing,
        Self::KeyInvalid,
        Self::KeyExpired,
        Self::PlatformDown,
        Self::DeadlinePassed,
    ];

    /// Stable machine-readable code, used in answers and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadersTooLarge => "headers_too_large",
            Self::SlowCaller => "slow_caller",
            Self::UnknownAccount => "unknown_account",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::PromptTooLarge => "prompt_too_large",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::Overloaded => "overloaded",
            Self::AccountLimit => "account_limit",
            Self::EndpointLimits => "endpoint_limits",
            Self::NoEndpoint => "no_endpoint",
            Self::ModelLoading => "model_loading",
            Self::RetryBudget => "retry_budget",
            Self::Quarantined => "quarantined",
            Self::NotReady => "not_ready",
            Self::KeyMissing => "idempotency_key_missing",
            Self::KeyInvalid => "idempotency_key_invalid",
            Self::KeyExpired => "idempotency_key_expired",
            Self::PlatformDown => "platform_down",
            Self::DeadlinePassed => "deadline_passed",
        }
    }

    /// The reason whose [`code`](Self::code) is `code`.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }
}

/// Why a request that may have run has no complete answer.
#[derives::tag]
pub enum UnfinishedReason {
    /// The deadline passed while an attempt was running.
    DeadlinePassed,
    /// The connection was lost after the call was sent, and the call is not idempotent.
    ConnectionLost,
    /// The endpoint was lost and the answer could not be resumed on another one.
    EndpointLost,
    /// Another attempt with the same idempotency key holds the claim.
    ClaimHeld,
    /// The first answer was too large to be stored with its claim.
    ResultNotKept,
    /// The caller closed its connection.
    CallerGone,
    /// The retry budget was exhausted after a stream had started.
    RetryBudget,
    /// The prompt was quarantined while it ran.
    Quarantined,
    /// The instance stopped before the answer was whole.
    InstanceStopped,
}

impl UnfinishedReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 9] = [
        Self::DeadlinePassed,
        Self::ConnectionLost,
        Self::EndpointLost,
        Self::ClaimHeld,
        Self::ResultNotKept,
        Self::CallerGone,
        Self::RetryBudget,
        Self::Quarantined,
        Self::InstanceStopped,
    ];

    /// Stable machine-readable code, used in answers and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline_passed_running",
            Self::ConnectionLost => "connection_lost",
            Self::EndpointLost => "endpoint_lost",
            Self::ClaimHeld => "idempotency_key_in_use",
            Self::ResultNotKept => "result_not_kept",
            Self::CallerGone => "caller_gone",
            Self::RetryBudget => "retry_budget_running",
            Self::Quarantined => "quarantined_running",
            Self::InstanceStopped => "instance_stopped",
        }
    }
}

/// The final outcome of a request.
#[derives::value]
pub enum RequestOutcome {
    /// The complete answer was delivered.
    Whole,
    /// No attempt can have run.
    NotRun(Refusal),
    /// An attempt may have run; the answer is incomplete.
    Unfinished(UnfinishedReason),
}

/// The reason for a refusal, with a retry-after time.
#[derives::value]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Milliseconds after which the caller may retry.
    pub retry_after: Millis,
}

impl Refusal {
    /// Creates a refusal; `retry_after` is in milliseconds.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Millis) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}

/// Why an attempt was retried.
#[derives::tag]
pub enum RetryReason {
    /// No connection could be established.
    ConnectFailed,
    /// The endpoint refused the attempt before starting it.
    EndpointRefused,
    /// The stream closed before its end frame.
    StreamClosed,
    /// No frame arrived within the progress timeout.
    StreamSilent,
    /// A frame belonged to another attempt or arrived out of order.
    FrameRejected,
}

impl RetryReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::ConnectFailed,
        Self::EndpointRefused,
        Self::StreamClosed,
        Self::StreamSilent,
        Self::FrameRejected,
    ];

    /// Stable machine-readable code, used in metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::EndpointRefused => "endpoint_refused",
            Self::StreamClosed => "stream_closed",
            Self::StreamSilent => "stream_silent",
            Self::FrameRejected => "frame_rejected",
        }
    }

    /// The reason whose [`code`](Self::code) is `code`.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.code() == code)
    }
}
