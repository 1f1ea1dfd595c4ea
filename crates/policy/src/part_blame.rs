//! Attribution of crashed endpoints to parts of prompts.
//!
//! An endpoint that crashes takes all its runs with it, and requests that have the crashing part in
//! common have sound parts in common too. So a part is blamed on evidence of both kinds: endpoints
//! that crashed before a run with the part had written for some time, and runs with the part that
//! have written since. Among the parts that remain, those that stand later in prompts, and so belong
//! to fewer requests, are blamed first, and the crashes that they explain count against no other part.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::ids::{EndpointId, Millis};
use crate::poison::{CRASH_RETENTION, PoisonStatus, SAME_CRASH_WINDOW};
use crate::prompt_part::PromptPart;

/// Number of crashes after which a part is blamed that no run has written on.
const UNPROVEN_CRASHES: usize = 3;

/// Number of crashes after which a part is blamed that runs had written on before.
const PROVEN_CRASHES: usize = 5;

/// Number of crashes after which a part is blamed that another instance blames.
const VERDICT_CRASHES: usize = 1;

/// Number of blamed parts whose crashes another one has in common from which it is blamed in their
/// place.
const COMMON_CAUSE_PARTS: usize = 2;

/// Crashes of several endpoints within this time count as one, in milliseconds: they have a common
/// cause, such as the loss of a rack or of a link.
const COMMON_CAUSE_WINDOW: Millis = 250;

/// Number of known crashes of a part from which other instances are told that a run has written on
/// it: one before it may be blamed.
const SHARED_WRITE_CRASHES: usize = UNPROVEN_CRASHES - 1;

/// Number of events from which a run may count as having written: several passes of an engine, while
/// a run that crashes its endpoint ends with its first one.
const MIN_WRITTEN_EVENTS: usize = 3;

/// Time since the first event from which a run may count as having written, in milliseconds.
const MIN_WRITING_TIME: Millis = 500;

/// Interval at which the writing of one run is recorded, in milliseconds.
const WRITE_REPORT_INTERVAL: Millis = 1_000;

/// Longest age that is believed of a report, in milliseconds: clocks of instances may differ.
const LONGEST_REPORT_AGE: Millis = CRASH_RETENTION / 2;

/// Added to the caller's times, so that crashes before its clock began have times too.
const TIME_OFFSET: Millis = LONGEST_REPORT_AGE;

/// Factor by which each crash on probation prolongs the quarantine.
const QUARANTINE_GROWTH: Millis = 4;

/// Largest number of crashes that are kept; beyond it the oldest one is dropped.
const MAX_CRASHES: usize = 256;

/// Largest number of parts whose last write is kept; beyond it the older half is dropped.
const MAX_WRITTEN: usize = 2_000;

/// Runs of one crashed endpoint that had written nothing, or only just begun.
#[derive(Debug)]
struct EndpointCrash {
    endpoint: EndpointId,
    at: Millis,
    /// Name and parts of each run.
    runs: Vec<(String, Vec<PromptPart>)>,
}

/// Quarantine of a blamed part.
#[derive(Debug)]
struct PartQuarantine {
    last_crash: Millis,
    /// Crashes after the first quarantine had ended.
    renewals: u32,
    /// Until when a run on probation excludes others.
    trial_until: Millis,
}

/// A part with crashes that no later write excuses.
struct SuspectPart {
    part: PromptPart,
    /// Indices of the crashes.
    crashes: BTreeSet<usize>,
    /// Last place of the part in a prompt. Parts that stand later belong to fewer requests.
    position: usize,
    /// Whether a run had written on the part before the crashes.
    is_proven: bool,
    /// Whether another instance blames the part.
    has_verdict: bool,
}

impl SuspectPart {
    /// Number of crashes from which the part is blamed.
    fn threshold(&self) -> usize {
        match (self.has_verdict, self.is_proven) {
            (true, _) => VERDICT_CRASHES,
            (false, false) => UNPROVEN_CRASHES,
            (false, true) => PROVEN_CRASHES,
        }
    }
}

/// Crashes, writes and quarantines by part of a prompt.
#[derive(Debug)]
pub struct PartTable {
    crashes: VecDeque<EndpointCrash>,
    /// When a run that wrote had the part.
    written: HashMap<PromptPart, Millis>,
    quarantines: BTreeMap<PromptPart, PartQuarantine>,
    /// Parts that another instance blames and no run is known to have written on.
    verdicts: BTreeSet<PromptPart>,
    /// Changes that have not been taken.
    changes: Vec<BlameChange>,
    quarantine_time: Millis,
}

/// A change of the quarantine of a part.
#[derives::value]
pub enum BlameChange {
    /// The part is blamed for this number of crashes.
    Blamed(PromptPart, usize),
    /// A run has written on the part, or another part explains its crashes.
    Cleared(PromptPart),
}

/// What a run has written so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunProgress {
    events: usize,
    first_event_at: Option<Millis>,
    reported_at: Option<Millis>,
}

impl RunProgress {
    /// Records that events have arrived.
    pub fn events_arrived(&mut self, events: usize, now: Millis) {
        if events > 0 {
            self.events += events;
            self.first_event_at.get_or_insert(now);
        }
    }

    /// Whether the run has written for longer than a run lasts that crashes its endpoint.
    #[must_use]
    pub fn has_written(&self, now: Millis) -> bool {
        let writes_for = self.first_event_at.map(|at| now.saturating_sub(at));
        self.events >= MIN_WRITTEN_EVENTS
            && writes_for.is_some_and(|writes_for| writes_for >= MIN_WRITING_TIME)
    }

    /// Whether the writing is to be recorded now, which is the case at intervals.
    pub fn is_report_due(&mut self, now: Millis) -> bool {
        let reported_at = self.reported_at;
        let is_due = reported_at.is_none_or(|at| now.saturating_sub(at) >= WRITE_REPORT_INTERVAL);
        let is_due = is_due && self.has_written(now);
        if is_due {
            self.reported_at = Some(now);
        }
        is_due
    }
}

impl PartTable {
    /// Creates an empty table; the first quarantine of a part lasts `quarantine_time` milliseconds.
    #[must_use]
    pub fn new(quarantine_time: Millis) -> Self {
        Self {
            crashes: VecDeque::new(),
            written: HashMap::new(),
            quarantines: BTreeMap::new(),
            verdicts: BTreeSet::new(),
            changes: Vec::new(),
            quarantine_time,
        }
    }

    /// Records that `endpoint` crashed `age` milliseconds ago under the run with the unique name `run`,
    /// whose prompt has these shared parts and which had not written for long. Reports may arrive
    /// late and in any order.
    pub fn record_crash(
        &mut self,
        endpoint: &EndpointId,
        run: &str,
        parts: &[PromptPart],
        age: Millis,
        now: Millis,
    ) {
        let now = now + TIME_OFFSET;
        let at = now - age.min(LONGEST_REPORT_AGE);
        self.expire(now);
        let is_known = |crash: &EndpointCrash| crash.runs.iter().any(|(known, _)| known == run);
        if parts.is_empty() || self.crashes.iter().any(is_known) {
            return;
        }
        let is_same = |crash: &&mut EndpointCrash| {
            crash.endpoint == *endpoint && at.abs_diff(crash.at) < SAME_CRASH_WINDOW
        };
        let crashed_run = (run.to_owned(), parts.to_vec());
        if let Some(crash) = self.crashes.iter_mut().find(is_same) {
            crash.runs.push(crashed_run);
        } else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(EndpointCrash {
                endpoint: endpoint.clone(),
                at,
                runs: vec![crashed_run],
            });
        }
        self.update_quarantines(now);
    }

    /// Records that a run with these parts has written for some time or to its end, which excuses
    /// them from all earlier crashes. Returns the parts of which other instances should hear.
    pub fn record_written(&mut self, parts: &[PromptPart], now: Millis) -> Vec<PromptPart> {
        let now = now + TIME_OFFSET;
        let mut shared = Vec::new();
        let mut is_excused = false;
        for part in parts {
            let crashes = self.crashes_of(*part);
            is_excused |= !crashes.is_empty();
            let is_blamed_elsewhere = self.verdicts.remove(part);
            if is_blamed_elsewhere || self.moments(&crashes) >= SHARED_WRITE_CRASHES {
                shared.push(*part);
            }
            self.written.insert(*part, now);
        }
        if is_excused {
            self.update_quarantines(now);
        }
        if self.written.len() > MAX_WRITTEN {
            self.drop_older_writes();
        }
        shared
    }

    /// The first of `parts` that is quarantined at `now`; on probation, parts count as quarantined
    /// only while a trial runs.
    #[must_use]
    pub fn quarantined(&self, parts: &[PromptPart], now: Millis) -> Option<PromptPart> {
        let now = now + TIME_OFFSET;
        let is_quarantined = |part: &PromptPart| {
            let known = self.quarantines.get(part);
            known.is_some_and(|known| self.status(known, now) == PoisonStatus::Quarantined)
        };
        parts.iter().copied().find(is_quarantined)
    }

    /// As [`Self::quarantined`], for a run that is about to be sent. A part on probation is open only
    /// to the instance for which `may_try` holds, for one run at a time.
    pub fn admit(
        &mut self,
        parts: &[PromptPart],
        may_try: impl Fn(PromptPart) -> bool,
        now: Millis,
    ) -> Option<PromptPart> {
        if let Some(part) = self.quarantined(parts, now) {
            return Some(part);
        }
        let now = now + TIME_OFFSET;
        let on_probation = |part: &PromptPart| self.quarantines.contains_key(part);
        let tried: Vec<PromptPart> = parts.iter().copied().filter(on_probation).collect();
        if let Some(part) = tried.iter().find(|part| !may_try(**part)) {
            return Some(*part);
        }
        for part in tried {
            if let Some(known) = self.quarantines.get_mut(&part) {
                known.trial_until = now + self.quarantine_time;
            }
        }
        None
    }

    /// Records that another instance blames `part`. It may know of writes that this one does not, which
    /// has perhaps just started: the part explains crashes before others do. Returns false if a run is
    /// known to have written on the part since its last crash, of which the other instance should
    /// hear.
    pub fn record_verdict(&mut self, part: PromptPart, now: Millis) -> bool {
        let now = now + TIME_OFFSET;
        if self.written.contains_key(&part) && self.crashes_of(part).is_empty() {
            return false;
        }
        if self.verdicts.insert(part) {
            self.update_quarantines(now);
        }
        true
    }

    /// Whether another instance blames `part`, as far as is known.
    #[must_use]
    pub fn has_verdict(&self, part: PromptPart) -> bool {
        self.verdicts.contains(&part)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<BlameChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of crashes that count against a part, and time since the last one in milliseconds.
    #[must_use]
    pub fn crash_count(&self, part: PromptPart, now: Millis) -> (usize, Millis) {
        let now = now + TIME_OFFSET;
        let crashes = self.crashes_of(part);
        let last = self.last_of(&crashes).unwrap_or(now);
        (crashes.len(), now.saturating_sub(last))
    }

    fn status(&self, quarantine: &PartQuarantine, now: Millis) -> PoisonStatus {
        let growth = QUARANTINE_GROWTH.saturating_pow(quarantine.renewals);
        let time = self.quarantine_time.saturating_mul(growth);
        let is_running = now.saturating_sub(quarantine.last_crash) < time;
        if is_running || now < quarantine.trial_until {
            PoisonStatus::Quarantined
        } else {
            PoisonStatus::Probation
        }
    }

    /// Crashes of `part` that no later write excuses.
    fn crashes_of(&self, part: PromptPart) -> BTreeSet<usize> {
        let written = self.written.get(&part).copied();
        let counts = |crash: &EndpointCrash| {
            written.is_none_or(|at| crash.at > at)
                && crash.runs.iter().any(|(_, parts)| parts.contains(&part))
        };
        let crashes = self.crashes.iter().enumerate();
        let counted = crashes.filter(|(_, crash)| counts(crash));
        counted.map(|(index, _)| index).collect()
    }

    /// Time of the last of these crashes.
    fn last_of(&self, crashes: &BTreeSet<usize>) -> Option<Millis> {
        crashes.iter().map(|index| self.crashes[*index].at).max()
    }

    /// Number of crashes that may have separate causes.
    fn moments(&self, crashes: &BTreeSet<usize>) -> usize {
        let mut times: Vec<Millis> = crashes
            .iter()
            .map(|index| self.crashes[*index].at)
            .collect();
        times.sort_unstable();
        let mut count = 0;
        let mut last: Option<Millis> = None;
        for at in times {
            if last.is_none_or(|last| at.saturating_sub(last) >= COMMON_CAUSE_WINDOW) {
                count += 1;
                last = Some(at);
            }
        }
        count
    }

    /// The suspects, the likeliest cause first.
    fn suspects(&self) -> Vec<SuspectPart> {
        let mut positions: BTreeMap<PromptPart, usize> = BTreeMap::new();
        for (_, parts) in self.crashes.iter().flat_map(|crash| &crash.runs) {
            for (position, part) in parts.iter().enumerate() {
                let known = positions.entry(*part).or_insert(position);
                *known = position.max(*known);
            }
        }
        let suspect = |(part, position)| SuspectPart {
            part,
            crashes: self.crashes_of(part),
            position,
            is_proven: self.written.contains_key(&part),
            has_verdict: self.verdicts.contains(&part),
        };
        let mut suspects: Vec<SuspectPart> = positions.into_iter().map(suspect).collect();
        suspects.retain(|suspect| !suspect.crashes.is_empty());
        suspects.sort_by_key(|suspect| {
            let coverage = Reverse(suspect.crashes.len());
            (
                Reverse(suspect.has_verdict),
                suspect.is_proven,
                Reverse(suspect.position),
                coverage,
            )
        });
        suspects
    }

    /// The parts that are to blame, with the crashes of each: suspects with enough crashes that those
    /// before them do not explain.
    fn blamed_parts(&self) -> BTreeMap<PromptPart, BTreeSet<usize>> {
        let suspects = self.suspects();
        let mut explained: BTreeSet<usize> = BTreeSet::new();
        let mut blamed: BTreeMap<PromptPart, BTreeSet<usize>> = BTreeMap::new();
        for suspect in &suspects {
            let unexplained = suspect.crashes.difference(&explained).copied().collect();
            if self.moments(&unexplained) >= suspect.threshold() {
                explained.extend(&suspect.crashes);
                blamed.insert(suspect.part, suspect.crashes.clone());
            }
        }
        // A part that all crashes of several blamed ones have in common is their cause.
        let unproven = suspects.iter().filter(|suspect| !suspect.is_proven);
        for suspect in unproven.rev() {
            let is_covered = |crashes: &BTreeSet<usize>| crashes.is_subset(&suspect.crashes);
            let covered = blamed
                .values()
                .filter(|crashes| is_covered(crashes))
                .count();
            if !blamed.contains_key(&suspect.part) && covered >= COMMON_CAUSE_PARTS {
                blamed.retain(|_, crashes| !is_covered(crashes));
                blamed.insert(suspect.part, suspect.crashes.clone());
            }
        }
        blamed
    }

    /// Decides anew which parts are to blame.
    fn update_quarantines(&mut self, now: Millis) {
        let blamed = self.blamed_parts();
        let mut former = std::mem::take(&mut self.quarantines);
        for (part, crashes) in blamed {
            let last_crash = self.last_of(&crashes).unwrap_or(now);
            let quarantine = if let Some(known) = former.remove(&part) {
                self.renewed(known, last_crash)
            } else {
                self.changes.push(BlameChange::Blamed(part, crashes.len()));
                PartQuarantine {
                    last_crash,
                    renewals: 0,
                    trial_until: 0,
                }
            };
            self.quarantines.insert(part, quarantine);
        }
        self.changes
            .extend(former.into_keys().map(BlameChange::Cleared));
    }

    /// The quarantine after a crash at `last_crash`.
    fn renewed(&self, known: PartQuarantine, last_crash: Millis) -> PartQuarantine {
        if last_crash <= known.last_crash {
            return known;
        }
        let growth = QUARANTINE_GROWTH.saturating_pow(known.renewals);
        let ended_at = known.last_crash + self.quarantine_time.saturating_mul(growth);
        PartQuarantine {
            last_crash,
            renewals: known.renewals + u32::from(last_crash >= ended_at),
            trial_until: 0,
        }
    }

    fn expire(&mut self, now: Millis) {
        let is_old = |crash: &EndpointCrash| now.saturating_sub(crash.at) >= CRASH_RETENTION;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }

    fn drop_older_writes(&mut self) {
        let mut times: Vec<Millis> = self.written.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_WRITTEN / 2);
        let oldest_kept = *median;
        self.written.retain(|_, at| *at >= oldest_kept);
    }
}
