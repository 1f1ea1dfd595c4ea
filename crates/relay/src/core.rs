//! What a relay knows and keeps: its configuration, its endpoints, its phase.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use policy::balance::CallBalancer;
use policy::catalog::ServiceCatalog;
use policy::dispatch::placement::{EndpointTarget, RunOutcome};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};
use policy::outcome::RetryReason;
use policy::retry::{BudgetLimits, BudgetTable, RetryDecision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::BootClock;
use crate::counters::RelayCounters;
use crate::desk::{BoardKeeper, DispatchDesk};
use crate::dialect::WireDialect;
use crate::fleet::{BeliefChange, FleetBelief};
use crate::links::EndpointLinks;
use crate::request::RelayRequest;
use crate::reservation::MemoryPort;

/// How often beliefs are looked at for their age: short against the two seconds after which a
/// missing endpoint is dropped.
const UPKEEP_PERIOD: Duration = Duration::from_millis(200);

/// Retries of calls to one plain service by one instance. The fleet's budget allows a fifth of
/// the calls and a fixed number; the fixed part is left for its instances to share.
const CALL_RETRIES: BudgetLimits = BudgetLimits {
    earned_per_first: 150,
    saved_retries: 2,
};

/// Whether the instance takes requests.
#[derives::tag]
pub enum RelayPhase {
    /// No configuration is known yet.
    Starting,
    /// It serves.
    Serving,
    /// It is stopping: what it has is brought to its end.
    Draining,
    /// It is stopping and takes no more.
    Closing,
}

/// What a relay is built from.
pub struct RelayParts {
    /// The instance's failure domain.
    pub domain: DomainId,
    /// Clock on which beliefs age.
    pub clock: BootClock,
    /// Translates heads.
    pub dialect: Rc<dyn WireDialect>,
    /// Connections to endpoints.
    pub links: EndpointLinks,
    /// This instance's board.
    pub keeper: Rc<BoardKeeper>,
    /// Where asks for a place go.
    pub desk: Rc<dyn DispatchDesk>,
    /// Orders to engines about their memory.
    pub memory: Rc<dyn MemoryPort>,
    /// Beginning of the ids of memory that this life of the instance reserves.
    pub reservation_name: String,
    /// Length of a reservation, in milliseconds.
    pub hold_time: Millis,
}

/// One instance's relay, on one thread.
pub struct RelayCore {
    parts: RelayParts,
    catalog: RefCell<Option<Rc<ServiceCatalog>>>,
    /// When the platform last confirmed the configuration.
    confirmed_at: Cell<Millis>,
    fleet: RefCell<FleetBelief>,
    balancers: RefCell<HashMap<PoolId, CallBalancer>>,
    retries: RefCell<BudgetTable<PoolId>>,
    phase: Cell<RelayPhase>,
    asks: Cell<u64>,
    random: RefCell<SmallRng>,
    counters: RelayCounters,
}

impl RelayCore {
    /// A relay that knows no configuration yet.
    #[must_use]
    pub fn new(parts: RelayParts) -> Self {
        Self {
            parts,
            catalog: RefCell::new(None),
            confirmed_at: Cell::new(0),
            fleet: RefCell::new(FleetBelief::new()),
            balancers: RefCell::new(HashMap::new()),
            retries: RefCell::new(BudgetTable::new(CALL_RETRIES)),
            phase: Cell::new(RelayPhase::Starting),
            asks: Cell::new(0),
            random: RefCell::new(SmallRng::from_os_rng()),
            counters: RelayCounters::new(),
        }
    }

    /// The time on the clock on which beliefs age.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.parts.clock.now()
    }

    /// The clock on which beliefs age.
    #[must_use]
    pub fn clock(&self) -> &BootClock {
        &self.parts.clock
    }

    /// The metrics.
    #[must_use]
    pub fn counters(&self) -> &RelayCounters {
        &self.counters
    }

    /// The metrics in the Prometheus text format.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let losses = i64::try_from(self.desk().losses()).unwrap_or(i64::MAX);
        self.counters.steward_losses.set(losses);
        self.counters.render()
    }

    /// Whether the instance takes requests.
    #[must_use]
    pub fn phase(&self) -> RelayPhase {
        self.phase.get()
    }

    /// Requests in hand.
    #[must_use]
    pub fn in_hand(&self) -> i64 {
        self.counters.in_hand.get()
    }

    /// Moves on to another phase.
    pub fn enter(&self, phase: RelayPhase) {
        self.phase.set(phase);
        spdlog::info!("phase", kv: { phase:? = phase, in_hand = self.in_hand() });
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Rc<ServiceCatalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force, unless a newer one is.
    ///
    /// Invariant: the version never goes down in one life of the instance.
    pub fn put_catalog(&self, catalog: ServiceCatalog) {
        let known = self.catalog.borrow().as_ref().map(|known| known.version());
        if known.is_some_and(|known| known >= catalog.version()) {
            return;
        }
        let version = catalog.version();
        self.counters
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        spdlog::info!("configuration", kv: {
            version = version,
            replaced = known.unwrap_or(0),
        });
        for service in catalog.services() {
            if let Some(engine) = &service.engine {
                self.parts
                    .keeper
                    .change(|board| board.set_pool(&service.service, engine));
            }
        }
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.spread_endpoints();
        if self.phase.get() == RelayPhase::Starting {
            self.enter(RelayPhase::Serving);
        }
    }

    /// The platform has confirmed that what is known of it is current.
    pub fn confirm(&self) {
        self.confirmed_at.set(self.now());
    }

    /// Lets beliefs age and closes idle connections, for as long as it is polled.
    pub async fn run_upkeep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(UPKEEP_PERIOD).await;
            self.change_fleet(FleetBelief::expire);
            self.parts.links.expire();
        }
    }

    /// Age of the configuration.
    #[must_use]
    pub fn config_age(&self) -> Millis {
        self.now().saturating_sub(self.confirmed_at.get())
    }

    /// Changes what is believed of the endpoints.
    pub fn change_fleet(&self, change: impl FnOnce(&mut FleetBelief, Millis) -> BeliefChange) {
        let now = self.now();
        let changed = change(&mut self.fleet.borrow_mut(), now);
        if changed == BeliefChange::Changed {
            self.spread_endpoints();
        }
    }

    /// Hands the endpoints to those that choose among them.
    fn spread_endpoints(&self) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let fleet = self.fleet.borrow();
        let count = i64::try_from(fleet.len()).unwrap_or(i64::MAX);
        self.counters.endpoints.set(count);
        for service in catalog.services() {
            let list = fleet.of_pool(&service.service);
            if service.engine.is_some() {
                self.parts.keeper.set_endpoints(&service.service, &list);
                continue;
            }
            let mut balancers = self.balancers.borrow_mut();
            let balancer = balancers
                .entry(service.service.clone())
                .or_insert_with(|| CallBalancer::new(self.parts.domain.clone()));
            balancer.set_endpoints(&list);
        }
    }

    /// Endpoints believed in that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        self.fleet.borrow().unlisted(listed)
    }

    /// Whether an endpoint is known to be leaving or gone.
    pub(crate) fn is_departed(&self, endpoint: &EndpointId) -> bool {
        self.fleet.borrow().is_departed(endpoint)
    }

    pub(crate) fn dialect(&self) -> &dyn WireDialect {
        self.parts.dialect.as_ref()
    }

    pub(crate) fn links(&self) -> &EndpointLinks {
        &self.parts.links
    }

    pub(crate) fn desk(&self) -> &dyn DispatchDesk {
        self.parts.desk.as_ref()
    }

    pub(crate) fn memory(&self) -> &Rc<dyn MemoryPort> {
        &self.parts.memory
    }

    pub(crate) fn hold_time(&self) -> Millis {
        self.parts.hold_time
    }

    pub(crate) fn reservation_id(&self, ask: u64) -> String {
        format!("{}-{ask}", self.parts.reservation_name)
    }

    pub(crate) fn next_ask(&self) -> u64 {
        self.asks.set(self.asks.get() + 1);
        self.asks.get()
    }

    pub(crate) fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    pub(crate) fn start_call(
        &self,
        service: &PoolId,
        excluded: &[EndpointId],
    ) -> Option<EndpointTarget> {
        let draw = self.draw();
        let mut balancers = self.balancers.borrow_mut();
        balancers
            .get_mut(service)?
            .start(excluded, draw, self.now())
    }

    pub(crate) fn end_call(&self, service: &PoolId, endpoint: &EndpointId, end: RunOutcome) {
        if let Some(balancer) = self.balancers.borrow_mut().get_mut(service) {
            balancer.finish(endpoint, end, self.now());
        }
    }

    pub(crate) fn count_first(&self, service: &PoolId) {
        self.retries.borrow_mut().budget(service).first_attempt();
    }

    pub(crate) fn take_retry(&self, service: &PoolId) -> bool {
        self.retries.borrow_mut().budget(service).retry() == RetryDecision::Allowed
    }

    pub(crate) fn log_retry(&self, request: &RelayRequest, reason: RetryReason) {
        self.counters.retried(reason);
        spdlog::info!("retry", kv: {
            request = request.head.request.as_str(),
            reason = reason.code(),
            endpoints = request.story.endpoints_text().as_str(),
            time_left = request.time_left(self.now()),
        });
    }
}
