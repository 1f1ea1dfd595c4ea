//! Load balancing of plain-service calls.
//!
//! An instance sees only its own calls. The expected load is few calls, with an endpoint that is
//! dead, slow or full from time to time. A call goes to the endpoint with the fewest calls in
//! flight from this instance, with preference for the instance's own failure domain; endpoints that
//! failed are ejected for a time. An endpoint that has just started gets a part of the calls that it would
//! get otherwise, which grows to all of them.

use crate::cast::usize_to_f64;
use crate::dispatch::health::{EndpointHealth, FailureKind};
use crate::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, RunOutcome};
use crate::ids::{DomainId, EndpointId, Millis};

/// Added to the calls in flight of an endpoint in another failure domain when costs are compared.
const CROSS_DOMAIN_COST: f64 = 1.5;

/// Factor that brings the lower digits of a random number between zero and one to the front.
const DRAW_DIGITS: f64 = 4_096.0;

#[derive(Debug)]
struct BalancedEndpoint {
    info: EndpointInfo,
    health: EndpointHealth,
    calls_in_flight: usize,
}

/// Balances one instance's calls over the endpoints of one plain service.
#[derive(Debug)]
pub struct CallBalancer {
    domain: DomainId,
    endpoints: Vec<BalancedEndpoint>,
}

impl CallBalancer {
    /// Creates a balancer without endpoints that prefers those of failure domain `domain`.
    #[must_use]
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            endpoints: Vec::new(),
        }
    }

    /// Replaces the endpoints; health and calls in flight of those that stay are preserved.
    pub fn set_endpoints(&mut self, list: &[EndpointInfo]) {
        self.endpoints
            .retain(|entry| list.iter().any(|info| info.target == entry.info.target));
        for info in list {
            let is_same = |entry: &&mut BalancedEndpoint| entry.info.target == info.target;
            if let Some(entry) = self.endpoints.iter_mut().find(is_same) {
                entry.info = info.clone();
                entry.health.set_start(info.started);
                continue;
            }
            let mut health = EndpointHealth::new();
            health.set_start(info.started);
            self.endpoints.push(BalancedEndpoint {
                info: info.clone(),
                health,
                calls_in_flight: 0,
            });
        }
    }

    /// Picks an endpoint and counts a call in flight on it; `None` if no endpoint is ready.
    ///
    /// If all ready endpoints are ejected, one of them is picked regardless. `draw`, a random
    /// number between zero and one, breaks ties.
    pub fn start(
        &mut self,
        excluded: &[EndpointId],
        draw: f64,
        now: Millis,
    ) -> Option<EndpointTarget> {
        let is_ready = |entry: &BalancedEndpoint| {
            entry.info.state == EndpointState::Ready
                && !excluded.contains(&entry.info.target.endpoint)
        };
        let ready: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| is_ready(&self.endpoints[*index]))
            .collect();
        let is_healthy = |index: &&usize| !self.endpoints[**index].health.is_ejected(now);
        let healthy: Vec<usize> = ready.iter().filter(is_healthy).copied().collect();
        let candidates = if healthy.is_empty() { ready } else { healthy };
        let candidates = self.without_starting(candidates, draw, now);
        let start = start_index(candidates.len(), draw);
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        let best = rotated
            .copied()
            .min_by(|left, right| self.cost(*left).total_cmp(&self.cost(*right)))?;
        self.endpoints[best].calls_in_flight += 1;
        Some(self.endpoints[best].info.target.clone())
    }

    /// The endpoints without those that start and do not get this call. An instance has few calls, so
    /// that a growing share is a growing chance of each call.
    fn without_starting(&self, candidates: Vec<usize>, draw: f64, now: Millis) -> Vec<usize> {
        let health = |index: usize| &self.endpoints[index].health;
        if !candidates
            .iter()
            .any(|index| health(*index).is_starting(now))
        {
            return candidates;
        }
        // The lower digits of the draw, which the choice among equals does not use.
        let chance = (draw * DRAW_DIGITS).fract();
        let gets_call = |index: &usize| chance < health(*index).start_share(now);
        let chosen: Vec<usize> = candidates.iter().copied().filter(gets_call).collect();
        if chosen.is_empty() {
            return candidates;
        }
        chosen
    }

    /// Records the end of a call on an endpoint.
    pub fn finish(&mut self, endpoint: &EndpointId, outcome: RunOutcome, now: Millis) {
        let is_same = |entry: &&mut BalancedEndpoint| entry.info.target.endpoint == *endpoint;
        let Some(entry) = self.endpoints.iter_mut().find(is_same) else {
            return;
        };
        entry.calls_in_flight = entry.calls_in_flight.saturating_sub(1);
        match outcome {
            RunOutcome::Served => entry.health.succeeded(),
            // Its machine may be stopped on purpose.
            _ if entry.info.state == EndpointState::Evacuated => {}
            RunOutcome::NotConnected | RunOutcome::Silent => {
                entry.health.failed(FailureKind::Unresponsive, now);
            }
            RunOutcome::Broken => entry.health.failed(FailureKind::RunFailed, now),
            RunOutcome::Refused => entry.health.failed(FailureKind::Full, now),
            // A plain service may fail individual calls by design.
            RunOutcome::CallerLeft | RunOutcome::NoPath | RunOutcome::Failed => {}
        }
    }

    fn cost(&self, index: usize) -> f64 {
        let entry = &self.endpoints[index];
        let calls_in_flight = usize_to_f64(entry.calls_in_flight);
        if entry.info.domain == self.domain {
            calls_in_flight
        } else {
            calls_in_flight + CROSS_DOMAIN_COST
        }
    }
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn start_index(length: usize, draw: f64) -> usize {
    ((length as f64 * draw) as usize).min(length.saturating_sub(1))
}
