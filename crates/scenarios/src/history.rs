//! Record of what callers sent and received and of what endpoints ran.

use std::collections::{BTreeMap, BTreeSet};

use policy::outcome::RequestOutcome;
use tokio::time::Instant;

/// How a request ended from its caller's point of view.
#[derives::value]
pub enum RequestEnd {
    /// The request is still in flight.
    Running,
    /// The instance reported this outcome.
    Reported(RequestOutcome),
    /// The request repeated an idempotency key and got the stored answer of the first call.
    Replayed,
    /// The connection to the instance was lost, or the instance was not running.
    ConnectionLost,
}

impl RequestEnd {
    /// Text form that scripts compare: `whole`, `not_run:REASON`, `unfinished:REASON`,
    /// `replayed`, `cut` or `running`.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Running => "running".to_owned(),
            Self::Replayed => "replayed".to_owned(),
            Self::ConnectionLost => "cut".to_owned(),
            Self::Reported(RequestOutcome::Whole) => "whole".to_owned(),
            Self::Reported(RequestOutcome::NotRun(refusal)) => {
                format!("not_run:{}", refusal.reason.code())
            }
            Self::Reported(RequestOutcome::Unfinished(reason)) => {
                format!("unfinished:{}", reason.code())
            }
        }
    }
}

/// Kind of a request; a completion may be repeated, a call runs at most once.
#[derives::tag]
pub(crate) enum RequestKind {
    Completion,
    Call,
}

/// A request from its caller's point of view.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    pub(crate) kind: RequestKind,
    pub(crate) instance: String,
    /// Identifies the request's content at the endpoints.
    pub(crate) content_id: String,
    /// Idempotency key; empty if none.
    pub(crate) key: String,
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    /// Text received so far.
    pub(crate) text: String,
    /// Complete text of the answer; empty for calls.
    pub(crate) expected: String,
    pub(crate) end: RequestEnd,
    pub(crate) ended: Option<Instant>,
}

/// Data against which the invariants are checked.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) requests: Vec<RequestRecord>,
    /// Content ids that an endpoint started to run.
    pub(crate) started: BTreeSet<String>,
    /// Executions of at-most-once calls, by idempotency key.
    pub(crate) runs: BTreeMap<String, u32>,
    /// Highest version that an operator's change of the template has written.
    pub(crate) written_version: u64,
    /// Highest template version that an instance reported as accepted.
    pub(crate) accepted_version: u64,
    /// Time at which an instance confirmed the announcement that a subject leaves, by name.
    pub(crate) announced_at: BTreeMap<String, Instant>,
    /// Subjects that an operator asked to announce, whether or not an answer arrived.
    pub(crate) requested_to_leave: BTreeSet<String>,
    /// Descriptions of requests that a planned stop interrupted.
    pub(crate) interrupted_by_stop: Vec<String>,
}
