//! The `demo` command: runs an entry instance and stand-ins of its backends in one process, sends
//! requests to the instance and checks the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use caller::ApiKeyDigest;
use entry::start_entry;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use futures::future::join_all;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use operator::ChangeDocumentRequest;
use policy::ids::{AccountId, TemplateId};
use policy::template::{AccountTemplate, ClientAccount, ConfigBody, Repeatability};
use serde_json::json;
use settings::{EntrySettings, parse_settings};
use standin::engine::{EngineOptions, EngineStandin, expected_text};
use standin::key_value::KeyValueStandin;
use standin::platform::{InstanceListStandin, WeightStandin};
use standin::service::ServiceStandin;
use transport::{ExchangeLimits, HttpClient};
use uuid::Uuid;

use crate::args::OperatorTarget;
use crate::client::send;

const API_KEY: &str = "demo-key";
const MODEL: &str = "dietary-advice";
const ENGINES: usize = 4;
const ANSWER_TOKENS: u64 = 24;
const BYTES_PER_TOKEN: usize = 4;

/// Prompt lengths in tokens, and the number of concurrent requests of each length.
const PROMPTS: [(usize, usize); 4] = [(1_000, 24), (10_000, 8), (100_000, 3), (900_000, 1)];

/// The stand-ins' addresses, and the service stand-in, whose executions the demo counts.
struct DemoBackends {
    engines: Vec<SocketAddr>,
    service: ServiceStandin,
    service_address: SocketAddr,
    key_value: SocketAddr,
    instances: SocketAddr,
    weights: SocketAddr,
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if the instance or a stand-in cannot start, a request fails, an answer differs from what
/// the engine sent, or the order is not executed exactly once.
pub(crate) async fn run() -> anyhow::Result<()> {
    let backends = start_backends()?;
    let settings = demo_settings(&backends)?;
    let callers = settings.listen.callers;
    let target = OperatorTarget {
        at: settings.listen.operators,
    };
    let entry = start_entry(settings).await?;
    while !entry.is_ready() {
        sleep(Millis(10)).await;
    }
    configure(&target).await?;
    println!("entry instance on {callers}, {ENGINES} engines, one service");
    send_prompts(callers).await?;
    send_order_twice(callers, &backends.service).await?;
    entry.stop().await;
    println!("stopped gracefully");
    Ok(())
}

fn start_backends() -> anyhow::Result<DemoBackends> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let options = EngineOptions {
            prefill_rate: 1_000_000,
            token_time: Duration::from_millis(5),
            ..EngineOptions::default()
        };
        engines.push(EngineStandin::new(options).serve(any_port)?.address);
    }
    let service = ServiceStandin::new();
    Ok(DemoBackends {
        engines,
        service_address: service.serve(any_port)?.address,
        service,
        key_value: KeyValueStandin::new().serve(any_port)?.address,
        instances: InstanceListStandin::new().serve(any_port)?.address,
        weights: WeightStandin::new(Duration::from_secs(1))
            .serve(any_port)?
            .address,
    })
}

fn demo_settings(backends: &DemoBackends) -> anyhow::Result<EntrySettings> {
    let engines: Vec<_> = backends
        .engines
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "name": format!("engine-{index}"),
                "address": address,
                "slots": 32,
                "memory_tokens": 400_000,
                "prefill_rate": 1_000_000,
            })
        })
        .collect();
    let settings = json!({
        "instance": "demo-1",
        "failure_domain": "demo",
        "listen": {
            "callers": free_address()?,
            "operators": free_address()?,
            "peers": free_address()?,
        },
        "platform": {
            "key_value": backends.key_value,
            "instances": backends.instances,
            "weights": backends.weights,
        },
        "pools": [{ "name": "advice", "models": [MODEL], "engines": engines }],
        "services": [{
            "name": "orders",
            "endpoints": [{ "name": "orders-1", "address": backends.service_address }],
        }],
        "limits": { "lame_duck_ms": 50 },
    });
    Ok(parse_settings(&settings.to_string())?)
}

/// Returns a loopback address whose port was free during the call; another process may take it
/// before it is used.
fn free_address() -> anyhow::Result<SocketAddr> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

async fn configure(target: &OperatorTarget) -> anyhow::Result<()> {
    let template = AccountTemplate::new(TemplateId::new("parents"))
        .with_model(MODEL)
        .with_service("orders", Repeatability::Once)
        .with_output_tokens(ANSWER_TOKENS);
    let account = ClientAccount {
        name: AccountId::new("family-app"),
        key_sha256: ApiKeyDigest::new(API_KEY).as_str().to_owned(),
        template: template.name.clone(),
    };
    let documents = [
        (
            "/operator/templates/parents",
            ConfigBody::Template(template),
        ),
        (
            "/operator/accounts/family-app",
            ConfigBody::Account(account),
        ),
    ];
    for (path, body) in documents {
        let request = ChangeDocumentRequest {
            body,
            author: "demo".to_owned(),
            if_version: Some(0),
        };
        let report = send(target, Method::PUT, path, Some(&request)).await?;
        println!("{path}: {report}");
    }
    Ok(())
}

async fn send_prompts(callers: SocketAddr) -> anyhow::Result<()> {
    let client = HttpClient::new(ExchangeLimits {
        head: Duration::from_mins(1),
        ..ExchangeLimits::default()
    })
    .await;
    println!("\nprompt tokens  requests  first token, median  first token, longest");
    let groups = PROMPTS.iter().map(|(tokens, count)| {
        let client = &client;
        let requests =
            (0..*count).map(move |index| time_to_first_token(client, callers, *tokens, index));
        join_all(requests)
    });
    for ((tokens, count), times) in PROMPTS.iter().zip(join_all(groups).await) {
        let mut times = times.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
        times.sort();
        let median = times[times.len() / 2];
        let longest = times[times.len() - 1];
        println!("{tokens:>13}  {count:>8}  {median:>19.1?}  {longest:>20.1?}");
    }
    println!("every answer is byte for byte what its engine sent\n");
    Ok(())
}

/// Sends one prompt, checks the complete answer and returns the time to its first token.
async fn time_to_first_token(
    client: &HttpClient,
    callers: SocketAddr,
    tokens: usize,
    index: usize,
) -> anyhow::Result<Duration> {
    let prompt = format!("question {index} ").repeat(tokens * BYTES_PER_TOKEN / 11);
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS,
        "stream": true });
    let url = format!("http://{callers}/v1/completions");
    let request = client
        .request(Method::POST, &url)
        .header("authorization", format!("Bearer {API_KEY}"));
    let start = Instant::now();
    let response = client
        .send(request, Bytes::from(serde_json::to_vec(&body)?))
        .await
        .map_err(|error| anyhow::anyhow!("the request failed without an answer: {error:?}"))?;
    ensure!(
        response.status().is_success(),
        "the request was answered with status {}",
        response.status()
    );
    let mut first = None;
    let mut text = String::new();
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| anyhow::anyhow!("the event stream failed: {error}"))?;
        first.get_or_insert_with(|| start.elapsed());
        if event.data == "[DONE]" {
            break;
        }
        let chunk: serde_json::Value = serde_json::from_str(&event.data)?;
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
    ensure!(
        text == expected_text(&prompt, ANSWER_TOKENS),
        "the answer differs from what the engine sent"
    );
    first.context("the answer was empty")
}

/// Sends the same order twice with one idempotency key and checks that it was executed once.
async fn send_order_twice(callers: SocketAddr, service: &ServiceStandin) -> anyhow::Result<()> {
    let client = HttpClient::new(ExchangeLimits::default()).await;
    let key = Uuid::now_v7().to_string();
    for attempt in ["first", "second"] {
        let url = format!("http://{callers}/services/orders/charge");
        let request = client
            .request(Method::POST, &url)
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("idempotency-key", key.as_str())
            .header("x-call", "order-1");
        let response = client
            .send(request, Bytes::from_static(b"{\"pouches\":12}"))
            .await
            .map_err(|error| anyhow::anyhow!("the order failed without an answer: {error:?}"))?;
        let replayed = response.headers().contains_key("idempotency-replayed");
        let status = response.status();
        let body = client
            .read_body(&response)
            .await
            .map_err(|error| anyhow::anyhow!("cannot read the answer to the order: {error:?}"))?;
        let body = String::from_utf8_lossy(&body).into_owned();
        println!("{attempt} request for the order: {status}, replayed: {replayed}, {body}");
        // The result is stored with its claim after the answer has been sent, so a request that
        // follows at once may find no result to replay.
        sleep(Millis(200)).await;
    }
    let executions = service.executions().get("order-1").copied().unwrap_or(0);
    ensure!(executions == 1, "the order was executed {executions} times");
    println!("the order was executed once\n");
    Ok(())
}
