//! The platform's store, read by few instances of a failure domain and passed on to the others.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{ChangeBatch, ChangeHandler, ChangeLink, StoreChange};
use platform::{
    CasVerdict, KeyValue, KeyValueFault, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchEvent, WatchReport,
};
use policy::forwarding_budget::ForwardingBudget;
use policy::ids::Millis;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::BootClock;
use crate::steward::StewardDesk;

/// Changes that a reader remembers for the others.
const REMEMBERED_CHANGES: usize = 2_048;

/// Longest time that a reader is waited for, so that a silent one is noticed well within the time in
/// which a change must be in force.
const READER_WAIT: Duration = Duration::from_millis(800);

/// Longest time that a reader's own watch waits, in milliseconds.
const READER_WATCH: u64 = 700;

/// Time since the store's last answer within which a reader counts as current: its own watch, the
/// pause after it and a margin.
const FRESH_TIME: Duration = Duration::from_millis(1_500);

/// Longest time for a connection to a reader: a round trip within a failure domain.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// Time for which a reader that did not answer is not asked again, in milliseconds.
const READER_PAUSE: Millis = 3_000;

/// The latest changes that a reader has seen.
///
/// Invariant: all changes after `start` up to `current` are held.
#[derive(Debug, Default)]
struct ChangeRing {
    start: u64,
    current: u64,
    changes: VecDeque<StoreChange>,
    /// When the store last answered, unless a call has failed since.
    confirmed_at: Option<Instant>,
}

impl ChangeRing {
    fn restart(&mut self, revision: u64) {
        self.start = revision;
        self.current = revision;
        self.changes.clear();
        self.confirmed_at = Some(Instant::now());
    }

    fn extend(&mut self, report: &WatchReport) {
        self.confirmed_at = Some(Instant::now());
        for event in &report.events {
            let change = match event {
                WatchEvent::Put { key, stored } => StoreChange {
                    key: key.clone(),
                    value: Some(stored.value.clone()),
                    revision: stored.revision,
                },
                WatchEvent::Deleted { key, revision } => StoreChange {
                    key: key.clone(),
                    value: None,
                    revision: *revision,
                },
            };
            self.changes.push_back(change);
        }
        while self.changes.len() > REMEMBERED_CHANGES {
            if let Some(forgotten) = self.changes.pop_front() {
                self.start = self.start.max(forgotten.revision);
            }
        }
        self.current = self.current.max(report.revision);
    }

    /// Until when the changes count as current: a reader's own connection to the store may have
    /// gone silent.
    fn fresh_until(&self) -> Option<Instant> {
        Some(self.confirmed_at? + FRESH_TIME)
    }

    /// The last change of each key, in the order of their revisions.
    fn after(&self, after: u64) -> Vec<StoreChange> {
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|change| change.revision > after);
        let mut seen = HashSet::new();
        let mut latest: Vec<StoreChange> = newer
            .filter(|change| seen.insert(change.key.as_str()))
            .cloned()
            .collect();
        latest.reverse();
        latest
    }
}

#[derive(Debug)]
struct SourceState {
    ring: RefCell<ChangeRing>,
    budget: RefCell<ForwardingBudget>,
    clock: BootClock,
    changed: Notify,
}

impl SourceState {
    /// Takes what is to be passed on from the budget of the link.
    fn may_pass_on(&self, changes: &[StoreChange]) -> bool {
        let bytes = changes.iter().map(StoreChange::size).sum();
        let may_pass = self.budget.borrow_mut().take(bytes, self.clock.now());
        if !may_pass {
            spdlog::info!("changes not passed on", kv: { bytes = bytes, cause = "link budget" });
        }
        may_pass
    }
}

/// What a reader knows, for the others of its failure domain; clones share it.
#[derive(Debug, Clone)]
pub struct ChangeSource {
    state: Rc<SourceState>,
}

impl ChangeSource {
    /// Nothing is known yet; passes on over a link of `link_rate` bytes a millisecond.
    #[must_use]
    pub fn new(clock: BootClock, link_rate: u64) -> Self {
        let budget = ForwardingBudget::new(link_rate, clock.now());
        Self {
            state: Rc::new(SourceState {
                ring: RefCell::default(),
                budget: RefCell::new(budget),
                clock,
                changed: Notify::new(),
            }),
        }
    }
}

impl ChangeHandler for ChangeSource {
    fn changes(&self, after: u64, wait: Duration) -> LocalBoxFuture<'static, Option<ChangeBatch>> {
        let source = Rc::clone(&self.state);
        let ends = Instant::now() + wait;
        async move {
            loop {
                let wakes;
                let woken = source.changed.notified();
                {
                    let ring = source.ring.borrow();
                    let fresh_until = ring.fresh_until()?;
                    if after < ring.start || Instant::now() >= fresh_until {
                        return None;
                    }
                    wakes = ends.min(fresh_until);
                    let newer = ring.after(after);
                    if !newer.is_empty() || Instant::now() >= ends {
                        if !source.may_pass_on(&newer) {
                            return None;
                        }
                        return Some(ChangeBatch {
                            revision: ring.current.max(after),
                            changes: newer,
                        });
                    }
                }
                // Whether it was woken or not, the ring is looked at again.
                let _ = timeout_at(wakes, woken).await;
            }
        }
        .boxed_local()
    }
}

/// A connection to a reader.
struct ReaderLink {
    address: SocketAddr,
    link: ChangeLink,
}

/// What asking a reader came to.
#[derive(Debug)]
enum ReaderAnswer {
    Changes(WatchReport),
    /// It does not know, is not current, or has no room on its link.
    Declined,
    /// No connection within [`CONNECT_TIME`].
    Unreachable,
    /// It was waited for and did not answer.
    Silence,
}

/// The store as one instance sees it: through a reader of its failure domain where there is one,
/// else directly. Only watches are passed on.
pub struct PassedOnStore {
    direct: Rc<dyn KeyValue>,
    desk: Rc<StewardDesk>,
    source: ChangeSource,
    clock: BootClock,
    link: RefCell<Option<ReaderLink>>,
    avoided: RefCell<Vec<(SocketAddr, Millis)>>,
}

impl PassedOnStore {
    /// Reads `direct` for others over a link of `link_rate` bytes a millisecond, or the readers that
    /// `desk`'s membership names.
    #[must_use]
    pub fn new(
        direct: Rc<dyn KeyValue>,
        desk: Rc<StewardDesk>,
        clock: BootClock,
        link_rate: u64,
    ) -> Self {
        Self {
            direct,
            desk,
            source: ChangeSource::new(clock.clone(), link_rate),
            clock,
            link: RefCell::new(None),
            avoided: RefCell::new(Vec::new()),
        }
    }

    /// What this instance knows, for others.
    #[must_use]
    pub fn source(&self) -> ChangeSource {
        self.source.clone()
    }

    async fn watch_direct(
        &self,
        prefix: &str,
        revision: u64,
        wait: u64,
    ) -> Result<WatchReport, KeyValueFault> {
        let report = self.direct.watch(prefix, revision, wait).await;
        {
            let mut ring = self.source.state.ring.borrow_mut();
            match &report {
                Ok(report) if revision == 0 => ring.restart(report.revision),
                // After a time with a reader the ring has a gap.
                Ok(report) if ring.current != revision => {
                    ring.restart(revision);
                    ring.extend(report);
                }
                Ok(report) => ring.extend(report),
                Err(_) => ring.confirmed_at = None,
            }
        }
        self.source.state.changed.notify_waiters();
        report
    }

    /// Changes from a reader; `None` if the store itself is to be asked.
    async fn watch_reader(&self, revision: u64) -> Option<WatchReport> {
        let now = self.clock.now();
        self.avoided.borrow_mut().retain(|(_, until)| now < *until);
        for address in self.desk.readers() {
            let is_avoided = |(avoided, _): &(SocketAddr, Millis)| *avoided == address;
            if self.avoided.borrow().iter().any(is_avoided) {
                continue;
            }
            let answer = self.ask_reader(address, revision).await;
            if let ReaderAnswer::Changes(report) = answer {
                return Some(report);
            }
            self.avoided
                .borrow_mut()
                .push((address, self.clock.now() + READER_PAUSE));
            // A second wait of this length would make changes late.
            if matches!(answer, ReaderAnswer::Silence) {
                return None;
            }
        }
        None
    }

    async fn ask_reader(&self, address: SocketAddr, revision: u64) -> ReaderAnswer {
        let kept = self.link.borrow_mut().take();
        let link = match kept.filter(|kept| kept.address == address) {
            Some(kept) => kept.link,
            None => match ChangeLink::connect(address, CONNECT_TIME).await {
                Ok(link) => {
                    spdlog::info!("reader", kv: { address: = address, revision = revision });
                    link
                }
                Err(fault) => {
                    spdlog::info!("reader not reached", kv: { address: = address, fault:? = fault });
                    return ReaderAnswer::Unreachable;
                }
            },
        };
        let batch = match link.changes(revision, READER_WAIT).await {
            Ok(batch) => batch,
            Err(fault) => {
                spdlog::info!("reader lost", kv: { address: = address, fault:? = fault });
                return ReaderAnswer::Silence;
            }
        };
        *self.link.borrow_mut() = Some(ReaderLink { address, link });
        match batch {
            Some(batch) => ReaderAnswer::Changes(WatchReport {
                revision: batch.revision,
                events: batch.changes.into_iter().map(watch_event).collect(),
            }),
            None => ReaderAnswer::Declined,
        }
    }
}

fn watch_event(change: StoreChange) -> WatchEvent {
    match change.value {
        Some(value) => WatchEvent::Put {
            key: change.key,
            stored: StoredValue {
                value,
                revision: change.revision,
            },
        },
        None => WatchEvent::Deleted {
            key: change.key,
            revision: change.revision,
        },
    }
}

impl KeyValue for PassedOnStore {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredValue>> {
        self.direct.get(key)
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasVerdict> {
        self.direct.compare_and_swap(key, value, expected, lease)
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> PlatformFuture<'a, CasVerdict> {
        self.direct.delete(key, expected)
    }

    fn list<'a>(&'a self, prefix: &'a str, limit: usize) -> PlatformFuture<'a, Vec<StoredKey>> {
        self.direct.list(prefix, limit)
    }

    fn grant_lease(&self, ttl: u64) -> PlatformFuture<'_, LeaseId> {
        self.direct.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> PlatformFuture<'_, LeaseState> {
        self.direct.renew_lease(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        async move {
            // All changes are passed on, so that a narrower watch goes to the store itself.
            if revision > 0
                && prefix.is_empty()
                && !self.desk.is_reader()
                && let Some(report) = self.watch_reader(revision).await
            {
                return Ok(report);
            }
            let wait = if self.desk.reads_for_others() {
                wait.min(READER_WATCH)
            } else {
                wait
            };
            self.watch_direct(prefix, revision, wait).await
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        self.direct.instances()
    }
}
