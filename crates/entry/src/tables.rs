//! The tables that all threads of an entry instance share.
//!
//! Lock order: `members`, `leaving`, `listed_incarnations`, `config`, a pool's [`PoolState`],
//! `poison`, `budgets`. A thread that holds one of these locks may acquire only later ones, and no
//! lock is held across an await point.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};

use metrics::EntryMetrics;
use parking_lot::{Mutex, RwLock};
use policy::demand::PoolDemand;
use policy::ids::{
    AccountId, DomainId, EndpointId, Incarnation, InstanceId, Millis, OwnerId, PoolId,
};
use policy::leaving::{LeavingStatus, LeavingSubject, LeavingTable};
use policy::member::{MemberLimits, MemberStatus, MemberTable};
use policy::poison::PoisonTable;
use policy::pool::{
    EndpointSpec, GrantDecision, OwnerStatus, PoolLimits, PoolObjective, PoolTable, TicketId,
};
use policy::retry::{BudgetLimits, BudgetTable};
use policy::steward::steward_of;
use policy::template::ConfigStore;
use settings::{EntrySettings, Objective, PoolLoading, PoolSettings};
use timer::TimerService;
use tokio::sync::oneshot;

use crate::ports::SharedClockAndIds;

/// Longest gap between ticks of the control thread, in milliseconds. After a longer gap the whole
/// process may have been paused, so requests are not admitted until the configuration has been
/// confirmed again.
pub(crate) const PAUSE_LIMIT: Millis = 1_000;

/// Time after the start of an instance during which an unknown owner is treated as live, since
/// the membership may still be incomplete, in milliseconds.
const UNKNOWN_OWNER_GRACE: Millis = 10_000;

/// Lifecycle phase of an instance; phases are only entered in this order.
#[derives::tag]
pub(crate) enum LifecyclePhase {
    /// The configuration has not been confirmed yet.
    Starting,
    /// The instance is ready and admits requests.
    Serving,
    /// The instance reports not ready, but still admits requests that arrive.
    LameDuck,
    /// The instance finishes requests in flight and refuses new ones.
    Draining,
}

/// State of one pool on this instance: the grant table, used while the instance is the pool's
/// steward, and the senders through which queued requests receive their decisions.
pub(crate) struct PoolState {
    pub(crate) table: PoolTable,
    pub(crate) tickets: HashMap<TicketId, oneshot::Sender<GrantDecision>>,
    /// End of the period in which this instance acts in place of a steward that it cannot reach.
    pub(crate) acting_steward_until: Millis,
    /// Role of this instance at the last membership change.
    pub(crate) role: StewardRole,
}

/// Role of this instance for a pool.
#[derives::tag]
pub(crate) enum StewardRole {
    /// This instance decides on the pool's grants.
    Steward,
    /// Another instance is the pool's steward.
    Other,
}

/// Retry budgets per account and per endpoint.
pub(crate) struct RetryBudgets {
    pub(crate) accounts: BudgetTable<AccountId>,
    pub(crate) endpoints: BudgetTable<EndpointId>,
}

/// Settings of an engine that are looked up by endpoint.
pub(crate) struct EngineEntry {
    pub(crate) address: SocketAddr,
}

/// State that all threads of one entry instance share.
pub(crate) struct EntryTables {
    pub(crate) settings: EntrySettings,
    pub(crate) timer: TimerService,
    pub(crate) clock_and_ids: SharedClockAndIds,
    pub(crate) metrics: EntryMetrics,
    /// Incarnation at the start of this process; rejoining the membership takes a higher one.
    pub(crate) first_incarnation: Incarnation,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) leaving: Mutex<LeavingTable>,
    /// Highest incarnation of each endpoint seen in the platform's list.
    pub(crate) listed_incarnations: Mutex<HashMap<EndpointId, Incarnation>>,
    pub(crate) config: RwLock<ConfigStore>,
    pub(crate) pools: BTreeMap<PoolId, Mutex<PoolState>>,
    pub(crate) poison: Mutex<PoisonTable>,
    pub(crate) budgets: Mutex<RetryBudgets>,
    pub(crate) engines: HashMap<EndpointId, EngineEntry>,
    phase: AtomicU8,
    confirmed: AtomicBool,
    last_tick: AtomicU64,
}

impl EntryTables {
    pub(crate) fn new(
        settings: EntrySettings,
        timer: TimerService,
        clock_and_ids: SharedClockAndIds,
    ) -> Self {
        let incarnation = Incarnation(clock_and_ids.unix_millis());
        let local = OwnerId::new(InstanceId::new(&settings.instance), incarnation);
        let address = settings.listen.peers.to_string();
        let members = MemberTable::new(local, &address, MemberLimits::default(), incarnation.0);
        let budget_limits = BudgetLimits {
            earned_per_first: settings.limits.retry_percent * 10,
            ..BudgetLimits::default()
        };
        let engines = settings.pools.iter().flat_map(|pool| &pool.engines);
        let engines = engines.map(|engine| {
            let entry = EngineEntry {
                address: engine.address,
            };
            (EndpointId::new(&engine.name), entry)
        });
        let pools = settings.pools.iter().map(|pool| {
            let pool_state = PoolState {
                table: new_pool_table(&settings, pool, incarnation.0),
                tickets: HashMap::new(),
                acting_steward_until: 0,
                role: StewardRole::Other,
            };
            (PoolId::new(&pool.name), Mutex::new(pool_state))
        });
        Self {
            first_incarnation: incarnation,
            members: Mutex::new(members),
            leaving: Mutex::new(LeavingTable::new()),
            listed_incarnations: Mutex::new(HashMap::new()),
            config: RwLock::new(ConfigStore::new()),
            pools: pools.collect(),
            poison: Mutex::new(PoisonTable::new(settings.limits.quarantine_ms)),
            budgets: Mutex::new(RetryBudgets {
                accounts: BudgetTable::new(budget_limits.clone()),
                endpoints: BudgetTable::new(budget_limits),
            }),
            engines: engines.collect(),
            metrics: EntryMetrics::new(),
            phase: AtomicU8::new(LifecyclePhase::Starting as u8),
            confirmed: AtomicBool::new(false),
            last_tick: AtomicU64::new(0),
            settings,
            timer,
            clock_and_ids,
        }
    }

    /// Returns the monotonic clock in milliseconds.
    pub(crate) fn now(&self) -> Millis {
        self.timer.now()
    }

    pub(crate) fn domain(&self) -> DomainId {
        DomainId::new(&self.settings.failure_domain)
    }

    /// Returns the id and current incarnation of this instance.
    pub(crate) fn local_owner(&self) -> OwnerId {
        self.members.lock().local().clone()
    }

    pub(crate) fn phase(&self) -> LifecyclePhase {
        match self.phase.load(Ordering::Acquire) {
            0 => LifecyclePhase::Starting,
            1 => LifecyclePhase::Serving,
            2 => LifecyclePhase::LameDuck,
            _ => LifecyclePhase::Draining,
        }
    }

    /// Enters a phase; has no effect if the current phase is the same or later.
    pub(crate) fn enter_phase(&self, phase: LifecyclePhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Records a tick of the control thread.
    pub(crate) fn tick(&self) {
        self.last_tick.store(self.now(), Ordering::Release);
    }

    /// Returns the milliseconds since the last tick of the control thread.
    pub(crate) fn since_last_tick(&self) -> Millis {
        let last = self.last_tick.load(Ordering::Acquire);
        self.now().saturating_sub(last)
    }

    /// Whether the control thread ticked within [`PAUSE_LIMIT`].
    fn is_control_responsive(&self) -> bool {
        self.since_last_tick() < PAUSE_LIMIT
    }

    pub(crate) fn set_confirmed(&self, confirmed: bool) {
        self.confirmed.store(confirmed, Ordering::Release);
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Acquire)
    }

    /// Whether load balancers should send requests to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == LifecyclePhase::Serving && self.may_admit()
    }

    /// Whether a request that arrived may be admitted.
    ///
    /// Invariant: after a pause of the process, no request is admitted until the configuration has
    /// been confirmed again.
    pub(crate) fn may_admit(&self) -> bool {
        let is_open = matches!(
            self.phase(),
            LifecyclePhase::Serving | LifecyclePhase::LameDuck
        );
        is_open && self.is_confirmed() && self.is_control_responsive()
    }

    /// Returns the steward of a pool and its peer address.
    pub(crate) fn steward(&self, pool: &PoolId) -> Option<(InstanceId, String)> {
        let members = self.members.lock();
        let steward = steward_of(pool, members.alive())?;
        let address = members.member(steward)?.address.clone();
        Some((steward.clone(), address))
    }

    /// Returns `Steward` if this instance decides on the pool's grants, as steward or as acting
    /// steward.
    pub(crate) fn pool_role(&self, pool_state: &PoolState) -> StewardRole {
        if pool_state.acting_steward_until > self.now() {
            return StewardRole::Steward;
        }
        pool_state.role
    }

    /// Returns the ids and peer addresses of the other members that are alive or suspected.
    pub(crate) fn other_addresses(&self) -> Vec<(InstanceId, String)> {
        let members = self.members.lock();
        let local_instance = members.local().instance.clone();
        members
            .present()
            .filter(|update| update.owner.instance != local_instance)
            .map(|update| (update.owner.instance.clone(), update.address.clone()))
            .collect()
    }

    /// Returns a function that classifies owners of streams and memory by a snapshot of the
    /// current membership.
    pub(crate) fn owner_statuses(&self) -> impl Fn(&OwnerId) -> OwnerStatus + use<> {
        let now = self.now();
        let members = self.members.lock().snapshot();
        let known: HashMap<InstanceId, (Incarnation, MemberStatus)> = members
            .into_iter()
            .map(|update| {
                let incarnation_and_status = (update.owner.incarnation, update.status);
                (update.owner.instance, incarnation_and_status)
            })
            .collect();
        move |owner| match known.get(&owner.instance) {
            Some((incarnation, _)) if *incarnation > owner.incarnation => OwnerStatus::Gone,
            Some((incarnation, _)) if *incarnation < owner.incarnation => OwnerStatus::Live,
            Some((_, MemberStatus::Alive | MemberStatus::Suspect)) => OwnerStatus::Live,
            Some((_, MemberStatus::Left)) => OwnerStatus::Gone,
            None if now < UNKNOWN_OWNER_GRACE => OwnerStatus::Live,
            Some((_, MemberStatus::Dead)) | None => OwnerStatus::Lost,
        }
    }

    /// Whether an endpoint may be given new work or has been announced as leaving.
    pub(crate) fn endpoint_leaving_status(&self, endpoint: &EndpointId) -> LeavingStatus {
        let leaving = self.leaving.lock();
        let listed = self.listed_incarnations.lock();
        let incarnation = listed.get(endpoint).copied().unwrap_or_default();
        leaving.status(&LeavingSubject::Endpoint(endpoint.clone()), incarnation)
    }

    /// Returns the pool whose engines serve `model`.
    pub(crate) fn pool_of_model(&self, model: &str) -> Option<PoolId> {
        let serves = |pool: &&PoolSettings| pool.models.iter().any(|served| served == model);
        let pool = self.settings.pools.iter().find(serves)?;
        Some(PoolId::new(&pool.name))
    }

    /// Returns the demand for a pool's models, empty if this instance is not the pool's steward.
    /// Endpoints in `changing` are about to change their model and get no new grants.
    pub(crate) fn pool_demand(&self, pool: &PoolId, changing: &[EndpointId]) -> PoolDemand {
        let now = self.now();
        let Some(pool_state) = self.pools.get(pool) else {
            return PoolDemand::none();
        };
        let mut pool_state = pool_state.lock();
        if self.pool_role(&pool_state) != StewardRole::Steward {
            return PoolDemand::none();
        }
        pool_state.table.change_models(changing, now);
        pool_state.table.demand(now)
    }

    /// Replaces a pool's grant table with an empty one, which the engines' listings then rebuild,
    /// and drops all queued requests.
    pub(crate) fn restart_pool(&self, pool: &PoolId, pool_state: &mut PoolState) {
        let settings = &self.settings;
        let Some(pool_settings) = settings
            .pools
            .iter()
            .find(|candidate| candidate.name == pool.as_str())
        else {
            return;
        };
        pool_state.table =
            new_pool_table(settings, pool_settings, self.clock_and_ids.unix_millis());
        pool_state.tickets.clear();
    }
}

/// Creates the grant table of a pool before any of its engines has been listed.
fn new_pool_table(settings: &EntrySettings, pool: &PoolSettings, created_ms: u64) -> PoolTable {
    let limits = PoolLimits {
        long_tokens: settings.limits.long_tokens,
        ..PoolLimits::new(pool_objective(settings.objective))
    };
    // Grant ids must differ from those of earlier tables.
    let first_id = created_ms << ID_BITS;
    let table = PoolTable::new(limits, first_id);
    let mut table = pool.engines.iter().fold(table, |table, engine| {
        table.with_unlisted(EndpointSpec {
            id: EndpointId::new(&engine.name),
            slots: engine.slots,
            memory_tokens: engine.memory_tokens,
            prefill_rate: engine.prefill_rate,
        })
    });
    if pool.loading == PoolLoading::Managed {
        for engine in &pool.engines {
            table.endpoint_model(&EndpointId::new(&engine.name), "");
        }
    }
    table
}

fn pool_objective(objective: Objective) -> PoolObjective {
    match objective {
        Objective::ShortSlowdown => PoolObjective::ShortSlowdown,
        Objective::FirstToken => PoolObjective::FirstToken,
    }
}

/// Number of low bits of a grant id that count ids. A table can issue `1 << ID_BITS` ids per
/// millisecond of its lifetime before its ids could overlap with those of a later table.
const ID_BITS: u32 = 20;
