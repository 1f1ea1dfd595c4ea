//! HTTP interface for callers: completions, chat completions and calls of plain services.

mod answer;
mod body;
mod completion;
mod gateway;
mod refusal;
mod routes;
mod service_call;

pub use gateway::{
    AnswerPart, AnswerStream, ApiKeyDigest, CallAnswer, CallRequest, CallerGateway, CompletionKind,
    CompletionRequest, Readiness,
};
pub use routes::{CallerLimits, configure};
