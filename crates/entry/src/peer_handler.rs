//! Handles messages from other entry instances.

use std::rc::Rc;

use futures::FutureExt;
use peer::{ApplyReport, DocumentBatch, PeerFuture, PeerHandler, ProbeMessage, RelayOutcome};
use policy::demand::PoolDemand;
use policy::ids::{EndpointId, InstanceId, PoolId};
use policy::leaving::Announcement;
use policy::member::MemberStatus;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;

use crate::control::Control;
use crate::grants::{release_local, request_local};

/// Handles peer messages on the control thread.
pub(crate) struct EntryPeerHandler {
    control: Rc<Control>,
}

impl EntryPeerHandler {
    pub(crate) fn new(control: Rc<Control>) -> Self {
        Self { control }
    }
}

impl PeerHandler for EntryPeerHandler {
    fn probe(&self, message: ProbeMessage) -> ProbeMessage {
        let control = &self.control;
        let sender = message.updates.first().map_or_else(
            || InstanceId::new(""),
            |update| update.owner.instance.clone(),
        );
        let now = control.tables.now();
        let updates = {
            let mut members = control.tables.members.lock();
            members.merge(&message.updates, now);
            members.outgoing(&sender)
        };
        control.handle_member_changes();
        control.compare_digest(&message.from, message.digest);
        ProbeMessage {
            from: control.tables.settings.listen.peers.to_string(),
            updates,
            digest: control.digest(),
        }
    }

    fn relay(&self, address: String) -> PeerFuture<'_, RelayOutcome> {
        async move {
            let control = &self.control;
            let updates = control.tables.members.lock().outgoing(&InstanceId::new(""));
            let message = ProbeMessage {
                from: control.tables.settings.listen.peers.to_string(),
                updates,
                digest: control.digest(),
            };
            control.probe_address(&address, message).await
        }
        .boxed_local()
    }

    fn request_grant(&self, pool: PoolId, request: GrantRequest) -> PeerFuture<'_, GrantDecision> {
        async move { request_local(&self.control.tables, &pool, request).await }.boxed_local()
    }

    fn release(&self, pool: &PoolId, grant: GrantId) {
        release_local(&self.control.tables, pool, grant);
    }

    fn announce(&self, announcements: &[Announcement]) -> Vec<Announcement> {
        self.control.record_announcements(announcements);
        self.control.announcements()
    }

    fn documents(&self, since: u64) -> DocumentBatch {
        let config = self.control.tables.config.read();
        DocumentBatch {
            version: config.version(),
            documents: config.since(since),
        }
    }

    fn apply(&self, documents: &[ConfigDocument]) -> ApplyReport {
        self.control.apply_documents(documents);
        let version = self.control.tables.config.read().version();
        let members = self.control.tables.members.lock().snapshot();
        let is_present =
            |update: &policy::member::MemberUpdate| update.status <= MemberStatus::Suspect;
        ApplyReport {
            version,
            members: members.into_iter().filter(is_present).collect(),
        }
    }

    fn rollout(
        &self,
        version: u64,
        documents: Vec<ConfigDocument>,
    ) -> PeerFuture<'_, DomainReport> {
        async move { self.control.roll_out_domain(version, &documents).await }.boxed_local()
    }

    fn crashed(&self, report: &CrashReport) {
        let tables = &self.control.tables;
        let now = tables.now();
        tables.poison.lock().record(report, now);
    }

    fn failed(&self, pool: &PoolId, endpoint: &EndpointId) {
        let tables = &self.control.tables;
        let now = tables.now();
        if let Some(pool_state) = tables.pools.get(pool) {
            pool_state.lock().table.endpoint_failed(endpoint, now);
        }
    }

    fn demand(&self, pool: &PoolId, changing: &[EndpointId]) -> PoolDemand {
        self.control.tables.pool_demand(pool, changing)
    }

    fn quarantined(&self) -> Vec<Fingerprint> {
        let tables = &self.control.tables;
        let now = tables.now();
        tables.poison.lock().quarantined(now)
    }
}
