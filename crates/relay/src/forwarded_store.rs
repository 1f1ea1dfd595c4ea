//! The platform's store, which a few instances of a failure domain read and whose changes they
//! forward to the others.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{ChangeAnswer, ChangeBatch, ChangeHandler, ChangeLink, StoreChange};
use platform::{
    CasOutcome, KeyValue, KeyValueError, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchEvent, WatchReport,
};
use policy::forwarding_budget::ForwardingBudget;
use policy::ids::Millis;
use policy::notice_times::{PROBER_DELAY, READER_ROUND_PAUSE, READER_WAIT, READER_WATCH_WAIT};
use policy::retry_delay::RetryDelay;
use policy::store_position::StorePosition;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::BootClock;
use crate::placement_router::PlacementRouter;
use crate::store_era::{EraChange, StoreEra};
use crate::store_outage::{StoreOutage, first_follower_delay, later_follower_delay, prober_delay};

/// Number of changes that a reader buffers for its followers.
const MAX_BUFFERED_CHANGES: usize = 2_048;

/// Time since the store's last answer during which a reader counts as current: the wait of its
/// watch, the pause after it and a margin.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);

/// Limit for connecting to a reader: a round trip within a failure domain.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a reader that was unreachable or did not answer is skipped, in milliseconds.
const READER_RETRY_DELAY: Millis = 3_000;

/// Time for which a reader that declined is skipped, in milliseconds: until the next round. It is
/// reachable, and answers as soon as the store answers it: this is how followers learn that the
/// store is back.
const DECLINED_RETRY_DELAY: Millis = READER_ROUND_PAUSE / 2;

/// The latest changes that a reader has seen.
///
/// Invariant: contains the last change of each key, of one era, with a revision above `start` and up to
/// `current`.
#[derive(Debug, Default)]
struct ChangeBuffer {
    era: u64,
    start: u64,
    current: u64,
    changes: VecDeque<StoreChange>,
    /// When the store last answered; `None` after a failed call.
    confirmed_at: Option<Instant>,
}

impl ChangeBuffer {
    fn restart(&mut self, position: StorePosition) {
        self.era = position.era;
        self.start = position.revision;
        self.current = position.revision;
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
        self.drop_superseded();
        while self.changes.len() > MAX_BUFFERED_CHANGES {
            if let Some(evicted) = self.changes.pop_front() {
                self.start = self.start.max(evicted.revision);
            }
        }
        self.current = self.current.max(report.position.revision);
    }

    /// Drops the changes that are followed by one of the same key, so that large values do not add up.
    fn drop_superseded(&mut self) {
        let mut keys = HashSet::new();
        let changes = self.changes.iter().rev();
        let mut is_last: VecDeque<bool> = changes
            .map(|change| keys.insert(change.key.as_str()))
            .collect();
        self.changes
            .retain(|_| is_last.pop_back().unwrap_or_default());
    }

    fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.current,
        }
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
        let mut newer: Vec<StoreChange> = newer.cloned().collect();
        newer.reverse();
        newer
    }
}

#[derive(Debug)]
struct SourceState {
    buffer: RefCell<ChangeBuffer>,
    budget: RefCell<ForwardingBudget>,
    clock: BootClock,
    changed: Notify,
    era: Rc<StoreEra>,
    /// Why the last request of a follower was declined; `None` if it was answered.
    declined: Cell<Option<DeclineCause>>,
}

/// Why a reader declines a follower's request.
#[derives::tag]
enum DeclineCause {
    /// The store has not answered this instance lately.
    NotCurrent,
    /// The changes after the follower's position are lost.
    HistoryLost,
    /// The follower states no era, and the store has had more than one.
    UnstatedEra,
    /// The link has no budget left for the changes.
    LinkBudget,
}

impl SourceState {
    /// Takes the size of `changes` from the forwarding budget; false if the budget is too low.
    fn try_spend_budget(&self, changes: &[StoreChange]) -> bool {
        let bytes = changes.iter().map(StoreChange::size).sum();
        self.budget.borrow_mut().take(bytes, self.clock.now())
    }

    /// Declines a request, and logs that unless the last one was declined for the same cause.
    fn decline(&self, cause: DeclineCause, after: StorePosition) -> ChangeAnswer {
        let buffer = self.buffer.borrow();
        if self.declined.replace(Some(cause)) != Some(cause) {
            spdlog::info!("changes not forwarded", kv: {
                cause:? = cause,
                after_era = after.era,
                after = after.revision,
                era = buffer.era,
                buffered_from = buffer.start,
                current = buffer.current,
            });
        }
        match cause {
            DeclineCause::HistoryLost => ChangeAnswer::HistoryLost { era: buffer.era },
            _ => ChangeAnswer::Declined,
        }
    }

    /// Until when this instance can answer a follower at the position `after`.
    fn current_until(&self, after: StorePosition) -> Result<Instant, DeclineCause> {
        let buffer = self.buffer.borrow();
        let until = buffer.current_until();
        let until = until.filter(|until| Instant::now() < *until);
        let until = until.ok_or(DeclineCause::NotCurrent)?;
        if buffer.era < self.era.known().max(after.era) {
            return Err(DeclineCause::NotCurrent);
        }
        if after.era == 0 && self.era.has_risen() {
            return Err(DeclineCause::UnstatedEra);
        }
        let is_other_era = after.era != 0 && after.era < buffer.era;
        if is_other_era || after.revision < buffer.start {
            return Err(DeclineCause::HistoryLost);
        }
        Ok(until)
    }
}

/// Changes that this instance has read from the store, for its followers. Clones share their state.
#[derive(Debug, Clone)]
pub struct ChangeSource {
    state: Rc<SourceState>,
}

impl ChangeSource {
    /// Creates a source without changes that forwards over a link of `link_rate` bytes per
    /// millisecond, of a store whose eras `era` knows.
    #[must_use]
    pub fn new(clock: BootClock, link_rate: u64, era: Rc<StoreEra>) -> Self {
        let budget = ForwardingBudget::new(link_rate, clock.now());
        Self {
            state: Rc::new(SourceState {
                buffer: RefCell::default(),
                budget: RefCell::new(budget),
                clock,
                changed: Notify::new(),
                era,
                declined: Cell::new(None),
            }),
        }
    }
}

impl ChangeHandler for ChangeSource {
    fn changes(
        &self,
        after: StorePosition,
        wait: Duration,
    ) -> LocalBoxFuture<'static, ChangeAnswer> {
        let source = Rc::clone(&self.state);
        let deadline = Instant::now() + wait;
        async move {
            loop {
                let notified = source.changed.notified();
                let current_until = match source.current_until(after) {
                    Ok(until) => until,
                    Err(cause) => return source.decline(cause, after),
                };
                let newer = source.buffer.borrow().after(after.revision);
                if !newer.is_empty() || Instant::now() >= deadline {
                    if !source.try_spend_budget(&newer) {
                        return source.decline(DeclineCause::LinkBudget, after);
                    }
                    source.declined.set(None);
                    let mut position = source.buffer.borrow().position();
                    position.revision = position.revision.max(after.revision);
                    return ChangeAnswer::Changes(ChangeBatch {
                        position,
                        changes: newer,
                    });
                }
                let wake_at = deadline.min(current_until);
                // The buffer is checked after a timeout as well as after a change.
                let _ = timeout_at(wake_at, notified).await;
            }
        }
        .boxed_local()
    }
}

/// Where this instance has its changes from.
#[derives::tag]
enum ChangeOrigin {
    Store,
    Reader(SocketAddr),
}

/// Result of requesting changes from a reader.
#[derive(Debug)]
enum ReaderOutcome {
    Changes(WatchReport),
    /// The reader is current, and the changes after this instance's position are lost.
    HistoryLost,
    /// The reader is not current, or has no forwarding budget left.
    Declined,
    /// No connection was made within [`CONNECT_TIMEOUT`].
    Unreachable,
    /// A connection was made, but the reader did not answer within [`READER_WAIT`] and the margin, or
    /// closed the connection.
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
    era: Rc<StoreEra>,
    /// Delay until a follower's first own call while its readers decline.
    first_delay: RefCell<RetryDelay>,
    /// Delays between its own calls while these fail too.
    later_delay: RefCell<RetryDelay>,
    /// Delays between a follower's own calls while no reader can be asked.
    lone_delay: RefCell<RetryDelay>,
    /// Until when a follower leaves the store to its readers.
    direct_after: Cell<Millis>,
    /// Whether the store answers this follower while its readers decline.
    is_served_alone: Cell<bool>,
    /// Origin of the last changes; `None` before the first.
    origin: Cell<Option<ChangeOrigin>>,
}

/// Whether a follower has to watch the store itself.
#[derive(Debug)]
enum ReaderRound {
    Changes(WatchReport),
    /// The changes after this instance's position are lost.
    HistoryLost,
    /// All reachable readers declined: the store may be away for them too.
    Declined,
    /// No reader could be asked.
    Unavailable,
}

impl ForwardedStore {
    /// Creates a store that watches through the readers in `router`'s member list, or, if this
    /// instance is a reader, watches `direct` and forwards changes over a link of `link_rate` bytes
    /// per millisecond. `era` is shared with the other parts that call the store.
    #[must_use]
    pub fn new(
        direct: Rc<dyn KeyValue>,
        router: Rc<PlacementRouter>,
        clock: BootClock,
        link_rate: u64,
        era: Rc<StoreEra>,
    ) -> Self {
        Self {
            direct,
            router,
            source: ChangeSource::new(clock.clone(), link_rate, Rc::clone(&era)),
            era,
            clock,
            links: RefCell::default(),
            unavailable_readers: RefCell::new(Vec::new()),
            outage: Rc::default(),
            first_delay: RefCell::new(first_follower_delay()),
            later_delay: RefCell::new(later_follower_delay()),
            lone_delay: RefCell::new(prober_delay()),
            direct_after: Cell::new(0),
            is_served_alone: Cell::new(false),
            origin: Cell::new(None),
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

    async fn watch_direct(
        &self,
        after: StorePosition,
        wait: u64,
    ) -> Result<WatchReport, KeyValueError> {
        let report = self.direct.watch("", after, wait).await;
        self.record_direct(after, &report);
        if report.is_ok() {
            self.record_origin(ChangeOrigin::Store, after);
        }
        report
    }

    /// Logs from where this instance has the changes after a position, unless the last ones came from
    /// there too.
    fn record_origin(&self, origin: ChangeOrigin, after: StorePosition) {
        let former = self.origin.replace(Some(origin));
        if former != Some(origin) {
            spdlog::info!("origin of changes", kv: {
                origin:? = origin,
                former:? = former,
                era = after.era,
                revision = after.revision,
            });
        }
    }

    /// Passes the answer to a call of the store, which asked for the changes after a position, on to
    /// the followers.
    fn record_direct(&self, after: StorePosition, report: &Result<WatchReport, KeyValueError>) {
        {
            let mut buffer = self.source.state.buffer.borrow_mut();
            match report {
                Ok(report) if after == StorePosition::START => buffer.restart(report.position),
                // While another reader was used, this buffer missed changes.
                Ok(report) if buffer.position() != after => {
                    buffer.restart(after);
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
        after: StorePosition,
        wait: u64,
    ) -> Result<WatchReport, KeyValueError> {
        let can_be_told = loop {
            let round = self.watch_reader(after).await;
            let can_be_told = match round {
                ReaderRound::Changes(report) => {
                    self.end_waiting();
                    self.is_served_alone.set(false);
                    return Ok(report);
                }
                ReaderRound::HistoryLost => {
                    self.end_waiting();
                    self.is_served_alone.set(false);
                    return Err(KeyValueError::HistoryLost);
                }
                ReaderRound::Declined => true,
                ReaderRound::Unavailable => false,
            };
            if can_be_told && self.direct_after.get() == 0 && !self.is_served_alone.get() {
                self.postpone_direct(&self.first_delay);
            }
            if !can_be_told && self.direct_after.get() > self.clock.now() + PROBER_DELAY.longest {
                // Drawn while readers could still tell this instance of the store's return.
                self.postpone_direct(&self.lone_delay);
            }
            if self.clock.now() >= self.direct_after.get() {
                break can_be_told;
            }
            tokio::time::sleep(Duration::from_millis(READER_ROUND_PAUSE)).await;
        };
        let report = self.watch_direct(after, wait).await;
        let is_served = report
            .as_ref()
            .err()
            .is_none_or(|error| error.lacks_changes_only());
        self.is_served_alone.set(is_served);
        if is_served {
            self.end_waiting();
        } else if can_be_told {
            self.postpone_direct(&self.later_delay);
        } else {
            self.postpone_direct(&self.lone_delay);
        }
        report
    }

    fn end_waiting(&self) {
        self.first_delay.borrow_mut().reset();
        self.later_delay.borrow_mut().reset();
        self.lone_delay.borrow_mut().reset();
        self.direct_after.set(0);
    }

    /// Makes no call of the store for the next of `delays`.
    fn postpone_direct(&self, delays: &RefCell<RetryDelay>) {
        let delay = self.outage.next_delay(&mut delays.borrow_mut());
        let delay = Millis::try_from(delay.as_millis()).unwrap_or(Millis::MAX);
        self.direct_after.set(self.clock.now() + delay);
        spdlog::info!("store left to the readers", kv: { delay = delay });
    }

    async fn watch_reader(&self, after: StorePosition) -> ReaderRound {
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
            let answer = self.request_changes(address, after).await;
            let retry_delay = match answer {
                ReaderOutcome::Changes(report) => {
                    self.record_origin(ChangeOrigin::Reader(address), after);
                    return ReaderRound::Changes(report);
                }
                ReaderOutcome::HistoryLost => return ReaderRound::HistoryLost,
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
                ReaderOutcome::Changes(_)
                | ReaderOutcome::HistoryLost
                | ReaderOutcome::Unreachable => {}
            }
        }
        round
    }

    async fn request_changes(&self, address: SocketAddr, after: StorePosition) -> ReaderOutcome {
        let pooled = self.links.borrow_mut().remove(&address);
        // A reader closes connections on which it is asked for nothing.
        let link = match pooled.filter(ChangeLink::is_open) {
            Some(link) => link,
            None => match ChangeLink::connect(address, CONNECT_TIMEOUT).await {
                Ok(link) => {
                    spdlog::info!("reader connected", kv: {
                        address: = address,
                        revision = after.revision,
                    });
                    link
                }
                Err(error) => {
                    spdlog::info!("reader not reached", kv: { address: = address, fault:? = error });
                    return ReaderOutcome::Unreachable;
                }
            },
        };
        let answer = match link
            .changes(after, Duration::from_millis(READER_WAIT))
            .await
        {
            Ok(answer) => answer,
            Err(error) => {
                spdlog::info!("reader lost", kv: {
                    address: = address,
                    fault:? = error,
                    revision = after.revision,
                });
                return ReaderOutcome::NoAnswer;
            }
        };
        self.links.borrow_mut().insert(address, link);
        self.reader_outcome(answer, after)
    }

    /// What the answer of a reader to a request for the changes after a position is worth here.
    fn reader_outcome(&self, answer: ChangeAnswer, after: StorePosition) -> ReaderOutcome {
        let batch = match answer {
            ChangeAnswer::Changes(batch) => batch,
            ChangeAnswer::HistoryLost { era } => {
                if self.era.observe(era) == EraChange::Risen {
                    spdlog::warn!("store came back from a copy", kv: { era = era, known = after.era });
                }
                return ReaderOutcome::HistoryLost;
            }
            ChangeAnswer::Declined => return ReaderOutcome::Declined,
        };
        let ChangeBatch {
            mut position,
            changes,
        } = batch;
        if position.era == 0 && !self.era.has_risen() {
            // The reader knows no eras, and there was only one.
            position.era = after.era;
        }
        if position.era != after.era {
            return ReaderOutcome::Declined;
        }
        ReaderOutcome::Changes(WatchReport {
            position,
            events: changes.into_iter().map(watch_event).collect(),
        })
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
        after: StorePosition,
        wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        async move {
            // Readers forward the changes of all keys, so a watch with a prefix goes to the store
            // directly.
            if !prefix.is_empty() {
                return self.direct.watch(prefix, after, wait).await;
            }
            if after != StorePosition::START && !self.router.is_reader() {
                return self.watch_following(after, wait).await;
            }
            let wait = if self.router.reads_for_others() {
                wait.min(READER_WATCH_WAIT)
            } else {
                wait
            };
            self.watch_direct(after, wait).await
        }
        .boxed_local()
    }

    fn read_after<'a>(&'a self, after: &'a str) -> PlatformFuture<'a, WatchReport> {
        async move {
            let report = self.direct.read_after(after).await;
            self.record_direct(StorePosition::START, &report);
            report
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        self.direct.instances()
    }
}
