//! Calls to plain services.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::StatusCode;
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{EndpointTarget, RunOutcome};
use policy::ids::Millis;
use policy::outcome::{RefusalReason, RetryReason, UnfinishedReason};
use transport::ExchangeFault;

use crate::answer::{RelayFailure, WholeAnswer, strip_connection_headers};
use crate::core::RelayCore;
use crate::dialect::{AnswerSignature, ForwardHead, RunStatement};
use crate::links::{ForwardCall, exchange_end};
use crate::request::RelayRequest;

/// Endpoints tried at most for one request, those that could not be reached included.
const MOST_TRIES: u32 = 4;

/// A repeatable call is sent elsewhere after this many times its aim without an answer.
const SILENT_AIMS: Millis = 2;

/// Least time left for which a call is still sent, in milliseconds.
const LEAST_TIME: Millis = 10;

/// Return time of a call that no endpoint could take, in milliseconds.
const NO_ENDPOINT_RETURN: Millis = 500;

/// Return time of a call that endpoints refused as full, in milliseconds.
const FULL_RETURN: Millis = 300;

/// Why a try gave no answer.
struct TryFault {
    end: RunOutcome,
    /// Whether the call may have run.
    ran: MayHaveRun,
    reason: RetryReason,
    /// An answer that may be passed on if the call is not repeated.
    answer: Option<WholeAnswer>,
}

#[derives::tag]
enum MayHaveRun {
    No,
    Yes,
}

impl TryFault {
    fn new(end: RunOutcome, ran: MayHaveRun, reason: RetryReason) -> Self {
        Self {
            end,
            ran,
            reason,
            answer: None,
        }
    }
}

/// Counts a call on an endpoint for as long as it lasts.
struct CallGuard {
    core: Rc<RelayCore>,
    request: Rc<RelayRequest>,
    place: EndpointTarget,
    end: Cell<RunOutcome>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let service = &self.request.service;
        self.core
            .end_call(service, &self.place.endpoint, self.end.get());
    }
}

/// Serves one call.
///
/// Invariant: a call that may run at most once is sent again only while every endpoint that it
/// was sent to has said that it has not run it.
pub(crate) async fn serve_call(
    core: &Rc<RelayCore>,
    request: &Rc<RelayRequest>,
) -> Result<WholeAnswer, RelayFailure> {
    let mut excluded = Vec::new();
    let mut ran = MayHaveRun::No;
    let mut runs = 0;
    core.count_first(&request.service);
    for tries in 1..=MOST_TRIES {
        if request.time_left(core.now()) < LEAST_TIME {
            return Err(deadline_failure(ran));
        }
        let Some(place) = core.start_call(&request.service, &excluded) else {
            return Err(no_endpoint_failure(ran));
        };
        excluded.push(place.endpoint.clone());
        let guard = CallGuard {
            core: Rc::clone(core),
            request: Rc::clone(request),
            place,
            end: Cell::new(RunOutcome::CallerLeft),
        };
        let fault = match try_call(core, request, &guard).await {
            Ok(answer) => return Ok(answer),
            Err(fault) => fault,
        };
        guard.end.set(fault.end);
        drop(guard);
        if fault.ran == MayHaveRun::Yes {
            ran = MayHaveRun::Yes;
            runs += 1;
        }
        if !may_repeat(core, request, &fault, runs, tries) {
            return final_answer(core, request, fault, ran);
        }
        request.story.retries.set(request.story.retries.get() + 1);
        core.log_retry(request, fault.reason);
    }
    Err(no_endpoint_failure(ran))
}

fn may_repeat(
    core: &RelayCore,
    request: &RelayRequest,
    fault: &TryFault,
    runs: u32,
    tries: u32,
) -> bool {
    let route = &request.admitted.route;
    let is_allowed = fault.ran == MayHaveRun::No
        || (route.repeat == RepeatRule::Repeatable && runs < route.attempts);
    // A call that could not be sent reached nobody and costs no retry.
    let costs_retry = fault.end != RunOutcome::NotConnected;
    is_allowed && tries < MOST_TRIES && (!costs_retry || core.take_retry(&request.service))
}

fn final_answer(
    core: &RelayCore,
    request: &RelayRequest,
    fault: TryFault,
    ran: MayHaveRun,
) -> Result<WholeAnswer, RelayFailure> {
    if let Some(answer) = fault.answer {
        return Ok(answer);
    }
    if ran == MayHaveRun::Yes {
        if request.time_left(core.now()) < LEAST_TIME {
            return Err(deadline_failure(ran));
        }
        return Err(RelayFailure::Unfinished(UnfinishedReason::ConnectionLost));
    }
    match fault.end {
        RunOutcome::Refused => Err(RelayFailure::not_run(
            RefusalReason::Overloaded,
            FULL_RETURN,
        )),
        _ => Err(no_endpoint_failure(ran)),
    }
}

fn deadline_failure(ran: MayHaveRun) -> RelayFailure {
    match ran {
        MayHaveRun::No => RelayFailure::not_run(RefusalReason::DeadlinePassed, NO_ENDPOINT_RETURN),
        MayHaveRun::Yes => RelayFailure::Unfinished(UnfinishedReason::DeadlinePassed),
    }
}

fn no_endpoint_failure(ran: MayHaveRun) -> RelayFailure {
    match ran {
        MayHaveRun::No => RelayFailure::not_run(RefusalReason::NoEndpoint, NO_ENDPOINT_RETURN),
        MayHaveRun::Yes => RelayFailure::Unfinished(UnfinishedReason::EndpointLost),
    }
}

async fn try_call(
    core: &RelayCore,
    request: &RelayRequest,
    guard: &CallGuard,
) -> Result<WholeAnswer, TryFault> {
    let left = request.time_left(core.now());
    let route = &request.admitted.route;
    let bound = match route.repeat {
        RepeatRule::Repeatable => left.min(route.aim * SILENT_AIMS),
        RepeatRule::Once => left,
    };
    let head = ForwardHead {
        endpoint: &guard.place.endpoint,
        time_left: left,
        account: request.admitted.account.as_ref(),
        helpers: &[],
        resume_after: None,
    };
    let call = ForwardCall {
        address: guard.place.address,
        method: request.method.as_str(),
        target: &request.target,
        headers: request.forward_headers(core.dialect(), &head),
        body: request.body.clone(),
        repeat: route.repeat,
    };
    let endpoints = &request.story.endpoints;
    endpoints.borrow_mut().push(guard.place.endpoint.clone());
    let exchange = async {
        let answer = core.links().send(call).await?;
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        let largest = request.catalog.bounds().body_bytes;
        Ok(WholeAnswer {
            status: answer.status,
            headers,
            body: answer.body.read_whole(largest).await?,
        })
    };
    let timed = tokio::time::timeout(Duration::from_millis(bound), exchange).await;
    let answer = timed
        .unwrap_or(Err(ExchangeFault::Silent))
        .map_err(exchange_fault)?;
    judge_answer(core, request, guard, answer)
}

fn exchange_fault(fault: ExchangeFault) -> TryFault {
    let (end, reason) = exchange_end(fault);
    let ran = match end {
        RunOutcome::NotConnected => MayHaveRun::No,
        _ => MayHaveRun::Yes,
    };
    TryFault::new(end, ran, reason)
}

/// Tells an endpoint's answer to this request from anything else that came.
fn judge_answer(
    core: &RelayCore,
    request: &RelayRequest,
    guard: &CallGuard,
    answer: WholeAnswer,
) -> Result<WholeAnswer, TryFault> {
    let head = core.dialect().read_answer(&answer.headers);
    let is_ours = head.request.as_deref() == Some(request.head.request.as_str());
    if head.statement == RunStatement::NotRun && !answer.status.is_success() {
        return Err(TryFault::new(
            RunOutcome::Refused,
            MayHaveRun::No,
            RetryReason::EndpointRefused,
        ));
    }
    if !is_ours || head.signed == AnswerSignature::Unsigned {
        return Err(TryFault::new(
            RunOutcome::Broken,
            MayHaveRun::Yes,
            RetryReason::FrameRejected,
        ));
    }
    let is_repeatable = request.admitted.route.repeat == RepeatRule::Repeatable;
    if answer.status >= StatusCode::INTERNAL_SERVER_ERROR && is_repeatable {
        let mut fault = TryFault::new(
            RunOutcome::Failed,
            MayHaveRun::Yes,
            RetryReason::EndpointRefused,
        );
        fault.answer = Some(answer);
        return Err(fault);
    }
    guard.end.set(RunOutcome::Served);
    Ok(answer)
}
