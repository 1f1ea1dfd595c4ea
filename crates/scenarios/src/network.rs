//! Simulated network: latency, partitions and message loss between sites.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

/// One-way latency of every message.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);

/// Whether a message is delivered.
#[derives::tag]
pub(crate) enum Delivery {
    /// The message arrives.
    Delivered,
    /// The message is lost.
    Dropped,
}

/// Partitions and message loss between sites; a site is an instance, an engine, a service endpoint
/// or the platform.
#[derive(Debug)]
pub(crate) struct FakeNetwork {
    partitions: RefCell<BTreeSet<(String, String)>>,
    loss_percent: Cell<u32>,
    rng: RefCell<SmallRng>,
}

impl FakeNetwork {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            partitions: RefCell::new(BTreeSet::new()),
            loss_percent: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    pub(crate) fn partition(&self, one: &str, other: &str) {
        self.partitions.borrow_mut().insert(ordered(one, other));
    }

    pub(crate) fn heal(&self) {
        self.partitions.borrow_mut().clear();
        self.loss_percent.set(0);
    }

    /// Drops this percentage of all messages at random.
    pub(crate) fn set_loss(&self, percent: u32) {
        self.loss_percent.set(percent);
    }

    /// Returns `Dropped` if the two sites are partitioned from each other; ignores random loss.
    pub(crate) fn delivery(&self, one: &str, other: &str) -> Delivery {
        if self.partitions.borrow().contains(&ordered(one, other)) {
            return Delivery::Dropped;
        }
        Delivery::Delivered
    }

    /// Sends one message and waits for its latency; the message is dropped by a partition or by
    /// random loss.
    pub(crate) async fn transmit(&self, one: &str, other: &str) -> Delivery {
        sleep(ONE_WAY_LATENCY).await;
        let loss = self.loss_percent.get();
        if loss > 0 && self.rng.borrow_mut().random_range(0..100) < loss {
            return Delivery::Dropped;
        }
        self.delivery(one, other)
    }
}

fn ordered(one: &str, other: &str) -> (String, String) {
    if one <= other {
        return (one.to_owned(), other.to_owned());
    }
    (other.to_owned(), one.to_owned())
}
