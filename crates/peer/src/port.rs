//! What an entry instance sends to others, as a trait at the border of the package.

use policy::demand::PoolDemand;
use policy::ids::{EndpointId, PoolId};
use policy::leaving::Announcement;
use policy::poison::{CrashReport, Fingerprint};
use policy::pool::{GrantDecision, GrantId, GrantRequest};
use policy::rollout::DomainReport;
use policy::template::ConfigDocument;

use crate::handler::{ApplyReport, DocumentBatch, PeerFuture, ProbeMessage, RelayVerdict};

/// Why a message has no answer.
#[derives::tag]
pub enum PeerFault {
    /// No connection could be made.
    Unreachable,
    /// No answer came in time, or the connection broke; the message may have been acted on.
    AnswerLost,
}

/// A message whose answer is on its way.
pub type PeerAnswer<'a, T> = PeerFuture<'a, Result<T, PeerFault>>;

/// Messages to other entry instances, each named by its peer address.
pub trait PeerPort {
    /// Closes the connection to an instance; messages that wait on it fail.
    fn close(&self, address: &str);

    /// Probes an instance and takes its changes of membership.
    fn probe<'a>(
        &'a self,
        address: &'a str,
        message: &'a ProbeMessage,
    ) -> PeerAnswer<'a, ProbeMessage>;

    /// Has `relay` probe the instance at `address`.
    fn relay<'a>(&'a self, relay: &'a str, address: &'a str) -> PeerAnswer<'a, RelayVerdict>;

    /// Asks a steward for a grant and waits until it is decided, at most the request's time.
    fn ask<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        ask: &'a GrantRequest,
    ) -> PeerAnswer<'a, GrantDecision>;

    /// Returns a grant to its steward.
    fn release<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        grant: GrantId,
    ) -> PeerAnswer<'a, ()>;

    /// Passes announcements on and takes those that the other knows.
    fn announce<'a>(
        &'a self,
        address: &'a str,
        announcements: &'a [Announcement],
    ) -> PeerAnswer<'a, Vec<Announcement>>;

    /// Reads the configuration documents after a version.
    fn documents<'a>(&'a self, address: &'a str, since: u64) -> PeerAnswer<'a, DocumentBatch>;

    /// Has an instance put documents in force.
    fn apply<'a>(
        &'a self,
        address: &'a str,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, ApplyReport>;

    /// Has an instance of another failure domain put documents in force in all of it.
    fn rollout<'a>(
        &'a self,
        address: &'a str,
        version: u64,
        documents: &'a [ConfigDocument],
    ) -> PeerAnswer<'a, DomainReport>;

    /// Tells an instance of a crash.
    fn crashed<'a>(&'a self, address: &'a str, report: &'a CrashReport) -> PeerAnswer<'a, ()>;

    /// Tells a steward of an endpoint that failed.
    fn failed<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        endpoint: &'a EndpointId,
    ) -> PeerAnswer<'a, ()>;

    /// Tells a pool's steward which endpoints are to change their model, and asks what the
    /// pool's models are asked for.
    fn demand<'a>(
        &'a self,
        address: &'a str,
        pool: &'a PoolId,
        changing: &'a [EndpointId],
    ) -> PeerAnswer<'a, PoolDemand>;

    /// Reads the quarantined fingerprints.
    fn quarantined<'a>(&'a self, address: &'a str) -> PeerAnswer<'a, Vec<Fingerprint>>;
}
