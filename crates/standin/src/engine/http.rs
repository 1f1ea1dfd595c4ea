//! HTTP interface of the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};

use super::state::{EngineFaults, EngineStandin, MemoryRecord, StreamRecord};
use super::stream::{StreamPlan, frames};
use super::text::{CRASH_MARKER, prompt_hash};
use crate::serve::{RunningStandin, StandinError, bind, delay, wait_while};
use crate::service::CRASH_EXIT_CODE;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Tokens to generate when the request body has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

impl EngineStandin {
    /// Starts an HTTP server on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(&self, address: SocketAddr) -> Result<RunningStandin, StandinError> {
        let (listener, address) = bind(address)?;
        let engine = self.clone();
        let server = HttpServer::new(async move || {
            App::new()
                .state(engine.clone())
                .state(types::PayloadConfig::new(MAX_BODY_BYTES))
                .service((
                    web::resource("/v1/completions").route(web::post().to(open_stream)),
                    web::resource("/v1/chat/completions").route(web::post().to(open_stream)),
                    web::resource("/v1/streams").route(web::get().to(list_streams)),
                    web::resource("/v1/streams/{attempt}").route(web::delete().to(cancel_stream)),
                    web::resource("/v1/memory/{attempt}")
                        .route(web::put().to(import_memory))
                        .route(web::delete().to(release_memory)),
                    web::resource("/v1/report").route(web::get().to(report)),
                    web::resource("/v1/cache/events").route(web::get().to(cache_events)),
                    web::resource("/v1/orders")
                        .route(web::post().to(order_model))
                        .route(web::get().to(read_orders)),
                    web::resource("/faults").route(web::post().to(set_faults)),
                ))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(RunningStandin { address, server })
    }
}

type Engine = types::State<EngineStandin>;

#[derive(serde::Deserialize)]
struct CompletionRequest<'a> {
    #[serde(borrow, default)]
    prompt: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    messages: Option<&'a serde_json::value::RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

impl CompletionRequest<'_> {
    fn text(&self) -> &str {
        match (&self.prompt, self.messages) {
            (Some(prompt), _) => prompt,
            (None, Some(messages)) => messages.get(),
            (None, None) => "",
        }
    }
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

async fn wait_while_frozen(engine: &EngineStandin) {
    wait_while(|| engine.state.lock().faults.frozen).await;
}

async fn open_stream(engine: Engine, request: HttpRequest, body: Bytes) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let Ok(completion) = serde_json::from_slice::<CompletionRequest<'_>>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if completion.text().contains(CRASH_MARKER) {
        std::process::exit(CRASH_EXIT_CODE);
    }
    let prompt_tokens = completion.text().len() as u64 / 4;
    let attempt = header(&request, "x-attempt").to_owned();
    let record = StreamRecord {
        owner: header(&request, "x-owner").to_owned(),
        tokens: header(&request, "x-memory-tokens").parse().unwrap_or(0),
        generation: 0,
    };
    if !engine.state.lock().serves(header(&request, "x-model")) {
        return HttpResponse::TooManyRequests().finish();
    }
    let Some(generation) = admit(&engine, &attempt, record) else {
        return HttpResponse::TooManyRequests().finish();
    };
    let (prefill_rate, token_time) = {
        let mut state = engine.state.lock();
        state.publish(prompt_hash(completion.text()));
        (state.options.prefill_rate, state.options.token_time)
    };
    let plan = StreamPlan {
        attempt,
        prompt_hash: prompt_hash(completion.text()),
        prefill: Duration::from_millis(prompt_tokens * 1_000 / prefill_rate.max(1)),
        token_time,
        offset: header(&request, "x-offset").parse().unwrap_or(0),
        tokens: completion.max_tokens.unwrap_or(DEFAULT_TOKENS),
        generation,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(frames(engine.get_ref().clone(), plan))
}

fn admit(engine: &EngineStandin, attempt: &str, mut record: StreamRecord) -> Option<u64> {
    let mut state = engine.state.lock();
    if state.faults.refuse_streams > 0 {
        state.faults.refuse_streams -= 1;
        return None;
    }
    let is_full = state.streams.len() >= state.options.slots;
    if is_full || state.used_tokens() + record.tokens > state.options.memory_tokens {
        return None;
    }
    state.opened += 1;
    record.generation = state.generation;
    state.streams.insert(attempt.to_owned(), record);
    Some(state.generation)
}

async fn list_streams(engine: Engine) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let state = engine.state.lock();
    let entry = |attempt: &String, owner: &String, tokens: u64| serde_json::json!({ "attempt": attempt, "owner": owner, "tokens": tokens });
    let streams: Vec<_> = state
        .streams
        .iter()
        .map(|(attempt, stream)| entry(attempt, &stream.owner, stream.tokens))
        .collect();
    let memory: Vec<_> = state
        .memory
        .iter()
        .map(|(attempt, memory)| entry(attempt, &memory.owner, memory.tokens))
        .collect();
    HttpResponse::Ok().json(&serde_json::json!({ "streams": streams, "memory": memory }))
}

fn empty_response() -> HttpResponse {
    HttpResponse::Ok().json(&serde_json::json!({}))
}

async fn cancel_stream(engine: Engine, attempt: types::Path<String>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    engine.state.lock().streams.remove(attempt.as_str());
    empty_response()
}

#[derives::wire]
struct MemoryRequest {
    owner: String,
    tokens: u64,
}

async fn import_memory(
    engine: Engine,
    attempt: types::Path<String>,
    request: types::Json<MemoryRequest>,
) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let mut state = engine.state.lock();
    if state.used_tokens() + request.tokens > state.options.memory_tokens {
        return HttpResponse::TooManyRequests().finish();
    }
    let record = MemoryRecord {
        owner: request.owner.clone(),
        tokens: request.tokens,
    };
    state.memory.insert(attempt.into_inner(), record);
    empty_response()
}

async fn release_memory(engine: Engine, attempt: types::Path<String>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    engine.state.lock().memory.remove(attempt.as_str());
    empty_response()
}

async fn report(engine: Engine) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let state = engine.state.lock();
    let uptime = u64::try_from(state.started.elapsed().as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok().json(&serde_json::json!({
        "uptime_ms": uptime,
        "model": state.model,
        "running": state.streams.len(),
        "used_tokens": state.used_tokens(),
    }))
}

#[derives::wire]
struct CacheQuery {
    after: u64,
}

async fn cache_events(engine: Engine, query: types::Query<CacheQuery>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let state = engine.state.lock();
    let published = state.cache.len().saturating_sub(state.faults.cache_lag);
    let gap = state.faults.cache_gap;
    let events: Vec<_> = state
        .cache
        .iter()
        .take(published)
        .filter(|(number, _)| *number > query.after && (gap == 0 || number % gap != 0))
        .map(|(_, hash)| serde_json::json!({ "hash": hash, "stored": true }))
        .collect();
    let newest = state
        .cache
        .iter()
        .take(published)
        .next_back()
        .map_or(query.after, |(number, _)| *number);
    HttpResponse::Ok().json(&serde_json::json!({ "newest": newest, "events": events }))
}

#[derives::wire]
struct OrderRequest {
    fencing: u64,
    model: String,
}

async fn order_model(engine: Engine, order: types::Json<OrderRequest>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let (answer, answer_delay) = {
        let mut state = engine.state.lock();
        let answer = if state.options.checks_fencing && order.fencing < state.highest_fencing {
            "fenced"
        } else if state.used_tokens() > 0 && state.model != order.model {
            "busy"
        } else {
            state.highest_fencing = state.highest_fencing.max(order.fencing);
            state.model.clone_from(&order.model);
            state.orders.push((order.fencing, order.model.clone()));
            "taken"
        };
        (answer, state.faults.order_ms)
    };
    delay(Duration::from_millis(answer_delay)).await;
    HttpResponse::Ok().json(&answer)
}

async fn read_orders(engine: Engine) -> HttpResponse {
    HttpResponse::Ok().json(&engine.state.lock().orders)
}

async fn set_faults(engine: Engine, faults: types::Json<EngineFaults>) -> HttpResponse {
    engine.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}
