//! Eras of the platform's store: a new one begins when it comes back from an older copy of itself.

use std::cell::Cell;

use tokio::sync::Notify;

/// The newest era of the store that this instance has learned of, shared by all parts that call it.
///
/// Invariant: the known era never falls.
#[derive(Debug, Default)]
pub struct StoreEra {
    /// Zero until one is stated.
    known: Cell<u64>,
    has_risen: Cell<bool>,
    risen: Notify,
}

/// How a stated era compares with the known one.
#[derives::tag]
pub enum EraChange {
    /// It is the known one, or the first one.
    Same,
    /// The store has come back from a copy.
    Risen,
    /// The statement is older than what is known.
    Fallen,
}

impl StoreEra {
    /// Creates the state of a store that has not stated its era.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest known era; zero if none was stated.
    #[must_use]
    pub fn known(&self) -> u64 {
        self.known.get()
    }

    /// Whether the store has come back from a copy since this instance learned of its first era.
    #[must_use]
    pub fn has_risen(&self) -> bool {
        self.has_risen.get()
    }

    /// Records an era that an answer states; zero if it states none.
    pub fn observe(&self, era: u64) -> EraChange {
        let known = self.known.get();
        if era == known || era == 0 {
            return EraChange::Same;
        }
        if era < known {
            return EraChange::Fallen;
        }
        self.known.set(era);
        self.has_risen.set(self.has_risen.get() || known != 0);
        self.risen.notify_waiters();
        if known == 0 {
            return EraChange::Same;
        }
        EraChange::Risen
    }

    /// Waits until a newer era than `era` is known.
    pub async fn wait_above(&self, era: u64) {
        loop {
            let risen = self.risen.notified();
            if self.known.get() > era {
                return;
            }
            risen.await;
        }
    }
}
