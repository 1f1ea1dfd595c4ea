//! The load that a board has put on one endpoint.

use super::engine::EngineProfile;
use super::health::EndpointHealth;
use super::limits::DispatchLimits;
use super::reading::{EngineMoment, PartOutlook, QueuedPart, ReadingQueue, ReadingShare};
use super::work::{EndpointFacts, EndpointState, RunKey, RunPhase};
use crate::figure::to_float;
use crate::ids::Millis;

/// A run whose answer the endpoint writes.
#[derive(Debug, Clone)]
pub(super) struct HostedRun {
    /// The run.
    pub(super) key: RunKey,
    /// Tokens of memory that it may come to use.
    pub(super) memory_tokens: u64,
    /// Tokens of context that each of its steps covers.
    pub(super) context_tokens: u64,
    /// Longest pause between its events.
    pub(super) pause_aim: Millis,
    /// How far it is.
    pub(super) phase: RunPhase,
}

/// A run of which the endpoint reads a part for another.
#[derive(Debug, Clone)]
pub(super) struct HelpedRun {
    /// The run.
    pub(super) key: RunKey,
    /// Tokens of memory reserved for it.
    pub(super) reserved_tokens: u64,
}

/// One endpoint and what runs on it.
#[derive(Debug, Clone)]
pub(super) struct BoardEndpoint {
    pub(super) facts: EndpointFacts,
    pub(super) health: EndpointHealth,
    /// Runs whose answers it writes.
    pub(super) hosted: Vec<HostedRun>,
    /// Parts of prompts that it reads for other hosts.
    pub(super) helped: Vec<HelpedRun>,
    /// Prompts and parts of prompts that it has to read.
    queue: ReadingQueue,
}

impl BoardEndpoint {
    pub(super) fn new(facts: EndpointFacts) -> Self {
        Self {
            facts,
            health: EndpointHealth::new(),
            hosted: Vec::new(),
            helped: Vec::new(),
            queue: ReadingQueue::default(),
        }
    }

    /// Whether nothing of the board's runs here.
    pub(super) fn is_idle(&self) -> bool {
        self.hosted.is_empty() && self.helped.is_empty()
    }

    pub(super) fn is_ready(&self) -> bool {
        self.facts.state == EndpointState::Ready
    }

    pub(super) fn memory_used(&self) -> u64 {
        let hosted: u64 = self.hosted.iter().map(|run| run.memory_tokens).sum();
        let helped: u64 = self.helped.iter().map(|run| run.reserved_tokens).sum();
        hosted + helped
    }

    /// `now` with the passes of the runs that write here.
    fn moment(&self, profile: &EngineProfile, now: Millis) -> EngineMoment {
        let writing = self
            .hosted
            .iter()
            .filter(|run| run.phase == RunPhase::Writing);
        let (mut writers, mut context) = (0, 0);
        for run in writing {
            writers += 1;
            context += run.context_tokens;
        }
        let writing_ms = if writers == 0 {
            0.0
        } else {
            profile.pass_ms(writers, context) * self.health.pace(now)
        };
        EngineMoment {
            now: to_float(now),
            writing_ms,
        }
    }

    /// Brings what is expected of its reading to `now`.
    pub(super) fn advance(&mut self, profile: &EngineProfile, now: Millis) {
        self.queue.advance(self.moment(profile, now));
    }

    /// What would become of a part that is queued now; the endpoint has been brought to `now`.
    pub(super) fn outlook(
        &self,
        profile: &EngineProfile,
        share: ReadingShare,
        now: Millis,
    ) -> PartOutlook {
        self.queue.outlook(share, self.moment(profile, now))
    }

    /// Time of a pass without reading once all that is hosted writes, in milliseconds; zero while
    /// nothing is hosted.
    pub(super) fn pass_ms(&self, profile: &EngineProfile, now: Millis) -> f64 {
        if self.hosted.is_empty() {
            return 0.0;
        }
        let context = self.hosted.iter().map(|run| run.context_tokens).sum();
        profile.pass_ms(self.hosted.len(), context) * self.health.pace(now)
    }

    /// The tightest pause aim of the runs hosted here.
    pub(super) fn tightest_pause(&self) -> Option<Millis> {
        self.hosted.iter().map(|run| run.pause_aim).min()
    }

    /// Runs with a tight pause aim hosted here.
    pub(super) fn tight_hosted(&self, limits: &DispatchLimits) -> usize {
        let is_tight = |run: &&HostedRun| run.pause_aim <= limits.tight_pause;
        self.hosted.iter().filter(is_tight).count()
    }

    /// Queues a part, given at normal pace.
    pub(super) fn start_reading(&mut self, profile: &EngineProfile, part: QueuedPart, now: Millis) {
        let moment = self.moment(profile, now);
        let left_ms = part.left_ms * self.health.pace(now);
        self.queue.queue(QueuedPart { left_ms, ..part }, moment);
    }

    /// A run's part has been read, or is not wanted any more.
    pub(super) fn end_reading(&mut self, profile: &EngineProfile, key: RunKey, now: Millis) {
        self.queue.remove(key, self.moment(profile, now));
    }

    /// The first event of a run that is hosted here has come.
    pub(super) fn start_writing(&mut self, profile: &EngineProfile, key: RunKey, now: Millis) {
        self.advance(profile, now);
        for run in self.hosted.iter_mut().filter(|run| run.key == key) {
            run.phase = RunPhase::Writing;
        }
        self.queue.pass_ended(self.moment(profile, now));
    }

    /// A run that was hosted here has ended.
    pub(super) fn end_hosting(&mut self, profile: &EngineProfile, key: RunKey, now: Millis) {
        self.advance(profile, now);
        self.hosted.retain(|run| run.key != key);
        self.advance(profile, now);
    }
}
