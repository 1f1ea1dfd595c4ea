//! The dispatcher: takes placement requests and decides on grants and refusals.

use std::collections::{BTreeMap, HashMap};

use super::engine::EngineProfile;
use super::limits::DispatchLimits;
use super::outage::OutageTable;
use super::placement::{
    EndpointInfo, InFlightRun, PlacementDecision, PlacementRequest, RunKey, RunOutcome, RunPhase,
    RunReport,
};
use super::pool_dispatcher::{DispatchWork, EndedRun, NO_ENDPOINT_RETRY_AFTER, PoolDispatcher};
use super::queued_request::QueuedRequest;
use super::short_queue::ShortQueueGauge;
use crate::cast::f64_to_u64;
use crate::ids::{EndpointId, Millis, PoolId};
use crate::learned_capacity::CapacityLevel;
use crate::outcome::{Refusal, RefusalReason};
use crate::poison::{CrashReport, PoisonStatus, PoisonTable};
use crate::rate_limit::RateTable;
use crate::retry::{RetryBudget, RetryDecision};

/// An endpoint whose learned capacity has crossed half of its slots.
#[derives::value]
pub struct CapacityChange {
    /// Pool of the endpoint.
    pub pool: PoolId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Level of the capacity now.
    pub level: CapacityLevel,
    /// Concurrent runs that the endpoint takes before its times rise.
    pub capacity: usize,
    /// Runs that it hosts now.
    pub hosted: usize,
}

/// Exact counts of the runs on the engines of each pool, and the queued placement requests.
///
/// Invariant: every run is counted on each of its engines until it is finished or its owner is
/// dropped; a request is either queued, placed or refused.
#[derive(Debug)]
pub struct Dispatcher {
    limits: DispatchLimits,
    pools: BTreeMap<PoolId, PoolDispatcher>,
    run_pools: HashMap<RunKey, PoolId>,
    poison: PoisonTable,
    rates: RateTable,
    /// Earliest time of the next round while many requests are queued.
    next_round_at: Millis,
}

impl Dispatcher {
    /// A dispatcher without pools.
    #[must_use]
    pub fn new(limits: DispatchLimits) -> Self {
        let poison = PoisonTable::with_threshold(limits.quarantine_time, limits.quarantine_crashes);
        Self {
            limits,
            pools: BTreeMap::new(),
            run_pools: HashMap::new(),
            poison,
            rates: RateTable::new(),
            next_round_at: 0,
        }
    }

    /// Limits that endpoints have named, and the pace of the requests that they get.
    #[must_use]
    pub fn rates(&self) -> &RateTable {
        &self.rates
    }

    /// Limits that endpoints have named, and the pace of the requests that they get, for changes.
    pub fn rates_mut(&mut self) -> &mut RateTable {
        &mut self.rates
    }

    /// Adds a pool or replaces its cost model.
    pub fn set_pool(&mut self, pool: &PoolId, profile: &EngineProfile) {
        if let Some(pool_dispatcher) = self.pools.get_mut(pool) {
            pool_dispatcher.profile = profile.clone();
            return;
        }
        let pool_dispatcher = PoolDispatcher {
            profile: profile.clone(),
            endpoints: Vec::new(),
            queued: Vec::new(),
            runs: HashMap::new(),
            budget: RetryBudget::new(self.limits.retries.clone()),
            outages: OutageTable::default(),
            short_gauge: ShortQueueGauge::default(),
            next_overdue_check: 0,
            work: DispatchWork::default(),
        };
        self.pools.insert(pool.clone(), pool_dispatcher);
    }

    /// Replaces the endpoints of a pool. An endpoint that is missing from `list` counts as leaving.
    pub fn set_endpoints(&mut self, pool: &PoolId, list: &[EndpointInfo]) {
        let Some(pool_dispatcher) = self.pools.get_mut(pool) else {
            return;
        };
        for endpoint in &mut pool_dispatcher.endpoints {
            let target = &endpoint.info.target;
            match list.iter().find(|info| info.target == *target) {
                Some(info) => endpoint.set_info(info),
                None => endpoint.info.state = super::placement::EndpointState::Leaving,
            }
        }
        for info in list {
            pool_dispatcher.add_endpoint(info, &self.limits);
        }
    }

    /// Queues a placement request for [`decide`](Self::decide), or refuses it at once.
    ///
    /// Refuses requests for an unknown pool, quarantined prompts, retries beyond the budget, and short
    /// requests that would wait for longer than their target.
    pub fn submit(
        &mut self,
        key: RunKey,
        request: PlacementRequest,
        now: Millis,
    ) -> Option<Refusal> {
        let Some(pool_dispatcher) = self.pools.get_mut(&request.pool) else {
            return Some(Refusal::new(
                RefusalReason::UnknownService,
                NO_ENDPOINT_RETRY_AFTER,
            ));
        };
        if self.poison.status(request.fingerprint, now) == PoisonStatus::Quarantined {
            return Some(Refusal::new(RefusalReason::Quarantined, request.time_left));
        }
        if request.retry.is_none() {
            pool_dispatcher.budget.first_attempt();
        } else if pool_dispatcher.budget.retry() == RetryDecision::Exhausted {
            let retry_after = (request.time_left / 4).max(self.limits.shortest_return);
            return Some(Refusal::new(RefusalReason::RetryBudget, retry_after));
        }
        if let Some(refusal) = pool_dispatcher.short_refusal(&self.limits, &request, now) {
            return Some(refusal);
        }
        self.run_pools.insert(key, request.pool.clone());
        let prefill_ms = pool_dispatcher.profile.prefill_ms(request.prompt_tokens);
        pool_dispatcher.queued.push(QueuedRequest {
            key,
            request,
            enqueued_at: now,
            prefill_ms,
            is_new: true,
        });
        None
    }

    /// Records the first event of a run: its prompt has been prefilled.
    pub fn first_event(&mut self, key: RunKey, now: Millis) {
        let Some(pool_dispatcher) = self.pool_of(key) else {
            return;
        };
        if let Some((host, placed_at)) = pool_dispatcher.first_event(key, now) {
            self.rates.answered(&host, placed_at, now);
        }
    }

    /// Ends a run, or withdraws a queued request.
    pub fn finish(&mut self, key: RunKey, report: &RunReport, now: Millis) {
        let Some(pool) = self.run_pools.remove(&key) else {
            return;
        };
        if let Some(pool_dispatcher) = self.pools.get_mut(&pool) {
            pool_dispatcher.queued.retain(|queued| queued.key != key);
            if let Some(run) = pool_dispatcher.finish(key, report, now) {
                self.record_crash(&run, report.outcome, now);
            }
        }
    }

    /// Records a crash against a prompt whose run broke off before its first event, unless the host
    /// is evacuated; a prompt that was served is no longer suspect.
    fn record_crash(&mut self, run: &EndedRun, outcome: RunOutcome, now: Millis) {
        if outcome == RunOutcome::Served {
            self.poison.finished(run.fingerprint, now);
        }
        let is_crash = outcome == RunOutcome::Broken && run.phase == RunPhase::Prefill;
        if is_crash && !run.is_host_evacuated {
            let report = CrashReport {
                fingerprint: run.fingerprint,
                endpoint: run.host.clone(),
            };
            self.poison.record(&report, now);
        }
    }

    /// Counts a run that another dispatcher has placed. A run on an unknown endpoint is ignored.
    pub fn adopt(&mut self, owner: u64, in_flight: &InFlightRun, now: Millis) {
        let Some(pool_dispatcher) = self.pools.get_mut(&in_flight.request.pool) else {
            return;
        };
        let key = RunKey::new(owner, in_flight.number);
        if pool_dispatcher.adopt(key, in_flight, now) {
            self.run_pools.insert(key, in_flight.request.pool.clone());
        }
    }

    /// Ends all runs and withdraws all requests of `owner`.
    pub fn drop_owner(&mut self, owner: u64, now: Millis) {
        let keys: Vec<RunKey> = self
            .run_pools
            .keys()
            .copied()
            .filter(|key| key.owner == owner)
            .collect();
        for key in keys {
            self.finish(key, &RunReport::new(RunOutcome::CallerLeft), now);
        }
    }

    /// Whether the dispatcher has any pool.
    #[must_use]
    pub fn has_pools(&self) -> bool {
        !self.pools.is_empty()
    }

    /// Whether any request is queued.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        self.pools.values().any(|pool| !pool.queued.is_empty())
    }

    /// Numbers of queued requests and of runs in flight, over all pools.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let queued = self.pools.values().map(|pool| pool.queued.len()).sum();
        let placed = self.pools.values().map(|pool| pool.runs.len()).sum();
        (queued, placed)
    }

    /// Places or refuses every queued request that can be decided now; the others stay queued.
    pub fn decide(&mut self, now: Millis) -> Vec<(RunKey, PlacementDecision)> {
        self.next_round_at = now + self.limits.round_interval;
        let mut decisions = Vec::new();
        for pool_dispatcher in self.pools.values_mut() {
            pool_dispatcher.eject_overdue(now);
            pool_dispatcher.decide(&self.limits, &mut self.rates, now, &mut decisions);
        }
        self.forget_refused(&decisions);
        decisions
    }

    /// Decides after a request, a first event or the end of a run: on all queued requests, or, if many
    /// are queued and the next round is not due, on new short requests only.
    pub fn decide_after_change(&mut self, now: Millis) -> Vec<(RunKey, PlacementDecision)> {
        if self.counts().0 <= self.limits.immediate_queue || self.is_round_due(now) {
            return self.decide(now);
        }
        let mut decisions = Vec::new();
        for pool_dispatcher in self.pools.values_mut() {
            pool_dispatcher.decide_new(&self.limits, &mut self.rates, now, &mut decisions);
        }
        self.forget_refused(&decisions);
        decisions
    }

    /// Whether the next round over all queued requests is due.
    #[must_use]
    pub fn is_round_due(&self, now: Millis) -> bool {
        now >= self.next_round_at
    }

    /// Records that the last round took `elapsed_ms` and ended at `now`: while many requests are
    /// queued, the next one waits until rounds take no more than their share of the time.
    pub fn round_took(&mut self, elapsed_ms: f64, now: Millis) {
        let rest_ms = elapsed_ms * (1.0 / self.limits.round_share - 1.0);
        self.next_round_at = self.next_round_at.max(now + f64_to_u64(rest_ms));
    }

    /// Work done so far, over all pools.
    #[must_use]
    pub fn work(&self) -> DispatchWork {
        let add = |sum: DispatchWork, pool: &PoolDispatcher| DispatchWork {
            searches: sum.searches + pool.work.searches,
            considered: sum.considered + pool.work.considered,
        };
        self.pools.values().fold(DispatchWork::default(), add)
    }

    /// Endpoints whose learned capacity has crossed half of their slots since the last call.
    pub fn take_capacity_changes(&mut self, now: Millis) -> Vec<CapacityChange> {
        let mut changes = Vec::new();
        if !self.limits.learned_capacity {
            return changes;
        }
        for (pool, pool_dispatcher) in &mut self.pools {
            let slots = pool_dispatcher.profile.slots;
            for endpoint in &mut pool_dispatcher.endpoints {
                let capacity = endpoint.capacity(slots, now);
                let level = endpoint.level.after(capacity, slots);
                if level != endpoint.level {
                    endpoint.level = level;
                    changes.push(CapacityChange {
                        pool: pool.clone(),
                        endpoint: endpoint.info.target.endpoint.clone(),
                        level,
                        capacity,
                        hosted: endpoint.hosted.len(),
                    });
                }
            }
        }
        changes
    }

    /// Number of endpoints of each pool whose learned capacity is below all their slots.
    #[must_use]
    pub fn reduced_endpoints(&self, now: Millis) -> Vec<(PoolId, usize)> {
        let count = |(pool, pool_dispatcher): (&PoolId, &PoolDispatcher)| {
            let slots = pool_dispatcher.profile.slots;
            let endpoints = pool_dispatcher.endpoints.iter();
            let reduced = endpoints.filter(|endpoint| endpoint.capacity(slots, now) < slots);
            (pool.clone(), reduced.count())
        };
        self.pools.iter().map(count).collect()
    }

    fn forget_refused(&mut self, decisions: &[(RunKey, PlacementDecision)]) {
        for (key, decision) in decisions {
            if let PlacementDecision::Refused(_) = decision {
                self.run_pools.remove(key);
            }
        }
    }

    fn pool_of(&mut self, key: RunKey) -> Option<&mut PoolDispatcher> {
        let pool = self.run_pools.get(&key)?;
        self.pools.get_mut(pool)
    }
}
