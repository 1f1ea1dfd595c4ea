//! Grants of one pool of endpoints, tracked by the pool's steward.
//!
//! A pool is a group of endpoints that serve the same models. Only the pool's steward allocates
//! slots and memory, so that independent routers cannot herd onto one endpoint. Stewardship is soft
//! state: two stewards at once cost efficiency, not safety, because engines enforce their own
//! limits.

mod admission;
mod decisions;
mod endpoint;
mod endpoint_updates;
mod exclusive;
mod grant;
mod lane;
mod large_grants;
mod limits;
mod models;
mod placement;
mod queue;
mod reconcile;
mod table;

pub use endpoint::{EndpointSpec, PoolEndpointState, RunningGrant};
pub use endpoint_updates::{CacheChange, ORPHAN_GRACE, UNLISTED_GRACE};
pub use grant::{
    Grant, GrantDecision, GrantId, GrantPart, GrantRequest, OwnerStatus, PrefillPriority, Sharing,
    TicketId, WorkClass,
};
pub use lane::{LanePolicy, LongLane};
pub use limits::{PoolLimits, PoolObjective};
pub use models::MODEL_CHANGE_HOLD;
pub use queue::{FairQueue, QueuedRequest};
pub use reconcile::{EngineListing, HeldMemory, Reconciliation, RunningStream};
pub use table::{PoolCounts, PoolTable};
