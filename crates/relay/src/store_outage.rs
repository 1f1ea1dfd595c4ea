//! Outages of the platform's store: how this instance paces its calls, and who learns of the end.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use policy::cast::{f64_to_u64, u64_to_f64};
use policy::ids::Millis;
use policy::notice_times::{FOLLOWER_DELAY, PROBER_DELAY};
use policy::retry_delay::{DelayRange, RetryDelay};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time over which the parts of all instances spread their calls once the store answers again, in
/// milliseconds: members' entries have to be back within about two seconds.
const RETURN_SPREAD: Millis = 1_000;

/// Whether the platform's store answers, as the part of this instance that watches it has found.
/// The other parts learn of its return here instead of trying the store themselves.
#[derive(Debug)]
pub struct StoreOutage {
    is_away: Cell<bool>,
    ended: Notify,
    random: RefCell<SmallRng>,
}

impl Default for StoreOutage {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreOutage {
    /// Creates the state of a store that has not failed yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            is_away: Cell::new(false),
            ended: Notify::new(),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Whether the store was away at the last call.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.is_away.get()
    }

    /// Records that the store does not answer. Returns whether an outage begins.
    pub fn begin(&self) -> bool {
        !self.is_away.replace(true)
    }

    /// Records that the store answers. Returns whether an outage ends.
    pub fn end(&self) -> bool {
        let has_ended = self.is_away.replace(false);
        if has_ended {
            self.ended.notify_waiters();
        }
        has_ended
    }

    /// Waits for the next of `delays`, or, if the outage ends before that, for a random part of
    /// [`RETURN_SPREAD`].
    pub async fn wait(&self, delays: &mut RetryDelay) {
        let delay = Duration::from_millis(delays.next(self.draw()));
        if timeout(delay, self.ended.notified()).await.is_ok() {
            self.spread().await;
        }
    }

    /// Waits for a random part of [`RETURN_SPREAD`], so that not all instances call at once.
    pub async fn spread(&self) {
        let spread = f64_to_u64(u64_to_f64(RETURN_SPREAD) * self.draw());
        tokio::time::sleep(Duration::from_millis(spread)).await;
    }

    /// The next of `delays`, for a part that looks for the end of the outage itself.
    pub fn next_delay(&self, delays: &mut RetryDelay) -> Duration {
        Duration::from_millis(delays.next(self.draw()))
    }

    fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }
}

/// Delays of a part that looks for the end of an outage for others.
#[must_use]
pub fn prober_delay() -> RetryDelay {
    RetryDelay::new(PROBER_DELAY)
}

/// Delays of a part that is told of the end of an outage, and tries the store itself only in case
/// nobody tells it.
#[must_use]
pub fn informed_delay() -> RetryDelay {
    RetryDelay::new(DelayRange {
        shortest: 300,
        longest: 4_000,
    })
}

/// Delay until a follower's first own call while its readers decline.
#[must_use]
pub fn first_follower_delay() -> RetryDelay {
    RetryDelay::new(FOLLOWER_DELAY)
}

/// Delays of a follower whose readers decline, after its own calls have failed too: the readers tell it
/// of the end of the outage.
#[must_use]
pub fn later_follower_delay() -> RetryDelay {
    RetryDelay::new(DelayRange {
        shortest: 1_000,
        longest: 4_000,
    })
}
