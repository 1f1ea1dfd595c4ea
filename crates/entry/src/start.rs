//! Starts and stops an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use caller::CallerLimits;
use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer};
use operator::OperatorGateway;
use settings::EntrySettings;
use timer::TimerService;

use crate::control::{Control, ControlHandle, control_channel};
use crate::gateway::WorkerGateway;
use crate::lifecycle::drain_instance;
use crate::operators::OperatorDesk;
use crate::peer_answers::PeerAnswers;
use crate::tables::EntryTables;

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
    control: Rc<Control>,
    servers: Vec<Server>,
}

/// Longest time in which callers' connections are closed at the end, in seconds.
const CLOSE_TIME: Seconds = Seconds(5);

/// How long an idle connection of a caller is kept, in seconds.
const CALLER_KEEP_ALIVE: Seconds = Seconds(75);

/// Starts an entry instance. Its control tasks run on the calling thread, which must run an ntex
/// system; its workers have threads of their own.
///
/// # Errors
///
/// When one of its addresses cannot be bound.
pub async fn start_entry(settings: EntrySettings) -> Result<RunningEntry, StartFault> {
    let callers = bind(settings.listen.callers)?;
    let operators = bind(settings.listen.operators)?;
    let peers = bind(settings.listen.peers)?;
    let timer = TimerService::new();
    let tables = Arc::new(EntryTables::new(settings, timer));
    let (handle, inbox) = control_channel();
    let control = Rc::new(Control::new(tables.clone()).await);
    Control::spawn(inbox.run(control.clone()));
    start_control(&control, peers)?;
    let servers = vec![
        serve_callers(callers, &tables, &handle)?,
        serve_operators(operators, &tables, &handle)?,
    ];
    Ok(RunningEntry { control, servers })
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartFault> {
    TcpListener::bind(address).map_err(|error| StartFault { address, error })
}

fn start_control(control: &Rc<Control>, peers: TcpListener) -> Result<(), StartFault> {
    let address = control.tables.settings.listen.peers;
    let fault = |error| StartFault { address, error };
    peers.set_nonblocking(true).map_err(fault)?;
    let listener = tokio::net::TcpListener::from_std(peers).map_err(fault)?;
    let timer = control.tables.timer.clone();
    Control::spawn(async move { timer.run().await });
    let answers = Rc::new(PeerAnswers::new(control.clone()));
    Control::spawn(peer::serve_peers(listener, answers));
    control.update_stewardship();
    Control::spawn(control.clone().run_membership());
    Control::spawn(control.clone().run_queues());
    Control::spawn(control.clone().run_listings());
    let joining = control.clone();
    Control::spawn(async move {
        // Others must know this instance before it asks them for the configuration, so that no
        // change is accepted without it.
        joining.join().await;
        joining.clone().confirm_configuration().await;
        Control::spawn(joining.clone().run_config_reader());
        Control::spawn(joining.clone().run_list_reader());
        Control::spawn(joining.run_claim_sweeper());
    });
    Ok(())
}

fn serve_callers(
    listener: TcpListener,
    tables: &Arc<EntryTables>,
    handle: &ControlHandle,
) -> Result<Server, StartFault> {
    let settings = &tables.settings;
    let address = settings.listen.callers;
    let workers = settings.workers;
    let limits = CallerLimits {
        body_bytes: settings.limits.body_bytes,
        body_ms: settings.limits.body_ms,
    };
    let (tables, handle) = (tables.clone(), handle.clone());
    let server = HttpServer::new(async move || {
        let gateway = Rc::new(WorkerGateway::new(tables.clone(), handle.clone()).await);
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
    tables: &Arc<EntryTables>,
    handle: &ControlHandle,
) -> Result<Server, StartFault> {
    let address = tables.settings.listen.operators;
    let (tables, handle) = (tables.clone(), handle.clone());
    let server = HttpServer::new(async move || {
        let desk = OperatorDesk::new(tables.clone(), handle.clone());
        let gateway: Rc<dyn OperatorGateway> = Rc::new(desk);
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
        drain_instance(self.control.tables.clone()).await;
        for server in &self.servers {
            server.stop(true).await;
        }
        self.control.say_goodbye().await;
    }

    /// Resolves when an operator's announcement has emptied the instance and it is to end.
    pub async fn emptied(&self) {
        self.control.wait_until_stopped().await;
    }

    /// Whether the balancer should send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.control.tables.is_ready()
    }
}
