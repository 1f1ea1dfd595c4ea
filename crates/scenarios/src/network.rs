//! What can reach what, and how long a message takes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

/// Milliseconds that a message takes one way.
const ONE_WAY: Duration = Duration::from_millis(1);

/// Whether a message arrives.
#[derives::tag]
pub(crate) enum Passage {
    /// It does.
    Open,
    /// It does not.
    Cut,
}

/// Cuts and losses between sites; a site is a node, an engine, a service or the platform.
#[derive(Debug)]
pub(crate) struct FakeNetwork {
    cuts: RefCell<BTreeSet<(String, String)>>,
    loss_percent: Cell<u32>,
    rng: RefCell<SmallRng>,
}

impl FakeNetwork {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            cuts: RefCell::new(BTreeSet::new()),
            loss_percent: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    pub(crate) fn cut(&self, one: &str, other: &str) {
        self.cuts.borrow_mut().insert(ordered(one, other));
    }

    pub(crate) fn heal(&self) {
        self.cuts.borrow_mut().clear();
        self.loss_percent.set(0);
    }

    /// Loses this share of all messages.
    pub(crate) fn set_loss(&self, percent: u32) {
        self.loss_percent.set(percent);
    }

    pub(crate) fn passage(&self, one: &str, other: &str) -> Passage {
        if self.cuts.borrow().contains(&ordered(one, other)) {
            return Passage::Cut;
        }
        Passage::Open
    }

    /// Carries one message.
    pub(crate) async fn carry(&self, one: &str, other: &str) -> Passage {
        sleep(ONE_WAY).await;
        let loss = self.loss_percent.get();
        if loss > 0 && self.rng.borrow_mut().random_range(0..100) < loss {
            return Passage::Cut;
        }
        self.passage(one, other)
    }
}

fn ordered(one: &str, other: &str) -> (String, String) {
    if one <= other {
        return (one.to_owned(), other.to_owned());
    }
    (other.to_owned(), one.to_owned())
}
