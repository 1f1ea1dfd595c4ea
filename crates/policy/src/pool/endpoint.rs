//! One endpoint's exact counts.

use std::collections::BTreeMap;

use super::ask::{GrantAsk, GrantId, GrantPart, READ_PRIORITIES, ReadPriority, Sharing, WorkClass};
use super::models::ServedModels;
use crate::ids::{EndpointId, Millis, OwnerId, RequestId};
use crate::poison::Fingerprint;

const MILLIS_PER_SECOND: u64 = 1_000;

/// What an endpoint can do, as its settings or load report say.
#[derives::value]
pub struct EndpointSpec {
    /// The endpoint.
    pub id: EndpointId,
    /// Streams that it runs side by side.
    pub slots: u32,
    /// Key-value cache memory, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens read a second.
    pub prefill_rate: u64,
}

impl EndpointSpec {
    /// Milliseconds that reading `tokens` of prompt takes.
    #[must_use]
    pub fn prefill_millis(&self, tokens: u64) -> Millis {
        tokens * MILLIS_PER_SECOND / self.prefill_rate.max(1)
    }
}

/// One grant's hold on one endpoint.
#[derives::value]
pub struct RunningGrant {
    /// The request.
    pub request: RequestId,
    /// Hash of its content and account; zero where it is not known.
    pub fingerprint: Fingerprint,
    /// Who holds it.
    pub owner: OwnerId,
    /// Tokens reserved here.
    pub tokens: u64,
    /// Whether it counts as long.
    pub class: WorkClass,
    /// Whether it runs alone.
    pub sharing: Sharing,
    /// When it was granted.
    pub since: Millis,
}

/// Whether an endpoint may be given new work.
#[derives::tag]
pub(super) enum EndpointHealth {
    /// Its running streams are not known yet; nothing is granted until it has been listed.
    Unlisted,
    /// It did not answer when it was last asked for its list.
    Unreachable,
    /// It may.
    Up,
    /// It failed; not before this time.
    Down(Millis),
    /// It leaves or stops.
    Leaving,
}

/// Exact counts of one endpoint.
#[derive(Debug)]
pub struct EndpointState {
    pub(super) spec: EndpointSpec,
    pub(super) health: EndpointHealth,
    pub(super) served: ServedModels,
    /// Until when it is given nothing new, since it is to change its model.
    pub(super) changing_until: Millis,
    pub(super) grants: BTreeMap<GrantId, RunningGrant>,
    used_tokens: u64,
    long_grants: usize,
    /// By priority: when the prompts of that priority and higher ones will have been read.
    busy_until: [Millis; READ_PRIORITIES],
}

impl EndpointState {
    pub(super) fn new(spec: EndpointSpec, health: EndpointHealth) -> Self {
        Self {
            spec,
            health,
            served: ServedModels::All,
            changing_until: 0,
            grants: BTreeMap::new(),
            used_tokens: 0,
            long_grants: 0,
            busy_until: [0; READ_PRIORITIES],
        }
    }

    /// Whether it may be given new work at `now`.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        if now < self.changing_until {
            return false;
        }
        match self.health {
            EndpointHealth::Up => true,
            EndpointHealth::Down(until) => now >= until,
            EndpointHealth::Unlisted | EndpointHealth::Unreachable | EndpointHealth::Leaving => {
                false
            }
        }
    }

    /// Whether it may be given new work at `now` or as soon as it has been listed.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.is_open(now) || self.health == EndpointHealth::Unlisted
    }

    /// Tokens of memory that are not reserved.
    #[must_use]
    pub fn free_tokens(&self) -> u64 {
        self.spec.memory_tokens.saturating_sub(self.used_tokens)
    }

    /// Tokens of memory that are reserved.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Grants that count as long.
    #[must_use]
    pub fn long_grants(&self) -> usize {
        self.long_grants
    }

    /// Grants of either class.
    #[must_use]
    pub fn running(&self) -> usize {
        self.grants.len()
    }

    /// Whether a slot is free and nothing runs alone.
    pub(super) fn has_slot(&self, sharing: Sharing) -> bool {
        if sharing == Sharing::Alone {
            return self.grants.is_empty();
        }
        let slots = usize::try_from(self.spec.slots).unwrap_or(usize::MAX);
        self.grants.len() < slots && !self.runs_alone()
    }

    fn runs_alone(&self) -> bool {
        let first = self.grants.values().next();
        first.is_some_and(|grant| grant.sharing == Sharing::Alone)
    }

    /// Milliseconds until the endpoint would start to read a new prompt: engines honour
    /// priorities, so that it waits for its own and higher ones only.
    pub(super) fn start_delay(&self, priority: ReadPriority, now: Millis) -> Millis {
        self.busy_until[priority.level()].saturating_sub(now)
    }

    pub(super) fn add(&mut self, id: GrantId, grant: RunningGrant) {
        self.used_tokens += grant.tokens;
        if grant.class == WorkClass::Long {
            self.long_grants += 1;
        }
        self.grants.insert(id, grant);
    }

    /// Counts the prompt work of a grant that leads here.
    pub(super) fn add_prefill(&mut self, priority: ReadPriority, work: Millis, now: Millis) {
        for busy in &mut self.busy_until[..=priority.level()] {
            *busy = (*busy).max(now) + work;
        }
    }

    pub(super) fn remove(&mut self, id: GrantId) -> Option<RunningGrant> {
        let grant = self.grants.remove(&id)?;
        self.used_tokens -= grant.tokens;
        if grant.class == WorkClass::Long {
            self.long_grants -= 1;
        }
        if self.grants.is_empty() {
            self.busy_until = [0; READ_PRIORITIES];
        }
        Some(grant)
    }
}

/// What `ask` holds with one part of its grant.
pub(super) fn hold_of(
    ask: &GrantAsk,
    part: &GrantPart,
    class: WorkClass,
    now: Millis,
) -> RunningGrant {
    RunningGrant {
        request: ask.request,
        fingerprint: ask.fingerprint,
        owner: ask.owner.clone(),
        tokens: part.tokens,
        class,
        sharing: ask.sharing,
        since: now,
    }
}
