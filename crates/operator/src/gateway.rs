//! Interface between the HTTP handlers and the code that serves operators' requests.

use futures::future::LocalBoxFuture;
use policy::rollout::RolloutStatus;
use policy::template::{ConfigBody, DocumentError};

use crate::wire::{
    AnnounceReport, AnnounceRequest, ChangeReport, DocumentView, HistoryRow, InstanceStatus,
};

/// An operator's request in flight.
pub type OperatorFuture<'a, T> = LocalBoxFuture<'a, Result<T, OperatorError>>;

/// Why an operator's request failed.
#[derives::value]
pub enum OperatorError {
    /// The document is invalid.
    Invalid(DocumentError),
    /// Another change was written first; the document is at this version.
    Conflict(u64),
    /// No document, configuration version, instance or endpoint has the given name.
    Unknown,
    /// The platform is unreachable; nothing was written.
    PlatformDown,
    /// The platform's answer was lost; the change may have been written.
    Uncertain,
}

/// A validated change to one document.
#[derives::value]
pub struct DocumentChange {
    /// Key of the document.
    pub key: String,
    /// New content.
    pub body: ConfigBody,
    /// Author of the change.
    pub author: String,
    /// Version that the change is based on; `None` applies the change to the newest version,
    /// whichever that is.
    pub if_version: Option<u64>,
}

/// Serves operators' requests.
pub trait OperatorGateway {
    /// Writes a change and rolls it out to every instance.
    fn change(&self, change: DocumentChange) -> OperatorFuture<'_, ChangeReport>;

    /// Checks again whether every instance applies a version.
    fn rollout(&self, version: u64) -> OperatorFuture<'_, RolloutStatus>;

    /// The documents whose keys begin with `prefix`, at the versions that this instance applies.
    fn documents(&self, prefix: &str) -> Vec<DocumentView>;

    /// The versions of a document, newest first.
    fn history<'a>(&'a self, key: &'a str) -> OperatorFuture<'a, Vec<HistoryRow>>;

    /// Announces that an instance or endpoint is leaving or stopping.
    fn announce(&self, request: AnnounceRequest) -> OperatorFuture<'_, AnnounceReport>;

    /// The status of this instance.
    fn status(&self) -> InstanceStatus;
}
