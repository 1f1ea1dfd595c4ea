//! An entry instance: the library that programs embed, and that the `jackdawpoint-entry` daemon
//! wraps.
//!
//! Worker threads serve callers. One control thread exchanges messages with peers and calls the
//! platform. All threads share the tables of the `tables` module, which documents their lock order.

mod announcements;
mod budget_retry_limiter;
mod claims;
mod clock_and_ids;
mod completion;
mod completion_release;
mod configuration;
mod control;
mod core;
mod domain_rollout;
mod gateway;
mod grants;
mod lifecycle;
mod membership;
mod operators;
mod order_lease;
mod orders;
mod peer_handler;
mod ports;
mod registration;
mod service_calls;
mod start;
mod stewardship;
mod tables;

pub use crate::core::{EntryCore, GatewayFactory};
pub use clock_and_ids::SystemClockAndIds;
pub use ports::{
    ClockAndIds, ControlFuture, ControlPorts, SharedClockAndIds, TaskSpawner, WorkerPorts,
};
pub use start::{RunningEntry, StartError, start_entry};
