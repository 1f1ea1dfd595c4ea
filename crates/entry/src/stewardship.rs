//! The steward's duties: lists engines, releases what nobody owns, keeps time for the queues.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::join_all;
use policy::ids::{AttemptId, EndpointId, Millis, PoolId};
use policy::pool::Reconciliation;
use policy::steward::steward_of;
use settings::PoolLoading;

use crate::completion_holds::{DisownVerdict, EngineHold};
use crate::control::Control;
use crate::grants::drain;
use crate::tables::StewardRole;

/// Between two looks at the queues, in milliseconds.
const DRAIN_PERIOD: Millis = 20;

/// Between two lists of an engine, in milliseconds.
const LISTING_PERIOD: Millis = 1_000;

/// The first and the longest pause between two tries to cancel a stream, in milliseconds.
const CANCEL_PAUSES: (Millis, Millis) = (200, 10_000);

/// How long a stream that its owner has given up is cancelled again, in milliseconds.
const CANCEL_TIME: Millis = 3_600_000;

impl Control {
    /// Finds out for which pools this instance is steward now.
    ///
    /// A pool that it has just taken over starts from nothing and grants on an engine only once
    /// that engine has been listed.
    pub(crate) fn update_stewardship(self: &Rc<Self>) {
        let mut taken: Vec<PoolId> = Vec::new();
        for (pool, desk) in &self.tables.pools {
            let role = self.role(pool);
            let mut desk = desk.lock();
            if role == StewardRole::Steward && desk.role == StewardRole::Other {
                self.tables.restart_pool(pool, &mut desk);
                taken.push(pool.clone());
            }
            desk.role = role;
        }
        if taken.is_empty() {
            return;
        }
        self.close_leaving_endpoints();
        for pool in taken {
            spdlog::info!("steward of pool {pool}");
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

    /// Decides on waiting asks as time passes.
    pub(crate) async fn run_queues(self: Rc<Self>) {
        let mut ticks = self.tables.timer.every(DRAIN_PERIOD);
        loop {
            ticks.tick().await;
            for (pool, desk) in &self.tables.pools {
                let is_idle = desk.lock().table.is_idle();
                if !is_idle {
                    drain(&self.tables, pool);
                }
            }
        }
    }

    /// Lists the engines of the pools that this instance keeps.
    pub(crate) async fn run_listings(self: Rc<Self>) {
        let mut ticks = self.tables.timer.every(LISTING_PERIOD);
        loop {
            ticks.tick().await;
            let kept: Vec<PoolId> = self
                .tables
                .pools
                .iter()
                .filter(|(_, desk)| self.tables.keeps(&desk.lock()) == StewardRole::Steward)
                .map(|(pool, _)| pool.clone())
                .collect();
            let listings = kept.iter().map(|pool| self.list_pool(pool));
            join_all(listings).await;
        }
    }

    async fn list_pool(self: &Rc<Self>, pool: &PoolId) {
        let settings = &self.tables.settings;
        let Some(found) = settings.pools.iter().find(|one| one.name == pool.as_str()) else {
            return;
        };
        let listings = found.engines.iter().map(|engine| async {
            let endpoint = EndpointId::new(&engine.name);
            if found.loading == PoolLoading::Managed {
                self.read_model(pool, &endpoint, engine.address).await;
            }
            self.list_engine(pool, endpoint, engine.address).await;
        });
        join_all(listings).await;
        drain(&self.tables, pool);
    }

    /// Learns which model an engine has loaded; without an answer nothing new goes there, since
    /// its list will have none either.
    async fn read_model(&self, pool: &PoolId, endpoint: &EndpointId, address: SocketAddr) {
        let Some(desk) = self.tables.pools.get(pool) else {
            return;
        };
        if let Ok(report) = self.ports.engines.report(address).await {
            desk.lock().table.endpoint_model(endpoint, &report.model);
        }
    }

    async fn list_engine(
        self: &Rc<Self>,
        pool: &PoolId,
        endpoint: EndpointId,
        address: SocketAddr,
    ) {
        let Some(desk) = self.tables.pools.get(pool) else {
            return;
        };
        let Ok(listing) = self.ports.engines.listing(address).await else {
            desk.lock().table.endpoint_unreachable(&endpoint);
            return;
        };
        let verdicts = self.tables.owner_verdicts();
        let now = self.tables.now();
        let result = desk
            .lock()
            .table
            .reconcile(&endpoint, &listing, verdicts, now);
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

    /// Has an engine let go of what an attempt holds, once.
    pub(crate) async fn try_disown(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        hold: EngineHold,
    ) -> DisownVerdict {
        let engines = &self.ports.engines;
        let answer = match hold {
            EngineHold::Stream => engines.cancel(address, attempt).await,
            EngineHold::Memory => engines.release_memory(address, attempt).await,
        };
        match answer {
            Ok(()) => DisownVerdict::Done,
            Err(_) => DisownVerdict::NoAnswer,
        }
    }

    /// Has an engine let go of what an attempt holds, again and again until it has answered.
    pub(crate) async fn disown(
        self: Rc<Self>,
        address: SocketAddr,
        attempt: AttemptId,
        hold: EngineHold,
    ) {
        let end = self.tables.now() + CANCEL_TIME;
        let (mut pause, longest) = CANCEL_PAUSES;
        while self.tables.now() < end {
            if self.try_disown(address, attempt, hold).await == DisownVerdict::Done {
                return;
            }
            self.tables.timer.after(pause).wait().await;
            pause = (pause * 2).min(longest);
        }
    }
}
