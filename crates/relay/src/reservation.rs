//! Memory reservations on engines, for prompts that do not fit on one engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::{LocalBoxFuture, join_all};
use policy::dispatch::placement::{EndpointTarget, HelperGrant};
use tokio::task::AbortHandle;

/// Time to live of a reservation as a share of the time for which unused memory may stay reserved.
/// The rest leaves room for a reservation that is made late, or whose owner dies, to expire in
/// time.
const TTL_SHARE: f64 = 0.9;

/// Renewals per time to live, so that two may go unanswered.
const RENEWALS_PER_TTL: u32 = 3;

/// Attempts per renewal.
const RENEWAL_TRIES: u32 = 2;

/// Limit for an engine's answer to a request to reserve or release memory.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay between two attempts to release memory.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts to release memory before it is left to expire.
const RELEASE_TRIES: u32 = 24;

/// Delay before each additional release of memory for which a request went unanswered: an engine
/// may carry out such a request up to 12 s after it was sent.
const LATE_RELEASE_DELAYS: [Duration; 4] = [
    Duration::from_millis(2_500),
    Duration::from_secs(3),
    Duration::from_secs(3),
    Duration::from_secs(4),
];

/// Time to live of a reservation, in milliseconds, if unused memory may stay reserved for
/// `unused_time` milliseconds.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub fn reservation_ttl(unused_time: u64) -> u64 {
    (unused_time as f64 * TTL_SHARE) as u64
}

/// Result of a request to reserve memory.
#[derives::tag]
pub enum ReserveOutcome {
    /// The memory is reserved.
    Reserved,
    /// The engine has too little free memory.
    Refused,
    /// No answer arrived; the engine may still reserve the memory.
    Unanswered,
}

/// Result of a request to release memory.
#[derives::tag]
pub enum ReleaseOutcome {
    /// The memory is no longer reserved.
    Released,
    /// No answer arrived.
    Unanswered,
}

/// Reserves and releases memory on engines.
pub trait MemoryClient {
    /// Reserves `tokens` under `id` for `ttl` milliseconds, unless nothing may be sent to the engine
    /// now.
    fn reserve<'a>(
        &'a self,
        engine: &'a EndpointTarget,
        id: &'a str,
        tokens: u64,
        ttl: u64,
    ) -> LocalBoxFuture<'a, ReserveOutcome>;

    /// Renews the reservation of `tokens` under `id` for `ttl` milliseconds.
    fn renew<'a>(
        &'a self,
        engine: &'a EndpointTarget,
        id: &'a str,
        tokens: u64,
        ttl: u64,
    ) -> LocalBoxFuture<'a, ReserveOutcome> {
        self.reserve(engine, id, tokens, ttl)
    }

    /// Releases the memory reserved under `id`.
    fn release<'a>(
        &'a self,
        engine: &'a EndpointTarget,
        id: &'a str,
    ) -> LocalBoxFuture<'a, ReleaseOutcome>;
}

/// Reservation on one engine.
struct ReservedPart {
    engine: EndpointTarget,
    id: String,
    tokens: u64,
    /// Whether a request to reserve the memory went unanswered.
    is_uncertain: Cell<bool>,
}

impl ReservedPart {
    async fn reserve(&self, client: &dyn MemoryClient, ttl: u64) -> ReserveOutcome {
        let request = client.reserve(&self.engine, &self.id, self.tokens, ttl);
        self.outcome(request).await
    }

    async fn outcome(&self, request: LocalBoxFuture<'_, ReserveOutcome>) -> ReserveOutcome {
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
        let outcome = answer.unwrap_or(ReserveOutcome::Unanswered);
        if outcome == ReserveOutcome::Unanswered {
            self.is_uncertain.set(true);
        }
        outcome
    }

    async fn renew(&self, client: &dyn MemoryClient, ttl: u64) {
        for _ in 0..RENEWAL_TRIES {
            let request = client.renew(&self.engine, &self.id, self.tokens, ttl);
            if self.outcome(request).await != ReserveOutcome::Unanswered {
                return;
            }
        }
        spdlog::info!("memory not renewed", kv: { id = self.id.as_str(), address: = self.engine.address });
    }

    async fn release(&self, client: &dyn MemoryClient) {
        for _ in 0..RELEASE_TRIES {
            let request = client.release(&self.engine, &self.id);
            let answer = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
            if matches!(answer, Ok(ReleaseOutcome::Released)) {
                return;
            }
            tokio::time::sleep(RELEASE_RETRY_DELAY).await;
        }
        spdlog::warn!("memory not released", kv: {
            id = self.id.as_str(),
            address: = self.engine.address,
            tokens = self.tokens,
        });
    }
}

/// Memory reserved for one run, on one or more engines.
///
/// Invariant: either all parts are reserved or none. Every part is released when the run ends, for
/// whatever reason, and released again after each time at which an unanswered request may still
/// have reserved it.
pub struct MemoryReservation {
    client: Rc<dyn MemoryClient>,
    parts: Rc<Vec<ReservedPart>>,
    renewal: Option<AbortHandle>,
}

impl MemoryReservation {
    /// Reserves the memory that `helpers` need, under ids that begin with `id`. The reservation is
    /// renewed until it is dropped and expires `ttl` milliseconds after the last renewal.
    ///
    /// # Errors
    ///
    /// Returns the address of the first engine that did not reserve its part; the other parts are
    /// released.
    pub async fn reserve(
        client: &Rc<dyn MemoryClient>,
        id: &str,
        helpers: &[HelperGrant],
        ttl: u64,
    ) -> Result<Self, SocketAddr> {
        let parts = helpers
            .iter()
            .filter(|helper| helper.reserved_tokens > 0)
            .enumerate()
            .map(|(part, helper)| ReservedPart {
                engine: helper.target.clone(),
                id: format!("{id}-{part}"),
                tokens: helper.reserved_tokens,
                is_uncertain: Cell::new(false),
            });
        let mut reservation = Self {
            client: Rc::clone(client),
            parts: Rc::new(parts.collect()),
            renewal: None,
        };
        let requests = reservation
            .parts
            .iter()
            .map(|part| part.reserve(client.as_ref(), ttl));
        let outcomes = join_all(requests).await;
        let refused = outcomes
            .iter()
            .position(|outcome| *outcome != ReserveOutcome::Reserved);
        if let Some(part) = refused {
            return Err(reservation.parts[part].engine.address);
        }
        reservation.start_renewal(ttl);
        Ok(reservation)
    }

    /// Id of the reservation on the engine at `address`; `None` if nothing is reserved there.
    #[must_use]
    pub fn id_at(&self, address: SocketAddr) -> Option<String> {
        let part = self
            .parts
            .iter()
            .find(|part| part.engine.address == address)?;
        Some(part.id.clone())
    }

    fn start_renewal(&mut self, ttl: u64) {
        if self.parts.is_empty() {
            return;
        }
        let (client, parts) = (Rc::clone(&self.client), Rc::clone(&self.parts));
        let period = Duration::from_millis(ttl) / RENEWALS_PER_TTL;
        let task = tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(period).await;
                let renewals = parts.iter();
                join_all(renewals.map(|part| part.renew(client.as_ref(), ttl))).await;
            }
        });
        self.renewal = Some(task.abort_handle());
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        if self.parts.is_empty() {
            return;
        }
        let (client, parts) = (Rc::clone(&self.client), Rc::clone(&self.parts));
        tokio::task::spawn_local(async move {
            join_all(parts.iter().map(|part| part.release(client.as_ref()))).await;
            let is_uncertain = |part: &&ReservedPart| part.is_uncertain.get();
            let uncertain: Vec<&ReservedPart> = parts.iter().filter(is_uncertain).collect();
            if uncertain.is_empty() {
                return;
            }
            for delay in LATE_RELEASE_DELAYS {
                tokio::time::sleep(delay).await;
                join_all(uncertain.iter().map(|part| part.release(client.as_ref()))).await;
            }
        });
    }
}
