//! Fake model engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use engine::{
    CacheEvents, EngineClient, EngineError, EngineFrame, EngineFuture, EngineReport, FrameStream,
    MemoryImport, ModelOrder, OpenError, OrderAnswer, StreamError, StreamRequest,
};
use futures::future::LocalBoxFuture;
use futures::stream::unfold;
use futures::{FutureExt, StreamExt};
use policy::frame::{FrameHeader, FrameKind};
use policy::ids::{AttemptId, OwnerId, RequestId};
use policy::pool::{EngineListing, HeldMemory, RunningStream};
use tokio::time::{Instant, sleep, timeout};

use crate::network::Delivery;
use crate::world::{PlantedFault, WorldState};

/// Text in a prompt that crashes the engine that starts it.
pub(crate) const CRASH_MARKER: &str = "[[crash]]";

/// Time after which a client gives up waiting for an ordinary answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a client gives up waiting for a stream to open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which stalled calls and streams check whether they may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of a late order; shorter than the longest time that an order may take to arrive.
const ORDER_DELAY: Duration = Duration::from_millis(1_900);

/// Time that an engine takes to restart after a crash.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// Memory in use by a running stream, or reserved for an attempt by an import.
#[derive(Debug, Clone)]
struct OwnedMemory {
    owner: OwnerId,
    tokens: u64,
}

/// State and injected faults of one engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) name: String,
    pub(crate) is_frozen: bool,
    /// Number of frames to come that carry the id of another attempt.
    pub(crate) cross_frames: u32,
    /// Number of streams to come that close without an end frame.
    pub(crate) truncate_streams: u32,
    /// Connections with a number up to this one send no more data.
    silent_up_to: u64,
    /// Number of connections opened so far; the newest connection has this number.
    connections: u64,
    streams: BTreeMap<AttemptId, OwnedMemory>,
    /// Memory reservations by imports.
    memory: BTreeMap<AttemptId, OwnedMemory>,
    incarnation: u64,
    up_since: Instant,
    slots: usize,
    memory_tokens: u64,
    /// Model that the engine has loaded; empty if none.
    pub(crate) model: String,
    /// Highest fencing token of the orders that the engine has followed.
    pub(crate) fencing: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) crashes: u64,
    /// Whether the engine serves only the model that it has loaded.
    pub(crate) is_managed: bool,
    /// Number of orders to come that arrive late.
    pub(crate) late_orders: u32,
    /// Streams and memory reservations dropped to follow an order.
    pub(crate) cut_by_orders: usize,
    /// Number of model loads that the engine has started.
    pub(crate) loads: u64,
}

impl EngineState {
    pub(crate) fn new(name: &str, slots: usize, memory_tokens: u64) -> Self {
        Self {
            name: name.to_owned(),
            is_frozen: false,
            cross_frames: 0,
            truncate_streams: 0,
            silent_up_to: 0,
            connections: 0,
            streams: BTreeMap::new(),
            memory: BTreeMap::new(),
            incarnation: 0,
            up_since: Instant::now(),
            slots,
            memory_tokens,
            model: String::new(),
            fencing: 0,
            checks_fencing: false,
            crashes: 0,
            is_managed: false,
            late_orders: 0,
            cut_by_orders: 0,
            loads: 0,
        }
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        let streams = self.streams.values();
        let all = streams.chain(self.memory.values());
        all.map(|record| record.tokens).sum()
    }

    pub(crate) fn crash(&mut self, down: Duration) {
        self.incarnation += 1;
        self.crashes += 1;
        self.streams.clear();
        self.memory.clear();
        self.is_frozen = false;
        self.model.clear();
        self.up_since = Instant::now() + down;
    }

    pub(crate) fn silence_open_connections(&mut self) {
        self.silent_up_to = self.connections;
    }

    fn consume_late_order(&mut self) -> bool {
        let is_late = self.late_orders > 0;
        self.late_orders = self.late_orders.saturating_sub(1);
        is_late
    }

    /// Follows an order at once and drops all streams and reservations, as an engine does that
    /// does not defer orders while it is busy.
    fn apply_order(&mut self, order: &ModelOrder) -> OrderAnswer {
        if self.checks_fencing && order.fencing < self.fencing {
            return OrderAnswer::Fenced;
        }
        self.fencing = self.fencing.max(order.fencing);
        if self.model != order.model {
            self.cut_by_orders += self.streams.len() + self.memory.len();
            self.streams.clear();
            self.memory.clear();
            self.loads += u64::from(!order.model.is_empty());
            self.model.clone_from(&order.model);
        }
        OrderAnswer::Taken
    }

    fn is_up(&self) -> bool {
        Instant::now() >= self.up_since
    }
}

/// Engine client of one instance.
pub(crate) struct FakeEngines {
    world: Rc<WorldState>,
    instance: String,
}

impl FakeEngines {
    pub(crate) fn new(world: Rc<WorldState>, instance: &str) -> Self {
        Self {
            world,
            instance: instance.to_owned(),
        }
    }

    fn with<T>(&self, address: SocketAddr, act: impl FnOnce(&mut EngineState) -> T) -> T {
        self.world.with_engine(address, act)
    }

    /// Delivers a message to an engine; fails if the message is dropped or the engine is down, and
    /// waits while the engine is frozen.
    async fn deliver(&self, address: SocketAddr) -> Result<(), OpenError> {
        let name = self.with(address, |engine| engine.name.clone());
        if self.world.network.transmit(&self.instance, &name).await == Delivery::Dropped {
            sleep(ANSWER_TIMEOUT).await;
            return Err(OpenError::NotSent);
        }
        if !self.with(address, |engine| engine.is_up()) {
            return Err(OpenError::NotSent);
        }
        while self.with(address, |engine| engine.is_frozen) {
            sleep(STALL_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn call<T>(
        &self,
        address: SocketAddr,
        act: impl FnOnce(&mut EngineState) -> T,
    ) -> Result<T, EngineError> {
        match timeout(ANSWER_TIMEOUT, self.deliver(address)).await {
            Ok(Ok(())) => Ok(self.with(address, act)),
            Ok(Err(_)) | Err(_) => Err(EngineError::Unavailable),
        }
    }

    async fn open_stream(
        &self,
        address: SocketAddr,
        request: &StreamRequest,
    ) -> Result<FrameStream, OpenError> {
        self.deliver(address).await?;
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if body.contains(CRASH_MARKER) {
            self.world.record_started(&body);
            self.with(address, |engine| engine.crash(RESTART_DELAY));
            return Err(OpenError::Closed);
        }
        let admitted = self.with(address, |engine| admit(engine, request));
        let (incarnation, connection, truncate_after) = admitted.ok_or(OpenError::Refused)?;
        self.world.record_started(&body);
        if self.world.planted == PlantedFault::RefusalAfterStart {
            return Err(OpenError::Refused);
        }
        let stream = FakeStream {
            guard: StreamGuard {
                world: self.world.clone(),
                instance: self.instance.clone(),
                address,
                attempt: request.attempt,
            },
            incarnation,
            connection,
            truncate_after,
            prompt: body,
            sequence: 0,
            next_offset: request.offset,
        };
        Ok(unfold(stream, FakeStream::next_frame).boxed_local())
    }
}

/// Starts a stream; returns the engine's incarnation, the number of the connection and the frames
/// after which the stream is truncated. `None` if the engine has no slot, too little memory or
/// another model loaded.
fn admit(engine: &mut EngineState, request: &StreamRequest) -> Option<(u64, u64, u64)> {
    let is_full = engine.streams.len() >= engine.slots
        || engine.used_tokens() + request.memory_tokens > engine.memory_tokens;
    let is_other_model = engine.is_managed && engine.model != request.model;
    if is_full || is_other_model {
        return None;
    }
    let record = OwnedMemory {
        owner: request.owner.clone(),
        tokens: request.memory_tokens,
    };
    engine.streams.insert(request.attempt, record);
    engine.connections += 1;
    let truncate_after = if engine.truncate_streams > 0 {
        engine.truncate_streams -= 1;
        3
    } else {
        u64::MAX
    };
    Some((engine.incarnation, engine.connections, truncate_after))
}

/// Removes the stream from its engine when the connection is dropped, unless the engine cannot see
/// that the connection closed.
struct StreamGuard {
    world: Rc<WorldState>,
    instance: String,
    address: SocketAddr,
    attempt: AttemptId,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let name = self.world.with_engine(self.address, |one| one.name.clone());
        let is_partitioned =
            self.world.network.delivery(&self.instance, &name) == Delivery::Dropped;
        let leaks_streams = self.world.planted == PlantedFault::LeakedStreams;
        if is_partitioned || leaks_streams || self.world.is_machine_lost(&self.instance) {
            return;
        }
        self.world.with_engine(self.address, |engine| {
            engine.streams.remove(&self.attempt);
        });
    }
}

struct FakeStream {
    guard: StreamGuard,
    incarnation: u64,
    connection: u64,
    truncate_after: u64,
    prompt: String,
    sequence: u64,
    next_offset: u64,
}

type Frame = Result<EngineFrame, StreamError>;

impl FakeStream {
    async fn next_frame(mut self) -> Option<(Frame, Self)> {
        let prompt = FakePrompt::parse(&self.prompt);
        let duration = if self.sequence == 0 {
            prompt.prefill
        } else {
            prompt.token_time
        };
        sleep(duration).await;
        while self.is_stalled() {
            sleep(STALL_POLL_INTERVAL).await;
        }
        if !self.is_running() || self.sequence >= self.truncate_after {
            return None;
        }
        let frame = self.frame(prompt.tokens);
        Some((Ok(frame), self))
    }

    fn is_stalled(&self) -> bool {
        let guard = &self.guard;
        let (name, is_stalled) = guard.world.with_engine(guard.address, |engine| {
            let is_silent = self.connection <= engine.silent_up_to;
            let is_same_incarnation = engine.incarnation == self.incarnation;
            let is_stalled = is_same_incarnation && (engine.is_frozen || is_silent);
            (engine.name.clone(), is_stalled)
        });
        is_stalled || guard.world.network.delivery(&guard.instance, &name) == Delivery::Dropped
    }

    fn is_running(&self) -> bool {
        let guard = &self.guard;
        guard.world.with_engine(guard.address, |engine| {
            engine.incarnation == self.incarnation && engine.streams.contains_key(&guard.attempt)
        })
    }

    fn frame(&mut self, total: u64) -> EngineFrame {
        let is_end = self.next_offset >= total;
        let tokens = u64::from(!is_end);
        let header = FrameHeader {
            attempt: self.frame_attempt(),
            sequence: self.sequence,
            offset: self.next_offset,
            tokens,
            kind: if is_end {
                FrameKind::End
            } else {
                FrameKind::Part
            },
        };
        let text = if is_end {
            String::new()
        } else {
            token_text(self.answered_prompt(), self.next_offset)
        };
        self.sequence += 1;
        self.next_offset += tokens;
        EngineFrame { header, text }
    }

    /// The prompt whose answer the frames carry.
    fn answered_prompt(&self) -> &str {
        if self.guard.world.planted == PlantedFault::ForeignText {
            return "another";
        }
        &self.prompt
    }

    fn frame_attempt(&self) -> AttemptId {
        let guard = &self.guard;
        guard.world.with_engine(guard.address, |engine| {
            if engine.cross_frames == 0 {
                return guard.attempt;
            }
            engine.cross_frames -= 1;
            AttemptId {
                request: RequestId(7),
                number: 1,
            }
        })
    }
}

/// A prompt in the fake engines' format, `NAME|PREFILL_MS|TOKENS|TOKEN_MS`; a missing number is 1.
pub(crate) struct FakePrompt {
    prefill: Duration,
    pub(crate) tokens: u64,
    token_time: Duration,
}

impl FakePrompt {
    pub(crate) fn parse(prompt: &str) -> Self {
        let mut parts = prompt.split('|').skip(1);
        let mut number = || parts.next().and_then(|part| part.parse().ok()).unwrap_or(1);
        Self {
            prefill: Duration::from_millis(number()),
            tokens: number(),
            token_time: Duration::from_millis(number()),
        }
    }
}

/// The text of one token of the answer to a prompt.
fn token_text(prompt: &str, index: u64) -> String {
    let name = prompt.split('|').next().unwrap_or(prompt);
    format!("{name}.{index} ")
}

/// The complete answer to a prompt.
pub(crate) fn expected_answer(prompt: &str) -> String {
    let tokens = FakePrompt::parse(prompt).tokens;
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

impl EngineClient for FakeEngines {
    fn open<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a StreamRequest,
    ) -> LocalBoxFuture<'a, Result<FrameStream, OpenError>> {
        async move {
            match timeout(OPEN_TIMEOUT, self.open_stream(address, request)).await {
                Ok(opened) => opened,
                Err(_) => Err(OpenError::Silent),
            }
        }
        .boxed_local()
    }

    fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        let leaks_streams = self.world.planted == PlantedFault::LeakedStreams;
        self.call(address, move |engine| {
            if !leaks_streams {
                engine.streams.remove(&attempt);
            }
        })
        .boxed_local()
    }

    fn listing(&self, address: SocketAddr) -> EngineFuture<'_, EngineListing> {
        self.call(address, |engine| EngineListing {
            streams: engine
                .streams
                .iter()
                .map(|(attempt, record)| RunningStream {
                    attempt: *attempt,
                    owner: record.owner.clone(),
                    tokens: record.tokens,
                })
                .collect(),
            memory: engine
                .memory
                .iter()
                .map(|(attempt, record)| HeldMemory {
                    attempt: *attempt,
                    owner: record.owner.clone(),
                    tokens: record.tokens,
                })
                .collect(),
        })
        .boxed_local()
    }

    fn report(&self, address: SocketAddr) -> EngineFuture<'_, EngineReport> {
        self.call(address, |engine| {
            let uptime = engine.up_since.elapsed().as_millis();
            EngineReport {
                uptime: u64::try_from(uptime).unwrap_or(u64::MAX),
                model: engine.model.clone(),
                running: engine.streams.len(),
                used_tokens: engine.used_tokens(),
            }
        })
        .boxed_local()
    }

    fn cache_events(&self, address: SocketAddr, after: u64) -> EngineFuture<'_, CacheEvents> {
        self.call(address, move |_| CacheEvents {
            newest: after,
            events: Vec::new(),
        })
        .boxed_local()
    }

    fn import_memory<'a>(
        &'a self,
        address: SocketAddr,
        import: &'a MemoryImport,
    ) -> EngineFuture<'a, ()> {
        async move {
            let imported = self.call(address, |engine| {
                if engine.used_tokens() + import.tokens > engine.memory_tokens {
                    return Err(EngineError::Unavailable);
                }
                let record = OwnedMemory {
                    owner: import.owner.clone(),
                    tokens: import.tokens,
                };
                engine.memory.insert(import.attempt, record);
                Ok(())
            });
            imported.await?
        }
        .boxed_local()
    }

    fn release_memory(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        self.call(address, move |engine| {
            engine.memory.remove(&attempt);
        })
        .boxed_local()
    }

    fn order_model<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a ModelOrder,
    ) -> EngineFuture<'a, OrderAnswer> {
        async move {
            if self.with(address, EngineState::consume_late_order) {
                let (world, order) = (self.world.clone(), order.clone());
                tokio::task::spawn_local(async move {
                    sleep(ORDER_DELAY).await;
                    world.with_engine(address, |engine| engine.apply_order(&order));
                });
                sleep(ANSWER_TIMEOUT).await;
                return Err(EngineError::Unavailable);
            }
            self.call(address, |engine| engine.apply_order(order)).await
        }
        .boxed_local()
    }
}
