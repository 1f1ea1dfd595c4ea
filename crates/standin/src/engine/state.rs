//! What the engine holds and how it misbehaves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Which models an engine serves.
#[derives::tag]
pub enum EngineServing {
    /// Whichever is asked for.
    EveryModel,
    /// The loaded one; streams of others are refused.
    LoadedModel,
}

/// What the engine can do.
#[derives::value]
pub struct EngineOptions {
    /// Streams side by side.
    pub slots: usize,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens read a second.
    pub prefill_rate: u64,
    /// Time between two tokens.
    pub token_time: Duration,
    /// The model loaded at the start.
    pub model: String,
    /// Which models it serves.
    pub serving: EngineServing,
    /// Whether an order with an old fencing number is refused.
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

/// Faults of the engine.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Streams that are open when this is set send nothing more, and stay open.
    pub silence_open: bool,
    /// Every call waits while this holds.
    pub frozen: bool,
    /// The next frames, this many, carry another attempt's id.
    pub cross_frames: u32,
    /// The next frames, this many, are sent twice.
    pub repeat_frames: u32,
    /// The next streams, this many, close after a few frames without an end mark.
    pub truncate_streams: u32,
    /// The next opened streams, this many, are refused.
    pub refuse_streams: u32,
    /// Milliseconds before an order is answered; it has taken effect by then.
    pub order_ms: u64,
    /// Cache events are published only up to this many behind the newest.
    pub cache_lag: usize,
    /// Every event whose number is a multiple of this is left out; zero for none.
    pub cache_gap: u64,
}

/// One stream that runs.
#[derive(Debug, Clone)]
pub(super) struct StreamRecord {
    pub(super) owner: String,
    pub(super) tokens: u64,
    pub(super) generation: u64,
}

/// Memory held for a stream on another engine.
#[derive(Debug, Clone)]
pub(super) struct MemoryRecord {
    pub(super) owner: String,
    pub(super) tokens: u64,
}

#[derive(Debug)]
pub(super) struct EngineTable {
    pub(super) options: EngineOptions,
    pub(super) streams: BTreeMap<String, StreamRecord>,
    pub(super) memory: BTreeMap<String, MemoryRecord>,
    pub(super) cache: VecDeque<(u64, u64)>,
    pub(super) next_event: u64,
    pub(super) model: String,
    pub(super) fencing: u64,
    pub(super) orders: Vec<(u64, String)>,
    pub(super) faults: EngineFaults,
    pub(super) generation: u64,
    pub(super) started: Instant,
    pub(super) opened: u64,
}

/// Cache events kept for readers that come late.
const EVENTS_KEPT: usize = 4_096;

impl EngineTable {
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
        if self.cache.len() > EVENTS_KEPT {
            self.cache.pop_front();
        }
    }
}

/// The engine's state; clones share it.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    pub(super) table: Arc<Mutex<EngineTable>>,
}

impl EngineStandin {
    /// An engine that runs nothing.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        let table = EngineTable {
            model: options.model.clone(),
            options,
            streams: BTreeMap::new(),
            memory: BTreeMap::new(),
            cache: VecDeque::new(),
            next_event: 0,
            fencing: 0,
            orders: Vec::new(),
            faults: EngineFaults::default(),
            generation: 0,
            started: Instant::now(),
            opened: 0,
        };
        Self {
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Sets the faults; `silence_open` takes hold of the streams that are open now.
    pub fn set_faults(&self, faults: EngineFaults) {
        let mut table = self.table.lock();
        if faults.silence_open {
            table.generation += 1;
        }
        table.faults = faults;
    }

    /// Tokens of memory in use.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.table.lock().used_tokens()
    }

    /// Streams opened since the start.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.table.lock().opened
    }
}
