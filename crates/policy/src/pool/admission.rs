//! Admission control: refuses requests that cannot be served or would wait too long.

use super::endpoint::PoolEndpointState;
use super::grant::{GrantRequest, WorkClass};
use super::table::{PoolTable, SHORT_RETRY_AFTER};
use crate::ids::Millis;
use crate::outcome::{Refusal, RefusalReason};

/// Factor from the average wait of a large prompt to the wait that is assumed at admission; with
/// this margin few admitted prompts time out in the queue.
const WAIT_MARGIN_FACTOR: Millis = 2;

/// Retry-after of a request whose model no endpoint has loaded yet, in milliseconds.
const MODEL_LOAD_RETRY_AFTER: Millis = 5_000;

impl PoolTable {
    pub(super) fn refuse_immediately(
        &self,
        request: &GrantRequest,
        now: Millis,
    ) -> Option<Refusal> {
        if request.time_left == 0 {
            return Some(Refusal::new(
                RefusalReason::DeadlinePassed,
                SHORT_RETRY_AFTER,
            ));
        }
        let tokens = request.memory_tokens();
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
        let is_usable = |state: &PoolEndpointState| {
            state.is_usable(now) && !request.excluded.contains(&state.spec.id)
        };
        if !self.endpoints.values().any(is_usable) {
            return Some(Refusal::new(
                RefusalReason::NoEndpoint,
                self.limits.down_time,
            ));
        }
        let is_served = |state: &PoolEndpointState| state.served.serves(&request.model);
        if !self.endpoints.values().any(is_served) {
            return Some(Refusal::new(
                RefusalReason::ModelLoading,
                MODEL_LOAD_RETRY_AFTER,
            ));
        }
        None
    }

    /// Refuses a request that would wait too long, or whose account exceeds its fair share of a
    /// congested queue.
    pub(super) fn refuse_queueing(
        &self,
        request: &GrantRequest,
        class: WorkClass,
    ) -> Option<Refusal> {
        let (queue, longest) = match class {
            WorkClass::Short => (&self.short_queue, self.limits.short_wait),
            WorkClass::Long => (&self.long_queue, self.limits.long_wait),
        };
        let mut wait = self.expected_wait(class);
        if self.is_large(request) {
            wait = wait.max(WAIT_MARGIN_FACTOR * self.large_grants.expected_wait());
        }
        let bound = longest.min(request.time_left);
        if wait > bound {
            return Some(Refusal::new(RefusalReason::Overloaded, wait));
        }
        let accounts = u64::try_from(queue.accounts()).unwrap_or(u64::MAX).max(1);
        let queued_by_account = queue.account_tokens(&request.account);
        let fair_share = queue.queued_tokens() / accounts;
        let is_congested = wait > bound / 2;
        if is_congested
            && accounts > 1
            && queued_by_account > fair_share * u64::from(request.weight.max(1))
        {
            return Some(Refusal::new(RefusalReason::AccountLimit, wait));
        }
        None
    }

    /// Expected wait of a new request of `class`, in milliseconds: the larger of the estimates from
    /// queued tokens and from slots.
    fn expected_wait(&self, class: WorkClass) -> Millis {
        let (queue, endpoint_count) = match class {
            WorkClass::Short => (&self.short_queue, self.endpoints.len()),
            WorkClass::Long => (&self.long_queue, self.lane.size()),
        };
        let lane = || self.endpoints.values().take(endpoint_count);
        let rate: u64 = lane().map(|state| state.spec.prefill_rate).sum();
        let slots: u64 = lane().map(|state| u64::from(state.spec.slots)).sum();
        let by_work = queue.queued_tokens() * 1_000 / rate.max(1);
        let waiting = u64::try_from(queue.len()).unwrap_or(u64::MAX);
        let by_slots = waiting.saturating_mul(self.mean_grant_duration) / slots.max(1);
        by_work.max(by_slots)
    }
}
