//! Orders at a plain service of which one worker fails a part of its requests.
//!
//! All workers name themselves in `Instance-Id` in all their answers. As PROTOCOL.md says, a worker's own
//! 500 counts as run; only `Not-Run` says that a request was not run.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SERVICE: &str = "wuno96b";
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Number of orders that the client sends.
const ORDERS: usize = 40;

/// Of each this many runs the failing worker fails [`FAILED`].
const PERIOD: usize = 5;
const FAILED: usize = 2;

type Runs = Arc<Mutex<Vec<(String, String, u16)>>>;

/// The configuration, with the route of the orders as on the sheet.
fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":2000,"sloMs":300,"priority":2,"backend":"{SERVICE}","attempts":1,"public":false}}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Starts a worker, whose threads end with the process. Returns its address.
fn start_worker(id: &'static str, fails: bool, runs: &Runs, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (runs, record) = (Arc::clone(runs), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record) = (Arc::clone(&runs), record.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(head) = read_head(&mut reader) {
                    let is_read = read_body(&mut reader, &head, |_| {}).is_ok();
                    if !is_read || answer(id, fails, &head, &mut writer, &runs, &record).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn answer(
    id: &str,
    fails: bool,
    head: &Head,
    writer: &mut TcpStream,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    if head.field("expect-instance").is_some_and(|expected| expected != id) {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return writer.write_all(refusal.as_bytes());
    }
    let request = head.field("request-id").unwrap_or("").to_owned();
    let (status, number) = {
        let mut runs = runs.lock().expect("lock");
        let own = runs.iter().filter(|(_, worker, _)| worker == id).count();
        let status = if fails && own % PERIOD < FAILED { 500 } else { 200 };
        runs.push((request.clone(), id.to_owned(), status));
        (status, runs.len())
    };
    record.note(&format!("worker {id} runs {request} and answers {status}"));
    thread::sleep(Duration::from_millis(20));
    let body = format!("order {request}");
    // For comparison only: without the field the machine does not send the order again.
    let is_named = std::env::var("INSTANCE_ID").map_or(true, |named| named != "0");
    let name = if is_named { format!("Instance-Id: {id}\r\n") } else { String::new() };
    let answer = format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\nResponse-Stamp: {id}.{number}\r\n\
         {name}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(answer.as_bytes())
}

/// Sends one order. Returns the status of its answer.
fn order(relay: SocketAddr, request: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(relay)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let text = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nDeadline-Ms: 4000\r\n\
         Authorization: Token {KEY}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{request}",
        request.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    read_body(&mut reader, &head, |_| {})?;
    head.second().parse().map_err(|_| io::ErrorKind::InvalidData.into())
}

pub fn failing_worker(
    program: &Path,
    directory: &Path,
    record: &Record,
    has_trouble: bool,
) -> Verdict {
    let store = Store::start();
    let runs = Runs::default();
    for (id, zone) in [("i-7f3a91c2", "buda"), ("i-02d9e6b4", "pest"), ("i-5b1c90de", "csepel")] {
        let fails = has_trouble && zone == "buda";
        let address = start_worker(id, fails, &runs, record);
        let entry = format!(
            r#"{{"backend":"{SERVICE}","addr":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1,"born":1765000000000}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }
    store.put("op/config", &config());
    let relay = Relay::start(program, directory, "front-buda-1", "buda", store.address);
    if !relay.wait_ready(Duration::from_secs(10)) {
        record.note("the machine is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_millis(3_200));
    for number in 0..ORDERS {
        let request = format!("9c41d07be2a3{number:04x}");
        record.note(&format!("client sends {request}"));
        match order(relay.callers(), &request) {
            Ok(status) => record.note(&format!("client: {request} is answered with {status}")),
            Err(error) => record.note(&format!("client: {request} has no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
    // Longer than `timeoutMs`.
    thread::sleep(Duration::from_millis(2_500));
    let runs = runs.lock().expect("lock");
    let mut twice = 0;
    for number in 0..ORDERS {
        let request = format!("9c41d07be2a3{number:04x}");
        let workers = runs.iter().filter(|(run, _, _)| *run == request);
        let workers: Vec<String> = workers
            .map(|(_, worker, status)| format!("{worker} ({status})"))
            .collect();
        if workers.len() > 1 {
            twice += 1;
            record.note(&format!("TWICE: {request} was run by {}", workers.join(" and ")));
        }
    }
    let ran = runs.len();
    record.note(&format!("{ORDERS} orders, {ran} runs, {twice} orders run more than once"));
    match (ran, twice) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
