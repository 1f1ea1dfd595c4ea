//! Exact accounting of one endpoint's slots, memory and pending prefill.

use std::collections::BTreeMap;

use super::grant::{
    GrantId, GrantPart, GrantRequest, PREFILL_PRIORITIES, PrefillPriority, Sharing, WorkClass,
};
use super::models::ServedModels;
use crate::ids::{EndpointId, Millis, OwnerId, RequestId};
use crate::poison::Fingerprint;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Capacity of an endpoint, from its settings or its load report.
#[derives::value]
pub struct EndpointSpec {
    /// The endpoint.
    pub id: EndpointId,
    /// Streams that the endpoint runs concurrently.
    pub slots: u32,
    /// Key-value cache memory, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: u64,
}

impl EndpointSpec {
    /// Milliseconds of prefill for `tokens` prompt tokens.
    #[must_use]
    pub fn prefill_millis(&self, tokens: u64) -> Millis {
        tokens * MILLIS_PER_SECOND / self.prefill_rate.max(1)
    }
}

/// What one grant occupies on one endpoint.
#[derives::value]
pub struct RunningGrant {
    /// Id of the client's request.
    pub request_id: RequestId,
    /// Hash of the request's content and account; zero if it is not known.
    pub fingerprint: Fingerprint,
    /// The owner of the grant.
    pub owner: OwnerId,
    /// Tokens reserved on this endpoint.
    pub tokens: u64,
    /// Length class of the request.
    pub class: WorkClass,
    /// Whether the request shares the endpoint.
    pub sharing: Sharing,
    /// When it was granted.
    pub since: Millis,
}

/// Whether an endpoint takes new work.
#[derives::tag]
pub(super) enum EndpointAvailability {
    /// The endpoint's running streams are not known yet; nothing is granted until it has been
    /// listed.
    Unlisted,
    /// The endpoint did not answer the last listing request.
    Unreachable,
    /// The endpoint takes new work.
    Up,
    /// The endpoint failed; it gets no new work before this time.
    Down(Millis),
    /// The endpoint is leaving or stopping.
    Leaving,
}

/// Slots, reserved memory and pending prefill of one endpoint.
#[derive(Debug)]
pub struct PoolEndpointState {
    pub(super) spec: EndpointSpec,
    pub(super) availability: EndpointAvailability,
    pub(super) served: ServedModels,
    /// Until this time the endpoint gets no new work, because it is to change its model.
    pub(super) changing_until: Millis,
    pub(super) grants: BTreeMap<GrantId, RunningGrant>,
    used_tokens: u64,
    long_grants: usize,
    /// By priority: when prefill of that priority and of all higher ones is expected to be done.
    prefill_busy_until: [Millis; PREFILL_PRIORITIES],
}

impl PoolEndpointState {
    pub(super) fn new(spec: EndpointSpec, availability: EndpointAvailability) -> Self {
        Self {
            spec,
            availability,
            served: ServedModels::All,
            changing_until: 0,
            grants: BTreeMap::new(),
            used_tokens: 0,
            long_grants: 0,
            prefill_busy_until: [0; PREFILL_PRIORITIES],
        }
    }

    /// Whether the endpoint takes new work at `now`.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        if now < self.changing_until {
            return false;
        }
        match self.availability {
            EndpointAvailability::Up => true,
            EndpointAvailability::Down(until) => now >= until,
            EndpointAvailability::Unlisted
            | EndpointAvailability::Unreachable
            | EndpointAvailability::Leaving => false,
        }
    }

    /// Whether the endpoint takes new work at `now` or will do so once it has been listed.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        self.is_open(now) || self.availability == EndpointAvailability::Unlisted
    }

    /// Memory that is not reserved, in tokens.
    #[must_use]
    pub fn free_tokens(&self) -> u64 {
        self.spec.memory_tokens.saturating_sub(self.used_tokens)
    }

    /// Reserved memory, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Number of grants of the long class.
    #[must_use]
    pub fn long_grants(&self) -> usize {
        self.long_grants
    }

    /// Number of grants of both classes.
    #[must_use]
    pub fn running(&self) -> usize {
        self.grants.len()
    }

    /// Whether a slot is free and no exclusive request runs here; an exclusive request itself needs
    /// an endpoint without grants.
    pub(super) fn has_slot(&self, sharing: Sharing) -> bool {
        if sharing == Sharing::Exclusive {
            return self.grants.is_empty();
        }
        let slots = usize::try_from(self.spec.slots).unwrap_or(usize::MAX);
        self.grants.len() < slots && !self.runs_exclusive()
    }

    fn runs_exclusive(&self) -> bool {
        let first = self.grants.values().next();
        first.is_some_and(|grant| grant.sharing == Sharing::Exclusive)
    }

    /// Milliseconds until the endpoint would start to prefill a new prompt of this priority.
    /// Engines honour priorities, so the prompt waits only for prefill of its own and higher
    /// priorities.
    pub(super) fn start_delay(&self, priority: PrefillPriority, now: Millis) -> Millis {
        self.prefill_busy_until[priority.level()].saturating_sub(now)
    }

    pub(super) fn add(&mut self, id: GrantId, grant: RunningGrant) {
        self.used_tokens += grant.tokens;
        if grant.class == WorkClass::Long {
            self.long_grants += 1;
        }
        self.grants.insert(id, grant);
    }

    /// Adds the prefill of a grant whose primary endpoint this is, in milliseconds.
    pub(super) fn add_prefill(&mut self, priority: PrefillPriority, work: Millis, now: Millis) {
        for busy in &mut self.prefill_busy_until[..=priority.level()] {
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
            self.prefill_busy_until = [0; PREFILL_PRIORITIES];
        }
        Some(grant)
    }
}

/// The entry that one part of a grant for `request` gets on its endpoint.
pub(super) fn running_grant(
    request: &GrantRequest,
    part: &GrantPart,
    class: WorkClass,
    now: Millis,
) -> RunningGrant {
    RunningGrant {
        request_id: request.request_id,
        fingerprint: request.fingerprint,
        owner: request.owner.clone(),
        tokens: part.tokens,
        class,
        sharing: request.sharing,
        since: now,
    }
}
