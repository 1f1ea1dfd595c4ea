//! At-most-once claims: groups them by slot and writes each group with one compare-and-swap.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use platform::{CasVerdict, KeyValueFault, StoredKey};
use policy::claim::{
    CLAIM_PREFIX, ClaimChange, ClaimEdit, ClaimLocation, ClaimSlot, ClaimStatus, is_slot_expired,
    slot_minute,
};
use policy::ids::{Millis, PoolId};
use policy::steward::steward_of;
use tokio::sync::oneshot;

use crate::control::Control;

/// The key-value service did not settle a claim in time; it may stand all the same.
#[derives::tag]
pub(crate) struct ClaimUnavailable;

struct PendingEdit {
    edit: ClaimEdit,
    deadline: Millis,
    reply: oneshot::Sender<ClaimStatus>,
}

/// Edits that wait for their slot's writer, by slot.
///
/// Invariant: one writer a slot at a time, so that all edits that come while a write is on its
/// way go into the next one together.
#[derive(Default)]
pub(crate) struct ClaimDesk {
    slots: RefCell<HashMap<String, Vec<PendingEdit>>>,
}

/// A slot as last read.
struct ReadSlot {
    slot: ClaimSlot,
    revision: u64,
}

/// How long to wait before a slot whose read or write failed is tried again, in milliseconds.
const RETRY_PAUSE: Millis = 20;

impl ClaimDesk {
    pub(crate) fn new() -> Self {
        Self::default()
    }
}

impl Control {
    /// Applies an edit to a claim slot and says what stands afterwards.
    ///
    /// An answer that was lost is settled by reading the slot back and applying the edit again,
    /// which changes nothing where it had taken effect.
    pub(crate) async fn edit_claim(
        self: &Rc<Self>,
        place: &ClaimLocation,
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
            let is_first = !slots.contains_key(&place.slot);
            slots.entry(place.slot.clone()).or_default().push(pending);
            is_first
        };
        if is_first {
            self.spawn(self.clone().write_slot(place.slot.clone()));
        }
        answer.await.map_err(|_| ClaimUnavailable)
    }

    /// Writes a slot for as long as edits wait for it.
    async fn write_slot(self: Rc<Self>, slot: String) {
        loop {
            let group = {
                let mut slots = self.claims.slots.borrow_mut();
                match slots.get_mut(&slot) {
                    Some(waiting) if !waiting.is_empty() => std::mem::take(waiting),
                    _ => {
                        slots.remove(&slot);
                        return;
                    }
                }
            };
            self.write_group(&slot, group).await;
        }
    }

    async fn write_group(&self, slot: &str, mut group: Vec<PendingEdit>) {
        loop {
            let now = self.tables.now();
            // Dropping a reply tells its asker that the claim could not be settled.
            group.retain(|pending| now < pending.deadline && !pending.reply.is_closed());
            if group.is_empty() {
                return;
            }
            match self.try_group(slot, &group).await {
                Ok(verdicts) => {
                    for (pending, verdict) in group.into_iter().zip(verdicts) {
                        let _ = pending.reply.send(verdict);
                    }
                    return;
                }
                Err(SwapSetback::Conflict) => {}
                Err(SwapSetback::Fault) => {
                    self.tables.timer.after(RETRY_PAUSE).wait().await;
                }
            }
        }
    }

    /// Reads the slot, applies the group's edits and writes the slot back.
    async fn try_group(
        &self,
        key: &str,
        group: &[PendingEdit],
    ) -> Result<Vec<ClaimStatus>, SwapSetback> {
        let ReadSlot { mut slot, revision } = self.read_slot(key).await?;
        let before = slot.clone();
        let verdicts: Vec<ClaimStatus> = group
            .iter()
            .map(|pending| slot.apply(&pending.edit))
            .collect();
        if slot == before {
            return Ok(verdicts);
        }
        let value = serde_json::to_string(&slot).map_err(|_| SwapSetback::Fault)?;
        self.tables.metrics.platform_calls.inc();
        let swap = self
            .ports
            .platform
            .compare_and_swap(key, &value, revision, None);
        match swap.await {
            Ok(CasVerdict::Written(_)) => Ok(verdicts),
            Ok(CasVerdict::Conflict(_)) => Err(SwapSetback::Conflict),
            Err(fault) => Err(self.platform_fault(fault)),
        }
    }

    async fn read_slot(&self, key: &str) -> Result<ReadSlot, SwapSetback> {
        self.tables.metrics.platform_calls.inc();
        let stored = self.ports.platform.get(key).await;
        match stored.map_err(|fault| self.platform_fault(fault))? {
            None => Ok(ReadSlot {
                slot: ClaimSlot::new(),
                revision: 0,
            }),
            Some(stored) => Ok(ReadSlot {
                slot: serde_json::from_str(&stored.value).map_err(|_| SwapSetback::Fault)?,
                revision: stored.revision,
            }),
        }
    }

    fn platform_fault(&self, _fault: KeyValueFault) -> SwapSetback {
        self.tables.metrics.platform_faults.inc();
        SwapSetback::Fault
    }

    /// Gives back a claim that was never used to send, for as long as `time` milliseconds.
    pub(crate) async fn release_claim(
        self: &Rc<Self>,
        place: &ClaimLocation,
        id: String,
        time: Millis,
    ) {
        let edit = ClaimEdit {
            entry: place.entry.clone(),
            id,
            change: ClaimChange::Release,
        };
        let deadline = self.tables.now() + time;
        // A claim that cannot be given back stands: its key reads as in use until it expires.
        let _ = self.edit_claim(place, edit, deadline).await;
    }
}

/// Between two sweeps of expired claim slots, in milliseconds.
const SWEEP_PERIOD: Millis = 60_000;

/// Slots looked at in one sweep.
const SWEEP_SLOTS: usize = 256;

/// Name under which a failure domain's sweeper is chosen.
const SWEEPER_ROLE: &str = "claim-sweeper";

impl Control {
    /// Deletes claim slots whose keys are all older than the retention window.
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
        let Ok(keys) = self.ports.platform.list(CLAIM_PREFIX, SWEEP_SLOTS).await else {
            self.tables.metrics.platform_faults.inc();
            return;
        };
        let window = self.tables.settings.limits.claim_window_ms;
        let now = self.tables.identity.unix_millis();
        let is_expired = |key: &StoredKey| {
            slot_minute(&key.key).is_some_and(|minute| is_slot_expired(minute, now, window))
        };
        for key in keys.into_iter().filter(is_expired) {
            self.tables.metrics.platform_calls.inc();
            // Another domain's sweeper may have been faster.
            let _ = self.ports.platform.delete(&key.key, key.revision).await;
        }
    }
}

enum SwapSetback {
    Conflict,
    Fault,
}
