//! What engines offer, as a trait at the border of the package.

use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;
use ntex::util::Bytes;
use policy::frame::FrameHeader;
use policy::ids::{AttemptId, OwnerId};
use policy::pool::{CacheChange, EngineListing};
use policy::prefix::PrefixHash;

/// An engine call in flight.
pub type EngineFuture<'a, T> = LocalBoxFuture<'a, Result<T, EngineFault>>;

/// The frames of one attempt.
pub type FrameStream = LocalBoxStream<'static, Result<EngineFrame, StreamFault>>;

/// One frame: its checked header and its text.
#[derives::value]
pub struct EngineFrame {
    /// What the frame echoes and counts.
    pub head: FrameHeader,
    /// The generated text.
    pub text: String,
}

/// Why a stream could not be opened.
#[derives::tag]
pub enum OpenFault {
    /// No connection was made: no byte was sent.
    NotSent,
    /// The engine refused before starting.
    Refused,
    /// The connection closed after bytes may have been sent.
    Closed,
    /// Nothing came in time.
    Silent,
}

/// Why a stream broke off.
#[derives::tag]
pub enum StreamFault {
    /// The connection closed.
    Closed,
    /// A frame could not be read.
    Unreadable,
}

/// Why an engine call has no answer.
#[derives::tag]
pub enum EngineFault {
    /// The engine cannot be reached or does not answer.
    Unavailable,
}

/// A stream to be opened.
#[derive(Debug, Clone)]
pub struct StreamOrder {
    /// Path of the interface, such as `/v1/completions`.
    pub path: &'static str,
    /// The id that every frame must echo.
    pub attempt: AttemptId,
    /// Who owns the stream.
    pub owner: OwnerId,
    /// First token to send; those before it the caller has.
    pub offset: u64,
    /// Higher priorities are read first.
    pub priority: u32,
    /// The model, as engines know it.
    pub model: String,
    /// Adapter laid over the model; empty for none.
    pub adapter: String,
    /// The model's version; empty for any.
    pub version: String,
    /// Tokens of memory that the stream may come to hold on this engine.
    pub memory_tokens: u64,
    /// The caller's body, unchanged.
    pub body: Bytes,
}

/// Memory of other engines that a stream's prompt is spread over.
#[derives::value]
pub struct MemoryOrder {
    /// The attempt that it is held for.
    pub attempt: AttemptId,
    /// Who owns it.
    pub owner: OwnerId,
    /// Tokens.
    pub tokens: u64,
}

/// An engine's report on itself.
#[derives::value]
pub struct EngineReport {
    /// Milliseconds since its process started.
    pub uptime: u64,
    /// The loaded model; empty for none.
    pub model: String,
    /// Streams that run.
    pub running: usize,
    /// Tokens of memory in use.
    pub used_tokens: u64,
}

/// One change of an engine's prefix cache.
#[derives::value]
pub struct CacheEvent {
    /// The prefix.
    pub hash: PrefixHash,
    /// What happened to it.
    pub change: CacheChange,
}

/// Cache events after a number, with the number to ask from next.
#[derives::value]
pub struct CacheEvents {
    /// Number of the newest event that the engine has published.
    pub newest: u64,
    /// The events, oldest first; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// An order to serve a model.
#[derives::value]
pub struct ModelOrder {
    /// Fencing number of the holder's lease.
    pub fencing: u64,
    /// The model that the engine is to serve.
    pub model: String,
}

/// An engine's answer to an order.
#[derives::tag]
pub enum OrderAnswer {
    /// Taken.
    Taken,
    /// Refused: an order with a higher fencing number came before.
    Fenced,
    /// Refused: streams are running.
    Busy,
}

/// Model engines.
pub trait EngineClient {
    /// Opens a stream on a fresh connection.
    fn open<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a StreamOrder,
    ) -> LocalBoxFuture<'a, Result<FrameStream, OpenFault>>;

    /// Cancels an attempt's stream and frees its memory; a stream that has ended is no fault.
    fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()>;

    /// Lists the streams that run and the memory that is held.
    fn listing(&self, address: SocketAddr) -> EngineFuture<'_, EngineListing>;

    /// Asks for a report.
    fn report(&self, address: SocketAddr) -> EngineFuture<'_, EngineReport>;

    /// Reads the cache events after a number.
    fn cache_events(&self, address: SocketAddr, after: u64) -> EngineFuture<'_, CacheEvents>;

    /// Imports memory for a prompt that is spread over several engines.
    fn import_memory<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a MemoryOrder,
    ) -> EngineFuture<'a, ()>;

    /// Releases the memory held for an attempt; memory that is gone is no fault.
    fn release_memory(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()>;

    /// Orders the engine to serve a model.
    fn order_model<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a ModelOrder,
    ) -> EngineFuture<'a, OrderAnswer>;
}
