//! Retry budgets, which limit retries to a share of first attempts.
//!
//! A budget is a token bucket that first attempts fill, as in the retry throttling of common RPC
//! libraries.

use std::collections::HashMap;
use std::hash::Hash;

/// Decision on a retry.
#[derives::tag]
pub enum RetryDecision {
    /// The retry may be sent; it has been charged to the budget.
    Allowed,
    /// The budget is exhausted; the retry must not be sent.
    Exhausted,
}

/// Fill rate and capacity of a retry budget.
#[derives::wire]
#[derive(Eq)]
pub struct BudgetLimits {
    /// Thousandths of a retry that each first attempt adds.
    pub earned_per_first: u64,
    /// Capacity of the budget, in retries.
    pub saved_retries: u64,
}

const THOUSANDTHS_PER_RETRY: u64 = 1_000;

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            earned_per_first: 100,
            saved_retries: 5,
        }
    }
}

/// Retry budget of one account or endpoint.
#[derives::value]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// Thousandths of a retry that are left.
    available: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        let available = limits.saved_retries * THOUSANDTHS_PER_RETRY;
        Self { limits, available }
    }

    /// Adds the share of one first attempt to the budget.
    pub fn first_attempt(&mut self) {
        let capacity = self.limits.saved_retries * THOUSANDTHS_PER_RETRY;
        self.available = (self.available + self.limits.earned_per_first).min(capacity);
    }

    /// Charges one retry to the budget if it has enough left.
    pub fn retry(&mut self) -> RetryDecision {
        if self.available < THOUSANDTHS_PER_RETRY {
            return RetryDecision::Exhausted;
        }
        self.available -= THOUSANDTHS_PER_RETRY;
        RetryDecision::Allowed
    }
}

/// Retry budgets by account or endpoint; a budget is created full on first use.
#[derive(Debug)]
pub struct BudgetTable<K> {
    limits: BudgetLimits,
    budgets: HashMap<K, RetryBudget>,
}

impl<K: Hash + Eq + Clone> BudgetTable<K> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            budgets: HashMap::new(),
        }
    }

    /// The budget of `key`, created if it does not exist.
    pub fn budget(&mut self, key: &K) -> &mut RetryBudget {
        let limits = &self.limits;
        self.budgets
            .entry(key.clone())
            .or_insert_with(|| RetryBudget::new(limits.clone()))
    }
}
