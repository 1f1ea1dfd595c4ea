//! Drives a call to a plain service by executing the steps of `policy::call`.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use caller::{CallAnswer, CallRequest};
use policy::call::{CallEvent, CallFlow, CallStep};
use policy::claim::{
    ClaimChange, ClaimEdit, ClaimLocation, ClaimState, IdempotencyKey, IdempotencyKeyError,
    KEPT_BODY_BYTES, KeptResult,
};
use policy::ids::{AccountId, EndpointId, Millis};
use policy::leaving::LeavingStatus;
use policy::outcome::{Refusal, RefusalReason, RequestOutcome};
use policy::template::Repeatability;
use service::{ServiceAnswer, ServiceCallError, ServiceClient};
use tokio::time::{Instant, timeout};

use crate::budget_retry_limiter::BudgetRetryLimiter;
use crate::control::ControlHandle;
use crate::tables::EntryTables;

/// Serves admitted service calls on one worker thread.
#[derive(Clone)]
pub(crate) struct CallDriver {
    pub(crate) tables: Arc<EntryTables>,
    pub(crate) control: ControlHandle,
    pub(crate) services: Rc<dyn ServiceClient>,
    pub(crate) rotation: Rc<AtomicUsize>,
}

/// Longest time to obtain a claim before the call is refused, in milliseconds.
const CLAIM_TIMEOUT: Millis = 1_000;

/// How long the control thread retries storing a result or releasing an unused claim, in
/// milliseconds.
const CLAIM_RETRY_MS: Millis = 60_000;

/// A call that was admitted, with what the account's template says about it.
pub(crate) struct AdmittedCall {
    pub(crate) account: AccountId,
    pub(crate) repeatability: Repeatability,
    pub(crate) deadline: Instant,
    pub(crate) request: CallRequest,
}

impl CallDriver {
    /// Serves an admitted call and counts its outcome.
    pub(crate) async fn serve(self, admitted: AdmittedCall) -> CallAnswer {
        self.tables.metrics.in_flight.inc();
        let answer = match self.claim_location(&admitted) {
            Ok(location) => self.drive(&admitted, location).await,
            Err(reason) => not_run(reason),
        };
        self.tables.metrics.in_flight.dec();
        self.count(&answer);
        answer
    }

    fn count(&self, answer: &CallAnswer) {
        let metrics = &self.tables.metrics;
        match answer {
            CallAnswer::Answered(_)
            | CallAnswer::Replayed(_)
            | CallAnswer::Failed(RequestOutcome::Whole) => metrics.completed(),
            CallAnswer::Failed(RequestOutcome::NotRun(refusal)) => metrics.refused(refusal.reason),
            CallAnswer::Failed(RequestOutcome::Unfinished(reason)) => metrics.unfinished(*reason),
        }
    }

    /// Returns where the claim of a non-idempotent call is stored, or `None` for an idempotent
    /// call, which needs no claim.
    fn claim_location(
        &self,
        admitted: &AdmittedCall,
    ) -> Result<Option<ClaimLocation>, RefusalReason> {
        if admitted.repeatability == Repeatability::Idempotent {
            return Ok(None);
        }
        let text = &admitted.request.idempotency_key;
        if text.is_empty() {
            return Err(RefusalReason::KeyMissing);
        }
        let refusal = |error| match error {
            IdempotencyKeyError::Invalid => RefusalReason::KeyInvalid,
            IdempotencyKeyError::Expired => RefusalReason::KeyExpired,
        };
        let key = IdempotencyKey::new(text).map_err(refusal)?;
        let window = self.tables.settings.limits.claim_window_ms;
        key.check_age(self.tables.clock_and_ids.unix_millis(), window)
            .map_err(refusal)?;
        Ok(Some(key.location(&admitted.account)))
    }

    async fn drive(&self, admitted: &AdmittedCall, location: Option<ClaimLocation>) -> CallAnswer {
        let endpoints = self.endpoints(&admitted.request.service);
        let mut flow = CallFlow::new(admitted.repeatability, endpoints);
        let claim = CallClaim {
            location,
            id: format!("{:032x}", self.tables.clock_and_ids.unique_id()),
        };
        let mut step = flow.start();
        loop {
            let event = match step {
                CallStep::TakeClaim => self.take_claim(&claim, admitted).await,
                CallStep::Send { endpoint } => match self.send(&endpoint, admitted).await {
                    Ok(answer) => {
                        self.store_result(&claim, &answer);
                        return CallAnswer::Answered(answer);
                    }
                    Err(event) => event,
                },
                CallStep::Replay(result) => return CallAnswer::Replayed(result),
                CallStep::ReleaseClaim(refusal) => {
                    self.release_claim(&claim);
                    return CallAnswer::Failed(RequestOutcome::NotRun(refusal));
                }
                CallStep::Finish(outcome) => return CallAnswer::Failed(outcome),
                CallStep::Deliver => return not_run(RefusalReason::NoEndpoint),
            };
            let mut limiter = BudgetRetryLimiter {
                tables: &self.tables,
                account: &admitted.account,
            };
            step = flow.on_event(event, &mut limiter);
        }
    }

    /// Returns the service's endpoints that are not leaving, rotated by one for each call
    /// (round-robin).
    fn endpoints(&self, service: &str) -> Vec<EndpointId> {
        let services = &self.tables.settings.services;
        let Some(service_settings) = services.iter().find(|candidate| candidate.name == service)
        else {
            return Vec::new();
        };
        let mut endpoints: Vec<EndpointId> = service_settings
            .endpoints
            .iter()
            .map(|endpoint| EndpointId::new(&endpoint.name))
            .filter(|endpoint| self.tables.endpoint_leaving_status(endpoint) == LeavingStatus::Open)
            .collect();
        if !endpoints.is_empty() {
            let offset = self.rotation.fetch_add(1, Ordering::Relaxed) % endpoints.len();
            endpoints.rotate_left(offset);
        }
        endpoints
    }

    async fn take_claim(&self, claim: &CallClaim, admitted: &AdmittedCall) -> CallEvent {
        let Some(location) = claim.location.clone() else {
            return CallEvent::ClaimUnavailable;
        };
        let edit = ClaimEdit {
            entry: location.entry.clone(),
            id: claim.id.clone(),
            change: ClaimChange::Take,
        };
        let claim_timeout = millis_until(admitted.deadline).min(CLAIM_TIMEOUT);
        let deadline = self.tables.now() + claim_timeout;
        let claiming = self
            .control
            .run(async move |control| control.edit_claim(&location, edit, deadline).await);
        // A write still in flight at the timeout may take effect, so the claim is then released.
        let status = timeout(Duration::from_millis(claim_timeout), claiming)
            .await
            .unwrap_or(None);
        match status {
            Some(Ok(status)) if millis_until(admitted.deadline) > 0 => CallEvent::Claim(status),
            Some(Ok(_)) => {
                // The claim was obtained after the deadline; nothing was sent under it.
                self.release_claim(claim);
                CallEvent::DeadlineReached
            }
            Some(Err(_)) | None => {
                self.release_claim(claim);
                CallEvent::ClaimUnavailable
            }
        }
    }

    async fn send(
        &self,
        endpoint: &EndpointId,
        admitted: &AdmittedCall,
    ) -> Result<ServiceAnswer, CallEvent> {
        let services = &self.tables.settings.services;
        let address = services
            .iter()
            .flat_map(|service| &service.endpoints)
            .find(|candidate| candidate.name == endpoint.as_str())
            .map(|found| found.address)
            .ok_or(CallEvent::ConnectFailed)?;
        let wait = millis_until(admitted.deadline);
        if wait == 0 {
            return Err(CallEvent::DeadlineReached);
        }
        let call = &admitted.request.call;
        match self.services.send(address, call, wait).await {
            Ok(answer) => Ok(answer),
            Err(ServiceCallError::NotSent) => Err(CallEvent::ConnectFailed),
            Err(ServiceCallError::Lost) if millis_until(admitted.deadline) == 0 => {
                Err(CallEvent::DeadlineReached)
            }
            Err(ServiceCallError::Lost) => Err(CallEvent::ConnectionLost),
        }
    }

    /// Stores the answer with its claim. The caller gets the answer even if storing fails; a
    /// repeated call then ends without an answer, because its key is in use.
    fn store_result(&self, claim: &CallClaim, answer: &ServiceAnswer) {
        let Some(location) = claim.location.clone() else {
            return;
        };
        let edit = ClaimEdit {
            entry: location.entry.clone(),
            id: claim.id.clone(),
            change: ClaimChange::Finish(kept_result(answer)),
        };
        let deadline = self.tables.now() + CLAIM_RETRY_MS;
        self.control.post(async move |control| {
            // If the platform is down for this long, the claim remains without a result.
            let _ = control.edit_claim(&location, edit, deadline).await;
        });
    }

    fn release_claim(&self, claim: &CallClaim) {
        let Some(location) = claim.location.clone() else {
            return;
        };
        let id = claim.id.clone();
        self.control
            .post(async move |control| control.release_claim(&location, id, CLAIM_RETRY_MS).await);
    }
}

/// The claim of one call: where it is stored, if the call needs one, and its unique id.
struct CallClaim {
    location: Option<ClaimLocation>,
    id: String,
}

fn kept_result(answer: &ServiceAnswer) -> ClaimState {
    let Ok(body) = std::str::from_utf8(&answer.body) else {
        return ClaimState::DoneNotKept;
    };
    if body.len() > KEPT_BODY_BYTES {
        return ClaimState::DoneNotKept;
    }
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name.as_str() == "content-type")
        .and_then(|(_, value)| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    ClaimState::Done(KeptResult {
        status: answer.status.as_u16(),
        content_type: content_type.to_owned(),
        body: body.to_owned(),
    })
}

fn not_run(reason: RefusalReason) -> CallAnswer {
    CallAnswer::Failed(RequestOutcome::NotRun(Refusal::new(reason, 0)))
}

fn millis_until(deadline: Instant) -> Millis {
    let left = deadline.saturating_duration_since(Instant::now());
    Millis::try_from(left.as_millis()).unwrap_or(Millis::MAX)
}
