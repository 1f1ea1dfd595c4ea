//! A stand-in of the platform's store, as PROTOCOL.md describes it: items, leases and a watch.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, write_json};
use crate::json::{Json, quote};

/// Largest number of items in a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    rev: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    rev: u64,
    /// Revision, key, and the value in base64; `None` for a deletion.
    changes: Vec<(u64, String, Option<String>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let create_rev = self.items.get(key).map_or(self.rev, |item| item.create_rev);
        self.changes
            .push((self.rev, key.to_owned(), Some(value.clone())));
        let item = Item {
            value,
            rev: self.rev,
            create_rev,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.changes.push((self.rev, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn item(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(format!(
            r#"{{"key":{},"value":{},"rev":{},"createRev":{},"lease":{}}}"#,
            quote(key),
            quote(&item.value),
            item.rev,
            item.create_rev,
            item.lease
        ))
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store; its threads end with the process.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        shared.state.lock().expect("lock").rev = 100;
        let store = Self { shared, address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.shared.state.lock().expect("lock").expire();
                expiring.shared.changed.notify_all();
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.state.lock().expect("lock");
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.shared.state.lock().expect("lock").remove(key);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(head) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head, |_| {}) else {
                return;
            };
            let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            let (status, answer) = self.call(head.second(), &body);
            if write_json(&mut writer, status, &answer).is_err() {
                return;
            }
        }
    }

    fn call(&self, target: &str, body: &Json) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(known, _)| *known == name);
            values.next().map_or(String::new(), |(_, value)| percent(value))
        };
        let none = || "{}".to_owned();
        let mut state = self.shared.state.lock().expect("lock");
        state.expire();
        match path {
            "/kv-key" => match state.item(&param("key")) {
                Some(item) => (200, item),
                None => (404, none()),
            },
            "/kv-range" => {
                let (prefix, after) = (param("prefix"), param("after"));
                let keys = state.items.keys();
                let keys = keys.filter(|key| key.starts_with(&prefix) && **key > after);
                let keys: Vec<&String> = keys.collect();
                let page: Vec<String> = keys
                    .iter()
                    .take(PAGE_ITEMS)
                    .filter_map(|key| state.item(key))
                    .collect();
                let answer = format!(
                    r#"{{"items":[{}],"truncated":{},"currentRev":{}}}"#,
                    page.join(","),
                    keys.len() > PAGE_ITEMS,
                    state.rev
                );
                (200, answer)
            }
            "/kv-watch" => {
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                let prefix = param("prefix");
                let until = Instant::now() + wait;
                loop {
                    let events: Vec<String> = state
                        .changes
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                        .map(|(rev, key, value)| match value {
                            Some(value) => format!(
                                r#"{{"key":{},"value":{},"rev":{rev},"createRev":{rev},"lease":0}}"#,
                                quote(key),
                                quote(value)
                            ),
                            None => {
                                format!(r#"{{"key":{},"rev":{rev},"deleted":true}}"#, quote(key))
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let answer = format!(
                            r#"{{"events":[{}],"currentRev":{}}}"#,
                            events.join(","),
                            state.rev
                        );
                        return (200, answer);
                    }
                    let waited = self.shared.changed.wait_timeout(state, left);
                    state = waited.expect("lock").0;
                }
            }
            "/kv-txn" => {
                let key_of = |entry: &Json| entry.get("key").and_then(Json::text).map(str::to_owned);
                for expected in body.get("expected").map_or(&[][..], Json::list) {
                    let key = key_of(expected).unwrap_or_default();
                    let rev = expected.get("rev").and_then(Json::number).unwrap_or(0);
                    if state.items.get(&key).map_or(0, |item| item.rev) != rev {
                        let items = state.item(&key).unwrap_or_default();
                        return (412, format!(r#"{{"items":[{items}]}}"#));
                    }
                }
                let puts = body.get("puts").map_or(&[][..], Json::list);
                let lease_of = |put: &Json| put.get("lease").and_then(Json::number).unwrap_or(0);
                for put in puts {
                    let lease = lease_of(put);
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, none());
                    }
                }
                for put in puts {
                    let value = put.get("value").and_then(Json::text).unwrap_or("");
                    state.put(&key_of(put).unwrap_or_default(), value.to_owned(), lease_of(put));
                }
                for key in body.get("remove").map_or(&[][..], Json::list) {
                    state.remove(key.text().unwrap_or(""));
                }
                self.shared.changed.notify_all();
                (200, format!(r#"{{"rev":{}}}"#, state.rev))
            }
            "/kv-lease" => {
                let ttl = body.get("ttlMs").and_then(Json::number).unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl.max(1_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                let ttl = ttl.as_millis();
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            _ => {
                let lease = path.rsplit('/').next().and_then(|lease| lease.parse().ok());
                let lease: u64 = lease.unwrap_or(0);
                if path.starts_with("/kv-keep/") {
                    let Some((ttl, until)) = state.leases.get_mut(&lease) else {
                        return (404, none());
                    };
                    *until = Instant::now() + *ttl;
                    return (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()));
                }
                if path.starts_with("/kv-lease-end/") {
                    state.end_lease(lease);
                    self.shared.changed.notify_all();
                    return (200, none());
                }
                (404, none())
            }
        }
    }
}

fn percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            if at <= group.len() {
                text.push(char::from(LETTERS[(bits >> (18 - 6 * at) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
