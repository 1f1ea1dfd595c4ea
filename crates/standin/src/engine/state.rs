//! Options, state and injected faults of the engine stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Models that an engine serves.
#[derives::tag]
pub enum EngineServing {
    /// Every model that a request names.
    EveryModel,
    /// Only the loaded model; streams for other models are refused.
    LoadedModel,
}

/// Capacity, speed and behaviour of an engine.
#[derives::value]
pub struct EngineOptions {
    /// Largest number of concurrent streams.
    pub slots: usize,
    /// Capacity of the KV cache in tokens.
    pub memory_tokens: u64,
    /// Prefill rate in prompt tokens per second.
    pub prefill_rate: u64,
    /// Time between two generated tokens.
    pub token_time: Duration,
    /// Model that is loaded at startup.
    pub model: String,
    /// Models that the engine serves.
    pub serving: EngineServing,
    /// Whether model orders with an outdated fencing token are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 32,
            memory_tokens: 400_000,
            prefill_rate: 400_000,
            token_time: Duration::from_millis(1),
            model: "base".to_owned(),
            serving: EngineServing::EveryModel,
            checks_fencing: true,
        }
    }
}

/// Faults that are injected into the engine.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Streams that are open when this is set stay open but send no further frames.
    pub silence_open: bool,
    /// Calls and open streams block until this is cleared.
    pub frozen: bool,
    /// Number of upcoming frames that carry the id of another attempt.
    pub cross_frames: u32,
    /// Number of upcoming frames that are sent twice.
    pub repeat_frames: u32,
    /// Number of upcoming streams that break off after three frames, without an end frame.
    pub truncate_streams: u32,
    /// Number of upcoming streams that are refused.
    pub refuse_streams: u32,
    /// Delay in milliseconds between the effect of a model order and its answer.
    pub order_ms: u64,
    /// Number of newest cache events that are not yet published.
    pub cache_lag: usize,
    /// Cache events whose number is a multiple of this value are omitted; zero omits none.
    pub cache_gap: u64,
}

/// An open stream.
#[derive(Debug, Clone)]
pub(super) struct StreamRecord {
    pub(super) owner: String,
    pub(super) tokens: u64,
    /// Value of `EngineState::generation` when the stream was opened.
    pub(super) generation: u64,
}

/// Memory that is reserved here for a stream of another engine.
#[derive(Debug, Clone)]
pub(super) struct MemoryRecord {
    pub(super) owner: String,
    pub(super) tokens: u64,
}

#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) streams: BTreeMap<String, StreamRecord>,
    pub(super) memory: BTreeMap<String, MemoryRecord>,
    /// Cache events as number and prompt hash, oldest first.
    pub(super) cache: VecDeque<(u64, u64)>,
    /// Number of the newest cache event.
    pub(super) next_event: u64,
    pub(super) model: String,
    pub(super) highest_fencing: u64,
    /// Accepted orders as fencing token and model.
    pub(super) orders: Vec<(u64, String)>,
    pub(super) faults: EngineFaults,
    /// Number of times that `silence_open` was set. The fault applies to streams opened before.
    pub(super) generation: u64,
    pub(super) started: Instant,
    /// Number of streams opened so far.
    pub(super) opened: u64,
}

/// Number of cache events that are kept for slow readers; older events are dropped.
const MAX_EVENTS: usize = 4_096;

impl EngineState {
    pub(super) fn serves(&self, model: &str) -> bool {
        self.options.serving == EngineServing::EveryModel || self.model == model
    }

    pub(super) fn used_tokens(&self) -> u64 {
        let streams: u64 = self.streams.values().map(|stream| stream.tokens).sum();
        let memory: u64 = self.memory.values().map(|memory| memory.tokens).sum();
        streams + memory
    }

    pub(super) fn publish(&mut self, hash: u64) {
        self.next_event += 1;
        self.cache.push_back((self.next_event, hash));
        if self.cache.len() > MAX_EVENTS {
            self.cache.pop_front();
        }
    }
}

/// The engine stand-in. Clones share the same state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    pub(super) state: Arc<Mutex<EngineState>>,
}

impl EngineStandin {
    /// Creates an engine without streams.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        let state = EngineState {
            model: options.model.clone(),
            options,
            streams: BTreeMap::new(),
            memory: BTreeMap::new(),
            cache: VecDeque::new(),
            next_event: 0,
            highest_fencing: 0,
            orders: Vec::new(),
            faults: EngineFaults::default(),
            generation: 0,
            started: Instant::now(),
            opened: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Replaces the injected faults. `silence_open` applies to the streams that are open now.
    pub fn set_faults(&self, faults: EngineFaults) {
        let mut state = self.state.lock();
        if faults.silence_open {
            state.generation += 1;
        }
        state.faults = faults;
    }

    /// Returns the KV-cache memory in use, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.state.lock().used_tokens()
    }

    /// Returns the number of streams opened since the engine started.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.state.lock().opened
    }
}
