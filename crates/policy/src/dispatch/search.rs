//! Searches the engines of a pool for the placement of a request: one engine, or several that share
//! the prefill of its prompt.
//!
//! Prefill does not run concurrently with decode on an engine but stalls it: every decoding request
//! pauses for as long as a pass prefills. Hence a part is only placed where the pauses of the
//! decoding requests stay within their targets; requests with tight targets are packed on few
//! engines; and a long prompt is split so that its parts are short, or placed on engines that
//! decode nothing with a tight target.

use super::endpoint::EndpointLoad;
use super::engine::EngineProfile;
use super::limits::DispatchLimits;
use super::placement::PlacementRequest;
use super::prefill_queue::{EngineMode, PartEstimate, PrefillShare};
use super::round::{EngineState, RoundState};
use crate::cast::{u64_to_f64, usize_to_f64};
use crate::ids::{DomainId, Millis};
use crate::rate_limit::RateTable;

/// Numbers of engines that the search considers splitting a prompt over.
const SPLIT_COUNTS: [usize; 10] = [1, 2, 3, 4, 5, 6, 8, 11, 14, 17];

/// How strictly a placement must keep the pause targets of other requests.
#[derives::tag]
pub(super) enum PausePolicy {
    /// All pause targets are kept.
    Strict,
    /// The request has waited long and may lengthen the pauses of others beyond their targets.
    Relaxed,
}

/// An engine that prefills a part of a prompt for the host.
#[derive(Debug, Clone)]
pub(super) struct HelperPlan {
    /// Index of the engine.
    pub(super) index: usize,
    /// Memory to reserve on the engine, in tokens.
    pub(super) reserved_tokens: u64,
}

/// A possible placement of a request.
#[derive(Debug, Clone)]
pub(super) struct PlacementPlan {
    /// Index of the engine that decodes the answer.
    pub(super) host: usize,
    /// Engines that prefill the other parts of the prompt; those with reserved memory first.
    pub(super) helpers: Vec<HelperPlan>,
    /// Memory of the host that the request may use, in tokens.
    pub(super) host_tokens: u64,
    /// Prefill time of one part by the cost model, in milliseconds.
    pub(super) part_ms: f64,
    /// Expected time until the first event, in milliseconds.
    pub(super) first_event_ms: f64,
    /// Time by which the parts should have been prefilled, in milliseconds of the clock.
    pub(super) due_ms: f64,
}

impl PlacementPlan {
    /// Indices of the engines, the host first.
    pub(super) fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        let helpers = self.helpers.iter().map(|helper| helper.index);
        std::iter::once(self.host).chain(helpers)
    }
}

/// An engine that may be used for a request, with the values that its cost depends on.
struct PlacementCandidate<'a> {
    index: usize,
    endpoint: &'a EndpointLoad,
    state: &'a EngineState,
    /// Prefill time that the pause targets of the hosted runs leave for the part, in milliseconds.
    prefill_budget_ms: f64,
}

impl PlacementCandidate<'_> {
    fn estimate(&self, share: PrefillShare) -> &PartEstimate {
        match share {
            PrefillShare::Whole => &self.state.whole_estimate,
            PrefillShare::Part => &self.state.part_estimate,
        }
    }

    /// Slowdown of the engine with the part: the only engine of a prompt hosts it, and most engines
    /// that share one do not.
    fn slowdown(&self, share: PrefillShare) -> f64 {
        match share {
            PrefillShare::Whole => self.state.next_slowdown,
            PrefillShare::Part => self.state.slowdown,
        }
    }

    fn part_end_ms(&self, share: PrefillShare, part_ms: f64) -> f64 {
        self.estimate(share).delay_ms + part_ms * self.slowdown(share)
    }

    fn fits(&self, share: PrefillShare, part_ms: f64) -> bool {
        let longer_pass_ms = match share {
            PrefillShare::Whole => self.longer_pass_ms(),
            PrefillShare::Part => 0.0,
        };
        let budget_ms = self.prefill_budget_ms - longer_pass_ms;
        part_ms * self.slowdown(share) <= budget_ms.min(self.estimate(share).slack_ms)
    }

    /// Time by which one more hosted run lengthens the passes beyond the cost model.
    fn longer_pass_ms(&self) -> f64 {
        self.state.next_pass_ms - self.state.pass_ms
    }

    /// Whether the engine can decode a run whose events should come at most `pause_ms` apart.
    ///
    /// On an engine without decoding runs, a part goes ahead of all pending prefill, which then
    /// runs in the same pass as the run's second event and delays that event.
    fn can_decode(&self, share: PrefillShare, pause_ms: f64) -> bool {
        let defers_pending =
            share == PrefillShare::Part && self.state.part_estimate.mode == EngineMode::PrefillOnly;
        !defers_pending || self.state.part_estimate.pending_ms + self.state.next_pass_ms <= pause_ms
    }
}

/// Upper bound of the memory, in tokens, that each engine with a part of a prompt loses to
/// rounding.
const ROUNDING_TOKENS: u64 = 64;

/// An engine with the cost of placing a part on it, in milliseconds.
type CostedCandidate<'a, 'b> = (f64, &'b PlacementCandidate<'a>);

/// The engines chosen for a request; each helper with the memory to reserve on it, in tokens.
struct ChosenEngines<'a, 'b> {
    host: CostedCandidate<'a, 'b>,
    helpers: Vec<(CostedCandidate<'a, 'b>, u64)>,
    host_tokens: u64,
}

impl ChosenEngines<'_, '_> {
    /// Expected time from the end of the slowest part to the end of the host's pass, in
    /// milliseconds: half a pass if a helper is the slowest, zero if the host is.
    fn host_wait_ms(&self, slowest: f64, part_ms: f64) -> f64 {
        let host = self.host.1;
        let share = PrefillShare::for_engines(self.helpers.len() + 1);
        if host.part_end_ms(share, part_ms) >= slowest {
            return 0.0;
        }
        host.state.next_pass_ms / 2.0
    }
}

/// Searches the engines of one pool for placements.
pub(super) struct PlacementSearch<'a> {
    pub(super) profile: &'a EngineProfile,
    pub(super) limits: &'a DispatchLimits,
    pub(super) rates: &'a RateTable,
    pub(super) endpoints: &'a [EndpointLoad],
    pub(super) round: &'a RoundState,
    /// Indices of the engines that the request may use.
    pub(super) usable: &'a [usize],
    pub(super) now: Millis,
}

impl PlacementSearch<'_> {
    /// The cheapest placement of `request`; `None` if no engines can take it now.
    pub(super) fn plan(
        &self,
        request: &PlacementRequest,
        pause_policy: PausePolicy,
    ) -> Option<PlacementPlan> {
        let candidates = self.candidates(request, pause_policy);
        let prefill_ms = self.profile.prefill_ms(request.prompt_tokens);
        let mut best: Option<(f64, PlacementPlan)> = None;
        for split in SPLIT_COUNTS {
            let part_ms = prefill_ms / usize_to_f64(split);
            let is_too_many = split > candidates.len() || split > self.limits.most_splits;
            if split > 1 && (part_ms < self.limits.shortest_part_ms || is_too_many) {
                break;
            }
            let Some((cost, plan)) = self.plan_split(request, &candidates, split, part_ms) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    fn candidates(
        &self,
        request: &PlacementRequest,
        pause_policy: PausePolicy,
    ) -> Vec<PlacementCandidate<'_>> {
        let may_get_request = |index: &&usize| {
            let endpoint = &self.endpoints[**index].info.target.endpoint;
            self.rates.wait_ms(endpoint, self.now) == 0
        };
        let usable = self.usable.iter().filter(may_get_request);
        let candidate = |index: &usize| {
            let state = self.round.engine(*index)?;
            Some(PlacementCandidate {
                index: *index,
                endpoint: &self.endpoints[*index],
                state,
                prefill_budget_ms: self.prefill_budget_ms(state, request, pause_policy),
            })
        };
        usable.filter_map(candidate).collect()
    }

    /// Prefill time that may be added to the next pass of an engine without breaking the pause
    /// targets of the hosted runs, in milliseconds.
    fn prefill_budget_ms(
        &self,
        state: &EngineState,
        request: &PlacementRequest,
        pause_policy: PausePolicy,
    ) -> f64 {
        let limits = self.limits;
        let is_tight_request = request.pause_aim <= limits.tight_pause;
        if is_tight_request && pause_policy == PausePolicy::Relaxed {
            return f64::INFINITY;
        }
        let Some(pause) = state.tightest_pause else {
            return f64::INFINITY;
        };
        let pass_ms = state.pass_ms + state.part_estimate.same_pass_ms;
        let slack = match pause_policy {
            PausePolicy::Relaxed if pause > limits.tight_pause => limits.relaxed_pause,
            PausePolicy::Relaxed | PausePolicy::Strict => 1.0,
        };
        u64_to_f64(pause) * limits.pause_share * slack - pass_ms
    }

    /// Time by which the prompt of `request` should have been prefilled if its first event is
    /// expected in `first_event_ms`, in milliseconds of the clock.
    fn due_ms(&self, request: &PlacementRequest, first_event_ms: f64) -> f64 {
        let limits = self.limits;
        let target_left_ms = u64_to_f64(request.first_event_aim.saturating_sub(request.waited));
        let planned = first_event_ms + limits.most_delay_ms;
        u64_to_f64(self.now) + planned.max(target_left_ms * limits.due_share)
    }

    fn plan_split(
        &self,
        request: &PlacementRequest,
        candidates: &[PlacementCandidate<'_>],
        split: usize,
        part_ms: f64,
    ) -> Option<(f64, PlacementPlan)> {
        let share = PrefillShare::for_engines(split);
        let cost = |candidate: &PlacementCandidate<'_>| {
            let delay_cost_ms = candidate.estimate(share).pending_ms * self.limits.delay_weight;
            candidate.part_end_ms(share, part_ms)
                + self.penalty_ms(request, candidate)
                + delay_cost_ms
        };
        let mut fitting: Vec<CostedCandidate<'_, '_>> = candidates
            .iter()
            .filter(|candidate| candidate.fits(share, part_ms))
            .map(|candidate| (cost(candidate), candidate))
            .collect();
        fitting.sort_by(|left, right| left.0.total_cmp(&right.0));
        let tokens = request.prompt_tokens + request.output_tokens;
        let chosen = self.choose_with_host_memory(request, &fitting, split, tokens);
        let chosen =
            chosen.or_else(|| self.choose_with_reservations(request, &fitting, split, tokens))?;
        let all =
            std::iter::once(&chosen.host).chain(chosen.helpers.iter().map(|(helper, _)| helper));
        let slowest = all
            .clone()
            .map(|(_, candidate)| candidate.part_end_ms(share, part_ms))
            .fold(0.0, f64::max);
        let highest_cost = all.map(|entry| entry.0).fold(0.0, f64::max);
        let helpers = chosen.helpers.iter();
        let first_event_ms = slowest + chosen.host_wait_ms(slowest, part_ms);
        let plan = PlacementPlan {
            host: chosen.host.1.index,
            helpers: helpers
                .map(|((_, candidate), reserved_tokens)| HelperPlan {
                    index: candidate.index,
                    reserved_tokens: *reserved_tokens,
                })
                .collect(),
            host_tokens: chosen.host_tokens,
            part_ms,
            first_event_ms,
            due_ms: self.due_ms(request, first_event_ms),
        };
        let helpers_ms = self.limits.helper_ms * usize_to_f64(split - 1);
        let cost = highest_cost + helpers_ms + self.cross_domain_ms(request, chosen.host.1);
        Some((cost, plan))
    }

    fn can_host(
        &self,
        request: &PlacementRequest,
        candidate: &PlacementCandidate<'_>,
        split: usize,
    ) -> bool {
        let pause_ms = u64_to_f64(request.pause_aim) * self.limits.pause_share;
        candidate.endpoint.hosted.len() < self.profile.slots
            && candidate.can_decode(PrefillShare::for_engines(split), pause_ms)
    }

    /// Whether the engine may prefill a part for another one; one that has named a limit on its
    /// requests is spared. A cold one is a candidate only when its next request is due, and the part
    /// counts as that request.
    fn can_help(&self, candidate: &PlacementCandidate<'_>) -> bool {
        let is_limited = self
            .rates
            .named_rate(&candidate.endpoint.info.target.endpoint)
            .is_some();
        !is_limited && candidate.endpoint.helped.len() < self.profile.slots
    }

    /// The cheapest engines if the host alone holds the request's memory.
    fn choose_with_host_memory<'a, 'b>(
        &self,
        request: &PlacementRequest,
        fitting: &[CostedCandidate<'a, 'b>],
        split: usize,
        tokens: u64,
    ) -> Option<ChosenEngines<'a, 'b>> {
        let is_host = |entry: &&CostedCandidate<'_, '_>| {
            self.can_host(request, entry.1, split) && entry.1.state.free_tokens >= tokens
        };
        let hosting_cost = |entry: &CostedCandidate<'_, '_>| {
            let opens_engine = split > 1 && entry.1.endpoint.hosted.is_empty();
            let open_ms = if opens_engine {
                self.limits.host_open_ms
            } else {
                0.0
            };
            entry.0 + open_ms + self.cross_domain_ms(request, entry.1)
        };
        let host = *fitting
            .iter()
            .filter(is_host)
            .min_by(|left, right| hosting_cost(left).total_cmp(&hosting_cost(right)))?;
        let helpers: Vec<(CostedCandidate<'a, 'b>, u64)> = fitting
            .iter()
            .filter(|entry| entry.1.index != host.1.index && self.can_help(entry.1))
            .take(split - 1)
            .map(|entry| (*entry, 0))
            .collect();
        (helpers.len() == split - 1).then_some(ChosenEngines {
            host,
            helpers,
            host_tokens: tokens,
        })
    }

    /// Engines that hold the request's memory together: first those with the most free memory, then
    /// the cheapest.
    fn choose_with_reservations<'a, 'b>(
        &self,
        request: &PlacementRequest,
        fitting: &[CostedCandidate<'a, 'b>],
        split: usize,
        tokens: u64,
    ) -> Option<ChosenEngines<'a, 'b>> {
        let mut by_memory: Vec<CostedCandidate<'a, 'b>> = fitting.to_vec();
        by_memory.sort_by_key(|entry| std::cmp::Reverse(entry.1.state.free_tokens));
        let host_position = by_memory.iter().position(|entry| {
            self.can_host(request, entry.1, split) && entry.1.state.tight_runs == 0
        })?;
        let host = by_memory.remove(host_position);
        let mut remaining_tokens = tokens + ROUNDING_TOKENS;
        let host_tokens = remaining_tokens.min(host.1.state.free_tokens);
        remaining_tokens -= host_tokens;
        let mut helpers: Vec<(CostedCandidate<'a, 'b>, u64)> = Vec::new();
        for entry in by_memory {
            if remaining_tokens == 0 || helpers.len() == split - 1 {
                break;
            }
            if !self.can_help(entry.1) || entry.1.state.free_tokens <= ROUNDING_TOKENS {
                continue;
            }
            let reserved = (remaining_tokens + ROUNDING_TOKENS).min(entry.1.state.free_tokens);
            remaining_tokens = remaining_tokens.saturating_sub(reserved - ROUNDING_TOKENS);
            helpers.push((entry, reserved));
        }
        if remaining_tokens > 0 {
            return None;
        }
        for entry in fitting {
            let is_used = entry.1.index == host.1.index
                || helpers
                    .iter()
                    .any(|(used, _)| used.1.index == entry.1.index);
            if helpers.len() < split - 1 && !is_used && self.can_help(entry.1) {
                helpers.push((*entry, 0));
            }
        }
        (helpers.len() == split - 1).then_some(ChosenEngines {
            host,
            helpers,
            host_tokens,
        })
    }

    /// Cost of an answer that crosses failure domains, in milliseconds; zero within the caller's.
    fn cross_domain_ms(&self, request: &PlacementRequest, host: &PlacementCandidate<'_>) -> f64 {
        let is_remote = |domain: &DomainId| *domain != host.endpoint.info.domain;
        if request.caller_domain.as_ref().is_some_and(is_remote) {
            return self.limits.far_ms;
        }
        0.0
    }

    /// Cost of a part of `request` on an engine beyond the time it takes, in milliseconds.
    fn penalty_ms(&self, request: &PlacementRequest, candidate: &PlacementCandidate<'_>) -> f64 {
        let limits = self.limits;
        if request.pause_aim > limits.tight_pause {
            return if candidate.state.tight_runs > 0 {
                limits.beside_ms
            } else {
                0.0
            };
        }
        if candidate.state.tight_runs == 0 {
            return limits.open_ms;
        }
        let packed_writers = limits.packed_writers.min(candidate.state.capacity);
        if candidate.state.tight_runs < packed_writers {
            let vacant = usize_to_f64(packed_writers - candidate.state.tight_runs);
            return limits.gather_ms * vacant / usize_to_f64(limits.packed_writers);
        }
        let excess = (candidate.state.tight_runs + 1).saturating_sub(packed_writers);
        usize_to_f64(excess) * limits.open_ms / 4.0
    }
}
