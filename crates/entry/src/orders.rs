//! Orders to engines to load and unload models, sent by the instance that holds its failure
//! domain's order lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use engine::{ModelOrder, OrderAnswer};
use futures::future::join_all;
use policy::demand::{DemandSpan, PoolDemand};
use policy::ids::{EndpointId, Millis, PoolId};
use policy::leaving::LeavingStatus;
use policy::order::{
    EngineOrder, EngineState, FencingCheck, HeldLease, OrderDecision, OrderLimits, SurplusRule,
    desired_models, due_orders, may_send_order,
};
use policy::steward::steward_of;
use settings::{EngineFencing, EngineSettings, PoolLoading, PoolSettings};
use tokio::time::timeout;
use weights::LoadDecision;

use crate::control::Control;
use crate::order_lease::OrderLease;

/// Interval between reconciliations of the engines' models, in milliseconds.
const ORDER_PERIOD: Millis = 1_000;

/// Maximum number of orders to a pool's engines in one reconciliation.
const MAX_ORDERS_PER_POOL: usize = 2;

/// Rendezvous hashing key by which the candidate for the lease is chosen among the members.
const HOLDER_ROLE: &str = "orders";

/// Whether more orders may be sent in this reconciliation.
#[derives::tag]
enum OrderProgress {
    Continue,
    Stop,
}

impl Control {
    /// Holds the order lease while this instance is the candidate for it, and sends the orders that
    /// are due. Each failure domain has one candidate, chosen among its live members, so only that
    /// instance requests the lease from the platform.
    pub(crate) async fn run_orders(self: Rc<Self>) {
        let pools = &self.tables.settings.pools;
        let is_managed = |pool: &PoolSettings| pool.loading == PoolLoading::Managed;
        if !pools.iter().any(is_managed) {
            return;
        }
        let limits = OrderLimits::default();
        let mut lease: Option<OrderLease> = None;
        let mut ticks = self.tables.timer.every(ORDER_PERIOD);
        loop {
            ticks.tick().await;
            let held_before = lease.is_some();
            lease = self.update_lease(lease, &limits).await;
            self.log_lease_change(held_before, lease.is_some());
            if let Some(lease) = &lease {
                for pool in pools.iter().filter(|pool| is_managed(pool)) {
                    self.reconcile_pool(pool, &lease.held, &limits).await;
                }
            }
        }
    }

    async fn update_lease(
        &self,
        lease: Option<OrderLease>,
        limits: &OrderLimits,
    ) -> Option<OrderLease> {
        if self.is_order_candidate() {
            return self.ensure_order_lease(lease, limits).await;
        }
        if let Some(lease) = lease {
            self.release_order_lease(&lease).await;
        }
        None
    }

    /// A leaving instance stays the candidate while it is alive, because the other members also
    /// choose among all live members.
    fn is_order_candidate(&self) -> bool {
        let members = self.tables.members.lock();
        let role = PoolId::new(HOLDER_ROLE);
        steward_of(&role, members.alive()) == Some(&members.local().instance)
    }

    fn log_lease_change(&self, held_before: bool, holds_now: bool) {
        if held_before == holds_now {
            return;
        }
        self.tables.metrics.order_holder.set(i64::from(holds_now));
        let verb = if holds_now { "holds" } else { "lost" };
        spdlog::info!("this instance {verb} the order lease");
    }

    /// Orders some of a pool's engines to load or unload models, to match the demand.
    ///
    /// Invariant: an engine is ordered to change its model only after the pool's steward has
    /// reported that no grant is held on the engine, so that no running stream is cut.
    async fn reconcile_pool(&self, pool: &PoolSettings, lease: &HeldLease, limits: &OrderLimits) {
        let engines = self.engine_states(pool).await;
        let Some(demand) = self.fetch_demand(pool, &[]).await else {
            return;
        };
        let surplus = match demand.span {
            DemandSpan::Whole => SurplusRule::Unload,
            DemandSpan::Partial => SurplusRule::Keep,
        };
        let demands = demand.endpoints(&pool.models);
        let desired = desired_models(&engines, &demands, surplus);
        let changing: Vec<EndpointId> = desired
            .iter()
            .filter(|(endpoint, model)| engines[*endpoint].model != **model)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        if changing.is_empty() {
            return;
        }
        let Some(demand) = self.fetch_demand(pool, &changing).await else {
            return;
        };
        let due = due_orders(&engines, &desired, &demand.idle, MAX_ORDERS_PER_POOL);
        for order in due {
            if self.issue_order(pool, &order, lease, limits).await == OrderProgress::Stop {
                return;
            }
        }
    }

    /// Returns the loaded model and running streams of each engine that answers and is not leaving.
    async fn engine_states(&self, pool: &PoolSettings) -> BTreeMap<EndpointId, EngineState> {
        let is_open = |engine: &&EngineSettings| {
            let endpoint = EndpointId::new(&engine.name);
            self.tables.endpoint_leaving_status(&endpoint) == LeavingStatus::Open
        };
        let reports = pool.engines.iter().filter(is_open).map(|engine| async {
            let report = self.ports.engines.report(engine.address).await.ok()?;
            // Memory reserved for a stream on another engine also keeps this engine busy.
            let holds = usize::from(report.used_tokens > 0);
            let state = EngineState {
                model: report.model,
                running: report.running.max(holds),
            };
            Some((EndpointId::new(&engine.name), state))
        });
        join_all(reports).await.into_iter().flatten().collect()
    }

    /// Fetches the demand from the pool's steward and tells the steward which engines are about to
    /// change their model.
    async fn fetch_demand(
        &self,
        pool: &PoolSettings,
        changing: &[EndpointId],
    ) -> Option<PoolDemand> {
        let pool = PoolId::new(&pool.name);
        let (steward, address) = self.tables.steward(&pool)?;
        if steward == self.tables.local_owner().instance {
            return Some(self.tables.pool_demand(&pool, changing));
        }
        self.tables.metrics.peer_messages.inc();
        let answer = self.ports.peers.demand(&address, &pool, changing).await;
        answer.ok()
    }

    async fn issue_order(
        &self,
        pool: &PoolSettings,
        order: &EngineOrder,
        lease: &HeldLease,
        limits: &OrderLimits,
    ) -> OrderProgress {
        let is_ordered = |engine: &&EngineSettings| engine.name == order.endpoint.as_str();
        let Some(engine) = pool.engines.iter().find(is_ordered) else {
            return OrderProgress::Continue;
        };
        if self.reserve_load(&order.model).await == OrderProgress::Stop {
            return OrderProgress::Stop;
        }
        // Checked last, because the lease may have expired while waiting for the weight store.
        let check = fencing_check(engine.fencing);
        if may_send_order(lease, check, limits, self.tables.now()) != OrderDecision::Allowed {
            return OrderProgress::Stop;
        }
        let order = ModelOrder {
            fencing: lease.fencing,
            model: order.model.clone(),
        };
        let answer = self.send_order(engine.address, &order, limits).await;
        self.tables.metrics.order_answered(answer);
        OrderProgress::Continue
    }

    async fn send_order(
        &self,
        address: SocketAddr,
        order: &ModelOrder,
        limits: &OrderLimits,
    ) -> &'static str {
        let order_timeout = Duration::from_millis(limits.longest_order);
        let answer = self.ports.engines.order_model(address, order);
        match timeout(order_timeout, answer).await {
            Ok(Ok(OrderAnswer::Taken)) => "taken",
            Ok(Ok(OrderAnswer::Fenced)) => "fenced",
            Ok(Ok(OrderAnswer::Busy)) => "busy",
            // The next reconciliation reads which model the engine has loaded.
            Ok(Err(_)) | Err(_) => "lost",
        }
    }

    /// Reserves a model load with the weight store; unloading needs no reservation.
    async fn reserve_load(&self, model: &str) -> OrderProgress {
        if model.is_empty() {
            return OrderProgress::Continue;
        }
        match self.ports.weights.reserve(model).await {
            Ok(LoadDecision::Allowed) => OrderProgress::Continue,
            Ok(LoadDecision::RetryAfter(_)) | Err(_) => OrderProgress::Stop,
        }
    }
}

fn fencing_check(fencing: EngineFencing) -> FencingCheck {
    match fencing {
        EngineFencing::Checked => FencingCheck::Checked,
        EngineFencing::Ignored => FencingCheck::Ignored,
    }
}
