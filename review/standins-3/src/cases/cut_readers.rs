//! The instances that read the store for a zone are cut off from it while the configuration changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{ClientRequest, Config, Route};
use crate::http::{Answer, Connection};
use crate::record::Record;
use crate::relay::{PAPPALIEVE_BOUNDS, Relay, RelayPlan};
use crate::store::Store;
use crate::worker::{Handler, Link, Worker, write_answer};

/// Instances of the zone, and how many of them have more processor than the others: these read the store
/// for the zone.
const INSTANCES: usize = 8;
const READERS: usize = 2;

/// `configMs` of the deployment.
const CONFIG: Duration = Duration::from_millis(2_000);

/// Time beyond it that is left for the way of a request.
const WAY: Duration = Duration::from_millis(20);

/// Time after the change until which requests are sent, and their interval.
const LAST: Duration = Duration::from_millis(3_000);
const INTERVAL: Duration = Duration::from_millis(25);

/// Length of a cut, and the time until the next one.
const CUT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(6_500);

const ROUNDS: u64 = 7;

fn config(version: u64, keys: &[String]) -> Config {
    Config {
        version,
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
        keys: keys.to_vec(),
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let handler: Handler = {
        let record = record.clone();
        Arc::new(move |worker, request, writer| {
            record.line(&format!("{} runs on {}", request.id(), worker.id()));
            write_answer(writer, 200, request.id(), "delivered")
        })
    };
    for number in 0..3 {
        Worker::start(
            &store,
            "pappa-orders",
            "nord-ovest-a",
            number,
            handler.clone(),
        );
    }
    let mut keys: Vec<String> = (0..ROUNDS).map(|round| format!("key-{round}")).collect();
    keys.push("kept".to_owned());
    store.put("op/config", &config(1, &keys).to_json());
    let mut links = Vec::new();
    let relays: Vec<Relay> = (1..=INSTANCES)
        .map(|number| {
            let link = Link::start(store.address);
            let name = format!("front-{number}");
            let plan = RelayPlan {
                name: &name,
                zone: "nord-ovest-a",
                store: link.address,
                core_share: if number <= READERS { 0.5 } else { 0.25 },
                bounds: PAPPALIEVE_BOUNDS,
            };
            links.push(link);
            Relay::start(&plan, u8::try_from(number).expect("few instances"))
        })
        .collect();
    if !relays.iter().all(Relay::wait_ready) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    let (mut served_late, mut refused) = (0, 0);
    for round in 0..ROUNDS {
        if has_trouble {
            record.line("the readers are cut off from the store");
            links[..READERS].iter().for_each(Link::cut);
        }
        let cut_at = Instant::now();
        // The cut comes first, so that nothing of the change passes.
        thread::sleep(Duration::from_millis(10));
        let dropped = keys.remove(0);
        store.put("op/config", &config(2 + round, &keys).to_json());
        let changed_at = Instant::now();
        record.line(&format!(
            "version {} without {dropped} is acknowledged",
            2 + round
        ));
        let callers: Vec<_> = relays[READERS..]
            .iter()
            .map(|relay| {
                let (address, name) = (relay.callers, relay.name.clone());
                let (record, key) = (record.clone(), dropped.clone());
                thread::spawn(move || caller(address, &name, &key, round, changed_at, &record))
            })
            .collect();
        for caller in callers {
            let (late, denied) = caller.join().unwrap_or((0, 0));
            served_late += late;
            refused += denied;
        }
        thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        links.iter().for_each(Link::heal);
        record.line("the cut ends");
        thread::sleep(PAUSE);
    }
    record.say(&format!(
        "requests with a dropped key, sent to instances without a disruption later than {CONFIG:?} after the acknowledgement: {served_late} served, {refused} refused"
    ));
    if served_late + refused == 0 {
        return Verdict::NotRun;
    }
    if served_late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests with a dropped key. Returns how many that were sent too late for it were served, and
/// how many were refused.
fn caller(
    address: SocketAddr,
    name: &str,
    key: &str,
    round: u64,
    changed_at: Instant,
    record: &Record,
) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    let mut number = 0;
    thread::sleep((CONFIG + WAY).saturating_sub(changed_at.elapsed()));
    while changed_at.elapsed() < LAST {
        number += 1;
        let id = format!("{name}-{round}-{number}");
        let request = ClientRequest {
            method: "GET",
            path: "/status/1",
            id: &id,
            deadline_ms: 3_000,
            key,
            lines: "",
            body: "",
        };
        let connection = Connection::open(address, Duration::from_secs(3));
        let sent = changed_at.elapsed();
        let answer = connection.map_or_else(
            |_| Answer::default(),
            |mut connection| connection.call(&request.to_bytes()),
        );
        record.line(&format!(
            "{id} sent {sent:?} after the acknowledgement, answered {}",
            answer.status
        ));
        match answer.status {
            200 => served += 1,
            401 => refused += 1,
            _ => {}
        }
        thread::sleep(INTERVAL);
    }
    (served, refused)
}
