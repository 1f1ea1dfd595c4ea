//! The trait through which an entry instance sends messages to other instances.

use policy::demand::PoolDemand;
use policy::ids::{EndpointId, PoolId};
use policy::leaving::Announcement;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;

use crate::handler::{ApplyReport, DocumentBatch, PeerFuture, ProbeMessage, RelayOutcome};

/// Why a message got no answer.
#[derives::tag]
pub enum PeerError {
    /// No connection could be established; the message was not sent.
    Unreachable,
    /// The connection broke, or the answer cannot be read; the message may have been processed.
    AnswerLost,
    /// No answer arrived in time; the message may have been processed.
    Silent,
    /// The instance answered that it does not accept the message.
    Refused,
}

/// Future of the answer to a message.
pub type PeerAnswer<'a, T> = PeerFuture<'a, Result<T, PeerError>>;

/// Sends messages to other entry instances, which are identified by their peer address.
pub trait PeerPort {
    /// Closes the connection to an instance; messages in flight on it fail.
    fn close(&self, address: &str);

    /// Probes an instance and returns its answer, with its membership changes.
    fn probe<'a>(
        &'a self,
        address: &'a str,
        message: &'a ProbeMessage,
    ) -> PeerAnswer<'a, ProbeMessage>;

    /// Asks the instance at `relay` to probe the instance at `address`.
    fn relay<'a>(&'a self, relay: &'a str, address: &'a str) -> PeerAnswer<'a, RelayOutcome>;

    /// Requests a grant from a pool's steward and waits for the decision, at most the time left to
    /// the request plus the usual answer timeout.
    fn request_grant<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        request: &'a GrantRequest,
    ) -> PeerAnswer<'a, GrantDecision>;

    /// Releases a grant to the steward that issued it.
    fn release<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        grant: GrantId,
    ) -> PeerAnswer<'a, ()>;

    /// Sends announcements to an instance and returns all that the instance knows.
    fn announce<'a>(
        &'a self,
        address: &'a str,
        announcements: &'a [Announcement],
    ) -> PeerAnswer<'a, Vec<Announcement>>;

    /// Fetches the configuration documents newer than a version.
    fn documents<'a>(&'a self, address: &'a str, since: u64) -> PeerAnswer<'a, DocumentBatch>;

    /// Sends configuration documents to an instance, which applies them.
    fn apply<'a>(
        &'a self,
        address: &'a str,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, ApplyReport>;

    /// Asks an instance of another failure domain to roll documents out to that whole domain.
    fn rollout<'a>(
        &'a self,
        address: &'a str,
        version: u64,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, DomainReport>;

    /// Reports to an instance that an endpoint crashed while a prompt ran on it.
    fn crashed<'a>(&'a self, address: &'a str, report: &'a CrashReport) -> PeerAnswer<'a, ()>;

    /// Reports an endpoint failure to the pool's steward.
    fn failed<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        endpoint: &'a EndpointId,
    ) -> PeerAnswer<'a, ()>;

    /// Tells the pool's steward which endpoints are about to change their model, and fetches the
    /// demand for the pool's models.
    fn demand<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        changing: &'a [EndpointId],
    ) -> PeerAnswer<'a, PoolDemand>;

    /// Fetches the quarantined fingerprints.
    fn quarantined<'a>(&'a self, address: &'a str) -> PeerAnswer<'a, Vec<Fingerprint>>;
}
