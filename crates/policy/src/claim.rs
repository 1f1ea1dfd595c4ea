//! At-most-once claims of idempotency keys, grouped in slots of the key-value service.
//!
//! A slot is one value of the key-value service. It holds the claims of all idempotency keys that
//! were created in one minute and hash to the slot, so that one compare-and-swap writes many
//! claims.

use std::collections::BTreeMap;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::AccountId;

/// Milliseconds of the wall clock since the Unix epoch.
pub type UnixMillis = u64;

const MILLIS_PER_MINUTE: u64 = 60_000;

/// How far in the future a key's timestamp may lie because of clock skew, in milliseconds.
pub const CLOCK_SKEW_MILLIS: u64 = 60_000;

/// Number of slots over which the keys of one minute are hashed.
pub const SLOTS_PER_MINUTE: u64 = 16;

/// Largest answer body that is stored with its claim, in bytes.
pub const KEPT_BODY_BYTES: usize = 2_048;

/// An idempotency key: a version 7 UUID (RFC 9562), which contains its time of creation.
#[derives::tag]
pub struct IdempotencyKey {
    uuid: Uuid,
    created: UnixMillis,
}

/// Why an idempotency key was rejected.
#[derives::tag]
pub enum IdempotencyKeyError {
    /// The key is not a version 7 UUID, or its timestamp lies in the future.
    Invalid,
    /// The key is older than the retention window.
    Expired,
}

impl IdempotencyKey {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// `IdempotencyKeyError::Invalid` unless `text` is a version 7 UUID.
    pub fn new(text: &str) -> Result<Self, IdempotencyKeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| IdempotencyKeyError::Invalid)?;
        if uuid.get_version_num() != 7 {
            return Err(IdempotencyKeyError::Invalid);
        }
        let created = uuid
            .get_timestamp()
            .map(|stamp| stamp.to_unix())
            .ok_or(IdempotencyKeyError::Invalid)?;
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
    /// `IdempotencyKeyError::Expired` if the key is older than the window, since its claim may have
    /// been deleted; `IdempotencyKeyError::Invalid` if its timestamp lies in the future.
    pub fn check_age(&self, now: UnixMillis, window: u64) -> Result<(), IdempotencyKeyError> {
        if self.created > now + CLOCK_SKEW_MILLIS {
            return Err(IdempotencyKeyError::Invalid);
        }
        if now.saturating_sub(self.created) >= window {
            return Err(IdempotencyKeyError::Expired);
        }
        Ok(())
    }

    /// The slot and entry of `account`'s claim for this key.
    #[must_use]
    pub fn location(&self, account: &AccountId) -> ClaimLocation {
        let entry = format!("{account}/{}", self.uuid.simple());
        let minute = self.created / MILLIS_PER_MINUTE;
        let slot = xxh3_64(entry.as_bytes()) % SLOTS_PER_MINUTE;
        ClaimLocation {
            slot: format!("{CLAIM_PREFIX}{minute:010}/{slot:02}"),
            entry,
        }
    }
}

/// Key prefix of all claim slots.
pub const CLAIM_PREFIX: &str = "claims/";

/// The minute in a slot's key, counted from the Unix epoch; `None` if the key is not a claim slot.
#[must_use]
pub fn slot_minute(slot: &str) -> Option<u64> {
    let rest = slot.strip_prefix(CLAIM_PREFIX)?;
    rest.split('/').next()?.parse().ok()
}

/// Whether all idempotency keys of `minute` are older than the retention `window` in milliseconds
/// plus the clock skew.
#[must_use]
pub fn is_slot_expired(minute: u64, now: UnixMillis, window: u64) -> bool {
    let newest_key = (minute + 1) * MILLIS_PER_MINUTE;
    newest_key + window + CLOCK_SKEW_MILLIS < now
}

/// Location of a claim: its slot in the key-value service and its entry in the slot.
#[derives::value]
pub struct ClaimLocation {
    /// Key of the slot in the key-value service.
    pub slot: String,
    /// Name of the claim's entry in the slot's value.
    pub entry: String,
}

/// Stored part of the first answer.
#[derive(Eq)]
#[derives::wire]
pub struct KeptResult {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body, of at most [`KEPT_BODY_BYTES`].
    pub body: String,
}

/// State of a claimed call.
#[derive(Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the call, once.
    Held,
    /// The call ran; its answer is stored.
    Done(KeptResult),
    /// The call ran; its answer was too large to be stored.
    DoneNotKept,
}

/// A claim: the right to send a call once, which is never transferred to another holder.
#[derive(Eq)]
#[derives::wire]
pub struct Claim {
    /// Unique id of the claim. If the answer to the write is lost, the holder recognizes its claim
    /// by this id.
    pub id: String,
    /// State of the call.
    pub state: ClaimState,
}

/// Value of a slot: the claims by entry.
#[derive(Default, Eq)]
#[derives::wire]
#[serde(transparent)]
pub struct ClaimSlot {
    claims: BTreeMap<String, Claim>,
}

/// Status of a claim, as seen by one call.
#[derives::value]
pub enum ClaimStatus {
    /// The key is not claimed; the call may claim it.
    Free,
    /// The call holds the claim.
    Ours,
    /// Another call holds the claim and may have run.
    Held,
    /// The claimed call ran; this is its answer.
    Done(KeptResult),
    /// The claimed call ran; its answer was not stored.
    DoneNotKept,
}

impl ClaimSlot {
    /// Creates an empty slot.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Status of the claim under `entry`, as seen by the holder of claim `id`.
    #[must_use]
    pub fn status(&self, entry: &str, id: &str) -> ClaimStatus {
        let Some(claim) = self.claims.get(entry) else {
            return ClaimStatus::Free;
        };
        match &claim.state {
            ClaimState::Done(result) => ClaimStatus::Done(result.clone()),
            ClaimState::DoneNotKept => ClaimStatus::DoneNotKept,
            ClaimState::Held if claim.id == id => ClaimStatus::Ours,
            ClaimState::Held => ClaimStatus::Held,
        }
    }

    /// Applies one edit and returns the status after it; an edit that does not fit the current
    /// status changes nothing.
    ///
    /// Invariant: another holder's claim is never replaced, and a stored result never changes.
    pub fn apply(&mut self, edit: &ClaimEdit) -> ClaimStatus {
        let status = self.status(&edit.entry, &edit.id);
        match (&edit.change, status) {
            (ClaimChange::Take, ClaimStatus::Free) => {
                self.put(edit, ClaimState::Held);
                ClaimStatus::Ours
            }
            (ClaimChange::Finish(state), ClaimStatus::Ours) => {
                self.put(edit, state.clone());
                self.status(&edit.entry, &edit.id)
            }
            (ClaimChange::Release, ClaimStatus::Ours) => {
                self.claims.remove(&edit.entry);
                ClaimStatus::Free
            }
            (_, status) => status,
        }
    }

    /// Number of claims in the slot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the slot has no claims.
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

/// A change of one claim in a slot.
#[derives::value]
pub struct ClaimEdit {
    /// Name of the claim's entry in the slot's value.
    pub entry: String,
    /// Id of the claim.
    pub id: String,
    /// The change.
    pub change: ClaimChange,
}

/// Kind of change to a claim.
#[derives::value]
pub enum ClaimChange {
    /// Claims the key if it is free.
    Take,
    /// Stores the result of the call, if the holder still has the claim.
    Finish(ClaimState),
    /// Releases a claim under which nothing was sent.
    Release,
}
