//! Timer service on real or virtual time.
//!
//! One service holds all deadlines of its thread group. In the daemon [`TimerService::run`]
//! advances it with the clock; in tests [`TimerService::advance`] does, so that a test has the same
//! result in every run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Milliseconds since the service was created.
pub type Millis = u64;

#[derive(Debug, Default)]
struct TimerTable {
    now: Millis,
    next_id: u64,
    subscribers: BTreeMap<(Millis, u64), oneshot::Sender<()>>,
}

impl TimerTable {
    fn fire_due(&mut self) {
        let not_due = self.subscribers.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut self.subscribers, not_due);
        for sender in due.into_values() {
            // Sending fails only if the subscriber dropped its receiver.
            let _ = sender.send(());
        }
    }
}

/// What advances the service's time.
#[derive(Debug)]
enum TimeSource {
    Clock(Instant),
    Manual,
}

#[derive(Debug)]
struct TimerShared {
    source: TimeSource,
    table: Mutex<TimerTable>,
    changed: Notify,
}

/// A timer service; clones share its state.
#[derive(Debug, Clone)]
pub struct TimerService {
    shared: Arc<TimerShared>,
}

impl Default for TimerService {
    fn default() -> Self {
        Self::new()
    }
}

impl TimerService {
    /// Creates a service on the runtime's clock, starting at zero; [`run`](Self::run) must be
    /// polled.
    ///
    /// On a runtime with paused time, the service runs on virtual time that advances by itself.
    #[must_use]
    pub fn new() -> Self {
        Self::with_source(TimeSource::Clock(Instant::now()))
    }

    /// Creates a service on virtual time, which only [`advance`](Self::advance) changes.
    #[must_use]
    pub fn with_virtual_time() -> Self {
        Self::with_source(TimeSource::Manual)
    }

    fn with_source(source: TimeSource) -> Self {
        Self {
            shared: Arc::new(TimerShared {
                source,
                table: Mutex::new(TimerTable::default()),
                changed: Notify::new(),
            }),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        match &self.shared.source {
            TimeSource::Clock(start) => {
                u64::try_from(start.elapsed().as_millis()).unwrap_or(Millis::MAX)
            }
            TimeSource::Manual => self.shared.table.lock().now,
        }
    }

    /// Subscribes to `deadline`; a deadline in the past resolves at once.
    #[must_use]
    pub fn at(&self, deadline: Millis) -> TimerWait {
        let (sender, receiver) = oneshot::channel();
        let mut table = self.shared.table.lock();
        if deadline <= table.now {
            // Sending cannot fail: the receiver is still in scope.
            let _ = sender.send(());
            return TimerWait { receiver };
        }
        let id = table.next_id;
        table.next_id += 1;
        table.subscribers.insert((deadline, id), sender);
        drop(table);
        self.shared.changed.notify_one();
        TimerWait { receiver }
    }

    /// Subscribes to the time `millis` milliseconds from now.
    #[must_use]
    pub fn after(&self, millis: Millis) -> TimerWait {
        self.at(self.now() + millis)
    }

    /// Subscribes to a tick every `period` milliseconds.
    #[must_use]
    pub fn every(&self, period: Millis) -> TimerTicks {
        TimerTicks {
            service: self.clone(),
            period,
            next: self.now() + period,
        }
    }

    /// Advances virtual time by `millis` and wakes the subscribers that are due.
    pub fn advance(&self, millis: Millis) {
        let mut table = self.shared.table.lock();
        table.now += millis;
        table.fire_due();
    }

    /// Wakes subscribers by the clock for as long as it is polled; never returns.
    pub async fn run(&self) {
        loop {
            let next = self.fire_by_clock();
            let changed = self.shared.changed.notified();
            match next {
                Some(wait) => {
                    tokio::select! {
                        biased;
                        () = tokio::time::sleep(wait) => {}
                        () = changed => {}
                    }
                }
                None => changed.await,
            }
        }
    }

    fn fire_by_clock(&self) -> Option<Duration> {
        let now = self.now();
        let mut table = self.shared.table.lock();
        table.now = now;
        table.fire_due();
        let (next, _) = table.subscribers.keys().next()?;
        Some(Duration::from_millis(next.saturating_sub(now)))
    }
}

/// Subscription to one deadline.
#[derive(Debug)]
pub struct TimerWait {
    receiver: oneshot::Receiver<()>,
}

impl TimerWait {
    /// Waits for the deadline; forever if the service has been dropped.
    pub async fn wait(self) {
        if self.receiver.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Subscription to periodic ticks.
#[derive(Debug)]
pub struct TimerTicks {
    service: TimerService,
    period: Millis,
    next: Millis,
}

impl TimerTicks {
    /// Waits for the next tick; missed ticks are skipped.
    pub async fn tick(&mut self) {
        self.service.at(self.next).wait().await;
        self.next = self.service.now().max(self.next) + self.period;
    }
}
