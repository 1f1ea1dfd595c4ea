//! Decisions on queued grant requests.

use super::grant::{GrantDecision, GrantPart, TicketId, WorkClass};
use super::placement::Placement;
use super::queue::QueuedRequest;
use super::table::{PoolTable, SHORT_RETRY_AFTER, refused};
use crate::ids::Millis;
use crate::outcome::RefusalReason;

/// Queued requests behind the head that backfilling considers.
const BACKFILL_REQUESTS: usize = 64;

impl PoolTable {
    /// Decides on all queued requests that can be granted or must be refused at `now`.
    pub fn decide_queued(&mut self, now: Millis) -> Vec<(TicketId, GrantDecision)> {
        let mut decided = self.expire_queued(now);
        self.resize_lane();
        self.drop_stale_reservation();
        self.decide_exclusive(now, &mut decided);
        for class in [WorkClass::Short, WorkClass::Long] {
            self.decide_class(class, now, &mut decided);
        }
        decided
    }

    /// Drops the reservation once its request is no longer at the head of the long queue.
    fn drop_stale_reservation(&mut self) {
        let head = self.long_queue.head().map(|waiting| waiting.ticket);
        if let Some((ticket, _)) = &self.head_reservation
            && head != Some(*ticket)
        {
            self.head_reservation = None;
        }
    }

    /// Reserves an endpoint for exclusive requests and grants the first one when the endpoint is
    /// empty.
    fn decide_exclusive(&mut self, now: Millis, decided: &mut Vec<(TicketId, GrantDecision)>) {
        self.exclusive.reserve(&self.endpoints, now);
        let Some((waiting, endpoint)) = self
            .exclusive
            .pop_ready(&self.endpoints, &self.running_fingerprints)
        else {
            return;
        };
        let class = self.class(&waiting.request);
        let state = &self.endpoints[&endpoint];
        let prefill = state.spec.prefill_millis(waiting.request.prompt_tokens);
        let tokens = waiting
            .request
            .memory_tokens()
            .min(state.spec.memory_tokens);
        let placement = Placement {
            parts: vec![GrantPart { endpoint, tokens }],
            prefill,
            first_token: prefill,
        };
        let grant = self.grant(&waiting.request, class, placement, now);
        decided.push((waiting.ticket, GrantDecision::Granted(grant)));
    }

    fn decide_class(
        &mut self,
        class: WorkClass,
        now: Millis,
        decided: &mut Vec<(TicketId, GrantDecision)>,
    ) {
        while let Some(waiting) = self.queue(class).head().cloned() {
            let Some(placement) = self.place(&waiting, class, now) else {
                self.reserve_for_head(&waiting, class, now);
                self.backfill(class, now, decided);
                return;
            };
            self.queue(class).pop();
            self.large_grants.granted(waiting.ticket, now);
            let mut grant = self.grant(&waiting.request, class, placement, now);
            if now.saturating_sub(waiting.since) >= self.limits.long_wait / 2 {
                grant.priority = grant.priority.raised();
            }
            decided.push((waiting.ticket, GrantDecision::Granted(grant)));
        }
    }

    fn place(&self, waiting: &QueuedRequest, class: WorkClass, now: Millis) -> Option<Placement> {
        let mut view = self.view(&waiting.request, now);
        if let Some((ticket, head_reservation)) = &self.head_reservation
            && *ticket == waiting.ticket
        {
            view.reserved
                .retain(|endpoint| !head_reservation.contains(endpoint));
        }
        view.place(&waiting.request, class)
    }

    /// Reserves endpoints for the long request at the head of the queue, so that a request that
    /// needs much memory is not starved by smaller ones.
    ///
    /// Reserved endpoints run idle, so the request has to wait for `reserve_after` first.
    fn reserve_for_head(&mut self, waiting: &QueuedRequest, class: WorkClass, now: Millis) {
        let is_reserved = self
            .head_reservation
            .as_ref()
            .is_some_and(|(ticket, _)| *ticket == waiting.ticket);
        let waited = now.saturating_sub(waiting.since);
        let is_due = waited >= self.limits.reserve_after;
        if class == WorkClass::Long && is_due && !is_reserved {
            let endpoints = self
                .view(&waiting.request, now)
                .endpoints_to_reserve(&waiting.request);
            self.head_reservation = Some((waiting.ticket, endpoints));
        }
    }

    /// Grants requests behind the head on endpoints that are not reserved for the head.
    fn backfill(
        &mut self,
        class: WorkClass,
        now: Millis,
        decided: &mut Vec<(TicketId, GrantDecision)>,
    ) {
        // Short requests for the same model are granted in queue order. Where endpoints load
        // different models, a request for another model may have endpoints that the head cannot
        // use.
        if class == WorkClass::Short && !self.has_loaded_models() {
            return;
        }
        for waiting in self.queue(class).followers(BACKFILL_REQUESTS) {
            let Some(placement) = self.place(&waiting, class, now) else {
                continue;
            };
            self.queue(class)
                .take(&waiting.request.account, waiting.ticket);
            self.large_grants.granted(waiting.ticket, now);
            let grant = self.grant(&waiting.request, class, placement, now);
            decided.push((waiting.ticket, GrantDecision::Granted(grant)));
        }
    }

    fn expire_queued(&mut self, now: Millis) -> Vec<(TicketId, GrantDecision)> {
        let short_wait = self.limits.short_wait;
        let long_wait = self.limits.long_wait;
        let mut expired = self
            .short_queue
            .remove_where(|waiting| now >= waiting.deadline.min(waiting.since + short_wait));
        expired.extend(
            self.long_queue
                .remove_where(|waiting| now >= waiting.deadline.min(waiting.since + long_wait)),
        );
        expired.extend(
            self.exclusive
                .remove_where(|waiting| now >= waiting.deadline),
        );
        expired
            .into_iter()
            .map(|waiting| {
                self.large_grants.forget(waiting.ticket);
                let reason = if now >= waiting.deadline {
                    RefusalReason::DeadlinePassed
                } else {
                    RefusalReason::Overloaded
                };
                (waiting.ticket, refused(reason, SHORT_RETRY_AFTER))
            })
            .collect()
    }
}
