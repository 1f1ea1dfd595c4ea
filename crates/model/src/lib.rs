//! Discrete-event simulation of the dispatcher on simulated engines and a generated load.
//!
//! The engines follow their published cost model: they work in passes, prefill prompts in chunks
//! while they decode, and help other engines with the prefill of split prompts. Placement decisions
//! come from the dispatcher of the `policy` crate, driven by virtual time, so the result of a
//! simulation depends only on its load, its dispatch limits and its seed.

pub mod clairvoyant;
pub mod engine;
pub mod experiment;
pub mod load;
pub mod report;

pub use experiment::{ExperimentOutcome, LoadExperiment};
pub use load::LoadFile;
