//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};
use crate::json::{Json, base64};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Default, Clone)]
struct State {
    era: u64,
    items: BTreeMap<String, Item>,
    /// The changes: key, revision, and the item unless it was deleted.
    history: Vec<(String, u64, Option<Item>)>,
    rev: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let create_rev = self.items.get(key).map_or(self.rev, |item| item.create_rev);
        let item = Item {
            value,
            rev: self.rev,
            create_rev,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), self.rev, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((key.to_owned(), self.rev, None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// What the store held at one time.
pub struct StoreCopy(State);

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    /// Time in milliseconds after which a watch that waits is cut; zero if none is.
    cut_after: Arc<AtomicU64>,
    cuts: Arc<AtomicU64>,
    is_away: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            era: 1,
            rev: 100,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
            cut_after: Arc::default(),
            cuts: Arc::default(),
            is_away: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes as the operator or a worker. The change is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let value = base64(value.as_bytes());
        state.lock().expect("sound").put(key, value, 0);
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        state.lock().expect("sound").remove(key);
        changed.notify_all();
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().expect("sound").clone())
    }

    /// Comes back from a copy: the era rises, and the leases of the copy run from now.
    pub fn restore(&self, copy: &StoreCopy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("sound");
        let era = state.era + 1;
        *state = copy.0.clone();
        state.era = era;
        for (ttl, until) in state.leases.values_mut() {
            *until = Instant::now() + *ttl;
        }
        changed.notify_all();
    }

    /// Refuses each call with 503, or none.
    pub fn refuse(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
    }

    /// Whether the key holds this value.
    pub fn holds(&self, key: &str, value: &str) -> bool {
        let state = self.state.0.lock().expect("sound");
        let value = base64(value.as_bytes());
        state.items.get(key).is_some_and(|item| item.value == value)
    }

    /// Cuts each watch that has waited for this long from now on; none if it is zero.
    pub fn cut_watches(&self, after: Duration) {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.cut_after.store(after, Ordering::SeqCst);
    }

    /// Number of watches that were cut.
    pub fn cuts(&self) -> u64 {
        self.cuts.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some((status, body)) = self.answer(&request) else {
                self.cuts.fetch_add(1, Ordering::SeqCst);
                return;
            };
            let era = self.state.0.lock().expect("sound").era;
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The status and the body of the answer; `None` if the connection is closed without one.
    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let (state, changed) = &*self.state;
        let path = request.path();
        if self.is_away.load(Ordering::SeqCst) {
            return Some((503, "{}".to_owned()));
        }
        if path == "/kv-watch" {
            return self.watch(request);
        }
        let mut state = state.lock().expect("sound");
        state.expire();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let answer = match path {
            "/kv-key" => match state.items.get(&request.query("key")) {
                Some(item) => (200, item_json(&request.query("key"), item)),
                None => (404, "{}".to_owned()),
            },
            "/kv-range" => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let items = state.items.iter();
                let items = items
                    .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let page = format!(
                    r#"{{"items":[{}],"truncated":false,"currentRev":{}}}"#,
                    items.join(","),
                    state.rev
                );
                (200, page)
            }
            "/kv-txn" => transact(&mut state, &body),
            "/kv-lease" => {
                let ttl =
                    Duration::from_millis(body.get("ttlMs").map_or(0, Json::number).max(1_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!(r#"{{"lease":{lease},"ttlMs":{}}}"#, ttl.as_millis()),
                )
            }
            _ => {
                let lease = path.rsplit('/').next().and_then(|lease| lease.parse().ok());
                let lease: u64 = lease.unwrap_or(0);
                if path.starts_with("/kv-keep/") {
                    match state.leases.get_mut(&lease) {
                        Some((ttl, until)) => {
                            *until = Instant::now() + *ttl;
                            (200, "{}".to_owned())
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else {
                    state.end_lease(lease);
                    (200, "{}".to_owned())
                }
            }
        };
        changed.notify_all();
        Some(answer)
    }

    fn watch(&self, request: &Request) -> Option<(u16, String)> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0);
        let started = Instant::now();
        let until = started + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("sound");
        loop {
            state.expire();
            if self.is_away.load(Ordering::SeqCst) {
                return Some((503, "{}".to_owned()));
            }
            if after > state.rev {
                return Some((410, "{}".to_owned()));
            }
            let newer = state.history.iter();
            let newer = newer.filter(|(key, rev, _)| *rev > after && key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(key, rev, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","rev":{rev},"deleted":true}}"#),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let current = state.rev;
                let body = format!(
                    r#"{{"events":[{}],"currentRev":{current}}}"#,
                    events.join(",")
                );
                return Some((200, body));
            }
            let cut_after = Duration::from_millis(self.cut_after.load(Ordering::SeqCst));
            if !cut_after.is_zero() && now >= started + cut_after {
                return None;
            }
            let wait = (until - now).min(Duration::from_millis(20));
            state = changed.wait_timeout(state, wait).expect("sound").0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","rev":{},"createRev":{},"lease":{}}}"#,
        item.value, item.rev, item.create_rev, item.lease
    )
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let rows = |name: &str| body.get(name).map_or(&[][..], Json::list);
    let text = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
    let number = |row: &Json, name: &str| row.get(name).map_or(0, Json::number);
    for row in rows("expected") {
        let rev = state
            .items
            .get(&text(row, "key"))
            .map_or(0, |item| item.rev);
        if rev != number(row, "rev") {
            return (412, r#"{"items":[]}"#.to_owned());
        }
    }
    let is_gone = |row: &Json| {
        let lease = number(row, "lease");
        lease != 0 && !state.leases.contains_key(&lease)
    };
    if rows("puts").iter().any(is_gone) {
        return (404, "{}".to_owned());
    }
    for row in rows("puts") {
        state.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
    }
    for key in rows("remove") {
        state.remove(key.text());
    }
    (200, format!(r#"{{"rev":{}}}"#, state.rev))
}
