//! This instance's view of the endpoints, and how entries expire.

use std::collections::BTreeMap;

use policy::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget, StartPhase};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};

/// Time after the store recovers in which an endpoint whose entry is missing may register again, in
/// milliseconds; the platform documents about two seconds.
const REJOIN_TIME: Millis = 2_000;

/// Time for which a removed endpoint is remembered, in milliseconds: longer than the view of any
/// instance may lag behind.
const DEPARTED_RETENTION: Millis = 60_000;

/// What an endpoint's entry says of its start.
#[derives::tag]
#[derive(Default)]
pub struct StartStatement {
    /// When the endpoint's process started, on its own clock; `None` if the entry does not say so.
    pub started_at: Option<u64>,
    /// How much longer the endpoint stays cold, as of the entry's writing; `None` if the entry says
    /// nothing of it.
    pub cold_left: Option<Millis>,
    /// Hash of the entry: an entry that is read again unchanged states nothing anew.
    pub entry_hash: u64,
}

/// Where it was learned how long an endpoint stays cold.
#[derives::tag]
pub enum ColdSource {
    /// The endpoint's entry.
    Entry,
    /// An answer of the endpoint.
    Answer,
    /// The start of the endpoint, whose entry does not say how long it stays cold.
    Start,
}

/// How long an endpoint stays cold, as far as it is known.
#[derives::tag]
pub struct ColdTime {
    /// When the endpoint is warm.
    pub until: Millis,
    /// Where that was learned.
    pub source: ColdSource,
}

/// What is known of the start of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct KnownStart {
    /// The last statement of its entry.
    statement: StartStatement,
    /// What its entries and answers have said since its start; `None` if nothing.
    stated: Option<ColdTime>,
    /// When it appeared, if that was during traffic.
    appeared_at: Option<Millis>,
    /// Whether no entry has said since its start how long it stays cold.
    is_unstated: bool,
}

impl KnownStart {
    /// The start of an endpoint whose first entry is read at `now`.
    fn new(statement: StartStatement, traffic: TrafficPhase, now: Millis) -> Self {
        let mut start = Self {
            statement,
            stated: None,
            appeared_at: (traffic == TrafficPhase::Known).then_some(now),
            is_unstated: true,
        };
        start.apply(statement, now);
        start
    }

    /// The same start after an entry is read at `now`. The time that an entry states counts from its
    /// first reading, and is never shortened: an older entry may be read after a newer one.
    fn with_statement(mut self, statement: StartStatement, now: Millis) -> Self {
        if statement != self.statement {
            self.apply(statement, now);
        }
        self
    }

    fn apply(&mut self, statement: StartStatement, now: Millis) {
        self.statement = statement;
        if let Some(left) = statement.cold_left {
            self.is_unstated = false;
            self.prolong(now.saturating_add(left), ColdSource::Entry);
        }
    }

    /// Lets the endpoint stay cold until a later time.
    fn prolong(&mut self, until: Millis, source: ColdSource) -> ViewChange {
        if self.stated.is_some_and(|stated| until <= stated.until) {
            return ViewChange::Same;
        }
        self.stated = Some(ColdTime { until, source });
        ViewChange::Changed
    }

    /// How long the endpoint stays cold if its service is cold for `cold_time` after a start.
    fn cold_time(&self, cold_time: Option<Millis>) -> Option<ColdTime> {
        let appeared_at = self.appeared_at.filter(|_| self.is_unstated);
        let assumed = appeared_at.zip(cold_time).map(|(at, time)| ColdTime {
            until: at.saturating_add(time),
            source: ColdSource::Start,
        });
        assumed.into_iter().chain(self.stated).max()
    }
}

/// Whether the endpoints that were there before this instance are known.
#[derives::tag]
#[derive(Default)]
enum TrafficPhase {
    /// Entries of endpoints that started earlier are still being read.
    #[default]
    Unknown,
    /// Endpoints that appear now start during traffic.
    Known,
}

/// Entry of an endpoint.
#[derive(Debug, Clone)]
struct KnownEndpoint {
    pool: PoolId,
    info: EndpointInfo,
    /// When the endpoint is removed because its entry is missing; `None` while it is listed.
    missing_until: Option<Millis>,
    /// What is known of its start.
    start: KnownStart,
    /// Whether the endpoint has said in an answer that it leaves.
    says_leaving: bool,
    /// Whether an entry of the same start has said that it leaves.
    was_leaving: bool,
    /// Until when the entry may be of a time before the endpoint left, because the store has come
    /// back from a copy.
    doubted_until: Option<Millis>,
}

impl KnownEndpoint {
    fn state(&self) -> EndpointState {
        if self.says_leaving || self.was_leaving || self.doubted_until.is_some() {
            return EndpointState::Leaving;
        }
        self.info.state
    }

    fn past(&self) -> EndpointPast {
        EndpointPast {
            start: self.start,
            says_leaving: self.says_leaving,
            is_leaving: self.was_leaving || self.info.state == EndpointState::Leaving,
            is_doubted: self.doubted_until.is_some(),
        }
    }
}

/// What was known of an endpoint before an entry of it is read.
#[derive(Debug, Clone, Copy)]
struct EndpointPast {
    start: KnownStart,
    /// Whether the endpoint has said in an answer that it leaves.
    says_leaving: bool,
    /// Whether an entry has said that it leaves.
    is_leaving: bool,
    /// Whether its entry was removed, or is in doubt.
    is_doubted: bool,
}

/// Removal of an endpoint.
#[derive(Debug, Clone)]
struct Departure {
    at: Millis,
    /// Whether the endpoint was seen leaving before.
    is_announced: bool,
    domain: DomainId,
    /// Whether its failure domain was evacuated.
    was_evacuated: bool,
    /// What was known of the endpoint when its entry was removed.
    past: EndpointPast,
}

impl Departure {
    fn new(entry: &KnownEndpoint, was_evacuated: bool, at: Millis) -> Self {
        Self {
            at,
            is_announced: entry.state() == EndpointState::Leaving,
            domain: entry.info.domain.clone(),
            was_evacuated,
            past: EndpointPast {
                is_doubted: true,
                ..entry.past()
            },
        }
    }
}

/// The endpoints of all pools and the evacuated failure domains, as listed in the platform's store.
///
/// Invariant: an endpoint whose entry is missing is used for at most two seconds after the list is
/// current again. An endpoint that was seen leaving is not used again in the same incarnation. No
/// endpoint of an evacuated domain is ready, whenever its entry was read.
#[derive(Debug, Default)]
pub struct EndpointView {
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Whether an endpoint that appears has started during traffic.
    traffic: TrafficPhase,
    /// Removed endpoints.
    departed: BTreeMap<EndpointId, Departure>,
    /// When the store last recovered from an outage.
    store_recovered_at: Option<Millis>,
    is_store_lost: bool,
    /// Until when entries may be older than what is known, because the store has come back from a
    /// copy: those that live write again what the copy lacks.
    copied_until: Option<Millis>,
    /// The evacuated failure domains, with the time at which the evacuation ends because its key is
    /// missing from the copy that the store has come back from; `None` while the key is listed.
    evacuations: BTreeMap<DomainId, Option<Millis>>,
}

/// Whether a change affects placement.
#[derives::tag]
pub enum ViewChange {
    /// Endpoints were added, removed or changed.
    Changed,
    /// Nothing that affects placement has changed.
    Same,
}

impl EndpointView {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an endpoint or replaces its entry.
    pub fn put(&mut self, pool: PoolId, info: EndpointInfo) -> ViewChange {
        self.put_started(pool, info, None, 0)
    }

    /// Adds an endpoint whose process started at `started_at`, on its own clock, or replaces its
    /// entry, which says nothing else of its start.
    pub fn put_started(
        &mut self,
        pool: PoolId,
        info: EndpointInfo,
        started_at: Option<u64>,
        now: Millis,
    ) -> ViewChange {
        let statement = StartStatement {
            started_at,
            ..StartStatement::default()
        };
        self.put_entry(pool, info, statement, now)
    }

    /// Adds an endpoint with what its entry says of its start, or replaces its entry. That the endpoint leaves holds until an entry names another start. While entries may be
    /// of a copy, an endpoint that had left is not used for an entry that may be of an earlier time.
    pub fn put_entry(
        &mut self,
        pool: PoolId,
        info: EndpointInfo,
        statement: StartStatement,
        now: Millis,
    ) -> ViewChange {
        let started_at = statement.started_at;
        let endpoint = info.target.endpoint.clone();
        let departed = self.departed.remove(&endpoint).map(|known| known.past);
        let listed = self.endpoints.get(&endpoint).map(KnownEndpoint::past);
        let is_listed = listed.is_some();
        let past = listed.or(departed);
        let past = past.filter(|past| past.start.statement.started_at == started_at);
        // Without a start, an endpoint that comes back may be a new process.
        let same_start = past.filter(|_| is_listed || started_at.is_some());
        let start = match same_start {
            Some(past) => past.start.with_statement(statement, now),
            None => KnownStart::new(statement, self.traffic, now),
        };
        let copied_until = self.copied_until.filter(|until| now < *until);
        let may_be_older = past.is_some_and(|past| past.is_leaving || past.is_doubted);
        let new_entry = KnownEndpoint {
            pool,
            info,
            missing_until: None,
            start,
            says_leaving: past.is_some_and(|past| past.says_leaving),
            // Without a start, an entry may be that of a new process.
            was_leaving: started_at.is_some() && past.is_some_and(|past| past.is_leaving),
            doubted_until: copied_until.filter(|_| may_be_older),
        };
        match self.endpoints.get_mut(&endpoint) {
            Some(entry)
                if entry.info == new_entry.info
                    && entry.pool == new_entry.pool
                    && entry.state() == new_entry.state()
                    && entry.start.stated == new_entry.start.stated
                    && entry.start.appeared_at == new_entry.start.appeared_at =>
            {
                *entry = new_entry;
                ViewChange::Same
            }
            Some(entry) => {
                *entry = new_entry;
                ViewChange::Changed
            }
            None => {
                self.endpoints.insert(endpoint, new_entry);
                ViewChange::Changed
            }
        }
    }

    /// Records that all entries have been read once: endpoints that appear from now on start during
    /// traffic.
    pub fn all_read(&mut self) {
        self.traffic = TrafficPhase::Known;
    }

    /// Records that an endpoint has said in an answer that it stays cold for `left` milliseconds.
    pub fn hear_cold(&mut self, endpoint: &EndpointId, left: Millis, now: Millis) -> ViewChange {
        let until = now.saturating_add(left);
        match self.endpoints.get_mut(endpoint) {
            Some(entry) if left > 0 => entry.start.prolong(until, ColdSource::Answer),
            _ => ViewChange::Same,
        }
    }

    /// The endpoints of one pool that are cold at `now`, if one is cold for `cold_time` after its start.
    /// It counts for endpoints in any state, so that it holds from the first request when they are ready.
    #[must_use]
    pub fn cold_in_pool(
        &self,
        pool: &PoolId,
        cold_time: Option<Millis>,
        now: Millis,
    ) -> Vec<(EndpointId, ColdTime)> {
        let entries = self.endpoints.iter();
        let in_pool = entries.filter(|(_, entry)| entry.pool == *pool);
        let cold = in_pool.filter_map(|(endpoint, entry)| {
            let cold_time = entry.start.cold_time(cold_time)?;
            (now < cold_time.until).then(|| (endpoint.clone(), cold_time))
        });
        cold.collect()
    }

    /// Records that an endpoint has said in an answer that it leaves.
    pub fn mark_leaving(&mut self, endpoint: &EndpointId) -> ViewChange {
        match self.endpoints.get_mut(endpoint) {
            Some(entry) if !entry.says_leaving => {
                entry.says_leaving = true;
                ViewChange::Changed
            }
            _ => ViewChange::Same,
        }
    }

    /// Handles a missing entry. The endpoint is removed at once, or, during and shortly after a
    /// store outage, kept until it can no longer be expected to register again.
    pub fn remove(&mut self, endpoint: &EndpointId, now: Millis) -> ViewChange {
        let rejoin_deadline = self.store_recovered_at.map(|at| at + REJOIN_TIME);
        let may_return = self.is_store_lost || rejoin_deadline.is_some_and(|until| now < until);
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return ViewChange::Same;
        };
        let is_leaving = entry.state() == EndpointState::Leaving;
        if may_return && !is_leaving {
            let until = rejoin_deadline.unwrap_or(Millis::MAX).max(now);
            entry.missing_until.get_or_insert(until);
            return ViewChange::Same;
        }
        self.depart(endpoint, now);
        ViewChange::Changed
    }

    fn depart(&mut self, endpoint: &EndpointId, now: Millis) {
        if let Some(entry) = self.endpoints.remove(endpoint) {
            let was_evacuated = self.evacuations.contains_key(&entry.info.domain);
            let departure = Departure::new(&entry, was_evacuated, now);
            self.departed.insert(endpoint.clone(), departure);
        }
    }

    /// Evacuates a failure domain: its endpoints, those that appear later included, are not used until
    /// the withdrawal.
    pub fn evacuate(&mut self, domain: &DomainId) -> ViewChange {
        match self.evacuations.insert(domain.clone(), None) {
            Some(_) => ViewChange::Same,
            None => ViewChange::Changed,
        }
    }

    /// Withdraws the evacuation of a failure domain.
    pub fn withdraw_evacuation(&mut self, domain: &DomainId) -> ViewChange {
        match self.evacuations.remove(domain) {
            Some(_) => ViewChange::Changed,
            None => ViewChange::Same,
        }
    }

    /// Withdraws the evacuations that a complete list of the store's entries lacks. Those that a copy
    /// lacks hold until the operator can have written them again.
    pub fn retain_evacuations(&mut self, listed: &[DomainId], now: Millis) -> ViewChange {
        let before = self.evacuations.len();
        let copied_until = self.copied_until;
        self.evacuations.retain(|domain, missing_until| {
            let is_listed = listed.contains(domain);
            let held_until = copied_until.max(*missing_until);
            *missing_until = held_until.filter(|until| !is_listed && now < *until);
            is_listed || missing_until.is_some()
        });
        if self.evacuations.len() == before {
            ViewChange::Same
        } else {
            ViewChange::Changed
        }
    }

    /// The evacuated failure domains.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &DomainId> {
        self.evacuations.keys()
    }

    /// Number of known endpoints in a failure domain.
    #[must_use]
    pub fn count_in_domain(&self, domain: &DomainId) -> usize {
        let entries = self.endpoints.values();
        entries.filter(|entry| entry.info.domain == *domain).count()
    }

    /// Whether nothing may be sent to an endpoint because its failure domain is evacuated. An unknown
    /// endpoint may be in any domain, so it counts as evacuated while any domain is.
    #[must_use]
    pub fn is_evacuated(&self, endpoint: &EndpointId) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let listed = self.endpoints.get(endpoint).map(|entry| &entry.info.domain);
        let departed = self.departed.get(endpoint).map(|known| &known.domain);
        let domain = listed.or(departed);
        domain.is_none_or(|domain| self.evacuations.contains_key(domain))
    }

    /// Known endpoints that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        let entries = self.endpoints.keys();
        entries
            .filter(|endpoint| !listed.contains(endpoint))
            .cloned()
            .collect()
    }

    /// Records that the store cannot be read.
    pub fn store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store can be read again.
    pub fn store_recovered(&mut self, now: Millis) {
        if self.is_store_lost {
            self.is_store_lost = false;
            self.store_recovered_at = Some(now);
            let missing = self.endpoints.values_mut();
            let missing = missing.map(|entry| &mut entry.missing_until);
            for missing_until in missing.chain(self.evacuations.values_mut()) {
                if missing_until.is_some() {
                    *missing_until = Some(now + REJOIN_TIME);
                }
            }
        }
    }

    /// Records that the store has come back from a copy, whose entries are about to be read. Entries
    /// that it lacks are kept, and departed endpoints are not used again, until those that live have
    /// written again.
    pub fn store_restored(&mut self, now: Millis) {
        self.store_lost();
        self.store_recovered(now);
        self.copied_until = Some(now + REJOIN_TIME);
    }

    /// Removes endpoints whose entries have not come back in time, uses those again whose entries
    /// are no longer in doubt, and withdraws evacuations whose keys have not come back in time. No
    /// evacuation is withdrawn while the store is away.
    pub fn expire(&mut self, now: Millis) -> ViewChange {
        let mut change = ViewChange::Same;
        if !self.is_store_lost {
            let before = self.evacuations.len();
            self.evacuations
                .retain(|_, missing_until| missing_until.is_none_or(|until| now < until));
            if self.evacuations.len() != before {
                change = ViewChange::Changed;
            }
        }
        for entry in self.endpoints.values_mut() {
            if entry.doubted_until.is_some_and(|until| until <= now) {
                entry.doubted_until = None;
                change = ViewChange::Changed;
            }
        }
        self.departed
            .retain(|_, departure| now.saturating_sub(departure.at) < DEPARTED_RETENTION);
        let is_kept = |entry: &KnownEndpoint| entry.missing_until.is_none_or(|until| now < until);
        let missing = self.endpoints.iter().filter(|(_, entry)| !is_kept(entry));
        let missing: Vec<EndpointId> = missing.map(|(id, _)| id.clone()).collect();
        for endpoint in missing {
            self.depart(&endpoint, now);
            change = ViewChange::Changed;
        }
        change
    }

    /// Whether an endpoint is leaving or was removed recently.
    #[must_use]
    pub fn is_departed(&self, endpoint: &EndpointId) -> bool {
        let entry = self.endpoints.get(endpoint);
        let is_leaving = entry.is_some_and(|entry| entry.state() == EndpointState::Leaving);
        is_leaving || self.departed.contains_key(endpoint)
    }

    /// Whether an endpoint counts as leaving only because its entry may be older than what was known of
    /// it.
    #[must_use]
    pub fn is_doubted(&self, endpoint: &EndpointId) -> bool {
        let entry = self.endpoints.get(endpoint);
        entry.is_some_and(|entry| {
            let is_known = entry.says_leaving || entry.past().is_leaving;
            entry.doubted_until.is_some() && !is_known
        })
    }

    /// Whether an endpoint was removed recently without having been seen leaving. What runs on it
    /// does not go on.
    #[must_use]
    pub fn is_gone(&self, endpoint: &EndpointId) -> bool {
        let departure = self.departed.get(endpoint);
        departure.is_some_and(|departure| !departure.is_announced)
    }

    /// Whether the removal of an endpoint is evidence against what ran on it: it was not seen leaving,
    /// and its failure domain was not evacuated.
    #[must_use]
    pub fn is_lost(&self, endpoint: &EndpointId) -> bool {
        let departure = self.departed.get(endpoint);
        departure.is_some_and(|departure| !departure.is_announced && !departure.was_evacuated)
    }

    /// Id and address of an endpoint, if it is known.
    #[must_use]
    pub fn target(&self, endpoint: &EndpointId) -> Option<EndpointTarget> {
        let entry = self.endpoints.get(endpoint)?;
        Some(entry.info.target.clone())
    }

    /// Ids and addresses of the known endpoints.
    pub fn targets(&self) -> impl Iterator<Item = &EndpointTarget> {
        self.endpoints.values().map(|entry| &entry.info.target)
    }

    /// The endpoints of one pool.
    #[must_use]
    pub fn in_pool(&self, pool: &PoolId) -> Vec<EndpointInfo> {
        let is_in_pool = |entry: &&KnownEndpoint| entry.pool == *pool;
        let entries = self.endpoints.values().filter(is_in_pool);
        let info = |entry: &KnownEndpoint| EndpointInfo {
            state: if self.evacuations.contains_key(&entry.info.domain) {
                EndpointState::Evacuated
            } else {
                entry.state()
            },
            started: entry
                .start
                .appeared_at
                .map_or(StartPhase::Settled, StartPhase::StartedAt),
            ..entry.info.clone()
        };
        entries.map(info).collect()
    }

    /// Number of known endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
