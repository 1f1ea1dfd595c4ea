//! The tables that all threads of an entry instance share.
//!
//! Lock order: `members`, `leaving`, `listed`, `config`, a pool's desk, `poison`, `budgets`. A
//! thread that holds one of them may take only those after it, and no lock is held while waiting.

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

use crate::ports::SharedIdentity;

/// A control thread that has not moved for this long, in milliseconds, may have been paused with
/// the whole process: nothing is admitted until it has confirmed the configuration.
pub(crate) const PAUSE_LIMIT: Millis = 1_000;

/// How long after its start an instance takes an owner that it never heard of for cut off rather
/// than gone, in milliseconds.
const UNKNOWN_OWNER_GRACE: Millis = 10_000;

/// Where an instance stands between its start and its end.
#[derives::tag]
pub(crate) enum LifePhase {
    /// It has no confirmed configuration yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It is not ready, but still serves late arrivals.
    LameDuck,
    /// It finishes what runs and refuses the rest.
    Draining,
}

/// One pool as this instance sees it: its table, used while it is steward, and those who wait.
pub(crate) struct PoolDesk {
    pub(crate) table: PoolTable,
    pub(crate) tickets: HashMap<TicketId, oneshot::Sender<GrantDecision>>,
    /// Until when this instance stands in for a steward that it cannot reach.
    pub(crate) acting_until: Millis,
    /// Whether this instance was steward when it last looked.
    pub(crate) role: StewardRole,
}

/// Whether an instance keeps a pool's grants.
#[derives::tag]
pub(crate) enum StewardRole {
    /// It does.
    Steward,
    /// Another does.
    Other,
}

/// Retry budgets by account and by endpoint.
pub(crate) struct RetryBudgets {
    pub(crate) accounts: BudgetTable<AccountId>,
    pub(crate) endpoints: BudgetTable<EndpointId>,
}

/// What an endpoint's settings say that the adapters need.
pub(crate) struct EngineEntry {
    pub(crate) address: SocketAddr,
}

/// The shared state of one entry instance.
pub(crate) struct EntryTables {
    pub(crate) settings: EntrySettings,
    pub(crate) timer: TimerService,
    pub(crate) identity: SharedIdentity,
    pub(crate) metrics: EntryMetrics,
    /// The first incarnation of this process; it takes higher ones when it re-joins.
    pub(crate) born: Incarnation,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) leaving: Mutex<LeavingTable>,
    /// Incarnations of endpoints, from the platform's list.
    pub(crate) listed: Mutex<HashMap<EndpointId, Incarnation>>,
    pub(crate) config: RwLock<ConfigStore>,
    pub(crate) pools: BTreeMap<PoolId, Mutex<PoolDesk>>,
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
        identity: SharedIdentity,
    ) -> Self {
        let incarnation = Incarnation(identity.unix_millis());
        let me = OwnerId::new(InstanceId::new(&settings.instance), incarnation);
        let address = settings.listen.peers.to_string();
        let members = MemberTable::new(me, &address, MemberLimits::default(), incarnation.0);
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
            let desk = PoolDesk {
                table: new_pool_table(&settings, pool, incarnation.0),
                tickets: HashMap::new(),
                acting_until: 0,
                role: StewardRole::Other,
            };
            (PoolId::new(&pool.name), Mutex::new(desk))
        });
        Self {
            born: incarnation,
            members: Mutex::new(members),
            leaving: Mutex::new(LeavingTable::new()),
            listed: Mutex::new(HashMap::new()),
            config: RwLock::new(ConfigStore::new()),
            pools: pools.collect(),
            poison: Mutex::new(PoisonTable::new(settings.limits.quarantine_ms)),
            budgets: Mutex::new(RetryBudgets {
                accounts: BudgetTable::new(budget_limits.clone()),
                endpoints: BudgetTable::new(budget_limits),
            }),
            engines: engines.collect(),
            metrics: EntryMetrics::new(),
            phase: AtomicU8::new(LifePhase::Starting as u8),
            confirmed: AtomicBool::new(false),
            last_tick: AtomicU64::new(0),
            settings,
            timer,
            identity,
        }
    }

    /// Milliseconds of the monotonic clock.
    pub(crate) fn now(&self) -> Millis {
        self.timer.now()
    }

    pub(crate) fn domain(&self) -> DomainId {
        DomainId::new(&self.settings.failure_domain)
    }

    /// The present life of this instance.
    pub(crate) fn me(&self) -> OwnerId {
        self.members.lock().local().clone()
    }

    pub(crate) fn phase(&self) -> LifePhase {
        match self.phase.load(Ordering::Acquire) {
            0 => LifePhase::Starting,
            1 => LifePhase::Serving,
            2 => LifePhase::LameDuck,
            _ => LifePhase::Draining,
        }
    }

    /// Moves on to a later phase; a phase is never taken back.
    pub(crate) fn enter_phase(&self, phase: LifePhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Records that the control thread moves.
    pub(crate) fn tick(&self) {
        self.last_tick.store(self.now(), Ordering::Release);
    }

    /// Milliseconds since the control thread last moved.
    pub(crate) fn pause_so_far(&self) -> Millis {
        let last = self.last_tick.load(Ordering::Acquire);
        self.now().saturating_sub(last)
    }

    /// Whether the control thread has moved recently.
    fn is_awake(&self) -> bool {
        self.pause_so_far() < PAUSE_LIMIT
    }

    pub(crate) fn set_confirmed(&self, confirmed: bool) {
        self.confirmed.store(confirmed, Ordering::Release);
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Acquire)
    }

    /// Whether the balancer should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == LifePhase::Serving && self.may_admit()
    }

    /// Whether a request that arrived may be admitted.
    ///
    /// Invariant: not after a pause until the configuration has been confirmed again.
    pub(crate) fn may_admit(&self) -> bool {
        let is_open = matches!(self.phase(), LifePhase::Serving | LifePhase::LameDuck);
        is_open && self.is_confirmed() && self.is_awake()
    }

    /// The steward of a pool and its peer address.
    pub(crate) fn steward(&self, pool: &PoolId) -> Option<(InstanceId, String)> {
        let members = self.members.lock();
        let steward = steward_of(pool, members.alive())?;
        let address = members.member(steward)?.address.clone();
        Some((steward.clone(), address))
    }

    /// Whether this instance keeps the grants of a desk's pool, as steward or in its place.
    pub(crate) fn keeps(&self, desk: &PoolDesk) -> StewardRole {
        if desk.acting_until > self.now() {
            return StewardRole::Steward;
        }
        desk.role
    }

    /// Peer addresses of the other members that are alive or suspected.
    pub(crate) fn other_addresses(&self) -> Vec<(InstanceId, String)> {
        let members = self.members.lock();
        let me = members.local().instance.clone();
        members
            .present()
            .filter(|update| update.owner.instance != me)
            .map(|update| (update.owner.instance.clone(), update.address.clone()))
            .collect()
    }

    /// Judges the owners of streams and memory, by what is known of the members now.
    pub(crate) fn owner_verdicts(&self) -> impl Fn(&OwnerId) -> OwnerStatus + use<> {
        let now = self.now();
        let members = self.members.lock().snapshot();
        let known: HashMap<InstanceId, (Incarnation, MemberStatus)> = members
            .into_iter()
            .map(|update| {
                let life = (update.owner.incarnation, update.status);
                (update.owner.instance, life)
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

    /// Whether an endpoint may be given new work.
    pub(crate) fn endpoint_verdict(&self, endpoint: &EndpointId) -> LeavingStatus {
        let leaving = self.leaving.lock();
        let listed = self.listed.lock();
        let incarnation = listed.get(endpoint).copied().unwrap_or_default();
        leaving.status(&LeavingSubject::Endpoint(endpoint.clone()), incarnation)
    }

    /// The pool whose engines serve `model`.
    pub(crate) fn pool_of_model(&self, model: &str) -> Option<PoolId> {
        let serves = |pool: &&PoolSettings| pool.models.iter().any(|served| served == model);
        let pool = self.settings.pools.iter().find(serves)?;
        Some(PoolId::new(&pool.name))
    }

    /// What a pool's models are asked for, as its steward; endpoints that are to change their
    /// model are given nothing new.
    pub(crate) fn pool_demand(&self, pool: &PoolId, changing: &[EndpointId]) -> PoolDemand {
        let now = self.now();
        let Some(desk) = self.pools.get(pool) else {
            return PoolDemand::none();
        };
        let mut desk = desk.lock();
        if self.keeps(&desk) != StewardRole::Steward {
            return PoolDemand::none();
        }
        desk.table.change_models(changing, now);
        desk.table.demand(now)
    }

    /// Forgets a pool's grants, to be rebuilt from the engines' own lists.
    pub(crate) fn restart_pool(&self, pool: &PoolId, desk: &mut PoolDesk) {
        let settings = &self.settings;
        let Some(found) = settings.pools.iter().find(|one| one.name == pool.as_str()) else {
            return;
        };
        desk.table = new_pool_table(settings, found, self.identity.unix_millis());
        desk.tickets.clear();
    }
}

/// A pool's table before any of its engines has been listed.
fn new_pool_table(settings: &EntrySettings, pool: &PoolSettings, born: u64) -> PoolTable {
    let limits = PoolLimits {
        long_tokens: settings.limits.long_tokens,
        ..PoolLimits::new(pool_objective(settings.objective))
    };
    // Ids of an earlier table must not be mistaken for this one's.
    let first_id = born << ID_BITS;
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

/// Ids that a table can give out each millisecond of its life before the next table's begin.
const ID_BITS: u32 = 20;
