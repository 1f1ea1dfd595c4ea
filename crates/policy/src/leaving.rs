//! Announcements that an endpoint or entry instance leaves or stops.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Incarnation, InstanceId};

/// What an announcement speaks of.
#[derive(PartialOrd, Ord, Eq, Hash)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum LeavingSubject {
    /// An endpoint.
    Endpoint(EndpointId),
    /// An entry instance.
    Instance(InstanceId),
}

/// Whether the subject will come back under the same incarnation.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingKind {
    /// It takes no new work and finishes what runs.
    Leave,
    /// As `Leave`; its process will be stopped when it is empty.
    Stop,
}

/// One announcement; it holds for this incarnation of the subject and every older one.
#[derive(Eq)]
#[derives::wire]
pub struct Announcement {
    /// Who leaves.
    pub subject: LeavingSubject,
    /// The newest incarnation that the announcement covers.
    pub incarnation: Incarnation,
    /// What it announces.
    pub kind: LeavingKind,
}

/// Whether a subject may be given new work.
#[derives::tag]
pub enum WorkVerdict {
    /// No announcement covers it.
    Open,
    /// It leaves; no new grant, running streams finish.
    Leaving,
}

/// Whether a table changed, so that only changes are passed on.
#[derives::tag]
pub enum TableChange {
    /// Something new was learned.
    Changed,
    /// It was known already.
    Unchanged,
}

/// All announcements known, at most one a subject.
///
/// Invariant: an announcement is never dropped for the incarnation that it covers, whatever the
/// platform's lagging list says; a newer incarnation of the subject is open again.
#[derive(Debug, Default)]
pub struct LeavingTable {
    announced: BTreeMap<LeavingSubject, Announcement>,
}

impl LeavingTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an announcement from an operator or a peer.
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

    /// Whether `subject`, in this `incarnation`, may be given new work.
    #[must_use]
    pub fn verdict(&self, subject: &LeavingSubject, incarnation: Incarnation) -> WorkVerdict {
        match self.announced.get(subject) {
            Some(known) if incarnation <= known.incarnation => WorkVerdict::Leaving,
            _ => WorkVerdict::Open,
        }
    }

    /// Every announcement, for a peer that joins and for `status`.
    pub fn iter(&self) -> impl Iterator<Item = &Announcement> {
        self.announced.values()
    }
}
