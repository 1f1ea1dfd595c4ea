//! What serves the operators' requests, as a trait at the border of the package.

use futures::future::LocalBoxFuture;
use policy::rollout::RolloutStatus;
use policy::template::{ConfigBody, DocumentError};

use crate::forms::{
    AnnounceForm, AnnounceReport, ChangeReport, DocumentView, HistoryRow, InstanceStatus,
};

/// An answer that takes time.
pub type OperatorFuture<'a, T> = LocalBoxFuture<'a, Result<T, OperatorFault>>;

/// Why an operator's request failed.
#[derives::value]
pub enum OperatorFault {
    /// The document cannot be used.
    Invalid(DocumentError),
    /// Another change came first; this is the present version.
    Conflict(u64),
    /// There is no such document, instance or endpoint.
    Unknown,
    /// The platform cannot be reached; the change was not written.
    PlatformDown,
    /// The platform gave no answer; the change may have been written.
    Uncertain,
}

/// A checked change of one document.
#[derives::value]
pub struct ChangeRequest {
    /// The document's key.
    pub key: String,
    /// Its new content.
    pub body: ConfigBody,
    /// Who makes the change.
    pub author: String,
    /// The version that it is based on; none for whichever is the newest.
    pub if_version: Option<u64>,
}

/// Serves the operators' requests.
pub trait OperatorGateway {
    /// Writes a change and has it put in force everywhere.
    fn change(&self, request: ChangeRequest) -> OperatorFuture<'_, ChangeReport>;

    /// Asks again whether a version is in force everywhere.
    fn rollout(&self, version: u64) -> OperatorFuture<'_, RolloutStatus>;

    /// The documents whose keys begin with `prefix`, as this instance has them in force.
    fn documents(&self, prefix: &str) -> Vec<DocumentView>;

    /// A document's versions, the newest first.
    fn history<'a>(&'a self, key: &'a str) -> OperatorFuture<'a, Vec<HistoryRow>>;

    /// Announces that an instance or endpoint leaves or stops.
    fn announce(&self, form: AnnounceForm) -> OperatorFuture<'_, AnnounceReport>;

    /// The state of this instance.
    fn status(&self) -> InstanceStatus;
}
