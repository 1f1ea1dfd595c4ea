//! One run of a stream, from its placement to its first event.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::header::CONTENT_TYPE;
use ntex::http::{HeaderMap, StatusCode};
use policy::catalog::RepeatRule;
use policy::dispatch::placement::{EndpointTarget, PlacementGrant, RunOutcome};
use policy::first_event_wait::{FirstEventWait, RepeatOption};
use policy::ids::{EndpointId, Millis};
use policy::outcome::RetryReason;
use tokio::time::Instant;

use super::event_stream::EventStream;
use super::first_event::{FirstEvent, MissingEvent, ReportUse};
use super::host_watch::{HostSilence, check_abandoned};
use super::run_error::{RequestDelivery, RunError};
use super::run_guard::RunGuard;
use super::{StreamHead, StreamRun, StreamSession};
use crate::answer::{WholeAnswer, promises_not_run, strip_connection_headers};
use crate::connections::{
    AnswerBody, EndpointAnswer, ForwardRequest, GateRule, SendError, exchange_outcome,
};
use crate::core::RunFailure;
use crate::dialect::{AnswerSignature, ForwardHead, ForwardHelper};
use crate::endpoint_gate::GateRefusal;
use crate::reservation::MemoryReservation;

/// Time after the expected first event at which the host is checked for the first time, in
/// milliseconds: the longest pass of an engine that meets its pause targets.
const HOST_CHECK_SLACK: Millis = 1_000;

/// Time after which the host of a run with reserved memory is checked for the first time.
const RESERVED_HOST_CHECK: Duration = Duration::from_secs(1);

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(CONTENT_TYPE);
    let media_type = media_type.and_then(|value| value.to_str().ok());
    media_type.is_some_and(|value| value.trim().to_ascii_lowercase().starts_with(EVENT_STREAM))
}

/// The error of a run that was not sent because nothing may be sent to one of its engines.
fn closed_error(closed: &EndpointTarget) -> RunError {
    let mut error = RunError::new(RunOutcome::NoPath, RetryReason::EndpointRefused);
    error.report = error.report.with_fault_at(Some(closed.address));
    error
}

impl StreamSession {
    pub(super) async fn start_run(
        &mut self,
        guard: RunGuard,
        grant: &PlacementGrant,
    ) -> Result<(StreamRun, StreamHead), RunError> {
        let request = Rc::clone(&self.request);
        let trace = &request.trace;
        let endpoints = &trace.endpoints;
        endpoints.borrow_mut().push(grant.host.endpoint.clone());
        trace
            .helpers
            .set(trace.helpers.get().max(grant.helpers.len()));
        trace.expected.set(grant.expected_first);
        self.tries += 1;
        self.log_shared_placement(grant);
        let reserved = self.reserve(&guard, grant).await;
        let reservation = match reserved {
            Ok(reservation) => reservation,
            Err(error) => {
                // A reservation that an evacuation has held back says nothing about its engine.
                let evacuated = self.evacuated_engine(grant);
                let error = evacuated.map_or(error, closed_error);
                guard.report(error.report.clone());
                return Err(error);
            }
        };
        if let Some((closed, refusal)) = self.closed_engine(grant) {
            // It was learned while the memory was being reserved.
            let error = closed_error(closed);
            self.exclude_closed(&closed.endpoint, refusal);
            guard.report(error.report.clone());
            return Err(error);
        }
        guard.sent(&request, &grant.host.endpoint);
        trace.may_have_run.set(true);
        // Memory that is reserved must not outlive a lost host for long.
        let first_check = match &reservation {
            Some(_) => RESERVED_HOST_CHECK,
            None if self.may_replace_lost_host() => {
                Duration::from_millis(grant.expected_first + HOST_CHECK_SLACK)
            }
            None => Duration::from_millis(request.time_left(self.core.now())),
        };
        let core = Rc::clone(&self.core);
        let first_event = FirstEvent {
            core: &core,
            request: &request,
            grant,
            wait: self.first_event_wait(grant),
            first_check,
            reports: match self.run {
                Some(_) => ReportUse::Omitted,
                None => ReportUse::Requested,
            },
        };
        let opening = self.open_stream(grant, reservation.as_ref());
        let sent_at = Instant::now();
        let opened = first_event.arrival(opening).await;
        let is_lost = matches!(opened, Err(MissingEvent::Silent(HostSilence::HostLost)));
        let opened = match opened {
            Err(MissingEvent::HostBusy) => {
                // The guard reports a run that nobody waits for any more, which says nothing about
                // the host.
                return Err(RunError::new(
                    RunOutcome::CallerLeft,
                    RetryReason::StreamSilent,
                ));
            }
            Err(MissingEvent::Silent(_)) => {
                Err(RunError::new(RunOutcome::Silent, RetryReason::StreamSilent))
            }
            Ok(opened) => opened,
        };
        match opened {
            Ok((stream, head)) => {
                self.core.placement().first_event(guard.number);
                guard.heard(stream.events.len());
                let run = StreamRun {
                    guard,
                    host: grant.host.clone(),
                    stream,
                    reservation,
                };
                Ok((run, head))
            }
            Err(error) => {
                let is_silent = error.report.outcome == RunOutcome::Silent;
                if is_silent {
                    self.silence_noticed(&grant.host, sent_at);
                }
                self.report_failure(&guard, &grant.host.endpoint, &error);
                if is_lost {
                    self.core.endpoint_gone(&grant.host.endpoint);
                } else if is_silent {
                    check_abandoned(&core, &grant.host);
                }
                Err(error)
            }
        }
    }

    /// Records that a connection to `host` has been silent since `silent_from`.
    pub(super) fn silence_noticed(&mut self, host: &EndpointTarget, silent_from: Instant) {
        self.core.connections().silence_noticed(host, silent_from);
        self.heard_after = Some(silent_from);
    }

    /// Reports a run that failed to the dispatcher.
    pub(super) fn report_failure(&self, guard: &RunGuard, endpoint: &EndpointId, error: &RunError) {
        guard.report(error.report.clone());
        if error.may_have_run() {
            let failure = RunFailure {
                outcome: error.report.outcome,
                reason: error.reason,
                progress: guard.progress(),
            };
            self.core.run_failed(&self.request, endpoint, failure);
        }
        if error.report.outcome == RunOutcome::NotConnected && error.report.at_fault.is_none() {
            self.core.endpoint_gone(endpoint);
        }
    }

    /// Logs a placement whose prefill is shared with helpers. Other placements appear only in the
    /// line that is logged at the end of the request.
    pub(super) fn log_shared_placement(&self, grant: &PlacementGrant) {
        if grant.helpers.is_empty() {
            return;
        }
        let helpers = grant.helpers.iter();
        let names: Vec<&str> = helpers
            .map(|helper| helper.target.endpoint.as_str())
            .collect();
        spdlog::info!("request placed with helpers", kv: {
            request = self.request.head.request_id.as_str(),
            host = grant.host.endpoint.as_str(),
            helpers = names.join(",").as_str(),
            reserved = grant.helpers.iter().map(|helper| helper.reserved_tokens).sum::<u64>(),
            expected = grant.expected_first,
            queued = self.request.trace.queued.get(),
        });
    }

    /// Reserves memory on the helpers if the prompt needs it.
    pub(super) async fn reserve(
        &self,
        guard: &RunGuard,
        grant: &PlacementGrant,
    ) -> Result<Option<MemoryReservation>, RunError> {
        let helpers = &grant.helpers;
        if helpers.iter().all(|helper| helper.reserved_tokens == 0) {
            return Ok(None);
        }
        let id = self.core.reservation_id(guard.number);
        let reservation_ttl = self.core.reservation_ttl();
        let reserved =
            MemoryReservation::reserve(self.core.memory(), &id, helpers, reservation_ttl).await;
        reserved.map(Some).map_err(|address| {
            spdlog::info!("memory not reserved", kv: {
                request = self.request.head.request_id.as_str(),
                id = id.as_str(),
                address: = address,
            });
            let mut error = RunError::new(RunOutcome::Refused, RetryReason::EndpointRefused);
            error.report = error.report.with_fault_at(Some(address));
            error.delivery = RequestDelivery::Undelivered;
            error
        })
    }

    /// The wait for the first event of a run that is sent now.
    pub(super) fn first_event_wait(&self, grant: &PlacementGrant) -> FirstEventWait {
        let route = &self.request.admitted.route;
        let left = self.request.time_left(self.core.now());
        let has_retry_left =
            self.runs + 1 < route.attempts && route.repeat == RepeatRule::Repeatable;
        let repeat = if has_retry_left {
            RepeatOption::Repeatable
        } else {
            RepeatOption::LastRun
        };
        FirstEventWait::new(grant.expected_first, left, repeat)
    }

    pub(super) async fn open_stream(
        &mut self,
        grant: &PlacementGrant,
        reservation: Option<&MemoryReservation>,
    ) -> Result<(EventStream, StreamHead), RunError> {
        let sent_at = self.core.now();
        let answer = self.send(grant, reservation).await?;
        if answer.is_tunnelled {
            let tunnels = &self.request.trace.tunnels;
            tunnels.set(tunnels.get() + 1);
        }
        let (body, head) = self.validate_head(grant, answer, sent_at).await?;
        let mut stream = EventStream::new(body, self.last_event.is_some());
        while stream.events.is_empty() && !stream.is_ended {
            stream.read(&mut self.last_event).await?;
        }
        Ok((stream, head))
    }

    pub(super) async fn send(
        &self,
        grant: &PlacementGrant,
        reservation: Option<&MemoryReservation>,
    ) -> Result<EndpointAnswer, RunError> {
        let request = &self.request;
        let helpers = grant.helpers.iter().map(|helper| ForwardHelper {
            address: helper.target.address,
            reservation: reservation
                .and_then(|reservation| reservation.id_at(helper.target.address)),
        });
        let helpers: Vec<ForwardHelper> = helpers.collect();
        let head = ForwardHead {
            endpoint: &grant.host.endpoint,
            time_left: request.time_left(self.core.now()),
            account: request.admitted.account.as_ref(),
            helpers: &helpers,
            resume_after: self.last_event.as_deref(),
        };
        let call = ForwardRequest {
            target: &grant.host,
            helpers: &grant.helpers,
            method: request.method.as_str(),
            path_and_query: &request.path_and_query,
            headers: request.forward_headers(self.core.dialect(), &head),
            body: request.body.clone(),
            repeat: request.admitted.route.repeat,
            gate: GateRule::Observed,
            heard_after: self.heard_after,
        };
        let sent = self.core.connections().send(call).await;
        sent.map_err(|error| {
            if error == SendError::Closed(GateRefusal::Evacuated)
                && let Some(evacuated) = self.evacuated_engine(grant)
            {
                return closed_error(evacuated);
            }
            let (outcome, reason) = exchange_outcome(error);
            RunError::new(outcome, reason)
        })
    }

    /// Accepts the head of a signed, successful answer to this request. Anything else is an error,
    /// which keeps the answer if it may be forwarded.
    pub(super) async fn validate_head(
        &self,
        grant: &PlacementGrant,
        answer: EndpointAnswer,
        sent_at: Millis,
    ) -> Result<(AnswerBody, StreamHead), RunError> {
        let head = self
            .core
            .dialect()
            .read_answer(answer.status, &answer.headers);
        let status = answer.status;
        let id = self.request.head.request_id.as_str();
        let matches_request = head.names_request(id);
        if matches_request && status != StatusCode::MISDIRECTED_REQUEST {
            self.core
                .heard_limit(&grant.host.endpoint, head.rate_limit, sent_at);
            self.core.heard_cold(&grant.host.endpoint, head.cold_left);
        }
        if head.refuses(id, answer.connection) {
            if status == StatusCode::MISDIRECTED_REQUEST {
                self.core.endpoint_gone(&grant.host.endpoint);
            }
            // An endpoint that names another one at fault could not connect to it.
            let outcome = match head.at_fault {
                Some(_) => RunOutcome::NotConnected,
                None => RunOutcome::Refused,
            };
            let mut error = RunError::new(outcome, RetryReason::EndpointRefused);
            error.delivery = RequestDelivery::Delivered;
            error.report = error.report.with_fault_at(head.at_fault);
            return Err(error);
        }
        if !matches_request || head.signed == AnswerSignature::Unsigned {
            return Err(RunError::new(
                RunOutcome::Broken,
                RetryReason::FrameRejected,
            ));
        }
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        if status.is_success() && self.last_event.is_some() && !is_event_stream(&headers) {
            // An answer of another media type does not resume the stream.
            return Err(RunError::new(
                RunOutcome::Broken,
                RetryReason::FrameRejected,
            ));
        }
        if status.is_success() {
            return Ok((answer.body, StreamHead { status, headers }));
        }
        let mut error = RunError::new(RunOutcome::Failed, RetryReason::EndpointRefused);
        if promises_not_run(status) {
            return Err(error);
        }
        let max_bytes = self.request.catalog.bounds().body_bytes;
        let body = answer.body.read_whole(max_bytes).await;
        error.answer = body.ok().map(|body| WholeAnswer {
            status,
            headers,
            body,
        });
        Err(error)
    }
}
