//! Order of the queued requests, and the conditions for accepting a placement or refusing a
//! request.
//!
//! A burst of long prompts can need more prefill than the engines have capacity for. Short prompts
//! cost little and go first. Long prompts are ordered by prefill time, shortest first, so that most
//! meet their target; the rank ages with waiting, so that the longest are served too. A request
//! that cannot be served in time is refused at once, with the time until the work ahead of it will
//! be done as its retry-after time.

use super::limits::DispatchLimits;
use super::placement::{PlacementRequest, RunKey};
use crate::cast::{f64_to_u64, u64_to_f64, usize_to_f64};
use crate::ids::Millis;
use crate::outcome::{Refusal, RefusalReason};

/// Divisor of the time left that gives the maximum retry-after time; callers do not honour a longer
/// one.
const RETRY_AFTER_DIVISOR: Millis = 3;

/// Least time of work on an engine as a share of the published cost.
const FASTEST_ENGINE: f64 = 0.9;

/// A request that has not been placed yet.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub(super) key: RunKey,
    pub(super) request: PlacementRequest,
    /// When the request reached the dispatcher.
    pub(super) enqueued_at: Millis,
    /// Prefill time of the prompt by the cost model, in milliseconds.
    pub(super) prefill_ms: f64,
    /// Whether no decision on the request has been tried yet.
    pub(super) is_new: bool,
}

/// Class of a queued request; the classes are served in this order.
#[derives::tag]
pub(super) enum QueueClass {
    /// The pause target is tight, so the request is short and costs little.
    Short,
    /// A short request whose first-event target has passed: it still costs little, but those that can
    /// be in time go first.
    LateShort,
    /// The first-event target has not passed yet.
    OnTime,
    /// The first-event target has passed.
    Late,
}

/// Which requests a queued request competes with for engine time.
#[derives::tag]
pub(super) enum QueueContention {
    /// Requests that can still be in time are queued ahead of it.
    OnTimeQueued,
    /// Only requests that have missed their targets are queued.
    LateOnly,
}

impl QueuedRequest {
    /// Time that the request has waited, over all its attempts.
    pub(super) fn waited(&self, now: Millis) -> Millis {
        self.request.waited + now.saturating_sub(self.enqueued_at)
    }

    /// Time left until the request's deadline.
    pub(super) fn time_left(&self, now: Millis) -> Millis {
        let elapsed_ms = now.saturating_sub(self.enqueued_at);
        self.request.time_left.saturating_sub(elapsed_ms)
    }

    /// Whether the request has a tight pause target.
    pub(super) fn is_short(&self, limits: &DispatchLimits) -> bool {
        self.request.pause_aim <= limits.tight_pause
    }

    pub(super) fn class(&self, limits: &DispatchLimits, now: Millis) -> QueueClass {
        if self.is_short(limits) {
            let is_late = self.waited(now) >= self.request.first_event_aim;
            return if is_late {
                QueueClass::LateShort
            } else {
                QueueClass::Short
            };
        }
        if self.waited(now) < self.request.first_event_aim {
            return QueueClass::OnTime;
        }
        QueueClass::Late
    }

    /// Rank within the class; the lowest goes first.
    pub(super) fn rank(&self, limits: &DispatchLimits, now: Millis) -> f64 {
        let target_ms = u64_to_f64(self.request.first_event_aim.max(1));
        let targets_waited = u64_to_f64(self.waited(now)) / target_ms;
        self.prefill_ms / (1.0 + limits.aging_weight * targets_waited)
    }

    /// Whether any placement on `engines` engines could be accepted, as far as the prefill time alone
    /// tells: a search for one that comes too late is spared.
    pub(super) fn can_be_accepted(
        &self,
        limits: &DispatchLimits,
        engines: usize,
        now: Millis,
    ) -> bool {
        let least_ms = self.prefill_ms * FASTEST_ENGINE / usize_to_f64(engines.max(1));
        match self.class(limits, now) {
            QueueClass::Short | QueueClass::LateShort => true,
            QueueClass::OnTime => {
                let target = self.request.first_event_aim;
                let time_left = u64_to_f64(target.saturating_sub(self.waited(now)));
                least_ms <= time_left * limits.accept_share
            }
            QueueClass::Late => least_ms <= u64_to_f64(self.time_left(now)),
        }
    }

    /// Whether to accept a placement whose first event is expected in `first_event_ms`.
    ///
    /// `ideal_ms` is the time until the first event when as many idle engines as possible share the
    /// prefill. A request that has missed its target takes what engine time is left: any placement
    /// that ends before its deadline, unless requests that can still be in time are queued.
    pub(super) fn accepts(
        &self,
        limits: &DispatchLimits,
        first_event_ms: f64,
        ideal_ms: f64,
        contention: QueueContention,
        now: Millis,
    ) -> bool {
        match self.class(limits, now) {
            QueueClass::Short | QueueClass::LateShort => true,
            QueueClass::OnTime => {
                let target = self.request.first_event_aim;
                let time_left = u64_to_f64(target.saturating_sub(self.waited(now)));
                first_event_ms <= time_left * limits.accept_share
            }
            QueueClass::Late => {
                let last_start_ms = u64_to_f64(self.time_left(now)) * limits.latest_start;
                let is_spare =
                    contention == QueueContention::LateOnly && first_event_ms <= last_start_ms;
                is_spare || first_event_ms <= ideal_ms * limits.late_accept
            }
        }
    }

    /// The refusal if the limits of the endpoints, which hold the request back for `wait_ms`, keep it
    /// queued for too long. Its caller learns at once when to come back.
    pub(super) fn limit_refusal(
        &self,
        limits: &DispatchLimits,
        wait_ms: f64,
        now: Millis,
    ) -> Option<Refusal> {
        let waited = u64_to_f64(now.saturating_sub(self.enqueued_at));
        let longest_wait_ms = u64_to_f64(self.request.first_event_aim) * limits.longest_wait;
        (wait_ms > 0.0 && waited + wait_ms > longest_wait_ms).then(|| {
            let retry_after = retry_after_time(limits, wait_ms, self.time_left(now));
            Refusal::new(RefusalReason::EndpointLimits, retry_after)
        })
    }

    /// The refusal if the first event, expected in `first_event_ms`, would come too late or the
    /// request has been queued for too long.
    pub(super) fn refusal(
        &self,
        limits: &DispatchLimits,
        first_event_ms: f64,
        now: Millis,
    ) -> Option<Refusal> {
        let time_left = self.time_left(now);
        let waited = u64_to_f64(now.saturating_sub(self.enqueued_at));
        let longest_wait_ms = u64_to_f64(self.request.first_event_aim) * limits.longest_wait;
        if first_event_ms <= u64_to_f64(time_left) * limits.latest_start
            && waited <= longest_wait_ms
        {
            return None;
        }
        Some(Refusal::new(
            RefusalReason::Overloaded,
            retry_after_time(limits, first_event_ms, time_left),
        ))
    }
}

/// Retry-after time of a refusal: the time until the work ahead is expected to be done, up to the
/// maximum that callers honour.
pub(super) fn retry_after_time(
    limits: &DispatchLimits,
    first_event_ms: f64,
    time_left: Millis,
) -> Millis {
    let max_retry_after = (time_left / RETRY_AFTER_DIVISOR).max(limits.shortest_return);
    f64_to_u64(first_event_ms).clamp(limits.shortest_return, max_retry_after)
}
