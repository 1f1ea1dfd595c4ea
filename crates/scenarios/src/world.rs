//! A world of entry instances, engines, services and a platform on virtual time.

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
use crate::gate::NodeGate;
use crate::invariants::Violation;
use crate::ledger::Ledger;
use crate::network::FakeNetwork;
use crate::node::{NodeEnd, NodeSlot};
use crate::platform::PlatformState;
use crate::services::ServiceState;
use crate::weights::WeightState;
use crate::world_build::build_state;

/// Milliseconds since the Unix epoch at which every world begins.
const WORLD_START: u64 = 1_700_000_000_000;

/// The API key of the world's client account, by its digest in `key_digest`.
pub(crate) const API_KEY: &str = "world-key";

/// The model that the world's engines serve.
pub(crate) const MODEL: &str = "advice";

/// The other model, where engines load one of two.
pub(crate) const SECOND_MODEL: &str = "review";

/// Between two checks of the invariants, in milliseconds.
const STEP: u64 = 50;

/// What a world is made of.
#[derives::value]
pub struct WorldPlan {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Entry instances in each.
    pub nodes: usize,
    /// Engines in each.
    pub engines: usize,
    /// Service endpoints in each.
    pub services: usize,
    /// Streams that an engine runs side by side.
    pub slots: usize,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Seed of everything random.
    pub seed: u64,
    /// Whether instances order the engines which model to load.
    pub loading: WorldLoading,
    /// A fault that breaks a promise, to show that its check notices.
    pub planted: PlantedFault,
}

/// Whether and how a world's engines take orders.
#[derives::tag]
pub enum WorldLoading {
    /// Every engine serves the one model.
    Fixed,
    /// Each engine loads one of two models, and refuses orders with an old fencing number.
    Checked,
    /// Each engine loads one of two models, and takes any order.
    Ignored,
}

/// Faults of the world itself, one for each promise.
#[derives::tag]
pub enum PlantedFault {
    /// None: the world behaves as its users' does.
    None,
    /// The key-value service writes whatever the revision is.
    CarelessSwap,
    /// Engines put another request's text under the right head.
    MixedText,
    /// Engines refuse streams that they have started.
    LateRefusal,
    /// Engines forget to list and to cancel their streams.
    ForgetfulEngine,
    /// Instances confirm documents that they have not put in force.
    EmptyConfirmation,
    /// Callers' connections stand still.
    StalledCaller,
    /// Planned stops kill the process.
    HastyStop,
    /// Announcements are confirmed and not heard.
    UnheardAnnouncement,
    /// The weight store allows loads that it does not count.
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
            loading: WorldLoading::Fixed,
            planted: PlantedFault::None,
        }
    }
}

/// Virtual wall clock and counted ids.
pub(crate) struct FakeIdentity {
    start: Instant,
    next: AtomicU64,
}

impl FakeIdentity {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            next: AtomicU64::new(1),
        }
    }

    /// Milliseconds since the world began.
    pub(crate) fn elapsed_millis(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl ClockAndIds for FakeIdentity {
    fn unix_millis(&self) -> u64 {
        WORLD_START + self.elapsed_millis()
    }

    fn unique_id(&self) -> u128 {
        u128::from(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// What all fakes share.
pub(crate) struct WorldState {
    pub(crate) network: FakeNetwork,
    pub(crate) platform: RefCell<PlatformState>,
    pub(crate) nodes: RefCell<BTreeMap<String, NodeSlot>>,
    pub(crate) ledger: RefCell<Ledger>,
    pub(crate) weights: RefCell<WeightState>,
    pub(crate) identity: Arc<FakeIdentity>,
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
            .expect("settings name known engines"))
    }

    pub(crate) fn with_service<T>(
        &self,
        address: SocketAddr,
        act: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        act(services
            .get_mut(&address)
            .expect("settings name known services"))
    }

    pub(crate) fn with_named_engine<T>(
        &self,
        name: &str,
        act: impl FnOnce(&mut EngineState) -> T,
    ) -> T {
        let mut engines = self.engines.borrow_mut();
        let found = engines.values_mut().find(|engine| engine.name == name);
        act(found.unwrap_or_else(|| panic!("there is no engine {name}")))
    }

    pub(crate) fn with_named_service<T>(
        &self,
        name: &str,
        act: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        let found = services.values_mut().find(|service| service.name == name);
        act(found.unwrap_or_else(|| panic!("there is no service {name}")))
    }

    pub(crate) fn with_node<T>(&self, name: &str, act: impl FnOnce(&mut NodeSlot) -> T) -> T {
        let mut nodes = self.nodes.borrow_mut();
        let slot = nodes.get_mut(name);
        act(slot.unwrap_or_else(|| panic!("there is no instance {name}")))
    }

    /// The running instance that listens at a peer address.
    pub(crate) fn node_at(
        &self,
        address: &str,
    ) -> Option<(String, Rc<NodeGate>, Rc<dyn PeerHandler>)> {
        let nodes = self.nodes.borrow();
        let slot = nodes.values().find(|slot| slot.address == address)?;
        let running = slot.running.as_ref()?;
        Some((
            slot.name.clone(),
            slot.gate.clone(),
            running.handler.clone(),
        ))
    }

    pub(crate) fn is_vanished(&self, node: &str) -> bool {
        let nodes = self.nodes.borrow();
        nodes
            .get(node)
            .is_some_and(|slot| slot.end == NodeEnd::Vanished)
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

    /// Records that an engine started a prompt.
    pub(crate) fn note_started(&self, body: &str) {
        let mark = body.split('|').next().unwrap_or(body);
        self.ledger.borrow_mut().started.insert(mark.to_owned());
    }

    /// Records that a service ran a call.
    pub(crate) fn note_run(&self, call: &ServiceCall) {
        let header = |name: &str| {
            let found = call.headers.iter().find(|(one, _)| one.as_str() == name);
            let value = found.and_then(|(_, value)| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let mut ledger = self.ledger.borrow_mut();
        ledger.started.insert(header("x-mark"));
        let key = header("idempotency-key");
        if !key.is_empty() {
            *ledger.runs.entry(key).or_default() += 1;
        }
    }
}

/// A world, moved on by the thread that owns it.
pub struct World {
    pub(crate) runtime: Runtime,
    pub(crate) local: LocalSet,
    pub(crate) state: Rc<WorldState>,
    pub(crate) violations: Vec<Violation>,
}

impl World {
    /// Builds a world and starts all its instances; their configuration is written beforehand.
    ///
    /// # Panics
    ///
    /// When the runtime cannot be built.
    #[must_use]
    pub fn new(plan: &WorldPlan) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime needs nothing from outside");
        let local = LocalSet::new();
        let state = local.block_on(&runtime, async { build_state(plan) });
        let world = Self {
            runtime,
            local,
            state,
            violations: Vec::new(),
        };
        for name in world.node_names() {
            world.start_node(&name);
        }
        world
    }

    /// Runs `act` inside the world's runtime.
    pub(crate) fn enter<T>(&self, act: impl FnOnce() -> T) -> T {
        self.local.block_on(&self.runtime, async { act() })
    }

    /// Moves time on and checks the invariants at every step.
    pub fn run(&mut self, millis: u64) {
        let mut left = millis;
        while left > 0 {
            let step = left.min(STEP);
            left -= step;
            let pause = sleep_in(step);
            self.local.block_on(&self.runtime, pause);
            self.check_step();
        }
    }

    pub(crate) fn node_names(&self) -> Vec<String> {
        self.state.nodes.borrow().keys().cloned().collect()
    }

    /// Starts an instance that does not run.
    pub fn start_node(&self, name: &str) {
        self.enter(|| {
            let state = &self.state;
            let is_stopped = state.with_node(name, |slot| slot.running.is_none());
            if is_stopped {
                // An announcement covers the lives up to the one that was announced.
                state.ledger.borrow_mut().announced.remove(name);
                state.with_node(name, |slot| slot.start(&self.state));
            }
        });
    }

    /// The model that an engine has loaded; empty for none.
    #[must_use]
    pub fn loaded(&self, name: &str) -> String {
        self.state
            .with_named_engine(name, |engine| engine.model.clone())
    }

    /// Streams and memory that engines lost to orders.
    #[must_use]
    pub fn cut_by_orders(&self) -> usize {
        let engines = self.state.engines.borrow();
        engines.values().map(|engine| engine.cut_by_orders).sum()
    }

    /// The instance that holds a failure domain's lease for orders; empty for none.
    #[must_use]
    pub fn order_holder(&self, domain: &str) -> String {
        self.enter(|| self.state.platform.borrow_mut().holder(domain))
    }

    /// First attempts and retries that the running instances have counted.
    #[must_use]
    pub fn attempts(&self) -> (u64, u64) {
        let nodes = self.state.nodes.borrow();
        let running = nodes.values().filter_map(|slot| slot.running.as_ref());
        let texts: Vec<String> = running.map(|node| node.callers.metrics()).collect();
        let sum = |name: &str| texts.iter().map(|text| sum_of_series(text, name)).sum();
        (
            sum("jackdawpoint_first_attempts_total"),
            sum("jackdawpoint_retries_total"),
        )
    }

    /// Whether an instance would be sent requests by the balancer.
    #[must_use]
    pub fn is_ready(&self, name: &str) -> bool {
        self.enter(|| {
            self.state.with_node(name, |slot| {
                let is_moving = slot.is_moving();
                let running = slot.running.as_ref();
                is_moving && running.is_some_and(|node| node.core.is_ready())
            })
        })
    }

    /// The violations seen so far.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Tokens of memory in use on all engines.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.state.used_tokens()
    }

    /// Calls that the platform has counted.
    #[must_use]
    pub fn platform_calls(&self) -> u64 {
        self.state.platform.borrow().calls
    }

    /// Names of a failure domain's instances.
    #[must_use]
    pub fn node_names_of(&self, domain: &str) -> Vec<String> {
        let nodes = self.state.nodes.borrow();
        let inside = nodes.values().filter(|slot| slot.domain == domain);
        inside.map(|slot| slot.name.clone()).collect()
    }

    /// Times that an engine crashed.
    #[must_use]
    pub fn engine_crashes(&self) -> u64 {
        self.state.engine_crashes()
    }
}

/// The sum of a counter's series in the Prometheus text format.
fn sum_of_series(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter_map(|line| line.strip_prefix(name));
    let values = lines.filter_map(|rest| rest.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

async fn sleep_in(millis: u64) {
    sleep(Duration::from_millis(millis)).await;
}
