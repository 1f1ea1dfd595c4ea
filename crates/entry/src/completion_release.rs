//! Release of what a running completion holds: streams and memory on engines, and its grant.

use std::net::SocketAddr;

use engine::MemoryImport;
use futures::future::join_all;
use policy::flow::EndpointEvidence;
use policy::ids::{AttemptId, EndpointId};
use policy::poison::CrashReport;

use crate::completion::CompletionDriver;

impl CompletionDriver {
    /// Reserves memory on the secondary engines of a grant whose prompt does not fit on one engine.
    pub(crate) async fn import_memory(&self, attempt: AttemptId) -> ImportOutcome {
        let Some(held) = &self.held else {
            return ImportOutcome::Done;
        };
        for part in held.grant.parts.iter().skip(1) {
            let Some(engine) = self.context.tables.engines.get(&part.endpoint) else {
                return ImportOutcome::Failed;
            };
            let import = MemoryImport {
                attempt,
                owner: held.grant.owner.clone(),
                tokens: part.tokens,
            };
            let imported = self.context.engines.import_memory(engine.address, &import);
            if imported.await.is_err() {
                return ImportOutcome::Failed;
            }
        }
        ImportOutcome::Done
    }

    /// Reports a failed endpoint to the pool's steward; a crash is also reported to the other
    /// instances.
    pub(crate) fn report_evidence(&self, evidence: EndpointEvidence) {
        let Some(held) = &self.held else {
            return;
        };
        let endpoint = held.grant.primary();
        match evidence {
            EndpointEvidence::None => {}
            EndpointEvidence::Unreachable => {
                self.context.grants.endpoint_failed(&held.pool, endpoint);
            }
            EndpointEvidence::Crashed => {
                self.context.grants.endpoint_failed(&held.pool, endpoint);
                self.report_crash(endpoint.clone());
            }
        }
    }

    fn report_crash(&self, endpoint: EndpointId) {
        let tables = &self.context.tables;
        tables.metrics.endpoint_crashes.inc();
        let report = CrashReport {
            fingerprint: self.completion.fingerprint,
            endpoint,
        };
        let now = tables.now();
        tables.poison.lock().record(&report, now);
        self.context
            .control
            .post(async move |control| control.broadcast_crash(report).await);
    }

    /// Cancels the running attempt. The control thread retries the release until the engines have
    /// answered.
    pub(crate) fn cancel_stream(&mut self) {
        self.stream = None;
        for (address, attempt, resource) in self.take_engine_resources() {
            self.context
                .control
                .post(async move |control| control.retry_release(address, attempt, resource).await);
        }
    }

    /// Takes the list of what the engines may still hold for the current attempt.
    fn take_engine_resources(&mut self) -> Vec<(SocketAddr, AttemptId, EngineResource)> {
        let (Some(attempt), Some(held)) = (self.attempt.take(), &self.held) else {
            return Vec::new();
        };
        let parts = held.grant.parts.iter().enumerate();
        parts
            .filter_map(|(index, part)| {
                let engine = self.context.tables.engines.get(&part.endpoint)?;
                let resource = if index == 0 {
                    EngineResource::Stream
                } else {
                    EngineResource::Memory
                };
                Some((engine.address, attempt, resource))
            })
            .collect()
    }

    /// Releases the current attempt and grant. The grant is released only after one attempt to
    /// release what the engines hold, so that the next holder finds the engines free.
    pub(crate) fn release_all(&mut self) {
        self.stream = None;
        let resources = self.take_engine_resources();
        let Some(held) = self.held.take() else {
            return;
        };
        if resources.is_empty() {
            self.context.grants.release(&held);
            return;
        }
        let grants = self.context.grants.clone();
        self.context.control.post(async move |control| {
            let first_releases = resources.iter().map(|(address, attempt, resource)| {
                control.try_release(*address, *attempt, *resource)
            });
            let outcomes = join_all(first_releases).await;
            grants.release(&held);
            for ((address, attempt, resource), outcome) in resources.into_iter().zip(outcomes) {
                if outcome == ReleaseOutcome::NoAnswer {
                    control.spawn(control.clone().retry_release(address, attempt, resource));
                }
            }
        });
    }
}

/// A resource that an engine holds for an attempt.
#[derives::tag]
pub(crate) enum EngineResource {
    /// The stream that runs the request, on the grant's primary endpoint.
    Stream,
    /// Memory reserved for the prompt, on the other endpoints.
    Memory,
}

/// Result of asking an engine to release a resource.
#[derives::tag]
pub(crate) enum ReleaseOutcome {
    /// The engine confirmed the release.
    Done,
    /// The engine did not answer; the resource may still be held.
    NoAnswer,
}

/// Result of reserving memory on the secondary engines.
#[derives::tag]
pub(crate) enum ImportOutcome {
    /// All engines reserved the memory, or none was needed.
    Done,
    /// An engine is unknown, refused or did not answer.
    Failed,
}
