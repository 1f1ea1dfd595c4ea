//! HTTP responses for requests that have no complete answer.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use policy::outcome::{Refusal, RefusalReason, RequestOutcome, UnfinishedReason};

/// Whether a request without a complete answer may have run; written to the response body.
#[derives::tag]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum MayHaveRun {
    /// The request did not run.
    No,
    /// The request may have run.
    Maybe,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct ErrorDetail {
    reason: &'static str,
    ran: MayHaveRun,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct ErrorResponse {
    error: ErrorDetail,
}

impl From<&RequestOutcome> for ErrorResponse {
    fn from(outcome: &RequestOutcome) -> Self {
        let error = match outcome {
            RequestOutcome::NotRun(refusal) => ErrorDetail {
                reason: refusal.reason.code(),
                ran: MayHaveRun::No,
                retry_after_ms: (refusal.retry_after > 0).then_some(refusal.retry_after),
            },
            RequestOutcome::Unfinished(reason) => ErrorDetail {
                reason: reason.code(),
                ran: MayHaveRun::Maybe,
                retry_after_ms: None,
            },
            RequestOutcome::Whole => ErrorDetail {
                reason: "whole",
                ran: MayHaveRun::Maybe,
                retry_after_ms: None,
            },
        };
        Self { error }
    }
}

/// Builds the response to a request that has no complete answer.
pub(crate) fn outcome_response(outcome: &RequestOutcome) -> HttpResponse {
    let mut response = HttpResponse::build(status(outcome));
    if let RequestOutcome::NotRun(refusal) = outcome
        && refusal.retry_after > 0
    {
        // Retry-After has a resolution of one second (RFC 9110, section 10.2.3).
        let seconds = refusal.retry_after.div_ceil(1_000);
        response.header("retry-after", seconds.to_string());
    }
    response.json(&ErrorResponse::from(outcome))
}

/// Builds the response to a request that was refused before it reached the gateway.
pub(crate) fn refusal_response(refusal: Refusal) -> HttpResponse {
    outcome_response(&RequestOutcome::NotRun(refusal))
}

fn status(outcome: &RequestOutcome) -> StatusCode {
    match outcome {
        RequestOutcome::Whole => StatusCode::OK,
        RequestOutcome::NotRun(refusal) => refusal_status(refusal.reason),
        RequestOutcome::Unfinished(reason) => unfinished_status(*reason),
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest
        | RefusalReason::KeyMissing
        | RefusalReason::KeyInvalid
        | RefusalReason::KeyExpired => StatusCode::BAD_REQUEST,
        RefusalReason::BodyTooLarge | RefusalReason::PromptTooLarge => {
            StatusCode::PAYLOAD_TOO_LARGE
        }
        RefusalReason::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        RefusalReason::SlowCaller => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::UnknownAccount => StatusCode::UNAUTHORIZED,
        RefusalReason::UnknownModel | RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::AccountLimit | RefusalReason::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::DeadlineTooShort | RefusalReason::DeadlinePassed => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::Overloaded
        | RefusalReason::EndpointLimits
        | RefusalReason::NoEndpoint
        | RefusalReason::ModelLoading
        | RefusalReason::NotReady
        | RefusalReason::PlatformDown => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unfinished_status(reason: UnfinishedReason) -> StatusCode {
    match reason {
        UnfinishedReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        UnfinishedReason::ClaimHeld | UnfinishedReason::ResultNotKept => StatusCode::CONFLICT,
        UnfinishedReason::ConnectionLost
        | UnfinishedReason::EndpointLost
        | UnfinishedReason::CallerGone
        | UnfinishedReason::RetryBudget
        | UnfinishedReason::Quarantined
        | UnfinishedReason::InstanceStopped => StatusCode::BAD_GATEWAY,
    }
}
