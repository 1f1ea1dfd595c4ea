//! What callers were told, and what endpoints ran.

use std::collections::{BTreeMap, BTreeSet};

use policy::outcome::RequestOutcome;
use tokio::time::Instant;

/// How a request ended, as its caller saw it.
#[derives::value]
pub enum RequestEnd {
    /// It has not ended.
    Running,
    /// It ended with this outcome.
    Told(RequestOutcome),
    /// A repeat was answered with the first answer.
    Replayed,
    /// The connection to the instance broke.
    Cut,
}

impl RequestEnd {
    /// A short form for scripts: `whole`, `not_run:REASON`, `unfinished:REASON`, `replayed`,
    /// `cut` or `running`.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Running => "running".to_owned(),
            Self::Replayed => "replayed".to_owned(),
            Self::Cut => "cut".to_owned(),
            Self::Told(RequestOutcome::Whole) => "whole".to_owned(),
            Self::Told(RequestOutcome::NotRun(refusal)) => {
                format!("not_run:{}", refusal.reason.code())
            }
            Self::Told(RequestOutcome::Unfinished(reason)) => {
                format!("unfinished:{}", reason.code())
            }
        }
    }
}

/// Whether a request may be repeated.
#[derives::tag]
pub(crate) enum RequestKind {
    Completion,
    Call,
}

/// One request as its caller saw it.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    pub(crate) kind: RequestKind,
    pub(crate) node: String,
    /// Names the request's content at endpoints.
    pub(crate) mark: String,
    /// The idempotency key; empty for none.
    pub(crate) key: String,
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    pub(crate) text: String,
    pub(crate) expected: String,
    pub(crate) end: RequestEnd,
    pub(crate) ended: Option<Instant>,
}

/// Everything that the invariants are checked against.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) requests: Vec<RequestRecord>,
    /// Marks of the contents that an endpoint started.
    pub(crate) started: BTreeSet<String>,
    /// Runs of calls that may not be repeated, by idempotency key.
    pub(crate) runs: BTreeMap<String, u32>,
    /// The highest version that an operator's change of the template wrote.
    pub(crate) written: u64,
    /// The highest template version that was called accepted.
    pub(crate) accepted: u64,
    /// When a subject was announced to leave, by name.
    pub(crate) announced: BTreeMap<String, Instant>,
    /// Subjects that an operator wanted announced, whether or not the answer came.
    pub(crate) asked_to_leave: BTreeSet<String>,
    /// Violations noticed as they happened.
    pub(crate) noticed: Vec<String>,
}
