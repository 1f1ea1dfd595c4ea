//! A stand-in of a model worker: it answers requests with streams of events, and its report.
//!
//! As PROTOCOL.md says, it is asked for its report at `GET /report`, refuses requests that name another
//! instance with 421, resumes a stream after `Last-Event-Id`, and echoes `Request-Id`.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head, write_chunk, write_json};
use crate::record::Record;

/// How an engine writes its streams.
#[derive(Clone)]
pub struct StreamPlan {
    pub events: u64,
    /// Time before each event.
    pub interval: Duration,
    /// Event before which the engine pauses, and for how long.
    pub pause: (u64, Duration),
}

/// What became of a run.
#[derive(Clone)]
pub struct Run {
    /// Whether the engine has written the whole stream.
    pub is_whole: bool,
}

struct Inner {
    id: String,
    service: String,
    zone: String,
    plan: StreamPlan,
    record: Record,
    runs: Mutex<Vec<Run>>,
    running: AtomicUsize,
    /// Whether the engine has as many connections as it takes: it resets any further one.
    is_at_limit: AtomicBool,
    listener: Mutex<Option<TcpListener>>,
}

/// A running engine; its threads end with the process.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Engine {
    pub fn start(id: &str, service: &str, zone: &str, plan: StreamPlan, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let engine = Self {
            inner: Arc::new(Inner {
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                plan,
                record: record.clone(),
                runs: Mutex::default(),
                running: AtomicUsize::new(0),
                is_at_limit: AtomicBool::new(false),
                listener: Mutex::new(None),
            }),
            address,
        };
        engine.listen(listener);
        engine
    }

    /// The engine's entry in the store.
    pub fn entry(&self) -> String {
        let Inner {
            service, zone, ..
        } = self.inner.as_ref();
        format!(
            r#"{{"backend":"{service}","addr":"{}","zone":"{zone}","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1,"born":1765000000000}}"#,
            self.address
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.inner.id)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().expect("lock").clone()
    }

    fn listen(&self, listener: TcpListener) {
        let accepting = listener.try_clone().expect("a second handle");
        *self.inner.listener.lock().expect("lock") = Some(listener);
        let engine = self.clone();
        thread::spawn(move || {
            accepting.set_nonblocking(true).expect("a listener");
            while !engine.inner.is_at_limit.load(Ordering::SeqCst) {
                match accepting.accept() {
                    Ok((stream, _)) => {
                        let engine = engine.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// Resets connections that are opened from now on, until [`Self::below_limit`]. Open ones stay.
    pub fn at_limit(&self) {
        self.inner.is_at_limit.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        *self.inner.listener.lock().expect("lock") = None;
    }

    /// Takes connections again.
    pub fn below_limit(&self) {
        self.inner.is_at_limit.store(false, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(self.address) {
            self.listen(listener);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(head) = read_head(&mut reader) {
            if read_body(&mut reader, &head, |_| {}).is_err()
                || self.answer(&head, &mut writer).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        let Inner { id, record, .. } = self.inner.as_ref();
        if head.field("expect-instance").is_some_and(|expected| expected != id) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(refusal.as_bytes());
        }
        if head.second() == "/report" {
            let running = self.inner.running.load(Ordering::SeqCst);
            let report = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":{running},"kvUsed":{},"kvTotal":315000,"handles":0,"pace":1.0}}"#,
                running * 154_000
            );
            return write_json(writer, 200, &report);
        }
        if head.second() == "/order" {
            return write_json(writer, 200, r#"{"free":0}"#);
        }
        let request = head.field("request-id").unwrap_or("").to_owned();
        let after = head.field("last-event-id").and_then(|after| after.parse().ok());
        let after: u64 = after.unwrap_or(0);
        record.note(&format!("engine {id} runs {request}, events after {after}"));
        let number = {
            let mut runs = self.inner.runs.lock().expect("lock");
            runs.push(Run {
                is_whole: false,
            });
            runs.len() - 1
        };
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        let written = self.stream(&request, after, writer);
        self.inner.running.fetch_sub(1, Ordering::SeqCst);
        match &written {
            Ok(()) => {
                self.inner.runs.lock().expect("lock")[number].is_whole = true;
                record.note(&format!("engine {id} has written all of {request}"));
            }
            Err(error) => record.note(&format!(
                "engine {id}: the machine closed the connection of {request}: {error}"
            )),
        }
        written
    }

    fn stream(&self, request: &str, after: u64, writer: &mut TcpStream) -> io::Result<()> {
        let Inner {
            id, plan, record, ..
        } = self.inner.as_ref();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: stamp.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in after + 1..=plan.events {
            if event == plan.pause.0 && after == 0 {
                let pause = plan.pause.1;
                record.note(&format!(
                    "engine {id} preempts {request} before event {event}: it is read again, {} ms",
                    pause.as_millis()
                ));
                thread::sleep(pause);
            }
            thread::sleep(plan.interval);
            let event = format!("id: {event}\ndata: {request}-{event}\n\n");
            write_chunk(writer, event.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
