//! A model engine on virtual time: reads prompts chunk by chunk, then decodes.
//!
//! Prompts are read one chunk at a time, the highest priority first; answers are decoded side by
//! side at a fixed pace. Streams wait at the engine while it lacks a slot or memory.

use std::collections::{BTreeMap, VecDeque};

/// Tokens of a prompt that are read before the engine looks at priorities again.
const CHUNK_TOKENS: u64 = 2_048;

/// Microseconds between two tokens of an answer.
pub(crate) const TOKEN_MICROS: u64 = 30_000;

/// One stream at an engine.
#[derives::value]
pub(crate) struct ModelStream {
    pub(crate) item: usize,
    pub(crate) prompt_left: u64,
    pub(crate) memory: u64,
    pub(crate) answer: u64,
    pub(crate) priority: u32,
}

/// What an engine has done by the end of a chunk.
#[derives::value]
pub(crate) enum ChunkEnd {
    /// A prompt was read: its first token comes now, its last after the answer's time.
    PromptRead(ModelStream),
    /// More of the same prompt is to come.
    More,
}

/// An engine.
#[derive(Debug)]
pub(crate) struct EngineModel {
    rate: u64,
    slots: usize,
    memory: u64,
    used: u64,
    running: usize,
    /// Streams that wait for a slot or memory, in order.
    waiting: VecDeque<ModelStream>,
    /// Prompts that are being read, by descending priority and order of arrival.
    reading: BTreeMap<(std::cmp::Reverse<u32>, u64), ModelStream>,
    present: Option<(std::cmp::Reverse<u32>, u64)>,
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
            reading: BTreeMap::new(),
            present: None,
            next_order: 0,
        }
    }

    /// Streams here, waiting ones among them.
    pub(crate) fn outstanding(&self) -> usize {
        self.running + self.waiting.len()
    }

    pub(crate) fn offer(&mut self, stream: ModelStream) {
        self.waiting.push_back(stream);
        self.admit();
    }

    /// Holds memory for a stream that another engine leads.
    pub(crate) fn hold(&mut self, memory: u64) {
        self.used += memory;
    }

    pub(crate) fn unhold(&mut self, memory: u64) {
        self.used -= memory;
        self.admit();
    }

    /// Admits whoever fits, in order of arrival.
    fn admit(&mut self) {
        let mut place = 0;
        while place < self.waiting.len() && self.running < self.slots {
            if self.used + self.waiting[place].memory > self.memory {
                place += 1;
                continue;
            }
            let Some(stream) = self.waiting.remove(place) else {
                return;
            };
            self.used += stream.memory;
            self.running += 1;
            let key = (std::cmp::Reverse(stream.priority), self.next_order);
            self.next_order += 1;
            self.reading.insert(key, stream);
        }
    }

    /// Starts to read a chunk if none is being read; gives the microseconds that it takes.
    pub(crate) fn start_chunk(&mut self) -> Option<u64> {
        if self.present.is_some() {
            return None;
        }
        let (key, stream) = self.reading.iter().next()?;
        let tokens = stream.prompt_left.min(CHUNK_TOKENS);
        self.present = Some(*key);
        Some((tokens * 1_000_000 / self.rate).max(1))
    }

    /// Ends the chunk that is being read.
    pub(crate) fn end_chunk(&mut self) -> ChunkEnd {
        let key = self.present.take().expect("a chunk is being read");
        let stream = self.reading.get_mut(&key).expect("its prompt is here");
        stream.prompt_left = stream.prompt_left.saturating_sub(CHUNK_TOKENS);
        if stream.prompt_left > 0 {
            return ChunkEnd::More;
        }
        let stream = self.reading.remove(&key).expect("its prompt is here");
        ChunkEnd::PromptRead(stream)
    }

    pub(crate) fn finish(&mut self, memory: u64) {
        self.used -= memory;
        self.running -= 1;
        self.admit();
    }
}
