//! Outcomes as HTTP answers.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use policy::outcome::{Refusal, RefusalReason, RequestOutcome, UnfinishedReason};

/// Whether a request that has no whole answer may have run.
#[derives::tag]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunStatement {
    /// It did not run.
    No,
    /// It may have run.
    Maybe,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct ErrorBody {
    reason: &'static str,
    ran: RunStatement,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct ErrorForm {
    error: ErrorBody,
}

impl From<&RequestOutcome> for ErrorForm {
    fn from(outcome: &RequestOutcome) -> Self {
        let error = match outcome {
            RequestOutcome::NotRun(refusal) => ErrorBody {
                reason: refusal.reason.code(),
                ran: RunStatement::No,
                retry_after_ms: (refusal.retry_after > 0).then_some(refusal.retry_after),
            },
            RequestOutcome::Unfinished(reason) => ErrorBody {
                reason: reason.code(),
                ran: RunStatement::Maybe,
                retry_after_ms: None,
            },
            RequestOutcome::Whole => ErrorBody {
                reason: "whole",
                ran: RunStatement::Maybe,
                retry_after_ms: None,
            },
        };
        Self { error }
    }
}

/// The final answer to a request that has no whole answer.
pub(crate) fn outcome_response(outcome: &RequestOutcome) -> HttpResponse {
    let mut response = HttpResponse::build(status(outcome));
    if let RequestOutcome::NotRun(refusal) = outcome
        && refusal.retry_after > 0
    {
        // Retry-After counts whole seconds (RFC 9110, section 10.2.3).
        let seconds = refusal.retry_after.div_ceil(1_000);
        response.header("retry-after", seconds.to_string());
    }
    response.json(&ErrorForm::from(outcome))
}

/// A refusal that was decided before the gateway saw the request.
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
        | UnfinishedReason::Quarantined => StatusCode::BAD_GATEWAY,
    }
}
