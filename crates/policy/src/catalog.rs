//! Routing of requests to services, and authorization of their callers.
//!
//! A [`ServiceCatalog`] is one version of the operators' configuration. It is immutable and
//! replaced as a whole, so that every request is handled under a single version.

use std::collections::HashMap;
use std::rc::Rc;

use crate::dispatch::engine::EngineProfile;
use crate::ids::{AccountId, Millis, PoolId};
use crate::rate_limit::RequestRate;

/// Whether a request may be executed more than once.
#[derives::tag]
pub enum RepeatRule {
    /// The request is idempotent.
    Repeatable,
    /// Each attempt of the caller is executed at most once.
    Once,
}

/// Kind of an answer.
#[derives::tag]
pub enum AnswerKind {
    /// One body, which is useless unless it is complete.
    Whole,
    /// A stream of events, each of which is forwarded as it arrives.
    Events,
}

/// Access control of a route.
#[derives::tag]
pub enum RouteAccess {
    /// Anyone may use the route.
    Open,
    /// Callers need the API key of a client account.
    Keyed,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: PoolId,
    /// Share of the requests, relative to the weights of the other targets; at least 0.
    pub weight: f64,
}

/// How requests to one host under one path prefix are served.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: String,
    /// Host name in the request, without a port.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Whether requests may be executed more than once; for events, whether the stream can be
    /// resumed.
    pub repeat: RepeatRule,
    /// Kind of the answers.
    pub answer_kind: AnswerKind,
    /// Longest duration of a request, in milliseconds.
    pub timeout: Millis,
    /// Latency target for the answer or for its first event, in milliseconds.
    pub aim: Millis,
    /// Target for the longest pause between two events, in milliseconds.
    pub pause_aim: Millis,
    /// Most endpoints to which one request is sent.
    pub attempts: u32,
    /// Urgency rank; zero is the most urgent.
    pub rank: u8,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Services that receive the requests.
    pub targets: Vec<RouteTarget>,
}

impl ServiceRoute {
    /// Selects a target service by weight. `draw` is a random number between zero and one; the
    /// result is `None` if no target has a weight.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&PoolId> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        let has_weight = |target: &&RouteTarget| target.weight > 0.0;
        self.targets
            .iter()
            .rfind(has_weight)
            .map(|target| &target.service)
    }
}

/// What endpoints of a service take shortly after their start.
#[derives::value]
#[derive(Default)]
pub struct ColdProfile {
    /// Time for which an endpoint is cold after it starts during traffic, in milliseconds; `None` if
    /// the configuration states none.
    pub time: Option<Millis>,
    /// Requests a second that a cold endpoint tolerates from all instances together; `None` if it
    /// tolerates any number.
    pub rate: Option<RequestRate>,
}

/// A configured service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub service: PoolId,
    /// Cost model of the endpoints; `None` unless they are model engines.
    pub engine: Option<EngineProfile>,
    /// What its endpoints take shortly after their start.
    pub cold: ColdProfile,
}

/// API keys of a client account.
#[derives::value]
pub struct AccountKeys {
    /// The account.
    pub account: AccountId,
    /// Keys that authenticate its callers.
    pub keys: Vec<String>,
}

/// Limits on requests and connections of callers.
#[derives::value]
pub struct CallerBounds {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_time: Millis,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_time: Millis,
}

/// Why a request was not admitted.
#[derives::tag]
pub enum AdmissionError {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the request has none or an unknown one.
    UnknownKey,
}

/// The route of a request and the account of its caller.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmittedRoute {
    /// The route.
    pub route: Rc<ServiceRoute>,
    /// The caller's account; `None` on an open route and in a configuration without accounts.
    pub account: Option<AccountId>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct ServiceCatalog {
    version: u64,
    routes: HashMap<String, HashMap<String, Rc<ServiceRoute>>>,
    accounts: HashMap<String, AccountId>,
    has_accounts: bool,
    services: HashMap<PoolId, ServiceProfile>,
    bounds: CallerBounds,
}

impl ServiceCatalog {
    /// Creates an empty catalog.
    #[must_use]
    pub fn new(version: u64, bounds: CallerBounds) -> Self {
        Self {
            version,
            routes: HashMap::new(),
            accounts: HashMap::new(),
            has_accounts: false,
            services: HashMap::new(),
            bounds,
        }
    }

    /// Adds routes.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = ServiceRoute>) -> Self {
        for route in routes {
            let host = self.routes.entry(route.host.to_ascii_lowercase());
            host.or_default()
                .insert(route.prefix.clone(), Rc::new(route));
        }
        self
    }

    /// Adds client accounts. A catalog with accounts requires a key on routes that are not open.
    #[must_use]
    pub fn with_accounts(mut self, accounts: impl IntoIterator<Item = AccountKeys>) -> Self {
        self.has_accounts = true;
        for account in accounts {
            for key in account.keys {
                self.accounts.insert(key, account.account.clone());
            }
        }
        self
    }

    /// Adds services.
    #[must_use]
    pub fn with_services(mut self, services: impl IntoIterator<Item = ServiceProfile>) -> Self {
        for service in services {
            self.services.insert(service.service.clone(), service);
        }
        self
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on requests and connections of callers.
    #[must_use]
    pub fn bounds(&self) -> &CallerBounds {
        &self.bounds
    }

    /// The service with this name, if it is configured.
    #[must_use]
    pub fn service(&self, service: &PoolId) -> Option<&ServiceProfile> {
        self.services.get(service)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &ServiceRoute> {
        let hosts = self.routes.values();
        hosts.flat_map(HashMap::values).map(Rc::as_ref)
    }

    /// All configured services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceProfile> {
        self.services.values()
    }

    /// Finds the route with the longest matching prefix of `path` and authenticates the caller by
    /// its API key.
    ///
    /// # Errors
    ///
    /// `NoRoute` if no route matches; `UnknownKey` if the route requires a key and `key` belongs to
    /// no account.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<AdmittedRoute, AdmissionError> {
        let route = self.route(host, path).ok_or(AdmissionError::NoRoute)?;
        if route.access == RouteAccess::Open || !self.has_accounts {
            return Ok(AdmittedRoute {
                route,
                account: None,
            });
        }
        let account = key.and_then(|key| self.accounts.get(key));
        let account = account.ok_or(AdmissionError::UnknownKey)?.clone();
        Ok(AdmittedRoute {
            route,
            account: Some(account),
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<Rc<ServiceRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        let slashes = path.bytes().enumerate().rev();
        let prefix_ends = slashes.filter_map(|(end, byte)| (byte == b'/').then_some(end));
        for end in prefix_ends {
            if let Some(route) = routes.get(&path[..=end]) {
                return Some(Rc::clone(route));
            }
        }
        None
    }
}
