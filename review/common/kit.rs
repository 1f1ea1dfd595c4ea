//! Stand-ins of the platform for the review's scripts: store, workers, clients, and the relay's
//! processes. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = std::fs::File::create(path).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn started(&self) -> Instant {
        self.started
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------- base64 and JSON

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = (u32::from(block[0]) << 16) | (u32::from(block[1]) << 8) | u32::from(block[2]);
        for position in 0..4 {
            if position > chunk.len() {
                text.push('=');
            } else {
                text.push(SET[((bits >> (18 - 6 * position)) & 63) as usize] as char);
            }
        }
    }
    text
}

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn string(bytes: &[u8], at: &mut usize) -> String {
        *at += 1;
        let mut text = Vec::new();
        while *at < bytes.len() && bytes[*at] != b'"' {
            if bytes[*at] == b'\\' {
                *at += 1;
            }
            text.push(bytes[*at]);
            *at += 1;
        }
        *at += 1;
        String::from_utf8_lossy(&text).into_owned()
    }

    fn value(bytes: &[u8], at: &mut usize) -> Json {
        Self::space(bytes, at);
        match bytes.get(*at) {
            Some(b'"') => Json::Text(Self::string(bytes, at)),
            Some(b'{') => {
                *at += 1;
                let mut table = BTreeMap::new();
                loop {
                    Self::space(bytes, at);
                    match bytes.get(*at) {
                        Some(b'"') => {
                            let key = Self::string(bytes, at);
                            Self::space(bytes, at);
                            *at += 1;
                            table.insert(key, Self::value(bytes, at));
                        }
                        Some(b',') => *at += 1,
                        _ => break,
                    }
                }
                *at += 1;
                Json::Table(table)
            }
            Some(b'[') => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(bytes, at);
                    match bytes.get(*at) {
                        Some(b',') => *at += 1,
                        Some(b']') | None => break,
                        _ => list.push(Self::value(bytes, at)),
                    }
                }
                *at += 1;
                Json::List(list)
            }
            _ => {
                let start = *at;
                while *at < bytes.len() && !b",]} \n".contains(&bytes[*at]) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[start..*at]).unwrap_or("") {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => number.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return value.replace("%2F", "/");
                }
            }
        }
        String::new()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn broken(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::UnexpectedEof, text.to_owned())
}

fn read_chunks(reader: &mut impl BufRead, mut heard: impl FnMut(&[u8])) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("body ends early"));
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        heard(&chunk[..size]);
    }
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) -> std::io::Result<()> {
    if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if message.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
        message.body = body;
    }
    Ok(())
}

/// Whether the connection goes on after a request.
#[derive(PartialEq)]
pub enum Next {
    Keep,
    Close,
}

pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

type Handler = dyn Fn(&Message, &mut TcpStream) -> std::io::Result<Next> + Send + Sync;

thread_local! {
    /// Number of the silence before which the connection of this thread was opened.
    static OPENED_IN: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Waits for ever on a connection that has fallen silent.
fn stay_silent(silences: &AtomicU64) {
    while OPENED_IN.get() != silences.load(Ordering::SeqCst) {
        sleep_ms(1_000);
    }
}

/// A server with one thread a connection.
pub struct Server {
    pub address: SocketAddr,
    /// While set, new connections are closed at once.
    away: Arc<AtomicBool>,
    /// While set, new connections get no answer, ever.
    silent: Arc<AtomicBool>,
    /// Number of silences so far. Connections that were opened before one stay silent for good.
    silences: Arc<AtomicU64>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    pub fn start(handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let away = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let silent = Arc::new(AtomicBool::new(false));
        let silences = Arc::new(AtomicU64::new(0));
        let (is_away, connections) = (Arc::clone(&away), Arc::clone(&open));
        let (is_silent, count) = (Arc::clone(&silent), Arc::clone(&silences));
        thread::spawn(move || {
            let mut next = 0;
            let mut unanswered = Vec::new();
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                if is_away.load(Ordering::SeqCst) {
                    continue;
                }
                if is_silent.load(Ordering::SeqCst) {
                    unanswered.push(stream);
                    continue;
                }
                next += 1;
                let number = next;
                let opened_in = count.load(Ordering::SeqCst);
                let count = Arc::clone(&count);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().insert(number, copy);
                }
                let (handler, connections) = (Arc::clone(&handler), Arc::clone(&connections));
                thread::spawn(move || {
                    OPENED_IN.set(opened_in);
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(mut message)) = read_head(&mut reader) {
                        if read_body(&mut reader, &mut message).is_err() {
                            break;
                        }
                        stay_silent(&count);
                        match handler(&message, &mut stream) {
                            Ok(Next::Keep) => {}
                            _ => break,
                        }
                    }
                    connections.lock().unwrap().remove(&number);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Self { address, away, silent, silences, open }
    }

    /// Closes all connections and takes no new ones.
    pub fn leave(&self) {
        self.away.store(true, Ordering::SeqCst);
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Falls silent: nothing is answered any more, on open connections for good.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::SeqCst);
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets all open connections fall silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    pub fn come_back(&self) {
        self.away.store(false, Ordering::SeqCst);
        self.silent.store(false, Ordering::SeqCst);
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    /// What the second listener shows in place of the value; empty if that is the same.
    other: String,
    rev: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    rev: u64,
    item: Option<Item>,
}

impl Change {
    fn json(&self, second: bool) -> String {
        match &self.item {
            Some(item) => item_json(&self.key, item, second),
            None => format!("{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}", self.key, self.rev),
        }
    }
}

fn item_json(key: &str, item: &Item, second: bool) -> String {
    let value = if second && !item.other.is_empty() { &item.other } else { &item.value };
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{},\"createRev\":{},\"lease\":{}}}",
        item.rev, item.create_rev, item.lease
    )
}

#[derive(Clone)]
struct StoreState {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: &str, other: &str, lease: u64) -> u64 {
        self.revision += 1;
        let rev = self.revision;
        let create_rev = self.items.get(key).map_or(rev, |item| item.create_rev);
        let item = Item { value: value.to_owned(), other: other.to_owned(), rev, create_rev, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), rev, item: Some(item) });
        rev
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let rev = self.revision;
            self.history.push(Change { key: key.to_owned(), rev, item: None });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The platform's store, as PROTOCOL.md and the letter on `Store-Era` describe it.
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    pub server: Server,
    /// A listener that shows other addresses of workers, those of a proxy or of a blocked path.
    pub second: Server,
    copies: Arc<Mutex<Vec<(Instant, StoreState)>>>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let state = Arc::new(Mutex::new(StoreState {
            era: 1,
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }));
        let changed = Arc::new(Condvar::new());
        let (shared, signal) = (Arc::clone(&state), Arc::clone(&changed));
        let silences: Arc<Mutex<Option<Arc<AtomicU64>>>> = Arc::default();
        let known = Arc::clone(&silences);
        let server = Server::start(Arc::new(move |message: &Message, stream: &mut TcpStream| {
            let silences = known.lock().unwrap().clone();
            Self::answer(&shared, &signal, false, silences.as_deref(), message, stream)
        }));
        *silences.lock().unwrap() = Some(Arc::clone(&server.silences));
        let (shared, signal) = (Arc::clone(&state), Arc::clone(&changed));
        let second = Server::start(Arc::new(move |message: &Message, stream: &mut TcpStream| {
            Self::answer(&shared, &signal, true, None, message, stream)
        }));
        let copies: Arc<Mutex<Vec<(Instant, StoreState)>>> = Arc::default();
        let (shared, kept) = (Arc::clone(&state), Arc::clone(&copies));
        thread::spawn(move || {
            loop {
                sleep_ms(100);
                let mut state = shared.lock().unwrap();
                state.expire();
                let mut kept = kept.lock().unwrap();
                kept.push((Instant::now(), state.clone()));
                kept.retain(|(at, _)| at.elapsed() < Duration::from_secs(12));
            }
        });
        Arc::new(Self { state, server, second, copies })
    }

    fn answer(
        shared: &Mutex<StoreState>,
        changed: &Condvar,
        second: bool,
        silences: Option<&AtomicU64>,
        message: &Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<Next> {
        let mut era = shared.lock().unwrap().era;
        let reply = match (message.method(), message.path()) {
            ("GET", "/kv-key") => {
                let state = shared.lock().unwrap();
                let key = message.query("key");
                state.items.get(&key).map_or((404, String::new()), |item| {
                    (200, item_json(&key, item, second))
                })
            }
            ("GET", "/kv-range") => {
                let state = shared.lock().unwrap();
                let (prefix, after) = (message.query("prefix"), message.query("after"));
                let on_page = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && key.as_str() > after.as_str()
                });
                let items: Vec<String> = on_page.map(|(key, item)| item_json(key, item, second)).collect();
                let page: Vec<String> = items.iter().take(500).cloned().collect();
                (200, format!(
                    "{{\"items\":[{}],\"truncated\":{},\"currentRev\":{}}}",
                    page.join(","), items.len() > page.len(), state.revision
                ))
            }
            ("GET", "/kv-watch") => {
                let prefix = message.query("prefix");
                let after: u64 = message.query("after").parse().unwrap_or(0);
                let wait: u64 = message.query("waitMs").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut state = shared.lock().unwrap();
                loop {
                    era = state.era;
                    // A revision that this store does not have.
                    if after > state.revision || after < 100 {
                        break (410, String::new());
                    }
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|change| change.rev > after && change.key.starts_with(&prefix))
                        .map(|change| change.json(second))
                        .collect();
                    if !events.is_empty() || Instant::now() >= deadline {
                        break (200, format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            events.join(","), state.revision
                        ));
                    }
                    state = changed.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(&message.body));
                let mut state = shared.lock().unwrap();
                state.expire();
                let has_leases = body.get("puts").items().iter().all(|put| {
                    let lease = put.get("lease").number();
                    lease == 0 || state.leases.contains_key(&lease)
                });
                let holds = body.get("expected").items().iter().all(|row| {
                    let known = state.items.get(row.get("key").text()).map_or(0, |item| item.rev);
                    known == row.get("rev").number()
                });
                if !has_leases {
                    (404, String::new())
                } else if holds {
                    for put in body.get("puts").items() {
                        state.put(
                            put.get("key").text(),
                            put.get("value").text(),
                            "",
                            put.get("lease").number(),
                        );
                    }
                    for key in body.get("remove").items() {
                        state.remove(key.text());
                    }
                    (200, format!("{{\"rev\":{}}}", state.revision))
                } else {
                    let items: Vec<String> = body
                        .get("expected")
                        .items()
                        .iter()
                        .filter_map(|row| {
                            let key = row.get("key").text();
                            Some(item_json(key, state.items.get(key)?, second))
                        })
                        .collect();
                    (412, format!("{{\"items\":[{}]}}", items.join(",")))
                }
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&message.body));
                let ttl = body.get("ttlMs").number().clamp(1_000, 600_000);
                let mut state = shared.lock().unwrap();
                let lease = state.next_lease;
                state.next_lease += 1;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path[9..].parse().unwrap_or(0);
                let mut state = shared.lock().unwrap();
                state.expire();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, String::new()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path[14..].parse().unwrap_or(0);
                shared.lock().unwrap().end_lease(lease);
                (200, "{}".to_owned())
            }
            _ => (400, String::new()),
        };
        if let Some(silences) = silences {
            // The connection may have fallen silent during a watch.
            stay_silent(silences);
        }
        let era = era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        respond(stream, &format!("{} X", reply.0), &headers, reply.1.as_bytes())?;
        Ok(Next::Keep)
    }

    /// Writes as the operator or a worker does. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.state.lock().unwrap().put(key, &base64(value.as_bytes()), "", 0)
    }

    /// Writes a value for which the second listener shows another one.
    pub fn put_two(&self, key: &str, value: &str, other: &str) -> u64 {
        let (value, other) = (base64(value.as_bytes()), base64(other.as_bytes()));
        self.state.lock().unwrap().put(key, &value, &other, 0)
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn is_away(&self) -> bool {
        self.server.away.load(Ordering::SeqCst) || self.server.silent.load(Ordering::SeqCst)
    }

    /// Puts the store into the state that it had `age` ago, as a new era. What the operator and the
    /// workers have written since is written again, in its order; what the system has written is
    /// gone, leases too. Call it while the store is away. Returns the revision before, that of the
    /// copy, and the one after the repeated writes.
    pub fn restore_copy(&self, age: Duration) -> (u64, u64, u64) {
        let copies = self.copies.lock().unwrap();
        let wanted = Instant::now().checked_sub(age).unwrap();
        let copy = copies.iter().rev().find(|(at, _)| *at <= wanted).or_else(|| copies.first());
        let (taken_at, copy) = copy.expect("a copy").clone();
        let mut state = self.state.lock().unwrap();
        let before = state.clone();
        *state = copy;
        state.era = before.era + 1;
        // The leases of the copy pause while the store is away and older than it was.
        let pause = taken_at.elapsed();
        for (_, end) in state.leases.values_mut() {
            *end += pause;
        }
        let kept = state.revision;
        for change in before.history.iter().filter(|change| change.rev > kept) {
            if !change.key.starts_with("op/") && !change.key.starts_with("servers/") {
                continue;
            }
            match &change.item {
                Some(item) => {
                    state.put(&change.key, &item.value, &item.other, 0);
                }
                None => state.remove(&change.key),
            }
        }
        (before.revision, kept, state.revision)
    }
}

// ---------------------------------------------------------------- workers

#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    pub request: String,
    pub tenant: String,
    pub path: String,
    pub body: Vec<u8>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a worker does once it has recorded a request as run.
pub type Work = dyn Fn(&Message, &mut TcpStream, &str) -> std::io::Result<Next> + Send + Sync;

pub struct Worker {
    pub id: String,
    pub service: String,
    pub server: Server,
    pub state: Mutex<String>,
    born: u64,
    seq: AtomicU64,
    beats: AtomicBool,
    /// State in the entry that was written last.
    written: Mutex<String>,
    /// Address that the second listener of the store shows.
    pub other_address: Mutex<Option<SocketAddr>>,
}

pub fn stamp(request: &str, worker: &str) -> String {
    format!("stamp.{worker}.{request}")
}

impl Worker {
    /// A worker of a plain service that works `work_ms` on a request.
    pub fn plain(id: &str, service: &str, work_ms: u64, runs: &Runs) -> Arc<Self> {
        let work = move |message: &Message, stream: &mut TcpStream, id: &str| {
            sleep_ms(work_ms);
            let request = message.header("request-id").unwrap_or("").to_owned();
            let body = format!("answer to {request} by {id}\n");
            let headers = [
                ("Request-Id", request.as_str()),
                ("Response-Stamp", &stamp(&request, id)),
            ];
            respond(stream, "200 OK", &headers, body.as_bytes())?;
            Ok(Next::Keep)
        };
        Self::start(id, service, runs, Arc::new(work))
    }

    pub fn start(id: &str, service: &str, runs: &Runs, work: Arc<Work>) -> Arc<Self> {
        let (name, runs) = (id.to_owned(), Arc::clone(runs));
        let server = Server::start(Arc::new(move |message: &Message, stream: &mut TcpStream| {
            if message.path() == "/healthz" {
                respond(stream, "200 OK", &[("Instance-Id", &name)], b"")?;
                return Ok(Next::Keep);
            }
            if message.header("expect-instance").is_some_and(|wanted| wanted != name) {
                respond(stream, "421 Misdirected Request", &[("Instance-Id", &name)], b"")?;
                return Ok(Next::Keep);
            }
            let text = |header| message.header(header).unwrap_or("").to_owned();
            if text("request-id").is_empty() {
                respond(stream, "400 Bad Request", &[("Not-Run", "1")], b"")?;
                return Ok(Next::Keep);
            }
            runs.lock().unwrap().push(Run {
                at: Instant::now(),
                worker: name.clone(),
                request: text("request-id"),
                tenant: text("tenant"),
                path: message.target().to_owned(),
                body: message.body.clone(),
            });
            work(message, stream, &name)
        }));
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            server,
            state: Mutex::new("ready".to_owned()),
            born: unix_ms(),
            seq: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            written: Mutex::default(),
            other_address: Mutex::new(None),
        })
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the worker's entry. An entry in which only `seq` would change does not change, so that
    /// the store keeps its revision. Returns the store's revision.
    pub fn beat(&self, store: &Store, zone: &str) -> u64 {
        let state = self.state.lock().unwrap().clone();
        let mut written = self.written.lock().unwrap();
        if *written == state {
            return store.revision();
        }
        *written = state.clone();
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = |address: SocketAddr| format!(
            "{{\"backend\":\"{}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.born
        );
        let other = self.other_address.lock().unwrap().unwrap_or(self.server.address);
        store.put_two(&self.key(), &entry(self.server.address), &entry(other))
    }

    /// Writes the entry every `period_ms`, except while the store is away.
    pub fn run_beats(self: &Arc<Self>, store: &Arc<Store>, zone: &str, period_ms: u64, offset: u64) {
        let (worker, store, zone) = (Arc::clone(self), Arc::clone(store), zone.to_owned());
        thread::spawn(move || {
            sleep_ms(offset);
            while worker.beats.load(Ordering::SeqCst) {
                if !store.is_away() {
                    worker.beat(&store, &zone);
                }
                sleep_ms(period_ms);
            }
        });
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }
}

// ---------------------------------------------------------------- clients

#[derive(Debug, Clone)]
pub enum Reply {
    Answer(Message),
    /// The connection ended, or the time was over, without a whole answer.
    Lost(String),
}

impl Reply {
    pub fn status(&self) -> u16 {
        match self {
            Reply::Answer(message) => message.status(),
            Reply::Lost(_) => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Reply::Answer(message) => {
                let body = String::from_utf8_lossy(&message.body).trim().to_owned();
                format!("{} {:?}", message.status(), body)
            }
            Reply::Lost(cause) => format!("no answer ({cause})"),
        }
    }
}

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a [u8],
}

impl Call<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms, self.key
        );
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if self.method != "GET" {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if self.method != "GET" {
            bytes.extend_from_slice(self.body);
        }
        bytes
    }
}

pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads one answer.
pub fn read_answer(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = read_head(reader)?.ok_or_else(|| broken("closed"))?;
    let status = message.status();
    let has_end = message.header("content-length").is_some()
        || message.header("transfer-encoding").is_some();
    if has_end || status == 204 {
        read_body(reader, &mut message)?;
    } else {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

/// Sends a request on a connection of its own and waits for the answer until the deadline.
pub fn call(address: SocketAddr, call: &Call<'_>) -> Reply {
    let exchange = || -> std::io::Result<Message> {
        let mut stream = connect(address)?;
        stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 1_000)))?;
        stream.write_all(&call.bytes())?;
        read_answer(&mut BufReader::new(stream))
    };
    match exchange() {
        Ok(message) => Reply::Answer(message),
        Err(error) => Reply::Lost(error.kind().to_string()),
    }
}

// ---------------------------------------------------------------- the relay's processes

/// A port that nobody listens on, outside the range from which connections take theirs.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    if NEXT.load(Ordering::SeqCst) == 0 {
        let seed = unix_ms().wrapping_mul(31).wrapping_add(u64::from(std::process::id()) * 97);
        NEXT.store(10_000 + seed % 18_000, Ordering::SeqCst);
    }
    loop {
        let port = 10_000 + (NEXT.fetch_add(1, Ordering::SeqCst) - 10_000) % 20_000;
        if TcpListener::bind(("127.0.0.1", port as u16)).is_ok() {
            return port as u16;
        }
    }
}

/// The bound `stableMs` of the settings, in milliseconds.
pub static STABLE_MS: AtomicU64 = AtomicU64::new(3_000);

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// `PR_SET_PDEATHSIG` and `SIGKILL` of Linux: the child ends with the process that started it.
const END_WITH_PARENT: (i32, u64) = (1, 9);

pub struct Relay {
    pub name: String,
    pub callers: SocketAddr,
    pub probes: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    pub log: PathBuf,
}

impl Relay {
    /// Starts an instance with the command of the deploy file. `program` stands in the repository's
    /// `target` folder; the settings have the form of `deploy/settings.json`.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &PathBuf) -> Self {
        let port = |_| free_port();
        let ports: Vec<u16> = (0..4).map(port).collect();
        let text = format!(
            "{{\"instance\":\"{name}\",\"failure_domain\":\"{zone}\",\"address\":\"127.0.0.1\",\
             \"listen\":{{\"callers\":\"127.0.0.1:{}\",\"probes\":\"127.0.0.1:{}\"}},\
             \"peer_port\":{},\"tunnel_port\":{},\
             \"machine\":{{\"core_share\":0.25,\"core_speed\":1,\"link_mbps\":1000.0}},\
             \"store\":{{\"shortest_lease_ms\":1000,\"address\":\"{store}\"}},\
             \"bounds\":{{\"notice_ms\":{},\"free_memory_ms\":4000,\"longest_hold_ms\":20000,\
             \"retry_ratio\":0.2,\"retry_slack\":100,\"grace_s\":8}}}}",
            ports[0], ports[1], ports[2], ports[3], STABLE_MS.load(Ordering::SeqCst)
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("the temporary folder is writable");
        let mut relay = Self {
            name: name.to_owned(),
            callers: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            probes: SocketAddr::from(([127, 0, 0, 1], ports[1])),
            settings,
            child: None,
            log: folder.join(format!("{name}.log")),
        };
        relay.spawn();
        relay
    }

    pub fn spawn(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("target/release/jackdawpoint-relay");
        // SAFETY: `prctl` is called between fork and exec, and touches nothing but the child.
        unsafe {
            command.pre_exec(|| {
                prctl(END_WITH_PARENT.0, END_WITH_PARENT.1);
                Ok(())
            });
        }
        let child = command
            .env("JACKDAWPOINT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/jackdawpoint-relay has been built");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.pid().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = Call {
            method: "GET", path: "/readyz", host: "probe", id: "probe", key: "", deadline_ms: 500,
            headers: Vec::new(), body: b"",
        };
        call(self.probes, &request).status() == 200
    }

    pub fn metric(&self, name: &str) -> String {
        let request = Call {
            method: "GET", path: "/metrics", host: "probe", id: "probe", key: "", deadline_ms: 1_000,
            headers: Vec::new(), body: b"",
        };
        if let Reply::Answer(message) = call(self.probes, &request) {
            let text = String::from_utf8_lossy(&message.body).into_owned();
            for line in text.lines() {
                if line.starts_with(name) {
                    return line.split(' ').next_back().unwrap_or("").to_owned();
                }
            }
        }
        String::new()
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(tag: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{tag}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Ends the script: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(record: &Record, relays: Vec<Relay>, folder: Folder, code: i32, text: &str) -> ! {
    record.say(text);
    drop(relays);
    drop(folder);
    std::process::exit(code);
}

// ---------------------------------------------------------------- proxy

/// Passes connections on to a target until its path is cut; then connections are refused.
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).expect("a free port");
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            while !cut.load(Ordering::SeqCst) {
                let Ok((client, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = client.set_nonblocking(false);
                let Ok(server) = connect(target) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Write);
                    });
                }
                open.push(client);
                open.push(server);
            }
            for stream in open {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        sleep_ms(20);
    }
}
