//! Waiting asks, served in weighted fair order between client accounts.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995) with prompt tokens as the cost.

use std::collections::{BTreeMap, VecDeque};

use super::ask::{GrantAsk, TicketId};
use crate::ids::{AccountId, Millis};

/// Tokens that an account of weight one earns a round.
const QUANTUM_TOKENS: u64 = 16_384;

/// An ask that waits.
#[derives::value]
pub struct Waiting {
    /// Names the ask in the decision that follows.
    pub ticket: TicketId,
    /// The ask.
    pub ask: GrantAsk,
    /// When it came.
    pub since: Millis,
    /// When its request's deadline is.
    pub deadline: Millis,
}

impl Waiting {
    fn cost(&self) -> u64 {
        self.ask.memory_tokens()
    }
}

#[derive(Debug, Default)]
struct AccountLine {
    waiting: VecDeque<Waiting>,
    queued_tokens: u64,
    deficit: u64,
}

/// A queue that is fair between accounts and first-come within one.
#[derive(Debug, Default)]
pub struct FairQueue {
    lines: BTreeMap<AccountId, AccountLine>,
    rounds: VecDeque<AccountId>,
    queued_tokens: u64,
    length: usize,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting asks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Tokens of all waiting asks.
    #[must_use]
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Tokens of one account's waiting asks.
    #[must_use]
    pub fn account_tokens(&self, account: &AccountId) -> u64 {
        self.lines.get(account).map_or(0, |line| line.queued_tokens)
    }

    /// Accounts that wait.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.lines.len()
    }

    /// Adds an ask at the end of its account's line.
    pub fn push(&mut self, waiting: Waiting) {
        let account = waiting.ask.account.clone();
        let cost = waiting.cost();
        self.queued_tokens += cost;
        self.length += 1;
        if !self.lines.contains_key(&account) {
            self.rounds.push_back(account.clone());
        }
        let line = self.lines.entry(account).or_default();
        line.queued_tokens += cost;
        line.waiting.push_back(waiting);
    }

    /// The ask whose turn it is; it stays in the queue.
    pub fn head(&mut self) -> Option<&Waiting> {
        self.turn_to_payable();
        let account = self.rounds.front()?;
        self.lines.get(account)?.waiting.front()
    }

    /// Takes the ask whose turn it is.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.turn_to_payable();
        let account = self.rounds.front()?.clone();
        let line = self.lines.get_mut(&account)?;
        let waiting = line.waiting.pop_front()?;
        let cost = waiting.cost();
        line.deficit = line.deficit.saturating_sub(cost);
        line.queued_tokens -= cost;
        self.queued_tokens -= cost;
        self.length -= 1;
        if line.waiting.is_empty() {
            self.lines.remove(&account);
            self.rounds.pop_front();
        }
        Some(waiting)
    }

    /// The first asks after the head, at most `limit`, in the order of the round.
    #[must_use]
    pub fn followers(&self, limit: usize) -> Vec<Waiting> {
        let accounts = self.rounds.iter();
        let lines = accounts.filter_map(|account| self.lines.get(account));
        let waiting = lines.flat_map(|line| line.waiting.iter());
        waiting.skip(1).take(limit).cloned().collect()
    }

    /// Takes an ask out of its turn; its account pays for it all the same.
    pub fn take(&mut self, account: &AccountId, ticket: TicketId) -> Option<Waiting> {
        let line = self.lines.get_mut(account)?;
        let mut places = line.waiting.iter();
        let place = places.position(|waiting| waiting.ticket == ticket)?;
        let waiting = line.waiting.remove(place)?;
        let cost = waiting.cost();
        line.deficit = line.deficit.saturating_sub(cost);
        line.queued_tokens -= cost;
        self.queued_tokens -= cost;
        self.length -= 1;
        if line.waiting.is_empty() {
            self.lines.remove(account);
            self.rounds.retain(|one| one != account);
        }
        Some(waiting)
    }

    /// Turns the round to an account that can pay for its first ask.
    fn turn_to_payable(&mut self) {
        while let Some(account) = self.rounds.front() {
            let Some(line) = self.lines.get_mut(account) else {
                self.rounds.pop_front();
                continue;
            };
            let Some(first) = line.waiting.front() else {
                return;
            };
            if line.deficit >= first.cost() {
                return;
            }
            line.deficit += QUANTUM_TOKENS * u64::from(first.ask.weight.max(1));
            self.rounds.rotate_left(1);
        }
    }

    /// Takes out every ask for which `is_over` holds.
    pub fn remove_where(&mut self, mut is_over: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for line in self.lines.values_mut() {
            let (over, kept) = line.waiting.drain(..).partition(&mut is_over);
            line.waiting = kept;
            let over: VecDeque<Waiting> = over;
            for waiting in over {
                let cost = waiting.cost();
                line.queued_tokens -= cost;
                self.queued_tokens -= cost;
                self.length -= 1;
                removed.push(waiting);
            }
        }
        self.lines.retain(|_, line| !line.waiting.is_empty());
        let lines = &self.lines;
        self.rounds.retain(|account| lines.contains_key(account));
        removed
    }
}
