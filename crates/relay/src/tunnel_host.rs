//! Opens connections to endpoints for instances that are cut off from them.

use std::cell::Cell;
use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use peer::{HostReport, TunnelGuard, TunnelHandler, TunnelPurpose, TunnelRefusal, TunnelTarget};
use policy::ids::EndpointId;

use crate::core::{RelayCore, RelayPhase};
use crate::endpoint_gate::GateRefusal;
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

    async fn open(
        &self,
        endpoint: EndpointId,
        purpose: TunnelPurpose,
    ) -> Result<TunnelTarget, TunnelRefusal> {
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
        self.check_gate(&endpoint, purpose)?;
        let guard = HostedTunnel::new(&self.core, &self.open_tunnels);
        let others = self.core.other_targets(&endpoint, CONTACT_COUNT);
        let stream = connector.connect_for_peer(&target, &others).await?;
        // An answer may have closed the gate meanwhile.
        self.check_gate(&endpoint, purpose)?;
        self.core.counters().hosted_tunnels.inc();
        spdlog::info!("tunnel hosted", kv: { endpoint = endpoint.as_str() });
        Ok(TunnelTarget {
            stream,
            guard: Box::new(guard),
        })
    }

    /// Refuses a tunnel to an endpoint to which this instance may send nothing: the endpoint counts
    /// requests by the instance from which they reach it.
    fn check_gate(
        &self,
        endpoint: &EndpointId,
        purpose: TunnelPurpose,
    ) -> Result<(), TunnelRefusal> {
        let gate = self.core.gate();
        let closed = match purpose {
            TunnelPurpose::Request => gate.refusal(endpoint),
            TunnelPurpose::MemoryOrder => gate.endpoint_refusal(endpoint),
        };
        let refusal = match closed {
            None => return Ok(()),
            Some(GateRefusal::Departed) => TunnelRefusal::EndpointLeaving,
            // What is in doubt here may be known elsewhere. An evacuation is no finding about the
            // endpoint, for the instance that asks either.
            Some(GateRefusal::Held | GateRefusal::Doubted | GateRefusal::Evacuated) => {
                TunnelRefusal::EndpointHeld
            }
        };
        spdlog::info!("tunnel refused", kv: {
            endpoint = endpoint.as_str(),
            cause:? = refusal,
        });
        Err(refusal)
    }
}

impl TunnelHandler for EndpointTunnelHost {
    fn connect(
        &self,
        endpoint: EndpointId,
        purpose: TunnelPurpose,
    ) -> LocalBoxFuture<'_, Result<TunnelTarget, TunnelRefusal>> {
        self.open(endpoint, purpose).boxed_local()
    }

    fn told(&self, report: HostReport) {
        let gate = self.core.gate();
        match report {
            HostReport::Refused(endpoint, retry_after) => {
                gate.backoffs().record(&endpoint, retry_after, "tunnel");
            }
            HostReport::Leaving(endpoint) => gate.endpoint_leaves(&endpoint, "tunnel"),
        }
    }
}
