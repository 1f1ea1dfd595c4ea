//! The load that a dispatcher has placed on one endpoint.

use super::engine::EngineProfile;
use super::health::EndpointHealth;
use super::limits::DispatchLimits;
use super::placement::{EndpointInfo, EndpointState, RunKey, RunPhase};
use super::prefill_queue::{EngineSnapshot, PartEstimate, PrefillQueue, PrefillShare, QueuedPart};
use crate::cast::u64_to_f64;
use crate::ids::Millis;
use crate::learned_capacity::CapacityLevel;

/// A run whose answer the endpoint decodes.
#[derive(Debug, Clone)]
pub(super) struct HostedRun {
    /// The run.
    pub(super) key: RunKey,
    /// Memory that the run may use, in tokens.
    pub(super) memory_tokens: u64,
    /// Context that each decode step of the run covers, in tokens.
    pub(super) context_tokens: u64,
    /// Target for the longest pause between its events.
    pub(super) pause_aim: Millis,
    /// Progress of the run.
    pub(super) phase: RunPhase,
}

/// A run for which the endpoint prefills a part as a helper.
#[derive(Debug, Clone)]
pub(super) struct HelpedRun {
    /// The run.
    pub(super) key: RunKey,
    /// Memory reserved for the run, in tokens.
    pub(super) reserved_tokens: u64,
}

/// One endpoint and the runs placed on it.
#[derive(Debug, Clone)]
pub(super) struct EndpointLoad {
    pub(super) info: EndpointInfo,
    pub(super) health: EndpointHealth,
    /// Runs whose answers the endpoint decodes.
    pub(super) hosted: Vec<HostedRun>,
    /// Runs for which the endpoint prefills a part as a helper.
    pub(super) helped: Vec<HelpedRun>,
    /// Prompts and parts of prompts that the endpoint has yet to prefill.
    queue: PrefillQueue,
    /// Level of the learned capacity when it was last reported.
    pub(super) level: CapacityLevel,
}

impl EndpointLoad {
    pub(super) fn new(info: EndpointInfo) -> Self {
        let mut health = EndpointHealth::new();
        health.set_start(info.started);
        Self {
            info,
            health,
            hosted: Vec::new(),
            helped: Vec::new(),
            queue: PrefillQueue::default(),
            level: CapacityLevel::Ample,
        }
    }

    /// Replaces the description of the endpoint.
    pub(super) fn set_info(&mut self, info: &EndpointInfo) {
        self.info = info.clone();
        self.health.set_start(info.started);
    }

    /// Whether no run of this dispatcher is placed on the endpoint.
    pub(super) fn is_idle(&self) -> bool {
        self.hosted.is_empty() && self.helped.is_empty()
    }

    pub(super) fn is_ready(&self) -> bool {
        self.info.state == EndpointState::Ready
    }

    /// Whether the endpoint's failure domain is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.info.state == EndpointState::Evacuated
    }

    /// Whether another endpoint may take this one's place: it leaves and has no runs. An evacuated
    /// endpoint keeps its place, because its health is needed after the withdrawal.
    pub(super) fn is_replaceable(&self) -> bool {
        self.is_idle() && self.info.state == EndpointState::Leaving
    }

    pub(super) fn memory_used(&self) -> u64 {
        let hosted: u64 = self.hosted.iter().map(|run| run.memory_tokens).sum();
        let helped: u64 = self.helped.iter().map(|run| run.reserved_tokens).sum();
        hosted + helped
    }

    /// The time and the decode load at `now`.
    fn snapshot(&self, profile: &EngineProfile, now: Millis) -> EngineSnapshot {
        let decoding = self
            .hosted
            .iter()
            .filter(|run| run.phase == RunPhase::Decode);
        let (mut decoding_runs, mut context) = (0, 0);
        for run in decoding {
            decoding_runs += 1;
            context += run.context_tokens;
        }
        let decode_pass_ms = if decoding_runs == 0 {
            0.0
        } else {
            profile.pass_ms(decoding_runs, context) * self.slowdown(now)
        };
        EngineSnapshot {
            now: u64_to_f64(now),
            decode_pass_ms,
        }
    }

    /// Advances the model of the endpoint's prefill to `now`.
    pub(super) fn advance(&mut self, profile: &EngineProfile, now: Millis) {
        self.queue.advance(self.snapshot(profile, now));
    }

    /// Estimate for a part that is queued now; the endpoint must have been advanced to `now`.
    pub(super) fn estimate(
        &self,
        profile: &EngineProfile,
        share: PrefillShare,
        now: Millis,
    ) -> PartEstimate {
        self.queue.estimate(share, self.snapshot(profile, now))
    }

    /// Estimated time of work on the endpoint with the runs that it hosts, as a multiple of the cost
    /// model.
    pub(super) fn slowdown(&self, now: Millis) -> f64 {
        self.health.slowdown_at(self.hosted.len(), now)
    }

    /// Concurrent runs that the endpoint takes before its times rise; all slots if that is not
    /// learned.
    pub(super) fn capacity(&self, slots: usize, now: Millis) -> usize {
        let curve = self.health.curve(now);
        curve.map_or(slots, |curve| curve.capacity(slots))
    }

    /// Time of a pass without prefill once all hosted runs decode, by the cost model, in
    /// milliseconds; zero while no run is hosted.
    pub(super) fn pass_ms(&self, profile: &EngineProfile) -> f64 {
        if self.hosted.is_empty() {
            return 0.0;
        }
        let context = self.hosted.iter().map(|run| run.context_tokens).sum();
        profile.pass_ms(self.hosted.len(), context)
    }

    /// The smallest pause target of the hosted runs; `None` if there are none.
    pub(super) fn tightest_pause_aim(&self) -> Option<Millis> {
        self.hosted.iter().map(|run| run.pause_aim).min()
    }

    /// Number of hosted runs with a tight pause target.
    pub(super) fn tight_run_count(&self, limits: &DispatchLimits) -> usize {
        let is_tight = |run: &&HostedRun| run.pause_aim <= limits.tight_pause;
        self.hosted.iter().filter(is_tight).count()
    }

    /// Queues a part whose prefill time is given by the cost model, without slowdown.
    pub(super) fn start_prefill(&mut self, profile: &EngineProfile, part: QueuedPart, now: Millis) {
        let snapshot = self.snapshot(profile, now);
        let remaining_ms = part.remaining_ms * self.slowdown(now);
        self.queue.push(
            QueuedPart {
                remaining_ms,
                ..part
            },
            snapshot,
        );
    }

    /// Removes the part of a run that has been prefilled or is no longer needed.
    pub(super) fn end_prefill(&mut self, profile: &EngineProfile, key: RunKey, now: Millis) {
        self.queue.remove(key, self.snapshot(profile, now));
    }

    /// Records the first event of a hosted run: it decodes from now on.
    pub(super) fn start_decode(&mut self, profile: &EngineProfile, key: RunKey, now: Millis) {
        self.advance(profile, now);
        for run in self.hosted.iter_mut().filter(|run| run.key == key) {
            run.phase = RunPhase::Decode;
        }
        self.queue.pass_ended(self.snapshot(profile, now));
    }

    /// Removes a hosted run that has ended.
    pub(super) fn end_hosting(&mut self, profile: &EngineProfile, key: RunKey, now: Millis) {
        self.advance(profile, now);
        self.hosted.retain(|run| run.key != key);
        self.advance(profile, now);
    }
}
