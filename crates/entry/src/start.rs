//! Starts and stops an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caller::CallerLimits;
use engine::HttpEngines;
use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer};
use peer::PeerLinks;
use platform::HttpPlatform;
use service::HttpServices;
use settings::{EntrySettings, LimitSettings};
use weights::HttpWeights;

use crate::core::{EntryCore, GatewayFactory};
use crate::identity::SystemIdentity;
use crate::ports::{ControlFuture, ControlPorts, TaskSpawner, WorkerPorts};

/// Why an instance could not be started.
#[derive(Debug)]
pub struct StartFault {
    address: SocketAddr,
    error: std::io::Error,
}

impl std::fmt::Display for StartFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "cannot listen on {}: {}",
            self.address, self.error
        )
    }
}

impl std::error::Error for StartFault {}

/// A running entry instance.
pub struct RunningEntry {
    core: EntryCore,
    servers: Vec<Server>,
}

/// Longest time in which callers' connections are closed at the end, in seconds.
const CLOSE_TIME: Seconds = Seconds(5);

/// How long an idle connection of a caller is kept, in seconds.
const CALLER_KEEP_ALIVE: Seconds = Seconds(75);

/// Longest wait for the answer of another entry instance.
const PEER_ANSWER: Duration = Duration::from_millis(500);

/// Starts an entry instance. Its control tasks run on the calling thread, which must run an ntex
/// system; its workers have threads of their own.
///
/// # Errors
///
/// When one of its addresses cannot be bound.
pub async fn start_entry(settings: EntrySettings) -> Result<RunningEntry, StartFault> {
    let callers = bind(settings.listen.callers)?;
    let operators = bind(settings.listen.operators)?;
    let peers = bind_async(settings.listen.peers)?;
    let ports = control_ports(&settings).await;
    let core = EntryCore::new(settings.clone(), ports, Arc::new(SystemIdentity::new()));
    tokio::task::spawn_local(peer::serve_peers(peers, core.peer_handler()));
    core.start();
    let servers = vec![
        serve_callers(callers, &settings, core.gateways())?,
        serve_operators(operators, &settings, core.gateways())?,
    ];
    Ok(RunningEntry { core, servers })
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartFault> {
    TcpListener::bind(address).map_err(|error| StartFault { address, error })
}

fn bind_async(address: SocketAddr) -> Result<tokio::net::TcpListener, StartFault> {
    let fault = |error| StartFault { address, error };
    let listener = bind(address)?;
    listener.set_nonblocking(true).map_err(fault)?;
    tokio::net::TcpListener::from_std(listener).map_err(fault)
}

/// Runs the control tasks on the thread that starts them.
struct LocalSpawner;

impl TaskSpawner for LocalSpawner {
    fn spawn(&self, task: ControlFuture) {
        tokio::task::spawn_local(task);
    }
}

async fn control_ports(settings: &EntrySettings) -> ControlPorts {
    let address = &settings.platform;
    ControlPorts {
        platform: Rc::new(HttpPlatform::new(address.key_value, address.instances).await),
        engines: Rc::new(http_engines(&settings.limits).await),
        weights: Rc::new(HttpWeights::new(address.weights).await),
        peers: Rc::new(PeerLinks::new(PEER_ANSWER)),
        spawner: Rc::new(LocalSpawner),
    }
}

async fn worker_ports(limits: &LimitSettings) -> WorkerPorts {
    let connect = Duration::from_millis(limits.connect_ms);
    WorkerPorts {
        engines: Rc::new(http_engines(limits).await),
        services: Rc::new(HttpServices::new(connect).await),
    }
}

async fn http_engines(limits: &LimitSettings) -> HttpEngines {
    let connect = Duration::from_millis(limits.connect_ms);
    let head = Duration::from_millis(limits.silence_ms);
    HttpEngines::new(connect, head).await
}

fn serve_callers(
    listener: TcpListener,
    settings: &EntrySettings,
    gateways: GatewayFactory,
) -> Result<Server, StartFault> {
    let address = settings.listen.callers;
    let workers = settings.workers;
    let limits = CallerLimits {
        body_bytes: settings.limits.body_bytes,
        header_bytes: settings.limits.header_bytes,
        body_ms: settings.limits.body_ms,
    };
    let times = settings.limits.clone();
    let server = HttpServer::new(async move || {
        let gateway = gateways.callers(worker_ports(&times).await);
        let limits = limits.clone();
        App::new().configure(move |config| caller::configure(config, gateway, limits))
    });
    let server = server
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(CLOSE_TIME)
        .config(server_config("callers"))
        .listen(listener)
        .map_err(|error| StartFault { address, error })?;
    Ok(server.run())
}

fn serve_operators(
    listener: TcpListener,
    settings: &EntrySettings,
    gateways: GatewayFactory,
) -> Result<Server, StartFault> {
    let address = settings.listen.operators;
    let server = HttpServer::new(async move || {
        let gateway = gateways.operators();
        App::new().configure(move |config| operator::configure(config, gateway))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .shutdown_timeout(CLOSE_TIME)
        .config(server_config("operators"))
        .listen(listener)
        .map_err(|error| StartFault { address, error })?;
    Ok(server.run())
}

fn server_config(name: &'static str) -> SharedCfg {
    let config = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(CALLER_KEEP_ALIVE));
    SharedCfg::new(name).add(config).into()
}

impl RunningEntry {
    /// Stops the instance gracefully: every request that was admitted is brought to its end.
    pub async fn stop(self) {
        self.core.drain().await;
        for server in &self.servers {
            server.stop(true).await;
        }
        self.core.say_goodbye().await;
    }

    /// Resolves when an operator has announced that this instance stops.
    pub async fn stop_announced(&self) {
        self.core.stop_announced().await;
    }

    /// Whether the balancer should send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }
}
