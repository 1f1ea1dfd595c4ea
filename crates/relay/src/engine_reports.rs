//! Reports of engines on their load, requested before a run without a first event is abandoned.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use policy::dispatch::placement::EndpointTarget;
use policy::first_event_wait::{EngineReport, REPORT_TIME};
use policy::ids::EndpointId;
use tokio::time::Instant;

use crate::connections::GateRule;

/// Time for which the runs of this instance on one engine share an answer, whose values are some hundred
/// milliseconds old in any case.
const SHARE_TIME: Duration = Duration::from_millis(300);

/// Requests reports of engines.
pub trait ReportClient {
    /// What `engine` says of its load, on a connection that has carried nothing before; `None` if it
    /// gives no report.
    fn report(
        &self,
        engine: &EndpointTarget,
        gate: GateRule,
    ) -> LocalBoxFuture<'static, Option<EngineReport>>;
}

/// A report, and when it was requested.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeardReport {
    pub(crate) report: EngineReport,
    pub(crate) requested_at: Instant,
}

struct RequestedReport {
    requested_at: Instant,
    answer: Shared<LocalBoxFuture<'static, Option<EngineReport>>>,
}

/// Reports that were requested lately.
///
/// Invariant: at most one report of an engine is requested in each [`SHARE_TIME`].
pub(crate) struct EngineReports {
    client: Rc<dyn ReportClient>,
    requested: RefCell<BTreeMap<EndpointId, RequestedReport>>,
}

impl EngineReports {
    /// Creates an empty table; `client` requests the reports.
    pub(crate) fn new(client: Rc<dyn ReportClient>) -> Self {
        Self {
            client,
            requested: RefCell::default(),
        }
    }

    /// A report of `engine` that was requested within [`SHARE_TIME`], or a new one; `None` if the
    /// engine does not answer within [`REPORT_TIME`].
    pub(crate) async fn report(
        &self,
        engine: &EndpointTarget,
        gate: GateRule,
    ) -> Option<HeardReport> {
        self.expire();
        let (answer, requested_at) = {
            let mut requested = self.requested.borrow_mut();
            let entry = requested.entry(engine.endpoint.clone());
            let entry = entry.or_insert_with(|| {
                let request = self.client.report(engine, gate);
                let limit = Duration::from_millis(REPORT_TIME);
                let answer = tokio::time::timeout(limit, request);
                RequestedReport {
                    requested_at: Instant::now(),
                    answer: answer
                        .map(|answer| answer.unwrap_or(None))
                        .boxed_local()
                        .shared(),
                }
            });
            (entry.answer.clone(), entry.requested_at)
        };
        let report = answer.await?;
        Some(HeardReport {
            report,
            requested_at,
        })
    }

    /// Drops reports that are no longer shared, with their connections if they are unanswered.
    pub(crate) fn expire(&self) {
        let is_shared = |report: &RequestedReport| report.requested_at.elapsed() < SHARE_TIME;
        self.requested
            .borrow_mut()
            .retain(|_, report| is_shared(report));
    }
}
