//! One run of the soak: a phase with faults, then one without, both under load from callers, and
//! checks at the end.

mod final_checks;

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter_standin::{
    ConfigFixture, CrashPlan, CrashPoint, CrashTrigger, FaultProxy, ProxyMode, ResponsePlan,
    RouteFixture, RunRecord, ServiceFixture, StoreFault, StoreStandin, StoreView, WorkerFault,
    WorkerStandin,
};
use futures::future::join_all;
use ntex::http::StatusCode;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::caller::{
    CRASHING_BODY, CRASHING_PART, CallKind, CallOutcome, CallRecord, SoakCaller, UPLOAD_BYTES,
};
use crate::check::{DaemonPause, Violation, check_calls};
use crate::daemon::{DaemonSignal, SoakDaemon};
use crate::schedule::{CutScope, DOMAIN_COUNT, FaultTime, SoakFault, SoakSize, draw_schedule};

/// Number of events in a stream.
const EVENT_COUNT: u64 = 6;

/// Time between two events of a stream, time that a plain answer takes, and interval at which the
/// soak polls daemons.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Names of the failure domains.
const DOMAINS: [&str; DOMAIN_COUNT] = ["near", "far"];

/// Number of callers of each daemon.
const CALLERS_PER_DAEMON: usize = 3;

/// Time that a caller waits between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(60);

/// Time without faults after which every daemon must serve every kind of call again. The fleet must
/// start within the same time.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Time for which the store is away before it comes back from a copy, and until what it lost is
/// written again.
const AWAY_TIME: Duration = Duration::from_millis(400);
const REWRITE_TIME: Duration = Duration::from_millis(300);

/// Memory of the machines that the deployments state, in kilobytes.
const MACHINE_MEMORY_KB: u64 = 260_000;

/// Interval of the calls that crash endpoints, and time for which a crashed endpoint is missing.
const CRASH_INTERVAL: Duration = Duration::from_millis(700);

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of calls made.
    pub calls: usize,
    /// Number of calls that got a complete answer with status 200.
    pub complete: usize,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// System under test, with the stand-ins, proxies and callers around it.
struct SoakEnvironment {
    store: StoreStandin,
    daemons: RefCell<Vec<SoakDaemon>>,
    store_paths: Vec<FaultProxy>,
    /// Views of the store in which each daemon sees its own paths to the endpoints.
    _views: Vec<StoreView>,
    /// Paths of each daemon to the endpoints, in front of `endpoint_paths`.
    daemon_paths: Vec<Vec<FaultProxy>>,
    /// Engines, followed by the endpoints of the plain service.
    endpoints: Vec<WorkerStandin>,
    endpoint_paths: Vec<FaultProxy>,
    /// Ids under which the endpoints are registered.
    registered: RefCell<Vec<String>>,
    /// Kind of the calls that crash endpoints.
    crashing_kind: CallKind,
    size: SoakSize,
    seed: u64,
    /// Version of the newest configuration.
    version: Cell<u64>,
    calls: RefCell<Vec<CallRecord>>,
    /// Pauses of daemons so far.
    pauses: RefCell<Vec<DaemonPause>>,
    /// Peaks of the memory of daemons that got requests without end, in kilobytes.
    peaks_kb: RefCell<Vec<u64>>,
    next_call: Cell<u64>,
    is_finished: Cell<bool>,
}

/// Runs one seed and reports the violations. Must be called within a running ntex system. Each
/// start of a daemon takes the next of `programs`; before the final checks all run the first one.
/// Settings and logs are written to `folder`.
///
/// # Errors
///
/// When a process or a listener cannot be started.
pub async fn run_seed(
    seed: u64,
    size: &SoakSize,
    programs: &[PathBuf],
    folder: &Path,
) -> anyhow::Result<SoakReport> {
    let environment = Rc::new(SoakEnvironment::new(seed, size, programs, folder).await?);
    let schedule = draw_schedule(seed, size);
    for daemon in environment.daemons.borrow_mut().iter_mut() {
        daemon.start()?;
    }
    let mut violations = Vec::new();
    if !environment.wait_until_serving(RECOVERY_TIME).await {
        violations.push(Violation::new(
            "every daemon serves every kind of call after the start",
            "at least one daemon did not within the time limit".to_owned(),
        ));
    }
    let callers = environment.start_callers().await;
    let restarting = Rc::clone(&environment);
    let restarting = tokio::task::spawn_local(async move { restarting.register_crashed().await });
    let crashing = Rc::clone(&environment);
    let crashing = tokio::task::spawn_local(async move { crashing.call_crashing().await });
    join_all(schedule.iter().map(|time| environment.inject(time))).await;
    environment.finish_upgrade().await;
    tokio::time::sleep(RECOVERY_TIME).await;
    environment.is_finished.set(true);
    join_all(callers).await;
    crashing.await?;
    environment.check_crashing_calls(&mut violations).await;
    environment.check_cut(&mut violations).await;
    environment.check_backoffs(&mut violations).await;
    environment.check_backoffs_in_cut(&mut violations).await;
    environment.check_limits(&mut violations).await;
    environment.check_leaving(&mut violations).await;
    restarting.abort();
    environment.check_restore(&mut violations).await;
    environment.check_after_recovery(&mut violations).await;
    for peak in environment.peaks_kb.borrow().iter() {
        if *peak > MACHINE_MEMORY_KB {
            violations.push(Violation::new(
                "daemons keep within the memory of a machine",
                format!("{peak} kB"),
            ));
        }
    }
    let runs = environment.runs();
    let calls = environment.calls.borrow();
    violations.extend(check_calls(
        &calls,
        &runs,
        &environment.pauses.borrow(),
        &complete_stream(),
    ));
    let is_complete =
        |call: &&CallRecord| matches!(call.outcome, CallOutcome::Response(StatusCode::OK, _));
    Ok(SoakReport {
        seed,
        faults: schedule.len(),
        calls: calls.len(),
        complete: calls.iter().filter(is_complete).count(),
        violations,
    })
}

impl SoakEnvironment {
    async fn new(
        seed: u64,
        size: &SoakSize,
        programs: &[PathBuf],
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let any = std::net::SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let store = StoreStandin::new(any);
        let plan = ResponsePlan {
            events: EVENT_COUNT,
            pause: EVENT_INTERVAL,
            is_close_delimited: false,
        };
        let (crashing_kind, point) = draw_crash(seed);
        let trigger = match crashing_kind {
            CallKind::CrashingPart => CrashTrigger::PromptPart(CRASHING_PART.to_owned()),
            _ => CrashTrigger::Body(CRASHING_BODY.to_vec()),
        };
        let mut endpoints = Vec::new();
        let mut endpoint_paths = Vec::new();
        for index in 0..size.engines + size.service_endpoints {
            let endpoint = WorkerStandin::new(&format!("endpoint-{index}"), any, plan.clone());
            endpoint.set_crash_plan(CrashPlan {
                trigger: trigger.clone(),
                point,
                survives_every: None,
            });
            endpoint_paths.push(FaultProxy::new(Ipv4Addr::LOCALHOST, endpoint.address()).await?);
            endpoints.push(endpoint);
        }
        let mut daemons = Vec::new();
        let mut store_paths = Vec::new();
        let mut daemon_paths = Vec::new();
        let mut views = Vec::new();
        for index in 0..size.daemons {
            let view = store.view(any);
            let mut paths = Vec::new();
            for endpoint_path in &endpoint_paths {
                let shared = endpoint_path.address();
                let own = FaultProxy::new(Ipv4Addr::LOCALHOST, shared).await?;
                view.replace_address(shared, own.address());
                paths.push(own);
            }
            let path = FaultProxy::new(Ipv4Addr::LOCALHOST, view.address()).await?;
            daemon_paths.push(paths);
            views.push(view);
            let domain = DOMAINS[index % DOMAIN_COUNT];
            let name = format!("entry-{index}");
            daemons.push(SoakDaemon::new(
                programs,
                index,
                folder,
                &name,
                domain,
                path.address(),
            )?);
            store_paths.push(path);
        }
        let environment = Self {
            store,
            daemons: RefCell::new(daemons),
            store_paths,
            _views: views,
            daemon_paths,
            seed,
            registered: RefCell::new(vec![String::new(); endpoints.len()]),
            endpoint_paths,
            endpoints,
            crashing_kind,
            size: size.clone(),
            version: Cell::new(0),
            calls: RefCell::new(Vec::new()),
            pauses: RefCell::new(Vec::new()),
            peaks_kb: RefCell::new(Vec::new()),
            next_call: Cell::new(0),
            is_finished: Cell::new(false),
        };
        for index in 0..environment.endpoints.len() {
            environment.register(index, "ready");
        }
        environment.publish_config();
        Ok(environment)
    }

    /// Writes the entry of an endpoint's current incarnation, in place of that of a former one.
    fn register(&self, index: usize, state: &str) {
        let service = if index < self.size.engines {
            "engines"
        } else {
            "orders"
        };
        let domain = DOMAINS[index % DOMAIN_COUNT];
        let address = self.endpoint_paths[index].address();
        let endpoint = &self.endpoints[index];
        let entry = endpoint.entry_at(service, domain, state, address);
        let id = endpoint.id();
        let former = std::mem::replace(&mut self.registered.borrow_mut()[index], id.clone());
        if former != id {
            self.store.remove(&format!("servers/{former}"));
        }
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Replaces the entries of endpoints that have crashed; each is missing for a while.
    async fn register_crashed(&self) {
        loop {
            let is_crashed =
                |index: &usize| self.registered.borrow()[*index] != self.endpoints[*index].id();
            let crashed: Vec<usize> = (0..self.endpoints.len()).filter(is_crashed).collect();
            for index in &crashed {
                let former = self.registered.borrow()[*index].clone();
                self.store.remove(&format!("servers/{former}"));
            }
            tokio::time::sleep(CRASH_INTERVAL).await;
            for index in crashed {
                self.register(index, "ready");
            }
        }
    }

    /// Sends calls that crash endpoints to the daemons in turn.
    async fn call_crashing(&self) {
        let addresses = self.caller_addresses();
        for (daemon, address) in addresses.into_iter().enumerate().cycle() {
            if self.is_finished.get() {
                return;
            }
            let caller = SoakCaller::new(daemon, address).await;
            self.call(&caller, self.crashing_kind, "key-0").await;
            tokio::time::sleep(CRASH_INTERVAL).await;
        }
    }

    fn caller_addresses(&self) -> Vec<std::net::SocketAddr> {
        let daemons = self.daemons.borrow();
        daemons.iter().map(SoakDaemon::callers).collect()
    }

    fn crashes(&self) -> usize {
        self.endpoints.iter().map(WorkerStandin::crashes).sum()
    }

    /// Publishes the next version of the configuration, whose newest API key is `key-VERSION`.
    fn publish_config(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let keys = (0..=version)
            .map(|number| format!("key-{number}"))
            .collect();
        let config = config(version, keys).to_json();
        let mut config: serde_json::Value = serde_json::from_str(&config).unwrap_or_default();
        config["limits"]["maxBodyBytes"] = (2 * UPLOAD_BYTES).into();
        self.store.put("op/config", &config.to_string());
    }

    async fn start_callers(self: &Rc<Self>) -> Vec<tokio::task::JoinHandle<()>> {
        let addresses = self.caller_addresses();
        let mut tasks = Vec::new();
        for (daemon, address) in addresses.into_iter().enumerate() {
            for first_kind in 0..CALLERS_PER_DAEMON {
                let caller = SoakCaller::new(daemon, address).await;
                let environment = Rc::clone(self);
                tasks.push(tokio::task::spawn_local(async move {
                    let mut next_kind = first_kind;
                    while !environment.is_finished.get() {
                        let kind = CallKind::ALL[next_kind % CallKind::ALL.len()];
                        next_kind += 1;
                        environment.call(&caller, kind, "key-0").await;
                        tokio::time::sleep(CALL_INTERVAL).await;
                    }
                }));
            }
        }
        tasks
    }

    /// Replaces the daemons that run another program than the first one, one after the other.
    async fn finish_upgrade(&self) {
        for daemon in 0..self.size.daemons {
            if self.daemons.borrow()[daemon].runs_first_program() {
                continue;
            }
            self.signal(daemon, DaemonSignal::Terminate);
            while self.daemons.borrow_mut()[daemon].is_running() {
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
            // Each start takes the next program.
            self.daemons.borrow_mut()[daemon].skip_to_first_program();
            self.restart(daemon);
        }
    }

    fn next_call_id(&self) -> String {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        format!("call-{number}")
    }

    async fn call(&self, caller: &SoakCaller, kind: CallKind, key: &str) -> CallOutcome {
        let record = caller.call(&self.next_call_id(), kind, key).await;
        let outcome = record.outcome.clone();
        self.calls.borrow_mut().push(record);
        outcome
    }

    /// Waits until a fault begins, injects it and reverts it at its end.
    async fn inject(&self, time: &FaultTime) {
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
                // Another fault may have restarted the daemon in the meantime, with a new process.
                while stopped.is_some() && self.daemons.borrow_mut()[daemon].process() == stopped {
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
                self.restart(daemon);
            }
            SoakFault::Pause(daemon) => {
                let from = Instant::now();
                self.signal(daemon, DaemonSignal::Pause);
                tokio::time::sleep(length).await;
                self.signal(daemon, DaemonSignal::Resume);
                self.pauses.borrow_mut().push(DaemonPause {
                    daemon,
                    from,
                    until: Instant::now(),
                });
            }
            SoakFault::Reload(daemon) => self.signal(daemon, DaemonSignal::Reload),
            SoakFault::Store(fault) => {
                self.store.set_fault(fault);
                tokio::time::sleep(length).await;
                self.store.set_fault(StoreFault::None);
            }
            SoakFault::Compact => self.store.compact(),
            SoakFault::Restore(way) => {
                let copy = self.store.copy();
                tokio::time::sleep(length).await;
                self.store.set_fault(way);
                let lost = self.store.restore(&copy);
                tokio::time::sleep(AWAY_TIME).await;
                self.store.set_fault(StoreFault::None);
                tokio::time::sleep(REWRITE_TIME).await;
                self.store.write_again(lost);
            }
            SoakFault::Silence(daemon) => self.store_paths[daemon].silence_open(),
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
                self.endpoints[endpoint].restart();
                self.register(endpoint, "ready");
            }
            SoakFault::Cut(scope, mode) => {
                self.set_cut(scope, mode);
                tokio::time::sleep(length).await;
                self.set_cut(scope, ProxyMode::Pass);
            }
            SoakFault::Configure => self.publish_config(),
            SoakFault::Answers(endpoint, answer) => {
                let paths = || self.daemon_paths.iter().map(|paths| &paths[endpoint]);
                paths().for_each(|path| path.set_mode(ProxyMode::Answer(answer)));
                self.upload(length).await;
                paths().for_each(|path| path.set_mode(ProxyMode::Pass));
            }
            SoakFault::Flood(daemon, request) => {
                let address = self.daemons.borrow()[daemon].callers();
                request.send(address, length).await;
                let peak = self.daemons.borrow_mut()[daemon].peak_memory_kb();
                self.peaks_kb.borrow_mut().extend(peak);
            }
            SoakFault::Limit(endpoint, per_second) => {
                self.endpoints[endpoint].set_rate_limit(Some(per_second.into()));
                tokio::time::sleep(length).await;
                self.endpoints[endpoint].set_rate_limit(None);
            }
        }
    }

    /// Sends uploads to all daemons for `time`.
    async fn upload(&self, time: Duration) {
        let until = Instant::now() + time;
        let addresses = self.caller_addresses().into_iter().enumerate();
        let callers = addresses.map(async |(daemon, address)| {
            let caller = SoakCaller::new(daemon, address).await;
            while Instant::now() < until {
                self.call(&caller, CallKind::Upload, "key-0").await;
                tokio::time::sleep(CALL_INTERVAL).await;
            }
        });
        join_all(callers).await;
    }

    /// Sets the mode of the paths from the daemons of `scope` to all endpoints.
    fn set_cut(&self, scope: CutScope, mode: ProxyMode) {
        for (daemon, paths) in self.daemon_paths.iter().enumerate() {
            if scope.covers(daemon) {
                for path in paths {
                    path.set_mode(mode);
                }
            }
        }
    }

    fn signal(&self, daemon: usize, signal: DaemonSignal) {
        self.daemons.borrow_mut()[daemon].signal(signal);
    }

    fn restart(&self, daemon: usize) {
        if let Err(error) = self.daemons.borrow_mut()[daemon].start() {
            eprintln!("cannot start daemon {daemon}: {error}");
        }
    }

    /// Waits until every daemon serves every kind of call. Returns whether that happened within
    /// `time_limit`.
    async fn wait_until_serving(&self, time_limit: Duration) -> bool {
        let deadline = Instant::now() + time_limit;
        let addresses = self.caller_addresses();
        for (daemon, address) in addresses.into_iter().enumerate() {
            let caller = SoakCaller::new(daemon, address).await;
            for kind in CallKind::ALL {
                while !matches!(
                    self.call(&caller, kind, "key-0").await,
                    CallOutcome::Response(StatusCode::OK, _)
                ) {
                    if Instant::now() >= deadline {
                        return false;
                    }
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
            }
        }
        true
    }

    fn runs(&self) -> Vec<RunRecord> {
        let endpoints = self.endpoints.iter();
        endpoints.flat_map(WorkerStandin::runs).collect()
    }
}

/// Draws what crashes endpoints, and when in their runs. Half of the seeds draw a part of prompts,
/// from numbers of their own.
fn draw_crash(seed: u64) -> (CallKind, CrashPoint) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(u64::BITS / 2));
    if random.random_bool(0.5) {
        let points = [
            CrashPoint::BeforeAnswer,
            CrashPoint::BeforeFirstEvent,
            CrashPoint::AfterFirstEvent,
            CrashPoint::Silent,
        ];
        let point = points.choose(&mut random).copied().unwrap_or(points[0]);
        return (CallKind::CrashingPart, point);
    }
    let kinds = [
        (CallKind::CrashingCall, CrashPoint::BeforeAnswer),
        (CallKind::CrashingStream, CrashPoint::BeforeAnswer),
        (CallKind::CrashingStream, CrashPoint::AfterFirstEvent),
        (CallKind::CrashingStream, CrashPoint::Silent),
    ];
    let mut random = SmallRng::seed_from_u64(seed);
    kinds.choose(&mut random).copied().unwrap_or(kinds[0])
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

fn complete_stream() -> String {
    let event = |id: u64| {
        let data = if id == EVENT_COUNT { "last" } else { "token" };
        format!("id: {id}\ndata: {data}\n\n")
    };
    (1..=EVENT_COUNT).map(event).collect()
}
