//! Quarantine of prompts that crash the endpoints that run them.

use std::collections::HashMap;
use std::fmt;

use crate::ids::{EndpointId, Millis};

/// Hash of a request's content and account.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Quarantine status of a fingerprint.
#[derives::tag]
pub enum PoisonStatus {
    /// No crash is recorded.
    Clear,
    /// The fingerprint was running during a crash, but fewer than the threshold are recorded.
    Suspect,
    /// The fingerprint reached the threshold of crashes; it is refused until its record expires.
    Quarantined,
}

/// Crash of an endpoint while a fingerprint was running; instances share these reports.
#[derives::value]
pub struct CrashReport {
    /// Fingerprint of the running request.
    pub fingerprint: Fingerprint,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
}

#[derive(Debug)]
struct CrashRecord {
    crashes: Vec<(EndpointId, Millis)>,
    last: Millis,
}

/// Crash records by fingerprint.
#[derive(Debug)]
pub struct PoisonTable {
    records: HashMap<Fingerprint, CrashRecord>,
    expiry: Millis,
    threshold: usize,
}

/// Default number of crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;

/// Reports on one endpoint within this time count as the same crash, in milliseconds.
pub const SAME_CRASH_WINDOW: Millis = 2_000;

impl PoisonTable {
    /// Creates an empty table with the default threshold; records expire `expiry` milliseconds
    /// after their last crash.
    #[must_use]
    pub fn new(expiry: Millis) -> Self {
        Self::with_threshold(expiry, QUARANTINE_CRASHES)
    }

    /// Creates an empty table that quarantines a fingerprint after `threshold` crashes.
    #[must_use]
    pub fn with_threshold(expiry: Millis, threshold: usize) -> Self {
        Self {
            records: HashMap::new(),
            expiry,
            threshold,
        }
    }

    /// Records a crash and returns the status of its fingerprint.
    pub fn record(&mut self, report: &CrashReport, now: Millis) -> PoisonStatus {
        self.expire(now);
        let record = self
            .records
            .entry(report.fingerprint)
            .or_insert(CrashRecord {
                crashes: Vec::new(),
                last: now,
            });
        record.last = now;
        let is_same_crash = |crash: &(EndpointId, Millis)| {
            crash.0 == report.endpoint && now.saturating_sub(crash.1) < SAME_CRASH_WINDOW
        };
        if !record.crashes.iter().any(is_same_crash) {
            record.crashes.push((report.endpoint.clone(), now));
        }
        self.status(report.fingerprint, now)
    }

    /// Status of `fingerprint` at `now`.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint, now: Millis) -> PoisonStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return PoisonStatus::Clear;
        };
        if now.saturating_sub(record.last) >= self.expiry {
            return PoisonStatus::Clear;
        }
        if record.crashes.len() >= self.threshold {
            return PoisonStatus::Quarantined;
        }
        PoisonStatus::Suspect
    }

    /// Clears a suspected fingerprint whose request finished with a complete answer.
    ///
    /// A quarantined fingerprint stays until its record expires.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: Millis) {
        if self.status(fingerprint, now) == PoisonStatus::Suspect {
            self.records.remove(&fingerprint);
        }
    }

    /// Quarantines a fingerprint that a peer reports as quarantined.
    pub fn quarantine(&mut self, fingerprint: Fingerprint, now: Millis) {
        if self.status(fingerprint, now) == PoisonStatus::Quarantined {
            return;
        }
        let unknown_endpoint = EndpointId::new("");
        let record = CrashRecord {
            crashes: vec![(unknown_endpoint, now); self.threshold],
            last: now,
        };
        self.records.insert(fingerprint, record);
    }

    /// The quarantined fingerprints in ascending order, for peers that join.
    #[must_use]
    pub fn quarantined(&self, now: Millis) -> Vec<Fingerprint> {
        let mut fingerprints: Vec<Fingerprint> = self
            .records
            .keys()
            .copied()
            .filter(|fingerprint| self.status(*fingerprint, now) == PoisonStatus::Quarantined)
            .collect();
        fingerprints.sort_unstable();
        fingerprints
    }

    fn expire(&mut self, now: Millis) {
        let expiry = self.expiry;
        self.records
            .retain(|_, record| now.saturating_sub(record.last) < expiry);
    }
}
