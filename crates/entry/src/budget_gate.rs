//! Retry budgets as the decisions ask for them.

use policy::flow::RetryLimiter;
use policy::ids::{AccountId, EndpointId};
use policy::outcome::RetryReason;
use policy::retry::RetryDecision;

use crate::tables::EntryTables;

/// Counts retries against the budgets of an account and of an endpoint.
pub(crate) struct BudgetGate<'a> {
    pub(crate) tables: &'a EntryTables,
    pub(crate) account: &'a AccountId,
}

impl RetryLimiter for BudgetGate<'_> {
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
