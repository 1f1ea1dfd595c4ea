//! What is asked of a dispatch board and what it answers.

use std::net::SocketAddr;

use crate::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use crate::outcome::{Refusal, RetryReason};
use crate::poison::Fingerprint;

/// One ask of one owner; owners number their asks themselves.
#[derives::tag]
pub struct RunKey {
    /// The session of the instance that asked, numbered by the board's keeper; zero is the
    /// board's own instance.
    pub owner: u64,
    /// Number of the ask, unique for its owner.
    pub ask: u64,
}

impl RunKey {
    /// Names ask number `ask` of `owner`.
    #[must_use]
    pub fn new(owner: u64, ask: u64) -> Self {
        Self { owner, ask }
    }
}

/// Which endpoints an ask may be placed on.
#[derives::value]
pub enum AskReach {
    /// All of the pool.
    Fleet,
    /// Those of one failure domain, while it has any that can serve.
    Domain(DomainId),
}

/// A request for a place on the engines of a pool.
#[derives::value]
pub struct WorkAsk {
    /// The pool.
    pub pool: PoolId,
    /// The client account.
    pub account: AccountId,
    /// Which endpoints may be used.
    pub reach: AskReach,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub output_tokens: u64,
    /// Time that the request has waited already, over all its attempts.
    pub waited: Millis,
    /// Aim for the first event, counted from the request's arrival.
    pub first_event_aim: Millis,
    /// Aim for the longest pause between two events.
    pub pause_aim: Millis,
    /// Time left until the caller or the route gives up.
    pub time_left: Millis,
    /// Why this is not the request's first attempt, if it is not.
    pub retry: Option<RetryReason>,
    /// Endpoints that this request has failed on.
    pub excluded: Vec<EndpointId>,
    /// Failure domain of the caller's instance, if the board's keeper knows it.
    pub home: Option<DomainId>,
    /// Hash of the request's content and account, the same each time that it comes.
    pub fingerprint: Fingerprint,
}

/// An endpoint and where it listens.
#[derives::value]
pub struct EndpointPlace {
    /// Its incarnation's name.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An engine that reads a part of a prompt for another.
#[derives::value]
pub struct HelperPlace {
    /// The engine.
    pub place: EndpointPlace,
    /// Tokens of its memory that are to be reserved for the prompt; zero for none.
    pub reserved_tokens: u64,
}

/// A place on the engines of a pool.
#[derives::value]
pub struct WorkGrant {
    /// The engine that gets the request and writes its answer.
    pub host: EndpointPlace,
    /// Engines that read parts of the prompt. Those with reserved memory come first.
    pub helpers: Vec<HelperPlace>,
    /// Time until the first event is expected.
    pub expected_first: Millis,
}

/// What became of an ask.
#[derives::value]
pub enum WorkVerdict {
    /// It has a place.
    Granted(WorkGrant),
    /// It cannot be served in time.
    Refused(Refusal),
}

/// How a granted run ended, as seen by the instance that sent it.
#[derives::tag]
pub enum RunEnd {
    /// The whole answer came, or the caller left while it was coming.
    Served,
    /// The caller left before anything came.
    CallerLeft,
    /// No connection could be made; nothing was sent. With an endpoint at fault: the host could not
    /// reach that helper, and has not run the request.
    NotConnected,
    /// The endpoint refused before it started the run, or refused to reserve memory for it.
    Refused,
    /// The endpoint broke off, or answered something that is not an answer.
    Broken,
    /// The endpoint was silent for longer than it should have been.
    Silent,
    /// The endpoint answered with a failure of its own.
    Failed,
}

/// The end of a run.
#[derives::value]
pub struct RunReport {
    /// How it ended.
    pub end: RunEnd,
    /// Address of the endpoint at fault, if it is not the host.
    pub at_fault: Option<SocketAddr>,
}

impl RunReport {
    /// A run that ended so, with no fault but the host's.
    #[must_use]
    pub fn new(end: RunEnd) -> Self {
        Self {
            end,
            at_fault: None,
        }
    }

    /// Names the endpoint at fault.
    #[must_use]
    pub fn with_fault_at(mut self, address: Option<SocketAddr>) -> Self {
        self.at_fault = address;
        self
    }
}

/// Whether an endpoint takes new work.
#[derives::tag]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is leaving: what runs on it may end there.
    Leaving,
}

/// What is known of an endpoint from the platform.
#[derives::value]
pub struct EndpointFacts {
    /// Its incarnation's name and address.
    pub place: EndpointPlace,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it takes new work.
    pub state: EndpointState,
}

/// An engine of a run that is held.
#[derives::value]
pub struct HeldPlace {
    /// The engine.
    pub endpoint: EndpointId,
    /// Tokens of its memory that are reserved for the prompt, on a helper.
    pub reserved_tokens: u64,
}

/// A run that an instance holds when it joins a board.
#[derives::value]
pub struct HeldRun {
    /// Number of its ask.
    pub ask: u64,
    /// What was asked.
    pub work: WorkAsk,
    /// The host and the helpers.
    pub places: Vec<HeldPlace>,
    /// Whether its first event has come.
    pub phase: RunPhase,
}

/// How far a run is.
#[derives::tag]
pub enum RunPhase {
    /// The prompt is being read.
    Reading,
    /// The answer is being written.
    Writing,
}
