//! Drives one completion: carries out the decisions of `policy::flow`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caller::{AnswerPart, AnswerStream, CompletionKind};
use engine::{EngineClient, EngineFrame, FrameStream, OpenFault, StreamOrder};
use futures::StreamExt;
use futures::stream::unfold;
use ntex::util::Bytes;
use policy::flow::{FlowEvent, FlowStep, RequestFlow};
use policy::frame::FrameKind;
use policy::ids::{AccountId, AttemptId, EndpointId, Millis, RequestId};
use policy::outcome::{Refusal, RefusalReason, RequestOutcome, UnfinishedReason};
use policy::poison::{Fingerprint, PoisonStatus};
use policy::pool::{GrantRequest, Sharing};
use policy::prefix::{BYTES_PER_TOKEN, PromptPrefix};
use policy::template::ModelRule;
use tokio::time::{Instant, timeout_at};

use crate::budget_gate::BudgetGate;
use crate::completion_holds::ImportVerdict;
use crate::control::ControlHandle;
use crate::grants::{GrantDesk, HeldGrant};
use crate::tables::EntryTables;

/// What a worker thread serves completions with.
#[derive(Clone)]
pub(crate) struct CompletionDesk {
    pub(crate) tables: Arc<EntryTables>,
    pub(crate) control: ControlHandle,
    pub(crate) grants: GrantDesk,
    pub(crate) engines: Rc<dyn EngineClient>,
}

/// A completion that was admitted.
pub(crate) struct AdmittedCompletion {
    pub(crate) request: RequestId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) account: AccountId,
    pub(crate) weight: u32,
    pub(crate) kind: CompletionKind,
    pub(crate) rules: Vec<ModelRule>,
    pub(crate) prompt_bytes: u64,
    pub(crate) prefixes: Vec<PromptPrefix>,
    pub(crate) output_tokens: u64,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) body: Bytes,
}

/// Expected times to first token are exceeded this many times before a stream counts as silent.
const FIRST_TOKEN_SLACK: u64 = 3;

/// Serves a completion that was admitted.
pub(crate) fn serve_completion(
    desk: CompletionDesk,
    completion: AdmittedCompletion,
) -> AnswerStream {
    let driver = CompletionDriver::new(desk, completion);
    unfold(driver, |mut driver| async move {
        let part = driver.next_part().await?;
        Some((part, driver))
    })
    .boxed_local()
}

enum DriverState {
    Step(FlowStep),
    Reading,
    Ended,
}

pub(crate) struct OpenStream {
    frames: FrameStream,
    silence: Millis,
}

/// Owns everything that a running completion holds; dropping it gives all of it back.
pub(crate) struct CompletionDriver {
    pub(crate) desk: CompletionDesk,
    pub(crate) completion: AdmittedCompletion,
    flow: RequestFlow,
    state: DriverState,
    rule: usize,
    pub(crate) held: Option<HeldGrant>,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) stream: Option<OpenStream>,
}

impl CompletionDriver {
    fn new(desk: CompletionDesk, completion: AdmittedCompletion) -> Self {
        desk.tables.metrics.in_flight.inc();
        let flow = RequestFlow::new(completion.request);
        let state = DriverState::Step(flow.start());
        Self {
            desk,
            completion,
            flow,
            state,
            rule: 0,
            held: None,
            attempt: None,
            stream: None,
        }
    }

    /// The next part for the caller; none after the last.
    async fn next_part(&mut self) -> Option<AnswerPart> {
        loop {
            let event = match std::mem::replace(&mut self.state, DriverState::Ended) {
                DriverState::Ended => return None,
                DriverState::Reading => match self.read_frame().await {
                    Ok(frame) => match self.on_frame(frame) {
                        Some(part) => return Some(part),
                        None => continue,
                    },
                    Err(event) => event,
                },
                DriverState::Step(FlowStep::Finish(outcome)) => return Some(self.finish(outcome)),
                DriverState::Step(step) => {
                    if let Some(event) = self.carry_out(step).await {
                        event
                    } else {
                        self.state = DriverState::Reading;
                        continue;
                    }
                }
            };
            self.state = DriverState::Step(self.decide(event));
        }
    }

    /// Carries out a step within the deadline. Gives no event where a stream has been opened.
    async fn carry_out(&mut self, step: FlowStep) -> Option<FlowEvent> {
        let deadline = self.completion.deadline;
        match timeout_at(deadline, self.carry_out_step(step)).await {
            Ok(event) => event,
            Err(_) => Some(FlowEvent::DeadlineReached),
        }
    }

    async fn carry_out_step(&mut self, step: FlowStep) -> Option<FlowEvent> {
        match step {
            FlowStep::RequestGrant { excluded } => Some(self.ask_grant(excluded).await),
            FlowStep::FailOver {
                reason: _,
                evidence,
                excluded,
            } => {
                self.judge_endpoint(evidence);
                self.give_back();
                Some(self.ask_grant(excluded).await)
            }
            FlowStep::Open {
                endpoint,
                attempt,
                offset,
            } => self.open(&endpoint, attempt, offset).await,
            FlowStep::Probe { endpoint } => Some(self.probe(&endpoint).await),
            FlowStep::Deliver | FlowStep::DeliverLast | FlowStep::Finish(_) => None,
        }
    }

    /// Asks for a grant, by the rank of the template's rules.
    async fn ask_grant(&mut self, excluded: Vec<EndpointId>) -> FlowEvent {
        let mut last = Refusal::new(RefusalReason::UnknownModel, 0);
        while self.rule < self.completion.rules.len() {
            match self.ask_by_rule(&excluded).await {
                Ok(held) => {
                    let endpoint = held.grant.primary().clone();
                    self.held = Some(held);
                    return self.check_poison(endpoint);
                }
                Err(refusal) => last = refusal,
            }
            if !is_worth_next_rule(last.reason) || self.flow.offset() > 0 {
                break;
            }
            self.rule += 1;
        }
        FlowEvent::GrantRefused(last)
    }

    async fn ask_by_rule(&self, excluded: &[EndpointId]) -> Result<HeldGrant, Refusal> {
        let target = self.completion.rules[self.rule].target();
        let pool = self.desk.tables.pool_of_model(target);
        let pool = pool.ok_or(Refusal::new(RefusalReason::UnknownModel, 0))?;
        let ask = self.ask(target, excluded);
        self.desk.grants.ask(&pool, &ask).await
    }

    fn ask(&self, model: &str, excluded: &[EndpointId]) -> GrantRequest {
        let completion = &self.completion;
        let left = completion
            .deadline
            .saturating_duration_since(Instant::now());
        GrantRequest {
            owner: self.desk.tables.me(),
            request_id: completion.request,
            fingerprint: completion.fingerprint,
            account: completion.account.clone(),
            weight: completion.weight,
            model: model.to_owned(),
            prompt_tokens: completion.prompt_bytes / BYTES_PER_TOKEN + 1,
            output_tokens: completion.output_tokens,
            prefixes: completion.prefixes.clone(),
            time_left: millis(left),
            sharing: match self.poison() {
                PoisonStatus::Clear => Sharing::Shared,
                PoisonStatus::Suspect | PoisonStatus::Quarantined => Sharing::Exclusive,
            },
            excluded: excluded.to_vec(),
        }
    }

    fn poison(&self) -> PoisonStatus {
        let tables = &self.desk.tables;
        let poison = tables.poison.lock();
        poison.status(self.completion.fingerprint, tables.now())
    }

    /// Looks once more before the prompt is sent: it may have been quarantined while it waited.
    fn check_poison(&mut self, endpoint: EndpointId) -> FlowEvent {
        if self.poison() == PoisonStatus::Quarantined {
            self.give_back();
            let wait = self.desk.tables.settings.limits.quarantine_ms;
            return FlowEvent::GrantRefused(Refusal::new(RefusalReason::Quarantined, wait));
        }
        FlowEvent::Granted(endpoint)
    }

    async fn open(
        &mut self,
        endpoint: &EndpointId,
        attempt: AttemptId,
        offset: u64,
    ) -> Option<FlowEvent> {
        self.cancel_stream();
        if self.flow.attempts() == 1 {
            self.desk.tables.metrics.first_attempt();
            self.count_first_attempt(endpoint);
        }
        self.attempt = Some(attempt);
        if self.import_memory(attempt).await == ImportVerdict::Failed {
            return Some(FlowEvent::EndpointRefused);
        }
        let address = self.desk.tables.engines.get(endpoint)?.address;
        let order = self.stream_order(attempt, offset);
        match self.desk.engines.open(address, &order).await {
            Ok(frames) => {
                self.stream = Some(OpenStream {
                    frames,
                    silence: self.first_silence(),
                });
                None
            }
            Err(OpenFault::NotSent) => Some(FlowEvent::ConnectFailed),
            Err(OpenFault::Refused) => Some(FlowEvent::EndpointRefused),
            Err(OpenFault::Closed) => Some(FlowEvent::StreamClosed),
            Err(OpenFault::Silent) => Some(FlowEvent::StreamSilent),
        }
    }

    fn first_silence(&self) -> Millis {
        let expected = self
            .held
            .as_ref()
            .map_or(0, |held| held.grant.expected_first_token);
        self.desk.tables.settings.limits.silence_ms + expected * FIRST_TOKEN_SLACK
    }

    fn stream_order(&self, attempt: AttemptId, offset: u64) -> StreamOrder {
        let completion = &self.completion;
        let rule = &completion.rules[self.rule];
        let grant = self.held.as_ref().map(|held| &held.grant);
        let lead_tokens = grant.map_or(0, |grant| grant.parts[0].tokens);
        let priority = grant.map_or(0, |grant| grant.priority.level());
        StreamOrder {
            path: completion.kind.path(),
            attempt,
            owner: self.desk.tables.me(),
            offset,
            priority: u32::try_from(priority).unwrap_or(0),
            model: rule.target().to_owned(),
            adapter: rule.adapter.clone(),
            version: rule.version.clone(),
            memory_tokens: lead_tokens,
            body: completion.body.clone(),
        }
    }

    async fn probe(&mut self, endpoint: &EndpointId) -> FlowEvent {
        self.cancel_stream();
        let Some(engine) = self.desk.tables.engines.get(endpoint) else {
            return FlowEvent::ProbeFailed;
        };
        match self.desk.engines.report(engine.address).await {
            Ok(report) => FlowEvent::Probed(report.uptime),
            Err(_) => FlowEvent::ProbeFailed,
        }
    }

    async fn read_frame(&mut self) -> Result<EngineFrame, FlowEvent> {
        let deadline = self.completion.deadline;
        let Some(stream) = &mut self.stream else {
            return Err(FlowEvent::StreamClosed);
        };
        let silent_at = Instant::now() + Duration::from_millis(stream.silence);
        let bound = silent_at.min(deadline);
        match timeout_at(bound, stream.frames.next()).await {
            Ok(Some(Ok(frame))) => Ok(frame),
            Ok(Some(Err(_)) | None) => Err(FlowEvent::StreamClosed),
            Err(_) if Instant::now() >= deadline => Err(FlowEvent::DeadlineReached),
            Err(_) => Err(FlowEvent::StreamSilent),
        }
    }

    /// Has a frame judged, and hands it on where it follows what the caller has.
    fn on_frame(&mut self, frame: EngineFrame) -> Option<AnswerPart> {
        let is_first = self.flow.offset() == 0;
        let kind = frame.head.kind;
        match self.decide(FlowEvent::Frame(frame.head)) {
            FlowStep::Deliver => {
                self.state = DriverState::Reading;
                self.note_progress(is_first);
                Some(AnswerPart::Text(frame.text))
            }
            FlowStep::DeliverLast => {
                debug_assert_eq!(kind, FrameKind::End);
                self.state = DriverState::Step(FlowStep::Finish(RequestOutcome::Whole));
                if frame.text.is_empty() {
                    return None;
                }
                Some(AnswerPart::Text(frame.text))
            }
            step => {
                self.state = DriverState::Step(step);
                None
            }
        }
    }

    fn note_progress(&mut self, is_first: bool) {
        if let Some(stream) = &mut self.stream {
            stream.silence = self.desk.tables.settings.limits.silence_ms;
        }
        if is_first {
            let elapsed = self.completion.arrived.elapsed();
            self.desk.tables.metrics.first_token(elapsed.as_secs_f64());
        }
    }

    fn decide(&mut self, event: FlowEvent) -> FlowStep {
        let mut gate = BudgetGate {
            tables: &self.desk.tables,
            account: &self.completion.account,
        };
        let now = self.desk.tables.now();
        self.flow.on_event(event, now, &mut gate)
    }

    fn count_first_attempt(&self, endpoint: &EndpointId) {
        let mut budgets = self.desk.tables.budgets.lock();
        let account = &self.completion.account;
        budgets.accounts.budget(account).first_attempt();
        budgets.endpoints.budget(endpoint).first_attempt();
    }

    fn finish(&mut self, outcome: RequestOutcome) -> AnswerPart {
        let tables = self.desk.tables.clone();
        match &outcome {
            RequestOutcome::Whole => {
                tables.metrics.whole();
                let now = tables.now();
                let mut poison = tables.poison.lock();
                poison.finished(self.completion.fingerprint, now);
                drop(poison);
                self.forget_ended_stream();
            }
            RequestOutcome::NotRun(refusal) => tables.metrics.refused(refusal.reason),
            RequestOutcome::Unfinished(reason) => tables.metrics.unfinished(*reason),
        }
        self.give_back();
        match outcome {
            RequestOutcome::Whole => AnswerPart::End,
            other => AnswerPart::Failed(other),
        }
    }

    /// A stream that has sent its end mark needs no cancelling, unless it holds memory elsewhere.
    fn forget_ended_stream(&mut self) {
        let parts = self.held.as_ref().map_or(0, |held| held.grant.parts.len());
        if parts <= 1 {
            self.attempt = None;
        }
    }
}

impl Drop for CompletionDriver {
    fn drop(&mut self) {
        if !matches!(self.state, DriverState::Ended) || self.held.is_some() {
            let reason = UnfinishedReason::CallerGone;
            self.desk.tables.metrics.unfinished(reason);
        }
        self.give_back();
        self.desk.tables.metrics.in_flight.dec();
    }
}

/// Whether a worse-ranked rule may serve what a better one could not.
fn is_worth_next_rule(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::NoEndpoint
            | RefusalReason::ModelLoading
            | RefusalReason::AccountLimit
            | RefusalReason::UnknownModel
            | RefusalReason::PromptTooLarge
    )
}

fn millis(duration: Duration) -> Millis {
    Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX)
}
