//! The engine's HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};

use super::state::{EngineFaults, EngineStandin, MemoryRecord, StreamRecord};
use super::stream::{StreamPlan, frames};
use super::text::{CRASH_MARK, prompt_hash};
use crate::serve::{RunningStandin, StandinError, bind, hold_while, pause};
use crate::service::DEATH_EXIT;

/// Largest prompt body.
const BODY_LIMIT: usize = 64 * 1_024 * 1_024;

/// Tokens generated where the body names no bound.
const DEFAULT_TOKENS: u64 = 16;

impl EngineStandin {
    /// Serves on `address`.
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
                .state(types::PayloadConfig::new(BODY_LIMIT))
                .service((
                    web::resource("/v1/completions").route(web::post().to(open_stream)),
                    web::resource("/v1/chat/completions").route(web::post().to(open_stream)),
                    web::resource("/v1/streams").route(web::get().to(listing)),
                    web::resource("/v1/streams/{attempt}").route(web::delete().to(cancel)),
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
struct PromptForm<'a> {
    #[serde(borrow, default)]
    prompt: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    messages: Option<&'a serde_json::value::RawValue>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

impl PromptForm<'_> {
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
    hold_while(|| engine.table.lock().faults.frozen).await;
}

async fn open_stream(engine: Engine, request: HttpRequest, body: Bytes) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let Ok(form) = serde_json::from_slice::<PromptForm<'_>>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if form.text().contains(CRASH_MARK) {
        std::process::exit(DEATH_EXIT);
    }
    let prompt_tokens = form.text().len() as u64 / 4;
    let attempt = header(&request, "x-attempt").to_owned();
    let record = StreamRecord {
        owner: header(&request, "x-owner").to_owned(),
        tokens: header(&request, "x-memory-tokens").parse().unwrap_or(0),
        generation: 0,
    };
    if !engine.table.lock().serves(header(&request, "x-model")) {
        return HttpResponse::TooManyRequests().finish();
    }
    let Some(generation) = admit(&engine, &attempt, record) else {
        return HttpResponse::TooManyRequests().finish();
    };
    let (prefill_rate, token_time) = {
        let mut table = engine.table.lock();
        table.publish(prompt_hash(form.text()));
        (table.options.prefill_rate, table.options.token_time)
    };
    let plan = StreamPlan {
        attempt,
        prompt_hash: prompt_hash(form.text()),
        prefill: Duration::from_millis(prompt_tokens * 1_000 / prefill_rate.max(1)),
        token_time,
        offset: header(&request, "x-offset").parse().unwrap_or(0),
        tokens: form.max_tokens.unwrap_or(DEFAULT_TOKENS),
        generation,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(frames(engine.get_ref().clone(), plan))
}

fn admit(engine: &EngineStandin, attempt: &str, mut record: StreamRecord) -> Option<u64> {
    let mut table = engine.table.lock();
    if table.faults.refuse_streams > 0 {
        table.faults.refuse_streams -= 1;
        return None;
    }
    let is_full = table.streams.len() >= table.options.slots;
    if is_full || table.used_tokens() + record.tokens > table.options.memory_tokens {
        return None;
    }
    table.opened += 1;
    record.generation = table.generation;
    table.streams.insert(attempt.to_owned(), record);
    Some(table.generation)
}

async fn listing(engine: Engine) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let table = engine.table.lock();
    let row = |attempt: &String, owner: &String, tokens: u64| serde_json::json!({ "attempt": attempt, "owner": owner, "tokens": tokens });
    let streams: Vec<_> = table
        .streams
        .iter()
        .map(|(attempt, stream)| row(attempt, &stream.owner, stream.tokens))
        .collect();
    let memory: Vec<_> = table
        .memory
        .iter()
        .map(|(attempt, memory)| row(attempt, &memory.owner, memory.tokens))
        .collect();
    HttpResponse::Ok().json(&serde_json::json!({ "streams": streams, "memory": memory }))
}

fn done() -> HttpResponse {
    HttpResponse::Ok().json(&serde_json::json!({}))
}

async fn cancel(engine: Engine, attempt: types::Path<String>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    engine.table.lock().streams.remove(attempt.as_str());
    done()
}

#[derives::wire]
struct MemoryForm {
    owner: String,
    tokens: u64,
}

async fn import_memory(
    engine: Engine,
    attempt: types::Path<String>,
    form: types::Json<MemoryForm>,
) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let mut table = engine.table.lock();
    if table.used_tokens() + form.tokens > table.options.memory_tokens {
        return HttpResponse::TooManyRequests().finish();
    }
    let record = MemoryRecord {
        owner: form.owner.clone(),
        tokens: form.tokens,
    };
    table.memory.insert(attempt.into_inner(), record);
    done()
}

async fn release_memory(engine: Engine, attempt: types::Path<String>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    engine.table.lock().memory.remove(attempt.as_str());
    done()
}

async fn report(engine: Engine) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let table = engine.table.lock();
    let uptime = u64::try_from(table.started.elapsed().as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok().json(&serde_json::json!({
        "uptime_ms": uptime,
        "model": table.model,
        "running": table.streams.len(),
        "used_tokens": table.used_tokens(),
    }))
}

#[derives::wire]
struct CacheQuery {
    after: u64,
}

async fn cache_events(engine: Engine, query: types::Query<CacheQuery>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let table = engine.table.lock();
    let published = table.cache.len().saturating_sub(table.faults.cache_lag);
    let gap = table.faults.cache_gap;
    let events: Vec<_> = table
        .cache
        .iter()
        .take(published)
        .filter(|(number, _)| *number > query.after && (gap == 0 || number % gap != 0))
        .map(|(_, hash)| serde_json::json!({ "hash": hash, "stored": true }))
        .collect();
    let newest = table
        .cache
        .iter()
        .take(published)
        .next_back()
        .map_or(query.after, |(number, _)| *number);
    HttpResponse::Ok().json(&serde_json::json!({ "newest": newest, "events": events }))
}

#[derives::wire]
struct OrderForm {
    fencing: u64,
    model: String,
}

async fn order_model(engine: Engine, form: types::Json<OrderForm>) -> HttpResponse {
    wait_while_frozen(&engine).await;
    let (answer, wait) = {
        let mut table = engine.table.lock();
        let answer = if table.options.checks_fencing && form.fencing < table.fencing {
            "fenced"
        } else if table.used_tokens() > 0 && table.model != form.model {
            "busy"
        } else {
            table.fencing = table.fencing.max(form.fencing);
            table.model.clone_from(&form.model);
            table.orders.push((form.fencing, form.model.clone()));
            "taken"
        };
        (answer, table.faults.order_ms)
    };
    pause(Duration::from_millis(wait)).await;
    HttpResponse::Ok().json(&answer)
}

async fn read_orders(engine: Engine) -> HttpResponse {
    HttpResponse::Ok().json(&engine.table.lock().orders)
}

async fn set_faults(engine: Engine, faults: types::Json<EngineFaults>) -> HttpResponse {
    engine.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}
