//! Versions of the configuration, and what each allows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use adapter_standin::{ConfigFixture, RouteFixture, ServiceFixture};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use serde_json::{Value, json};

/// Services that the main route moves between.
pub const MAIN_SERVICES: [&str; 2] = ["blue", "green"];

/// Service whose endpoints take their time.
pub const SLOW_SERVICE: &str = "slow";

/// Service with engines that gets no requests: instances open sessions with stewards only if a version
/// has such a service.
const ENGINE_SERVICE: &str = "engines";

/// Memory of each engine of that service, in tokens.
const ENGINE_MEMORY: u64 = 100_000;

/// The route that every version has and that moves between services.
pub const MAIN_ROUTE: &str = "main";

/// The route to the slow service, whose timeout is long.
pub const SLOW_ROUTE: &str = "slow";

/// The route to the slow service, whose timeout changes.
pub const CAPPED_ROUTE: &str = "capped";

/// The key that every version holds.
pub const LASTING_KEY: &str = "lasting";

/// Timeouts of routes, in milliseconds.
const MAIN_TIMEOUT_MS: u64 = 3_000;
const SLOW_TIMEOUT_MS: u64 = 9_000;
const CAPPED_TIMEOUTS_MS: [u64; 3] = [700, 1_200, 2_000];

/// Most added routes of one version.
const MAX_ADDED_ROUTES: usize = 4;

/// What a version does with a request.
#[derives::value]
pub enum RequestHandling {
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// One of these services runs it.
    RunBy(Vec<&'static str>),
}

/// Where a route leads.
#[derives::value]
pub struct StormRoute {
    /// Services among which requests are split.
    pub services: Vec<&'static str>,
    /// Timeout, in milliseconds.
    pub timeout_ms: u64,
}

/// Routes and keys of a version.
#[derives::value]
pub struct StormContent {
    /// Routes by their name, which is also their path.
    pub routes: BTreeMap<String, StormRoute>,
    /// API keys.
    pub keys: BTreeSet<String>,
}

impl StormContent {
    /// The content of the first version.
    #[must_use]
    pub fn first(idle_routes: usize) -> Self {
        let route = |service, timeout_ms| StormRoute {
            services: vec![service],
            timeout_ms,
        };
        let mut routes = BTreeMap::from([
            (
                MAIN_ROUTE.to_owned(),
                route(MAIN_SERVICES[0], MAIN_TIMEOUT_MS),
            ),
            (SLOW_ROUTE.to_owned(), route(SLOW_SERVICE, SLOW_TIMEOUT_MS)),
            (
                CAPPED_ROUTE.to_owned(),
                route(SLOW_SERVICE, CAPPED_TIMEOUTS_MS[0]),
            ),
        ]);
        for number in 0..idle_routes {
            let name = format!("idle-{number}");
            routes.insert(name, route(MAIN_SERVICES[1], MAIN_TIMEOUT_MS));
        }
        Self {
            routes,
            keys: BTreeSet::from([LASTING_KEY.to_owned()]),
        }
    }

    /// The content of a next version, numbered `version`: one or more changes to this one.
    #[must_use]
    pub fn changed(&self, version: u64, random: &mut SmallRng) -> Self {
        let mut next = self.clone();
        for _ in 0..random.random_range(1..=2) {
            next.change(version, random);
        }
        next
    }

    fn change(&mut self, version: u64, random: &mut SmallRng) {
        let main_service = [MAIN_SERVICES.choose(random).copied().unwrap_or("blue")];
        match random.random_range(0..7) {
            0 => {
                let added: Vec<String> = self.added_routes().cloned().collect();
                if added.len() >= MAX_ADDED_ROUTES {
                    self.routes.remove(&added[0]);
                }
                let route = StormRoute {
                    services: main_service.to_vec(),
                    timeout_ms: MAIN_TIMEOUT_MS,
                };
                self.routes.insert(format!("added-{version}"), route);
            }
            1 => {
                let removed = self.added_routes().cloned().choose(random);
                removed.map(|name| self.routes.remove(&name));
            }
            2 => {
                self.keys.insert(format!("key-{version}"));
            }
            3 => {
                let lasting = |key: &&String| key.as_str() != LASTING_KEY;
                let removed = self.keys.iter().filter(lasting).choose(random).cloned();
                removed.map(|key| self.keys.remove(&key));
            }
            4 => self.route_mut(CAPPED_ROUTE, |route| {
                let timeouts = CAPPED_TIMEOUTS_MS.choose(random).copied();
                route.timeout_ms = timeouts.unwrap_or(route.timeout_ms);
            }),
            5 => self.route_mut(MAIN_ROUTE, |route| route.services = MAIN_SERVICES.to_vec()),
            _ => self.route_mut(MAIN_ROUTE, |route| route.services = main_service.to_vec()),
        }
    }

    fn route_mut(&mut self, name: &str, change: impl FnOnce(&mut StormRoute)) {
        if let Some(route) = self.routes.get_mut(name) {
            change(route);
        }
    }

    /// Routes that the first version does not have.
    pub fn added_routes(&self) -> impl Iterator<Item = &String> {
        let is_added = |name: &&String| name.starts_with("added-");
        self.routes.keys().filter(is_added)
    }

    /// The configuration as it is written to the store.
    #[must_use]
    pub fn to_json(&self, version: u64) -> String {
        let routes = self.routes.iter().map(|(name, route)| RouteFixture {
            name: name.clone(),
            host: crate::HOST.to_owned(),
            prefix: format!("/{name}/"),
            kind: if name == SLOW_ROUTE || name == CAPPED_ROUTE {
                "non_idempotent"
            } else {
                "idempotent"
            },
            service: route.services[0].to_owned(),
            is_resumable: false,
            timeout_ms: route.timeout_ms,
            attempts: 2,
        });
        let service = |name: &str| ServiceFixture {
            name: name.to_owned(),
            engine_memory: (name == ENGINE_SERVICE).then_some(ENGINE_MEMORY),
        };
        let services = MAIN_SERVICES.iter().copied();
        let services = services.chain([SLOW_SERVICE, ENGINE_SERVICE]);
        let fixture = ConfigFixture {
            version,
            routes: routes.collect(),
            services: services.map(service).collect(),
            accounts: vec![("family".to_owned(), self.keys.iter().cloned().collect())],
        };
        let mut config: Value = serde_json::from_str(&fixture.to_json()).unwrap_or_default();
        let routes = self.routes.values().enumerate();
        for (index, route) in routes.filter(|(_, route)| route.services.len() > 1) {
            let target = |service: &&str| json!({ "backend": service, "weight": 50 });
            let split: Vec<Value> = route.services.iter().map(target).collect();
            config["routes"][index]["split"] = json!(split);
        }
        config.to_string()
    }
}

/// A version that the operator has sent.
#[derives::value]
pub struct SentVersion {
    /// Number of the version.
    pub version: u64,
    /// Its content.
    pub content: StormContent,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the store acknowledged it, or acknowledged it again after it had been lost.
    pub acknowledged_at: Instant,
}

impl SentVersion {
    /// What the version does with a request to `route` with `key`.
    #[must_use]
    pub fn handling(&self, route: &str, key: &str) -> RequestHandling {
        let Some(route) = self.content.routes.get(route) else {
            return RequestHandling::NoRoute;
        };
        if !self.content.keys.contains(key) {
            return RequestHandling::UnknownKey;
        }
        RequestHandling::RunBy(route.services.clone())
    }

    /// Timeout of `route`, if the version has it.
    #[must_use]
    pub fn timeout(&self, route: &str) -> Option<Duration> {
        let route = self.content.routes.get(route)?;
        Some(Duration::from_millis(route.timeout_ms))
    }
}

/// The versions that may be in force for a request that was sent at `sent` and ended at `ended`:
/// the newest that was acknowledged more than `apply_time` before it was sent, and all later ones.
#[must_use]
pub fn versions_in_force(
    versions: &[SentVersion],
    sent: Instant,
    ended: Instant,
    apply_time: Duration,
) -> &[SentVersion] {
    let begun = versions.partition_point(|version| version.sent_at <= ended);
    let applied = |version: &SentVersion| version.acknowledged_at + apply_time < sent;
    let first = versions[..begun].iter().rposition(applied).unwrap_or(0);
    &versions[first..begun]
}
