//! Duties of a pool's steward: lists engines, releases orphaned streams and memory, and decides
//! periodically on queued grant requests.
//!
//! The steward of a pool is the instance that keeps the pool's grant table and decides on all grant
//! requests for the pool. Each instance computes it by rendezvous hashing over the members of the
//! failure domain that it considers alive (see [`policy::steward`]); nothing is elected. The
//! candidate for the order lease, the readers of the configuration and the sweeper of claims are
//! chosen in the same way, under the name of their role instead of a pool.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::join_all;
use policy::ids::{AttemptId, EndpointId, Millis, PoolId};
use policy::pool::Reconciliation;
use policy::steward::steward_of;
use settings::PoolLoading;

use crate::completion_release::{EngineResource, ReleaseOutcome};
use crate::control::Control;
use crate::grants::decide_queued;
use crate::tables::StewardRole;

/// Interval between rounds of decisions on queued grant requests, in milliseconds.
const DECISION_PERIOD: Millis = 20;

/// Interval between listings of an engine, in milliseconds.
const LISTING_PERIOD: Millis = 1_000;

/// Initial and maximum delay of the exponential backoff with which the release of an engine's
/// resource is retried, in milliseconds.
const RELEASE_RETRY_DELAYS: (Millis, Millis) = (200, 10_000);

/// How long the release of an engine's resource is retried, in milliseconds.
const RELEASE_TIMEOUT: Millis = 3_600_000;

impl Control {
    /// Recomputes of which pools this instance is the steward.
    ///
    /// A pool that was just taken over starts with an empty grant table and grants on an engine
    /// only once that engine has been listed.
    pub(crate) fn update_stewardship(self: &Rc<Self>) {
        let mut taken_over: Vec<PoolId> = Vec::new();
        for (pool, pool_state) in &self.tables.pools {
            let role = self.role(pool);
            let mut pool_state = pool_state.lock();
            if role == StewardRole::Steward && pool_state.role == StewardRole::Other {
                self.tables.restart_pool(pool, &mut pool_state);
                taken_over.push(pool.clone());
            }
            pool_state.role = role;
        }
        if taken_over.is_empty() {
            return;
        }
        self.mark_leaving_endpoints();
        for pool in taken_over {
            spdlog::info!("became steward of pool {pool}");
            let control = self.clone();
            self.spawn(async move { control.list_pool(&pool).await });
        }
    }

    fn role(&self, pool: &PoolId) -> StewardRole {
        let members = self.tables.members.lock();
        if steward_of(pool, members.alive()) == Some(&members.local().instance) {
            return StewardRole::Steward;
        }
        StewardRole::Other
    }

    /// Decides on queued grant requests periodically, because decisions also depend on time.
    pub(crate) async fn run_queues(self: Rc<Self>) {
        let mut ticks = self.tables.timer.every(DECISION_PERIOD);
        loop {
            ticks.tick().await;
            for (pool, pool_state) in &self.tables.pools {
                let is_idle = pool_state.lock().table.is_idle();
                if !is_idle {
                    decide_queued(&self.tables, pool);
                }
            }
        }
    }

    /// Periodically lists the engines of the pools of which this instance is steward.
    pub(crate) async fn run_listings(self: Rc<Self>) {
        let mut ticks = self.tables.timer.every(LISTING_PERIOD);
        loop {
            ticks.tick().await;
            let own_pools: Vec<PoolId> = self
                .tables
                .pools
                .iter()
                .filter(|(_, state)| self.tables.pool_role(&state.lock()) == StewardRole::Steward)
                .map(|(pool, _)| pool.clone())
                .collect();
            let listings = own_pools.iter().map(|pool| self.list_pool(pool));
            join_all(listings).await;
        }
    }

    async fn list_pool(self: &Rc<Self>, pool: &PoolId) {
        let settings = &self.tables.settings;
        let Some(pool_settings) = settings
            .pools
            .iter()
            .find(|candidate| candidate.name == pool.as_str())
        else {
            return;
        };
        let listings = pool_settings.engines.iter().map(|engine| async {
            let endpoint = EndpointId::new(&engine.name);
            if pool_settings.loading == PoolLoading::Managed {
                self.read_model(pool, &endpoint, engine.address).await;
            }
            self.list_engine(pool, endpoint, engine.address).await;
        });
        join_all(listings).await;
        decide_queued(&self.tables, pool);
    }

    /// Reads which model an engine has loaded. An engine that does not answer gets no new grants,
    /// because its listing then fails as well.
    async fn read_model(&self, pool: &PoolId, endpoint: &EndpointId, address: SocketAddr) {
        let Some(pool_state) = self.tables.pools.get(pool) else {
            return;
        };
        if let Ok(report) = self.ports.engines.report(address).await {
            pool_state
                .lock()
                .table
                .endpoint_model(endpoint, &report.model);
        }
    }

    async fn list_engine(
        self: &Rc<Self>,
        pool: &PoolId,
        endpoint: EndpointId,
        address: SocketAddr,
    ) {
        let Some(pool_state) = self.tables.pools.get(pool) else {
            return;
        };
        let Ok(listing) = self.ports.engines.listing(address).await else {
            pool_state.lock().table.endpoint_unreachable(&endpoint);
            return;
        };
        let statuses = self.tables.owner_statuses();
        let now = self.tables.now();
        let result = pool_state
            .lock()
            .table
            .reconcile(&endpoint, &listing, statuses, now);
        self.release_orphans(address, &result).await;
    }

    async fn release_orphans(&self, address: SocketAddr, result: &Reconciliation) {
        for attempt in &result.cancel {
            if self.ports.engines.cancel(address, *attempt).await.is_ok() {
                self.tables.metrics.orphan_streams.inc();
            }
        }
        for attempt in &result.release {
            if self
                .ports
                .engines
                .release_memory(address, *attempt)
                .await
                .is_ok()
            {
                self.tables.metrics.orphan_memory.inc();
            }
        }
    }

    /// Asks an engine once to release what an attempt holds.
    pub(crate) async fn try_release(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        resource: EngineResource,
    ) -> ReleaseOutcome {
        let engines = &self.ports.engines;
        let answer = match resource {
            EngineResource::Stream => engines.cancel(address, attempt).await,
            EngineResource::Memory => engines.release_memory(address, attempt).await,
        };
        match answer {
            Ok(()) => ReleaseOutcome::Done,
            Err(_) => ReleaseOutcome::NoAnswer,
        }
    }

    /// Asks an engine to release what an attempt holds, with exponential backoff until it has
    /// answered or [`RELEASE_TIMEOUT`] has passed.
    pub(crate) async fn retry_release(
        self: Rc<Self>,
        address: SocketAddr,
        attempt: AttemptId,
        resource: EngineResource,
    ) {
        let end = self.tables.now() + RELEASE_TIMEOUT;
        let (mut delay, longest_delay) = RELEASE_RETRY_DELAYS;
        while self.tables.now() < end {
            if self.try_release(address, attempt, resource).await == ReleaseOutcome::Done {
                return;
            }
            self.tables.timer.after(delay).wait().await;
            delay = (delay * 2).min(longest_delay);
        }
    }
}
