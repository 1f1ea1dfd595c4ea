//! A request that crashes each worker that runs it, some time after its first event.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{ClientRequest, Config, Route};
use crate::engine::answer_report;
use crate::http::call;
use crate::record::Record;
use crate::relay::{PAPPALIEVE_BOUNDS, Relay, RelayPlan};
use crate::store::Store;
use crate::worker::{Handler, Worker, begin_stream, end_stream, write_answer, write_event};

/// Number of workers.
const WORKERS: usize = 8;

/// Events of an answer, and the pause between two.
const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Number of events after which the crashing request ends its worker, unless the variable
/// `CRASH_EVENTS` holds another.
const CRASH_EVENTS: u64 = 8;

/// Time after which a crashed worker is back.
const DOWN: Duration = Duration::from_secs(3);

/// `stableMs` of the deployment.
const STABLE: Duration = Duration::from_secs(3);

/// Most retries that may reach workers that late.
const MOST_RETRIES: usize = 3;

/// For how long the request comes again, and how often.
const TIME: Duration = Duration::from_secs(45);
const AGAIN: Duration = Duration::from_millis(2_500);

/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(250);

/// Body of the request that crashes workers.
const CRASHING_BODY: &str = "weekly meals of the Rossi family";

const KEY: &str = "secret";

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let crash_events = std::env::var("CRASH_EVENTS")
        .ok()
        .and_then(|events| events.parse().ok());
    let crash_events: u64 = crash_events.unwrap_or(CRASH_EVENTS);
    let store = Store::start();
    // When each crashing request reached a worker, and when workers crashed under it.
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let handler: Handler = {
        let (record, arrivals, crashes) = (record.clone(), arrivals.clone(), crashes.clone());
        Arc::new(move |worker, request, writer| {
            if request.path() == "/report" {
                return answer_report(writer);
            }
            if !request.path().starts_with("/review/") {
                return write_answer(writer, 200, request.id(), "ok");
            }
            let is_crashing = request.body == CRASHING_BODY.as_bytes();
            record.line(&format!("{} reaches {}", request.id(), worker.id()));
            if is_crashing {
                arrivals.lock().expect("sound").push(Instant::now());
            }
            let resumed = request
                .header("last-event-id")
                .and_then(|id| id.parse().ok());
            let mut event: u64 = resumed.unwrap_or(0);
            let first = event;
            if !begin_stream(writer, request.id()) {
                return false;
            }
            while event < EVENTS {
                thread::sleep(EVENT_PAUSE);
                event += 1;
                if !write_event(writer, event, "token") {
                    return false;
                }
                if has_trouble && is_crashing && event - first == crash_events {
                    thread::sleep(EVENT_PAUSE);
                    record.line(&format!("{} crashes under {}", worker.id(), request.id()));
                    crashes.lock().expect("sound").push(Instant::now());
                    worker.crash(DOWN);
                    return false;
                }
            }
            end_stream(writer)
        })
    };
    for number in 0..WORKERS {
        Worker::start(&store, "pappa-llm", "nord-ovest-a", number, handler.clone());
    }
    let config = Config {
        version: 1,
        routes: vec![Route {
            prefix: "/review/",
            kind: "streaming",
            service: "pappa-llm",
            is_resumable: true,
            timeout_ms: 10_000,
            slo_ms: 1_500,
            gap_aim_ms: 600,
            attempts: 2,
        }],
        services: vec![("pappa-llm", Some(315_000))],
        keys: vec![KEY.to_owned()],
    };
    store.put("op/config", &config.to_json());
    let relays: Vec<Relay> = (1..=2)
        .map(|number| {
            let name = format!("front-{number}");
            let plan = RelayPlan {
                name: &name,
                zone: "nord-ovest-a",
                store: store.address,
                core_share: 0.25,
                bounds: PAPPALIEVE_BOUNDS,
            };
            Relay::start(&plan, number)
        })
        .collect();
    if !relays.iter().all(Relay::wait_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let mut callers = Vec::new();
    let mut next_again = Duration::ZERO;
    while started.elapsed() < TIME {
        let number = callers.len();
        let relay = &relays[number % relays.len()];
        let is_again = started.elapsed() >= next_again;
        let (id, body) = if is_again {
            next_again += AGAIN;
            (format!("again-{number}"), CRASHING_BODY.to_owned())
        } else {
            (format!("sound-{number}"), format!("question {number}"))
        };
        let (address, record) = (relay.callers, record.clone());
        callers.push(thread::spawn(move || send(&id, &body, address, &record)));
        thread::sleep(SOUND_INTERVAL);
    }
    let answers: Vec<(String, bool)> = callers
        .into_iter()
        .flat_map(|caller| caller.join())
        .collect();
    let served = |kind: &str| {
        let of_kind = answers.iter().filter(|(id, _)| id.starts_with(kind));
        let served = of_kind.clone().filter(|(_, is_served)| *is_served).count();
        (served, of_kind.count())
    };
    record.say(&format!(
        "sound requests served, of all: {:?}",
        served("sound")
    ));
    record.say(&format!(
        "repeated requests served, of all: {:?}",
        served("again")
    ));
    let crashes = crashes.lock().expect("sound").clone();
    record.say(&format!("workers crashed: {}", crashes.len()));
    if !has_trouble {
        let is_served =
            served("sound").0 == served("sound").1 && served("again").0 == served("again").1;
        return if is_served {
            Verdict::Held
        } else {
            Verdict::NotRun
        };
    }
    let Some(third) = crashes.get(2) else {
        return Verdict::NotRun;
    };
    let late = arrivals
        .lock()
        .expect("sound")
        .iter()
        .filter(|at| **at > *third + STABLE)
        .count();
    record.say(&format!(
        "retries that reached workers later than {STABLE:?} after the third crash: {late}, allowed {MOST_RETRIES}"
    ));
    if late > MOST_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a prompt and reads its answer. Returns its id and whether the whole answer came.
fn send(id: &str, body: &str, address: SocketAddr, record: &Record) -> (String, bool) {
    let request = ClientRequest {
        method: "POST",
        path: "/review/1",
        id,
        deadline_ms: 10_000,
        key: KEY,
        lines: "Model: m\r\nToken-Count: 5000,400\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:4960\r\n",
        body,
    };
    record.line(&format!("{id} sent"));
    let answer = call(address, &request.to_bytes(), Duration::from_secs(11));
    record.line(&format!(
        "{id} answered {} complete {} after {:?}",
        answer.status, answer.is_complete, answer.took
    ));
    (id.to_owned(), answer.status == 200 && answer.is_complete)
}
