//! What an entry instance asks of a steward, and the answers.

use crate::ids::{AccountId, EndpointId, Millis, OwnerId, RequestId};
use crate::outcome::Refusal;
use crate::poison::Fingerprint;
use crate::prefix::PromptPrefix;

/// A grant, unique to its steward's life.
#[derives::tag]
pub struct GrantId(pub u64);

/// An ask that waits in the steward's queue.
#[derives::tag]
pub struct TicketId(pub u64);

/// Short requests never queue behind long ones.
#[derives::tag]
pub enum WorkClass {
    /// Served on any endpoint of the pool.
    Short,
    /// Confined to the long lane.
    Long,
}

/// How soon an engine reads a prompt; higher ones go first, so that a prompt waits only for those
/// that are about as short or shorter.
#[derives::tag]
pub struct ReadPriority(usize);

/// Number of priorities.
pub(super) const READ_PRIORITIES: usize = 4;

/// Each priority's prompts are this many times as long as the next higher one's.
const PRIORITY_FACTOR: u64 = 4;

impl ReadPriority {
    /// The priority of a prompt where those up to `long_tokens` are short.
    #[must_use]
    pub fn new(prompt_tokens: u64, long_tokens: u64) -> Self {
        let mut bound = long_tokens;
        let mut level = READ_PRIORITIES - 1;
        while level > 0 && prompt_tokens > bound {
            bound = bound.saturating_mul(PRIORITY_FACTOR);
            level -= 1;
        }
        Self(level)
    }

    /// The priority of this level, or the highest there is.
    #[must_use]
    pub fn with_level(level: usize) -> Self {
        Self(level.min(READ_PRIORITIES - 1))
    }

    /// One level higher, for a prompt that has waited long.
    #[must_use]
    pub fn raised(self) -> Self {
        Self((self.0 + 1).min(READ_PRIORITIES - 1))
    }

    /// The priority as engines take it.
    #[must_use]
    pub fn level(self) -> usize {
        self.0
    }
}

/// Whether a request may run beside others.
#[derives::tag]
pub enum Sharing {
    /// It may.
    Shared,
    /// It may not: it is suspected of crashing endpoints.
    Alone,
}

/// Whether an owner may still hold what it was granted.
#[derives::tag]
pub enum OwnerVerdict {
    /// It lives.
    Live,
    /// It has not been heard of; it may be cut off rather than dead.
    Lost,
    /// Its life has certainly ended.
    Gone,
}

/// One request's ask for an endpoint.
#[derives::value]
pub struct GrantAsk {
    /// The life of the instance that asks.
    pub owner: OwnerId,
    /// The request.
    pub request: RequestId,
    /// Hash of its content and account.
    pub fingerprint: Fingerprint,
    /// Its client account.
    pub account: AccountId,
    /// The account's share relative to others.
    pub weight: u32,
    /// The model that it asks for.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Bound on generated tokens.
    pub output_tokens: u64,
    /// The prompt's prefixes, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Milliseconds until the request's deadline.
    pub time_left: Millis,
    /// Whether it may run beside others.
    pub sharing: Sharing,
    /// Endpoints that this request has tried in vain.
    pub excluded: Vec<EndpointId>,
}

impl GrantAsk {
    /// Key-value cache tokens that the request can come to hold.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// Memory reserved on one endpoint.
#[derives::value]
pub struct GrantPart {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Tokens reserved on it.
    pub tokens: u64,
}

/// Leave to run a request: on its first endpoint, with memory on all of them.
#[derives::value]
pub struct Grant {
    /// The grant's id, by which it is released.
    pub id: GrantId,
    /// The request.
    pub request: RequestId,
    /// Who holds it.
    pub owner: OwnerId,
    /// The lead endpoint first; more than one where the prompt needs more memory than one has.
    pub parts: Vec<GrantPart>,
    /// The priority with which the lead endpoint is to read the prompt.
    pub priority: ReadPriority,
    /// Milliseconds until the first token is expected.
    pub expected_first_token: Millis,
}

impl Grant {
    /// The endpoint that runs the stream.
    ///
    /// # Panics
    ///
    /// When the grant has no parts, which no steward hands out.
    #[must_use]
    pub fn lead(&self) -> &EndpointId {
        &self
            .parts
            .first()
            .expect("a grant has at least one part")
            .endpoint
    }
}

/// The steward's answer.
#[derives::value]
pub enum GrantDecision {
    /// Run it now.
    Granted(Grant),
    /// It waits; the decision will follow under this ticket.
    Queued(TicketId),
    /// It cannot be served.
    Refused(Refusal),
}
