//! The trait through which an entry instance handles messages from other instances, and the
//! messages' types.

use futures::future::LocalBoxFuture;
use policy::demand::PoolDemand;
use policy::ids::{EndpointId, PoolId};
use policy::leaving::Announcement;
use policy::member::MemberUpdate;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;

/// A boxed future that runs on the calling thread.
pub type PeerFuture<'a, T> = LocalBoxFuture<'a, T>;

/// Digest of what an instance knows. Instances exchange digests in probes and fetch the parts that
/// differ.
#[derives::tag]
pub struct PeerDigest {
    /// Digest of the configuration in force.
    pub config_version: u64,
    /// Hash of all known announcements.
    pub leaving: u64,
    /// Hash of the quarantined fingerprints.
    pub quarantine: u64,
}

/// A probe, or the answer to a probe.
#[derives::value]
pub struct ProbeMessage {
    /// Address of the sender's peer listener.
    pub from: String,
    /// Membership changes that the sender spreads; its own entry comes first.
    pub updates: Vec<MemberUpdate>,
    /// Digest of what the sender knows.
    pub digest: PeerDigest,
}

/// Result of a probe that one instance relays for another.
#[derives::tag]
pub enum RelayOutcome {
    /// The probed instance answered.
    Answered,
    /// The probed instance did not answer in time.
    Silent,
}

/// Configuration documents with the version that applying them leads to.
#[derives::value]
pub struct DocumentBatch {
    /// Configuration version of the sender.
    pub version: u64,
    /// The documents.
    pub documents: Vec<ConfigDocument>,
}

/// An instance's confirmation of a configuration version, with the members that it knows.
#[derives::value]
pub struct ApplyReport {
    /// The configuration version now in force on the instance.
    pub version: u64,
    /// The members that the instance considers alive or suspected.
    pub members: Vec<MemberUpdate>,
}

/// Handles messages from other entry instances.
pub trait PeerHandler {
    /// Merges the membership changes of a probe and answers with this instance's own.
    fn probe(&self, message: ProbeMessage) -> ProbeMessage;

    /// Probes the instance at `address` on behalf of the sender.
    fn relay(&self, address: String) -> PeerFuture<'_, RelayOutcome>;

    /// Decides on a grant request as the pool's steward; resolves when the request is decided.
    fn request_grant(&self, pool: PoolId, request: GrantRequest) -> PeerFuture<'_, GrantDecision>;

    /// Releases a grant; unknown grants are ignored.
    fn release(&self, pool: &PoolId, grant: GrantId);

    /// Merges announcements and returns all known ones.
    fn announce(&self, announcements: &[Announcement]) -> Vec<Announcement>;

    /// Returns the configuration documents newer than a version.
    fn documents(&self, since: u64) -> DocumentBatch;

    /// Applies configuration documents to this instance.
    fn apply(&self, documents: &[ConfigDocument]) -> ApplyReport;

    /// Rolls configuration documents out to the whole failure domain.
    fn rollout(&self, version: u64, documents: Vec<ConfigDocument>)
    -> PeerFuture<'_, DomainReport>;

    /// Records that an endpoint crashed while a prompt ran on it.
    fn crashed(&self, report: &CrashReport);

    /// Records that an endpoint of a pool failed.
    fn failed(&self, pool: &PoolId, endpoint: &EndpointId);

    /// Stops new grants on the endpoints in `changing`, which are about to change their model, and
    /// returns the demand for the pool's models.
    fn demand(&self, pool: &PoolId, changing: &[EndpointId]) -> PoolDemand;

    /// Returns the quarantined fingerprints.
    fn quarantined(&self) -> Vec<Fingerprint>;
}
