//! At-most-once claims: batches edits by slot and writes each batch with one compare-and-swap.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use platform::{CasOutcome, KeyValueError, StoredKey};
use policy::claim::{
    CLAIM_PREFIX, ClaimChange, ClaimEdit, ClaimLocation, ClaimSlot, ClaimStatus, is_slot_expired,
    slot_minute,
};
use policy::ids::{Millis, PoolId};
use policy::steward::steward_of;
use tokio::sync::oneshot;

use crate::control::Control;

/// The key-value service did not confirm a claim edit in time; the edit may still have been stored.
#[derives::tag]
pub(crate) struct ClaimUnavailable;

struct PendingEdit {
    edit: ClaimEdit,
    deadline: Millis,
    reply: oneshot::Sender<ClaimStatus>,
}

/// Edits that wait for the writer task of their slot, by slot key.
///
/// Invariant: each slot has at most one writer task, so that all edits that arrive while a write
/// is in flight are batched into the next write.
#[derive(Default)]
pub(crate) struct ClaimQueues {
    slots: RefCell<HashMap<String, Vec<PendingEdit>>>,
}

/// A slot as last read, with its revision in the key-value service; 0 for a slot that does not
/// exist.
struct StoredSlot {
    slot: ClaimSlot,
    revision: u64,
}

/// Delay before a failed read or write of a slot is retried, in milliseconds.
const RETRY_DELAY: Millis = 20;

impl ClaimQueues {
    pub(crate) fn new() -> Self {
        Self::default()
    }
}

impl Control {
    /// Applies an edit to a claim slot and returns the claim's status afterwards.
    ///
    /// If the answer to a write is lost, the slot is read again and the edit reapplied. Edits are
    /// idempotent, so a write that had taken effect is not changed.
    pub(crate) async fn edit_claim(
        self: &Rc<Self>,
        location: &ClaimLocation,
        edit: ClaimEdit,
        deadline: Millis,
    ) -> Result<ClaimStatus, ClaimUnavailable> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingEdit {
            edit,
            deadline,
            reply,
        };
        let is_first = {
            let mut slots = self.claims.slots.borrow_mut();
            let is_first = !slots.contains_key(&location.slot);
            slots
                .entry(location.slot.clone())
                .or_default()
                .push(pending);
            is_first
        };
        if is_first {
            self.spawn(self.clone().write_slot(location.slot.clone()));
        }
        answer.await.map_err(|_| ClaimUnavailable)
    }

    /// Writer task of a slot: writes batches until no edit is pending.
    async fn write_slot(self: Rc<Self>, slot: String) {
        loop {
            let batch = {
                let mut slots = self.claims.slots.borrow_mut();
                match slots.get_mut(&slot) {
                    Some(waiting) if !waiting.is_empty() => std::mem::take(waiting),
                    _ => {
                        slots.remove(&slot);
                        return;
                    }
                }
            };
            self.write_batch(&slot, batch).await;
        }
    }

    async fn write_batch(&self, slot: &str, mut batch: Vec<PendingEdit>) {
        loop {
            let now = self.tables.now();
            // Dropping the reply sender reports `ClaimUnavailable` to the requester.
            batch.retain(|pending| now < pending.deadline && !pending.reply.is_closed());
            if batch.is_empty() {
                return;
            }
            match self.try_write_batch(slot, &batch).await {
                Ok(statuses) => {
                    for (pending, status) in batch.into_iter().zip(statuses) {
                        let _ = pending.reply.send(status);
                    }
                    return;
                }
                Err(SwapFailure::Conflict) => {}
                Err(SwapFailure::Unavailable) => {
                    self.tables.timer.after(RETRY_DELAY).wait().await;
                }
            }
        }
    }

    /// Reads the slot, applies the batch's edits and writes the slot back if they changed it.
    async fn try_write_batch(
        &self,
        key: &str,
        batch: &[PendingEdit],
    ) -> Result<Vec<ClaimStatus>, SwapFailure> {
        let StoredSlot { mut slot, revision } = self.read_slot(key).await?;
        let before = slot.clone();
        let statuses: Vec<ClaimStatus> = batch
            .iter()
            .map(|pending| slot.apply(&pending.edit))
            .collect();
        if slot == before {
            return Ok(statuses);
        }
        let value = serde_json::to_string(&slot).map_err(|_| SwapFailure::Unavailable)?;
        self.tables.metrics.platform_calls.inc();
        let swap = self
            .ports
            .platform
            .compare_and_swap(key, &value, revision, None);
        match swap.await {
            Ok(CasOutcome::Written(_)) => Ok(statuses),
            Ok(CasOutcome::Conflict(_)) => Err(SwapFailure::Conflict),
            Err(error) => Err(self.count_platform_error(error)),
        }
    }

    async fn read_slot(&self, key: &str) -> Result<StoredSlot, SwapFailure> {
        self.tables.metrics.platform_calls.inc();
        let stored = self.ports.platform.get(key).await;
        match stored.map_err(|error| self.count_platform_error(error))? {
            None => Ok(StoredSlot {
                slot: ClaimSlot::new(),
                revision: 0,
            }),
            Some(stored) => Ok(StoredSlot {
                slot: serde_json::from_str(&stored.value).map_err(|_| SwapFailure::Unavailable)?,
                revision: stored.revision,
            }),
        }
    }

    fn count_platform_error(&self, _error: KeyValueError) -> SwapFailure {
        self.tables.metrics.platform_faults.inc();
        SwapFailure::Unavailable
    }

    /// Releases a claim under which nothing was sent; retries for up to `retry_time` milliseconds.
    pub(crate) async fn release_claim(
        self: &Rc<Self>,
        location: &ClaimLocation,
        id: String,
        retry_time: Millis,
    ) {
        let edit = ClaimEdit {
            entry: location.entry.clone(),
            id,
            change: ClaimChange::Release,
        };
        let deadline = self.tables.now() + retry_time;
        // If the release fails, the claim remains, and calls with its key end as in use until the
        // claim expires.
        let _ = self.edit_claim(location, edit, deadline).await;
    }
}

/// Interval between sweeps of expired claim slots, in milliseconds.
const SWEEP_PERIOD: Millis = 60_000;

/// Maximum number of slots that one sweep lists.
const MAX_SWEEP_SLOTS: usize = 256;

/// Rendezvous hashing key by which the sweeper of a failure domain is chosen among its members.
const SWEEPER_ROLE: &str = "claim-sweeper";

impl Control {
    /// Periodically deletes claim slots whose keys are all older than the retention window.
    pub(crate) async fn run_claim_sweeper(self: Rc<Self>) {
        loop {
            self.tables.timer.after(SWEEP_PERIOD).wait().await;
            if self.is_sweeper() {
                self.sweep_claims().await;
            }
        }
    }

    fn is_sweeper(&self) -> bool {
        let members = self.tables.members.lock();
        let role = PoolId::new(SWEEPER_ROLE);
        steward_of(&role, members.alive()) == Some(&members.local().instance)
    }

    async fn sweep_claims(&self) {
        self.tables.metrics.platform_calls.inc();
        let Ok(keys) = self
            .ports
            .platform
            .list(CLAIM_PREFIX, MAX_SWEEP_SLOTS)
            .await
        else {
            self.tables.metrics.platform_faults.inc();
            return;
        };
        let window = self.tables.settings.limits.claim_window_ms;
        let now = self.tables.clock_and_ids.unix_millis();
        let is_expired = |key: &StoredKey| {
            slot_minute(&key.key).is_some_and(|minute| is_slot_expired(minute, now, window))
        };
        for key in keys.into_iter().filter(is_expired) {
            self.tables.metrics.platform_calls.inc();
            // The sweeper of another failure domain may have deleted the slot already.
            let _ = self.ports.platform.delete(&key.key, key.revision).await;
        }
    }
}

enum SwapFailure {
    Conflict,
    Unavailable,
}
