//! Invariants of a world, checked from what callers, endpoints and operators see, independently of
//! the code under test.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use policy::ids::TemplateId;
use policy::outcome::RequestOutcome;
use policy::template::template_key;
use tokio::time::Instant;

use crate::history::{RequestEnd, RequestKind, RequestRecord};
use crate::instance::InstanceSlot;
use crate::world::{MODEL, SECOND_MODEL, World};

/// Time after its deadline within which a request may still be answered; covers message latency.
const ANSWER_SLACK: Duration = Duration::from_millis(300);

/// Time after an announcement during which the announced instance may still serve new requests.
const ANNOUNCEMENT_GRACE: Duration = Duration::from_secs(3);

/// A violated invariant.
#[derives::value]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What was observed.
    pub observed: String,
    /// Virtual time of the first observation, in milliseconds.
    pub at: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} ms: {}",
            self.invariant, self.at, self.observed
        )
    }
}

impl World {
    /// Checks the invariants that must hold at any time.
    pub(crate) fn check_step(&mut self) {
        let found = self.enter(|| self.find_violations());
        for violation in found {
            self.add_violation(violation);
        }
    }

    /// Records a violation with the present time, unless the same one is recorded already.
    fn add_violation(&mut self, violation: Violation) {
        let is_known = |known: &Violation| {
            known.invariant == violation.invariant && known.observed == violation.observed
        };
        if !self.violations.iter().any(is_known) {
            let at = self.enter(|| self.state.clock_and_ids.elapsed_millis());
            self.violations.push(Violation { at, ..violation });
        }
    }

    fn find_violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let history = self.state.history.borrow();
        for record in &history.requests {
            check_answer(record, &mut found);
            check_not_run(record, &history.started, &mut found);
            self.check_deadline(record, &mut found);
            self.check_leaving(record, &mut found);
        }
        for (key, runs) in &history.runs {
            if *runs > 1 {
                let observed = format!("key {key} ran {runs} times");
                found.push(violation("non-idempotent calls run at most once", observed));
            }
        }
        for observed in &history.interrupted_by_stop {
            found.push(violation(
                "planned stops interrupt no request",
                observed.clone(),
            ));
        }
        let accepted_version = history.accepted_version;
        drop(history);
        self.check_templates(accepted_version, &mut found);
        self.check_loads(&mut found);
        found
    }

    /// An instance answers a request by its deadline; an instance that was disrupted later answers
    /// soon after the disruption.
    fn check_deadline(&self, record: &RequestRecord, found: &mut Vec<Violation>) {
        if record.ended.is_some() {
            return;
        }
        let (is_responsive, last_disruption) = self.state.with_instance(&record.instance, |slot| {
            (slot.is_responsive(), slot.last_disruption)
        });
        let due = record.deadline.max(last_disruption) + ANSWER_SLACK;
        if is_responsive && Instant::now() > due {
            let observed = format!("{} at {} has no answer", record.content_id, record.instance);
            found.push(violation("every request ends by its deadline", observed));
        }
    }

    /// An announced instance serves no request that arrives after the grace time.
    fn check_leaving(&self, record: &RequestRecord, found: &mut Vec<Violation>) {
        let history = self.state.history.borrow();
        let Some(announced_at) = history.announced_at.get(&record.instance) else {
            return;
        };
        let last_disruption = self
            .state
            .with_instance(&record.instance, |slot| slot.last_disruption);
        let is_late = record.sent > (*announced_at).max(last_disruption) + ANNOUNCEMENT_GRACE;
        let is_served = record.end == RequestEnd::Reported(RequestOutcome::Whole);
        if is_late && is_served {
            let observed = format!("{} was served by {}", record.content_id, record.instance);
            found.push(violation("leaving instances get no new work", observed));
        }
    }

    /// Engines start no more loads than the weight store has allowed.
    fn check_loads(&self, found: &mut Vec<Violation>) {
        let engines = self.state.engines.borrow();
        let loads: u64 = engines.values().map(|engine| engine.loads).sum();
        let allowed = self.state.weights.borrow().allowed;
        if loads > allowed {
            let observed = format!("{loads} loads started, {allowed} allowed");
            found.push(violation(
                "loads stay within the weight store's rate",
                observed,
            ));
        }
    }

    /// Describes the failure domains in which a model is not loaded on any engine.
    fn find_unloaded(&self) -> Vec<String> {
        let mut loaded: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for engine in self.state.engines.borrow().values() {
            let domain = engine.name.split('-').next().unwrap_or("").to_owned();
            let models = loaded.entry(domain).or_default();
            if engine.is_managed {
                models.insert(engine.model.clone());
            } else {
                models.extend([MODEL, SECOND_MODEL].map(str::to_owned));
            }
        }
        let is_complete = |models: &BTreeSet<String>| {
            [MODEL, SECOND_MODEL]
                .iter()
                .all(|model| models.contains(*model))
        };
        let incomplete = loaded.into_iter().filter(|(_, one)| !is_complete(one));
        incomplete
            .map(|(domain, models)| format!("{domain} has loaded {models:?}"))
            .collect()
    }

    /// No instance that accepts requests serves a template older than an accepted version.
    fn check_templates(&self, accepted_version: u64, found: &mut Vec<Violation>) {
        let key = template_key(&TemplateId::new("parents"));
        for slot in self.state.instances.borrow().values() {
            if let Some(version) = served_version(slot, &key)
                && version < accepted_version
            {
                let observed = format!(
                    "{} serves version {version}, but {accepted_version} is accepted",
                    slot.name
                );
                found.push(violation("accepted changes are in force", observed));
            }
        }
    }

    /// Checks the invariants that must hold once all faults have ended and the fleet has had time
    /// to settle.
    pub fn check_settled(&mut self) {
        let used = self.used_tokens();
        if used > 0 {
            let observed = format!("{used} tokens of engine memory are still in use");
            self.add_violation(violation("engine memory is released", observed));
        }
        for name in self.instance_names() {
            if !self.is_ready(&name) && !self.is_asked_to_leave(&name) {
                let observed = format!("{name} is not ready after all faults have ended");
                self.add_violation(violation("the fleet recovers", observed));
            }
        }
        for observed in self.find_unloaded() {
            self.add_violation(violation("the fleet recovers", observed));
        }
        let versions = self.enter(|| self.served_versions());
        if versions.windows(2).any(|pair| pair[0] != pair[1]) {
            let observed = format!("instances serve versions {versions:?}");
            self.add_violation(violation("accepted changes are in force", observed));
        }
    }

    /// Whether an operator asked to announce an instance; the announcement may be in force even if
    /// its answer was lost.
    fn is_asked_to_leave(&self, name: &str) -> bool {
        self.state
            .history
            .borrow()
            .requested_to_leave
            .contains(name)
    }

    fn served_versions(&self) -> Vec<u64> {
        let key = template_key(&TemplateId::new("parents"));
        let instances = self.state.instances.borrow();
        instances
            .values()
            .filter_map(|slot| served_version(slot, &key))
            .collect()
    }
}

/// Version of a document that an instance serves requests with; `None` if the instance does not
/// accept requests.
fn served_version(slot: &InstanceSlot, key: &str) -> Option<u64> {
    if !slot.is_responsive() {
        return None;
    }
    let instance = slot.running.as_ref()?;
    if !instance.core.is_ready() {
        return None;
    }
    let documents = instance.operators.documents(key);
    Some(documents.first().map_or(0, |document| document.version))
}

/// A complete answer equals the engine's answer, and any other answer is a prefix of it.
fn check_answer(record: &RequestRecord, found: &mut Vec<Violation>) {
    if record.kind == RequestKind::Call {
        return;
    }
    let is_whole = record.end == RequestEnd::Reported(RequestOutcome::Whole);
    if is_whole && record.text != record.expected {
        let observed = format!(
            "{} got a complete answer with a wrong text",
            record.content_id
        );
        found.push(violation(
            "answers belong to their request and have no gap",
            observed,
        ));
    }
    if !record.expected.starts_with(&record.text) {
        let observed = format!(
            "{} got an answer with a gap or a repetition",
            record.content_id
        );
        found.push(violation(
            "answers belong to their request and have no gap",
            observed,
        ));
    }
}

fn check_not_run(
    record: &RequestRecord,
    started: &std::collections::BTreeSet<String>,
    found: &mut Vec<Violation>,
) {
    let is_not_run = matches!(record.end, RequestEnd::Reported(RequestOutcome::NotRun(_)));
    if is_not_run && started.contains(&record.content_id) && !has_shared_content_id(record) {
        let observed = format!("{} was reported as not run, but ran", record.content_id);
        found.push(violation(
            "requests reported as not run did not run",
            observed,
        ));
    }
}

/// Whether other requests may have the same content id, so that one of those may have run.
fn has_shared_content_id(record: &RequestRecord) -> bool {
    record.kind == RequestKind::Completion && !record.content_id.starts_with("prompt-")
}

fn violation(invariant: &'static str, observed: String) -> Violation {
    Violation {
        invariant,
        observed,
        at: 0,
    }
}
