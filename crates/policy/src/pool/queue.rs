//! Queue of grant requests with weighted fairness between client accounts.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995); the cost of a request is its memory in
//! tokens.

use std::collections::{BTreeMap, VecDeque};

use super::grant::{GrantRequest, TicketId};
use crate::ids::{AccountId, Millis};

/// Tokens that an account of weight one is credited per round.
const QUANTUM_TOKENS: u64 = 16_384;

/// A queued grant request.
#[derives::value]
pub struct QueuedRequest {
    /// Identifies the request in the decision that follows.
    pub ticket: TicketId,
    /// The grant request.
    pub request: GrantRequest,
    /// When the request was queued.
    pub since: Millis,
    /// Deadline of the client's request.
    pub deadline: Millis,
}

impl QueuedRequest {
    fn cost(&self) -> u64 {
        self.request.memory_tokens()
    }
}

#[derive(Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<QueuedRequest>,
    queued_tokens: u64,
    deficit: u64,
}

/// A queue that is fair between accounts and first-in-first-out within one account.
#[derive(Debug, Default)]
pub struct FairQueue {
    account_queues: BTreeMap<AccountId, AccountQueue>,
    round_robin: VecDeque<AccountId>,
    queued_tokens: u64,
    length: usize,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Tokens of all queued requests.
    #[must_use]
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Tokens of one account's queued requests.
    #[must_use]
    pub fn account_tokens(&self, account: &AccountId) -> u64 {
        self.account_queues
            .get(account)
            .map_or(0, |account_queue| account_queue.queued_tokens)
    }

    /// Number of accounts with queued requests.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.account_queues.len()
    }

    /// Appends a request to its account's queue.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let account = waiting.request.account.clone();
        let cost = waiting.cost();
        self.queued_tokens += cost;
        self.length += 1;
        if !self.account_queues.contains_key(&account) {
            self.round_robin.push_back(account.clone());
        }
        let account_queue = self.account_queues.entry(account).or_default();
        account_queue.queued_tokens += cost;
        account_queue.waiting.push_back(waiting);
    }

    /// The request whose turn it is; it stays in the queue.
    pub fn head(&mut self) -> Option<&QueuedRequest> {
        self.advance_to_eligible();
        let account = self.round_robin.front()?;
        self.account_queues.get(account)?.waiting.front()
    }

    /// Removes the request whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.advance_to_eligible();
        let account = self.round_robin.front()?.clone();
        let account_queue = self.account_queues.get_mut(&account)?;
        let waiting = account_queue.waiting.pop_front()?;
        let cost = waiting.cost();
        account_queue.deficit = account_queue.deficit.saturating_sub(cost);
        account_queue.queued_tokens -= cost;
        self.queued_tokens -= cost;
        self.length -= 1;
        if account_queue.waiting.is_empty() {
            self.account_queues.remove(&account);
            self.round_robin.pop_front();
        }
        Some(waiting)
    }

    /// Up to `limit` requests after the head, in round-robin order of their accounts.
    #[must_use]
    pub fn followers(&self, limit: usize) -> Vec<QueuedRequest> {
        let accounts = self.round_robin.iter();
        let account_queues = accounts.filter_map(|account| self.account_queues.get(account));
        let waiting = account_queues.flat_map(|account_queue| account_queue.waiting.iter());
        waiting.skip(1).take(limit).cloned().collect()
    }

    /// Removes a request out of turn; its cost is still charged to the account.
    pub fn take(&mut self, account: &AccountId, ticket: TicketId) -> Option<QueuedRequest> {
        let account_queue = self.account_queues.get_mut(account)?;
        let mut entries = account_queue.waiting.iter();
        let index = entries.position(|waiting| waiting.ticket == ticket)?;
        let waiting = account_queue.waiting.remove(index)?;
        let cost = waiting.cost();
        account_queue.deficit = account_queue.deficit.saturating_sub(cost);
        account_queue.queued_tokens -= cost;
        self.queued_tokens -= cost;
        self.length -= 1;
        if account_queue.waiting.is_empty() {
            self.account_queues.remove(account);
            self.round_robin.retain(|other| other != account);
        }
        Some(waiting)
    }

    /// Advances the round robin to an account whose deficit covers its first request.
    fn advance_to_eligible(&mut self) {
        while let Some(account) = self.round_robin.front() {
            let Some(account_queue) = self.account_queues.get_mut(account) else {
                self.round_robin.pop_front();
                continue;
            };
            let Some(first) = account_queue.waiting.front() else {
                return;
            };
            if account_queue.deficit >= first.cost() {
                return;
            }
            account_queue.deficit += QUANTUM_TOKENS * u64::from(first.request.weight.max(1));
            self.round_robin.rotate_left(1);
        }
    }

    /// Removes and returns the requests for which `matches` holds.
    pub fn remove_where(
        &mut self,
        mut matches: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for account_queue in self.account_queues.values_mut() {
            let (matching, kept) = account_queue.waiting.drain(..).partition(&mut matches);
            account_queue.waiting = kept;
            let matching: VecDeque<QueuedRequest> = matching;
            for waiting in matching {
                let cost = waiting.cost();
                account_queue.queued_tokens -= cost;
                self.queued_tokens -= cost;
                self.length -= 1;
                removed.push(waiting);
            }
        }
        self.account_queues
            .retain(|_, account_queue| !account_queue.waiting.is_empty());
        let account_queues = &self.account_queues;
        self.round_robin
            .retain(|account| account_queues.contains_key(account));
        removed
    }
}
