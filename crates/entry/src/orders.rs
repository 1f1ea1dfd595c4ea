//! Orders to engines, while this instance holds its failure domain's lease for them.

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
use weights::LoadVerdict;

use crate::control::Control;
use crate::order_lease::OrderLease;

/// Between two looks at what the engines have loaded, in milliseconds.
const ORDER_PERIOD: Millis = 1_000;

/// Orders given at one look to the engines of a pool.
const ORDERS_AT_ONCE: usize = 2;

/// The name under which the candidate for the lease is chosen among the members.
const HOLDER_PLACE: &str = "orders";

/// Whether more orders may be given at this look.
#[derives::tag]
enum NextOrder {
    Due,
    Later,
}

impl Control {
    /// Holds the lease while this instance is the one to hold it, and gives the orders that are
    /// due. One candidate a failure domain asks the platform; a lost one is replaced with the
    /// members.
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
            let had = lease.is_some();
            lease = self.hold_lease(lease, &limits).await;
            self.note_holding(had, lease.is_some());
            if let Some(lease) = &lease {
                for pool in pools.iter().filter(|pool| is_managed(pool)) {
                    self.order_pool(pool, &lease.held, &limits).await;
                }
            }
        }
    }

    async fn hold_lease(
        &self,
        lease: Option<OrderLease>,
        limits: &OrderLimits,
    ) -> Option<OrderLease> {
        if self.is_order_candidate() {
            return self.keep_order_lease(lease, limits).await;
        }
        if let Some(lease) = lease {
            self.return_order_lease(&lease).await;
        }
        None
    }

    /// A leaving instance stays the candidate for as long as it lives: the others name it too.
    fn is_order_candidate(&self) -> bool {
        let members = self.tables.members.lock();
        let place = PoolId::new(HOLDER_PLACE);
        steward_of(&place, members.alive()) == Some(&members.local().instance)
    }

    fn note_holding(&self, had: bool, has: bool) {
        if had == has {
            return;
        }
        self.tables.metrics.order_holder.set(i64::from(has));
        let verb = if has { "holds" } else { "lost" };
        spdlog::info!("this instance {verb} the lease for orders");
    }

    /// Brings a pool's engines closer to what its models are asked for.
    ///
    /// Invariant: an engine is ordered to change only once its steward has said that it grants
    /// nothing on it, so that no running stream is cut.
    async fn order_pool(&self, pool: &PoolSettings, lease: &HeldLease, limits: &OrderLimits) {
        let engines = self.engine_states(pool).await;
        let Some(demand) = self.ask_demand(pool, &[]).await else {
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
        let Some(demand) = self.ask_demand(pool, &changing).await else {
            return;
        };
        let due = due_orders(&engines, &desired, &demand.idle, ORDERS_AT_ONCE);
        for order in due {
            if self.give_order(pool, &order, lease, limits).await == NextOrder::Later {
                return;
            }
        }
    }

    /// What the engines that answer and do not leave have loaded and run.
    async fn engine_states(&self, pool: &PoolSettings) -> BTreeMap<EndpointId, EngineState> {
        let stays = |engine: &&EngineSettings| {
            let endpoint = EndpointId::new(&engine.name);
            self.tables.endpoint_verdict(&endpoint) == LeavingStatus::Open
        };
        let reports = pool.engines.iter().filter(stays).map(|engine| async {
            let report = self.ports.engines.report(engine.address).await.ok()?;
            // Memory that is held for another engine's stream keeps this one busy too.
            let holds = usize::from(report.used_tokens > 0);
            let state = EngineState {
                model: report.model,
                running: report.running.max(holds),
            };
            Some((EndpointId::new(&engine.name), state))
        });
        join_all(reports).await.into_iter().flatten().collect()
    }

    /// Asks the pool's steward, and tells it which engines are to change.
    async fn ask_demand(&self, pool: &PoolSettings, changing: &[EndpointId]) -> Option<PoolDemand> {
        let pool = PoolId::new(&pool.name);
        let (steward, address) = self.tables.steward(&pool)?;
        if steward == self.tables.me().instance {
            return Some(self.tables.pool_demand(&pool, changing));
        }
        self.tables.metrics.peer_messages.inc();
        let answer = self.ports.peers.demand(&address, &pool, changing).await;
        answer.ok()
    }

    async fn give_order(
        &self,
        pool: &PoolSettings,
        order: &EngineOrder,
        lease: &HeldLease,
        limits: &OrderLimits,
    ) -> NextOrder {
        let named = |engine: &&EngineSettings| engine.name == order.endpoint.as_str();
        let Some(engine) = pool.engines.iter().find(named) else {
            return NextOrder::Due;
        };
        if self.reserve_load(&order.model).await == NextOrder::Later {
            return NextOrder::Later;
        }
        // Looked at last: the wait for the weight store may have used the lease up.
        let check = fencing_check(engine.fencing);
        if may_send_order(lease, check, limits, self.tables.now()) != OrderDecision::Allowed {
            return NextOrder::Later;
        }
        let order = ModelOrder {
            fencing: lease.fencing,
            model: order.model.clone(),
        };
        let answer = self.send_order(engine.address, &order, limits).await;
        self.tables.metrics.ordered(answer);
        NextOrder::Due
    }

    async fn send_order(
        &self,
        address: SocketAddr,
        order: &ModelOrder,
        limits: &OrderLimits,
    ) -> &'static str {
        let time = Duration::from_millis(limits.longest_order);
        let answer = self.ports.engines.order_model(address, order);
        match timeout(time, answer).await {
            Ok(Ok(OrderAnswer::Taken)) => "taken",
            Ok(Ok(OrderAnswer::Fenced)) => "fenced",
            Ok(Ok(OrderAnswer::Busy)) => "busy",
            // The next look reads what the engine has loaded.
            Ok(Err(_)) | Err(_) => "lost",
        }
    }

    /// Asks the weight store for leave to load a model; unloading needs none.
    async fn reserve_load(&self, model: &str) -> NextOrder {
        if model.is_empty() {
            return NextOrder::Due;
        }
        match self.ports.weights.reserve(model).await {
            Ok(LoadVerdict::Allowed) => NextOrder::Due,
            Ok(LoadVerdict::Later(_)) | Err(_) => NextOrder::Later,
        }
    }
}

fn fencing_check(fencing: EngineFencing) -> FencingCheck {
    match fencing {
        EngineFencing::Checked => FencingCheck::Checked,
        EngineFencing::Ignored => FencingCheck::Ignored,
    }
}
