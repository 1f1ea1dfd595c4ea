//! The platform's store is silent for a second and comes back from a copy three seconds old. A
//! configuration that is acknowledged a second later has to take effect at every instance.

#[path = "../common/kit.rs"]
mod kit;

use kit::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const HOST: &str = "shop.example";
/// Instances, two in each zone.
const RELAYS: usize = 6;
/// Workers of each of the two services.
const WORKERS: usize = 13;
const BEAT_MS: u64 = 1_200;
/// Age of the copy from which the store comes back, and how long it is away.
const COPY_AGE: Duration = Duration::from_secs(3);
const AWAY_MS: u64 = 1_000;
/// From the store's return to the operator's next configuration.
const CHANGE_AFTER_MS: u64 = 1_000;
/// From the acknowledgement to the first request that is judged: `stableMs` 3,000, `configMs`
/// 2,000 and `skewMaxMs` 5,000 together, and two seconds more.
const JUDGED_AFTER_MS: u64 = 12_000;

fn config(version: u64, service: &str, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/a/\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":300,\"priority\":1,\
         \"backend\":\"{service}\",\"attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"old\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\"}},\
         {{\"name\":\"new\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\"}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"family\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
    )
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let folder = Folder::new("1");
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        for service in ["old", "new"] {
            let worker = Worker::plain(&format!("i-{service}-{number}"), service, 60, &runs);
            worker.beat(&store, ZONES[number % 3]);
            workers.push(worker);
        }
    }
    for (number, worker) in workers.iter().enumerate() {
        let offset = number as u64 * BEAT_MS / workers.len() as u64;
        worker.run_beats(&store, ZONES[number / 2 % 3], BEAT_MS, offset);
    }
    let first = config(7, "old", "\"key-one\",\"key-two\"");
    store.put("op/config", &first);
    let start = |number| Relay::start(&format!("relay-{number}"), ZONES[number % 3], store.server.address, &folder.0);
    let relays: Vec<Relay> = (0..RELAYS).map(start).collect();
    if !relays.iter().all(|relay| relay.wait_ready(Duration::from_secs(20))) {
        finish(&record, relays, folder, 2, "the instances did not become ready");
    }
    record.line("all instances are ready; version 7 is in force");
    sleep_ms(10_000);
    let send = |relay: &Relay, id: &str, key: &str| {
        let request = Call {
            method: "POST", path: "/a/2f", host: HOST, id, key, deadline_ms: 3_000,
            headers: Vec::new(), body: b"order",
        };
        let reply = call(relay.callers, &request);
        record.line(&format!("{id} {key} at {}: {}", relay.name, reply.text()));
        reply.status()
    };
    for relay in &relays {
        if send(relay, &format!("before-{}", relay.name), "key-two") != 200 {
            finish(&record, relays, folder, 2, "a request before the disruption was not served");
        }
    }
    if trouble() {
        store.server.fall_silent();
        let (lost, kept) = store.restore_copy(COPY_AGE);
        record.line(&format!("the store falls silent; it had revision {lost}, its copy has {kept}"));
        sleep_ms(AWAY_MS);
        store.server.come_back();
        // What the operator and the workers wrote is written again.
        store.put("op/config", &first);
        for (number, worker) in workers.iter().enumerate() {
            worker.beat(&store, ZONES[number / 2 % 3]);
        }
        record.line(&format!("the store is back with era 2, revision {}", store.revision()));
    }
    sleep_ms(CHANGE_AFTER_MS);
    let revision = store.put("op/config", &config(12, "new", "\"key-one\""));
    let acknowledged = Instant::now();
    record.line(&format!("version 12 is acknowledged with revision {revision}: route r-1 to `new`, key-two removed"));
    sleep_until(acknowledged + Duration::from_millis(JUDGED_AFTER_MS));
    let mut wrong = 0;
    let mut stale: Vec<&str> = Vec::new();
    for round in 0..10 {
        for relay in &relays {
            let id = format!("after-{round}-{}", relay.name);
            send(relay, &id, "key-one");
            let by_old = runs.lock().unwrap().iter().any(|run| run.request == id && run.worker.starts_with("i-old"));
            let dropped = format!("dropped-{round}-{}", relay.name);
            send(relay, &dropped, "key-two");
            let has_run = runs.lock().unwrap().iter().any(|run| run.request == dropped);
            if by_old || has_run {
                wrong += usize::from(by_old) + usize::from(has_run);
                if !stale.contains(&relay.name.as_str()) {
                    stale.push(&relay.name);
                }
            }
        }
        sleep_ms(1_000);
    }
    for relay in &relays {
        record.line(&format!("{} says version {}", relay.name, relay.metric("jackdawpoint_relay_config_version")));
    }
    let text = format!(
        "{wrong} of {} requests sent 12 s and more after the acknowledgement were run by the old service or with the removed key, at {} of {RELAYS} instances ({})",
        20 * RELAYS, stale.len(), stale.join(", ")
    );
    let code = i32::from(wrong > 0);
    finish(&record, relays, folder, code, &text);
}
