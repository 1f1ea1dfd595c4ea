//! Where asks for a place go.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use policy::dispatch::placement::{
    EndpointInfo, InFlightRun, PlacementDecision, PlacementRequest, RunKey, RunReport,
};
use policy::dispatch::{DispatchLimits, Dispatcher};
use policy::ids::PoolId;
use policy::outcome::{Refusal, RefusalReason};
use tokio::sync::{Notify, oneshot};

use crate::clock::BootClock;

/// Time between two rounds while asks wait: short against a pass of an engine.
const ROUND_PERIOD: Duration = Duration::from_millis(15);

/// Return time of an ask whose board has ended, in milliseconds.
const ENDED_RETURN: u64 = 500;

/// The answer to an ask. Dropping it withdraws the ask.
pub type VerdictFuture = LocalBoxFuture<'static, PlacementDecision>;

/// Decides where the requests of this instance go.
pub trait DispatchDesk {
    /// Asks for a place; `number` is new for each ask.
    fn ask(&self, number: u64, work: PlacementRequest) -> VerdictFuture;

    /// The first event of a run has come.
    fn first_event(&self, number: u64);

    /// A run has ended, or its ask is not wanted any more. Every ask is finished once.
    fn finish(&self, number: u64, report: RunReport);

    /// How often the steward was lost.
    fn losses(&self) -> u64;
}

/// Owner number of the board's own instance.
pub const OWN_SESSION: u64 = 0;

/// Keeps a board: carries its verdicts to those that asked and moves it on while asks wait.
pub struct BoardKeeper {
    board: RefCell<Dispatcher>,
    answers: RefCell<HashMap<RunKey, oneshot::Sender<PlacementDecision>>>,
    clock: BootClock,
    waiting: Notify,
}

impl BoardKeeper {
    /// Keeps an empty board.
    #[must_use]
    pub fn new(limits: DispatchLimits, clock: BootClock) -> Self {
        Self {
            board: RefCell::new(Dispatcher::new(limits)),
            answers: RefCell::new(HashMap::new()),
            clock,
            waiting: Notify::new(),
        }
    }

    /// Moves the board on while asks wait, for as long as it is polled.
    pub async fn run(&self) {
        loop {
            if self.board.borrow().has_queued() {
                tokio::time::sleep(ROUND_PERIOD).await;
                self.round();
            } else {
                self.waiting.notified().await;
            }
        }
    }

    /// Takes an ask of an owner.
    pub fn ask(self: &Rc<Self>, key: RunKey, work: PlacementRequest) -> VerdictFuture {
        let refused = self.board.borrow_mut().submit(key, work, self.clock.now());
        if let Some(refusal) = refused {
            return std::future::ready(PlacementDecision::Refused(refusal)).boxed_local();
        }
        let (sender, receiver) = oneshot::channel();
        self.answers.borrow_mut().insert(key, sender);
        self.round();
        self.waiting.notify_one();
        async move {
            let ended = || Refusal::new(RefusalReason::Overloaded, ENDED_RETURN);
            receiver
                .await
                .unwrap_or_else(|_| PlacementDecision::Refused(ended()))
        }
        .boxed_local()
    }

    /// The first event of a run has come.
    pub fn first_event(&self, key: RunKey) {
        self.board.borrow_mut().first_event(key, self.clock.now());
        self.round();
    }

    /// A run has ended or its ask is not wanted any more.
    pub fn finish(&self, key: RunKey, report: &RunReport) {
        self.answers.borrow_mut().remove(&key);
        self.board
            .borrow_mut()
            .finish(key, report, self.clock.now());
        self.round();
    }

    /// Counts a run that another board has placed.
    pub fn adopt(&self, owner: u64, held: &InFlightRun) {
        self.board.borrow_mut().adopt(owner, held, self.clock.now());
    }

    /// Forgets an owner.
    pub fn drop_owner(&self, owner: u64) {
        self.answers
            .borrow_mut()
            .retain(|key, _| key.owner != owner);
        self.board.borrow_mut().drop_owner(owner, self.clock.now());
        self.round();
    }

    /// Changes what the board knows of its pools.
    pub fn change(&self, change: impl FnOnce(&mut Dispatcher)) {
        change(&mut self.board.borrow_mut());
        self.round();
    }

    /// Replaces what is known of a pool's endpoints.
    pub fn set_endpoints(&self, pool: &PoolId, list: &[EndpointInfo]) {
        self.change(|board| board.set_endpoints(pool, list));
    }

    /// Whether the board knows any pool.
    #[must_use]
    pub fn has_pools(&self) -> bool {
        self.board.borrow().has_pools()
    }

    /// Asks that wait and runs that have a place.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.board.borrow().counts()
    }

    fn round(&self) {
        let verdicts = self.board.borrow_mut().decide(self.clock.now());
        for (key, verdict) in verdicts {
            let sender = self.answers.borrow_mut().remove(&key);
            if let Some(sender) = sender {
                // An asker that is gone finishes its ask itself.
                let _ = sender.send(verdict);
            }
        }
    }
}

/// A desk that decides alone, on this instance's own board.
pub struct LocalDesk {
    keeper: Rc<BoardKeeper>,
}

impl LocalDesk {
    /// Asks this keeper's board.
    #[must_use]
    pub fn new(keeper: Rc<BoardKeeper>) -> Self {
        Self { keeper }
    }
}

impl DispatchDesk for LocalDesk {
    fn ask(&self, number: u64, work: PlacementRequest) -> VerdictFuture {
        self.keeper.ask(RunKey::new(OWN_SESSION, number), work)
    }

    fn first_event(&self, number: u64) {
        self.keeper.first_event(RunKey::new(OWN_SESSION, number));
    }

    fn finish(&self, number: u64, report: RunReport) {
        self.keeper
            .finish(RunKey::new(OWN_SESSION, number), &report);
    }

    fn losses(&self) -> u64 {
        0
    }
}
