//! State of one relay: configuration, endpoints, lifecycle phase and the services that request
//! handling uses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use policy::backoff::BackoffTable;
use policy::balance::CallBalancer;
use policy::catalog::ServiceCatalog;
use policy::dispatch::placement::{EndpointState, EndpointTarget, PlacementGrant, RunOutcome};
use policy::ids::{DomainId, EndpointId, Millis, PoolId};
use policy::outcome::{Refusal, RefusalReason, RetryReason};
use policy::part_blame::{BlameChange, RunProgress};
use policy::poison::{CrashReport, Fingerprint};
use policy::prompt_part::parts_text;
use policy::rate_limit::{RateNotice, RateTable, RequestRate};
use policy::retry::{BudgetLimits, BudgetTable, RetryDecision};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::clock::BootClock;
use crate::connections::EndpointConnections;
use crate::counters::RelayCounters;
use crate::crash_registry::{CrashNotice, CrashRegistry, QuarantineCause};
use crate::dialect::WireDialect;
use crate::endpoint_view::{EndpointView, ViewChange};
use crate::placement::{DispatcherDriver, PlacementClient};
use crate::placement_router::EndpointListener;
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

/// Silence of an endpoint after which a run that its caller abandons counts as silent, in
/// milliseconds.
const ABANDONED_SILENCE: Millis = 1_000;

/// Lifecycle phase of the instance.
#[derives::tag]
pub enum RelayPhase {
    /// No configuration has been read yet; requests are refused.
    Starting,
    /// Requests are served.
    Serving,
    /// Stop was requested: the readiness probe fails, and new requests are still served.
    Draining,
    /// New requests are refused; requests in flight run to their end.
    Closing,
}

/// How a run that was sent ended without a whole answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunFailure {
    pub(crate) outcome: RunOutcome,
    pub(crate) reason: RetryReason,
    /// What the run had written.
    pub(crate) progress: RunProgress,
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
    /// Runs this instance's own dispatcher.
    pub driver: Rc<DispatcherDriver>,
    /// Sends the placement requests of this instance to a dispatcher.
    pub placement: Rc<dyn PlacementClient>,
    /// Reserves and releases memory on engines.
    pub memory: Rc<dyn MemoryClient>,
    /// Name of this incarnation of the instance, unique in the fleet; reservation ids and the names
    /// of runs begin with it.
    pub incarnation_name: String,
    /// Crashes of endpoints by the request that they ran.
    pub crashes: RefCell<CrashRegistry>,
    /// Time to live of a memory reservation, in milliseconds.
    pub reservation_ttl: Millis,
}

/// Relay of one instance. Runs on a single thread.
pub struct RelayCore {
    dependencies: RelayDependencies,
    catalog: RefCell<Option<Rc<ServiceCatalog>>>,
    /// When the platform's store last confirmed that the known configuration and endpoints are
    /// current.
    confirmed_at: Cell<Millis>,
    endpoint_view: RefCell<EndpointView>,
    balancers: RefCell<HashMap<PoolId, CallBalancer>>,
    retries: RefCell<BudgetTable<PoolId>>,
    phase: Cell<RelayPhase>,
    /// Limits that endpoints have named in answers to this instance.
    heard_limits: RefCell<RateTable>,
    /// Endpoints that want no requests from this instance for a time.
    backoffs: RefCell<BackoffTable>,
    last_request_number: Cell<u64>,
    notices_added: Notify,
    random: RefCell<SmallRng>,
    counters: RelayCounters,
}

impl EndpointListener for RelayCore {
    fn endpoint_leaves(&self, endpoint: &EndpointId) {
        self.mark_leaving(endpoint, "member");
    }
}

impl RelayCore {
    /// Creates a relay without a configuration, in [`RelayPhase::Starting`].
    #[must_use]
    pub fn new(dependencies: RelayDependencies) -> Self {
        Self {
            dependencies,
            catalog: RefCell::new(None),
            confirmed_at: Cell::new(0),
            endpoint_view: RefCell::new(EndpointView::new()),
            balancers: RefCell::new(HashMap::new()),
            retries: RefCell::new(BudgetTable::new(CALL_RETRY_LIMITS)),
            phase: Cell::new(RelayPhase::Starting),
            heard_limits: RefCell::new(RateTable::new()),
            backoffs: RefCell::new(BackoffTable::new()),
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
            self.dependencies.connections.expire();
        }
    }

    /// Time since the store last confirmed the configuration, in milliseconds.
    #[must_use]
    pub fn config_age(&self) -> Millis {
        self.now().saturating_sub(self.confirmed_at.get())
    }

    /// Applies `change` to the view of the endpoints and distributes the endpoints if the view
    /// changed.
    pub fn update_endpoints(&self, change: impl FnOnce(&mut EndpointView, Millis) -> ViewChange) {
        let now = self.now();
        let changed = change(&mut self.endpoint_view.borrow_mut(), now);
        if changed == ViewChange::Changed {
            self.distribute_endpoints();
            self.attribute_losses(now);
        }
    }

    /// Attributes the loss of endpoints to the runs that fell silent on them.
    fn attribute_losses(&self, now: Millis) {
        let endpoint_view = self.endpoint_view.borrow();
        self.attribute_loss(|endpoint| endpoint_view.is_lost(endpoint), now);
    }

    /// Records that the incarnation `endpoint` of an endpoint is found to be gone: nobody reaches it,
    /// or another incarnation answers at its address. Runs that fell silent on it are attributed to
    /// the loss before its entry expires, unless it was known to be leaving.
    pub(crate) fn endpoint_gone(&self, endpoint: &EndpointId) {
        if !self.is_departed(endpoint) {
            self.attribute_loss(|lost| lost == endpoint, self.now());
        }
    }

    fn attribute_loss(&self, is_lost: impl Fn(&EndpointId) -> bool, now: Millis) {
        let mut crashes = self.dependencies.crashes.borrow_mut();
        let attributed = crashes.endpoints_lost(is_lost, now);
        for crash in &attributed {
            let fingerprint = crash.report.fingerprint;
            spdlog::info!("endpoint lost under a run", kv: {
                fingerprint = fingerprint.to_string().as_str(),
                endpoint = crash.report.endpoint.as_str(),
                crashes = crashes.crashes(fingerprint, now).0,
            });
        }
        self.announce_notices(&crashes);
        Self::log_blame_changes(&mut crashes);
    }

    /// Passes the current endpoints to the dispatcher and to the balancers of plain services.
    fn distribute_endpoints(&self) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let endpoint_view = self.endpoint_view.borrow();
        let connector = self.connections().connector();
        connector.set_endpoints(endpoint_view.len(), |endpoint| {
            endpoint_view.target(endpoint).is_some()
        });
        let count = i64::try_from(endpoint_view.len()).unwrap_or(i64::MAX);
        self.counters.endpoints.set(count);
        for service in catalog.services() {
            let list = endpoint_view.in_pool(&service.service);
            if service.engine.is_some() {
                self.dependencies
                    .driver
                    .set_endpoints(&service.service, &list);
                continue;
            }
            let mut balancers = self.balancers.borrow_mut();
            let balancer = balancers
                .entry(service.service.clone())
                .or_insert_with(|| CallBalancer::new(self.dependencies.domain.clone()));
            balancer.set_endpoints(&list);
        }
    }

    /// Known endpoints that are not in `listed`.
    #[must_use]
    pub fn unlisted(&self, listed: &[EndpointId]) -> Vec<EndpointId> {
        self.endpoint_view.borrow().unlisted(listed)
    }

    /// Id and address of a known endpoint.
    pub(crate) fn endpoint_target(&self, endpoint: &EndpointId) -> Option<EndpointTarget> {
        self.endpoint_view.borrow().target(endpoint)
    }

    /// Up to `count` known endpoints other than `endpoint`, chosen at random.
    pub(crate) fn other_targets(&self, endpoint: &EndpointId, count: usize) -> Vec<EndpointTarget> {
        let endpoint_view = self.endpoint_view.borrow();
        let mut random = self.random.borrow_mut();
        let others = endpoint_view
            .targets()
            .filter(|other| other.endpoint != *endpoint);
        others.cloned().choose_multiple(&mut *random, count)
    }

    /// The grant with the addresses in this instance's own entries of the endpoints, which may be
    /// newer than those of the dispatcher.
    pub(crate) fn with_own_addresses(&self, mut grant: PlacementGrant) -> PlacementGrant {
        let helpers = grant.helpers.iter_mut().map(|helper| &mut helper.target);
        for target in std::iter::once(&mut grant.host).chain(helpers) {
            if let Some(known) = self.endpoint_target(&target.endpoint) {
                target.address = known.address;
            }
        }
        grant
    }

    /// Whether the endpoint is leaving or was removed recently.
    pub(crate) fn is_departed(&self, endpoint: &EndpointId) -> bool {
        self.endpoint_view.borrow().is_departed(endpoint)
    }

    pub(crate) fn dialect(&self) -> &dyn WireDialect {
        self.dependencies.dialect.as_ref()
    }

    pub(crate) fn connections(&self) -> &EndpointConnections {
        &self.dependencies.connections
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
        let excluded = [excluded, &self.held_endpoints()].concat();
        let mut balancers = self.balancers.borrow_mut();
        balancers
            .get_mut(service)?
            .start(&excluded, draw, self.now())
    }

    /// Endpoints of a plain service or of engines to which this instance sends nothing now, because
    /// they said so.
    pub(crate) fn held_endpoints(&self) -> Vec<EndpointId> {
        self.backoffs.borrow().held(self.now())
    }

    /// Whether this instance sends nothing to the endpoint now.
    pub(crate) fn is_held(&self, endpoint: &EndpointId) -> bool {
        self.backoffs.borrow().holds(endpoint, self.now())
    }

    /// Time until the first endpoint of `pool` takes requests again, if all that are left are held.
    pub(crate) fn backoff_wait(&self, pool: &PoolId) -> Option<Millis> {
        let listed = self.endpoint_view.borrow().in_pool(pool);
        let is_usable = |endpoint: &EndpointId| {
            let info = listed.iter().find(|info| info.target.endpoint == *endpoint);
            info.is_some_and(|info| info.state == EndpointState::Ready)
        };
        self.backoffs.borrow().shortest_wait(is_usable, self.now())
    }

    /// Records that an endpoint refused a request of this instance and wants none for a time.
    pub(crate) fn heard_backoff(&self, endpoint: &EndpointId, retry_after: Millis) {
        let now = self.now();
        let held = self
            .backoffs
            .borrow_mut()
            .record(endpoint, retry_after, now);
        spdlog::info!("endpoint wants no requests for a time", kv: {
            endpoint = endpoint.as_str(),
            retry_after = retry_after,
            held = held,
        });
    }

    pub(crate) fn end_call(&self, service: &PoolId, endpoint: &EndpointId, outcome: RunOutcome) {
        if let Some(balancer) = self.balancers.borrow_mut().get_mut(service) {
            balancer.finish(endpoint, outcome, self.now());
        }
    }

    pub(crate) fn count_first_attempt(&self, service: &PoolId) {
        self.retries.borrow_mut().budget(service).first_attempt();
    }

    pub(crate) fn try_spend_retry(&self, service: &PoolId) -> bool {
        self.retries.borrow_mut().budget(service).retry() == RetryDecision::Allowed
    }

    /// Refuses a request that has crashed too many endpoints, or with a part that has.
    pub(crate) fn check_quarantine(&self, request: &RelayRequest) -> Result<(), Refusal> {
        let now = self.now();
        let crashes = self.dependencies.crashes.borrow();
        let parts = &request.head.shared_parts;
        match crashes.quarantine_cause(request.fingerprint(), parts, now) {
            Some(cause) => Err(Self::quarantine_refusal(&crashes, request, cause, now)),
            None => Ok(()),
        }
    }

    /// Refuses a run that is about to be sent if its request, or a part of its prompt, has crashed
    /// too many endpoints. A run on probation counts as sent.
    pub(crate) fn admit_run(&self, request: &RelayRequest) -> Result<(), Refusal> {
        let now = self.now();
        let parts = &request.head.shared_parts;
        let may_try = |hash| self.placement().may_try(Fingerprint(hash));
        let mut crashes = self.dependencies.crashes.borrow_mut();
        match crashes.admit(request.fingerprint(), parts, may_try, now) {
            Some(cause) => Err(Self::quarantine_refusal(&crashes, request, cause, now)),
            None => Ok(()),
        }
    }

    /// Name of this incarnation of the instance, unique in the fleet.
    #[must_use]
    pub fn incarnation_name(&self) -> &str {
        &self.dependencies.incarnation_name
    }

    /// Wakes the task that shares crash notices if there are any.
    fn announce_notices(&self, crashes: &CrashRegistry) {
        if crashes.has_unshared() {
            self.notices_added.notify_one();
        }
    }

    /// Waits until there are crash notices to share.
    pub async fn crash_notices_added(&self) {
        self.notices_added.notified().await;
    }

    /// Takes up to `count` crash notices that other instances have yet to learn, the oldest first.
    #[must_use]
    pub fn take_crash_notices(&self, count: usize) -> Vec<CrashNotice> {
        self.dependencies.crashes.borrow_mut().take_unshared(count)
    }

    /// Applies crash notices of the instance `writer`.
    pub fn apply_crash_notices(&self, notices: &[CrashNotice], writer: &str) {
        let now = self.now();
        let mut crashes = self.dependencies.crashes.borrow_mut();
        for notice in notices {
            let is_new = crashes.apply(notice, now);
            let (fingerprint, endpoint) = match notice {
                CrashNotice::Crashed(crash) => {
                    (crash.report.fingerprint, crash.report.endpoint.as_str())
                }
                CrashNotice::Served(fingerprint) => (*fingerprint, ""),
                CrashNotice::Written(_) => continue,
            };
            // Each instance learns of each crash. A single one decides nothing, and its own instance
            // logs it.
            if !is_new || crashes.crashes(fingerprint, now).0 <= 1 {
                continue;
            }
            spdlog::info!("crash notice applied", kv: {
                fingerprint = fingerprint.to_string().as_str(),
                endpoint = endpoint,
                writer = writer,
                crashes = crashes.crashes(fingerprint, now).0,
            });
        }
        Self::log_blame_changes(&mut crashes);
    }

    fn quarantine_refusal(
        crashes: &CrashRegistry,
        request: &RelayRequest,
        cause: QuarantineCause,
        now: Millis,
    ) -> Refusal {
        let (count, age) = crashes.crashes_behind(cause, request.fingerprint(), now);
        let part = match cause {
            QuarantineCause::Request => String::new(),
            QuarantineCause::Part(part) => part.to_string(),
        };
        spdlog::info!("run refused by quarantine", kv: {
            request = request.head.request_id.as_str(),
            fingerprint = request.fingerprint().to_string().as_str(),
            part = part.as_str(),
            crashes = count,
            age = age,
        });
        Refusal::new(RefusalReason::Quarantined, request.time_left(now))
    }

    /// Logs the parts of prompts that are quarantined since the last call, or no longer.
    fn log_blame_changes(crashes: &mut CrashRegistry) {
        for change in crashes.take_blame_changes() {
            match change {
                BlameChange::Blamed(part, count) => {
                    spdlog::warn!("prompt part quarantined", kv: {
                        part = part.to_string().as_str(),
                        crashes = count,
                    });
                }
                BlameChange::Cleared(part) => {
                    spdlog::info!("prompt part cleared", kv: { part = part.to_string().as_str() });
                }
            }
        }
    }

    /// Records that an endpoint has said in an answer to this instance that it leaves, and tells the
    /// stewards.
    pub(crate) fn heard_leaving(&self, endpoint: &EndpointId) {
        if self.mark_leaving(endpoint, "answer") == ViewChange::Changed {
            self.placement().report_leaving(endpoint);
        }
    }

    fn mark_leaving(&self, endpoint: &EndpointId, heard_from: &str) -> ViewChange {
        let mut change = ViewChange::Same;
        self.update_endpoints(|view, _| {
            change = view.mark_leaving(endpoint);
            change
        });
        if change == ViewChange::Changed {
            spdlog::info!("endpoint says that it leaves", kv: {
                endpoint = endpoint.as_str(),
                heard_from = heard_from,
            });
        }
        change
    }

    /// Whether the endpoint has named a limit in an answer to this instance.
    pub(crate) fn is_limited(&self, endpoint: &EndpointId) -> bool {
        self.heard_limits.borrow().rate(endpoint).is_some()
    }

    /// Records the limit that an endpoint names, or does not name, in its answer to a request that
    /// was sent at `sent_at`. Only the answer to a request that was sent after the limit was last
    /// heard of can end it.
    pub(crate) fn heard_limit(
        &self,
        endpoint: &EndpointId,
        rate: Option<RequestRate>,
        sent_at: Millis,
    ) {
        let known = self.heard_limits.borrow().heard_at(endpoint);
        let is_news = match (rate, known) {
            (Some(_), _) => true,
            (None, Some(heard_at)) => sent_at > heard_at,
            (None, None) => false,
        };
        if !is_news {
            return;
        }
        let notice = RateNotice {
            endpoint: endpoint.clone(),
            rate,
            age: 0,
        };
        self.placement().report_limit(&notice);
        if self.heard_limits.borrow_mut().apply(&notice, self.now()) {
            spdlog::info!("endpoint changed its limit", kv: {
                endpoint = endpoint.as_str(),
                per_second = rate.map_or(-1.0, RequestRate::per_second),
            });
        }
    }

    /// Records a run that was sent and ended without a whole answer. The logged fingerprint connects
    /// the runs of one request across attempts and instances. A run that had written is no evidence
    /// against its request: what it crashes, it crashes at the beginning.
    pub(crate) fn run_failed(
        &self,
        request: &RelayRequest,
        endpoint: &EndpointId,
        failure: RunFailure,
    ) {
        let RunFailure {
            outcome,
            reason,
            progress,
        } = failure;
        let fingerprint = request.fingerprint();
        let now = self.now();
        let mut crashes = self.dependencies.crashes.borrow_mut();
        let report = CrashReport {
            fingerprint,
            endpoint: endpoint.clone(),
        };
        let is_lost = self.endpoint_view.borrow().is_lost(endpoint);
        let parts = &request.head.shared_parts;
        let has_written = progress.has_written(now);
        match outcome {
            _ if has_written => {}
            RunOutcome::Broken if reason == RetryReason::StreamClosed => {
                crashes.run_broke(report, parts, now);
            }
            RunOutcome::Silent if is_lost => crashes.run_broke(report, parts, now),
            RunOutcome::Silent => crashes.run_fell_silent(report, parts, now),
            _ => {}
        }
        Self::log_blame_changes(&mut crashes);
        self.announce_notices(&crashes);
        spdlog::info!("run failed", kv: {
            request = request.head.request_id.as_str(),
            fingerprint = fingerprint.to_string().as_str(),
            endpoint = endpoint.as_str(),
            outcome:? = outcome,
            reason = reason.code(),
            events = request.trace.events.get(),
            had_written = has_written,
            parts = parts_text(&request.head.shared_parts).as_str(),
            crashes = crashes.crashes(fingerprint, now).0,
            steward_losses = self.placement().steward_losses(),
        });
    }

    /// Records that a caller disconnected during a run whose endpoint was last heard of at
    /// `heard_at`. A caller that gives up on a silent run has waited at least
    /// [`ABANDONED_SILENCE`].
    pub(crate) fn run_abandoned(
        &self,
        request: &RelayRequest,
        endpoint: &EndpointId,
        heard_at: Millis,
        progress: RunProgress,
    ) {
        if self.now().saturating_sub(heard_at) >= ABANDONED_SILENCE {
            let failure = RunFailure {
                outcome: RunOutcome::Silent,
                reason: RetryReason::StreamSilent,
                progress,
            };
            self.run_failed(request, endpoint, failure);
        }
    }

    /// Records that a run has written for some time on the request's prompt.
    pub(crate) fn run_written(&self, request: &RelayRequest) {
        let mut crashes = self.dependencies.crashes.borrow_mut();
        crashes.run_written(&request.head.shared_parts, self.now());
        self.announce_notices(&crashes);
        Self::log_blame_changes(&mut crashes);
    }

    /// Records that an endpoint has answered a request completely.
    pub(crate) fn run_served(&self, request: &RelayRequest) {
        let fingerprint = request.fingerprint();
        let parts = &request.head.shared_parts;
        let mut crashes = self.dependencies.crashes.borrow_mut();
        let is_cleared = crashes.run_served(fingerprint, parts, self.now());
        Self::log_blame_changes(&mut crashes);
        self.announce_notices(&crashes);
        if is_cleared {
            spdlog::info!("crash records cleared", kv: {
                request = request.head.request_id.as_str(),
                fingerprint = fingerprint.to_string().as_str(),
            });
        }
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
