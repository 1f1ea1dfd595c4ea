//! Load files: the requests of a simulation, their arrival rates and the engines that serve them.

use policy::cast::usize_to_f64;
use policy::dispatch::engine::EngineProfile;
use policy::ids::Millis;
use serde::{Deserialize, Serialize};

/// A load: the engines, the kinds of requests and how both change over time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Description of the load in one line.
    pub about: String,
    /// Time during which requests arrive, in seconds; the simulation goes on until the last of them
    /// has ended.
    pub seconds: f64,
    /// The engines that serve the load.
    pub engines: EngineGroup,
    /// The kinds of requests that arrive.
    pub kinds: Vec<RequestKind>,
    /// Periods with other arrival rates.
    #[serde(default)]
    pub bursts: Vec<LoadBurst>,
    /// Periods in which some engines are slow.
    #[serde(default)]
    pub slow: Vec<SlowPeriod>,
    /// Groups of engines that differ from the cost model.
    #[serde(default)]
    pub uneven: Vec<UnevenGroup>,
}

/// Engines that share one cost model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// Number of engines.
    pub count: usize,
    /// Number of failure domains; engine `i` is in domain `i % domains`.
    pub domains: usize,
    /// Number of requests that an engine runs concurrently.
    pub slots: usize,
    /// Capacity of an engine's memory in tokens.
    pub memory_tokens: u64,
    /// Base time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub writer_step_ms: f64,
    /// Time that each kilotoken of context of each decoding request adds to a step, in
    /// milliseconds.
    pub context_step_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub read_tokens_per_ms: f64,
    /// Prefill time of a million pairs of a token and an earlier token, in milliseconds.
    pub million_pairs_ms: f64,
    /// Maximum number of prompt tokens prefilled per step.
    pub chunk_tokens: f64,
    /// Decode steps in a pass with decoding requests; the pass emits one event of each of them.
    pub steps_per_pass: f64,
    /// One-way network latency between an instance and an engine, in milliseconds.
    pub transit_ms: f64,
}

impl From<&EngineGroup> for EngineProfile {
    fn from(group: &EngineGroup) -> Self {
        Self {
            slots: group.slots,
            memory_tokens: group.memory_tokens,
            step_ms: group.step_ms,
            writer_step_ms: group.writer_step_ms,
            context_step_ms: group.context_step_ms,
            read_tokens_per_ms: group.read_tokens_per_ms,
            million_pairs_ms: group.million_pairs_ms,
            steps_per_pass: group.steps_per_pass,
        }
    }
}

/// Requests with the same rate, sizes, latency targets and worth.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind, used in reports.
    pub name: String,
    /// Mean arrival rate outside bursts, in requests per second.
    pub per_second: f64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: SizeDistribution,
    /// Number of stream events of an answer.
    pub events: SizeDistribution,
    /// Target for the time to the first event, in milliseconds.
    pub first_event_aim: Millis,
    /// Target for the longest pause between events, in milliseconds.
    pub pause_aim: Millis,
    /// Time from the first arrival after which the caller gives up, in milliseconds.
    pub deadline: Millis,
    /// Worth of an answer to a prompt of mean length that meets both targets.
    pub worth: f64,
    /// Worth of the same answer if it misses a target.
    pub late_worth: f64,
    /// Number of times that a caller retries after a refusal.
    pub returns: u32,
}

/// Log-normal distribution of a size, with samples clamped to the range from 1 to `max`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeDistribution {
    /// Mean of the distribution before clamping.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// Largest size.
    pub max: f64,
}

/// A period with other arrival rates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBurst {
    /// Start, in seconds.
    pub from: f64,
    /// End (exclusive), in seconds.
    pub until: f64,
    /// Factor on the arrival rate of each kind, in the order of [`LoadFile::kinds`].
    pub factors: Vec<f64>,
}

/// A period in which some engines are slow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowPeriod {
    /// Start, in seconds.
    pub from: f64,
    /// End (exclusive), in seconds.
    pub until: f64,
    /// Number of slow engines; those with the lowest indexes are slow.
    pub engines: usize,
    /// Time of their work as a multiple of the cost model.
    pub pace: f64,
}

/// Engines that are slower than the cost model says, at any load or from a number of runs on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnevenGroup {
    /// Index of the first engine.
    pub first: usize,
    /// Number of engines.
    pub count: usize,
    /// Start, in seconds.
    #[serde(default)]
    pub from: f64,
    /// End (exclusive), in seconds; without it, the engines stay as they are.
    #[serde(default)]
    pub until: Option<f64>,
    /// Time of their work at a low load, as a multiple of the cost model.
    pub pace: f64,
    /// Number of hosted runs up to which they keep that pace.
    pub rises_from: usize,
    /// Part of the time at a low load that each further hosted run adds.
    pub per_run: f64,
}

impl UnevenGroup {
    fn slowdown(&self, runs: usize) -> f64 {
        let excess = usize_to_f64(runs.saturating_sub(self.rises_from));
        self.pace * (1.0 + excess * self.per_run)
    }

    fn applies(&self, engine: usize, seconds: f64) -> bool {
        let is_member = engine >= self.first && engine - self.first < self.count;
        is_member && self.from <= seconds && self.until.is_none_or(|until| seconds < until)
    }
}

impl LoadFile {
    /// Parses a load from JSON text and checks that its members are consistent.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON of this type, if there are no engines, failure domains
    /// or kinds, or if a burst does not have one factor per kind.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let load: Self = serde_json::from_str(text)?;
        anyhow::ensure!(load.engines.count > 0, "engines.count: expected at least 1");
        anyhow::ensure!(
            load.engines.domains > 0,
            "engines.domains: expected at least 1"
        );
        anyhow::ensure!(
            !load.kinds.is_empty(),
            "kinds: expected at least one kind of request"
        );
        for burst in &load.bursts {
            anyhow::ensure!(
                burst.factors.len() == load.kinds.len(),
                "bursts.factors: expected one factor for each member of kinds"
            );
        }
        Ok(load)
    }

    /// Factor on the arrival rate of a kind at a time: the product over all bursts in progress.
    ///
    /// # Panics
    ///
    /// If `kind` is not an index of [`LoadFile::kinds`] while a burst is in progress.
    #[must_use]
    pub fn arrival_factor(&self, kind: usize, seconds: f64) -> f64 {
        let is_active = |burst: &&LoadBurst| burst.from <= seconds && seconds < burst.until;
        let factors = self
            .bursts
            .iter()
            .filter(is_active)
            .map(|burst| burst.factors[kind]);
        factors.product()
    }

    /// Slowdown of an engine that hosts `runs` at a time, as a multiple of the cost model: the largest
    /// one of the periods in progress and of the uneven groups that it is in, and at least 1.
    #[must_use]
    pub fn slowdown(&self, engine: usize, runs: usize, seconds: f64) -> f64 {
        let is_active = |period: &&SlowPeriod| {
            period.from <= seconds && seconds < period.until && engine < period.engines
        };
        let periods = self.slow.iter().filter(is_active);
        let groups = self.uneven.iter();
        let uneven = groups.filter(|group| group.applies(engine, seconds));
        periods
            .map(|period| period.pace)
            .chain(uneven.map(|group| group.slowdown(runs)))
            .fold(1.0, f64::max)
    }
}
