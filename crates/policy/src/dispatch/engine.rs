//! What the work of a model engine costs, as its operator publishes it.

use crate::figure::{count_float, to_float};

/// Tokens of a million pairs; the published cost of attention is per million pairs.
const PAIRS_PER_UNIT: f64 = 1e6;

/// Tokens in a kilotoken; the published cost of context is per kilotoken.
const KILOTOKEN: f64 = 1e3;

/// Cost model of the engines of one pool; times in milliseconds at normal pace.
///
/// An engine works in passes. A pass in which requests are writing runs `steps_per_pass` steps,
/// each of which also reads at most `chunk_tokens` of the prompts that are still being read.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// One step.
    pub step_ms: f64,
    /// Added to a step by each request that is writing.
    pub writer_step_ms: f64,
    /// Added to a step by each kilotoken of context of each request that is writing.
    pub context_step_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Reading cost of a million pairs of a token and an earlier one.
    pub million_pairs_ms: f64,
    /// Steps in a pass that has writers.
    pub steps_per_pass: f64,
}

impl EngineProfile {
    /// Time that reading a prompt of `tokens` takes one engine.
    #[must_use]
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let tokens = to_float(tokens);
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_UNIT;
        tokens / self.read_tokens_per_ms + pairs * self.million_pairs_ms
    }

    /// Time of a pass with `writers` requests writing over `context` tokens together, without
    /// any reading.
    #[must_use]
    pub fn pass_ms(&self, writers: usize, context: u64) -> f64 {
        let writers = count_float(writers);
        let context = to_float(context) / KILOTOKEN;
        let step = self.step_ms + writers * self.writer_step_ms + context * self.context_step_ms;
        self.steps_per_pass * step
    }
}
