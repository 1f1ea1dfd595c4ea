//! A stand-in for workers.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Request, read_request};
use crate::store::Store;

/// Time between two heartbeats of a worker.
const BEAT: Duration = Duration::from_millis(1_200);

/// Heartbeat intervals of silence after which the entry of a worker is removed.
const SILENT_BEATS: u32 = 3;

/// What a worker does with a request. Returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Worker, &Request, &mut TcpStream) -> bool + Send + Sync>;

struct Inner {
    number: usize,
    service: String,
    zone: String,
    address: SocketAddr,
    store: Store,
    handler: Handler,
    /// Number of this start.
    start: AtomicU64,
    /// Number of the start that gave the worker its id.
    named_at: AtomicU64,
    is_leaving: AtomicBool,
    has_left: AtomicBool,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A worker: registers itself in the store, and answers requests with its handler.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    pub fn start(
        store: &Store,
        service: &str,
        zone: &str,
        number: usize,
        handler: Handler,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let worker = Self(Arc::new(Inner {
            number,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            store: store.clone(),
            handler,
            start: AtomicU64::new(0),
            named_at: AtomicU64::new(1),
            is_leaving: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            is_up: AtomicBool::new(false),
            connections: Mutex::default(),
        }));
        worker.begin(listener);
        worker
    }

    pub fn number(&self) -> usize {
        self.0.number
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Whether the worker says that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.0.is_leaving.load(Ordering::SeqCst)
    }

    /// Id of the worker.
    pub fn id(&self) -> String {
        let Inner {
            service,
            number,
            named_at,
            ..
        } = &*self.0;
        format!("i-{service}-{number}-{}", named_at.load(Ordering::SeqCst))
    }

    /// Begins an incarnation.
    fn begin(&self, listener: TcpListener) {
        let start = self.0.start.fetch_add(1, Ordering::SeqCst) + 1;
        self.0.is_up.store(true, Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        let worker = self.clone();
        thread::spawn(move || worker.accept(&listener, start));
        let worker = self.clone();
        thread::spawn(move || worker.beat(start));
    }

    fn is_running(&self, start: u64) -> bool {
        self.0.is_up.load(Ordering::SeqCst) && self.0.start.load(Ordering::SeqCst) == start
    }

    fn accept(&self, listener: &TcpListener, start: u64) {
        while self.is_running(start) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(kept) = stream.try_clone() {
                self.0.connections.lock().expect("sound").push(kept);
            }
            let worker = self.clone();
            thread::spawn(move || worker.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let is_kept = self.answer(&request, &mut writer);
            if !is_kept {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let id = self.id();
        let is_meant = request
            .header("expect-instance")
            .is_none_or(|meant| meant == id);
        if !is_meant {
            return write(
                writer,
                &head(421, request.id(), "Not-Run: 1\r\nContent-Length: 0\r\n"),
            );
        }
        (self.0.handler)(self, request, writer)
    }

    /// Writes the entry at each heartbeat.
    fn beat(&self, start: u64) {
        let id = self.id();
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        let Inner {
            service,
            zone,
            address,
            store,
            ..
        } = &*self.0;
        let key = format!("servers/{id}");
        while self.is_running(start) {
            let state = if self.is_leaving() {
                "draining"
            } else {
                "ready"
            };
            let entry = format!(
                r#"{{"backend":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{state}","coldLeftMs":0,"seq":1,"born":{born}}}"#
            );
            // The entry changes only when more than the number of heartbeats does.
            if !self.has_left() && !store.holds(&key, &entry) {
                store.put(&key, &entry);
            }
            thread::sleep(BEAT);
        }
        if self.id() == id && self.0.is_up.load(Ordering::SeqCst) {
            // It has started again under its id.
            return;
        }
        thread::sleep(BEAT * (SILENT_BEATS - 1));
        store.remove(&key);
    }

    fn has_left(&self) -> bool {
        self.0.has_left.load(Ordering::SeqCst)
    }

    /// Begins to leave: its answers say so from now on, and its next heartbeat. It goes on serving.
    pub fn begin_to_leave(&self) {
        self.0.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Leaves without having reported that it drains: its entry is removed, and it goes on serving.
    pub fn leave(&self) {
        self.0.has_left.store(true, Ordering::SeqCst);
        self.0.store.remove(&format!("servers/{}", self.id()));
    }

    /// Ends the process as a crash does: all connections close, and no new ones are taken. It starts
    /// again `down` later under a new id.
    pub fn crash(&self, down: Duration) {
        self.end(down, true);
    }

    /// Ends and starts again `down` later under the same id.
    pub fn restart(&self, down: Duration) {
        self.end(down, false);
    }

    fn end(&self, down: Duration, takes_new_id: bool) {
        if !self.0.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        for stream in self.0.connections.lock().expect("sound").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            loop {
                if let Ok(listener) = TcpListener::bind(worker.0.address) {
                    if takes_new_id {
                        worker.0.named_at.fetch_add(1, Ordering::SeqCst);
                    }
                    return worker.begin(listener);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
}

/// The head of an answer with these further header lines.
pub fn head(status: u16, id: &str, lines: &str) -> String {
    let id = if id.is_empty() {
        String::new()
    } else {
        format!("Request-Id: {id}\r\n")
    };
    format!("HTTP/1.1 {status} -\r\n{id}{lines}\r\n")
}

pub fn write(writer: &mut TcpStream, text: &str) -> bool {
    writer.write_all(text.as_bytes()).is_ok()
}

/// Writes a whole signed answer.
pub fn write_answer(writer: &mut TcpStream, status: u16, id: &str, body: &str) -> bool {
    let lines = format!(
        "Response-Stamp: stamp-{id}\r\nContent-Length: {}\r\n",
        body.len()
    );
    write(writer, &(head(status, id, &lines) + body))
}

/// Writes the head of a signed stream of events.
pub fn begin_stream(writer: &mut TcpStream, id: &str) -> bool {
    let lines = format!(
        "Response-Stamp: stamp-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    );
    write(writer, &head(200, id, &lines))
}

pub fn write_chunk(writer: &mut TcpStream, text: &str) -> bool {
    write(writer, &format!("{:x}\r\n{text}\r\n", text.len()))
}

pub fn write_event(writer: &mut TcpStream, number: u64, data: &str) -> bool {
    write_chunk(writer, &format!("id: {number}\ndata: {data}\n\n"))
}

pub fn end_stream(writer: &mut TcpStream) -> bool {
    write(writer, "0\r\n\r\n")
}
