//! Placement of a stream's runs.

use std::time::Duration;

use policy::dispatch::placement::{
    EndpointTarget, PlacementDecision, PlacementGrant, PlacementRequest, PlacementScope,
};
use policy::ids::{AccountId, EndpointId, Millis};
use policy::outcome::{Refusal, RefusalReason, UnfinishedReason};

use super::run_guard::RunGuard;
use super::{MIN_TIME_LEFT, StreamSession, UNREACHABLE_RETRY_AFTER};
use crate::answer::RelayFailure;
use crate::dialect::PromptSize;
use crate::endpoint_gate::GateRefusal;

/// Sizes assumed for a request whose caller states none.
const DEFAULT_PROMPT_SIZE: PromptSize = PromptSize {
    prompt_tokens: 4_000,
    output_tokens: 1_000,
};

impl StreamSession {
    /// An engine of the placement to which nothing may be sent now, and why; the host first.
    pub(super) fn closed_engine<'a>(
        &self,
        grant: &'a PlacementGrant,
    ) -> Option<(&'a EndpointTarget, GateRefusal)> {
        let helpers = grant.helpers.iter().map(|helper| &helper.target);
        let mut engines = std::iter::once(&grant.host).chain(helpers);
        engines.find_map(|target| Some((target, self.core.gate().refusal(&target.endpoint)?)))
    }

    /// An engine of the placement that is evacuated, the host first.
    pub(super) fn evacuated_engine<'a>(
        &self,
        grant: &'a PlacementGrant,
    ) -> Option<&'a EndpointTarget> {
        let helpers = grant.helpers.iter().map(|helper| &helper.target);
        let mut engines = std::iter::once(&grant.host).chain(helpers);
        engines.find(|target| self.core.is_evacuated(&target.endpoint))
    }

    /// Excludes an engine that was granted and to which nothing may be sent now from the next
    /// placement. A dispatcher that does not know of an evacuation would grant one evacuated engine
    /// after the other until the tries are used up, so all of them are excluded.
    pub(super) fn exclude_closed(&mut self, closed: &EndpointId, refusal: GateRefusal) {
        self.excluded.push(closed.clone());
        if refusal != GateRefusal::Evacuated {
            return;
        }
        self.exclude_evacuated();
        spdlog::info!("grant not used", kv: {
            request = self.request.head.request_id.as_str(),
            endpoint = closed.as_str(),
            cause:? = refusal,
            excluded = self.excluded.len(),
        });
    }

    /// Excludes all evacuated engines from the next placement.
    pub(super) fn exclude_evacuated(&mut self) {
        let evacuated = self.core.evacuated_endpoints(&self.request.service);
        for endpoint in evacuated {
            if !self.excluded.contains(&endpoint) {
                self.excluded.push(endpoint);
            }
        }
    }

    pub(super) async fn request_placement(
        &mut self,
    ) -> Result<(RunGuard, PlacementGrant), RelayFailure> {
        let now = self.core.now();
        let left = self.request.time_left(now);
        if left < MIN_TIME_LEFT {
            return Err(self.deadline_failure());
        }
        self.core
            .check_quarantine(&self.request)
            .map_err(|refusal| self.quarantine_failure(refusal))?;
        let guard = RunGuard::new(&self.core);
        let placement_request = self.placement_request(now, left);
        let requested = self
            .core
            .placement()
            .request_placement(guard.number, placement_request);
        let decision = tokio::time::timeout(Duration::from_millis(left), requested).await;
        let waited = self.core.now().saturating_sub(now);
        let trace = &self.request.trace;
        trace.queued.set(trace.queued.get() + waited);
        match decision {
            Err(_) => Err(self.deadline_failure()),
            Ok(PlacementDecision::Granted(grant)) => {
                // Crashes may have become known while the request was queued.
                self.core
                    .admit_run(&self.request)
                    .map_err(|refusal| self.quarantine_failure(refusal))?;
                Ok((guard, self.core.with_own_addresses(grant)))
            }
            Ok(PlacementDecision::Refused(refusal))
                if refusal.reason == RefusalReason::Quarantined =>
            {
                Err(self.quarantine_failure(refusal))
            }
            Ok(PlacementDecision::Refused(_)) if self.runs > 0 => {
                Err(RelayFailure::Unfinished(UnfinishedReason::EndpointLost))
            }
            Ok(PlacementDecision::Refused(refusal)) => {
                Err(RelayFailure::NotRun(self.with_backoff(refusal)))
            }
        }
    }

    /// A refusal for want of an endpoint, with the time after which the first one takes requests
    /// again, if endpoints have said so.
    fn with_backoff(&self, refusal: Refusal) -> Refusal {
        let held = self.core.backoff_wait(&self.request.service);
        match held.filter(|_| refusal.reason == RefusalReason::NoEndpoint) {
            Some(wait) => Refusal::new(refusal.reason, wait),
            None => refusal,
        }
    }

    pub(super) fn quarantine_failure(&self, refusal: Refusal) -> RelayFailure {
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::Quarantined);
        }
        RelayFailure::NotRun(refusal)
    }

    pub(super) fn deadline_failure(&self) -> RelayFailure {
        if self.runs > 0 {
            return RelayFailure::Unfinished(UnfinishedReason::DeadlinePassed);
        }
        RelayFailure::not_run(RefusalReason::DeadlinePassed, UNREACHABLE_RETRY_AFTER)
    }

    pub(super) fn placement_request(&self, now: Millis, left: Millis) -> PlacementRequest {
        let request = &self.request;
        let route = &request.admitted.route;
        let size = request.head.prompt.clone().unwrap_or(DEFAULT_PROMPT_SIZE);
        let account = request.admitted.account.clone();
        PlacementRequest {
            pool: request.service.clone(),
            account: account.unwrap_or_else(|| AccountId::new("")),
            scope: PlacementScope::Fleet,
            prompt_tokens: size.prompt_tokens,
            output_tokens: size.output_tokens,
            waited: now.saturating_sub(request.arrived),
            first_event_aim: route.aim,
            pause_aim: route.pause_aim,
            time_left: left,
            retry: self.retry,
            excluded: [
                self.excluded.as_slice(),
                &self.core.gate().backoffs().held(),
            ]
            .concat(),
            caller_domain: None,
            fingerprint: request.fingerprints().exact,
        }
    }
}
