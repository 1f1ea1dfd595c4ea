//! Opens connections to endpoints: directly, or through another instance while the direct path is
//! blocked.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::{Either, join_all, select};
use futures::stream::FuturesUnordered;
use peer::{
    HostReport, TunnelError, TunnelPurpose, TunnelRefusal, TunnelStream, open_tunnel,
    report_to_host,
};
use policy::dispatch::placement::EndpointTarget;
use policy::endpoint_path::{PathChange, PathPlan, PathProbe, PathTable};
use policy::ids::{DomainId, EndpointId, Millis};
use policy::tunnel::{TunnelHost, TunnelTable};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::clock::BootClock;

/// Limit for connecting: a few round trips between failure domains. An endpoint that takes longer
/// is dead, cut off or overloaded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Limit for connecting on behalf of another instance, which has waited before.
const HOSTED_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Limit for connecting to other endpoints, to see whether this instance reaches any.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(100);

/// Head start of the direct path before a tunnel, and of a tunnel before the next one. A machine
/// that has used up its CPU quota may stall for 100 ms.
const HEAD_START: Duration = Duration::from_millis(120);

/// Limit for the answer of one instance that is asked for a tunnel: both of its limits, and a few
/// round trips.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Why no connection was opened.
#[derives::tag]
pub enum ConnectError {
    /// The endpoint cannot be reached, as far as is known from anywhere.
    EndpointLost,
    /// The endpoint leaves, as the host of a tunnel knows.
    EndpointLeaving,
    /// This instance has no path to the endpoint, which says nothing about it.
    NoPath,
}

/// A direct connection, or one through a tunnel.
pub type EndpointStream = tokio_util::either::Either<TcpStream, TunnelStream>;

/// An open connection to an endpoint.
pub struct OpenConnection {
    pub stream: EndpointStream,
    /// The tunnel that the connection uses, if any.
    pub tunnel: Option<TunnelUse>,
}

impl OpenConnection {
    fn direct(stream: TcpStream) -> Self {
        Self {
            stream: EndpointStream::Left(stream),
            tunnel: None,
        }
    }
}

/// Counts a tunnel through an instance as open until it is dropped.
pub struct TunnelUse {
    connector: Rc<EndpointConnector>,
    host: TunnelHost,
}

impl TunnelUse {
    /// Tells the tunnel's host what the endpoint has said in an answer that came through it.
    pub fn report(&self, report: HostReport) {
        let host = self.host.clone();
        tokio::task::spawn_local(async move {
            let told = report_to_host(host.address, &report, TUNNEL_TIMEOUT).await;
            if let Err(error) = told {
                spdlog::info!("tunnel's host not told", kv: {
                    host = host.instance.as_str(),
                    report:? = report,
                    error:,
                });
            }
        });
    }
}

impl Drop for TunnelUse {
    fn drop(&mut self) {
        self.connector
            .tunnels
            .borrow_mut()
            .closed(&self.host.instance);
    }
}

/// Names the instances that can be asked for tunnels.
pub trait TunnelDirectory {
    /// The other instances of the fleet that serve tunnels.
    fn tunnel_hosts(&self) -> Vec<TunnelHost>;
}

/// Opens the connections of one instance to endpoints.
pub struct EndpointConnector {
    clock: BootClock,
    paths: RefCell<PathTable>,
    tunnels: RefCell<TunnelTable>,
    directory: Rc<dyn TunnelDirectory>,
    /// Number of known endpoints.
    endpoints: Cell<usize>,
    /// Number of tunnels opened so far.
    opened_tunnels: Cell<u64>,
}

impl EndpointConnector {
    /// Creates a connector for an instance in `domain`.
    #[must_use]
    pub fn new(clock: BootClock, domain: DomainId, directory: Rc<dyn TunnelDirectory>) -> Self {
        Self {
            clock,
            paths: RefCell::new(PathTable::new()),
            tunnels: RefCell::new(TunnelTable::new(domain)),
            directory,
            endpoints: Cell::new(0),
            opened_tunnels: Cell::new(0),
        }
    }

    /// Whether this instance is cut off from the endpoints.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.paths.borrow().is_cut_off()
    }

    /// Time of the clock that findings about paths are dated by.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Number of tunnels that this instance has opened so far.
    #[must_use]
    pub fn opened_tunnels(&self) -> u64 {
        self.opened_tunnels.get()
    }

    /// Sets the number of known endpoints, and drops what was found out about others.
    pub fn set_endpoints(&self, count: usize, is_known: impl Fn(&EndpointId) -> bool) {
        self.endpoints.set(count);
        self.paths.borrow_mut().retain(is_known);
    }

    /// Opens a connection to an endpoint for `purpose`. Nothing is sent on it.
    ///
    /// # Errors
    ///
    /// If the endpoint is reached on no path.
    pub async fn connect(
        self: &Rc<Self>,
        target: &EndpointTarget,
        purpose: TunnelPurpose,
    ) -> Result<OpenConnection, ConnectError> {
        let now = self.clock.now();
        let plan = self.paths.borrow_mut().plan(&target.endpoint, now);
        match plan {
            PathPlan::DirectFirst => self.connect_hedged(target, purpose).await,
            PathPlan::DirectOnly => {
                let opened = self.connect_directly(target, CONNECT_TIMEOUT).await;
                let stream = opened.map_err(|_| ConnectError::EndpointLost)?;
                Ok(OpenConnection::direct(stream))
            }
            PathPlan::Tunnel(probe) => {
                if probe == PathProbe::Due {
                    self.probe(target);
                }
                match self.connect_through_tunnel(target, purpose).await {
                    Ok(opened) => Ok(opened),
                    // The direct path may be open again.
                    Err(error) => self.connect_instead(target, error).await,
                }
            }
        }
    }

    /// Connects directly after other paths have failed with `error`.
    async fn connect_instead(
        &self,
        target: &EndpointTarget,
        error: ConnectError,
    ) -> Result<OpenConnection, ConnectError> {
        let opened = self.connect_directly(target, CONNECT_TIMEOUT).await;
        opened.map(OpenConnection::direct).map_err(|_| error)
    }

    /// Connects directly, and through a tunnel as well if that takes long or fails.
    async fn connect_hedged(
        self: &Rc<Self>,
        target: &EndpointTarget,
        purpose: TunnelPurpose,
    ) -> Result<OpenConnection, ConnectError> {
        let mut direct = pin!(self.connect_directly(target, CONNECT_TIMEOUT));
        match timeout(HEAD_START, &mut direct).await {
            Ok(Ok(stream)) => return Ok(OpenConnection::direct(stream)),
            Ok(Err(_)) => return self.bypass(target, purpose).await,
            Err(_) => {}
        }
        let tunnel = pin!(self.bypass(target, purpose));
        match select(direct, tunnel).await {
            Either::Left((Ok(stream), _)) => Ok(OpenConnection::direct(stream)),
            Either::Left((Err(_), tunnel)) => tunnel.await,
            Either::Right((Ok(opened), _)) => Ok(opened),
            Either::Right((Err(error), direct)) => {
                direct.await.map(OpenConnection::direct).map_err(|_| error)
            }
        }
    }

    /// Connects through a tunnel to an endpoint whose direct path has failed or takes long, which
    /// shows that the path is blocked.
    async fn bypass(
        self: &Rc<Self>,
        target: &EndpointTarget,
        purpose: TunnelPurpose,
    ) -> Result<OpenConnection, ConnectError> {
        let opened = self.connect_through_tunnel(target, purpose).await?;
        let (now, endpoints) = (self.clock.now(), self.endpoints.get());
        let mut paths = self.paths.borrow_mut();
        log_change(paths.bypassed(&target.endpoint, endpoints, now));
        Ok(opened)
    }

    /// Connects directly within `time_limit`.
    pub(crate) async fn connect_directly(
        &self,
        target: &EndpointTarget,
        time_limit: Duration,
    ) -> io::Result<TcpStream> {
        let EndpointTarget { endpoint, address } = target;
        let started_at = Instant::now();
        let connected = timeout(time_limit, open_stream(*address)).await;
        match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(stream) => {
                let now = self.clock.now();
                let change = self.paths.borrow_mut().direct_opened(endpoint, now);
                log_change(change);
                Ok(stream)
            }
            Err(error) => {
                let now = self.clock.now();
                self.paths.borrow_mut().direct_failed(endpoint, now);
                spdlog::info!("endpoint not reached", kv: {
                    endpoint = endpoint.as_str(),
                    address: = *address,
                    cause:? = error.kind(),
                    took = started_at.elapsed().as_millis(),
                });
                Err(error)
            }
        }
    }

    /// Probes the direct path to an endpoint beside a request.
    fn probe(self: &Rc<Self>, target: &EndpointTarget) {
        let (connector, target) = (Rc::clone(self), target.clone());
        tokio::task::spawn_local(async move {
            // The findings are what the probe is for.
            let _ = connector.connect_directly(&target, CONNECT_TIMEOUT).await;
        });
    }

    /// Asks other instances for a tunnel, one after the other, until one opens it or says that the
    /// endpoint is lost.
    async fn connect_through_tunnel(
        self: &Rc<Self>,
        target: &EndpointTarget,
        purpose: TunnelPurpose,
    ) -> Result<OpenConnection, ConnectError> {
        let hosts = self.directory.tunnel_hosts();
        let chosen = self.tunnels.borrow_mut().choose(&hosts, self.clock.now());
        let mut hosts = chosen.into_iter();
        let mut requests = FuturesUnordered::new();
        let mut is_held = false;
        loop {
            if let Some(host) = hosts.next() {
                requests.push(ask_for_tunnel(host, &target.endpoint, purpose));
            } else if requests.is_empty() {
                break;
            }
            let Ok(Some((host, answer))) = timeout(HEAD_START, requests.next()).await else {
                continue;
            };
            match answer {
                Ok(stream) => return Ok(self.tunnel_opened(host, stream)),
                Err(TunnelError::Refused(TunnelRefusal::EndpointUnreachable)) => {
                    let now = self.clock.now();
                    self.paths.borrow_mut().endpoint_lost(&target.endpoint, now);
                    return Err(ConnectError::EndpointLost);
                }
                Err(TunnelError::Refused(TunnelRefusal::EndpointLeaving)) => {
                    return Err(ConnectError::EndpointLeaving);
                }
                Err(TunnelError::Refused(TunnelRefusal::UnknownEndpoint)) => {}
                Err(TunnelError::Refused(TunnelRefusal::EndpointHeld)) => is_held = true,
                Err(TunnelError::Refused(TunnelRefusal::Unavailable) | TunnelError::Unanswered) => {
                    let now = self.clock.now();
                    self.tunnels.borrow_mut().failed(&host.instance, now);
                }
            }
        }
        if is_held || self.paths.borrow().may_be_cut_off(self.clock.now()) {
            return Err(ConnectError::NoPath);
        }
        Err(ConnectError::EndpointLost)
    }

    fn tunnel_opened(self: &Rc<Self>, host: TunnelHost, stream: TunnelStream) -> OpenConnection {
        self.tunnels.borrow_mut().opened(&host.instance);
        self.opened_tunnels.set(self.opened_tunnels.get() + 1);
        OpenConnection {
            stream: EndpointStream::Right(stream),
            tunnel: Some(TunnelUse {
                connector: Rc::clone(self),
                host,
            }),
        }
    }

    /// Connects to `target` for another instance. `others` are some other endpoints, which tell a
    /// lost endpoint from a cut of this instance.
    pub(crate) async fn connect_for_peer(
        &self,
        target: &EndpointTarget,
        others: &[EndpointTarget],
    ) -> Result<TcpStream, TunnelRefusal> {
        if let Ok(stream) = self.connect_directly(target, HOSTED_CONNECT_TIMEOUT).await {
            return Ok(stream);
        }
        let contacts = others
            .iter()
            .map(|other| self.connect_directly(other, CONTACT_TIMEOUT));
        if join_all(contacts).await.iter().any(Result::is_ok) {
            return Err(TunnelRefusal::EndpointUnreachable);
        }
        Err(TunnelRefusal::Unavailable)
    }
}

async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn ask_for_tunnel(
    host: TunnelHost,
    endpoint: &EndpointId,
    purpose: TunnelPurpose,
) -> (TunnelHost, Result<TunnelStream, TunnelError>) {
    let answer = open_tunnel(host.address, endpoint, purpose, TUNNEL_TIMEOUT).await;
    (host, answer)
}

fn log_change(change: PathChange) {
    match change {
        PathChange::CutOff => {
            spdlog::warn!("cut off from endpoints; sending through other instances");
        }
        PathChange::Restored => spdlog::info!("endpoints reached directly again"),
        PathChange::Same => {}
    }
}
