//! Fake key-value service and instance list of the platform.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use platform::{
    CasOutcome, InstanceKind, InstanceState, KeyValue, KeyValueError, LeaseId, LeaseState,
    ListedInstance, PlatformFuture, StoredKey, StoredValue, WatchEvent, WatchReport,
};
use policy::ids::Incarnation;
use policy::store_position::StorePosition;
use tokio::time::{Instant, sleep};

use crate::network::Delivery;
use crate::world::{PlantedFault, WorldState};

/// Network site of the platform.
pub(crate) const PLATFORM: &str = "platform";

/// Time after which a client gives up waiting for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a watch polls for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// State and injected faults of the platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformState {
    /// Whether calls fail without an answer and take no effect.
    pub(crate) is_down: bool,
    /// Number of writes to come that take effect and whose answer is lost.
    pub(crate) lose_answers: u32,
    /// Number of calls that arrived.
    pub(crate) calls: u64,
    pub(crate) list: Vec<ListedInstance>,
    /// Values by key, each with the lease that it ends with, if any.
    entries: BTreeMap<String, (StoredValue, Option<LeaseId>)>,
    events: Vec<WatchEvent>,
    /// Time to live and expiry of each lease.
    leases: BTreeMap<LeaseId, (Duration, Instant)>,
    revision: u64,
}

impl PlatformState {
    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, end)| *end > now);
        let leases = &self.leases;
        let is_expired =
            |lease: &Option<LeaseId>| lease.is_some_and(|lease| !leases.contains_key(&lease));
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, (_, lease))| is_expired(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        self.entries.remove(key);
        self.revision += 1;
        self.events.push(WatchEvent::Deleted {
            key: key.to_owned(),
            revision: self.revision,
        });
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.entries
            .get(key)
            .map_or(0, |(stored, _)| stored.revision)
    }

    /// Writes a key if `expected` is its revision, 0 for a missing key, and the lease has not
    /// expired.
    fn compare_and_swap(
        &mut self,
        key: &str,
        value: &str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> CasOutcome {
        let current = self.revision_of(key);
        let is_expired = lease.is_some_and(|lease| !self.leases.contains_key(&lease));
        if current != expected || is_expired {
            return CasOutcome::Conflict(current);
        }
        self.revision += 1;
        let stored = StoredValue {
            value: value.to_owned(),
            revision: self.revision,
        };
        self.events.push(WatchEvent::Put {
            key: key.to_owned(),
            stored: stored.clone(),
        });
        self.entries.insert(key.to_owned(), (stored, lease));
        CasOutcome::Written(self.revision)
    }

    /// Returns the changes after revision `after`; revision 0 returns a snapshot of all entries.
    fn changes_since(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        if after == 0 {
            let entries = self.entries.iter();
            let matching = entries.filter(|(key, _)| key.starts_with(prefix));
            return matching
                .map(|(key, (stored, _))| WatchEvent::Put {
                    key: key.clone(),
                    stored: stored.clone(),
                })
                .collect();
        }
        self.events
            .iter()
            .filter(|event| match event {
                WatchEvent::Put { key, stored } => {
                    key.starts_with(prefix) && stored.revision > after
                }
                WatchEvent::Deleted { key, revision } => {
                    key.starts_with(prefix) && *revision > after
                }
            })
            .cloned()
            .collect()
    }

    /// Instance named in a failure domain's order lease key; empty if no lease is held.
    pub(crate) fn order_holder(&mut self, domain: &str) -> String {
        self.expire_leases();
        let entry = self.entries.get(&format!("orders/{domain}"));
        let name = entry.and_then(|(stored, _)| stored.value.split(' ').next());
        name.unwrap_or("").to_owned()
    }

    /// Writes a key unconditionally.
    pub(crate) fn put(&mut self, key: &str, value: &str) {
        let current = self.revision_of(key);
        self.compare_and_swap(key, value, current, None);
    }

    /// Adds an instance to the list in place of its earlier incarnations.
    pub(crate) fn list_instance(&mut self, entry: ListedInstance) {
        self.list.retain(|known| known.name != entry.name);
        self.list.push(entry);
    }

    pub(crate) fn unlist(&mut self, name: &str) {
        self.list.retain(|known| known.name != name);
    }
}

/// Builds an entry of the instance list.
pub(crate) fn listed_instance(
    name: &str,
    domain: &str,
    address: &str,
    kind: InstanceKind,
    incarnation: u64,
) -> ListedInstance {
    ListedInstance {
        name: name.to_owned(),
        kind,
        failure_domain: domain.to_owned(),
        address: address.to_owned(),
        incarnation: Incarnation(incarnation),
        state: InstanceState::Live,
    }
}

/// Platform client of one instance.
pub(crate) struct FakePlatform {
    world: Rc<WorldState>,
    instance: String,
}

impl FakePlatform {
    pub(crate) fn new(world: Rc<WorldState>, instance: &str) -> Self {
        Self {
            world,
            instance: instance.to_owned(),
        }
    }

    fn state(&self) -> &RefCell<PlatformState> {
        &self.world.platform
    }

    /// Sends a call to the platform and returns its answer.
    async fn call<T>(
        &self,
        kind: CallKind,
        act: impl FnOnce(&mut PlatformState) -> T,
    ) -> Result<T, KeyValueError> {
        let network = &self.world.network;
        if network.transmit(&self.instance, PLATFORM).await == Delivery::Dropped {
            sleep(ANSWER_TIMEOUT).await;
            return Err(KeyValueError::AnswerLost);
        }
        let (answer, is_lost) = {
            let mut state = self.state().borrow_mut();
            state.calls += 1;
            state.expire_leases();
            if state.is_down {
                return Err(KeyValueError::AnswerLost);
            }
            let answer = act(&mut state);
            let is_lost = kind == CallKind::Write && state.lose_answers > 0;
            if is_lost {
                state.lose_answers -= 1;
            }
            (answer, is_lost)
        };
        if is_lost || network.transmit(PLATFORM, &self.instance).await == Delivery::Dropped {
            sleep(ANSWER_TIMEOUT).await;
            return Err(KeyValueError::AnswerLost);
        }
        Ok(answer)
    }
}

#[derives::tag]
enum CallKind {
    Read,
    Write,
}

impl KeyValue for FakePlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredValue>> {
        self.call(CallKind::Read, |state| {
            state.entries.get(key).map(|(stored, _)| stored.clone())
        })
        .boxed_local()
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasOutcome> {
        let ignores_revision = self.world.planted == PlantedFault::UnconditionalWrite;
        self.call(CallKind::Write, move |state| {
            let expected = if ignores_revision {
                state.revision_of(key)
            } else {
                expected
            };
            state.compare_and_swap(key, value, expected, lease)
        })
        .boxed_local()
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> PlatformFuture<'a, CasOutcome> {
        self.call(CallKind::Write, move |state| {
            let current = state.revision_of(key);
            if current != expected || current == 0 {
                return CasOutcome::Conflict(current);
            }
            state.remove(key);
            CasOutcome::Written(state.revision)
        })
        .boxed_local()
    }

    fn list<'a>(&'a self, prefix: &'a str, limit: usize) -> PlatformFuture<'a, Vec<StoredKey>> {
        self.call(CallKind::Read, move |state| {
            let entries = state.entries.iter();
            let matching = entries.filter(|(key, _)| key.starts_with(prefix));
            matching
                .take(limit)
                .map(|(key, (stored, _))| StoredKey {
                    key: key.clone(),
                    revision: stored.revision,
                })
                .collect()
        })
        .boxed_local()
    }

    fn grant_lease(&self, ttl: u64) -> PlatformFuture<'_, LeaseId> {
        self.call(CallKind::Write, move |state| {
            state.revision += 1;
            let lease = LeaseId(state.revision);
            let ttl = Duration::from_millis(ttl);
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            lease
        })
        .boxed_local()
    }

    fn renew_lease(&self, lease: LeaseId) -> PlatformFuture<'_, LeaseState> {
        self.call(CallKind::Write, move |state| {
            match state.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    LeaseState::Renewed
                }
                None => LeaseState::Expired,
            }
        })
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        async move {
            let end = Instant::now() + Duration::from_millis(wait);
            loop {
                let report = self
                    .call(CallKind::Read, |state| WatchReport {
                        position: StorePosition::without_era(state.revision),
                        events: state.changes_since(prefix, after.revision),
                    })
                    .await?;
                if after == StorePosition::START
                    || !report.events.is_empty()
                    || Instant::now() >= end
                {
                    return Ok(report);
                }
                sleep(WATCH_POLL_INTERVAL).await;
            }
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        self.call(CallKind::Read, |state| state.list.clone())
            .boxed_local()
    }
}
