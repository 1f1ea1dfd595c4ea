//! Requests grants from the stewards of pools and releases them.

use std::sync::Arc;

use policy::ids::{EndpointId, Millis, PoolId};
use policy::outcome::{Refusal, RefusalReason};
use policy::pool::{Grant, GrantDecision, GrantId, GrantRequest, TicketId};
use tokio::sync::oneshot;

use crate::control::ControlHandle;
use crate::tables::{EntryTables, StewardRole};

/// How long an instance acts in place of a steward that it cannot reach, in milliseconds.
const ACTING_STEWARD_TIME: Millis = 3_000;

/// Requests grants from the stewards of pools, from any thread.
#[derive(Clone)]
pub(crate) struct GrantClient {
    tables: Arc<EntryTables>,
    control: ControlHandle,
}

/// The grant table that a grant came from and is released to.
#[derives::value]
pub(crate) enum GrantSource {
    /// The table of this instance.
    Local,
    /// The table of the steward at this peer address.
    Remote(String),
}

/// A grant with its pool and its source.
#[derives::value]
pub(crate) struct HeldGrant {
    pub(crate) pool: PoolId,
    pub(crate) grant: Grant,
    pub(crate) source: GrantSource,
}

impl GrantClient {
    pub(crate) fn new(tables: Arc<EntryTables>, control: ControlHandle) -> Self {
        Self { tables, control }
    }

    /// Requests a grant from the pool's steward; resolves when the request is decided. If a remote
    /// steward does not answer, this instance becomes acting steward and decides locally.
    ///
    /// Dropping the future withdraws the request.
    pub(crate) async fn request(
        &self,
        pool: &PoolId,
        request: &GrantRequest,
    ) -> Result<HeldGrant, Refusal> {
        let local_instance = &request.owner.instance;
        let steward = self.tables.steward(pool);
        let remote = steward.filter(|(instance, _)| instance != local_instance);
        if let Some((_, address)) = remote
            && let Some(decision) = self.request_remote(&address, pool, request).await
        {
            return into_held_grant(pool, decision, GrantSource::Remote(address));
        }
        self.act_as_steward(pool);
        let decision = request_local(&self.tables, pool, request.clone()).await;
        into_held_grant(pool, decision, GrantSource::Local)
    }

    async fn request_remote(
        &self,
        address: &str,
        pool: &PoolId,
        request: &GrantRequest,
    ) -> Option<GrantDecision> {
        let (address, pool, request) = (address.to_owned(), pool.clone(), request.clone());
        self.control
            .run(async move |control| {
                control.tables.metrics.peer_messages.inc();
                control
                    .ports
                    .peers
                    .request_grant(&address, &pool, &request)
                    .await
                    .ok()
            })
            .await?
    }

    /// Makes this instance acting steward of the pool for [`ACTING_STEWARD_TIME`], unless it is the
    /// steward already.
    fn act_as_steward(&self, pool: &PoolId) {
        let Some(pool_state) = self.tables.pools.get(pool) else {
            return;
        };
        let mut pool_state = pool_state.lock();
        if pool_state.role == StewardRole::Other {
            pool_state.acting_steward_until = self.tables.now() + ACTING_STEWARD_TIME;
        }
    }

    /// Releases a grant to its source.
    pub(crate) fn release(&self, held: &HeldGrant) {
        let id = held.grant.id;
        match &held.source {
            GrantSource::Local => release_local(&self.tables, &held.pool, id),
            GrantSource::Remote(address) => {
                let (address, pool) = (address.clone(), held.pool.clone());
                self.control.post(async move |control| {
                    control.tables.metrics.peer_messages.inc();
                    // If the release is lost, the steward drops the grant when it reconciles its
                    // table with the engine's listing.
                    let _ = control.ports.peers.release(&address, &pool, id).await;
                });
            }
        }
    }

    /// Records an endpoint failure in the local table and reports it to the pool's steward.
    pub(crate) fn endpoint_failed(&self, pool: &PoolId, endpoint: &EndpointId) {
        let now = self.tables.now();
        if let Some(pool_state) = self.tables.pools.get(pool) {
            pool_state.lock().table.endpoint_failed(endpoint, now);
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

fn into_held_grant(
    pool: &PoolId,
    decision: GrantDecision,
    source: GrantSource,
) -> Result<HeldGrant, Refusal> {
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

/// Withdraws a queued request when the future that waits for its decision is dropped.
struct TicketGuard<'a> {
    tables: &'a EntryTables,
    pool: &'a PoolId,
    ticket: TicketId,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let Some(pool_state) = self.tables.pools.get(self.pool) else {
            return;
        };
        let mut pool_state = pool_state.lock();
        if pool_state.tickets.remove(&self.ticket).is_some() {
            pool_state.table.abandon(self.ticket);
        }
    }
}

/// Requests a grant from this instance's own table; waits while the request is queued.
pub(crate) async fn request_local(
    tables: &EntryTables,
    pool: &PoolId,
    request: GrantRequest,
) -> GrantDecision {
    let refused = |reason| GrantDecision::Refused(Refusal::new(reason, 1_000));
    let Some(pool_state) = tables.pools.get(pool) else {
        return refused(RefusalReason::NoEndpoint);
    };
    let (ticket, receiver) = {
        let mut pool_state = pool_state.lock();
        match pool_state.table.request_grant(request, tables.now()) {
            GrantDecision::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                pool_state.tickets.insert(ticket, sender);
                (ticket, receiver)
            }
            decided => {
                tables.metrics.grants.inc();
                return decided;
            }
        }
    };
    decide_queued(tables, pool);
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
        // The table was restarted, which dropped the queue. Nothing ran, so the request is refused
        // with a retry-after.
        Err(_) => refused(RefusalReason::Overloaded),
    }
}

/// Releases a grant in this instance's own table and decides on the queued requests.
pub(crate) fn release_local(tables: &EntryTables, pool: &PoolId, grant: GrantId) {
    let Some(pool_state) = tables.pools.get(pool) else {
        return;
    };
    pool_state.lock().table.release(grant, tables.now());
    decide_queued(tables, pool);
}

/// Decides on all queued requests that can be decided now. A grant whose requester is gone is
/// released.
pub(crate) fn decide_queued(tables: &EntryTables, pool: &PoolId) {
    let Some(pool_state) = tables.pools.get(pool) else {
        return;
    };
    let mut pool_state = pool_state.lock();
    let now = tables.now();
    for (ticket, decision) in pool_state.table.decide_queued(now) {
        let sender = pool_state.tickets.remove(&ticket);
        let undelivered = match sender {
            Some(sender) => sender.send(decision).err(),
            None => Some(decision),
        };
        if let Some(GrantDecision::Granted(grant)) = undelivered {
            pool_state.table.release(grant.id, now);
        }
    }
}
