//! Fake connections between entry instances.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use peer::{
    ApplyReport, DocumentBatch, PeerAnswer, PeerError, PeerHandler, PeerPort, ProbeMessage,
    RelayOutcome,
};
use policy::demand::PoolDemand;
use policy::ids::{EndpointId, PoolId};
use policy::leaving::Announcement;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;
use tokio::time::timeout;

use crate::network::Delivery;
use crate::process_gate::ProcessPhase;
use crate::world::{PlantedFault, WorldState};

/// Time after which an instance gives up waiting for an ordinary answer.
const RPC_TIMEOUT: Duration = Duration::from_millis(500);

/// Peer client of one instance.
pub(crate) struct FakePeers {
    world: Rc<WorldState>,
    instance: String,
}

impl FakePeers {
    pub(crate) fn new(world: Rc<WorldState>, instance: &str) -> Self {
        Self {
            world,
            instance: instance.to_owned(),
        }
    }

    /// Delivers a message to the instance at `address` and returns its answer, or `AnswerLost`
    /// after `limit`.
    async fn exchange<T>(
        &self,
        address: &str,
        limit: Duration,
        act: impl AsyncFnOnce(Rc<dyn PeerHandler>) -> T,
    ) -> Result<T, PeerError> {
        match timeout(limit, self.deliver(address, act)).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::AnswerLost),
        }
    }

    /// Confirms documents without sending them to the instance at `address`.
    async fn confirm_without_applying(
        &self,
        address: &str,
        documents: &[ConfigDocument],
    ) -> Result<ApplyReport, PeerError> {
        let newest = documents.iter().map(|document| document.version).max();
        self.exchange(address, RPC_TIMEOUT, async move |peer| ApplyReport {
            version: newest.unwrap_or(0),
            members: peer.apply(&[]).members,
        })
        .await
    }

    async fn deliver<T>(
        &self,
        address: &str,
        act: impl AsyncFnOnce(Rc<dyn PeerHandler>) -> T,
    ) -> Result<T, PeerError> {
        let Some((name, gate, handler)) = self.world.running_instance_at(address) else {
            return Err(PeerError::Unreachable);
        };
        let network = &self.world.network;
        if network.transmit(&self.instance, &name).await == Delivery::Dropped {
            std::future::pending::<()>().await;
        }
        if gate.until_running().await == ProcessPhase::Killed {
            return Err(PeerError::AnswerLost);
        }
        let answer = crate::process_gate::Gated::new(&gate, act(handler)).await;
        let answer = answer.ok_or(PeerError::AnswerLost)?;
        if network.transmit(&name, &self.instance).await == Delivery::Dropped {
            std::future::pending::<()>().await;
        }
        Ok(answer)
    }
}

impl PeerPort for FakePeers {
    fn close(&self, _address: &str) {}

    fn probe<'a>(
        &'a self,
        address: &'a str,
        message: &'a ProbeMessage,
    ) -> PeerAnswer<'a, ProbeMessage> {
        let message = message.clone();
        self.exchange(address, RPC_TIMEOUT, async move |peer| peer.probe(message))
            .boxed_local()
    }

    fn relay<'a>(&'a self, relay: &'a str, address: &'a str) -> PeerAnswer<'a, RelayOutcome> {
        let address = address.to_owned();
        self.exchange(relay, RPC_TIMEOUT * 2, async move |peer| {
            peer.relay(address).await
        })
        .boxed_local()
    }

    fn request_grant<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        request: &'a GrantRequest,
    ) -> PeerAnswer<'a, GrantDecision> {
        let limit = Duration::from_millis(request.time_left) + RPC_TIMEOUT;
        let (pool, request) = (pool.clone(), request.clone());
        self.exchange(address, limit, async move |peer| {
            peer.request_grant(pool, request).await
        })
        .boxed_local()
    }

    fn release<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        grant: GrantId,
    ) -> PeerAnswer<'a, ()> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| {
            peer.release(pool, grant);
        })
        .boxed_local()
    }

    fn announce<'a>(
        &'a self,
        address: &'a str,
        announcements: &'a [Announcement],
    ) -> PeerAnswer<'a, Vec<Announcement>> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| {
            peer.announce(announcements)
        })
        .boxed_local()
    }

    fn documents<'a>(&'a self, address: &'a str, since: u64) -> PeerAnswer<'a, DocumentBatch> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| {
            peer.documents(since)
        })
        .boxed_local()
    }

    fn apply<'a>(
        &'a self,
        address: &'a str,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, ApplyReport> {
        if self.world.planted == PlantedFault::UnappliedConfirmation {
            return self
                .confirm_without_applying(address, documents)
                .boxed_local();
        }
        self.exchange(address, RPC_TIMEOUT, async move |peer| {
            peer.apply(documents)
        })
        .boxed_local()
    }

    fn rollout<'a>(
        &'a self,
        address: &'a str,
        version: u64,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, DomainReport> {
        let documents = documents.to_vec();
        self.exchange(address, RPC_TIMEOUT * 3, async move |peer| {
            peer.rollout(version, documents).await
        })
        .boxed_local()
    }

    fn crashed<'a>(&'a self, address: &'a str, report: &'a CrashReport) -> PeerAnswer<'a, ()> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| peer.crashed(report))
            .boxed_local()
    }

    fn failed<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        endpoint: &'a EndpointId,
    ) -> PeerAnswer<'a, ()> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| {
            peer.failed(pool, endpoint);
        })
        .boxed_local()
    }

    fn demand<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        changing: &'a [EndpointId],
    ) -> PeerAnswer<'a, PoolDemand> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| {
            peer.demand(pool, changing)
        })
        .boxed_local()
    }

    fn quarantined<'a>(&'a self, address: &'a str) -> PeerAnswer<'a, Vec<Fingerprint>> {
        self.exchange(address, RPC_TIMEOUT, async move |peer| peer.quarantined())
            .boxed_local()
    }
}
