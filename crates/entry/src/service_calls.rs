//! Drives one plain-service call: carries out the decisions of `policy::call`.

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
use service::{CallFault, ServiceAnswer, ServiceClient};
use tokio::time::{Instant, timeout};

use crate::budget_gate::BudgetGate;
use crate::control::ControlHandle;
use crate::tables::EntryTables;

/// What a worker thread serves calls with.
#[derive(Clone)]
pub(crate) struct CallDesk {
    pub(crate) tables: Arc<EntryTables>,
    pub(crate) control: ControlHandle,
    pub(crate) services: Rc<dyn ServiceClient>,
    pub(crate) rotation: Rc<AtomicUsize>,
}

/// Longest time in which a claim is settled before the caller is told to come back, in
/// milliseconds.
const CLAIM_TIME: Millis = 1_000;

/// How long the control thread goes on trying to store a result, or to give back a claim that was
/// not used, in milliseconds.
const CLAIM_SETTLE_TIME: Millis = 60_000;

/// A call that was admitted.
pub(crate) struct AdmittedCall {
    pub(crate) account: AccountId,
    pub(crate) calls: Repeatability,
    pub(crate) deadline: Instant,
    pub(crate) request: CallRequest,
}

impl CallDesk {
    /// Serves a call that was admitted.
    pub(crate) async fn serve(self, admitted: AdmittedCall) -> CallAnswer {
        self.tables.metrics.in_flight.inc();
        let answer = match self.place(&admitted) {
            Ok(place) => self.drive(&admitted, place).await,
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
            | CallAnswer::Failed(RequestOutcome::Whole) => metrics.whole(),
            CallAnswer::Failed(RequestOutcome::NotRun(refusal)) => metrics.refused(refusal.reason),
            CallAnswer::Failed(RequestOutcome::Unfinished(reason)) => metrics.unfinished(*reason),
        }
    }

    /// Where the claim of a call that may not be repeated stands.
    fn place(&self, admitted: &AdmittedCall) -> Result<Option<ClaimLocation>, RefusalReason> {
        if admitted.calls == Repeatability::Idempotent {
            return Ok(None);
        }
        let text = &admitted.request.idempotency_key;
        if text.is_empty() {
            return Err(RefusalReason::KeyMissing);
        }
        let refusal = |fault| match fault {
            IdempotencyKeyError::Invalid => RefusalReason::KeyInvalid,
            IdempotencyKeyError::Expired => RefusalReason::KeyExpired,
        };
        let key = IdempotencyKey::new(text).map_err(refusal)?;
        let window = self.tables.settings.limits.claim_window_ms;
        key.check_age(self.tables.identity.unix_millis(), window)
            .map_err(refusal)?;
        Ok(Some(key.location(&admitted.account)))
    }

    async fn drive(&self, admitted: &AdmittedCall, place: Option<ClaimLocation>) -> CallAnswer {
        let endpoints = self.endpoints(&admitted.request.service);
        let mut flow = CallFlow::new(admitted.calls, endpoints);
        let claim = HeldClaim {
            place,
            id: format!("{:032x}", self.tables.identity.unique_id()),
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
            let mut gate = BudgetGate {
                tables: &self.tables,
                account: &admitted.account,
            };
            step = flow.on_event(event, &mut gate);
        }
    }

    /// The service's endpoints that do not leave, beginning at another one each time.
    fn endpoints(&self, service: &str) -> Vec<EndpointId> {
        let services = &self.tables.settings.services;
        let Some(found) = services.iter().find(|one| one.name == service) else {
            return Vec::new();
        };
        let mut endpoints: Vec<EndpointId> = found
            .endpoints
            .iter()
            .map(|endpoint| EndpointId::new(&endpoint.name))
            .filter(|endpoint| self.tables.endpoint_verdict(endpoint) == LeavingStatus::Open)
            .collect();
        if !endpoints.is_empty() {
            let turn = self.rotation.fetch_add(1, Ordering::Relaxed) % endpoints.len();
            endpoints.rotate_left(turn);
        }
        endpoints
    }

    async fn take_claim(&self, claim: &HeldClaim, admitted: &AdmittedCall) -> CallEvent {
        let Some(place) = claim.place.clone() else {
            return CallEvent::ClaimUnavailable;
        };
        let edit = ClaimEdit {
            entry: place.entry.clone(),
            id: claim.id.clone(),
            change: ClaimChange::Take,
        };
        let time = millis_until(admitted.deadline).min(CLAIM_TIME);
        let deadline = self.tables.now() + time;
        let settling = self
            .control
            .run(async move |control| control.edit_claim(&place, edit, deadline).await);
        // A write that is still on its way may take effect; the claim is then given back.
        let verdict = timeout(Duration::from_millis(time), settling)
            .await
            .unwrap_or(None);
        match verdict {
            Some(Ok(verdict)) if millis_until(admitted.deadline) > 0 => CallEvent::Claim(verdict),
            Some(Ok(_)) => {
                // The claim came too late to be used; nothing was sent under it.
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
            .find(|one| one.name == endpoint.as_str())
            .map(|one| one.address)
            .ok_or(CallEvent::ConnectFailed)?;
        let wait = millis_until(admitted.deadline);
        if wait == 0 {
            return Err(CallEvent::DeadlineReached);
        }
        let call = &admitted.request.call;
        match self.services.send(address, call, wait).await {
            Ok(answer) => Ok(answer),
            Err(CallFault::NotSent) => Err(CallEvent::ConnectFailed),
            Err(CallFault::Lost) if millis_until(admitted.deadline) == 0 => {
                Err(CallEvent::DeadlineReached)
            }
            Err(CallFault::Lost) => Err(CallEvent::ConnectionLost),
        }
    }

    /// Stores the answer with its claim. The caller gets its answer even where this fails; a
    /// repeat is then told that the key is in use.
    fn store_result(&self, claim: &HeldClaim, answer: &ServiceAnswer) {
        let Some(place) = claim.place.clone() else {
            return;
        };
        let edit = ClaimEdit {
            entry: place.entry.clone(),
            id: claim.id.clone(),
            change: ClaimChange::Finish(kept_result(answer)),
        };
        let deadline = self.tables.now() + CLAIM_SETTLE_TIME;
        self.control.post(async move |control| {
            // The claim stands without a result where the platform stays away for so long.
            let _ = control.edit_claim(&place, edit, deadline).await;
        });
    }

    fn release_claim(&self, claim: &HeldClaim) {
        let Some(place) = claim.place.clone() else {
            return;
        };
        let id = claim.id.clone();
        self.control
            .post(async move |control| control.release_claim(&place, id, CLAIM_SETTLE_TIME).await);
    }
}

/// The claim of one call: its place and unique id.
struct HeldClaim {
    place: Option<ClaimLocation>,
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
