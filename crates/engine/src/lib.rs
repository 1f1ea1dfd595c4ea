//! Client for model engines.

mod client;
mod http;
mod wire;

pub use client::{
    CacheEvent, CacheEvents, EngineClient, EngineFault, EngineFrame, EngineFuture, EngineReport,
    FrameStream, MemoryOrder, ModelOrder, OpenFault, OrderAnswer, StreamFault, StreamOrder,
};
pub use http::HttpEngines;
