//! A worker leaves without having reported that it drains, while the store cuts watches that wait.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{ClientRequest, Config, Route};
use crate::http::call;
use crate::record::Record;
use crate::relay::{PAPPALIEVE_BOUNDS, Relay, RelayPlan};
use crate::store::Store;
use crate::worker::{Handler, Worker, write_answer};

const WORKERS: usize = 4;

/// Time after which a watch that waits is cut, and for how long before and after the worker leaves.
const CUT_AFTER: Duration = Duration::from_secs(1);
const CUT_BEFORE: Duration = Duration::from_secs(2);
const CUT_LATER: Duration = Duration::from_secs(4);

/// `drainMs` of the deployment, and what is left for the way of a request.
const DRAIN: Duration = Duration::from_millis(2_000);
const WAY: Duration = Duration::from_millis(50);

/// For how long requests are sent after the worker has left the list; it serves all the while.
const TIME: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(20);

const KEY: &str = "secret";

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    // When requests reached the worker that leaves.
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let handler: Handler = {
        let (record, arrivals) = (record.clone(), arrivals.clone());
        Arc::new(move |worker, request, writer| {
            record.line(&format!("{} reaches {}", request.id(), worker.id()));
            if worker.number() == 0 {
                arrivals.lock().expect("sound").push(Instant::now());
            }
            thread::sleep(Duration::from_millis(60));
            write_answer(writer, 200, request.id(), "delivered")
        })
    };
    let start = |number| {
        Worker::start(
            &store,
            "pappa-orders",
            "nord-ovest-a",
            number,
            handler.clone(),
        )
    };
    let workers: Vec<Worker> = (0..WORKERS).map(start).collect();
    let config = Config {
        version: 1,
        routes: vec![Route {
            prefix: "/status/",
            kind: "idempotent",
            service: "pappa-orders",
            is_resumable: false,
            timeout_ms: 1_500,
            slo_ms: 300,
            gap_aim_ms: 0,
            attempts: 2,
        }],
        services: vec![("pappa-orders", None)],
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
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        record.line("watches that wait are cut");
        store.cut_watches(CUT_AFTER);
    }
    let addresses: Vec<SocketAddr> = relays.iter().map(|relay| relay.callers).collect();
    let mut callers = Vec::new();
    let begun = Instant::now();
    let mut left_at = None;
    while left_at.is_none_or(|at: Instant| at.elapsed() < TIME) {
        if left_at.is_none() && begun.elapsed() > CUT_BEFORE {
            workers[0].leave();
            left_at = Some(Instant::now());
            record.line(&format!(
                "the store has removed the entry of {}",
                workers[0].id()
            ));
        }
        if left_at.is_some_and(|at| at.elapsed() > CUT_LATER) {
            store.cut_watches(Duration::ZERO);
        }
        let id = format!("status-{}", callers.len());
        let address = addresses[callers.len() % addresses.len()];
        let record = record.clone();
        callers.push(thread::spawn(move || {
            let request = ClientRequest {
                method: "GET",
                path: "/status/1",
                id: &id,
                deadline_ms: 3_000,
                key: KEY,
                lines: "",
                body: "",
            };
            let answer = call(address, &request.to_bytes(), Duration::from_secs(4));
            record.line(&format!(
                "{id} answered {} after {:?}",
                answer.status, answer.took
            ));
            answer.status == 200
        }));
        thread::sleep(INTERVAL);
    }
    let answers: Vec<bool> = callers
        .into_iter()
        .flat_map(|caller| caller.join())
        .collect();
    let served = answers.iter().filter(|is_served| **is_served).count();
    record.say(&format!("requests served: {served} of {}", answers.len()));
    record.say(&format!("watches cut: {}", store.cuts()));
    let Some(left_at) = left_at.filter(|_| served > 0) else {
        return Verdict::NotRun;
    };
    let arrivals = arrivals.lock().expect("sound");
    let after = arrivals
        .iter()
        .map(|at| at.saturating_duration_since(left_at));
    let last = after.clone().max().unwrap_or_default();
    let late = after.filter(|after| *after > DRAIN + WAY).count();
    record.say(&format!(
        "requests that reached the worker later than {DRAIN:?} after its entry was removed: {late}; the last one {last:?} after"
    ));
    for relay in &relays {
        for text in [
            "endpoint entry missing",
            "endpoint changed",
            "store unavailable",
            "store available",
        ] {
            relay
                .log_lines(text)
                .iter()
                .for_each(|line| record.line(&format!("{}: {line}", relay.name)));
        }
    }
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
