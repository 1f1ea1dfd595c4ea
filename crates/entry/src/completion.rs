//! Drives a completion by executing the steps of `policy::flow`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use caller::{AnswerPart, AnswerStream, CompletionKind};
use engine::{EngineClient, EngineFrame, FrameStream, OpenError, StreamRequest};
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

use crate::budget_retry_limiter::BudgetRetryLimiter;
use crate::completion_release::ImportOutcome;
use crate::control::ControlHandle;
use crate::grants::{GrantClient, HeldGrant};
use crate::tables::EntryTables;

/// Shared state and clients with which a worker thread serves completions.
#[derive(Clone)]
pub(crate) struct CompletionContext {
    pub(crate) tables: Arc<EntryTables>,
    pub(crate) control: ControlHandle,
    pub(crate) grants: GrantClient,
    pub(crate) engines: Rc<dyn EngineClient>,
}

/// A completion request that was admitted.
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

/// Multiple of the expected time to first token that is added to `silence_ms` before a stream
/// without a first frame counts as silent.
const FIRST_TOKEN_SLACK: u64 = 3;

/// Serves an admitted completion; dropping the stream cancels it.
pub(crate) fn serve_completion(
    context: CompletionContext,
    completion: AdmittedCompletion,
) -> AnswerStream {
    let driver = CompletionDriver::new(context, completion);
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
    silence_timeout: Millis,
}

/// Owns everything that a running completion holds; dropping the driver releases all of it.
pub(crate) struct CompletionDriver {
    pub(crate) context: CompletionContext,
    pub(crate) completion: AdmittedCompletion,
    flow: RequestFlow,
    state: DriverState,
    rule: usize,
    pub(crate) held: Option<HeldGrant>,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) stream: Option<OpenStream>,
}

impl CompletionDriver {
    fn new(context: CompletionContext, completion: AdmittedCompletion) -> Self {
        context.tables.metrics.in_flight.inc();
        let flow = RequestFlow::new(completion.request);
        let state = DriverState::Step(flow.start());
        Self {
            context,
            completion,
            flow,
            state,
            rule: 0,
            held: None,
            attempt: None,
            stream: None,
        }
    }

    /// Returns the next part for the caller, or `None` after the last.
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
                    if let Some(event) = self.execute(step).await {
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

    /// Executes a step within the request's deadline. Returns `None` if a stream was opened, whose
    /// frames are to be read next.
    async fn execute(&mut self, step: FlowStep) -> Option<FlowEvent> {
        let deadline = self.completion.deadline;
        match timeout_at(deadline, self.execute_step(step)).await {
            Ok(event) => event,
            Err(_) => Some(FlowEvent::DeadlineReached),
        }
    }

    async fn execute_step(&mut self, step: FlowStep) -> Option<FlowEvent> {
        match step {
            FlowStep::RequestGrant { excluded } => Some(self.request_grant(excluded).await),
            FlowStep::FailOver {
                reason: _,
                evidence,
                excluded,
            } => {
                self.report_evidence(evidence);
                self.release_all();
                Some(self.request_grant(excluded).await)
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

    /// Requests a grant, trying the template's rules in order of rank.
    async fn request_grant(&mut self, excluded: Vec<EndpointId>) -> FlowEvent {
        let mut last = Refusal::new(RefusalReason::UnknownModel, 0);
        while self.rule < self.completion.rules.len() {
            match self.request_by_rule(&excluded).await {
                Ok(held) => {
                    let endpoint = held.grant.primary().clone();
                    self.held = Some(held);
                    return self.check_poison(endpoint);
                }
                Err(refusal) => last = refusal,
            }
            if !may_try_next_rule(last.reason) || self.flow.offset() > 0 {
                break;
            }
            self.rule += 1;
        }
        FlowEvent::GrantRefused(last)
    }

    async fn request_by_rule(&self, excluded: &[EndpointId]) -> Result<HeldGrant, Refusal> {
        let target = self.completion.rules[self.rule].target();
        let pool = self.context.tables.pool_of_model(target);
        let pool = pool.ok_or(Refusal::new(RefusalReason::UnknownModel, 0))?;
        let request = self.grant_request(target, excluded);
        self.context.grants.request(&pool, &request).await
    }

    fn grant_request(&self, model: &str, excluded: &[EndpointId]) -> GrantRequest {
        let completion = &self.completion;
        let left = completion
            .deadline
            .saturating_duration_since(Instant::now());
        GrantRequest {
            owner: self.context.tables.local_owner(),
            request_id: completion.request,
            fingerprint: completion.fingerprint,
            account: completion.account.clone(),
            weight: completion.weight,
            model: model.to_owned(),
            prompt_tokens: completion.prompt_bytes / BYTES_PER_TOKEN + 1,
            output_tokens: completion.output_tokens,
            prefixes: completion.prefixes.clone(),
            time_left: millis(left),
            sharing: match self.poison_status() {
                PoisonStatus::Clear => Sharing::Shared,
                PoisonStatus::Suspect | PoisonStatus::Quarantined | PoisonStatus::Probation => {
                    Sharing::Exclusive
                }
            },
            excluded: excluded.to_vec(),
        }
    }

    fn poison_status(&self) -> PoisonStatus {
        let tables = &self.context.tables;
        let poison = tables.poison.lock();
        poison.status(self.completion.fingerprint, tables.now())
    }

    /// Checks the prompt's poison status again before it is sent, since it may have been
    /// quarantined while its grant request was queued.
    fn check_poison(&mut self, endpoint: EndpointId) -> FlowEvent {
        if self.poison_status() == PoisonStatus::Quarantined {
            self.release_all();
            let wait = self.context.tables.settings.limits.quarantine_ms;
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
            self.context.tables.metrics.first_attempt();
            self.count_first_attempt(endpoint);
        }
        self.attempt = Some(attempt);
        if self.import_memory(attempt).await == ImportOutcome::Failed {
            return Some(FlowEvent::EndpointRefused);
        }
        let address = self.context.tables.engines.get(endpoint)?.address;
        let request = self.stream_request(attempt, offset);
        match self.context.engines.open(address, &request).await {
            Ok(frames) => {
                self.stream = Some(OpenStream {
                    frames,
                    silence_timeout: self.first_silence_timeout(),
                });
                None
            }
            Err(OpenError::NotSent) => Some(FlowEvent::ConnectFailed),
            Err(OpenError::Refused) => Some(FlowEvent::EndpointRefused),
            Err(OpenError::Closed) => Some(FlowEvent::StreamClosed),
            Err(OpenError::Silent) => Some(FlowEvent::StreamSilent),
        }
    }

    fn first_silence_timeout(&self) -> Millis {
        let expected = self
            .held
            .as_ref()
            .map_or(0, |held| held.grant.expected_first_token);
        self.context.tables.settings.limits.silence_ms + expected * FIRST_TOKEN_SLACK
    }

    fn stream_request(&self, attempt: AttemptId, offset: u64) -> StreamRequest {
        let completion = &self.completion;
        let rule = &completion.rules[self.rule];
        let grant = self.held.as_ref().map(|held| &held.grant);
        let primary_tokens = grant.map_or(0, |grant| grant.parts[0].tokens);
        let priority = grant.map_or(0, |grant| grant.priority.level());
        StreamRequest {
            path: completion.kind.path(),
            attempt,
            owner: self.context.tables.local_owner(),
            offset,
            priority: u32::try_from(priority).unwrap_or(0),
            model: rule.target().to_owned(),
            adapter: rule.adapter.clone(),
            version: rule.version.clone(),
            memory_tokens: primary_tokens,
            body: completion.body.clone(),
        }
    }

    async fn probe(&mut self, endpoint: &EndpointId) -> FlowEvent {
        self.cancel_stream();
        let Some(engine) = self.context.tables.engines.get(endpoint) else {
            return FlowEvent::ProbeFailed;
        };
        match self.context.engines.report(engine.address).await {
            Ok(report) => FlowEvent::Probed(report.uptime),
            Err(_) => FlowEvent::ProbeFailed,
        }
    }

    async fn read_frame(&mut self) -> Result<EngineFrame, FlowEvent> {
        let deadline = self.completion.deadline;
        let Some(stream) = &mut self.stream else {
            return Err(FlowEvent::StreamClosed);
        };
        let silence_deadline = Instant::now() + Duration::from_millis(stream.silence_timeout);
        let read_deadline = silence_deadline.min(deadline);
        match timeout_at(read_deadline, stream.frames.next()).await {
            Ok(Some(Ok(frame))) => Ok(frame),
            Ok(Some(Err(_)) | None) => Err(FlowEvent::StreamClosed),
            Err(_) if Instant::now() >= deadline => Err(FlowEvent::DeadlineReached),
            Err(_) => Err(FlowEvent::StreamSilent),
        }
    }

    /// Passes a frame to the flow; returns its text if the frame continues what the caller has.
    fn on_frame(&mut self, frame: EngineFrame) -> Option<AnswerPart> {
        let is_first = self.flow.offset() == 0;
        let kind = frame.header.kind;
        match self.decide(FlowEvent::Frame(frame.header)) {
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
            stream.silence_timeout = self.context.tables.settings.limits.silence_ms;
        }
        if is_first {
            let elapsed = self.completion.arrived.elapsed();
            self.context
                .tables
                .metrics
                .first_token(elapsed.as_secs_f64());
        }
    }

    fn decide(&mut self, event: FlowEvent) -> FlowStep {
        let mut limiter = BudgetRetryLimiter {
            tables: &self.context.tables,
            account: &self.completion.account,
        };
        let now = self.context.tables.now();
        self.flow.on_event(event, now, &mut limiter)
    }

    fn count_first_attempt(&self, endpoint: &EndpointId) {
        let mut budgets = self.context.tables.budgets.lock();
        let account = &self.completion.account;
        budgets.accounts.budget(account).first_attempt();
        budgets.endpoints.budget(endpoint).first_attempt();
    }

    fn finish(&mut self, outcome: RequestOutcome) -> AnswerPart {
        let tables = self.context.tables.clone();
        match &outcome {
            RequestOutcome::Whole => {
                tables.metrics.completed();
                let now = tables.now();
                let mut poison = tables.poison.lock();
                poison.finished(self.completion.fingerprint, now);
                drop(poison);
                self.forget_ended_stream();
            }
            RequestOutcome::NotRun(refusal) => tables.metrics.refused(refusal.reason),
            RequestOutcome::Unfinished(reason) => tables.metrics.unfinished(*reason),
        }
        self.release_all();
        match outcome {
            RequestOutcome::Whole => AnswerPart::End,
            other => AnswerPart::Failed(other),
        }
    }

    /// A stream that has sent its end mark need not be cancelled, unless the attempt holds memory
    /// on other engines.
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
            self.context.tables.metrics.unfinished(reason);
        }
        self.release_all();
        self.context.tables.metrics.in_flight.dec();
    }
}

/// Whether a lower-ranked rule may be tried after a grant was refused for this reason.
fn may_try_next_rule(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::EndpointLimits
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
