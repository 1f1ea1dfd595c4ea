//! Requests that a world's callers and operators send.

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
use crate::history::{RequestEnd, RequestKind, RequestRecord};
use crate::instance::ExitReason;
use crate::process_gate::{Gated, ProcessGate};
use crate::world::{API_KEY, PlantedFault, World, WorldState};
use crate::world_build::template;
use crate::world_faults::end_instance;

/// Content, cost and deadline of a completion.
#[derives::value]
pub struct PromptPlan {
    /// Name of the requested model.
    pub model: String,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Time until the first token, in milliseconds.
    pub prefill_ms: u64,
    /// Answer length, in tokens.
    pub answer_tokens: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Time until the deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Content id to send in place of a unique one, for example the text that crashes engines;
    /// empty for a unique one.
    pub content_id: String,
}

const BYTES_PER_TOKEN: u64 = 4;

impl World {
    /// Sends a completion to an instance; returns the request's number.
    pub fn complete(&self, instance: &str, plan: &PromptPlan) -> usize {
        self.enter(|| {
            let number = self.state.history.borrow().requests.len();
            let content_id = if plan.content_id.is_empty() {
                format!("prompt-{number}")
            } else {
                plan.content_id.clone()
            };
            let prompt = format!(
                "{content_id}|{}|{}|{}",
                plan.prefill_ms, plan.answer_tokens, plan.token_ms
            );
            let expected = expected_answer(&prompt);
            let record = new_record(
                RequestKind::Completion,
                instance,
                &content_id,
                plan.timeout_ms,
            );
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
                body: Bytes::from(prompt),
            };
            let started = self.state.with_instance(instance, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.callers.complete(request)))
            });
            match started {
                Some(_) if self.state.planted == PlantedFault::AbandonedStream => {}
                Some((gate, stream)) => {
                    let state = self.state.clone();
                    tokio::task::spawn_local(read_answer(state, number, gate, stream));
                }
                None => end_request(&self.state, number, RequestEnd::ConnectionLost),
            }
            number
        })
    }

    /// Returns an unused idempotency key: a version 7 UUID of the virtual time.
    #[must_use]
    pub fn fresh_key(&self) -> String {
        self.enter(|| {
            let clock_and_ids = &self.state.clock_and_ids;
            let random = clock_and_ids.unique_id().to_be_bytes();
            let mut tail = [0; 10];
            tail.copy_from_slice(&random[6..]);
            let millis = clock_and_ids.unix_millis();
            let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &tail).into_uuid();
            Uuid::to_string(&uuid)
        })
    }

    /// Sends an at-most-once service call to an instance; returns the request's number.
    ///
    /// # Panics
    ///
    /// Panics if the key contains characters that an HTTP header cannot hold.
    pub fn call(&self, instance: &str, key: &str, timeout_ms: u64) -> usize {
        self.enter(|| {
            let number = self.state.history.borrow().requests.len();
            let content_id = format!("call-{number}");
            let mut record = new_record(RequestKind::Call, instance, &content_id, timeout_ms);
            key.clone_into(&mut record.key);
            self.record(record);
            let header = |name: &'static str, value: &str| {
                let value = HeaderValue::from_str(value).expect("the value fits in an HTTP header");
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
                    headers: vec![
                        header("x-mark", &content_id),
                        header("idempotency-key", key),
                    ],
                    body: Bytes::new(),
                },
            };
            let started = self.state.with_instance(instance, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.callers.call(request)))
            });
            let state = self.state.clone();
            match started {
                Some((gate, answer)) => {
                    tokio::task::spawn_local(async move {
                        let end = match Gated::new(&gate, answer).await {
                            Some(answer) => call_end(answer),
                            None => RequestEnd::ConnectionLost,
                        };
                        end_request(&state, number, end);
                    });
                }
                None => end_request(&state, number, RequestEnd::ConnectionLost),
            }
            number
        })
    }

    fn record(&self, record: RequestRecord) {
        self.state.history.borrow_mut().requests.push(record);
    }

    /// How a request ended; [`RequestEnd::Running`] while it is in flight.
    #[must_use]
    pub fn request_end(&self, number: usize) -> RequestEnd {
        self.state.history.borrow().requests[number].end.clone()
    }

    /// Duration of a request in milliseconds, up to now if it is in flight.
    #[must_use]
    pub fn request_millis(&self, number: usize) -> u64 {
        self.enter(|| {
            let history = self.state.history.borrow();
            let record = &history.requests[number];
            let ended = record.ended.unwrap_or_else(Instant::now);
            let elapsed = ended.duration_since(record.sent).as_millis();
            u64::try_from(elapsed).unwrap_or(u64::MAX)
        })
    }

    /// Number of times that services executed the call with this idempotency key.
    #[must_use]
    pub fn run_count(&self, key: &str) -> u32 {
        let history = self.state.history.borrow();
        history.runs.get(key).copied().unwrap_or(0)
    }

    /// Changes the template at an instance, as an operator.
    pub fn set_template(&self, instance: &str, output_tokens: u64) {
        let request = DocumentChange {
            key: template_key(&TemplateId::new("parents")),
            body: ConfigBody::Template(template(output_tokens)),
            author: String::new(),
            if_version: None,
        };
        self.with_operators(instance, async move |state, operators| {
            if let Ok(report) = operators.change(request).await {
                let mut history = state.history.borrow_mut();
                history.written_version = history.written_version.max(report.version);
                if report.rollout == RolloutStatus::Accepted {
                    history.accepted_version = history.accepted_version.max(report.version);
                }
            }
        });
    }

    /// Adds a client account at an instance, as an operator.
    pub fn add_account(&self, instance: &str, name: &str) {
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
        self.with_operators(instance, async move |_, operators| {
            // Scenarios check only the effect on the template's rollout, not this answer.
            let _ = operators.change(request).await;
        });
    }

    /// Asks an instance again whether the newest template is accepted by all instances.
    pub fn recheck_rollout(&self, instance: &str) {
        let version = self.state.history.borrow().written_version;
        self.with_operators(instance, async move |state, operators| {
            if operators.rollout(version).await == Ok(RolloutStatus::Accepted) {
                let mut history = state.history.borrow_mut();
                history.accepted_version = history.accepted_version.max(version);
            }
        });
    }

    /// Highest template version that an instance reported as accepted.
    #[must_use]
    pub fn accepted_version(&self) -> u64 {
        self.state.history.borrow().accepted_version
    }

    /// Announces at an instance, as an operator, that an engine or an instance named `subject`
    /// leaves.
    pub fn announce(&self, instance: &str, subject: &str) {
        let is_instance = self.state.instances.borrow().contains_key(subject);
        let announcement = AnnounceRequest {
            subject: if is_instance {
                LeavingSubject::Instance(InstanceId::new(subject))
            } else {
                LeavingSubject::Endpoint(EndpointId::new(subject))
            },
            kind: LeavingKind::Leave,
        };
        let name = subject.to_owned();
        let requested = &mut self.state.history.borrow_mut().requested_to_leave;
        requested.insert(name.clone());
        let is_dropped = self.state.planted == PlantedFault::DroppedAnnouncement;
        self.with_operators(instance, async move |state, operators| {
            if is_dropped || operators.announce(announcement).await.is_ok() {
                let mut history = state.history.borrow_mut();
                history
                    .announced_at
                    .entry(name)
                    .or_insert_with(Instant::now);
            }
        });
    }

    /// Runs `act` with an instance's operator interface, in a task of that instance; does nothing
    /// if the instance is not running.
    fn with_operators(
        &self,
        instance: &str,
        act: impl AsyncFnOnce(Rc<WorldState>, Rc<dyn operator::OperatorGateway>) + 'static,
    ) {
        self.enter(|| {
            let found = self.state.with_instance(instance, |slot| {
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

    /// Stops an instance as planned: the instance drains, leaves the membership and exits.
    pub fn stop_instance(&self, instance: &str) {
        self.enter(|| {
            let found = self.state.with_instance(instance, |slot| {
                let running = slot.running.as_ref()?;
                Some((slot.gate.clone(), running.core.clone()))
            });
            let Some((gate, core)) = found else {
                return;
            };
            let (state, name) = (self.state.clone(), instance.to_owned());
            if state.planted == PlantedFault::AbruptStop {
                end_instance(&state, &name, ExitReason::Planned);
                return;
            }
            tokio::task::spawn_local(async move {
                let shutdown = Gated::new(&gate, async {
                    core.drain().await;
                    core.leave_membership().await;
                });
                let is_complete = shutdown.await.is_some();
                drop(core);
                if is_complete {
                    end_instance(&state, &name, ExitReason::Planned);
                }
            });
        });
    }
}

fn new_record(
    kind: RequestKind,
    instance: &str,
    content_id: &str,
    timeout_ms: u64,
) -> RequestRecord {
    let sent = Instant::now();
    RequestRecord {
        kind,
        instance: instance.to_owned(),
        content_id: content_id.to_owned(),
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
    gate: Rc<ProcessGate>,
    mut stream: AnswerStream,
) {
    let end = loop {
        match Gated::new(&gate, stream.next()).await {
            Some(Some(AnswerPart::Text(text))) => {
                let mut history = state.history.borrow_mut();
                history.requests[number].text.push_str(&text);
            }
            Some(Some(AnswerPart::End)) => break RequestEnd::Reported(RequestOutcome::Whole),
            Some(Some(AnswerPart::Failed(outcome))) => break RequestEnd::Reported(outcome),
            Some(None) | None => break RequestEnd::ConnectionLost,
        }
    };
    end_request(&state, number, end);
}

fn call_end(answer: CallAnswer) -> RequestEnd {
    match answer {
        CallAnswer::Answered(_) => RequestEnd::Reported(RequestOutcome::Whole),
        CallAnswer::Replayed(_) => RequestEnd::Replayed,
        CallAnswer::Failed(outcome) => RequestEnd::Reported(outcome),
    }
}

fn end_request(state: &WorldState, number: usize, end: RequestEnd) {
    let was_planned = {
        let history = state.history.borrow();
        let instance = history.requests[number].instance.clone();
        drop(history);
        state.with_instance(&instance, |slot| slot.exit_reason == ExitReason::Planned)
    };
    let mut history = state.history.borrow_mut();
    let record = &mut history.requests[number];
    let was_open = record.ended.is_none();
    record.end = end;
    record.ended = Some(Instant::now());
    let is_interrupted = record.end == RequestEnd::ConnectionLost && !record.text.is_empty();
    if was_open && is_interrupted && was_planned {
        let text = format!(
            "planned stop of {} interrupted {}",
            record.instance, record.content_id
        );
        history.interrupted_by_stop.push(text);
    }
}
