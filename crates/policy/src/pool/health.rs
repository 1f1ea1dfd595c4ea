//! What the pool's table learns of its endpoints: failures, leaving, lists and cache events.

use super::ask::{GrantId, OwnerVerdict, Sharing, WorkClass};
use super::endpoint::{EndpointHealth, RunningGrant};
use super::reconcile::{EngineListing, Reconciliation};
use super::table::PoolTable;
use crate::ids::{AttemptId, EndpointId, Millis, OwnerId, RequestId};
use crate::poison::Fingerprint;
use crate::prefix::PrefixHash;

/// How long a grant may be missing from its engine's list before it is returned, in milliseconds.
pub const UNLISTED_GRACE: Millis = 5_000;

/// How long the work of an owner that is lost, but may be only cut off, is left alone, in
/// milliseconds.
pub const ORPHAN_GRACE: Millis = 15_000;

/// What a cache event says.
#[derives::tag]
pub enum CacheChange {
    /// A prefix was stored.
    Stored,
    /// A prefix was dropped.
    Evicted,
}

impl PoolTable {
    /// Leaves a failed endpoint alone for a while; its grants stay until their owners return them.
    pub fn endpoint_failed(&mut self, endpoint: &EndpointId, now: Millis) {
        let until = now + self.limits.down_time;
        self.prefixes.forget(endpoint);
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.health == EndpointHealth::Up
        {
            state.health = EndpointHealth::Down(until);
        }
    }

    /// Gives an endpoint that did not answer no new work until it has been listed.
    pub fn endpoint_unreachable(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.health != EndpointHealth::Leaving
        {
            state.health = EndpointHealth::Unreachable;
        }
    }

    /// Gives a leaving endpoint no new work.
    pub fn endpoint_leaves(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health = EndpointHealth::Leaving;
        }
    }

    /// Opens an endpoint that came back under a new incarnation, once it has been listed.
    pub fn endpoint_returned(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.health == EndpointHealth::Leaving
        {
            state.health = EndpointHealth::Unlisted;
        }
    }

    /// Takes a cache event: `endpoint` stored or dropped a prefix.
    pub fn cache_event(&mut self, endpoint: &EndpointId, hash: PrefixHash, event: CacheChange) {
        match event {
            CacheChange::Stored => self.prefixes.stored(hash, endpoint),
            CacheChange::Evicted => self.prefixes.evicted(hash, endpoint),
        }
    }

    /// Takes what an engine says it holds: adopts what the table does not know, and says which
    /// streams and memory belong to owners that are gone.
    ///
    /// Invariant: the work of an owner that is only lost is left alone for [`ORPHAN_GRACE`], so
    /// that instances cut off from each other do not cut each other's streams short.
    pub fn reconcile(
        &mut self,
        endpoint: &EndpointId,
        listing: &EngineListing,
        mut verdict: impl FnMut(&OwnerId) -> OwnerVerdict,
        now: Millis,
    ) -> Reconciliation {
        self.forget_ended_orphans(endpoint, listing);
        let mut result = Reconciliation::default();
        for stream in &listing.streams {
            let verdict = verdict(&stream.owner);
            if self.is_released(endpoint, stream.attempt, verdict, now) {
                result.cancel.push(stream.attempt);
                continue;
            }
            let request = stream.attempt.request;
            self.adopt(endpoint, request, &stream.owner, stream.tokens, now);
        }
        for memory in &listing.memory {
            let verdict = verdict(&memory.owner);
            if self.is_released(endpoint, memory.attempt, verdict, now) {
                result.release.push(memory.attempt);
                continue;
            }
            let request = memory.attempt.request;
            self.adopt(endpoint, request, &memory.owner, memory.tokens, now);
        }
        self.drop_unlisted(endpoint, listing, now);
        self.mark_listed(endpoint);
        result
    }

    fn mark_listed(&mut self, endpoint: &EndpointId) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if matches!(
            state.health,
            EndpointHealth::Unlisted | EndpointHealth::Unreachable
        ) {
            state.health = EndpointHealth::Up;
        }
    }

    fn is_released(
        &mut self,
        endpoint: &EndpointId,
        attempt: AttemptId,
        verdict: OwnerVerdict,
        now: Millis,
    ) -> bool {
        let key = (endpoint.clone(), attempt);
        match verdict {
            OwnerVerdict::Gone => true,
            OwnerVerdict::Live => {
                self.orphans.remove(&key);
                false
            }
            OwnerVerdict::Lost => {
                let since = *self.orphans.entry(key).or_insert(now);
                now.saturating_sub(since) >= ORPHAN_GRACE
            }
        }
    }

    fn forget_ended_orphans(&mut self, endpoint: &EndpointId, listing: &EngineListing) {
        self.orphans.retain(|(holder, attempt), _| {
            let streams = listing.streams.iter().map(|stream| stream.attempt);
            let memory = listing.memory.iter().map(|memory| memory.attempt);
            holder != endpoint || streams.chain(memory).any(|listed| listed == *attempt)
        });
    }

    fn adopt(
        &mut self,
        endpoint: &EndpointId,
        request: RequestId,
        owner: &OwnerId,
        tokens: u64,
        now: Millis,
    ) {
        let long_tokens = self.limits.long_tokens;
        let id = GrantId(self.take_id());
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if state.grants.values().any(|grant| grant.request == request) {
            return;
        }
        let class = if tokens > long_tokens {
            WorkClass::Long
        } else {
            WorkClass::Short
        };
        let grant = RunningGrant {
            request,
            fingerprint: Fingerprint(0),
            owner: owner.clone(),
            tokens,
            class,
            sharing: Sharing::Shared,
            since: now,
        };
        state.add(id, grant);
        self.grants.insert(id, vec![endpoint.clone()]);
    }

    /// Returns old grants that the engine does not list: their stream ended and the owner's
    /// release was lost.
    fn drop_unlisted(&mut self, endpoint: &EndpointId, listing: &EngineListing, now: Millis) {
        let Some(state) = self.endpoints.get(endpoint) else {
            return;
        };
        let is_listed = |request| {
            let streams = listing.streams.iter().map(|stream| stream.attempt.request);
            let memory = listing.memory.iter().map(|memory| memory.attempt.request);
            streams.chain(memory).any(|listed| listed == request)
        };
        let overdue: Vec<GrantId> = state
            .grants
            .iter()
            .filter(|(_, grant)| now.saturating_sub(grant.since) >= UNLISTED_GRACE)
            .filter(|(_, grant)| !is_listed(grant.request))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.release(id, now);
        }
    }
}
