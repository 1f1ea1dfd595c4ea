//! State of one relay: configuration, endpoints, lifecycle phase and the services that request
//! handling uses.

mod capacity;
mod cold;
mod crashes;
mod endpoints;
mod reports;
mod stopping;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use policy::balance::CallBalancer;
use policy::catalog::ServiceCatalog;
use policy::cold_limit::ColdBounds;
use policy::dispatch::placement::{EndpointTarget, RunOutcome};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};
use policy::outcome::RetryReason;
use policy::rate_limit::RateTable;
use policy::retry::{BudgetLimits, BudgetTable, RetryDecision};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use self::cold::ColdLimits;
pub(crate) use self::crashes::RunFailure;
use self::stopping::StopState;
pub(crate) use self::stopping::{NOT_READY_RETRY_AFTER, RouteTrial, StopAdmission};
use crate::caller_connections::CallerConnections;
use crate::clock::BootClock;
use crate::connections::EndpointConnections;
use crate::counters::RelayCounters;
use crate::crash_registry::CrashRegistry;
use crate::dialect::WireDialect;
use crate::endpoint_gate::EndpointGate;
use crate::endpoint_view::EndpointView;
use crate::engine_reports::{EngineReports, ReportClient};
use crate::placement::{DispatcherDriver, PlacementClient};
use crate::read_turns::ReadTurns;
use crate::request::RelayRequest;
use crate::reservation::MemoryClient;

/// How often stale endpoints and idle connections are removed: short against the two seconds after
/// which an endpoint without an entry is dropped.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(200);

/// Retry budget of one instance for each plain service. The fleet's budget allows a fifth of the
/// calls plus a fixed number; the fixed part is divided among the instances.
const CALL_RETRY_LIMITS: BudgetLimits = BudgetLimits {
    earned_per_first: 150,
    saved_retries: 2,
};

/// Lifecycle phase of the instance.
#[derives::tag]
pub enum RelayPhase {
    /// No configuration has been read yet; requests are refused.
    Starting,
    /// Requests are served.
    Serving,
    /// Stop was requested: the readiness probe fails, and new requests are served that can end before
    /// the stop.
    Draining,
    /// New requests are refused; requests in flight run to their end.
    Closing,
}

/// Dependencies of a [`RelayCore`].
pub struct RelayDependencies {
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Clock for deadlines, the age of the configuration and the expiry of endpoints' entries.
    pub clock: BootClock,
    /// Translates between HTTP headers and request metadata.
    pub dialect: Rc<dyn WireDialect>,
    /// Connection pool for endpoints.
    pub connections: Rc<EndpointConnections>,
    /// The endpoints, and whether requests may go to them now.
    pub gate: Rc<EndpointGate>,
    /// Runs this instance's own dispatcher.
    pub driver: Rc<DispatcherDriver>,
    /// Sends the placement requests of this instance to a dispatcher.
    pub placement: Rc<dyn PlacementClient>,
    /// Reserves and releases memory on engines.
    pub memory: Rc<dyn MemoryClient>,
    /// Requests reports of engines.
    pub reports: Rc<dyn ReportClient>,
    /// Name of this incarnation of the instance, unique in the fleet; reservation ids and the names
    /// of runs begin with it.
    pub incarnation_name: String,
    /// Crashes of endpoints by the request that they ran.
    pub crashes: RefCell<CrashRegistry>,
    /// Time to live of a memory reservation, in milliseconds.
    pub reservation_ttl: Millis,
    /// What may arrive at a cold endpoint.
    pub cold_bounds: ColdBounds,
    /// Whether durations of calls decide where calls to plain services go.
    pub learned_capacity: bool,
}

/// Relay of one instance. Runs on a single thread.
pub struct RelayCore {
    dependencies: RelayDependencies,
    catalog: RefCell<Option<Rc<ServiceCatalog>>>,
    /// When the platform's store last confirmed that the known configuration and endpoints are
    /// current.
    confirmed_at: Cell<Millis>,
    balancers: RefCell<HashMap<PoolId, CallBalancer>>,
    engine_reports: EngineReports,
    retries: RefCell<BudgetTable<PoolId>>,
    phase: Cell<RelayPhase>,
    stop: StopState,
    caller_connections: Rc<CallerConnections>,
    /// Turns in which callers' bodies are read.
    body_turns: ReadTurns,
    /// Limits that endpoints have named in answers to this instance.
    heard_limits: RefCell<RateTable>,
    /// Evacuated failure domains, as far as they have been logged.
    logged_evacuations: RefCell<BTreeSet<DomainId>>,
    /// Limits of cold endpoints.
    cold: RefCell<ColdLimits>,
    last_request_number: Cell<u64>,
    notices_added: Notify,
    random: RefCell<SmallRng>,
    counters: RelayCounters,
}

impl RelayCore {
    /// Creates a relay without a configuration, in [`RelayPhase::Starting`].
    #[must_use]
    pub fn new(dependencies: RelayDependencies) -> Self {
        Self {
            engine_reports: EngineReports::new(Rc::clone(&dependencies.reports)),
            dependencies,
            catalog: RefCell::new(None),
            confirmed_at: Cell::new(0),
            balancers: RefCell::new(HashMap::new()),
            retries: RefCell::new(BudgetTable::new(CALL_RETRY_LIMITS)),
            phase: Cell::new(RelayPhase::Starting),
            stop: StopState::default(),
            caller_connections: Rc::default(),
            body_turns: ReadTurns::default(),
            heard_limits: RefCell::new(RateTable::new()),
            logged_evacuations: RefCell::default(),
            cold: RefCell::new(ColdLimits::new()),
            last_request_number: Cell::new(0),
            notices_added: Notify::new(),
            random: RefCell::new(SmallRng::from_os_rng()),
            counters: RelayCounters::new(),
        }
    }

    /// Current time of [`RelayCore::clock`], in milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.dependencies.clock.now()
    }

    /// Clock for deadlines, the age of the configuration and the expiry of endpoints' entries.
    #[must_use]
    pub fn clock(&self) -> &BootClock {
        &self.dependencies.clock
    }

    /// Metrics of this relay.
    #[must_use]
    pub fn counters(&self) -> &RelayCounters {
        &self.counters
    }

    /// Metrics in the Prometheus text format.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let steward_losses = i64::try_from(self.placement().steward_losses()).unwrap_or(i64::MAX);
        self.counters.steward_losses.set(steward_losses);
        let connector = self.connections().connector();
        let opened_tunnels = i64::try_from(connector.opened_tunnels()).unwrap_or(i64::MAX);
        self.counters.opened_tunnels.set(opened_tunnels);
        self.counters.is_cut_off.set(connector.is_cut_off().into());
        let driver = &self.dependencies.driver;
        let queued = i64::try_from(driver.counts().0).unwrap_or(i64::MAX);
        self.counters.queued_placements.set(queued);
        let searches = i64::try_from(driver.work().searches).unwrap_or(i64::MAX);
        self.counters.placement_searches.set(searches);
        let evacuated = self.gate().view().borrow().evacuated_domains().count();
        let evacuated = i64::try_from(evacuated).unwrap_or(i64::MAX);
        self.counters.evacuated_domains.set(evacuated);
        let refusals = i64::try_from(self.gate().evacuation_refusals()).unwrap_or(i64::MAX);
        self.counters.evacuation_refusals.set(refusals);
        self.count_reduced_endpoints();
        self.counters.render()
    }

    /// Current lifecycle phase.
    #[must_use]
    pub fn phase(&self) -> RelayPhase {
        self.phase.get()
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> i64 {
        self.counters.in_flight.get()
    }

    /// Whether answers are still being written to callers.
    #[must_use]
    pub fn has_unwritten_answers(&self) -> bool {
        self.caller_connections.has_unwritten()
    }

    pub(crate) fn body_turns(&self) -> &ReadTurns {
        &self.body_turns
    }

    pub(crate) fn caller_connections(&self) -> &Rc<CallerConnections> {
        &self.caller_connections
    }

    /// Enters another lifecycle phase.
    pub fn enter(&self, phase: RelayPhase) {
        self.phase.set(phase);
        spdlog::info!("phase changed", kv: { phase:? = phase, in_hand = self.in_flight() });
    }

    /// Configuration in force; `None` until the first one has been read.
    #[must_use]
    pub fn catalog(&self) -> Option<Rc<ServiceCatalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force; one that is not newer than the current one is ignored.
    ///
    /// Invariant: the configuration version never decreases during an incarnation of the instance.
    pub fn put_catalog(&self, catalog: ServiceCatalog) {
        let known = self.catalog.borrow().as_ref().map(|known| known.version());
        if known.is_some_and(|known| known >= catalog.version()) {
            return;
        }
        let version = catalog.version();
        self.counters
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        spdlog::info!("configuration applied", kv: {
            version = version,
            replaced = known.unwrap_or(0),
        });
        for service in catalog.services() {
            if let Some(engine) = &service.engine {
                self.dependencies
                    .driver
                    .update(|dispatcher| dispatcher.set_pool(&service.service, engine));
            }
        }
        self.retain_durations(&catalog);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.distribute_endpoints();
        if self.phase.get() == RelayPhase::Starting {
            self.enter(RelayPhase::Serving);
        }
    }

    /// Records that the store has confirmed the known configuration and endpoints as current.
    pub fn mark_current(&self) {
        self.confirmed_at.set(self.now());
    }

    /// Removes stale endpoints and idle connections periodically. Never returns.
    pub async fn run_maintenance(self: Rc<Self>) {
        loop {
            tokio::time::sleep(MAINTENANCE_PERIOD).await;
            self.update_endpoints(EndpointView::expire);
            self.log_evacuations();
            self.refresh_cold();
            self.dependencies.connections.expire();
            self.engine_reports.expire();
            self.release_statements();
            self.log_capacity_changes();
        }
    }

    /// Time since the store last confirmed the configuration, in milliseconds.
    #[must_use]
    pub fn config_age(&self) -> Millis {
        self.now().saturating_sub(self.confirmed_at.get())
    }

    pub(crate) fn dialect(&self) -> &dyn WireDialect {
        self.dependencies.dialect.as_ref()
    }

    pub(crate) fn connections(&self) -> &EndpointConnections {
        &self.dependencies.connections
    }

    /// The endpoints, and whether requests may go to them now.
    pub(crate) fn gate(&self) -> &EndpointGate {
        &self.dependencies.gate
    }

    pub(crate) fn placement(&self) -> &dyn PlacementClient {
        self.dependencies.placement.as_ref()
    }

    pub(crate) fn memory(&self) -> &Rc<dyn MemoryClient> {
        &self.dependencies.memory
    }

    pub(crate) fn reservation_ttl(&self) -> Millis {
        self.dependencies.reservation_ttl
    }

    pub(crate) fn reservation_id(&self, request_number: u64) -> String {
        format!("{}-{request_number}", self.dependencies.incarnation_name)
    }

    pub(crate) fn next_request_number(&self) -> u64 {
        self.last_request_number
            .set(self.last_request_number.get() + 1);
        self.last_request_number.get()
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
        let excluded = [excluded, &self.gate().backoffs().held()].concat();
        let mut balancers = self.balancers.borrow_mut();
        balancers
            .get_mut(service)?
            .start(&excluded, draw, self.now())
    }

    pub(crate) fn end_call(
        &self,
        service: &PoolId,
        endpoint: &EndpointId,
        outcome: RunOutcome,
        sent_at: Option<Millis>,
    ) {
        let duration = sent_at.map(|sent_at| self.now().saturating_sub(sent_at));
        if let Some(balancer) = self.balancers.borrow_mut().get_mut(service) {
            balancer.finish(endpoint, outcome, duration, self.now());
        }
    }

    pub(crate) fn count_first_attempt(&self, service: &PoolId) {
        self.retries.borrow_mut().budget(service).first_attempt();
    }

    pub(crate) fn try_spend_retry(&self, service: &PoolId) -> bool {
        self.retries.borrow_mut().budget(service).retry() == RetryDecision::Allowed
    }

    pub(crate) fn log_retry(&self, request: &RelayRequest, reason: RetryReason) {
        self.counters.retried(reason);
        spdlog::info!("request retried", kv: {
            request = request.head.request_id.as_str(),
            reason = reason.code(),
            endpoints = request.trace.endpoints_text().as_str(),
            time_left = request.time_left(self.now()),
        });
    }
}
