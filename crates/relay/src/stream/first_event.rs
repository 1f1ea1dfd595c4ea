//! Waits for the first event of a run, for longer while the host says that it is busy.

use std::pin::{Pin, pin};
use std::time::Duration;

use futures::future::{Either, select};
use policy::dispatch::placement::PlacementGrant;
use policy::first_event_wait::{FirstEventWait, WaitDecision};
use tokio::time::Instant;

use super::host_watch::{HostSilence, HostWatch};
use crate::core::RelayCore;
use crate::engine_reports::HeardReport;
use crate::request::RelayRequest;

/// Why the wait for a first event ended without anything from the host.
#[derives::tag]
pub(super) enum MissingEvent {
    /// The host or its connection may be lost.
    Silent(HostSilence),
    /// The caller's time has passed while the host said that it is busy.
    HostBusy,
}

/// Whether the host of a run is asked for its report.
#[derives::tag]
pub(super) enum ReportUse {
    /// It is asked before the run is abandoned.
    Requested,
    /// It is not asked: the run replaces a silent one, which is not read while this one is awaited.
    Omitted,
}

/// A run that was sent and whose first event is awaited.
pub(super) struct FirstEvent<'a> {
    pub(super) core: &'a RelayCore,
    pub(super) request: &'a RelayRequest,
    pub(super) grant: &'a PlacementGrant,
    pub(super) wait: FirstEventWait,
    /// Time after which it is first checked that the host is reached.
    pub(super) first_check: Duration,
    pub(super) reports: ReportUse,
}

impl FirstEvent<'_> {
    /// Waits for `answer`, which is what the run sends first. The host is asked for its report before
    /// the wait ends.
    pub(super) async fn arrival<F: Future>(mut self, answer: F) -> Result<F::Output, MissingEvent> {
        let sent_at = Instant::now();
        let mut watch = HostWatch::new(self.core, &self.grant.host, self.first_check);
        let mut answer = pin!(answer);
        loop {
            let limit = sent_at + Duration::from_millis(self.wait.limit());
            let report_due = match self.reports {
                ReportUse::Requested => self.wait.report_due(),
                ReportUse::Omitted => None,
            };
            let Some(report_due) = report_due else {
                let ended = watch.wait(limit, answer).await;
                return ended.map_err(MissingEvent::Silent);
            };
            let report_at = sent_at + Duration::from_millis(report_due);
            match watch.wait(report_at, answer.as_mut()).await {
                Err(HostSilence::TimedOut) => {}
                ended => return ended.map_err(MissingEvent::Silent),
            }
            let decision = match self.ask_host(answer.as_mut()).await {
                Either::Left(answered) => return Ok(answered),
                Either::Right(report) => {
                    let decision = self.wait.decide(report.as_ref().map(|heard| &heard.report));
                    self.record(decision, report, sent_at);
                    decision
                }
            };
            match decision {
                WaitDecision::Continue => {}
                WaitDecision::ContinueToEnd => {
                    let ended = watch.wait(limit, answer).await;
                    return ended.map_err(|silence| match silence {
                        HostSilence::TimedOut => MissingEvent::HostBusy,
                        HostSilence::HostLost => MissingEvent::Silent(silence),
                    });
                }
                WaitDecision::Unanswered | WaitDecision::Idle | WaitDecision::Unexplained => {
                    let ended = watch.wait(limit, answer).await;
                    return ended.map_err(MissingEvent::Silent);
                }
            }
        }
    }

    /// The run's answer, if it arrives before the host's report.
    async fn ask_host<F: Future>(
        &self,
        answer: Pin<&mut F>,
    ) -> Either<F::Output, Option<HeardReport>> {
        let report = pin!(self.core.engine_report(&self.grant.host));
        match select(answer, report).await {
            Either::Left((answered, _)) => Either::Left(answered),
            Either::Right((report, _)) => Either::Right(report),
        }
    }

    fn record(&self, decision: WaitDecision, heard: Option<HeardReport>, sent_at: Instant) {
        self.core.count_engine_report(decision);
        let report = heard.map(|heard| heard.report).unwrap_or_default();
        let number =
            |count: Option<u64>| count.map_or(-1, |count| i64::try_from(count).unwrap_or(i64::MAX));
        spdlog::info!("first event overdue", kv: {
            request = self.request.head.request_id.as_str(),
            endpoint = self.grant.host.endpoint.as_str(),
            decision = decision.code(),
            waited = sent_at.elapsed().as_millis(),
            expected = self.grant.expected_first,
            limit = self.wait.limit(),
            queued = number(report.queued),
            running = number(report.running),
            kv_used = report.kv_used.unwrap_or(-1.0),
            pace = report.pace.unwrap_or(-1.0),
            report_age = heard.map_or(0, |heard| heard.requested_at.elapsed().as_millis()),
        });
    }
}
