//! Decides on the asks that wait.

use super::ask::{GrantDecision, GrantPart, TicketId, WorkClass};
use super::place::Placement;
use super::queue::Waiting;
use super::table::{PoolTable, RETRY_SOON, refused};
use crate::ids::Millis;
use crate::outcome::RefusalReason;

/// Long requests behind the head that are looked at for endpoints that it does not wait for.
const BACKFILL_ASKS: usize = 64;

impl PoolTable {
    /// Decides on as many waiting asks as can be decided now.
    pub fn drain(&mut self, now: Millis) -> Vec<(TicketId, GrantDecision)> {
        let mut decided = self.drop_overdue(now);
        self.follow_lane();
        self.forget_kept();
        self.drain_alone(now, &mut decided);
        for class in [WorkClass::Short, WorkClass::Long] {
            self.drain_class(class, now, &mut decided);
        }
        decided
    }

    /// Frees the kept endpoints once their request has gone.
    fn forget_kept(&mut self) {
        let head = self.long_queue.head().map(|waiting| waiting.ticket);
        if let Some((ticket, _)) = &self.kept
            && head != Some(*ticket)
        {
            self.kept = None;
        }
    }

    /// Keeps one endpoint free until it is empty, then runs one request on it.
    fn drain_alone(&mut self, now: Millis, decided: &mut Vec<(TicketId, GrantDecision)>) {
        self.alone.reserve(&self.endpoints, now);
        let Some((waiting, endpoint)) = self.alone.pop_ready(&self.endpoints, &self.prints) else {
            return;
        };
        let class = self.class(&waiting.ask);
        let state = &self.endpoints[&endpoint];
        let prefill = state.spec.prefill_millis(waiting.ask.prompt_tokens);
        let tokens = waiting.ask.memory_tokens().min(state.spec.memory_tokens);
        let placement = Placement {
            parts: vec![GrantPart { endpoint, tokens }],
            prefill,
            first_token: prefill,
        };
        let grant = self.grant(&waiting.ask, class, placement, now);
        decided.push((waiting.ticket, GrantDecision::Granted(grant)));
    }

    fn drain_class(
        &mut self,
        class: WorkClass,
        now: Millis,
        decided: &mut Vec<(TicketId, GrantDecision)>,
    ) {
        while let Some(waiting) = self.queue(class).head().cloned() {
            let Some(placement) = self.place(&waiting, class, now) else {
                self.keep_for(&waiting, class, now);
                self.backfill(class, now, decided);
                return;
            };
            self.queue(class).pop();
            self.pace.granted(waiting.ticket, now);
            let mut grant = self.grant(&waiting.ask, class, placement, now);
            if now.saturating_sub(waiting.since) >= self.limits.long_wait / 2 {
                grant.priority = grant.priority.raised();
            }
            decided.push((waiting.ticket, GrantDecision::Granted(grant)));
        }
    }

    fn place(&self, waiting: &Waiting, class: WorkClass, now: Millis) -> Option<Placement> {
        let mut view = self.view(&waiting.ask, now);
        if let Some((ticket, kept)) = &self.kept
            && *ticket == waiting.ticket
        {
            view.reserved.retain(|endpoint| !kept.contains(endpoint));
        }
        view.place(&waiting.ask, class)
    }

    /// Keeps endpoints free for the long request whose turn it is, so that one which needs much
    /// memory gets it in the end. Kept endpoints stand idle, so that it first has to wait.
    fn keep_for(&mut self, waiting: &Waiting, class: WorkClass, now: Millis) {
        let is_kept = self
            .kept
            .as_ref()
            .is_some_and(|(ticket, _)| *ticket == waiting.ticket);
        let waited = now.saturating_sub(waiting.since);
        let is_due = waited >= self.limits.keep_after;
        if class == WorkClass::Long && is_due && !is_kept {
            let endpoints = self.view(&waiting.ask, now).reserve(&waiting.ask);
            self.kept = Some((waiting.ticket, endpoints));
        }
    }

    /// Runs requests behind the head on endpoints that the head does not wait for.
    fn backfill(
        &mut self,
        class: WorkClass,
        now: Millis,
        decided: &mut Vec<(TicketId, GrantDecision)>,
    ) {
        // Shorts of one model wait in turn; those of another may have endpoints of their own.
        if class == WorkClass::Short && !self.has_loaded_models() {
            return;
        }
        for waiting in self.queue(class).followers(BACKFILL_ASKS) {
            let Some(placement) = self.place(&waiting, class, now) else {
                continue;
            };
            self.queue(class).take(&waiting.ask.account, waiting.ticket);
            self.pace.granted(waiting.ticket, now);
            let grant = self.grant(&waiting.ask, class, placement, now);
            decided.push((waiting.ticket, GrantDecision::Granted(grant)));
        }
    }

    fn drop_overdue(&mut self, now: Millis) -> Vec<(TicketId, GrantDecision)> {
        let short_wait = self.limits.short_wait;
        let long_wait = self.limits.long_wait;
        let mut over = self
            .short_queue
            .remove_where(|waiting| now >= waiting.deadline.min(waiting.since + short_wait));
        over.extend(
            self.long_queue
                .remove_where(|waiting| now >= waiting.deadline.min(waiting.since + long_wait)),
        );
        over.extend(self.alone.remove_where(|waiting| now >= waiting.deadline));
        over.into_iter()
            .map(|waiting| {
                self.pace.forget(waiting.ticket);
                let reason = if now >= waiting.deadline {
                    RefusalReason::DeadlinePassed
                } else {
                    RefusalReason::Overloaded
                };
                (waiting.ticket, refused(reason, RETRY_SOON))
            })
            .collect()
    }
}
