//! Grants as a worker thread asks for and returns them.

use std::sync::Arc;

use policy::ids::{EndpointId, Millis, PoolId};
use policy::outcome::{Refusal, RefusalReason};
use policy::pool::{Grant, GrantDecision, GrantId, GrantRequest, TicketId};
use tokio::sync::oneshot;

use crate::control::ControlHandle;
use crate::tables::{EntryTables, StewardRole};

/// How long an instance stands in for a steward that it cannot reach, in milliseconds.
const ACTING_TIME: Millis = 3_000;

/// Asks the stewards of pools for grants, from any thread.
#[derive(Clone)]
pub(crate) struct GrantDesk {
    tables: Arc<EntryTables>,
    control: ControlHandle,
}

/// Where a grant came from, and so where it is returned.
#[derives::value]
pub(crate) enum GrantSource {
    /// This instance's own table.
    Local,
    /// The steward at this peer address.
    Remote(String),
}

/// A grant with the place to return it to.
#[derives::value]
pub(crate) struct HeldGrant {
    pub(crate) pool: PoolId,
    pub(crate) grant: Grant,
    pub(crate) source: GrantSource,
}

impl GrantDesk {
    pub(crate) fn new(tables: Arc<EntryTables>, control: ControlHandle) -> Self {
        Self { tables, control }
    }

    /// Asks for a grant; resolves when it is decided. Dropping the future gives up the ask.
    pub(crate) async fn ask(
        &self,
        pool: &PoolId,
        ask: &GrantRequest,
    ) -> Result<HeldGrant, Refusal> {
        let me = &ask.owner.instance;
        let steward = self.tables.steward(pool);
        let remote = steward.filter(|(instance, _)| instance != me);
        if let Some((_, address)) = remote
            && let Some(decision) = self.ask_remote(&address, pool, ask).await
        {
            return held(pool, decision, GrantSource::Remote(address));
        }
        self.stand_in(pool);
        let decision = ask_local(&self.tables, pool, ask.clone()).await;
        held(pool, decision, GrantSource::Local)
    }

    async fn ask_remote(
        &self,
        address: &str,
        pool: &PoolId,
        ask: &GrantRequest,
    ) -> Option<GrantDecision> {
        let (address, pool, ask) = (address.to_owned(), pool.clone(), ask.clone());
        self.control
            .run(async move |control| {
                control.tables.metrics.peer_messages.inc();
                control.ports.peers.ask(&address, &pool, &ask).await.ok()
            })
            .await?
    }

    /// Takes the steward's place in this instance's own table, unless it is the steward.
    fn stand_in(&self, pool: &PoolId) {
        let Some(desk) = self.tables.pools.get(pool) else {
            return;
        };
        let mut desk = desk.lock();
        if desk.role == StewardRole::Other {
            desk.acting_until = self.tables.now() + ACTING_TIME;
        }
    }

    /// Returns a grant.
    pub(crate) fn release(&self, held: &HeldGrant) {
        let id = held.grant.id;
        match &held.source {
            GrantSource::Local => release_local(&self.tables, &held.pool, id),
            GrantSource::Remote(address) => {
                let (address, pool) = (address.clone(), held.pool.clone());
                self.control.post(async move |control| {
                    control.tables.metrics.peer_messages.inc();
                    // A release that is lost is made good by the engine's own list.
                    let _ = control.ports.peers.release(&address, &pool, id).await;
                });
            }
        }
    }

    /// Tells the steward that an endpoint failed.
    pub(crate) fn endpoint_failed(&self, pool: &PoolId, endpoint: &EndpointId) {
        let now = self.tables.now();
        if let Some(desk) = self.tables.pools.get(pool) {
            desk.lock().table.endpoint_failed(endpoint, now);
        }
        let Some((_, address)) = self.tables.steward(pool) else {
            return;
        };
        if address == self.tables.settings.listen.peers.to_string() {
            return;
        }
        let (pool, endpoint) = (pool.clone(), endpoint.clone());
        self.control.post(async move |control| {
            control.tables.metrics.peer_messages.inc();
            let _ = control.ports.peers.failed(&address, &pool, &endpoint).await;
        });
    }
}

fn held(pool: &PoolId, decision: GrantDecision, source: GrantSource) -> Result<HeldGrant, Refusal> {
    match decision {
        GrantDecision::Granted(grant) => Ok(HeldGrant {
            pool: pool.clone(),
            grant,
            source,
        }),
        GrantDecision::Refused(refusal) => Err(refusal),
        GrantDecision::Queued(_) => Err(Refusal::new(RefusalReason::Overloaded, 1_000)),
    }
}

/// A ticket that is given up when nobody waits for it any more.
struct TicketGuard<'a> {
    tables: &'a EntryTables,
    pool: &'a PoolId,
    ticket: TicketId,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let Some(desk) = self.tables.pools.get(self.pool) else {
            return;
        };
        let mut desk = desk.lock();
        if desk.tickets.remove(&self.ticket).is_some() {
            desk.table.abandon(self.ticket);
        }
    }
}

/// Asks this instance's own table, as the pool's steward.
pub(crate) async fn ask_local(
    tables: &EntryTables,
    pool: &PoolId,
    ask: GrantRequest,
) -> GrantDecision {
    let refused = |reason| GrantDecision::Refused(Refusal::new(reason, 1_000));
    let Some(desk) = tables.pools.get(pool) else {
        return refused(RefusalReason::NoEndpoint);
    };
    let (ticket, receiver) = {
        let mut desk = desk.lock();
        match desk.table.request_grant(ask, tables.now()) {
            GrantDecision::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                desk.tickets.insert(ticket, sender);
                (ticket, receiver)
            }
            decided => {
                tables.metrics.grants.inc();
                return decided;
            }
        }
    };
    drain(tables, pool);
    let _guard = TicketGuard {
        tables,
        pool,
        ticket,
    };
    match receiver.await {
        Ok(decision) => {
            tables.metrics.grants.inc();
            decision
        }
        // The table was restarted: the asker is told to come back, and nothing ran.
        Err(_) => refused(RefusalReason::Overloaded),
    }
}

/// Returns a grant to this instance's own table and serves those who wait.
pub(crate) fn release_local(tables: &EntryTables, pool: &PoolId, grant: GrantId) {
    let Some(desk) = tables.pools.get(pool) else {
        return;
    };
    desk.lock().table.release(grant, tables.now());
    drain(tables, pool);
}

/// Decides on as many waiting asks as can be decided now.
pub(crate) fn drain(tables: &EntryTables, pool: &PoolId) {
    let Some(desk) = tables.pools.get(pool) else {
        return;
    };
    let mut desk = desk.lock();
    let now = tables.now();
    for (ticket, decision) in desk.table.drain(now) {
        let sender = desk.tickets.remove(&ticket);
        let undelivered = match sender {
            Some(sender) => sender.send(decision).err(),
            None => Some(decision),
        };
        if let Some(GrantDecision::Granted(grant)) = undelivered {
            desk.table.release(grant.id, now);
        }
    }
}
