//! Where prompts go: exact counts of what runs on the engines of each pool, and the decisions
//! that follow from them.
//!
//! A [`DispatchBoard`] is kept by the instance that is steward of the fleet or of its failure
//! domain; every instance keeps one, so that each can serve alone. Its keeper carries the answers
//! to the instances that asked.

mod board;
mod endpoint;
pub mod engine;
pub mod health;
mod limits;
mod outage;
mod place;
mod pool_board;
mod reading;
mod waiting;
pub mod work;

pub use board::DispatchBoard;
pub use limits::DispatchLimits;
