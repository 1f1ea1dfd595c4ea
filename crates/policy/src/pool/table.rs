//! The pool's table of grants: asks, releases, failures and reconciliation.

use std::collections::{BTreeMap, HashMap};

use super::alone::AloneQueue;
use super::ask::{
    Grant, GrantAsk, GrantDecision, GrantId, GrantPart, ReadPriority, Sharing, TicketId, WorkClass,
};
use super::endpoint::{EndpointHealth, EndpointSpec, EndpointState, hold_of};
use super::lane::{LanePolicy, LongLane};
use super::place::{PlaceView, Placement};
use super::queue::{FairQueue, Waiting};
use crate::ids::{AttemptId, EndpointId, Millis};
use crate::outcome::{Refusal, RefusalReason};
use crate::poison::Fingerprint;
use crate::prefix::PrefixIndex;

/// Bounds of one pool.
#[derives::value]
pub struct PoolLimits {
    /// Prompts of more tokens than this are long.
    pub long_tokens: u64,
    /// How the long lane follows the backlog.
    pub lane: LanePolicy,
    /// Endpoints always in the lane.
    pub lane_smallest: usize,
    /// Largest share of the pool that the lane takes, in hundredths.
    pub lane_largest_percent: usize,
    /// Endpoints over which one prompt may be spread.
    pub largest_span: usize,
    /// Longest wait of a short request that is still queued, in milliseconds.
    pub short_wait: Millis,
    /// Longest wait of a long request that is still queued, in milliseconds.
    pub long_wait: Millis,
    /// How long a failed endpoint is left alone, in milliseconds.
    pub down_time: Millis,
    /// Prefixes remembered.
    pub prefixes: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            long_tokens: 32_768,
            lane: LanePolicy::Threshold { backlog: 4_000 },
            lane_smallest: 1,
            lane_largest_percent: 60,
            largest_span: 4,
            short_wait: 800,
            long_wait: 60_000,
            down_time: 2_000,
            prefixes: 65_536,
        }
    }
}

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
const RETRY_SOON: Millis = 1_000;

/// Long requests behind the head that are looked at for endpoints that it does not wait for.
const BACKFILL_ASKS: usize = 64;

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
    prints: HashMap<Fingerprint, (EndpointId, usize)>,
    /// Streams and memory of lost owners, with the time at which they were first seen so.
    pub(super) orphans: HashMap<(EndpointId, AttemptId), Millis>,
    short_queue: FairQueue,
    long_queue: FairQueue,
    alone: AloneQueue,
    /// Endpoints kept free for the long request whose turn it is.
    kept: Option<(TicketId, Vec<EndpointId>)>,
    lane: LongLane,
    pub(super) prefixes: PrefixIndex,
    mean_hold: Millis,
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
            lane,
            prefixes,
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
        self.queue(class).push(waiting);
        if class == WorkClass::Long {
            self.follow_lane();
        }
        ticket
    }

    /// Decides on as many waiting asks as can be decided now.
    pub fn drain(&mut self, now: Millis) -> Vec<(TicketId, GrantDecision)> {
        let mut decided = self.drop_overdue(now);
        self.follow_lane();
        self.forget_kept();
        self.drain_alone(now, &mut decided);
        for class in [WorkClass::Short, WorkClass::Long] {
            self.drain_class(class, now, &mut decided);
        }
        decided
    }

    /// Frees the kept endpoints once their request has gone.
    fn forget_kept(&mut self) {
        let head = self.long_queue.head().map(|waiting| waiting.ticket);
        if let Some((ticket, _)) = &self.kept
            && head != Some(*ticket)
        {
            self.kept = None;
        }
    }

    /// Keeps one endpoint free until it is empty, then runs one request on it.
    fn drain_alone(&mut self, now: Millis, decided: &mut Vec<(TicketId, GrantDecision)>) {
        self.alone.reserve(&self.endpoints, now);
        let Some((waiting, endpoint)) = self.alone.pop_ready(&self.endpoints, &self.prints) else {
            return;
        };
        let class = self.class(&waiting.ask);
        let state = &self.endpoints[&endpoint];
        let prefill = state.spec.prefill_millis(waiting.ask.prompt_tokens);
        let tokens = waiting.ask.memory_tokens().min(state.spec.memory_tokens);
        let placement = Placement {
            parts: vec![GrantPart { endpoint, tokens }],
            prefill,
            first_token: prefill,
        };
        let grant = self.grant(&waiting.ask, class, placement, now);
        decided.push((waiting.ticket, GrantDecision::Granted(grant)));
    }

    fn drain_class(
        &mut self,
        class: WorkClass,
        now: Millis,
        decided: &mut Vec<(TicketId, GrantDecision)>,
    ) {
        while let Some(waiting) = self.queue(class).head().cloned() {
            let Some(placement) = self.place(&waiting, class, now) else {
                self.keep_for(&waiting, class, now);
                self.backfill(class, now, decided);
                return;
            };
            self.queue(class).pop();
            let mut grant = self.grant(&waiting.ask, class, placement, now);
            if now.saturating_sub(waiting.since) >= self.limits.long_wait / 2 {
                grant.priority = grant.priority.raised();
            }
            decided.push((waiting.ticket, GrantDecision::Granted(grant)));
        }
    }

    fn priority(&self, ask: &GrantAsk) -> ReadPriority {
        ReadPriority::new(ask.prompt_tokens, self.limits.long_tokens)
    }

    fn place(&self, waiting: &Waiting, class: WorkClass, now: Millis) -> Option<Placement> {
        let mut view = self.view(&waiting.ask, now);
        if let Some((ticket, kept)) = &self.kept
            && *ticket == waiting.ticket
        {
            view.reserved.retain(|endpoint| !kept.contains(endpoint));
        }
        view.place(&waiting.ask, class)
    }

    /// Keeps endpoints free for the long request whose turn it is, so that one which needs much
    /// memory gets it in the end.
    fn keep_for(&mut self, waiting: &Waiting, class: WorkClass, now: Millis) {
        let is_kept = self
            .kept
            .as_ref()
            .is_some_and(|(ticket, _)| *ticket == waiting.ticket);
        if class == WorkClass::Long && !is_kept {
            let endpoints = self.view(&waiting.ask, now).reserve(&waiting.ask);
            self.kept = Some((waiting.ticket, endpoints));
        }
    }

    /// Runs requests behind the head on endpoints that the head does not wait for.
    fn backfill(
        &mut self,
        class: WorkClass,
        now: Millis,
        decided: &mut Vec<(TicketId, GrantDecision)>,
    ) {
        if class == WorkClass::Short {
            return;
        }
        for waiting in self.long_queue.followers(BACKFILL_ASKS) {
            let Some(placement) = self.place(&waiting, class, now) else {
                continue;
            };
            self.long_queue.take(&waiting.ask.account, waiting.ticket);
            let grant = self.grant(&waiting.ask, class, placement, now);
            decided.push((waiting.ticket, GrantDecision::Granted(grant)));
        }
    }

    fn drop_overdue(&mut self, now: Millis) -> Vec<(TicketId, GrantDecision)> {
        let short_wait = self.limits.short_wait;
        let long_wait = self.limits.long_wait;
        let mut over = self
            .short_queue
            .remove_where(|waiting| now >= waiting.deadline.min(waiting.since + short_wait));
        over.extend(
            self.long_queue
                .remove_where(|waiting| now >= waiting.deadline.min(waiting.since + long_wait)),
        );
        over.extend(self.alone.remove_where(|waiting| now >= waiting.deadline));
        over.into_iter()
            .map(|waiting| {
                let reason = if now >= waiting.deadline {
                    RefusalReason::DeadlinePassed
                } else {
                    RefusalReason::Overloaded
                };
                (waiting.ticket, refused(reason, RETRY_SOON))
            })
            .collect()
    }

    /// Forgets a waiting ask whose caller has gone.
    pub fn abandon(&mut self, ticket: TicketId) {
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

    fn refuse_outright(&self, ask: &GrantAsk, now: Millis) -> Option<Refusal> {
        if ask.time_left == 0 {
            return Some(Refusal::new(RefusalReason::DeadlinePassed, RETRY_SOON));
        }
        let tokens = ask.memory_tokens();
        let mut memory: Vec<u64> = self
            .endpoints
            .values()
            .map(|state| state.spec.memory_tokens)
            .collect();
        memory.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
        let span: u64 = memory.iter().take(self.limits.largest_span).sum();
        if !memory.is_empty() && tokens > span {
            return Some(Refusal::new(RefusalReason::PromptTooLarge, 0));
        }
        let is_usable =
            |state: &EndpointState| state.is_usable(now) && !ask.excluded.contains(&state.spec.id);
        if !self.endpoints.values().any(is_usable) {
            return Some(Refusal::new(
                RefusalReason::NoEndpoint,
                self.limits.down_time,
            ));
        }
        None
    }

    /// Refuses an ask that would wait too long, or whose account has its share of the queue.
    fn refuse_queueing(&self, ask: &GrantAsk, class: WorkClass) -> Option<Refusal> {
        let (queue, longest) = match class {
            WorkClass::Short => (&self.short_queue, self.limits.short_wait),
            WorkClass::Long => (&self.long_queue, self.limits.long_wait),
        };
        let wait = self.expected_wait(class);
        let bound = longest.min(ask.time_left);
        if wait > bound {
            return Some(Refusal::new(RefusalReason::Overloaded, wait));
        }
        let accounts = u64::try_from(queue.accounts()).unwrap_or(u64::MAX).max(1);
        let own = queue.account_tokens(&ask.account);
        let fair = queue.queued_tokens() / accounts;
        let is_crowded = wait > bound / 2;
        if is_crowded && accounts > 1 && own > fair * u64::from(ask.weight.max(1)) {
            return Some(Refusal::new(RefusalReason::AccountLimit, wait));
        }
        None
    }

    /// Milliseconds that a new ask of `class` would wait: by prefill work, or by slots where
    /// those are scarcer.
    fn expected_wait(&self, class: WorkClass) -> Millis {
        let (queue, width) = match class {
            WorkClass::Short => (&self.short_queue, self.endpoints.len()),
            WorkClass::Long => (&self.long_queue, self.lane.size()),
        };
        let lane = || self.endpoints.values().take(width);
        let rate: u64 = lane().map(|state| state.spec.prefill_rate).sum();
        let slots: u64 = lane().map(|state| u64::from(state.spec.slots)).sum();
        let by_work = queue.queued_tokens() * 1_000 / rate.max(1);
        let waiting = u64::try_from(queue.len()).unwrap_or(u64::MAX);
        let by_slots = waiting.saturating_mul(self.mean_hold) / slots.max(1);
        by_work.max(by_slots)
    }

    fn grant(
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

    fn follow_lane(&mut self) {
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

    /// Endpoints over which the next waiting long prompt has to be spread.
    fn needed_span(&mut self) -> usize {
        let memory = self
            .endpoints
            .values()
            .map(|state| state.spec.memory_tokens);
        let largest = memory.max().unwrap_or(1).max(1);
        let head = self.long_queue.head();
        let tokens = head.map_or(0, |waiting| waiting.ask.memory_tokens());
        usize::try_from(tokens.div_ceil(largest)).unwrap_or(usize::MAX)
    }

    fn view(&self, ask: &GrantAsk, now: Millis) -> PlaceView<'_> {
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

    fn queue(&mut self, class: WorkClass) -> &mut FairQueue {
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

fn refused(reason: RefusalReason, retry_after: Millis) -> GrantDecision {
    GrantDecision::Refused(Refusal::new(reason, retry_after))
}
