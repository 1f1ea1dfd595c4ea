//! Bounds and weights of the dispatch decisions.

use serde::{Deserialize, Serialize};

use crate::ids::Millis;
use crate::retry::BudgetLimits;

/// Bounds and weights of a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchLimits {
    /// Share of the pause target of decoding requests that a pass may take, prefill included; the
    /// rest covers the network and events that span two passes.
    pub pause_share: f64,
    /// Factor by which the pauses of others may exceed that share once a long prompt has waited for
    /// `strict_share` of its target; tight pause targets are always kept.
    pub relaxed_pause: f64,
    /// Share of its first-event target that a request waits before it may lengthen the pauses of
    /// others.
    pub strict_share: f64,
    /// Share of the time left to its first-event target for which the prefill of a prompt may be
    /// delayed by parts that are granted later and go ahead of it on its engines.
    pub due_share: f64,
    /// Delay of the prefill by later parts that is allowed in any case, in milliseconds: about the
    /// prefill time of a question or a review.
    pub most_delay_ms: f64,
    /// Cost, in milliseconds to the first event, of each millisecond of other prefill that a part
    /// delays.
    pub delay_weight: f64,
    /// Shortest prefill time of a part that a prompt is split into, in milliseconds.
    pub shortest_part_ms: f64,
    /// Cost of each additional helper, in milliseconds: its part joins the running passes half a
    /// pass late, and one more engine can fail.
    pub helper_ms: f64,
    /// Maximum number of engines that share the prefill of a prompt: the host and the sixteen
    /// helpers that the engines' interface accepts.
    pub most_splits: usize,
    /// Requests with a tight pause target that are packed on an engine before another one is opened
    /// for them.
    pub packed_writers: usize,
    /// Advantage, in milliseconds to the first event, of an engine that hosts requests with tight
    /// pause targets already.
    pub open_ms: f64,
    /// Advantage, in milliseconds to the first event, of an engine with one tight request fewer
    /// than `packed_writers` over an engine with a single one, so that engines with few of them
    /// drain and become idle. Less than `open_ms`; otherwise a new engine would be opened instead.
    pub gather_ms: f64,
    /// Advantage, in milliseconds to the first event, of an engine that already hosts other requests
    /// when the host of a split prompt is chosen: engines without hosted requests can prefill parts
    /// of any length and are better kept free for that.
    pub host_open_ms: f64,
    /// Advantage, in milliseconds to the first event, of a host in the caller's failure domain: an
    /// answer streams for seconds and is lost if a failure domain that it crosses into is cut off.
    pub far_ms: f64,
    /// Cost, in milliseconds, of prefilling a part on an engine that hosts tight pause targets.
    pub beside_ms: f64,
    /// Largest pause target that counts as tight, in milliseconds.
    pub tight_pause: Millis,
    /// Share of an engine's memory that may be granted.
    pub memory_share: f64,
    /// Share of the engines' time that an estimate of the queue wait assumes for prefill.
    pub reading_share: f64,
    /// Share of the time left to its first-event target within which the first event of a request
    /// must be expected for a placement to be accepted; otherwise the request stays queued for a
    /// better one.
    pub accept_share: f64,
    /// The same bound for a request that has missed its target while others that can still be in
    /// time are queued, as a multiple of the time to the first event when as many idle engines as
    /// possible share the prefill.
    pub late_accept: f64,
    /// Weight of the waiting time in the order of the queue: the prefill time of a request that has
    /// waited for `n` times its first-event target is divided by `1 + n * aging_weight`.
    pub aging_weight: f64,
    /// Share of the time left to the deadline within which the first event must be expected;
    /// otherwise the request is refused.
    pub latest_start: f64,
    /// Time in the queue of this dispatcher, as a multiple of the first-event target, after which a
    /// request is refused, so that its caller can retry after the burst instead of waiting until
    /// its deadline.
    pub longest_wait: f64,
    /// Queued requests that fail to be placed in one round before the search stops for that round.
    pub tries_per_round: usize,
    /// Queued requests up to which every change starts a placement round. With more, rounds are
    /// `round_interval` apart, so that a burst does not cost a round for each of its messages.
    pub immediate_queue: usize,
    /// Time between two placement rounds while more requests are queued than `immediate_queue`, in
    /// milliseconds: short against a pass of an engine.
    pub round_interval: Millis,
    /// Share of the processor's time that placement rounds may take while more requests are queued
    /// than `immediate_queue`; the rest is for messages, so that members still get answers.
    pub round_share: f64,
    /// Short requests that are queued in any case, before the rate at which such requests are placed
    /// bounds the queue: about as many as arrive during a pause of a fleet of engines.
    pub short_queue: usize,
    /// Minimum retry-after time of a refusal, in milliseconds.
    pub shortest_return: Millis,
    /// Number of runs of one prompt that break off before their first event, on as many endpoints,
    /// after which the prompt is quarantined. The network loses single answers too, so two broken
    /// runs are weak evidence.
    pub quarantine_crashes: usize,
    /// Time for which a quarantined prompt is refused, in milliseconds.
    pub quarantine_time: Millis,
    /// Whether the slowdown of an engine is learned by the number of runs that it hosts.
    pub learned_capacity: bool,
    /// Retry budget of each pool.
    pub retries: BudgetLimits,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            pause_share: 0.75,
            relaxed_pause: 1.5,
            strict_share: 0.35,
            due_share: 0.2,
            most_delay_ms: 100.0,
            delay_weight: 2.0,
            shortest_part_ms: 60.0,
            helper_ms: 20.0,
            most_splits: 17,
            packed_writers: 12,
            open_ms: 300.0,
            gather_ms: 150.0,
            host_open_ms: 200.0,
            far_ms: 200.0,
            beside_ms: 200.0,
            tight_pause: 300,
            memory_share: 0.97,
            reading_share: 0.8,
            accept_share: 1.0,
            late_accept: 1.5,
            aging_weight: 3.0,
            latest_start: 0.45,
            longest_wait: 1.0,
            tries_per_round: 12,
            immediate_queue: 12,
            round_interval: 15,
            round_share: 0.4,
            short_queue: 64,
            shortest_return: 300,
            quarantine_crashes: 3,
            quarantine_time: 30_000,
            learned_capacity: false,
            retries: BudgetLimits {
                earned_per_first: 120,
                saved_retries: 20,
            },
        }
    }
}
