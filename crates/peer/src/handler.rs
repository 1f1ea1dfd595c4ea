//! What an entry instance answers to others, as a trait at the border of the package.

use futures::future::LocalBoxFuture;
use policy::demand::PoolDemand;
use policy::ids::{EndpointId, PoolId};
use policy::leaving::Announcement;
use policy::member::MemberUpdate;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;

/// An answer that takes time.
pub type PeerFuture<'a, T> = LocalBoxFuture<'a, T>;

/// What an instance knows, in brief; a difference makes the other ask for the rest.
#[derives::tag]
pub struct PeerDigest {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Hash of the announcements known.
    pub leaving: u64,
    /// Hash of the quarantined fingerprints.
    pub quarantine: u64,
}

/// A probe or the answer to one.
#[derives::value]
pub struct ProbeMessage {
    /// Address of the sender's peer listener.
    pub from: String,
    /// Changes of membership.
    pub updates: Vec<MemberUpdate>,
    /// What the sender knows, in brief.
    pub digest: PeerDigest,
}

/// Whether a probe on another's behalf was answered.
#[derives::tag]
pub enum RelayVerdict {
    /// It was.
    Answered,
    /// It was not.
    Silent,
}

/// Configuration documents and the version that they bring a reader to.
#[derives::value]
pub struct DocumentBatch {
    /// The sender's version.
    pub version: u64,
    /// The documents.
    pub documents: Vec<ConfigDocument>,
}

/// An instance's confirmation of a version, with the members that it knows.
#[derives::value]
pub struct ApplyReport {
    /// The version now in force.
    pub version: u64,
    /// The members that it knows to be present.
    pub members: Vec<MemberUpdate>,
}

/// Answers the messages of other entry instances.
pub trait PeerHandler {
    /// Takes a probe's changes and answers with its own.
    fn probe(&self, message: ProbeMessage) -> ProbeMessage;

    /// Probes another instance on the caller's behalf.
    fn relay(&self, address: String) -> PeerFuture<'_, RelayVerdict>;

    /// Decides on an ask as steward; resolves when it is decided.
    fn ask(&self, pool: PoolId, ask: GrantRequest) -> PeerFuture<'_, GrantDecision>;

    /// Returns a grant.
    fn release(&self, pool: &PoolId, grant: GrantId);

    /// Merges announcements and answers with all that are known.
    fn announce(&self, announcements: &[Announcement]) -> Vec<Announcement>;

    /// The configuration documents after a version.
    fn documents(&self, since: u64) -> DocumentBatch;

    /// Puts documents in force.
    fn apply(&self, documents: &[ConfigDocument]) -> ApplyReport;

    /// Puts documents in force in the whole failure domain.
    fn rollout(&self, version: u64, documents: Vec<ConfigDocument>)
    -> PeerFuture<'_, DomainReport>;

    /// Takes news of an endpoint that crashed while a prompt ran on it.
    fn crashed(&self, report: &CrashReport);

    /// Takes news of an endpoint that failed.
    fn failed(&self, pool: &PoolId, endpoint: &EndpointId);

    /// Gives nothing new to endpoints that are to change their model; answers with what the
    /// pool's models are asked for.
    fn demand(&self, pool: &PoolId, changing: &[EndpointId]) -> PoolDemand;

    /// The quarantined fingerprints.
    fn quarantined(&self) -> Vec<Fingerprint>;
}
