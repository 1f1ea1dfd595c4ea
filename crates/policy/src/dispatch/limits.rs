//! Figures of the dispatch decisions.

use serde::{Deserialize, Serialize};

use crate::ids::Millis;
use crate::retry::BudgetLimits;

/// Bounds and weights of a dispatch board.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchLimits {
    /// Share of the pause aim of requests that are writing which a pass may take, reading
    /// included; the rest covers the network and events that span two passes.
    pub pause_share: f64,
    /// How far the pauses of others may exceed that share once a long prompt has waited for
    /// `strict_share` of its aim; tight pause aims are always kept.
    pub relaxed_pause: f64,
    /// Share of its aim that a request waits before it may lengthen others' pauses.
    pub strict_share: f64,
    /// Share of the time until its aim until which the reading of a prompt may be delayed by parts that
    /// are granted later, which go ahead of it on its engines.
    pub due_share: f64,
    /// How much it may be delayed in any case, in milliseconds: about what a question or a review
    /// adds.
    pub most_delay_ms: f64,
    /// Cost, in milliseconds to the first event, of each millisecond of others' reading that a part
    /// delays.
    pub delay_weight: f64,
    /// Shortest part, in milliseconds, into which the reading of a prompt is split.
    pub shortest_part_ms: f64,
    /// Cost of one more helper, in milliseconds: a part joins the pass that is under way late by
    /// half a pass, and one more engine can fail.
    pub helper_ms: f64,
    /// Most engines among which the reading of one prompt is split: the host, and the sixteen
    /// helpers that the engines' interface takes.
    pub most_splits: usize,
    /// Requests with a tight pause aim that are gathered on an engine before another is opened.
    pub packed_writers: usize,
    /// Advantage, in milliseconds to the first event, of an engine that is open for tight pause
    /// aims already.
    pub open_ms: f64,
    /// Advantage, in milliseconds to the first event, of an engine with all but one of
    /// `packed_writers` over one with a single one, so that engines with few drain and close. Less
    /// than `open_ms`, or a new engine is opened instead.
    pub gather_ms: f64,
    /// Advantage, in milliseconds to the first event, as the host of a long prompt, of an engine on
    /// which others write already: engines without writers read parts of any length.
    pub host_open_ms: f64,
    /// Advantage, in milliseconds to the first event, of a host in the caller's failure domain. An answer
    /// takes seconds, and is lost when a domain that it crosses into is cut off.
    pub far_ms: f64,
    /// Cost, in milliseconds, of reading a part on an engine on which tight pause aims are held.
    pub beside_ms: f64,
    /// Pause aim up to which a request counts as tight.
    pub tight_pause: Millis,
    /// Share of an engine's memory that is given out.
    pub memory_share: f64,
    /// Share of the engines' time that reading gets in an estimate of the wait.
    pub reading_share: f64,
    /// Share of the time left until its aim in which the first event of a request must be expected
    /// for a place to be taken; else it waits for a better one.
    pub accept_share: f64,
    /// The same for a request that cannot be in time any more, as a multiple of the time that its
    /// reading takes when as many engines as possible share it.
    pub late_accept: f64,
    /// How much waiting makes up for size: after one aim of waiting, a prompt with this much more
    /// work is served as if it were one time smaller.
    pub aging_weight: f64,
    /// Share of the time left by which the first event must be expected, else the ask is refused.
    pub latest_start: f64,
    /// Aims after which an ask that has found no place on this board is refused: its caller may come
    /// back when the burst is over, and need not wait for nothing.
    pub longest_wait: f64,
    /// Waiting asks for which a place is looked for in one round.
    pub tries_per_round: usize,
    /// Shortest time after which a refused request is told to come back.
    pub shortest_return: Millis,
    /// Runs of one prompt that break off before their first event, on as many endpoints, after which
    /// it is refused. Single answers are lost by the network too, so that two say little.
    pub quarantine_crashes: usize,
    /// Time for which it is refused, in milliseconds.
    pub quarantine_time: Millis,
    /// Retries that the board allows.
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
            shortest_return: 300,
            quarantine_crashes: 3,
            quarantine_time: 30_000,
            retries: BudgetLimits {
                earned_per_first: 120,
                saved_retries: 20,
            },
        }
    }
}
