//! Small stand-ins of engine, service, key-value service, weight store and instance list.
//!
//! Each serves the HTTP interface that the peer packages speak, keeps its state in memory and has
//! switches for faults, set by `POST /faults` with a JSON object.

pub mod engine;
pub mod key_value;
pub mod platform;
mod serve;
pub mod service;

pub use serve::{RunningStandin, StandinError};
