//! The engines of one pool: what runs on them, and where the next ask goes.

use std::collections::HashMap;

use super::endpoint::{BoardEndpoint, HelpedRun, HostedRun};
use super::engine::EngineProfile;
use super::health::FaultWeight;
use super::limits::DispatchLimits;
use super::outage::OutageTable;
use super::place::{HelperPlan, PlaceCare, PlacePlan, PlaceSearch};
use super::reading::{QueuedPart, ReadingShare};
use super::waiting::{WaitClass, WaitingAsk};
use super::work::{
    EndpointFacts, HeldPlace, HeldRun, HelperPlace, RunEnd, RunKey, RunPhase, RunReport, WorkAsk,
    WorkGrant, WorkVerdict,
};
use crate::figure::{count_float, to_float, to_whole};
use crate::ids::{EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason};
use crate::poison::Fingerprint;
use crate::retry::RetryBudget;

/// Time after which a refused request may come back when no endpoint can serve it.
pub(super) const NO_ENDPOINT_RETURN: Millis = 700;

/// A run that has a place.
#[derive(Debug, Clone)]
pub(super) struct PlacedRun {
    /// Indices of its engines; the host first.
    places: Vec<usize>,
    pub(super) phase: RunPhase,
    since: Millis,
    /// Time until the first event as it was expected, in milliseconds.
    first_ms: f64,
    /// The slowest pace that was believed of its engines.
    pace: f64,
    pub(super) fingerprint: Fingerprint,
}

/// A run that has ended.
pub(super) struct EndedRun {
    pub(super) fingerprint: Fingerprint,
    pub(super) host: EndpointId,
    pub(super) phase: RunPhase,
}

/// The engines of one pool.
#[derive(Debug)]
pub(super) struct PoolBoard {
    pub(super) profile: EngineProfile,
    pub(super) endpoints: Vec<BoardEndpoint>,
    pub(super) waiting: Vec<WaitingAsk>,
    pub(super) runs: HashMap<RunKey, PlacedRun>,
    pub(super) budget: RetryBudget,
    pub(super) outages: OutageTable,
}

impl PoolBoard {
    pub(super) fn add_endpoint(&mut self, facts: &EndpointFacts) {
        let is_known = |endpoint: &BoardEndpoint| endpoint.facts.place == facts.place;
        if self.endpoints.iter().any(is_known) {
            return;
        }
        let added = BoardEndpoint::new(facts.clone());
        let is_vacant = |endpoint: &BoardEndpoint| endpoint.is_idle() && !endpoint.is_ready();
        match self.endpoints.iter().position(is_vacant) {
            Some(index) => self.endpoints[index] = added,
            None => self.endpoints.push(added),
        }
    }

    pub(super) fn first_event(&mut self, key: RunKey, now: Millis) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.phase == RunPhase::Writing {
            return;
        }
        run.phase = RunPhase::Writing;
        let took = to_float(now.saturating_sub(run.since));
        for (position, index) in run.places.iter().enumerate() {
            let endpoint = &mut self.endpoints[*index];
            endpoint.end_reading(&self.profile, key, now);
            if position == 0 {
                endpoint.start_writing(&self.profile, key, now);
            }
            endpoint.health.observed(run.first_ms / run.pace, took, now);
        }
    }

    pub(super) fn finish(
        &mut self,
        key: RunKey,
        report: &RunReport,
        now: Millis,
    ) -> Option<EndedRun> {
        let run = self.runs.remove(&key)?;
        for (position, index) in run.places.iter().enumerate() {
            let endpoint = &mut self.endpoints[*index];
            if run.phase == RunPhase::Reading {
                endpoint.end_reading(&self.profile, key, now);
            }
            if position == 0 {
                endpoint.end_hosting(&self.profile, key, now);
            } else {
                endpoint.helped.retain(|helped| helped.key != key);
            }
        }
        self.judge(&run, report, now);
        let host = run.places.first().map(|index| &self.endpoints[*index]);
        host.map(|host| EndedRun {
            fingerprint: run.fingerprint,
            host: host.facts.place.endpoint.clone(),
            phase: run.phase,
        })
    }

    /// Puts the end of a run down to the endpoint at fault, or to the host's credit.
    fn judge(&mut self, run: &PlacedRun, report: &RunReport, now: Millis) {
        let weight = match report.end {
            RunEnd::CallerLeft => return,
            RunEnd::Served => {
                for index in &run.places {
                    self.endpoints[*index].health.succeeded();
                }
                return;
            }
            RunEnd::NotConnected => FaultWeight::Dead,
            RunEnd::Silent if run.places.len() == 1 => FaultWeight::Dead,
            // With helpers, silence does not tell whose it is.
            RunEnd::Silent | RunEnd::Broken | RunEnd::Failed => FaultWeight::Failed,
            RunEnd::Refused => FaultWeight::Full,
        };
        let at_fault = report.at_fault.and_then(|address| {
            run.places
                .iter()
                .find(|index| self.endpoints[**index].facts.place.address == address)
        });
        let Some(index) = at_fault.or(run.places.first()) else {
            return;
        };
        self.endpoints[*index].health.failed(weight, now);
        if report.end == RunEnd::NotConnected {
            self.note_unreached(*index, now);
        }
    }

    /// Sets a whole failure domain aside when several of its endpoints cannot be reached.
    pub(super) fn note_unreached(&mut self, index: usize, now: Millis) {
        let facts = self.endpoints[index].facts.clone();
        let is_near =
            |known: &&BoardEndpoint| known.is_ready() && known.facts.domain == facts.domain;
        let ready = self.endpoints.iter().filter(is_near).count();
        let endpoint = &facts.place.endpoint;
        let outage = self.outages.failed(&facts.domain, endpoint, ready, now);
        let Some(aside) = outage else {
            return;
        };
        for known in &mut self.endpoints {
            if known.facts.domain == facts.domain {
                known.health.set_aside(now + aside);
            }
        }
    }

    pub(super) fn adopt(&mut self, key: RunKey, held: &HeldRun, now: Millis) -> bool {
        let plan_of = |held: &HeldPlace| {
            let is_it = |known: &BoardEndpoint| known.facts.place.endpoint == held.endpoint;
            let index = self.endpoints.iter().position(is_it)?;
            Some(HelperPlan {
                index,
                reserved_tokens: held.reserved_tokens,
            })
        };
        let places: Option<Vec<HelperPlan>> = held.places.iter().map(plan_of).collect();
        let Some(places) = places.filter(|places| !places.is_empty()) else {
            return false;
        };
        let split = count_float(places.len());
        let part_ms = match held.phase {
            RunPhase::Reading => self.profile.read_ms(held.work.prompt_tokens) / split,
            RunPhase::Writing => 0.0,
        };
        let reserved: u64 = places.iter().map(|place| place.reserved_tokens).sum();
        let tokens = held.work.prompt_tokens + held.work.output_tokens;
        let plan = PlacePlan {
            host: places[0].index,
            helpers: places[1..].to_vec(),
            host_tokens: tokens.saturating_sub(reserved),
            part_ms,
            first_ms: part_ms,
            due: to_float(now + held.work.time_left),
        };
        self.commit(key, &held.work, &plan, now);
        if held.phase == RunPhase::Writing {
            self.first_event(key, now);
        }
        true
    }

    pub(super) fn decide(
        &mut self,
        limits: &DispatchLimits,
        now: Millis,
        verdicts: &mut Vec<(RunKey, WorkVerdict)>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        for endpoint in &mut self.endpoints {
            endpoint.advance(&self.profile, now);
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let order = |waiting: &WaitingAsk| (waiting.class(limits, now), waiting.rank(limits, now));
        waiting.sort_by(|left, right| {
            let (left, right) = (order(left), order(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        });
        let mut ahead_ms = 0.0;
        let mut tries = 0;
        for entry in waiting {
            let can_try = tries < limits.tries_per_round;
            if let Some(verdict) = self.decide_one(&entry, limits, ahead_ms, can_try, now) {
                verdicts.push((entry.key, verdict));
                continue;
            }
            tries += 1;
            ahead_ms += entry.read_ms;
            self.waiting.push(entry);
        }
    }

    fn decide_one(
        &mut self,
        entry: &WaitingAsk,
        limits: &DispatchLimits,
        ahead_ms: f64,
        can_try: bool,
        now: Millis,
    ) -> Option<WorkVerdict> {
        let search = PlaceSearch {
            profile: &self.profile,
            limits,
            endpoints: &self.endpoints,
            now,
        };
        let usable = search.usable(&entry.ask).len();
        if usable == 0 {
            let refusal = Refusal::new(RefusalReason::NoEndpoint, NO_ENDPOINT_RETURN);
            return Some(WorkVerdict::Refused(refusal));
        }
        let engines = usable.min(limits.most_splits);
        let memory = self.profile.memory_tokens * engines as u64;
        if entry.ask.prompt_tokens + entry.ask.output_tokens > memory {
            let refusal = Refusal::new(RefusalReason::PromptTooLarge, entry.ask.time_left);
            return Some(WorkVerdict::Refused(refusal));
        }
        let strict_until = to_float(entry.ask.first_event_aim) * limits.strict_share;
        let care = if to_float(entry.waited(now)) < strict_until {
            PlaceCare::Strict
        } else {
            PlaceCare::Relaxed
        };
        let plan = if can_try {
            search.plan(&entry.ask, care)
        } else {
            None
        };
        let ideal_ms = self.ideal_ms(entry, engines);
        let plan = plan.filter(|plan| entry.accepts(limits, plan.first_ms, ideal_ms, now));
        if let Some(plan) = plan {
            return Some(WorkVerdict::Granted(
                self.commit(entry.key, &entry.ask, &plan, now),
            ));
        }
        let first_ms = self.expected_wait(usable, limits, ahead_ms, now) + ideal_ms;
        let refusal = match entry.class(limits, now) {
            WaitClass::Short => entry.refusal(limits, 0.0, now),
            WaitClass::InTime | WaitClass::Late => entry.refusal(limits, first_ms, now),
        };
        refusal.map(WorkVerdict::Refused)
    }

    /// Time until the first event when `engines` free engines share the reading.
    fn ideal_ms(&self, entry: &WaitingAsk, engines: usize) -> f64 {
        let pass_ms = self.profile.pass_ms(1, entry.ask.prompt_tokens);
        entry.read_ms / count_float(engines.max(1)) + pass_ms
    }

    /// Time until `ahead_ms` of waiting reading and all that is queued will be done.
    fn expected_wait(
        &self,
        usable: usize,
        limits: &DispatchLimits,
        ahead_ms: f64,
        now: Millis,
    ) -> f64 {
        let queued: f64 = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_ready())
            .map(|endpoint| {
                endpoint
                    .outlook(&self.profile, ReadingShare::Alone, now)
                    .pending_ms
            })
            .sum();
        let rate = count_float(usable) * limits.reading_share;
        (queued + ahead_ms) / rate.max(1.0)
    }

    fn commit(&mut self, key: RunKey, ask: &WorkAsk, plan: &PlacePlan, now: Millis) -> WorkGrant {
        let part = QueuedPart {
            key,
            share: ReadingShare::among(plan.helpers.len() + 1),
            left_ms: plan.part_ms,
            due: plan.due,
        };
        let host = &mut self.endpoints[plan.host];
        host.hosted.push(HostedRun {
            key,
            memory_tokens: plan.host_tokens,
            context_tokens: plan.host_tokens,
            pause_aim: ask.pause_aim,
            phase: RunPhase::Reading,
        });
        host.start_reading(&self.profile, part, now);
        let grant = WorkGrant {
            host: host.facts.place.clone(),
            helpers: plan
                .helpers
                .iter()
                .map(|helper| HelperPlace {
                    place: self.endpoints[helper.index].facts.place.clone(),
                    reserved_tokens: helper.reserved_tokens,
                })
                .collect(),
            expected_first: to_whole(plan.first_ms.ceil()),
        };
        let mut places = vec![plan.host];
        for helper in &plan.helpers {
            let endpoint = &mut self.endpoints[helper.index];
            endpoint.helped.push(HelpedRun {
                key,
                reserved_tokens: helper.reserved_tokens,
            });
            endpoint.start_reading(&self.profile, part, now);
            places.push(helper.index);
        }
        let pace_of = |index: &usize| self.endpoints[*index].health.pace(now);
        let slowest = places.iter().map(pace_of).fold(1.0, f64::max);
        let run = PlacedRun {
            pace: slowest,
            fingerprint: ask.fingerprint,
            places,
            phase: RunPhase::Reading,
            since: now,
            first_ms: plan.first_ms,
        };
        self.runs.insert(key, run);
        grant
    }
}
