//! Placement of model requests on engines, based on exact counts of what runs on each engine of a
//! pool.
//!
//! The steward of the fleet or of a failure domain runs the [`Dispatcher`] that decides for the
//! other instances, and sends its decisions to the instances that requested them. Every instance
//! has a dispatcher, so that each can serve on its own.

mod dispatcher;
mod endpoint;
pub mod engine;
pub mod health;
mod limits;
mod outage;
pub mod placement;
mod pool_dispatcher;
mod prefill_queue;
mod queued_request;
mod round;
mod search;
mod short_queue;

pub use dispatcher::{CapacityChange, Dispatcher};
pub use limits::DispatchLimits;
pub use pool_dispatcher::DispatchWork;
