//! The pool's table of grants: asks, releases, failures and reconciliation.

use std::collections::{BTreeMap, HashMap};

use super::alone::AloneQueue;
use super::ask::{
    Grant, GrantAsk, GrantDecision, GrantId, GrantPart, ReadPriority, Sharing, TicketId, WorkClass,
};
use super::endpoint::{EndpointHealth, EndpointSpec, EndpointState, hold_of};
use super::lane::LongLane;
use super::limits::PoolLimits;
use super::pace::GrantPace;
use super::place::{PlaceView, Placement};
use super::queue::{FairQueue, Waiting};
use crate::demand::DemandMeter;
use crate::ids::{AttemptId, EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason};
use crate::poison::Fingerprint;
use crate::prefix::PrefixIndex;

/// What a pool holds and what waits for it.
#[derives::value]
pub struct PoolCounts {
    /// Grants in force.
    pub grants: usize,
    /// Tokens of memory reserved.
    pub used_tokens: u64,
    /// Short asks that wait.
    pub short_waiting: usize,
    /// Long asks that wait.
    pub long_waiting: usize,
    /// Endpoints in the long lane.
    pub lane_size: usize,
}

/// A short wait before a caller may try again, in milliseconds.
pub(super) const RETRY_SOON: Millis = 1_000;

/// Weight of the newest sample in the mean time for which a slot is held, as one in this many.
const HOLD_SAMPLES: u64 = 16;

/// The exact grants of one pool.
///
/// Invariant: an endpoint's reserved memory never exceeds what it has; every part of a grant is
/// taken and returned together.
#[derive(Debug)]
pub struct PoolTable {
    pub(super) limits: PoolLimits,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(super) grants: HashMap<GrantId, Vec<EndpointId>>,
    /// Where content runs now, with the number of requests that run it.
    pub(super) prints: HashMap<Fingerprint, (EndpointId, usize)>,
    /// Streams and memory of lost owners, with the time at which they were first seen so.
    pub(super) orphans: HashMap<(EndpointId, AttemptId), Millis>,
    pub(super) short_queue: FairQueue,
    pub(super) long_queue: FairQueue,
    pub(super) alone: AloneQueue,
    /// Endpoints kept free for the long request whose turn it is.
    pub(super) kept: Option<(TicketId, Vec<EndpointId>)>,
    pub(super) pace: GrantPace,
    pub(super) lane: LongLane,
    pub(super) prefixes: PrefixIndex,
    pub(super) meter: DemandMeter,
    pub(super) mean_hold: Millis,
    long_work: Millis,
    long_works: HashMap<GrantId, Millis>,
    next_id: u64,
}

impl PoolTable {
    /// A pool without endpoints; ids are counted from `first_id`.
    #[must_use]
    pub fn new(limits: PoolLimits, first_id: u64) -> Self {
        let prefixes = PrefixIndex::new(limits.prefixes);
        let lane = LongLane::new(limits.lane, limits.lane_smallest, limits.lane_smallest);
        Self {
            limits,
            endpoints: BTreeMap::new(),
            grants: HashMap::new(),
            prints: HashMap::new(),
            orphans: HashMap::new(),
            short_queue: FairQueue::new(),
            long_queue: FairQueue::new(),
            alone: AloneQueue::new(),
            kept: None,
            pace: GrantPace::default(),
            lane,
            prefixes,
            meter: DemandMeter::new(),
            mean_hold: 0,
            long_work: 0,
            long_works: HashMap::new(),
            next_id: first_id,
        }
    }

    /// Adds an endpoint whose running streams are known to be none.
    #[must_use]
    pub fn with_endpoint(mut self, spec: EndpointSpec) -> Self {
        self.add_endpoint(spec, EndpointHealth::Up);
        self
    }

    /// Adds an endpoint that grants nothing until it has been listed.
    #[must_use]
    pub fn with_unlisted(mut self, spec: EndpointSpec) -> Self {
        self.add_endpoint(spec, EndpointHealth::Unlisted);
        self
    }

    fn add_endpoint(&mut self, spec: EndpointSpec, health: EndpointHealth) {
        let state = EndpointState::new(spec, health);
        self.endpoints.insert(state.spec.id.clone(), state);
        let count = self.endpoints.len();
        let largest = count * self.limits.lane_largest_percent / 100;
        let smallest = self.limits.lane_smallest.min(count);
        self.lane = LongLane::new(self.limits.lane, smallest, largest);
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.short_queue.is_empty() && self.long_queue.is_empty() && self.alone.is_empty()
    }

    /// The endpoints and their counts.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.endpoints.iter()
    }

    /// What the pool holds and what waits for it.
    #[must_use]
    pub fn counts(&self) -> PoolCounts {
        PoolCounts {
            grants: self.grants.len(),
            used_tokens: self
                .endpoints
                .values()
                .map(EndpointState::used_tokens)
                .sum(),
            short_waiting: self.short_queue.len(),
            long_waiting: self.long_queue.len(),
            lane_size: self.lane.size(),
        }
    }

    /// The class of a prompt.
    #[must_use]
    pub fn class(&self, ask: &GrantAsk) -> WorkClass {
        if ask.prompt_tokens > self.limits.long_tokens {
            WorkClass::Long
        } else {
            WorkClass::Short
        }
    }

    /// Decides on an ask: granted, queued or refused at once.
    pub fn ask(&mut self, ask: GrantAsk, now: Millis) -> GrantDecision {
        let class = self.class(&ask);
        self.count_demand(&ask, now);
        if let Some(refusal) = self.refuse_outright(&ask, now) {
            return GrantDecision::Refused(refusal);
        }
        if ask.sharing == Sharing::Alone {
            return GrantDecision::Queued(self.enqueue_alone(ask, now));
        }
        // What waits has been looked at already: whoever fits beside it runs at once.
        let is_next = class == WorkClass::Long || self.queue(class).is_empty();
        if is_next && let Some(placement) = self.view(&ask, now).place(&ask, class) {
            if placement.first_token > ask.time_left {
                return refused(RefusalReason::DeadlineTooShort, RETRY_SOON);
            }
            return GrantDecision::Granted(self.grant(&ask, class, placement, now));
        }
        if let Some(refusal) = self.refuse_queueing(&ask, class) {
            return GrantDecision::Refused(refusal);
        }
        GrantDecision::Queued(self.enqueue(ask, class, now))
    }

    fn waiting(&mut self, ask: GrantAsk, now: Millis) -> Waiting {
        let deadline = now + ask.time_left;
        Waiting {
            ticket: TicketId(self.take_id()),
            ask,
            since: now,
            deadline,
        }
    }

    fn enqueue_alone(&mut self, ask: GrantAsk, now: Millis) -> TicketId {
        let waiting = self.waiting(ask, now);
        let ticket = waiting.ticket;
        self.alone.push(waiting);
        ticket
    }

    fn enqueue(&mut self, ask: GrantAsk, class: WorkClass, now: Millis) -> TicketId {
        let waiting = self.waiting(ask, now);
        let ticket = waiting.ticket;
        if self.is_large(&waiting.ask) {
            self.pace.wait(ticket, now);
        }
        self.queue(class).push(waiting);
        if class == WorkClass::Long {
            self.follow_lane();
        }
        ticket
    }

    /// Forgets a waiting ask whose caller has gone.
    pub fn abandon(&mut self, ticket: TicketId) {
        self.pace.forget(ticket);
        self.short_queue
            .remove_where(|waiting| waiting.ticket == ticket);
        self.long_queue
            .remove_where(|waiting| waiting.ticket == ticket);
        self.alone.remove_where(|waiting| waiting.ticket == ticket);
    }

    /// Returns a grant, every part of it; unknown grants are ignored.
    pub fn release(&mut self, id: GrantId, now: Millis) {
        let Some(endpoints) = self.grants.remove(&id) else {
            return;
        };
        self.forget_long_work(id);
        for endpoint in endpoints {
            let Some(state) = self.endpoints.get_mut(&endpoint) else {
                continue;
            };
            let Some(grant) = state.remove(id) else {
                continue;
            };
            let held = now.saturating_sub(grant.since);
            self.mean_hold = (self.mean_hold * (HOLD_SAMPLES - 1) + held) / HOLD_SAMPLES;
            self.unpin(grant.fingerprint, &endpoint);
        }
    }

    fn unpin(&mut self, fingerprint: Fingerprint, endpoint: &EndpointId) {
        let Some((pinned, count)) = self.prints.get_mut(&fingerprint) else {
            return;
        };
        if pinned != endpoint {
            return;
        }
        *count -= 1;
        if *count == 0 {
            self.prints.remove(&fingerprint);
        }
    }

    /// Counts a long prompt as read, so that the lane can shrink before its answer ends.
    pub fn prompt_read(&mut self, id: GrantId) {
        self.forget_long_work(id);
    }

    fn forget_long_work(&mut self, id: GrantId) {
        if let Some(work) = self.long_works.remove(&id) {
            self.long_work = self.long_work.saturating_sub(work);
        }
    }

    pub(super) fn grant(
        &mut self,
        ask: &GrantAsk,
        class: WorkClass,
        placement: Placement,
        now: Millis,
    ) -> Grant {
        let id = GrantId(self.take_id());
        let priority = self.priority(ask);
        for part in &placement.parts {
            self.hold_part(id, ask, part, class, now);
        }
        let lead = placement.parts[0].endpoint.clone();
        if let Some(state) = self.endpoints.get_mut(&lead) {
            state.add_prefill(priority, placement.prefill, now);
        }
        self.prints
            .entry(ask.fingerprint)
            .or_insert((lead.clone(), 0))
            .1 += 1;
        if class == WorkClass::Long {
            self.long_work += placement.prefill;
            self.long_works.insert(id, placement.prefill);
            self.follow_lane();
        }
        for prefix in &ask.prefixes {
            self.prefixes.stored(prefix.hash, &lead);
        }
        let endpoints = placement.parts.iter().map(|part| part.endpoint.clone());
        self.grants.insert(id, endpoints.collect());
        Grant {
            id,
            request: ask.request,
            owner: ask.owner.clone(),
            parts: placement.parts,
            priority,
            expected_first_token: placement.first_token,
        }
    }

    fn hold_part(
        &mut self,
        id: GrantId,
        ask: &GrantAsk,
        part: &GrantPart,
        class: WorkClass,
        now: Millis,
    ) {
        let state = self
            .endpoints
            .get_mut(&part.endpoint)
            .expect("a placement names endpoints of the table");
        state.add(id, hold_of(ask, part, class, now));
        assert!(
            state.used_tokens() <= state.spec.memory_tokens,
            "reserved memory exceeds the endpoint's"
        );
    }

    pub(super) fn follow_lane(&mut self) {
        let rate = self
            .endpoints
            .values()
            .map(|state| state.spec.prefill_rate)
            .max()
            .unwrap_or(1);
        let queued = self.long_queue.queued_tokens() * 1_000 / rate.max(1);
        let needed = self.needed_span();
        self.lane.follow(self.long_work + queued, needed);
    }

    fn largest_memory(&self) -> u64 {
        let states = self.endpoints.values();
        let memory = states.map(|state| state.spec.memory_tokens);
        memory.max().unwrap_or(1).max(1)
    }

    /// Whether a prompt needs more than half of an endpoint's memory, so that it waits for one to
    /// empty.
    pub(super) fn is_large(&self, ask: &GrantAsk) -> bool {
        ask.memory_tokens() > self.largest_memory() / 2
    }

    /// Endpoints over which the next waiting long prompt has to be spread.
    fn needed_span(&mut self) -> usize {
        let largest = self.largest_memory();
        let head = self.long_queue.head();
        let tokens = head.map_or(0, |waiting| waiting.ask.memory_tokens());
        usize::try_from(tokens.div_ceil(largest)).unwrap_or(usize::MAX)
    }

    fn priority(&self, ask: &GrantAsk) -> ReadPriority {
        ReadPriority::new(ask.prompt_tokens, self.limits.long_tokens)
    }

    pub(super) fn view(&self, ask: &GrantAsk, now: Millis) -> PlaceView<'_> {
        let pinned = self.prints.get(&ask.fingerprint);
        let kept = self.kept.iter().flat_map(|(_, endpoints)| endpoints);
        PlaceView {
            priority: self.priority(ask),
            reserved: self.alone.reserved().into_iter().chain(kept).collect(),
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

    pub(super) fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}

pub(super) fn refused(reason: RefusalReason, retry_after: Millis) -> GrantDecision {
    GrantDecision::Refused(Refusal::new(reason, retry_after))
}
