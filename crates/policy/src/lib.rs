//! Decision logic of an entry instance, without I/O, clocks or threads.
//!
//! Functions that depend on time take `now` in milliseconds of a monotonic clock. The adapters in
//! `entry` and the fakes in `scenarios` execute the decisions.

pub mod backoff;
pub mod balance;
pub mod call;
pub mod cast;
pub mod catalog;
pub mod claim;
pub mod cold_limit;
pub mod demand;
pub mod dispatch;
pub mod duration_estimate;
pub mod endpoint_path;
pub mod first_event_wait;
pub mod fleet;
pub mod flow;
pub mod forwarding_budget;
pub mod frame;
pub mod ids;
pub mod learned_capacity;
pub mod leaving;
pub mod member;
pub mod notice_times;
pub mod order;
pub mod outcome;
pub mod part_blame;
pub mod poison;
pub mod pool;
pub mod prefix;
pub mod prompt_part;
pub mod rate_limit;
pub mod retry;
pub mod retry_delay;
pub mod rollout;
pub mod slow_start;
pub mod statement_delay;
pub mod steward;
pub mod stop_times;
pub mod store_position;
pub mod template;
pub mod tunnel;
