//! Checks retries against the shared retry budgets.

use policy::flow::RetryLimiter;
use policy::ids::{AccountId, EndpointId};
use policy::outcome::RetryReason;
use policy::retry::RetryDecision;

use crate::tables::EntryTables;

/// Allows a retry only if both the account's and the endpoint's retry budget have room.
pub(crate) struct BudgetRetryLimiter<'a> {
    pub(crate) tables: &'a EntryTables,
    pub(crate) account: &'a AccountId,
}

impl RetryLimiter for BudgetRetryLimiter<'_> {
    fn retry(&mut self, endpoint: &EndpointId, reason: RetryReason) -> RetryDecision {
        let mut budgets = self.tables.budgets.lock();
        let by_account = budgets.accounts.budget(self.account).retry();
        if by_account == RetryDecision::Exhausted {
            return RetryDecision::Exhausted;
        }
        let by_endpoint = budgets.endpoints.budget(endpoint).retry();
        if by_endpoint == RetryDecision::Allowed {
            self.tables.metrics.retried(reason);
        }
        by_endpoint
    }
}
