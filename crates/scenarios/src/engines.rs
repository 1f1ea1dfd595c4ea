//! Fake model engines, as one node reaches them.

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

use crate::network::Passage;
use crate::world::{PlantedFault, WorldState};

/// A prompt that holds this text crashes the engine that starts it.
pub(crate) const CRASH_MARK: &str = "[[crash]]";

/// Longest wait of a client for an ordinary answer.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Longest wait of a client for a stream to open.
const OPEN_TIME: Duration = Duration::from_millis(2_500);

/// How often something that stands still is looked at again.
const HOLD_POLL: Duration = Duration::from_millis(20);

/// How long an order that is late is on its way: within the longest order's time.
const LATE_ORDER: Duration = Duration::from_millis(1_900);

/// How long a crashed engine takes to come back.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// One stream that runs.
#[derive(Debug, Clone)]
struct StreamRecord {
    owner: OwnerId,
    tokens: u64,
}

/// State and faults of one engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) name: String,
    pub(crate) is_frozen: bool,
    pub(crate) cross_frames: u32,
    pub(crate) truncate_streams: u32,
    /// Connections made before this count send nothing more.
    silent_before: u64,
    connections: u64,
    streams: BTreeMap<AttemptId, StreamRecord>,
    memory: BTreeMap<AttemptId, StreamRecord>,
    life: u64,
    up_since: Instant,
    slots: usize,
    memory_tokens: u64,
    pub(crate) model: String,
    pub(crate) fencing: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) crashes: u64,
    /// Whether it serves only the model that it has loaded.
    pub(crate) is_managed: bool,
    /// The next orders, this many, arrive late.
    pub(crate) late_orders: u32,
    /// Streams and memory lost to orders.
    pub(crate) cut_by_orders: usize,
    /// Loads that it has begun.
    pub(crate) loads: u64,
}

impl EngineState {
    pub(crate) fn new(name: &str, slots: usize, memory_tokens: u64) -> Self {
        Self {
            name: name.to_owned(),
            is_frozen: false,
            cross_frames: 0,
            truncate_streams: 0,
            silent_before: 0,
            connections: 0,
            streams: BTreeMap::new(),
            memory: BTreeMap::new(),
            life: 0,
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

    pub(crate) fn die(&mut self, down: Duration) {
        self.life += 1;
        self.crashes += 1;
        self.streams.clear();
        self.memory.clear();
        self.is_frozen = false;
        self.model.clear();
        self.up_since = Instant::now() + down;
    }

    pub(crate) fn silence_open_connections(&mut self) {
        self.silent_before = self.connections;
    }

    fn is_order_late(&mut self) -> bool {
        let is_late = self.late_orders > 0;
        self.late_orders = self.late_orders.saturating_sub(1);
        is_late
    }

    /// Obeys an order at once, whatever runs: an engine that does not put it off.
    fn take_order(&mut self, order: &ModelOrder) -> OrderAnswer {
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

/// The engines as one node reaches them.
pub(crate) struct FakeEngines {
    world: Rc<WorldState>,
    node: String,
}

impl FakeEngines {
    pub(crate) fn new(world: Rc<WorldState>, node: &str) -> Self {
        Self {
            world,
            node: node.to_owned(),
        }
    }

    fn with<T>(&self, address: SocketAddr, act: impl FnOnce(&mut EngineState) -> T) -> T {
        self.world.with_engine(address, act)
    }

    /// Carries a message to an engine that is up and moves.
    async fn reach(&self, address: SocketAddr) -> Result<(), OpenError> {
        let name = self.with(address, |engine| engine.name.clone());
        if self.world.network.carry(&self.node, &name).await == Passage::Cut {
            sleep(ANSWER_TIME).await;
            return Err(OpenError::NotSent);
        }
        if !self.with(address, |engine| engine.is_up()) {
            return Err(OpenError::NotSent);
        }
        while self.with(address, |engine| engine.is_frozen) {
            sleep(HOLD_POLL).await;
        }
        Ok(())
    }

    async fn call<T>(
        &self,
        address: SocketAddr,
        act: impl FnOnce(&mut EngineState) -> T,
    ) -> Result<T, EngineError> {
        match timeout(ANSWER_TIME, self.reach(address)).await {
            Ok(Ok(())) => Ok(self.with(address, act)),
            Ok(Err(_)) | Err(_) => Err(EngineError::Unavailable),
        }
    }

    async fn open_stream(
        &self,
        address: SocketAddr,
        order: &StreamRequest,
    ) -> Result<FrameStream, OpenError> {
        self.reach(address).await?;
        let body = String::from_utf8_lossy(&order.body).into_owned();
        if body.contains(CRASH_MARK) {
            self.world.note_started(&body);
            self.with(address, |engine| engine.die(RESTART_TIME));
            return Err(OpenError::Closed);
        }
        let cursor = self.with(address, |engine| admit(engine, order));
        let (life, connection, cut_after) = cursor.ok_or(OpenError::Refused)?;
        self.world.note_started(&body);
        if self.world.planted == PlantedFault::LateRefusal {
            return Err(OpenError::Refused);
        }
        let stream = FakeStream {
            hold: StreamHold {
                world: self.world.clone(),
                node: self.node.clone(),
                address,
                attempt: order.attempt,
            },
            life,
            connection,
            cut_after,
            mark: body,
            sequence: 0,
            next: order.offset,
        };
        Ok(unfold(stream, FakeStream::next_frame).boxed_local())
    }
}

fn admit(engine: &mut EngineState, order: &StreamRequest) -> Option<(u64, u64, u64)> {
    let is_full = engine.streams.len() >= engine.slots
        || engine.used_tokens() + order.memory_tokens > engine.memory_tokens;
    let is_other_model = engine.is_managed && engine.model != order.model;
    if is_full || is_other_model {
        return None;
    }
    let record = StreamRecord {
        owner: order.owner.clone(),
        tokens: order.memory_tokens,
    };
    engine.streams.insert(order.attempt, record);
    engine.connections += 1;
    let cut_after = if engine.truncate_streams > 0 {
        engine.truncate_streams -= 1;
        3
    } else {
        u64::MAX
    };
    Some((engine.life, engine.connections, cut_after))
}

/// Ends the stream at its engine when the connection closes, unless the engine cannot notice.
struct StreamHold {
    world: Rc<WorldState>,
    node: String,
    address: SocketAddr,
    attempt: AttemptId,
}

impl Drop for StreamHold {
    fn drop(&mut self) {
        let name = self.world.with_engine(self.address, |one| one.name.clone());
        let is_cut = self.world.network.passage(&self.node, &name) == Passage::Cut;
        let is_forgetful = self.world.planted == PlantedFault::ForgetfulEngine;
        if is_cut || is_forgetful || self.world.is_vanished(&self.node) {
            return;
        }
        self.world.with_engine(self.address, |engine| {
            engine.streams.remove(&self.attempt);
        });
    }
}

struct FakeStream {
    hold: StreamHold,
    life: u64,
    connection: u64,
    cut_after: u64,
    mark: String,
    sequence: u64,
    next: u64,
}

type Frame = Result<EngineFrame, StreamError>;

impl FakeStream {
    async fn next_frame(mut self) -> Option<(Frame, Self)> {
        let work = FakePrompt::parse(&self.mark);
        let pause = if self.sequence == 0 {
            work.prefill
        } else {
            work.token_time
        };
        sleep(pause).await;
        while self.is_held() {
            sleep(HOLD_POLL).await;
        }
        if !self.is_running() || self.sequence >= self.cut_after {
            return None;
        }
        let frame = self.frame(work.tokens);
        Some((Ok(frame), self))
    }

    fn is_held(&self) -> bool {
        let hold = &self.hold;
        let (name, is_held) = hold.world.with_engine(hold.address, |engine| {
            let is_silent = self.connection <= engine.silent_before;
            let is_same_life = engine.life == self.life;
            let is_held = is_same_life && (engine.is_frozen || is_silent);
            (engine.name.clone(), is_held)
        });
        is_held || hold.world.network.passage(&hold.node, &name) == Passage::Cut
    }

    fn is_running(&self) -> bool {
        let hold = &self.hold;
        hold.world.with_engine(hold.address, |engine| {
            engine.life == self.life && engine.streams.contains_key(&hold.attempt)
        })
    }

    fn frame(&mut self, total: u64) -> EngineFrame {
        let is_end = self.next >= total;
        let tokens = u64::from(!is_end);
        let header = FrameHeader {
            attempt: self.echoed_attempt(),
            sequence: self.sequence,
            offset: self.next,
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
            token_text(self.text_mark(), self.next)
        };
        self.sequence += 1;
        self.next += tokens;
        EngineFrame { header, text }
    }

    fn text_mark(&self) -> &str {
        if self.hold.world.planted == PlantedFault::MixedText {
            return "another";
        }
        &self.mark
    }

    fn echoed_attempt(&self) -> AttemptId {
        let hold = &self.hold;
        hold.world.with_engine(hold.address, |engine| {
            if engine.cross_frames == 0 {
                return hold.attempt;
            }
            engine.cross_frames -= 1;
            AttemptId {
                request: RequestId(7),
                number: 1,
            }
        })
    }
}

/// A fake prompt: `NAME|PREFILL_MS|TOKENS|TOKEN_MS`.
pub(crate) struct FakePrompt {
    prefill: Duration,
    pub(crate) tokens: u64,
    token_time: Duration,
}

impl FakePrompt {
    pub(crate) fn parse(mark: &str) -> Self {
        let mut parts = mark.split('|').skip(1);
        let mut number = || parts.next().and_then(|part| part.parse().ok()).unwrap_or(1);
        Self {
            prefill: Duration::from_millis(number()),
            tokens: number(),
            token_time: Duration::from_millis(number()),
        }
    }
}

/// The text of one token of the answer to a prompt.
fn token_text(mark: &str, index: u64) -> String {
    let name = mark.split('|').next().unwrap_or(mark);
    format!("{name}.{index} ")
}

/// The whole answer to a prompt.
pub(crate) fn expected_answer(mark: &str) -> String {
    let tokens = FakePrompt::parse(mark).tokens;
    (0..tokens).map(|index| token_text(mark, index)).collect()
}

impl EngineClient for FakeEngines {
    fn open<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a StreamRequest,
    ) -> LocalBoxFuture<'a, Result<FrameStream, OpenError>> {
        async move {
            match timeout(OPEN_TIME, self.open_stream(address, order)).await {
                Ok(opened) => opened,
                Err(_) => Err(OpenError::Silent),
            }
        }
        .boxed_local()
    }

    fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()> {
        let is_forgetful = self.world.planted == PlantedFault::ForgetfulEngine;
        self.call(address, move |engine| {
            if !is_forgetful {
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
        order: &'a MemoryImport,
    ) -> EngineFuture<'a, ()> {
        async move {
            let imported = self.call(address, |engine| {
                if engine.used_tokens() + order.tokens > engine.memory_tokens {
                    return Err(EngineError::Unavailable);
                }
                let record = StreamRecord {
                    owner: order.owner.clone(),
                    tokens: order.tokens,
                };
                engine.memory.insert(order.attempt, record);
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
            if self.with(address, EngineState::is_order_late) {
                let (world, order) = (self.world.clone(), order.clone());
                tokio::task::spawn_local(async move {
                    sleep(LATE_ORDER).await;
                    world.with_engine(address, |engine| engine.take_order(&order));
                });
                sleep(ANSWER_TIME).await;
                return Err(EngineError::Unavailable);
            }
            self.call(address, |engine| engine.take_order(order)).await
        }
        .boxed_local()
    }
}
