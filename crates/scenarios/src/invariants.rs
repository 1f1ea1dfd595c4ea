//! Checks what must always hold, apart from the code that keeps it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use policy::ids::TemplateId;
use policy::outcome::RequestOutcome;
use policy::template::template_key;
use tokio::time::Instant;

use crate::ledger::{RequestEnd, RequestKind, RequestRecord};
use crate::node::NodeSlot;
use crate::world::{MODEL, SECOND_MODEL, World};

/// How long after its deadline a request may be answered, for messages on their way.
const ANSWER_SLACK: Duration = Duration::from_millis(300);

/// How long after an announcement an instance may still take new work.
const LEAVING_TIME: Duration = Duration::from_secs(3);

/// Something that must always hold and did not.
#[derives::value]
pub struct Violation {
    /// Which promise was broken.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
    /// When, in milliseconds of the world's time.
    pub at: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} ms: {}",
            self.promise, self.at, self.seen
        )
    }
}

impl World {
    /// Checks everything that must hold at any moment.
    pub(crate) fn check_step(&mut self) {
        let found = self.enter(|| self.find_violations());
        for violation in found {
            self.add_violation(violation);
        }
    }

    /// Keeps a violation, the first time that it is seen, with its time.
    fn add_violation(&mut self, violation: Violation) {
        let is_known =
            |known: &Violation| known.promise == violation.promise && known.seen == violation.seen;
        if !self.violations.iter().any(is_known) {
            let at = self.enter(|| self.state.identity.elapsed_millis());
            self.violations.push(Violation { at, ..violation });
        }
    }

    fn find_violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let ledger = self.state.ledger.borrow();
        for record in &ledger.requests {
            check_answer(record, &mut found);
            check_not_run(record, &ledger.started, &mut found);
            self.check_deadline(record, &mut found);
            self.check_leaving(record, &mut found);
        }
        for (key, runs) in &ledger.runs {
            if *runs > 1 {
                let seen = format!("key {key} ran {runs} times");
                found.push(violation("at most once", seen));
            }
        }
        for seen in &ledger.noticed {
            found.push(violation("planned stops cut nothing", seen.clone()));
        }
        let accepted = ledger.accepted;
        drop(ledger);
        self.check_templates(accepted, &mut found);
        self.check_loads(&mut found);
        found
    }

    fn check_deadline(&self, record: &RequestRecord, found: &mut Vec<Violation>) {
        if record.ended.is_some() {
            return;
        }
        let (is_moving, disturbed) = self
            .state
            .with_node(&record.node, |slot| (slot.is_moving(), slot.disturbed));
        let due = record.deadline.max(disturbed) + ANSWER_SLACK;
        if is_moving && Instant::now() > due {
            let seen = format!("{} at {} has no answer", record.mark, record.node);
            found.push(violation("every request ends within its time", seen));
        }
    }

    /// A request that arrives at a leaving instance after a few seconds does not run there.
    fn check_leaving(&self, record: &RequestRecord, found: &mut Vec<Violation>) {
        let ledger = self.state.ledger.borrow();
        let Some(announced) = ledger.announced.get(&record.node) else {
            return;
        };
        let disturbed = self.state.with_node(&record.node, |slot| slot.disturbed);
        let is_late = record.sent > (*announced).max(disturbed) + LEAVING_TIME;
        let is_served = record.end == RequestEnd::Told(RequestOutcome::Whole);
        if is_late && is_served {
            let seen = format!("{} was served by {}", record.mark, record.node);
            found.push(violation("leaving instances get no new work", seen));
        }
    }

    /// Engines load only what the weight store has allowed.
    fn check_loads(&self, found: &mut Vec<Violation>) {
        let engines = self.state.engines.borrow();
        let loads: u64 = engines.values().map(|engine| engine.loads).sum();
        let allowed = self.state.weights.borrow().allowed;
        if loads > allowed {
            let seen = format!("{loads} loads, {allowed} were allowed");
            found.push(violation("the weight store's rate is kept", seen));
        }
    }

    /// Every model of a failure domain is loaded on one of its engines.
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

    /// No instance that takes requests has an older template than one that was accepted.
    fn check_templates(&self, accepted: u64, found: &mut Vec<Violation>) {
        let key = template_key(&TemplateId::new("parents"));
        for slot in self.state.nodes.borrow().values() {
            if let Some(version) = served_version(slot, &key)
                && version < accepted
            {
                let seen = format!("{} serves {version}, accepted was {accepted}", slot.name);
                found.push(violation("accepted changes are in force", seen));
            }
        }
    }

    /// Checks what must hold once everything has healed and had time to settle.
    pub fn check_settled(&mut self) {
        let used = self.used_tokens();
        if used > 0 {
            let seen = format!("{used} tokens of memory are still held");
            self.add_violation(violation("no engine loses memory for good", seen));
        }
        for name in self.node_names() {
            if !self.is_ready(&name) && !self.is_asked_to_leave(&name) {
                let seen = format!("{name} is not ready after healing");
                self.add_violation(violation("the fleet recovers", seen));
            }
        }
        for seen in self.find_unloaded() {
            self.add_violation(violation("the fleet recovers", seen));
        }
        let versions = self.enter(|| self.served_versions());
        if versions.windows(2).any(|pair| pair[0] != pair[1]) {
            let seen = format!("instances serve versions {versions:?}");
            self.add_violation(violation("accepted changes are in force", seen));
        }
    }

    /// An announcement whose answer was lost holds all the same.
    fn is_asked_to_leave(&self, name: &str) -> bool {
        self.state.ledger.borrow().asked_to_leave.contains(name)
    }

    fn served_versions(&self) -> Vec<u64> {
        let key = template_key(&TemplateId::new("parents"));
        let nodes = self.state.nodes.borrow();
        nodes
            .values()
            .filter_map(|slot| served_version(slot, &key))
            .collect()
    }
}

/// The version of a document that an instance serves requests with; none if it takes none.
fn served_version(slot: &NodeSlot, key: &str) -> Option<u64> {
    if !slot.is_moving() {
        return None;
    }
    let node = slot.running.as_ref()?;
    if !node.core.is_ready() {
        return None;
    }
    let documents = node.operators.documents(key);
    Some(documents.first().map_or(0, |document| document.version))
}

/// A whole answer is the engine's answer, and every other answer is its beginning.
fn check_answer(record: &RequestRecord, found: &mut Vec<Violation>) {
    if record.kind == RequestKind::Call {
        return;
    }
    let is_whole = record.end == RequestEnd::Told(RequestOutcome::Whole);
    if is_whole && record.text != record.expected {
        let seen = format!("{} got another text as whole", record.mark);
        found.push(violation("whole answers to one's own request", seen));
    }
    if !record.expected.starts_with(&record.text) {
        let seen = format!("{} got a gap or a repeat", record.mark);
        found.push(violation("whole answers to one's own request", seen));
    }
}

fn check_not_run(
    record: &RequestRecord,
    started: &std::collections::BTreeSet<String>,
    found: &mut Vec<Violation>,
) {
    let is_not_run = matches!(record.end, RequestEnd::Told(RequestOutcome::NotRun(_)));
    if is_not_run && started.contains(&record.mark) && !is_shared_mark(record) {
        let seen = format!("{} was told not run and ran", record.mark);
        found.push(violation("not run means not run", seen));
    }
}

/// Prompts that are sent again and again share one mark, so that one of them may have run.
fn is_shared_mark(record: &RequestRecord) -> bool {
    record.kind == RequestKind::Completion && !record.mark.starts_with("prompt-")
}

fn violation(promise: &'static str, seen: String) -> Violation {
    Violation {
        promise,
        seen,
        at: 0,
    }
}
