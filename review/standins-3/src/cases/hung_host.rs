//! Workers take a part of their requests and never run them, while memory is set aside for the prompts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{ClientRequest, Config, Route};
use crate::engine::{Memories, answer_report, helpers};
use crate::http::{call, is_gone};
use crate::random::Random;
use crate::record::Record;
use crate::relay::{PAPPALIEVE_BOUNDS, Relay, RelayPlan};
use crate::store::Store;
use crate::worker::{Handler, Worker, begin_stream, end_stream, write_answer, write_event};

/// Number of workers, and how many of them fail a part of their requests.
const WORKERS: usize = 23;
const GREY: usize = 3;

/// The part that they fail, for how long, and when they begin again.
const FAILING: f64 = 0.45;
const GREY_TIME: Duration = Duration::from_millis(6_500);
const GREY_PERIOD: Duration = Duration::from_secs(8);

/// Memory of a worker, and the largest prompts of the site, in tokens.
const MEMORY: u64 = 315_000;
const PROMPT: u64 = 700_000;

/// Time to the first event, and to the last.
const PREFILL: Duration = Duration::from_millis(2_500);
const EVENTS: u64 = 16;
const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// `idleMaxMs` of the deployment, and what is left for the way of an order.
const IDLE: Duration = Duration::from_secs(9);
const WAY: Duration = Duration::from_millis(100);

const TIME: Duration = Duration::from_secs(88);

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(2_000);

const KEY: &str = "secret";

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let memories = Memories::new(record);
    let begun = Instant::now();
    let random = Arc::new(Random::new(u64::from(std::process::id())));
    let handler: Handler = {
        let (record, memories, random) = (record.clone(), memories.clone(), random.clone());
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
                let phase = begun.elapsed().as_millis() % GREY_PERIOD.as_millis();
                let is_grey =
                    has_trouble && worker.number() < GREY && phase < GREY_TIME.as_millis();
                if is_grey && random.draw() < FAILING {
                    record.line(&format!("{id} hangs on {}, with {names:?}", worker.id()));
                    while !is_gone(writer) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    record.line(&format!("{id} is given up on {}", worker.id()));
                    return false;
                }
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
                record.line(&format!(
                    "{id} has ended on {}, whole {is_whole}",
                    worker.id()
                ));
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
        bounds: PAPPALIEVE_BOUNDS,
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
    for text in ["placed with helpers", "first event overdue"] {
        relay
            .log_lines(text)
            .iter()
            .for_each(|line| record.line(line));
    }
    let mut broken = 0;
    for (id, history) in memories.histories() {
        let idle = history.longest_idle();
        if idle >= IDLE + WAY {
            broken += 1;
            record.say(&format!(
                "memory {id}: set aside for {idle:?} and used by no request"
            ));
        }
    }
    if count == 0 {
        return Verdict::NotRun;
    }
    record.say(&format!(
        "memory that no request used for longer than {IDLE:?}: {broken}"
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
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
    record.line(&format!(
        "{id} answered {} complete {} after {:?}",
        answer.status, answer.is_complete, answer.took
    ));
    answer.status == 200 && answer.is_complete
}
