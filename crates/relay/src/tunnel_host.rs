//! Opens connections to endpoints for instances that are cut off from them.

use std::cell::Cell;
use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{TunnelGuard, TunnelHandler, TunnelRefusal, TunnelTarget};
use policy::ids::{EndpointId, Millis};

use crate::core::{RelayCore, RelayPhase};
use crate::handler::InFlightGuard;

/// Largest number of tunnels that are open at once, far below the file descriptors of an instance.
const MAX_TUNNELS: usize = 512;

/// Number of other endpoints that are tried when one cannot be reached.
const CONTACT_COUNT: usize = 2;

/// Serves tunnels with the connections of one relay.
pub struct EndpointTunnelHost {
    core: Rc<RelayCore>,
    open_tunnels: Rc<Cell<usize>>,
}

/// Counts a tunnel as open, and as a request in flight, so that a stopping instance waits for it.
struct HostedTunnel {
    open_tunnels: Rc<Cell<usize>>,
    _in_flight: InFlightGuard,
}

impl HostedTunnel {
    fn new(core: &Rc<RelayCore>, open_tunnels: &Rc<Cell<usize>>) -> Self {
        open_tunnels.set(open_tunnels.get() + 1);
        Self {
            open_tunnels: Rc::clone(open_tunnels),
            _in_flight: InFlightGuard::new(core),
        }
    }
}

impl Drop for HostedTunnel {
    fn drop(&mut self) {
        self.open_tunnels.set(self.open_tunnels.get() - 1);
    }
}

impl TunnelGuard for HostedTunnel {}

impl EndpointTunnelHost {
    /// Creates a host that connects to the endpoints of `core`.
    #[must_use]
    pub fn new(core: Rc<RelayCore>) -> Self {
        Self {
            core,
            open_tunnels: Rc::default(),
        }
    }

    async fn open(&self, endpoint: EndpointId) -> Result<TunnelTarget, TunnelRefusal> {
        let connector = self.core.connections().connector();
        let is_available = self.core.phase() == RelayPhase::Serving
            && !connector.is_cut_off()
            && self.open_tunnels.get() < MAX_TUNNELS;
        if !is_available {
            return Err(TunnelRefusal::Unavailable);
        }
        let Some(target) = self.core.endpoint_target(&endpoint) else {
            return Err(TunnelRefusal::UnknownEndpoint);
        };
        // The endpoint counts requests by the instance from which they reach it.
        if self.core.backoffs().holds(&endpoint) {
            return Err(TunnelRefusal::EndpointHeld);
        }
        let guard = HostedTunnel::new(&self.core, &self.open_tunnels);
        let others = self.core.other_targets(&endpoint, CONTACT_COUNT);
        let stream = connector.connect_for_peer(&target, &others).await?;
        self.core.counters().hosted_tunnels.inc();
        spdlog::info!("tunnel hosted", kv: {
            endpoint = endpoint.as_str(),
            departed = self.core.is_departed(&endpoint),
        });
        Ok(TunnelTarget {
            stream,
            guard: Box::new(guard),
        })
    }
}

impl TunnelHandler for EndpointTunnelHost {
    fn connect(
        &self,
        endpoint: EndpointId,
    ) -> LocalBoxFuture<'_, Result<TunnelTarget, TunnelRefusal>> {
        self.open(endpoint).boxed_local()
    }

    fn endpoint_refused(&self, endpoint: &EndpointId, retry_after: Millis) {
        self.core.backoffs().record(endpoint, retry_after, "tunnel");
    }
}
