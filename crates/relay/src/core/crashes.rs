//! What this instance knows of crashes of endpoints, and which runs it refuses for them.

use policy::dispatch::placement::RunOutcome;
use policy::ids::{EndpointId, Millis};
use policy::outcome::{Refusal, RefusalReason, RetryReason};
use policy::part_blame::{BlameChange, RunProgress};
use policy::poison::Fingerprint;
use policy::prompt_part::parts_text;

use super::RelayCore;
use crate::crash_registry::{CrashNotice, CrashRegistry, QuarantineCause};
use crate::request::RelayRequest;

/// Silence of an endpoint after which a run that its caller abandons counts as silent, in
/// milliseconds.
const ABANDONED_SILENCE: Millis = 1_000;

/// How a run that was sent ended without a whole answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunFailure {
    pub(crate) outcome: RunOutcome,
    pub(crate) reason: RetryReason,
    /// What the run had written.
    pub(crate) progress: RunProgress,
}

impl RelayCore {
    /// Refuses a request that has crashed too many endpoints, or with a part that has.
    pub(crate) fn check_quarantine(&self, request: &RelayRequest) -> Result<(), Refusal> {
        let now = self.now();
        let crashes = self.dependencies.crashes.borrow();
        let parts = &request.head.shared_parts;
        match crashes.quarantine_cause(request.fingerprints(), parts, now) {
            Some(cause) => Err(Self::quarantine_refusal(&crashes, request, cause, now)),
            None => Ok(()),
        }
    }

    /// Refuses a run that is about to be sent if its request, or a part of its prompt, has crashed
    /// too many endpoints. A run on probation counts as sent.
    pub(crate) fn admit_run(&self, request: &RelayRequest) -> Result<(), Refusal> {
        let now = self.now();
        let parts = &request.head.shared_parts;
        let may_try = |hash| self.placement().may_try(Fingerprint(hash));
        let mut crashes = self.dependencies.crashes.borrow_mut();
        match crashes.admit(request.fingerprints(), parts, may_try, now) {
            Some(cause) => Err(Self::quarantine_refusal(&crashes, request, cause, now)),
            None => Ok(()),
        }
    }

    /// Name of this incarnation of the instance, unique in the fleet.
    #[must_use]
    pub fn incarnation_name(&self) -> &str {
        &self.dependencies.incarnation_name
    }

    /// Waits until there are crash notices to share.
    pub async fn crash_notices_added(&self) {
        self.notices_added.notified().await;
    }

    /// Takes up to `count` crash notices that other instances have yet to learn, the oldest first.
    #[must_use]
    pub fn take_crash_notices(&self, count: usize) -> Vec<CrashNotice> {
        let now = self.now();
        let mut crashes = self.dependencies.crashes.borrow_mut();
        crashes.take_unshared(count, now)
    }

    /// Applies crash notices of the instance `writer`.
    pub fn apply_crash_notices(&self, notices: &[CrashNotice], writer: &str) {
        let now = self.now();
        let mut crashes = self.dependencies.crashes.borrow_mut();
        for notice in notices {
            let is_new = crashes.apply(notice, now);
            let (fingerprint, endpoint) = match notice {
                CrashNotice::Crashed(crash) => {
                    (crash.report.fingerprint, crash.report.endpoint.as_str())
                }
                CrashNotice::Served(served) => (served.fingerprint, ""),
                CrashNotice::Written(_) | CrashNotice::Blamed(_) => continue,
            };
            // Each instance learns of each crash. A single one decides nothing, and its own instance
            // logs it.
            if !is_new || crashes.crashes(fingerprint, now).0 <= 1 {
                continue;
            }
            spdlog::info!("crash notice applied", kv: {
                fingerprint = fingerprint.to_string().as_str(),
                endpoint = endpoint,
                writer = writer,
                crashes = crashes.crashes(fingerprint, now).0,
            });
        }
        self.settle_blame(&mut crashes);
    }

    /// Attributes the loss of endpoints to the runs that fell silent on them.
    pub(super) fn attribute_losses(&self, now: Millis) {
        let endpoint_view = self.gate().view().borrow();
        self.attribute_loss(|endpoint| endpoint_view.is_lost(endpoint), now);
    }

    /// Records that the incarnation `endpoint` of an endpoint is found to be gone: nobody reaches it,
    /// or another incarnation answers at its address. Runs that fell silent on it are attributed to
    /// the loss before its entry expires, unless it was known to be leaving or is evacuated.
    pub(crate) fn endpoint_gone(&self, endpoint: &EndpointId) {
        if !self.is_departed(endpoint) && !self.is_evacuated(endpoint) {
            self.attribute_loss(|lost| lost == endpoint, self.now());
        }
    }

    pub(super) fn attribute_loss(&self, is_lost: impl Fn(&EndpointId) -> bool, now: Millis) {
        let mut crashes = self.dependencies.crashes.borrow_mut();
        let attributed = crashes.endpoints_lost(is_lost, now);
        for crash in &attributed {
            let fingerprint = crash.report.fingerprint;
            spdlog::info!("endpoint lost under a run", kv: {
                fingerprint = fingerprint.to_string().as_str(),
                endpoint = crash.report.endpoint.as_str(),
                crashes = crashes.crashes(fingerprint, now).0,
            });
        }
        self.settle_blame(&mut crashes);
    }

    /// Records a run that was sent and ended without a whole answer. The logged fingerprint connects
    /// the runs of one request across attempts and instances. A run that had written is no evidence
    /// against its request: what it crashes, it crashes at the beginning. Nor is one on an evacuated
    /// endpoint, whose machine may be stopped on purpose.
    pub(crate) fn run_failed(
        &self,
        request: &RelayRequest,
        endpoint: &EndpointId,
        failure: RunFailure,
    ) {
        let RunFailure {
            outcome,
            reason,
            progress,
        } = failure;
        let fingerprints = request.fingerprints();
        let fingerprint = fingerprints.exact;
        let now = self.now();
        let mut crashes = self.dependencies.crashes.borrow_mut();
        let is_lost = self.gate().view().borrow().is_lost(endpoint);
        let parts = &request.head.shared_parts;
        let has_written = progress.has_written(now);
        let is_evacuated = self.is_evacuated(endpoint);
        match outcome {
            _ if has_written || is_evacuated => {}
            RunOutcome::Broken if reason == RetryReason::StreamClosed => {
                crashes.run_broke(fingerprints, endpoint, parts, now);
            }
            RunOutcome::Silent if is_lost => crashes.run_broke(fingerprints, endpoint, parts, now),
            RunOutcome::Silent => crashes.run_fell_silent(fingerprints, endpoint, parts, now),
            _ => {}
        }
        self.settle_blame(&mut crashes);
        spdlog::info!("run failed", kv: {
            request = request.head.request_id.as_str(),
            fingerprint = fingerprint.to_string().as_str(),
            family = fingerprints.family.to_string().as_str(),
            endpoint = endpoint.as_str(),
            outcome:? = outcome,
            reason = reason.code(),
            events = request.trace.events.get(),
            had_written = has_written,
            is_evacuated = is_evacuated,
            parts = parts_text(&request.head.shared_parts).as_str(),
            crashes = crashes.crashes(fingerprint, now).0,
            steward_losses = self.placement().steward_losses(),
        });
    }

    /// Records that a caller disconnected during a run whose endpoint was last heard of at
    /// `heard_at`. A caller that gives up on a silent run has waited at least
    /// [`ABANDONED_SILENCE`].
    pub(crate) fn run_abandoned(
        &self,
        request: &RelayRequest,
        endpoint: &EndpointId,
        heard_at: Millis,
        progress: RunProgress,
    ) {
        if self.now().saturating_sub(heard_at) >= ABANDONED_SILENCE {
            let failure = RunFailure {
                outcome: RunOutcome::Silent,
                reason: RetryReason::StreamSilent,
                progress,
            };
            self.run_failed(request, endpoint, failure);
        }
    }

    /// Records that a run has written for some time on the request's prompt.
    pub(crate) fn run_written(&self, request: &RelayRequest) {
        let mut crashes = self.dependencies.crashes.borrow_mut();
        crashes.run_written(&request.head.shared_parts, self.now());
        self.settle_blame(&mut crashes);
    }

    /// Records that an endpoint has answered a request completely.
    pub(crate) fn run_served(&self, request: &RelayRequest) {
        let fingerprints = request.fingerprints();
        let parts = &request.head.shared_parts;
        let mut crashes = self.dependencies.crashes.borrow_mut();
        let now = self.now();
        let is_excuse = crashes.run_served(fingerprints, parts, now);
        self.settle_blame(&mut crashes);
        if is_excuse {
            spdlog::info!("crash excused by a whole answer", kv: {
                request = request.head.request_id.as_str(),
                fingerprint = fingerprints.exact.to_string().as_str(),
                crashes = crashes.crashes(fingerprints.exact, now).0,
                is_quarantined = crashes.quarantine_cause(fingerprints, parts, now).is_some(),
            });
        }
    }

    pub(super) fn quarantine_refusal(
        crashes: &CrashRegistry,
        request: &RelayRequest,
        cause: QuarantineCause,
        now: Millis,
    ) -> Refusal {
        let (count, age) = crashes.crashes_behind(cause, request.fingerprints(), now);
        let part = match cause {
            QuarantineCause::Request | QuarantineCause::Family => String::new(),
            QuarantineCause::Part(part) => part.to_string(),
        };
        spdlog::info!("run refused by quarantine", kv: {
            request = request.head.request_id.as_str(),
            fingerprint = request.fingerprints().exact.to_string().as_str(),
            family = request.fingerprints().family.to_string().as_str(),
            part = part.as_str(),
            is_family = cause == QuarantineCause::Family,
            crashes = count,
            age = age,
        });
        Refusal::new(RefusalReason::Quarantined, request.time_left(now))
    }

    /// Shares the statements on parts of prompts that no other instance has made meanwhile.
    pub(super) fn release_statements(&self) {
        let mut crashes = self.dependencies.crashes.borrow_mut();
        crashes.set_fleet_size(self.placement().fleet_size());
        crashes.release_statements(self.now());
        self.settle_blame(&mut crashes);
    }

    /// Logs the parts of prompts that were blamed or cleared since the last call, and wakes the task
    /// that shares crash notices if there are any.
    fn settle_blame(&self, crashes: &mut CrashRegistry) {
        for change in crashes.take_blame_changes(self.now()) {
            match change {
                BlameChange::Blamed(part, count) => {
                    spdlog::warn!("prompt part quarantined", kv: {
                        part = part.to_string().as_str(),
                        crashes = count,
                    });
                }
                BlameChange::Cleared(part) => {
                    spdlog::info!("prompt part cleared", kv: { part = part.to_string().as_str() });
                }
            }
        }
        if crashes.has_unshared() {
            self.notices_added.notify_one();
        }
    }
}
