//! Load balancing of plain-service calls.
//!
//! An instance sees only its own calls. The expected load is few calls, with an endpoint that is
//! dead, slow or full from time to time. A call goes to the endpoint with the fewest calls in
//! flight from this instance, with preference for the instance's own failure domain; endpoints that
//! failed are ejected for a time. An endpoint that has just started gets a part of the calls that it would
//! get otherwise, which grows to all of them.
//! With learned capacity an endpoint whose recent calls took longer
//! than those of the others counts as busier, the more so the more calls it has in flight.

use crate::cast::{u64_to_f64, usize_to_f64};
use crate::dispatch::health::{EndpointHealth, FailureKind};
use crate::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, RunOutcome};
use crate::ids::{DomainId, EndpointId, Millis};
use crate::learned_capacity::{CapacityLevel, LearnedCapacity};

/// Added to the calls in flight of an endpoint in another failure domain when costs are compared.
const CROSS_DOMAIN_COST: f64 = 1.5;

/// Factor that brings the lower digits of a random number between zero and one to the front.
const DRAW_DIGITS: f64 = 4_096.0;
/// Half-life of the slowdown of an endpoint without news, in milliseconds. An instance with a call in
/// seven seconds sends one to each of six endpoints in about forty, so that a shorter memory would be
/// empty at most calls.
const CALL_HALF_LIFE: Millis = 30_000;

/// Slowdown up to which an endpoint is as good as the others: calls differ in what they ask for.
const EVEN_SLOWDOWN: f64 = 1.5;

/// Weight of a new call in the mean duration of an endpoint's calls.
const DURATION_SMOOTHING: f64 = 0.3;

/// Slowdown with a single call from which an endpoint's share counts as half.
const HALF_SHARE_SLOWDOWN: f64 = 2.0;

/// Durations of the calls to one endpoint.
#[derive(Debug)]
struct CallDurations {
    slowdown: LearnedCapacity,
    /// Mean duration, in milliseconds; `None` before the first call.
    mean_ms: Option<f64>,
    level: CapacityLevel,
}

impl CallDurations {
    fn new() -> Self {
        Self {
            slowdown: LearnedCapacity::new(CALL_HALF_LIFE),
            mean_ms: None,
            level: CapacityLevel::Ample,
        }
    }

    fn slowdown_at(&self, calls: usize, now: Millis) -> f64 {
        let slowdown = self.slowdown.curve(now).at(calls);
        if slowdown <= EVEN_SLOWDOWN {
            1.0
        } else {
            slowdown
        }
    }
}

#[derive(Debug)]
struct BalancedEndpoint {
    info: EndpointInfo,
    health: EndpointHealth,
    calls_in_flight: usize,
    durations: CallDurations,
}

/// Balances one instance's calls over the endpoints of one plain service.
#[derive(Debug)]
pub struct CallBalancer {
    domain: DomainId,
    endpoints: Vec<BalancedEndpoint>,
    is_learning: bool,
}

impl CallBalancer {
    /// Creates a balancer without endpoints that prefers those of failure domain `domain`.
    #[must_use]
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            endpoints: Vec::new(),
            is_learning: false,
        }
    }

    /// Lets the durations of calls decide, too, if `is_learning`.
    #[must_use]
    pub fn with_learned_capacity(mut self, is_learning: bool) -> Self {
        self.is_learning = is_learning;
        self
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
                durations: CallDurations::new(),
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
            .min_by(|left, right| self.cost(*left, now).total_cmp(&self.cost(*right, now)))?;
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

    /// Records the end of a call on an endpoint, and how long it took; no `duration` if the call was
    /// not sent.
    pub fn finish(
        &mut self,
        endpoint: &EndpointId,
        outcome: RunOutcome,
        duration: Option<Millis>,
        now: Millis,
    ) {
        if let (true, Some(duration)) = (self.is_learning, duration) {
            self.record_duration(endpoint, outcome, u64_to_f64(duration), now);
        }
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

    /// Learns from an answered call, or from one that got no answer.
    fn record_duration(
        &mut self,
        endpoint: &EndpointId,
        outcome: RunOutcome,
        duration_ms: f64,
        now: Millis,
    ) {
        if !matches!(outcome, RunOutcome::Served | RunOutcome::Silent) {
            return;
        }
        let usual_ms = self.usual_duration_ms();
        let is_same = |entry: &&mut BalancedEndpoint| entry.info.target.endpoint == *endpoint;
        let Some(entry) = self.endpoints.iter_mut().find(is_same) else {
            return;
        };
        let durations = &mut entry.durations;
        let mean_ms = durations.mean_ms.unwrap_or(duration_ms);
        durations.mean_ms = Some(mean_ms + (duration_ms - mean_ms) * DURATION_SMOOTHING);
        if let Some(usual_ms) = usual_ms {
            let ratio = duration_ms / usual_ms.max(1.0);
            durations.slowdown.record(entry.calls_in_flight, ratio, now);
        }
    }

    /// Lower median of the mean durations of the endpoints' calls, in milliseconds; `None` before the
    /// first call. Slow endpoints do not move it while they are fewer than half.
    fn usual_duration_ms(&self) -> Option<f64> {
        let means = self.endpoints.iter();
        let mut means: Vec<f64> = means.filter_map(|entry| entry.durations.mean_ms).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len().saturating_sub(1) / 2).copied()
    }

    /// Number of endpoints whose calls take longer than those of the others.
    #[must_use]
    pub fn reduced_endpoints(&self, now: Millis) -> usize {
        let is_reduced = |entry: &&BalancedEndpoint| {
            self.is_learning && entry.durations.slowdown_at(1, now) > 1.0
        };
        self.endpoints.iter().filter(is_reduced).count()
    }

    /// Endpoints whose share has fallen below half, or risen above it, since the last call.
    pub fn take_capacity_changes(&mut self, now: Millis) -> Vec<(EndpointId, CapacityLevel)> {
        if !self.is_learning {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for entry in &mut self.endpoints {
            let durations = &mut entry.durations;
            let slowdown = durations.slowdown_at(1, now);
            let level = if slowdown >= HALF_SHARE_SLOWDOWN {
                CapacityLevel::Low
            } else if slowdown <= 1.0 {
                CapacityLevel::Ample
            } else {
                durations.level
            };
            if level != durations.level {
                durations.level = level;
                changes.push((entry.info.target.endpoint.clone(), level));
            }
        }
        changes
    }

    fn cost(&self, index: usize, now: Millis) -> f64 {
        let entry = &self.endpoints[index];
        let mut calls_in_flight = usize_to_f64(entry.calls_in_flight);
        if self.is_learning {
            // The time that the call would take, in calls of an endpoint that is not slow.
            let slowdown = entry.durations.slowdown_at(entry.calls_in_flight + 1, now);
            calls_in_flight = (calls_in_flight + 1.0) * slowdown - 1.0;
        }
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
