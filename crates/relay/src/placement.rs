//! Placement requests: where they are sent, and the task that drives the local dispatcher.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use policy::cold_limit::ColdLimit;
use policy::dispatch::placement::{
    EndpointInfo, InFlightRun, PlacementDecision, PlacementRequest, RunKey, RunReport,
};
use policy::dispatch::{CapacityChange, DispatchLimits, DispatchWork, Dispatcher};
use policy::ids::{EndpointId, Millis, PoolId};
use policy::outcome::{Refusal, RefusalReason};
use policy::poison::Fingerprint;
use policy::rate_limit::{PermitDecision, RateNotice};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::clock::BootClock;

/// Interval of the placement rounds while requests wait: short against a pass of an engine.
const DISPATCH_PERIOD: Duration = Duration::from_millis(15);

/// Number of waiting placement requests from which the queue is logged as long, and below which it is
/// logged as short again: more than a calm fleet queues, and about what one round decides.
const LONG_QUEUE: (usize, usize) = (64, 12);

/// Retry-after of a placement request whose dispatcher dropped it, in milliseconds.
const DROPPED_RETRY_AFTER: u64 = 500;

/// Decision on a placement request. A caller that drops it must call `finish` to withdraw the
/// request.
pub type DecisionFuture = LocalBoxFuture<'static, PlacementDecision>;

/// Requests placements for the runs of this instance.
pub trait PlacementClient {
    /// Requests a placement; `number` must be new for each request.
    fn request_placement(&self, number: u64, request: PlacementRequest) -> DecisionFuture;

    /// Reports that the first event of a run has arrived.
    fn first_event(&self, number: u64);

    /// Reports the end of a run, or withdraws its placement request. Must be called exactly once
    /// for each request.
    fn finish(&self, number: u64, report: RunReport);

    /// Reports the limit that an endpoint names in its answers to this instance, to every dispatcher
    /// that decides, or may decide, for this instance.
    fn report_limit(&self, notice: &RateNotice);

    /// Reports to the stewards of this instance that an endpoint says in its answers that it leaves.
    fn report_leaving(&self, endpoint: &EndpointId);

    /// Asks for permission to send a call to a limited endpoint of a plain service.
    fn request_permit(&self, endpoint: &EndpointId) -> LocalBoxFuture<'static, PermitDecision>;

    /// Whether this instance is the one that may send a run of a request on probation.
    fn may_try(&self, fingerprint: Fingerprint) -> bool;

    /// How many times a steward was lost.
    fn steward_losses(&self) -> u64;

    /// Number of known instances of the fleet, this one included.
    fn fleet_size(&self) -> usize {
        1
    }
}

/// Owner number of the runs of the instance that runs the dispatcher.
pub const LOCAL_OWNER: u64 = 0;

/// Drives a dispatcher: runs placement rounds while requests wait, and delivers its decisions.
pub struct DispatcherDriver {
    dispatcher: RefCell<Dispatcher>,
    pending: RefCell<HashMap<RunKey, oneshot::Sender<PlacementDecision>>>,
    clock: BootClock,
    wakeup: Notify,
    /// Whether the queue has grown beyond [`LONG_QUEUE`] and has not been worked off since.
    is_queue_long: Cell<bool>,
}

impl DispatcherDriver {
    /// Creates a driver for a dispatcher without pools.
    #[must_use]
    pub fn new(limits: DispatchLimits, clock: BootClock) -> Self {
        let mut dispatcher = Dispatcher::new(limits);
        dispatcher
            .rates_mut()
            .set_phase(SmallRng::from_os_rng().random());
        Self {
            dispatcher: RefCell::new(dispatcher),
            pending: RefCell::new(HashMap::new()),
            clock,
            wakeup: Notify::new(),
            is_queue_long: Cell::new(false),
        }
    }

    /// Runs placement rounds while requests wait. Never returns.
    pub async fn run(&self) {
        loop {
            if self.dispatcher.borrow().has_queued() {
                tokio::time::sleep(DISPATCH_PERIOD).await;
                self.run_due_round();
            } else {
                self.wakeup.notified().await;
            }
        }
    }

    /// Queues a placement request and runs a round.
    pub fn request_placement(
        self: &Rc<Self>,
        key: RunKey,
        request: PlacementRequest,
    ) -> DecisionFuture {
        let refused = self
            .dispatcher
            .borrow_mut()
            .submit(key, request, self.clock.now());
        if let Some(refusal) = refused {
            return std::future::ready(PlacementDecision::Refused(refusal)).boxed_local();
        }
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(key, sender);
        self.dispatch();
        self.wakeup.notify_one();
        async move {
            let dropped = || Refusal::new(RefusalReason::Overloaded, DROPPED_RETRY_AFTER);
            receiver
                .await
                .unwrap_or_else(|_| PlacementDecision::Refused(dropped()))
        }
        .boxed_local()
    }

    /// Reports that the first event of a run has arrived.
    pub fn first_event(&self, key: RunKey) {
        self.dispatcher
            .borrow_mut()
            .first_event(key, self.clock.now());
        self.dispatch();
    }

    /// Reports the end of a run, or withdraws a placement request.
    pub fn finish(&self, key: RunKey, report: &RunReport) {
        self.pending.borrow_mut().remove(&key);
        self.dispatcher
            .borrow_mut()
            .finish(key, report, self.clock.now());
        self.dispatch();
    }

    /// Counts a run that another dispatcher has placed.
    pub fn adopt(&self, owner: u64, run: &InFlightRun) {
        self.dispatcher
            .borrow_mut()
            .adopt(owner, run, self.clock.now());
    }

    /// Drops all requests and runs of an owner.
    pub fn drop_owner(&self, owner: u64) {
        self.pending
            .borrow_mut()
            .retain(|key, _| key.owner != owner);
        self.dispatcher
            .borrow_mut()
            .drop_owner(owner, self.clock.now());
        self.dispatch();
    }

    /// Changes the dispatcher's pools and runs a round.
    pub fn update(&self, update: impl FnOnce(&mut Dispatcher)) {
        update(&mut self.dispatcher.borrow_mut());
        self.dispatch();
    }

    /// Applies what an instance heard of an endpoint's limit. Returns whether the limit changed.
    pub fn apply_limit(&self, notice: &RateNotice) -> bool {
        let now = self.clock.now();
        let rates_changed = {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.rates_mut().apply(notice, now)
        };
        if rates_changed {
            self.dispatch();
        }
        rates_changed
    }

    /// Counts a call to a limited endpoint of a plain service if the endpoint may get one now.
    pub fn request_permit(&self, endpoint: &EndpointId) -> PermitDecision {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.rates_mut().request_permit(endpoint, now)
    }

    /// Sets or ends the limit of a cold endpoint.
    pub fn set_cold(&self, endpoint: &EndpointId, limit: Option<ColdLimit>) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.rates_mut().set_cold(endpoint, limit, now);
    }

    /// Limits that endpoints have named to the dispatcher.
    #[must_use]
    pub fn limit_notices(&self) -> Vec<RateNotice> {
        let now = self.clock.now();
        self.dispatcher.borrow().rates().notices(now)
    }

    /// Sets the number of instances that the dispatcher decides for, of all `instances`.
    pub fn set_limit_share(&self, decided_for: usize, instances: usize) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.rates_mut().set_share(decided_for, instances);
    }

    /// Endpoints whose learned capacity has crossed half of their slots since the last call.
    #[must_use]
    pub fn take_capacity_changes(&self) -> Vec<CapacityChange> {
        let now = self.clock.now();
        self.dispatcher.borrow_mut().take_capacity_changes(now)
    }

    /// Number of endpoints of each pool whose learned capacity is below all their slots.
    #[must_use]
    pub fn reduced_endpoints(&self) -> Vec<(PoolId, usize)> {
        let now = self.clock.now();
        self.dispatcher.borrow().reduced_endpoints(now)
    }

    /// Replaces the endpoints of a pool.
    pub fn set_endpoints(&self, pool: &PoolId, list: &[EndpointInfo]) {
        self.update(|dispatcher| dispatcher.set_endpoints(pool, list));
    }

    /// Whether the dispatcher has any pool.
    #[must_use]
    pub fn has_pools(&self) -> bool {
        self.dispatcher.borrow().has_pools()
    }

    /// Number of waiting requests and of granted runs.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.dispatcher.borrow().counts()
    }

    /// Runs a round over all queued requests if one is due.
    fn run_due_round(&self) {
        let now = self.clock.now();
        if self.dispatcher.borrow().is_round_due(now) {
            self.run_round(Dispatcher::decide);
        }
    }

    /// Decides after a change of the queue, the runs or the endpoints.
    fn dispatch(&self) {
        self.run_round(Dispatcher::decide_after_change);
    }

    fn log_queue(&self, dispatcher: &Dispatcher, elapsed_ms: f64) {
        let (queued, placed) = dispatcher.counts();
        let (long, short) = LONG_QUEUE;
        let was_long = self.is_queue_long.get();
        let is_long = queued >= long || was_long && queued > short;
        if is_long == was_long {
            return;
        }
        self.is_queue_long.set(is_long);
        let message = if is_long {
            "placement queue is long"
        } else {
            "placement queue is short again"
        };
        spdlog::info!("{message}", kv: {
            queued = queued,
            placed = placed,
            round_ms = elapsed_ms,
            searches = dispatcher.work().searches,
        });
    }

    /// Work that the dispatcher has done so far.
    #[must_use]
    pub fn work(&self) -> DispatchWork {
        self.dispatcher.borrow().work()
    }

    fn run_round(&self, decide: impl FnOnce(&mut Dispatcher, Millis) -> DecisionList) {
        let started_at = Instant::now();
        let decisions = {
            let mut dispatcher = self.dispatcher.borrow_mut();
            let decisions = decide(&mut dispatcher, self.clock.now());
            let elapsed_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
            dispatcher.round_took(elapsed_ms, self.clock.now());
            self.log_queue(&dispatcher, elapsed_ms);
            decisions
        };
        for (key, decision) in decisions {
            let sender = self.pending.borrow_mut().remove(&key);
            if let Some(sender) = sender {
                // A requester that has gone away calls `finish` itself.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Decisions of one round.
type DecisionList = Vec<(RunKey, PlacementDecision)>;

/// Placement client that uses the local dispatcher only.
pub struct LocalPlacementClient {
    driver: Rc<DispatcherDriver>,
}

impl LocalPlacementClient {
    /// Creates a client of the dispatcher that `driver` drives.
    #[must_use]
    pub fn new(driver: Rc<DispatcherDriver>) -> Self {
        Self { driver }
    }
}

impl PlacementClient for LocalPlacementClient {
    fn request_placement(&self, number: u64, request: PlacementRequest) -> DecisionFuture {
        self.driver
            .request_placement(RunKey::new(LOCAL_OWNER, number), request)
    }

    fn first_event(&self, number: u64) {
        self.driver.first_event(RunKey::new(LOCAL_OWNER, number));
    }

    fn finish(&self, number: u64, report: RunReport) {
        self.driver
            .finish(RunKey::new(LOCAL_OWNER, number), &report);
    }

    fn report_limit(&self, notice: &RateNotice) {
        self.driver.apply_limit(notice);
    }

    fn report_leaving(&self, _endpoint: &EndpointId) {}

    fn request_permit(&self, endpoint: &EndpointId) -> LocalBoxFuture<'static, PermitDecision> {
        std::future::ready(self.driver.request_permit(endpoint)).boxed_local()
    }

    fn may_try(&self, _fingerprint: Fingerprint) -> bool {
        true
    }

    fn steward_losses(&self) -> u64 {
        0
    }
}
