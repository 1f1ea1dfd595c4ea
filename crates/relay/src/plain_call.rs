//! Calls to plain services.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::StatusCode;
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{EndpointTarget, RunOutcome};
use policy::ids::{EndpointId, Millis};
use policy::outcome::{Refusal, RefusalReason, RetryReason, UnfinishedReason};
use policy::part_blame::RunProgress;
use policy::rate_limit::PermitDecision;
use tokio::time::Instant;
use transport::ExchangeError;

use crate::answer::{RelayFailure, WholeAnswer, promises_not_run, strip_connection_headers};
use crate::connections::{ConnectionAge, ForwardRequest, GateRule, SendError, exchange_outcome};
use crate::core::{RelayCore, RunFailure};
use crate::dialect::{AnswerSignature, ForwardHead};
use crate::request::RelayRequest;

/// Largest number of endpoints tried for one request, including those that could not be reached.
const MAX_TRIES: u32 = 4;

/// Time without an answer after which a repeatable call is sent elsewhere, as a multiple of the
/// route's latency target.
const SILENCE_TARGETS: Millis = 2;

/// Least time left with which a call is still sent, in milliseconds.
const MIN_TIME_LEFT: Millis = 10;

/// Retry-after of a call that no endpoint could take, in milliseconds.
const NO_ENDPOINT_RETRY_AFTER: Millis = 500;

/// Retry-after of a call that endpoints refused as overloaded, in milliseconds.
const OVERLOADED_RETRY_AFTER: Millis = 300;

/// Shortest retry-after of a call that the limits of all endpoints hold back, in milliseconds.
const MIN_LIMIT_RETRY_AFTER: Millis = 300;

/// Why an attempt failed.
struct CallError {
    outcome: RunOutcome,
    /// Whether the endpoint may have run the call.
    ran: MayHaveRun,
    reason: RetryReason,
    /// Answer for the caller in case the call is not retried.
    answer: Option<WholeAnswer>,
}

#[derives::tag]
enum MayHaveRun {
    No,
    Yes,
}

impl CallError {
    fn new(outcome: RunOutcome, ran: MayHaveRun, reason: RetryReason) -> Self {
        Self {
            outcome,
            ran,
            reason,
            answer: None,
        }
    }
}

/// Counts a call as in flight on its endpoint until it is dropped.
struct CallGuard {
    core: Rc<RelayCore>,
    request: Rc<RelayRequest>,
    target: EndpointTarget,
    /// When the call was sent; `None` until then.
    sent_at: Cell<Option<Millis>>,
    outcome: Cell<RunOutcome>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let service = &self.request.service;
        if let Some(sent_at) = self.sent_at.get()
            && self.outcome.get() == RunOutcome::CallerLeft
        {
            let endpoint = &self.target.endpoint;
            self.core
                .run_abandoned(&self.request, endpoint, sent_at, RunProgress::default());
        }
        self.core.end_call(
            service,
            &self.target.endpoint,
            self.outcome.get(),
            self.sent_at.get(),
        );
    }
}

/// Serves one call, with retries.
///
/// Invariant: a call that may run at most once is sent again only while every endpoint that
/// received it has stated that it did not run it.
pub(crate) async fn serve_call(
    core: &Rc<RelayCore>,
    request: &Rc<RelayRequest>,
) -> Result<WholeAnswer, RelayFailure> {
    let mut excluded = Vec::new();
    let mut ran = MayHaveRun::No;
    let mut runs = 0;
    let mut heard_after = None;
    core.count_first_attempt(&request.service);
    for tries in 1..=MAX_TRIES {
        if request.time_left(core.now()) < MIN_TIME_LEFT {
            return Err(deadline_failure(ran));
        }
        core.admit_run(request)
            .map_err(|refusal| quarantine_failure(refusal, ran))?;
        let guard = start_call(core, request, &mut excluded, ran).await?;
        let sent_at = Instant::now();
        let error = match try_call(core, request, &guard, heard_after).await {
            Ok(answer) => {
                // An endpoint may still report an error while it goes down.
                if !answer.status.is_server_error() {
                    core.run_served(request);
                }
                return Ok(answer);
            }
            Err(error) => error,
        };
        if error.ran == MayHaveRun::Yes {
            let failure = RunFailure {
                outcome: error.outcome,
                reason: error.reason,
                progress: RunProgress::default(),
            };
            core.run_failed(request, &guard.target.endpoint, failure);
        }
        if error.outcome == RunOutcome::Silent {
            core.connections().silence_noticed(&guard.target, sent_at);
            heard_after = Some(sent_at);
        }
        if error.outcome == RunOutcome::NotConnected {
            core.endpoint_gone(&guard.target.endpoint);
        }
        guard.outcome.set(error.outcome);
        drop(guard);
        if error.ran == MayHaveRun::Yes {
            ran = MayHaveRun::Yes;
            runs += 1;
        }
        request.trace.may_have_run.set(ran == MayHaveRun::Yes);
        if !may_repeat(core, request, &error, runs, tries) {
            return final_answer(core, request, error, ran);
        }
        request.trace.retries.set(request.trace.retries.get() + 1);
        core.log_retry(request, error.reason);
    }
    Err(no_endpoint_failure(ran))
}

/// Picks an endpoint that may get the call now. An endpoint whose limit is used up is passed over
/// for the rest of the request.
async fn start_call(
    core: &Rc<RelayCore>,
    request: &Rc<RelayRequest>,
    excluded: &mut Vec<EndpointId>,
    ran: MayHaveRun,
) -> Result<CallGuard, RelayFailure> {
    let mut shortest_wait: Option<Millis> = None;
    loop {
        let Some(target) = core.start_call(&request.service, excluded) else {
            let held = core.backoff_wait(&request.service);
            return Err(match (shortest_wait.into_iter().chain(held).min(), ran) {
                (Some(wait), MayHaveRun::No) => {
                    let retry_after = wait.max(MIN_LIMIT_RETRY_AFTER);
                    RelayFailure::not_run(RefusalReason::EndpointLimits, retry_after)
                }
                _ => no_endpoint_failure(ran),
            });
        };
        excluded.push(target.endpoint.clone());
        let guard = CallGuard {
            core: Rc::clone(core),
            request: Rc::clone(request),
            target,
            sent_at: Cell::new(None),
            outcome: Cell::new(RunOutcome::CallerLeft),
        };
        if core.is_limited(&guard.target.endpoint) {
            let permit = core.placement().request_permit(&guard.target.endpoint);
            if let PermitDecision::Wait(wait) = permit.await {
                shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
                continue;
            }
        }
        guard.sent_at.set(Some(core.now()));
        return Ok(guard);
    }
}

fn may_repeat(
    core: &RelayCore,
    request: &RelayRequest,
    error: &CallError,
    runs: u32,
    tries: u32,
) -> bool {
    let route = &request.admitted.route;
    let is_allowed = error.ran == MayHaveRun::No
        || (route.repeat == RepeatRule::Repeatable && runs < route.attempts);
    // A call that was never sent reached no endpoint and does not use up the retry budget.
    let costs_retry = !matches!(error.outcome, RunOutcome::NotConnected | RunOutcome::NoPath);
    is_allowed && tries < MAX_TRIES && (!costs_retry || core.try_spend_retry(&request.service))
}

fn final_answer(
    core: &RelayCore,
    request: &RelayRequest,
    error: CallError,
    ran: MayHaveRun,
) -> Result<WholeAnswer, RelayFailure> {
    if let Some(answer) = error.answer {
        return Ok(answer);
    }
    if ran == MayHaveRun::Yes {
        if request.time_left(core.now()) < MIN_TIME_LEFT {
            return Err(deadline_failure(ran));
        }
        return Err(RelayFailure::Unfinished(UnfinishedReason::ConnectionLost));
    }
    match error.outcome {
        RunOutcome::Refused => Err(RelayFailure::not_run(
            RefusalReason::Overloaded,
            OVERLOADED_RETRY_AFTER,
        )),
        _ => Err(no_endpoint_failure(ran)),
    }
}

fn deadline_failure(ran: MayHaveRun) -> RelayFailure {
    match ran {
        MayHaveRun::No => {
            RelayFailure::not_run(RefusalReason::DeadlinePassed, NO_ENDPOINT_RETRY_AFTER)
        }
        MayHaveRun::Yes => RelayFailure::Unfinished(UnfinishedReason::DeadlinePassed),
    }
}

fn quarantine_failure(refusal: Refusal, ran: MayHaveRun) -> RelayFailure {
    match ran {
        MayHaveRun::No => RelayFailure::NotRun(refusal),
        MayHaveRun::Yes => RelayFailure::Unfinished(UnfinishedReason::Quarantined),
    }
}

fn no_endpoint_failure(ran: MayHaveRun) -> RelayFailure {
    match ran {
        MayHaveRun::No => RelayFailure::not_run(RefusalReason::NoEndpoint, NO_ENDPOINT_RETRY_AFTER),
        MayHaveRun::Yes => RelayFailure::Unfinished(UnfinishedReason::EndpointLost),
    }
}

async fn try_call(
    core: &RelayCore,
    request: &RelayRequest,
    guard: &CallGuard,
    heard_after: Option<Instant>,
) -> Result<WholeAnswer, CallError> {
    let left = request.time_left(core.now());
    let route = &request.admitted.route;
    let timeout = match route.repeat {
        RepeatRule::Repeatable => left.min(route.aim * SILENCE_TARGETS),
        RepeatRule::Once => left,
    };
    let head = ForwardHead {
        endpoint: &guard.target.endpoint,
        time_left: left,
        account: request.admitted.account.as_ref(),
        helpers: &[],
        resume_after: None,
    };
    let call = ForwardRequest {
        target: &guard.target,
        helpers: &[],
        method: request.method.as_str(),
        path_and_query: &request.path_and_query,
        headers: request.forward_headers(core.dialect(), &head),
        body: request.body.clone(),
        repeat: route.repeat,
        gate: GateRule::Observed,
        heard_after,
    };
    let endpoints = &request.trace.endpoints;
    endpoints.borrow_mut().push(guard.target.endpoint.clone());
    request.trace.may_have_run.set(true);
    let exchange = async {
        let answer = core.connections().send(call).await?;
        if answer.is_tunnelled {
            request.trace.tunnels.set(request.trace.tunnels.get() + 1);
        }
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        let max_bytes = request.catalog.bounds().body_bytes;
        let whole = WholeAnswer {
            status: answer.status,
            headers,
            body: answer.body.read_whole(max_bytes).await?,
        };
        Ok((whole, answer.connection))
    };
    let timed = tokio::time::timeout(Duration::from_millis(timeout), exchange).await;
    let (answer, connection) = timed
        .unwrap_or(Err(ExchangeError::Silent.into()))
        .map_err(exchange_error)?;
    validate_answer(core, request, guard, answer, connection)
}

fn exchange_error(error: SendError) -> CallError {
    let (outcome, reason) = exchange_outcome(error);
    let ran = match outcome {
        RunOutcome::NotConnected | RunOutcome::NoPath => MayHaveRun::No,
        _ => MayHaveRun::Yes,
    };
    CallError::new(outcome, ran, reason)
}

/// Accepts only a signed answer to this request; anything else is an error.
fn validate_answer(
    core: &RelayCore,
    request: &RelayRequest,
    guard: &CallGuard,
    answer: WholeAnswer,
    connection: ConnectionAge,
) -> Result<WholeAnswer, CallError> {
    let head = core.dialect().read_answer(answer.status, &answer.headers);
    let id = request.head.request_id.as_str();
    let matches_request = head.names_request(id);
    let is_refused = head.refuses(id, connection);
    if matches_request && answer.status != StatusCode::MISDIRECTED_REQUEST {
        let sent_at = guard.sent_at.get().unwrap_or(0);
        core.heard_limit(&guard.target.endpoint, head.rate_limit, sent_at);
        core.heard_cold(&guard.target.endpoint, head.cold_left);
    }
    if is_refused {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            core.endpoint_gone(&guard.target.endpoint);
        }
        return Err(CallError::new(
            RunOutcome::Refused,
            MayHaveRun::No,
            RetryReason::EndpointRefused,
        ));
    }
    if !matches_request || head.signed == AnswerSignature::Unsigned {
        return Err(CallError::new(
            RunOutcome::Broken,
            MayHaveRun::Yes,
            RetryReason::FrameRejected,
        ));
    }
    if promises_not_run(answer.status) {
        return Err(CallError::new(
            RunOutcome::Failed,
            MayHaveRun::Yes,
            RetryReason::EndpointRefused,
        ));
    }
    let is_repeatable = request.admitted.route.repeat == RepeatRule::Repeatable;
    if answer.status >= StatusCode::INTERNAL_SERVER_ERROR && is_repeatable {
        let mut error = CallError::new(
            RunOutcome::Failed,
            MayHaveRun::Yes,
            RetryReason::EndpointRefused,
        );
        error.answer = Some(answer);
        return Err(error);
    }
    guard.outcome.set(RunOutcome::Served);
    Ok(answer)
}
