//! Refuses asks at once that cannot be served or would wait too long.

use super::ask::{GrantAsk, WorkClass};
use super::endpoint::EndpointState;
use super::table::{PoolTable, RETRY_SOON};
use crate::ids::Millis;
use crate::outcome::{Refusal, RefusalReason};

/// The pace of large prompts gives a mean wait; this many times the mean leaves few to wait in
/// vain.
const PACE_MARGIN: Millis = 2;

/// A wait until a model that nobody has loaded may have been, in milliseconds.
const MODEL_WAIT: Millis = 5_000;

impl PoolTable {
    pub(super) fn refuse_outright(&self, ask: &GrantAsk, now: Millis) -> Option<Refusal> {
        if ask.time_left == 0 {
            return Some(Refusal::new(RefusalReason::DeadlinePassed, RETRY_SOON));
        }
        let tokens = ask.memory_tokens();
        let mut memory: Vec<u64> = self
            .endpoints
            .values()
            .map(|state| state.spec.memory_tokens)
            .collect();
        memory.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
        let span: u64 = memory.iter().take(self.limits.largest_span).sum();
        if !memory.is_empty() && tokens > span {
            return Some(Refusal::new(RefusalReason::PromptTooLarge, 0));
        }
        let is_usable =
            |state: &EndpointState| state.is_usable(now) && !ask.excluded.contains(&state.spec.id);
        if !self.endpoints.values().any(is_usable) {
            return Some(Refusal::new(
                RefusalReason::NoEndpoint,
                self.limits.down_time,
            ));
        }
        let is_served = |state: &EndpointState| state.served.serves(&ask.model);
        if !self.endpoints.values().any(is_served) {
            return Some(Refusal::new(RefusalReason::ModelLoading, MODEL_WAIT));
        }
        None
    }

    /// Refuses an ask that would wait too long, or whose account has its share of the queue.
    pub(super) fn refuse_queueing(&self, ask: &GrantAsk, class: WorkClass) -> Option<Refusal> {
        let (queue, longest) = match class {
            WorkClass::Short => (&self.short_queue, self.limits.short_wait),
            WorkClass::Long => (&self.long_queue, self.limits.long_wait),
        };
        let mut wait = self.expected_wait(class);
        if self.is_large(ask) {
            wait = wait.max(PACE_MARGIN * self.pace.expected_wait());
        }
        let bound = longest.min(ask.time_left);
        if wait > bound {
            return Some(Refusal::new(RefusalReason::Overloaded, wait));
        }
        let accounts = u64::try_from(queue.accounts()).unwrap_or(u64::MAX).max(1);
        let own = queue.account_tokens(&ask.account);
        let fair = queue.queued_tokens() / accounts;
        let is_crowded = wait > bound / 2;
        if is_crowded && accounts > 1 && own > fair * u64::from(ask.weight.max(1)) {
            return Some(Refusal::new(RefusalReason::AccountLimit, wait));
        }
        None
    }

    /// Milliseconds that a new ask of `class` would wait: by prefill work, or by slots where
    /// those are scarcer.
    fn expected_wait(&self, class: WorkClass) -> Millis {
        let (queue, width) = match class {
            WorkClass::Short => (&self.short_queue, self.endpoints.len()),
            WorkClass::Long => (&self.long_queue, self.lane.size()),
        };
        let lane = || self.endpoints.values().take(width);
        let rate: u64 = lane().map(|state| state.spec.prefill_rate).sum();
        let slots: u64 = lane().map(|state| u64::from(state.spec.slots)).sum();
        let by_work = queue.queued_tokens() * 1_000 / rate.max(1);
        let waiting = u64::try_from(queue.len()).unwrap_or(u64::MAX);
        let by_slots = waiting.saturating_mul(self.mean_hold) / slots.max(1);
        by_work.max(by_slots)
    }
}
