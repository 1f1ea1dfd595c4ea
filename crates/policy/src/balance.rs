//! Which endpoint of a plain service gets a call.
//!
//! An instance sees only its own calls. Load pattern: few calls, now and then an endpoint that is
//! dead, slow or full. The endpoint with the fewest calls of this instance goes first, one of the
//! own failure domain before others, and one that failed is set aside for a while.

use crate::dispatch::health::{EndpointHealth, FailureKind};
use crate::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, RunOutcome};
use crate::figure::count_float;
use crate::ids::{DomainId, EndpointId, Millis};

/// Calls that an endpoint of another failure domain counts as having more.
const FAR_CALLS: f64 = 1.5;

#[derive(Debug)]
struct BalancedEndpoint {
    facts: EndpointInfo,
    health: EndpointHealth,
    calls: usize,
}

/// The endpoints of one plain service, as one instance uses them.
#[derive(Debug)]
pub struct CallBalancer {
    domain: DomainId,
    endpoints: Vec<BalancedEndpoint>,
}

impl CallBalancer {
    /// No endpoints; those of `domain` are preferred.
    #[must_use]
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            endpoints: Vec::new(),
        }
    }

    /// Replaces what is known of the endpoints.
    pub fn set_endpoints(&mut self, list: &[EndpointInfo]) {
        self.endpoints
            .retain(|known| list.iter().any(|facts| facts.target == known.facts.target));
        for facts in list {
            let is_it = |known: &&mut BalancedEndpoint| known.facts.target == facts.target;
            match self.endpoints.iter_mut().find(is_it) {
                Some(known) => known.facts = facts.clone(),
                None => self.endpoints.push(BalancedEndpoint {
                    facts: facts.clone(),
                    health: EndpointHealth::new(),
                    calls: 0,
                }),
            }
        }
    }

    /// Picks an endpoint and counts a call on it; `draw`, between zero and one, breaks ties.
    pub fn start(
        &mut self,
        excluded: &[EndpointId],
        draw: f64,
        now: Millis,
    ) -> Option<EndpointTarget> {
        let is_open = |known: &BalancedEndpoint| {
            known.facts.state == EndpointState::Ready
                && !excluded.contains(&known.facts.target.endpoint)
        };
        let open: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| is_open(&self.endpoints[*index]))
            .collect();
        let is_sound = |index: &&usize| !self.endpoints[**index].health.is_ejected(now);
        let sound: Vec<usize> = open.iter().filter(is_sound).copied().collect();
        let choice = if sound.is_empty() { open } else { sound };
        let start = offset(choice.len(), draw);
        let turned = choice[start..].iter().chain(&choice[..start]);
        let best = turned
            .copied()
            .min_by(|left, right| self.cost(*left).total_cmp(&self.cost(*right)))?;
        self.endpoints[best].calls += 1;
        Some(self.endpoints[best].facts.target.clone())
    }

    /// A call on an endpoint has ended.
    pub fn finish(&mut self, endpoint: &EndpointId, end: RunOutcome, now: Millis) {
        let is_it = |known: &&mut BalancedEndpoint| known.facts.target.endpoint == *endpoint;
        let Some(known) = self.endpoints.iter_mut().find(is_it) else {
            return;
        };
        known.calls = known.calls.saturating_sub(1);
        match end {
            RunOutcome::Served => known.health.succeeded(),
            RunOutcome::NotConnected | RunOutcome::Silent => {
                known.health.failed(FailureKind::Unresponsive, now);
            }
            RunOutcome::Broken => known.health.failed(FailureKind::RunFailed, now),
            RunOutcome::Refused => known.health.failed(FailureKind::Full, now),
            // A plain service may fail single calls by design.
            RunOutcome::CallerLeft | RunOutcome::Failed => {}
        }
    }

    fn cost(&self, index: usize) -> f64 {
        let known = &self.endpoints[index];
        let calls = count_float(known.calls);
        if known.facts.domain == self.domain {
            calls
        } else {
            calls + FAR_CALLS
        }
    }
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn offset(length: usize, draw: f64) -> usize {
    ((length as f64 * draw) as usize).min(length.saturating_sub(1))
}
