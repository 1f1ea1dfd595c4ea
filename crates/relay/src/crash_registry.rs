//! What this instance knows of endpoints that crashed under a request, from its own runs and from
//! the other instances, and the reports that the others have yet to learn.

use std::collections::{BTreeMap, VecDeque};

use policy::ids::{EndpointId, Millis};
use policy::part_blame::{BlameChange, PartTable};
use policy::poison::{
    CrashReport, Fingerprint, PoisonStatus, PoisonTable, RequestFingerprints, RunCrash, ServedRun,
};
use policy::prompt_part::PromptPart;
use policy::statement_delay::{STATEMENT_INTERVAL, statement_delay};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Largest number of reports that wait to be shared; beyond it the oldest one is dropped.
const MAX_UNSHARED: usize = 2_000;

/// Largest number of silent runs that are remembered.
const MAX_SILENT_RUNS: usize = 2_000;

/// Time after which a silent run is no longer attributed to the loss of its endpoint, in
/// milliseconds: an endpoint's entry expires within a few heartbeats, later if the store is
/// unavailable.
const SILENT_RUN_RETENTION: Millis = 30_000;

/// What an instance reports to the others.
#[derives::value]
pub enum CrashNotice {
    /// An endpoint crashed under a run.
    Crashed(RunCrash),
    /// An endpoint has served the request.
    Served(ServedRun),
    /// A run has written on prompts with these parts.
    Written(Vec<PromptPart>),
    /// The instance blames a part.
    Blamed(PromptPart),
}

/// Why a run must not be sent.
#[derives::tag]
pub enum QuarantineCause {
    /// The request itself is quarantined.
    Request,
    /// The requests that differ from it in their query only are, and it with them.
    Family,
    /// A part of its prompt is.
    Part(PromptPart),
}

/// A run that ended without any sign of its endpoint.
#[derive(Debug)]
struct SilentRun {
    crash: RunCrash,
    at: Millis,
}

/// Crashes by request and by part of the prompt, and notices that are yet to be shared.
#[derive(Debug)]
pub struct CrashRegistry {
    table: PoisonTable,
    families: PoisonTable,
    parts: PartTable,
    silent_runs: VecDeque<SilentRun>,
    /// With the time of each.
    unshared: VecDeque<(Millis, CrashNotice)>,
    /// Statements on parts, and from when they are to be shared.
    statements: BTreeMap<PartStatement, Millis>,
    /// When each statement was last shared or heard.
    stated_at: BTreeMap<PartStatement, Millis>,
    /// Number of instances that may make the same statements.
    fleet_size: usize,
    random: SmallRng,
    /// Name of this incarnation of the instance; the names of its runs begin with it.
    instance: String,
    last_run: u64,
}

/// A statement on a part that any instance with the same evidence may make.
#[derives::tag]
enum PartStatement {
    /// The part is blamed.
    Blamed(PromptPart),
    /// A run has written on the part since the crashes for which another instance blames it.
    Written(PromptPart),
}

impl From<PartStatement> for CrashNotice {
    fn from(statement: PartStatement) -> Self {
        match statement {
            PartStatement::Blamed(part) => Self::Blamed(part),
            PartStatement::Written(part) => Self::Written(vec![part]),
        }
    }
}

impl CrashRegistry {
    /// Creates an empty registry. `table` decides on quarantines of requests, `families` on those of
    /// requests that differ in their query only, and `parts` on those of parts of prompts;
    /// `instance` is unique to this incarnation of the instance.
    #[must_use]
    pub fn new(
        table: PoisonTable,
        families: PoisonTable,
        parts: PartTable,
        instance: &str,
    ) -> Self {
        Self {
            table,
            families,
            parts,
            silent_runs: VecDeque::new(),
            unshared: VecDeque::new(),
            statements: BTreeMap::new(),
            stated_at: BTreeMap::new(),
            fleet_size: 1,
            random: SmallRng::from_os_rng(),
            instance: instance.to_owned(),
            last_run: 0,
        }
    }

    /// Why a run that is about to be sent must not be, if so; see [`PoisonTable::admit`] and
    /// [`PartTable::admit`]. `may_try` tells for a hash whether this instance sends the run on
    /// probation.
    pub fn admit(
        &mut self,
        request: RequestFingerprints,
        parts: &[PromptPart],
        may_try: impl Fn(u64) -> bool,
        now: Millis,
    ) -> Option<QuarantineCause> {
        let cause = self.quarantine_cause(request, parts, now);
        if cause.is_some() {
            return cause;
        }
        let RequestFingerprints { exact, family } = request;
        if self.families.admit(family, may_try(family.0), now) == PoisonStatus::Quarantined {
            return Some(QuarantineCause::Family);
        }
        if self.table.admit(exact, may_try(exact.0), now) == PoisonStatus::Quarantined {
            return Some(QuarantineCause::Request);
        }
        let refused = self.parts.admit(parts, |part| may_try(part.0), now);
        refused.map(QuarantineCause::Part)
    }

    /// Why a request is quarantined, if it is and no run on probation is due.
    #[must_use]
    pub fn quarantine_cause(
        &self,
        request: RequestFingerprints,
        parts: &[PromptPart],
        now: Millis,
    ) -> Option<QuarantineCause> {
        if let Some(part) = self.parts.quarantined(parts, now) {
            return Some(QuarantineCause::Part(part));
        }
        if self.table.status(request.exact, now) == PoisonStatus::Quarantined {
            return Some(QuarantineCause::Request);
        }
        let status = self.families.status(request.family, now);
        (status == PoisonStatus::Quarantined).then_some(QuarantineCause::Family)
    }

    /// Number of crashes behind a quarantine, and time since the last one in milliseconds.
    #[must_use]
    pub fn crashes_behind(
        &self,
        cause: QuarantineCause,
        request: RequestFingerprints,
        now: Millis,
    ) -> (usize, Millis) {
        match cause {
            QuarantineCause::Request => self.crashes(request.exact, now),
            QuarantineCause::Family => {
                let age = self.families.age(request.family, now);
                (self.families.crashes(request.family), age)
            }
            QuarantineCause::Part(part) => self.parts.crash_count(part, now),
        }
    }

    /// Takes the changes of quarantined parts since the last call, and shares which parts are blamed.
    pub fn take_blame_changes(&mut self, now: Millis) -> Vec<BlameChange> {
        let changes = self.parts.take_changes();
        for change in &changes {
            if let BlameChange::Blamed(part, _) = change
                && self.parts.quarantined(&[*part], now).is_some()
                && !self.parts.has_verdict(*part)
            {
                self.state(PartStatement::Blamed(*part), now);
            }
        }
        changes
    }

    /// Sets the number of instances that hear the same notices.
    pub fn set_fleet_size(&mut self, instances: usize) {
        self.fleet_size = instances;
    }

    /// Shares the statements whose delay has passed.
    pub fn release_statements(&mut self, now: Millis) {
        let is_due = |(_, due): &(&PartStatement, &Millis)| **due <= now;
        let due: Vec<PartStatement> = self
            .statements
            .iter()
            .filter(is_due)
            .map(|(statement, _)| *statement)
            .collect();
        for statement in due {
            self.heard(statement, now);
            self.share(CrashNotice::from(statement), now);
        }
        self.stated_at
            .retain(|_, at| now.saturating_sub(*at) < STATEMENT_INTERVAL);
    }

    /// Makes a statement after a random delay, unless another instance has made it by then or it was
    /// made a short time ago.
    fn state(&mut self, statement: PartStatement, now: Millis) {
        if self.is_stated(statement, now) {
            return;
        }
        let delay = statement_delay(self.fleet_size, self.random.random());
        self.statements.entry(statement).or_insert(now + delay);
        self.release_statements(now);
    }

    /// Whether a statement was made a short time ago, by this instance or another.
    fn is_stated(&self, statement: PartStatement, now: Millis) -> bool {
        let is_fresh = |at: &Millis| now.saturating_sub(*at) < STATEMENT_INTERVAL;
        self.stated_at.get(&statement).is_some_and(is_fresh)
    }

    /// Records that a statement was made, by this instance or another.
    fn heard(&mut self, statement: PartStatement, now: Millis) {
        self.statements.remove(&statement);
        self.stated_at.insert(statement, now);
    }

    /// Number of crashes known for a request, and time since the last one in milliseconds.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint, now: Millis) -> (usize, Millis) {
        let age = self.table.age(fingerprint, now);
        (self.table.crashes(fingerprint), age)
    }

    /// Records that `endpoint` closed the connection of a run before the answer was complete. The
    /// shared parts of its prompt are `parts`.
    pub fn run_broke(
        &mut self,
        request: RequestFingerprints,
        endpoint: &EndpointId,
        parts: &[PromptPart],
        now: Millis,
    ) {
        let crash = self.name_run(request, endpoint, parts);
        self.record_own(crash, now);
    }

    /// Records that a run ended without any sign of its endpoint, which counts as a crash once the
    /// endpoint is known to be lost.
    pub fn run_fell_silent(
        &mut self,
        request: RequestFingerprints,
        endpoint: &EndpointId,
        parts: &[PromptPart],
        now: Millis,
    ) {
        let crash = self.name_run(request, endpoint, parts);
        if self.silent_runs.len() >= MAX_SILENT_RUNS {
            self.silent_runs.pop_front();
        }
        self.silent_runs.push_back(SilentRun { crash, at: now });
    }

    /// Records the crashes of silent runs on endpoints for which `is_lost` holds. Returns them.
    pub fn endpoints_lost(
        &mut self,
        is_lost: impl Fn(&EndpointId) -> bool,
        now: Millis,
    ) -> Vec<RunCrash> {
        let is_recent = |run: &SilentRun| now.saturating_sub(run.at) < SILENT_RUN_RETENTION;
        self.silent_runs.retain(is_recent);
        let (lost, left) = std::mem::take(&mut self.silent_runs)
            .into_iter()
            .partition::<VecDeque<_>, _>(|run| is_lost(&run.crash.report.endpoint));
        self.silent_runs = left;
        let crash = |run: SilentRun| RunCrash {
            age: now.saturating_sub(run.at),
            ..run.crash
        };
        let crashes: Vec<RunCrash> = lost.into_iter().map(crash).collect();
        for crash in &crashes {
            self.record_own(crash.clone(), now);
        }
        crashes
    }

    /// Records that an endpoint has answered a request completely. Returns whether that excuses a
    /// crash.
    pub fn run_served(
        &mut self,
        request: RequestFingerprints,
        parts: &[PromptPart],
        now: Millis,
    ) -> bool {
        self.run_written(parts, now);
        let served = ServedRun {
            fingerprint: request.exact,
            family: request.family,
            run: self.next_run_name(),
            age: 0,
        };
        let is_excuse = self.record_served(&served, now);
        if is_excuse {
            self.share(CrashNotice::Served(served), now);
        }
        is_excuse
    }

    /// Records that a run has written for some time on a prompt with these parts.
    pub fn run_written(&mut self, parts: &[PromptPart], now: Millis) {
        let shared = self.parts.record_written(parts, now);
        if !shared.is_empty() {
            self.share(CrashNotice::Written(shared), now);
        }
    }

    /// Applies a notice of another instance, or of this one. Returns whether it was new.
    pub fn apply(&mut self, notice: &CrashNotice, now: Millis) -> bool {
        match notice {
            CrashNotice::Crashed(crash) => {
                let fingerprint = crash.report.fingerprint;
                let known = self.table.crashes(fingerprint);
                self.record_crash(crash, now);
                self.table.crashes(fingerprint) > known
            }
            CrashNotice::Served(served) => self.record_served(served, now),
            CrashNotice::Written(parts) => {
                for part in parts {
                    self.heard(PartStatement::Written(*part), now);
                }
                self.parts.record_written(parts, now);
                true
            }
            CrashNotice::Blamed(part) => {
                if !self.is_stated(PartStatement::Blamed(*part), now) {
                    // Evidence that was shared before is not known to cover this verdict.
                    self.stated_at.remove(&PartStatement::Written(*part));
                }
                self.heard(PartStatement::Blamed(*part), now);
                let is_agreed = self.parts.record_verdict(*part, now);
                if !is_agreed {
                    self.state(PartStatement::Written(*part), now);
                }
                is_agreed
            }
        }
    }

    /// Whether there are notices that have not been shared.
    #[must_use]
    pub fn has_unshared(&self) -> bool {
        !self.unshared.is_empty()
    }

    /// Takes up to `count` notices that have not been shared, the oldest first, with their ages.
    pub fn take_unshared(&mut self, count: usize, now: Millis) -> Vec<CrashNotice> {
        let count = count.min(self.unshared.len());
        let taken = self.unshared.drain(..count);
        let aged = taken.map(|(at, notice)| match notice {
            CrashNotice::Crashed(crash) => CrashNotice::Crashed(RunCrash {
                age: crash.age + now.saturating_sub(at),
                ..crash
            }),
            CrashNotice::Served(served) => CrashNotice::Served(ServedRun {
                age: served.age + now.saturating_sub(at),
                ..served
            }),
            notice => notice,
        });
        aged.collect()
    }

    fn next_run_name(&mut self) -> String {
        self.last_run += 1;
        format!("{}/{}", self.instance, self.last_run)
    }

    fn name_run(
        &mut self,
        request: RequestFingerprints,
        endpoint: &EndpointId,
        parts: &[PromptPart],
    ) -> RunCrash {
        RunCrash {
            report: CrashReport {
                fingerprint: request.exact,
                endpoint: endpoint.clone(),
            },
            family: request.family,
            run: self.next_run_name(),
            parts: parts.to_vec(),
            age: 0,
        }
    }

    fn record_crash(&mut self, crash: &RunCrash, now: Millis) {
        self.table.record_run(crash, now);
        self.families.record_family_crash(crash, now);
        let endpoint = &crash.report.endpoint;
        self.parts
            .record_crash(endpoint, &crash.run, &crash.parts, crash.age, now);
    }

    fn record_served(&mut self, served: &ServedRun, now: Millis) -> bool {
        // A request that has been served speaks no more for a fault of its prompt's parts.
        let is_same = |run: &&mut SilentRun| run.crash.report.fingerprint == served.fingerprint;
        for run in self.silent_runs.iter_mut().filter(is_same) {
            run.crash.parts.clear();
        }
        let excuses_request = self.table.record_served(served, now);
        let excuses_family = self.families.record_family_served(served, now);
        excuses_request || excuses_family
    }

    fn record_own(&mut self, crash: RunCrash, now: Millis) {
        self.record_crash(&crash, now);
        self.share(CrashNotice::Crashed(crash), now);
    }

    fn share(&mut self, notice: CrashNotice, now: Millis) {
        if self.unshared.len() >= MAX_UNSHARED {
            self.unshared.pop_front();
        }
        self.unshared.push_back((now, notice));
    }
}
