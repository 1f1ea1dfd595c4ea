//! Announcements that an endpoint or entry instance leaves: it gets no new work and drains.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Incarnation, InstanceId};

/// The subject of an announcement.
#[derive(PartialOrd, Ord, Eq, Hash)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum LeavingSubject {
    /// An endpoint.
    Endpoint(EndpointId),
    /// An entry instance.
    Instance(InstanceId),
}

/// What happens to the subject once it is drained.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingKind {
    /// The subject gets no new work and finishes its running work.
    Leave,
    /// As `Leave`; in addition the process is stopped once it is drained.
    Stop,
}

/// An announcement for one incarnation of a subject and all older ones.
#[derive(Eq)]
#[derives::wire]
pub struct Announcement {
    /// The endpoint or instance that leaves.
    pub subject: LeavingSubject,
    /// The newest incarnation to which the announcement applies.
    pub incarnation: Incarnation,
    /// Whether the subject leaves or stops.
    pub kind: LeavingKind,
}

/// Whether a subject gets new work.
#[derives::tag]
pub enum LeavingStatus {
    /// No announcement applies to the subject.
    Open,
    /// The subject is leaving: it gets no new grants and finishes its running streams.
    Leaving,
}

/// Whether an update changed a table; only changes are forwarded to peers.
#[derives::tag]
pub enum TableChange {
    /// The update was new.
    Changed,
    /// The update was already known or outdated.
    Unchanged,
}

/// The known announcements, at most one per subject.
///
/// Invariant: an announcement stays in force for the incarnations that it covers, whatever the
/// lagging list of the platform says. A newer incarnation of the subject is open again.
#[derive(Debug, Default)]
pub struct LeavingTable {
    announced: BTreeMap<LeavingSubject, Announcement>,
}

impl LeavingTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement from an operator or a peer.
    pub fn record(&mut self, announcement: &Announcement) -> TableChange {
        if let Some(known) = self.announced.get(&announcement.subject) {
            let known_rank = (known.incarnation, known.kind);
            if known_rank >= (announcement.incarnation, announcement.kind) {
                return TableChange::Unchanged;
            }
        }
        self.announced
            .insert(announcement.subject.clone(), announcement.clone());
        TableChange::Changed
    }

    /// Whether this incarnation of `subject` gets new work.
    #[must_use]
    pub fn status(&self, subject: &LeavingSubject, incarnation: Incarnation) -> LeavingStatus {
        match self.announced.get(subject) {
            Some(known) if incarnation <= known.incarnation => LeavingStatus::Leaving,
            _ => LeavingStatus::Open,
        }
    }

    /// All announcements, for a peer that joins and for the `status` command.
    pub fn iter(&self) -> impl Iterator<Item = &Announcement> {
        self.announced.values()
    }
}
