//! Updates of the pool's table from its endpoints: failures, leaving, listings and cache events.

use super::endpoint::{EndpointAvailability, RunningGrant};
use super::grant::{GrantId, OwnerStatus, Sharing, WorkClass};
use super::reconcile::{EngineListing, Reconciliation};
use super::table::PoolTable;
use crate::ids::{AttemptId, EndpointId, Millis, OwnerId, RequestId};
use crate::poison::Fingerprint;
use crate::prefix::PrefixHash;

/// How old a grant that its engine does not list must be before it is released, in milliseconds.
pub const UNLISTED_GRACE: Millis = 5_000;

/// How long the streams and memory of an unreachable owner are kept, in milliseconds; the owner may
/// be partitioned rather than dead.
pub const ORPHAN_GRACE: Millis = 15_000;

/// Kind of a prefix cache event.
#[derives::tag]
pub enum CacheChange {
    /// The endpoint stored a prefix.
    Stored,
    /// The endpoint evicted a prefix.
    Evicted,
}

impl PoolTable {
    /// Stops grants on a failed endpoint for `down_time`; existing grants stay until their owners
    /// release them.
    pub fn endpoint_failed(&mut self, endpoint: &EndpointId, now: Millis) {
        let until = now + self.limits.down_time;
        self.prefixes.forget(endpoint);
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.availability == EndpointAvailability::Up
        {
            state.availability = EndpointAvailability::Down(until);
        }
    }

    /// Stops grants on an endpoint that did not answer, until it has been listed.
    pub fn endpoint_unreachable(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.availability != EndpointAvailability::Leaving
        {
            state.availability = EndpointAvailability::Unreachable;
        }
    }

    /// Stops grants on a leaving endpoint.
    pub fn endpoint_leaving(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.availability = EndpointAvailability::Leaving;
        }
    }

    /// Resumes grants on an endpoint that came back under a new incarnation, once it has been
    /// listed.
    pub fn endpoint_returned(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && state.availability == EndpointAvailability::Leaving
        {
            state.availability = EndpointAvailability::Unlisted;
        }
    }

    /// Applies a cache event of `endpoint` to the prefix index.
    pub fn cache_event(&mut self, endpoint: &EndpointId, hash: PrefixHash, event: CacheChange) {
        match event {
            CacheChange::Stored => self.prefixes.stored(hash, endpoint),
            CacheChange::Evicted => self.prefixes.evicted(hash, endpoint),
        }
    }

    /// Reconciles the table with an engine's listing: adopts streams and memory that the table does
    /// not know, releases old grants that the engine does not list, and returns what the engine has
    /// to cancel and release because its owner is gone.
    ///
    /// Invariant: streams and memory of an unreachable owner are kept for [`ORPHAN_GRACE`], so that
    /// partitioned instances do not cancel each other's streams.
    pub fn reconcile(
        &mut self,
        endpoint: &EndpointId,
        listing: &EngineListing,
        mut owner_status: impl FnMut(&OwnerId) -> OwnerStatus,
        now: Millis,
    ) -> Reconciliation {
        self.forget_ended_orphans(endpoint, listing);
        let mut result = Reconciliation::default();
        for stream in &listing.streams {
            let owner_status = owner_status(&stream.owner);
            if self.must_release(endpoint, stream.attempt, owner_status, now) {
                result.cancel.push(stream.attempt);
                continue;
            }
            let request_id = stream.attempt.request;
            self.adopt(endpoint, request_id, &stream.owner, stream.tokens, now);
        }
        for memory in &listing.memory {
            let owner_status = owner_status(&memory.owner);
            if self.must_release(endpoint, memory.attempt, owner_status, now) {
                result.release.push(memory.attempt);
                continue;
            }
            let request_id = memory.attempt.request;
            self.adopt(endpoint, request_id, &memory.owner, memory.tokens, now);
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
            state.availability,
            EndpointAvailability::Unlisted | EndpointAvailability::Unreachable
        ) {
            state.availability = EndpointAvailability::Up;
        }
    }

    fn must_release(
        &mut self,
        endpoint: &EndpointId,
        attempt: AttemptId,
        owner_status: OwnerStatus,
        now: Millis,
    ) -> bool {
        let key = (endpoint.clone(), attempt);
        match owner_status {
            OwnerStatus::Gone => true,
            OwnerStatus::Live => {
                self.orphans.remove(&key);
                false
            }
            OwnerStatus::Lost => {
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
        request_id: RequestId,
        owner: &OwnerId,
        tokens: u64,
        now: Millis,
    ) {
        let long_tokens = self.limits.long_tokens;
        let id = GrantId(self.allocate_id());
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if state
            .grants
            .values()
            .any(|grant| grant.request_id == request_id)
        {
            return;
        }
        let class = if tokens > long_tokens {
            WorkClass::Long
        } else {
            WorkClass::Short
        };
        let grant = RunningGrant {
            request_id,
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

    /// Releases old grants that the engine does not list: the stream has ended and the owner's
    /// release was lost.
    fn drop_unlisted(&mut self, endpoint: &EndpointId, listing: &EngineListing, now: Millis) {
        let Some(state) = self.endpoints.get(endpoint) else {
            return;
        };
        let is_listed = |request_id| {
            let streams = listing.streams.iter().map(|stream| stream.attempt.request);
            let memory = listing.memory.iter().map(|memory| memory.attempt.request);
            streams.chain(memory).any(|listed| listed == request_id)
        };
        let overdue: Vec<GrantId> = state
            .grants
            .iter()
            .filter(|(_, grant)| now.saturating_sub(grant.since) >= UNLISTED_GRACE)
            .filter(|(_, grant)| !is_listed(grant.request_id))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.release(id, now);
        }
    }
}
