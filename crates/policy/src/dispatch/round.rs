//! State of the engines during one placement round.
//!
//! A round decides on many requests at one moment. What does not depend on the request is computed
//! once per engine, and again only for the engines of a run that the round has placed.

use std::rc::Rc;

use super::endpoint::EndpointLoad;
use super::engine::EngineProfile;
use super::limits::DispatchLimits;
use super::placement::{PlacementRequest, PlacementScope};
use super::prefill_queue::{EngineMode, PartEstimate, PrefillShare};
use crate::cast::{f64_to_u64, u64_to_f64};
use crate::ids::Millis;

/// Values of one engine that the cost of a placement depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineState {
    /// Slowdown with the runs that the engine hosts.
    pub(super) slowdown: f64,
    /// Slowdown with one more hosted run.
    pub(super) next_slowdown: f64,
    /// Concurrent runs that the engine takes before its times rise; unbounded if that is not
    /// learned.
    pub(super) capacity: usize,
    /// Estimate for a whole prompt that is queued now.
    pub(super) whole_estimate: PartEstimate,
    /// Estimate for a part of a prompt that is queued now.
    pub(super) part_estimate: PartEstimate,
    /// Time of a pass without prefill once all hosted runs decode, in milliseconds.
    pub(super) pass_ms: f64,
    /// The same time at the slowdown with one more hosted run.
    pub(super) next_pass_ms: f64,
    /// Number of hosted runs with a tight pause target.
    pub(super) tight_runs: usize,
    /// The smallest pause target of the hosted runs; `None` if there are none.
    pub(super) tightest_pause: Option<Millis>,
    /// Free memory in tokens.
    pub(super) free_tokens: u64,
}

impl EngineState {
    fn new(
        endpoint: &EndpointLoad,
        profile: &EngineProfile,
        limits: &DispatchLimits,
        now: Millis,
    ) -> Self {
        let hosted = endpoint.hosted.len();
        let slowdown = endpoint.slowdown(now);
        let next_slowdown = endpoint.health.slowdown_at(hosted + 1, now);
        let curve = endpoint.health.curve(now);
        let capacity = curve.map_or(usize::MAX, |curve| curve.capacity(profile.slots));
        let published_pass_ms = endpoint.pass_ms(profile);
        let pass_ms = published_pass_ms * slowdown;
        let estimate = |share| {
            let mut part_estimate = endpoint.estimate(profile, share, now);
            if part_estimate.mode == EngineMode::PrefillOnly && pass_ms > 0.0 {
                // A hosted run may start to decode before the part has been prefilled.
                part_estimate.delay_ms = part_estimate.pending_ms + pass_ms;
            }
            part_estimate
        };
        let total = u64_to_f64(profile.memory_tokens) * limits.memory_share;
        Self {
            slowdown,
            next_slowdown,
            capacity,
            whole_estimate: estimate(PrefillShare::Whole),
            part_estimate: estimate(PrefillShare::Part),
            pass_ms,
            next_pass_ms: published_pass_ms * next_slowdown,
            tight_runs: endpoint.tight_run_count(limits),
            tightest_pause: endpoint.tightest_pause_aim(),
            free_tokens: f64_to_u64(total).saturating_sub(endpoint.memory_used()),
        }
    }
}

/// State of the engines of a pool during one round; the engines have been advanced to its time.
#[derive(Debug)]
pub(super) struct RoundState {
    now: Millis,
    /// One entry per endpoint; `None` for those that are not ready.
    engines: Vec<Option<EngineState>>,
    /// All pending prefill of the ready engines, in milliseconds.
    pending_ms: f64,
    /// Usable engines of requests without excluded endpoints, by scope.
    usable: Vec<(PlacementScope, Rc<[usize]>)>,
}

impl RoundState {
    pub(super) fn new(
        endpoints: &[EndpointLoad],
        profile: &EngineProfile,
        limits: &DispatchLimits,
        now: Millis,
    ) -> Self {
        let state = |endpoint: &EndpointLoad| {
            let is_ready = endpoint.is_ready();
            is_ready.then(|| EngineState::new(endpoint, profile, limits, now))
        };
        let engines: Vec<Option<EngineState>> = endpoints.iter().map(state).collect();
        Self {
            now,
            pending_ms: pending_ms(&engines),
            engines,
            usable: Vec::new(),
        }
    }

    /// Computes the state of an engine again, after a run was placed on it.
    pub(super) fn refresh(
        &mut self,
        index: usize,
        endpoint: &EndpointLoad,
        profile: &EngineProfile,
        limits: &DispatchLimits,
    ) {
        let state = EngineState::new(endpoint, profile, limits, self.now);
        self.engines[index] = Some(state);
        self.pending_ms = pending_ms(&self.engines);
    }

    /// Time of the round.
    pub(super) fn now(&self) -> Millis {
        self.now
    }

    /// State of an engine; `None` if it is not ready.
    pub(super) fn engine(&self, index: usize) -> Option<&EngineState> {
        self.engines[index].as_ref()
    }

    /// All pending prefill of the ready engines, in milliseconds.
    pub(super) fn pending_ms(&self) -> f64 {
        self.pending_ms
    }

    /// Indices of the engines that may be used for `request`: ready, not excluded, not ejected and
    /// within scope.
    ///
    /// If all ready engines are ejected, or none is within the scope, that condition is ignored.
    pub(super) fn usable(
        &mut self,
        endpoints: &[EndpointLoad],
        request: &PlacementRequest,
    ) -> Rc<[usize]> {
        if !request.excluded.is_empty() {
            return usable(endpoints, request, self.now).into();
        }
        let known = self
            .usable
            .iter()
            .find(|(scope, _)| *scope == request.scope);
        if let Some((_, indices)) = known {
            return Rc::clone(indices);
        }
        let indices: Rc<[usize]> = usable(endpoints, request, self.now).into();
        let entry = (request.scope.clone(), Rc::clone(&indices));
        self.usable.push(entry);
        indices
    }
}

fn pending_ms(engines: &[Option<EngineState>]) -> f64 {
    let ready = engines.iter().flatten();
    ready.map(|engine| engine.whole_estimate.pending_ms).sum()
}

fn usable(endpoints: &[EndpointLoad], request: &PlacementRequest, now: Millis) -> Vec<usize> {
    let is_available = |index: &usize| {
        let endpoint = &endpoints[*index];
        endpoint.is_ready() && !request.excluded.contains(&endpoint.info.target.endpoint)
    };
    let available: Vec<usize> = (0..endpoints.len()).filter(is_available).collect();
    let healthy = without_ejected(endpoints, &available, now);
    let PlacementScope::Domain(domain) = &request.scope else {
        return healthy;
    };
    let is_in_domain = |index: &usize| endpoints[*index].info.domain == *domain;
    let in_domain: Vec<usize> = healthy.iter().copied().filter(is_in_domain).collect();
    if in_domain.is_empty() {
        healthy
    } else {
        in_domain
    }
}

/// The engines that are not ejected, or all of them if every one is ejected.
fn without_ejected(endpoints: &[EndpointLoad], available: &[usize], now: Millis) -> Vec<usize> {
    let is_healthy = |index: &usize| !endpoints[*index].health.is_ejected(now);
    let healthy: Vec<usize> = available.iter().copied().filter(is_healthy).collect();
    if healthy.is_empty() {
        return available.to_vec();
    }
    healthy
}
