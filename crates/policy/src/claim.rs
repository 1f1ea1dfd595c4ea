//! At-most-once claims, grouped in slots of the key-value service.
//!
//! A slot is one value that holds the claims of all keys created in one minute whose hash falls
//! into it, so that one compare-and-swap writes many claims.

use std::collections::BTreeMap;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::AccountId;

/// Milliseconds of the wall clock since the Unix epoch.
pub type UnixMillis = u64;

const MILLIS_PER_MINUTE: u64 = 60_000;

/// How far in the future a key's time may lie, in milliseconds, for clocks that differ.
pub const CLOCK_SKEW_MILLIS: u64 = 60_000;

/// Slots that share the keys of one minute.
pub const SLOTS_PER_MINUTE: u64 = 16;

/// The largest answer body, in bytes, that is kept with its claim.
pub const KEPT_BODY_BYTES: usize = 2_048;

/// An idempotency key: a version 7 UUID (RFC 9562), which carries its time of creation.
#[derives::tag]
pub struct IdempotencyKey {
    uuid: Uuid,
    created: UnixMillis,
}

/// Why an idempotency key was refused.
#[derives::tag]
pub enum KeyFault {
    /// Not a version 7 UUID, or one from the future.
    Invalid,
    /// Older than the retention window.
    Expired,
}

impl IdempotencyKey {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// `KeyFault::Invalid` unless `text` is a version 7 UUID.
    pub fn new(text: &str) -> Result<Self, KeyFault> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyFault::Invalid)?;
        if uuid.get_version_num() != 7 {
            return Err(KeyFault::Invalid);
        }
        let created = uuid
            .get_timestamp()
            .map(|stamp| stamp.to_unix())
            .ok_or(KeyFault::Invalid)?;
        let (seconds, nanos) = created;
        Ok(Self {
            uuid,
            created: seconds * 1_000 + u64::from(nanos) / 1_000_000,
        })
    }

    /// Checks the key's age against the retention `window` in milliseconds.
    ///
    /// # Errors
    ///
    /// `KeyFault::Expired` for a key older than the window, since its claim may be gone;
    /// `KeyFault::Invalid` for one from the future.
    pub fn check_age(&self, now: UnixMillis, window: u64) -> Result<(), KeyFault> {
        if self.created > now + CLOCK_SKEW_MILLIS {
            return Err(KeyFault::Invalid);
        }
        if now.saturating_sub(self.created) >= window {
            return Err(KeyFault::Expired);
        }
        Ok(())
    }

    /// Where `account`'s claim for this key stands.
    #[must_use]
    pub fn place(&self, account: &AccountId) -> ClaimPlace {
        let entry = format!("{account}/{}", self.uuid.simple());
        let minute = self.created / MILLIS_PER_MINUTE;
        let slot = xxh3_64(entry.as_bytes()) % SLOTS_PER_MINUTE;
        ClaimPlace {
            slot: format!("{CLAIM_PREFIX}{minute:010}/{slot:02}"),
            entry,
        }
    }
}

/// Key prefix of all claim slots.
pub const CLAIM_PREFIX: &str = "claims/";

/// The minute of a slot's key; none for a key that is not a claim slot.
#[must_use]
pub fn slot_minute(slot: &str) -> Option<u64> {
    let rest = slot.strip_prefix(CLAIM_PREFIX)?;
    rest.split('/').next()?.parse().ok()
}

/// Whether all keys of a slot's minute are older than the retention `window`.
#[must_use]
pub fn is_slot_expired(minute: u64, now: UnixMillis, window: u64) -> bool {
    let newest_key = (minute + 1) * MILLIS_PER_MINUTE;
    newest_key + window + CLOCK_SKEW_MILLIS < now
}

/// A claim's slot in the key-value service and its entry in the slot.
#[derives::value]
pub struct ClaimPlace {
    /// Key of the slot.
    pub slot: String,
    /// Member of the slot's value.
    pub entry: String,
}

/// What is kept of the first answer.
#[derive(Eq)]
#[derives::wire]
pub struct KeptResult {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body, of at most [`KEPT_BODY_BYTES`].
    pub body: String,
}

/// How far a claimed call has come.
#[derive(Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the call, once.
    Held,
    /// The call ran; its answer is kept.
    Done(KeptResult),
    /// The call ran; its answer was too large to keep.
    DoneNotKept,
}

/// One claim: the right to send a call once, never passed on.
#[derive(Eq)]
#[derives::wire]
pub struct Claim {
    /// Unique id of the claim, by which a lost answer is settled.
    pub id: String,
    /// How far it has come.
    pub state: ClaimState,
}

/// The value of a slot.
#[derive(Default, Eq)]
#[derives::wire]
#[serde(transparent)]
pub struct ClaimSlot {
    claims: BTreeMap<String, Claim>,
}

/// What a caller with this key may do.
#[derives::value]
pub enum ClaimVerdict {
    /// No claim stands; write ours.
    Free,
    /// The claim is ours.
    Ours,
    /// Another holder has it; the call may have run.
    Held,
    /// The call ran; this was its answer.
    Done(KeptResult),
    /// The call ran; its answer was not kept.
    DoneNotKept,
}

impl ClaimSlot {
    /// An empty slot.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What stands under `entry`, seen by the holder of claim `id`.
    #[must_use]
    pub fn verdict(&self, entry: &str, id: &str) -> ClaimVerdict {
        let Some(claim) = self.claims.get(entry) else {
            return ClaimVerdict::Free;
        };
        match &claim.state {
            ClaimState::Done(result) => ClaimVerdict::Done(result.clone()),
            ClaimState::DoneNotKept => ClaimVerdict::DoneNotKept,
            ClaimState::Held if claim.id == id => ClaimVerdict::Ours,
            ClaimState::Held => ClaimVerdict::Held,
        }
    }

    /// Applies one change and says what stands afterwards.
    ///
    /// Invariant: a claim of another holder is never replaced, and a stored result never changes.
    pub fn apply(&mut self, edit: &ClaimEdit) -> ClaimVerdict {
        let verdict = self.verdict(&edit.entry, &edit.id);
        match (&edit.change, verdict) {
            (ClaimChange::Take, ClaimVerdict::Free) => {
                self.put(edit, ClaimState::Held);
                ClaimVerdict::Ours
            }
            (ClaimChange::Finish(state), ClaimVerdict::Ours) => {
                self.put(edit, state.clone());
                self.verdict(&edit.entry, &edit.id)
            }
            (ClaimChange::Release, ClaimVerdict::Ours) => {
                self.claims.remove(&edit.entry);
                ClaimVerdict::Free
            }
            (_, verdict) => verdict,
        }
    }

    /// Number of claims in the slot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the slot holds no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn put(&mut self, edit: &ClaimEdit, state: ClaimState) {
        let claim = Claim {
            id: edit.id.clone(),
            state,
        };
        self.claims.insert(edit.entry.clone(), claim);
    }
}

/// A change that one holder wants made to a slot.
#[derives::value]
pub struct ClaimEdit {
    /// Member of the slot's value.
    pub entry: String,
    /// Id of the holder's claim.
    pub id: String,
    /// What to do.
    pub change: ClaimChange,
}

/// The kinds of change.
#[derives::value]
pub enum ClaimChange {
    /// Take the claim, if it is free.
    Take,
    /// Store how the call ended, if the claim is ours.
    Finish(ClaimState),
    /// Give back a claim that was never used to send.
    Release,
}
