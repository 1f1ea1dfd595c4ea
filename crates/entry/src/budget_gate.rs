//! Retry budgets as the decisions ask for them.

use policy::flow::RetryGate;
use policy::ids::{AccountId, EndpointId};
use policy::outcome::RetryReason;
use policy::retry::RetryVerdict;

use crate::tables::EntryTables;

/// Counts retries against the budgets of an account and of an endpoint.
pub(crate) struct BudgetGate<'a> {
    pub(crate) tables: &'a EntryTables,
    pub(crate) account: &'a AccountId,
}

impl RetryGate for BudgetGate<'_> {
    fn retry(&mut self, endpoint: &EndpointId, reason: RetryReason) -> RetryVerdict {
        let mut budgets = self.tables.budgets.lock();
        let by_account = budgets.accounts.budget(self.account).retry();
        if by_account == RetryVerdict::Spent {
            return RetryVerdict::Spent;
        }
        let by_endpoint = budgets.endpoints.budget(endpoint).retry();
        if by_endpoint == RetryVerdict::Allowed {
            self.tables.metrics.retried(reason);
        }
        by_endpoint
    }
}
