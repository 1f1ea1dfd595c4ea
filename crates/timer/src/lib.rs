//! Timer service that other parts subscribe to, on real or virtual time.
//!
//! One service keeps all deadlines of its thread group. In the daemon [`TimerService::run`] moves
//! it on with the clock; in tests [`TimerService::advance`] does, so that a test gives the same
//! verdict every run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Milliseconds since the service was made.
pub type Millis = u64;

#[derive(Debug, Default)]
struct TimerTable {
    now: Millis,
    next_id: u64,
    waiting: BTreeMap<(Millis, u64), oneshot::Sender<()>>,
}

impl TimerTable {
    fn fire_due(&mut self) {
        let later = self.waiting.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut self.waiting, later);
        for sender in due.into_values() {
            // A subscriber that went away needs no news.
            let _ = sender.send(());
        }
    }
}

/// What drives the service's time.
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

/// A timer service; clones share it.
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
    /// A service on the runtime's clock, from zero; [`run`](Self::run) must be polled.
    ///
    /// A runtime with paused time gives virtual time that moves by itself.
    #[must_use]
    pub fn new() -> Self {
        Self::with_source(TimeSource::Clock(Instant::now()))
    }

    /// A service on virtual time, which only [`advance`](Self::advance) moves.
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

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Millis {
        match &self.shared.source {
            TimeSource::Clock(start) => {
                u64::try_from(start.elapsed().as_millis()).unwrap_or(Millis::MAX)
            }
            TimeSource::Manual => self.shared.table.lock().now,
        }
    }

    /// Subscribes to one moment; the receiver resolves when it has come.
    #[must_use]
    pub fn at(&self, moment: Millis) -> TimerWait {
        let (sender, receiver) = oneshot::channel();
        let mut table = self.shared.table.lock();
        if moment <= table.now {
            // The receiver is at hand, so that it cannot have gone.
            let _ = sender.send(());
            return TimerWait { receiver };
        }
        let id = table.next_id;
        table.next_id += 1;
        table.waiting.insert((moment, id), sender);
        drop(table);
        self.shared.changed.notify_one();
        TimerWait { receiver }
    }

    /// Subscribes to the moment `millis` from now.
    #[must_use]
    pub fn after(&self, millis: Millis) -> TimerWait {
        self.at(self.now() + millis)
    }

    /// Subscribes to every `period` milliseconds.
    #[must_use]
    pub fn every(&self, period: Millis) -> TimerTicks {
        TimerTicks {
            service: self.clone(),
            period,
            next: self.now() + period,
        }
    }

    /// Moves virtual time on and wakes the subscribers whose moment has come.
    pub fn advance(&self, millis: Millis) {
        let mut table = self.shared.table.lock();
        table.now += millis;
        table.fire_due();
    }

    /// Follows the clock for as long as it is polled.
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
        let (next, _) = table.waiting.keys().next()?;
        Some(Duration::from_millis(next.saturating_sub(now)))
    }
}

/// Resolves when its moment has come.
#[derive(Debug)]
pub struct TimerWait {
    receiver: oneshot::Receiver<()>,
}

impl TimerWait {
    /// Waits for the moment; for ever if the service has ended.
    pub async fn wait(self) {
        if self.receiver.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// A subscription to a period.
#[derive(Debug)]
pub struct TimerTicks {
    service: TimerService,
    period: Millis,
    next: Millis,
}

impl TimerTicks {
    /// Waits for the next tick; ticks that were missed are skipped.
    pub async fn tick(&mut self) {
        self.service.at(self.next).wait().await;
        self.next = self.service.now().max(self.next) + self.period;
    }
}
