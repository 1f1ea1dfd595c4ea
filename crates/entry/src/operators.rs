//! Handles operators' requests, on the thread of the operators' server.

use std::sync::Arc;

use futures::FutureExt;
use operator::{
    AnnounceReport, AnnounceRequest, ChangeReport, DocumentChange, DocumentView, EndpointStatus,
    HistoryRow, InstanceStatus, MemberStatusRow, OperatorError, OperatorFuture, OperatorGateway,
    PoolStatus,
};
use policy::ids::{EndpointId, PoolId};
use policy::leaving::LeavingStatus;
use policy::rollout::RolloutStatus;

use crate::control::ControlHandle;
use crate::tables::{EntryTables, PoolState, StewardRole};

/// Answers operators' requests from the shared tables, or runs them on the control thread.
pub(crate) struct OperatorHandler {
    tables: Arc<EntryTables>,
    control: ControlHandle,
}

impl OperatorHandler {
    pub(crate) fn new(tables: Arc<EntryTables>, control: ControlHandle) -> Self {
        Self { tables, control }
    }

    /// Returns the status of the pools of which this instance is steward.
    fn pools(&self) -> Vec<PoolStatus> {
        let mut pools = Vec::new();
        for (pool, pool_state) in &self.tables.pools {
            let pool_state = pool_state.lock();
            if self.tables.pool_role(&pool_state) == StewardRole::Steward {
                pools.push(pool_status(pool, &pool_state));
            }
        }
        // `endpoint_leaving_status` takes locks that precede the pool states in the lock order, so
        // it is called after they are released.
        for status in pools.iter_mut().flat_map(|pool| &mut pool.endpoints) {
            let endpoint = EndpointId::new(&status.endpoint);
            status.leaving =
                self.tables.endpoint_leaving_status(&endpoint) == LeavingStatus::Leaving;
        }
        pools
    }
}

impl OperatorGateway for OperatorHandler {
    fn change(&self, change: DocumentChange) -> OperatorFuture<'_, ChangeReport> {
        async move {
            self.control
                .run(async move |control| control.change(change).await)
                .await
                .unwrap_or(Err(OperatorError::Uncertain))
        }
        .boxed_local()
    }

    fn rollout(&self, version: u64) -> OperatorFuture<'_, RolloutStatus> {
        async move {
            self.control
                .run(async move |control| control.repeat_rollout(version).await)
                .await
                .unwrap_or(Err(OperatorError::Uncertain))
        }
        .boxed_local()
    }

    fn documents(&self, prefix: &str) -> Vec<DocumentView> {
        let config = self.tables.config.read();
        config
            .iter()
            .filter(|document| document.key.starts_with(prefix))
            .map(|document| DocumentView {
                key: document.key.clone(),
                version: document.version,
                body: document.body.clone(),
            })
            .collect()
    }

    fn history<'a>(&'a self, key: &'a str) -> OperatorFuture<'a, Vec<HistoryRow>> {
        async move {
            let key = key.to_owned();
            self.control
                .run(async move |control| control.history(&key).await)
                .await
                .unwrap_or(Err(OperatorError::PlatformDown))
        }
        .boxed_local()
    }

    fn announce(&self, request: AnnounceRequest) -> OperatorFuture<'_, AnnounceReport> {
        async move {
            self.control
                .run(async move |control| control.announce(request).await)
                .await
                .flatten()
                .ok_or(OperatorError::Unknown)
        }
        .boxed_local()
    }

    fn status(&self) -> InstanceStatus {
        let tables = &self.tables;
        let members = tables.members.lock().snapshot();
        let members = members.into_iter().map(|update| MemberStatusRow {
            instance: update.owner.instance.to_string(),
            incarnation: update.owner.incarnation.0,
            status: update.status,
        });
        let announcements = tables.leaving.lock().iter().cloned().collect();
        InstanceStatus {
            instance: tables.settings.instance.clone(),
            failure_domain: tables.settings.failure_domain.clone(),
            ready: tables.is_ready(),
            in_flight: tables.metrics.in_flight.get(),
            config_version: tables.config.read().version(),
            members: members.collect(),
            announcements,
            pools: self.pools(),
        }
    }
}

/// Returns a pool's status without the endpoints' leaving status, which the caller fills in.
fn pool_status(pool: &PoolId, pool_state: &PoolState) -> PoolStatus {
    let counts = pool_state.table.counts();
    let endpoints = pool_state
        .table
        .endpoints()
        .map(|(endpoint, state)| EndpointStatus {
            endpoint: endpoint.to_string(),
            leaving: false,
            running: state.running(),
            used_tokens: state.used_tokens(),
        });
    PoolStatus {
        pool: pool.to_string(),
        endpoints: endpoints.collect(),
        waiting: counts.short_waiting + counts.long_waiting,
        lane_size: counts.lane_size,
    }
}
