//! Messages between an instance and a dispatcher: placement requests, decisions and run reports.

use std::net::SocketAddr;

use crate::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use crate::outcome::{Refusal, RetryReason};
use crate::poison::Fingerprint;

/// Key of a placement request and of the run that it becomes.
///
/// Each owner numbers its own requests.
#[derives::tag]
pub struct RunKey {
    /// Session of the requesting instance, as numbered by the instance that runs the dispatcher;
    /// zero is that instance itself.
    pub owner: u64,
    /// Number of the request, unique per owner.
    pub number: u64,
}

impl RunKey {
    /// The key of request `number` of `owner`.
    #[must_use]
    pub fn new(owner: u64, number: u64) -> Self {
        Self { owner, number }
    }
}

/// Which endpoints a request may be placed on.
#[derives::value]
pub enum PlacementScope {
    /// All endpoints of the pool.
    Fleet,
    /// The endpoints of one failure domain, as long as any of them can serve; otherwise all
    /// endpoints of the pool.
    Domain(DomainId),
}

/// A request to place one attempt on the engines of a pool.
#[derives::value]
pub struct PlacementRequest {
    /// Pool whose engines serve the request.
    pub pool: PoolId,
    /// Client account of the caller.
    pub account: AccountId,
    /// Endpoints that the request may be placed on.
    pub scope: PlacementScope,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub output_tokens: u64,
    /// Time that the request has waited so far, over all its attempts.
    pub waited: Millis,
    /// Target for the time from the request's arrival to its first event.
    pub first_event_aim: Millis,
    /// Target for the longest pause between two events.
    pub pause_aim: Millis,
    /// Time left until the deadline of the caller or of the route.
    pub time_left: Millis,
    /// Why the previous attempt was retried; `None` for the first attempt.
    pub retry: Option<RetryReason>,
    /// Endpoints on which this request has failed before; it is not placed on them.
    pub excluded: Vec<EndpointId>,
    /// Failure domain of the instance that serves the caller, if the dispatcher's instance knows
    /// it.
    pub caller_domain: Option<DomainId>,
    /// Hash of the request's content and account, equal for every repetition of the request.
    pub fingerprint: Fingerprint,
}

/// An endpoint and its network address.
#[derives::value]
pub struct EndpointTarget {
    /// Identifier of this incarnation of the endpoint.
    pub endpoint: EndpointId,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// An engine that prefills a part of a prompt for the host of the run.
#[derives::value]
pub struct HelperGrant {
    /// The engine.
    pub target: EndpointTarget,
    /// Memory to reserve on it for the prompt, in tokens; zero if none is needed.
    pub reserved_tokens: u64,
}

/// The engines that a request has been placed on.
#[derives::value]
pub struct PlacementGrant {
    /// Engine that receives the request and decodes its answer.
    pub host: EndpointTarget,
    /// Engines that prefill parts of the prompt; those with reserved memory come first.
    pub helpers: Vec<HelperGrant>,
    /// Expected time until the first event.
    pub expected_first: Millis,
}

/// Decision on a placement request.
#[derives::value]
pub enum PlacementDecision {
    /// The request has been placed.
    Granted(PlacementGrant),
    /// The request cannot be served, or not in time.
    Refused(Refusal),
}

/// How a run ended, as seen by the instance that sent it to its host.
#[derives::tag]
pub enum RunOutcome {
    /// The whole answer arrived.
    Served,
    /// The caller disconnected before the answer was complete, or the request was withdrawn; this
    /// says nothing about the endpoint.
    CallerLeft,
    /// No connection could be made and nothing was sent. If the report names an endpoint at fault,
    /// the host could not connect to that helper and has not run the request.
    NotConnected,
    /// The instance has no path to the endpoint, and nothing was sent; this says nothing about the
    /// endpoint.
    NoPath,
    /// The endpoint refused the run before starting it, or refused to reserve memory for it.
    Refused,
    /// The endpoint closed the stream early, or sent something that is not a valid answer.
    Broken,
    /// The endpoint sent nothing for longer than the progress timeout.
    Silent,
    /// The endpoint answered with an error of its own.
    Failed,
}

/// Report of an instance on a run that ended.
#[derives::value]
pub struct RunReport {
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Address of the endpoint at fault; `None` means the host.
    pub at_fault: Option<SocketAddr>,
}

impl RunReport {
    /// A report that attributes any fault to the host.
    #[must_use]
    pub fn new(outcome: RunOutcome) -> Self {
        Self {
            outcome,
            at_fault: None,
        }
    }

    /// Sets the endpoint at fault; `None` means the host.
    #[must_use]
    pub fn with_fault_at(mut self, address: Option<SocketAddr>) -> Self {
        self.at_fault = address;
        self
    }
}

/// Whether an endpoint accepts new runs.
#[derives::tag]
pub enum EndpointState {
    /// The endpoint accepts new runs.
    Ready,
    /// The endpoint drains: it accepts no new runs and finishes those in flight.
    Leaving,
    /// The operator has evacuated the endpoint's failure domain: it gets no new runs until the
    /// evacuation is withdrawn, and finishes those in flight. Its failures meanwhile say nothing
    /// about it, since its machine may be stopped on purpose.
    Evacuated,
}

/// Whether an endpoint has just started.
#[derives::tag]
#[derive(Default)]
pub enum StartPhase {
    /// Its start was not seen, or says nothing of its speed.
    #[default]
    Settled,
    /// It was seen to start during traffic, at this time.
    StartedAt(Millis),
}

/// An endpoint as the platform describes it.
#[derives::value]
pub struct EndpointInfo {
    /// Identifier and address of this incarnation.
    pub target: EndpointTarget,
    /// Failure domain that the endpoint is in.
    pub domain: DomainId,
    /// Whether the endpoint accepts new runs.
    pub state: EndpointState,
    /// Whether the endpoint has just started.
    pub started: StartPhase,
}

/// An engine of a run in flight.
#[derives::value]
pub struct InFlightEndpoint {
    /// The engine.
    pub endpoint: EndpointId,
    /// Memory reserved on a helper for the prompt, in tokens; zero on the host.
    pub reserved_tokens: u64,
}

/// A run that an instance has in flight when it opens a session with a dispatcher.
#[derives::value]
pub struct InFlightRun {
    /// Number of the placement request, unique per owner.
    pub number: u64,
    /// The placement request.
    pub request: PlacementRequest,
    /// The host, followed by the helpers.
    pub endpoints: Vec<InFlightEndpoint>,
    /// Whether the first event has arrived.
    pub phase: RunPhase,
}

/// Progress of a run.
#[derives::tag]
pub enum RunPhase {
    /// The prompt is being prefilled: no event has arrived.
    Prefill,
    /// The answer is being decoded: the first event has arrived.
    Decode,
}
