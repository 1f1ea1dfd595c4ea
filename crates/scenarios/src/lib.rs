//! Deterministic simulation of entry instances on virtual time.
//!
//! The code under test is the production composition of `entry`; only the implementations of its
//! ports (platform, engines, services, weight store, peers) are fakes. A scenario runs on one
//! thread with tokio's paused clock, so that the same scenario gives the same result on every run.

mod clients;
mod engines;
mod history;
mod instance;
mod invariants;
mod network;
mod peers;
mod platform;
mod process_gate;
mod schedule;
mod script;
mod services;
mod weights;
mod world;
mod world_build;
mod world_faults;

pub use clients::PromptPlan;
pub use history::RequestEnd;
pub use invariants::Violation;
pub use schedule::{ScheduleReport, run_order_schedule, run_planted_schedule, run_schedule};
pub use script::run_script;
pub use world::{ModelLoading, PlantedFault, World, WorldPlan};
