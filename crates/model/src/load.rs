//! Load files: which requests come, how often, and on which engines.

use policy::dispatch::engine::EngineProfile;
use policy::ids::Millis;
use serde::{Deserialize, Serialize};

/// A load: engines, kinds of request and bursts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// What the load is like, on one line.
    pub about: String,
    /// Length, in seconds; requests in hand then are brought to their end.
    pub seconds: f64,
    /// The engines.
    pub engines: EngineGroup,
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Times at which kinds come more or less often.
    #[serde(default)]
    pub bursts: Vec<LoadBurst>,
    /// Engines that are slow for a while.
    #[serde(default)]
    pub slow: Vec<SlowSpell>,
}

/// Engines of one cost model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// How many.
    pub count: usize,
    /// Failure domains over which they are spread.
    pub domains: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// One step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step by each request that is writing, in milliseconds.
    pub writer_step_ms: f64,
    /// Added to a step by each kilotoken of context, in milliseconds.
    pub context_step_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Reading cost of a million pairs of tokens, in milliseconds.
    pub million_pairs_ms: f64,
    /// Most prompt tokens read in a step.
    pub chunk_tokens: f64,
    /// Steps in a pass that has writers; each pass writes one event of each.
    pub steps_per_pass: f64,
    /// One way between an instance and an engine, in milliseconds.
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

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub per_second: f64,
    /// Prompt tokens.
    pub prompt_tokens: SizeSpread,
    /// Events of an answer.
    pub events: SizeSpread,
    /// Aim for the first event, in milliseconds.
    pub first_event_aim: Millis,
    /// Aim for the longest pause, in milliseconds.
    pub pause_aim: Millis,
    /// Time that callers wait, in milliseconds.
    pub deadline: Millis,
    /// What an answer of the mean size is worth in time.
    pub worth: f64,
    /// What it is worth late.
    pub late_worth: f64,
    /// How often callers come back after a refusal.
    pub returns: u32,
}

/// A log-normal size, cut at a largest one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeSpread {
    /// Mean.
    pub mean: f64,
    /// Deviation of the logarithm.
    pub spread: f64,
    /// Largest.
    pub max: f64,
}

/// A time at which kinds come more or less often.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBurst {
    /// Begin, in seconds.
    pub from: f64,
    /// End, in seconds.
    pub until: f64,
    /// Factor for each kind, in the kinds' order.
    pub factors: Vec<f64>,
}

/// A time at which some engines are slow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowSpell {
    /// Begin, in seconds.
    pub from: f64,
    /// End, in seconds.
    pub until: f64,
    /// How many engines.
    pub engines: usize,
    /// Time that their work takes, as a multiple.
    pub pace: f64,
}

impl LoadFile {
    /// Reads a load.
    ///
    /// # Errors
    ///
    /// When the text is no load, or its parts do not fit together.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let load: Self = serde_json::from_str(text)?;
        anyhow::ensure!(load.engines.count > 0, "engines.count: expected at least 1");
        anyhow::ensure!(
            load.engines.domains > 0,
            "engines.domains: expected at least 1"
        );
        anyhow::ensure!(!load.kinds.is_empty(), "kinds: expected at least one");
        for burst in &load.bursts {
            anyhow::ensure!(
                burst.factors.len() == load.kinds.len(),
                "bursts.factors: expected one for each kind"
            );
        }
        Ok(load)
    }

    /// Factor of a kind at a time.
    #[must_use]
    pub fn factor(&self, kind: usize, seconds: f64) -> f64 {
        let is_on = |burst: &&LoadBurst| burst.from <= seconds && seconds < burst.until;
        let factors = self
            .bursts
            .iter()
            .filter(is_on)
            .map(|burst| burst.factors[kind]);
        factors.product()
    }

    /// Pace of an engine at a time.
    #[must_use]
    pub fn pace(&self, engine: usize, seconds: f64) -> f64 {
        let is_on = |spell: &&SlowSpell| {
            spell.from <= seconds && seconds < spell.until && engine < spell.engines
        };
        self.slow
            .iter()
            .filter(is_on)
            .map(|spell| spell.pace)
            .fold(1.0, f64::max)
    }
}
