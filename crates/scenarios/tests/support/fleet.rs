//! A fleet of entry instances and stand-ins on loopback addresses.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use caller::ApiKeyDigest;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use operator::ChangeDocumentRequest;
use serde_json::{Value, json};
use transport::{ExchangeLimits, HttpClient};

use super::process::{Signal, TestProcess};

pub const API_KEY: &str = "test-key";
pub const MODEL: &str = "advice";
const ENTRY: &str = "jackdawpoint-entry";
const STANDIN: &str = "jackdawpoint-standin";

/// Longest time that a test waits for a condition or an answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in process and its listen address.
pub struct Standin {
    pub process: TestProcess,
    pub address: SocketAddr,
    args: Vec<String>,
}

impl Standin {
    pub fn new(args: &[&str]) -> Self {
        let listen = unused_address().to_string();
        let mut all = args.to_vec();
        all.extend(["--listen", &listen]);
        let (process, address) = TestProcess::with_address(STANDIN, &all);
        Self {
            process,
            address,
            args: args.iter().map(ToString::to_string).collect(),
        }
    }

    /// Kills the stand-in and starts it on the same address; its state is lost.
    pub fn restart(&mut self) {
        self.process.signal(Signal::Kill);
        self.process.wait(WAIT_TIMEOUT);
        self.start_after_exit();
    }

    /// Starts the stand-in on the same address after its process has ended.
    pub fn start_after_exit(&mut self) {
        let listen = self.address.to_string();
        let mut all: Vec<&str> = self.args.iter().map(String::as_str).collect();
        all.extend(["--listen", &listen]);
        let (process, _) = TestProcess::with_address(STANDIN, &all);
        self.process = process;
    }
}

/// Process and listen addresses of an entry instance.
pub struct EntryInstance {
    pub name: String,
    pub process: TestProcess,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
}

impl EntryInstance {
    /// Starts the instance with the same settings after its process has ended.
    pub fn start_after_exit(&mut self) {
        let file = self.settings.to_str().expect("the path is UTF-8 text");
        self.process = TestProcess::new(ENTRY, &["--settings", file]);
    }
}

/// Size and configuration of a fleet.
pub struct FleetPlan {
    pub domains: Vec<&'static str>,
    /// Entry instances in each failure domain.
    pub entries: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Service stand-ins of the whole fleet.
    pub services: usize,
    /// Additional arguments of the engine stand-ins.
    pub engine_args: Vec<&'static str>,
    /// Models that the pool serves.
    pub models: Vec<&'static str>,
    /// How the engines get their models: `fixed` or `managed`.
    pub loading: &'static str,
    /// The `limits` member of the settings.
    pub limits: Value,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            domains: vec!["a"],
            entries: 2,
            engines: 2,
            services: 1,
            engine_args: Vec::new(),
            models: vec![MODEL],
            loading: "fixed",
            limits: json!({ "lame_duck_ms": 200 }),
        }
    }
}

/// The processes of a fleet; dropping the fleet kills them.
pub struct Fleet {
    pub key_value: Standin,
    pub instances: Standin,
    pub weights: Standin,
    pub engines: Vec<Standin>,
    pub services: Vec<Standin>,
    pub entries: Vec<EntryInstance>,
    pub client: HttpClient,
}

struct EntryAddresses {
    domain: &'static str,
    name: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl Fleet {
    /// Starts a fleet, waits until it is ready and writes a template and an account.
    pub async fn start(plan: FleetPlan) -> Self {
        let fleet = Self::start_unconfigured(plan).await;
        fleet.configure().await;
        fleet
    }

    /// Starts a fleet and waits until it is ready, without a template and an account.
    pub async fn start_unconfigured(plan: FleetPlan) -> Self {
        let mut engine_args = vec!["engine"];
        engine_args.extend(&plan.engine_args);
        let engines = (0..plan.engines * plan.domains.len()).map(|_| Standin::new(&engine_args));
        let services = (0..plan.services).map(|_| Standin::new(&["service"]));
        let mut fleet = Self {
            key_value: Standin::new(&["key-value"]),
            instances: Standin::new(&["instances"]),
            weights: Standin::new(&["weights"]),
            engines: engines.collect(),
            services: services.collect(),
            entries: Vec::new(),
            client: HttpClient::new(ExchangeLimits {
                head: WAIT_TIMEOUT,
                ..ExchangeLimits::default()
            })
            .await,
        };
        let all = allocate_entry_addresses(&plan);
        for addresses in &all {
            let settings = fleet.settings(&plan, addresses, &all);
            let file = write_settings(&addresses.name, &settings);
            let path = file.to_str().expect("the path is UTF-8 text").to_owned();
            fleet.entries.push(EntryInstance {
                name: addresses.name.clone(),
                process: TestProcess::new(ENTRY, &["--settings", &path]),
                callers: addresses.callers,
                operators: addresses.operators,
                peers: addresses.peers,
                settings: file,
            });
        }
        for entry in &fleet.entries {
            fleet.wait_ready(entry).await;
        }
        fleet.wait_for_members(plan.entries).await;
        fleet
    }

    /// Waits until every instance knows `count` alive members.
    async fn wait_for_members(&self, count: usize) {
        for entry in &self.entries {
            self.eventually("every instance knows its members", async || {
                let status = self.status(entry).await;
                let members = status["members"].as_array().expect("a list");
                let alive = members.iter().filter(|row| row["status"] == "alive");
                alive.count() == count
            })
            .await;
        }
    }

    fn settings(
        &self,
        plan: &FleetPlan,
        addresses: &EntryAddresses,
        all: &[EntryAddresses],
    ) -> Value {
        let first = plan.domains.iter().position(|one| *one == addresses.domain);
        let first = first.expect("the domain is part of the plan") * plan.engines;
        let engines = self.engines[first..first + plan.engines].iter();
        let engines: Vec<Value> = engines
            .enumerate()
            .map(|(index, engine)| {
                json!({
                    "name": format!("{}-engine-{index}", addresses.domain),
                    "address": engine.address,
                    "slots": 32,
                    "memory_tokens": 400_000,
                    "prefill_rate": 1_000_000,
                })
            })
            .collect();
        let services: Vec<Value> = self
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| {
                json!({ "name": format!("orders-{index}"), "address": service.address })
            })
            .collect();
        let seeds = |domain: &str| -> Vec<SocketAddr> {
            let same = all.iter().filter(|one| one.domain == domain);
            same.map(|one| one.peers).collect()
        };
        let others: Vec<Value> = plan
            .domains
            .iter()
            .filter(|domain| **domain != addresses.domain)
            .map(|domain| json!({ "name": domain, "peers": seeds(domain) }))
            .collect();
        json!({
            "instance": addresses.name,
            "failure_domain": addresses.domain,
            "listen": {
                "callers": addresses.callers,
                "operators": addresses.operators,
                "peers": addresses.peers,
            },
            "peers": seeds(addresses.domain),
            "other_domains": others,
            "platform": {
                "key_value": self.key_value.address,
                "instances": self.instances.address,
                "weights": self.weights.address,
            },
            "pools": [{
                "name": "advice",
                "models": plan.models,
                "loading": plan.loading,
                "engines": engines,
            }],
            "services": [
                { "name": "orders", "endpoints": services },
                { "name": "lookup", "endpoints": lookup_endpoints(&services) },
            ],
            "limits": plan.limits,
        })
    }

    pub async fn wait_ready(&self, entry: &EntryInstance) {
        let url = format!("http://{}/ready", entry.callers);
        self.eventually("the instance is ready", async || {
            entry.process.assert_running();
            let request = self.client.request(Method::GET, &url);
            let answer = self.client.send(request, ntex::util::Bytes::new()).await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
    pub async fn eventually(&self, what: &str, holds: impl AsyncFn() -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !holds().await {
            assert!(Instant::now() < end, "timed out waiting until {what}");
            sleep(Millis(20)).await;
        }
    }

    pub async fn configure(&self) {
        self.set_template(&self.entries[0], 64, None).await;
        let account = json!({ "account": {
            "name": "family",
            "key_sha256": ApiKeyDigest::new(API_KEY).as_str(),
            "template": "parents",
        }});
        self.put("/operator/accounts/family", &account, None).await;
    }

    /// Writes the template with a limit on output tokens; returns the status and the body.
    pub async fn set_template(
        &self,
        at: &EntryInstance,
        output_tokens: u64,
        if_version: Option<u64>,
    ) -> (u16, Value) {
        let template = json!({ "template": {
            "name": "parents",
            "models": [{ "model": MODEL }],
            "services": [
                { "service": "orders", "calls": "once" },
                { "service": "lookup", "calls": "idempotent" },
            ],
            "output_tokens": output_tokens,
        }});
        self.put_at(at, "/operator/templates/parents", &template, if_version)
            .await
    }

    async fn put(&self, path: &str, body: &Value, if_version: Option<u64>) -> (u16, Value) {
        self.put_at(&self.entries[0], path, body, if_version).await
    }

    async fn put_at(
        &self,
        at: &EntryInstance,
        path: &str,
        body: &Value,
        if_version: Option<u64>,
    ) -> (u16, Value) {
        let change = ChangeDocumentRequest {
            body: serde_json::from_value(body.clone())
                .expect("the body is a configuration document"),
            author: "test".to_owned(),
            if_version,
        };
        let change = serde_json::to_value(&change).expect("the change can be serialized");
        self.send_json(at.operators, Method::PUT, path, &change)
            .await
    }

    pub async fn send_json(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let url = format!("http://{address}{path}");
        let request = self
            .client
            .request(method, &url)
            .content_type("application/json");
        let body = match body {
            Value::Null => Vec::new(),
            body => body.to_string().into_bytes(),
        };
        let answer = self.client.send(request, body.into()).await;
        let answer = answer.unwrap_or_else(|error| panic!("no answer from {url}: {error:?}"));
        let status = answer.status().as_u16();
        let body = self.client.read_body(&answer).await.unwrap_or_default();
        (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
    }

    pub async fn status(&self, entry: &EntryInstance) -> Value {
        let path = "/operator/status";
        self.send_json(entry.operators, Method::GET, path, &Value::Null)
            .await
            .1
    }

    /// Replaces the injected faults of a stand-in.
    pub async fn set_faults(&self, standin: &Standin, faults: Value) {
        let (status, _) = self
            .send_json(standin.address, Method::POST, "/faults", &faults)
            .await;
        assert_eq!(status, 200, "the stand-in refused the faults");
    }

    /// Number of times that a call ran, over all service stand-ins.
    pub async fn executions(&self, call: &str) -> u64 {
        let mut runs = 0;
        for service in &self.services {
            let path = "/executions";
            let answer = self.send_json(service.address, Method::GET, path, &Value::Null);
            runs += answer.await.1[call].as_u64().unwrap_or(0);
        }
        runs
    }

    /// Memory in use on an engine, in tokens.
    pub async fn used_tokens(&self, engine: &Standin) -> u64 {
        let path = "/v1/report";
        let answer = self.send_json(engine.address, Method::GET, path, &Value::Null);
        answer.await.1["used_tokens"].as_u64().expect("a number")
    }

    /// Model that an engine has loaded; empty if none.
    pub async fn loaded_model(&self, engine: &Standin) -> String {
        let path = "/v1/report";
        let answer = self.send_json(engine.address, Method::GET, path, &Value::Null);
        let report = answer.await.1;
        report["model"].as_str().unwrap_or("").to_owned()
    }

    /// Reads a metric of an entry instance; `name` includes the labels.
    pub async fn metric(&self, entry: &EntryInstance, name: &str) -> f64 {
        let url = format!("http://{}/metrics", entry.callers);
        let request = self.client.request(Method::GET, &url);
        let answer = self.client.send(request, ntex::util::Bytes::new()).await;
        let answer = answer.expect("the instance answers");
        let body = self
            .client
            .read_body(&answer)
            .await
            .expect("a complete body");
        let text = String::from_utf8_lossy(&body).into_owned();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let value = value.unwrap_or_else(|| panic!("metric {name} not found"));
        value.parse().expect("a number")
    }
}

fn lookup_endpoints(services: &[Value]) -> Vec<Value> {
    services
        .iter()
        .enumerate()
        .map(|(index, service)| {
            json!({ "name": format!("lookup-{index}"), "address": service["address"] })
        })
        .collect()
}

fn allocate_entry_addresses(plan: &FleetPlan) -> Vec<EntryAddresses> {
    let mut all = Vec::new();
    for domain in &plan.domains {
        for index in 0..plan.entries {
            all.push(EntryAddresses {
                domain,
                name: format!("{domain}-{index}"),
                callers: unused_address(),
                operators: unused_address(),
                peers: unused_address(),
            });
        }
    }
    all
}

/// First port that a test process uses, below the range of ephemeral ports that the system assigns
/// to outgoing connections.
const FIRST_PORT: u32 = 10_000;

/// Returns an unused loopback address: each test process has its own host in 127.0.0.0/8, derived
/// from its process id, and counts its ports up.
///
/// The address is not probed by binding a listener: a process that another test starts at that
/// moment would inherit the listener and keep the port in use for a while.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high + 1, middle, low);
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    let port = u16::try_from(port).expect("a test process uses fewer ports than remain");
    SocketAddr::from((host, port))
}

/// Writes settings to a new temporary file and returns its path.
pub fn write_settings(name: &str, settings: &Value) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!("{}-{name}.json", uuid::Uuid::now_v7().simple()));
    std::fs::write(&file, settings.to_string()).expect("the folder is writable");
    file
}
