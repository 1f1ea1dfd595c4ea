//! The simulated world: entry instances, engines, services and a platform on virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use entry::ClockAndIds;
use peer::PeerHandler;
use service::ServiceCall;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use crate::engines::EngineState;
use crate::history::History;
use crate::instance::{ExitReason, InstanceSlot};
use crate::invariants::Violation;
use crate::network::FakeNetwork;
use crate::platform::PlatformState;
use crate::process_gate::ProcessGate;
use crate::services::ServiceState;
use crate::weights::WeightState;
use crate::world_build::build_state;

/// Unix time at which every world starts, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// API key of the world's client account; the account document holds its digest.
pub(crate) const API_KEY: &str = "world-key";

/// Model that every engine serves with [`ModelLoading::Fixed`].
pub(crate) const MODEL: &str = "advice";

/// Second model, for worlds whose engines load one of two models.
pub(crate) const SECOND_MODEL: &str = "review";

/// Virtual time between two checks of the invariants, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// Size, seed and configuration of a world.
#[derives::value]
pub struct WorldPlan {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Entry instances in each failure domain.
    pub nodes: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Service endpoints in each failure domain.
    pub services: usize,
    /// Streams that an engine runs concurrently.
    pub slots: usize,
    /// KV cache memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Seed of the network's message loss and of random schedules.
    pub seed: u64,
    /// How engines get their models, and whether they check the fencing token of orders.
    pub loading: ModelLoading,
    /// Bug planted in the fakes, to prove that the check of the invariant detects the violation.
    pub planted: PlantedFault,
}

/// How a world's engines get their models and whether they check the fencing token of orders.
#[derives::tag]
pub enum ModelLoading {
    /// Every engine serves the same single model and gets no orders.
    Fixed,
    /// Each engine loads one of two models and rejects orders with an outdated fencing token.
    Checked,
    /// Each engine loads one of two models and follows orders whatever their fencing token.
    Ignored,
}

/// Bugs planted in the fakes, each of which violates one invariant.
#[derives::tag]
pub enum PlantedFault {
    /// No planted bug.
    None,
    /// The key-value service ignores the expected revision of a compare-and-swap.
    UnconditionalWrite,
    /// Engines send another request's text in frames with a valid header.
    ForeignText,
    /// Engines refuse a stream after they have started it.
    RefusalAfterStart,
    /// Engines keep a stream's memory after the stream is cancelled or its connection is closed.
    LeakedStreams,
    /// Instances confirm configuration documents that they have not applied.
    UnappliedConfirmation,
    /// Callers drop their answer streams, so that their requests never end.
    AbandonedStream,
    /// Planned stops kill the process without draining it.
    AbruptStop,
    /// Announcements are confirmed and then dropped.
    DroppedAnnouncement,
    /// The weight store allows every load without counting it.
    UncountedLoads,
}

impl Default for WorldPlan {
    fn default() -> Self {
        Self {
            domains: vec!["a".to_owned(), "b".to_owned()],
            nodes: 3,
            engines: 3,
            services: 2,
            slots: 8,
            memory_tokens: 100_000,
            seed: 1,
            loading: ModelLoading::Fixed,
            planted: PlantedFault::None,
        }
    }
}

/// Wall clock on virtual time, and unique ids from a counter.
pub(crate) struct FakeClockAndIds {
    start: Instant,
    next: AtomicU64,
}

impl FakeClockAndIds {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            next: AtomicU64::new(1),
        }
    }

    /// Virtual time since the start of the world, in milliseconds.
    pub(crate) fn elapsed_millis(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl ClockAndIds for FakeClockAndIds {
    fn unix_millis(&self) -> u64 {
        START_UNIX_MS + self.elapsed_millis()
    }

    fn unique_id(&self) -> u128 {
        u128::from(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// State that all fakes of a world share.
pub(crate) struct WorldState {
    pub(crate) network: FakeNetwork,
    pub(crate) platform: RefCell<PlatformState>,
    pub(crate) instances: RefCell<BTreeMap<String, InstanceSlot>>,
    pub(crate) history: RefCell<History>,
    pub(crate) weights: RefCell<WeightState>,
    pub(crate) clock_and_ids: Arc<FakeClockAndIds>,
    pub(crate) planted: PlantedFault,
    pub(crate) engines: RefCell<BTreeMap<SocketAddr, EngineState>>,
    pub(crate) services: RefCell<BTreeMap<SocketAddr, ServiceState>>,
}

impl WorldState {
    pub(crate) fn with_engine<T>(
        &self,
        address: SocketAddr,
        act: impl FnOnce(&mut EngineState) -> T,
    ) -> T {
        let mut engines = self.engines.borrow_mut();
        act(engines
            .get_mut(&address)
            .expect("settings list only engines of the world"))
    }

    pub(crate) fn with_service<T>(
        &self,
        address: SocketAddr,
        act: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        act(services
            .get_mut(&address)
            .expect("settings list only services of the world"))
    }

    pub(crate) fn with_named_engine<T>(
        &self,
        name: &str,
        act: impl FnOnce(&mut EngineState) -> T,
    ) -> T {
        let mut engines = self.engines.borrow_mut();
        let found = engines.values_mut().find(|engine| engine.name == name);
        act(found.unwrap_or_else(|| panic!("unknown engine {name}")))
    }

    pub(crate) fn with_named_service<T>(
        &self,
        name: &str,
        act: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        let found = services.values_mut().find(|service| service.name == name);
        act(found.unwrap_or_else(|| panic!("unknown service {name}")))
    }

    pub(crate) fn with_instance<T>(
        &self,
        name: &str,
        act: impl FnOnce(&mut InstanceSlot) -> T,
    ) -> T {
        let mut instances = self.instances.borrow_mut();
        let slot = instances.get_mut(name);
        act(slot.unwrap_or_else(|| panic!("unknown instance {name}")))
    }

    /// Name, process gate and peer handler of the running instance that listens at a peer address;
    /// `None` if no running instance does.
    pub(crate) fn running_instance_at(
        &self,
        address: &str,
    ) -> Option<(String, Rc<ProcessGate>, Rc<dyn PeerHandler>)> {
        let instances = self.instances.borrow();
        let slot = instances.values().find(|slot| slot.address == address)?;
        let running = slot.running.as_ref()?;
        Some((
            slot.name.clone(),
            slot.gate.clone(),
            running.handler.clone(),
        ))
    }

    pub(crate) fn is_machine_lost(&self, instance: &str) -> bool {
        let instances = self.instances.borrow();
        instances
            .get(instance)
            .is_some_and(|slot| slot.exit_reason == ExitReason::MachineLost)
    }

    pub(crate) fn engine_names(&self) -> Vec<String> {
        let engines = self.engines.borrow();
        engines.values().map(|engine| engine.name.clone()).collect()
    }

    pub(crate) fn service_names(&self) -> Vec<String> {
        let services = self.services.borrow();
        services
            .values()
            .map(|service| service.name.clone())
            .collect()
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        let engines = self.engines.borrow();
        engines.values().map(EngineState::used_tokens).sum()
    }

    pub(crate) fn engine_crashes(&self) -> u64 {
        let engines = self.engines.borrow();
        engines.values().map(|engine| engine.crashes).sum()
    }

    /// Records that an engine started a prompt; the content id is the part of `body` before the
    /// first `|`.
    pub(crate) fn record_started(&self, body: &str) {
        let content_id = body.split('|').next().unwrap_or(body);
        self.history
            .borrow_mut()
            .started
            .insert(content_id.to_owned());
    }

    /// Records that a service executed a call, by content id and by idempotency key.
    pub(crate) fn record_call(&self, call: &ServiceCall) {
        let header = |name: &str| {
            let found = call.headers.iter().find(|(one, _)| one.as_str() == name);
            let value = found.and_then(|(_, value)| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let mut history = self.history.borrow_mut();
        history.started.insert(header("x-mark"));
        let key = header("idempotency-key");
        if !key.is_empty() {
            *history.runs.entry(key).or_default() += 1;
        }
    }
}

/// A simulated world; its virtual time advances only while the owner calls [`World::advance`].
pub struct World {
    pub(crate) runtime: Runtime,
    pub(crate) local: LocalSet,
    pub(crate) state: Rc<WorldState>,
    pub(crate) violations: Vec<Violation>,
}

impl World {
    /// Builds a world, stores its configuration documents and starts all its instances.
    ///
    /// # Panics
    ///
    /// Panics if the tokio runtime cannot be built.
    #[must_use]
    pub fn new(plan: &WorldPlan) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a current-thread runtime with a timer can be built");
        let local = LocalSet::new();
        let state = local.block_on(&runtime, async { build_state(plan) });
        let world = Self {
            runtime,
            local,
            state,
            violations: Vec::new(),
        };
        for name in world.instance_names() {
            world.start_instance(&name);
        }
        world
    }

    /// Runs `act` inside the world's runtime, without advancing the time.
    pub(crate) fn enter<T>(&self, act: impl FnOnce() -> T) -> T {
        self.local.block_on(&self.runtime, async { act() })
    }

    /// Advances the virtual time by `millis` milliseconds and checks the invariants at least every
    /// 50 ms.
    pub fn advance(&mut self, millis: u64) {
        let mut left = millis;
        while left > 0 {
            let step = left.min(CHECK_INTERVAL_MS);
            left -= step;
            let wait = sleep_millis(step);
            self.local.block_on(&self.runtime, wait);
            self.check_step();
        }
    }

    pub(crate) fn instance_names(&self) -> Vec<String> {
        self.state.instances.borrow().keys().cloned().collect()
    }

    /// Starts an instance; does nothing if it is running.
    pub fn start_instance(&self, name: &str) {
        self.enter(|| {
            let state = &self.state;
            let is_stopped = state.with_instance(name, |slot| slot.running.is_none());
            if is_stopped {
                // An announcement applies up to the incarnation that was announced, not to this
                // new one.
                state.history.borrow_mut().announced_at.remove(name);
                state.with_instance(name, |slot| slot.start(&self.state));
            }
        });
    }

    /// Model that an engine has loaded; empty if none.
    #[must_use]
    pub fn loaded(&self, name: &str) -> String {
        self.state
            .with_named_engine(name, |engine| engine.model.clone())
    }

    /// Streams and memory reservations that engines dropped to follow an order.
    #[must_use]
    pub fn cut_by_orders(&self) -> usize {
        let engines = self.state.engines.borrow();
        engines.values().map(|engine| engine.cut_by_orders).sum()
    }

    /// Instance that holds a failure domain's order lease; empty if none does.
    #[must_use]
    pub fn order_holder(&self, domain: &str) -> String {
        self.enter(|| self.state.platform.borrow_mut().order_holder(domain))
    }

    /// First attempts and retries, summed over the counters of the running instances.
    #[must_use]
    pub fn attempts(&self) -> (u64, u64) {
        let instances = self.state.instances.borrow();
        let running = instances.values().filter_map(|slot| slot.running.as_ref());
        let texts: Vec<String> = running.map(|instance| instance.callers.metrics()).collect();
        let sum = |name: &str| texts.iter().map(|text| sum_of_series(text, name)).sum();
        (
            sum("jackdawpoint_first_attempts_total"),
            sum("jackdawpoint_retries_total"),
        )
    }

    /// Whether an instance is running, not frozen and ready, so that a load balancer sends it
    /// requests.
    #[must_use]
    pub fn is_ready(&self, name: &str) -> bool {
        self.enter(|| {
            self.state.with_instance(name, |slot| {
                let is_responsive = slot.is_responsive();
                let running = slot.running.as_ref();
                is_responsive && running.is_some_and(|instance| instance.core.is_ready())
            })
        })
    }

    /// Violations found so far, each one once.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Memory in use on all engines, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.state.used_tokens()
    }

    /// Calls that the key-value service and the instance list have received.
    #[must_use]
    pub fn platform_calls(&self) -> u64 {
        self.state.platform.borrow().calls
    }

    /// Names of the instances in a failure domain.
    #[must_use]
    pub fn instance_names_in(&self, domain: &str) -> Vec<String> {
        let instances = self.state.instances.borrow();
        let inside = instances.values().filter(|slot| slot.domain == domain);
        inside.map(|slot| slot.name.clone()).collect()
    }

    /// Number of crashes over all engines.
    #[must_use]
    pub fn engine_crashes(&self) -> u64 {
        self.state.engine_crashes()
    }
}

/// Sums all series of a counter in the Prometheus text format.
fn sum_of_series(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter_map(|line| line.strip_prefix(name));
    let values = lines.filter_map(|rest| rest.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

async fn sleep_millis(millis: u64) {
    sleep(Duration::from_millis(millis)).await;
}
