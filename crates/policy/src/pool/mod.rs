//! The exact grants of one pool of endpoints, kept by the pool's steward.
//!
//! A pool is a group of endpoints that serve the same models. Its steward is the only one that
//! counts slots and memory, so that independent routers cannot herd. Stewardship is soft state:
//! two stewards at once cost efficiency, not safety, since engines keep their own limits.

mod alone;
mod ask;
mod drain;
mod endpoint;
mod health;
mod lane;
mod limits;
mod models;
mod pace;
mod place;
mod queue;
mod reconcile;
mod refuse;
mod table;

pub use ask::{
    Grant, GrantAsk, GrantDecision, GrantId, GrantPart, OwnerVerdict, ReadPriority, Sharing,
    TicketId, WorkClass,
};
pub use endpoint::{EndpointSpec, EndpointState, RunningGrant};
pub use health::{CacheChange, ORPHAN_GRACE, UNLISTED_GRACE};
pub use lane::{LanePolicy, LongLane};
pub use limits::{PoolLimits, PoolObjective};
pub use models::CHANGING_TIME;
pub use queue::{FairQueue, Waiting};
pub use reconcile::{EngineListing, HeldMemory, Reconciliation, RunningStream};
pub use table::{PoolCounts, PoolTable};
