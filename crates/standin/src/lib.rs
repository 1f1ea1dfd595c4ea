//! Stand-ins for the systems around jackdawpoint: model engine, plain service, key-value service,
//! weight store and instance list.
//!
//! Each stand-in serves the HTTP interface that the workspace's client packages call and keeps its
//! state in memory. Those with fault injection take the faults as a JSON object by `POST /faults`.

pub mod engine;
pub mod key_value;
pub mod platform;
mod serve;
pub mod service;

pub use serve::{RunningStandin, StandinError};
