//! Workers leave orders unanswered and carry them out late, while memory is set aside for prompts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{ClientRequest, Config, Route};
use crate::engine::{Memories, answer_report, helpers, order_of};
use crate::http::call;
use crate::random::Random;
use crate::record::Record;
use crate::relay::{Relay, RelayPlan};
use crate::store::Store;
use crate::worker::{Handler, Worker, begin_stream, end_stream, write_answer, write_event};

const WORKERS: usize = 12;

/// Memory of a worker, and size of a prompt that needs more than one has, in tokens.
const MEMORY: u64 = 100_000;
const PROMPT: u64 = 150_000;

/// Share of the orders that get no answer, and when these are carried out.
const UNANSWERED: f64 = 0.35;
const LATE_FROM: f64 = 2.0;
const LATE_TO: f64 = 12.0;

/// Time to the first event, and to the last.
const PREFILL: Duration = Duration::from_millis(700);
const EVENTS: u64 = 16;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// `freeMs` of the deployment.
const FREE: Duration = Duration::from_secs(4);

/// Shortest stretch that counts.
const STRETCH: Duration = Duration::from_secs(2);

const TIME: Duration = Duration::from_secs(80);

/// Time between two requests: as many as a small deployment has.
const INTERVAL: Duration = Duration::from_millis(690);

const KEY: &str = "secret";

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let memories = Memories::new(record);
    let random = Arc::new(Random::new(u64::from(std::process::id())));
    let handler: Handler = {
        let (record, memories, random) = (record.clone(), memories.clone(), random.clone());
        Arc::new(move |worker, request, writer| match request.path() {
            "/report" => answer_report(writer),
            "/order" if has_trouble && random.draw() < UNANSWERED => {
                let (name, order) = (worker.address().to_string(), order_of(request));
                let delay = LATE_FROM + (LATE_TO - LATE_FROM) * random.draw();
                record.line(&format!("{name} leaves an order unanswered for {delay:.1} s: {order:?}"));
                let memories = memories.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(delay));
                    memories.carry_out(&name, &order);
                });
                // No answer comes: the connection stays open until the other side closes it.
                while !crate::http::is_gone(writer) {
                    thread::sleep(Duration::from_millis(5));
                }
                false
            }
            "/order" => memories.answer_order(&worker.address().to_string(), request, writer),
            path if !path.starts_with("/history/") => write_answer(writer, 200, request.id(), "ok"),
            _ => {
                let id = request.id();
                let tickets = helpers(request);
                let names: Vec<String> =
                    tickets.iter().map(|(address, ticket)| format!("{address}/{ticket}")).collect();
                record.line(&format!("{id} runs on {}, with {names:?}", worker.id()));
                names.iter().for_each(|name| memories.begin_use(name));
                thread::sleep(PREFILL);
                let is_whole = begin_stream(writer, id)
                    && (1..=EVENTS).all(|event| {
                        thread::sleep(EVENT_PAUSE);
                        write_event(writer, event, "token")
                    })
                    && end_stream(writer);
                names.iter().for_each(|name| memories.end_use(name));
                record.line(&format!("{id} has ended on {}, whole {is_whole}", worker.id()));
                is_whole
            }
        })
    };
    for number in 0..WORKERS {
        Worker::start(&store, "pappa-llm", "nord-ovest-a", number, handler.clone());
    }
    let config = Config {
        version: 1,
        routes: vec![Route {
            prefix: "/history/",
            kind: "streaming",
            service: "pappa-llm",
            is_resumable: true,
            timeout_ms: 15_000,
            slo_ms: 3_000,
            gap_aim_ms: 1_000,
            attempts: 2,
        }],
        services: vec![("pappa-llm", Some(MEMORY))],
        keys: vec![KEY.to_owned()],
    };
    store.put("op/config", &config.to_json());
    let plan = RelayPlan {
        name: "front-1",
        zone: "nord-ovest-a",
        store: store.address,
        core_share: 0.25,
    };
    let relay = Relay::start(&plan, 1);
    if !relay.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let mut clients = Vec::new();
    while started.elapsed() < TIME {
        let id = format!("history-{}", clients.len());
        let (address, record) = (relay.callers, record.clone());
        clients.push(thread::spawn(move || client(&id, address, &record)));
        thread::sleep(INTERVAL);
    }
    let served = clients.into_iter().filter_map(|client| client.join().ok());
    let served: Vec<bool> = served.collect();
    let count = served.iter().filter(|is_served| **is_served).count();
    record.say(&format!("requests served: {count} of {}", served.len()));
    thread::sleep(Duration::from_secs(16));
    let mut broken = 0;
    for (id, history) in memories.histories() {
        let leak = history.longest_leak(FREE);
        if leak >= STRETCH {
            broken += 1;
            record.say(&format!(
                "memory {id}: used {} times, set aside for {leak:?} from {FREE:?} after the last request on",
                history.uses
            ));
        }
    }
    record.say(&format!("reservations of memory that was not free in time: {broken}"));
    if count == 0 {
        return Verdict::NotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

fn client(id: &str, address: SocketAddr, record: &Record) -> bool {
    let lines = format!(
        "Model: m\r\nToken-Count: {PROMPT},800\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:{}\r\n",
        PROMPT - 40
    );
    let request = ClientRequest {
        method: "POST",
        path: "/history/1",
        id,
        deadline_ms: 15_000,
        key: KEY,
        lines: &lines,
        body: id,
    };
    record.line(&format!("{id} sent"));
    let answer = call(address, &request.to_bytes(), Duration::from_secs(16));
    record.line(&format!("{id} answered {} complete {} after {:?}", answer.status, answer.is_complete, answer.took));
    answer.status == 200 && answer.is_complete
}
