//! The form of the settings file.

use std::net::SocketAddr;

use schemars::JsonSchema;

/// Everything that one entry instance is told at its start.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this instance, unique in the fleet.
    pub instance: String,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Addresses on which it listens.
    pub listen: ListenSettings,
    /// Worker threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Peer addresses of entry instances of the same failure domain to start from.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The other failure domains, each with peer addresses to start from.
    #[serde(default)]
    pub other_domains: Vec<FailureDomainSettings>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Pools of model engines in this failure domain.
    #[serde(default)]
    pub pools: Vec<PoolSettings>,
    /// Plain services in this failure domain.
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
    /// What routing weighs most.
    #[serde(default)]
    pub objective: Objective,
    /// Bounds on sizes and times.
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
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entry instances.
    pub peers: SocketAddr,
}

/// Another failure domain.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct FailureDomainSettings {
    /// Its name.
    pub name: String,
    /// Peer addresses of some of its entry instances.
    pub peers: Vec<SocketAddr>,
}

/// The platform's services.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Address of the list of live and leaving instances.
    pub instances: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
}

/// A group of engines that serve the same models.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Its name.
    pub name: String,
    /// Models that its engines serve.
    pub models: Vec<String>,
    /// Whether entry instances order its engines which model to load.
    #[serde(default)]
    pub loading: PoolLoading,
    /// Its engines.
    pub engines: Vec<EngineSettings>,
}

/// Whether entry instances order engines which model to load.
#[derive(Default, JsonSchema, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum PoolLoading {
    /// They do not: each engine serves every model of its pool.
    #[default]
    Fixed,
    /// They do: each engine serves the one model that it has loaded.
    Managed,
}

/// A model engine.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name, unique in the failure domain.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Streams that it runs side by side.
    pub slots: u32,
    /// Key-value cache memory, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens read a second.
    pub prefill_rate: u64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: EngineFencing,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Default, JsonSchema, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum EngineFencing {
    /// It does.
    Checked,
    /// It takes any order.
    #[default]
    Ignored,
}

/// A plain service.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name, as callers write it.
    pub name: String,
    /// Its workers.
    pub endpoints: Vec<EndpointSettings>,
}

/// A plain-service worker.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Its name, unique in the failure domain.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What routing weighs most.
#[derive(Default, JsonSchema, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Short requests are slowed as little as possible by long ones.
    #[default]
    ShortSlowdown,
    /// The time to first token is short at all prompt lengths.
    FirstToken,
}

/// Bounds on sizes and times; times are in milliseconds.
#[derive(JsonSchema)]
#[derives::wire]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body that a caller may send, in bytes.
    pub body_bytes: usize,
    /// Largest head that a caller may send, in bytes: the path and all headers.
    pub header_bytes: usize,
    /// Longest time in which a caller must have sent its body.
    pub body_ms: u64,
    /// Time of a request whose caller names none.
    pub default_timeout_ms: u64,
    /// Longest time that a caller may name.
    pub largest_timeout_ms: u64,
    /// Time until a connection to an endpoint must stand.
    pub connect_ms: u64,
    /// Silence after which a stream is taken for broken, beyond the expected first token.
    pub silence_ms: u64,
    /// Prompts of more tokens than this are long.
    pub long_tokens: u64,
    /// How long an idempotency key is remembered.
    pub claim_window_ms: u64,
    /// How long late arrivals are still served after a signal to stop.
    pub lame_duck_ms: u64,
    /// How long a quarantined prompt is refused.
    pub quarantine_ms: u64,
    /// Retries that each hundred first attempts earn.
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
