//! Paths of a storm's fleet, on which open connections can fall silent.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use adapter_standin::{FaultProxy, StoreStandin, StoreView};
use rand::Rng;

/// Where connections of instances lead.
#[derives::tag]
pub enum PathKind {
    /// The store.
    Store,
    /// Other instances: sessions and tunnels.
    Peer,
    /// Endpoints.
    Endpoint,
}

/// Proxies on all paths of the instances, and the store that shows their addresses.
#[derive(Debug)]
pub struct StormPaths {
    view: StoreView,
    /// The path of each instance to the store.
    stores: Vec<FaultProxy>,
    /// Paths to the peer port and the tunnel port of each instance.
    peers: Vec<FaultProxy>,
    /// Paths to endpoints.
    endpoints: Vec<FaultProxy>,
}

impl StormPaths {
    /// Creates the paths to a view of `store`, without any instance or endpoint.
    #[must_use]
    pub fn new(store: &StoreStandin) -> Self {
        Self {
            view: store.view(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)),
            stores: Vec::new(),
            peers: Vec::new(),
            endpoints: Vec::new(),
        }
    }

    /// Adds the path of the next instance to the store. Returns the address of the store for it.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn add_store(&mut self) -> io::Result<SocketAddr> {
        let path = FaultProxy::new(Ipv4Addr::LOCALHOST, self.view.address()).await?;
        let address = path.address();
        self.stores.push(path);
        Ok(address)
    }

    /// Adds the paths to the ports of an instance for other instances.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn add_peers(&mut self, servers: [SocketAddr; 2]) -> io::Result<()> {
        for server in servers {
            let path = self.shown_path(server).await?;
            self.peers.push(path);
        }
        Ok(())
    }

    /// Adds the path to an endpoint.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn add_endpoint(&mut self, server: SocketAddr) -> io::Result<()> {
        let path = self.shown_path(server).await?;
        self.endpoints.push(path);
        Ok(())
    }

    async fn shown_path(&self, server: SocketAddr) -> io::Result<FaultProxy> {
        let path = FaultProxy::new(Ipv4Addr::LOCALHOST, server).await?;
        self.view.replace_address(server, path.address());
        Ok(path)
    }

    /// The path of an instance to the store.
    #[must_use]
    pub fn store(&self, daemon: usize) -> &FaultProxy {
        &self.stores[daemon]
    }

    /// Silences about this `share` of the open connections of a kind for good; new ones work.
    pub fn silence(&self, kind: PathKind, share: f64, random: &mut impl Rng) {
        let paths = match kind {
            PathKind::Store => &self.stores,
            PathKind::Peer => &self.peers,
            PathKind::Endpoint => &self.endpoints,
        };
        for path in paths {
            path.silence_some(|| random.random_bool(share));
        }
    }
}
