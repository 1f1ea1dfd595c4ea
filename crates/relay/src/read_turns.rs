//! Fair reading of bodies that always have more data available.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Chunks of a body that are read, whatever their size, before other bodies have their turn.
const CHUNKS_PER_TURN: usize = 64;

/// Lets only one of the bodies that always have more data available be read at a time, so that the delay
/// of other tasks does not grow with their number.
#[derive(Debug, Clone)]
pub(crate) struct ReadTurns(Arc<Semaphore>);

impl Default for ReadTurns {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(1)))
    }
}

/// The turns of one body, or of the bodies that follow one another on a connection.
#[derive(Debug)]
pub(crate) struct BodyTurns {
    turns: ReadTurns,
    /// Chunks that may be read before the next turn.
    chunks_left: Cell<usize>,
    turn: RefCell<Option<OwnedSemaphorePermit>>,
}

impl BodyTurns {
    pub(crate) fn new(turns: &ReadTurns) -> Self {
        Self {
            turns: turns.clone(),
            chunks_left: Cell::new(CHUNKS_PER_TURN),
            turn: RefCell::default(),
        }
    }

    /// Waits until the next chunk may be read, and counts it.
    pub(crate) async fn await_chunk(&self) {
        if self.chunks_left.get() == 0 {
            self.end_turn();
            // Lets the runtime poll I/O events first.
            tokio::task::yield_now().await;
            let turn = Arc::clone(&self.turns.0).acquire_owned().await;
            *self.turn.borrow_mut() = turn.ok();
            self.chunks_left.set(CHUNKS_PER_TURN);
        }
        self.chunks_left.set(self.chunks_left.get() - 1);
    }

    /// Ends the turn, if the body has one; the next chunk needs another.
    pub(crate) fn end_turn(&self) {
        if self.turn.take().is_some() {
            self.chunks_left.set(0);
        }
    }

    /// Notes that there is nothing to read for now.
    pub(crate) fn drained(&self) {
        self.end_turn();
        self.chunks_left.set(CHUNKS_PER_TURN);
    }
}
