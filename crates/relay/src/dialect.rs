//! Metadata of requests and answers, independent of the header names that a deployment uses.

use std::net::SocketAddr;

use ntex::http::header::HeaderName;
use ntex::http::{HeaderMap, StatusCode};
use policy::ids::{AccountId, EndpointId, Millis};
use policy::prompt_part::PromptPart;
use policy::rate_limit::RequestRate;

use crate::connections::ConnectionAge;

/// Sizes of a prompt and its answer, as stated by the caller.
#[derives::value]
pub struct PromptSize {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Largest number of tokens in the answer.
    pub output_tokens: u64,
}

/// Metadata of a caller's request.
#[derives::value]
pub struct CallerHead {
    /// Id that the caller gave this attempt; empty if there is none.
    pub request_id: String,
    /// Time until the caller gives up, in milliseconds; `None` if not stated.
    pub time_left: Option<Millis>,
    /// API key of the client account.
    pub key: Option<String>,
    /// Sizes, for requests to model engines.
    pub prompt: Option<PromptSize>,
    /// Parts of the prompt that other requests may share, in the order of the prompt.
    pub shared_parts: Vec<PromptPart>,
    /// Id of the last event that the caller has received; the answer resumes after it.
    pub resume_after: Option<String>,
}

/// An engine that prefills a part of a prompt.
#[derives::value]
pub struct ForwardHelper {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Id of the memory reservation on the engine; `None` if no memory is reserved.
    pub reservation: Option<String>,
}

/// Metadata that an endpoint receives with the caller's request.
#[derive(Debug, Clone)]
pub struct ForwardHead<'a> {
    /// The endpoint that may run the request; any other has to refuse it.
    pub endpoint: &'a EndpointId,
    /// Time until the deadline, in milliseconds.
    pub time_left: Millis,
    /// Client account; `None` on routes that are open to anyone.
    pub account: Option<&'a AccountId>,
    /// Engines that prefill parts of the prompt.
    pub helpers: &'a [ForwardHelper],
    /// Id of the last event that the caller has received.
    pub resume_after: Option<&'a str>,
}

/// Whether an answer states that the endpoint did not run the request.
#[derives::tag]
pub enum RunStatement {
    /// The endpoint states that it did not run the request.
    NotRun,
    /// The endpoint makes no such statement.
    Unstated,
}

/// Metadata of an endpoint's answer.
#[derives::value]
pub struct AnswerHead {
    /// Id of the answered request.
    pub request_id: Option<String>,
    /// Whether the endpoint signed the answer.
    pub signed: AnswerSignature,
    /// Whether the endpoint states that the request did not run.
    pub statement: RunStatement,
    /// Address of the endpoint at fault, if it is not the one that answers.
    pub at_fault: Option<SocketAddr>,
    /// Requests a second that the endpoint accepts from all instances together; `None` if it names
    /// no limit.
    pub rate_limit: Option<RequestRate>,
    /// How much longer the endpoint stays cold, in milliseconds; `None` if it says nothing of it.
    pub cold_left: Option<Millis>,
    /// Time for which the endpoint wants no requests from this instance, in milliseconds, if it
    /// refuses the request and states one.
    pub retry_after: Option<Millis>,
    /// Whether the endpoint accepts no new requests because it leaves.
    pub leaving: LeavingStatement,
}

impl AnswerHead {
    /// Whether the answer names the request `id`, which is empty if the caller gave none.
    #[must_use]
    pub fn names_request(&self, id: &str) -> bool {
        self.request_id.as_deref() == Some(id)
    }

    /// Whether the endpoint states that it did not run the request `id`. A statement that names no
    /// request may be of an earlier one on the same connection.
    #[must_use]
    pub fn refuses(&self, id: &str, connection: ConnectionAge) -> bool {
        let is_meant = match &self.request_id {
            Some(_) => self.names_request(id),
            None => connection == ConnectionAge::New,
        };
        is_meant && self.statement == RunStatement::NotRun
    }
}

/// Whether an endpoint says in an answer that it leaves.
#[derives::tag]
pub enum LeavingStatement {
    /// It accepts no new requests.
    Leaving,
    /// It says nothing of the kind.
    Unstated,
}

/// Whether an answer carries an endpoint's signature.
#[derives::tag]
pub enum AnswerSignature {
    /// The signature header is present.
    Signed,
    /// The signature header is missing.
    Unsigned,
}

/// Translates between HTTP headers and the metadata of requests and answers.
pub trait WireDialect {
    /// Reads the metadata of a caller's request.
    fn read_caller(&self, headers: &HeaderMap) -> CallerHead;

    /// Removes headers that are meant for the relay alone and adds those for the endpoint.
    fn write_forward(&self, headers: &mut HeaderMap, head: &ForwardHead<'_>);

    /// Reads the metadata of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Name of the header that carries the request id.
    fn request_header(&self) -> HeaderName;
}
