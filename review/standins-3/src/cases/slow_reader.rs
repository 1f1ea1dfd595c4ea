//! Clients that read their answers slowly, while memory is set aside for their prompts.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{ClientRequest, Config, Route};
use crate::engine::{Memories, answer_report, helpers};
use crate::http::call;
use crate::record::Record;
use crate::relay::{Relay, RelayPlan, SILVERLEAF_BOUNDS};
use crate::slow_client;
use crate::store::Store;
use crate::worker::{Handler, Worker, begin_stream, end_stream, write_answer, write_event};

const WORKERS: usize = 6;

/// Memory of a worker, and size of a prompt that needs more than one has, in tokens.
const MEMORY: u64 = 197_200;
const PROMPT: u64 = 300_000;

/// Tokens of an answer; an event holds one.
const TOKENS: u64 = 3_000;

/// Time from the arrival of a request to its first event.
const PREFILL: Duration = Duration::from_millis(600);

/// Time in which 30 events are made.
const STEP: Duration = Duration::from_millis(25);

/// Time after which a worker cuts off an answer that remains unread.
const UNREAD: Duration = Duration::from_secs(3);

/// `freeMs` of the deployment.
const FREE: Duration = Duration::from_secs(4);

/// Shortest stretch that counts.
const STRETCH: Duration = Duration::from_secs(2);

/// The time that a client waits.
const DEADLINE: Duration = Duration::from_secs(15);

/// A slow client reads this many bytes in each of these intervals.
const SLOW_BYTES: usize = 256;
const SLOW_INTERVAL: Duration = Duration::from_millis(50);

const CLIENTS: u32 = 4;

const KEY: &str = "secret";

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let memories = Memories::new(record);
    let handler: Handler = {
        let (record, memories) = (record.clone(), memories.clone());
        Arc::new(move |worker, request, writer| match request.path() {
            "/report" => answer_report(writer),
            "/order" => memories.answer_order(&worker.address().to_string(), request, writer),
            path if !path.starts_with("/history/") => write_answer(writer, 200, request.id(), "ok"),
            _ => {
                let id = request.id();
                let tickets = helpers(request);
                let names: Vec<String> = tickets
                    .iter()
                    .map(|(address, ticket)| format!("{address}/{ticket}"))
                    .collect();
                record.line(&format!("{id} runs on {}, with {names:?}", worker.id()));
                names.iter().for_each(|name| memories.begin_use(name));
                let _ = writer.set_write_timeout(Some(UNREAD));
                thread::sleep(PREFILL);
                let is_whole = begin_stream(writer, id)
                    && (1..=TOKENS).all(|event| {
                        if event % 30 == 0 {
                            thread::sleep(STEP);
                        }
                        let data = format!(r#"{{"id":"{id}","object":"completion.chunk","model":"m","choices":[{{"index":0,"delta":{{"content":" token"}},"finish_reason":null}}]}}"#);
                        write_event(writer, event, &data)
                    })
                    && end_stream(writer);
                names.iter().for_each(|name| memories.end_use(name));
                record.line(&format!(
                    "{id} has ended on {}, whole {is_whole}",
                    worker.id()
                ));
                is_whole
            }
        })
    };
    for number in 0..WORKERS {
        Worker::start(
            &store,
            "companion-llm",
            "cascadia-a",
            number,
            handler.clone(),
        );
    }
    let config = Config {
        version: 1,
        routes: vec![Route {
            prefix: "/history/",
            kind: "streaming",
            service: "companion-llm",
            is_resumable: true,
            timeout_ms: 15_000,
            slo_ms: 6_000,
            gap_aim_ms: 1_000,
            attempts: 2,
        }],
        services: vec![("companion-llm", Some(MEMORY))],
        keys: vec![KEY.to_owned()],
    };
    store.put("op/config", &config.to_json());
    let plan = RelayPlan {
        name: "front-1",
        zone: "cascadia-a",
        store: store.address,
        core_share: 0.25,
        bounds: SILVERLEAF_BOUNDS,
    };
    let relay = Relay::start(&plan, 1);
    if !relay.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let clients = (0..CLIENTS).map(|number| {
        let (address, record) = (relay.callers, record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(1) * number);
            client(&format!("history-{number}"), address, &record, has_trouble);
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(FREE + STRETCH);
    let mut broken = 0;
    let histories = memories.histories();
    for (id, history) in &histories {
        let leak = history.longest_leak(FREE);
        record.say(&format!(
            "memory {id}: used {} times, set aside for {leak:?} from {FREE:?} after the last request on",
            history.uses
        ));
        broken += usize::from(leak >= STRETCH);
    }
    for line in relay.log_lines("request finished") {
        record.line(&line);
    }
    if histories.values().all(|history| history.uses == 0) {
        return Verdict::NotRun;
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a long prompt and reads the answer, slowly or as fast as it comes.
fn client(id: &str, address: SocketAddr, record: &Record, is_slow: bool) {
    let lines = format!(
        "Model: m\r\nToken-Count: {PROMPT},{TOKENS}\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:{}\r\n",
        PROMPT - 40
    );
    let request = ClientRequest {
        method: "POST",
        path: "/history/1",
        id,
        deadline_ms: 15_000,
        key: KEY,
        lines: &lines,
        body: "history",
    };
    record.line(&format!("{id} sent"));
    if !is_slow {
        let answer = call(address, &request.to_bytes(), DEADLINE);
        record.line(&format!(
            "{id} answered {} complete {} after {:?}",
            answer.status, answer.is_complete, answer.took
        ));
        return;
    }
    let started = Instant::now();
    let SocketAddr::V4(address) = address else {
        return;
    };
    let Ok(mut stream) = slow_client::open(address) else {
        return;
    };
    let _ = std::io::Write::write_all(&mut stream, &request.to_bytes());
    let _ = stream.set_read_timeout(Some(DEADLINE));
    let (mut read, mut part) = (0, [0; SLOW_BYTES]);
    while started.elapsed() < DEADLINE {
        match stream.read(&mut part) {
            Ok(count @ 1..) => read += count,
            _ => break,
        }
        thread::sleep(SLOW_INTERVAL);
    }
    record.line(&format!(
        "{id} has read {read} bytes and leaves after {:?}",
        started.elapsed()
    ));
}
