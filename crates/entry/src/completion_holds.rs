//! What a running completion holds at engines and its steward, and how it is given back.

use std::net::SocketAddr;

use engine::MemoryOrder;
use futures::future::join_all;
use policy::flow::EndpointEvidence;
use policy::ids::{AttemptId, EndpointId};
use policy::poison::CrashReport;

use crate::completion::CompletionDriver;

impl CompletionDriver {
    /// Imports memory on the engines that share a prompt which one alone cannot hold.
    pub(crate) async fn import_memory(&self, attempt: AttemptId) -> ImportVerdict {
        let Some(held) = &self.held else {
            return ImportVerdict::Done;
        };
        for part in held.grant.parts.iter().skip(1) {
            let Some(engine) = self.desk.tables.engines.get(&part.endpoint) else {
                return ImportVerdict::Failed;
            };
            let order = MemoryOrder {
                attempt,
                owner: held.grant.owner.clone(),
                tokens: part.tokens,
            };
            let imported = self.desk.engines.import_memory(engine.address, &order);
            if imported.await.is_err() {
                return ImportVerdict::Failed;
            }
        }
        ImportVerdict::Done
    }

    /// Tells the steward, and where the endpoint died also the other instances.
    pub(crate) fn judge_endpoint(&self, evidence: EndpointEvidence) {
        let Some(held) = &self.held else {
            return;
        };
        let endpoint = held.grant.primary();
        match evidence {
            EndpointEvidence::None => {}
            EndpointEvidence::Unreachable => {
                self.desk.grants.endpoint_failed(&held.pool, endpoint);
            }
            EndpointEvidence::Crashed => {
                self.desk.grants.endpoint_failed(&held.pool, endpoint);
                self.report_crash(endpoint.clone());
            }
        }
    }

    fn report_crash(&self, endpoint: EndpointId) {
        let tables = &self.desk.tables;
        tables.metrics.endpoint_crashes.inc();
        let report = CrashReport {
            fingerprint: self.completion.fingerprint,
            endpoint,
        };
        let now = tables.now();
        tables.poison.lock().record(&report, now);
        self.desk
            .control
            .post(async move |control| control.spread_crash(report).await);
    }

    /// Cancels the running stream; the engines are asked again until they have answered.
    pub(crate) fn cancel_stream(&mut self) {
        self.stream = None;
        for (address, attempt, hold) in self.take_holds() {
            self.desk
                .control
                .post(async move |control| control.disown(address, attempt, hold).await);
        }
    }

    /// What the engines may still hold for the present attempt.
    fn take_holds(&mut self) -> Vec<(SocketAddr, AttemptId, EngineHold)> {
        let (Some(attempt), Some(granted)) = (self.attempt.take(), &self.held) else {
            return Vec::new();
        };
        let parts = granted.grant.parts.iter().enumerate();
        parts
            .filter_map(|(index, part)| {
                let engine = self.desk.tables.engines.get(&part.endpoint)?;
                let hold = if index == 0 {
                    EngineHold::Stream
                } else {
                    EngineHold::Memory
                };
                Some((engine.address, attempt, hold))
            })
            .collect()
    }

    /// Returns everything that the present grant holds: first what the engines hold, then the
    /// grant, so that the next holder finds the engines free.
    pub(crate) fn give_back(&mut self) {
        self.stream = None;
        let holds = self.take_holds();
        let Some(held) = self.held.take() else {
            return;
        };
        if holds.is_empty() {
            self.desk.grants.release(&held);
            return;
        }
        let grants = self.desk.grants.clone();
        self.desk.control.post(async move |control| {
            let first_tries = holds
                .iter()
                .map(|(address, attempt, hold)| control.try_disown(*address, *attempt, *hold));
            let verdicts = join_all(first_tries).await;
            grants.release(&held);
            for ((address, attempt, hold), verdict) in holds.into_iter().zip(verdicts) {
                if verdict == DisownVerdict::NoAnswer {
                    control.spawn(control.clone().disown(address, attempt, hold));
                }
            }
        });
    }
}

/// What an engine holds for an attempt.
#[derives::tag]
pub(crate) enum EngineHold {
    /// A running stream.
    Stream,
    /// Imported memory.
    Memory,
}

/// Whether an engine has let go.
#[derives::tag]
pub(crate) enum DisownVerdict {
    /// It has.
    Done,
    /// It gave no answer.
    NoAnswer,
}

/// Whether all engines that share a prompt have made room for it.
#[derives::tag]
pub(crate) enum ImportVerdict {
    /// They have.
    Done,
    /// One has not.
    Failed,
}
