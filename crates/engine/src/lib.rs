//! Client for model engines.

mod client;
mod http;
mod wire;

pub use client::{
    CacheEvent, CacheEvents, EngineClient, EngineError, EngineFrame, EngineFuture, EngineReport,
    FrameStream, MemoryImport, ModelOrder, OpenError, OrderAnswer, StreamError, StreamRequest,
};
pub use http::HttpEngineClient;
