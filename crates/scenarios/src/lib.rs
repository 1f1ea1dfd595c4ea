//! Entry instances on virtual time with small fakes at their interfaces.
//!
//! The code under test is the real composition of `entry`; only what lies behind its ports is
//! faked. One thread and paused time make a scenario give the same verdict every run.

mod clients;
mod engines;
mod gate;
mod invariants;
mod ledger;
mod network;
mod node;
mod peers;
mod platform;
mod schedule;
mod script;
mod services;
mod weights;
mod world;
mod world_build;
mod world_faults;

pub use clients::PromptPlan;
pub use invariants::Violation;
pub use ledger::RequestEnd;
pub use schedule::{ScheduleReport, run_order_schedule, run_planted_schedule, run_schedule};
pub use script::run_script;
pub use world::{PlantedFault, World, WorldLoading, WorldPlan};
