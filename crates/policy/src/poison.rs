//! Quarantine of prompts that crash the endpoints that run them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use crate::ids::{EndpointId, Millis};
use crate::prompt_part::PromptPart;

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

/// Hashes that identify a request across attempts and instances.
#[derives::tag]
pub struct RequestFingerprints {
    /// Hash of path, query, account and body.
    pub exact: Fingerprint,
    /// The same without the query: requests that differ in their query only are a family.
    pub family: Fingerprint,
}

/// Quarantine status of a fingerprint.
#[derives::tag]
pub enum PoisonStatus {
    /// No crash is recorded.
    Clear,
    /// The fingerprint was running during a crash, but fewer than the threshold are recorded.
    Suspect,
    /// The fingerprint reached the threshold of crashes; it is refused.
    Quarantined,
    /// The quarantine has ended. The next crash renews it for longer.
    Probation,
}

/// Crash of an endpoint while a fingerprint was running; instances share these reports.
#[derives::value]
pub struct CrashReport {
    /// Fingerprint of the running request.
    pub fingerprint: Fingerprint,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
}

/// A crash report with the name of the run that broke off, which is unique in the fleet. Reports
/// may arrive repeatedly and late; the name identifies them.
#[derives::value]
pub struct RunCrash {
    /// The crash.
    pub report: CrashReport,
    /// Family of the request.
    pub family: Fingerprint,
    /// Name of the run.
    pub run: String,
    /// Shared parts of the run's prompt, in the order of the prompt.
    pub parts: Vec<PromptPart>,
    /// Time since the crash, when the report was passed on, in milliseconds.
    pub age: Millis,
}

/// A run that an endpoint answered completely, with a name that is unique in the fleet.
#[derives::value]
pub struct ServedRun {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Family of the request.
    pub family: Fingerprint,
    /// Name of the run; empty if the report has none.
    pub run: String,
    /// Time since the end of the run, when the report was passed on, in milliseconds.
    pub age: Millis,
}

/// What a run has shown of its request.
#[derive(Debug)]
enum RunFinding {
    /// The endpoint crashed. Of a family, the fingerprints that it ran are known.
    Crashed(EndpointId, BTreeSet<Fingerprint>),
    /// The endpoint answered completely.
    Served,
}

#[derive(Debug)]
struct RunEvidence {
    finding: RunFinding,
    at: Millis,
    /// Name of the run; empty if the report has none.
    run: String,
}

#[derive(Debug)]
struct CrashRecord {
    /// In the order of time, which need not be that of the reports.
    evidence: Vec<RunEvidence>,
    /// When the last crash was recorded.
    last: Millis,
    /// Until when a run on probation excludes others.
    trial_until: Millis,
}

impl CrashRecord {
    fn new(now: Millis) -> Self {
        Self {
            evidence: Vec::new(),
            last: now,
            trial_until: 0,
        }
    }

    fn crashes(&self) -> usize {
        let is_crash =
            |evidence: &&RunEvidence| matches!(evidence.finding, RunFinding::Crashed(..));
        self.evidence.iter().filter(is_crash).count()
    }

    fn has_run(&self, run: &str) -> bool {
        !run.is_empty() && self.evidence.iter().any(|evidence| evidence.run == run)
    }

    /// The fingerprints of the crash that is already recorded of `endpoint` at about the time `at`.
    fn same_crash(
        &mut self,
        endpoint: &EndpointId,
        at: Millis,
    ) -> Option<&mut BTreeSet<Fingerprint>> {
        self.evidence
            .iter_mut()
            .find_map(|known| match &mut known.finding {
                RunFinding::Crashed(crashed, fingerprints)
                    if crashed == endpoint && at.abs_diff(known.at) < SAME_CRASH_WINDOW =>
                {
                    Some(fingerprints)
                }
                _ => None,
            })
    }

    fn insert(&mut self, evidence: RunEvidence) {
        if self.evidence.len() >= MAX_EVIDENCE {
            self.evidence.remove(0);
        }
        let index = self
            .evidence
            .partition_point(|known| known.at <= evidence.at);
        self.evidence.insert(index, evidence);
    }

    /// Fingerprints of a family that have `threshold` crashes of their own, which explains these.
    fn explaining(&self, threshold: usize) -> BTreeSet<Fingerprint> {
        let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
        for evidence in &self.evidence {
            if let RunFinding::Crashed(_, fingerprints) = &evidence.finding {
                for fingerprint in fingerprints {
                    *counts.entry(*fingerprint).or_default() += 1;
                }
            }
        }
        counts.retain(|_, count| *count >= threshold);
        counts.into_keys().collect()
    }

    /// Weight of the crashes that no single fingerprint explains, less that of the complete answers.
    /// An answer excuses only crashes that came before it.
    fn weight(&self, threshold: usize) -> usize {
        let explaining = self.explaining(threshold);
        let add = |weight: usize, evidence: &RunEvidence| match &evidence.finding {
            RunFinding::Crashed(_, fingerprints) if !fingerprints.is_disjoint(&explaining) => {
                weight
            }
            RunFinding::Crashed(..) => weight + CRASH_WEIGHT,
            RunFinding::Served => weight.saturating_sub(1),
        };
        self.evidence.iter().fold(0, add)
    }
}

/// Crash records by fingerprint.
#[derive(Debug)]
pub struct PoisonTable {
    records: HashMap<Fingerprint, CrashRecord>,
    quarantine_time: Millis,
    threshold: usize,
    /// When expired records were last dropped.
    expired_at: Millis,
}

/// Default number of crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;

/// Reports on one endpoint within this time count as the same crash, in milliseconds.
pub const SAME_CRASH_WINDOW: Millis = 2_000;

/// Time for which a record outlives its last crash and its quarantine, in milliseconds.
pub const CRASH_RETENTION: Millis = 600_000;

/// Factor by which each crash beyond the threshold prolongs the quarantine.
const QUARANTINE_GROWTH: Millis = 4;

/// Longest quarantine, in milliseconds.
const LONGEST_QUARANTINE: Millis = 3_600_000;

/// Number of complete answers that excuse a crash. A sound request is served far more often than an
/// endpoint crashes under it for another reason; one that crashes endpoints is hardly ever served.
const CRASH_WEIGHT: usize = 3;

/// Largest number of runs that are kept for a fingerprint; beyond it the oldest one is dropped.
const MAX_EVIDENCE: usize = 64;

/// Longest age that is believed of a report, in milliseconds: clocks of instances may differ.
const LONGEST_REPORT_AGE: Millis = CRASH_RETENTION / 2;

/// Largest number of records; beyond it the oldest ones are dropped.
const MAX_RECORDS: usize = 10_000;

/// The part of the records that is dropped at once is one in this many.
const DROPPED_PART: usize = 10;

/// Interval at which expired records are dropped, in milliseconds.
const EXPIRY_INTERVAL: Millis = 1_000;

impl PoisonTable {
    /// Creates an empty table with the default threshold; the first quarantine of a fingerprint
    /// lasts `quarantine_time` milliseconds.
    #[must_use]
    pub fn new(quarantine_time: Millis) -> Self {
        Self::with_threshold(quarantine_time, QUARANTINE_CRASHES)
    }

    /// Creates an empty table that quarantines a fingerprint after `threshold` crashes.
    #[must_use]
    pub fn with_threshold(quarantine_time: Millis, threshold: usize) -> Self {
        Self {
            records: HashMap::new(),
            quarantine_time,
            threshold,
            expired_at: 0,
        }
    }

    /// Records a crash and returns the status of its fingerprint.
    pub fn record(&mut self, report: &CrashReport, now: Millis) -> PoisonStatus {
        self.record_run(
            &RunCrash {
                report: report.clone(),
                family: report.fingerprint,
                run: String::new(),
                parts: Vec::new(),
                age: 0,
            },
            now,
        )
    }

    /// Records the crash of a named run, unless it is known already, and returns the status of its
    /// fingerprint.
    pub fn record_run(&mut self, crash: &RunCrash, now: Millis) -> PoisonStatus {
        self.record_crash(crash.report.fingerprint, None, crash, now)
    }

    /// Records the crash of a named run against its family. Crashes that a single request of the
    /// family explains do not count against the others.
    pub fn record_family_crash(&mut self, crash: &RunCrash, now: Millis) -> PoisonStatus {
        let member = crash.report.fingerprint;
        self.record_crash(crash.family, Some(member), crash, now)
    }

    fn record_crash(
        &mut self,
        key: Fingerprint,
        member: Option<Fingerprint>,
        crash: &RunCrash,
        now: Millis,
    ) -> PoisonStatus {
        self.expire(now);
        let RunCrash { report, run, .. } = crash;
        let at = evidence_time(crash.age, now);
        let record = self.records.entry(key);
        let record = record.or_insert_with(|| CrashRecord::new(now));
        if record.has_run(run) {
            return self.status(key, now);
        }
        if let Some(fingerprints) = record.same_crash(&report.endpoint, at) {
            fingerprints.extend(member);
        } else {
            record.last = now;
            record.trial_until = 0;
            record.insert(RunEvidence {
                finding: RunFinding::Crashed(report.endpoint.clone(), member.into_iter().collect()),
                at,
                run: run.clone(),
            });
        }
        self.status(key, now)
    }

    /// Records that an endpoint has answered a run completely. Returns whether that excuses a crash,
    /// so that other instances should hear of it.
    pub fn record_served(&mut self, served: &ServedRun, now: Millis) -> bool {
        self.record_answer(served.fingerprint, served, now)
    }

    /// As [`Self::record_served`], for the family of the request.
    pub fn record_family_served(&mut self, served: &ServedRun, now: Millis) -> bool {
        self.record_answer(served.family, served, now)
    }

    fn record_answer(&mut self, key: Fingerprint, served: &ServedRun, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        if record.has_run(&served.run) {
            return false;
        }
        let before = record.weight(self.threshold);
        record.insert(RunEvidence {
            finding: RunFinding::Served,
            at: evidence_time(served.age, now),
            run: served.run.clone(),
        });
        let is_excuse = record.weight(self.threshold) < before;
        if is_excuse {
            record.trial_until = 0;
        }
        is_excuse
    }

    /// Status of `fingerprint` at `now`.
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint, now: Millis) -> PoisonStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return PoisonStatus::Clear;
        };
        if self.is_expired(record, now) {
            return PoisonStatus::Clear;
        }
        let weight = record.weight(self.threshold);
        if weight == 0 {
            return PoisonStatus::Clear;
        }
        if weight < self.threshold * CRASH_WEIGHT {
            return PoisonStatus::Suspect;
        }
        if now.saturating_sub(record.last) < self.quarantine_time(record) {
            return PoisonStatus::Quarantined;
        }
        PoisonStatus::Probation
    }

    /// Status of `fingerprint` for a run that is about to be sent. On probation, only the instance
    /// that `may_try` gets [`PoisonStatus::Probation`], for one run at a time; for all others the
    /// fingerprint stays [`PoisonStatus::Quarantined`].
    pub fn admit(&mut self, fingerprint: Fingerprint, may_try: bool, now: Millis) -> PoisonStatus {
        let status = self.status(fingerprint, now);
        if status != PoisonStatus::Probation {
            return status;
        }
        let trial_time = self.quarantine_time;
        let record = self.records.get_mut(&fingerprint);
        match record.filter(|record| may_try && now >= record.trial_until) {
            Some(record) => {
                record.trial_until = now + trial_time;
                PoisonStatus::Probation
            }
            None => PoisonStatus::Quarantined,
        }
    }

    /// Number of crashes that are recorded for `fingerprint`.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, CrashRecord::crashes)
    }

    /// Time since the last crash that is recorded for `fingerprint`; zero if there is none.
    #[must_use]
    pub fn age(&self, fingerprint: Fingerprint, now: Millis) -> Millis {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| now.saturating_sub(record.last))
    }

    /// Records that a request finished with a complete answer, unless its fingerprint is
    /// quarantined.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: Millis) {
        if self.status(fingerprint, now) != PoisonStatus::Quarantined {
            let served = ServedRun {
                fingerprint,
                family: fingerprint,
                run: String::new(),
                age: 0,
            };
            self.record_served(&served, now);
        }
    }

    /// Quarantines a fingerprint that a peer reports as quarantined.
    pub fn quarantine(&mut self, fingerprint: Fingerprint, now: Millis) {
        if self.status(fingerprint, now) == PoisonStatus::Quarantined {
            return;
        }
        let known = self.crashes(fingerprint).max(self.threshold);
        let unknown_crash = || RunEvidence {
            finding: RunFinding::Crashed(EndpointId::new(""), BTreeSet::new()),
            at: evidence_time(0, now),
            run: String::new(),
        };
        let record = CrashRecord {
            evidence: std::iter::repeat_with(unknown_crash).take(known).collect(),
            ..CrashRecord::new(now)
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

    /// Length of the quarantine that the last crash of a record began.
    fn quarantine_time(&self, record: &CrashRecord) -> Millis {
        let excess = (record.weight(self.threshold) / CRASH_WEIGHT).saturating_sub(self.threshold);
        let growth = QUARANTINE_GROWTH.saturating_pow(u32::try_from(excess).unwrap_or(u32::MAX));
        let longest = LONGEST_QUARANTINE.max(self.quarantine_time);
        self.quarantine_time.saturating_mul(growth).min(longest)
    }

    /// Drops records that have expired, at intervals, and the oldest ones if there are too many.
    fn expire(&mut self, now: Millis) {
        if now.saturating_sub(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            let mut records = std::mem::take(&mut self.records);
            records.retain(|_, record| !self.is_expired(record, now));
            self.records = records;
        }
        if self.records.len() >= MAX_RECORDS {
            let mut ages: Vec<Millis> = self.records.values().map(|record| record.last).collect();
            let (_, oldest_kept, _) = ages.select_nth_unstable(MAX_RECORDS / DROPPED_PART);
            let oldest_kept = *oldest_kept;
            let mut left = MAX_RECORDS - MAX_RECORDS / DROPPED_PART;
            self.records.retain(|_, record| {
                let is_kept = record.last >= oldest_kept && left > 0;
                left -= usize::from(is_kept);
                is_kept
            });
        }
    }

    fn is_expired(&self, record: &CrashRecord, now: Millis) -> bool {
        let age = now.saturating_sub(record.last);
        age >= self.quarantine_time(record) + CRASH_RETENTION
    }
}

/// Time of a finding that was reported with this age. The offset gives findings from before the
/// caller's clock began a time too.
fn evidence_time(age: Millis, now: Millis) -> Millis {
    now + LONGEST_REPORT_AGE - age.min(LONGEST_REPORT_AGE)
}
