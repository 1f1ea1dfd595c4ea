//! Types of the settings file.
//!
//! The doc comments of these types are the descriptions in the JSON schema.

use std::net::SocketAddr;

use schemars::JsonSchema;

/// Settings that an entry instance reads at its start.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this instance, unique in the fleet.
    pub instance: String,
    /// Failure domain in which this instance runs.
    pub failure_domain: String,
    /// Addresses on which this instance listens.
    pub listen: ListenSettings,
    /// Number of worker threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Peer addresses of entry instances of the same failure domain through which this instance
    /// joins the fleet.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The other failure domains, each with peer addresses through which it is reached first.
    #[serde(default)]
    pub other_domains: Vec<FailureDomainSettings>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Pools of model engines in this failure domain.
    #[serde(default)]
    pub pools: Vec<PoolSettings>,
    /// Plain services in this failure domain.
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
    /// Objective of the routing of prompts.
    #[serde(default)]
    pub objective: Objective,
    /// Limits on sizes and times.
    #[serde(default)]
    pub limits: LimitSettings,
}

fn default_workers() -> usize {
    2
}

/// Addresses on which an instance listens.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entry instances.
    pub peers: SocketAddr,
}

/// Another failure domain.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct FailureDomainSettings {
    /// Name of the failure domain.
    pub name: String,
    /// Peer addresses of some of its entry instances; at least one.
    pub peers: Vec<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Address of the service that lists live and leaving instances.
    pub instances: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
}

/// A group of engines that serve the same models.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Name of the pool.
    pub name: String,
    /// Models that its engines serve; at least one.
    pub models: Vec<String>,
    /// Whether entry instances decide which model each of its engines loads.
    #[serde(default)]
    pub loading: PoolLoading,
    /// Engines of the pool.
    pub engines: Vec<EngineSettings>,
}

/// Whether entry instances decide which model each engine of a pool loads.
#[derive(Default, JsonSchema, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum PoolLoading {
    /// Entry instances send no load orders; each engine serves every model of its pool.
    #[default]
    Fixed,
    /// Entry instances send load orders; each engine serves only the model that it has loaded.
    Managed,
}

/// A model engine.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the engine, unique among the endpoints of the failure domain.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of streams that it runs concurrently.
    pub slots: u32,
    /// Capacity of its key-value cache, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens that it prefills per second.
    pub prefill_rate: u64,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: EngineFencing,
}

/// Whether an engine rejects orders with an outdated fencing token.
#[derive(Default, JsonSchema, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum EngineFencing {
    /// The engine rejects orders whose fencing token is lower than one that it has seen.
    Checked,
    /// The engine carries out any order.
    #[default]
    Ignored,
}

/// A plain service.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service in the paths of callers' requests.
    pub name: String,
    /// Endpoints of the service.
    pub endpoints: Vec<EndpointSettings>,
}

/// An endpoint of a plain service.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Name of the endpoint, unique among the endpoints of the failure domain.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Objective of the routing of prompts.
#[derive(Default, JsonSchema, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Minimizes how much long requests slow down short ones.
    #[default]
    ShortSlowdown,
    /// Minimizes the time to first token at all prompt lengths.
    FirstToken,
}

/// Limits on sizes and times; times are in milliseconds.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of the path and all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Time in which a caller must have sent the whole body of its request.
    pub body_ms: u64,
    /// Timeout of a request whose caller gives none.
    pub default_timeout_ms: u64,
    /// Maximum timeout of a request; a larger one that a caller gives is reduced to it.
    pub largest_timeout_ms: u64,
    /// Timeout for connecting to an endpoint.
    pub connect_ms: u64,
    /// Time without an event after which a stream counts as broken; before the first token, a
    /// multiple of the expected time to it is allowed in addition.
    pub silence_ms: u64,
    /// Number of prompt tokens above which a request counts as long.
    pub long_tokens: u64,
    /// Time for which an idempotency key is remembered.
    pub claim_window_ms: u64,
    /// Time after a signal or an announcement to leave during which new requests are still served.
    pub lame_duck_ms: u64,
    /// Time for which a quarantined prompt is refused.
    pub quarantine_ms: u64,
    /// Retries that the retry budget gains with every 100 first attempts.
    pub retry_percent: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 16 * 1_024 * 1_024,
            header_bytes: 16 * 1_024,
            body_ms: 30_000,
            default_timeout_ms: 60_000,
            largest_timeout_ms: 3_600_000,
            connect_ms: 500,
            silence_ms: 2_000,
            long_tokens: 32_768,
            claim_window_ms: 24 * 60 * 60 * 1_000,
            lame_duck_ms: 1_000,
            quarantine_ms: 600_000,
            retry_percent: 10,
        }
    }
}
