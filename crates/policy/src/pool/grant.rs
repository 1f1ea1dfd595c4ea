//! Grant requests of entry instances to a pool's steward, and the decisions on them.

use crate::ids::{AccountId, EndpointId, Millis, OwnerId, RequestId};
use crate::outcome::Refusal;
use crate::poison::Fingerprint;
use crate::prefix::PromptPrefix;

/// Id of a grant, unique within one incarnation of the steward.
#[derives::tag]
pub struct GrantId(pub u64);

/// Id of a grant request that waits in the steward's queue.
#[derives::tag]
pub struct TicketId(pub u64);

/// Length class of a request; short requests never queue behind long ones.
#[derives::tag]
pub enum WorkClass {
    /// Runs on any endpoint of the pool.
    Short,
    /// Runs on the endpoints of the long lane only.
    Long,
}

/// Priority of a prompt's prefill on an engine.
///
/// Engines process higher priorities first, and shorter prompts have higher priorities, so that a
/// prompt waits only for prompts of about its own length or less.
#[derives::tag]
pub struct PrefillPriority(usize);

/// Number of prefill priorities.
pub(super) const PREFILL_PRIORITIES: usize = 4;

/// Factor between the prompt length bounds of a priority and of the next higher one.
const PRIORITY_FACTOR: u64 = 4;

impl PrefillPriority {
    /// The priority of a prompt; prompts of up to `long_tokens` get the highest one.
    #[must_use]
    pub fn new(prompt_tokens: u64, long_tokens: u64) -> Self {
        let mut bound = long_tokens;
        let mut level = PREFILL_PRIORITIES - 1;
        while level > 0 && prompt_tokens > bound {
            bound = bound.saturating_mul(PRIORITY_FACTOR);
            level -= 1;
        }
        Self(level)
    }

    /// The priority with this level; levels above the highest are clamped to it.
    #[must_use]
    pub fn with_level(level: usize) -> Self {
        Self(level.min(PREFILL_PRIORITIES - 1))
    }

    /// The next higher priority, for a prompt that has waited long.
    #[must_use]
    pub fn raised(self) -> Self {
        Self((self.0 + 1).min(PREFILL_PRIORITIES - 1))
    }

    /// The level that is sent to engines; higher levels are prefilled first.
    #[must_use]
    pub fn level(self) -> usize {
        self.0
    }
}

/// Whether a request may share its endpoint with other requests.
#[derives::tag]
pub enum Sharing {
    /// The request may run beside others.
    Shared,
    /// The request runs by itself because it is suspected of crashing endpoints.
    Exclusive,
}

/// Whether an owner may still hold its grants.
#[derives::tag]
pub enum OwnerStatus {
    /// The owner is alive.
    Live,
    /// The owner is unreachable; it may be partitioned rather than dead.
    Lost,
    /// The owner's incarnation has certainly ended.
    Gone,
}

/// A request for memory and a slot on a pool's endpoints, made for one attempt.
#[derives::value]
pub struct GrantRequest {
    /// The instance, with its incarnation, that holds the grant.
    pub owner: OwnerId,
    /// Id of the client's request.
    pub request_id: RequestId,
    /// Hash of the request's content and account.
    pub fingerprint: Fingerprint,
    /// The client account.
    pub account: AccountId,
    /// The account's share of the pool relative to other accounts.
    pub weight: u32,
    /// The requested model.
    pub model: String,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Upper bound on generated tokens.
    pub output_tokens: u64,
    /// The prompt's prefixes, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Milliseconds until the request's deadline.
    pub time_left: Millis,
    /// Whether the request may run beside others.
    pub sharing: Sharing,
    /// Endpoints on which earlier attempts of the request failed.
    pub excluded: Vec<EndpointId>,
}

impl GrantRequest {
    /// Most key-value cache tokens that the request can occupy: prompt and generated tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// Key-value cache memory reserved on one endpoint.
#[derives::value]
pub struct GrantPart {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Tokens reserved on the endpoint.
    pub tokens: u64,
}

/// Permission to run a request on the primary endpoint, with memory reserved on every part's
/// endpoint.
#[derives::value]
pub struct Grant {
    /// Id by which the grant is released.
    pub id: GrantId,
    /// Id of the client's request.
    pub request_id: RequestId,
    /// The owner of the grant.
    pub owner: OwnerId,
    /// Reserved memory, the primary endpoint first. There is more than one part only if no single
    /// endpoint has enough memory for the request.
    pub parts: Vec<GrantPart>,
    /// Priority of the prefill on the primary endpoint.
    pub priority: PrefillPriority,
    /// Expected milliseconds until the first token.
    pub expected_first_token: Millis,
}

impl Grant {
    /// The primary endpoint, which runs the stream.
    ///
    /// # Panics
    ///
    /// If the grant has no parts; a steward never issues such a grant.
    #[must_use]
    pub fn primary(&self) -> &EndpointId {
        &self
            .parts
            .first()
            .expect("a grant has at least one part")
            .endpoint
    }
}

/// The steward's decision on a grant request.
#[derives::value]
pub enum GrantDecision {
    /// The request may run now.
    Granted(Grant),
    /// The request waits; its decision follows later under this ticket.
    Queued(TicketId),
    /// The request cannot be served.
    Refused(Refusal),
}
