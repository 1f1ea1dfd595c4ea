//! Admission of callers' requests on a worker thread.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use caller::{
    AnswerPart, AnswerStream, ApiKeyDigest, CallAnswer, CallRequest, CallerGateway,
    CompletionRequest, Readiness,
};
use futures::future::LocalBoxFuture;
use futures::stream::once;
use futures::{FutureExt, StreamExt};
use policy::ids::{AccountId, Millis, RequestId};
use policy::outcome::{Refusal, RefusalReason, RequestOutcome};
use policy::poison::{Fingerprint, PoisonStatus};
use policy::template::{AccountTemplate, ConfigStore, ModelRule};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::completion::{AdmittedCompletion, CompletionContext, serve_completion};
use crate::control::ControlHandle;
use crate::grants::GrantClient;
use crate::ports::WorkerPorts;
use crate::service_calls::{AdmittedCall, CallDriver};
use crate::tables::EntryTables;

/// Retry-after of refusals because the instance is not ready, in milliseconds.
const NOT_READY_RETRY_AFTER: Millis = 1_000;

/// Serves callers on one worker thread.
pub(crate) struct WorkerGateway {
    tables: Arc<EntryTables>,
    completions: CompletionContext,
    calls: CallDriver,
}

impl WorkerGateway {
    pub(crate) fn new(
        tables: Arc<EntryTables>,
        control: ControlHandle,
        ports: WorkerPorts,
    ) -> Self {
        let grants = GrantClient::new(tables.clone(), control.clone());
        Self {
            completions: CompletionContext {
                tables: tables.clone(),
                control: control.clone(),
                grants,
                engines: ports.engines,
            },
            calls: CallDriver {
                tables: tables.clone(),
                control,
                services: ports.services,
                rotation: Rc::new(AtomicUsize::new(0)),
            },
            tables,
        }
    }

    /// Looks up the account and template of an API key.
    fn account(&self, key: &ApiKeyDigest) -> Result<(AccountId, AccountTemplate), RefusalReason> {
        if !self.tables.may_admit() {
            return Err(RefusalReason::NotReady);
        }
        let config = self.tables.config.read();
        let account = config
            .account_by_key(key.as_str())
            .ok_or(RefusalReason::UnknownAccount)?;
        let template = config
            .template(&account.template)
            .ok_or(RefusalReason::UnknownAccount)?;
        Ok((account.name.clone(), template.clone()))
    }

    fn deadline(&self, arrived: Instant, timeout: Option<u64>) -> Instant {
        let limits = &self.tables.settings.limits;
        let requested_time = timeout.unwrap_or(limits.default_timeout_ms);
        arrived + Duration::from_millis(requested_time.min(limits.largest_timeout_ms))
    }

    fn admit_completion(
        &self,
        request: CompletionRequest,
    ) -> Result<AdmittedCompletion, RefusalReason> {
        let (account, template) = self.account(&request.key)?;
        let rules: Vec<ModelRule> = ConfigStore::ranked_rules(&template, &request.model)
            .into_iter()
            .cloned()
            .collect();
        if rules.is_empty() {
            return Err(RefusalReason::UnknownModel);
        }
        let fingerprint = fingerprint(&account, &request.body);
        let now = self.tables.now();
        let status = self.tables.poison.lock().status(fingerprint, now);
        if status == PoisonStatus::Quarantined {
            return Err(RefusalReason::Quarantined);
        }
        Ok(AdmittedCompletion {
            request: RequestId(self.tables.clock_and_ids.unique_id()),
            fingerprint,
            account,
            weight: template.weight,
            kind: request.kind,
            rules,
            prompt_bytes: request.prompt_bytes,
            prefixes: request.prefixes,
            output_tokens: request.max_tokens.unwrap_or(template.output_tokens),
            arrived: request.arrived,
            deadline: self.deadline(request.arrived, request.timeout),
            body: request.body,
        })
    }

    fn admit_call(&self, request: CallRequest) -> Result<AdmittedCall, RefusalReason> {
        let (account, template) = self.account(&request.key)?;
        let rule = template
            .services
            .iter()
            .find(|rule| rule.service == request.service)
            .ok_or(RefusalReason::UnknownService)?;
        let services = &self.tables.settings.services;
        if !services
            .iter()
            .any(|service| service.name == request.service)
        {
            return Err(RefusalReason::UnknownService);
        }
        Ok(AdmittedCall {
            account,
            repeatability: rule.calls,
            deadline: self.deadline(request.arrived, request.timeout),
            request,
        })
    }
}

impl CallerGateway for WorkerGateway {
    fn complete(&self, request: CompletionRequest) -> AnswerStream {
        match self.admit_completion(request) {
            Ok(completion) => serve_completion(self.completions.clone(), completion),
            Err(reason) => {
                let outcome = RequestOutcome::NotRun(self.refuse(reason));
                once(async { AnswerPart::Failed(outcome) }).boxed_local()
            }
        }
    }

    fn call(&self, request: CallRequest) -> LocalBoxFuture<'static, CallAnswer> {
        match self.admit_call(request) {
            Ok(admitted) => self.calls.clone().serve(admitted).boxed_local(),
            Err(reason) => {
                let outcome = RequestOutcome::NotRun(self.refuse(reason));
                async { CallAnswer::Failed(outcome) }.boxed_local()
            }
        }
    }

    fn refuse(&self, reason: RefusalReason) -> Refusal {
        self.tables.metrics.refused(reason);
        let retry_after = match reason {
            RefusalReason::NotReady => NOT_READY_RETRY_AFTER,
            RefusalReason::Quarantined => self.tables.settings.limits.quarantine_ms,
            _ => 0,
        };
        Refusal::new(reason, retry_after)
    }

    fn readiness(&self) -> Readiness {
        if self.tables.is_ready() {
            return Readiness::Ready;
        }
        Readiness::NotReady
    }

    fn metrics(&self) -> String {
        self.tables.metrics.render()
    }
}

fn fingerprint(account: &AccountId, body: &[u8]) -> Fingerprint {
    let seed = xxh3_64_with_seed(account.as_str().as_bytes(), 0);
    Fingerprint(xxh3_64_with_seed(body, seed))
}
