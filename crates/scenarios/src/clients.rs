//! Callers and operators of a world.

use std::rc::Rc;
use std::time::Duration;

use caller::{
    AnswerPart, AnswerStream, ApiKeyDigest, CallAnswer, CallRequest, CompletionKind,
    CompletionRequest,
};
use entry::ClockAndIds;
use futures::StreamExt;
use ntex::http::Method;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::util::Bytes;
use operator::{AnnounceRequest, DocumentChange};
use policy::ids::{AccountId, EndpointId, InstanceId, TemplateId};
use policy::leaving::{LeavingKind, LeavingSubject};
use policy::outcome::RequestOutcome;
use policy::rollout::RolloutStatus;
use policy::template::{ClientAccount, ConfigBody, account_key, template_key};
use service::ServiceCall;
use tokio::time::Instant;
use uuid::Uuid;

use crate::engines::expected_answer;
use crate::gate::{Gated, NodeGate};
use crate::ledger::{RequestEnd, RequestKind, RequestRecord};
use crate::node::NodeEnd;
use crate::world::{API_KEY, PlantedFault, World, WorldState};
use crate::world_build::template;
use crate::world_faults::end_node;

/// What a completion asks for.
#[derives::value]
pub struct PromptPlan {
    /// The model asked for.
    pub model: String,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Milliseconds that an engine takes to read it.
    pub prefill_ms: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Milliseconds between two tokens.
    pub token_ms: u64,
    /// Milliseconds until the deadline.
    pub timeout_ms: u64,
    /// Put in front of the prompt's name; the crash mark, or nothing.
    pub prefix: String,
}

const BYTES_PER_TOKEN: u64 = 4;

impl World {
    /// Sends a completion; gives the request's number.
    pub fn complete(&self, node: &str, plan: &PromptPlan) -> usize {
        self.enter(|| {
            let number = self.state.ledger.borrow().requests.len();
            let name = if plan.prefix.is_empty() {
                format!("prompt-{number}")
            } else {
                plan.prefix.clone()
            };
            let mark = format!(
                "{name}|{}|{}|{}",
                plan.prefill_ms, plan.answer_tokens, plan.token_ms
            );
            let expected = expected_answer(&mark);
            let record = new_record(RequestKind::Completion, node, &name, plan.timeout_ms);
            self.record(RequestRecord { expected, ..record });
            let request = CompletionRequest {
                kind: CompletionKind::Text,
                key: ApiKeyDigest::new(API_KEY),
                model: plan.model.clone(),
                prompt_bytes: plan.prompt_tokens * BYTES_PER_TOKEN,
                prefixes: Vec::new(),
                max_tokens: Some(plan.answer_tokens),
                timeout: Some(plan.timeout_ms),
                arrived: Instant::now(),
                body: Bytes::from(mark),
            };
            let started = self.state.with_node(node, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.callers.complete(request)))
            });
            match started {
                Some(_) if self.state.planted == PlantedFault::StalledCaller => {}
                Some((gate, stream)) => {
                    let state = self.state.clone();
                    tokio::task::spawn_local(read_answer(state, number, gate, stream));
                }
                None => end_request(&self.state, number, RequestEnd::Cut),
            }
            number
        })
    }

    /// An idempotency key that no call has had.
    #[must_use]
    pub fn fresh_key(&self) -> String {
        self.enter(|| {
            let identity = &self.state.identity;
            let random = identity.unique_id().to_be_bytes();
            let mut tail = [0; 10];
            tail.copy_from_slice(&random[6..]);
            let millis = identity.unix_millis();
            let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &tail).into_uuid();
            Uuid::to_string(&uuid)
        })
    }

    /// Sends a call that may not be repeated; gives the request's number.
    ///
    /// # Panics
    ///
    /// When the key is not plain text.
    pub fn call(&self, node: &str, key: &str, timeout_ms: u64) -> usize {
        self.enter(|| {
            let number = self.state.ledger.borrow().requests.len();
            let name = format!("call-{number}");
            let mut record = new_record(RequestKind::Call, node, &name, timeout_ms);
            key.clone_into(&mut record.key);
            self.record(record);
            let header = |name: &'static str, value: &str| {
                let value = HeaderValue::from_str(value).expect("the value is plain text");
                (HeaderName::from_static(name), value)
            };
            let request = CallRequest {
                key: ApiKeyDigest::new(API_KEY),
                service: "orders".to_owned(),
                idempotency_key: key.to_owned(),
                timeout: Some(timeout_ms),
                arrived: Instant::now(),
                call: ServiceCall {
                    method: Method::POST,
                    path: "/run".to_owned(),
                    headers: vec![header("x-mark", &name), header("idempotency-key", key)],
                    body: Bytes::new(),
                },
            };
            let started = self.state.with_node(node, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.callers.call(request)))
            });
            let state = self.state.clone();
            match started {
                Some((gate, answer)) => {
                    tokio::task::spawn_local(async move {
                        let end = match Gated::new(&gate, answer).await {
                            Some(answer) => call_end(answer),
                            None => RequestEnd::Cut,
                        };
                        end_request(&state, number, end);
                    });
                }
                None => end_request(&state, number, RequestEnd::Cut),
            }
            number
        })
    }

    fn record(&self, record: RequestRecord) {
        self.state.ledger.borrow_mut().requests.push(record);
    }

    /// How a request ended.
    #[must_use]
    pub fn end_of(&self, number: usize) -> RequestEnd {
        self.state.ledger.borrow().requests[number].end.clone()
    }

    /// Milliseconds that a request took; the time until now for one that runs.
    #[must_use]
    pub fn millis_of(&self, number: usize) -> u64 {
        self.enter(|| {
            let ledger = self.state.ledger.borrow();
            let record = &ledger.requests[number];
            let ended = record.ended.unwrap_or_else(Instant::now);
            let took = ended.duration_since(record.sent).as_millis();
            u64::try_from(took).unwrap_or(u64::MAX)
        })
    }

    /// How often the call with this key ran.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> u32 {
        let ledger = self.state.ledger.borrow();
        ledger.runs.get(key).copied().unwrap_or(0)
    }

    /// Has an operator change the template at an instance.
    pub fn set_template(&self, node: &str, output_tokens: u64) {
        let request = DocumentChange {
            key: template_key(&TemplateId::new("parents")),
            body: ConfigBody::Template(template(output_tokens)),
            author: String::new(),
            if_version: None,
        };
        self.with_operators(node, async move |state, operators| {
            if let Ok(report) = operators.change(request).await {
                let mut ledger = state.ledger.borrow_mut();
                ledger.written = ledger.written.max(report.version);
                if report.rollout == RolloutStatus::Accepted {
                    ledger.accepted = ledger.accepted.max(report.version);
                }
            }
        });
    }

    /// Adds a client account at an instance.
    pub fn add_account(&self, node: &str, name: &str) {
        let account = ClientAccount {
            name: AccountId::new(name),
            key_sha256: ApiKeyDigest::new(name).as_str().to_owned(),
            template: TemplateId::new("parents"),
        };
        let request = DocumentChange {
            key: account_key(&account.name),
            body: ConfigBody::Account(account),
            author: "scenario".to_owned(),
            if_version: None,
        };
        self.with_operators(node, async move |_, operators| {
            // Only what it does to the template's rollout is looked at.
            let _ = operators.change(request).await;
        });
    }

    /// Asks an instance again whether the newest template is in force everywhere.
    pub fn ask_again(&self, node: &str) {
        let version = self.state.ledger.borrow().written;
        self.with_operators(node, async move |state, operators| {
            if operators.rollout(version).await == Ok(RolloutStatus::Accepted) {
                let mut ledger = state.ledger.borrow_mut();
                ledger.accepted = ledger.accepted.max(version);
            }
        });
    }

    /// The highest template version that was called accepted.
    #[must_use]
    pub fn accepted_version(&self) -> u64 {
        self.state.ledger.borrow().accepted
    }

    /// Has an operator announce at an instance that an engine or instance leaves.
    pub fn announce(&self, node: &str, subject: &str) {
        let is_instance = self.state.nodes.borrow().contains_key(subject);
        let form = AnnounceRequest {
            subject: if is_instance {
                LeavingSubject::Instance(InstanceId::new(subject))
            } else {
                LeavingSubject::Endpoint(EndpointId::new(subject))
            },
            kind: LeavingKind::Leave,
        };
        let name = subject.to_owned();
        let asked = &mut self.state.ledger.borrow_mut().asked_to_leave;
        asked.insert(name.clone());
        let is_unheard = self.state.planted == PlantedFault::UnheardAnnouncement;
        self.with_operators(node, async move |state, operators| {
            if is_unheard || operators.announce(form).await.is_ok() {
                let mut ledger = state.ledger.borrow_mut();
                ledger.announced.entry(name).or_insert_with(Instant::now);
            }
        });
    }

    fn with_operators(
        &self,
        node: &str,
        act: impl AsyncFnOnce(Rc<WorldState>, Rc<dyn operator::OperatorGateway>) + 'static,
    ) {
        self.enter(|| {
            let found = self.state.with_node(node, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.operators.clone()))
            });
            let Some((gate, operators)) = found else {
                return;
            };
            let state = self.state.clone();
            tokio::task::spawn_local(async move {
                Gated::new(&gate, act(state, operators)).await;
            });
        });
    }

    /// Stops an instance as planned: it finishes what runs, says goodbye and ends.
    pub fn stop_node(&self, node: &str) {
        self.enter(|| {
            let found = self.state.with_node(node, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.core.clone()))
            });
            let Some((gate, core)) = found else {
                return;
            };
            let (state, name) = (self.state.clone(), node.to_owned());
            if state.planted == PlantedFault::HastyStop {
                end_node(&state, &name, NodeEnd::Planned);
                return;
            }
            tokio::task::spawn_local(async move {
                let ending = Gated::new(&gate, async {
                    core.drain().await;
                    core.leave_membership().await;
                });
                let is_whole = ending.await.is_some();
                drop(core);
                if is_whole {
                    end_node(&state, &name, NodeEnd::Planned);
                }
            });
        });
    }
}

fn new_record(kind: RequestKind, node: &str, mark: &str, timeout_ms: u64) -> RequestRecord {
    let sent = Instant::now();
    RequestRecord {
        kind,
        node: node.to_owned(),
        mark: mark.to_owned(),
        key: String::new(),
        sent,
        deadline: sent + Duration::from_millis(timeout_ms),
        text: String::new(),
        expected: String::new(),
        end: RequestEnd::Running,
        ended: None,
    }
}

async fn read_answer(
    state: Rc<WorldState>,
    number: usize,
    gate: Rc<NodeGate>,
    mut stream: AnswerStream,
) {
    let end = loop {
        match Gated::new(&gate, stream.next()).await {
            Some(Some(AnswerPart::Text(text))) => {
                let mut ledger = state.ledger.borrow_mut();
                ledger.requests[number].text.push_str(&text);
            }
            Some(Some(AnswerPart::End)) => break RequestEnd::Told(RequestOutcome::Whole),
            Some(Some(AnswerPart::Failed(outcome))) => break RequestEnd::Told(outcome),
            Some(None) | None => break RequestEnd::Cut,
        }
    };
    end_request(&state, number, end);
}

fn call_end(answer: CallAnswer) -> RequestEnd {
    match answer {
        CallAnswer::Answered(_) => RequestEnd::Told(RequestOutcome::Whole),
        CallAnswer::Replayed(_) => RequestEnd::Replayed,
        CallAnswer::Failed(outcome) => RequestEnd::Told(outcome),
    }
}

fn end_request(state: &WorldState, number: usize, end: RequestEnd) {
    let was_planned = {
        let ledger = state.ledger.borrow();
        let node = ledger.requests[number].node.clone();
        drop(ledger);
        state.with_node(&node, |slot| slot.end == NodeEnd::Planned)
    };
    let mut ledger = state.ledger.borrow_mut();
    let record = &mut ledger.requests[number];
    let was_open = record.ended.is_none();
    record.end = end;
    record.ended = Some(Instant::now());
    let is_cut = record.end == RequestEnd::Cut && !record.text.is_empty();
    if was_open && is_cut && was_planned {
        let text = format!("planned stop of {} cut {}", record.node, record.mark);
        ledger.noticed.push(text);
    }
}
