//! JSON forms of the operators' interface.

use policy::leaving::{Announcement, LeavingKind, LeavingSubject};
use policy::member::MemberStatus;
use policy::rollout::RolloutStatus;
use policy::template::ConfigBody;

/// A change that an operator wants made.
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct ChangeForm {
    /// The document's new content.
    pub body: ConfigBody,
    /// Who makes the change, for the history.
    #[serde(default)]
    pub author: String,
    /// The version that the change is based on, zero for a new document; none for whichever is
    /// the newest.
    #[serde(default)]
    pub if_version: Option<u64>,
}

/// What became of a change.
#[derives::wire]
pub struct ChangeReport {
    /// The version that the change wrote.
    pub version: u64,
    /// Whether it is in force everywhere.
    pub rollout: RolloutStatus,
}

/// One earlier or present version of a document.
#[derives::wire]
pub struct HistoryRow {
    /// Unique id of the change.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The content.
    pub body: ConfigBody,
}

/// A document as operators see it.
#[derives::wire]
pub struct DocumentView {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Its content.
    pub body: ConfigBody,
}

/// An announcement that an operator makes.
#[derives::wire]
#[serde(deny_unknown_fields)]
pub struct AnnounceForm {
    /// Who leaves.
    pub subject: LeavingSubject,
    /// What is announced.
    pub kind: LeavingKind,
}

/// Who has heard an announcement.
#[derives::wire]
pub struct AnnounceReport {
    /// The announcement as recorded.
    pub announcement: Announcement,
    /// Instances of the failure domain that have it.
    pub confirmed: Vec<String>,
    /// Instances of the failure domain that gave no answer; they will be told again.
    pub missing: Vec<String>,
}

/// One member of the failure domain.
#[derives::wire]
pub struct MemberStatusRow {
    /// Its name.
    pub instance: String,
    /// Which of its lives.
    pub incarnation: u64,
    /// Its status as this instance sees it.
    pub status: MemberStatus,
}

/// One endpoint as its steward sees it.
#[derives::wire]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: String,
    /// Whether it leaves.
    pub leaving: bool,
    /// Grants that still run.
    pub running: usize,
    /// Tokens of memory reserved.
    pub used_tokens: u64,
}

/// One pool for which the instance is steward.
#[derives::wire]
pub struct PoolStatus {
    /// Its name.
    pub pool: String,
    /// Its endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// Asks that wait.
    pub waiting: usize,
    /// Endpoints in the long lane.
    pub lane_size: usize,
}

/// The state of one entry instance.
#[derives::wire]
pub struct InstanceStatus {
    /// Its name.
    pub instance: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests that still run here; it is empty at zero.
    pub in_flight: i64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Members of the failure domain.
    pub members: Vec<MemberStatusRow>,
    /// Announcements known.
    pub announcements: Vec<Announcement>,
    /// Pools for which it is steward.
    pub pools: Vec<PoolStatus>,
}

/// Why an operator's request failed.
#[derives::wire]
pub struct OperatorErrorForm {
    /// Stable machine-readable reason.
    pub reason: String,
    /// What to do, in words.
    pub message: String,
}
