//! An instance that is cut off from the workers sends through another one. That one has passed on
//! an answer in which a worker says that it leaves, and takes requests there more than `drainMs`
//! later all the same.

#[path = "../common/kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "shop.example";
const BEAT_MS: u64 = 1_200;
/// The bound `drainMs`.
const DRAIN_MS: u64 = 2_000;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/a/\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":300,\"priority\":1,\
         \"backend\":\"orders\",\"attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"orders\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\"}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"family\",\"apiKeys\":[\"key-one\"],\"priority\":1}}]}}"
    )
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let folder = Folder::new("3");
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let leaves = Arc::clone(&is_leaving);
    let work = move |message: &Message, stream: &mut std::net::TcpStream, id: &str| {
        sleep_ms(400);
        let request = message.header("request-id").unwrap_or("").to_owned();
        let stamp = stamp(&request, id);
        let mut headers = vec![("Request-Id", request.as_str()), ("Response-Stamp", stamp.as_str())];
        if leaves.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        respond(stream, "200 OK", &headers, format!("by {id}").as_bytes())?;
        Ok(Next::Keep)
    };
    let leaving = Worker::start("i-leaving", "orders", &runs, Arc::new(work));
    let others: Vec<Arc<Worker>> =
        (0..3).map(|number| Worker::plain(&format!("i-{number}"), "orders", 400, &runs)).collect();
    // The second instance reaches the workers through proxies, the first one directly.
    let proxies: Vec<Proxy> = others
        .iter()
        .chain([&leaving])
        .map(|worker| {
            let proxy = Proxy::start(worker.server.address);
            *worker.other_address.lock().unwrap() = Some(proxy.address);
            proxy
        })
        .collect();
    leaving.beat(&store, "zone-a");
    for worker in &others {
        worker.beat(&store, "zone-b");
        worker.run_beats(&store, "zone-b", BEAT_MS, 0);
    }
    store.put("op/config", &config());
    let host = Relay::start("relay-host", "zone-a", store.server.address, &folder.0);
    let cut = Relay::start("relay-cut", "zone-a", store.second.address, &folder.0);
    let relays = vec![host, cut];
    for _ in 0..6 {
        sleep_ms(BEAT_MS);
        leaving.beat(&store, "zone-a");
    }
    if !relays.iter().all(|relay| relay.wait_ready(Duration::from_secs(20))) {
        finish(&record, relays, folder, 2, "the instances did not become ready");
    }
    let send = |relay: &Relay, id: &str| {
        let request = Call {
            method: "POST", path: "/a/2f", host: HOST, id, key: "key-one", deadline_ms: 3_000,
            headers: Vec::new(), body: b"order",
        };
        let reply = call(relay.callers, &request);
        let says = match &reply {
            Reply::Answer(message) => message.header("server-leaving").is_some(),
            Reply::Lost(_) => false,
        };
        record.line(&format!("{id} at {}: {}, Server-Leaving: {says}", relay.name, reply.text()));
        says
    };
    // The worker leaves: it says so in its answers, never reports `draining`, and its entry is
    // removed when it has left, or after three heartbeats of silence.
    leaving.beat(&store, "zone-a");
    let last_beat = Instant::now();
    is_leaving.store(true, Ordering::SeqCst);
    record.line("i-leaving begins to leave");
    if trouble() {
        for proxy in &proxies {
            proxy.cut();
        }
        record.line("the path from the second instance to the workers is cut");
    }
    let mut passed_on = None;
    for number in 0..5 {
        if send(&relays[0], &format!("host-{number}")) {
            passed_on = Some(Instant::now());
            break;
        }
    }
    let Some(passed_on) = passed_on else {
        finish(&record, relays, folder, 2, "the first instance passed on no answer with Server-Leaving");
    };
    // Clients of the second instance come later than the bound.
    sleep_until(passed_on + Duration::from_millis(DRAIN_MS + 200));
    let tunnels_before = relays[0].metric("jackdawpoint_relay_hosted_tunnels_total");
    let (ending, shared, ended) = (Arc::clone(&leaving), Arc::clone(&store), record.clone());
    let end = std::thread::spawn(move || {
        // A little longer than `drainMs`, and before three heartbeats of silence are over.
        sleep_until(passed_on + Duration::from_millis(DRAIN_MS + 450));
        ending.server.leave();
        shared.remove(&ending.key());
        ended.line(&format!("i-leaving has ended, {} ms after its last beat", last_beat.elapsed().as_millis()));
    });
    let mut count = 0;
    while count < 6 {
        count += 1;
        send(&relays[1], &format!("cut-{count}"));
    }
    let _ = end.join();
    let tunnels = relays[0].metric("jackdawpoint_relay_hosted_tunnels_total");
    record.line(&format!("tunnels through the first instance: {tunnels_before} before, {tunnels} after"));
    let runs = runs.lock().unwrap();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.worker == "i-leaving" && run.request.starts_with("cut-"))
        .collect();
    for run in &late {
        let after = run.at.duration_since(passed_on).as_millis();
        record.line(&format!("{} reached i-leaving {after} ms after the first instance had passed on Server-Leaving", run.request));
    }
    // Without the cut the requests come from the second instance, which has passed on nothing.
    let is_tunnelled = tunnels != tunnels_before;
    let broken = if is_tunnelled { late.len() } else { 0 };
    let text = format!(
        "{broken} of {count} requests reached the leaving worker from the instance that had passed on Server-Leaving, more than {DRAIN_MS} ms later"
    );
    drop(runs);
    finish(&record, relays, folder, i32::from(broken > 0), &text);
}
