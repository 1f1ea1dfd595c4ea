//! The engines of one pool: the runs on them, and the decisions on the pool's queued requests.

use std::collections::HashMap;

use super::endpoint::{EndpointLoad, HelpedRun, HostedRun};
use super::engine::EngineProfile;
use super::health::FailureKind;
use super::limits::DispatchLimits;
use super::outage::OutageTable;
use super::placement::{
    EndpointInfo, HelperGrant, InFlightEndpoint, InFlightRun, PlacementDecision, PlacementGrant,
    PlacementRequest, RunKey, RunOutcome, RunPhase, RunReport,
};
use super::prefill_queue::{PrefillShare, QueuedPart};
use super::queued_request::{QueueClass, QueueContention, QueuedRequest, retry_after_time};
use super::round::RoundState;
use super::search::{HelperPlan, PausePolicy, PlacementPlan, PlacementSearch};
use super::short_queue::ShortQueueGauge;
use crate::cast::{f64_to_u64, u64_to_f64, usize_to_f64};
use crate::ids::{EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason};
use crate::poison::Fingerprint;
use crate::rate_limit::RateTable;
use crate::retry::RetryBudget;

/// Retry-after of a request that no endpoint can serve, in milliseconds.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Millis = 700;

/// Multiple of its expected time after which, with [`OVERDUE_SLACK_MS`], a first event is overdue.
const OVERDUE_TIMES: f64 = 3.0;

/// Longest pass of an engine that meets its pause targets, in milliseconds.
const OVERDUE_SLACK_MS: f64 = 1_000.0;

/// Interval of the checks for overdue first events, in milliseconds: short against the slack.
const OVERDUE_CHECK_PERIOD: Millis = 100;

/// A run in flight.
#[derive(Debug, Clone)]
pub(super) struct PlacedRun {
    /// Indices of its engines, the host first.
    engines: Vec<usize>,
    pub(super) phase: RunPhase,
    placed_at: Millis,
    /// Expected time until the first event when the run was placed, in milliseconds.
    first_event_ms: f64,
    /// Whether the first event was found to be overdue.
    is_overdue: bool,
    /// Largest slowdown of its engines when the run was placed.
    slowdown: f64,
    pub(super) fingerprint: Fingerprint,
}

/// Queued requests that were considered earlier in a round and not decided.
#[derive(Debug, Default)]
struct QueuedAhead {
    count: usize,
    /// Sum of their prefill times, in milliseconds.
    prefill_ms: f64,
    /// How many of them can still be in time.
    on_time: usize,
}

impl QueuedAhead {
    fn contention(&self) -> QueueContention {
        if self.on_time > 0 {
            QueueContention::OnTimeQueued
        } else {
            QueueContention::LateOnly
        }
    }
}

/// A run that has ended.
pub(super) struct EndedRun {
    pub(super) fingerprint: Fingerprint,
    pub(super) host: EndpointId,
    /// Whether the host's failure domain is evacuated.
    pub(super) is_host_evacuated: bool,
    pub(super) phase: RunPhase,
}

/// The endpoints, queued requests and runs of one pool.
#[derive(Debug)]
pub(super) struct PoolDispatcher {
    pub(super) profile: EngineProfile,
    pub(super) endpoints: Vec<EndpointLoad>,
    pub(super) queued: Vec<QueuedRequest>,
    pub(super) runs: HashMap<RunKey, PlacedRun>,
    pub(super) budget: RetryBudget,
    pub(super) outages: OutageTable,
    pub(super) short_gauge: ShortQueueGauge,
    /// When runs are next checked for overdue first events.
    pub(super) next_overdue_check: Millis,
    pub(super) work: DispatchWork,
}

/// Work that a dispatcher has done so far.
#[derives::value]
#[derive(Default)]
pub struct DispatchWork {
    /// Searches for a placement.
    pub searches: u64,
    /// Decisions on a queued request, with or without a search.
    pub considered: u64,
}

impl PoolDispatcher {
    pub(super) fn add_endpoint(&mut self, info: &EndpointInfo, limits: &DispatchLimits) {
        let is_known = |endpoint: &EndpointLoad| endpoint.info.target == info.target;
        if self.endpoints.iter().any(is_known) {
            return;
        }
        let mut added = EndpointLoad::new(info.clone());
        if limits.learned_capacity {
            added.health = added.health.with_learned_capacity();
        }
        match self.endpoints.iter().position(EndpointLoad::is_replaceable) {
            Some(index) => self.endpoints[index] = added,
            None => self.endpoints.push(added),
        }
    }

    /// Records the first event of a run. Returns its host and when it was placed, unless the run is
    /// unknown or decodes already.
    pub(super) fn first_event(&mut self, key: RunKey, now: Millis) -> Option<(EndpointId, Millis)> {
        let run = self.runs.get_mut(&key)?;
        if run.phase == RunPhase::Decode {
            return None;
        }
        run.phase = RunPhase::Decode;
        let elapsed_ms = u64_to_f64(now.saturating_sub(run.placed_at));
        let is_starting = |index: &usize| self.endpoints[*index].health.is_starting(now);
        if run.engines.iter().any(is_starting) {
            let relative = elapsed_ms / (run.first_event_ms / run.slowdown).max(1.0);
            let relative = relative / usual_slowdown(&self.endpoints, now);
            for index in &run.engines {
                self.endpoints[*index].health.answered(relative);
            }
        }
        for (position, index) in run.engines.iter().enumerate() {
            let endpoint = &mut self.endpoints[*index];
            endpoint.end_prefill(&self.profile, key, now);
            if position == 0 {
                endpoint.start_decode(&self.profile, key, now);
            }
            let hosted = endpoint.hosted.len();
            let expected_ms = run.first_event_ms / run.slowdown;
            endpoint
                .health
                .record_latency(hosted, expected_ms, elapsed_ms, now);
        }
        let host = &self.endpoints[*run.engines.first()?];
        Some((host.info.target.endpoint.clone(), run.placed_at))
    }

    pub(super) fn finish(
        &mut self,
        key: RunKey,
        report: &RunReport,
        now: Millis,
    ) -> Option<EndedRun> {
        let run = self.runs.remove(&key)?;
        for (position, index) in run.engines.iter().enumerate() {
            let endpoint = &mut self.endpoints[*index];
            if run.phase == RunPhase::Prefill {
                endpoint.end_prefill(&self.profile, key, now);
            }
            if position == 0 {
                endpoint.end_hosting(&self.profile, key, now);
            } else {
                endpoint.helped.retain(|helped| helped.key != key);
            }
        }
        self.record_outcome(&run, report, now);
        let host = run.engines.first().map(|index| &self.endpoints[*index]);
        host.map(|host| EndedRun {
            fingerprint: run.fingerprint,
            host: host.info.target.endpoint.clone(),
            is_host_evacuated: host.is_evacuated(),
            phase: run.phase,
        })
    }

    /// Updates the health of the run's engines: a failure counts against the endpoint at fault, or
    /// else the host, unless that is evacuated.
    fn record_outcome(&mut self, run: &PlacedRun, report: &RunReport, now: Millis) {
        let kind = match report.outcome {
            RunOutcome::CallerLeft | RunOutcome::NoPath => return,
            RunOutcome::Served => {
                for index in &run.engines {
                    self.endpoints[*index].health.succeeded();
                }
                return;
            }
            // The overdue first event has counted already.
            RunOutcome::Silent if run.is_overdue => return,
            RunOutcome::NotConnected => FailureKind::Unresponsive,
            RunOutcome::Silent if run.engines.len() == 1 => FailureKind::Unresponsive,
            // With helpers, silence does not show which of the engines is unresponsive.
            RunOutcome::Silent | RunOutcome::Broken | RunOutcome::Failed => FailureKind::RunFailed,
            RunOutcome::Refused => FailureKind::Full,
        };
        let at_fault = report.at_fault.and_then(|address| {
            run.engines
                .iter()
                .find(|index| self.endpoints[**index].info.target.address == address)
        });
        let Some(index) = at_fault.or(run.engines.first()) else {
            return;
        };
        if self.endpoints[*index].is_evacuated() {
            return;
        }
        self.endpoints[*index].health.failed(kind, now);
        if report.outcome == RunOutcome::NotConnected {
            self.record_unreachable(*index, now);
        }
    }

    /// Ejects a whole failure domain when several of its endpoints cannot be reached.
    pub(super) fn record_unreachable(&mut self, index: usize, now: Millis) {
        let info = self.endpoints[index].info.clone();
        let is_in_domain =
            |known: &&EndpointLoad| known.is_ready() && known.info.domain == info.domain;
        let ready = self.endpoints.iter().filter(is_in_domain).count();
        let endpoint = &info.target.endpoint;
        let outage = self.outages.failed(&info.domain, endpoint, ready, now);
        let Some(ejection_time) = outage else {
            return;
        };
        for known in &mut self.endpoints {
            if known.info.domain == info.domain {
                known.health.eject(now + ejection_time);
            }
        }
    }

    pub(super) fn adopt(&mut self, key: RunKey, in_flight: &InFlightRun, now: Millis) -> bool {
        let plan_of = |in_flight: &InFlightEndpoint| {
            let is_same = |known: &EndpointLoad| known.info.target.endpoint == in_flight.endpoint;
            let index = self.endpoints.iter().position(is_same)?;
            Some(HelperPlan {
                index,
                reserved_tokens: in_flight.reserved_tokens,
            })
        };
        let engines: Option<Vec<HelperPlan>> = in_flight.endpoints.iter().map(plan_of).collect();
        let Some(engines) = engines.filter(|engines| !engines.is_empty()) else {
            return false;
        };
        let split = usize_to_f64(engines.len());
        let part_ms = match in_flight.phase {
            RunPhase::Prefill => self.profile.prefill_ms(in_flight.request.prompt_tokens) / split,
            RunPhase::Decode => 0.0,
        };
        let reserved: u64 = engines.iter().map(|engine| engine.reserved_tokens).sum();
        let tokens = in_flight.request.prompt_tokens + in_flight.request.output_tokens;
        let plan = PlacementPlan {
            host: engines[0].index,
            helpers: engines[1..].to_vec(),
            host_tokens: tokens.saturating_sub(reserved),
            part_ms,
            first_event_ms: part_ms,
            due_ms: u64_to_f64(now + in_flight.request.time_left),
        };
        self.commit(key, &in_flight.request, &plan, now);
        if in_flight.phase == RunPhase::Decode {
            self.first_event(key, now);
        }
        true
    }

    /// The refusal of a short request that would wait for longer than its target behind those that
    /// are queued.
    pub(super) fn short_refusal(
        &mut self,
        limits: &DispatchLimits,
        request: &PlacementRequest,
        now: Millis,
    ) -> Option<Refusal> {
        if request.pause_aim > limits.tight_pause {
            return None;
        }
        let is_on_time = |queued: &&QueuedRequest| queued.class(limits, now) == QueueClass::Short;
        let queued = self.queued.iter().filter(is_on_time).count();
        let target = request.first_event_aim;
        let wait_ms = self.short_gauge.excess_wait(limits, queued, target, now)?;
        let retry_after = retry_after_time(limits, wait_ms, request.time_left);
        Some(Refusal::new(RefusalReason::Overloaded, retry_after))
    }

    /// Ejects the hosts of runs whose first event is overdue.
    ///
    /// An instance may wait longer for an engine that says that it is busy, and reports nothing
    /// meanwhile. Without the ejection a full engine, which its cost model takes for idle, would get
    /// more and more requests.
    pub(super) fn eject_overdue(&mut self, now: Millis) {
        if now < self.next_overdue_check {
            return;
        }
        self.next_overdue_check = now + OVERDUE_CHECK_PERIOD;
        for run in self.runs.values_mut() {
            let limit_ms = run.first_event_ms * OVERDUE_TIMES + OVERDUE_SLACK_MS;
            let elapsed_ms = u64_to_f64(now.saturating_sub(run.placed_at));
            let is_unshared = run.engines.len() == 1;
            let is_new = run.phase == RunPhase::Prefill && !run.is_overdue;
            if !is_new || !is_unshared || elapsed_ms <= limit_ms {
                continue;
            }
            run.is_overdue = true;
            let host = &mut self.endpoints[run.engines[0]];
            if !host.is_evacuated() {
                host.health.failed(FailureKind::Unresponsive, now);
            }
        }
    }

    /// Decides on all queued requests.
    pub(super) fn decide(
        &mut self,
        limits: &DispatchLimits,
        rates: &mut RateTable,
        now: Millis,
        decisions: &mut Vec<(RunKey, PlacementDecision)>,
    ) {
        if self.queued.is_empty() {
            return;
        }
        let mut round = self.start_round(limits, now);
        let queued = std::mem::take(&mut self.queued);
        let with_key = |queued: QueuedRequest| {
            let key = (queued.class(limits, now), queued.rank(limits, now));
            (key, queued)
        };
        let mut ranked: Vec<_> = queued.into_iter().map(with_key).collect();
        ranked
            .sort_by(|(left, _), (right, _)| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let mut ahead = QueuedAhead::default();
        for ((class, _), mut queued) in ranked {
            let decision = self.decide_one(&queued, limits, rates, &ahead, &mut round);
            if let Some(decision) = decision {
                decisions.push((queued.key, decision));
                continue;
            }
            queued.is_new = false;
            ahead.count += 1;
            if class != QueueClass::Late {
                ahead.on_time += 1;
            }
            ahead.prefill_ms += queued.prefill_ms;
            self.queued.push(queued);
        }
    }

    /// Decides on short requests that have arrived since the last decision, ahead of those that are
    /// queued: their targets are the nearest, and in a burst the newest can still be in time.
    pub(super) fn decide_new(
        &mut self,
        limits: &DispatchLimits,
        rates: &mut RateTable,
        now: Millis,
        decisions: &mut Vec<(RunKey, PlacementDecision)>,
    ) {
        let is_new = |queued: &QueuedRequest| {
            queued.is_new && queued.class(limits, now) == QueueClass::Short
        };
        if !self.queued.iter().any(is_new) {
            return;
        }
        let mut round = self.start_round(limits, now);
        for mut queued in std::mem::take(&mut self.queued) {
            let is_considered = is_new(&queued);
            queued.is_new &= !is_considered;
            if is_considered {
                let ahead = QueuedAhead::default();
                let decision = self.decide_one(&queued, limits, rates, &ahead, &mut round);
                if let Some(decision) = decision {
                    decisions.push((queued.key, decision));
                    continue;
                }
            }
            self.queued.push(queued);
        }
    }

    fn start_round(&mut self, limits: &DispatchLimits, now: Millis) -> RoundState {
        for endpoint in &mut self.endpoints {
            endpoint.advance(&self.profile, now);
        }
        RoundState::new(&self.endpoints, &self.profile, limits, now)
    }

    fn decide_one(
        &mut self,
        queued: &QueuedRequest,
        limits: &DispatchLimits,
        rates: &mut RateTable,
        ahead: &QueuedAhead,
        round: &mut RoundState,
    ) -> Option<PlacementDecision> {
        let now = round.now();
        self.work.considered += 1;
        let usable_endpoints = round.usable(&self.endpoints, &queued.request);
        let usable = usable_endpoints.len();
        let endpoints = usable_endpoints
            .iter()
            .map(|index| &self.endpoints[*index].info.target.endpoint);
        let limit_wait_ms = rates.expected_wait_ms(endpoints, ahead.count, now);
        if usable == 0 {
            let refusal = Refusal::new(RefusalReason::NoEndpoint, NO_ENDPOINT_RETRY_AFTER);
            return Some(PlacementDecision::Refused(refusal));
        }
        let engines = usable.min(limits.most_splits);
        let memory = self.profile.memory_tokens * engines as u64;
        if queued.request.prompt_tokens + queued.request.output_tokens > memory {
            let refusal = Refusal::new(RefusalReason::PromptTooLarge, queued.request.time_left);
            return Some(PlacementDecision::Refused(refusal));
        }
        let ideal_ms = self.ideal_ms(queued, engines);
        let can_be_accepted = queued.can_be_accepted(limits, engines, now);
        if ahead.count < limits.tries_per_round && can_be_accepted {
            let plan = self.search(queued, limits, rates, round, &usable_endpoints);
            let contention = ahead.contention();
            let accepted = plan.filter(|plan| {
                queued.accepts(limits, plan.first_event_ms, ideal_ms, contention, now)
            });
            if let Some(plan) = accepted {
                rates.take(&self.endpoints[plan.host].info.target.endpoint, now);
                for helper in &plan.helpers {
                    rates.take_cold(&self.endpoints[helper.index].info.target.endpoint, now);
                }
                if queued.is_short(limits) {
                    self.short_gauge.placed(now);
                }
                let grant = self.commit(queued.key, &queued.request, &plan, now);
                for index in plan.engines() {
                    round.refresh(index, &self.endpoints[index], &self.profile, limits);
                }
                return Some(PlacementDecision::Granted(grant));
            }
        }
        if let Some(refusal) = queued.limit_refusal(limits, limit_wait_ms, now) {
            return Some(PlacementDecision::Refused(refusal));
        }
        let refusal = if queued.is_short(limits) {
            queued.refusal(limits, limit_wait_ms, now)
        } else {
            let wait_ms = expected_wait_ms(round, usable, limits, ahead.prefill_ms);
            let first_event_ms = wait_ms.max(limit_wait_ms) + ideal_ms;
            queued.refusal(limits, first_event_ms, now)
        };
        refusal.map(PlacementDecision::Refused)
    }

    fn search(
        &mut self,
        queued: &QueuedRequest,
        limits: &DispatchLimits,
        rates: &RateTable,
        round: &RoundState,
        usable: &[usize],
    ) -> Option<PlacementPlan> {
        let now = round.now();
        let strict_until = u64_to_f64(queued.request.first_event_aim) * limits.strict_share;
        let pause_policy = if u64_to_f64(queued.waited(now)) < strict_until {
            PausePolicy::Strict
        } else {
            PausePolicy::Relaxed
        };
        self.work.searches += 1;
        let search = PlacementSearch {
            profile: &self.profile,
            limits,
            rates,
            endpoints: &self.endpoints,
            round,
            usable,
            now,
        };
        search.plan(&queued.request, pause_policy)
    }

    /// Time until the first event when `engines` idle engines share the prefill, in milliseconds.
    fn ideal_ms(&self, queued: &QueuedRequest, engines: usize) -> f64 {
        let pass_ms = self.profile.pass_ms(1, queued.request.prompt_tokens);
        queued.prefill_ms / usize_to_f64(engines.max(1)) + pass_ms
    }

    fn commit(
        &mut self,
        key: RunKey,
        request: &PlacementRequest,
        plan: &PlacementPlan,
        now: Millis,
    ) -> PlacementGrant {
        let part = QueuedPart {
            key,
            share: PrefillShare::for_engines(plan.helpers.len() + 1),
            remaining_ms: plan.part_ms,
            due_ms: plan.due_ms,
        };
        let host = &mut self.endpoints[plan.host];
        host.hosted.push(HostedRun {
            key,
            memory_tokens: plan.host_tokens,
            context_tokens: plan.host_tokens,
            pause_aim: request.pause_aim,
            phase: RunPhase::Prefill,
        });
        host.start_prefill(&self.profile, part, now);
        let grant = PlacementGrant {
            host: host.info.target.clone(),
            helpers: plan
                .helpers
                .iter()
                .map(|helper| HelperGrant {
                    target: self.endpoints[helper.index].info.target.clone(),
                    reserved_tokens: helper.reserved_tokens,
                })
                .collect(),
            expected_first: f64_to_u64(plan.first_event_ms.ceil()),
        };
        let mut engines = vec![plan.host];
        for helper in &plan.helpers {
            let endpoint = &mut self.endpoints[helper.index];
            endpoint.helped.push(HelpedRun {
                key,
                reserved_tokens: helper.reserved_tokens,
            });
            endpoint.start_prefill(&self.profile, part, now);
            engines.push(helper.index);
        }
        let slowdown_of = |index: &usize| self.endpoints[*index].slowdown(now);
        let slowest = engines.iter().map(slowdown_of).fold(1.0, f64::max);
        let run = PlacedRun {
            slowdown: slowest,
            fingerprint: request.fingerprint,
            engines,
            phase: RunPhase::Prefill,
            placed_at: now,
            first_event_ms: plan.first_event_ms,
            is_overdue: false,
        };
        self.runs.insert(key, run);
        grant
    }
}

/// Mean slowdown of the ready endpoints that are not starting; one if there are none.
fn usual_slowdown(endpoints: &[EndpointLoad], now: Millis) -> f64 {
    let is_usual =
        |endpoint: &&EndpointLoad| endpoint.is_ready() && !endpoint.health.is_starting(now);
    let usual = endpoints.iter().filter(is_usual);
    let slowdowns: Vec<f64> = usual
        .map(|endpoint| endpoint.health.slowdown(now))
        .collect();
    if slowdowns.is_empty() {
        return 1.0;
    }
    slowdowns.iter().sum::<f64>() / usize_to_f64(slowdowns.len())
}

/// Time until all pending prefill of the engines and `ahead_ms` of prefill of requests that are
/// queued ahead will be done, in milliseconds.
fn expected_wait_ms(
    round: &RoundState,
    usable: usize,
    limits: &DispatchLimits,
    ahead_ms: f64,
) -> f64 {
    let rate = usize_to_f64(usable) * limits.reading_share;
    (round.pending_ms() + ahead_ms) / rate.max(1.0)
}
