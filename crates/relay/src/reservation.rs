//! Memory reserved on engines for prompts that one engine cannot hold.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::{LocalBoxFuture, join_all};
use policy::dispatch::placement::HelperGrant;
use tokio::task::AbortHandle;

/// Share of the time for which unused memory may stay reserved that a reservation runs, so that
/// one that is made late, or whose owner dies, ends by itself in time.
const HOLD_SHARE: f64 = 0.9;

/// Renewals within the length of a reservation, so that two may go without an answer.
const RENEWALS: u32 = 3;

/// Tries of one renewal.
const RENEW_TRIES: u32 = 2;

/// Longest wait for the answer to an order.
const ORDER_TIME: Duration = Duration::from_millis(300);

/// Pause between two tries to release memory.
const RELEASE_PAUSE: Duration = Duration::from_millis(150);

/// Tries to release memory before it is left to lapse.
const RELEASE_TRIES: u32 = 24;

/// When memory is released once more that an order without an answer may have reserved late: such
/// orders are carried out up to 12 s after they were sent.
const LATE_RELEASES: [Duration; 4] = [
    Duration::from_millis(2_500),
    Duration::from_secs(3),
    Duration::from_secs(3),
    Duration::from_secs(4),
];

/// Length of a reservation, in milliseconds, where unused memory may stay reserved for
/// `free_time` milliseconds.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub fn hold_time(free_time: u64) -> u64 {
    (free_time as f64 * HOLD_SHARE) as u64
}

/// What became of an order to reserve memory.
#[derives::tag]
pub enum ReserveVerdict {
    /// The memory is reserved.
    Reserved,
    /// It is not free.
    Refused,
    /// No answer came; the order may still be carried out.
    Unanswered,
}

/// What became of an order to release memory.
#[derives::tag]
pub enum ReleaseVerdict {
    /// The memory is not reserved any more.
    Released,
    /// No answer came.
    Unanswered,
}

/// Orders to engines about their memory.
pub trait MemoryPort {
    /// Reserves `tokens` under `id` for `hold` milliseconds, or renews the reservation.
    fn reserve<'a>(
        &'a self,
        address: SocketAddr,
        id: &'a str,
        tokens: u64,
        hold: u64,
    ) -> LocalBoxFuture<'a, ReserveVerdict>;

    /// Releases what is reserved under `id`.
    fn release<'a>(
        &'a self,
        address: SocketAddr,
        id: &'a str,
    ) -> LocalBoxFuture<'a, ReleaseVerdict>;
}

/// Memory on one engine.
struct HeldMemory {
    address: SocketAddr,
    id: String,
    tokens: u64,
    /// Whether an order to reserve it has gone without an answer.
    is_uncertain: Cell<bool>,
}

impl HeldMemory {
    async fn reserve(&self, port: &dyn MemoryPort, hold_time: u64) -> ReserveVerdict {
        let order = port.reserve(self.address, &self.id, self.tokens, hold_time);
        let answer = tokio::time::timeout(ORDER_TIME, order).await;
        let verdict = answer.unwrap_or(ReserveVerdict::Unanswered);
        if verdict == ReserveVerdict::Unanswered {
            self.is_uncertain.set(true);
        }
        verdict
    }

    async fn renew(&self, port: &dyn MemoryPort, hold_time: u64) {
        for _ in 0..RENEW_TRIES {
            if self.reserve(port, hold_time).await != ReserveVerdict::Unanswered {
                return;
            }
        }
        spdlog::info!("memory not renewed", kv: { id = self.id.as_str(), address: = self.address });
    }

    async fn release(&self, port: &dyn MemoryPort) {
        for _ in 0..RELEASE_TRIES {
            let order = port.release(self.address, &self.id);
            let answer = tokio::time::timeout(ORDER_TIME, order).await;
            if matches!(answer, Ok(ReleaseVerdict::Released)) {
                return;
            }
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
        spdlog::warn!("memory not released", kv: {
            id = self.id.as_str(),
            address: = self.address,
            tokens = self.tokens,
        });
    }
}

/// Memory reserved for one run.
///
/// Invariant: all parts are reserved or none; every part is released when the run ends, however it
/// ends, and once more after every time at which an unanswered order can still reserve it.
pub struct MemoryHold {
    port: Rc<dyn MemoryPort>,
    parts: Rc<Vec<HeldMemory>>,
    renewal: Option<AbortHandle>,
}

impl MemoryHold {
    /// Reserves what `helpers` need under ids that begin with `id`, for `hold_time` milliseconds at
    /// a time.
    ///
    /// # Errors
    ///
    /// Names the engine that did not reserve its part; the others' parts are released.
    pub async fn reserve(
        port: &Rc<dyn MemoryPort>,
        id: &str,
        helpers: &[HelperGrant],
        hold_time: u64,
    ) -> Result<Self, SocketAddr> {
        let parts = helpers
            .iter()
            .filter(|helper| helper.reserved_tokens > 0)
            .enumerate()
            .map(|(part, helper)| HeldMemory {
                address: helper.target.address,
                id: format!("{id}-{part}"),
                tokens: helper.reserved_tokens,
                is_uncertain: Cell::new(false),
            });
        let mut hold = Self {
            port: Rc::clone(port),
            parts: Rc::new(parts.collect()),
            renewal: None,
        };
        let orders = hold
            .parts
            .iter()
            .map(|part| part.reserve(port.as_ref(), hold_time));
        let verdicts = join_all(orders).await;
        let refused = verdicts
            .iter()
            .position(|verdict| *verdict != ReserveVerdict::Reserved);
        if let Some(part) = refused {
            return Err(hold.parts[part].address);
        }
        hold.start_renewal(hold_time);
        Ok(hold)
    }

    /// The id reserved on the engine at `address`.
    #[must_use]
    pub fn id_at(&self, address: SocketAddr) -> Option<String> {
        let part = self.parts.iter().find(|part| part.address == address)?;
        Some(part.id.clone())
    }

    fn start_renewal(&mut self, hold_time: u64) {
        if self.parts.is_empty() {
            return;
        }
        let (port, parts) = (Rc::clone(&self.port), Rc::clone(&self.parts));
        let period = Duration::from_millis(hold_time) / RENEWALS;
        let task = tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(period).await;
                let renewals = parts.iter();
                join_all(renewals.map(|part| part.renew(port.as_ref(), hold_time))).await;
            }
        });
        self.renewal = Some(task.abort_handle());
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        if self.parts.is_empty() {
            return;
        }
        let (port, parts) = (Rc::clone(&self.port), Rc::clone(&self.parts));
        tokio::task::spawn_local(async move {
            join_all(parts.iter().map(|part| part.release(port.as_ref()))).await;
            let is_uncertain = |part: &&HeldMemory| part.is_uncertain.get();
            let uncertain: Vec<&HeldMemory> = parts.iter().filter(is_uncertain).collect();
            if uncertain.is_empty() {
                return;
            }
            for pause in LATE_RELEASES {
                tokio::time::sleep(pause).await;
                join_all(uncertain.iter().map(|part| part.release(port.as_ref()))).await;
            }
        });
    }
}
