//! The platform's store, which a few instances of a failure domain read and whose changes they
//! forward to the others.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{ChangeBatch, ChangeHandler, ChangeLink, StoreChange};
use platform::{
    CasOutcome, KeyValue, KeyValueError, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchEvent, WatchReport,
};
use policy::forwarding_budget::ForwardingBudget;
use policy::ids::Millis;
use policy::retry_delay::RetryDelay;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::BootClock;
use crate::placement_router::PlacementRouter;
use crate::store_outage::{StoreOutage, informed_delay};

/// Number of changes that a reader buffers for its followers.
const MAX_BUFFERED_CHANGES: usize = 2_048;

/// Limit for a reader's answer: a silent reader is noticed well within the time in which a change
/// must take effect.
const READER_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait of a reader's own watch for a change, in milliseconds.
const READER_WATCH_WAIT: u64 = 700;

/// Time since the store's last answer during which a reader counts as current: the wait of its
/// watch, the pause after it and a margin.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);

/// Limit for connecting to a reader: a round trip within a failure domain.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a reader that was unreachable or did not answer is skipped, in milliseconds.
const READER_RETRY_DELAY: Millis = 3_000;

/// Time for which a reader that declined is skipped, in milliseconds. It is reachable, and answers
/// as soon as the store answers it: this is how followers learn that the store is back.
const DECLINED_RETRY_DELAY: Millis = 300;

/// Pause between two rounds of requests to the readers while they decline.
const READER_ROUND_PAUSE: Duration = Duration::from_millis(300);

/// The latest changes that a reader has seen.
///
/// Invariant: contains all changes with a revision above `start` and up to `current`.
#[derive(Debug, Default)]
struct ChangeBuffer {
    start: u64,
    current: u64,
    changes: VecDeque<StoreChange>,
    /// When the store last answered; `None` after a failed call.
    confirmed_at: Option<Instant>,
}

impl ChangeBuffer {
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
        while self.changes.len() > MAX_BUFFERED_CHANGES {
            if let Some(evicted) = self.changes.pop_front() {
                self.start = self.start.max(evicted.revision);
            }
        }
        self.current = self.current.max(report.revision);
    }

    /// Until when the changes count as current. A limit is needed since the reader's own connection
    /// to the store may hang.
    fn current_until(&self) -> Option<Instant> {
        Some(self.confirmed_at? + MAX_STALENESS)
    }

    /// The last change of each key after a revision, in order of revision.
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
    buffer: RefCell<ChangeBuffer>,
    budget: RefCell<ForwardingBudget>,
    clock: BootClock,
    changed: Notify,
    /// Why the last request of a follower was declined; `None` if it was answered.
    declined: Cell<Option<DeclineCause>>,
}

/// Why a reader declines a follower's request.
#[derives::tag]
enum DeclineCause {
    /// The store has not answered this instance lately.
    NotCurrent,
    /// The changes after the follower's revision are no longer buffered.
    HistoryLost,
    /// The link has no budget left for the changes.
    LinkBudget,
}

impl SourceState {
    /// Takes the size of `changes` from the forwarding budget; false if the budget is too low.
    fn try_spend_budget(&self, changes: &[StoreChange]) -> bool {
        let bytes = changes.iter().map(StoreChange::size).sum();
        self.budget.borrow_mut().take(bytes, self.clock.now())
    }

    /// Logs a declined request, unless the last one was declined for the same cause.
    fn log_declined(&self, cause: DeclineCause, after: u64) {
        if self.declined.replace(Some(cause)) == Some(cause) {
            return;
        }
        let buffer = self.buffer.borrow();
        spdlog::info!("changes not forwarded", kv: {
            cause:? = cause,
            after = after,
            buffered_from = buffer.start,
            current = buffer.current,
        });
    }
}

/// Changes that this instance has read from the store, for its followers. Clones share their state.
#[derive(Debug, Clone)]
pub struct ChangeSource {
    state: Rc<SourceState>,
}

impl ChangeSource {
    /// Creates a source without changes that forwards over a link of `link_rate` bytes per
    /// millisecond.
    #[must_use]
    pub fn new(clock: BootClock, link_rate: u64) -> Self {
        let budget = ForwardingBudget::new(link_rate, clock.now());
        Self {
            state: Rc::new(SourceState {
                buffer: RefCell::default(),
                budget: RefCell::new(budget),
                clock,
                changed: Notify::new(),
                declined: Cell::new(None),
            }),
        }
    }
}

impl ChangeHandler for ChangeSource {
    fn changes(&self, after: u64, wait: Duration) -> LocalBoxFuture<'static, Option<ChangeBatch>> {
        let source = Rc::clone(&self.state);
        let deadline = Instant::now() + wait;
        async move {
            loop {
                let wake_at;
                let notified = source.changed.notified();
                {
                    let buffer = source.buffer.borrow();
                    let current_until = buffer.current_until();
                    let Some(until) = current_until.filter(|until| Instant::now() < *until) else {
                        source.log_declined(DeclineCause::NotCurrent, after);
                        return None;
                    };
                    if after < buffer.start {
                        source.log_declined(DeclineCause::HistoryLost, after);
                        return None;
                    }
                    wake_at = deadline.min(until);
                    let newer = buffer.after(after);
                    if !newer.is_empty() || Instant::now() >= deadline {
                        if !source.try_spend_budget(&newer) {
                            source.log_declined(DeclineCause::LinkBudget, after);
                            return None;
                        }
                        source.declined.set(None);
                        return Some(ChangeBatch {
                            revision: buffer.current.max(after),
                            changes: newer,
                        });
                    }
                }
                // The buffer is checked after a timeout as well as after a change.
                let _ = timeout_at(wake_at, notified).await;
            }
        }
        .boxed_local()
    }
}

/// Result of requesting changes from a reader.
#[derive(Debug)]
enum ReaderOutcome {
    Changes(WatchReport),
    /// The reader lacks the history, is not current, or has no forwarding budget left.
    Declined,
    /// No connection was made within [`CONNECT_TIMEOUT`].
    Unreachable,
    /// A connection was made, but the reader did not answer within [`READER_TIMEOUT`] or closed the
    /// connection.
    NoAnswer,
}

/// The store as seen by one instance. Watches of all keys go through a reader of the failure domain
/// if there is one; all other calls go to the store directly.
pub struct ForwardedStore {
    direct: Rc<dyn KeyValue>,
    router: Rc<PlacementRouter>,
    source: ChangeSource,
    clock: BootClock,
    /// Open connections to readers, by address.
    links: RefCell<HashMap<SocketAddr, ChangeLink>>,
    unavailable_readers: RefCell<Vec<(SocketAddr, Millis)>>,
    outage: Rc<StoreOutage>,
    /// Delays between a follower's own calls while its readers decline.
    follower_delay: RefCell<RetryDelay>,
    /// Until when a follower leaves the store to its readers.
    direct_after: Cell<Millis>,
}

/// Whether a follower has to watch the store itself.
#[derive(Debug)]
enum ReaderRound {
    Changes(WatchReport),
    /// All reachable readers declined: the store may be away for them too.
    Declined,
    /// No reader could be asked.
    Unavailable,
}

impl ForwardedStore {
    /// Creates a store that watches through the readers in `router`'s member list, or, if this
    /// instance is a reader, watches `direct` and forwards changes over a link of `link_rate` bytes
    /// per millisecond.
    #[must_use]
    pub fn new(
        direct: Rc<dyn KeyValue>,
        router: Rc<PlacementRouter>,
        clock: BootClock,
        link_rate: u64,
    ) -> Self {
        Self {
            direct,
            router,
            source: ChangeSource::new(clock.clone(), link_rate),
            clock,
            links: RefCell::default(),
            unavailable_readers: RefCell::new(Vec::new()),
            outage: Rc::default(),
            follower_delay: RefCell::new(informed_delay()),
            direct_after: Cell::new(0),
        }
    }

    /// Shares `outage` with the other parts that call the store.
    #[must_use]
    pub fn with_outage(mut self, outage: Rc<StoreOutage>) -> Self {
        self.outage = outage;
        self
    }

    /// The changes that this instance forwards to its followers.
    #[must_use]
    pub fn source(&self) -> ChangeSource {
        self.source.clone()
    }

    async fn watch_direct(&self, revision: u64, wait: u64) -> Result<WatchReport, KeyValueError> {
        let report = self.direct.watch("", revision, wait).await;
        self.record_direct(revision, &report);
        report
    }

    /// Passes the answer to a call of the store, which asked for the changes after `revision`, on to
    /// the followers; revision zero stands for the present content.
    fn record_direct(&self, revision: u64, report: &Result<WatchReport, KeyValueError>) {
        {
            let mut buffer = self.source.state.buffer.borrow_mut();
            match report {
                Ok(report) if revision == 0 => buffer.restart(report.revision),
                // While another reader was used, this buffer missed changes.
                Ok(report) if buffer.current != revision => {
                    buffer.restart(revision);
                    buffer.extend(report);
                }
                Ok(report) => buffer.extend(report),
                Err(_) => buffer.confirmed_at = None,
            }
        }
        self.source.state.changed.notify_waiters();
    }

    /// Watches as a follower: through a reader, or directly if no reader can be asked. While readers
    /// decline, they are asked again, and the store is called at growing intervals only, since it is
    /// probably away for all instances.
    async fn watch_following(
        &self,
        revision: u64,
        wait: u64,
    ) -> Result<WatchReport, KeyValueError> {
        loop {
            match self.watch_reader(revision).await {
                ReaderRound::Changes(report) => {
                    self.follower_delay.borrow_mut().reset();
                    self.direct_after.set(0);
                    return Ok(report);
                }
                ReaderRound::Declined if self.direct_after.get() == 0 => self.postpone_direct(),
                ReaderRound::Declined | ReaderRound::Unavailable => {}
            }
            if self.clock.now() >= self.direct_after.get() {
                break;
            }
            tokio::time::sleep(READER_ROUND_PAUSE).await;
        }
        let report = self.watch_direct(revision, wait).await;
        match &report {
            Ok(_) => {
                self.follower_delay.borrow_mut().reset();
                self.direct_after.set(0);
            }
            Err(_) => self.postpone_direct(),
        }
        report
    }

    /// Leaves the store to the readers for the next of the follower's delays.
    fn postpone_direct(&self) {
        let delay = self
            .outage
            .next_delay(&mut self.follower_delay.borrow_mut());
        let delay = Millis::try_from(delay.as_millis()).unwrap_or(Millis::MAX);
        self.direct_after.set(self.clock.now() + delay);
        spdlog::info!("store left to the readers", kv: { delay = delay });
    }

    async fn watch_reader(&self, revision: u64) -> ReaderRound {
        let now = self.clock.now();
        self.unavailable_readers
            .borrow_mut()
            .retain(|(_, until)| now < *until);
        let mut round = ReaderRound::Unavailable;
        let readers = self.router.readers();
        self.links
            .borrow_mut()
            .retain(|address, _| readers.contains(address));
        for address in readers {
            let is_unavailable = |(reader, _): &(SocketAddr, Millis)| *reader == address;
            if self.unavailable_readers.borrow().iter().any(is_unavailable) {
                continue;
            }
            let answer = self.request_changes(address, revision).await;
            let retry_delay = match answer {
                ReaderOutcome::Changes(report) => return ReaderRound::Changes(report),
                ReaderOutcome::Declined => DECLINED_RETRY_DELAY,
                ReaderOutcome::Unreachable | ReaderOutcome::NoAnswer => READER_RETRY_DELAY,
            };
            self.unavailable_readers
                .borrow_mut()
                .push((address, self.clock.now() + retry_delay));
            match answer {
                ReaderOutcome::Declined => round = ReaderRound::Declined,
                // Waiting for a second reader as long would delay changes too much.
                ReaderOutcome::NoAnswer => return ReaderRound::Unavailable,
                ReaderOutcome::Changes(_) | ReaderOutcome::Unreachable => {}
            }
        }
        round
    }

    async fn request_changes(&self, address: SocketAddr, revision: u64) -> ReaderOutcome {
        let pooled = self.links.borrow_mut().remove(&address);
        let link = match pooled {
            Some(link) => link,
            None => match ChangeLink::connect(address, CONNECT_TIMEOUT).await {
                Ok(link) => {
                    spdlog::info!("reader connected", kv: {
                        address: = address,
                        revision = revision,
                    });
                    link
                }
                Err(error) => {
                    spdlog::info!("reader not reached", kv: { address: = address, fault:? = error });
                    return ReaderOutcome::Unreachable;
                }
            },
        };
        let batch = match link.changes(revision, READER_TIMEOUT).await {
            Ok(batch) => batch,
            Err(error) => {
                spdlog::info!("reader lost", kv: { address: = address, fault:? = error });
                return ReaderOutcome::NoAnswer;
            }
        };
        self.links.borrow_mut().insert(address, link);
        match batch {
            Some(batch) => ReaderOutcome::Changes(WatchReport {
                revision: batch.revision,
                events: batch.changes.into_iter().map(watch_event).collect(),
            }),
            None => ReaderOutcome::Declined,
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

impl KeyValue for ForwardedStore {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredValue>> {
        self.direct.get(key)
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasOutcome> {
        self.direct.compare_and_swap(key, value, expected, lease)
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> PlatformFuture<'a, CasOutcome> {
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
            // Readers forward the changes of all keys, so a watch with a prefix goes to the store
            // directly.
            if !prefix.is_empty() {
                return self.direct.watch(prefix, revision, wait).await;
            }
            if revision > 0 && !self.router.is_reader() {
                return self.watch_following(revision, wait).await;
            }
            let wait = if self.router.reads_for_others() {
                wait.min(READER_WATCH_WAIT)
            } else {
                wait
            };
            self.watch_direct(revision, wait).await
        }
        .boxed_local()
    }

    fn read_after<'a>(&'a self, after: &'a str) -> PlatformFuture<'a, WatchReport> {
        async move {
            let report = self.direct.read_after(after).await;
            self.record_direct(0, &report);
            report
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        self.direct.instances()
    }
}
