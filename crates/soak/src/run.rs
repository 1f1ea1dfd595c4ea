//! One run of a soak: faults, then calm, with callers all the while.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter_standin::{
    ConfigFixture, ResponsePlan, RouteFixture, RunRecord, ServiceFixture, StoreFault, StoreStandin,
    WorkerFault, WorkerStandin,
};
use futures::future::join_all;
use ntex::http::StatusCode;

use crate::caller::{CallEnd, CallKind, CallRecord, SoakCaller};
use crate::check::{BrokenPromise, LEAVING_TIME, check_calls};
use crate::daemon::{DaemonSignal, SoakDaemon};
use crate::proxy::{FaultProxy, ProxyMode};
use crate::schedule::{FaultTime, SoakFault, SoakSize, draw_schedule};

/// Events of a stream.
const EVENTS: u64 = 6;

/// Time between two events, and until a plain answer.
const PAUSE: Duration = Duration::from_millis(25);

/// Callers of each daemon.
const CALLERS: usize = 3;

/// Time between two calls of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(60);

/// Time without faults after which everything must work again.
const CALM_TIME: Duration = Duration::from_secs(6);

/// Time in which a change must be in force, with what it takes to ask every daemon.
const CHANGE_TIME: Duration = Duration::from_millis(2_200);

/// Time after which reserved memory must be free.
const FREE_TIME: Duration = Duration::from_secs(4);

/// Calls to each daemon in the check after the calm.
const FINAL_CALLS: usize = 5;

/// What a run has brought.
#[derive(Debug)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: usize,
    /// Calls made.
    pub calls: usize,
    /// Calls that ended with a whole answer.
    pub whole: usize,
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

/// The system under test and everything around it.
struct SoakWorld {
    store: StoreStandin,
    daemons: RefCell<Vec<SoakDaemon>>,
    store_paths: Vec<FaultProxy>,
    /// Engines first, then workers of the plain service.
    endpoints: Vec<WorkerStandin>,
    endpoint_paths: Vec<FaultProxy>,
    size: SoakSize,
    version: Cell<u64>,
    calls: RefCell<Vec<CallRecord>>,
    next_call: Cell<u64>,
    is_over: Cell<bool>,
}

/// Runs one seed. Needs a running ntex system; `program` is the daemon, `folder` takes its files.
///
/// # Errors
///
/// When a process or a listener cannot be started.
pub async fn run_seed(
    seed: u64,
    size: &SoakSize,
    program: &Path,
    folder: &Path,
) -> anyhow::Result<SoakReport> {
    let world = Rc::new(SoakWorld::new(size, program, folder).await?);
    let schedule = draw_schedule(seed, size);
    for daemon in world.daemons.borrow_mut().iter_mut() {
        daemon.start()?;
    }
    let mut broken = Vec::new();
    if !world.serves_everywhere(CALM_TIME).await {
        broken.push(BrokenPromise::new(
            "the fleet starts",
            "not in time".to_owned(),
        ));
    }
    let callers = world.start_callers().await;
    join_all(schedule.iter().map(|time| world.play(time))).await;
    tokio::time::sleep(CALM_TIME).await;
    world.is_over.set(true);
    join_all(callers).await;
    world.check_calm(&mut broken).await;
    let runs = world.runs();
    let calls = world.calls.borrow();
    broken.extend(check_calls(&calls, &runs, &whole_stream()));
    let is_whole = |call: &&CallRecord| matches!(call.end, CallEnd::Told(StatusCode::OK, _));
    Ok(SoakReport {
        seed,
        faults: schedule.len(),
        calls: calls.len(),
        whole: calls.iter().filter(is_whole).count(),
        broken,
    })
}

impl SoakWorld {
    async fn new(size: &SoakSize, program: &Path, folder: &Path) -> anyhow::Result<Self> {
        let any = std::net::SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let store = StoreStandin::new(any);
        let plan = ResponsePlan {
            events: EVENTS,
            pause: PAUSE,
            is_close_delimited: false,
        };
        let mut endpoints = Vec::new();
        let mut endpoint_paths = Vec::new();
        for index in 0..size.engines + size.workers {
            let endpoint = WorkerStandin::new(&format!("endpoint-{index}"), any, plan.clone());
            endpoint_paths.push(FaultProxy::new(Ipv4Addr::LOCALHOST, endpoint.address()).await?);
            endpoints.push(endpoint);
        }
        let mut daemons = Vec::new();
        let mut store_paths = Vec::new();
        for index in 0..size.daemons {
            let path = FaultProxy::new(Ipv4Addr::LOCALHOST, store.address()).await?;
            let domain = ["near", "far"][index % 2];
            let name = format!("entry-{index}");
            daemons.push(SoakDaemon::new(
                program,
                folder,
                &name,
                domain,
                path.address(),
            )?);
            store_paths.push(path);
        }
        let world = Self {
            store,
            daemons: RefCell::new(daemons),
            store_paths,
            endpoints,
            endpoint_paths,
            size: size.clone(),
            version: Cell::new(0),
            calls: RefCell::new(Vec::new()),
            next_call: Cell::new(0),
            is_over: Cell::new(false),
        };
        for index in 0..world.endpoints.len() {
            world.register(index, "ready");
        }
        world.configure();
        Ok(world)
    }

    fn register(&self, index: usize, state: &str) {
        let service = if index < self.size.engines {
            "engines"
        } else {
            "orders"
        };
        let domain = ["near", "far"][index % 2];
        let at = self.endpoint_paths[index].address();
        let endpoint = &self.endpoints[index];
        let entry = endpoint.entry_at(service, domain, state, at);
        self.store
            .put(&format!("servers/{}", endpoint.id()), &entry);
    }

    /// Writes the next configuration; its newest key is `key-VERSION`.
    fn configure(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let keys = (0..=version)
            .map(|number| format!("key-{number}"))
            .collect();
        self.store
            .put("op/config", &config(version, keys).to_json());
    }

    async fn start_callers(self: &Rc<Self>) -> Vec<tokio::task::JoinHandle<()>> {
        let addresses: Vec<_> = {
            let daemons = self.daemons.borrow();
            daemons.iter().map(SoakDaemon::callers).collect()
        };
        let mut tasks = Vec::new();
        for (daemon, address) in addresses.into_iter().enumerate() {
            for turn in 0..CALLERS {
                let caller = SoakCaller::new(daemon, address).await;
                let world = Rc::clone(self);
                tasks.push(tokio::task::spawn_local(async move {
                    let mut turn = turn;
                    while !world.is_over.get() {
                        let kind = CallKind::ALL[turn % CallKind::ALL.len()];
                        turn += 1;
                        world.call(&caller, kind, "key-0").await;
                        tokio::time::sleep(CALL_PAUSE).await;
                    }
                }));
            }
        }
        tasks
    }

    async fn call(&self, caller: &SoakCaller, kind: CallKind, key: &str) -> CallEnd {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let record = caller.call(&format!("call-{number}"), kind, key).await;
        let end = record.end.clone();
        self.calls.borrow_mut().push(record);
        end
    }

    /// Plays one fault from its begin to its end.
    async fn play(&self, time: &FaultTime) {
        tokio::time::sleep(Duration::from_millis(time.from)).await;
        let length = Duration::from_millis(time.until - time.from);
        match time.fault {
            SoakFault::Kill(daemon) => {
                self.signal(daemon, DaemonSignal::Kill);
                tokio::time::sleep(length).await;
                self.restart(daemon);
            }
            SoakFault::Stop(daemon) => {
                let stopped = self.daemons.borrow_mut()[daemon].process();
                self.signal(daemon, DaemonSignal::Terminate);
                // Another fault may have replaced the process meanwhile.
                while stopped.is_some() && self.daemons.borrow_mut()[daemon].process() == stopped {
                    tokio::time::sleep(PAUSE).await;
                }
                self.restart(daemon);
            }
            SoakFault::Pause(daemon) => {
                self.signal(daemon, DaemonSignal::Pause);
                tokio::time::sleep(length).await;
                self.signal(daemon, DaemonSignal::Resume);
            }
            SoakFault::Reload(daemon) => self.signal(daemon, DaemonSignal::Reload),
            SoakFault::Store(fault) => {
                self.store.set_fault(fault);
                tokio::time::sleep(length).await;
                self.store.set_fault(StoreFault::None);
            }
            SoakFault::Compact => self.store.compact(),
            SoakFault::StorePath(daemon, mode) => {
                self.store_paths[daemon].set_mode(mode);
                tokio::time::sleep(length).await;
                self.store_paths[daemon].set_mode(ProxyMode::Pass);
            }
            SoakFault::EndpointPath(endpoint, mode) => {
                self.endpoint_paths[endpoint].set_mode(mode);
                tokio::time::sleep(length).await;
                self.endpoint_paths[endpoint].set_mode(ProxyMode::Pass);
            }
            SoakFault::Endpoint(endpoint, fault) => {
                self.endpoints[endpoint].set_fault(fault);
                tokio::time::sleep(length).await;
                self.endpoints[endpoint].set_fault(WorkerFault::None);
            }
            SoakFault::Leave(endpoint) => {
                self.register(endpoint, "draining");
                tokio::time::sleep(length).await;
                self.register(endpoint, "ready");
            }
            SoakFault::Configure => self.configure(),
        }
    }

    fn signal(&self, daemon: usize, signal: DaemonSignal) {
        self.daemons.borrow_mut()[daemon].signal(signal);
    }

    fn restart(&self, daemon: usize) {
        if let Err(error) = self.daemons.borrow_mut()[daemon].start() {
            eprintln!("daemon {daemon} cannot be started: {error}");
        }
    }

    /// Waits until every daemon serves every kind of call.
    async fn serves_everywhere(&self, bound: Duration) -> bool {
        let ends = Instant::now() + bound;
        let addresses: Vec<_> = {
            let daemons = self.daemons.borrow();
            daemons.iter().map(SoakDaemon::callers).collect()
        };
        for (daemon, address) in addresses.into_iter().enumerate() {
            let caller = SoakCaller::new(daemon, address).await;
            for kind in CallKind::ALL {
                while !matches!(
                    self.call(&caller, kind, "key-0").await,
                    CallEnd::Told(StatusCode::OK, _)
                ) {
                    if Instant::now() >= ends {
                        return false;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        true
    }

    /// What must hold once no fault has come for a while.
    async fn check_calm(&self, broken: &mut Vec<BrokenPromise>) {
        self.configure();
        let leaving = 0;
        self.register(leaving, "draining");
        tokio::time::sleep(CHANGE_TIME.max(LEAVING_TIME)).await;
        let before = self.endpoints[leaving].runs().len();
        let key = format!("key-{}", self.version.get());
        let addresses: Vec<_> = {
            let daemons = self.daemons.borrow();
            daemons.iter().map(SoakDaemon::callers).collect()
        };
        for (daemon, address) in addresses.into_iter().enumerate() {
            let caller = SoakCaller::new(daemon, address).await;
            for kind in CallKind::ALL {
                for _ in 0..FINAL_CALLS {
                    let end = self.call(&caller, kind, &key).await;
                    if !matches!(end, CallEnd::Told(StatusCode::OK, _)) {
                        let seen = format!("daemon {daemon}, {kind:?}: {end:?}");
                        broken.push(BrokenPromise::new("everything is served again", seen));
                    }
                }
            }
        }
        let after = self.endpoints[leaving].runs().len();
        if after > before {
            let seen = format!("{} runs", after - before);
            broken.push(BrokenPromise::new("a leaving endpoint gets nothing", seen));
        }
        tokio::time::sleep(FREE_TIME).await;
        for endpoint in &self.endpoints {
            for id in endpoint.reserved() {
                broken.push(BrokenPromise::new("no memory is lost", id));
            }
        }
    }

    fn runs(&self) -> Vec<RunRecord> {
        let endpoints = self.endpoints.iter();
        endpoints.flat_map(WorkerStandin::runs).collect()
    }
}

fn config(version: u64, keys: Vec<String>) -> ConfigFixture {
    let route = |name: &str, kind, service: &str, is_resumable| RouteFixture {
        name: name.to_owned(),
        host: crate::HOST.to_owned(),
        prefix: format!("/{name}/"),
        kind,
        service: service.to_owned(),
        is_resumable,
        timeout_ms: 3_000,
        attempts: 2,
    };
    ConfigFixture {
        version,
        routes: vec![
            route("question", "streaming", "engines", true),
            route("order", "non_idempotent", "orders", false),
            route("status", "idempotent", "orders", false),
        ],
        services: vec![
            ServiceFixture {
                name: "engines".to_owned(),
                engine_memory: Some(300_000),
            },
            ServiceFixture {
                name: "orders".to_owned(),
                engine_memory: None,
            },
        ],
        accounts: vec![("family".to_owned(), keys)],
    }
}

fn whole_stream() -> String {
    let event = |id: u64| {
        let data = if id == EVENTS { "last" } else { "token" };
        format!("id: {id}\ndata: {data}\n\n")
    };
    (1..=EVENTS).map(event).collect()
}
