//! Routes and handlers of the callers' HTTP interface.

use std::rc::Rc;

use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use tokio::time::Instant;

use crate::body::read_body;
use crate::completion::complete;
use crate::gateway::{CallerGateway, CompletionKind, Readiness};
use crate::service_call::call;

/// Limits on the size and the transfer time of callers' requests.
#[derives::value]
pub struct CallerLimits {
    /// Largest accepted body, in bytes.
    pub body_bytes: usize,
    /// Largest accepted request head (the path and all headers), in bytes.
    pub header_bytes: usize,
    /// Time within which the complete body must arrive, in milliseconds.
    pub body_ms: u64,
}

/// State shared by the handlers of one worker thread.
struct CallerState {
    gateway: Rc<dyn CallerGateway>,
    limits: CallerLimits,
}

/// Registers the callers' routes with an application; `gateway` serves the requests.
pub fn configure(config: &mut ServiceConfig, gateway: Rc<dyn CallerGateway>, limits: CallerLimits) {
    config.state(CallerState { gateway, limits }).service((
        web::resource("/v1/completions").route(web::post().to(text_completion)),
        web::resource("/v1/chat/completions").route(web::post().to(chat_completion)),
        web::resource("/services/{path}*").route(web::route().to(service_call)),
        web::resource("/ready").route(web::get().to(ready)),
        web::resource("/live").route(web::get().to(live)),
        web::resource("/metrics").route(web::get().to(metrics)),
    ));
}

type SharedState = State<CallerState>;

async fn text_completion(
    state: SharedState,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    serve_completion(&state, CompletionKind::Text, &request, payload).await
}

async fn chat_completion(
    state: SharedState,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    serve_completion(&state, CompletionKind::Chat, &request, payload).await
}

async fn serve_completion(
    state: &CallerState,
    kind: CompletionKind,
    request: &HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let arrived = Instant::now();
    let body = read_body(request, payload, &state.limits).await;
    complete(&*state.gateway, kind, request, body, arrived).await
}

async fn service_call(state: SharedState, request: HttpRequest, payload: Payload) -> HttpResponse {
    let arrived = Instant::now();
    let body = read_body(&request, payload, &state.limits).await;
    call(&*state.gateway, &request, body, arrived).await
}

async fn ready(state: SharedState) -> HttpResponse {
    match state.gateway.readiness() {
        Readiness::Ready => HttpResponse::Ok().body("ready\n"),
        Readiness::NotReady => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn metrics(state: SharedState) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(state.gateway.metrics())
}
