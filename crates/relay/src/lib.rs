//! Relays requests to endpoints, and their answers to callers, unchanged.
//!
//! The relay is the interface for deployments that do not use the project's own protocol. It
//! accepts any HTTP request and finds the service by host and path. A call to a plain service is
//! sent to one of its endpoints; for a model engine, the relay requests a placement from a
//! dispatcher and streams the engine's events. An adapter translates the deployment's header names
//! and the way it publishes configuration and endpoints.

mod answer;
mod caller_connections;
pub mod clock;
mod connections;
mod core;
mod counters;
mod crash_registry;
mod dialect;
mod endpoint_backoffs;
mod endpoint_connector;
mod endpoint_gate;
mod endpoint_view;
mod engine_reports;
mod forwarded_store;
mod handler;
mod metered_stream;
mod placement;
mod placement_router;
mod plain_call;
mod read_turns;
mod request;
mod reservation;
mod server;
mod silence_table;
mod store_era;
mod store_outage;
mod stream;
mod tunnel_host;

pub use crate::answer::{RelayFailure, WholeAnswer};
pub use crate::connections::{
    ConnectionAge, EndpointConnections, ForwardRequest, GateRule, SendError,
};
pub use crate::core::{RelayCore, RelayDependencies, RelayPhase};
pub use crate::counters::RelayCounters;
pub use crate::crash_registry::{CrashNotice, CrashRegistry, QuarantineCause};
pub use crate::dialect::{
    AnswerHead, AnswerSignature, CallerHead, ForwardHead, ForwardHelper, LeavingStatement,
    PromptSize, RunStatement, WireDialect,
};
pub use crate::endpoint_connector::{ConnectError, EndpointConnector, TunnelDirectory};
pub use crate::endpoint_gate::{EndpointGate, GateRefusal, LeavingListener};
pub use crate::endpoint_view::{ColdSource, ColdTime, EndpointView, StartStatement, ViewChange};
pub use crate::engine_reports::ReportClient;
pub use crate::forwarded_store::{ChangeSource, ForwardedStore};
pub use crate::placement::{
    DecisionFuture, DispatcherDriver, LOCAL_OWNER, LocalPlacementClient, PlacementClient,
};
pub use crate::placement_router::{EndpointListener, PlacementRouter};
pub use crate::reservation::{
    MemoryClient, MemoryReservation, ReleaseOutcome, ReserveOutcome, reservation_ttl,
};
pub use crate::server::{bind, serve_callers, serve_probes};
pub use crate::silence_table::{DoubtScope, SilenceTable};
pub use crate::store_era::{EraChange, StoreEra};
pub use crate::store_outage::{
    StoreOutage, first_follower_delay, informed_delay, later_follower_delay, prober_delay,
};
pub use crate::tunnel_host::EndpointTunnelHost;
pub use transport::{EventSplitter, EventTooLarge, WholeEvent, is_after};
