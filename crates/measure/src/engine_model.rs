//! Model engine on virtual time, with chunked prefill followed by decode.
//!
//! The engine prefills one chunk at a time, by descending priority. Answers are decoded
//! concurrently at a fixed rate. Streams wait in the engine's queue while it lacks a slot or
//! memory.

use std::collections::{BTreeMap, VecDeque};

/// Prompt tokens that the engine prefills before it compares priorities again.
const CHUNK_TOKENS: u64 = 2_048;

/// Microseconds between two tokens of a decoded answer.
pub(crate) const TOKEN_MICROS: u64 = 30_000;

/// A stream at an engine.
#[derives::value]
pub(crate) struct ModelStream {
    /// Index of the request in the workload.
    pub(crate) item: usize,
    /// Prompt tokens that are not yet prefilled.
    pub(crate) remaining_prompt: u64,
    /// Memory in tokens that the stream occupies on this engine.
    pub(crate) memory: u64,
    pub(crate) output_tokens: u64,
    pub(crate) priority: u32,
}

/// State of a prompt after one of its chunks.
#[derives::value]
pub(crate) enum ChunkOutcome {
    /// The prefill is complete. The first token is generated now, the last one after the decode.
    PrefillDone(ModelStream),
    /// The prompt has further chunks.
    More,
}

/// An engine. Rates are in tokens per second, memory is in tokens.
#[derive(Debug)]
pub(crate) struct EngineModel {
    rate: u64,
    slots: usize,
    memory: u64,
    used: u64,
    running: usize,
    /// Streams that wait for a slot or memory, in order of arrival.
    waiting: VecDeque<ModelStream>,
    /// Admitted prompts with chunks left, by descending priority, then by order of admission.
    prefilling: BTreeMap<(std::cmp::Reverse<u32>, u64), ModelStream>,
    /// Key of the prompt whose chunk is being prefilled.
    current_prompt: Option<(std::cmp::Reverse<u32>, u64)>,
    next_order: u64,
}

impl EngineModel {
    pub(crate) fn new(rate: u64, slots: usize, memory: u64) -> Self {
        Self {
            rate,
            slots,
            memory,
            used: 0,
            running: 0,
            waiting: VecDeque::new(),
            prefilling: BTreeMap::new(),
            current_prompt: None,
            next_order: 0,
        }
    }

    /// Returns the number of running and waiting streams.
    pub(crate) fn outstanding(&self) -> usize {
        self.running + self.waiting.len()
    }

    pub(crate) fn enqueue(&mut self, stream: ModelStream) {
        self.waiting.push_back(stream);
        self.admit();
    }

    /// Reserves memory for a stream whose primary endpoint is another engine.
    pub(crate) fn reserve_memory(&mut self, memory: u64) {
        self.used += memory;
    }

    pub(crate) fn release_memory(&mut self, memory: u64) {
        self.used -= memory;
        self.admit();
    }

    /// Admits every waiting stream that fits, in order of arrival. A stream that lacks memory does
    /// not block later ones.
    fn admit(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() && self.running < self.slots {
            if self.used + self.waiting[index].memory > self.memory {
                index += 1;
                continue;
            }
            let Some(stream) = self.waiting.remove(index) else {
                return;
            };
            self.used += stream.memory;
            self.running += 1;
            let key = (std::cmp::Reverse(stream.priority), self.next_order);
            self.next_order += 1;
            self.prefilling.insert(key, stream);
        }
    }

    /// Starts the next chunk unless one is in progress. Returns its duration in microseconds, or
    /// `None` if no chunk was started.
    pub(crate) fn start_chunk(&mut self) -> Option<u64> {
        if self.current_prompt.is_some() {
            return None;
        }
        let (key, stream) = self.prefilling.iter().next()?;
        let tokens = stream.remaining_prompt.min(CHUNK_TOKENS);
        self.current_prompt = Some(*key);
        Some((tokens * 1_000_000 / self.rate).max(1))
    }

    /// Ends the chunk in progress.
    pub(crate) fn end_chunk(&mut self) -> ChunkOutcome {
        let key = self.current_prompt.take().expect("a chunk is in progress");
        let stream = self
            .prefilling
            .get_mut(&key)
            .expect("the chunk's prompt is in prefill");
        stream.remaining_prompt = stream.remaining_prompt.saturating_sub(CHUNK_TOKENS);
        if stream.remaining_prompt > 0 {
            return ChunkOutcome::More;
        }
        let stream = self
            .prefilling
            .remove(&key)
            .expect("the chunk's prompt is in prefill");
        ChunkOutcome::PrefillDone(stream)
    }

    pub(crate) fn finish(&mut self, memory: u64) {
        self.used -= memory;
        self.running -= 1;
        self.admit();
    }
}
