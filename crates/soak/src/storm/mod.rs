//! Storm of configurations: versions in quick succession on a deployment's number of instances, with
//! its bounds, beside faults and planned work.

mod disruption;
mod faults;
mod paths;
mod rules;
mod site;
mod version;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter_standin::{ResponsePlan, StoreStandin, WorkerStandin};
use futures::future::join_all;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use tokio::time::MissedTickBehavior;

pub use self::disruption::{DisruptionLog, DisruptionPlan, DisruptionScope};
use self::paths::StormPaths;
pub use self::rules::{StormCall, StormOutcome, StormRecord, StormRun};
pub use self::site::StormSite;
use self::version::{
    CAPPED_ROUTE, LASTING_KEY, MAIN_ROUTE, MAIN_SERVICES, SLOW_ROUTE, SLOW_SERVICE,
};
pub use self::version::{
    RequestHandling, SentVersion, StormContent, StormRoute, versions_in_force,
};
use crate::caller::{StormCaller, StormRequest};
use crate::check::Violation;
use crate::daemon::SoakDaemon;

/// Key of the configuration in the store.
const CONFIG_KEY: &str = "op/config";

/// Endpoints of each service that requests move between.
const ENDPOINTS_PER_SERVICE: usize = 3;

/// Time that these endpoints need for a request.
const WORK_TIME: Duration = Duration::from_millis(10);

/// Times that the endpoints of the slow service need.
const SLOW_WORK_TIMES: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(6),
];

/// Time for which the storm lasts, and for which it calms down.
const STORM_TIME: Duration = Duration::from_secs(24);
const CALM_TIME: Duration = Duration::from_secs(9);

/// Time within which all instances start, and within which each must serve.
const START_SPREAD: Duration = Duration::from_millis(300);
const READY_TIME: Duration = Duration::from_secs(20);

/// Times between two versions, in milliseconds: in quick succession, and far apart.
const VERSION_GAPS_MS: [[u64; 4]; 2] = [[100, 300, 900, 2_500], [2_500, 4_500, 6_000, 8_000]];

/// One of so many seeds has large versions, and the number of their unused routes.
const LARGE_SEEDS: u64 = 2;
const LARGE_IDLE_ROUTES: usize = 1_400;

/// Time between two versions of a burst.
const BURST_GAP: Duration = Duration::from_millis(60);

/// Time for which an unreadable configuration lies in the store.
const INVALID_TIME: Duration = Duration::from_millis(150);

/// Share of the versions that go back to an earlier content, and that follow an invalid one.
const REVERT_SHARE: f64 = 0.2;
const INVALID_SHARE: f64 = 0.1;

/// Number of versions back to which requests may name routes and keys.
const REMEMBERED_VERSIONS: usize = 6;

/// Time that callers give requests, and requests to the slow service.
const DEADLINE: Duration = Duration::from_secs(4);
const SLOW_DEADLINE: Duration = Duration::from_secs(10);

/// Pause of the caller of the slow service between its requests.
const SLOW_PAUSE: Duration = Duration::from_millis(250);

/// Interval at which the storm looks at processes.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Result of a storm.
#[derive(Debug)]
pub struct StormReport {
    /// Number of versions that were sent.
    pub versions: usize,
    /// Number of disruptions and planned stops.
    pub disruptions: usize,
    /// Number of requests.
    pub calls: usize,
    /// Number of requests that show the version under which an instance in touch handled them.
    pub judged: usize,
    /// Violated rules.
    pub violations: Vec<Violation>,
}

/// What disrupts the fleet in a storm.
#[derives::tag]
enum StormMood {
    /// Planned work only.
    Planned,
    /// Faults, and planned work.
    Faults,
    /// Faults, planned work, and returns of the store from a copy.
    Drills,
}

impl StormMood {
    const ALL: [Self; 3] = [Self::Planned, Self::Drills, Self::Faults];
}

/// A fleet under a storm, with the stand-ins around it.
struct Storm {
    site: StormSite,
    mood: StormMood,
    store: StoreStandin,
    daemons: RefCell<Vec<SoakDaemon>>,
    domains: Vec<usize>,
    paths: StormPaths,
    /// Endpoints with their service and the time that they need for a request.
    endpoints: Vec<(WorkerStandin, &'static str, Duration)>,
    versions: RefCell<Vec<SentVersion>>,
    disruptions: DisruptionLog,
    /// Whether the operator's writes are not answered at present.
    is_store_away: Cell<bool>,
    /// Daemons that a fault or a stop already affects.
    is_struck: RefCell<Vec<bool>>,
    calls: RefCell<Vec<StormCall>>,
    next_call: Cell<u64>,
    ends_at: Cell<Instant>,
}

/// Runs the storm of a seed and reports the violations. Must be called within a running ntex system.
/// Each start of a daemon takes the next of `programs`. Settings and logs are written to `folder`.
///
/// # Errors
///
/// When a process or a listener cannot be started.
pub async fn run_storm(
    seed: u64,
    site: &StormSite,
    programs: &[PathBuf],
    folder: &Path,
) -> anyhow::Result<StormReport> {
    let storm = Rc::new(Storm::new(seed, site, programs, folder).await?);
    let mut random = SmallRng::seed_from_u64(seed);
    storm.start_daemons(&mut random).await?;
    let mut violations = Vec::new();
    if !storm.wait_until_serving().await {
        let observed = "at least one daemon did not within the time limit".to_owned();
        violations.push(Violation::new(
            "every daemon serves after the start",
            observed,
        ));
    }
    storm.ends_at.set(Instant::now() + STORM_TIME);
    let callers = storm.start_callers(seed).await;
    let operator = Rc::clone(&storm);
    let operator = tokio::task::spawn_local(async move { operator.publish_versions(seed).await });
    storm.disrupt(seed).await;
    operator.await?;
    tokio::time::sleep(CALM_TIME).await;
    storm.ends_at.set(Instant::now());
    join_all(callers).await;
    let calls = storm.recorded_calls();
    let versions = storm.versions.borrow();
    let record = StormRecord {
        site: &storm.site,
        versions: &versions,
        disruptions: &storm.disruptions,
        calls: &calls,
    };
    violations.extend(record.violations());
    Ok(StormReport {
        versions: versions.len(),
        disruptions: storm.disruptions.count(),
        calls: calls.len(),
        judged: record.judged(),
        violations,
    })
}

impl Storm {
    async fn new(
        seed: u64,
        site: &StormSite,
        programs: &[PathBuf],
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let store = StoreStandin::new(any);
        let domains = site.domains();
        let fast = MAIN_SERVICES
            .iter()
            .flat_map(|service| [(*service, WORK_TIME); ENDPOINTS_PER_SERVICE]);
        let slow = SLOW_WORK_TIMES.iter().map(|time| (SLOW_SERVICE, *time));
        let endpoints = fast
            .chain(slow)
            .enumerate()
            .map(|(index, (service, work_time))| {
                let plan = ResponsePlan {
                    events: 1,
                    pause: work_time,
                    is_close_delimited: false,
                };
                let name = format!("{service}-{index}");
                (WorkerStandin::new(&name, any, plan), service, work_time)
            });
        let endpoints: Vec<_> = endpoints.collect();
        let mut paths = StormPaths::new(&store);
        for (endpoint, _, _) in &endpoints {
            paths.add_endpoint(endpoint.address()).await?;
        }
        let mut daemons = Vec::new();
        for (index, domain) in domains.iter().enumerate() {
            let name = format!("entry-{index}");
            let domain = format!("domain-{domain}");
            let address = paths.add_store().await?;
            let daemon = SoakDaemon::new(programs, index, folder, &name, &domain, address)?;
            daemon.set_bound("notice_ms", site.stable_time.as_millis())?;
            paths.add_peers(daemon.peers()).await?;
            daemons.push(daemon);
        }
        let new = Self {
            site: site.clone(),
            mood: StormMood::ALL[usize::try_from(seed % 3)?],
            store,
            is_struck: RefCell::new(vec![false; daemons.len()]),
            daemons: RefCell::new(daemons),
            domains,
            paths,
            endpoints,
            versions: RefCell::default(),
            disruptions: DisruptionLog::new(),
            is_store_away: Cell::new(false),
            calls: RefCell::default(),
            next_call: Cell::new(0),
            ends_at: Cell::new(Instant::now()),
        };
        for index in 0..new.endpoints.len() {
            new.register(index, "ready");
        }
        let idle_routes = if seed % LARGE_SEEDS == 1 {
            LARGE_IDLE_ROUTES
        } else {
            site.idle_routes
        };
        new.publish(StormContent::first(idle_routes));
        Ok(new)
    }

    /// Writes the entry of an endpoint.
    fn register(&self, index: usize, state: &str) {
        let (endpoint, service, _) = &self.endpoints[index];
        let domain = index % self.site.domain_sizes.len();
        let entry = endpoint.entry(service, &format!("domain-{domain}"), state);
        self.store
            .put(&format!("servers/{}", endpoint.id()), &entry);
    }

    /// Sends a version with this content and records its acknowledgement.
    fn publish(&self, content: StormContent) {
        let version = self.newest_number() + 1;
        let sent_at = Instant::now();
        self.store.put(CONFIG_KEY, &content.to_json(version));
        self.versions.borrow_mut().push(SentVersion {
            version,
            content,
            sent_at,
            acknowledged_at: Instant::now(),
        });
    }

    fn newest_number(&self) -> u64 {
        self.versions
            .borrow()
            .last()
            .map_or(0, |newest| newest.version)
    }

    /// Publishes versions until the storm ends.
    async fn publish_versions(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed.rotate_left(17));
        let gaps = VERSION_GAPS_MS
            .choose(&mut random)
            .copied()
            .unwrap_or_default();
        while Instant::now() < self.ends_at.get() {
            let gap = gaps.choose(&mut random).copied().unwrap_or(0);
            tokio::time::sleep(Duration::from_millis(gap)).await;
            if random.random_bool(INVALID_SHARE) && !self.is_store_away.get() {
                self.store
                    .put(CONFIG_KEY, "{\"version\": 1000000, \"routes\": [{");
                tokio::time::sleep(INVALID_TIME).await;
            }
            while self.is_store_away.get() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let content = {
                let versions = self.versions.borrow();
                let earlier = versions.choose(&mut random);
                let newest = versions.last().map(|newest| &newest.content);
                match (earlier, newest) {
                    (Some(earlier), _) if random.random_bool(REVERT_SHARE) => {
                        earlier.content.clone()
                    }
                    (_, Some(newest)) => newest.changed(self.newest_number() + 1, &mut random),
                    _ => continue,
                }
            };
            self.publish(content);
        }
    }

    /// Publishes versions for `length`, as close as [`BURST_GAP`].
    async fn publish_burst(&self, length: Duration, random: &mut SmallRng) {
        let ends_at = Instant::now() + length;
        let mut pace = tokio::time::interval(BURST_GAP);
        pace.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while Instant::now() < ends_at {
            pace.tick().await;
            let newest = self.versions.borrow().last().cloned();
            if let Some(newest) = newest.filter(|_| !self.is_store_away.get()) {
                self.publish(newest.content.changed(newest.version + 1, random));
            }
        }
    }

    /// Starts all daemons within [`START_SPREAD`], in any order.
    async fn start_daemons(&self, random: &mut SmallRng) -> anyhow::Result<()> {
        let mut order: Vec<usize> = (0..self.domains.len()).collect();
        order.shuffle(random);
        let pause = START_SPREAD / u32::try_from(order.len())?;
        for index in order {
            self.daemons.borrow_mut()[index].start()?;
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Waits until every daemon serves the main route. Returns whether that happened in time.
    async fn wait_until_serving(&self) -> bool {
        let deadline = Instant::now() + READY_TIME;
        for daemon in 0..self.domains.len() {
            let caller = StormCaller::new(self.address(daemon)).await;
            let request = self.request(daemon, MAIN_ROUTE, LASTING_KEY);
            while caller.call(&request).await.0 != StormOutcome::Answered(200) {
                if Instant::now() >= deadline {
                    return false;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        true
    }

    fn address(&self, daemon: usize) -> SocketAddr {
        self.daemons.borrow()[daemon].callers()
    }

    fn request(&self, daemon: usize, route: &str, key: &str) -> StormRequest {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        StormRequest {
            id: format!("storm-{daemon}-{number}"),
            route: route.to_owned(),
            key: key.to_owned(),
            deadline: if route == SLOW_ROUTE {
                SLOW_DEADLINE
            } else {
                DEADLINE
            },
        }
    }

    /// Starts the callers of all daemons: one whose requests show the version in force, and one of
    /// the slow service.
    async fn start_callers(self: &Rc<Self>, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let daemons = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        let pause = Duration::from_secs(1) * daemons / self.site.calls_per_second;
        let mut tasks = Vec::new();
        for daemon in 0..self.domains.len() {
            let salt = u64::try_from(daemon).unwrap_or(0);
            let mut random = SmallRng::seed_from_u64(seed.wrapping_mul(1_009).wrapping_add(salt));
            let caller = StormCaller::new(self.address(daemon)).await;
            let storm = Rc::clone(self);
            tasks.push(tokio::task::spawn_local(async move {
                while Instant::now() < storm.ends_at.get() + CALM_TIME {
                    let (route, key) = storm.draw_target(&mut random);
                    storm.call(&caller, daemon, &route, &key).await;
                    tokio::time::sleep(pause.mul_f64(random.random_range(0.5..1.5))).await;
                }
            }));
            let slow_caller = StormCaller::new(self.address(daemon)).await;
            let storm = Rc::clone(self);
            tasks.push(tokio::task::spawn_local(async move {
                for route in [SLOW_ROUTE, CAPPED_ROUTE].into_iter().cycle() {
                    if Instant::now() >= storm.ends_at.get() {
                        return;
                    }
                    storm.call(&slow_caller, daemon, route, LASTING_KEY).await;
                    tokio::time::sleep(SLOW_PAUSE).await;
                }
            }));
        }
        tasks
    }

    async fn call(&self, caller: &StormCaller, daemon: usize, route: &str, key: &str) {
        let request = self.request(daemon, route, key);
        let sent = Instant::now();
        let (outcome, ended) = caller.call(&request).await;
        self.calls.borrow_mut().push(StormCall {
            id: request.id,
            daemon,
            route: request.route,
            key: request.key,
            deadline: request.deadline,
            sent,
            ended,
            outcome,
            runs: Vec::new(),
        });
    }

    /// Draws the route and the key of a request, each of which some recent version has.
    fn draw_target(&self, random: &mut SmallRng) -> (String, String) {
        let versions = self.versions.borrow();
        let recent = &versions[versions.len().saturating_sub(REMEMBERED_VERSIONS)..];
        let mut routes = vec![MAIN_ROUTE.to_owned()];
        let mut keys = vec![LASTING_KEY.to_owned()];
        if let Some(version) = recent.choose(random) {
            routes.extend(version.content.added_routes().cloned());
            keys.extend(version.content.keys.iter().cloned());
        }
        let main = || MAIN_ROUTE.to_owned();
        let lasting = || LASTING_KEY.to_owned();
        match random.random_range(0..3) {
            0 => (main(), lasting()),
            1 => (
                routes.choose(random).cloned().unwrap_or_else(main),
                lasting(),
            ),
            _ => (main(), keys.choose(random).cloned().unwrap_or_else(lasting)),
        }
    }

    /// All requests with their runs.
    fn recorded_calls(&self) -> Vec<StormCall> {
        let mut runs: HashMap<String, Vec<StormRun>> = HashMap::new();
        for (endpoint, service, work_time) in &self.endpoints {
            for run in endpoint.runs() {
                runs.entry(run.request_id).or_default().push(StormRun {
                    service,
                    started_at: run.started_at,
                    work_time: *work_time,
                });
            }
        }
        let mut calls = self.calls.borrow().clone();
        for call in &mut calls {
            call.runs = runs.remove(&call.id).unwrap_or_default();
        }
        calls
    }
}
