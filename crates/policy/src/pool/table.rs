//! The pool's table of grants: requests, grants and releases.

use std::collections::{BTreeMap, HashMap};

use super::endpoint::{EndpointAvailability, EndpointSpec, PoolEndpointState, running_grant};
use super::exclusive::ExclusiveQueue;
use super::grant::{
    Grant, GrantDecision, GrantId, GrantPart, GrantRequest, PrefillPriority, Sharing, TicketId,
    WorkClass,
};
use super::lane::LongLane;
use super::large_grants::LargeGrants;
use super::limits::PoolLimits;
use super::placement::{Placement, PlacementView};
use super::queue::{FairQueue, QueuedRequest};
use crate::demand::DemandMeter;
use crate::ids::{AttemptId, EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason};
use crate::poison::Fingerprint;
use crate::prefix::PrefixIndex;

/// Grants and queued requests of a pool.
#[derives::value]
pub struct PoolCounts {
    /// Active grants.
    pub grants: usize,
    /// Reserved memory, in tokens.
    pub used_tokens: u64,
    /// Queued short requests.
    pub short_waiting: usize,
    /// Queued long requests.
    pub long_waiting: usize,
    /// Endpoints in the long lane.
    pub lane_size: usize,
}

/// Retry-after where a retry may succeed soon, in milliseconds.
pub(super) const SHORT_RETRY_AFTER: Millis = 1_000;

/// Inverse weight of the newest sample in the moving average of grant durations.
const DURATION_SAMPLES: u64 = 16;

/// The grants and queues of one pool.
///
/// Invariant: the memory reserved on an endpoint never exceeds its capacity; all parts of a grant
/// are reserved and released together.
#[derive(Debug)]
pub struct PoolTable {
    pub(super) limits: PoolLimits,
    pub(super) endpoints: BTreeMap<EndpointId, PoolEndpointState>,
    pub(super) grants: HashMap<GrantId, Vec<EndpointId>>,
    /// Endpoint on which each fingerprint runs, with the number of its running requests.
    pub(super) running_fingerprints: HashMap<Fingerprint, (EndpointId, usize)>,
    /// Streams and memory of unreachable owners, with the time when the owner was first
    /// unreachable.
    pub(super) orphans: HashMap<(EndpointId, AttemptId), Millis>,
    pub(super) short_queue: FairQueue,
    pub(super) long_queue: FairQueue,
    pub(super) exclusive: ExclusiveQueue,
    /// Endpoints reserved for the request at the head of the long queue.
    pub(super) head_reservation: Option<(TicketId, Vec<EndpointId>)>,
    pub(super) large_grants: LargeGrants,
    pub(super) lane: LongLane,
    pub(super) prefixes: PrefixIndex,
    pub(super) demand_meter: DemandMeter,
    pub(super) mean_grant_duration: Millis,
    long_prefill: Millis,
    long_prefill_by_grant: HashMap<GrantId, Millis>,
    next_id: u64,
}

impl PoolTable {
    /// Creates a pool without endpoints; ids are counted from `first_id`.
    #[must_use]
    pub fn new(limits: PoolLimits, first_id: u64) -> Self {
        let prefixes = PrefixIndex::new(limits.prefixes);
        let lane = LongLane::new(limits.lane, limits.lane_smallest, limits.lane_smallest);
        Self {
            limits,
            endpoints: BTreeMap::new(),
            grants: HashMap::new(),
            running_fingerprints: HashMap::new(),
            orphans: HashMap::new(),
            short_queue: FairQueue::new(),
            long_queue: FairQueue::new(),
            exclusive: ExclusiveQueue::new(),
            head_reservation: None,
            large_grants: LargeGrants::default(),
            lane,
            prefixes,
            demand_meter: DemandMeter::new(),
            mean_grant_duration: 0,
            long_prefill: 0,
            long_prefill_by_grant: HashMap::new(),
            next_id: first_id,
        }
    }

    /// Adds an endpoint that is known to run no streams.
    #[must_use]
    pub fn with_endpoint(mut self, spec: EndpointSpec) -> Self {
        self.add_endpoint(spec, EndpointAvailability::Up);
        self
    }

    /// Adds an endpoint that gets no grants until it has been listed.
    #[must_use]
    pub fn with_unlisted(mut self, spec: EndpointSpec) -> Self {
        self.add_endpoint(spec, EndpointAvailability::Unlisted);
        self
    }

    fn add_endpoint(&mut self, spec: EndpointSpec, availability: EndpointAvailability) {
        let state = PoolEndpointState::new(spec, availability);
        self.endpoints.insert(state.spec.id.clone(), state);
        let count = self.endpoints.len();
        let largest = count * self.limits.lane_largest_percent / 100;
        let smallest = self.limits.lane_smallest.min(count);
        self.lane = LongLane::new(self.limits.lane, smallest, largest);
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.short_queue.is_empty() && self.long_queue.is_empty() && self.exclusive.is_empty()
    }

    /// The endpoints and their accounting.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &PoolEndpointState)> {
        self.endpoints.iter()
    }

    /// Counts of grants and queued requests.
    #[must_use]
    pub fn counts(&self) -> PoolCounts {
        PoolCounts {
            grants: self.grants.len(),
            used_tokens: self
                .endpoints
                .values()
                .map(PoolEndpointState::used_tokens)
                .sum(),
            short_waiting: self.short_queue.len(),
            long_waiting: self.long_queue.len(),
            lane_size: self.lane.size(),
        }
    }

    /// The length class of a request.
    #[must_use]
    pub fn class(&self, request: &GrantRequest) -> WorkClass {
        if request.prompt_tokens > self.limits.long_tokens {
            WorkClass::Long
        } else {
            WorkClass::Short
        }
    }

    /// Decides on a grant request: grants, queues or refuses it.
    pub fn request_grant(&mut self, request: GrantRequest, now: Millis) -> GrantDecision {
        let class = self.class(&request);
        self.count_demand(&request, now);
        if let Some(refusal) = self.refuse_immediately(&request, now) {
            return GrantDecision::Refused(refusal);
        }
        if request.sharing == Sharing::Exclusive {
            return GrantDecision::Queued(self.enqueue_exclusive(request, now));
        }
        // Queued long requests did not fit when they were last tried, so that a new one that fits
        // is granted ahead of them.
        let is_next = class == WorkClass::Long || self.queue(class).is_empty();
        if is_next && let Some(placement) = self.view(&request, now).place(&request, class) {
            if placement.first_token > request.time_left {
                return refused(RefusalReason::DeadlineTooShort, SHORT_RETRY_AFTER);
            }
            return GrantDecision::Granted(self.grant(&request, class, placement, now));
        }
        if let Some(refusal) = self.refuse_queueing(&request, class) {
            return GrantDecision::Refused(refusal);
        }
        GrantDecision::Queued(self.enqueue(request, class, now))
    }

    fn queued_request(&mut self, request: GrantRequest, now: Millis) -> QueuedRequest {
        let deadline = now + request.time_left;
        QueuedRequest {
            ticket: TicketId(self.allocate_id()),
            request,
            since: now,
            deadline,
        }
    }

    fn enqueue_exclusive(&mut self, request: GrantRequest, now: Millis) -> TicketId {
        let waiting = self.queued_request(request, now);
        let ticket = waiting.ticket;
        self.exclusive.push(waiting);
        ticket
    }

    fn enqueue(&mut self, request: GrantRequest, class: WorkClass, now: Millis) -> TicketId {
        let waiting = self.queued_request(request, now);
        let ticket = waiting.ticket;
        if self.is_large(&waiting.request) {
            self.large_grants.wait(ticket, now);
        }
        self.queue(class).push(waiting);
        if class == WorkClass::Long {
            self.resize_lane();
        }
        ticket
    }

    /// Removes a queued request whose caller is gone.
    pub fn abandon(&mut self, ticket: TicketId) {
        self.large_grants.forget(ticket);
        self.short_queue
            .remove_where(|waiting| waiting.ticket == ticket);
        self.long_queue
            .remove_where(|waiting| waiting.ticket == ticket);
        self.exclusive
            .remove_where(|waiting| waiting.ticket == ticket);
    }

    /// Releases all parts of a grant; unknown grants are ignored.
    pub fn release(&mut self, id: GrantId, now: Millis) {
        let Some(endpoints) = self.grants.remove(&id) else {
            return;
        };
        self.remove_long_prefill(id);
        for endpoint in endpoints {
            let Some(state) = self.endpoints.get_mut(&endpoint) else {
                continue;
            };
            let Some(grant) = state.remove(id) else {
                continue;
            };
            let duration = now.saturating_sub(grant.since);
            self.mean_grant_duration =
                (self.mean_grant_duration * (DURATION_SAMPLES - 1) + duration) / DURATION_SAMPLES;
            self.release_fingerprint(grant.fingerprint, &endpoint);
        }
    }

    fn release_fingerprint(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        let Some((pinned, count)) = self.running_fingerprints.get_mut(&fingerprint) else {
            return;
        };
        if pinned != endpoint {
            return;
        }
        *count -= 1;
        if *count == 0 {
            self.running_fingerprints.remove(&fingerprint);
        }
    }

    /// Records that a long prompt's prefill is done, so that the lane can shrink before the answer
    /// ends.
    pub fn prefill_done(&mut self, id: GrantId) {
        self.remove_long_prefill(id);
    }

    fn remove_long_prefill(&mut self, id: GrantId) {
        if let Some(work) = self.long_prefill_by_grant.remove(&id) {
            self.long_prefill = self.long_prefill.saturating_sub(work);
        }
    }

    pub(super) fn grant(
        &mut self,
        request: &GrantRequest,
        class: WorkClass,
        placement: Placement,
        now: Millis,
    ) -> Grant {
        let id = GrantId(self.allocate_id());
        let priority = self.priority(request);
        for part in &placement.parts {
            self.reserve_part(id, request, part, class, now);
        }
        let primary = placement.parts[0].endpoint.clone();
        if let Some(state) = self.endpoints.get_mut(&primary) {
            state.add_prefill(priority, placement.prefill, now);
        }
        self.running_fingerprints
            .entry(request.fingerprint)
            .or_insert((primary.clone(), 0))
            .1 += 1;
        if class == WorkClass::Long {
            self.long_prefill += placement.prefill;
            self.long_prefill_by_grant.insert(id, placement.prefill);
            self.resize_lane();
        }
        for prefix in &request.prefixes {
            self.prefixes.stored(prefix.hash, &primary);
        }
        let endpoints = placement.parts.iter().map(|part| part.endpoint.clone());
        self.grants.insert(id, endpoints.collect());
        Grant {
            id,
            request_id: request.request_id,
            owner: request.owner.clone(),
            parts: placement.parts,
            priority,
            expected_first_token: placement.first_token,
        }
    }

    fn reserve_part(
        &mut self,
        id: GrantId,
        request: &GrantRequest,
        part: &GrantPart,
        class: WorkClass,
        now: Millis,
    ) {
        let state = self
            .endpoints
            .get_mut(&part.endpoint)
            .expect("a placement names endpoints of the table");
        state.add(id, running_grant(request, part, class, now));
        assert!(
            state.used_tokens() <= state.spec.memory_tokens,
            "reserved memory exceeds the endpoint's capacity"
        );
    }

    pub(super) fn resize_lane(&mut self) {
        let rate = self
            .endpoints
            .values()
            .map(|state| state.spec.prefill_rate)
            .max()
            .unwrap_or(1);
        let queued = self.long_queue.queued_tokens() * 1_000 / rate.max(1);
        let needed = self.required_span();
        self.lane.resize(self.long_prefill + queued, needed);
    }

    fn largest_memory(&self) -> u64 {
        let states = self.endpoints.values();
        let memory = states.map(|state| state.spec.memory_tokens);
        memory.max().unwrap_or(1).max(1)
    }

    /// Whether a prompt needs more than half of the largest endpoint's memory, so that it has to
    /// wait until an endpoint is nearly empty.
    pub(super) fn is_large(&self, request: &GrantRequest) -> bool {
        request.memory_tokens() > self.largest_memory() / 2
    }

    /// Number of endpoints over which the next queued long prompt has to be spread.
    fn required_span(&mut self) -> usize {
        let largest = self.largest_memory();
        let head = self.long_queue.head();
        let tokens = head.map_or(0, |waiting| waiting.request.memory_tokens());
        usize::try_from(tokens.div_ceil(largest)).unwrap_or(usize::MAX)
    }

    fn priority(&self, request: &GrantRequest) -> PrefillPriority {
        PrefillPriority::new(request.prompt_tokens, self.limits.long_tokens)
    }

    pub(super) fn view(&self, request: &GrantRequest, now: Millis) -> PlacementView<'_> {
        let pinned = self.running_fingerprints.get(&request.fingerprint);
        let head_reservation = self
            .head_reservation
            .iter()
            .flat_map(|(_, endpoints)| endpoints);
        PlacementView {
            priority: self.priority(request),
            reserved: self
                .exclusive
                .reserved()
                .into_iter()
                .chain(head_reservation)
                .collect(),
            pinned: pinned.map(|(endpoint, _)| endpoint),
            endpoints: &self.endpoints,
            prefixes: &self.prefixes,
            lane_size: self.lane.size(),
            largest_span: self.limits.largest_span,
            now,
        }
    }

    pub(super) fn queue(&mut self, class: WorkClass) -> &mut FairQueue {
        match class {
            WorkClass::Short => &mut self.short_queue,
            WorkClass::Long => &mut self.long_queue,
        }
    }

    pub(super) fn allocate_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}

pub(super) fn refused(reason: RefusalReason, retry_after: Millis) -> GrantDecision {
    GrantDecision::Refused(Refusal::new(reason, retry_after))
}
