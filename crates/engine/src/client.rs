//! The interface of model engines, as a trait.

use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use futures::stream::LocalBoxStream;
use ntex::util::Bytes;
use policy::frame::FrameHeader;
use policy::ids::{AttemptId, OwnerId};
use policy::pool::{CacheChange, EngineListing};
use policy::prefix::PrefixHash;

/// A call to an engine in flight.
pub type EngineFuture<'a, T> = LocalBoxFuture<'a, Result<T, EngineError>>;

/// The answer frames of one attempt.
pub type FrameStream = LocalBoxStream<'static, Result<EngineFrame, StreamError>>;

/// One answer frame.
#[derives::value]
pub struct EngineFrame {
    /// Attempt id, sequence number and token offset, which the receiver validates.
    pub header: FrameHeader,
    /// Generated text.
    pub text: String,
}

/// Why a stream could not be opened.
#[derives::tag]
pub enum OpenError {
    /// No connection was established, so no byte was sent.
    NotSent,
    /// The engine refused the stream before starting it.
    Refused,
    /// The connection closed after bytes may have been sent.
    Closed,
    /// No response arrived in time.
    Silent,
}

/// Why an open stream failed.
#[derives::tag]
pub enum StreamError {
    /// The connection closed or the event stream is malformed.
    Closed,
    /// A frame could not be parsed.
    Unreadable,
}

/// Why an engine call has no answer.
#[derives::tag]
pub enum EngineError {
    /// The engine is unreachable, did not answer in time, or answered with an error or an
    /// unreadable message.
    Unavailable,
}

/// A request to open a stream.
#[derive(Debug, Clone)]
pub struct StreamRequest {
    /// URL path of the interface, such as `/v1/completions`.
    pub path: &'static str,
    /// Id of the attempt, which every frame must echo.
    pub attempt: AttemptId,
    /// The instance that owns the stream.
    pub owner: OwnerId,
    /// Offset of the first token to send; the caller already has the earlier ones.
    pub offset: u64,
    /// Prefill priority; prompts with higher values are prefilled first.
    pub priority: u32,
    /// Name of the model on the engine.
    pub model: String,
    /// Adapter to apply to the model; empty for none.
    pub adapter: String,
    /// Version of the model; empty for any.
    pub version: String,
    /// Memory that the stream may use on this engine, in tokens.
    pub memory_tokens: u64,
    /// The caller's body, unchanged.
    pub body: Bytes,
}

/// A request to hold a part of a prompt in the memory of an engine other than the one that runs the
/// stream.
#[derives::value]
pub struct MemoryImport {
    /// The attempt for which the memory is held.
    pub attempt: AttemptId,
    /// The instance that owns the memory.
    pub owner: OwnerId,
    /// Amount of memory, in tokens.
    pub tokens: u64,
}

/// An engine's report on itself.
#[derives::value]
pub struct EngineReport {
    /// Milliseconds since the engine's process started.
    pub uptime: u64,
    /// Name of the loaded model; empty for none.
    pub model: String,
    /// Number of running streams.
    pub running: usize,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
}

/// One change to an engine's prefix cache.
#[derives::value]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub hash: PrefixHash,
    /// Whether the prefix was stored or evicted.
    pub change: CacheChange,
}

/// The cache events after a given event number.
#[derives::value]
pub struct CacheEvents {
    /// Number of the newest event that the engine has published; the next poll starts after it.
    pub newest: u64,
    /// The events, oldest first. Some may be missing.
    pub events: Vec<CacheEvent>,
}

/// An order to serve a model.
#[derives::value]
pub struct ModelOrder {
    /// Fencing token of the lease under which the order is sent.
    pub fencing: u64,
    /// Name of the model to serve.
    pub model: String,
}

/// An engine's answer to an order.
#[derives::tag]
pub enum OrderAnswer {
    /// The engine accepted the order.
    Taken,
    /// Refused: the engine has seen an order with a higher fencing token.
    Fenced,
    /// Refused: the engine has running streams.
    Busy,
}

/// Client for model engines.
pub trait EngineClient {
    /// Opens a stream on a new connection.
    fn open<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a StreamRequest,
    ) -> LocalBoxFuture<'a, Result<FrameStream, OpenError>>;

    /// Cancels an attempt's stream and frees its memory. Cancelling a stream that has ended
    /// succeeds.
    fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()>;

    /// Lists the running streams and the memory held for attempts.
    fn listing(&self, address: SocketAddr) -> EngineFuture<'_, EngineListing>;

    /// Requests the engine's report.
    fn report(&self, address: SocketAddr) -> EngineFuture<'_, EngineReport>;

    /// Reads the cache events that follow event number `after`.
    fn cache_events(&self, address: SocketAddr, after: u64) -> EngineFuture<'_, CacheEvents>;

    /// Imports memory on an engine that holds a part of a prompt for the engine that runs the
    /// stream.
    fn import_memory<'a>(
        &'a self,
        address: SocketAddr,
        import: &'a MemoryImport,
    ) -> EngineFuture<'a, ()>;

    /// Releases the memory held for an attempt. Releasing memory that is no longer held succeeds.
    fn release_memory(&self, address: SocketAddr, attempt: AttemptId) -> EngineFuture<'_, ()>;

    /// Orders the engine to serve a model.
    fn order_model<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a ModelOrder,
    ) -> EngineFuture<'a, OrderAnswer>;
}
