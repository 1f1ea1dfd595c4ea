//! Composition of an entry instance: the library that users embed, and the thin daemon's core.
//!
//! Worker threads serve callers; one control thread speaks with peers and the platform. They
//! share the tables of [`tables`], whose lock order is stated there.

mod announcements;
mod budget_gate;
mod claims;
mod completion;
mod completion_holds;
mod configuration;
mod control;
mod core;
mod domain_rollout;
mod gateway;
mod grants;
mod identity;
mod lifecycle;
mod membership;
mod operators;
mod order_lease;
mod orders;
mod peer_answers;
mod ports;
mod registration;
mod service_calls;
mod start;
mod stewardship;
mod tables;

pub use crate::core::{EntryCore, GatewayFactory};
pub use identity::SystemIdentity;
pub use ports::{
    ControlFuture, ControlPorts, IdentitySource, SharedIdentity, TaskSpawner, WorkerPorts,
};
pub use start::{RunningEntry, StartFault, start_entry};
