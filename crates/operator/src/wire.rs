//! JSON messages of the operators' HTTP interface.

use policy::leaving::{Announcement, LeavingKind, LeavingSubject};
use policy::member::MemberStatus;
use policy::rollout::RolloutStatus;
use policy::template::ConfigBody;

/// A request to change a document.
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ChangeDocumentRequest {
    /// New content of the document.
    pub body: ConfigBody,
    /// Author of the change, recorded in the history.
    #[serde(default)]
    pub author: String,
    /// Version that the change is based on, zero for a new document; `None` applies the change to
    /// the newest version, whichever that is.
    #[serde(default)]
    pub if_version: Option<u64>,
}

/// Result of a change.
#[derives::wire]
pub struct ChangeReport {
    /// Version that the change wrote.
    pub version: u64,
    /// Whether every instance applies this version.
    pub rollout: RolloutStatus,
}

/// One version of a document in its history.
#[derives::wire]
pub struct HistoryRow {
    /// Unique id of the change that wrote this version.
    pub change: String,
    /// Author of the change.
    pub author: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// Content of the version.
    pub body: ConfigBody,
}

/// A document with its key and version.
#[derives::wire]
pub struct DocumentView {
    /// Key of the document.
    pub key: String,
    /// Version in force.
    pub version: u64,
    /// Content of that version.
    pub body: ConfigBody,
}

/// A request to announce that an instance or endpoint is leaving.
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// The instance or endpoint that leaves.
    pub subject: LeavingSubject,
    /// Whether the subject is only drained or also stopped.
    pub kind: LeavingKind,
}

/// How far an announcement has spread.
#[derives::wire]
pub struct AnnounceReport {
    /// The announcement as stored.
    pub announcement: Announcement,
    /// Instances of the failure domain that confirmed the announcement.
    pub confirmed: Vec<String>,
    /// Instances of the failure domain that did not answer; the announcement is sent to them again.
    pub missing: Vec<String>,
}

/// One member of the failure domain, as the reporting instance sees it.
#[derives::wire]
pub struct MemberStatusRow {
    /// Name of the member.
    pub instance: String,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Membership status.
    pub status: MemberStatus,
}

/// One endpoint, as the steward of its pool sees it.
#[derives::wire]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Number of grants in flight.
    pub running: usize,
    /// Reserved memory, in tokens.
    pub used_tokens: u64,
}

/// One pool of which the reporting instance is the steward.
#[derives::wire]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: String,
    /// Endpoints of the pool.
    pub endpoints: Vec<EndpointStatus>,
    /// Number of queued grant requests.
    pub waiting: usize,
    /// Number of endpoints in the long lane.
    pub lane_size: usize,
}

/// The state of one entry instance.
#[derives::wire]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Whether the instance accepts new requests.
    pub ready: bool,
    /// Number of requests in flight; a draining instance has finished at zero.
    pub in_flight: i64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Members of the failure domain.
    pub members: Vec<MemberStatusRow>,
    /// Announcements that the instance knows.
    pub announcements: Vec<Announcement>,
    /// Pools of which the instance is the steward.
    pub pools: Vec<PoolStatus>,
}

/// Body of the response to a request that failed.
#[derives::wire]
pub struct OperatorErrorResponse {
    /// Stable, machine-readable reason.
    pub reason: String,
    /// Explanation for the operator.
    pub message: String,
}
