//! Streams of long prompts at a machine that is stopped, while their workers are silent for a while.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, StreamPlan};
use crate::http::{read_body, read_head};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Share of the grace period from which on a worker's work excuses a cut: its last sixth.
const EXCUSED_FROM: Duration = Duration::from_millis(6_666);

/// Until when after SIGTERM the rule holds: 1 s after `graceS`.
const RULE_ENDS: Duration = Duration::from_secs(9);

/// The pause of a preempted stream of 154,000 tokens that is read again: 870 ms at 177 tokens a ms, and
/// 2.2 s for 11,900 million pairs at 0.184 ms a million, by the engine figures of the sheet.
const READ_AGAIN: Duration = Duration::from_millis(3_050);

/// The configuration, with the route of the long prompts as on the sheet.
fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/dosszie/","kind":"streaming","timeoutMs":15000,"sloMs":3000,"priority":1,"backend":"{SERVICE}","attempts":2,"public":false,"sticky":true,"resumable":false,"gapAimMs":1000}}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz","maxConns":274,"protocol":"h1","tls":false,"engine":{{"slots":16,"kvCapacity":315000,"kvTokenBytes":163840,"linkMbps":400000.0,"stride":51,"models":[{{"name":"m"}}],"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":11104,"answer":1622}},"hopMs":0.05}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// What a client got.
struct Answer {
    status: Option<u16>,
    events: usize,
    is_whole: bool,
    ended_at: Instant,
}

/// Sends one request and reads its answer.
fn call(relay: std::net::SocketAddr, request: String, record: Record) -> Answer {
    let mut answer = Answer {
        status: None,
        events: 0,
        is_whole: false,
        ended_at: Instant::now(),
    };
    let exchange = |answer: &mut Answer| -> std::io::Result<()> {
        let mut stream = TcpStream::connect(relay)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(16)))?;
        let body = "prompt";
        let text = format!(
            "POST /dosszie/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nModel: m\r\n\
             Token-Count: 154000,816\r\nPrompt-Prefix: 5c1e07a2:40,{request}:153960\r\n\
             Deadline-Ms: 15000\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())?;
        record.note(&format!("client sends {request}"));
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?;
        answer.status = head.second().parse().ok();
        let events = &mut answer.events;
        read_body(&mut reader, &head, |chunk| {
            *events += chunk.windows(4).filter(|part| part == b"id: ").count();
        })?;
        answer.is_whole = true;
        Ok(())
    };
    let ended = exchange(&mut answer);
    answer.ended_at = Instant::now();
    let how = match ended {
        Ok(()) => "complete".to_owned(),
        Err(error) => format!("NOT COMPLETE, the connection ended: {error}"),
    };
    record.note(&format!(
        "client: answer to {request}: status {:?}, {} events, {how}",
        answer.status, answer.events
    ));
    answer
}

/// Plays a stream at a machine that gets SIGTERM meanwhile. `trouble` gets the store and the engine that
/// runs the request, at the moment of the signal.
fn play(
    program: &Path,
    directory: &Path,
    record: &Record,
    trouble: impl FnOnce(&Store, &Engine),
) -> Verdict {
    let store = Store::start();
    let plan = StreamPlan {
        events: 16,
        interval: Duration::from_millis(60),
        pause: (6, READ_AGAIN),
    };
    let engines: Vec<Engine> = ["i-7f3a91c2", "i-02d9e6b4", "i-5b1c90de"]
        .iter()
        .map(|id| Engine::start(id, SERVICE, "buda", plan.clone(), record))
        .collect();
    for engine in &engines {
        store.put(&engine.key(), &engine.entry());
    }
    store.put("op/config", &config());
    let mut relay = Relay::start(program, directory, "front-buda-1", "buda", store.address);
    if !relay.wait_ready(Duration::from_secs(10)) {
        record.note("the machine is not ready");
        return Verdict::NotRun;
    }
    // Longer than `stableMs`, so that the machine is in touch.
    thread::sleep(Duration::from_millis(3_200));
    let (callers, noted) = (relay.callers(), record.clone());
    let client = thread::spawn(move || call(callers, "9c41d07be2a35f68".to_owned(), noted));
    let begun = Instant::now();
    let host = loop {
        let host = engines.iter().find(|engine| !engine.runs().is_empty());
        if let Some(host) = host {
            break host;
        }
        if begun.elapsed() > Duration::from_secs(5) {
            record.note("the stream has not begun");
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(10));
    };
    // The first events are written.
    thread::sleep(Duration::from_millis(400));
    relay.signal("-TERM");
    let stopped_at = Instant::now();
    record.note("SIGTERM to front-buda-1; graceS is 8");
    trouble(&store, host);
    let answer = client.join().expect("the client ends");
    let exits = relay.exits_within(Duration::from_secs(9));
    record.note(&format!("the process has ended: {exits}"));
    thread::sleep(READ_AGAIN);
    let cut_after = answer.ended_at.saturating_duration_since(stopped_at);
    let is_lost = !answer.is_whole && cut_after < EXCUSED_FROM.min(RULE_ENDS);
    record.note(&format!(
        "the answer is complete: {}, it ended {} ms after SIGTERM: {}",
        answer.is_whole,
        cut_after.as_millis(),
        if is_lost { "LOST" } else { "kept" }
    ));
    if is_lost {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The entry of a worker is removed although it has reported nothing; it continues to serve.
pub fn entry_removed(
    program: &Path,
    directory: &Path,
    record: &Record,
    has_trouble: bool,
) -> Verdict {
    play(program, directory, record, |store, host| {
        if has_trouble {
            store.remove(&host.key());
            record.note(&format!("{} is removed from the store", host.key()));
        }
    })
}

/// The worker has as many connections as it takes for a while, and resets further ones.
pub fn at_limit(program: &Path, directory: &Path, record: &Record, has_trouble: bool) -> Verdict {
    play(program, directory, record, |_, host| {
        if !has_trouble {
            return;
        }
        host.at_limit();
        record.note(&format!("{} resets connections beyond its limit", host.key()));
        let (host, record) = (host.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_500));
            host.below_limit();
            record.note(&format!("{} takes connections again", host.key()));
        });
    })
}
