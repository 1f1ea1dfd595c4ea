//! Simulated engine: works in passes, prefills prompts in chunks and emits one stream event per
//! decoding run and pass.

use std::collections::VecDeque;

use crate::load::EngineGroup;
use policy::cast::usize_to_f64;

/// Tokens per unit of [`EngineGroup::context_step_ms`].
const KILOTOKEN: f64 = 1e3;

/// A prompt, or one engine's part of a split prompt, that waits for prefill.
#[derive(Debug, Clone)]
pub struct PrefillPart {
    /// Index of the run.
    pub run: usize,
    /// Tokens still to be prefilled.
    pub tokens: f64,
    /// Remaining prefill time without slowdown, in milliseconds.
    pub prefill_ms: f64,
}

/// A run that decodes on an engine; `context` is the length of its prompt in tokens.
#[derive(Debug, Clone)]
struct DecodingRun {
    run: usize,
    events_left: u32,
    context: f64,
}

/// What a pass has finished.
#[derive(Debug, Default)]
pub struct PassOutcome {
    /// Runs whose prompt, or part of a prompt, has been prefilled on this engine.
    pub prefilled_runs: Vec<usize>,
    /// Runs that emitted an event, and whether that event was their last.
    pub events: Vec<(usize, StreamEvent)>,
}

/// Position of an event in the stream of its answer.
#[derives::tag]
pub enum StreamEvent {
    /// Further events follow.
    Intermediate,
    /// The answer is complete.
    Last,
}

/// A simulated engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    shared_parts: VecDeque<PrefillPart>,
    own_prompts: VecDeque<PrefillPart>,
    decoding: Vec<DecodingRun>,
    /// Runs whose prefill is done; they start to decode in the next pass.
    ready_to_decode: Vec<DecodingRun>,
    /// Runs whose prefill on this engine is done at the end of the current pass.
    finishing_runs: Vec<usize>,
    /// End of the current pass in virtual milliseconds; `None` while the engine is idle.
    pub pass_end: Option<f64>,
    /// Total time of all passes started so far, in milliseconds.
    pub busy_ms: f64,
}

impl Default for SimulatedEngine {
    fn default() -> Self {
        Self::new()
    }
}

impl SimulatedEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shared_parts: VecDeque::new(),
            own_prompts: VecDeque::new(),
            decoding: Vec::new(),
            ready_to_decode: Vec::new(),
            finishing_runs: Vec::new(),
            pass_end: None,
            busy_ms: 0.0,
        }
    }

    /// Queues a part of a split prompt. It is prefilled before everything else that is queued,
    /// including earlier parts of split prompts.
    pub fn queue_shared_part(&mut self, part: PrefillPart) {
        self.shared_parts.push_front(part);
    }

    /// Queues a prompt that this engine prefills without helpers, behind the other ones.
    pub fn queue_prompt(&mut self, part: PrefillPart) {
        self.own_prompts.push_back(part);
    }

    /// Lets a run whose whole prompt has been prefilled emit `events` events, one per pass,
    /// starting with the next pass.
    pub fn start_decoding(&mut self, run: usize, events: u32, context: f64) {
        self.ready_to_decode.push(DecodingRun {
            run,
            events_left: events,
            context,
        });
    }

    /// Removes a run from the queues and from the current pass, whose end stays as it is.
    pub fn cancel(&mut self, run: usize) {
        self.shared_parts.retain(|part| part.run != run);
        self.own_prompts.retain(|part| part.run != run);
        self.decoding.retain(|decoding| decoding.run != run);
        self.ready_to_decode.retain(|decoding| decoding.run != run);
        self.finishing_runs.retain(|finished| *finished != run);
    }

    /// Starts a pass at `now`, in virtual milliseconds, or makes the engine idle if it has no work.
    /// `slowdown` is the duration of the pass as a multiple of the cost model.
    pub fn start_pass(&mut self, group: &EngineGroup, slowdown: f64, now: f64) {
        self.decoding.append(&mut self.ready_to_decode);
        let steps = if self.decoding.is_empty() {
            1.0
        } else {
            group.steps_per_pass
        };
        let mut token_budget = group.chunk_tokens * steps;
        let mut prefill_ms = 0.0;
        while token_budget > 0.0 {
            let queue = if self.shared_parts.is_empty() {
                &mut self.own_prompts
            } else {
                &mut self.shared_parts
            };
            let Some(part) = queue.front_mut() else {
                break;
            };
            let share = (token_budget / part.tokens.max(1.0)).min(1.0);
            let (prefilled_tokens, chunk_ms) = (part.tokens * share, part.prefill_ms * share);
            token_budget -= prefilled_tokens.max(1.0);
            prefill_ms += chunk_ms;
            part.tokens -= prefilled_tokens;
            part.prefill_ms -= chunk_ms;
            if part.tokens < 1.0 {
                self.finishing_runs.push(part.run);
                queue.pop_front();
            }
        }
        if self.decoding.is_empty() && prefill_ms <= 0.0 {
            self.pass_end = None;
            return;
        }
        let context: f64 = self.decoding.iter().map(|run| run.context).sum();
        let step_ms = group.step_ms
            + usize_to_f64(self.decoding.len()) * group.writer_step_ms
            + context / KILOTOKEN * group.context_step_ms;
        let pass_ms = (steps * step_ms + prefill_ms) * slowdown;
        self.busy_ms += pass_ms;
        self.pass_end = Some(now + pass_ms);
    }

    /// Ends the current pass and returns what it has finished.
    pub fn end_pass(&mut self) -> PassOutcome {
        let mut outcome = PassOutcome {
            prefilled_runs: std::mem::take(&mut self.finishing_runs),
            events: Vec::new(),
        };
        for run in &mut self.decoding {
            run.events_left -= 1;
            let event = if run.events_left == 0 {
                StreamEvent::Last
            } else {
                StreamEvent::Intermediate
            };
            outcome.events.push((run.run, event));
        }
        self.decoding.retain(|run| run.events_left > 0);
        outcome
    }
}
