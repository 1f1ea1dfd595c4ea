//! Cost model of a model engine, as its operator publishes it.

use crate::cast::{u64_to_f64, usize_to_f64};

/// Token pairs per published unit: the cost of attention is published per million pairs.
const PAIRS_PER_UNIT: f64 = 1e6;

/// Tokens per published unit: the cost of context is published per kilotoken.
const KILOTOKEN: f64 = 1e3;

/// Cost model of the engines of one pool; times in milliseconds on an engine without slowdown.
///
/// An engine works in passes. A pass with decoding requests runs `steps_per_pass` decode steps,
/// each of which also prefills at most `chunk_tokens` (a limit of the engine that the cost model
/// does not use) of the prompts that are still in prefill.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that an engine runs concurrently.
    pub slots: usize,
    /// Capacity of an engine's memory in tokens.
    pub memory_tokens: u64,
    /// Base time of a decode step.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step.
    pub writer_step_ms: f64,
    /// Time that each kilotoken of context of each decoding request adds to a step.
    pub context_step_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub read_tokens_per_ms: f64,
    /// Prefill time of a million pairs of a token and an earlier token.
    pub million_pairs_ms: f64,
    /// Decode steps in a pass with decoding requests.
    pub steps_per_pass: f64,
}

impl EngineProfile {
    /// Time in which one engine prefills a prompt of `tokens`, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = u64_to_f64(tokens);
        let pairs = tokens * tokens / 2.0 / PAIRS_PER_UNIT;
        tokens / self.read_tokens_per_ms + pairs * self.million_pairs_ms
    }

    /// Time of a pass in which `decoding` requests decode over a total context of `context` tokens,
    /// without any prefill, in milliseconds.
    #[must_use]
    pub fn pass_ms(&self, decoding: usize, context: u64) -> f64 {
        let decoding = usize_to_f64(decoding);
        let context = u64_to_f64(context) / KILOTOKEN;
        let step = self.step_ms + decoding * self.writer_step_ms + context * self.context_step_ms;
        self.steps_per_pass * step
    }
}
